//! Explains where each value in force comes from, and compares the effects of two trees.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::effective::Effective;
use crate::fault::Location;
use crate::leaf::{Kind, Leaf};
use crate::part::Branch;

derives::data! {
    /// A value that a branch sets, and where.
    pub struct Definition {
        /// Path of the branch.
        pub branch: String,
        /// Where the branch sets it.
        pub location: Location,
        /// The value.
        pub value: String,
    }

    /// A leaf of a branch with the value in force and the values that it overrides.
    pub struct Row {
        /// The leaf.
        pub leaf: Leaf,
        /// Value in force.
        pub value: Option<String>,
        /// Where the value is set; `None` if it is the default or there is none.
        pub set_by: Option<Definition>,
        /// Inherited values that it overrides, the nearest first.
        pub overrides: Vec<Definition>,
    }

    /// A leaf whose value in force differs between two trees. An added or removed branch differs in
    /// every leaf that has a value.
    pub struct Difference {
        /// Path of the leaf.
        pub path: String,
        /// Value before.
        pub old: Option<String>,
        /// Value after.
        pub new: Option<String>,
        /// Where the new value is set, if it isn't a default.
        pub location: Option<Location>,
    }
}

impl Effective {
    /// Returns the branches of a kind, ordered by name.
    pub fn branches(&self, kind: Kind) -> Vec<&Rc<Branch>> {
        let all = self.parts.iter().flat_map(|part| &part.branches);
        let mut found: Vec<_> = all.filter(|branch| branch.kind == kind).collect();
        found.sort_by(|a, b| a.name.cmp(&b.name));
        found
    }

    /// Returns the branch with a path such as `class.booking`.
    pub fn branch(&self, path: &str) -> Option<&Rc<Branch>> {
        let mut all = self.parts.iter().flat_map(|part| &part.branches);
        all.find(|branch| branch.path() == path)
    }

    /// Returns all leaves of a branch, with where each is set and what it overrides.
    ///
    /// ```
    /// let parts = [("a".to_string(), "[tier.top]\nrank = 0\n[class.a]\ntier = \"top\"".to_string())];
    /// let effective = settings::Effective::build(1, &parts, None).unwrap();
    /// let rows = effective.explain(effective.branch("class.a").unwrap());
    /// assert!(rows.iter().any(|row| row.leaf == settings::Leaf::Queue && row.set_by.is_none()));
    /// ```
    pub fn explain(&self, branch: &Branch) -> Vec<Row> {
        let chain = self.tree.chain(branch);
        let leaves = Leaf::ALL.iter().filter(|leaf| leaf.allowed_in(branch.kind));
        let row = |leaf: &Leaf| {
            let mut definitions = chain.assignments(*leaf).map(|(by, set)| Definition {
                branch: by.path(),
                location: by.location_of(set),
                value: set.value.to_string(),
            });
            let set_by = definitions.next();
            let value = chain.value(*leaf).map(ToString::to_string);
            Row { leaf: *leaf, value, set_by, overrides: definitions.collect() }
        };
        leaves.map(row).collect()
    }

    /// Returns the leaves whose values in force differ in `new`, ordered by path.
    pub fn differences(&self, new: &Effective) -> Vec<Difference> {
        let (old, new) = (self.values_in_force(), new.values_in_force());
        let mut found = vec![];
        for (path, (value, _)) in &old {
            match new.get(path) {
                Some((now, _)) if now == value => {}
                now => found.push(Difference {
                    path: path.clone(),
                    old: value.clone(),
                    new: now.and_then(|(now, _)| now.clone()),
                    location: now.and_then(|(_, location)| location.clone()),
                }),
            }
        }
        for (path, (value, location)) in new.iter().filter(|(path, _)| !old.contains_key(*path)) {
            let (old, new, location) = (None, value.clone(), location.clone());
            found.push(Difference { path: path.clone(), old, new, location });
        }
        found.retain(|difference| difference.old != difference.new);
        found.sort_by(|a, b| a.path.cmp(&b.path));
        found
    }

    /// Returns the value of each leaf, with its location if it is set, by path.
    fn values_in_force(&self) -> BTreeMap<String, (Option<String>, Option<Location>)> {
        let kinds = [Kind::Deployment, Kind::Tier, Kind::Class, Kind::Workspace, Kind::Server];
        let mut values = BTreeMap::new();
        for branch in kinds.into_iter().flat_map(|kind| self.branches(kind)) {
            for row in self.explain(branch) {
                let path = format!("{}.{}", branch.path(), row.leaf.spec().name);
                values.insert(path, (row.value, row.set_by.map(|set_by| set_by.location)));
            }
        }
        values
    }

    /// Returns a line for each workspace and model that has a usable backend server in `self` but none
    /// in `new`.
    pub fn lost_service(&self, new: &Effective) -> Vec<String> {
        let mut losses = vec![];
        for (key, workspace) in &self.workspaces {
            let after = new.workspace_names.key(&workspace.name);
            let after = after.and_then(|key| new.workspaces.get(key));
            let served = after.is_none_or(|after| new.usable_servers(&after.servers) > 0);
            if !served && self.usable_servers(&self.workspaces[key].servers) > 0 {
                losses.push(format!("workspace.{} loses its last backend server", workspace.name));
            }
        }
        let served_models = |effective: &Effective| -> std::collections::BTreeSet<String> {
            let servers = effective.servers.values().filter(|server| !server.leaving);
            let models = servers.flat_map(|server| &server.models);
            models.map(|model| effective.model_names.name(*model).to_string()).collect()
        };
        for model in served_models(self).difference(&served_models(new)) {
            losses.push(format!("`{model}` loses its last backend server"));
        }
        losses.sort();
        losses
    }

    /// Counts the allowed backend servers that take new requests; an empty list allows all.
    fn usable_servers(&self, servers: &[ids::Server]) -> usize {
        let allowed = |key: &ids::Server| servers.is_empty() || servers.contains(key);
        self.servers.iter().filter(|(key, server)| allowed(key) && !server.leaving).count()
    }
}
