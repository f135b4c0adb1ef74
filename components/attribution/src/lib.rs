//! Decides whether a response on a connection belongs to the request that was sent last.
//!
//! HTTP/1.1 assigns responses to requests by their order only. A faulty server may send a response once more, late, where the
//! next one is due. An id in it names a request, but a request may be sent more than once, and each sending has the same id.
//! If such a copy were taken for the response to a later sending, a refusal would say "not run" of a request that runs.
//!
//! So a connection remembers what a copy could be of ([`History`]). It isn't used for a request whose response couldn't be
//! distinguished from one that it has carried already, and only a response that no copy can equal is [`Attributed`].
//!
//! The crate does no I/O and reads no clock.

use xxhash_rust::xxh3::xxh3_64;

/// Requests that a connection remembers. One that has carried more of them isn't used again.
const MAX_UNSETTLED: usize = 16;

derives::value! {
    /// A request, by the hash of its id. Two requests with the same hash merely don't share a connection.
    pub struct Tag(u64);

    /// What is sent on a connection.
    pub enum Message {
        /// A request with an id, which responses repeat.
        Request(Tag),
        /// A question to the server about itself. It has no id, and neither has its response.
        Question,
    }

    /// Which request a response names.
    pub enum Naming {
        /// The one that was sent last.
        Own,
        /// Another one.
        Other,
        /// None.
        Missing,
    }

    /// What a response says of its request.
    pub enum Content {
        /// The server ran it.
        Answer,
        /// Nothing. It may be the response to a question.
        Report,
        /// The server didn't run it.
        Refusal,
    }

    /// What a connection has carried once a response was read to its end.
    pub enum Outcome {
        /// The answer, which names its request. The request isn't sent again.
        Answered,
        /// An answer that names its request, which may be sent again.
        Failed,
        /// A refusal.
        Refused(Naming),
        /// The response to a question.
        Reported,
    }
}

impl Tag {
    /// The tag of a request with this id.
    ///
    /// ```
    /// assert_eq!(attribution::Tag::new("9c41"), attribution::Tag::new("9c41"));
    /// ```
    pub fn new(id: &str) -> Self {
        Tag(xxh3_64(id.as_bytes()))
    }
}

/// Proof that a response belongs to the last sending on its connection, and not to an earlier one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attributed(());

/// What a connection that is idle has carried.
///
/// ```
/// use attribution::{Content, History, Message, Naming, Outcome, Tag};
///
/// let charge = Message::Request(Tag::new("9c41"));
/// let sent = History::default().send(charge);
/// assert!(sent.attribute(Naming::Own, Content::Refusal).is_some());
/// let history = sent.settle(Outcome::Refused(Naming::Own)).unwrap();
/// assert!(!history.admits(charge), "a copy of the refusal may still come");
/// assert!(history.admits(Message::Request(Tag::new("07aa"))));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// Requests that it has carried and that may be sent again.
    unsettled: Vec<Tag>,
    /// It has carried a refusal.
    refused: bool,
    /// It has carried the response to a question.
    questioned: bool,
    carried: u32,
}

impl History {
    /// Number of messages that it has carried.
    pub fn carried(&self) -> u32 {
        self.carried
    }

    /// Whether the response to `message` can be distinguished from a copy of each response that the connection has carried.
    pub fn admits(&self, message: Message) -> bool {
        match message {
            Message::Request(tag) => !self.unsettled.contains(&tag),
            Message::Question => !self.questioned && !self.refused,
        }
    }

    /// Sends a message. It may be one that the history doesn't admit; its response is never attributed then.
    pub fn send(self, message: Message) -> Sent {
        let admitted = self.admits(message);
        Sent { history: self, message, admitted }
    }
}

/// What a connection has carried on which a response is due.
#[derive(Clone, Debug, PartialEq)]
pub struct Sent {
    history: History,
    message: Message,
    admitted: bool,
}

impl Sent {
    /// Proof that a response belongs to the message that was sent last; none if it may be a copy of an earlier one, in which
    /// case the response that is due may follow.
    pub fn attribute(&self, naming: Naming, content: Content) -> Option<Attributed> {
        let is_own = match (self.message, naming, content) {
            (_, Naming::Other, _) | (Message::Question, Naming::Own, _) => false,
            (Message::Request(_), Naming::Own, _) => true,
            (Message::Request(_), Naming::Missing, Content::Answer) => true,
            // A connection with a refusal without an id isn't used again, so its server names the requests that it refuses.
            (Message::Request(_), Naming::Missing, Content::Refusal) => !self.history.refused,
            (Message::Request(_), Naming::Missing, Content::Report) => !self.history.questioned,
            (Message::Question, Naming::Missing, Content::Answer) => false,
            (Message::Question, Naming::Missing, _) => true,
        };
        (is_own && self.admitted).then_some(Attributed(()))
    }

    /// Ends the exchange; none if the connection can't be used again, because copies of what it has carried couldn't be
    /// distinguished from other responses.
    pub fn settle(self, outcome: Outcome) -> Option<History> {
        let Sent { mut history, message, .. } = self;
        history.carried = history.carried.saturating_add(1);
        match (message, outcome) {
            (Message::Request(_), Outcome::Answered) => return Some(history),
            (Message::Question, Outcome::Reported) => {
                history.questioned = true;
                return Some(history);
            }
            (Message::Request(_), Outcome::Failed) => {}
            (Message::Request(_), Outcome::Refused(Naming::Own)) => history.refused = true,
            _ => return None,
        }
        let Message::Request(tag) = message else { return None };
        if !history.unsettled.contains(&tag) {
            history.unsettled.push(tag);
        }
        (history.unsettled.len() < MAX_UNSETTLED).then_some(history)
    }
}
