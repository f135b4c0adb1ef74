//! Looks up the route and the workspace of a request in one revision of the settings.

use std::collections::HashMap;
use std::rc::Rc;

use sha2::{Digest, Sha256};

use crate::residency::Residency;
use crate::route::{RequestLimits, Route, Service, Workspace};

/// SHA-256 of an API key, so that neither the duration of a lookup nor a memory dump reveals a key.
type KeyDigest = [u8; 32];

/// One revision of the settings.
#[derive(Debug)]
pub struct Settings {
    /// Number of the revision.
    pub revision: u64,
    /// Limits on the requests of callers.
    pub limits: RequestLimits,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Routes by host, those with the longest prefix first.
    hosts: HashMap<String, Vec<Rc<Route>>>,
    workspaces: HashMap<KeyDigest, Rc<Workspace>>,
    /// Requests must carry an API key unless their route is public.
    requires_key: bool,
}

/// The route and the workspace of a request.
#[derive(Clone, Debug)]
pub struct Match {
    /// Route of the request.
    pub route: Rc<Route>,
    /// Workspace of the caller; `None` on a public route, or if the settings have no workspaces.
    pub workspace: Option<Rc<Workspace>>,
}

derives::value! {
    /// Why a request isn't served.
    pub enum Denied {
        /// No route of the host has a prefix of the request's path.
        NoRoute,
        /// The request has no API key, or none that belongs to a workspace.
        UnknownKey,
    }
}

impl Settings {
    /// Builds the lookup tables of a revision; `workspaces` come with their API keys.
    pub fn new(
        revision: u64,
        limits: RequestLimits,
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
        let requires_key = !workspaces.is_empty();
        let mut by_key = HashMap::new();
        for (workspace, keys) in workspaces {
            let workspace = Rc::new(workspace);
            by_key.extend(keys.iter().map(|key| (digest(key), workspace.clone())));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Settings { revision, limits, services, hosts, workspaces: by_key, requires_key }
    }

    /// Finds the route and the workspace of a request by its host, its path and its API key.
    ///
    /// # Errors
    /// When no route matches, or no workspace has the key.
    pub fn match_request(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<Match, Denied> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.hosts.get(&host).ok_or(Denied::NoRoute)?;
        let route = routes.iter().find(|route| path.starts_with(&route.prefix));
        let route = route.ok_or(Denied::NoRoute)?.clone();
        if route.public || !self.requires_key {
            return Ok(Match { route, workspace: None });
        }
        let workspace = key.and_then(|key| self.workspaces.get(&digest(key)));
        let workspace = Some(workspace.ok_or(Denied::UnknownKey)?.clone());
        Ok(Match { route, workspace })
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.hosts.values().flatten()
    }
}

impl Match {
    /// The request's tier for admission and queueing; 0 is the highest. It orders by the workspace's
    /// tier and, among workspaces of one tier, by the route's. The workspace's tier alone would put
    /// an availability summary and a long draft of one caller on the same level, and engines could
    /// preempt one for the other.
    pub fn tier(&self) -> u8 {
        self.route.tier_for(self.workspace_tier())
    }

    /// The request's priority at an engine; 0 is the most urgent. It orders by the route's tier
    /// first: an engine preempts in the middle of a response, so a long draft of a high-tier
    /// workspace would otherwise delay every steady stream of the others.
    pub fn priority(&self) -> u8 {
        self.route.priority_for(self.workspace_tier())
    }

    /// Regions in which the request may be served: those that both its route and its workspace allow.
    pub fn residency(&self) -> Residency {
        let route = &self.route.residency;
        let workspace = self.workspace.as_ref().map(|workspace| &workspace.residency);
        workspace.map_or_else(|| route.clone(), |workspace| route.intersect(workspace))
    }

    /// The workspace's own tier, or the route's if it has none.
    pub fn workspace_tier(&self) -> u8 {
        let own = self.workspace.as_ref().and_then(|workspace| workspace.tier);
        own.unwrap_or(self.route.tier)
    }
}

fn digest(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}
