//! Implements `losses`, which reports from nodes' logs which requests weren't served in time.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

use anyhow::Context;
use losses::{Aggregator, Report};
use plotters::prelude::*;

use crate::messages::{Format, Table};

const PLOT_SIZE_PIXELS: (u32, u32) = (1_000, 480);
/// Most backend servers that the text lists, those with most lost requests first.
const MAX_SERVERS: usize = 10;

/// Prints from nodes' logs which requests weren't served in time and why, and optionally plots it.
pub fn losses(files: &[PathBuf], plot: Option<&Path>, format: Format) -> anyhow::Result<()> {
    let mut aggregator = Aggregator::default();
    if files.is_empty() {
        read_lines(io::stdin().lock(), &mut aggregator).context("can't read standard input")?;
    }
    for path in files {
        let context = || format!("can't read {}; name files of nodes' logs", path.display());
        let file = File::open(path).with_context(context)?;
        read_lines(BufReader::new(file), &mut aggregator).with_context(context)?;
    }
    let report = aggregator.report();
    match format {
        Format::Json => println!("{}", serde_json::to_string_pretty(report)?),
        Format::Text => print_tables(report)?,
    }
    if let Some(path) = plot {
        plot_in_time(report, path).with_context(|| {
            format!("can't draw {}; name a file in a directory that may be written", path.display())
        })?;
    }
    Ok(())
}

/// Adds all lines of a log to the aggregator. A line that isn't valid UTF-8 may count as unreadable
/// but doesn't stop the reading.
fn read_lines(mut from: impl BufRead, aggregator: &mut Aggregator) -> io::Result<()> {
    let mut line = vec![];
    while from.read_until(b'\n', &mut line)? > 0 {
        aggregator.add_line(&String::from_utf8_lossy(&line));
        line.clear();
    }
    Ok(())
}

/// Prints tables of the classes, of the causes and of the backend servers with most losses.
fn print_tables(report: &Report) -> anyhow::Result<()> {
    let mut classes = Table::new(&["class", "ended", "in_time", "late", "failed"]);
    for (name, class) in &report.classes {
        let counts = [class.ended, class.in_time, class.late, class.failed];
        classes.add_row(std::iter::once(name.clone()).chain(counts.map(|count| count.to_string())));
    }
    classes.print(Format::Text)?;
    println!();
    let mut causes = Table::new(&["class", "cause", "requests"]);
    for (name, class) in &report.classes {
        for (cause, count) in by_frequency(&class.causes) {
            causes.add_row([name.clone(), cause.to_string(), count.to_string()]);
        }
    }
    for (reason, count) in &report.refused {
        causes.add_row(["-".to_string(), format!("not-taken-in: {reason}"), count.to_string()]);
    }
    causes.print(Format::Text)?;
    println!();
    let mut servers = Table::new(&["server", "lost", "mostly"]);
    let mut all: Vec<_> = report.servers.iter().collect();
    all.sort_by_key(|(_, causes)| std::cmp::Reverse(causes.values().sum::<u64>()));
    for (name, causes) in all.into_iter().take(MAX_SERVERS) {
        let mostly = by_frequency(causes).next().map_or("", |(cause, _)| cause);
        let name = if name.is_empty() { "-" } else { name };
        let lost = causes.values().sum::<u64>();
        servers.add_row([name.to_string(), lost.to_string(), mostly.to_string()]);
    }
    servers.print(Format::Text)?;
    if report.unread + report.left_out > 0 {
        let Report { unread, left_out, .. } = report;
        println!("\n{unread} lines couldn't be read, {left_out} were left out by nodes under load");
    }
    Ok(())
}

/// Returns causes with their counts, the most frequent first.
fn by_frequency(causes: &BTreeMap<&'static str, u64>) -> impl Iterator<Item = (&'static str, u64)> {
    let mut all: Vec<_> = causes.iter().map(|(cause, count)| (*cause, *count)).collect();
    all.sort_by_key(|(cause, count)| (std::cmp::Reverse(*count), *cause));
    all.into_iter()
}

/// Plots the fraction of each class's requests that were served in time, by their second of arrival.
fn plot_in_time(report: &Report, path: &Path) -> anyhow::Result<()> {
    let start = report.seconds.keys().next().copied().unwrap_or_default();
    let end = report.seconds.keys().next_back().copied().unwrap_or_default();
    let area = SVGBackend::new(path, PLOT_SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Part of the requests served in time, by second of arrival", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(0..(end - start).max(1), 0.0..1.05)?;
    chart.configure_mesh().x_desc("seconds").y_desc("in time").draw()?;
    for (index, name) in report.classes.keys().enumerate() {
        let colour = Palette99::pick(index).mix(1.0);
        let points = report.seconds.iter().filter_map(|(second, classes)| {
            let counts = classes.get(name)?;
            Some((second - start, 1.0 - counts.lost as f64 / counts.ended as f64))
        });
        let series = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        series
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}
