use std::time::Duration;

/// Ranks that are told apart within one rank of what goes before. Engines tell ten levels apart, which
/// hold three ranks of routes with three of workspaces each.
const RANKS: u8 = 3;

derives::data! {
    /// What may be done with a request of a route a second time.
    #[derive(Copy, Eq)]
    pub enum Kind {
        /// It may run more than once.
        Idempotent,
        /// It may run once at most.
        AtMostOnce,
        /// Its answer is a stream of numbered events.
        Stream {
            /// Another backend server goes on after the last event that came, so it may run again.
            resumable: bool,
        },
    }

    /// A part of a route's requests that goes to one service.
    pub struct Split {
        /// Name of the service.
        pub service: String,
        /// Its part, against the sum of all weights of the route.
        pub weight: u32,
    }

    /// Which requests are served how.
    pub struct Route {
        /// Name, unique in a revision.
        pub name: String,
        /// Host that requests name, in lower case.
        pub host: String,
        /// Start of their path; begins and ends with a slash.
        pub prefix: String,
        /// What may be repeated.
        pub kind: Kind,
        /// Longest time that a caller is kept waiting for the end of its answer.
        pub timeout: Duration,
        /// Time for the answer, of a stream for its first event, that callers hope for.
        pub target: Duration,
        /// Longest pause between the events of a stream that callers hope for.
        pub pause: Option<Duration>,
        /// Rank of its tier; 0 is the highest.
        pub tier: u8,
        /// Where its requests go.
        pub split: Vec<Split>,
        /// Backend servers that one request may be sent to.
        pub attempts: u8,
        /// Asks for no key.
        pub public: bool,
    }

    /// Backend servers that stand in for one another.
    pub struct Service {
        /// Name.
        pub name: String,
        /// Tokens in one event of a stream.
        pub event_tokens: u32,
        /// Tokens of prompts that one engine takes over from another in a second; none where it can't.
        pub fetch_tokens: Option<f64>,
    }

    /// Who calls.
    pub struct Workspace {
        /// Name.
        pub name: String,
        /// Rank of the tier of its requests; the route's own where there is none.
        pub tier: Option<u8>,
    }

    /// Limits on what a caller may send, and how long it may take.
    #[derive(Copy, Eq)]
    pub struct Intake {
        /// Largest head of a request in bytes.
        pub head: usize,
        /// Largest body in bytes.
        pub body: usize,
        /// Time to send a head.
        pub head_time: Duration,
        /// Time that a connection may stand idle.
        pub idle: Duration,
    }
}

impl Kind {
    /// Whether a request may run more than once.
    ///
    /// ```
    /// assert!(!catalog::Kind::Stream { resumable: false }.repeatable());
    /// ```
    pub fn repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Stream { resumable: true })
    }

    /// Whether its answer is a stream.
    ///
    /// ```
    /// assert!(!catalog::Kind::Idempotent.streams());
    /// ```
    pub fn streams(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

impl Route {
    /// Rank of the tier of requests whose workspace has the rank `workspace`; see [`crate::Found`].
    pub fn tier_of(&self, workspace: u8) -> u8 {
        ranked(workspace, self.tier)
    }

    /// Rank of such requests among those at one engine.
    pub fn urgency_of(&self, workspace: u8) -> u8 {
        ranked(self.tier, workspace)
    }

    /// The service that a request goes to; requests with the same `session` go to the same one
    /// while the weights stay, so that what an engine has cached of a session is found again.
    pub fn service(&self, session: u64) -> Option<&str> {
        let total: u64 = self.split.iter().map(|split| u64::from(split.weight)).sum();
        let mut point = mixed(session).checked_rem(total)?;
        for split in &self.split {
            match point.checked_sub(u64::from(split.weight)) {
                Some(rest) => point = rest,
                None => return Some(&split.service),
            }
        }
        None
    }
}

fn ranked(first: u8, second: u8) -> u8 {
    first.saturating_mul(RANKS).saturating_add(second.min(RANKS - 1))
}

fn mixed(session: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&session.to_le_bytes())
}
