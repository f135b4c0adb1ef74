//! Plays all orders of a few events at one server and one node, with the rule by which a stream counts as begun by the version
//! in its server's entry.

use origins::{Identity, Origin, Version};

/// Events that are played in each order.
const DEPTH: usize = 6;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// The process ends, and another one starts under the name, with this software.
    Start(u32),
    /// The process writes its entry.
    Write,
    /// The entry lapses.
    Lapse,
    /// The store comes back from a copy that was made before all of this.
    Restore,
    /// The node reads the entry.
    Read,
    /// The node makes a connection.
    Connect,
    /// The process says on the connection when it started.
    Ask,
    /// The process declines to.
    Decline,
}

const EVENTS: [Event; 9] = [
    Event::Start(1),
    Event::Start(2),
    Event::Write,
    Event::Lapse,
    Event::Restore,
    Event::Read,
    Event::Connect,
    Event::Ask,
    Event::Decline,
];

/// A process or an entry: the version, and the start.
type Process = (u32, u64);

#[derive(Clone, Debug)]
struct Play {
    running: Process,
    written: Option<Process>,
    read: Option<Process>,
    /// The process behind the connection, and the start that it stated.
    connection: Option<(Process, Option<u64>)>,
}

impl Play {
    fn new() -> Self {
        let first = (1, 0);
        Play { running: first, written: Some(first), read: Some(first), connection: None }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Start(version) => {
                self.running = (version, self.running.1 + 1);
                self.connection = None;
            }
            Event::Write => self.written = Some(self.running),
            Event::Lapse => self.written = None,
            Event::Restore => self.written = Some((1, 0)),
            Event::Read => self.read = self.written,
            Event::Connect => self.connection = Some((self.running, None)),
            Event::Ask => {
                if let Some((process, stated)) = &mut self.connection {
                    *stated = Some(process.1);
                }
            }
            Event::Decline => {}
        }
    }

    /// The version that a stream counts as begun by which begins now, by the rule, and the one that begins it.
    fn begin(&self) -> Option<(Origin, Version)> {
        let (entry, (process, stated)) = (self.read?, self.connection?);
        let identity = Identity::judge(Some(entry.1), stated);
        Some((identity.origin(Version(entry.0)), Version(process.0)))
    }
}

/// Checks what is so after `play`, and after each order of up to `depth` events that follow it.
fn play_all(play: &Play, depth: usize, check: &mut impl FnMut(&Play)) {
    check(play);
    if depth == 0 {
        return;
    }
    for event in EVENTS {
        let mut next = play.clone();
        next.apply(event);
        play_all(&next, depth - 1, check);
    }
}

/// Guards against a stream that counts as begun by a version that didn't begin it, in any order of events, and against a rule
/// that proves no stream.
#[test]
fn can_name_only_the_version_that_began_a_stream() {
    let (mut certain, mut wrong_by_list) = (0, 0);
    play_all(&Play::new(), DEPTH, &mut |play| {
        let Some((origin, began)) = play.begin() else { return };
        let listed = play.read.map(|(version, _)| Version(version));
        wrong_by_list += u32::from(listed != Some(began));
        if let Origin::Version(version) = origin {
            assert_eq!(version, began, "{play:?}");
            certain += 1;
        }
    });
    assert!(certain > 1_000 && wrong_by_list > 1_000, "{certain}, {wrong_by_list}");
}

/// Guards against a server that never states a start whose streams can't go on any more.
#[test]
fn can_accept_a_server_that_states_no_start() {
    assert!(Identity::judge(None, None).is_accepted());
    for identity in [Identity::Other, Identity::Silent] {
        assert!(!identity.is_accepted());
        assert_eq!(identity.origin(Version(1)), Origin::Uncertain);
    }
}
