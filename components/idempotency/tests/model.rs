//! Every interleaving of a small fleet, a few calls with one key and a list that changes, walked
//! breadth first over the real code of the home. Time goes in ticks. What the fleet may suffer:
//! reads of the list that lag or don't happen (a pause is a member that takes no step while time
//! goes on), clocks that differ, calls that are lost, delayed and overtaken, crashes at any moment,
//! members that come back without memory, and lists that change and change back.

use std::collections::{HashSet, VecDeque};
use std::hash::Hash;
use std::time::{Duration, SystemTime};

use xxhash_rust::xxh3::Xxh3Default;

use idempotency::{Answer, Home, Member, Name, Record, Terms};

const TICK: Duration = Duration::from_secs(1);
const MEMBERS: usize = 2;
/// Age of a read that a flawed member acts on, and for which it was the home at the start.
const STALE: u32 = 12;
/// The tick at which the first list was already read everywhere.
const START: u64 = 100;

/// What the checker lets go wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Flaw {
    None,
    /// New homes don't wait out the lag of the list.
    Lag,
    /// Member 0 acts on a read of any age.
    Fresh,
    /// Clocks differ by more than the settings say.
    Skew,
    /// A member that comes back takes itself for the home it was.
    Restart,
}

/// Sizes of a walk, in ticks.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    terms: (u64, u64, u64),
    /// Tick of the last step.
    end: u64,
    /// Lists after the first: the member that each makes the home.
    lists: &'static [usize],
    /// By how much each member's clock is ahead.
    ahead: [u64; MEMBERS],
    /// Tick at which the key is issued, and by how much its issuer's clock is ahead.
    issued: (u64, u64),
    calls: usize,
    crashes: usize,
    flaw: Flaw,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    tick: u64,
    /// Ticks at which the lists after the first were published.
    published: Vec<u64>,
    homes: Vec<Home>,
    /// Calls let through that wait at a member.
    waiting: Vec<bool>,
    calls: usize,
    crashes: usize,
    runs: u32,
    /// Whose steps come next in this tick. Members share nothing but what was published, and a read
    /// may give what was published before, so their steps in one tick can be taken in any order.
    turn: usize,
    /// Whether the member has read the list in this tick; it does so at most once.
    read: bool,
}

/// States are remembered by a hash of 128 bits, to hold many in little memory.
fn digest(state: &State) -> u128 {
    let mut hasher = Xxh3Default::new();
    state.hash(&mut hasher);
    hasher.digest128()
}

fn member(index: usize) -> Member {
    Member { name: format!("entry-{index}"), address: format!("10.0.0.{index}:1") }
}

impl Bounds {
    fn terms(&self, index: usize) -> Terms {
        let (lag, fresh, skew) = self.terms;
        let stale = self.flaw == Flaw::Fresh && index == 0;
        Terms {
            window: 1000 * TICK,
            lag: if self.flaw == Flaw::Lag { Duration::ZERO } else { TICK * lag as u32 },
            fresh: TICK * if stale { STALE } else { fresh as u32 },
            skew: TICK * skew as u32,
        }
    }

    fn time(&self, tick: u64, ahead: u64) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_secs(tick + ahead)
    }

    fn name(&self) -> Name {
        let (tick, ahead) = self.issued;
        let millis = (tick + ahead) * 1000;
        let mut bytes = [0; 16];
        bytes[..6].copy_from_slice(&millis.to_be_bytes()[2..]);
        (bytes[6], bytes[8]) = (0x70, 0x80);
        Name { workspace: "choir".to_string(), key: ids::Request::from_bytes(bytes) }
    }

    /// Member 0 is the home at the start, and has been for long.
    fn start(&self) -> State {
        let mut homes: Vec<_> = (0..MEMBERS).map(|index| Home::new(member(index))).collect();
        for (index, home) in homes.iter_mut().enumerate() {
            for tick in START - 3 * u64::from(STALE)..=START {
                let now = self.time(tick, self.ahead[index]);
                home.listed(vec![member(0)], &self.terms(index), now, now);
            }
        }
        State {
            tick: START,
            published: vec![],
            homes,
            waiting: vec![false; MEMBERS],
            calls: 0,
            crashes: 0,
            runs: 0,
            turn: 0,
            read: false,
        }
    }

    /// Lists that a read begun now may give: the newest that every read must show, and any since.
    fn readable(&self, state: &State) -> Vec<usize> {
        let lag = self.terms.0;
        let due = state.published.iter().filter(|tick| **tick + lag <= state.tick).count();
        let mut all: Vec<_> = (due..=state.published.len())
            .map(|version| if version == 0 { 0 } else { self.lists[version - 1] })
            .collect();
        all.dedup();
        all
    }

    fn next(&self, state: &State) -> Vec<State> {
        let mut all = vec![];
        let mut step = |change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            all.push(next);
        };
        if state.turn == 0 && state.published.len() < self.lists.len() {
            step(&|next| next.published.push(next.tick));
        }
        if state.turn < MEMBERS {
            step(&|next| {
                next.turn += 1;
                next.read = false;
            });
        } else if state.tick < self.end {
            step(&|next| {
                next.tick += 1;
                next.turn = 0;
            });
        }
        if let Some(index) = state.turn.checked_sub(1) {
            for listed in self.readable(state) {
                if !state.read {
                    step(&|next| self.read(next, index, listed));
                }
            }
            // A call that is delayed or overtaken arrives in a later step, one that is lost in none.
            if state.calls < self.calls && state.tick >= self.issued.0 && !state.waiting[index] {
                step(&|next| self.arrive(next, index));
            }
            if state.waiting[index] {
                step(&|next| self.send(next, index));
                step(&|next| self.decline(next, index));
            }
            // One that remembers nothing loses nothing by a crash but time.
            if state.crashes < self.crashes && !state.homes[index].is_empty() {
                step(&|next| self.crash(next, index));
            }
        }
        all
    }

    fn read(&self, state: &mut State, index: usize, listed: usize) {
        let now = self.time(state.tick, self.ahead[index]);
        state.read = true;
        state.homes[index].listed(vec![member(listed)], &self.terms(index), now, now);
    }

    fn arrive(&self, state: &mut State, index: usize) {
        state.calls += 1;
        let now = self.time(state.tick, self.ahead[index]);
        if state.homes[index].claim(&self.name(), &self.terms(index), now) == Answer::Run {
            state.waiting[index] = true;
        }
    }

    fn send(&self, state: &mut State, index: usize) {
        state.waiting[index] = false;
        state.runs += 1;
        state.homes[index].ended(&self.name(), Record::Unknown);
    }

    /// The backend server says that it ran nothing.
    fn decline(&self, state: &mut State, index: usize) {
        state.waiting[index] = false;
        state.homes[index].take_back(&self.name());
    }

    fn crash(&self, state: &mut State, index: usize) {
        state.crashes += 1;
        state.waiting[index] = false;
        state.homes[index] = match self.flaw {
            Flaw::Restart => self.start().homes[index].clone(),
            _ => Home::new(member(index)),
        };
    }

    /// The number of states walked, or the one in which the call ran twice.
    fn walk(&self) -> Result<usize, u64> {
        let mut seen = HashSet::new();
        let mut due = VecDeque::from([self.start()]);
        while let Some(state) = due.pop_front() {
            if state.runs > 1 {
                return Err(state.tick);
            }
            for next in self.next(&state) {
                if seen.insert(digest(&next)) {
                    due.push_back(next);
                }
            }
        }
        Ok(seen.len())
    }
}

const SOUND: Bounds = Bounds {
    terms: (1, 1, 0),
    end: START + 5,
    lists: &[1, 0],
    ahead: [0, 0],
    issued: (START + 3, 0),
    calls: 2,
    crashes: 1,
    flaw: Flaw::None,
};

const SKEWED: Bounds = Bounds { terms: (1, 1, 1), ..SOUND };

/// A home is paused, cut off, replaced or restarted while the same charge comes through two
/// routers. Whatever the order, the customer pays at most once.
#[test]
fn can_run_a_key_at_most_once_in_every_interleaving() {
    let table = [
        // The list changes and changes back; the key is as young as a new home lets through.
        Bounds { crashes: 0, issued: (START + 4, 0), ..SOUND },
        Bounds { crashes: 0, issued: (START + 3, 0), ..SOUND },
        // The list changes for good, and members crash.
        Bounds { lists: &[1], issued: (START + 4, 0), end: START + 6, ..SOUND },
        // All of it, for a shorter time.
        Bounds { issued: (START + 2, 0), end: START + 4, ..SOUND },
        // Clocks differ by as much as they may.
        Bounds { ahead: [1, 0], issued: (START + 5, 0), lists: &[1], end: START + 6, ..SKEWED },
        Bounds { ahead: [0, 1], issued: (START + 4, 1), lists: &[1], ..SKEWED },
        Bounds { ahead: [0, 0], issued: (START + 4, 1), crashes: 0, ..SKEWED },
        // The caller's clock is further off than any may be.
        Bounds { ahead: [1, 0], issued: (START + 2, 4), lists: &[1], crashes: 0, ..SKEWED },
    ];
    for bounds in table {
        let walked = bounds.walk();
        assert!(walked.is_ok_and(|states| states > 1000), "{bounds:?}: {walked:?}");
    }
}

/// The checker is given what is wrong on purpose, and must find the second charge each time.
#[test]
fn can_find_each_flaw() {
    let table = [
        (Flaw::Lag, Bounds { crashes: 0, ..SOUND }),
        (Flaw::Fresh, Bounds { lists: &[1], crashes: 0, issued: (START + 4, 0), ..SOUND }),
        (Flaw::Skew, Bounds { ahead: [5, 0], lists: &[1], issued: (START + 1, 5), ..SKEWED }),
        (Flaw::Restart, Bounds { lists: &[], issued: (START, 0), ..SOUND }),
    ];
    for (flaw, bounds) in table {
        let walked = Bounds { flaw, ..bounds }.walk();
        assert!(walked.is_err(), "{flaw:?} wasn't found in {walked:?} states");
    }
}
