//! Judges whether the process behind a connection is the one that a server's entry describes.

use crate::id::Version;
use crate::table::Origin;

derives::named! {
    /// Which process is behind a connection to the address in a server's entry.
    pub enum Identity {
        /// The one that the entry describes, so its software is of the version there.
        Listed = "listed",
        /// Another one: the server has started again, and its entry doesn't say so yet.
        Other = "other",
        /// It doesn't say when it started, although the entry does.
        Silent = "silent",
        /// The entry doesn't say when its process started, so nothing can be compared.
        Unstated = "unstated",
    }
}

impl Identity {
    /// Compares the start of a process in an entry with the one that a process stated on a connection. Both are of the
    /// process that states them, and a server never starts twice at the same time. A connection ends with the process at its
    /// other side, so this holds for as long as the connection lasts, whatever the store lists meanwhile.
    ///
    /// ```
    /// use origins::Identity;
    ///
    /// assert_eq!(Identity::judge(Some(7), Some(7)), Identity::Listed);
    /// assert_eq!(Identity::judge(Some(7), Some(9)), Identity::Other);
    /// assert_eq!(Identity::judge(Some(7), None), Identity::Silent);
    /// assert_eq!(Identity::judge(None, Some(9)), Identity::Unstated);
    /// ```
    pub fn judge(listed: Option<u64>, stated: Option<u64>) -> Self {
        match (listed, stated) {
            (Some(listed), Some(stated)) if listed == stated => Identity::Listed,
            (Some(_), Some(_)) => Identity::Other,
            (Some(_), None) => Identity::Silent,
            (None, _) => Identity::Unstated,
        }
    }

    /// What is known of a stream that the process begins, whose entry names this version.
    ///
    /// ```
    /// use origins::{Identity, Origin, Version};
    ///
    /// let version = Version::of("drafts", "v1");
    /// assert_eq!(Identity::Listed.origin(version), Origin::Version(version));
    /// assert_eq!(Identity::Other.origin(version), Origin::Uncertain);
    /// ```
    pub fn origin(self, version: Version) -> Origin {
        if self.is_accepted() { Origin::Version(version) } else { Origin::Uncertain }
    }

    /// Whether its software counts as of the version in its entry. A server that never states a start can't prove it, so
    /// its entry has to do.
    pub fn is_accepted(self) -> bool {
        matches!(self, Identity::Listed | Identity::Unstated)
    }
}
