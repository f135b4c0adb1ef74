//! Tests which servers are kept and removed as the list changes around outages of the store.

use std::time::{Duration, Instant};

use catalog::{Change, Entry, Membership};

fn listed(name: &str, leaving: bool) -> Change {
    Change::Listed(Entry {
        name: name.to_string(),
        service: "a".to_string(),
        version: "v1".to_string(),
        address: "10.0.0.1:80".to_string(),
        domain: "riga-a".to_string(),
        slots: 8,
        leaving,
        engine: false,
        models: vec![],
        started: None,
        cold: None,
    })
}

fn gone(name: &str) -> Change {
    Change::Gone(name.to_string())
}

fn after(now: Instant, millis: u64) -> Instant {
    now + Duration::from_millis(millis)
}

/// A server that goes missing while the store is available must be removed at once, or requests would
/// be sent to it.
#[test]
fn a_missing_server_is_removed_while_the_store_is_available() {
    let (mut membership, now) = (Membership::default(), Instant::now());
    membership.apply(listed("a", false), now);
    assert_eq!(membership.apply(gone("a"), now), ["a"]);
    assert!(membership.get("a").is_none());
}

/// Entries expire during an outage of the store. Live servers are listed again within two seconds of
/// its return; those that are missing then must be removed.
#[test]
fn lapsed_servers_have_time_to_come_back() {
    let (mut membership, now) = (Membership::default(), Instant::now());
    for name in ["a", "b"] {
        membership.apply(listed(name, false), now);
    }
    membership.mark_unavailable();
    assert!(membership.apply(gone("a"), now).is_empty());
    membership.mark_available(after(now, 1_000));
    assert!(membership.apply(gone("b"), after(now, 1_100)).is_empty());
    membership.apply(listed("b", false), after(now, 2_000));
    assert!(membership.remove_lapsed(after(now, 2_900)).is_empty());
    assert_eq!(membership.remove_lapsed(after(now, 3_000)), ["a"]);
    assert!(membership.get("b").is_some());
    assert_eq!(membership.apply(gone("b"), after(now, 3_100)), ["b"]);
}

/// A server that announced its shutdown goes missing during an outage of the store. It must be removed
/// at once: its entry didn't just expire.
#[test]
fn a_leaving_server_doesnt_lapse() {
    let (mut membership, now) = (Membership::default(), Instant::now());
    membership.apply(listed("a", true), now);
    membership.mark_unavailable();
    assert_eq!(membership.apply(gone("a"), now), ["a"]);
}

/// Servers write the same entry again and again; only an entry that differs may count as a change.
#[test]
fn the_same_entry_is_no_change() {
    let (mut membership, now) = (Membership::default(), Instant::now());
    assert_eq!(membership.apply(listed("a", false), now), ["a"]);
    assert!(membership.apply(listed("a", false), now).is_empty());
    assert_eq!(membership.apply(listed("a", true), now), ["a"]);
    assert!(membership.apply(gone("b"), now).is_empty());
}

/// A peer reports repeatedly that the store was unavailable until a moment ago. The time for missing
/// servers to come back must run from the store's return, not from each report.
#[test]
fn a_repeated_report_of_an_outage_doesnt_extend_it() {
    let now = Instant::now();
    let mut membership = Membership::default();
    membership.apply(listed("a", false), now);
    membership.mark_unavailable_until(now);
    assert!(membership.apply(gone("a"), now).is_empty());
    assert_eq!(membership.time_since_return(after(now, 1_500)), Some(Duration::from_millis(1_500)));
    membership.mark_unavailable_until(now);
    assert_eq!(membership.time_until_removal(after(now, 1_500)), Some(Duration::from_millis(500)));
    assert_eq!(membership.remove_lapsed(after(now, 2_000)), ["a"]);
    assert_eq!(
        (
            membership.time_until_removal(after(now, 2_000)),
            membership.time_since_return(after(now, 2_000))
        ),
        (None, None)
    );
}
