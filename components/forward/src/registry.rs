//! Keys of what settings and the list of servers name, and the terms that the decisions work with.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use catalog::{Book, Entry, Found, Route};
use policy::Scheduler;
use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64;

/// Every class is served at least once in this time while it waits.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
/// Requests of a class that may wait; beyond that memory would go first.
const QUEUE: usize = 2_000;

/// Tokens of prompts that an engine reads in a second, as seen at the users' engines. Only its order
/// of size matters: it weighs prompts against streams and against the way to another region.
const READS: u32 = 75_000;

/// Time before the first token that an engine takes over from another: some round trips.
const SETUP: Duration = Duration::from_millis(5);

/// A class: requests of one route whose workspaces have one rank.
type ClassName = (String, u8);

/// Keys and their names.
#[derive(Default)]
pub(crate) struct Registry {
    servers: SlotMap<ids::Server, Rc<Entry>>,
    by_name: HashMap<String, ids::Server>,
    /// By the key of their names, by which nodes tell each other of them.
    by_key: HashMap<u32, ids::Server>,
    /// Tokens of prompts that an engine of a service takes over in a second.
    fetches: HashMap<String, f64>,
    models: SlotMap<ids::Model, ()>,
    /// By service, and the model asked for; an empty one stands for all that the service does.
    by_model: HashMap<(String, String), ids::Model>,
    classes: SlotMap<ids::Class, ()>,
    by_class: HashMap<ClassName, ids::Class>,
    workspaces: SlotMap<ids::Workspace, ()>,
    by_workspace: HashMap<String, ids::Workspace>,
    regions: SlotMap<ids::Region, ()>,
    by_region: HashMap<String, ids::Region>,
    domains: SlotMap<ids::Domain, ()>,
    by_domain: HashMap<String, ids::Domain>,
}

impl Registry {
    /// The server of a key.
    pub(crate) fn server(&self, key: ids::Server) -> Option<&Rc<Entry>> {
        self.servers.get(key)
    }

    /// The server whose name has a key, as by [`wire::key`].
    pub(crate) fn server_by_wire_key(&self, key: u32) -> Option<ids::Server> {
        self.by_key.get(&key).copied()
    }

    /// Servers by key.
    pub(crate) fn servers(&self) -> impl Iterator<Item = (ids::Server, &Rc<Entry>)> {
        self.servers.iter()
    }

    /// The region of a name.
    pub(crate) fn region(&mut self, name: &str) -> ids::Region {
        key(&mut self.regions, &mut self.by_region, name)
    }

    /// What a request asks for: a service, and a model of it where its servers name models.
    pub(crate) fn model(&mut self, service: &str, model: Option<&str>) -> ids::Model {
        let asked = (service.to_string(), model.unwrap_or_default().to_string());
        if let Some(known) = self.by_model.get(&asked) {
            return *known;
        }
        self.model_key(service, "")
    }

    fn model_key(&mut self, service: &str, model: &str) -> ids::Model {
        let name = (service.to_string(), model.to_string());
        *self.by_model.entry(name).or_insert_with(|| self.models.insert(()))
    }

    /// Tells the decisions of a server that came or changed.
    pub(crate) fn set_server(
        &mut self,
        scheduler: &mut Scheduler,
        entry: &Rc<Entry>,
        regions: &BTreeMap<String, String>,
    ) {
        let born_again = |held: &ids::Server| self.servers[*held].started != entry.started;
        if self.by_name.get(&entry.name).is_some_and(born_again) {
            // It holds nothing of before, and what was known of it says nothing any more.
            self.remove_server(scheduler, &entry.name);
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
        let region = regions.get(&entry.domain).cloned().unwrap_or_default();
        let terms = self.terms(entry, &region);
        self.by_key.insert(wire::key(&entry.name), key);
        scheduler.set_server(key, terms);
    }

    fn terms(&mut self, entry: &Entry, region: &str) -> policy::Server {
        let mut models = vec![self.model_key(&entry.service, "")];
        models.extend(entry.models.iter().map(|model| self.model_key(&entry.service, model)));
        policy::Server {
            region: self.region(region),
            domain: self::key(&mut self.domains, &mut self.by_domain, &entry.domain),
            salt: xxh3_64(entry.name.as_bytes()),
            slots: entry.slots,
            models,
            leaving: entry.leaving,
            resumes: true,
            prefill_rate: entry.engine.then_some(READS),
            fetch: self.fetch(&entry.service),
        }
    }

    /// How an engine of a service takes over prompts from others.
    fn fetch(&self, service: &str) -> Option<policy::Fetch> {
        let tokens = *self.fetches.get(service)?;
        Some(policy::Fetch { tokens_per_second: tokens, setup: SETUP })
    }

    /// Tells the decisions of a server that is gone.
    pub(crate) fn remove_server(&mut self, scheduler: &mut Scheduler, name: &str) {
        let Some(key) = self.by_name.remove(name) else { return };
        self.servers.remove(key);
        self.by_key.remove(&wire::key(name));
        scheduler.remove_server(key);
    }

    /// The class and workspace of a request, made known to the decisions if they are new.
    pub(crate) fn class_and_workspace(
        &mut self,
        scheduler: &mut Scheduler,
        book: &Book,
        found: &Found,
    ) -> (ids::Class, ids::Workspace) {
        let (route, rank) = (&found.route, found.workspace_tier());
        let name = (route.name.clone(), rank);
        let class = match self.by_class.get(&name) {
            Some(class) => *class,
            None => {
                let key = self.classes.insert(());
                self.by_class.insert(name, key);
                scheduler.set_class(key, self::class(route, rank, book));
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
                key
            }
        };
        (class, workspace)
    }

    /// Puts the terms of a new revision in place of the last one's, and forgets what it dropped.
    pub(crate) fn apply(&mut self, scheduler: &mut Scheduler, book: &Book) {
        self.apply_fetches(scheduler, book);
        let routes: HashMap<&str, &Rc<Route>> =
            book.routes().map(|route| (route.name.as_str(), route)).collect();
        let mut dropped = vec![];
        for ((name, rank), key) in &self.by_class {
            match routes.get(name.as_str()) {
                Some(route) => scheduler.set_class(*key, class(route, *rank, book)),
                None => dropped.push((name.clone(), *rank)),
            }
        }
        for name in dropped {
            if let Some(key) = self.by_class.remove(&name) {
                self.classes.remove(key);
                scheduler.remove_class(key);
            }
        }
    }
}

impl Registry {
    /// Tells the decisions how fast engines take over prompts from each other, where that changed.
    fn apply_fetches(&mut self, scheduler: &mut Scheduler, book: &Book) {
        let rate = |(name, service): (&String, &catalog::Service)| {
            Some((name.clone(), service.fetch_tokens?))
        };
        let fetches: HashMap<_, _> = book.services.iter().filter_map(rate).collect();
        if fetches == self.fetches {
            return;
        }
        self.fetches = fetches;
        for (key, entry) in &self.servers {
            scheduler.set_fetch(key, self.fetch(&entry.service));
        }
    }
}

fn key<K: slotmap::Key>(
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

fn class(route: &Route, rank: u8, book: &Book) -> policy::Class {
    let service = route.split.first().and_then(|split| book.services.get(&split.service));
    let event = service.map_or(1, |service| service.event_tokens.max(1));
    policy::Class {
        tier: route.tier_of(rank),
        priority: route.urgency_of(rank),
        weight: 1,
        first_token: route.target,
        token_interval: route.pause.unwrap_or(route.target) / event,
        longest_wait: LONGEST_WAIT,
        queue: QUEUE,
        attempts: route.attempts,
    }
}
