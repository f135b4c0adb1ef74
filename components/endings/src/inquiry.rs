//! Combines the questions to a server about several answers that ended.
//!
//! Load pattern: a server is killed and the connections of all its answers end at once, or a site's servers never
//! state the length of an answer. There is one question to a server at a time. It settles the answers that had ended
//! when it was sent; one question more settles all that ended since.

use std::collections::HashMap;
use std::hash::Hash;

use crate::Finding;

/// Answers of one server whose connections have ended.
#[derive(Debug)]
struct Round<W> {
    /// Those that the question under way settles.
    asked: Vec<W>,
    /// Those that ended after it was sent.
    later: Vec<W>,
}

/// What the response to a question settles.
#[derive(Debug, PartialEq)]
pub struct Settled<W> {
    /// The answers to which the finding applies.
    pub waiters: Vec<W>,
    /// The server must be asked again, about answers that ended after the question was sent.
    pub ask_again: bool,
}

/// Questions under way, by server process, and the answers that wait for each.
///
/// ```
/// use endings::{Finding, Inquiries, Proof};
///
/// let mut inquiries = Inquiries::default();
/// assert!(inquiries.add("server", "first"));
/// assert!(!inquiries.add("server", "second"));
/// let settled = inquiries.settle(&"server", Finding::Runs(Proof::Start));
/// assert_eq!((settled.waiters, settled.ask_again), (vec!["first"], true));
/// ```
#[derive(Debug)]
pub struct Inquiries<K, W> {
    rounds: HashMap<K, Round<W>>,
}

impl<K, W> Default for Inquiries<K, W> {
    fn default() -> Self {
        Inquiries { rounds: HashMap::new() }
    }
}

impl<K: Eq + Hash, W> Inquiries<K, W> {
    /// Adds an answer of `process` whose connection has ended. Returns whether a question is to be sent now; the caller
    /// reports its outcome to [`Inquiries::settle`] in any case.
    pub fn add(&mut self, process: K, waiter: W) -> bool {
        if let Some(round) = self.rounds.get_mut(&process) {
            round.later.push(waiter);
            return false;
        }
        self.rounds.insert(process, Round { asked: vec![waiter], later: vec![] });
        true
    }

    /// The answers that the question to `process` under way settles.
    ///
    /// ```
    /// let mut inquiries = endings::Inquiries::default();
    /// inquiries.add("server", "first");
    /// inquiries.add("server", "second");
    /// assert_eq!(inquiries.asked(&"server"), ["first"]);
    /// ```
    pub fn asked(&self, process: &K) -> &[W] {
        self.rounds.get(process).map_or(&[], |round| &round.asked)
    }

    /// Ends the question to `process`. A process that has ended has ended for all answers; that it runs is shown only
    /// for those whose connections ended before the question was sent.
    pub fn settle(&mut self, process: &K, finding: Finding) -> Settled<W> {
        let Some(round) = self.rounds.get_mut(process) else {
            return Settled { waiters: vec![], ask_again: false };
        };
        let mut waiters = std::mem::take(&mut round.asked);
        round.asked = std::mem::take(&mut round.later);
        if finding == Finding::Ended {
            waiters.append(&mut round.asked);
        }
        let ask_again = !round.asked.is_empty();
        if !ask_again {
            self.rounds.remove(process);
        }
        Settled { waiters, ask_again }
    }
}
