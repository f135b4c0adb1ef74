//! Tests one node's view of its peers when links, published lists and processes fail.

use std::time::{Duration, Instant};

use fleet::{ListedVm, MemberStatus, View};
use wire::{Frame, Liveness, key};

const PERIOD: Duration = Duration::from_millis(500);

fn list(names: &[&str]) -> Vec<ListedVm> {
    let vm = |name: &&str| ListedVm {
        name: name.to_string(),
        address: format!("{name}:1"),
        domain: "riga-a".into(),
    };
    names.iter().map(vm).collect()
}

fn frame(from: &str, incarnation: u64, sequence: u64) -> Frame {
    Frame { from: from.into(), incarnation, sequence, ..Default::default() }
}

fn status(view: &View, name: &str, now: Instant) -> MemberStatus {
    let (_, member) = view.members().find(|(other, _)| *other == name).expect("a member");
    view.status(member, now)
}

fn names(view: &View) -> Vec<&str> {
    view.members().map(|(name, _)| name).collect()
}

/// Lets `seconds` pass with punctual ticks of the node; calls `each` after each tick.
fn advance(
    view: &mut View,
    now: &mut Instant,
    seconds: u64,
    mut each: impl FnMut(&mut View, Instant),
) {
    for _ in 0..seconds * 2 {
        *now += PERIOD;
        view.record_tick(*now, PERIOD);
        each(view, *now);
    }
}

// The publisher of the list restarts and returns an empty list, or nothing for an hour. If the view became
// empty, each node would act as if it were alone, and the servers would be overloaded.
#[test]
fn can_keep_its_members_without_a_list() {
    let mut now = Instant::now();
    let mut view = View::new();
    view.apply_list(list(&["b", "c"]), now);
    view.apply_list([], now);
    advance(&mut view, &mut now, 3600, |view, now| {
        let sequence = view
            .members()
            .next()
            .and_then(|(_, m)| m.last_frame.as_ref())
            .map_or(1, |l| l.sequence + 1);
        view.receive(frame("b", 1, sequence), now);
    });
    assert_eq!(names(&view), ["b", "c"]);
    assert_eq!(status(&view, "b", now), MemberStatus::Alive);
    assert_eq!(status(&view, "c", now), MemberStatus::Unreachable);
}

// A link fails in one direction: no frames of `b` arrive here, but they do at `c`. If `b` were dropped, its
// slots would go to others while it still fills them.
#[test]
fn can_receive_signs_of_life_through_another() {
    let mut now = Instant::now();
    let mut view = View::new();
    view.apply_list(list(&["b", "c"]), now);
    let mut sequence = 0;
    advance(&mut view, &mut now, 60, |view, now| {
        sequence += 1;
        let liveness = vec![Liveness { node: key("b"), age_ms: 700 }];
        view.receive(Frame { liveness, ..frame("c", 1, sequence) }, now);
    });
    assert_eq!(status(&view, "b", now), MemberStatus::Alive);
    let (_, member) = view.members().next().unwrap();
    assert!(!view.is_fresh(member, now), "the requests that `b` has in flight aren't known");
}

// A member fails, and the others pass on its last sign of life. The sign's age must grow while it is passed
// on; otherwise the member would count as alive for ever, and its slots would stay unused.
#[test]
fn can_age_signs_of_life_that_are_passed_on() {
    let mut now = Instant::now();
    let mut view = View::new();
    view.apply_list(list(&["b", "c"]), now);
    view.receive(frame("b", 1, 1), now);
    let died = now;
    let mut sequence = 0;
    advance(&mut view, &mut now, 12, |view, now| {
        sequence += 1;
        let age_ms = (now - died).as_millis() as u32;
        view.receive(
            Frame {
                liveness: vec![Liveness { node: key("b"), age_ms }],
                ..frame("c", 1, sequence)
            },
            now,
        );
    });
    assert_eq!(status(&view, "b", now), MemberStatus::Unreachable);
}

// A suspected member was only slow. Its next frame, or a sign of life passed on by any node, must refute the
// suspicion at once.
#[test]
fn can_refute_a_suspicion() {
    let mut now = Instant::now();
    let mut view = View::new();
    view.apply_list(list(&["b", "c"]), now);
    view.receive(frame("b", 1, 1), now);
    advance(&mut view, &mut now, 5, |_, _| {});
    assert_eq!(status(&view, "b", now), MemberStatus::Suspect);
    view.receive(
        Frame { liveness: vec![Liveness { node: key("b"), age_ms: 100 }], ..frame("c", 1, 1) },
        now,
    );
    assert_eq!(status(&view, "b", now), MemberStatus::Alive);
}

// This process is paused for a minute and resumes. Its peers were healthy all the time; if it considered
// them unreachable, it would push the servers over their limit with its own work.
#[test]
fn can_keep_peers_alive_after_its_own_pause() {
    let mut now = Instant::now();
    let mut view = View::new();
    view.apply_list(list(&["b"]), now);
    advance(&mut view, &mut now, 2, |view, now| {
        view.receive(frame("b", 1, 1), now);
    });
    now += Duration::from_secs(60);
    view.record_tick(now, PERIOD);
    assert_eq!(status(&view, "b", now), MemberStatus::Alive);
    let (_, member) = view.members().next().unwrap();
    assert!(!view.is_fresh(member, now), "old counts aren't acted on");
    advance(&mut view, &mut now, 60, |_, _| {});
    assert_eq!(
        status(&view, "b", now),
        MemberStatus::Unreachable,
        "a failed member is still noticed"
    );
}

// A process is replaced under its old name. Late frames of the earlier process report requests that no
// longer exist.
#[test]
fn can_distinguish_process_starts() {
    let now = Instant::now();
    let mut view = View::new();
    view.apply_list(list(&["b"]), now);
    let in_flight = vec![wire::InFlight { key: key("engine"), count: 3 }];
    assert!(view.receive(Frame { in_flight, ..frame("b", 1, 9) }, now));
    assert_eq!(view.peers_in_flight("engine", now), 3);
    assert!(view.receive(frame("b", 2, 1), now));
    assert_eq!(view.peers_in_flight("engine", now), 0);
    assert!(!view.receive(frame("b", 1, 10), now), "late frame of the earlier process start");
    assert!(!view.receive(frame("b", 2, 0), now), "frame that arrives after a newer one");
    let later = now + Duration::from_secs(11);
    assert!(view.receive(frame("b", 1, 1), later), "the later start's clock was wrong");
}

// The list lags by an hour while a node is replaced under a new name. Until the list contains the new node,
// it is known by its own frames, and removed a minute after the last of them.
#[test]
fn can_add_a_member_that_is_not_listed() {
    let mut now = Instant::now();
    let mut view = View::new();
    view.apply_list(list(&["b"]), now);
    assert!(!view.receive(frame("x", 1, 1), now), "its address isn't known");
    view.receive(Frame { address: "x:1".into(), ..frame("x", 1, 2) }, now);
    assert_eq!(names(&view), ["b", "x"]);
    assert_eq!(view.listed_names().collect::<Vec<_>>(), ["b"]);
    advance(&mut view, &mut now, 61, |_, _| {});
    assert_eq!(names(&view), ["b"]);
}

// A faulty peer passes on signs of life with wrong ages. The worst effect may be that a failed member's
// slots stay reserved.
#[test]
fn can_tolerate_wrong_ages_from_a_peer() {
    let mut now = Instant::now();
    let mut view = View::new();
    view.apply_list(list(&["b", "c", "d"]), now);
    let mut sequence = 0;
    advance(&mut view, &mut now, 30, |view, now| {
        sequence += 1;
        view.receive(frame("b", 1, sequence), now);
        let liveness = vec![
            Liveness { node: key("b"), age_ms: u32::MAX },
            Liveness { node: key("d"), age_ms: 0 },
        ];
        view.receive(Frame { liveness, ..frame("c", 1, sequence) }, now);
    });
    assert_eq!(status(&view, "b", now), MemberStatus::Alive, "no report removes a member");
    assert_eq!(
        status(&view, "d", now),
        MemberStatus::Alive,
        "the failed member's slots stay reserved"
    );
}
