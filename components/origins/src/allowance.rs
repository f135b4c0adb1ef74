//! Bounds the reads of the store by which nodes prove that their lists of servers are complete.
//!
//! Load pattern: a node that ends breaks thousands of streams, which callers take up at all other nodes within a second. If
//! each of these read the store whenever the node that reads it for others is late, the reads would grow with the fleet, and most
//! while the store is slow. So only [`crate::Members::readers`] read it for this, a fixed number, and each pauses between two
//! reads so that together they stay below a rate, whichever of them answer.

use std::time::{Duration, Instant};

/// Reads per second that all readers of a fleet begin together.
pub const READS_PER_S: u32 = 40;

/// When one of the readers may read the store next.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use origins::{Allowance, MAX_READERS};
///
/// let now = Instant::now();
/// let mut allowance = Allowance::default();
/// assert_eq!(allowance.time_until_read(MAX_READERS, now), Duration::ZERO);
/// allowance.record_read(now);
/// assert_eq!(allowance.time_until_read(MAX_READERS, now), Duration::from_millis(200));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowance {
    /// When the last read began.
    last: Option<Instant>,
}

impl Allowance {
    /// Time until this node may begin a read, as one of so many readers.
    pub fn time_until_read(&self, readers: usize, now: Instant) -> Duration {
        let interval = Duration::from_secs(1) * readers as u32 / READS_PER_S;
        self.last.map_or(Duration::ZERO, |last| (last + interval).saturating_duration_since(now))
    }

    /// Records that a read begins.
    pub fn record_read(&mut self, now: Instant) {
        self.last = Some(now);
    }
}
