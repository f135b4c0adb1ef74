//! Compares the scheduler with two common policies under each load pattern.
//!
//! `cargo run --release -p policy --example patterns -- --seed 1 [--pattern burst] [--json]`

mod driver;

use clap::Parser;
use driver::pattern::{PATTERNS, Pattern};
use driver::{POLICIES, PolicyKind, Row, run};
use policy::Mechanism;

#[derive(Parser)]
struct Args {
    /// Seed of the run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs this pattern alone.
    #[arg(long)]
    pattern: Option<String>,
    /// Prints a list of rows.
    #[arg(long)]
    json: bool,
    /// Leaves out each mechanism in turn, over seeds 1 to the given one.
    #[arg(long)]
    ablate: bool,
}

fn main() {
    let args = Args::parse();
    let selected = |pattern: &&Pattern| args.pattern.as_deref().is_none_or(|n| n == pattern.name);
    let patterns: Vec<_> = PATTERNS.iter().filter(selected).collect();
    if patterns.is_empty() {
        let names: Vec<_> = PATTERNS.iter().map(|pattern| pattern.name).collect();
        eprintln!("no such pattern; choose one of {}", names.join(", "));
        std::process::exit(2);
    }
    if args.ablate {
        return ablate(&patterns, args.seed);
    }
    let mut all = vec![];
    for pattern in patterns {
        for (name, kind) in POLICIES {
            let rows = run(pattern, args.seed, kind).into_iter();
            all.extend(rows.map(|row| Row { policy: name.to_string(), ..row }));
        }
    }
    if args.json {
        println!("{}", serde_json::to_string_pretty(&all).expect("rows are plain data"));
    } else {
        print(&all);
    }
}

fn print(rows: &[Row]) {
    println!(
        "{:16} {:12} {:9} {:>5} {:>5} {:>6} {:>8} {:>8} {:>5} {:>6} {:>6} {:>6} {:>6} {:>8} {:>3}",
        "pattern",
        "policy",
        "class",
        "offer",
        "serve",
        "attain",
        "goodput",
        "wasted",
        "refus",
        "longest",
        "p50",
        "p95",
        "p99",
        "bytes",
        "inv"
    );
    for row in rows {
        println!(
            "{:16} {:12} {:9} {:5} {:5} {:6.3} {:8} {:8} {:5} {:6.2} {:6.2} {:6.2} {:6.2} {:8} {:3}",
            row.pattern,
            row.policy,
            row.class,
            row.offered,
            row.served,
            row.attainment,
            row.goodput_tokens,
            row.wasted_tokens,
            row.refused,
            row.longest_wait_s,
            row.first_token_p50_s,
            row.first_token_p95_s,
            row.first_token_p99_s,
            row.cross_region_bytes,
            row.inversions
        );
    }
}

/// Sums of the results of a pattern over seeds 1 to `seeds`, in the order of the columns of the ablation.
fn sums(pattern: &Pattern, seeds: u64, disabled: Option<Mechanism>) -> [f64; 7] {
    let mut sums = [0.0; 7];
    for seed in 1..=seeds {
        let rows = run(pattern, seed, PolicyKind::Godwitlever(disabled));
        let total = |get: fn(&Row) -> f64| rows.iter().map(get).sum::<f64>();
        sums[0] += rows[0].attainment / seeds as f64;
        sums[1] += total(|row| row.attainment) / 4.0 / seeds as f64;
        sums[2] += total(|row| row.goodput_tokens as f64);
        sums[3] += total(|row| row.wasted_tokens as f64);
        sums[4] += total(|row| row.cross_region_bytes as f64);
        sums[6] += total(|row| row.refused_after_s) / 4.0 / seeds as f64;
        sums[5] = rows.iter().map(|row| row.longest_wait_s).fold(sums[5], f64::max);
    }
    sums
}

/// Prints the results with each mechanism disabled in turn.
fn ablate(patterns: &[&Pattern], seeds: u64) {
    println!(
        "{:16} {:14} {:>7} {:>7} {:>8} {:>8} {:>8} {:>7} {:>5}",
        "pattern", "without", "top", "all", "goodput%", "wasted%", "bytes%", "longest", "told"
    );
    for pattern in patterns {
        let baseline = sums(pattern, seeds, None);
        let line = |name: &str, s: [f64; 7]| {
            let percent = |i: usize| (s[i] / baseline[i].max(1.0) - 1.0) * 100.0;
            println!(
                "{:16} {:14} {:7.4} {:7.4} {:8.1} {:8.1} {:8.1} {:7.2} {:5.2}",
                pattern.name,
                name,
                s[0],
                s[1],
                percent(2),
                percent(3),
                percent(4),
                s[5],
                s[6]
            );
        };
        line("-", baseline);
        for mechanism in Mechanism::ALL.iter().copied() {
            line(&label(mechanism), sums(pattern, seeds, Some(mechanism)));
        }
    }
}

/// The settings word of a mechanism in upper camel case, as the table prints it.
fn label(mechanism: Mechanism) -> String {
    let words = mechanism.as_str().split('-');
    words.map(|word| word[..1].to_uppercase() + &word[1..]).collect()
}
