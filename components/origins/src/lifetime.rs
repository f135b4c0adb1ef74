//! Tracks how old a stream can be that a caller takes up.

use std::time::{Duration, Instant};

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

    /// The longest life of a stream that may still go on.
    pub fn longest(&self, now: Instant) -> Duration {
        let former = self.former.iter().filter(|(_, ends)| now < *ends).map(|(life, _)| *life);
        former.chain([self.current.unwrap_or(self.default)]).max().unwrap_or(self.default)
    }
}
