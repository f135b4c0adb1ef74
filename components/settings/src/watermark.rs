//! Tracks the highest settings revision of a process, so that it never goes back to an older one.
//!
//! A replica of the configuration service may be stale, a peer may lag or send false data, and a
//! revision number may be published twice. If a process followed each source, an accepted change could
//! revert on some nodes. So only a higher revision replaces the one in force; the same number with
//! another digest raises an alarm and changes nothing; and a refused revision isn't tried again.

derives::value! {
    /// Identifies a revision that was offered to the process.
    pub struct RevisionId {
        /// Revision number.
        pub revision: u64,
        /// Digest over its parts.
        pub digest: u64,
    }

    /// How an offered revision relates to the known ones.
    pub enum Verdict {
        /// Higher than all known revisions; it should be applied.
        Newer,
        /// The revision in force; confirms that its source has no newer one.
        Same,
        /// Lower than the highest known revision; its source is behind.
        Older,
        /// Refused before; the last valid revision stays in force.
        Refused,
        /// Same number as a known revision, but another digest; should raise an alarm.
        Conflict,
    }
}

derives::data! {
    /// The revision in force and the highest refused one.
    #[derive(Default, Copy)]
    pub struct Watermark {
        /// Revision in force.
        pub in_force: Option<RevisionId>,
        /// Highest refused revision.
        pub refused: Option<RevisionId>,
    }
}

impl Watermark {
    /// Compares an offered revision with the known ones.
    ///
    /// ```
    /// use settings::watermark::{RevisionId, Verdict, Watermark};
    /// let mut watermark = Watermark::default();
    /// watermark.accept(RevisionId { revision: 2, digest: 7 });
    /// assert_eq!(watermark.classify(RevisionId { revision: 1, digest: 9 }), Verdict::Older);
    /// ```
    pub fn classify(&self, offered: RevisionId) -> Verdict {
        for (known, same) in [(self.in_force, Verdict::Same), (self.refused, Verdict::Refused)] {
            let Some(known) = known.filter(|known| known.revision == offered.revision) else {
                continue;
            };
            return if known == offered { same } else { Verdict::Conflict };
        }
        match self.highest() {
            Some(highest) if offered.revision < highest => Verdict::Older,
            _ => Verdict::Newer,
        }
    }

    /// Returns the highest known revision number, in force or refused.
    pub fn highest(&self) -> Option<u64> {
        let numbers = [self.in_force, self.refused];
        numbers.into_iter().flatten().map(|known| known.revision).max()
    }

    /// Records the revision in force. Returns `false` and changes nothing unless it is newer.
    pub fn accept(&mut self, offered: RevisionId) -> bool {
        let newer = self.classify(offered) == Verdict::Newer;
        if newer {
            self.in_force = Some(offered);
        }
        newer
    }

    /// Records a refused revision, if it is newer than all known ones.
    pub fn record_refused(&mut self, offered: RevisionId) {
        if self.classify(offered) == Verdict::Newer {
            self.refused = Some(offered);
        }
    }
}
