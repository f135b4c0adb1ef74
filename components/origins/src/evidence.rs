//! Concludes which version began a stream of which no node knows.

use std::time::Duration;

use crate::id::Version;

derives::data! {
    /// The versions of a service that a node has seen.
    #[derive(Default)]
    pub struct Evidence {
        /// Time over which the node has followed the list of servers; zero if it may have missed recent changes.
        pub covered: Duration,
        /// Versions listed within that time and the longest life of a stream.
        pub versions: Vec<Version>,
    }
}

impl Evidence {
    /// The version that began a stream which nobody has told of: the only one that any node has seen. There is none
    /// if there were several, or if this node hasn't followed the list for the longest life of a stream and no other
    /// node has answered. A node that is alone has nobody to ask.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use origins::{Evidence, Version};
    ///
    /// let lifetime = Duration::from_secs(10);
    /// let seen = |versions: &[u32]| Evidence {
    ///     covered: lifetime,
    ///     versions: versions.iter().copied().map(Version).collect(),
    /// };
    /// assert_eq!(seen(&[1]).conclude(&[seen(&[1])], false, lifetime), Some(Version(1)));
    /// assert_eq!(seen(&[1]).conclude(&[seen(&[1, 2])], false, lifetime), None);
    /// assert_eq!(seen(&[2]).conclude(&[seen(&[1])], false, lifetime), None);
    /// ```
    pub fn conclude(
        &self,
        others: &[Evidence],
        is_alone: bool,
        lifetime: Duration,
    ) -> Option<Version> {
        let sufficient = is_alone || !others.is_empty() || self.covered >= lifetime;
        let first = *self.versions.first().filter(|_| sufficient)?;
        let all = others.iter().chain([self]).flat_map(|evidence| &evidence.versions);
        all.into_iter().all(|version| *version == first).then_some(first)
    }
}
