//! Merges a seed's own estimates with those of other seeds.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::estimator::{Estimate, Estimator};
use crate::table::Table;

/// Version of a table without any change.
pub const FIRST_VERSION: u64 = 1;
/// Time for which an estimate is kept once its engine has too few recent samples.
pub const KEPT_FOR: Duration = Duration::from_secs(60);
/// Time without an answer of a seed after which its estimates no longer count.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(20);

/// What another seed has sent.
#[derive(Debug)]
struct Remote<K> {
    estimates: HashMap<K, Estimate>,
    /// Version up to which its changes have been received.
    version: u64,
    answered: Instant,
}

/// Estimates of a seed's own cluster, those of other seeds, and the mean of all of them.
#[derive(Debug)]
pub struct Ledger<K> {
    estimator: Estimator<K>,
    /// Estimates from this cluster's samples, and when each last had enough of them.
    own: HashMap<K, (Estimate, Instant)>,
    remotes: HashMap<String, Remote<K>>,
    cluster: Table<K>,
    fleet: Table<K>,
}

impl<K: Copy + Eq + Hash> Ledger<K> {
    /// A ledger without estimates. `assumed` is the rate of engines of which nothing is known, in tokens per second.
    ///
    /// ```
    /// let ledger = calibration::Ledger::<u32>::new(75_000);
    /// assert_eq!(ledger.changes_since(0, 10), (vec![], calibration::FIRST_VERSION));
    /// ```
    pub fn new(assumed: u32) -> Self {
        Ledger {
            estimator: Estimator::new(assumed),
            own: HashMap::new(),
            remotes: HashMap::new(),
            cluster: Table::default(),
            fleet: Table::default(),
        }
    }

    /// Records a sample that a node of the own cluster took of an engine.
    ///
    /// ```
    /// let now = std::time::Instant::now();
    /// let mut ledger = calibration::Ledger::new(75_000);
    /// (0..3).for_each(|_| ledger.record(7, "a", 30_000, now));
    /// ledger.refresh(now);
    /// assert_eq!(ledger.rates().collect::<Vec<_>>(), [(7, 30_000)]);
    /// ```
    pub fn record(&mut self, key: K, node: &str, tokens_per_second: u32, now: Instant) {
        self.estimator.record(key, node, tokens_per_second, now);
    }

    /// Drops the own samples and the own estimate of an engine that has ended or restarted. Those of another seed are kept
    /// until that seed drops them: they may already be of the new start.
    ///
    /// ```
    /// let now = std::time::Instant::now();
    /// let mut ledger = calibration::Ledger::new(75_000);
    /// (0..3).for_each(|_| ledger.record(7, "a", 30_000, now));
    /// ledger.refresh(now);
    /// ledger.forget(7);
    /// ledger.refresh(now);
    /// assert_eq!(ledger.rates().count(), 0);
    /// ```
    pub fn forget(&mut self, key: K) {
        self.estimator.forget(key);
        self.own.remove(&key);
    }

    /// Sets the estimate of another seed; none if it no longer has one. An implausible rate counts as none.
    ///
    /// ```
    /// use calibration::Estimate;
    ///
    /// let now = std::time::Instant::now();
    /// let mut ledger = calibration::Ledger::new(75_000);
    /// let estimate = |tokens_per_second, samples| Some(Estimate { tokens_per_second, samples });
    /// ledger.set_remote("b", 7, estimate(30_000, 10), now);
    /// ledger.set_remote("c", 7, estimate(40_000, 30), now);
    /// ledger.refresh(now);
    /// assert_eq!(ledger.rates().collect::<Vec<_>>(), [(7, 37_500)]);
    /// ```
    pub fn set_remote(&mut self, seed: &str, key: K, estimate: Option<Estimate>, now: Instant) {
        let plausible =
            estimate.filter(|known| self.estimator.is_plausible(known.tokens_per_second));
        let estimates = &mut self.remote(seed, now).estimates;
        match plausible {
            Some(estimate) => estimates.insert(key, estimate),
            None => estimates.remove(&key),
        };
    }

    fn remote(&mut self, seed: &str, now: Instant) -> &mut Remote<K> {
        let new = || Remote { estimates: HashMap::new(), version: 0, answered: now };
        let remote = self.remotes.entry(seed.to_string()).or_insert_with(new);
        remote.answered = now;
        remote
    }

    /// Records that another seed has answered, and the version up to which its changes have been received.
    ///
    /// ```
    /// let mut ledger = calibration::Ledger::<u32>::new(75_000);
    /// ledger.record_answer("b", 9, std::time::Instant::now());
    /// assert_eq!(ledger.remote_version("b"), 9);
    /// ```
    pub fn record_answer(&mut self, seed: &str, version: u64, now: Instant) {
        self.remote(seed, now).version = version;
    }

    /// Version up to which the changes of another seed have been received; 0 if none are known, or no longer.
    ///
    /// ```
    /// assert_eq!(calibration::Ledger::<u32>::new(75_000).remote_version("b"), 0);
    /// ```
    pub fn remote_version(&self, seed: &str) -> u64 {
        self.remotes.get(seed).map_or(0, |remote| remote.version)
    }

    /// Drops what another seed has sent, because it sends everything again.
    ///
    /// ```
    /// let mut ledger = calibration::Ledger::<u32>::new(75_000);
    /// ledger.record_answer("b", 9, std::time::Instant::now());
    /// ledger.remove_remote("b");
    /// assert_eq!(ledger.remote_version("b"), 0);
    /// ```
    pub fn remove_remote(&mut self, seed: &str) {
        self.remotes.remove(seed);
    }

    /// Estimates all rates again, and publishes those that changed noticeably. Drops the estimates of seeds that haven't
    /// answered for [`SILENCE_TIMEOUT`].
    ///
    /// ```
    /// calibration::Ledger::<u32>::new(75_000).refresh(std::time::Instant::now());
    /// ```
    pub fn refresh(&mut self, now: Instant) {
        for (known, _) in self.own.values_mut() {
            known.samples = 0;
        }
        let estimates = self.estimator.estimates(now);
        self.own.extend(estimates.into_iter().map(|(key, estimate)| (key, (estimate, now))));
        self.own.retain(|_, (_, at)| now < *at + KEPT_FOR);
        self.remotes.retain(|_, remote| now < remote.answered + SILENCE_TIMEOUT);
        let own: HashMap<_, _> =
            self.own.iter().map(|(key, (estimate, _))| (*key, *estimate)).collect();
        self.cluster.update(&own, now);
        let mut all: HashMap<K, Vec<Estimate>> = HashMap::new();
        for known in self.remotes.values().map(|remote| &remote.estimates).chain([&own]) {
            known.iter().for_each(|(key, estimate)| all.entry(*key).or_default().push(*estimate));
        }
        let merged = all.into_iter().map(|(key, estimates)| (key, mean(&estimates)));
        self.fleet.update(&merged.collect(), now);
    }

    /// Changes of the rates over all seeds after a version, at most so many, and the version up to which they are complete.
    ///
    /// ```
    /// let now = std::time::Instant::now();
    /// let mut ledger = calibration::Ledger::new(75_000);
    /// (0..3).for_each(|_| ledger.record(7, "a", 30_000, now));
    /// ledger.refresh(now);
    /// let (changes, version) = ledger.changes_since(0, 10);
    /// assert_eq!(changes, [(7, Some(30_000))]);
    /// assert_eq!(ledger.changes_since(version, 10), (vec![], version));
    /// ```
    pub fn changes_since(&self, version: u64, most: usize) -> (Vec<(K, Option<u32>)>, u64) {
        let (changes, version) = self.fleet.changes_since(version, most);
        let rate = |(key, estimate): (K, Option<Estimate>)| {
            (key, estimate.map(|estimate| estimate.tokens_per_second))
        };
        (changes.into_iter().map(rate).collect(), version)
    }

    /// Changes of this cluster's own estimates after a version, in the same form, for other seeds.
    ///
    /// ```
    /// let ledger = calibration::Ledger::<u32>::new(75_000);
    /// assert_eq!(ledger.own_changes_since(0, 10), (vec![], calibration::FIRST_VERSION));
    /// ```
    pub fn own_changes_since(
        &self,
        version: u64,
        most: usize,
    ) -> (Vec<(K, Option<Estimate>)>, u64) {
        self.cluster.changes_since(version, most)
    }

    /// The published rate of each engine, over all seeds.
    ///
    /// ```
    /// assert_eq!(calibration::Ledger::<u32>::new(75_000).rates().count(), 0);
    /// ```
    pub fn rates(&self) -> impl Iterator<Item = (K, u32)> {
        self.fleet.estimates().map(|(key, estimate)| (key, estimate.tokens_per_second))
    }
}

/// Mean of several seeds' estimates, weighted by samples. Kept ones count only if no seed has recent samples. The mean
/// never counts as kept: nodes aren't sent the number of samples.
fn mean(estimates: &[Estimate]) -> Estimate {
    let samples: u32 = estimates.iter().map(|estimate| estimate.samples).sum();
    let weight = |estimate: &Estimate| u64::from(if samples == 0 { 1 } else { estimate.samples });
    let weights: u64 = estimates.iter().map(weight).sum();
    let rate = |estimate: &Estimate| u64::from(estimate.tokens_per_second) * weight(estimate);
    let tokens_per_second = estimates.iter().map(rate).sum::<u64>() / weights.max(1);
    Estimate { tokens_per_second: tokens_per_second as u32, samples: samples.max(1) }
}
