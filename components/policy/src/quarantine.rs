//! Blocks requests that crash the servers which run them.
//!
//! Load pattern: one request crashes each server that runs it, and its caller sends it again and again,
//! through any node. Failure detection by server can't stop it, since each server is healthy until it runs
//! the request: every attempt crashes one more, and cuts off all answers in progress there.
//!
//! Crashes are counted by the content of a request, not by attempt. A request is blocked after crashes at
//! three distinct times; servers that crash together may have a cause in common, so they count once. A
//! complete answer proves that a request is harmless, and voids the crashes before it. When its block ends, a
//! request gets one trial attempt, and a crash then blocks it for longer.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::{Duration, Instant};

/// Distinct crashes from which on a request is blocked.
const BLOCK_THRESHOLD: usize = 3;
/// Servers that crash within this time of each other count as one crash, if the request was at all of them.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(100);
/// Least time since its last crash for which a request is blocked. Each node draws a factor from 1 to 2, so
/// that not all of them try the request again at once.
const MIN_BLOCK: Duration = Duration::from_secs(120);
/// Factor by which each further crash lengthens the block.
const BLOCK_GROWTH: u32 = 4;
/// Longest block, before the random factor is applied.
const MAX_BLOCK: Duration = Duration::from_secs(3_600);
/// Time for which evidence is kept after the last crash or the end of the block.
const RETENTION: Duration = Duration::from_secs(600);
/// Time for which other requests of the same content are blocked by a trial attempt that hasn't ended.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two removals of old evidence.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// Requests for which evidence is kept at once.
const MAX_SUSPECTS: usize = 2_048;
/// Crashes that are kept for one request, the latest ones.
const MAX_CRASHES: usize = 8;
/// Suspects in one message to another node.
const PAGE_SIZE: usize = 128;

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

    /// The crashes that a request may have caused, and the complete answer that speaks against that.
    #[derive(Eq)]
    pub struct Evidence {
        /// Hash of its content.
        pub content: u64,
        /// Crashes of servers that were running it.
        pub crashes: Vec<Crash>,
        /// When it last got a complete answer.
        pub completed: Option<Instant>,
    }
}

impl Crash {
    /// Whether it can't share a cause outside the request with an earlier crash: it came clearly later, or the
    /// request was only sent after the earlier one.
    fn is_distinct_from(&self, earlier: &Crash) -> bool {
        self.at > earlier.at + COMMON_CAUSE_WINDOW || self.sent > earlier.at
    }
}

/// A request that was running on servers when they crashed.
#[derive(Debug, Default)]
struct Suspect {
    /// The latest ones, ordered by time.
    crashes: Vec<Crash>,
    completed: Option<Instant>,
    /// When its last trial attempt after a block began; none once it completed.
    trial_started: Option<Instant>,
    /// Version of the table at its last change.
    version: u64,
}

impl Suspect {
    /// The number of distinct crashes since the last complete answer, and the time of the last crash.
    fn distinct_crashes(&self) -> (usize, Option<Instant>) {
        let not_voided = |crash: &&Crash| Some(crash.at) > self.completed;
        let (mut count, mut last_counted): (usize, Option<&Crash>) = (0, None);
        for crash in self.crashes.iter().filter(not_voided) {
            if last_counted.is_none_or(|last| crash.is_distinct_from(last)) {
                count += 1;
                last_counted = Some(crash);
            }
        }
        let last = self.crashes.iter().rfind(not_voided).map(|crash| crash.at);
        (count, last)
    }

    /// The end of its block; none if it isn't blocked. `random` is the node's number from 0 to 1 for it.
    fn blocked_until(&self, random: f64) -> Option<Instant> {
        let (count, last) = self.distinct_crashes();
        let further = count.checked_sub(BLOCK_THRESHOLD)? as u32;
        let block = MIN_BLOCK.saturating_mul(BLOCK_GROWTH.saturating_pow(further)).min(MAX_BLOCK);
        Some(last? + block.mul_f64(1.0 + random))
    }

    /// When its evidence may be removed.
    fn retained_until(&self, random: f64) -> Option<Instant> {
        let last = self.crashes.last()?.at;
        Some(self.blocked_until(random).unwrap_or(last).max(last) + RETENTION)
    }

    /// Adds a crash; returns whether it was new.
    fn add_crash(&mut self, crash: Crash) -> bool {
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
    fn record_completion(&mut self, at: Instant) -> bool {
        let before = self.completed;
        self.completed = before.max(Some(at));
        let voided = |crash: &Crash| crash.at <= at && Some(crash.at) > before;
        self.crashes.iter().any(voided)
    }
}

/// The requests that may crash servers, by the hash of their content.
#[derive(Debug)]
pub struct Quarantine {
    suspects: HashMap<u64, Suspect>,
    version: u64,
    seed: u64,
    last_sweep: Option<Instant>,
}

impl Quarantine {
    /// An empty table. Nodes with different seeds end their blocks at different times.
    ///
    /// ```
    /// let quarantine = policy::Quarantine::new(7);
    /// assert_eq!(quarantine.blocked_for(1, std::time::Instant::now()), None);
    /// ```
    pub fn new(seed: u64) -> Self {
        Quarantine { suspects: HashMap::new(), version: 0, seed, last_sweep: None }
    }

    /// Records that a server crashed while it ran a request.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use policy::{Crash, Quarantine};
    ///
    /// let (mut quarantine, start) = (Quarantine::new(7), Instant::now());
    /// for server in 0..3 {
    ///     assert_eq!(quarantine.blocked_for(1, start), None);
    ///     let at = start + Duration::from_secs(server.into());
    ///     quarantine.record_crash(1, Crash { instance: server, sent: start, at }, at);
    /// }
    /// assert!(quarantine.blocked_for(1, start + Duration::from_secs(3)).is_some());
    /// ```
    pub fn record_crash(&mut self, content: u64, crash: Crash, now: Instant) {
        self.merge(Evidence { content, crashes: vec![crash], completed: None }, now);
    }

    /// Records that a request got a complete answer, be it a success or an error: its server survived it.
    ///
    /// ```
    /// let mut quarantine = policy::Quarantine::new(7);
    /// quarantine.record_completion(1, std::time::Instant::now());
    /// assert_eq!(quarantine.version(), 0, "it had no crashes");
    /// ```
    pub fn record_completion(&mut self, content: u64, now: Instant) {
        let Some(suspect) = self.suspects.get_mut(&content) else { return };
        suspect.trial_started = None;
        if suspect.record_completion(now) {
            self.version += 1;
            suspect.version = self.version;
        }
    }

    /// The time for which a request is still blocked; none if it isn't.
    pub fn blocked_for(&self, content: u64, now: Instant) -> Option<Duration> {
        let suspect = self.suspects.get(&content)?;
        let until = suspect.blocked_until(self.random(content))?;
        let trial = suspect.trial_started.map(|started| started + TRIAL_TIMEOUT);
        let until = until.max(trial.unwrap_or(until));
        until.checked_duration_since(now).filter(|left| !left.is_zero())
    }

    /// Asks to send a request to a server. After a block, this starts a trial attempt: other requests with
    /// the same content are blocked until it has completed, or for 30 s.
    ///
    /// # Errors
    /// The time for which the request is still blocked.
    ///
    /// ```
    /// let mut quarantine = policy::Quarantine::new(7);
    /// assert_eq!(quarantine.begin_attempt(1, std::time::Instant::now()), Ok(()));
    /// ```
    pub fn begin_attempt(&mut self, content: u64, now: Instant) -> Result<(), Duration> {
        if let Some(left) = self.blocked_for(content, now) {
            return Err(left);
        }
        if let Some(suspect) = self.suspects.get_mut(&content)
            && suspect.distinct_crashes().0 >= BLOCK_THRESHOLD
        {
            suspect.trial_started = Some(now);
        }
        Ok(())
    }

    /// Number of requests that are blocked.
    ///
    /// ```
    /// assert_eq!(policy::Quarantine::new(7).blocked_count(std::time::Instant::now()), 0);
    /// ```
    pub fn blocked_count(&self, now: Instant) -> usize {
        self.suspects.keys().filter(|content| self.blocked_for(**content, now).is_some()).count()
    }

    /// Version of the latest change, for [`Quarantine::changes_since`].
    pub fn version(&self) -> u64 {
        self.version
    }

    /// One page of the evidence that changed after a version, the oldest change first, and the version up to
    /// which it goes; pass that one to get the next page. Requests with fewer than `min_crashes` crashes are
    /// left out.
    ///
    /// ```
    /// let quarantine = policy::Quarantine::new(7);
    /// assert_eq!(quarantine.changes_since(0, 1), (vec![], 0));
    /// ```
    pub fn changes_since(&self, version: u64, min_crashes: usize) -> (Vec<Evidence>, u64) {
        if version >= self.version {
            return (vec![], self.version);
        }
        let changed = self.suspects.iter().filter(|(_, suspect)| suspect.version > version);
        let mut changed: Vec<_> = changed.filter(|(_, s)| s.crashes.len() >= min_crashes).collect();
        changed.sort_by_key(|(_, suspect)| suspect.version);
        let page = &changed[..changed.len().min(PAGE_SIZE)];
        let all = page.len() == changed.len();
        let last = page.last().map_or(self.version, |(_, suspect)| suspect.version);
        let evidence = |(content, suspect): &(&u64, &Suspect)| Evidence {
            content: **content,
            crashes: suspect.crashes.clone(),
            completed: suspect.completed,
        };
        (page.iter().map(evidence).collect(), if all { self.version } else { last })
    }

    /// Merges evidence that another node has.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use policy::{Crash, Evidence, Quarantine};
    ///
    /// let (mut quarantine, now) = (Quarantine::new(7), Instant::now());
    /// let crashes = vec![Crash { instance: 3, sent: now, at: now }];
    /// let evidence = Evidence { content: 1, crashes, completed: None };
    /// quarantine.merge(evidence.clone(), now);
    /// assert_eq!(quarantine.changes_since(0, 1).0, [evidence]);
    /// ```
    pub fn merge(&mut self, evidence: Evidence, now: Instant) {
        let Evidence { content, crashes, completed } = evidence;
        let recent = crashes.iter().filter(|crash| now < crash.at + MIN_BLOCK + RETENTION);
        let recent: Vec<_> = recent.copied().collect();
        if recent.is_empty() && !self.suspects.contains_key(&content) {
            return;
        }
        self.make_room(content, now);
        let suspect = match self.suspects.entry(content) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => entry.insert(Suspect::default()),
        };
        let mut changed = false;
        for crash in recent {
            changed |= suspect.add_crash(crash);
        }
        changed |= completed.is_some_and(|at| suspect.record_completion(at));
        if changed {
            self.version += 1;
            suspect.version = self.version;
        }
    }

    /// Makes room for a request: removes old evidence and, if the table is still full, the suspect with the
    /// fewest distinct crashes, the oldest of several.
    fn make_room(&mut self, content: u64, now: Instant) {
        let full = self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&content);
        if full || self.last_sweep.is_none_or(|last| now >= last + SWEEP_INTERVAL) {
            self.last_sweep = Some(now);
            let seed = self.seed;
            self.suspects.retain(|content, suspect| {
                suspect.retained_until(random(seed, *content)).is_some_and(|end| now < end)
            });
        }
        if !full || self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let weakest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.distinct_crashes());
        if let Some(content) = weakest.map(|(content, _)| *content) {
            self.suspects.remove(&content);
        }
    }

    fn random(&self, content: u64) -> f64 {
        random(self.seed, content)
    }
}

/// The number from 0 to 1 of a node for a request, by hashing.
fn random(seed: u64, content: u64) -> f64 {
    crate::pick::mix64(seed ^ content) as f64 / u64::MAX as f64
}

#[cfg(test)]
mod tests;
