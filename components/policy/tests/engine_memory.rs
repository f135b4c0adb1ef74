//! Engines whose memory is stated: for how long a prompt prefix counts as cached there, and where requests are sent.

mod common;

use std::time::Duration;

use common::Fixture;
use common::prompts::{DRAFT, PREFILL_RATE, STEADY, complete, fixture, request, send};
use policy::{Action, Backlog, Ending, Mechanism, Policy, Request};

const CACHE_TOKENS: u32 = 200_000;

/// A node before engines with so much memory.
fn fixture_with_memory(tokens: Option<u32>) -> Fixture {
    let mut fixture = fixture();
    for key in fixture.servers.clone() {
        fixture.scheduler.set_cache_tokens(key, tokens);
    }
    fixture
}

/// Reports what other nodes run at an engine, and what they inserted in 8 s.
fn report_peers(fixture: &mut Fixture, server: ids::Server, running: f64, inserted: f64) {
    let (running_tokens, inserted_tokens) = (running, inserted);
    let row = Backlog { server, running_tokens, inserted_tokens, ..Backlog::default() };
    fixture.scheduler.set_backlogs(&[row], fixture.now);
}

/// Sends a draft of a session that an engine has served, `later` after that, while other nodes use that engine's memory.
/// Returns its expected prefill in seconds, and whether it went to that engine.
fn resend(mut fixture: Fixture, later: f64, running: f64, inserted: f64) -> (f64, bool) {
    let (job, engine) = send(&mut fixture, DRAFT, 1_000);
    complete(&mut fixture, job, Duration::from_millis(120));
    fixture.now += Duration::from_secs_f64(later);
    report_peers(&mut fixture, engine, running, inserted);
    let (job, server) = send(&mut fixture, DRAFT, 1_000);
    let expected = fixture.scheduler.estimates(job).expect("it was sent");
    (expected.prefill.as_secs_f64(), server == engine)
}

/// Seconds in which an engine prefills a draft whose shared part it has cached, at most.
const CACHED_SECONDS: f64 = 0.06;

/// Memory pressure: other nodes fill the engine, so that a prefix is evicted seconds after its last use. A node that counts
/// it as cached for 10 s expects a first token in half the time that it takes.
#[test]
fn a_prefix_is_not_expected_where_it_was_evicted() {
    let (horizon_s, running) = (4.0, 120_000.0);
    let inserted = (f64::from(CACHE_TOKENS) - running) / horizon_s * 8.0;
    let prefill = |later| {
        let fixture = fixture_with_memory(Some(CACHE_TOKENS));
        resend(fixture, later, running, inserted).0
    };
    assert!(prefill(1.0) < CACHED_SECONDS, "used within the horizon");
    assert!(prefill(6.0) > CACHED_SECONDS * 2.0, "evicted: {}", prefill(6.0));
    let before = |fixture: Fixture| resend(fixture, 6.0, running, inserted).0;
    assert!(before(fixture_with_memory(None)) < CACHED_SECONDS, "memory isn't stated");
    let mut disabled = fixture_with_memory(Some(CACHE_TOKENS));
    disabled.scheduler =
        std::mem::take(&mut disabled.scheduler).with_disabled(Mechanism::CacheMemory);
    assert!(before(disabled) < CACHED_SECONDS, "disabled");
}

/// Between surely cached and surely evicted, the expected prefill rises gradually: a step would send all requests of a
/// session away at once.
#[test]
fn expected_prefill_rises_with_the_age_of_the_prefix() {
    let prefill = |later| {
        let fixture = fixture_with_memory(Some(CACHE_TOKENS));
        resend(fixture, later, 100_000.0, 160_000.0).0
    };
    let by_age = [3.0, 4.0, 4.5, 7.0].map(prefill);
    assert!(by_age.windows(2).all(|pair| pair[0] < pair[1]), "{by_age:?}");
}

/// A burst of other nodes' prompts fills an engine. Once it has ended, prefixes count as cached for as long as before.
#[test]
fn a_burst_counts_only_while_it_lasts() {
    let mut fixture = fixture_with_memory(Some(CACHE_TOKENS));
    let engine = fixture.servers[0];
    let horizon = |fixture: &mut Fixture| {
        let jobs = (0..200).map(|session| send(fixture, STEADY, session));
        let (job, _) = jobs.collect::<Vec<_>>().into_iter().find(|(_, to)| *to == engine)?;
        fixture.scheduler.estimates(job)?.horizon
    };
    report_peers(&mut fixture, engine, 150_000.0, 200_000.0);
    let during = horizon(&mut fixture);
    assert!(during.is_some_and(|horizon| horizon < Duration::from_secs(3)), "{during:?}");
    // The engine has no row any more.
    fixture.scheduler.set_backlogs(&[], fixture.now);
    assert_eq!(horizon(&mut fixture), None);
}

/// An engine whose memory is full of running requests lets the next one wait. A node that doesn't count this sends it
/// there for its cached prefix, where it misses its target.
#[test]
fn a_request_leaves_an_engine_without_room() {
    let capacity = 40_000;
    let full = f64::from(capacity) * 3.0;
    assert!(!resend(fixture_with_memory(Some(capacity)), 0.5, full, 1_000.0).1);
    assert!(resend(fixture_with_memory(None), 0.5, full, 1_000.0).1);
}

/// Prompts without a shared part cost the same everywhere, apart from what they evict. Half of the engines evict within three
/// seconds what others will ask for again.
#[test]
fn prompts_go_where_they_evict_nothing() {
    let mut fixture = fixture_with_memory(Some(CACHE_TOKENS));
    let crowded = fixture.servers[..4].to_vec();
    let rows = crowded.iter().map(|server| Backlog {
        server: *server,
        running_tokens: 100_000.0,
        inserted_tokens: 300_000.0,
        ..Backlog::default()
    });
    let rows: Vec<_> = rows.collect();
    for session in 0..50 {
        fixture.scheduler.set_backlogs(&rows, fixture.now);
        let prompt = Request { shared: vec![], ..request(&fixture, DRAFT, session) };
        fixture.scheduler.submit(prompt, fixture.now);
        let mut actions = vec![];
        fixture.scheduler.poll(fixture.now, &mut actions);
        let [Action::Send { job, server }] = actions[..] else { panic!("{actions:?}") };
        assert!(!crowded.contains(&server), "session {session}");
        complete(&mut fixture, job, Duration::from_millis(150));
    }
}

/// Reports of other nodes are lost. Their requests no longer count then, and the node decides by its own, as before.
#[test]
fn lost_reports_expire() {
    let mut fixture = fixture_with_memory(Some(CACHE_TOKENS));
    let (job, engine) = send(&mut fixture, DRAFT, 1_000);
    complete(&mut fixture, job, Duration::from_millis(120));
    report_peers(&mut fixture, engine, 120_000.0, 160_000.0);
    let (job, server) = send(&mut fixture, DRAFT, 1_000);
    let expected = fixture.scheduler.estimates(job).expect("it was sent");
    assert!(server == engine && expected.horizon.is_some());
    complete(&mut fixture, job, Duration::from_millis(120));
    fixture.now += Duration::from_secs(8);
    fixture.scheduler.cache_updates(fixture.now);
    let (job, server) = send(&mut fixture, DRAFT, 1_000);
    let expected = fixture.scheduler.estimates(job).expect("it was sent");
    assert_eq!((server, expected.horizon), (engine, None));
    assert!(expected.prefill.as_secs_f64() < CACHED_SECONDS, "{expected:?}");
}

/// What a request counts for is taken back however its attempt ends. Otherwise engines would seem full after some hours.
#[test]
fn memory_is_free_again_after_any_end() {
    let mut fixture = fixture_with_memory(Some(CACHE_TOKENS));
    let endings = [
        Ending::Completed,
        Ending::Cancelled,
        Ending::Broken,
        Ending::NotRun,
        Ending::Unreached,
        Ending::Stopped,
    ];
    let running = |fixture: &Fixture| {
        let backlogs = fixture.scheduler.backlogs(fixture.now);
        backlogs.iter().map(|backlog| backlog.running_tokens).sum::<f64>()
    };
    fixture.scheduler.set_fleet_nodes(90);
    for (session, ending) in endings.into_iter().enumerate() {
        let (job, _) = send(&mut fixture, DRAFT, session as u64);
        assert!(running(&fixture) >= 9_000.0);
        fixture.scheduler.attempt_ended(job, ending, fixture.now);
        fixture.scheduler.withdraw(job, fixture.now);
        assert_eq!(running(&fixture), 0.0, "{ending:?}");
    }
}

/// Sends drafts and streams at a steady rate, each of which takes 300 ms; returns to which engine each one was sent, and
/// what was expected there.
fn decisions(mut fixture: Fixture) -> Vec<(usize, Duration, Option<ids::Server>)> {
    common::prompts::enable_fetch(&mut fixture);
    let (mut running, mut decisions) = (std::collections::VecDeque::new(), vec![]);
    for step in 0..3_000_u64 {
        let class = if step % 3 == 0 { DRAFT } else { STEADY };
        let job = request(&fixture, class, step * step % 61);
        running.push_back(fixture.scheduler.submit(job, fixture.now));
        let mut actions = vec![];
        fixture.scheduler.poll(fixture.now, &mut actions);
        for action in actions {
            let Action::Send { job, server } = action else { continue };
            let index = fixture.servers.iter().position(|key| *key == server);
            let expected = fixture.scheduler.estimates(job).expect("it was sent");
            decisions.push((index.unwrap(), expected.prefill, expected.fetch));
        }
        fixture.now += Duration::from_millis(20);
        if let Some(index) = running.len().checked_sub(4) {
            fixture.scheduler.record_tokens(running[index], 4, fixture.now);
        }
        if running.len() > 15 {
            let job = running.pop_front().unwrap();
            fixture.scheduler.record_tokens(job, 30, fixture.now);
            fixture.scheduler.attempt_ended(job, Ending::Completed, fixture.now);
        }
    }
    decisions
}

/// Engines with plenty of memory, and with the mechanism disabled those with little: each decision is the same as where no
/// memory is stated.
#[test]
fn plenty_of_memory_changes_no_decision() {
    let before = decisions(fixture_with_memory(None));
    assert_eq!(before.len(), 3_000);
    assert!(before == decisions(fixture_with_memory(Some(20_000_000))), "plenty of memory");
    let mut disabled = fixture_with_memory(Some(50_000));
    disabled.scheduler =
        std::mem::take(&mut disabled.scheduler).with_disabled(Mechanism::CacheMemory);
    assert!(before == decisions(disabled), "disabled");
    assert!(before != decisions(fixture_with_memory(Some(50_000))), "little memory has an effect");
}

/// Each node of a fleet has little at an engine, but all together fill it. If nodes reported only what crowds the engine
/// by itself, none would know.
#[test]
fn a_small_part_of_a_crowded_engine_is_reported() {
    let mut fixture = fixture_with_memory(Some(CACHE_TOKENS));
    let reported = |fixture: &mut Fixture, nodes| {
        fixture.scheduler.set_fleet_nodes(nodes);
        let backlogs = fixture.scheduler.backlogs(fixture.now);
        backlogs.iter().map(|backlog| backlog.running_tokens).sum::<f64>()
    };
    let (job, engine) = send(&mut fixture, DRAFT, 1);
    assert_eq!(reported(&mut fixture, 1), 0.0, "a node alone doesn't crowd it");
    assert!(reported(&mut fixture, 90) >= 9_000.0);
    fixture.scheduler.set_fleet_nodes(1);
    report_peers(&mut fixture, engine, 150_000.0, 0.0);
    assert!(reported(&mut fixture, 1) >= 9_000.0, "others crowd it");
    complete(
        &mut fixture,
        job,
        Duration::from_millis(f64::from(9_000 * 1_000 / PREFILL_RATE) as u64),
    );
    assert_eq!(reported(&mut fixture, 90), 0.0);
}
