//! How far a node and one start of a seed have exchanged something that has versions.

/// Versions up to which each side has received what the other has.
#[derive(Debug, Default)]
pub(super) struct Cursor {
    /// Random number of the seed's process.
    boot: Option<u32>,
    reported: u64,
    reporting: u64,
    received: u64,
}

impl Cursor {
    /// Version of the node's own up to which the seed has acknowledged it.
    pub(super) fn reported(&self) -> u64 {
        self.reported
    }

    /// Version of the seed's up to which the node has received it.
    pub(super) fn received(&self) -> u64 {
        self.received
    }

    /// The report under way goes up to a version.
    pub(super) fn report(&mut self, version: u64) {
        self.reporting = version;
    }

    /// The report was answered, up to a version of the seed's. A seed that has started anew has nothing of
    /// what was reported before.
    pub(super) fn answered(&mut self, boot: u32, version: u64) {
        let before = self.boot.replace(boot);
        let anew = before.is_some_and(|before| before != boot);
        self.reported = if anew { 0 } else { self.reporting };
        self.received = version;
    }

    /// The seed's answer took the node's own from one version to another, which needn't be reported back.
    pub(super) fn learned(&mut self, from: u64, to: u64) {
        if self.reported == from {
            self.reported = to;
        }
    }
}
