use std::time::{Duration, Instant};

use super::{Index, MAX_PARTS, REPORT_AGAIN_AFTER, REPORTED_FOR, RETENTION};
use crate::terms::{Cached, Part, Request};

/// Identifier of a part that is long enough to be reported.
const LONG: u64 = 7;

fn request() -> Request {
    let now = Instant::now();
    Request {
        class: ids::Class::default(),
        workspace: ids::Workspace::default(),
        model: ids::Model::default(),
        service: ids::Model::default(),
        prefix: LONG,
        prompt_tokens: 9_000,
        shared: vec![Part { id: 1, tokens: 400 }, Part { id: LONG, tokens: 6_000 }],
        max_tokens: None,
        length_hint: None,
        arrived: now,
        deadline: now,
        idempotent: true,
        region: ids::Region::default(),
        regions: None,
        version: None,
        prior: crate::terms::Prior::default(),
    }
}

fn servers() -> [ids::Server; 2] {
    let mut all = slotmap::SlotMap::<ids::Server, ()>::with_key();
    [all.insert(()), all.insert(())]
}

/// In a burst of one session, requests follow the first one to its engine while that prefills the prefix, but no
/// engine fetches the prefix before it is there.
#[test]
fn a_part_is_no_source_until_it_is_prefilled() {
    let (mut index, now, [one, two]) = (Index::default(), Instant::now(), servers());
    let request = request();
    index.record_send(&request, one, now);
    assert_eq!(index.cached_tokens(&request.shared, one, now), 6_400);
    assert_eq!(index.cached_tokens(&request.shared, two, now), 0);
    assert_eq!(index.fetch_sources(&request.shared, now).count(), 0);
    index.record_prefill(&request, one, now);
    assert_eq!(index.fetch_sources(&request.shared, now).collect::<Vec<_>>(), [one]);
}

/// An engine may have evicted a prefix that wasn't used for a while. A request that is sent there for the prefix
/// would wait until all of it is prefilled.
#[test]
fn unused_parts_expire() {
    let (mut index, now, [one, _]) = (Index::default(), Instant::now(), servers());
    let request = request();
    index.record_send(&request, one, now);
    index.record_prefill(&request, one, now);
    assert_eq!(index.cached_tokens(&request.shared, one, now + RETENTION), 0);
    index.record_send(&request, one, now + RETENTION);
    assert_eq!(index.fetch_sources(&request.shared, now + RETENTION).count(), 0);
}

/// An engine that crashed and restarted under its name has an empty cache.
#[test]
fn a_removed_engine_caches_nothing() {
    let (mut index, now, [one, two]) = (Index::default(), Instant::now(), servers());
    let request = request();
    for server in [one, two] {
        index.record_prefill(&request, server, now);
    }
    index.void_server(one);
    assert_eq!(index.cached_tokens(&request.shared, one, now), 0);
    assert_eq!(index.fetch_sources(&request.shared, now).collect::<Vec<_>>(), [two]);
}

/// However many requests of a session an engine serves, its prefix is reported once in a while, and not while
/// another node does; short parts aren't reported. Otherwise reports are full of what the peers know.
#[test]
fn only_unknown_long_parts_are_reported() {
    let (mut index, now, [one, _]) = (Index::default(), Instant::now(), servers());
    let request = request();
    for n in 0..100 {
        index.record_prefill(&request, one, now + Duration::from_millis(n));
    }
    let update = Cached { server: one, part: LONG };
    assert_eq!(index.parts_to_report(now + Duration::from_millis(100)), [update]);
    assert!(index.parts_to_report(now + REPORTED_FOR).is_empty());
    index.apply_update(update, now + REPORT_AGAIN_AFTER);
    index.record_prefill(&request, one, now + REPORT_AGAIN_AFTER + Duration::from_millis(1));
    assert!(index.parts_to_report(now + REPORT_AGAIN_AFTER + Duration::from_millis(2)).is_empty());
}

/// In a node that is set to report nothing, old updates are dropped, or they would fill its memory.
#[test]
fn unreported_updates_are_dropped() {
    let (mut index, now, [one, _]) = (Index::default(), Instant::now(), servers());
    for n in 0..100 {
        index.record_prefill(&request(), one, now + REPORT_AGAIN_AFTER * n);
    }
    assert_eq!(index.updates.len(), 1);
}

/// A fleet caches more parts within the retention than the index holds. The least recently used ones go; if all went
/// at once, every session would be prefilled again.
#[test]
fn the_least_recently_used_parts_make_room() {
    let (mut index, start, [one, _]) = (Index::default(), Instant::now(), servers());
    let spacing = RETENTION / (2 * MAX_PARTS as u32);
    let at = |part: u64| start + spacing * part as u32;
    let parts = 2 * MAX_PARTS as u64;
    for part in 0..parts {
        index.apply_update(Cached { server: one, part }, at(part));
        assert!(index.parts.len() <= MAX_PARTS, "{} parts", index.parts.len());
    }
    let last = at(parts - 1);
    let recent = (parts - MAX_PARTS as u64 / 4..parts).map(|id| [Part { id, tokens: 1 }]);
    let known = recent.filter(|part| index.cached_tokens(part, one, last) > 0);
    assert_eq!(known.count(), MAX_PARTS / 4);
}

/// An engine that lost its cache and has prefilled a part again caches that part, also once old entries were dropped.
#[test]
fn a_part_that_was_prefilled_again_counts() {
    let (mut index, now, [one, _]) = (Index::default(), Instant::now(), servers());
    let request = request();
    index.record_send(&request, one, now);
    index.void_server(one);
    index.record_prefill(&request, one, now);
    assert_eq!(index.cached_tokens(&request.shared, one, now), 6_400);
    let later = now + RETENTION - Duration::from_millis(1);
    index.record_prefill(&request, one, later);
    index.record_send(&request, one, later + Duration::from_millis(2));
    assert_eq!(index.cached_tokens(&request.shared, one, later), 6_400);
}
