//! Sends the demo's load: a steady rate with a burst beyond the engines' capacity in the middle.

use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use super::call::{Record, send_call};
use super::cluster::Cluster;
use super::mix::Mix;

/// Calls per second outside the burst; the engines' capacity is about 45.
const STEADY_RATE: u32 = 30;
/// Calls per second during the burst, four times the engines' capacity.
const BURST_RATE: u32 = 180;
/// The burst takes the middle one of this many equal parts of the time.
const BURST_DIVISOR: u32 = 3;

/// Sends calls for a number of seconds and waits for all answers.
pub async fn send_load(cluster: &Cluster, seconds: u64) -> Vec<Record> {
    let connector = awc::Connector::new().limit(0);
    let client = awc::Client::builder().connector(connector).disable_timeout().finish();
    let duration = Duration::from_secs(seconds);
    let (from, to) = (duration / BURST_DIVISOR, duration / BURST_DIVISOR * 2);
    let started = Instant::now();
    let mut mix = Mix::new();
    let mut calls = JoinSet::new();
    let mut records: Vec<Record> = vec![];
    let mut sent = 0;
    let mut reported_seconds = 0;
    while started.elapsed() < duration {
        let elapsed = started.elapsed();
        let (class, tokens) = mix.next_call();
        calls.spawn_local(send_call(client.clone(), cluster.caller_address(sent), class, tokens));
        sent += 1;
        let burst = elapsed >= from && elapsed < to;
        tokio::time::sleep(Duration::from_secs(1) / if burst { BURST_RATE } else { STEADY_RATE })
            .await;
        while let Some(Ok(record)) = calls.try_join_next() {
            records.push(record);
        }
        if elapsed.as_secs() > reported_seconds {
            reported_seconds = elapsed.as_secs();
            let phase = if burst { ", burst" } else { "" };
            println!("{reported_seconds} s: {sent} sent, {} under way{phase}", calls.len());
        }
    }
    println!("waiting for {} answers", calls.len());
    while let Some(ended) = calls.join_next().await {
        records.extend(ended);
    }
    records
}
