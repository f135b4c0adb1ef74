//! How far a node and one start of a seed know each other's versions of something.

/// Versions up to which each of the two knows what the other has.
#[derive(Debug, Default)]
pub(super) struct Cursor {
    /// Random number of the seed's process.
    boot: Option<u32>,
    told: u64,
    telling: u64,
    known: u64,
}

impl Cursor {
    /// Version of the node's own up to which the seed knows it.
    pub(super) fn told(&self) -> u64 {
        self.told
    }

    /// Version of the seed's up to which the node knows it.
    pub(super) fn known(&self) -> u64 {
        self.known
    }

    /// The next report tells up to a version.
    pub(super) fn tell(&mut self, version: u64) {
        self.telling = version;
    }

    /// The report was answered, up to a version of the seed's. A seed that has started anew knows nothing.
    pub(super) fn answered(&mut self, boot: u32, version: u64) {
        let before = self.boot.replace(boot);
        let anew = before.is_some_and(|before| before != boot);
        self.told = if anew { 0 } else { self.telling };
        self.known = version;
    }

    /// What the seed answered took the node's own from one version to another, and needn't go back to it.
    pub(super) fn learned(&mut self, from: u64, to: u64) {
        if self.told == from {
            self.told = to;
        }
    }
}
