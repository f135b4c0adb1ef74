//! Picks one of the backend servers that have a free slot, by their load and speed.
//!
//! Load patterns: backend servers that differ in load and speed, reports that lag, prompts that share a
//! prefix, a region behind a narrow link. With the least loaded server by report, every node sends to the
//! same one at once; with the fastest one, that one fills up while others are idle.
//!
//! Load pattern: few requests of each node before hundreds of servers. Picked at random, hardly any server is met
//! twice before its connection is closed, so nearly every request opens one. So a server to which the node has an
//! idle connection is taken before others that are as good.
//!
//! The best score alone makes all nodes herd on outdated reports, and two choices at random ignore speed. So
//! the pick is the better of two random choices among servers whose scores are nearly equal (Mitzenmacher,
//! "The power of two choices in randomized load balancing", 2001).

use rand::Rng;
use rand::rngs::SmallRng;

use crate::mechanism::{Mechanism, Switches};

/// Scores up to this multiple of the best one count as equal to it: about the error of a load that is a
/// second old.
const NEAR_EQUAL: f64 = 1.25;
/// Multiple of the mean load up to which a server takes requests for a prefix that it has cached, so that a
/// popular prefix doesn't overload its server (bounded loads as by Mirrokni, Thorup and Zadimoghaddam, 2016).
const LOAD_BOUND: f64 = 1.25;

/// A server that may take the request now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) server: ids::Server,
    /// Hash of the server's name, the same on all nodes.
    pub(crate) salt: u64,
    /// Fraction of its slots that is occupied, as far as known.
    pub(crate) load: f64,
    /// Predicted seconds to the end of the answer.
    pub(crate) time: f64,
    /// Whether this node has an idle connection to it, and sends too few requests to be connected to most servers.
    pub(crate) connected: bool,
}

impl Candidate {
    fn score(&self) -> f64 {
        self.time * (1.0 + self.load)
    }
}

/// Picks one of the candidates; none only if there are none.
pub(crate) fn pick(
    candidates: &[Candidate],
    prefix: u64,
    rng: &mut SmallRng,
    switches: Switches,
) -> Option<ids::Server> {
    let picked = pick_by_score(candidates, prefix, rng, switches)?;
    if picked.connected || !switches.is_on(Mechanism::Reuse) {
        return Some(picked.server);
    }
    let connected = candidates.iter().filter(|candidate| {
        candidate.connected && candidate.score() <= picked.score() * NEAR_EQUAL
    });
    let best = connected.min_by(|a, b| a.score().total_cmp(&b.score()));
    Some(best.unwrap_or(picked).server)
}

/// Picks one of the candidates, whether it is connected or not.
fn pick_by_score<'a>(
    candidates: &'a [Candidate],
    prefix: u64,
    rng: &mut SmallRng,
    switches: Switches,
) -> Option<&'a Candidate> {
    let best = candidates.iter().min_by(|a, b| a.score().total_cmp(&b.score()))?;
    let bound = best.score() * NEAR_EQUAL;
    if switches.is_on(Mechanism::Affinity)
        && let Some(server) = affinity_server(candidates, prefix, bound)
    {
        return Some(server);
    }
    if !switches.is_on(Mechanism::TwoChoices) {
        return Some(best);
    }
    let near_equals = || candidates.iter().filter(|candidate| candidate.score() <= bound);
    let count = near_equals().count();
    let first = near_equals().nth(rng.random_range(0..count))?;
    let second = near_equals().nth(rng.random_range(0..count))?;
    Some(if second.load < first.load { second } else { first })
}

/// The server that has most likely cached the prompt's prefix, by rendezvous hashing, unless it is slow or
/// loaded; `bound` is the highest score that counts as nearly equal to the best.
fn affinity_server(candidates: &[Candidate], prefix: u64, bound: f64) -> Option<&Candidate> {
    let mean = candidates.iter().map(|c| c.load).sum::<f64>() / candidates.len() as f64;
    let server = candidates.iter().max_by_key(|candidate| mix64(prefix ^ candidate.salt))?;
    let bounded = server.load <= mean * LOAD_BOUND + 0.1 && server.score() <= bound * LOAD_BOUND;
    bounded.then_some(server)
}

/// Spreads the bits of a number (the finalizer of splitmix64).
pub(crate) fn mix64(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
