//! Figures of the stream path, beside a direct connection to the same stand-ins in the same run:
//!
//!     cargo run --release --example figures [first|rate|events|memory]
//!
//! Stand-ins, router and callers run on threads of their own. The router's processor time is that
//! of its thread, in user mode and in the system.

mod callers;
mod machine;
mod stage;

use std::time::Duration;

use callers::{Kind, Load};
use fakes::Pace;
use hdrhistogram::Histogram;
use stage::Stage;

/// Streams held open at once.
const STREAMS: usize = 1_000;
/// How long each measurement lasts, after the streams have begun.
const WINDOW: Duration = Duration::from_secs(4);
/// Calls for the time to the first event, each way. The router holds the head of an answer back
/// until the first event, so the first byte of all isn't the same thing on both ways.
const CALLS: usize = 3_000;
/// Callers at once for calls a second.
const AT_ONCE: usize = 32;

fn main() {
    let only = std::env::args().nth(1);
    let wanted = |part: &str| only.as_deref().is_none_or(|only| only == part);
    println!("{}", machine::describe());
    // First, since later streams would take over memory that earlier ones freed.
    if wanted("memory") {
        memory();
    }
    if wanted("first") {
        first_event();
    }
    if wanted("rate") {
        rate();
    }
    if wanted("events") {
        for token in [50, 20, 10] {
            events(Duration::from_millis(token));
        }
    }
}

fn first_event() {
    let quick = Pace { slots: 1_000, prefill: Duration::ZERO, token: Duration::ZERO };
    let stage = Stage::start(1, quick);
    let mut times = [histogram(), histogram()];
    // By turns, so that whatever else the machine does meets both alike.
    for (direct, routed) in callers::first_events(stage.engines[0], stage.router, CALLS) {
        let _ = times[0].record(direct.as_nanos() as u64);
        let _ = times[1].record(routed.as_nanos() as u64);
    }
    for quantile in [0.5, 0.99] {
        let [direct, routed] = [0, 1].map(|way| times[way].value_at_quantile(quantile));
        println!(
            "time to first event, p{:.0}: direct {} us, routed {} us, added {} us",
            quantile * 100.0,
            direct / 1_000,
            routed / 1_000,
            routed.saturating_sub(direct) / 1_000
        );
    }
}

fn rate() {
    let quick = Pace { slots: 1_000, prefill: Duration::ZERO, token: Duration::ZERO };
    let stage = Stage::start(1, quick);
    let direct = Load::start(&stage.engines, AT_ONCE, Kind::Whole).rate(WINDOW);
    let before = stage.router_time();
    let routed = Load::start(&[stage.router], AT_ONCE, Kind::Whole).rate(WINDOW);
    let spent = stage.router_time() - before;
    println!(
        "calls/s, {AT_ONCE} at once: direct {direct:.0}, routed {routed:.0}, {:.0}% of direct; \
         router's core {:.0}% busy",
        routed / direct * 100.0,
        spent.as_secs_f64() / WINDOW.as_secs_f64() * 100.0
    );
}

fn events(token: Duration) {
    let pace = Pace { slots: 1_000, prefill: Duration::from_millis(1), token };
    let stage = Stage::start(4, pace);
    let load = Load::start(&[stage.router], STREAMS, Kind::Stream);
    load.open(STREAMS);
    let (events, before) = (load.events(), stage.router_time());
    std::thread::sleep(WINDOW);
    let events = (load.events() - events) as f64;
    let spent = stage.router_time() - before;
    println!(
        "{STREAMS} streams, a token each {} ms: {:.0} events/s, router's core {:.0}% busy, \
         {:.0} events/s a core",
        token.as_millis(),
        events / WINDOW.as_secs_f64(),
        spent.as_secs_f64() / WINDOW.as_secs_f64() * 100.0,
        events / spent.as_secs_f64()
    );
}

fn memory() {
    let pace =
        Pace { slots: 4_000, prefill: Duration::from_millis(1), token: Duration::from_millis(200) };
    let stage = Stage::start(4, pace);
    let settle = || std::thread::sleep(Duration::from_secs(2));
    let idle = machine::resident();
    // Held open while the routed ones are, so that neither takes over what the other freed.
    let direct = Load::start(&stage.engines, STREAMS, Kind::Stream);
    direct.open(STREAMS);
    settle();
    let alone = machine::resident();
    let routed = Load::start(&[stage.router], STREAMS, Kind::Stream);
    routed.open(STREAMS);
    settle();
    let both = machine::resident();
    let ends = (alone - idle) / STREAMS as u64;
    let all = (both - alone) / STREAMS as u64;
    println!(
        "memory a stream: {all} bytes routed, {ends} of them at its two ends, {} in the router",
        all.saturating_sub(ends)
    );
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("3 digits are allowed")
}
