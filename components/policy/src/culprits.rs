//! Tells which parts of prompts crash servers.
//!
//! Load pattern: one part of prompts crashes each server that begins an answer to it, whatever else the prompt
//! holds. No two such requests are alike. They share their other parts with sound requests, and each crash also cuts
//! sound requests off, so that every crash accuses dozens of parts.
//!
//! A part that was in three crashes, and in no answer that began since the first of them, may be the cause. It is
//! rarely alone: the parts before it in the prompt were in the same crashes. So a part is excused if others explain
//! its crashes better, and what is blocked is only what was in all prompts with the part, less what answers have
//! cleared. Each further crash, and each answer, narrows it down.

use std::cmp::Reverse;

use crate::suspect::{BLOCK_THRESHOLD, Crash, count_distinct};

/// Crashes that nothing else explains from which on a part isn't excused. One more crash may have another cause.
const UNEXPLAINED: usize = 2;

/// A part that may crash servers.
#[derive(Debug)]
pub(crate) struct Candidate<'a> {
    pub(crate) part: u64,
    /// The crashes that it may have caused, ordered by time.
    pub(crate) crashes: Vec<&'a Crash>,
    /// It was in earlier crashes that are no longer known.
    pub(crate) had_more: bool,
    /// The parts of all prompts with it that were in these crashes, itself among them; none that was cleared since.
    pub(crate) companions: Vec<u64>,
}

impl Candidate<'_> {
    /// Whether it was in a crash, as far as is known.
    fn was_in(&self, crash: &Crash) -> bool {
        let is_older = |known: &&Crash| self.had_more && crash.at < known.at;
        self.crashes.iter().any(|known| known.instance == crash.instance)
            || self.crashes.first().is_some_and(is_older)
    }

    /// Whether it stands for fewer prompts than another part that was in all of them.
    fn is_narrower_than(&self, other: &Candidate<'_>) -> bool {
        self.companions.contains(&other.part) && !other.companions.contains(&self.part)
    }

    /// Whether its crashes are explained by narrower parts, or by one that was in all of them and in more.
    fn is_excused_by(&self, others: &[Candidate<'_>]) -> bool {
        let others = || others.iter().filter(|other| other.part != self.part);
        let narrower: Vec<_> = others().filter(|other| other.is_narrower_than(self)).collect();
        let is_unexplained = |crash: &&&Crash| !narrower.iter().any(|other| other.was_in(crash));
        let unexplained = self.crashes.iter().filter(is_unexplained).copied();
        let has_narrower = !narrower.is_empty() && count_distinct(unexplained) < UNEXPLAINED;
        let explains_more = |other: &Candidate<'_>| {
            let unrelated =
                !other.companions.contains(&self.part) && !self.companions.contains(&other.part);
            unrelated
                && other.crashes.len() > self.crashes.len()
                && self.crashes.iter().all(|crash| other.was_in(crash))
        };
        has_narrower || others().any(explains_more)
    }
}

derives::data! {
    /// Prompts that are blocked: those with all of these parts.
    #[derive(Eq)]
    pub(crate) struct Rule {
        /// The part that is taken for the cause.
        pub(crate) part: u64,
        /// It and the parts that come with it.
        pub(crate) all: Vec<u64>,
    }
}

impl Rule {
    pub(crate) fn matches(&self, parts: &[u64]) -> bool {
        self.all.iter().all(|part| parts.contains(part))
    }
}

/// The prompts to block for the crashes of these parts.
pub(crate) fn rules(mut candidates: Vec<Candidate<'_>>) -> Vec<Rule> {
    let has_enough = |candidate: &Candidate<'_>| {
        count_distinct(candidate.crashes.iter().copied()) >= BLOCK_THRESHOLD
    };
    candidates.retain(has_enough);
    candidates.sort_by_key(|candidate| (Reverse(candidate.crashes.len()), candidate.part));
    let blamed = candidates.iter().filter(|candidate| !candidate.is_excused_by(&candidates));
    let rule = |candidate: &Candidate<'_>| Rule {
        part: candidate.part,
        all: candidate.companions.clone(),
    };
    blamed.map(rule).collect()
}

#[cfg(test)]
mod tests;
