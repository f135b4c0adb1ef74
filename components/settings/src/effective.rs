//! Holds the settings in force: each class, workspace and backend server with its inherited values.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use slotmap::SecondaryMap;

use crate::fault::{Fault, Faults};
use crate::leaf::{Kind, Leaf};
use crate::names::Names;
use crate::part::{self, Part};
use crate::tree::Tree;

/// SHA-256 of a bearer key. The tree stores only digests, so that its readers can't call as the key's
/// owner.
pub type KeyDigest = [u8; 32];

derives::data! {
    /// A class with its inherited values.
    pub struct Class {
        /// Name.
        pub name: String,
        /// Rank of its tier; 0 is the highest.
        pub rank: u8,
        /// Share among the classes of its tier.
        pub weight: u32,
        /// Target for the first token.
        pub first_token: Duration,
        /// Target for the time between two tokens.
        pub token_interval: Duration,
        /// Longest time that a request may wait without being served.
        pub longest_wait: Duration,
        /// Time after a request's arrival at which its answer loses its use.
        pub deadline: Duration,
        /// Requests that may wait on a node.
        pub queue: usize,
        /// Attempts of a request, including the first.
        pub attempts: u8,
        /// Whether a request may be run more than once.
        pub idempotent: bool,
        /// Regions in which its requests may be served; empty means all.
        pub regions: Vec<ids::Region>,
    }

    /// A workspace with its inherited values.
    pub struct Workspace {
        /// Name.
        pub name: String,
        /// SHA-256 of its callers' bearer key.
        pub key_digest: KeyDigest,
        /// Class of requests that don't name one.
        pub class: ids::Class,
        /// Share among the workspaces of its class.
        pub weight: u32,
        /// Requests that may be in flight at once on a node.
        pub in_flight: u32,
        /// Backend servers it may use; empty means all.
        pub servers: Vec<ids::Server>,
        /// Regions in which its requests may be served; empty means all.
        pub regions: Vec<ids::Region>,
    }

    /// Kind of a backend server.
    #[derive(Copy, Eq)]
    pub enum ServerKind {
        /// A model engine.
        Engine,
        /// A plain service.
        Plain,
    }

    /// A backend server with its inherited values.
    pub struct Server {
        /// Name.
        pub name: String,
        /// Kind.
        pub kind: ServerKind,
        /// IP number and port.
        pub address: String,
        /// Its region.
        pub region: ids::Region,
        /// Its failure domain.
        pub domain: ids::Domain,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Models it serves, or the path prefix of a plain service.
        pub models: Vec<ids::Model>,
        /// Whether it is being removed and takes no new requests.
        pub leaving: bool,
        /// Version of the models it should hold.
        pub version: Option<String>,
        /// Key of that version; all servers without one have the same.
        pub version_key: ids::Version,
        /// Adapters it should hold.
        pub adapters: Vec<String>,
        /// Phases of an answer that it runs.
        pub role: Role,
        /// Whether it can resume an answer that another server began.
        pub resumes: bool,
        /// Whether it rejects orders with an outdated fencing token.
        pub fenced: bool,
        /// Whether it deduplicates calls by idempotency key itself, running each at most once.
        pub keyed: bool,
    }

    /// Phases of an answer that a backend server runs.
    #[derive(Copy, Eq)]
    pub enum Role {
        /// Prefill and decode.
        Mixed,
        /// Prefill only.
        Prefill,
        /// Decode only.
        Decode,
    }

    /// Limits of the deployment: on incoming requests, on time-outs, and on what nodes spend.
    pub struct Limits {
        /// Most open connections of callers per node.
        pub connections: usize,
        /// Largest request head in bytes.
        pub max_head: usize,
        /// Time limit for a caller to send a request head.
        pub head_time: Duration,
        /// Longest time that a stream waits for a caller that doesn't read.
        pub slow_reader: Duration,
        /// Time that a draining node keeps its listeners open, so that the load balancer notices.
        pub balancer: Duration,
        /// Retry budget: retries in percent of first attempts.
        pub retry_percent: u32,
        /// How long the owner of an idempotency key remembers it.
        pub key_window: Duration,
        /// Upper bound on the skew between two nodes' clocks.
        pub skew: Duration,
        /// Upper bound on the time by which the list of VMs lags behind.
        pub list_lag: Duration,
        /// Bytes per second that a node may send over the link between regions.
        pub link_bytes: u64,
        /// Bytes per second that all model loads together may read from the weight store.
        pub store_bytes: u64,
        /// Largest fraction of a pool's servers that may be changing at once, in percent.
        pub change_percent: u32,
        /// Nodes per cell.
        pub cell_nodes: u32,
        /// Most backend servers per cell.
        pub cell_servers: u32,
        /// Time between two gossip exchanges with a peer.
        pub exchange: Duration,
        /// Bytes per second that a node may send to its peers as control traffic.
        pub control_bytes: u32,
        /// Largest request body in bytes.
        pub max_body: usize,
        /// Time limit for a caller to send a request body.
        pub body_time: Duration,
        /// Longest time without data in a stream from a backend server.
        pub idle_stream: Duration,
        /// Time limit for connecting to a backend server.
        pub connect: Duration,
        /// Longest time that a drain waits for requests in flight.
        pub grace: Duration,
    }
}

/// The settings in force, resolved from one complete revision. Values that a revision doesn't change
/// are shared with the previous one.
#[derive(Clone, Debug)]
pub struct Effective {
    /// Revision number from the configuration service.
    pub revision: u64,
    /// Digest over its parts.
    pub digest: u64,
    /// Limits of the deployment.
    pub limits: Limits,
    /// Names of classes.
    pub class_names: Names<ids::Class>,
    /// Names of workspaces.
    pub workspace_names: Names<ids::Workspace>,
    /// Names of backend servers.
    pub server_names: Names<ids::Server>,
    /// Names of models and path prefixes.
    pub model_names: Names<ids::Model>,
    /// Names of regions.
    pub region_names: Names<ids::Region>,
    /// Names of failure domains.
    pub domain_names: Names<ids::Domain>,
    /// Versions of models.
    pub version_names: Names<ids::Version>,
    /// Classes.
    pub classes: SecondaryMap<ids::Class, Rc<Class>>,
    /// Workspaces.
    pub workspaces: SecondaryMap<ids::Workspace, Rc<Workspace>>,
    /// Backend servers.
    pub servers: SecondaryMap<ids::Server, Rc<Server>>,
    /// Workspaces by the digest of their callers' key.
    pub workspaces_by_key: HashMap<KeyDigest, ids::Workspace>,
    /// Parts that it was parsed from.
    pub parts: Rc<[Rc<Part>]>,
    /// All branches except those of workspaces.
    pub tree: Rc<Tree>,
    /// Values that are valid but probably a mistake.
    pub warnings: Vec<Fault>,
}

impl Effective {
    /// Parses and resolves a revision from its parts, each a name and a text. Names keep the keys that
    /// they have in `previous`, and unchanged values are shared with it.
    ///
    /// # Errors
    ///
    /// Returns all faults of the revision, ordered by location.
    ///
    /// ```
    /// let parts = [("a".to_string(), "[tier.top]\nrank = 0".to_string())];
    /// let effective = settings::Effective::build(1, &parts, None).unwrap();
    /// assert_eq!(effective.revision, 1);
    /// ```
    pub fn build(
        revision: u64,
        parts: &[(String, String)],
        previous: Option<&Effective>,
    ) -> Result<Self, Faults> {
        let parse = |(name, text): &(String, String)| {
            let unchanged =
                previous.and_then(|previous| previous.part_by_digest(&part::text_digest(text)));
            let unchanged = unchanged.filter(|part| *part.name == **name);
            unchanged.cloned().unwrap_or_else(|| Rc::new(Part::parse(name, text)))
        };
        Self::from_parts(revision, parts.iter().map(parse).collect(), previous)
    }

    /// Returns the part whose text has the digest.
    pub fn part_by_digest(&self, digest: &str) -> Option<&Rc<Part>> {
        self.parts.iter().find(|part| part.digest == digest)
    }

    /// Returns the regions in which requests of a class and a workspace may be served: those that both allow,
    /// or `None` if both allow all.
    ///
    /// ```
    /// let effective = settings::Effective::build(1, &[], None).unwrap();
    /// let (class, workspace) = (ids::Class::default(), ids::Workspace::default());
    /// assert_eq!(effective.allowed_regions(class, workspace), None);
    /// ```
    pub fn allowed_regions(
        &self,
        class: ids::Class,
        workspace: ids::Workspace,
    ) -> Option<Vec<ids::Region>> {
        let class = self.classes.get(class).map(|class| &class.regions[..]).unwrap_or_default();
        let workspace = self.workspaces.get(workspace).map(|workspace| &workspace.regions[..]);
        let workspace = workspace.unwrap_or_default();
        match (class, workspace) {
            ([], []) => None,
            ([], only) | (only, []) => Some(only.to_vec()),
            (class, workspace) => {
                let both = class.iter().filter(|region| workspace.contains(region));
                Some(both.copied().collect())
            }
        }
    }

    /// Returns the region of a failure domain; `None` if the tree doesn't name the domain.
    pub fn region_of(&self, domain: &str) -> Option<ids::Region> {
        let branch = self.tree.branch(Kind::Domain, domain)?;
        self.region_names.key(self.tree.chain(branch).text(Leaf::Region)?)
    }

    /// Returns the workspace whose callers use the bearer key with this digest.
    pub fn workspace_by_key(&self, digest: &KeyDigest) -> Option<(ids::Workspace, &Rc<Workspace>)> {
        let key = *self.workspaces_by_key.get(digest)?;
        self.workspaces.get(key).map(|workspace| (key, workspace))
    }
}
