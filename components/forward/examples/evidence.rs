//! Prints what evidence against requests and parts of prompts costs, by the number of nodes:
//! `cargo run --release -p forward --example evidence`.

use std::time::Duration;

use policy::{Crash, Evidence};
use wire::gossip::{self, Report, Suspect};

/// Nodes, and the link of a node in bytes a second.
const FLEETS: [(u32, f64); 5] =
    [(7, 125e6), (71, 1.25e6), (295, 1.25e6), (584, 1.25e6), (850, 1.25e6)];
const SEEDS: u32 = 3;
/// Requests that a crash cuts before their answers begin, and the parts that they share: a few first ones, and one
/// for each.
const CUT: usize = 30;
const FIRST_PARTS: usize = 4;
/// Time between two messages of a seed to another, and the least between two of a node.
const SEED_PAUSE: Duration = Duration::from_millis(100);
const MIN_PAUSE: Duration = Duration::from_millis(150);
/// Time between two reports at a seed.
const SPACING: Duration = Duration::from_micros(1_500);
/// Assumed bytes of an answer to a report, and the part of a link that answers may take.
const ANSWER_BYTES: f64 = 2_000.0;
const LINK_PART: f64 = 0.2;
/// Suspects in a full table, and crashes kept for each.
const SUSPECTS: usize = 2_048;
const CRASHES: usize = 8;

/// Bytes of a report with suspects of so many crashes each, `parts` of them parts with two companions.
fn bytes(requests: usize, parts: usize, crashes: u32) -> usize {
    let suspect = |index: usize| Suspect {
        content: (index as u64 + 1) << 40,
        crashes: (0..crashes)
            .map(|crash| gossip::Crash {
                instance: u32::MAX - crash,
                sent_ms: 900,
                crashed_ms: 400,
            })
            .collect(),
        completed_ms: None,
    };
    let companions = (0..parts).map(|part| ((part as u64 + 1) << 40, vec![u64::MAX; 2]));
    let suspects = (0..requests + parts).map(suspect).collect();
    let empty = Report::default().encode().len();
    Report { suspects, companions: companions.collect(), ..Report::default() }.encode().len()
        - empty
}

fn main() {
    let reported = bytes(CUT, CUT + FIRST_PARTS, 1);
    let told = bytes(0, FIRST_PARTS + 1, 3);
    let entry = size_of::<Evidence>() + CRASHES * size_of::<Crash>() + 3 * size_of::<u64>();
    println!("a crash that cuts {CUT} requests: {reported} B reported in all");
    println!("a part with three crashes and the parts with it: {told} B to each node");
    println!("a full table: {} KiB", (SUSPECTS * (entry + 2 * size_of::<u64>())) >> 10);
    println!("| nodes | pause of a node | all know within | bytes for all |");
    for (nodes, link) in FLEETS {
        let per_seed = nodes.div_ceil(SEEDS);
        let link = Duration::from_secs_f64(f64::from(per_seed) * ANSWER_BYTES / (link * LINK_PART));
        let pause = MIN_PAUSE.max(SPACING * per_seed).max(link);
        let known = pause * 2 + SEED_PAUSE;
        let total = 3 * reported + told * nodes as usize;
        println!("| {nodes} | {pause:.2?} | {known:.2?} | {total} |");
    }
}
