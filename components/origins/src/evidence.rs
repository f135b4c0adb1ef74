//! Concludes which version began a stream of which no node knows.

use std::time::Duration;

use crate::id::Version;

derives::data! {
    /// A span of time, on the clock of the node that concludes. It is empty if it doesn't end after it begins.
    #[derive(Copy)]
    pub struct Span {
        /// When it begins.
        pub since: Duration,
        /// When it ends.
        pub until: Duration,
    }

    /// The versions of a service that a node has seen.
    pub struct Evidence {
        /// Time over which the node's list of servers is proved to have been complete.
        pub span: Span,
        /// Versions listed within that time, and some listed before or after it.
        pub versions: Vec<Version>,
    }
}

impl Span {
    /// The span that a peer states in an answer which arrived at `received` to a question that was asked at `asked`: it has
    /// followed its list for `covered`, and its proof has an age, if it has one. As it isn't known when the answer was made, it
    /// is taken to be the shortest possible.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let [asked, received, covered, age] = [10, 11, 5, 2].map(Duration::from_secs);
    /// let span = origins::Span::stated(asked, received, covered, Some(age));
    /// assert_eq!((span.since, span.until), (Duration::from_secs(6), Duration::from_secs(8)));
    /// ```
    pub fn stated(
        asked: Duration,
        received: Duration,
        covered: Duration,
        proof_age: Option<Duration>,
    ) -> Self {
        let until = proof_age.map_or(Duration::ZERO, |age| asked.saturating_sub(age));
        Span { since: received.saturating_sub(covered), until }
    }
}

impl Evidence {
    /// The version that began a stream of which no node has a record, and which some node began within `life`: the only one that
    /// the evidence shows. There is none if it shows several, or doesn't cover all of that time.
    ///
    /// What nobody has seen isn't known to be absent: a list that is proved up to some moment says nothing of the servers that
    /// joined since, and a node that gives no answer may be the one that knows. So only a list counts that was proved to be the
    /// newest after the stream began, which is certain if the proof was asked for after the caller took the stream up.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use origins::{Evidence, Span, Version};
    ///
    /// let span = |since, until| Span {
    ///     since: Duration::from_secs(since),
    ///     until: Duration::from_secs(until),
    /// };
    /// let seen = |since, until, versions: &[u32]| Evidence {
    ///     span: span(since, until),
    ///     versions: versions.iter().copied().map(Version).collect(),
    /// };
    /// let life = span(10, 15);
    /// assert_eq!(Evidence::conclude(&[seen(9, 15, &[1])], life), Some(Version(1)));
    /// assert_eq!(Evidence::conclude(&[seen(9, 14, &[1])], life), None);
    /// assert_eq!(Evidence::conclude(&[seen(9, 14, &[1]), seen(13, 15, &[1])], life), Some(Version(1)));
    /// assert_eq!(Evidence::conclude(&[seen(9, 15, &[1]), seen(12, 13, &[2])], life), None);
    /// ```
    pub fn conclude(all: &[Evidence], life: Span) -> Option<Version> {
        let version = Evidence::only_version(all)?;
        let mut spans: Vec<_> = all.iter().map(|evidence| evidence.span).collect();
        spans.sort_by_key(|span| span.since);
        let covered = spans.into_iter().fold(life.since, |covered, span| {
            if span.since <= covered { covered.max(span.until) } else { covered }
        });
        (covered >= life.until).then_some(version)
    }

    /// The only version that any node has seen, at whatever time.
    pub fn only_version(all: &[Evidence]) -> Option<Version> {
        let mut versions = all.iter().flat_map(|evidence| &evidence.versions);
        let first = *versions.next()?;
        versions.all(|version| *version == first).then_some(first)
    }
}
