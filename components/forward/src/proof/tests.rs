//! Model check of the proofs: explores every order of a few steps of the store, a seed that watches it, and
//! a node that asks the seed.

use std::collections::HashSet;
use std::time::Duration;

use catalog::Freshness;

use super::{WATCH_BLIND_TAIL, from_peer, from_quiet_watch};

/// Unit of time of the model.
const TICK: Duration = Duration::from_millis(150);
/// Wait of a watch, in ticks.
const WAIT: u32 = 8;
/// Time before the end of a watch in which it may miss a change, in ticks.
const BLIND_TAIL: u32 = 7;
/// Time after its revocation for which a key may still be accepted, in ticks: 5 s.
const BOUND: u32 = 33;
/// Times that may pass in one step, in ticks: two that add up to a watch, half the bound, nearly all of
/// the bound.
const PAUSES: [u32; 4] = [2, WAIT - 2, 16, BOUND - 2];
/// Number of steps of a run.
const DEPTH: usize = 8;

type Tick = u32;

/// An answer on its way: what the receiver can see of it, and whether it contains the revocation.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Answer {
    asked: Tick,
    /// Kind of proof that it is.
    proof: Proof,
    revoked: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Proof {
    /// A read, or a watch that received a change.
    Read,
    /// A watch that ended without a change.
    QuietWatch,
    /// An answer of a peer.
    Peer { held: Tick, age: Tick },
}

/// The seed, or the node that asks it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Node {
    /// When it sent its question.
    asked: Option<Tick>,
    /// When the question arrived at the store or the seed.
    received: Option<Tick>,
    answer: Option<Answer>,
    proof: Option<Tick>,
    /// Whether it knows of the revocation.
    knows: bool,
    suspended: bool,
}

/// Steps of the model, with the node that takes them: the seed asks the store, the other node asks the
/// seed.
#[derive(Clone, Copy, Debug)]
enum Step {
    PassTime(u32),
    Revoke,
    Ask(usize),
    ReceiveQuestion(usize),
    Answer(usize),
    EndQuietWatch,
    TakeAnswer(usize),
    Suspend(usize),
    Resume(usize),
}

const SEED: usize = 0;
const OTHER: usize = 1;

#[derive(Clone, Copy, PartialEq, Eq, Hash, Default)]
struct World {
    now: Tick,
    revoked: Option<Tick>,
    nodes: [Node; 2],
}

fn time_at(tick: Tick) -> Duration {
    TICK * tick
}

/// The tick that contains a time. Rounds down, so that a proof within a tick counts from its start.
fn tick_of(time: Duration) -> Tick {
    (time.as_millis() / TICK.as_millis()) as Tick
}

impl World {
    /// The world after a step; none if the step isn't possible.
    fn try_step(mut self, step: Step) -> Option<World> {
        let now = self.now;
        match step {
            Step::PassTime(ticks) => self.now += ticks,
            Step::Revoke if self.revoked.is_none() => self.revoked = Some(now),
            Step::Ask(index) => {
                let node = &mut self.nodes[index];
                if node.suspended || node.asked.is_some() {
                    return None;
                }
                node.asked = Some(now);
            }
            Step::ReceiveQuestion(index) => {
                let node = &mut self.nodes[index];
                if node.asked.is_none() || node.received.is_some() {
                    return None;
                }
                node.received = Some(now);
            }
            Step::Answer(index) => self.answer(index)?,
            Step::EndQuietWatch => self.end_quiet_watch()?,
            Step::TakeAnswer(index) => self.take_answer(index)?,
            Step::Suspend(index) if !self.nodes[index].suspended => {
                self.nodes[index].suspended = true
            }
            Step::Resume(index) if self.nodes[index].suspended => {
                self.nodes[index].suspended = false
            }
            Step::Revoke | Step::Suspend(_) | Step::Resume(_) => return None,
        }
        Some(self)
    }

    /// The store answers the seed, or the seed the other node, with all that it knows.
    fn answer(&mut self, index: usize) -> Option<()> {
        let (now, seed) = (self.now, self.nodes[SEED]);
        let node = &mut self.nodes[index];
        let (asked, received) = (node.asked?, node.received?);
        if node.answer.is_some() {
            return None;
        }
        let (proof, revoked) = if index == SEED {
            (Proof::Read, self.revoked.is_some())
        } else if seed.suspended {
            return None;
        } else {
            (Proof::Peer { held: now - received, age: now - seed.proof? }, seed.knows)
        };
        node.answer = Some(Answer { asked, proof, revoked });
        Some(())
    }

    /// The store ends a watch without a change; one that came in the blind tail may have been missed.
    fn end_quiet_watch(&mut self) -> Option<()> {
        let now = self.now;
        let missed = self.revoked.is_none_or(|at| at + BLIND_TAIL > now);
        let node = &mut self.nodes[SEED];
        let (asked, received) = (node.asked?, node.received?);
        if node.answer.is_some() || now < received + WAIT || !(missed || node.knows) {
            return None;
        }
        node.answer = Some(Answer { asked, proof: Proof::QuietWatch, revoked: node.knows });
        Some(())
    }

    /// A node reads the answer that has arrived.
    fn take_answer(&mut self, index: usize) -> Option<()> {
        let node = &mut self.nodes[index];
        let answer = node.answer.filter(|_| !node.suspended)?;
        let proof = match answer.proof {
            Proof::Read => answer.asked,
            Proof::QuietWatch => tick_of(from_quiet_watch(time_at(answer.asked), time_at(WAIT))),
            Proof::Peer { held, age } => {
                tick_of(from_peer(time_at(answer.asked), time_at(held), time_at(age)))
            }
        };
        node.proof = node.proof.max(Some(proof));
        node.knows |= answer.revoked;
        (node.asked, node.received, node.answer) = (None, None, None);
        Some(())
    }

    /// Whether some node still accepts the revoked key after the bound.
    fn breaks_bound(&self) -> bool {
        let Some(revoked) = self.revoked else { return false };
        let late = self.now > revoked + BOUND;
        late && self.nodes.iter().any(|node| accepts_keys(node, self.now) && !node.knows)
    }
}

/// Whether a node accepts keys now: it isn't suspended and its proof is recent enough.
fn accepts_keys(node: &Node, now: Tick) -> bool {
    let mut freshness = Freshness::new(time_at(BOUND).mul_f64(0.97));
    let Some(proof) = node.proof.filter(|_| !node.suspended) else { return false };
    freshness.confirm(time_at(proof));
    freshness.is_fresh(time_at(now))
}

fn all_steps() -> Vec<Step> {
    let mut steps: Vec<_> = PAUSES.into_iter().map(Step::PassTime).collect();
    steps.extend([Step::Revoke, Step::EndQuietWatch]);
    for index in [SEED, OTHER] {
        steps.extend([
            Step::Ask(index),
            Step::ReceiveQuestion(index),
            Step::Answer(index),
            Step::TakeAnswer(index),
        ]);
        steps.extend([Step::Suspend(index), Step::Resume(index)]);
    }
    steps
}

/// Explores all runs that begin in `starts`. Returns how many different worlds were reached, and whether
/// one of them meets the condition; the search ends there.
fn search(starts: Vec<World>, condition: impl Fn(&World) -> bool) -> (usize, bool) {
    let (mut reached, steps) = (HashSet::new(), all_steps());
    let mut frontier = starts;
    for _ in 0..DEPTH {
        let mut next = vec![];
        for world in &frontier {
            for step in &steps {
                let Some(after) = world.try_step(*step) else { continue };
                if condition(&after) {
                    return (reached.len(), true);
                }
                if reached.insert(after) {
                    next.push(after);
                }
            }
        }
        frontier = next;
    }
    (reached.len(), false)
}

/// Worlds in which a revocation may be missed within a few steps: both nodes have a proof of this moment,
/// and either of them may have a question under way.
fn starting_worlds() -> Vec<World> {
    let known = Node { proof: Some(40), ..Node::default() };
    let asking = Node { asked: Some(40), received: Some(40), ..known };
    [[known, known], [asking, known], [known, asking], [asking, asking]]
        .map(|nodes| World { now: 40, revoked: None, nodes })
        .to_vec()
}

/// Guards against a revoked key that is still accepted after the bound. A key is revoked while questions and
/// answers are under way in any order, a watch misses the change in its blind tail, and either node is
/// suspended at any moment for any time.
#[test]
fn no_order_of_steps_accepts_a_revoked_key_late() {
    assert!(time_at(BLIND_TAIL) <= WATCH_BLIND_TAIL);
    let (worlds, broken) = search(starting_worlds(), World::breaks_bound);
    assert!(!broken, "a revoked key is accepted after the bound");
    assert!(worlds > 100_000, "only {worlds} worlds were reached");
}

/// Guards against a search that can't fail because its steps are too few: it reaches worlds in which a node
/// that doesn't know of the revocation accepts the key until just before the bound.
#[test]
fn the_search_comes_close_to_the_bound() {
    let close = |world: &World| {
        let late = world.revoked.is_some_and(|at| world.now + 3 > at + BOUND);
        late && world.nodes.iter().any(|node| accepts_keys(node, world.now) && !node.knows)
    };
    let (_, found) = search(starting_worlds(), close);
    assert!(found);
}
