//! Measures the costs and benefits of coordination between nodes: without communication, with gossip between
//! all nodes, and within cells, at 7, 28 and 100 nodes; and for one cell by its number of servers. Prints a
//! table, the slopes fitted to it, and both as JSON.
//!
//! The nodes run in one process without the network, with real frames and simulated time. Processor time is
//! that of encoding, decoding and deciding, not of HTTP; `cargo run --release --example idle` measures whole
//! routers. Each row runs in a process of its own, so that its memory can be measured.

mod model;
mod node;

use std::process::Command;

use clap::Parser;
use model::Row;

/// Numbers of nodes, for slopes by nodes.
const NODE_COUNTS: [usize; 3] = [7, 28, 100];
/// Numbers of servers of one cell of eight nodes, for slopes by servers.
const SERVER_COUNTS: [usize; 3] = [15, 45, 90];
/// Numbers of nodes and servers for which the division into cells is measured.
const FLEET_SIZES: [(usize, usize); 3] = [(7, 15), (100, 1_200), (850, 10_000)];
/// Servers per node.
const SERVERS_PER_NODE: usize = 2;

#[derive(Parser)]
struct Cli {
    /// Prints only the JSON.
    #[arg(long)]
    json: bool,
    /// Runs one row: the way, the nodes and the servers.
    #[arg(long, num_args = 3, hide = true)]
    row: Option<Vec<String>>,
}

fn main() {
    let cli = Cli::parse();
    if let Some(row) = cli.row {
        let number = |text: &String| text.parse().expect("a number");
        let row = model::run(&row[0], number(&row[1]), number(&row[2]));
        println!("{}", serde_json::to_string(&row).expect("plain fields"));
        return;
    }
    let mut rows = vec![];
    for strategy in ["alone", "gossip", "cells"] {
        rows.extend(NODE_COUNTS.map(|nodes| run_child(strategy, nodes, nodes * SERVERS_PER_NODE)));
    }
    let servers = SERVER_COUNTS.map(|servers| run_child("cells", 8, servers));
    let slopes = serde_json::json!({
        "alone": slopes_by_nodes(&rows[0..3]),
        "gossip": slopes_by_nodes(&rows[3..6]),
        "cells": slopes_by_nodes(&rows[6..9]),
        "cell by servers": {
            "bytes_a_second": fit_line(&servers, |r| r.servers as f64, |r| r.bytes),
            "core_percent": fit_line(&servers, |r| r.servers as f64, |r| r.core_percent),
            "state_kib": fit_line(&servers, |r| r.servers as f64, |r| r.state_kib),
            "staleness_ms": fit_line(&servers, |r| r.servers as f64, |r| r.staleness_ms),
        },
    });
    rows.extend(servers);
    let division: Vec<_> = FLEET_SIZES.into_iter().map(model::measure_division).collect();
    if !cli.json {
        print_table(&rows);
        println!("slopes (a + b * x; x: nodes of the fleet, or servers of the cell)");
    }
    println!("{}", serde_json::json!({"rows": rows, "slopes": slopes, "division": division}));
}

/// Runs one row in a child process.
fn run_child(strategy: &str, nodes: usize, servers: usize) -> Row {
    let program = std::env::current_exe().expect("a program");
    let (nodes, servers) = (nodes.to_string(), servers.to_string());
    let run = Command::new(program).args(["--row", strategy, &nodes, &servers]).output();
    let output = run.expect("this program runs again");
    serde_json::from_slice(&output.stdout).expect("a row")
}

/// Slopes of a strategy's costs by the number of nodes.
fn slopes_by_nodes(rows: &[Row]) -> serde_json::Value {
    let nodes = |row: &Row| row.nodes as f64;
    serde_json::json!({
        "bytes_a_second": fit_line(rows, nodes, |row| row.bytes),
        "core_percent": fit_line(rows, nodes, |row| row.core_percent),
        "state_kib": fit_line(rows, nodes, |row| row.state_kib),
    })
}

/// Fits `a + b * x` by least squares; returns `a` and `b`.
fn fit_line(rows: &[Row], x: impl Fn(&Row) -> f64, y: impl Fn(&Row) -> f64) -> [f64; 2] {
    let count = rows.len() as f64;
    let mean_x = rows.iter().map(&x).sum::<f64>() / count;
    let mean_y = rows.iter().map(&y).sum::<f64>() / count;
    let covariance = rows.iter().map(|row| (x(row) - mean_x) * (y(row) - mean_y)).sum::<f64>();
    let variance = rows.iter().map(|row| (x(row) - mean_x).powi(2)).sum::<f64>();
    let slope = covariance / variance;
    [mean_y - slope * mean_x, slope]
}

fn print_table(rows: &[Row]) {
    println!(
        "{:7} {:>5} {:>7} | {:>9} {:>7} {:>9} {:>8} | {:>5} {:>5} {:>5} {:>8} {:>6} {:>7}",
        "way",
        "nodes",
        "servers",
        "bytes/s",
        "core %",
        "state KiB",
        "stale ms",
        "top %",
        "mid %",
        "low %",
        "goodput",
        "waste",
        "overrun",
    );
    for row in rows {
        println!(
            "{:7} {:>5} {:>7} | {:>9.0} {:>7.3} {:>9.0} {:>8.0} | {:>5.1} {:>5.1} {:>5.1} {:>8.1} {:>6.1} {:>7.2}",
            row.way,
            row.nodes,
            row.servers,
            row.bytes,
            row.core_percent,
            row.state_kib,
            row.staleness_ms,
            row.attained[0],
            row.attained[1],
            row.attained[2],
            row.goodput,
            row.waste,
            row.overrun,
        );
    }
}
