//! Which of the backend servers with a free place gets a request.
//!
//! Patterns: engines that differ in load and pace, reports that lag, prompts that share a head, a
//! region behind a narrow link. The least loaded server by report draws every node at once; the
//! fastest one fills up while others idle.
//!
//! Ways weighed: the best score (herds on old facts), two choices at random (blind to pace), and
//! two choices among near-equals by score, which is what stands here (Mitzenmacher, "The power of
//! two choices in randomized load balancing", 2001).

use rand::Rng;
use rand::rngs::SmallRng;

use crate::mechanism::{Disabled, Mechanism};

/// Scores within this part of the best are as good as it: about the error of a load that is a
/// second old.
const NEAR: f64 = 1.25;
/// A cached head may draw a request to a server this much above the mean load (bounded load as by
/// Mirrokni, Thorup and Zadimoghaddam, 2016), so that a hot head doesn't make a hot server.
const BOUND: f64 = 1.25;

/// A server that may take the request now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) server: ids::Server,
    /// Number that differs by server and is alike on all nodes.
    pub(crate) salt: u64,
    /// Part of its places that are taken, as far as can be told.
    pub(crate) load: f64,
    /// Seconds to the end of the answer, as predicted there.
    pub(crate) time: f64,
}

impl Candidate {
    fn score(&self) -> f64 {
        self.time * (1.0 + self.load)
    }
}

/// Picks one of the candidates.
pub(crate) fn pick(
    candidates: &[Candidate],
    prefix: u64,
    rng: &mut SmallRng,
    without: Disabled,
) -> Option<ids::Server> {
    let best = candidates.iter().min_by(|a, b| a.score().total_cmp(&b.score()))?;
    let near = best.score() * NEAR;
    if without.lacks(Mechanism::Affinity)
        && let Some(home) = home(candidates, prefix, near)
    {
        return Some(home);
    }
    if !without.lacks(Mechanism::TwoChoices) {
        return Some(best.server);
    }
    let equals = || candidates.iter().filter(|candidate| candidate.score() <= near);
    let count = equals().count();
    let first = equals().nth(rng.random_range(0..count))?;
    let second = equals().nth(rng.random_range(0..count))?;
    let better = if second.load < first.load { second } else { first };
    Some(better.server)
}

/// The server that has most likely cached the prompt's head, unless it is slow or loaded.
fn home(candidates: &[Candidate], prefix: u64, near: f64) -> Option<ids::Server> {
    let mean = candidates.iter().map(|c| c.load).sum::<f64>() / candidates.len() as f64;
    let home = candidates.iter().max_by_key(|candidate| mix64(prefix ^ candidate.salt))?;
    let bounded = home.load <= mean * BOUND + 0.1 && home.score() <= near * BOUND;
    bounded.then_some(home.server)
}

/// Spreads the bits of a number (the finaliser of splitmix64).
pub(crate) fn mix64(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
