//! What is known of how long requests take, and what follows for a request during a stop.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::Duration;

use crate::survival::{Sample, probability_beyond};

/// Latest observations that are kept of one workload.
const MAX_SAMPLES: usize = 32;
/// Workloads of which observations are kept.
const MAX_WORKLOADS: usize = 1_024;
/// A request that may run only once is refused if it is more likely than this not to end in time. Its caller loses the
/// answer then, and a refusal costs it no more than another connection.
const MAX_RISK_ONCE: f64 = 0.05;
/// A request that may run again is refused if it is more likely than this not to end in time.
const MAX_RISK_REPEATABLE: f64 = 0.5;

derives::value! {
    /// What is to be done with a request during a stop.
    pub enum Verdict {
        /// It is accepted.
        Accept,
        /// It is refused before it is sent to any server.
        Refuse,
    }

    /// A request that was received whole and wasn't sent to any server.
    pub struct Pending {
        /// Time in which its answer must end because the node stops.
        pub room: Duration,
        /// Time in which its answer must end in any case.
        pub limit: Duration,
        /// It may run more than once.
        pub repeatable: bool,
    }
}

/// Observations of one workload.
#[derive(Debug, Default)]
struct Recent {
    samples: VecDeque<Sample>,
    /// When the last one was added, as a number of observations.
    added: u64,
}

/// How long the latest requests of each workload took, such as those of one route to one service.
///
/// ```
/// use std::time::Duration;
/// use stopping::{Durations, Pending, Sample, Verdict};
///
/// let mut durations = Durations::default();
/// let (room, limit) = (Duration::from_secs(3), Duration::from_secs(20));
/// let charge = Pending { room, limit, repeatable: false };
/// assert_eq!(durations.decide(&"charge", charge, []), Verdict::Refuse);
/// durations.record("charge", Sample { time: Duration::from_millis(20), ended: true });
/// assert_eq!(durations.decide(&"charge", charge, []), Verdict::Accept);
/// ```
#[derive(Debug)]
pub struct Durations<K> {
    workloads: HashMap<K, Recent>,
    count: u64,
}

impl<K> Default for Durations<K> {
    fn default() -> Self {
        Durations { workloads: HashMap::new(), count: 0 }
    }
}

impl<K: Eq + Hash + Clone> Durations<K> {
    /// Records how long a request took.
    ///
    /// ```
    /// use std::time::Duration;
    /// use stopping::{Durations, Sample};
    ///
    /// let mut durations = Durations::default();
    /// durations.record("read", Sample { time: Duration::from_secs(1), ended: false });
    /// ```
    pub fn record(&mut self, workload: K, sample: Sample) {
        self.count += 1;
        if self.workloads.len() >= MAX_WORKLOADS && !self.workloads.contains_key(&workload) {
            let oldest = self.workloads.iter().min_by_key(|(_, recent)| recent.added);
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                self.workloads.remove(&oldest);
            }
        }
        let recent = self.workloads.entry(workload).or_default();
        recent.added = self.count;
        if recent.samples.len() >= MAX_SAMPLES {
            recent.samples.pop_front();
        }
        recent.samples.push_back(sample);
    }

    /// Decides about a request, given for how long other requests of its workload have been open by now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use stopping::{Durations, Pending, Verdict};
    ///
    /// let durations = Durations::<&str>::default();
    /// let second = Duration::from_secs(1);
    /// // It is answered before the node stops in any case.
    /// let pending = Pending { room: second * 2, limit: second, repeatable: false };
    /// assert_eq!(durations.decide(&"charge", pending, []), Verdict::Accept);
    /// ```
    pub fn decide(
        &self,
        workload: &K,
        pending: Pending,
        open: impl IntoIterator<Item = Duration>,
    ) -> Verdict {
        let Pending { room, limit, repeatable } = pending;
        if room.is_zero() {
            return Verdict::Refuse;
        }
        if limit <= room {
            return Verdict::Accept;
        }
        let recorded = self.workloads.get(workload).into_iter().flat_map(|recent| &recent.samples);
        let open = open.into_iter().map(|time| Sample { time, ended: false });
        let samples = recorded.copied().chain(open).collect();
        let accepted = match probability_beyond(room, samples) {
            Some(risk) => risk <= if repeatable { MAX_RISK_REPEATABLE } else { MAX_RISK_ONCE },
            None => repeatable,
        };
        if accepted { Verdict::Accept } else { Verdict::Refuse }
    }
}
