//! Which requests are held back because servers crash when they run them.
//!
//! Load pattern: one request crashes each server that runs it, and its caller sends it again and again,
//! through any node. Failure detection by server can't stop it, since each server is sound until it runs
//! the request: every try ends one more, and cuts all answers that were under way there.
//!
//! Evidence is kept by what a request asks, not by its tries. A request is held back after crashes at three
//! different moments; servers that crash together may have a cause in common, so they count once. A whole answer
//! proves that a request is sound, and voids the evidence before it. A request that is held back for its time
//! gets one more try, and a crash then holds it back for longer.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::{Duration, Instant};

/// Crashes that hold a request back.
const CRASHES: usize = 3;
/// Servers that crash within this time of each other count as one crash, if the request was at all of them.
const MOMENT: Duration = Duration::from_millis(100);
/// Time since its last crash for which a request is held back at least; up to twice as long at some nodes,
/// so that not all of them try it again together.
const HOLD: Duration = Duration::from_secs(120);
/// Times by which each further crash lengthens it.
const LONGER: u32 = 4;
/// Longest time for which a request is held back, before it is drawn.
const LONGEST: Duration = Duration::from_secs(3_600);
/// Time for which evidence is kept, since the last crash or the end of the hold.
const KEPT: Duration = Duration::from_secs(600);
/// Time for which others of the same content wait for the one that is tried again.
const TRIAL: Duration = Duration::from_secs(30);
/// Time between two looks for evidence that is too old.
const SWEEP: Duration = Duration::from_secs(10);
/// Requests that are suspected at most.
const SUSPECTS: usize = 2_048;
/// Crashes that are remembered of one request.
const REMEMBERED: usize = 8;
/// Suspects that are passed on at once.
const PAGE: usize = 128;

derives::data! {
    /// A server crashed while it ran a request.
    #[derive(Copy, Eq)]
    pub struct Crash {
        /// Key of this start of the server, the same at all nodes.
        pub instance: u32,
        /// When the request was sent to it.
        pub sent: Instant,
        /// When it crashed.
        pub at: Instant,
    }

    /// What is known against a request, and for it.
    #[derive(Eq)]
    pub struct Evidence {
        /// Hash of what it asks.
        pub content: u64,
        /// Servers that crashed while they ran it.
        pub crashes: Vec<Crash>,
        /// When it last got a whole answer.
        pub completed: Option<Instant>,
    }
}

impl Crash {
    /// Whether it can't have a cause outside the request in common with an earlier one: it came later, or the
    /// request was only sent after that.
    fn follows(&self, earlier: &Crash) -> bool {
        self.at > earlier.at + MOMENT || self.sent > earlier.at
    }
}

/// A request that servers crashed under.
#[derive(Debug, Default)]
struct Suspect {
    /// In order of time.
    crashes: Vec<Crash>,
    completed: Option<Instant>,
    /// When it was last let through after its hold.
    tried: Option<Instant>,
    /// Version of the table at which it last changed.
    version: u64,
}

impl Suspect {
    /// Crashes that count, and when the last was.
    fn strikes(&self) -> (usize, Option<Instant>) {
        let counts = |crash: &&Crash| Some(crash.at) > self.completed;
        let (mut strikes, mut counted): (usize, Option<&Crash>) = (0, None);
        for crash in self.crashes.iter().filter(counts) {
            if counted.is_none_or(|last| crash.follows(last)) {
                strikes += 1;
                counted = Some(crash);
            }
        }
        let last = self.crashes.iter().rfind(counts).map(|crash| crash.at);
        (strikes, last)
    }

    /// Until when it is held back, for a node that draws a number from 0 to 1.
    fn until(&self, draw: f64) -> Option<Instant> {
        let (strikes, last) = self.strikes();
        let further = strikes.checked_sub(CRASHES)? as u32;
        let hold = HOLD.saturating_mul(LONGER.saturating_pow(further)).min(LONGEST);
        Some(last? + hold.mul_f64(1.0 + draw))
    }

    /// Until when it is remembered.
    fn kept(&self, draw: f64) -> Option<Instant> {
        let last = self.crashes.last()?.at;
        Some(self.until(draw).unwrap_or(last).max(last) + KEPT)
    }

    /// Adds a crash; returns whether it was new.
    fn add(&mut self, crash: Crash) -> bool {
        if self.crashes.iter().any(|known| known.instance == crash.instance) {
            return false;
        }
        let place = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(place, crash);
        if self.crashes.len() > REMEMBERED {
            self.crashes.remove(0);
        }
        true
    }

    /// Notes a whole answer; returns whether it voids evidence.
    fn complete(&mut self, at: Instant) -> bool {
        let before = self.completed;
        self.completed = before.max(Some(at));
        let voided = |crash: &Crash| crash.at <= at && Some(crash.at) > before;
        self.crashes.iter().any(voided)
    }
}

/// Requests that servers crashed under, by what they ask.
#[derive(Debug)]
pub struct Quarantine {
    suspects: HashMap<u64, Suspect>,
    version: u64,
    seed: u64,
    swept: Option<Instant>,
}

impl Quarantine {
    /// Nothing is suspected yet. Nodes with different seeds end their holds at different times.
    ///
    /// ```
    /// let quarantine = policy::Quarantine::new(7);
    /// assert_eq!(quarantine.blocked_for(1, std::time::Instant::now()), None);
    /// ```
    pub fn new(seed: u64) -> Self {
        Quarantine { suspects: HashMap::new(), version: 0, seed, swept: None }
    }

    /// Takes in that a server crashed while it ran a request.
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

    /// Takes in that a request got a whole answer, be it good or bad: its server outlived it.
    ///
    /// ```
    /// let mut quarantine = policy::Quarantine::new(7);
    /// quarantine.record_completion(1, std::time::Instant::now());
    /// assert_eq!(quarantine.version(), 0, "nothing was suspected");
    /// ```
    pub fn record_completion(&mut self, content: u64, now: Instant) {
        let Some(suspect) = self.suspects.get_mut(&content) else { return };
        suspect.tried = None;
        if suspect.complete(now) {
            self.version += 1;
            suspect.version = self.version;
        }
    }

    /// How long a request is held back from now; none if it isn't.
    pub fn blocked_for(&self, content: u64, now: Instant) -> Option<Duration> {
        let suspect = self.suspects.get(&content)?;
        let until = suspect.until(self.draw(content))?;
        let trial = suspect.tried.map(|tried| tried + TRIAL);
        let until = until.max(trial.unwrap_or(until));
        until.checked_duration_since(now).filter(|left| !left.is_zero())
    }

    /// Lets a request go to a server. One whose hold has ended goes alone: others with the same content are
    /// held back until it has ended.
    ///
    /// # Errors
    /// How long it is held back, if it is.
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
            && suspect.strikes().0 >= CRASHES
        {
            suspect.tried = Some(now);
        }
        Ok(())
    }

    /// Number of requests that are held back.
    ///
    /// ```
    /// assert_eq!(policy::Quarantine::new(7).blocked_count(std::time::Instant::now()), 0);
    /// ```
    pub fn blocked_count(&self, now: Instant) -> usize {
        self.suspects.keys().filter(|content| self.blocked_for(**content, now).is_some()).count()
    }

    /// Position up to which [`Quarantine::changes_since`] tells.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Evidence that changed after a version, the oldest change first, and the position that it leads to. What
    /// doesn't fit into one message follows in the next. Requests with fewer crashes than `least` are left out.
    ///
    /// ```
    /// let quarantine = policy::Quarantine::new(7);
    /// assert_eq!(quarantine.changes_since(0, 1), (vec![], 0));
    /// ```
    pub fn changes_since(&self, version: u64, least: usize) -> (Vec<Evidence>, u64) {
        if version >= self.version {
            return (vec![], self.version);
        }
        let changed = self.suspects.iter().filter(|(_, suspect)| suspect.version > version);
        let mut changed: Vec<_> = changed.filter(|(_, s)| s.crashes.len() >= least).collect();
        changed.sort_by_key(|(_, suspect)| suspect.version);
        let page = &changed[..changed.len().min(PAGE)];
        let all = page.len() == changed.len();
        let last = page.last().map_or(self.version, |(_, suspect)| suspect.version);
        let evidence = |(content, suspect): &(&u64, &Suspect)| Evidence {
            content: **content,
            crashes: suspect.crashes.clone(),
            completed: suspect.completed,
        };
        (page.iter().map(evidence).collect(), if all { self.version } else { last })
    }

    /// Takes in what another node knows.
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
        let recent = crashes.iter().filter(|crash| now < crash.at + HOLD + KEPT);
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
            changed |= suspect.add(crash);
        }
        changed |= completed.is_some_and(|at| suspect.complete(at));
        if changed {
            self.version += 1;
            suspect.version = self.version;
        }
    }

    /// Forgets what is too old, and the weakest suspicion if there are too many.
    fn make_room(&mut self, content: u64, now: Instant) {
        let full = self.suspects.len() >= SUSPECTS && !self.suspects.contains_key(&content);
        if full || self.swept.is_none_or(|swept| now >= swept + SWEEP) {
            self.swept = Some(now);
            let seed = self.seed;
            self.suspects.retain(|content, suspect| {
                suspect.kept(draw(seed, *content)).is_some_and(|kept| now < kept)
            });
        }
        if !full || self.suspects.len() < SUSPECTS {
            return;
        }
        let weakest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.strikes());
        if let Some(content) = weakest.map(|(content, _)| *content) {
            self.suspects.remove(&content);
        }
    }

    fn draw(&self, content: u64) -> f64 {
        draw(self.seed, content)
    }
}

/// A number from 0 to 1 that a node draws for a request.
fn draw(seed: u64, content: u64) -> f64 {
    crate::pick::mix64(seed ^ content) as f64 / u64::MAX as f64
}

#[cfg(test)]
mod tests;
