//! Decides when a node reads the store itself because nobody else keeps it up to date.
//!
//! A node that reaches the store must not depend on its peers for longer than operators are promised, whatever these
//! take each other's answers for. The age of its own proof shows it: an answer that is passed on never makes it younger.
//!
//! Load pattern: all nodes of a fleet receive an answer at the same time, so their proofs reach an age at the same time
//! as well. They read the store over a span that grows with the fleet. Where the store doesn't answer either, a node
//! tries it again within the promised time only.

use std::time::{Duration, Instant};

/// Time for a read of the store: a new connection, an answer and what it changes.
const READ_TIME: Duration = Duration::from_millis(150);
/// Time for the answer to a read alone.
const ANSWER_TIME: Duration = Duration::from_millis(50);
/// Reads of the store per second that a fleet begins at most.
const READS_PER_S: f64 = 4_000.0;
/// Longest span over which a fleet spreads its reads.
const MAX_SPREAD: Duration = Duration::from_millis(150);
/// Pause after a failed read, as fractions of the time within which changes must be in force.
const RETRY_PAUSE: std::ops::Range<f64> = 0.4..0.7;

/// For how long a node may rely on its proof.
///
/// ```
/// use std::time::Duration;
///
/// let limits = upstream::Limits {
///     apply: Duration::from_millis(2_500),
///     lapse: Duration::from_millis(2_400),
/// };
/// assert!(upstream::Renewal::new(0.0).max_age(7, limits) < limits.lapse);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time within which what was published must be in force.
    pub apply: Duration,
    /// Time for which the entry of a server that runs is listed after the store stopped taking renewals. A node that reads
    /// the store within it knows that a missing server has left.
    pub lapse: Duration,
}

/// When a node reads the store itself.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// let limits = upstream::Limits {
///     apply: Duration::from_millis(2_500),
///     lapse: Duration::from_millis(2_400),
/// };
/// let (now, renewal) = (Instant::now(), upstream::Renewal::new(0.0));
/// assert_eq!(renewal.time_until_read(limits.apply, 7, limits, now), Duration::ZERO);
/// assert!(renewal.time_until_read(Duration::from_millis(2_200), 7, limits, now) > Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Renewal {
    /// Place of this node in the span over which all nodes read the store, from 0 to 1.
    place: f64,
    /// When the last read failed.
    failed: Option<Instant>,
}

impl Renewal {
    /// A node at a place between 0 and 1 in the order in which nodes read the store.
    pub fn new(place: f64) -> Self {
        Renewal { place, failed: None }
    }

    /// Age of its proof at which a node of a fleet of `nodes` reads the store.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let (apply, lapse) = (Duration::from_millis(4_000), Duration::from_millis(2_400));
    /// let limits = upstream::Limits { apply, lapse };
    /// let age = |place| upstream::Renewal::new(place).max_age(584, limits);
    /// assert!(age(1.0) < age(0.0) && age(0.0) < lapse);
    /// ```
    pub fn max_age(&self, nodes: u32, limits: Limits) -> Duration {
        let longest = limits.apply.saturating_sub(READ_TIME);
        let longest = longest.min(limits.lapse.saturating_sub(ANSWER_TIME));
        let spread = Duration::from_secs_f64(f64::from(nodes) / READS_PER_S).min(MAX_SPREAD);
        longest.saturating_sub(spread.mul_f64(self.place))
    }

    /// Time until this node has to read the store, by the age of its proof.
    pub fn time_until_read(
        &self,
        age: Duration,
        nodes: u32,
        limits: Limits,
        now: Instant,
    ) -> Duration {
        let due = self.max_age(nodes, limits).saturating_sub(age);
        let fraction = RETRY_PAUSE.start + (RETRY_PAUSE.end - RETRY_PAUSE.start) * self.place;
        let pause = limits.apply.mul_f64(fraction);
        let retry = self
            .failed
            .map_or(Duration::ZERO, |failed| (failed + pause).saturating_duration_since(now));
        due.max(retry)
    }

    /// Records that the store answered a read.
    pub fn record_success(&mut self) {
        self.failed = None;
    }

    /// Records that the store gave no usable answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.failed = Some(now);
    }
}
