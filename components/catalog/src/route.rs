//! Defines routes, services and workspaces, and computes the tier and the service of a route's
//! requests.

use std::time::Duration;

use crate::residency::Residency;

/// Tiers that are distinguished of a route and of a workspace; lower tiers count as the last of them.
/// Engines have ten priorities, enough for three tiers of routes times three of workspaces.
const TIERS: u8 = 3;

derives::data! {
    /// Whether and how often a request of a route may run.
    #[derive(Copy, Eq)]
    pub enum Kind {
        /// It may run more than once.
        Idempotent,
        /// It must run at most once.
        AtMostOnce,
        /// Its response is a stream of numbered events.
        Stream {
            /// Another backend server can continue the stream after the last event received, so the
            /// request may run again.
            resumable: bool,
        },
    }

    /// The share of a route's requests that goes to one service.
    pub struct Split {
        /// Name of the service.
        pub service: String,
        /// Its weight; the service gets this fraction of the sum of the route's weights.
        pub weight: u32,
    }

    /// Which requests a route takes, and how it serves them.
    pub struct Route {
        /// Name, unique in a revision of the settings.
        pub name: String,
        /// Host of the requests, in lower case.
        pub host: String,
        /// Prefix of their path; begins and ends with a slash.
        pub prefix: String,
        /// Whether its requests may run again.
        pub kind: Kind,
        /// Time in which a response must have ended.
        pub timeout: Duration,
        /// Target for the time to the response, or to the first event of a stream.
        pub target_latency: Duration,
        /// Target for the longest pause between the events of a stream.
        pub target_pause: Option<Duration>,
        /// Tier of its requests; 0 is the highest.
        pub tier: u8,
        /// Services that its requests are distributed to.
        pub split: Vec<Split>,
        /// Backend servers that one request may be sent to, one after another.
        pub max_attempts: u8,
        /// Requests need no API key.
        pub public: bool,
        /// Regions in which its requests may be served.
        pub residency: Residency,
    }

    /// A group of interchangeable backend servers.
    pub struct Service {
        /// Name, unique in a revision of the settings.
        pub name: String,
        /// Path at which its servers answer whether they are healthy and take requests; `None` if they don't.
        pub health_path: Option<String>,
        /// Tokens in one event of a stream.
        pub tokens_per_event: u32,
        /// Prompt tokens per second whose cached state one engine can fetch from another; `None` if its
        /// engines can't.
        pub fetch_tokens_per_second: Option<f64>,
        /// Tokens of prompts and answers that the memory of one of its engines holds; `None` if that is unknown.
        pub cache_tokens: Option<u32>,
        /// Memory of its engines that one token takes, in bytes; `None` if it isn't stated.
        pub token_bytes: Option<f64>,
        /// Its engines can keep a copy of a request that another one runs, and continue it.
        pub backups: bool,
        /// What its servers withstand while they are cold; `None` if they are never cold.
        pub cold: Option<Cold>,
    }

    /// What a server withstands that was started a short time ago.
    #[derive(Copy)]
    pub struct Cold {
        /// Time after its start for which a server is cold.
        pub time: Duration,
        /// Requests per second that it tolerates in that time, from all nodes together.
        pub requests_per_second: f64,
    }

    /// A workspace that callers belong to.
    pub struct Workspace {
        /// Name.
        pub name: String,
        /// Tier of its requests; 0 is the highest. The route's tier applies if it is `None`.
        pub tier: Option<u8>,
        /// Regions in which its requests may be served.
        pub residency: Residency,
    }

    /// Limits on the size of a request and on the time to send it.
    #[derive(Copy, Eq)]
    pub struct RequestLimits {
        /// Largest head of a request in bytes.
        pub max_head: usize,
        /// Largest body in bytes.
        pub max_body: usize,
        /// Time to send a head.
        pub head_timeout: Duration,
        /// Time that a connection may stay idle.
        pub idle_timeout: Duration,
    }
}

impl Kind {
    /// Whether a request may run more than once.
    ///
    /// ```
    /// assert!(!catalog::Kind::Stream { resumable: false }.is_repeatable());
    /// ```
    pub fn is_repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Stream { resumable: true })
    }

    /// Whether its response is a stream.
    ///
    /// ```
    /// assert!(!catalog::Kind::Idempotent.is_stream());
    /// ```
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

impl Route {
    /// Tier of requests whose workspace has the tier `workspace`; see [`crate::Match::tier`].
    pub fn tier_for(&self, workspace: u8) -> u8 {
        combine(workspace, self.tier)
    }

    /// Priority of such requests at an engine; see [`crate::Match::priority`].
    pub fn priority_for(&self, workspace: u8) -> u8 {
        combine(self.tier, workspace)
    }

    /// The service that a request goes to; `None` if the sum of the weights is 0. Requests with the
    /// same `session` go to the same service as long as the weights stay, so that they find the
    /// prefixes that an engine has cached for the session.
    pub fn service(&self, session: u64) -> Option<&str> {
        let total: u64 = self.split.iter().map(|split| u64::from(split.weight)).sum();
        let mut point = hash_session(session).checked_rem(total)?;
        for split in &self.split {
            match point.checked_sub(u64::from(split.weight)) {
                Some(rest) => point = rest,
                None => return Some(&split.service),
            }
        }
        None
    }
}

/// A tier that orders by `first`, then by `second`.
fn combine(first: u8, second: u8) -> u8 {
    first.saturating_mul(TIERS).saturating_add(second.min(TIERS - 1))
}

fn hash_session(session: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&session.to_le_bytes())
}
