//! Model-checks that a key runs at most once: explores breadth first every interleaving of a small
//! fleet, a few calls with one key and a list that changes, using the real code of [`Owner`].
//!
//! Time passes in ticks. The model contains these faults: reads of the list that lag or don't happen
//! (a paused process is a member that takes no step while time passes), clocks that differ, calls that
//! are lost, delayed or reordered, crashes at any time, members that restart without memory, and lists
//! that change and change back.

use std::collections::{HashSet, VecDeque};
use std::hash::Hash;
use std::time::{Duration, SystemTime};

use xxhash_rust::xxh3::Xxh3Default;

use idempotency::{Bounds, CallKey, Decision, Member, Owner, Record};

const TICK: Duration = Duration::from_secs(1);
const MEMBER_COUNT: usize = 2;
/// Age in ticks of a read that a member with [`Flaw::StaleReads`] still acts on. At the start member 0
/// has been the owner for a multiple of this.
const STALE_TICKS: u32 = 12;
/// First tick of the exploration, at which every member has read the first list.
const START_TICK: u64 = 100;

/// A fault that the model contains on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Flaw {
    None,
    /// New owners don't allow for the lag of the list.
    NoListLag,
    /// Member 0 acts on reads that are too old.
    StaleReads,
    /// Clocks differ by more than the bounds allow.
    ClockSkew,
    /// A member that restarts acts as the owner that it was at the start.
    StaleMemory,
}

/// What one exploration covers; times are in ticks.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    /// Lag of the list, largest age of a read and clock skew.
    bounds: (u64, u64, u64),
    /// Tick of the last step.
    end: u64,
    /// Lists after the first, each by the only member on it, which owns the key.
    lists: &'static [usize],
    /// Ticks by which each member's clock is ahead.
    ahead: [u64; MEMBER_COUNT],
    /// Tick at which the key is issued, and ticks by which its issuer's clock is ahead.
    issued: (u64, u64),
    /// Largest number of calls.
    calls: usize,
    /// Largest number of crashes.
    crashes: usize,
    flaw: Flaw,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    tick: u64,
    /// Ticks at which the lists after the first were published.
    published: Vec<u64>,
    owners: Vec<Owner>,
    /// Whether a call that was let through is queued at each member.
    queued: Vec<bool>,
    calls: usize,
    crashes: usize,
    runs: u32,
    /// Number of members that have had their turn in this tick, the current one included. Members share
    /// only the published lists, and a read may return an earlier one, so the order of their steps
    /// within a tick doesn't matter.
    turn: usize,
    /// Whether the current member has read the list in this tick; it does so at most once.
    has_read: bool,
}

/// A hash of 128 bits that stands for a visited state, to keep many of them in little memory.
fn digest(state: &State) -> u128 {
    let mut hasher = Xxh3Default::new();
    state.hash(&mut hasher);
    hasher.digest128()
}

fn member(index: usize) -> Member {
    Member { name: format!("entry-{index}"), address: format!("10.0.0.{index}:1") }
}

impl Scenario {
    fn bounds(&self, index: usize) -> Bounds {
        let (lag, read_age, skew) = self.bounds;
        let stale = self.flaw == Flaw::StaleReads && index == 0;
        Bounds {
            key_window: 1000 * TICK,
            list_lag: if self.flaw == Flaw::NoListLag { Duration::ZERO } else { TICK * lag as u32 },
            max_read_age: TICK * if stale { STALE_TICKS } else { read_age as u32 },
            clock_skew: TICK * skew as u32,
        }
    }

    fn time(&self, tick: u64, ahead: u64) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_secs(tick + ahead)
    }

    /// The key of the call, issued at the scenario's time.
    fn call(&self) -> CallKey {
        let (tick, ahead) = self.issued;
        let millis = (tick + ahead) * 1000;
        let mut bytes = [0; 16];
        bytes[..6].copy_from_slice(&millis.to_be_bytes()[2..]);
        (bytes[6], bytes[8]) = (0x70, 0x80);
        CallKey { workspace: "choir".to_string(), key: ids::Request::from_bytes(bytes) }
    }

    /// The initial state: member 0 has been the owner for a long time.
    fn initial(&self) -> State {
        let mut owners: Vec<_> = (0..MEMBER_COUNT).map(|index| Owner::new(member(index))).collect();
        for (index, owner) in owners.iter_mut().enumerate() {
            for tick in START_TICK - 3 * u64::from(STALE_TICKS)..=START_TICK {
                let now = self.time(tick, self.ahead[index]);
                owner.apply_list(vec![member(0)], &self.bounds(index), now, now);
            }
        }
        State {
            tick: START_TICK,
            published: vec![],
            owners,
            queued: vec![false; MEMBER_COUNT],
            calls: 0,
            crashes: 0,
            runs: 0,
            turn: 0,
            has_read: false,
        }
    }

    /// Lists that a read that begins now may return: the newest that every read must show, and any later
    /// one.
    fn readable_lists(&self, state: &State) -> Vec<usize> {
        let lag = self.bounds.0;
        let shown = state.published.iter().filter(|tick| **tick + lag <= state.tick).count();
        let mut all: Vec<_> = (shown..=state.published.len())
            .map(|version| if version == 0 { 0 } else { self.lists[version - 1] })
            .collect();
        all.dedup();
        all
    }

    /// All states that one step can lead to.
    fn successors(&self, state: &State) -> Vec<State> {
        let mut all = vec![];
        let mut step = |change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            all.push(next);
        };
        if state.turn == 0 && state.published.len() < self.lists.len() {
            step(&|next| next.published.push(next.tick));
        }
        if state.turn < MEMBER_COUNT {
            step(&|next| {
                next.turn += 1;
                next.has_read = false;
            });
        } else if state.tick < self.end {
            step(&|next| {
                next.tick += 1;
                next.turn = 0;
            });
        }
        if let Some(index) = state.turn.checked_sub(1) {
            for listed in self.readable_lists(state) {
                if !state.has_read {
                    step(&|next| self.read(next, index, listed));
                }
            }
            // A call that is delayed or reordered arrives in a later step; one that is lost never arrives.
            if state.calls < self.calls && state.tick >= self.issued.0 && !state.queued[index] {
                step(&|next| self.arrive(next, index));
            }
            if state.queued[index] {
                step(&|next| self.send(next, index));
                step(&|next| self.decline(next, index));
            }
            // A member that remembers no call loses nothing but time in a crash.
            if state.crashes < self.crashes && !state.owners[index].is_empty() {
                step(&|next| self.crash(next, index));
            }
        }
        all
    }

    fn read(&self, state: &mut State, index: usize, listed: usize) {
        let now = self.time(state.tick, self.ahead[index]);
        state.has_read = true;
        state.owners[index].apply_list(vec![member(listed)], &self.bounds(index), now, now);
    }

    fn arrive(&self, state: &mut State, index: usize) {
        state.calls += 1;
        let now = self.time(state.tick, self.ahead[index]);
        if state.owners[index].claim(&self.call(), &self.bounds(index), now) == Decision::Run {
            state.queued[index] = true;
        }
    }

    fn send(&self, state: &mut State, index: usize) {
        state.queued[index] = false;
        state.runs += 1;
        state.owners[index].record_outcome(&self.call(), Record::Unknown);
    }

    /// The backend server reports that it ran nothing.
    fn decline(&self, state: &mut State, index: usize) {
        state.queued[index] = false;
        state.owners[index].release(&self.call());
    }

    fn crash(&self, state: &mut State, index: usize) {
        state.crashes += 1;
        state.queued[index] = false;
        state.owners[index] = match self.flaw {
            Flaw::StaleMemory => self.initial().owners[index].clone(),
            _ => Owner::new(member(index)),
        };
    }

    /// The number of states explored; an error with the tick at which the call ran a second time, if it
    /// can.
    fn explore(&self) -> Result<usize, u64> {
        let mut seen = HashSet::new();
        let mut frontier = VecDeque::from([self.initial()]);
        while let Some(state) = frontier.pop_front() {
            if state.runs > 1 {
                return Err(state.tick);
            }
            for next in self.successors(&state) {
                if seen.insert(digest(&next)) {
                    frontier.push_back(next);
                }
            }
        }
        Ok(seen.len())
    }
}

const BASE: Scenario = Scenario {
    bounds: (1, 1, 0),
    end: START_TICK + 5,
    lists: &[1, 0],
    ahead: [0, 0],
    issued: (START_TICK + 3, 0),
    calls: 2,
    crashes: 1,
    flaw: Flaw::None,
};

const BASE_WITH_SKEW: Scenario = Scenario { bounds: (1, 1, 1), ..BASE };

/// An owner is paused, cut off, replaced or restarted while the same charge arrives through two
/// routers. In no order of events may the charge run twice.
#[test]
fn can_run_a_key_at_most_once_in_every_interleaving() {
    let table = [
        // The list changes and changes back; the key is just young enough for a new owner to accept it.
        Scenario { crashes: 0, issued: (START_TICK + 4, 0), ..BASE },
        Scenario { crashes: 0, issued: (START_TICK + 3, 0), ..BASE },
        // The list changes once, and members crash.
        Scenario { lists: &[1], issued: (START_TICK + 4, 0), end: START_TICK + 6, ..BASE },
        // The list changes and changes back, and members crash; over a shorter time.
        Scenario { issued: (START_TICK + 2, 0), end: START_TICK + 4, ..BASE },
        // Clocks differ by as much as the bounds allow.
        Scenario {
            ahead: [1, 0],
            issued: (START_TICK + 5, 0),
            lists: &[1],
            end: START_TICK + 6,
            ..BASE_WITH_SKEW
        },
        Scenario { ahead: [0, 1], issued: (START_TICK + 4, 1), lists: &[1], ..BASE_WITH_SKEW },
        Scenario { ahead: [0, 0], issued: (START_TICK + 4, 1), crashes: 0, ..BASE_WITH_SKEW },
        // The caller's clock differs by more than the bounds allow.
        Scenario {
            ahead: [1, 0],
            issued: (START_TICK + 2, 4),
            lists: &[1],
            crashes: 0,
            ..BASE_WITH_SKEW
        },
    ];
    for scenario in table {
        let explored = scenario.explore();
        assert!(explored.is_ok_and(|states| states > 1000), "{scenario:?}: {explored:?}");
    }
}

/// Guards against a checker that can't fail: with each deliberate fault it must find the second run.
#[test]
fn can_find_each_flaw() {
    let table = [
        (Flaw::NoListLag, Scenario { crashes: 0, ..BASE }),
        (
            Flaw::StaleReads,
            Scenario { lists: &[1], crashes: 0, issued: (START_TICK + 4, 0), ..BASE },
        ),
        (
            Flaw::ClockSkew,
            Scenario { ahead: [5, 0], lists: &[1], issued: (START_TICK + 1, 5), ..BASE_WITH_SKEW },
        ),
        (Flaw::StaleMemory, Scenario { lists: &[], issued: (START_TICK, 0), ..BASE }),
    ];
    for (flaw, scenario) in table {
        let explored = Scenario { flaw, ..scenario }.explore();
        assert!(explored.is_err(), "{flaw:?} wasn't found in {explored:?} states");
    }
}
