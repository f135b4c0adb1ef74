//! Resolves the parts of a revision to the settings in force. For a revision that changes only
//! workspaces, as most do, only the branches in its changed parts are parsed and resolved; the rest is
//! shared with the previous revision.

use std::collections::HashSet;
use std::rc::Rc;

use crate::effective::{Class, Effective, KeyDigest, Limits, Role, Server, ServerKind, Workspace};
use crate::fault::{Cause, Fault, Faults};
use crate::leaf::{Kind, Leaf};
use crate::names::Names;
use crate::part::{self, Branch, Part};
use crate::tree::{Chain, Tree};

impl Effective {
    /// Resolves a revision from parsed parts; otherwise the same as [`Effective::build`].
    ///
    /// # Errors
    ///
    /// Returns all faults of the revision, ordered by location.
    pub fn from_parts(
        revision: u64,
        parts: Vec<Rc<Part>>,
        previous: Option<&Effective>,
    ) -> Result<Self, Faults> {
        let digest = part::revision_digest(parts.iter().map(|part| (&*part.name, &*part.digest)));
        let mut faults = vec![];
        let change =
            previous.and_then(|previous| Change::between(previous, &parts).map(|c| (previous, c)));
        let mut effective = match change {
            Some((previous, change)) => previous.apply_change(&change, &mut faults),
            None => Effective::resolve_all(&parts, previous, &mut faults),
        };
        if effective.servers.is_empty() && !effective.workspaces.is_empty() {
            let location = parts.iter().flat_map(|p| &p.branches).map(|b| b.location.clone()).min();
            let location = location.expect("a tree with a workspace has a branch");
            faults.push(Fault {
                location,
                path: "server".to_string(),
                cause: Cause::NoServerBranch,
            });
        }
        if !faults.is_empty() {
            // A required value that is invalid isn't reported as unset as well.
            let invalid: HashSet<_> = faults
                .iter()
                .filter(|fault| fault.cause != Cause::RequiredUnset)
                .map(|fault| fault.path.clone())
                .collect();
            faults.retain(|fault| {
                fault.cause != Cause::RequiredUnset || !invalid.contains(&fault.path)
            });
            faults.sort();
            return Err(Faults(faults));
        }
        effective.revision = revision;
        effective.digest = digest;
        effective.parts = parts.into();
        Ok(effective)
    }

    /// Resolves all branches of the parts.
    fn resolve_all(
        parts: &[Rc<Part>],
        previous: Option<&Effective>,
        faults: &mut Vec<Fault>,
    ) -> Self {
        faults.extend(parts.iter().flat_map(|part| part.faults.iter().cloned()));
        let has_syntax_error = faults.iter().any(|fault| matches!(fault.cause, Cause::Syntax(_)));
        let mut tree = Tree::from_parts(parts, faults);
        let root = Rc::new(Branch::root());
        let root = tree.branch(Kind::Deployment, "").cloned().unwrap_or(root);
        let mut effective = Effective::empty(resolve_limits(&tree.chain(&root)), previous);
        // After a syntax error most branches are missing, so faults of the whole tree would mislead.
        if has_syntax_error {
            return effective;
        }
        for kind in Kind::ALL {
            for branch in tree.branches(kind) {
                tree.check_references(branch, faults);
                check_required(&tree, branch, faults);
            }
        }
        for branch in tree.branches(Kind::Server) {
            let server = effective.resolve_server(&tree, branch);
            let key = effective.server_names.intern(&branch.name);
            let earlier = previous.and_then(|previous| previous.servers.get(key));
            effective.servers.insert(key, share_if_equal(server, earlier));
        }
        for branch in tree.branches(Kind::Class) {
            let class = resolve_class(&tree, branch, &mut effective.region_names, faults);
            let key = effective.class_names.intern(&branch.name);
            let earlier = previous.and_then(|previous| previous.classes.get(key));
            effective.classes.insert(key, share_if_equal(class, earlier));
        }
        let workspaces = tree.take_branches(Kind::Workspace);
        for branch in workspaces.values() {
            effective.insert_workspace(&tree, branch, previous, faults);
        }
        effective.warnings = effective.find_warnings(&tree);
        effective.tree = Rc::new(tree);
        effective
    }

    /// Returns these settings with the changed workspaces replaced.
    fn apply_change(&self, change: &Change, faults: &mut Vec<Fault>) -> Self {
        let mut effective = self.clone();
        let removed = change.removed.iter().flat_map(|part| &part.branches);
        for key in removed.filter_map(|branch| self.workspace_names.key(&branch.name)) {
            if let Some(workspace) = effective.workspaces.remove(key) {
                effective.workspaces_by_key.remove(&workspace.key_digest);
            }
        }
        let tree = self.tree.clone();
        for part in &change.added {
            faults.extend(part.faults.iter().cloned());
            for branch in &part.branches {
                tree.check_references(branch, faults);
                check_required(&tree, branch, faults);
                effective.insert_workspace(&tree, branch, Some(self), faults);
            }
        }
        effective
    }

    /// Returns settings without branches that keep the name keys of the previous ones.
    fn empty(limits: Limits, previous: Option<&Effective>) -> Self {
        Effective {
            revision: 0,
            digest: 0,
            limits,
            class_names: previous.map(|p| p.class_names.clone()).unwrap_or_default(),
            workspace_names: previous.map(|p| p.workspace_names.clone()).unwrap_or_default(),
            server_names: previous.map(|p| p.server_names.clone()).unwrap_or_default(),
            model_names: previous.map(|p| p.model_names.clone()).unwrap_or_default(),
            region_names: previous.map(|p| p.region_names.clone()).unwrap_or_default(),
            domain_names: previous.map(|p| p.domain_names.clone()).unwrap_or_default(),
            version_names: previous.map(|p| p.version_names.clone()).unwrap_or_default(),
            classes: Default::default(),
            workspaces: Default::default(),
            servers: Default::default(),
            workspaces_by_key: Default::default(),
            parts: Rc::new([]),
            tree: Rc::default(),
            warnings: vec![],
        }
    }

    fn resolve_server(&mut self, tree: &Tree, branch: &Branch) -> Server {
        let chain = tree.chain(branch);
        let kind = match chain.text(Leaf::Kind) {
            Some("plain") => ServerKind::Plain,
            _ => ServerKind::Engine,
        };
        let role = match chain.text(Leaf::Role) {
            Some("prefill") => Role::Prefill,
            Some("decode") => Role::Decode,
            _ => Role::Mixed,
        };
        let models: Vec<&str> = match kind {
            ServerKind::Engine => chain.texts(Leaf::Models).iter().map(String::as_str).collect(),
            ServerKind::Plain => chain.text(Leaf::Path).into_iter().collect(),
        };
        Server {
            name: branch.name.to_string(),
            kind,
            address: chain.text(Leaf::Address).unwrap_or_default().to_string(),
            region: self.region_names.intern(chain.text(Leaf::Region).unwrap_or_default()),
            domain: self.domain_names.intern(chain.text(Leaf::Domain).unwrap_or_default()),
            slots: chain.number(Leaf::Slots) as u32,
            models: models.iter().map(|model| self.model_names.intern(model)).collect(),
            leaving: chain.flag(Leaf::Leaving),
            version: chain.text(Leaf::Version).map(str::to_string),
            version_key: self.version_names.intern(chain.text(Leaf::Version).unwrap_or_default()),
            adapters: chain.texts(Leaf::Adapters).to_vec(),
            role,
            resumes: chain.flag(Leaf::Resumes),
            fenced: chain.flag(Leaf::Fenced),
            keyed: chain.flag(Leaf::Keyed),
        }
    }

    /// Resolves a workspace and adds it; a second branch of the same name or key is a fault.
    fn insert_workspace(
        &mut self,
        tree: &Tree,
        branch: &Branch,
        previous: Option<&Effective>,
        faults: &mut Vec<Fault>,
    ) {
        let workspace = self.resolve_workspace(tree, branch);
        let mut add_fault =
            |leaf: Option<Leaf>, cause| faults.push(branch_fault(branch, leaf, cause));
        let explicit = branch.assignment(Leaf::Servers).is_some();
        if explicit && workspace.servers.is_empty() {
            add_fault(Some(Leaf::Servers), Cause::NoAllowedServer);
        }
        let key = self.workspace_names.intern(&branch.name);
        if self.workspaces.contains_key(key) {
            let first =
                self.workspace_location(&branch.name).unwrap_or_else(|| branch.location.clone());
            return add_fault(None, Cause::DuplicateBranch(first));
        }
        let digest = workspace.key_digest;
        if let Some(other) =
            self.workspaces_by_key.insert(digest, key).filter(|_| digest != [0; 32])
        {
            let other = format!("workspace.{}", self.workspace_names.name(other));
            add_fault(Some(Leaf::KeyDigest), Cause::NotUnique(other));
        }
        let earlier = previous.and_then(|previous| previous.workspaces.get(key));
        self.workspaces.insert(key, share_if_equal(workspace, earlier));
    }

    fn resolve_workspace(&mut self, tree: &Tree, branch: &Branch) -> Workspace {
        let chain = tree.chain(branch);
        let class = chain.text(Leaf::Class).unwrap_or_default();
        let servers = chain.texts(Leaf::Servers).iter();
        Workspace {
            name: branch.name.to_string(),
            key_digest: parse_key_digest(chain.text(Leaf::KeyDigest).unwrap_or_default()),
            class: self.class_names.intern(class),
            weight: chain.number(Leaf::Weight) as u32,
            in_flight: chain.number(Leaf::InFlight) as u32,
            servers: servers.map(|name| self.server_names.intern(name)).collect(),
            regions: resolve_regions(&chain, &mut self.region_names),
        }
    }

    /// Returns where the branch of a workspace begins.
    fn workspace_location(&self, name: &str) -> Option<crate::fault::Location> {
        let mut branches = self.parts.iter().flat_map(|part| &part.branches);
        let found = branches.find(|b| b.kind == Kind::Workspace && &*b.name == name);
        found.map(|branch| branch.location.clone())
    }

    /// Returns a warning for each value that is valid but probably a mistake: two tiers of one rank,
    /// two servers of one address, and a limit on requests in flight above the slots of all servers.
    fn find_warnings(&self, tree: &Tree) -> Vec<Fault> {
        let mut warnings = vec![];
        let usually_unique = [(Kind::Tier, Leaf::Rank), (Kind::Server, Leaf::Address)];
        for (kind, leaf) in usually_unique {
            let mut seen = std::collections::HashMap::new();
            for branch in tree.branches(kind) {
                let Some(set) = branch.assignment(leaf) else { continue };
                if let Some(first) = seen.insert(set.value.to_string(), branch.path()) {
                    warnings.push(branch_fault(branch, Some(leaf), Cause::NotUnique(first)));
                }
            }
        }
        let slots: u64 = self.servers.values().map(|server| u64::from(server.slots)).sum();
        for kind in [Kind::Deployment, Kind::Tier, Kind::Class] {
            for branch in tree.branches(kind) {
                let text = branch.assignment(Leaf::InFlight).map(|set| set.value.to_string());
                let given = text.and_then(|text| text.parse().ok()).filter(|given| *given > slots);
                if let Some(given) = given {
                    let cause = Cause::ExceedsSlots { given, slots };
                    warnings.push(branch_fault(branch, Some(Leaf::InFlight), cause));
                }
            }
        }
        warnings.sort();
        warnings
    }
}

/// Parts that differ between the revision in force and the next one, if they hold only workspaces.
struct Change {
    removed: Vec<Rc<Part>>,
    added: Vec<Rc<Part>>,
}

impl Change {
    /// Returns `None` if a changed part holds a branch of another kind, or a part is listed twice.
    fn between(previous: &Effective, parts: &[Rc<Part>]) -> Option<Self> {
        let old: HashSet<_> = previous.parts.iter().map(Rc::as_ptr).collect();
        let new: HashSet<_> = parts.iter().map(Rc::as_ptr).collect();
        let removed: Vec<_> =
            previous.parts.iter().filter(|p| !new.contains(&Rc::as_ptr(p))).collect();
        let added: Vec<_> = parts.iter().filter(|p| !old.contains(&Rc::as_ptr(p))).collect();
        let mut branches = removed.iter().chain(&added).flat_map(|part| &part.branches);
        let only_workspaces = branches.all(|branch| branch.kind == Kind::Workspace);
        // A part listed twice is a fault that only resolving all branches finds.
        if !only_workspaces || new.len() != parts.len() {
            return None;
        }
        Some(Change {
            removed: removed.into_iter().cloned().collect(),
            added: added.into_iter().cloned().collect(),
        })
    }
}

/// Returns the earlier value's pointer if it equals the new value.
fn share_if_equal<T: PartialEq>(value: T, earlier: Option<&Rc<T>>) -> Rc<T> {
    match earlier {
        Some(earlier) if **earlier == value => earlier.clone(),
        _ => Rc::new(value),
    }
}

/// Returns a fault at a leaf of a branch, or at the branch itself.
fn branch_fault(branch: &Branch, leaf: Option<Leaf>, cause: Cause) -> Fault {
    let set = leaf.and_then(|leaf| branch.assignment(leaf));
    let location = set.map_or_else(|| branch.location.clone(), |set| branch.location_of(set));
    let path = match leaf {
        Some(leaf) => format!("{}.{}", branch.path(), leaf.spec().name),
        None => branch.path(),
    };
    Fault { location, path, cause }
}

/// Adds a fault for each required leaf of the branch that has no value.
fn check_required(tree: &Tree, branch: &Branch, faults: &mut Vec<Fault>) {
    let chain = tree.chain(branch);
    let required: &[Leaf] = match branch.kind {
        Kind::Domain => &[Leaf::Region],
        Kind::Tier => &[Leaf::Rank],
        Kind::Class => &[Leaf::Tier],
        Kind::Workspace => &[Leaf::KeyDigest, Leaf::Class],
        Kind::Server if chain.text(Leaf::Kind) == Some("plain") => {
            &[Leaf::Address, Leaf::Domain, Leaf::Path]
        }
        Kind::Server => &[Leaf::Address, Leaf::Domain, Leaf::Models],
        Kind::Deployment | Kind::Region | Kind::Engine => &[],
    };
    for leaf in required.iter().filter(|leaf| chain.value(**leaf).is_none()) {
        faults.push(branch_fault(branch, Some(*leaf), Cause::RequiredUnset));
    }
}

fn resolve_class(
    tree: &Tree,
    branch: &Branch,
    region_names: &mut Names<ids::Region>,
    faults: &mut Vec<Fault>,
) -> Class {
    let chain = tree.chain(branch);
    let bounds = [
        (Leaf::FirstToken, Leaf::Deadline, "deadline"),
        (Leaf::LongestWait, Leaf::Deadline, "deadline"),
    ];
    for (leaf, bound, other) in bounds {
        // Only two values that operators set can contradict each other; a default is no fault.
        let (Some((by, set)), Some(_)) =
            (chain.assignments(leaf).next(), chain.assignments(bound).next())
        else {
            continue;
        };
        if chain.duration(leaf) > chain.duration(bound) {
            let limit = chain.value(bound).map(ToString::to_string).unwrap_or_default();
            let cause = Cause::ExceedsTime { given: set.value.to_string(), other, limit };
            let path = format!("{}.{}", branch.path(), leaf.spec().name);
            faults.push(Fault { location: by.location_of(set), path, cause });
        }
    }
    Class {
        name: branch.name.to_string(),
        rank: chain.number(Leaf::Rank) as u8,
        weight: chain.number(Leaf::Weight) as u32,
        first_token: chain.duration(Leaf::FirstToken),
        token_interval: chain.duration(Leaf::TokenInterval),
        longest_wait: chain.duration(Leaf::LongestWait),
        deadline: chain.duration(Leaf::Deadline),
        queue: chain.number(Leaf::Queue) as usize,
        attempts: chain.number(Leaf::Attempts) as u8,
        idempotent: chain.flag(Leaf::Idempotent),
        regions: resolve_regions(&chain, region_names),
    }
}

fn resolve_regions(chain: &Chain<'_>, names: &mut Names<ids::Region>) -> Vec<ids::Region> {
    chain.texts(Leaf::Regions).iter().map(|name| names.intern(name)).collect()
}

fn resolve_limits(chain: &Chain<'_>) -> Limits {
    Limits {
        connections: chain.number(Leaf::Connections) as usize,
        max_head: chain.number(Leaf::MaxHead) as usize,
        head_time: chain.duration(Leaf::HeadTime),
        slow_reader: chain.duration(Leaf::SlowReader),
        balancer: chain.duration(Leaf::Balancer),
        retry_percent: chain.number(Leaf::RetryPercent) as u32,
        key_window: chain.duration(Leaf::KeyWindow),
        skew: chain.duration(Leaf::Skew),
        list_lag: chain.duration(Leaf::ListLag),
        link_bytes: chain.number(Leaf::LinkRate),
        store_bytes: chain.number(Leaf::StoreRate),
        change_percent: chain.number(Leaf::ChangePercent) as u32,
        cell_nodes: chain.number(Leaf::CellNodes) as u32,
        cell_servers: chain.number(Leaf::CellServers) as u32,
        exchange: chain.duration(Leaf::Exchange),
        control_bytes: chain.number(Leaf::ControlRate) as u32,
        max_body: chain.number(Leaf::MaxBody) as usize,
        body_time: chain.duration(Leaf::BodyTime),
        idle_stream: chain.duration(Leaf::IdleStream),
        connect: chain.duration(Leaf::Connect),
        grace: chain.duration(Leaf::Grace),
    }
}

/// Parses a digest in hexadecimal, which [`Type::Digest`](crate::Type::Digest) has validated; invalid
/// digits give zero bytes.
fn parse_key_digest(hex: &str) -> KeyDigest {
    let mut digest = [0; 32];
    for (byte, pair) in digest.iter_mut().zip(hex.as_bytes().chunks(2)) {
        let pair = std::str::from_utf8(pair).unwrap_or_default();
        *byte = u8::from_str_radix(pair, 16).unwrap_or_default();
    }
    digest
}

/// Returns the SHA-256 digest of a bearer key, as the tree stores it.
///
/// ```
/// assert_eq!(settings::format_digest(&settings::key_digest("a")).len(), 64);
/// ```
pub fn key_digest(key: &str) -> KeyDigest {
    use sha2::Digest;
    sha2::Sha256::digest(key.as_bytes()).into()
}

/// Formats the digest of a key in hexadecimal.
pub fn format_digest(digest: &KeyDigest) -> String {
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
