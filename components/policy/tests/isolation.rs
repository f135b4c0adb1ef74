//! Isolation of streams that tolerate only short pauses from the prompts of classes that tolerate longer
//! ones.

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
/// Pause tolerance of the classes: an event of nine tokens in 250, 400 and 1,000 ms.
const TOLERANCE_MS: [u64; 3] = [28, 44, 111];
/// Steps between two requests of a class, and steps that a request runs.
const INTERVAL_STEPS: [u64; 3] = [25, 5, 10];
const DURATION_STEPS: [u64; 3] = [400, 60, 160];
const STEP: Duration = Duration::from_millis(5);
/// Steps in all, and steps after which the groups have settled.
const STEPS: u64 = 6_000;
const SETTLED: u64 = 3_000;
const QUERY_TOKENS: u32 = 2_400;

fn site(disabled: Option<Mechanism>) -> Fixture {
    let mut fixture = fixture_with_engines(ENGINES, SLOTS);
    for (index, tolerance) in TOLERANCE_MS.into_iter().enumerate() {
        let token_interval = Duration::from_millis(tolerance);
        let terms = Class { token_interval, ..class(index as u8, 1_000) };
        fixture.scheduler.set_class(fixture.classes[index], terms);
    }
    let scheduler = std::mem::take(&mut fixture.scheduler);
    fixture.scheduler = disabled.into_iter().fold(scheduler, |all, one| all.with_disabled(one));
    fixture
}

fn class_request(fixture: &Fixture, class: usize, session: u64) -> Request {
    let request = request(fixture, class, session);
    if class == QUERY { Request { prompt_tokens: QUERY_TOKENS, ..request } } else { request }
}

/// Fraction of its time that the engine of a stream spends on the prefill of other classes, averaged over
/// all streams.
fn foreign_prefill_fraction(disabled: Option<Mechanism>) -> f64 {
    let mut fixture = site(disabled);
    let mut ends: BTreeMap<u64, Vec<ids::Job>> = BTreeMap::new();
    let (mut prefill, mut streams): (HashMap<ids::Server, f64>, HashMap<ids::Server, u32>) =
        Default::default();
    for step in 0..STEPS {
        for job in ends.remove(&step).unwrap_or_default() {
            fixture.scheduler.attempt_ended(job, Ending::Completed, fixture.now);
        }
        for class in [STREAM, QUERY, DRAFT] {
            if !step.is_multiple_of(INTERVAL_STEPS[class]) {
                continue;
            }
            let request = class_request(&fixture, class, step % 200);
            let seconds = f64::from(request.prompt_tokens) / f64::from(PREFILL_RATE);
            let job = fixture.scheduler.submit(request, fixture.now);
            let mut actions = vec![];
            fixture.scheduler.poll(fixture.now, &mut actions);
            let Some(Action::Send { server, .. }) = actions.pop() else { panic!("no free slot") };
            fixture.scheduler.record_tokens(job, 1, fixture.now + STEP * 4);
            ends.entry(step + DURATION_STEPS[class]).or_default().push(job);
            if step < SETTLED {
                continue;
            }
            if class == STREAM {
                *streams.entry(server).or_default() += 1;
            } else {
                *prefill.entry(server).or_default() += seconds;
            }
        }
        fixture.now += STEP;
    }
    let time = (STEP * (STEPS - SETTLED) as u32).as_secs_f64();
    let all: u32 = streams.values().sum();
    let weighted = |(server, count): (&ids::Server, &u32)| {
        prefill.get(server).copied().unwrap_or_default() / time * f64::from(*count)
    };
    streams.iter().map(weighted).sum::<f64>() / f64::from(all)
}

/// Guards against queries on the engines of the strictest streams. Both are steady classes, though queries
/// tolerate half as much again. Three short prompts within one event stall a stream as one long prompt does:
/// on shared engines one stream in four pauses for longer than its callers tolerate, even at low load. So the
/// strictest streams have engines of their own.
#[test]
fn the_strictest_streams_share_no_engine_with_other_prompts() {
    let fraction = foreign_prefill_fraction(None);
    assert!(
        fraction < 0.02,
        "engines of streams prefill other classes' prompts for {fraction:.3} of their time"
    );
}

/// Without isolation groups, streams are disturbed; so the test above can't pass because there are too few
/// prompts.
#[test]
fn without_isolation_groups_streams_are_disturbed() {
    let fraction = foreign_prefill_fraction(Some(Mechanism::IsolationGroups));
    assert!(fraction > 0.05, "{fraction:.3}");
}
