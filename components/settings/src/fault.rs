//! Defines the faults of a tree. All faults are reported at once, each with its location and remedy.

use std::fmt;
use std::sync::Arc;

use crate::leaf::Kind;

derives::data! {
    /// A line of a part.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Location {
        /// File or name of the part.
        pub origin: Arc<str>,
        /// Line, counted from 1.
        pub line: usize,
    }

    /// A fault of a tree.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Fault {
        /// Where it was found.
        pub location: Location,
        /// Path of the branch or leaf; empty if the whole part is concerned.
        pub path: String,
        /// What is wrong and how to correct it.
        pub cause: Cause,
    }

    /// What is wrong, with a hint how to correct it.
    #[derive(Eq, PartialOrd, Ord, thiserror::Error)]
    pub enum Cause {
        /// The part isn't valid TOML.
        #[error("not TOML: {0}")]
        Syntax(String),
        /// No kind of branch has this name; holds the most similar one, if any.
        #[error("no kind of branch is named so{}; kinds are deployment, region, domain, engine, server, tier, class, workspace", hint(.0))]
        UnknownKind(Option<String>),
        /// A value was found instead of a branch; holds the path of the expected table.
        #[error("a branch should stand here; write it as a table [{0}]")]
        NotTable(String),
        /// No leaf has this name; holds the most similar one, if any.
        #[error("no setting is named so{}; see docs/SETTINGS.md for those there are", hint(.0))]
        UnknownLeaf(Option<String>),
        /// This kind of branch can't have the leaf.
        #[error("a {kind} branch can't say this; {may} branches can")]
        WrongKind {
            /// Kind of the branch.
            kind: Kind,
            /// Kinds of branch that can have the leaf.
            may: String,
        },
        /// The value has the wrong type or is out of range.
        #[error("{given} isn't allowed; write {allowed}")]
        InvalidValue {
            /// Value in the tree.
            given: String,
            /// Description of the allowed values.
            allowed: String,
        },
        /// A leaf refers to a branch that doesn't exist.
        #[error("no [{kind}.{name}] exists{}; add it or name another", hint(near))]
        MissingBranch {
            /// Kind of the missing branch.
            kind: Kind,
            /// Name of the missing branch.
            name: String,
            /// The most similar name of an existing branch, if any.
            near: Option<String>,
        },
        /// A required leaf has no value.
        #[error("not set; say it here or in a branch it inherits from")]
        RequiredUnset,
        /// The branch exists already; holds the first one's location.
        #[error("stands already at {0}; keep one of them")]
        DuplicateBranch(Location),
        /// Another branch, whose path it holds, has the same value, which must be unique.
        #[error("the same as {0} has; give each its own")]
        NotUnique(String),
        /// The list allows no backend server.
        #[error("leaves no backend server; name one, or leave it out to allow all")]
        NoAllowedServer,
        /// The tree has workspaces but no backend server.
        #[error("no [server.NAME] exists, so no request can be served; add one")]
        NoServerBranch,
        /// A duration is longer than another one that bounds it.
        #[error("{given} is longer than the {other} of {limit}; make it shorter")]
        ExceedsTime {
            /// Duration in the tree.
            given: String,
            /// Name of the leaf that bounds it.
            other: &'static str,
            /// Value of that leaf.
            limit: String,
        },
        /// A limit on requests in flight is above what all backend servers can run at once.
        #[error("{given} is above the {slots} that its backend servers run at once; lower it or add servers")]
        ExceedsSlots {
            /// Limit in the tree.
            given: u64,
            /// Slots of all backend servers.
            slots: u64,
        },
    }

    /// All faults of a tree, ordered by location.
    #[derive(Eq)]
    pub struct Faults(pub Vec<Fault>);
}

/// Formats the suggestion of a similar name; empty if there is none.
fn hint(name: &Option<String>) -> String {
    name.as_ref().map(|name| format!(" (did you mean `{name}`?)")).unwrap_or_default()
}

/// Returns the known name that is most similar to an unknown one, or `None` if no name is similar.
pub(crate) fn nearest_match<'a>(
    wrong: &str,
    known: impl IntoIterator<Item = &'a str>,
) -> Option<String> {
    /// Least Jaro-Winkler similarity for a suggestion; names less similar would mislead.
    const MIN_SIMILARITY: f64 = 0.75;
    let scored = known.into_iter().map(|name| (strsim::jaro_winkler(wrong, name), name));
    let best = scored
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, name)| name.to_string())
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.origin, self.line)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.path.as_str() {
            "" => write!(f, "{}: {}", self.location, self.cause),
            path => write!(f, "{}: {path}: {}", self.location, self.cause),
        }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<_> = self.0.iter().map(Fault::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Faults {}
