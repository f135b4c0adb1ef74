//! How long an engine takes to begin: what it has to read before, and what it was seen to take.
//!
//! Pattern: prompts of unlike length. An engine reads prompts one after the other between the tokens
//! of its streams, so its count of requests says little: one long prompt holds up a first token for
//! as long as dozens of short ones. Without this, the least loaded server by count is often the one
//! that reads longest.

use std::time::{Duration, Instant};

use crate::priority::{PRIORITIES, PerPriority};

/// Weight of a new wait in the running one: three in a row show a change.
const WEIGHT: f64 = 0.3;
/// A wait that was seen counts half after this many seconds: what was being read then is read by
/// now.
const HALF: f64 = 0.5;
/// The least time to a first token is let rise by this part with each look, to follow an engine
/// whose batch fills.
const RISE: f64 = 0.01;

/// Time for which reports of other nodes count: several intervals between them.
const REPORTS: Duration = Duration::from_secs(1);

/// A prompt whose first token came.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstToken {
    pub(crate) priority: u8,
    /// Estimated seconds of its prefill.
    pub(crate) prefill: f64,
    /// Seconds of other prompts that were known to be prefilled before it.
    pub(crate) queued_ahead: f64,
    /// Seconds from its send to its first token.
    pub(crate) took: f64,
}

/// What other nodes' prompts at one engine tell of it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peers {
    /// What they take to read.
    pub(crate) work: PerPriority,
    /// By how much one of them waits for longer than is usual.
    pub(crate) overdue: PerPriority,
    /// Places that they take or wait for.
    pub(crate) taken: PerPriority,
    /// When the engine was last seen to begin an answer.
    pub(crate) begun: Option<Instant>,
}

/// A running wait that fades.
#[derive(Clone, Copy, Debug, Default)]
struct Wait {
    seconds: f64,
    seen: Option<Instant>,
}

impl Wait {
    fn add(&mut self, seconds: f64, now: Instant) {
        let held = self.at(now);
        *self = Wait { seconds: held + (seconds - held) * WEIGHT, seen: Some(now) };
    }

    fn at(&self, now: Instant) -> f64 {
        let Some(seen) = self.seen else { return 0.0 };
        let age = now.saturating_duration_since(seen).as_secs_f64();
        self.seconds * (-age / HALF).exp2()
    }
}

/// What is known of one engine's reading. All times in seconds.
#[derive(Debug, Default)]
pub(crate) struct Estimator {
    /// What prompts that this node sent and that haven't begun to be answered take to read.
    own: PerPriority,
    /// The same of other nodes' prompts.
    others: Option<(Peers, Instant)>,
    /// When another node last saw it begin an answer.
    begun_elsewhere: Option<Instant>,
    /// Times to a first token beyond what was expected, as seen last, by rank of the prompt.
    waits: [Wait; PRIORITIES],
    seen: Option<Instant>,
    /// Least time from a send to a first token beyond the prompt's own reading.
    least: Option<f64>,
}

impl Estimator {
    /// A prompt was sent that takes so long to read.
    pub(crate) fn sent(&mut self, rank: u8, seconds: f64) {
        self.own.add(rank, seconds);
    }

    /// A prompt that was sent isn't read any more.
    pub(crate) fn prompt_done(&mut self, rank: u8, seconds: f64) {
        self.own.add(rank, -seconds);
    }

    /// Prompts of this node that are being read or wait to be.
    pub(crate) fn own(&self) -> PerPriority {
        self.own
    }

    /// Takes in what other nodes' prompts tell.
    pub(crate) fn received(&mut self, others: Peers, now: Instant) {
        self.begun_elsewhere = self.begun_elsewhere.max(others.begun);
        self.others = Some((others, now));
    }

    fn others(&self, now: Instant) -> Option<Peers> {
        self.others.filter(|(_, received)| now < *received + REPORTS).map(|(others, _)| others)
    }

    /// Seconds by which a prompt of another node waits for longer than is usual that is as urgent as `rank`,
    /// or more.
    pub(crate) fn overdue(&self, rank: u8, now: Instant) -> f64 {
        self.others(now).map_or(0.0, |others| others.overdue.max_up_to(rank))
    }

    /// Places that other nodes' requests take which are as urgent as `rank`, or more.
    pub(crate) fn taken(&self, rank: u8, now: Instant) -> f64 {
        self.others(now).map_or(0.0, |others| others.taken.sum_up_to(rank))
    }

    /// When it last began to answer anything, as far as any node has told.
    pub(crate) fn last_begun(&self) -> Option<Instant> {
        self.seen.max(self.begun_elsewhere)
    }

    /// A prompt's first token came so long after it was sent, when so much was known to be read
    /// before it.
    pub(crate) fn record_first_token(&mut self, prompt: FirstToken, now: Instant) {
        let FirstToken { priority: rank, prefill: seconds, queued_ahead: ahead, took } = prompt;
        self.prompt_done(rank, seconds);
        let rest = (took - seconds).max(0.0);
        let least = self.least.map_or(rest, |least| (least * (1.0 + RISE)).min(rest));
        self.least = Some(least);
        let beyond = (rest - least - ahead).max(0.0);
        self.waits[usize::from(rank).min(PRIORITIES - 1)].add(beyond, now);
        self.seen = Some(now);
    }

    /// When a prompt of this node was last begun to be answered.
    pub(crate) fn begun_here(&self) -> Option<Instant> {
        self.seen
    }

    /// What prompts as urgent as `rank`, or more, were seen to wait of late: less urgent ones are read after
    /// them, and a long wait of theirs says nothing.
    fn waits(&self, rank: u8, now: Instant) -> f64 {
        let as_urgent = self.waits.iter().take(usize::from(rank) + 1);
        as_urgent.map(|wait| wait.at(now)).fold(0.0, f64::max)
    }

    /// Time that prompts take which are read before one of a rank sent now, as far as is known.
    pub(crate) fn ahead(&self, rank: u8, now: Instant) -> f64 {
        self.own.sum_up_to(rank)
            + self.others(now).map_or(0.0, |others| others.work.sum_up_to(rank))
    }

    /// Time until a prompt of a rank sent now begins to be read.
    pub(crate) fn backlog(&self, rank: u8, now: Instant) -> f64 {
        self.ahead(rank, now) + self.waits(rank, now)
    }

    /// Least time from a send to a first token beyond the prompt's own reading.
    pub(crate) fn least(&self) -> f64 {
        self.least.unwrap_or(0.0)
    }
}

#[cfg(test)]
mod tests;
