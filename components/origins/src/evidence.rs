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
    /// The version that began a stream of which no node has a record, up to `age` ago: the only one that any node has seen.
    /// There is none if there were several, or if no node has followed the list for so long: one that started later
    /// can't know which versions served before.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use origins::{Evidence, Version};
    ///
    /// let age = Duration::from_secs(5);
    /// let seen = |covered, versions: &[u32]| Evidence {
    ///     covered: Duration::from_secs(covered),
    ///     versions: versions.iter().copied().map(Version).collect(),
    /// };
    /// assert_eq!(seen(1, &[1]).conclude(&[seen(9, &[1])], age), Some(Version(1)));
    /// assert_eq!(seen(1, &[1]).conclude(&[seen(4, &[1])], age), None);
    /// assert_eq!(seen(1, &[2]).conclude(&[seen(9, &[1])], age), None);
    /// ```
    pub fn conclude(&self, others: &[Evidence], age: Duration) -> Option<Version> {
        let all = || others.iter().chain([self]);
        if !all().any(|evidence| evidence.covered >= age) {
            return None;
        }
        let mut versions = all().flat_map(|evidence| &evidence.versions);
        let first = *versions.next()?;
        versions.all(|version| *version == first).then_some(first)
    }
}
