//! Parses one part of a tree into branches. A part is parsed once; revisions that don't change it
//! share it.

use std::rc::Rc;
use std::sync::Arc;

use toml::Spanned;
use toml::de::{DeTable, DeValue};
use xxhash_rust::xxh3::xxh3_64;

use crate::fault::{Cause, Fault, Location, nearest_match};
use crate::leaf::{Kind, Leaf};
use crate::value::Value;

derives::data! {
    /// A leaf's value that a branch sets.
    pub struct Assignment {
        /// The leaf.
        pub leaf: Leaf,
        /// Its value.
        pub value: Value,
        /// Line in the part, counted from 1.
        pub line: usize,
    }

    /// A branch with the values that it sets itself.
    pub struct Branch {
        /// Kind.
        pub kind: Kind,
        /// Name; empty for the deployment.
        pub name: Rc<str>,
        /// Where it begins in the part.
        pub location: Location,
        /// Values that it sets.
        pub assignments: Vec<Assignment>,
    }

    /// One text of a tree, in TOML.
    pub struct Part {
        /// Name of the part, or path of its file.
        pub name: Rc<str>,
        /// Digest of its text.
        pub digest: String,
        /// The text.
        pub text: Rc<str>,
        /// Its branches.
        pub branches: Vec<Rc<Branch>>,
        /// Faults that are found without the other parts.
        pub faults: Vec<Fault>,
    }
}

/// Returns the digest of a part's text: 64-bit XXH3 in hexadecimal.
pub fn text_digest(text: &str) -> String {
    format!("{:016x}", xxh3_64(text.as_bytes()))
}

/// Returns the digest of a revision from the names and digests of its parts, whose order doesn't
/// matter.
///
/// ```
/// let one = settings::part::revision_digest([("a", "1"), ("b", "2")]);
/// assert_eq!(one, settings::part::revision_digest([("b", "2"), ("a", "1")]));
/// assert_ne!(one, settings::part::revision_digest([("b", "1"), ("a", "2")]));
/// ```
pub fn revision_digest<'a>(parts: impl IntoIterator<Item = (&'a str, &'a str)>) -> u64 {
    let mut parts: Vec<_> = parts.into_iter().collect();
    parts.sort_unstable();
    let mut text = String::new();
    for (name, digest) in parts {
        text.extend([name, "\n", digest, "\n"]);
    }
    xxh3_64(text.as_bytes())
}

impl Branch {
    /// Returns a deployment branch that sets nothing.
    pub(crate) fn root() -> Self {
        let location = Location { origin: "".into(), line: 0 };
        Branch { kind: Kind::Deployment, name: "".into(), location, assignments: vec![] }
    }

    /// Returns its path, such as `class.booking`.
    pub fn path(&self) -> String {
        match self.kind {
            Kind::Deployment => self.kind.to_string(),
            kind => format!("{kind}.{}", self.name),
        }
    }

    /// Returns its own value of a leaf, without inheritance.
    pub fn assignment(&self, leaf: Leaf) -> Option<&Assignment> {
        self.assignments.iter().find(|set| set.leaf == leaf)
    }

    /// Returns where one of its values is set.
    pub fn location_of(&self, set: &Assignment) -> Location {
        Location { origin: self.location.origin.clone(), line: set.line }
    }
}

impl Part {
    /// Parses a text. Its faults are stored in the part, so that all faults of a tree can be reported
    /// at once. A text with a syntax error gives no branches.
    ///
    /// ```
    /// let part = settings::Part::parse("tree.toml", "[tier.top]\nrnk = 0");
    /// assert!(part.faults[0].to_string().contains("did you mean `rank`?"));
    /// ```
    pub fn parse(name: &str, text: &str) -> Self {
        let name: Rc<str> = name.into();
        let mut parser =
            Parser { origin: name.as_ref().into(), line_starts: line_starts(text), faults: vec![] };
        let (table, errors) = DeTable::parse_recoverable(text);
        for error in errors {
            let line = parser.line_at(error.span().map_or(0, |span| span.start));
            parser.add_fault(line, String::new(), Cause::Syntax(error.message().to_string()));
        }
        // The branches recovered from a text with syntax errors would give misleading faults.
        let valid = parser.faults.is_empty();
        let branches = if valid { parser.parse_branches(table.get_ref()) } else { vec![] };
        let faults = parser.faults;
        Part { digest: text_digest(text), text: text.into(), branches, faults, name }
    }
}

/// Returns the byte offsets at which lines begin.
fn line_starts(text: &str) -> Vec<usize> {
    let ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
    std::iter::once(0).chain(ends.map(|(at, _)| at + 1)).collect()
}

struct Parser {
    origin: Arc<str>,
    line_starts: Vec<usize>,
    faults: Vec<Fault>,
}

impl Parser {
    /// Returns the line, counted from 1, of a byte offset.
    fn line_at(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    fn location(&self, line: usize) -> Location {
        Location { origin: self.origin.clone(), line }
    }

    /// Records a fault at a line.
    fn add_fault(&mut self, line: usize, path: String, cause: Cause) {
        let location = self.location(line);
        self.faults.push(Fault { location, path, cause });
    }

    /// Parses all branches of the part, recording a fault for each invalid one.
    fn parse_branches(&mut self, table: &DeTable<'_>) -> Vec<Rc<Branch>> {
        let mut branches = vec![];
        for (key, value) in table {
            let line = self.line_at(key.span().start);
            let Some(kind) = Kind::from_name(key.get_ref()) else {
                let near = nearest_match(key.get_ref(), Kind::ALL.map(Kind::as_str));
                self.add_fault(line, key.get_ref().to_string(), Cause::UnknownKind(near));
                continue;
            };
            if kind == Kind::Deployment {
                branches.extend(self.parse_branch(kind, "", line, value));
                continue;
            }
            let Some(children) = value.get_ref().as_table() else {
                self.add_fault(line, kind.to_string(), Cause::NotTable(format!("{kind}.NAME")));
                continue;
            };
            for (name, value) in children {
                let line = self.line_at(name.span().start);
                branches.extend(self.parse_branch(kind, name.get_ref(), line, value));
            }
        }
        branches
    }

    /// Parses a branch, recording a fault for each invalid leaf; `None` if it isn't a table.
    fn parse_branch(
        &mut self,
        kind: Kind,
        name: &str,
        line: usize,
        value: &Spanned<DeValue<'_>>,
    ) -> Option<Rc<Branch>> {
        let mut branch =
            Branch { kind, name: name.into(), location: self.location(line), assignments: vec![] };
        let Some(leaves) = value.get_ref().as_table() else {
            self.add_fault(line, branch.path(), Cause::NotTable(branch.path()));
            return None;
        };
        for (key, value) in leaves {
            let line = self.line_at(key.span().start);
            match parse_leaf(kind, key.get_ref(), value.get_ref()) {
                Ok((leaf, value)) => branch.assignments.push(Assignment { leaf, value, line }),
                Err(cause) => {
                    self.add_fault(line, format!("{}.{}", branch.path(), key.get_ref()), cause)
                }
            }
        }
        Some(Rc::new(branch))
    }
}

/// Parses a leaf of a branch, checking that the branch's kind can have it.
fn parse_leaf(kind: Kind, name: &str, value: &DeValue<'_>) -> Result<(Leaf, Value), Cause> {
    let Some(leaf) = Leaf::from_name(name) else {
        let known = Leaf::ALL.iter().filter(|leaf| leaf.allowed_in(kind));
        return Err(Cause::UnknownLeaf(nearest_match(name, known.map(|leaf| leaf.spec().name))));
    };
    let spec = leaf.spec();
    if !leaf.allowed_in(kind) {
        let may: Vec<_> = spec.scope.iter().map(|kind| kind.as_str()).collect();
        return Err(Cause::WrongKind { kind, may: may.join(", ") });
    }
    let parsed = spec.value_type.parse(value);
    let parsed = parsed.ok_or_else(|| Cause::InvalidValue {
        given: describe_value(value),
        allowed: spec.value_type.describe(),
    })?;
    Ok((leaf, parsed))
}

/// Describes an invalid value for an error message.
fn describe_value(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("{text:?}"),
        DeValue::Integer(number) => number.as_str().to_string(),
        DeValue::Float(number) => number.as_str().to_string(),
        DeValue::Boolean(flag) => flag.to_string(),
        other => format!("this {}", other.type_str()),
    }
}
