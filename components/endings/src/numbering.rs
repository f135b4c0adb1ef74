//! Decides what a gap between the ids of two events of a stream shows.
//!
//! Ids increase, but need not be consecutive: a server may number its events, or the tokens or bytes up to them. Where
//! events are numbered one by one, a gap means that an event is missing. A single stream doesn't show which: 1,
//! 3, 5 is the whole of a stream whose ids rise by two, and what is left of one with five events. So the answers of all
//! servers that run the same software are compared. How ids are given is a matter of the software, so that gaps which
//! belong there show at most servers. Events are lost by single processes.
//!
//! Until something is known of the software, events are taken to be numbered one by one if they begin at 1.

use std::collections::BTreeMap;

/// The usual first id.
const USUAL_FIRST: u64 = 1;
/// Consecutive ids of a server after which its events are known to be numbered one by one. Where streams begin at
/// [`USUAL_FIRST`], one step shows it.
const MIN_CONSECUTIVE: u32 = 8;
/// Streams after which the first id is known.
const MIN_BEGUN: u32 = 16;
/// A server's ids have gaps if there are more than one in so many answers.
const RARE: u32 = 64;
/// Servers of which the ids are counted. They are a sample where there are more.
const MAX_SERVERS: usize = 64;

derives::value! {
    /// What precedes an event.
    pub enum Before {
        /// Nothing: it is the first event of a new stream.
        Nothing,
        /// The event with this id, in the same answer of one server.
        SameAnswer(u64),
        /// The event with this id, which is the last one that the caller has of an earlier answer.
        EarlierAnswer(u64),
    }

    /// What the id of an event shows.
    pub enum Verdict {
        /// No event is missing before it.
        Next,
        /// An event is missing before it.
        Missing,
        /// It doesn't show whether an event is missing before it.
        Unproven,
    }
}

/// What a server's answers have shown.
#[derive(Clone, Copy, Debug, Default)]
struct Shown {
    answers: u32,
    /// Steps from an id to the next one.
    consecutive: u32,
    /// Steps from an id to a later one.
    gaps: u32,
}

impl Shown {
    fn has_gaps(self) -> bool {
        is_common(self.gaps, self.answers)
    }
}

/// How the servers with the same software number the events of their streams, as far as that is known.
///
/// ```
/// use endings::{Before, Numbering, Verdict};
///
/// let mut numbering = Numbering::default();
/// assert_eq!(numbering.judge(7, Before::SameAnswer(1), 2), Verdict::Next);
/// assert_eq!(numbering.judge(7, Before::SameAnswer(1), 3), Verdict::Missing);
/// let mut sparse = Numbering::default();
/// assert_eq!(sparse.judge(7, Before::SameAnswer(10), 20), Verdict::Unproven);
/// ```
#[derive(Debug, Default)]
pub struct Numbering {
    servers: BTreeMap<u32, Shown>,
    /// Lowest id at which a stream began.
    first: Option<u64>,
    /// Streams that began there.
    begun: u32,
    /// Streams that began later.
    begun_later: u32,
}

impl Numbering {
    /// Judges an event with `id` of `server`, and remembers what it shows of the numbering. The id must be greater than
    /// the one before it.
    pub fn judge(&mut self, server: u32, before: Before, id: u64) -> Verdict {
        let verdict = self.verdict(before, id);
        let shown = self.shown(server);
        let count = match before {
            Before::Nothing | Before::EarlierAnswer(_) => &mut shown.answers,
            Before::SameAnswer(last) if follows(last, id) => &mut shown.consecutive,
            Before::SameAnswer(_) => &mut shown.gaps,
        };
        *count = count.saturating_add(1);
        if before == Before::Nothing {
            self.record_begin(id);
        }
        verdict
    }

    fn verdict(&self, before: Before, id: u64) -> Verdict {
        match before {
            Before::SameAnswer(last) | Before::EarlierAnswer(last) if follows(last, id) => {
                Verdict::Next
            }
            Before::Nothing => self.verdict_of_first(id),
            // Callers state such an id if they have no event yet.
            Before::EarlierAnswer(last) if self.first.is_some_and(|first| last < first) => {
                self.verdict_of_first(id)
            }
            Before::SameAnswer(last) | Before::EarlierAnswer(last) if self.is_consecutive(last) => {
                Verdict::Missing
            }
            Before::SameAnswer(_) | Before::EarlierAnswer(_) => Verdict::Unproven,
        }
    }

    /// What the id of the first event of a stream shows.
    fn verdict_of_first(&self, id: u64) -> Verdict {
        let Some(first) = self.first else { return Verdict::Unproven };
        let is_known = self.begun >= MIN_BEGUN && !is_common(self.begun_later, self.begun);
        if id <= first {
            Verdict::Next
        } else if is_known && self.is_consecutive(first) {
            Verdict::Missing
        } else {
            Verdict::Unproven
        }
    }

    /// Whether the event `last` is followed by one whose id is higher by one.
    fn is_consecutive(&self, last: u64) -> bool {
        let is_usual = self.first == Some(USUAL_FIRST) || last == USUAL_FIRST;
        let needed = if is_usual { 1 } else { MIN_CONSECUTIVE };
        let servers = || self.servers.values();
        let with_gaps = servers().filter(|shown| shown.has_gaps()).count();
        let without = servers().filter(|shown| !shown.has_gaps() && shown.consecutive >= needed);
        let without = without.count();
        without >= with_gaps && (without > 0 || is_usual)
    }

    fn record_begin(&mut self, id: u64) {
        match self.first {
            Some(first) if id > first => self.begun_later = self.begun_later.saturating_add(1),
            Some(first) if id == first => self.begun = self.begun.saturating_add(1),
            _ => (self.first, self.begun, self.begun_later) = (Some(id), 1, 0),
        }
    }

    fn shown(&mut self, server: u32) -> &mut Shown {
        if self.servers.len() >= MAX_SERVERS && !self.servers.contains_key(&server) {
            self.servers.pop_first();
        }
        self.servers.entry(server).or_default()
    }
}

/// Whether no id lies between two.
fn follows(last: u64, id: u64) -> bool {
    id.checked_sub(last) == Some(1)
}

/// Whether exceptions are so frequent that they belong to the rule.
fn is_common(exceptions: u32, regular: u32) -> bool {
    exceptions.saturating_mul(RARE) > regular
}
