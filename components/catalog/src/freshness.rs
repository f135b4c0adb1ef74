//! How long ago it was confirmed that what a node holds is the newest there is.
//!
//! A node that is cut off from the configuration doesn't notice that a key was taken away, and goes
//! on serving its holder; one that wakes from a pause believes that no time has passed. The holder
//! of a withdrawn key would notice with pleasure, its owner later. So each node keeps the time of
//! the last proof, by a clock that also counts while a VM is suspended, and stops serving keyed
//! requests before the proof is older than the bound that operators were promised.

use std::time::Duration;

/// The age of what a node holds. All times are of a clock that counts suspension.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    bound: Duration,
    confirmed: Option<Duration>,
}

impl Freshness {
    /// Nothing was confirmed yet; a proof holds for `bound`.
    pub fn new(bound: Duration) -> Self {
        Freshness { bound, confirmed: None }
    }

    /// A proof holds for `bound` from here on.
    pub fn set_bound(&mut self, bound: Duration) {
        self.bound = bound;
    }

    /// At `asked` a read began, and its answer left nothing newer out.
    pub fn confirm(&mut self, asked: Duration) {
        self.confirmed = self.confirmed.max(Some(asked));
    }

    /// Time since the last proof; none without one.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.saturating_sub(confirmed))
    }

    /// Whether keys may be believed.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut freshness = catalog::Freshness::new(Duration::from_secs(4));
    /// freshness.confirm(Duration::from_secs(10));
    /// assert!(freshness.holds(Duration::from_secs(13)));
    /// assert!(!freshness.holds(Duration::from_secs(15)));
    /// ```
    pub fn holds(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < self.bound)
    }
}
