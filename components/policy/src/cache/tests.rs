use std::time::{Duration, Instant};

use super::{Index, KEEPS, REPEATED, REPORTED_FOR};
use crate::terms::{Cached, Part, Request};

const LONG: u64 = 7;

fn request() -> Request {
    let now = Instant::now();
    Request {
        class: ids::Class::default(),
        workspace: ids::Workspace::default(),
        model: ids::Model::default(),
        prefix: LONG,
        prompt_tokens: 9_000,
        shared: vec![Part { id: 1, tokens: 400 }, Part { id: LONG, tokens: 6_000 }],
        max_tokens: None,
        arrived: now,
        deadline: now,
        idempotent: true,
        region: ids::Region::default(),
    }
}

fn servers() -> [ids::Server; 2] {
    let mut all = slotmap::SlotMap::<ids::Server, ()>::with_key();
    [all.insert(()), all.insert(())]
}

/// All caches are empty and a rush of one session comes. While its home reads the beginning for the
/// first, others are sent to follow, but no engine is reported to take over what isn't there yet.
#[test]
fn what_was_only_sent_is_followed_and_not_taken_over() {
    let (mut index, now, [one, two]) = (Index::default(), Instant::now(), servers());
    let request = request();
    index.record_send(&request, one, now);
    assert_eq!(index.kept(&request.shared, one, now), 6_400);
    assert_eq!(index.kept(&request.shared, two, now), 0);
    assert_eq!(index.sources(&request.shared, now).count(), 0);
    index.record_prefill(&request, one, now);
    assert_eq!(index.sources(&request.shared, now).collect::<Vec<_>>(), [one]);
}

/// A session wasn't asked for in a while. Its engine has read other prompts since and may keep nothing of
/// it; whoever believes otherwise waits for an engine that has to read it all.
#[test]
fn what_was_not_used_for_long_is_not_relied_on() {
    let (mut index, now, [one, _]) = (Index::default(), Instant::now(), servers());
    let request = request();
    index.record_send(&request, one, now);
    index.record_prefill(&request, one, now);
    assert_eq!(index.kept(&request.shared, one, now + KEEPS), 0);
    index.record_send(&request, one, now + KEEPS);
    assert_eq!(index.sources(&request.shared, now + KEEPS).count(), 0);
}

/// An engine crashed and starts again under its name. It keeps nothing of before.
#[test]
fn a_lost_engine_keeps_nothing() {
    let (mut index, now, [one, two]) = (Index::default(), Instant::now(), servers());
    let request = request();
    for server in [one, two] {
        index.record_prefill(&request, server, now);
    }
    index.remove_server(one);
    assert_eq!(index.kept(&request.shared, one, now), 0);
    assert_eq!(index.sources(&request.shared, now).collect::<Vec<_>>(), [two]);
}

/// Hundreds of requests of a session are served at its home. Other nodes are reported once in a while, and not
/// of short parts; a node would else spend its bytes on what they know.
#[test]
fn others_are_told_what_they_have_not_heard() {
    let (mut index, now, [one, _]) = (Index::default(), Instant::now(), servers());
    let request = request();
    for n in 0..100 {
        index.record_prefill(&request, one, now + Duration::from_millis(n));
    }
    let news = Cached { server: one, part: LONG };
    assert_eq!(index.updates(now + Duration::from_millis(100)), [news]);
    assert!(index.updates(now + REPORTED_FOR).is_empty());
    index.apply_update(news, now + REPEATED);
    index.record_prefill(&request, one, now + REPEATED + Duration::from_millis(1));
    assert!(index.updates(now + REPEATED + Duration::from_millis(2)).is_empty());
}

/// A node is set to tell nothing, so nobody asks for its news. Kept for ever, they would fill its memory.
#[test]
fn news_that_nobody_asks_for_is_dropped() {
    let (mut index, now, [one, _]) = (Index::default(), Instant::now(), servers());
    for n in 0..100 {
        index.record_prefill(&request(), one, now + REPEATED * n);
    }
    assert_eq!(index.updates.len(), 1);
}
