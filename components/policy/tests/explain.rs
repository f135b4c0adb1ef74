//! What operators are told of where a request would go.

mod common;

use std::time::Duration;

use common::prompts::{
    DRAFT, ENGINES, PREFILL_RATE, STEADY, fixture, report_peer_backlog, request, send, warm_up,
};
use common::{Fixture, server};
use policy::{Ending, Obstacle, Policy, Reason, Refusal, Server, explain};

/// A request is sent where the explanation just before said, for streams and for drafts that leave a loaded engine. Guards
/// against an explanation by other rules, or by other random numbers, than those of the decision.
#[test]
fn requests_go_where_the_explanation_says() {
    let mut fixture = fixture();
    warm_up(&mut fixture);
    for session in 0..100 {
        let class = [STEADY, DRAFT][session as usize % 2];
        let loaded = fixture.servers[session as usize % ENGINES];
        report_peer_backlog(&mut fixture, loaded, 2.0, 0.0);
        let asked = request(&fixture, class, session);
        let explanation = explain(&fixture.scheduler, &asked, fixture.now);
        let costs: Vec<_> = explanation.candidates.iter().filter_map(|c| c.costs).collect();
        assert_eq!(costs.len(), explanation.candidates.len(), "engines have costs");
        let (job, sent_to) = send(&mut fixture, class, session);
        assert_eq!(explanation.candidates[0].server, sent_to, "{explanation:?}");
        fixture.scheduler.attempt_ended(job, Ending::Completed, fixture.now);
    }
}

/// A scheduler that is asked before every request decides as one that never is, and counts the same. Guards against an
/// explanation that draws random numbers, creates pools or records what it expects.
#[test]
fn explaining_changes_nothing() {
    let run = |asks: bool| {
        let mut fixture = fixture();
        let mut sent = vec![];
        for session in 0..200 {
            let class = [STEADY, DRAFT][session as usize % 2];
            if asks {
                let before = format!("{:?}", fixture.scheduler);
                explain(&fixture.scheduler, &request(&fixture, class, session), fixture.now);
                assert_eq!(format!("{:?}", fixture.scheduler), before);
            }
            let (job, server) = send(&mut fixture, class, session);
            let index = fixture.servers.iter().position(|key| *key == server);
            sent.push((index, fixture.scheduler.waiting()));
            fixture.now += Duration::from_millis(3);
            fixture.scheduler.record_tokens(job, 1, fixture.now);
        }
        sent
    };
    assert_eq!(run(true), run(false));
}

/// The explanation states each engine's rate, what it caches, its queue and the age of what is known of it.
#[test]
fn candidates_are_described() {
    let mut fixture = fixture();
    let (job, holder) = send(&mut fixture, DRAFT, 1);
    common::prompts::complete(&mut fixture, job, Duration::from_millis(120));
    fixture.scheduler.set_measured_rates([(holder, Some(PREFILL_RATE / 3))]);
    report_peer_backlog(&mut fixture, holder, 0.1, 0.0);
    let now = fixture.now + Duration::from_millis(50);
    let explanation = explain(&fixture.scheduler, &request(&fixture, DRAFT, 1), now);
    let found = |server| explanation.candidates.iter().find(|found| found.server == server);
    let described = found(holder).expect("the engine that caches the prefix is considered");
    let rate = described.rate.expect("an engine has a rate");
    assert!(rate.measured && rate.tokens_per_second == f64::from(PREFILL_RATE / 3));
    assert_eq!(described.cached_tokens, 6_000);
    assert!((described.backlog - 0.1).abs() < 0.06, "{described:?}");
    assert!(described.speed < 0.5);
    assert_eq!(described.peers_age, Some(Duration::from_millis(50)));
    assert_eq!(described.report_age, None);
    let other = explanation.candidates.iter().find(|other| other.server != holder);
    let other = other.expect("other engines are considered");
    assert!(!other.rate.expect("an engine has a rate").measured);
    assert_eq!(other.cached_tokens, 0);
}

/// Servers that may not be sent the request are listed with the reason, and aren't candidates.
#[test]
fn excluded_servers_have_a_reason() {
    let mut fixture = Fixture::new(1, 3, 1, 8);
    let leaving = Server { leaving: true, ..server(1, 1, fixture.model) };
    fixture.scheduler.set_server(fixture.servers[0], leaving);
    let asked = fixture.request(0, 0, Duration::from_secs(30));
    fixture.scheduler.submit(asked.clone(), fixture.now);
    fixture.scheduler.poll(fixture.now, &mut vec![]);
    let full = |key: &ids::Server| fixture.scheduler.in_flight_at(*key) == 1;
    let full = fixture.servers.iter().copied().find(full).expect("a server has a free slot");
    let explanation = explain(&fixture.scheduler, &asked, fixture.now);
    let obstacle = |server| {
        let found = explanation.excluded.iter().find(|excluded| excluded.server == server);
        found.map(|excluded| excluded.obstacle)
    };
    assert_eq!(obstacle(fixture.servers[0]), Some(Obstacle::Held(Reason::Leaving)));
    assert_eq!(obstacle(full), Some(Obstacle::Full));
    let candidates: Vec<_> = explanation.candidates.iter().map(|found| found.server).collect();
    assert_eq!(candidates.len(), 1, "{explanation:?}");
    assert!(explanation.candidates[0].costs.is_none(), "servers without prefill have no costs");
    assert_eq!(explanation.servers, 3);
    assert_eq!(explanation.refused, None);
}

/// A request that no server may take is told to be refused.
#[test]
fn errors_on_a_request_that_no_server_may_take() {
    let fixture = fixture();
    let elsewhere = policy::Request { regions: Some(vec![]), ..request(&fixture, STEADY, 1) };
    let explanation = explain(&fixture.scheduler, &elsewhere, fixture.now);
    assert_eq!(explanation.refused, Some(Refusal::NoServer));
    assert!(explanation.candidates.is_empty() && explanation.servers == 0);
}
