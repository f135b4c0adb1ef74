//! How long an engine takes to begin: what it has to read before, and what it was seen to take.
//!
//! Pattern: prompts of unlike length. An engine reads prompts one after the other between the tokens
//! of its streams, so its count of requests says little: one long prompt holds up a first token for
//! as long as dozens of short ones. Without this, the least loaded server by count is often the one
//! that reads longest.

use std::time::{Duration, Instant};

/// Weight of a new wait in the running one: three in a row show a change.
const WEIGHT: f64 = 0.3;
/// A wait that was seen counts half after this many seconds: what was being read then is read by
/// now.
const HALF: f64 = 0.5;
/// The least time to a first token is let rise by this part with each look, to follow an engine
/// whose batch fills.
const RISE: f64 = 0.01;

/// What other nodes told counts for so long: some prompts' reading, several times the pause between two
/// tellings.
const HEARD: Duration = Duration::from_secs(1);

/// Ranks of urgency that are told apart; less urgent ones count as the last.
pub(crate) const RANKS: usize = 10;

/// Seconds that prompts take to read, by rank of urgency.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Work([f64; RANKS]);

impl Work {
    pub(crate) fn add(&mut self, rank: u8, seconds: f64) {
        let held = &mut self.0[usize::from(rank).min(RANKS - 1)];
        *held = (*held + seconds).max(0.0);
    }

    /// What an engine reads before a prompt of a rank: engines take the more urgent first.
    pub(crate) fn ahead(&self, rank: u8) -> f64 {
        self.0.iter().take(usize::from(rank) + 1).sum()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = f64> {
        self.0.into_iter()
    }
}

/// A prompt whose first token came.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Begun {
    pub(crate) rank: u8,
    /// Seconds that it was taken to be read in.
    pub(crate) seconds: f64,
    /// Seconds of other prompts that were known to be read before it.
    pub(crate) ahead: f64,
    /// Seconds from its send to its first token.
    pub(crate) took: f64,
}

/// What was heard of other nodes' prompts at one engine.
#[derive(Clone, Copy, Debug)]
struct Others {
    work: Work,
    overdue: f64,
    heard: Instant,
}

/// What is known of one engine's reading. All times in seconds.
#[derive(Debug, Default)]
pub(crate) struct Reading {
    /// What prompts that this node sent and that haven't begun to be answered take to read.
    own: Work,
    /// The same of other nodes' prompts.
    others: Option<Others>,
    /// Time to a first token beyond what was expected, as seen last.
    wait: f64,
    seen: Option<Instant>,
    /// Least time from a send to a first token beyond the prompt's own reading.
    least: Option<f64>,
}

impl Reading {
    /// A prompt was sent that takes so long to read.
    pub(crate) fn sent(&mut self, rank: u8, seconds: f64) {
        self.own.add(rank, seconds);
    }

    /// A prompt that was sent isn't read any more.
    pub(crate) fn over(&mut self, rank: u8, seconds: f64) {
        self.own.add(rank, -seconds);
    }

    /// Prompts of this node that are being read or wait to be.
    pub(crate) fn own(&self) -> Work {
        self.own
    }

    /// Takes in what other nodes' prompts take to read, and by how much one of them waits for longer
    /// than is usual.
    pub(crate) fn heard(&mut self, work: Work, overdue: f64, now: Instant) {
        self.others = Some(Others { work, overdue, heard: now });
    }

    fn others(&self, now: Instant) -> Option<Others> {
        self.others.filter(|others| now < others.heard + HEARD)
    }

    /// Seconds by which a prompt of another node waits for longer than is usual.
    pub(crate) fn overdue(&self, now: Instant) -> f64 {
        self.others(now).map_or(0.0, |others| others.overdue)
    }

    /// A prompt's first token came so long after it was sent, when so much was known to be read
    /// before it.
    pub(crate) fn begun(&mut self, prompt: Begun, now: Instant) {
        let Begun { rank, seconds, ahead, took } = prompt;
        self.over(rank, seconds);
        let rest = (took - seconds).max(0.0);
        let least = self.least.map_or(rest, |least| (least * (1.0 + RISE)).min(rest));
        self.least = Some(least);
        let held = self.waits(now);
        let beyond = (rest - least - ahead).max(0.0);
        self.wait = held + (beyond - held) * WEIGHT;
        self.seen = Some(now);
    }

    /// Whether a first token came since then.
    pub(crate) fn begun_since(&self, then: Instant) -> bool {
        self.seen.is_some_and(|seen| seen > then)
    }

    fn waits(&self, now: Instant) -> f64 {
        let Some(seen) = self.seen else { return 0.0 };
        let age = now.saturating_duration_since(seen).as_secs_f64();
        self.wait * (-age / HALF).exp2()
    }

    /// Time that prompts take which are read before one of a rank sent now, as far as is known.
    pub(crate) fn ahead(&self, rank: u8, now: Instant) -> f64 {
        self.own.ahead(rank) + self.others(now).map_or(0.0, |others| others.work.ahead(rank))
    }

    /// Time until a prompt of a rank sent now begins to be read.
    pub(crate) fn backlog(&self, rank: u8, now: Instant) -> f64 {
        self.ahead(rank, now) + self.waits(now)
    }

    /// Least time from a send to a first token beyond the prompt's own reading.
    pub(crate) fn least(&self) -> f64 {
        self.least.unwrap_or(0.0)
    }
}

#[cfg(test)]
mod tests;
