//! Estimates an engine's rate from recent samples.

use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

/// Samples of one engine that count.
const MAX_SAMPLES: usize = 24;
/// Samples of one engine that count of one node. With 6 of 24, those of one node that measures too fast would contain the
/// percentile that is taken.
const MAX_NODE_SAMPLES: usize = 5;
/// Fewest samples for an estimate.
const MIN_SAMPLES: usize = 3;
/// Time for which a sample counts.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(20);
/// Percentile of the samples that is the estimate: waits that nodes don't know of make samples too slow.
const PERCENTILE: usize = 80;
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

#[derive(Debug)]
struct Sample {
    /// Hash of the node's name.
    node: u64,
    tokens_per_second: u32,
    at: Instant,
}

impl Sample {
    fn is_recent(&self, now: Instant) -> bool {
        now < self.at + SAMPLE_LIFETIME
    }
}

/// Recent samples by engine.
#[derive(Debug)]
pub struct Estimator<K> {
    assumed: u32,
    samples: HashMap<K, VecDeque<Sample>>,
}

impl<K: Copy + Eq + Hash> Estimator<K> {
    /// An estimator without samples. `assumed` is the rate of engines of which nothing is known, in tokens per second.
    ///
    /// ```
    /// let estimator = calibration::Estimator::<u32>::new(75_000);
    /// assert_eq!(estimator.estimate(7, std::time::Instant::now()), None);
    /// ```
    pub fn new(assumed: u32) -> Self {
        Estimator { assumed, samples: HashMap::new() }
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
    /// for rate in [20_000, 30_000, 30_000, 9_000_000] {
    ///     estimator.record(7, "a", rate, now);
    /// }
    /// let estimate = estimator.estimate(7, now).unwrap();
    /// assert_eq!((estimate.tokens_per_second, estimate.samples), (30_000, 3));
    /// ```
    pub fn record(&mut self, key: K, node: &str, tokens_per_second: u32, now: Instant) {
        if !self.is_plausible(tokens_per_second) {
            return;
        }
        let mut hasher = DefaultHasher::new();
        node.hash(&mut hasher);
        let node = hasher.finish();
        let samples = self.samples.entry(key).or_default();
        samples.retain(|sample| sample.is_recent(now));
        if samples.iter().filter(|sample| sample.node == node).count() >= MAX_NODE_SAMPLES {
            let oldest = samples.iter().position(|sample| sample.node == node);
            oldest.and_then(|oldest| samples.remove(oldest));
        }
        samples.push_back(Sample { node, tokens_per_second, at: now });
        if samples.len() > MAX_SAMPLES {
            samples.pop_front();
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
        let recent = self.samples.get(&key)?.iter().filter(|sample| sample.is_recent(now));
        let mut rates: Vec<_> = recent.map(|sample| sample.tokens_per_second).collect();
        if rates.len() < MIN_SAMPLES {
            return None;
        }
        let rank = (rates.len() - 1) * PERCENTILE / 100;
        let tokens_per_second = *rates.select_nth_unstable(rank).1;
        Some(Estimate { tokens_per_second, samples: rates.len() as u32 })
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
        self.samples.remove(&key);
    }

    /// The engines with an estimate; drops those without recent samples.
    pub(crate) fn estimates(&mut self, now: Instant) -> HashMap<K, Estimate> {
        self.samples.retain(|_, samples| samples.iter().any(|sample| sample.is_recent(now)));
        let estimate = |key: &K| Some((*key, self.estimate(*key, now)?));
        self.samples.keys().filter_map(estimate).collect()
    }
}
