//! Maps the names in the settings and the list of servers to the scheduler's keys, and registers
//! servers, classes and workspaces with the scheduler.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use catalog::{Entry, Match, Residency, Route, Settings};
use policy::membership::Batch;
use policy::{Incarnation, Scheduler};
use slotmap::{SecondaryMap, SlotMap};
use xxhash_rust::xxh3::xxh3_64;

/// A class with waiting requests is served at least once in this time.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
/// Requests of a class that may wait; more would exhaust the node's memory.
const QUEUE_LIMIT: usize = 2_000;

/// Prompt tokens that an engine prefills per second; corresponds to the users' engines. It applies
/// to engines whose rate isn't measured, and weighs prompts against streams and the delay to another region.
pub(crate) const PREFILL_TOKENS_PER_SECOND: u32 = 75_000;

/// Memory in bytes that a token takes at the engines of which [`PREFILL_TOKENS_PER_SECOND`] is: it shows the size of the
/// model, on which the time for a token depends.
const KNOWN_TOKEN_BYTES: f64 = 35_000.0;
/// Ratio of the memory of a token up to which engines count as of the same kind.
const SAME_KIND_RATIO: f64 = 2.0;

/// Time before an engine receives the first token that it copies from another: some round trips.
const FETCH_SETUP: Duration = Duration::from_millis(5);

/// Time for which a server that has begun to leave is still sent what no other server takes: it serves for longer than
/// this, also if its entry came late.
const SERVES_WHILE_LEAVING: Duration = Duration::from_secs(1);

/// Route and workspace tier of a class.
type ClassName = (String, u8);

/// What the scheduler needs to know of the servers of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ServiceTerms {
    /// How an engine copies cached prompts from others; none if it can't.
    fetch: Option<policy::Fetch>,
    /// Tokens that the memory of an engine holds; none if that is unknown.
    cache_tokens: Option<u32>,
    /// Its engines are of another kind than those of which the assumed figures are.
    is_measured: bool,
    /// Its engines keep copies of what others run.
    backups: bool,
    /// Time after its start in which a server is cold; none if it never is.
    cold_time: Option<Duration>,
}

/// Scheduler keys by name, and the entries of the servers.
#[derive(Default)]
pub(crate) struct Registry {
    servers: SlotMap<ids::Server, Rc<Entry>>,
    by_name: HashMap<String, ids::Server>,
    /// By hash of their names, which identifies them between nodes.
    by_wire_key: HashMap<u32, ids::Server>,
    /// Nodes get permits for cold servers.
    pub(crate) issues_permits: bool,
    /// Terms that all servers of a service have in common, by service.
    services: HashMap<String, ServiceTerms>,
    models: SlotMap<ids::Model, ()>,
    /// By service and model; an empty model stands for the service as a whole.
    by_model: HashMap<(String, String), ids::Model>,
    classes: SlotMap<ids::Class, ()>,
    by_class: HashMap<ClassName, ids::Class>,
    workspaces: SlotMap<ids::Workspace, ()>,
    by_workspace: HashMap<String, ids::Workspace>,
    regions: SlotMap<ids::Region, ()>,
    by_region: HashMap<String, ids::Region>,
    domains: SlotMap<ids::Domain, ()>,
    by_domain: HashMap<String, ids::Domain>,
    versions: SlotMap<ids::Version, ()>,
    by_version: HashMap<origins::Version, ids::Version>,
    /// Until when servers that have begun to leave may still be sent what no other server takes.
    serves_until: SecondaryMap<ids::Server, Instant>,
}

impl Registry {
    /// The entry of a server.
    pub(crate) fn server(&self, key: ids::Server) -> Option<&Rc<Entry>> {
        self.servers.get(key)
    }

    /// Key of the server whose name has this hash, see [`wire::key`].
    pub(crate) fn server_by_wire_key(&self, wire_key: u32) -> Option<ids::Server> {
        self.by_wire_key.get(&wire_key).copied()
    }

    /// All servers with their keys.
    pub(crate) fn servers(&self) -> impl Iterator<Item = (ids::Server, &Rc<Entry>)> {
        self.servers.iter()
    }

    /// Key of a region, which is created if it is new.
    pub(crate) fn region_key(&mut self, name: &str) -> ids::Region {
        key_or_insert(&mut self.regions, &mut self.by_region, name)
    }

    /// Keys of the regions in which a request may be served; none if it may be in all of them.
    pub(crate) fn allowed_regions(&mut self, residency: &Residency) -> Option<Vec<ids::Region>> {
        let regions = residency.regions()?;
        Some(regions.map(|region| self.region_key(region)).collect())
    }

    /// Key of the model that a request needs. If no server of the service lists the model, the key stands
    /// for the service as a whole.
    pub(crate) fn requested_model(&mut self, service: &str, model: Option<&str>) -> ids::Model {
        let name = (service.to_string(), model.unwrap_or_default().to_string());
        if let Some(known) = self.by_model.get(&name) {
            return *known;
        }
        self.model_key(service, "")
    }

    /// Key of a model, or with an empty one of the service as a whole; none if no server was listed with it.
    pub(crate) fn known_model(&self, service: &str, model: &str) -> Option<ids::Model> {
        self.by_model.get(&(service.to_string(), model.to_string())).copied()
    }

    /// Names of the models that servers of a service listed.
    pub(crate) fn model_names(&self, service: &str) -> impl Iterator<Item = &str> {
        let of_service = self.by_model.keys().filter(move |(own, _)| own == service);
        of_service.map(|(_, model)| model.as_str()).filter(|model| !model.is_empty())
    }

    /// As [`Registry::allowed_regions`], without those of which no server or node was listed.
    pub(crate) fn known_regions(&self, residency: &Residency) -> Option<Vec<ids::Region>> {
        let regions = residency.regions()?;
        Some(regions.filter_map(|region| self.by_region.get(region).copied()).collect())
    }

    /// Keys of a request's class and workspace; none if one of them is new.
    pub(crate) fn known_class_and_workspace(
        &self,
        found: &Match,
    ) -> Option<(ids::Class, ids::Workspace)> {
        let class = self.by_class.get(&(found.route.name.clone(), found.workspace_tier()));
        let workspace = found.workspace.as_ref().map_or("", |workspace| &workspace.name);
        Some((*class?, *self.by_workspace.get(workspace)?))
    }

    /// A registry with the same classes and workspaces and nothing else.
    pub(crate) fn copy_of_names(&self) -> Registry {
        Registry {
            classes: self.classes.clone(),
            by_class: self.by_class.clone(),
            workspaces: self.workspaces.clone(),
            by_workspace: self.by_workspace.clone(),
            ..Registry::default()
        }
    }

    /// Key that stands for a service as a whole.
    pub(crate) fn service_key(&mut self, service: &str) -> ids::Model {
        self.model_key(service, "")
    }

    /// Name of the service for which a key stands as a whole.
    pub(crate) fn service_name(&self, key: ids::Model) -> Option<String> {
        let mut names = self.by_model.iter();
        let found = names.find(|((_, model), known)| model.is_empty() && **known == key);
        found.map(|((service, _), _)| service.clone())
    }

    /// Key of a model, which is created if it is new.
    fn model_key(&mut self, service: &str, model: &str) -> ids::Model {
        let name = (service.to_string(), model.to_string());
        *self.by_model.entry(name).or_insert_with(|| self.models.insert(()))
    }

    /// Key of the version of a server's software, which is created if it is new.
    pub(crate) fn version_key(&mut self, entry: &Entry) -> ids::Version {
        self.version(origins::Version::of(&entry.service, &entry.version))
    }

    /// Key of a version, which is created if it is new.
    pub(crate) fn version(&mut self, version: origins::Version) -> ids::Version {
        *self.by_version.entry(version).or_insert_with(|| self.versions.insert(()))
    }

    /// The entry of the server with a name.
    pub(crate) fn entry(&self, name: &str) -> Option<&Rc<Entry>> {
        self.servers.get(*self.by_name.get(name)?)
    }

    /// Whether a server is still of the version that it had when a request was sent to it, as far as is known.
    pub(crate) fn has_version_of(&self, sent_to: &Entry) -> bool {
        let known = self.by_name.get(&sent_to.name).map(|key| &self.servers[*key]);
        known.is_none_or(|known| known.version == sent_to.version)
    }

    /// Registers a new or changed server with the scheduler.
    pub(crate) fn set_server(
        &mut self,
        batch: &mut Batch<'_>,
        entry: &Rc<Entry>,
        regions: &BTreeMap<String, String>,
        evacuated: bool,
        now: Instant,
    ) -> ids::Server {
        let known = self.by_name.get(&entry.name).map(|key| &self.servers[*key]);
        let begins_to_leave = entry.leaving && known.is_some_and(|known| !known.leaving);
        let restarted = |key: &ids::Server| self.servers[*key].started != entry.started;
        if self.by_name.get(&entry.name).is_some_and(restarted) {
            // Its cache and its requests are gone, and statistics of the previous start don't apply.
            self.remove_server(batch, &entry.name);
        }
        let key = match self.by_name.get(&entry.name) {
            Some(key) => *key,
            None => {
                let key = self.servers.insert(entry.clone());
                self.by_name.insert(entry.name.clone(), key);
                key
            }
        };
        self.servers[key] = entry.clone();
        if begins_to_leave {
            self.serves_until.insert(key, now + SERVES_WHILE_LEAVING);
        }
        let serves_until = self.serves_until.get(key).copied().filter(|_| entry.leaving);
        let region = regions.get(&entry.domain).cloned().unwrap_or_default();
        let terms = policy::Server { serves_until, ..self.server_terms(entry, &region, evacuated) };
        self.by_wire_key.insert(wire::key(&entry.name), key);
        batch.set(key, terms);
        key
    }

    /// The scheduler's description of a server.
    fn server_terms(&mut self, entry: &Entry, region: &str, evacuated: bool) -> policy::Server {
        let mut models = vec![self.model_key(&entry.service, "")];
        models.extend(entry.models.iter().map(|model| self.model_key(&entry.service, model)));
        let service = self.service_terms(&entry.service);
        let incarnation = incarnation(entry);
        policy::Server {
            region: self.region_key(region),
            domain: key_or_insert(&mut self.domains, &mut self.by_domain, &entry.domain),
            salt: incarnation.salt,
            start: incarnation.start,
            slots: entry.slots,
            models,
            leaving: entry.leaving,
            version: self.version_key(entry),
            serves_until: None,
            evacuated,
            resumes: true,
            prefill_rate: entry.engine.then_some(PREFILL_TOKENS_PER_SECOND),
            fetch: service.fetch,
            cache_tokens: service.cache_tokens,
            is_measured: service.is_measured,
            backups: service.backups,
            cold_time: service.cold_time,
        }
    }

    /// Whether the memory of any service's engines is known.
    pub(crate) fn knows_memory(&self) -> bool {
        self.services.values().any(|service| service.cache_tokens.is_some())
    }

    fn service_terms(&self, service: &str) -> ServiceTerms {
        self.services.get(service).copied().unwrap_or_default()
    }

    /// Removes a server from the scheduler.
    pub(crate) fn remove_server(&mut self, batch: &mut Batch<'_>, name: &str) {
        let Some(key) = self.by_name.remove(name) else { return };
        self.servers.remove(key);
        self.serves_until.remove(key);
        self.by_wire_key.remove(&wire::key(name));
        batch.remove(key);
    }

    /// Keys of a request's class and workspace, which are registered with the scheduler if they are new.
    pub(crate) fn register_class_and_workspace(
        &mut self,
        scheduler: &mut Scheduler,
        settings: &Settings,
        found: &Match,
    ) -> (ids::Class, ids::Workspace) {
        let (route, tier) = (&found.route, found.workspace_tier());
        let name = (route.name.clone(), tier);
        let class = match self.by_class.get(&name) {
            Some(class) => *class,
            None => {
                let key = self.classes.insert(());
                self.by_class.insert(name, key);
                scheduler.set_class(key, class_terms(route, tier, settings));
                key
            }
        };
        let workspace = found.workspace.as_ref().map_or("", |workspace| &workspace.name);
        let workspace = match self.by_workspace.get(workspace) {
            Some(key) => *key,
            None => {
                let key = self.workspaces.insert(());
                self.by_workspace.insert(workspace.to_string(), key);
                let terms = policy::Workspace { weight: 1, in_flight: u32::MAX, servers: vec![] };
                scheduler.set_workspace(key, terms);
                if !workspace.is_empty() {
                    scheduler.set_workspace_key(key, wire::key(workspace));
                }
                key
            }
        };
        (class, workspace)
    }

    /// Applies a new revision of the settings: updates the classes, and removes those whose route is
    /// gone.
    pub(crate) fn apply_settings(&mut self, scheduler: &mut Scheduler, settings: &Settings) {
        self.apply_services(scheduler, settings);
        let routes: HashMap<&str, &Rc<Route>> =
            settings.routes().map(|route| (route.name.as_str(), route)).collect();
        let mut removed = vec![];
        for ((name, tier), key) in &self.by_class {
            match routes.get(name.as_str()) {
                Some(route) => scheduler.set_class(*key, class_terms(route, *tier, settings)),
                None => removed.push((name.clone(), *tier)),
            }
        }
        for name in removed {
            if let Some(key) = self.by_class.remove(&name) {
                self.classes.remove(key);
                scheduler.remove_class(key);
            }
        }
    }
}

impl Registry {
    /// Updates the terms of all servers whose services changed.
    fn apply_services(&mut self, scheduler: &mut Scheduler, settings: &Settings) {
        let terms = |(name, service): (&String, &catalog::Service)| {
            let rate = service.fetch_tokens_per_second;
            let fetch = rate
                .map(|tokens_per_second| policy::Fetch { tokens_per_second, setup: FETCH_SETUP });
            // Without gossip no node gets a permit, so servers count as warm.
            let cold_time = service.cold.filter(|_| self.issues_permits).map(|cold| cold.time);
            let (cache_tokens, backups) = (service.cache_tokens, service.backups);
            let is_measured = service.token_bytes.is_some_and(is_of_another_kind);
            (name.clone(), ServiceTerms { fetch, cache_tokens, is_measured, backups, cold_time })
        };
        let services: HashMap<_, _> = settings.services.iter().map(terms).collect();
        if services == self.services {
            return;
        }
        self.services = services;
        for (key, entry) in &self.servers {
            let terms = self.service_terms(&entry.service);
            scheduler.set_fetch(key, terms.fetch);
            scheduler.set_backups(key, terms.backups);
            scheduler.set_cache_tokens(key, terms.cache_tokens);
            scheduler.set_measured(key, terms.is_measured);
            scheduler.set_cold_time(key, terms.cold_time);
        }
    }
}

/// Whether engines whose tokens take so many bytes run a model of another kind than those of which the assumed figures are.
fn is_of_another_kind(token_bytes: f64) -> bool {
    let ratio = token_bytes / KNOWN_TOKEN_BYTES;
    !(1.0 / SAME_KIND_RATIO..=SAME_KIND_RATIO).contains(&ratio)
}

/// The start of a server that an entry describes.
pub(crate) fn incarnation(entry: &Entry) -> Incarnation {
    let salt = xxh3_64(entry.name.as_bytes());
    Incarnation { salt, start: entry.started.unwrap_or_default() }
}

/// Key of a name, which is created if it is new.
fn key_or_insert<K: slotmap::Key>(
    all: &mut SlotMap<K, ()>,
    by_name: &mut HashMap<String, K>,
    name: &str,
) -> K {
    if let Some(known) = by_name.get(name) {
        return *known;
    }
    let key = all.insert(());
    by_name.insert(name.to_string(), key);
    key
}

/// The scheduler's description of the class of a route's requests from workspaces of one tier.
fn class_terms(route: &Route, workspace_tier: u8, settings: &Settings) -> policy::Class {
    let service = route.split.first().and_then(|split| settings.services.get(&split.service));
    let event_tokens = service.map_or(1, |service| service.tokens_per_event.max(1));
    policy::Class {
        tier: route.tier_for(workspace_tier),
        priority: route.priority_for(workspace_tier),
        weight: 1,
        first_token: route.target_latency,
        token_interval: route.target_pause.unwrap_or(route.target_latency) / event_tokens,
        longest_wait: LONGEST_WAIT,
        queue: QUEUE_LIMIT,
        attempts: route.max_attempts,
    }
}
