//! Streams that bear short pauses only, beside others that bear longer ones and bring prompts.

mod common;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use common::prompts::{DRAFT, PREFILL_RATE, fixture_with_engines, request};
use common::{Fixture, class};
use policy::{Action, Class, Ending, Mechanism, Policy, Request};

const ENGINES: usize = 24;
const SLOTS: u32 = 16;
const STREAM: usize = 0;
const QUERY: usize = 1;
/// What the classes bear between tokens, in ms: an event of nine tokens in 250, 400 and 1,000.
const BEARS_MS: [u64; 3] = [28, 44, 111];
/// Steps between two requests of a class, and those that each takes.
const EVERY: [u64; 3] = [25, 5, 10];
const LASTS: [u64; 3] = [400, 60, 160];
const STEP: Duration = Duration::from_millis(5);
/// Steps that are played, and those after which the groups stand.
const STEPS: u64 = 6_000;
const SETTLED: u64 = 3_000;
const QUERY_TOKENS: u32 = 2_400;

fn site(without: Option<Mechanism>) -> Fixture {
    let mut fixture = fixture_with_engines(ENGINES, SLOTS);
    for (index, bears) in BEARS_MS.into_iter().enumerate() {
        let token_interval = Duration::from_millis(bears);
        let terms = Class { token_interval, ..class(index as u8, 1_000) };
        fixture.scheduler.set_class(fixture.classes[index], terms);
    }
    let scheduler = std::mem::take(&mut fixture.scheduler);
    fixture.scheduler = without.into_iter().fold(scheduler, |all, one| all.with_disabled(one));
    fixture
}

fn prompt(fixture: &Fixture, class: usize, session: u64) -> Request {
    let request = request(fixture, class, session);
    if class == QUERY { Request { prompt_tokens: QUERY_TOKENS, ..request } } else { request }
}

/// The part of its time that the engine of a stream reads other classes' prompts, over all streams.
fn disturbed(without: Option<Mechanism>) -> f64 {
    let mut fixture = site(without);
    let mut ends: BTreeMap<u64, Vec<ids::Job>> = BTreeMap::new();
    let (mut reading, mut streams): (HashMap<ids::Server, f64>, HashMap<ids::Server, u32>) =
        Default::default();
    for step in 0..STEPS {
        for job in ends.remove(&step).unwrap_or_default() {
            fixture.scheduler.attempt_ended(job, Ending::Completed, fixture.now);
        }
        for class in [STREAM, QUERY, DRAFT] {
            if !step.is_multiple_of(EVERY[class]) {
                continue;
            }
            let request = prompt(&fixture, class, step % 200);
            let seconds = f64::from(request.prompt_tokens) / f64::from(PREFILL_RATE);
            let job = fixture.scheduler.submit(request, fixture.now);
            let mut actions = vec![];
            fixture.scheduler.poll(fixture.now, &mut actions);
            let Some(Action::Send { server, .. }) = actions.pop() else { panic!("no place") };
            fixture.scheduler.record_tokens(job, 1, fixture.now + STEP * 4);
            ends.entry(step + LASTS[class]).or_default().push(job);
            if step < SETTLED {
                continue;
            }
            if class == STREAM {
                *streams.entry(server).or_default() += 1;
            } else {
                *reading.entry(server).or_default() += seconds;
            }
        }
        fixture.now += STEP;
    }
    let time = (STEP * (STEPS - SETTLED) as u32).as_secs_f64();
    let all: u32 = streams.values().sum();
    let at = |(server, count): (&ids::Server, &u32)| {
        reading.get(server).copied().unwrap_or_default() / time * f64::from(*count)
    };
    streams.iter().map(at).sum::<f64>() / f64::from(all)
}

/// Queries that bear half as much again as the strictest streams share their engines, as both are steady.
/// Three short prompts within one event stall a stream as one long prompt does: one stream in four paused for
/// longer than its callers bear, on a calm day. The strictest have engines of their own.
#[test]
fn the_strictest_streams_share_no_engine_with_prompts_of_others() {
    let part = disturbed(None);
    assert!(part < 0.02, "engines of streams read others' prompts for {part:.3} of their time");
}

/// The same without isolation groups, so that the test above can't pass for want of prompts.
#[test]
fn without_groups_streams_are_disturbed() {
    let part = disturbed(Some(Mechanism::IsolationGroups));
    assert!(part > 0.05, "{part:.3}");
}
