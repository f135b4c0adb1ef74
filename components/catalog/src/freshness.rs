//! Tracks how long ago it was confirmed that a node holds the newest settings.
//!
//! A node that is cut off from the configuration store doesn't notice that an API key was revoked and
//! would go on serving its holder; one that wakes from a suspension believes that no time has passed.
//! So each node keeps the time of the last confirmation, by a clock that also runs while a VM is
//! suspended, and stops serving keyed requests before the confirmation is older than the revocation
//! time that operators were promised.

use std::time::Duration;

/// The age of the settings that a node holds. All times are of a clock that runs during suspension.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    max_age: Duration,
    confirmed: Option<Duration>,
}

impl Freshness {
    /// Settings that haven't been confirmed yet; a confirmation holds for `max_age`.
    pub fn new(max_age: Duration) -> Self {
        Freshness { max_age, confirmed: None }
    }

    /// Changes how long a confirmation holds, also the last one.
    pub fn set_max_age(&mut self, max_age: Duration) {
        self.max_age = max_age;
    }

    /// Records that a read that began at `asked` showed nothing newer than what the node holds.
    pub fn confirm(&mut self, asked: Duration) {
        self.confirmed = self.confirmed.max(Some(asked));
    }

    /// Time since the last confirmation; `None` if there was none.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.saturating_sub(confirmed))
    }

    /// Whether the settings were confirmed recently enough to accept API keys by them.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut freshness = catalog::Freshness::new(Duration::from_secs(4));
    /// freshness.confirm(Duration::from_secs(10));
    /// assert!(freshness.is_fresh(Duration::from_secs(13)));
    /// assert!(!freshness.is_fresh(Duration::from_secs(15)));
    /// ```
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < self.max_age)
    }
}
