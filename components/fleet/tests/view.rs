//! Who is there, as one node sees it, when links, lists and processes fail.

use std::time::{Duration, Instant};

use fleet::{Listed, Standing, View};
use wire::{Frame, Liveness, key};

const PERIOD: Duration = Duration::from_millis(500);

fn listed(names: &[&str]) -> Vec<Listed> {
    let one = |name: &&str| Listed {
        name: name.to_string(),
        address: format!("{name}:1"),
        domain: "riga-a".into(),
    };
    names.iter().map(one).collect()
}

fn frame(from: &str, incarnation: u64, beat: u64) -> Frame {
    Frame { from: from.into(), incarnation, beat, ..Default::default() }
}

fn standing(view: &View, name: &str, now: Instant) -> Standing {
    let (_, member) = view.members().find(|(held, _)| *held == name).expect("a member");
    view.standing(member, now)
}

fn names(view: &View) -> Vec<&str> {
    view.members().map(|(name, _)| name).collect()
}

/// Lets `seconds` pass with the node's own ticks on time; `each` acts after each tick.
fn pass(
    view: &mut View,
    now: &mut Instant,
    seconds: u64,
    mut each: impl FnMut(&mut View, Instant),
) {
    for _ in 0..seconds * 2 {
        *now += PERIOD;
        view.tick(*now, PERIOD);
        each(view, *now);
    }
}

// The list's publisher restarts and answers an empty list, or nothing for an hour. A view that
// emptied would make each node act as if it were alone, and the servers would run over.
#[test]
fn can_keep_its_members_without_a_list() {
    let mut now = Instant::now();
    let mut view = View::new();
    view.listed(listed(&["b", "c"]), now);
    view.listed([], now);
    pass(&mut view, &mut now, 3600, |view, now| {
        let beat =
            view.members().next().and_then(|(_, m)| m.last.as_ref()).map_or(1, |l| l.beat + 1);
        view.heard(frame("b", 1, beat), now);
    });
    assert_eq!(names(&view), ["b", "c"]);
    assert_eq!(standing(&view, "b", now), Standing::Alive);
    assert_eq!(standing(&view, "c", now), Standing::Silent);
}

// One link is deaf: nothing of `b` arrives here, but `c` hears it. Dropping `b` would hand its
// places to others while it goes on filling them.
#[test]
fn can_hear_of_a_member_through_another() {
    let mut now = Instant::now();
    let mut view = View::new();
    view.listed(listed(&["b", "c"]), now);
    let mut beat = 0;
    pass(&mut view, &mut now, 60, |view, now| {
        beat += 1;
        let alive = vec![Liveness { node: key("b"), age_ms: 700 }];
        view.heard(Frame { alive, ..frame("c", 1, beat) }, now);
    });
    assert_eq!(standing(&view, "b", now), Standing::Alive);
    let (_, member) = view.members().next().unwrap();
    assert!(!view.fresh(member, now), "what `b` has in flight isn't known");
}

// A member dies. Its last sign of life is passed round among the others; the sign must grow old on
// its way, or they would keep each other believing and its places would stay unused for ever.
#[test]
fn can_let_rumours_of_the_dead_grow_old() {
    let mut now = Instant::now();
    let mut view = View::new();
    view.listed(listed(&["b", "c"]), now);
    view.heard(frame("b", 1, 1), now);
    let died = now;
    let mut beat = 0;
    pass(&mut view, &mut now, 12, |view, now| {
        beat += 1;
        let age_ms = (now - died).as_millis() as u32;
        view.heard(
            Frame { alive: vec![Liveness { node: key("b"), age_ms }], ..frame("c", 1, beat) },
            now,
        );
    });
    assert_eq!(standing(&view, "b", now), Standing::Silent);
}

// A suspected member was only slow. Its next frame, or anybody's word that it lives, refutes the
// suspicion at once.
#[test]
fn can_refute_a_suspicion() {
    let mut now = Instant::now();
    let mut view = View::new();
    view.listed(listed(&["b", "c"]), now);
    view.heard(frame("b", 1, 1), now);
    pass(&mut view, &mut now, 5, |_, _| {});
    assert_eq!(standing(&view, "b", now), Standing::Suspect);
    view.heard(
        Frame { alive: vec![Liveness { node: key("b"), age_ms: 100 }], ..frame("c", 1, 1) },
        now,
    );
    assert_eq!(standing(&view, "b", now), Standing::Alive);
}

// This process is stopped for a minute and wakes. Its peers were well all the time; taking them
// for dead would let it push the servers over their limit with work of its own.
#[test]
fn can_blame_itself_after_a_pause() {
    let mut now = Instant::now();
    let mut view = View::new();
    view.listed(listed(&["b"]), now);
    pass(&mut view, &mut now, 2, |view, now| {
        view.heard(frame("b", 1, 1), now);
    });
    now += Duration::from_secs(60);
    view.tick(now, PERIOD);
    assert_eq!(standing(&view, "b", now), Standing::Alive);
    let (_, member) = view.members().next().unwrap();
    assert!(!view.fresh(member, now), "old counts aren't acted on");
    pass(&mut view, &mut now, 60, |_, _| {});
    assert_eq!(standing(&view, "b", now), Standing::Silent, "and still it notices the dead");
}

// A process is replaced under its old name. Frames of the earlier start that arrive late tell of
// requests that no longer exist.
#[test]
fn can_tell_process_starts_apart() {
    let now = Instant::now();
    let mut view = View::new();
    view.listed(listed(&["b"]), now);
    let sent = vec![wire::InFlight { key: key("engine"), count: 3 }];
    assert!(view.heard(Frame { sent, ..frame("b", 1, 9) }, now));
    assert_eq!(view.sent("engine", now), 3);
    assert!(view.heard(frame("b", 2, 1), now));
    assert_eq!(view.sent("engine", now), 0);
    assert!(!view.heard(frame("b", 1, 10), now), "late frame of the earlier start");
    assert!(!view.heard(frame("b", 2, 0), now), "overtaken frame");
    let later = now + Duration::from_secs(11);
    assert!(view.heard(frame("b", 1, 1), later), "the later start's clock was wrong");
}

// The list lags by an hour while a node is replaced under a new name. Until the list has it, the
// new one is known by its own word, and gone again a minute after it falls silent.
#[test]
fn can_meet_a_member_that_no_list_names() {
    let mut now = Instant::now();
    let mut view = View::new();
    view.listed(listed(&["b"]), now);
    assert!(!view.heard(frame("x", 1, 1), now), "nobody knows where it is");
    view.heard(Frame { address: "x:1".into(), ..frame("x", 1, 2) }, now);
    assert_eq!(names(&view), ["b", "x"]);
    assert_eq!(view.published().collect::<Vec<_>>(), ["b"]);
    pass(&mut view, &mut now, 61, |_, _| {});
    assert_eq!(names(&view), ["b"]);
}

// A broken peer claims the future: load reports and signs of life younger than they can be. The
// worst that comes of it is that a dead member's places stay reserved.
#[test]
fn can_bear_a_lying_peer() {
    let mut now = Instant::now();
    let mut view = View::new();
    view.listed(listed(&["b", "c", "d"]), now);
    let mut beat = 0;
    pass(&mut view, &mut now, 30, |view, now| {
        beat += 1;
        view.heard(frame("b", 1, beat), now);
        let alive = vec![
            Liveness { node: key("b"), age_ms: u32::MAX },
            Liveness { node: key("d"), age_ms: 0 },
        ];
        view.heard(Frame { alive, ..frame("c", 1, beat) }, now);
    });
    assert_eq!(standing(&view, "b", now), Standing::Alive, "nobody is talked out of the view");
    assert_eq!(standing(&view, "d", now), Standing::Alive, "the dead one's places stay reserved");
}
