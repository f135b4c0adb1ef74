//! Traits that an adapter implements to connect the proxy to a platform: how its callers and backend
//! servers use HTTP, and how its store is read.
//!
//! The types here are independent of any platform. An adapter converts the platform's header names
//! and formats into them, and no other crate knows these names.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, ResponseHead};
use attribution::Content;
pub use attribution::Naming;
use catalog::{Change, Entry, Settings};
pub use endings::Testimony;
pub use policy::Part;
pub use wire::updates::{Item, Position};

derives::data! {
    /// The prompt of a request to an engine, and the expected length of the answer.
    #[derive(Default)]
    pub struct Prompt {
        /// Its parts in order; the last one is unique to the request or its session.
        pub parts: Vec<Part>,
        /// Length of the prompt in tokens.
        pub tokens: u32,
        /// Limit on the answer in tokens that the caller set.
        pub max_tokens: Option<u32>,
        /// The caller's estimate of the answer's length in tokens: right at the median, often far off.
        pub length_hint: Option<u32>,
    }

    /// A caller's request, as parsed from its head.
    pub struct Call {
        /// Id that the caller gave to this try of the request.
        pub id: String,
        /// Host that the request names.
        pub host: String,
        /// Path without query.
        pub path: String,
        /// API key of a workspace.
        pub key: Option<String>,
        /// How long the caller waits for the end of the answer.
        pub timeout: Duration,
        /// Requested model.
        pub model: Option<String>,
        /// Prompt for an engine.
        pub prompt: Prompt,
        /// Id of the last event that the caller has received, if it resumes a stream.
        pub last_event_id: Option<u64>,
        /// Id of the try that brought the first event of that stream, if the caller names it.
        pub resumes: Option<String>,
    }

    /// Values that the proxy adds to the caller's headers in one attempt.
    pub struct Attempt<'a> {
        /// The server that the attempt goes to.
        pub server: &'a Entry,
        /// Time left for the whole answer.
        pub time_left: Duration,
        /// Workspace of the caller.
        pub workspace: Option<&'a str>,
        /// Priority among the requests at an engine; 0 is the highest.
        pub priority: u8,
        /// Id of the event after which the stream has to continue.
        pub last_event_id: Option<u64>,
        /// The server whose cached part of the prompt this one copies.
        pub fetch_from: Option<&'a Entry>,
        /// The server that keeps a copy of this attempt's run.
        pub backup: Option<&'a Entry>,
        /// Version of the model's weights that the server must have, if the stream has begun with them.
        pub weights: Option<u64>,
        /// The attempt continues the request's earlier run from the copy that its server keeps.
        pub from_copy: bool,
    }

    /// Result of checking the head of a response.
    pub enum Verdict {
        /// The server's answer to this attempt, whether success or error.
        Answer,
        /// The server states that it didn't run the request.
        Declined,
        /// Another server has the address now. The request didn't run.
        Misdirected,
        /// The response doesn't show that the server has read a request. It may be about the server itself.
        Unsigned(String),
        /// The response isn't a valid answer.
        Invalid(String),
    }

    /// Rate limit of a server, as stated in the head of a response.
    pub enum StatedLimit {
        /// None is stated; only the server's slots limit it.
        Unspecified,
        /// Requests per second from all nodes together.
        PerSecond(f64),
        /// The stated limit can't be parsed; the text is what the server sent.
        Malformed(String),
    }

    /// For how long a server that turns a request away wants none from this node.
    pub enum StatedRest {
        /// It doesn't say, or it didn't turn the request away.
        Unspecified,
        /// For this time.
        For(Duration),
        /// The stated time can't be parsed; the text is what the server sent.
        Malformed(String),
    }

    /// What the head of a response says of the server that sent it.
    pub struct Statement {
        /// Its name, if the response states it.
        pub name: Option<String>,
        /// The server states that it didn't run the request.
        pub declined: bool,
        /// It is shutting down and takes no new requests.
        pub leaving: bool,
        /// For how long it wants no requests from this node.
        pub rest: StatedRest,
        /// Its rate limit.
        pub rate_limit: StatedLimit,
        /// The servers of its service are brittle: they crash if they have to decline many requests.
        pub brittle: bool,
        /// How long it keeps the connection open while idle, if it states that.
        pub keep_alive: Option<Duration>,
        /// Version of the model's weights with which the answer begins, if it states that.
        pub weights: Option<u64>,
    }

    /// The head of a request is invalid; the text says what to send instead.
    pub struct Malformed(pub String);
}

/// The platform's HTTP conventions between callers and the proxy.
pub trait CallerProtocol {
    /// Parses the head of a request.
    ///
    /// # Errors
    /// When a header is missing or malformed.
    fn parse(&self, head: &RequestHead) -> Result<Call, Malformed>;
}

/// The platform's HTTP conventions between the proxy and backend servers.
pub trait ServerProtocol {
    /// The headers of an attempt: the caller's end-to-end headers, in which those that only the proxy may
    /// set are replaced by the values of `attempt`.
    fn request_headers(&self, head: &RequestHead, call: &Call, attempt: &Attempt<'_>) -> HeaderMap;

    /// Which request the head of a response names, where `call` was sent last.
    fn naming(&self, head: &ResponseHead, call: &Call) -> Naming;

    /// Checks what the head of a response says, taken for `server`'s response to `call`.
    fn check_response(&self, head: &ResponseHead, call: &Call, server: &Entry) -> Verdict;

    /// Reads what the head of a response says of the server that sent it.
    fn read_statement(&self, head: &ResponseHead) -> Statement;

    /// The version of the model's weights with which the last of some whole events was written, if they state one.
    fn read_weights(&self, events: &[u8]) -> Option<u64>;

    /// The head of a request that asks a server about itself and runs nothing there; none if its address or path isn't
    /// valid. Plain services are asked at `health_path`, if they have one.
    fn self_report_request(&self, server: &Entry, health_path: Option<&str>)
    -> Option<RequestHead>;

    /// Reads the response to such a request.
    fn read_self_report(&self, head: &ResponseHead, body: &[u8]) -> Testimony;
}

derives::data! {
    /// A value read from the store, with the position in the store's history that it corresponds to.
    pub struct Versioned<T> {
        /// The value.
        pub value: T,
        /// Position from which to watch for changes.
        pub position: Position,
    }
}

impl Verdict {
    /// What a response with this verdict says of its request.
    pub(crate) fn content(&self) -> Content {
        match self {
            Verdict::Declined | Verdict::Misdirected => Content::Refusal,
            Verdict::Unsigned(_) => Content::Report,
            Verdict::Answer | Verdict::Invalid(_) => Content::Answer,
        }
    }
}

impl Prompt {
    /// The parts before the last, which other requests share.
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// A decoded item of the store.
#[derive(Debug)]
pub enum Record {
    /// A revision of the settings.
    Settings(Settings),
    /// A revision of the settings that is invalid; the text says why.
    InvalidSettings(String),
    /// A change of a backend server.
    Server(Change),
    /// A failure domain whose servers get no new requests, or that is in use again.
    Evacuation {
        /// Name of the failure domain.
        domain: String,
        /// Whether it is evacuated.
        in_force: bool,
    },
}

/// The store's reply to a watch.
#[derive(Debug)]
pub enum WatchReply {
    /// Changes in order; empty if the wait ended without one.
    Changes(Versioned<Vec<Item>>),
    /// The store no longer has the history after that position; all items must be listed again.
    HistoryLost,
    /// The store came back from a copy and is in this era now, so the position means nothing; all items must be listed again.
    Restored(u64),
}

/// Why the store, or a peer asked in its place, gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// No answer came.
    #[error(
        "the store gives no answer ({0}); the settings and servers read last are used until they are too old"
    )]
    Unavailable(String),
    /// The VM of a peer refused the connection, so no process listens there.
    #[error("peer {0} refused the connection; it may still be starting")]
    ConnectionRefused(SocketAddr),
    /// A peer answered, but can't reach the store itself.
    #[error("peer {0} can't reach the store; other peers or the store itself are tried next")]
    LostByPeer(SocketAddr),
    /// The store rejected the call with this status.
    #[error(
        "the store rejected the call (status {0}); the settings and servers read last are used until they are too old"
    )]
    Rejected(u16),
    /// The list of all items is longer than this many bytes, the limit of the call.
    #[error("the list is longer than {0} bytes; it is requested from peers that have it")]
    ListTooLong(usize),
    /// The store came back from a copy while it was read.
    #[error(
        "the store came back from a copy while it was read (era {to} after {from}); it is read again"
    )]
    Restored {
        /// Era in which the reading began.
        from: u64,
        /// Era of a later answer.
        to: u64,
    },
    /// The answer is of an era of the store that has ended.
    #[error(
        "an answer is of the store's era {era}, which has ended with era {known}; other sources are tried next"
    )]
    Outdated {
        /// Era of the answer.
        era: u64,
        /// Era that this node knows.
        known: u64,
    },
    /// The answer can't be decoded.
    #[error("the store's answer can't be decoded ({0}); check what is published there")]
    Malformed(String),
}

/// The store in which settings and backend servers are published.
#[allow(async_fn_in_trait)]
pub trait Store {
    /// Lists all items: the settings in force, if any were published, the evacuated failure domains, and the
    /// backend servers. Fails
    /// with [`StoreError::ListTooLong`] as soon as the answer exceeds `max_bytes`, and if an answer takes longer than
    /// `patience`.
    async fn list(
        &self,
        max_bytes: Option<usize>,
        patience: Duration,
    ) -> Result<Versioned<Vec<Item>>, StoreError>;

    /// Waits for changes after a position; returns with the first ones, or empty after `wait`. Fails with
    /// [`StoreError::Outdated`] if the answer is of an earlier era than the position.
    async fn watch(&self, after: Position, wait: Duration) -> Result<WatchReply, StoreError>;

    /// The store's newest position. As the store's reads are linearizable, it is at least that of each change which was made
    /// before the call.
    async fn position(&self) -> Result<Position, StoreError>;

    /// Whether the writer of the item with this key renews it as long as it holds, and the store removes it otherwise.
    fn is_renewed(&self, key: &str) -> bool;

    /// Whether an item can be the entry of a server that leaves; cheaper than decoding it.
    fn may_leave(&self, item: &Item) -> bool;

    /// Decodes an item; none if it is neither settings nor a server nor an evacuation.
    fn decode(&self, item: &Item) -> Option<Record>;
}

/// An adapter for one platform.
pub trait Adapter: 'static {
    /// Protocol of the callers.
    type Callers: CallerProtocol;
    /// Protocol of the backend servers.
    type Servers: ServerProtocol + Clone + 'static;
    /// Client of the store.
    type Store: Store;
}

/// The three implementations of an adapter.
pub struct Protocols<A: Adapter> {
    /// Protocol of the callers.
    pub callers: A::Callers,
    /// Protocol of the backend servers.
    pub servers: A::Servers,
    /// Client of the store.
    pub store: A::Store,
}
