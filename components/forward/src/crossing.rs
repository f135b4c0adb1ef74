//! Whether sessions have one home over all regions, or one in each.
//!
//! Pattern: sessions with long beginnings, callers in two regions and a narrow link between. One home
//! for a session spares the reading of its beginning in the other region, and half of its requests
//! cross the link. At a small site that is a fifth of what the link bears; at forty times the traffic
//! it is several times as much, and all that crosses, settings too, is late by seconds.
//!
//! How wide the link is, nobody says. What decides is the sum over all nodes, which each of them hears
//! from its seed, so that they decide alike.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

/// A rate counts half after this.
const HALF: Duration = Duration::from_secs(4);
/// Requests to engines, in KiB a second over all nodes, above which homes don't cross regions. A
/// fourth of them goes each way: 5 MB/s, of the 4 to 8 that the users' links bear each way.
const MOST: u32 = 20 << 10;
/// Below this they do again; far enough under it that a burst doesn't move homes to and fro.
const LEAST: u32 = 8 << 10;

/// What one node sends to engines, and whether homes may cross.
#[derive(Debug)]
pub(crate) struct Crossing {
    /// Bytes of late, fading, and when they were last counted.
    bytes: RefCell<(f64, Instant)>,
    allowed: Cell<bool>,
}

impl Crossing {
    pub(crate) fn new(now: Instant) -> Self {
        Crossing { bytes: RefCell::new((0.0, now)), allowed: Cell::new(true) }
    }

    /// Counts a request to an engine.
    pub(crate) fn record_sent(&self, bytes: usize, now: Instant) {
        let held = self.faded(now);
        *self.bytes.borrow_mut() = (held + bytes as f64, now);
    }

    fn faded(&self, now: Instant) -> f64 {
        let (bytes, at) = *self.bytes.borrow();
        let age = now.saturating_duration_since(at).as_secs_f64() / HALF.as_secs_f64();
        bytes * (-age).exp2()
    }

    /// Bytes of this node, in KiB a second.
    pub(crate) fn kib_per_s(&self, now: Instant) -> u32 {
        // A steady rate has this many seconds of it in the fading sum.
        let seconds = HALF.as_secs_f64() / std::f64::consts::LN_2;
        (self.faded(now) / seconds / 1_024.0) as u32
    }

    /// Takes in the rate of all nodes; returns whether homes may cross regions.
    pub(crate) fn update_allowed(&self, kib_per_s: u32) -> bool {
        let allowed = if self.allowed.get() { kib_per_s <= MOST } else { kib_per_s < LEAST };
        if self.allowed.replace(allowed) != allowed {
            log::info!(allowed = allowed, kib_per_s = kib_per_s; "homes across regions");
        }
        allowed
    }
}

#[cfg(test)]
mod tests;
