//! Estimates an engine's rate from recent samples.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

/// Nodes whose samples count for one engine, which bounds memory.
const MAX_NODES: usize = 16;
/// Fewest samples for an estimate.
const MIN_SAMPLES: u32 = 3;
/// Time for which a node's fastest sample counts. An engine that is busy for some seconds shows nothing but waits.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(20);
/// Largest ratio between a rate and the assumed one; others are measuring errors.
const MAX_RATIO: u32 = 8;

derives::data! {
    /// An estimated rate.
    #[derive(Copy, Eq)]
    pub struct Estimate {
        /// Prompt tokens per second.
        pub tokens_per_second: u32,
        /// Number of recent samples that it was taken from; 0 if it was kept from earlier ones.
        pub samples: u32,
    }
}

/// The fastest recent sample that a node took of an engine.
#[derive(Debug)]
struct Fastest {
    /// Hash of the node's name.
    node: u64,
    tokens_per_second: u32,
    at: Instant,
    /// Samples of the node since then, itself included.
    samples: u32,
}

impl Fastest {
    fn is_recent(&self, now: Instant) -> bool {
        now < self.at + SAMPLE_LIFETIME
    }
}

/// Recent samples by engine: the fastest of each node, as waits that nodes don't know of make samples too slow. The second
/// fastest node counts, so that one that measures too fast doesn't decide.
#[derive(Debug)]
pub struct Estimator<K> {
    assumed: u32,
    fastest: HashMap<K, Vec<Fastest>>,
}

impl<K: Copy + Eq + Hash> Estimator<K> {
    /// An estimator without samples. `assumed` is the rate of engines of which nothing is known, in tokens per second.
    ///
    /// ```
    /// let estimator = calibration::Estimator::<u32>::new(75_000);
    /// assert_eq!(estimator.estimate(7, std::time::Instant::now()), None);
    /// ```
    pub fn new(assumed: u32) -> Self {
        Estimator { assumed, fastest: HashMap::new() }
    }

    /// Whether a rate is near enough to the assumed one not to be a measuring error.
    pub(crate) fn is_plausible(&self, tokens_per_second: u32) -> bool {
        (self.assumed / MAX_RATIO..=self.assumed.saturating_mul(MAX_RATIO))
            .contains(&tokens_per_second)
    }

    /// Records a sample that a node took of an engine, unless its rate is implausible.
    ///
    /// ```
    /// let now = std::time::Instant::now();
    /// let mut estimator = calibration::Estimator::new(75_000);
    /// for (node, rate) in [("a", 20_000), ("a", 31_000), ("b", 30_000), ("b", 9_000_000)].repeat(2) {
    ///     estimator.record(7, node, rate, now);
    /// }
    /// let estimate = estimator.estimate(7, now).unwrap();
    /// assert_eq!((estimate.tokens_per_second, estimate.samples), (30_000, 6));
    /// ```
    pub fn record(&mut self, key: K, node: &str, tokens_per_second: u32, now: Instant) {
        if !self.is_plausible(tokens_per_second) {
            return;
        }
        let mut hasher = DefaultHasher::new();
        node.hash(&mut hasher);
        let node = hasher.finish();
        let new = Fastest { node, tokens_per_second, at: now, samples: 1 };
        let nodes = self.fastest.entry(key).or_default();
        nodes.retain(|known| known.is_recent(now));
        match nodes.iter_mut().find(|known| known.node == node) {
            Some(known) if tokens_per_second >= known.tokens_per_second => {
                *known = Fastest { samples: known.samples + 1, ..new };
            }
            Some(known) => known.samples += 1,
            None => {
                if nodes.len() == MAX_NODES {
                    nodes.remove(0);
                }
                nodes.push(new);
            }
        }
    }

    /// The rate of an engine; none without enough recent samples.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let now = Instant::now();
    /// let mut estimator = calibration::Estimator::new(75_000);
    /// (0..3).for_each(|_| estimator.record(7, "a", 30_000, now));
    /// assert!(estimator.estimate(7, now).is_some());
    /// assert_eq!(estimator.estimate(7, now + Duration::from_secs(20)), None);
    /// ```
    pub fn estimate(&self, key: K, now: Instant) -> Option<Estimate> {
        let recent =
            || self.fastest.get(&key).into_iter().flatten().filter(|known| known.is_recent(now));
        let samples = recent().map(|known| known.samples).sum();
        if samples < MIN_SAMPLES {
            return None;
        }
        let mut rates: Vec<_> = recent().map(|known| known.tokens_per_second).collect();
        rates.sort_unstable_by_key(|rate| std::cmp::Reverse(*rate));
        let tokens_per_second = *rates.get(1).or(rates.first())?;
        Some(Estimate { tokens_per_second, samples })
    }

    /// Drops the samples of an engine.
    ///
    /// ```
    /// let now = std::time::Instant::now();
    /// let mut estimator = calibration::Estimator::new(75_000);
    /// (0..3).for_each(|_| estimator.record(7, "a", 30_000, now));
    /// estimator.forget(7);
    /// assert_eq!(estimator.estimate(7, now), None);
    /// ```
    pub fn forget(&mut self, key: K) {
        self.fastest.remove(&key);
    }

    /// The engines with an estimate; drops those without recent samples.
    pub(crate) fn estimates(&mut self, now: Instant) -> HashMap<K, Estimate> {
        self.fastest.retain(|_, nodes| nodes.iter().any(|known| known.is_recent(now)));
        let estimate = |key: &K| Some((*key, self.estimate(*key, now)?));
        self.fastest.keys().filter_map(estimate).collect()
    }
}
