//! Estimates how long requests take from few observations, some of which only give a lower bound.

use std::time::Duration;

derives::value! {
    /// An observed duration.
    pub struct Sample {
        /// Time from the arrival of a request.
        pub time: Duration,
        /// Its answer ended then; else it took longer than this.
        pub ended: bool,
    }
}

/// Probability that the next request takes longer than `room`: the product-limit estimate (Kaplan and Meier), in which
/// the next request counts as one that takes longer than all others. Beyond the longest observation the distribution is
/// assumed to fall as 1/t, which is slower than most. None if no answer has ended, unless all that is known lasted longer
/// than `room`.
pub(crate) fn probability_beyond(room: Duration, mut samples: Vec<Sample>) -> Option<f64> {
    if samples.iter().all(|sample| !sample.ended) {
        return samples.iter().any(|sample| sample.time >= room).then_some(1.0);
    }
    samples.sort_unstable();
    let longest = samples.last()?.time;
    let mut survival = 1.0;
    for (index, sample) in samples.iter().enumerate() {
        if sample.time > room {
            return Some(survival);
        }
        if sample.ended {
            let at_risk = (samples.len() - index + 1) as f64;
            survival *= 1.0 - 1.0 / at_risk;
        }
    }
    let tail = if room.is_zero() { 1.0 } else { longest.div_duration_f64(room) };
    Some(survival * tail)
}
