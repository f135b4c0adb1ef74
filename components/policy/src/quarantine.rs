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
//!
//! The same evidence is kept of the parts that prompts share ([`crate::culprits`]). The start of an answer proves
//! that the parts of its prompt are harmless.

use std::cell::OnceCell;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::{Duration, Instant};

use crate::culprits::{self, Candidate, Rule};
use crate::pick::mix64;
use crate::suspect::{
    BLOCK_THRESHOLD, Crash, Evidence, MAX_CRASHES, MIN_BLOCK, RETENTION, Subject, Suspect,
};

/// Time for which other requests of the same content are blocked by a trial attempt that hasn't ended.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two removals of old evidence.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// Requests for which evidence is kept at once.
const MAX_SUSPECTS: usize = 2_048;
/// Suspects that are removed at once from a full table; comparing all of them for each new one takes long.
const EVICTED: usize = MAX_SUSPECTS / 8;
/// Suspects in one message to another node.
const PAGE_SIZE: usize = 128;

/// The requests and parts of prompts that may crash servers.
#[derive(Debug)]
pub struct Quarantine {
    suspects: HashMap<u64, Suspect>,
    /// The prompts that are blocked for their parts; computed when they are asked for after a change.
    rules: OnceCell<Vec<Rule>>,
    version: u64,
    seed: u64,
    last_sweep: Option<Instant>,
}

impl Quarantine {
    /// An empty table. Nodes with different seeds end their blocks at different times.
    ///
    /// ```
    /// let quarantine = policy::Quarantine::new(7);
    /// assert_eq!(quarantine.blocked_for(&1.into(), std::time::Instant::now()), None);
    /// ```
    pub fn new(seed: u64) -> Self {
        let (suspects, rules) = (HashMap::new(), OnceCell::new());
        Quarantine { suspects, rules, version: 0, seed, last_sweep: None }
    }

    /// Records that a server crashed while it ran a request. Its parts are accused too, so if its answer had begun,
    /// pass [`Subject::whole`].
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use policy::{Crash, Quarantine, Subject};
    ///
    /// let (mut quarantine, start) = (Quarantine::new(7), Instant::now());
    /// for server in 0..3 {
    ///     let request = Subject::new(server.into(), [0xbad]);
    ///     assert_eq!(quarantine.blocked_for(&request, start), None);
    ///     let at = start + Duration::from_secs(server.into());
    ///     quarantine.record_crash(&request, Crash { instance: server, sent: start, at }, at);
    /// }
    /// let another = Subject::new(9, [0xbad]);
    /// assert!(quarantine.blocked_for(&another, start + Duration::from_secs(3)).is_some());
    /// ```
    pub fn record_crash(&mut self, subject: &Subject, crash: Crash, now: Instant) {
        let evidence = |content, companions| Evidence {
            content,
            crashes: vec![crash],
            completed: None,
            companions,
        };
        self.merge(evidence(subject.content, vec![]), now);
        for part in &subject.parts {
            self.merge(evidence(*part, subject.parts.clone()), now);
        }
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
            self.rules = OnceCell::new();
        }
    }

    /// Records that the answer to a request began: its server has survived the parts of its prompt.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use policy::{Crash, Quarantine, Subject};
    ///
    /// let (mut quarantine, at) = (Quarantine::new(7), Instant::now());
    /// let bad = Subject::new(1, [0xc0, 0xbad]);
    /// quarantine.record_crash(&bad, Crash { instance: 3, sent: at, at }, at);
    /// quarantine.record_beginning(&Subject::new(2, [0xc0]), at + Duration::from_secs(1));
    /// assert_eq!(quarantine.version(), 4, "it clears one of three suspects");
    /// ```
    pub fn record_beginning(&mut self, subject: &Subject, now: Instant) {
        if self.suspects.is_empty() {
            return;
        }
        for part in &subject.parts {
            self.record_completion(*part, now);
        }
    }

    /// The time for which a request is still blocked, by its content or a part of its prompt; none if it isn't.
    pub fn blocked_for(&self, subject: &Subject, now: Instant) -> Option<Duration> {
        let by_parts =
            self.rules_for(subject).filter_map(|rule| self.key_blocked_for(rule.part, now));
        by_parts.chain(self.key_blocked_for(subject.content, now)).max()
    }

    /// The rules that concern a request.
    fn rules_for<'a>(&'a self, subject: &'a Subject) -> impl Iterator<Item = &'a Rule> {
        let rules = if subject.parts.is_empty() { &[] } else { self.rules() };
        rules.iter().filter(|rule| rule.matches(&subject.parts))
    }

    fn rules(&self) -> &[Rule] {
        self.rules.get_or_init(|| culprits::rules(self.candidates()))
    }

    /// The parts that were in enough crashes to be the cause.
    fn candidates(&self) -> Vec<Candidate<'_>> {
        let accused = self.suspects.iter().filter(|(_, suspect)| {
            !suspect.companions.is_empty() && suspect.crashes.len() >= BLOCK_THRESHOLD
        });
        accused.map(|(part, suspect)| self.candidate(*part, suspect)).collect()
    }

    fn candidate<'a>(&'a self, part: u64, suspect: &'a Suspect) -> Candidate<'a> {
        let crashes: Vec<_> = suspect.counted_crashes().collect();
        let first = crashes.first().map(|crash| crash.at);
        let cleared = |other: &u64| {
            let completed = self.suspects.get(other).and_then(|other| other.completed);
            *other != part && completed.is_some() && completed > first
        };
        let companions = suspect.companions.iter().copied().filter(|other| !cleared(other));
        let had_more = crashes.len() >= MAX_CRASHES;
        Candidate { part, crashes, had_more, companions: companions.collect() }
    }

    /// The time for which a suspect is still blocked by its own crashes.
    fn key_blocked_for(&self, content: u64, now: Instant) -> Option<Duration> {
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
    /// assert_eq!(quarantine.begin_attempt(&1.into(), std::time::Instant::now()), Ok(()));
    /// ```
    pub fn begin_attempt(&mut self, subject: &Subject, now: Instant) -> Result<(), Duration> {
        if let Some(left) = self.blocked_for(subject, now) {
            return Err(left);
        }
        let parts: Vec<_> = self.rules_for(subject).map(|rule| rule.part).collect();
        for key in parts.into_iter().chain([subject.content]) {
            if let Some(suspect) = self.suspects.get_mut(&key)
                && suspect.distinct_crashes().0 >= BLOCK_THRESHOLD
            {
                suspect.trial_started = Some(now);
            }
        }
        Ok(())
    }

    /// Number of requests and parts that are blocked.
    ///
    /// ```
    /// assert_eq!(policy::Quarantine::new(7).blocked_count(std::time::Instant::now()), 0);
    /// ```
    pub fn blocked_count(&self, now: Instant) -> usize {
        let contents = self.suspects.iter().filter(|(_, suspect)| suspect.companions.is_empty());
        let blocked = |key: &u64| self.key_blocked_for(*key, now).is_some();
        let parts = self.rules().iter().filter(|rule| blocked(&rule.part));
        contents.filter(|(key, _)| blocked(key)).count() + parts.count()
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
            companions: suspect.companions.clone(),
        };
        (page.iter().map(evidence).collect(), if all { self.version } else { last })
    }

    /// Merges evidence that another node has. Returns whether this node knows of a later answer, which voids crashes
    /// that count for the other one.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use policy::{Crash, Evidence, Quarantine};
    ///
    /// let (mut quarantine, now) = (Quarantine::new(7), Instant::now());
    /// let crashes = vec![Crash { instance: 3, sent: now, at: now }];
    /// let evidence = Evidence { content: 1, crashes, completed: None, companions: vec![] };
    /// quarantine.merge(evidence.clone(), now);
    /// assert_eq!(quarantine.changes_since(0, 1).0, [evidence]);
    /// ```
    pub fn merge(&mut self, evidence: Evidence, now: Instant) -> bool {
        let knows_more = self.voids_more_than(&evidence);
        let Evidence { content, crashes, completed, companions } = evidence;
        let recent = crashes.iter().filter(|crash| now < crash.at + MIN_BLOCK + RETENTION);
        let recent: Vec<_> = recent.copied().collect();
        if recent.is_empty() && !self.suspects.contains_key(&content) {
            return knows_more;
        }
        self.make_room(content, now);
        let mut changed = false;
        let suspect = match self.suspects.entry(content) {
            Entry::Occupied(entry) => {
                let suspect = entry.into_mut();
                changed |= suspect.restrict_companions(companions);
                suspect
            }
            Entry::Vacant(entry) => entry.insert(Suspect { companions, ..Suspect::default() }),
        };
        for crash in recent {
            changed |= suspect.add_crash(crash);
        }
        changed |= completed.is_some_and(|at| suspect.record_completion(at));
        if changed {
            self.version += 1;
            suspect.version = self.version;
            self.rules = OnceCell::new();
        }
        knows_more
    }

    /// Whether an answer that this node knows of voids crashes that count by the evidence of another one.
    fn voids_more_than(&self, evidence: &Evidence) -> bool {
        let completed = self.suspects.get(&evidence.content).and_then(|suspect| suspect.completed);
        let counts = |crash: &Crash| Some(crash.at) > evidence.completed;
        evidence.crashes.iter().any(|crash| counts(crash) && Some(crash.at) <= completed)
    }

    /// Makes the evidence against a suspect a change, so that it is sent again.
    pub fn send_again(&mut self, content: u64) {
        if let Some(suspect) = self.suspects.get_mut(&content) {
            self.version += 1;
            suspect.version = self.version;
        }
    }

    /// Makes room for a request: removes old evidence and, if the table is still full, some suspects with the
    /// fewest distinct crashes, the oldest first.
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
        let strength = |(key, suspect): (&u64, &Suspect)| (suspect.distinct_crashes(), *key);
        let mut strengths: Vec<_> = self.suspects.iter().map(strength).collect();
        strengths.select_nth_unstable(EVICTED);
        for (_, key) in &strengths[..EVICTED] {
            self.suspects.remove(key);
        }
        self.rules = OnceCell::new();
    }

    fn random(&self, content: u64) -> f64 {
        random(self.seed, content)
    }
}

/// The number from 0 to 1 of a node for a request, by hashing.
fn random(seed: u64, content: u64) -> f64 {
    mix64(seed ^ content) as f64 / u64::MAX as f64
}

#[cfg(test)]
mod tests;
