//! Tracks how much of a versioned table a node and one process of a seed have exchanged.

/// The version up to which each side has received the other's table.
#[derive(Debug, Default)]
pub(super) struct Cursor {
    /// Random number of the seed's process.
    boot: Option<u32>,
    acknowledged: u64,
    /// Version that the report under way goes up to.
    reporting: u64,
    received: u64,
}

impl Cursor {
    /// Version of the node's table up to which the seed has acknowledged it.
    pub(super) fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Version of the seed's table up to which the node has received it.
    pub(super) fn received(&self) -> u64 {
        self.received
    }

    /// Begins a report that goes up to a version of the node's table.
    pub(super) fn begin_report(&mut self, version: u64) {
        self.reporting = version;
    }

    /// Records the answer to the report, which goes up to a version of the seed's table. A seed that has
    /// restarted no longer has what was reported before.
    pub(super) fn record_answer(&mut self, boot: u32, version: u64) {
        let before = self.boot.replace(boot);
        let restarted = before.is_some_and(|before| before != boot);
        self.acknowledged = if restarted { 0 } else { self.reporting };
        self.received = version;
    }

    /// Skips the versions of the node's table that came from the seed's own answer, so that they aren't
    /// reported back.
    pub(super) fn skip_learned(&mut self, from: u64, to: u64) {
        if self.acknowledged == from {
            self.acknowledged = to;
        }
    }
}
