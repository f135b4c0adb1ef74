//! Defines the data that drivers pass to the scheduler: classes, workspaces, servers, reports, requests.

use std::time::{Duration, Instant};

derives::data! {
    /// A service class.
    pub struct Class {
        /// Rank of the tier; 0 is the highest.
        pub tier: u8,
        /// Priority of its requests at engines, which serve lower numbers first.
        pub priority: u8,
        /// Weight among the classes of a tier; at least 1.
        pub weight: u32,
        /// Target for the time to the first token.
        pub first_token: Duration,
        /// Target for the time between tokens.
        pub token_interval: Duration,
        /// Once requests of the class have waited this long without one being sent, one is sent ahead of
        /// all other classes.
        pub longest_wait: Duration,
        /// Requests that may wait at once.
        pub queue: usize,
        /// Attempts allowed for a request, the first included.
        pub attempts: u8,
    }

    /// A workspace.
    pub struct Workspace {
        /// Weight among the workspaces of a class; at least 1.
        pub weight: u32,
        /// Requests that may be in flight at once on this node.
        pub in_flight: u32,
        /// Backend servers it may use; empty means all.
        pub servers: Vec<ids::Server>,
    }

    /// A backend server.
    pub struct Server {
        /// The region it is in.
        pub region: ids::Region,
        /// The failure domain it is in.
        pub domain: ids::Domain,
        /// Hash of its name, the same on all nodes.
        pub salt: u64,
        /// A number that differs between two starts under one name.
        pub start: u64,
        /// Requests that it can run at once according to the settings.
        pub slots: u32,
        /// Models it serves; a plain service has its path prefix as its only model.
        pub models: Vec<ids::Model>,
        /// It takes no new work.
        pub leaving: bool,
        /// Version of its software; only servers of the version that began a stream continue it.
        pub version: ids::Version,
        /// Until when it may be sent requests that no other server takes, if it is leaving.
        pub serves_until: Option<Instant>,
        /// Its failure domain is evacuated: it takes no new work, and nothing is copied from it.
        pub evacuated: bool,
        /// It can continue an answer that another server began.
        pub resumes: bool,
        /// Prompt tokens that it prefills per second; none if that is unknown or the server has no
        /// prefill.
        pub prefill_rate: Option<u32>,
        /// Its rate and the pauses beside long prompts are measured, as it is of another kind than the engines of which the
        /// assumed figures are.
        pub is_measured: bool,
        /// How fast it fetches a cached prefix from another engine; none if it can't.
        pub fetch: Option<Fetch>,
        /// Tokens of prompts and answers that its memory holds; none if that is unknown.
        pub cache_tokens: Option<u32>,
        /// It can keep copies of what other engines run, and continue it.
        pub backups: bool,
        /// Time after a start for which it is cold and tolerates few requests; none if it is never cold.
        pub cold_time: Option<Duration>,
    }

    /// The cost of fetching a cached prefix from another engine.
    #[derive(Copy)]
    pub struct Fetch {
        /// Tokens transferred per second.
        pub tokens_per_second: f64,
        /// Time before the first token is transferred.
        pub setup: Duration,
    }

    /// Limits of the deployment that each node keeps.
    #[derive(Copy, Eq)]
    pub struct Limits {
        /// Retries allowed, in percent of first attempts.
        pub retry_percent: u32,
        /// Retries allowed at once for one model, beyond that percentage.
        pub retry_burst: u32,
        /// Bytes per second that this node may send over the link between regions.
        pub link_bytes: u64,
    }

    /// This node's share of a backend server that its peers use as well. Without one, the node uses the
    /// server as if it were alone.
    #[derive(Copy, Eq)]
    pub struct Share {
        /// Slots of the server that this node may occupy now.
        pub slots: u32,
        /// Requests that peers have in flight there, as last reported.
        pub sent: u32,
        /// Highest tier of the requests that wait for this server at a peer.
        pub waiting: Option<u8>,
    }

    /// Requests of one class on this node.
    #[derive(Copy, Eq)]
    pub struct Demand {
        /// The class.
        pub class: ids::Class,
        /// Requests that wait.
        pub waiting: u32,
        /// Requests in flight.
        pub sent: u32,
    }

    /// Outstanding prefill of some nodes at one engine, and their observations of it. Vectors are indexed
    /// by priority.
    #[derive(Default)]
    pub struct Backlog {
        /// The engine.
        pub server: ids::Server,
        /// Seconds of prefill outstanding.
        pub prefill: Vec<f64>,
        /// Most seconds by which the first token of a request there is overdue.
        pub overdue: Vec<f64>,
        /// Slots that their requests occupy or wait for.
        pub occupied: Vec<f64>,
        /// Time since the engine was last seen to produce the first token of an answer; none if it wasn't
        /// recently.
        pub since_first_token: Option<Duration>,
        /// Tokens of the memory that their running requests occupy; 0 where the memory isn't crowded.
        pub running_tokens: f64,
        /// Tokens that their requests inserted into the memory in the last 8 s; 0 where it isn't crowded.
        pub inserted_tokens: f64,
    }

    /// An engine's report of its load, which arrives with a lag.
    pub struct Report {
        /// When the engine made it, as well as that is known.
        pub at: Instant,
        /// Requests running at the engine.
        pub running: u32,
        /// Requests queued at the engine.
        pub queued: u32,
        /// Requests that it can run at once.
        pub slots: u32,
        /// Observed time between tokens of a stream.
        pub token_interval: Duration,
        /// It takes no new work.
        pub leaving: bool,
    }

    /// A section of a prompt that several requests share.
    #[derive(Copy, Eq)]
    pub struct Part {
        /// Identifier of its content.
        pub id: u64,
        /// Its length in tokens.
        pub tokens: u32,
    }

    /// An engine has a prompt part in its prefix cache.
    #[derive(Copy, Eq)]
    pub struct Cached {
        /// The engine.
        pub server: ids::Server,
        /// Identifier of the part.
        pub part: u64,
    }

    /// A request as the scheduler sees it.
    pub struct Request {
        /// Its class.
        pub class: ids::Class,
        /// Its workspace.
        pub workspace: ids::Workspace,
        /// The model or plain service it asks for.
        pub model: ids::Model,
        /// The service as a whole, whose retry budget it uses.
        pub service: ids::Model,
        /// Hash of the start of the prompt, by which requests are sent to a server that caches it.
        pub prefix: u64,
        /// Length of the prompt in tokens, estimated.
        pub prompt_tokens: u32,
        /// Parts at the start of the prompt that other requests share, in order.
        pub shared: Vec<Part>,
        /// Limit on the answer in tokens that the caller set.
        pub max_tokens: Option<u32>,
        /// The caller's estimate of the answer's length in tokens: right at the median, often far off.
        pub length_hint: Option<u32>,
        /// When it was received.
        pub arrived: Instant,
        /// An answer that ends later than this is useless to the caller.
        pub deadline: Instant,
        /// It may be run more than once.
        pub idempotent: bool,
        /// The caller's region; sending to a server in another one uses the link between regions.
        pub region: ids::Region,
        /// Regions in which it may be served; all if it is `None`.
        pub regions: Option<Vec<ids::Region>>,
        /// The version that began its stream, if it resumes one.
        pub version: Option<ids::Version>,
        /// What became of it before, at this node or at a peer that passed it on.
        pub prior: Prior,
    }
}

derives::value! {
    /// The attempts of a request before it was submitted to a scheduler. If a server received one of them, the next
    /// one is a repeat, and paid for.
    #[derive(Default)]
    pub struct Prior {
        /// Attempts that count towards the limit of its class.
        pub attempts: u8,
        /// A server received one of them.
        pub reached: bool,
    }
}

impl Request {
    /// Tokens at the start of the prompt that other requests share.
    pub(crate) fn shared_tokens(&self) -> u32 {
        self.shared.iter().fold(0, |sum, part| sum.saturating_add(part.tokens))
    }
}
