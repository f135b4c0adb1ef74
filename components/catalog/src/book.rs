//! Routes and workspaces of one revision, as requests look them up.

use std::collections::HashMap;
use std::rc::Rc;

use sha2::{Digest, Sha256};

use crate::route::{Intake, Route, Service, Workspace};

/// SHA-256 of a key: neither the time that a look-up takes nor a dump of memory tells a key.
type KeyDigest = [u8; 32];

/// What is in force by one revision.
#[derive(Debug)]
pub struct Book {
    /// Number of the revision.
    pub revision: u64,
    /// Limits on what comes in.
    pub intake: Intake,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Routes by host, those with the longest prefix first.
    hosts: HashMap<String, Vec<Rc<Route>>>,
    keys: HashMap<KeyDigest, Rc<Workspace>>,
    /// Requests must carry a key unless their route is public.
    keyed: bool,
}

/// Where a request belongs.
#[derive(Clone, Debug)]
pub struct Found {
    /// Its route.
    pub route: Rc<Route>,
    /// Who calls; none on a public route, or where there are no workspaces.
    pub workspace: Option<Rc<Workspace>>,
}

derives::value! {
    /// Why a request isn't served.
    pub enum Denied {
        /// No route begins its path.
        Route,
        /// No workspace has its key.
        Key,
    }
}

impl Book {
    /// Puts a revision together; `workspaces` come with their keys.
    pub fn new(
        revision: u64,
        intake: Intake,
        services: Vec<Service>,
        routes: Vec<Route>,
        workspaces: Vec<(Workspace, Vec<String>)>,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Rc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let keyed = !workspaces.is_empty();
        let mut keys = HashMap::new();
        for (workspace, own) in workspaces {
            let workspace = Rc::new(workspace);
            keys.extend(own.iter().map(|key| (digest(key), workspace.clone())));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Book { revision, intake, services, hosts, keys, keyed }
    }

    /// Where a request belongs, by the host that it names, its path, and its key.
    ///
    /// # Errors
    /// When no route takes it, or no workspace has its key.
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> Result<Found, Denied> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.hosts.get(&host).ok_or(Denied::Route)?;
        let route = routes.iter().find(|route| path.starts_with(&route.prefix));
        let route = route.ok_or(Denied::Route)?.clone();
        if route.public || !self.keyed {
            return Ok(Found { route, workspace: None });
        }
        let workspace = key.and_then(|key| self.keys.get(&digest(key)));
        let workspace = Some(workspace.ok_or(Denied::Key)?.clone());
        Ok(Found { route, workspace })
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.hosts.values().flatten()
    }
}

impl Found {
    /// Rank of the request's tier; 0 is the highest. The workspace's rank goes first, and among
    /// workspaces of one rank the route's. Taken alone, the workspace's would put an availability
    /// summary and a long draft of one caller on a level, and engines preempt the one for the other.
    pub fn tier(&self) -> u8 {
        self.route.tier_of(self.workspace_tier())
    }

    /// Rank of the request among those at one engine; 0 is the most urgent. Here the route's rank goes
    /// first: an engine preempts in the middle of an answer, and a long draft of a favoured workspace
    /// would put back every steady stream of the others.
    pub fn urgency(&self) -> u8 {
        self.route.urgency_of(self.workspace_tier())
    }

    /// Rank that the workspace has, or the route gives it.
    pub fn workspace_tier(&self) -> u8 {
        let own = self.workspace.as_ref().and_then(|workspace| workspace.tier);
        own.unwrap_or(self.route.tier)
    }
}

fn digest(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}
