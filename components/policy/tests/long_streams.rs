//! Streams that outlast the burst they came in, beside long prompts.

mod common;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use common::prompts::{DRAFT, PREFILL_RATE, STEADY, fixture_with_engines, request, send, warm_up};
use policy::{Action, Backlog, Ending, Mechanism, Policy, Request};

const ENGINES: usize = 24;
const SLOTS: u32 = 32;
const STEP: Duration = Duration::from_millis(5);
const STEPS: u64 = 4_000;
/// Bursts of streams: steps between the starts of two, and length of one.
const PERIOD: u64 = 800;
const BURST: u64 = 400;
/// Steps between two streams, in a burst and outside.
const STREAM_INTERVAL: [u64; 2] = [1, 20];
const DRAFT_INTERVAL: u64 = 1;
const DRAFT_LIFE: u64 = 100;
/// Steps that a stream runs. One in [`LONG_EVERY`] is long, and its hint says so.
const SHORT_LIFE: u64 = 250;
const LONG_LIFE: u64 = 1_000;
const LONG_EVERY: u64 = 5;
/// Tokens of an answer for each step that it runs.
const TOKENS_PER_STEP: u64 = 1;

/// A running request.
struct Running {
    job: ids::Job,
    server: ids::Server,
    /// The engine's prefill of drafts when the stream began; none for a draft.
    began: Option<f64>,
    life: u64,
}

/// Fraction of their time for which the engines of long streams prefill drafts.
fn disturbed_fraction(disabled: &[Mechanism]) -> f64 {
    let mut fixture = fixture_with_engines(ENGINES, SLOTS);
    for mechanism in disabled {
        let scheduler = std::mem::take(&mut fixture.scheduler);
        fixture.scheduler = scheduler.with_disabled(*mechanism);
    }
    let mut ends: BTreeMap<u64, Vec<Running>> = BTreeMap::new();
    let mut prefilled: HashMap<ids::Server, f64> = HashMap::new();
    let (mut disturbed, mut time, mut streams) = (0.0, 0.0, 0);
    for step in 0..STEPS {
        for running in ends.remove(&step).unwrap_or_default() {
            let tokens = (running.life * TOKENS_PER_STEP) as u32;
            fixture.scheduler.record_tokens(running.job, tokens, fixture.now);
            fixture.scheduler.attempt_ended(running.job, Ending::Completed, fixture.now);
            if let Some(began) = running.began.filter(|_| running.life == LONG_LIFE) {
                disturbed += prefilled.get(&running.server).copied().unwrap_or_default() - began;
                time += (STEP * running.life as u32).as_secs_f64();
            }
        }
        let burst = step % PERIOD < BURST;
        let stream = step.is_multiple_of(STREAM_INTERVAL[usize::from(!burst)]);
        let draft = step.is_multiple_of(DRAFT_INTERVAL);
        for class in [(STEADY, stream), (DRAFT, draft)].into_iter().filter(|(_, due)| *due) {
            let class = class.0;
            streams += u64::from(class == STEADY);
            let long = streams.is_multiple_of(LONG_EVERY);
            let life = match class {
                DRAFT => DRAFT_LIFE,
                _ if long => LONG_LIFE,
                _ => SHORT_LIFE,
            };
            let length_hint = Some((life * TOKENS_PER_STEP) as u32);
            let request = Request { length_hint, ..request(&fixture, class, step % 300) };
            let seconds = f64::from(request.prompt_tokens) / f64::from(PREFILL_RATE);
            let job = fixture.scheduler.submit(request, fixture.now);
            let mut actions = vec![];
            fixture.scheduler.poll(fixture.now, &mut actions);
            let Some(Action::Send { server, .. }) = actions.pop() else { panic!("no free slot") };
            fixture.scheduler.record_tokens(job, 1, fixture.now + STEP * 4);
            let so_far = prefilled.entry(server).or_default();
            let began = (class == STEADY).then_some(*so_far);
            *so_far += if class == DRAFT { seconds } else { 0.0 };
            ends.entry(step + life).or_default().push(Running { job, server, began, life });
        }
        fixture.now += STEP;
    }
    disturbed / time
}

/// Streams come in bursts, and drafts all the time. When a burst ebbs, engines turn to drafts whose longest streams
/// still run. Guards against drafts on them while other engines have none: each long stream would stutter.
#[test]
fn long_streams_are_left_alone_after_a_burst() {
    let both = [Mechanism::StreamWeight, Mechanism::LongStreams];
    let without = disturbed_fraction(&both);
    for disabled in [&[][..], &both[..1], &both[1..]] {
        let with = disturbed_fraction(disabled);
        assert!(with < without / 2.0, "{with:.4} without {disabled:?}, {without:.4} without both");
    }
}

/// Another node's streams still run at an engine which all nodes take for one of the drafts'. Guards against sending
/// drafts there by the engine's group alone.
#[test]
fn drafts_avoid_engines_where_streams_of_other_nodes_run() {
    let mut fixture = fixture_with_engines(ENGINES, SLOTS);
    warm_up(&mut fixture);
    let (probe, drafts_engine) = send(&mut fixture, DRAFT, 1_000);
    fixture.scheduler.attempt_ended(probe, Ending::Completed, fixture.now);
    let streams = Backlog { occupied: vec![20.0], ..backlog(drafts_engine) };
    fixture.scheduler.set_backlogs(&[streams], fixture.now);
    for session in 0..200 {
        let (job, server) = send(&mut fixture, DRAFT, 2_000 + session);
        assert_ne!(server, drafts_engine);
        fixture.scheduler.attempt_ended(job, Ending::Completed, fixture.now);
    }
}

fn backlog(server: ids::Server) -> Backlog {
    Backlog { server, ..Backlog::default() }
}
