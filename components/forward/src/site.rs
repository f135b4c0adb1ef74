//! what a site speaks: the interfaces behind which an adapter translates.
//!
//! The types here hold what the product needs to know, in its own words. An adapter decodes its
//! site's names once into them; nothing else knows those names.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, ResponseHead};
use catalog::{Book, Change, Entry};
pub use policy::Part;
pub use wire::updates::Item;

derives::data! {
    /// What an engine has to read and may generate.
    #[derive(Default)]
    pub struct Prompt {
        /// Its parts in order; the last is the request's or its session's own.
        pub parts: Vec<Part>,
        /// Length of the prompt in tokens.
        pub tokens: u32,
        /// Longest answer in tokens that the caller takes.
        pub answer: Option<u32>,
        /// Length of the answer in tokens, as the caller guesses it: right at the median, often far off.
        pub guess: Option<u32>,
    }

    /// A request as its head tells of it.
    pub struct Call {
        /// The caller's name for this try of it.
        pub id: String,
        /// Host that it names.
        pub host: String,
        /// Path without query.
        pub path: String,
        /// Key of a workspace.
        pub key: Option<String>,
        /// How long the caller waits for the end of the answer.
        pub patience: Duration,
        /// Model that it asks for.
        pub model: Option<String>,
        /// What an engine has to do.
        pub prompt: Prompt,
        /// The caller has the events of the stream up to this one.
        pub after: Option<u64>,
    }

    /// What an attempt adds to what the caller sent.
    pub struct Attempt<'a> {
        /// The server it goes to.
        pub server: &'a Entry,
        /// Time that is left for the whole answer.
        pub left: Duration,
        /// Workspace of the caller.
        pub workspace: Option<&'a str>,
        /// Rank among the requests at an engine; 0 is the most urgent.
        pub urgency: u8,
        /// The stream goes on after this event.
        pub after: Option<u64>,
        /// The server from which this one takes over what it keeps of the prompt.
        pub fetch: Option<&'a Entry>,
    }

    /// What the head of a response says.
    pub enum Verdict {
        /// The server's answer to this attempt, good or bad.
        Answer,
        /// The server says that it ran nothing.
        Declined,
        /// Another server has the address now. Nothing ran.
        Misdirected,
        /// The answer to another request, or a second one to an earlier request. Ours may follow.
        Crossed,
        /// It can't be told whose answer it is, or that it is one.
        Broken(String),
    }

    /// What the head of a response says of how many requests its server takes.
    pub enum Limit {
        /// Nothing: as many as it has places for.
        Unnamed,
        /// Requests a second from all nodes together.
        Rate(f64),
        /// It names a limit that isn't one; the text is what it sent.
        Unreadable(String),
    }

    /// The head of a request can't be used; the text says what to send instead.
    pub struct Malformed(pub String);
}

/// How callers speak.
pub trait Callers {
    /// Reads the head of a request.
    ///
    /// # Errors
    /// When something in it isn't as agreed.
    fn read(&self, head: &RequestHead) -> Result<Call, Malformed>;
}

/// How backend servers speak.
pub trait Servers {
    /// The headers of an attempt: what the caller sent, less what is the router's to say.
    fn outgoing(&self, head: &RequestHead, call: &Call, attempt: &Attempt<'_>) -> HeaderMap;

    /// Judges the head of a response to `call` by `server`.
    fn judge(&self, head: &ResponseHead, call: &Call, server: &Entry) -> Verdict;

    /// How many requests the server takes, as a response says.
    fn limit(&self, head: &ResponseHead) -> Limit;

    /// How long the server keeps the connection of a response without a request, if it says so.
    fn idle(&self, head: &ResponseHead) -> Option<Duration>;
}

derives::data! {
    /// Something that was read, and the position in the store's history at which it was so.
    pub struct Reading<T> {
        /// What was read.
        pub value: T,
        /// Position from which to watch for changes.
        pub at: u64,
    }
}

impl Prompt {
    /// The parts before the last, which other requests share.
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// What an item of the store says.
#[derive(Debug)]
pub enum Event {
    /// A revision of the settings.
    Settings(Book),
    /// A revision that can't be used, and why.
    Unusable(String),
    /// A backend server.
    Server(Change),
}

/// What a watch brought.
#[derive(Debug)]
pub enum Watched {
    /// Changes in order; none if the time passed without one.
    Changes(Reading<Vec<Item>>),
    /// The store has forgotten what happened since; all has to be read again.
    Forgotten,
}

/// Why the store gave no answer that can be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// It gives none.
    #[error(
        "the store gives no answer ({0}); what was read last stays in force while its age allows"
    )]
    Down(String),
    /// The VM of a peer is there, and the peer isn't.
    #[error("nothing listens at {0}; the peer there may only be starting")]
    Refused(SocketAddr),
    /// A peer is there, and has lost the store itself.
    #[error("peer {0} has lost the store; other peers are asked, or the store itself")]
    Lost(SocketAddr),
    /// It turns this node away.
    #[error(
        "the store turns this node away (status {0}); what was read last stays in force while its age allows"
    )]
    TurnedAway(u16),
    /// All items are more than was asked for.
    #[error("the list is longer than {0} bytes; it is left to peers that have it")]
    Long(usize),
    /// It makes no sense.
    #[error("the store's answer can't be read ({0}); check what is published there")]
    Garbled(String),
}

/// Where settings and servers are published.
#[allow(async_fn_in_trait)]
pub trait Store {
    /// All items: the settings in force, if any were published, and the backend servers. Gives up as
    /// soon as an answer is seen to be longer than `most` bytes.
    async fn read(&self, most: Option<usize>) -> Result<Reading<Vec<Item>>, StoreError>;

    /// What changed after a position, as soon as there is a change, or after `wait`.
    async fn watch(&self, after: u64, wait: Duration) -> Result<Watched, StoreError>;

    /// What an item says; none if it is nothing that the product knows.
    fn decode(&self, item: &Item) -> Option<Event>;
}

/// A site: what its callers, its servers and its store speak.
pub trait Site: 'static {
    /// How callers speak.
    type Callers: Callers;
    /// How backend servers speak.
    type Servers: Servers;
    /// Where settings and servers are published.
    type Store: Store;
}

/// The three interfaces of a site.
pub struct Dialects<S: Site> {
    /// How callers speak.
    pub callers: S::Callers,
    /// How backend servers speak.
    pub servers: S::Servers,
    /// Where settings and servers are published.
    pub store: S::Store,
}
