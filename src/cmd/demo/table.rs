//! Formats the results of the demo.

use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::call::{Outcome, Record};
use super::cluster::Cluster;
use super::mix::{CLASSES, Class};

/// Returns tables of the results by class and by backend server, and the wasted tokens.
pub fn render(records: &[Record], cluster: &Cluster) -> String {
    let mut text = format!(
        "\n{:9}{:>6}{:>9}{:>6}{:>9}{:>9}{:>7}   first token, ms     token interval, ms\n{:56}p50   p95   p99     p50   p95   p99\n",
        "class", "sent", "in time", "late", "refused", "unknown", "wrong", ""
    );
    for class in CLASSES {
        write_class_row(&mut text, class, records);
    }
    let _ = writeln!(text, "\n{:9}{:>6}{:>9}", "server", "runs", "tokens");
    for (index, engine) in cluster.engines.iter().enumerate() {
        let name = format!("engine-{index}");
        let _ = writeln!(text, "{name:9}{:>6}{:>9}", engine.total(), engine.tokens());
    }
    let _ = writeln!(text, "{:9}{:>6}", "desk", cluster.desk.total());
    let delivered: u64 = records.iter().map(|record| u64::from(record.tokens)).sum();
    let _ = write!(
        text,
        "\nwasted tokens: {} of {}",
        cluster.generated_tokens() - delivered.min(cluster.generated_tokens()),
        cluster.generated_tokens()
    );
    text
}

/// Appends the counts and latencies of a class.
fn write_class_row(text: &mut String, class: Class, records: &[Record]) {
    let calls: Vec<_> = records.iter().filter(|record| record.class.name == class.name).collect();
    let count =
        |matches: &dyn Fn(&Record) -> bool| calls.iter().filter(|record| matches(record)).count();
    let complete = |record: &Record| record.outcome == Outcome::Complete;
    let timely = |record: &Record| complete(record) && record.elapsed <= class.deadline;
    let served = calls.iter().filter(|record| complete(record));
    let first_token = format_quantiles(served.clone().filter_map(|record| record.first_token));
    let intervals = format_quantiles(served.flat_map(|record| record.intervals.iter().copied()));
    let in_time = count(&timely);
    let _ = writeln!(
        text,
        "{:9}{:>6}{:>9}{:>6}{:>9}{:>9}{:>7}   {first_token}   {intervals}",
        class.name,
        calls.len(),
        in_time,
        count(&complete) - in_time,
        count(&|record| record.outcome == Outcome::Refused),
        count(&|record| record.outcome == Outcome::Unknown),
        count(&|record| matches!(record.outcome, Outcome::Incorrect(_))),
    );
}

/// Formats the 50th, 95th and 99th percentile in milliseconds, or dashes if there are no times.
fn format_quantiles(times: impl Iterator<Item = Duration>) -> String {
    let mut histogram = Histogram::<u64>::new(3).expect("3 digits are allowed");
    for time in times {
        // Can't fail: the histogram resizes itself for any value.
        let _ = histogram.record(time.as_micros() as u64);
    }
    let at = |quantile| {
        if histogram.is_empty() {
            return format!("{:>6}", "-");
        }
        format!("{:>6.0}", histogram.value_at_quantile(quantile) as f64 / 1_000.0)
    };
    format!("{}{}{}", at(0.5), at(0.95), at(0.99))
}
