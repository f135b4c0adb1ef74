//! Decides which new connections are closed unread because the processor is busy.
//!
//! Load pattern: a load balancer hands most new connections of a zone, or of a whole region, to one node. Its core
//! has more to do than it can, so that every request waits for it, those that it has read too, while other nodes are
//! idle. A connection that is closed before anything of it was read can be tried again at once, whatever its
//! request, and the next try meets another node.
//!
//! How long a task waits for its turn shows how busy the processor is, also on a machine whose clock speed or share
//! of a core nobody knows. While that is above a target, a growing part of the new connections is closed, and a
//! shrinking one once it is below.

use std::time::{Duration, Instant};

/// Part by which the closed connections grow with each delay of twice the target, and with larger ones at most
/// [`MAX_EXCESS`] times as much.
const GROWTH: f64 = 0.1;
const MAX_EXCESS: f64 = 3.0;
/// Part by which they shrink with each delay below the target.
const SHRINKAGE: f64 = 0.02;
/// Largest part that is closed. A node that takes no connection at all doesn't learn that it has room again.
const MAX_CLOSED: f64 = 0.8;
/// Pause between two records of one measurement, in targets: what was closed since has to show first.
const PAUSE_TARGETS: u32 = 1;
/// Time without a measurement after which nothing is closed.
const MEMORY: Duration = Duration::from_secs(1);

/// How busy the processor is, and what is closed because of that.
#[derive(Debug, Default)]
pub(crate) struct Congestion {
    /// Part of the new connections to close.
    closed: f64,
    measured: Option<Instant>,
    /// When the task began to wait that is measured now.
    measuring: Option<Instant>,
    /// The last measurement was above the target.
    is_late: bool,
    /// Fractions of connections still to close.
    due: f64,
}

impl Congestion {
    /// Begins to measure how long a task waits for its turn; returns false if another one is being measured.
    pub(crate) fn begin_measurement(&mut self, now: Instant) -> bool {
        let begins = self.measuring.is_none();
        self.measuring.get_or_insert(now);
        begins
    }

    /// Records that it is the turn of the task that is measured.
    pub(crate) fn end_measurement(&mut self, target: Duration, now: Instant) {
        if let Some(since) = self.measuring.take() {
            self.record_delay(now.saturating_duration_since(since), target, now);
        }
    }

    fn record_delay(&mut self, delay: Duration, target: Duration, now: Instant) {
        self.forget(now);
        self.measured = Some(now);
        let excess = delay.as_secs_f64() / target.as_secs_f64().max(f64::EPSILON) - 1.0;
        let was_late = std::mem::replace(&mut self.is_late, excess > 0.0);
        let change = match excess > 0.0 {
            // A single delay may be due to one long task.
            true if !was_late => 0.0,
            true => GROWTH * excess.min(MAX_EXCESS),
            false => -SHRINKAGE,
        };
        self.closed = (self.closed + change).clamp(0.0, MAX_CLOSED);
    }

    /// Whether a new connection is closed unread. Of several, this is the same part at any time. A measurement that
    /// takes longer than the target counts before it ends.
    pub(crate) fn closes_next(&mut self, target: Duration, now: Instant) -> bool {
        self.forget(now);
        let waited = self.measuring.map(|since| now.saturating_duration_since(since));
        let paused = self.measured.is_some_and(|at| now < at + target * PAUSE_TARGETS);
        if let Some(waited) = waited.filter(|waited| *waited > target && !paused) {
            self.record_delay(waited, target, now);
        }
        self.due += self.closed;
        let closes = self.due >= 1.0;
        if closes {
            self.due -= 1.0;
        }
        closes
    }

    fn forget(&mut self, now: Instant) {
        if self.measured.is_some_and(|at| now >= at + MEMORY) {
            *self = Congestion { measuring: self.measuring, ..Congestion::default() };
        }
    }
}

#[cfg(test)]
mod tests;
