//! What the decisions know of classes, workspaces, backend servers and requests.

use std::time::{Duration, Instant};

derives::data! {
    /// A service class.
    pub struct Class {
        /// Rank of the tier; 0 is the highest.
        pub tier: u8,
        /// Rank of its requests at engines, which take those of a lower one first.
        pub priority: u8,
        /// Share among the classes of a tier; at least 1.
        pub weight: u32,
        /// Target for the time to the first token.
        pub first_token: Duration,
        /// Target for the time between tokens.
        pub token_interval: Duration,
        /// A class that waits and hasn't been served for this long is served ahead of its turn.
        pub longest_wait: Duration,
        /// Requests that may wait at once.
        pub queue: usize,
        /// Attempts a request may take, the first included.
        pub attempts: u8,
    }

    /// A workspace.
    pub struct Workspace {
        /// Share among the workspaces of a class; at least 1.
        pub weight: u32,
        /// Requests that may be in flight at once on this node.
        pub in_flight: u32,
        /// Backend servers it may use; empty means all.
        pub servers: Vec<ids::Server>,
    }

    /// A backend server.
    pub struct Server {
        /// Where it stands.
        pub region: ids::Region,
        /// The failure domain it stands in.
        pub domain: ids::Domain,
        /// Hash of its name, alike on all nodes.
        pub salt: u64,
        /// Requests it can run at once, by the settings.
        pub slots: u32,
        /// Models it serves; a plain service has its path prefix as its only model.
        pub models: Vec<ids::Model>,
        /// Takes no new work when set.
        pub leaving: bool,
        /// Goes on with an answer that was begun elsewhere.
        pub resumes: bool,
        /// Tokens of prompts that it reads in a second; none where that isn't known, or where it
        /// reads none.
        pub prefill_rate: Option<u32>,
        /// How fast it takes over what another engine keeps of a prompt; none where it can't.
        pub fetch: Option<Fetch>,
    }

    /// How an engine takes over what another one keeps of a prompt.
    #[derive(Copy)]
    pub struct Fetch {
        /// Tokens in a second.
        pub tokens_per_second: f64,
        /// Time before the first of them.
        pub setup: Duration,
    }

    /// Limits of the deployment that bound the decisions of one node.
    #[derive(Copy, Eq)]
    pub struct Limits {
        /// Retries as a part of fresh work, in percent.
        pub retry_percent: u32,
        /// Retries that may come at once for one model, over what fresh work has earned.
        pub retry_burst: u32,
        /// Bytes a second that this node may send over the link between regions.
        pub link_bytes: u64,
    }

    /// What this node may put on a backend server that peers use as well. Without one, the node
    /// acts as if it were alone.
    #[derive(Copy, Eq)]
    pub struct Share {
        /// Places of the server that this node may fill now.
        pub slots: u32,
        /// Requests that peers have in flight there, as far as heard.
        pub sent: u32,
        /// Rank of the highest tier that waits for this server at a peer.
        pub waiting: Option<u8>,
    }

    /// Work of one class on this node.
    #[derive(Copy, Eq)]
    pub struct Demand {
        /// The class.
        pub class: ids::Class,
        /// Requests that wait.
        pub waiting: u32,
        /// Requests in flight.
        pub sent: u32,
    }

    /// Prompts of some nodes that an engine reads or has still to read, and what they saw of it.
    #[derive(Default)]
    pub struct Backlog {
        /// The engine.
        pub server: ids::Server,
        /// Seconds that they take to read, by rank of urgency.
        pub prefill: Vec<f64>,
        /// Seconds by which one of them waits for its answer beyond what is usual, by rank of urgency.
        pub overdue: Vec<f64>,
        /// Places that they take at the engine or wait for, by rank of urgency.
        pub occupied: Vec<f64>,
        /// Time since the engine was last seen to begin an answer; none if it wasn't of late.
        pub since_first_token: Option<Duration>,
    }

    /// What an engine says of its load, with a lag.
    pub struct Report {
        /// When the engine made it, as far as known.
        pub at: Instant,
        /// Requests that run.
        pub running: u32,
        /// Requests that wait at the engine.
        pub queued: u32,
        /// Requests it can run at once.
        pub slots: u32,
        /// Observed time between tokens of a stream.
        pub token_interval: Duration,
        /// Takes no new work when set.
        pub leaving: bool,
    }

    /// A part of prompts, alike in all requests that have it.
    #[derive(Copy, Eq)]
    pub struct Part {
        /// Identifier of its content.
        pub id: u64,
        /// Its length.
        pub tokens: u32,
    }

    /// An engine keeps a part.
    #[derive(Copy, Eq)]
    pub struct Cached {
        /// The engine.
        pub server: ids::Server,
        /// Identifier of the part.
        pub part: u64,
    }

    /// A request as the decisions see it.
    pub struct Request {
        /// Its class.
        pub class: ids::Class,
        /// Its workspace.
        pub workspace: ids::Workspace,
        /// The model or plain service it asks for.
        pub model: ids::Model,
        /// Hash of the prompt's head, for servers that cache it.
        pub prefix: u64,
        /// Length of the prompt in tokens, estimated.
        pub prompt_tokens: u32,
        /// Parts at the start of the prompt that other requests have too, in order.
        pub shared: Vec<Part>,
        /// Limit on the answer in tokens that the caller set.
        pub max_tokens: Option<u32>,
        /// When it was received.
        pub arrived: Instant,
        /// Of no use when finished after this.
        pub deadline: Instant,
        /// May be run more than once.
        pub idempotent: bool,
        /// Where the caller is; a server elsewhere costs bytes of the link.
        pub region: ids::Region,
    }
}

impl Request {
    /// Tokens at the start of the prompt that other requests have too.
    pub(crate) fn shared_tokens(&self) -> u32 {
        self.shared.iter().fold(0, |sum, part| sum.saturating_add(part.tokens))
    }
}
