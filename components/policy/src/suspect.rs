//! Keeps the evidence against one request, or one part of prompts, that may crash servers.
//!
//! Load pattern: servers that crash together, by a loss of power or a kill, beside those that crash one after the
//! other under the same request. Several nodes notice each crash, and their messages arrive in any order.

use std::time::{Duration, Instant};

use crate::pick::mix64;

/// Distinct crashes from which on a request or part is blocked.
pub(crate) const BLOCK_THRESHOLD: usize = 3;
/// Servers that crash within this time of each other count as one crash, if the request was at all of them.
pub(crate) const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(100);
/// Least time since its last crash for which a request is blocked. Each node draws a factor from 1 to 2, so
/// that not all of them try the request again at once.
pub(crate) const MIN_BLOCK: Duration = Duration::from_secs(120);
/// Factor by which each further crash lengthens the block.
const BLOCK_GROWTH: u32 = 4;
/// Longest block, before the random factor is applied.
const MAX_BLOCK: Duration = Duration::from_secs(3_600);
/// Time for which evidence is kept after the last crash or the end of the block.
pub(crate) const RETENTION: Duration = Duration::from_secs(600);
/// Crashes that are kept for one request, the latest ones.
pub(crate) const MAX_CRASHES: usize = 8;
/// Parts of one prompt that evidence is kept of. This bounds what one crash adds to the table and to messages.
pub const MAX_PARTS: usize = 16;
/// Added to the ids of parts, so that their keys differ from the hashes of whole requests.
const PART_SALT: u64 = 0x9e37_79b9_7f4a_7c15;

derives::data! {
    /// A server crashed while it ran a request.
    #[derive(Copy, Eq)]
    pub struct Crash {
        /// Key of one run of the server process: it changes with each restart and is the same on all nodes.
        pub instance: u32,
        /// When the request was sent to it.
        pub sent: Instant,
        /// When it crashed.
        pub at: Instant,
    }

    /// The crashes that a request, or a part of prompts, may have caused, and the answer that speaks against that.
    #[derive(Eq)]
    pub struct Evidence {
        /// Hash of the request's content, or key of the part.
        pub content: u64,
        /// Crashes of servers that were running it.
        pub crashes: Vec<Crash>,
        /// When a request last got a complete answer; when an answer to a prompt with the part last began.
        pub completed: Option<Instant>,
        /// Keys of the parts that were in all prompts with the part that servers were running as they crashed, itself
        /// among them; empty for a request.
        pub companions: Vec<u64>,
    }

    /// What a request is known by.
    #[derive(Eq)]
    pub struct Subject {
        /// Hash of its content.
        pub content: u64,
        /// Keys of the parts of its prompt that other requests share.
        pub parts: Vec<u64>,
    }
}

impl Subject {
    /// A request with this content, and the ids of the parts of its prompt that other requests share, of which only
    /// the first [`MAX_PARTS`] count.
    ///
    /// ```
    /// assert_eq!(policy::Subject::new(7, []), 7.into());
    /// ```
    pub fn new(content: u64, parts: impl IntoIterator<Item = u64>) -> Self {
        let key = |id| mix64(id ^ PART_SALT);
        Subject { content, parts: parts.into_iter().take(MAX_PARTS).map(key).collect() }
    }

    /// The same request without its parts, for evidence that concerns it as a whole only.
    #[must_use]
    pub fn whole(&self) -> Self {
        self.content.into()
    }
}

impl From<u64> for Subject {
    fn from(content: u64) -> Self {
        Subject { content, parts: vec![] }
    }
}

impl Crash {
    /// Whether it can't share a cause outside the request with an earlier crash: it came clearly later, or the
    /// request was only sent after the earlier one.
    fn is_distinct_from(&self, earlier: &Crash) -> bool {
        self.at > earlier.at + COMMON_CAUSE_WINDOW || self.sent > earlier.at
    }
}

/// Number of crashes that can't share a cause outside of what they are counted for. They are ordered by time.
pub(crate) fn count_distinct<'a>(crashes: impl Iterator<Item = &'a Crash>) -> usize {
    let (mut count, mut last_counted): (usize, Option<&Crash>) = (0, None);
    for crash in crashes {
        if last_counted.is_none_or(|last| crash.is_distinct_from(last)) {
            count += 1;
            last_counted = Some(crash);
        }
    }
    count
}

/// A request or part that was running on servers when they crashed.
#[derive(Debug, Default)]
pub(crate) struct Suspect {
    /// The latest ones, ordered by time.
    pub(crate) crashes: Vec<Crash>,
    pub(crate) completed: Option<Instant>,
    /// As in [`Evidence`].
    pub(crate) companions: Vec<u64>,
    /// When its last trial attempt after a block began; none once it completed.
    pub(crate) trial_started: Option<Instant>,
    /// Version of the table at its last change.
    pub(crate) version: u64,
}

impl Suspect {
    /// The number of distinct crashes since the last complete answer, and the time of the last crash.
    pub(crate) fn distinct_crashes(&self) -> (usize, Option<Instant>) {
        let last = self.counted_crashes().last().map(|crash| crash.at);
        (count_distinct(self.counted_crashes()), last)
    }

    /// The crashes since the last complete answer.
    pub(crate) fn counted_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| Some(crash.at) > self.completed)
    }

    /// The end of its block; none if it isn't blocked. `random` is the node's number from 0 to 1 for it.
    pub(crate) fn blocked_until(&self, random: f64) -> Option<Instant> {
        let (count, last) = self.distinct_crashes();
        let further = count.checked_sub(BLOCK_THRESHOLD)? as u32;
        let block = MIN_BLOCK.saturating_mul(BLOCK_GROWTH.saturating_pow(further)).min(MAX_BLOCK);
        Some(last? + block.mul_f64(1.0 + random))
    }

    /// When its evidence may be removed.
    pub(crate) fn retained_until(&self, random: f64) -> Option<Instant> {
        let last = self.crashes.last()?.at;
        Some(self.blocked_until(random).unwrap_or(last).max(last) + RETENTION)
    }

    /// Adds a crash; returns whether it was new.
    pub(crate) fn add_crash(&mut self, crash: Crash) -> bool {
        if self.crashes.iter().any(|known| known.instance == crash.instance) {
            return false;
        }
        let position = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(position, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    /// Records a complete answer; returns whether it voids a crash that counted until now.
    pub(crate) fn record_completion(&mut self, at: Instant) -> bool {
        let before = self.completed;
        self.completed = before.max(Some(at));
        let voided = |crash: &Crash| crash.at <= at && Some(crash.at) > before;
        self.crashes.iter().any(voided)
    }

    /// Keeps those companions that further prompts have too; returns whether that changed any. They only ever become
    /// fewer, so that all nodes come to the same whatever the order of messages.
    pub(crate) fn restrict_companions(&mut self, companions: Vec<u64>) -> bool {
        if companions.is_empty() {
            return false;
        }
        if self.companions.is_empty() {
            self.companions = companions;
            return true;
        }
        let before = self.companions.len();
        self.companions.retain(|part| companions.contains(part));
        self.companions.len() != before
    }
}
