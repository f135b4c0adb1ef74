//! Stretches a node's timeouts about its peers by the lateness of its own ticks.
//!
//! When a node was paused or got no processor time for seconds, all its peers look unreachable to it.
//! Without this module it would give their slots at the backend servers to itself and push the servers
//! over their limit, though it is the only faulty node. So the lateness of its own ticks stretches all
//! its timeouts (Lifeguard's local health multiplier, Dadgar et al. 2018), and after a gap as long as the
//! time to suspicion the time without signs of life starts anew for every peer.

use std::time::{Duration, Instant};

/// Largest factor by which timeouts are stretched. Lifeguard found 8 enough to prevent nearly all false
/// suspicions; a larger one delays true suspicions by more than half a minute.
const MAX_FACTOR: u32 = 8;

/// How punctual this node's own ticks are.
#[derive(Clone, Debug, Default)]
pub struct Health {
    last_tick: Option<Instant>,
    score: u32,
}

impl Health {
    /// Records a tick that should come every `period`; returns how late it was.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// let (mut health, start) = (fleet::health::Health::default(), Instant::now());
    /// let period = Duration::from_millis(500);
    /// health.record_tick(start, period);
    /// assert_eq!(health.record_tick(start + period * 5, period), period * 4);
    /// assert_eq!(health.timeout_factor(), 5);
    /// ```
    pub fn record_tick(&mut self, now: Instant, period: Duration) -> Duration {
        let Some(last) = self.last_tick.replace(now) else { return Duration::ZERO };
        let late = now.saturating_duration_since(last).saturating_sub(period);
        if late < period {
            self.score = self.score.saturating_sub(1);
            return late;
        }
        let periods = late.as_millis() / period.as_millis().max(1);
        self.score = (self.score + periods.min(u128::from(MAX_FACTOR)) as u32).min(MAX_FACTOR - 1);
        late
    }

    /// Factor by which timeouts about peers are stretched; 1 for a healthy node.
    pub fn timeout_factor(&self) -> u32 {
        1 + self.score
    }
}
