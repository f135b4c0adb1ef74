//! Tracks how old a stream can be that a caller takes up.

use std::time::{Duration, Instant};

derives::value! {
    /// The longest life of a stream that may still go on.
    pub struct Life {
        /// How long such a stream lasts.
        pub longest: Duration,
        /// How much longer streams that began under this limit may go on: all of it while it is in force.
        pub left: Duration,
    }
}

/// The longest life of a stream. A limit that was in force goes on to count until the streams that began under it have ended.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use origins::Lifetime;
///
/// let [short, long] = [5, 40].map(Duration::from_secs);
/// let now = Instant::now();
/// let mut lifetime = Lifetime::new(Duration::from_secs(60));
/// lifetime.set(long, now);
/// assert_eq!(lifetime.longest(now), long);
/// lifetime.set(short, now);
/// assert_eq!(lifetime.longest(now), long);
/// assert_eq!(lifetime.longest(now + long), short);
/// ```
///
/// A node that starts learns former limits from others:
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use origins::{Life, Lifetime};
///
/// let [short, long, left] = [5, 40, 30].map(Duration::from_secs);
/// let now = Instant::now();
/// let mut lifetime = Lifetime::new(short);
/// lifetime.learn(Life { longest: long, left }, now);
/// assert_eq!(lifetime.stated(now), Some(Life { longest: long, left }));
/// assert_eq!(lifetime.longest(now + left), short);
/// ```
#[derive(Clone, Debug)]
pub struct Lifetime {
    current: Option<Duration>,
    default: Duration,
    /// Former limits that were longer, each with the time at which the last stream that began under it has ended.
    former: Vec<(Duration, Instant)>,
}

impl Lifetime {
    /// A life that is `default` as long as none is set.
    pub fn new(default: Duration) -> Self {
        Lifetime { current: None, default, former: vec![] }
    }

    /// Sets the longest life of streams that begin from now on.
    pub fn set(&mut self, longest: Duration, now: Instant) {
        self.former.retain(|(_, ends)| now < *ends);
        if let Some(current) = self.current.filter(|current| *current > longest) {
            self.former.push((current, now + current));
        }
        self.current = Some(longest);
    }

    /// Takes over what another node states. What is known as well isn't prolonged, or nodes that state it to each other would
    /// never forget it.
    pub fn learn(&mut self, stated: Life, now: Instant) {
        let is_longer = self.stated(now).is_none_or(|known| known.longest < stated.longest);
        if is_longer && !stated.left.is_zero() {
            self.former.retain(|(_, ends)| now < *ends);
            self.former.push((stated.longest, now + stated.left.min(stated.longest)));
        }
    }

    /// The longest life of a stream that may still go on.
    pub fn longest(&self, now: Instant) -> Duration {
        let current = self.current.unwrap_or(self.default);
        self.stated(now).map_or(current, |life| life.longest.max(current))
    }

    /// What this node states to others; none if it knows no limit.
    pub fn stated(&self, now: Instant) -> Option<Life> {
        let current = self.current.map(|longest| Life { longest, left: longest });
        let former = self.former.iter().filter(|(_, ends)| now < *ends);
        let former = former.map(|(longest, ends)| Life { longest: *longest, left: *ends - now });
        former.chain(current).max_by_key(|life| (life.longest, life.left))
    }
}
