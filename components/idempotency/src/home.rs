use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use xxhash_rust::xxh3::xxh3_64;

use crate::table::{Name, Record, Table};

/// How often the table is swept of keys that can't be used any more.
const SWEEP: Duration = Duration::from_secs(1);

derives::data! {
    /// Bounds that the rules rest on.
    #[derive(Copy, Eq, Hash)]
    pub struct Terms {
        /// How long after its issue a key can be used.
        pub window: Duration,
        /// Most that two clocks differ by.
        pub skew: Duration,
        /// Longest time for a change of the published list to show in every read of it.
        pub lag: Duration,
        /// Longest time that a read of the list is acted on, and longest time between two reads
        /// that miss nothing.
        pub fresh: Duration,
    }

    /// A router on the published list. One that comes back under its name at another address is
    /// another member, so that a paused process and its replacement never are the same home.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct Member {
        /// Name.
        pub name: String,
        /// Address of its peers' listener.
        pub address: String,
    }

    /// What a home says to a call.
    #[derive(Eq)]
    pub enum Answer {
        /// Run it. Said once for each name, unless it is taken back.
        Run,
        /// It was let through before.
        Seen(Record),
        /// It may have run elsewhere, or before this process started.
        MayHaveRun,
        /// The key carries no issue time.
        Undated,
        /// Another member is the home, or this one can't tell; nothing runs here.
        Elsewhere,
        /// The table is full; nothing runs here.
        Full,
    }
}

impl Terms {
    /// A key issued earlier than this after a member became its home isn't let through there.
    ///
    /// Others may still act on the list before: the change shows in every read after one `lag`, and
    /// the last read before it is acted on for one `fresh`. And the change may be taken back: until
    /// that shows in every read, for another `lag`, this member goes on, while the one before it,
    /// if no read of its own fell into the time of the change, never stopped. Reads at most one
    /// `fresh` apart see every change that lasts longer than that and the lag. The clocks count
    /// twice: the other home's may be ahead, and the caller's ahead of that.
    fn takeover(&self) -> Duration {
        2 * (self.lag + self.fresh + self.skew)
    }
}

/// One node's part as the home of keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Home {
    me: Member,
    /// Lists and when each was first seen, oldest first; two that follow each other differ.
    lists: VecDeque<(SystemTime, Vec<Member>)>,
    read: Option<SystemTime>,
    /// The latest time that was seen. A clock that is set back doesn't bring back keys that were
    /// forgotten for their age.
    latest: SystemTime,
    swept: SystemTime,
    table: Table,
}

impl Home {
    /// A home that has just started, has read no list and knows of no key.
    pub fn new(me: Member) -> Self {
        let epoch = SystemTime::UNIX_EPOCH;
        let lists = VecDeque::new();
        Home { me, lists, read: None, latest: epoch, swept: epoch, table: Table::default() }
    }

    /// Takes in the published list as a read gave it that was begun at `asked`.
    ///
    /// Between two reads that are too far apart the list may have changed and changed back, and
    /// another home may have let keys through. So after a gap this node is a new home.
    pub fn listed(
        &mut self,
        mut list: Vec<Member>,
        terms: &Terms,
        asked: SystemTime,
        now: SystemTime,
    ) {
        list.sort_unstable();
        let now = self.time(now);
        if self.read.is_some_and(|read| read + terms.fresh < asked) {
            self.lists.clear();
        }
        self.read = self.read.max(Some(asked));
        if self.lists.back().is_none_or(|(_, last)| *last != list) {
            self.lists.push_back((now, list));
        }
    }

    /// The member that is the home of `key`, by the newest list. Weighted by nothing: the member
    /// with the highest hash, so that a change of the list moves only the keys of what changed.
    ///
    /// ```
    /// use std::time::SystemTime;
    /// let me = idempotency::Member { name: "a".into(), address: "10.0.0.1:1".into() };
    /// let mut home = idempotency::Home::new(me.clone());
    /// assert_eq!(home.owner(ids::Request::new()), None);
    /// let second = std::time::Duration::from_secs(1);
    /// let terms =
    ///     idempotency::Terms { window: 600 * second, skew: second, lag: 10 * second, fresh: 3 * second };
    /// let now = SystemTime::now();
    /// home.listed(vec![me.clone()], &terms, now, now);
    /// assert_eq!(home.owner(ids::Request::new()), Some(&me));
    /// ```
    pub fn owner(&self, key: ids::Request) -> Option<&Member> {
        self.lists.back().and_then(|(_, list)| owner(list, key))
    }

    /// Whether `member` is this node.
    pub fn is_me(&self, member: &Member) -> bool {
        *member == self.me
    }

    /// Asks to let a call through. [`Answer::Run`] must be followed by [`Home::ended`] or
    /// [`Home::take_back`].
    ///
    /// A call that was let through may wait, and its process be paused, for any time before it is
    /// sent: its key was issued before any later change of the list, so a later home refuses it.
    pub fn claim(&mut self, name: &Name, terms: &Terms, now: SystemTime) -> Answer {
        let now = self.time(now);
        self.sweep(terms, now);
        let Some(issued) = name.key.issued() else { return Answer::Undated };
        if issued > now + terms.skew || issued + terms.window < now {
            return Answer::MayHaveRun;
        }
        if let Some(record) = self.table.get(name) {
            return Answer::Seen(record.clone());
        }
        match self.since(name.key) {
            Some(since) if self.fresh(terms, now) => {
                if issued < since + terms.takeover() {
                    return Answer::MayHaveRun;
                }
            }
            _ => return Answer::Elsewhere,
        }
        if self.table.full() {
            return Answer::Full;
        }
        self.table.put(name.clone(), issued, Record::Running);
        Answer::Run
    }

    /// Notes how a call ended that was let through and sent.
    pub fn ended(&mut self, name: &Name, record: Record) {
        if let Some(issued) = name.key.issued() {
            self.table.put(name.clone(), issued, record);
        }
    }

    /// Forgets a call that was let through and of which nothing ran; it may be asked for again.
    pub fn take_back(&mut self, name: &Name) {
        self.table.remove(name);
    }

    /// What a node that leaves hands to the homes after it: for each call the member that is its
    /// home once this one is off the list. A call that still runs goes as one that may have.
    pub fn handover(&self) -> Vec<(Member, Name, Record)> {
        let Some((_, list)) = self.lists.back() else { return vec![] };
        let others: Vec<_> = list.iter().filter(|member| **member != self.me).cloned().collect();
        let records = self.table.iter().filter_map(|(name, record)| {
            let record = match record {
                Record::Running => Record::Unknown,
                other => other.clone(),
            };
            Some((owner(&others, name.key)?.clone(), name.clone(), record))
        });
        records.collect()
    }

    /// Takes in a call that another home let through. This only ever adds refusals.
    pub fn take_over(&mut self, name: Name, record: Record) {
        let Some(issued) = name.key.issued() else { return };
        if self.table.get(&name).is_none() {
            self.table.put(name, issued, record);
        }
    }

    /// Calls remembered.
    pub fn len(&self) -> usize {
        self.table.iter().count()
    }

    /// Whether no call is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn time(&mut self, now: SystemTime) -> SystemTime {
        self.latest = self.latest.max(now);
        self.latest
    }

    fn fresh(&self, terms: &Terms, now: SystemTime) -> bool {
        self.read.is_some_and(|read| read + terms.fresh >= now)
    }

    /// Since when this node has been the home of `key` without a break; none if it isn't.
    fn since(&self, key: ids::Request) -> Option<SystemTime> {
        let mine = |list: &[Member]| owner(list, key) == Some(&self.me);
        let held = self.lists.iter().rev().take_while(|(_, list)| mine(list));
        held.last().map(|(since, _)| *since)
    }

    fn sweep(&mut self, terms: &Terms, now: SystemTime) {
        if now < self.swept + SWEEP {
            return;
        }
        self.swept = now;
        self.table.forget(terms.window, now);
        // A list that was replaced before any usable key was issued decides nothing any more.
        let old = terms.window + terms.takeover();
        while self.lists.get(1).is_some_and(|(since, _)| *since + old < now) {
            self.lists.pop_front();
        }
    }
}

fn owner(list: &[Member], key: ids::Request) -> Option<&Member> {
    list.iter().max_by_key(|member| {
        let Member { name, address } = member;
        (xxh3_64(format!("{name}\0{address}\0{key}").as_bytes()), *member)
    })
}
