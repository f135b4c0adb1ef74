//! Resolves inheritance between the branches of a tree: a backend server inherits from its engine,
//! failure domain, region and the deployment; a workspace from its class, tier and the deployment.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::fault::{Cause, Fault, nearest_match};
use crate::leaf::{Kind, Leaf};
use crate::part::{Assignment, Branch, Part};
use crate::value::{Type, Value};

/// Branches by kind and name.
#[derive(Clone, Debug, Default)]
pub struct Tree {
    kinds: [BTreeMap<Rc<str>, Rc<Branch>>; Kind::ALL.len()],
}

impl Tree {
    /// Collects the branches of all parts. A branch that exists twice is a fault, and the first is
    /// kept.
    pub(crate) fn from_parts(parts: &[Rc<Part>], faults: &mut Vec<Fault>) -> Self {
        let mut tree = Tree::default();
        for branch in parts.iter().flat_map(|part| &part.branches) {
            let branches = &mut tree.kinds[branch.kind as usize];
            if let Some(first) = branches.get(&branch.name) {
                faults.push(Fault {
                    location: branch.location.clone(),
                    path: branch.path(),
                    cause: Cause::DuplicateBranch(first.location.clone()),
                });
                continue;
            }
            branches.insert(branch.name.clone(), branch.clone());
        }
        tree
    }

    /// Returns the branches of a kind, ordered by name.
    pub fn branches(&self, kind: Kind) -> impl Iterator<Item = &Rc<Branch>> {
        self.kinds[kind as usize].values()
    }

    /// Returns the branch of a kind with a name.
    pub fn branch(&self, kind: Kind, name: &str) -> Option<&Rc<Branch>> {
        self.kinds[kind as usize].get(name)
    }

    /// Returns the name of a kind's branch that is most similar to an unknown name, if any is similar.
    pub fn nearest_name(&self, kind: Kind, name: &str) -> Option<String> {
        nearest_match(name, self.kinds[kind as usize].keys().map(|name| &**name))
    }

    /// Returns the branch with a path such as `class.booking`.
    pub fn branch_at(&self, path: &str) -> Option<&Rc<Branch>> {
        let (kind, name) = path.split_once('.').unwrap_or((path, ""));
        self.branch(Kind::from_name(kind)?, name)
    }

    /// Returns a branch and the branches that it inherits from, nearest first. References to branches
    /// that don't exist are skipped.
    pub fn chain<'a>(&'a self, branch: &'a Branch) -> Chain<'a> {
        let mut chain = Chain(vec![branch]);
        match branch.kind {
            Kind::Deployment => return chain,
            Kind::Region | Kind::Tier | Kind::Engine => {}
            Kind::Domain => self.extend_by(&mut chain, Leaf::Region, Kind::Region),
            Kind::Class => self.extend_by(&mut chain, Leaf::Tier, Kind::Tier),
            Kind::Workspace => {
                let root = self.branch(Kind::Deployment, "");
                let inherited = root.and_then(|root| root.assignment(Leaf::Class));
                let set = branch.assignment(Leaf::Class).or(inherited);
                chain.0.extend(self.referenced_branch(set, Kind::Class));
                self.extend_by(&mut chain, Leaf::Tier, Kind::Tier);
            }
            Kind::Server => {
                self.extend_by(&mut chain, Leaf::Domain, Kind::Domain);
                self.extend_by(&mut chain, Leaf::Region, Kind::Region);
            }
        }
        chain.0.extend(self.branch(Kind::Deployment, "").map(|root| &**root));
        if branch.kind == Kind::Server {
            let engine = chain.assignments(Leaf::Engine).next().map(|(_, set)| set);
            if let Some(engine) = self.referenced_branch(engine, Kind::Engine) {
                chain.0.insert(1, engine);
            }
        }
        chain
    }

    /// Removes the branches of a kind and returns them by name.
    pub(crate) fn take_branches(&mut self, kind: Kind) -> BTreeMap<Rc<str>, Rc<Branch>> {
        std::mem::take(&mut self.kinds[kind as usize])
    }

    /// Adds the branch that a leaf of the chain refers to.
    fn extend_by<'a>(&'a self, chain: &mut Chain<'a>, leaf: Leaf, kind: Kind) {
        let set = chain.assignments(leaf).next().map(|(_, set)| set);
        chain.0.extend(self.referenced_branch(set, kind));
    }

    fn referenced_branch(&self, set: Option<&Assignment>, kind: Kind) -> Option<&Branch> {
        let Value::Text(name) = &set?.value else { return None };
        self.branch(kind, name).map(|branch| &**branch)
    }

    /// Adds a fault for each reference of the branch to a branch that doesn't exist.
    pub(crate) fn check_references(&self, branch: &Branch, faults: &mut Vec<Fault>) {
        for set in &branch.assignments {
            let (kind, names) = match (set.leaf.spec().value_type, &set.value) {
                (Type::Ref(kind), Value::Text(name)) => (kind, std::slice::from_ref(name)),
                (Type::Refs(kind), Value::Texts(names)) => (kind, names.as_slice()),
                _ => continue,
            };
            for name in names.iter().filter(|name| self.branch(kind, name).is_none()) {
                let near = self.nearest_name(kind, name);
                faults.push(Fault {
                    location: branch.location_of(set),
                    path: format!("{}.{}", branch.path(), set.leaf.spec().name),
                    cause: Cause::MissingBranch { kind, name: name.clone(), near },
                });
            }
        }
    }
}

/// A branch and the branches that it inherits from, nearest first.
#[derive(Clone, Debug)]
pub struct Chain<'a>(Vec<&'a Branch>);

impl<'a> Chain<'a> {
    /// Returns each branch of the chain that sets a leaf, with the value. The first is in force and
    /// overrides the others.
    pub fn assignments(&self, leaf: Leaf) -> impl Iterator<Item = (&'a Branch, &'a Assignment)> {
        // A workspace's weight is its share of its class, while a class's weight is its share of its
        // tier, so a workspace doesn't inherit the weight of its class.
        let own_only = leaf == Leaf::Weight && self.0[0].kind == Kind::Workspace;
        let length = if own_only { 1 } else { self.0.len() };
        self.0[..length]
            .iter()
            .filter_map(move |branch| branch.assignment(leaf).map(|set| (*branch, set)))
    }

    /// Returns the value in force: that of the nearest branch, or the default.
    pub fn value(&self, leaf: Leaf) -> Option<&'a Value> {
        self.assignments(leaf).next().map(|(_, set)| &set.value).or(leaf.default())
    }

    /// Returns the duration in force; zero if the leaf has none.
    pub(crate) fn duration(&self, leaf: Leaf) -> Duration {
        match self.value(leaf) {
            Some(Value::Time(time)) => *time,
            _ => Duration::ZERO,
        }
    }

    /// Returns the count, size or rate in force; zero if the leaf has none.
    pub(crate) fn number(&self, leaf: Leaf) -> u64 {
        match self.value(leaf) {
            Some(Value::Count(number) | Value::Size(number) | Value::Rate(number)) => *number,
            _ => 0,
        }
    }

    /// Returns whether the flag in force is set.
    pub(crate) fn flag(&self, leaf: Leaf) -> bool {
        matches!(self.value(leaf), Some(Value::Flag(true)))
    }

    /// Returns the string in force.
    pub(crate) fn text(&self, leaf: Leaf) -> Option<&'a str> {
        match self.value(leaf) {
            Some(Value::Text(text)) => Some(text),
            _ => None,
        }
    }

    /// Returns the list in force; empty if the leaf has none.
    pub(crate) fn texts(&self, leaf: Leaf) -> &'a [String] {
        match self.value(leaf) {
            Some(Value::Texts(texts)) => texts,
            _ => &[],
        }
    }
}
