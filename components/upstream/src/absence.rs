//! Measures for how long a node has had nothing current to serve by.

use std::time::{Duration, Instant};

derives::named! {
    /// What preceded a time without current settings.
    pub enum Origin {
        /// The node's start.
        Start = "start",
        /// A time with current settings.
        Lapse = "lapse",
    }
}

/// Times without current settings: from the start of a node to its first proof, and whenever its proof has lapsed.
///
/// ```
/// use std::time::{Duration, Instant};
/// use upstream::{Absence, Origin};
///
/// let start = Instant::now();
/// let mut absence = Absence::new(start);
/// assert_eq!(absence.record(false, start + Duration::from_secs(2)), None);
/// let ended = absence.record(true, start + Duration::from_secs(3));
/// assert_eq!(ended, Some((Origin::Start, Duration::from_secs(3))));
/// ```
#[derive(Debug)]
pub struct Absence {
    origin: Origin,
    since: Option<Instant>,
}

impl Absence {
    /// That of a node which starts at `now`.
    pub fn new(now: Instant) -> Self {
        Absence { origin: Origin::Start, since: Some(now) }
    }

    /// Records whether the node's settings are current at `now`. Returns for how long they weren't, if that ends.
    pub fn record(&mut self, current: bool, now: Instant) -> Option<(Origin, Duration)> {
        if !current {
            self.since.get_or_insert(now);
            return None;
        }
        let ended = self.since.take().map(|since| (self.origin, now.duration_since(since)));
        self.origin = Origin::Lapse;
        ended
    }

    /// For how long the settings haven't been current; none if they are.
    pub fn duration(&self, now: Instant) -> Option<Duration> {
        self.since.map(|since| now.duration_since(since))
    }
}
