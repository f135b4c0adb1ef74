use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

use anyhow::Context;
use losses::{Aggregator, Report};
use plotters::prelude::*;

use crate::messages::{Format, Table};

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (1_000, 480);
/// Servers that the text names, those with most losses first.
const SERVERS: usize = 10;

/// Tells from nodes' logs who wasn't served, and why.
pub fn losses(files: &[PathBuf], plot: Option<&Path>, format: Format) -> anyhow::Result<()> {
    let mut losses = Aggregator::default();
    if files.is_empty() {
        read(io::stdin().lock(), &mut losses).context("can't read standard input")?;
    }
    for path in files {
        let told = || format!("can't read {}; name files of nodes' logs", path.display());
        let file = File::open(path).with_context(told)?;
        read(BufReader::new(file), &mut losses).with_context(told)?;
    }
    let report = losses.report();
    match format {
        Format::Json => println!("{}", serde_json::to_string_pretty(report)?),
        Format::Text => show(report)?,
    }
    if let Some(path) = plot {
        draw(report, path).with_context(|| {
            format!("can't draw {}; name a file in a directory that may be written", path.display())
        })?;
    }
    Ok(())
}

/// Reads lines; bytes that aren't text make a line that can't be read, and don't end the reading.
fn read(mut from: impl BufRead, losses: &mut Aggregator) -> io::Result<()> {
    let mut line = vec![];
    while from.read_until(b'\n', &mut line)? > 0 {
        losses.add_line(&String::from_utf8_lossy(&line));
        line.clear();
    }
    Ok(())
}

fn show(report: &Report) -> anyhow::Result<()> {
    let mut classes = Table::new(&["class", "ended", "in_time", "late", "failed"]);
    for (name, class) in &report.classes {
        let counts = [class.ended, class.in_time, class.late, class.failed];
        classes.row(std::iter::once(name.clone()).chain(counts.map(|count| count.to_string())));
    }
    classes.show(Format::Text)?;
    println!();
    let mut causes = Table::new(&["class", "cause", "requests"]);
    for (name, class) in &report.classes {
        for (cause, count) in most(&class.causes) {
            causes.row([name.clone(), cause.to_string(), count.to_string()]);
        }
    }
    for (reason, count) in &report.refused {
        causes.row(["-".to_string(), format!("not-taken-in: {reason}"), count.to_string()]);
    }
    causes.show(Format::Text)?;
    println!();
    let mut servers = Table::new(&["server", "lost", "mostly"]);
    let mut all: Vec<_> = report.servers.iter().collect();
    all.sort_by_key(|(_, causes)| std::cmp::Reverse(causes.values().sum::<u64>()));
    for (name, causes) in all.into_iter().take(SERVERS) {
        let mostly = most(causes).next().map_or("", |(cause, _)| cause);
        let name = if name.is_empty() { "-" } else { name };
        let lost = causes.values().sum::<u64>();
        servers.row([name.to_string(), lost.to_string(), mostly.to_string()]);
    }
    servers.show(Format::Text)?;
    if report.unread + report.left_out > 0 {
        let Report { unread, left_out, .. } = report;
        println!("\n{unread} lines couldn't be read, {left_out} were left out by nodes under load");
    }
    Ok(())
}

/// Causes, the most frequent first.
fn most(causes: &BTreeMap<&'static str, u64>) -> impl Iterator<Item = (&'static str, u64)> {
    let mut all: Vec<_> = causes.iter().map(|(cause, count)| (*cause, *count)).collect();
    all.sort_by_key(|(cause, count)| (std::cmp::Reverse(*count), *cause));
    all.into_iter()
}

/// Draws the part of each class's requests that were served in time, over the second of their arrival.
fn draw(report: &Report, path: &Path) -> anyhow::Result<()> {
    let start = report.seconds.keys().next().copied().unwrap_or_default();
    let end = report.seconds.keys().next_back().copied().unwrap_or_default();
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
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
