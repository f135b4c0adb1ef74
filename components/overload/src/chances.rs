//! Ranks requests by how likely they are to end in time.

use std::time::Instant;

use crate::average::Average;

/// Ranges of probabilities that are told apart.
const RANGES: usize = 10;

/// Recent requests by their probability to end in time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Chances([Average; RANGES]);

impl Chances {
    /// Records a request; returns the fraction of the recent ones that rank before it because they are less likely to end in
    /// time. `draw` decides among those that are about as likely.
    pub(crate) fn rank(&mut self, chance: f64, draw: f64, now: Instant) -> f64 {
        let range = ((chance.clamp(0.0, 1.0) * RANGES as f64) as usize).min(RANGES - 1);
        self.0[range].add(1.0, now);
        let sums = self.0.map(|average| average.sum(now));
        let below: f64 = sums[..range].iter().sum();
        (below + sums[range] * draw) / sums.iter().sum::<f64>()
    }
}
