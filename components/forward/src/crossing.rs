//! Decides whether a session's preferred engine may be in another region than its caller.
//!
//! Load pattern: sessions with long prefixes, callers in two regions and a narrow link between them. With one
//! preferred engine per session over both regions, the prefix isn't prefilled in the other region as well, but
//! half of the session's requests cross the link. At a small site these take a fifth of the link's capacity. At
//! forty times the traffic they exceed it several times over, and everything that crosses, settings
//! included, is delayed by seconds. Then each region needs a preferred engine of its own.
//!
//! The settings don't say how wide the link is. The decision depends on the sum over all nodes, which each node
//! receives from its seed, so all nodes decide alike.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

/// Half-life of the bytes that are counted for the rate.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Requests to engines, in KiB/s over all nodes, above which affinity stays within regions. A quarter of
/// them crosses the link in each direction, which is 5 MB/s; the users' links carry 4 to 8 MB/s in each direction.
const MAX_KIB_PER_S: u32 = 20 << 10;
/// Rate in KiB/s below which affinity spans regions again. It is far below [`MAX_KIB_PER_S`], so that a
/// burst doesn't move sessions between engines back and forth.
const RESUME_KIB_PER_S: u32 = 8 << 10;

/// Rate at which this node sends requests to engines, and whether affinity may span regions.
#[derive(Debug)]
pub(crate) struct Crossing {
    /// Exponentially decaying sum of the bytes sent, and when it was last updated.
    bytes: RefCell<(f64, Instant)>,
    allowed: Cell<bool>,
}

impl Crossing {
    pub(crate) fn new(now: Instant) -> Self {
        Crossing { bytes: RefCell::new((0.0, now)), allowed: Cell::new(true) }
    }

    /// Counts the bytes of a request to an engine.
    pub(crate) fn record_request_bytes(&self, bytes: usize, now: Instant) {
        let recent = self.decayed_bytes(now);
        *self.bytes.borrow_mut() = (recent + bytes as f64, now);
    }

    fn decayed_bytes(&self, now: Instant) -> f64 {
        let (bytes, at) = *self.bytes.borrow();
        let half_lives = now.saturating_duration_since(at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        bytes * (-half_lives).exp2()
    }

    /// Bytes that this node sends to engines, in KiB/s.
    pub(crate) fn kib_per_s(&self, now: Instant) -> u32 {
        // At a steady rate the decaying sum contains the bytes of this many seconds.
        let seconds = HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        (self.decayed_bytes(now) / seconds / 1_024.0) as u32
    }

    /// Updates the decision from the rate of all nodes; returns whether affinity may span regions.
    pub(crate) fn update_allowed(&self, kib_per_s: u32) -> bool {
        let allowed = if self.allowed.get() {
            kib_per_s <= MAX_KIB_PER_S
        } else {
            kib_per_s < RESUME_KIB_PER_S
        };
        if self.allowed.replace(allowed) != allowed {
            log::info!(allowed = allowed, kib_per_s = kib_per_s; "session affinity across regions changed");
        }
        allowed
    }
}

#[cfg(test)]
mod tests;
