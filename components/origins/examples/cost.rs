//! Prints what nodes tell each other of streams costs while several versions serve, by the number of nodes:
//! `cargo run --release -p origins --example cost`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use origins::{Members, Origin, Stream, Table, Version};
use wire::gossip::Peer;
use wire::origins::{Answer, Asked, Message, Row};

/// Nodes, their failure domains, and streams a second of the whole fleet at full load.
const FLEETS: [(usize, usize, usize); 5] =
    [(7, 3, 74), (71, 6, 720), (295, 6, 940), (584, 6, 510), (850, 6, 1_300)];
/// Time over which streams begin.
const SECONDS: usize = 30;
/// Time for which a stream is remembered.
const LIFETIME: Duration = Duration::from_secs(16);
/// Streams in the table by which its size is measured.
const MEASURED_RECORDS: u64 = 90_000;
/// Bytes of the heads of a request and a response between nodes, and of the addresses in them.
const HEAD_BYTES: usize = 210;

fn peer(node: usize, domains: usize) -> Peer {
    let address =
        ([10, (node % domains) as u8, (node / 250) as u8, (node % 250) as u8], 8_000).into();
    Peer { address, domain: format!("zone-{}", node % domains) }
}

fn main() {
    let told = Message {
        told: vec![Row { stream: u64::MAX, version: Some(u32::MAX), lifetime_ms: 15_000 }],
        ..Message::default()
    };
    let asked = Message {
        asked: Some(Asked { stream: u64::MAX, service: u32::MAX, lifetime_ms: 16_000 }),
        ..Message::default()
    };
    let reply = Answer { boot: u32::MAX, ..Answer::default() };
    let known = Answer { known: true, version: Some(u32::MAX), ..reply.clone() };
    let tell_bytes = told.encode().len() + reply.encode().len() + HEAD_BYTES;
    let ask_bytes = asked.encode().len() + known.encode().len() + HEAD_BYTES;
    println!(
        "a message that tells one stream and its answer: {tell_bytes} bytes; a question: {ask_bytes}"
    );
    println!(
        "| nodes | streams/s | messages/s of a keeper, mean and most | bytes/s of it, most | list | table, most | keepers of a stream |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    let record_bytes = measure_record_bytes();
    println!("a stream in the table: {record_bytes:.0} bytes");
    for (nodes, domains, rate) in FLEETS {
        let mut members = Members::default();
        members.apply((0..nodes).map(|node| peer(node, domains)).collect());
        let (streams, mut messages) = (rate * SECONDS, HashMap::<SocketAddr, usize>::new());
        let began = Instant::now();
        let keepers: Vec<_> = (0..streams).map(|n| members.keepers(Stream(n as u64))).collect();
        let micros = began.elapsed().as_secs_f64() * 1e6 / streams as f64;
        for (stream, keepers) in keepers.into_iter().enumerate() {
            let own = peer(stream % nodes, domains).address;
            for keeper in keepers.into_iter().filter(|keeper| *keeper != own) {
                *messages.entry(keeper).or_default() += 1;
            }
        }
        let most = messages.values().max().copied().unwrap_or_default() as f64 / SECONDS as f64;
        let sent: usize = messages.values().sum();
        let mean = sent as f64 / (messages.len() * SECONDS) as f64;
        let records = (most * LIFETIME.as_secs_f64()) as usize;
        let listed = members.list_for(0);
        let list: usize = listed.iter().map(|peer| 12 + peer.domain.len()).sum();
        println!(
            "| {nodes} | {rate} | {mean:.1}, {most:.1} | {:.0} | {list} B | {records} streams, {:.0} KiB | {micros:.1} us |",
            most * tell_bytes as f64,
            records as f64 * record_bytes / 1_024.0,
        );
    }
}

/// Bytes that a table takes for each stream, by the growth of this process.
fn measure_record_bytes() -> f64 {
    let (now, mut table, before) = (Instant::now(), Table::default(), resident_bytes());
    for stream in 0..MEASURED_RECORDS {
        let expires = now + LIFETIME + Duration::from_micros(stream);
        table.insert(Stream(stream), Origin::Version(Version(1)), expires, now);
    }
    let grown = resident_bytes().saturating_sub(before) as f64;
    grown / table.len() as f64
}

fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * 4_096
}
