//! Decides at one node which calls may run, as the owner of their idempotency keys.

use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use xxhash_rust::xxh3::xxh3_64;

use crate::table::{CallKey, Record, Table};

/// Shortest time between two removals of keys that can't be used any more.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

derives::data! {
    /// Bounds on time that the at-most-once guarantee depends on.
    #[derive(Copy, Eq, Hash)]
    pub struct Bounds {
        /// Time after its issue for which a key can be used.
        pub key_window: Duration,
        /// Largest difference between two clocks.
        pub clock_skew: Duration,
        /// Longest time until a change of the published list shows in every read of it.
        pub list_lag: Duration,
        /// Longest time for which a read of the list is acted on, and longest time between two reads
        /// that are sure to miss no change.
        pub max_read_age: Duration,
    }

    /// A router on the published list. A router that comes back under its name at another address is
    /// another member, so that a paused process and its replacement never count as the same owner.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct Member {
        /// Name.
        pub name: String,
        /// Address of its listener for peers.
        pub address: String,
    }

    /// An owner's decision on a call.
    #[derive(Eq)]
    pub enum Decision {
        /// Run the call. Given once for each key, unless the call is released.
        Run,
        /// The call was let through before.
        Duplicate(Record),
        /// The call may have run elsewhere, or before this process started.
        MayHaveRun,
        /// The key carries no time of issue.
        Undated,
        /// Another member owns the key, or this one can't tell; nothing runs here.
        NotOwner,
        /// The table is full; nothing runs here.
        Full,
    }
}

impl Bounds {
    /// Time after a member became the owner of a key before which the key must not have been issued;
    /// a key issued earlier isn't let through there.
    ///
    /// Others may still act on the previous list: the change shows in every read after one
    /// `list_lag`, and the last read before it is acted on for one `max_read_age`.
    ///
    /// The change may also be reverted. Until that shows in every read, for another `list_lag`, this
    /// member goes on as the owner, while the previous owner never stopped if none of its own reads
    /// fell into the time of the change. Reads at most one `max_read_age` apart see every change that
    /// lasts longer than that plus the lag.
    ///
    /// The clock skew counts twice: the other owner's clock may be ahead, and the caller's clock
    /// ahead of that.
    fn takeover(&self) -> Duration {
        2 * (self.list_lag + self.max_read_age + self.clock_skew)
    }
}

/// The state of one node as the owner of keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Owner {
    own: Member,
    /// Lists and the time each was first seen, oldest first; consecutive ones differ.
    lists: VecDeque<(SystemTime, Vec<Member>)>,
    last_read: Option<SystemTime>,
    /// The latest time that was seen. It keeps a clock that is set back from making keys usable again
    /// that were removed for their age.
    latest: SystemTime,
    last_sweep: SystemTime,
    table: Table,
}

impl Owner {
    /// The state of a node that has just started, has read no list and knows no key.
    pub fn new(own: Member) -> Self {
        let epoch = SystemTime::UNIX_EPOCH;
        let lists = VecDeque::new();
        Owner {
            own,
            lists,
            last_read: None,
            latest: epoch,
            last_sweep: epoch,
            table: Table::default(),
        }
    }

    /// Applies the published list, as returned by a read that began at `asked`.
    ///
    /// Between two reads that are too far apart, the list may have changed and changed back, and
    /// another owner may have let calls through. After such a gap this node counts as a new owner.
    pub fn apply_list(
        &mut self,
        mut list: Vec<Member>,
        bounds: &Bounds,
        asked: SystemTime,
        now: SystemTime,
    ) {
        list.sort_unstable();
        let now = self.monotonic(now);
        if self.last_read.is_some_and(|read| read + bounds.max_read_age < asked) {
            self.lists.clear();
        }
        self.last_read = self.last_read.max(Some(asked));
        if self.lists.back().is_none_or(|(_, last)| *last != list) {
            self.lists.push_back((now, list));
        }
    }

    /// The member that owns `key` by the newest list; none before the first read. Rendezvous hashing
    /// with equal weights: the member with the highest hash, so that a change of the list moves only
    /// the keys of the members that changed.
    ///
    /// ```
    /// use std::time::SystemTime;
    /// let own = idempotency::Member { name: "a".into(), address: "10.0.0.1:1".into() };
    /// let mut owner = idempotency::Owner::new(own.clone());
    /// assert_eq!(owner.owner_of(ids::Request::new()), None);
    /// let second = std::time::Duration::from_secs(1);
    /// let bounds = idempotency::Bounds {
    ///     key_window: 600 * second,
    ///     clock_skew: second,
    ///     list_lag: 10 * second,
    ///     max_read_age: 3 * second,
    /// };
    /// let now = SystemTime::now();
    /// owner.apply_list(vec![own.clone()], &bounds, now, now);
    /// assert_eq!(owner.owner_of(ids::Request::new()), Some(&own));
    /// ```
    pub fn owner_of(&self, key: ids::Request) -> Option<&Member> {
        self.lists.back().and_then(|(_, list)| owner_in(list, key))
    }

    /// Whether `member` is this node.
    pub fn is_self(&self, member: &Member) -> bool {
        *member == self.own
    }

    /// Asks to let a call through. [`Decision::Run`] must be followed by [`Owner::record_outcome`] or
    /// [`Owner::release`].
    ///
    /// A call that was let through may be queued, and its process paused, for any time before it is
    /// sent: its key was issued before any later change of the list, so a later owner refuses it.
    pub fn claim(&mut self, call: &CallKey, bounds: &Bounds, now: SystemTime) -> Decision {
        let now = self.monotonic(now);
        self.sweep(bounds, now);
        let Some(issued) = call.key.issued() else { return Decision::Undated };
        if issued > now + bounds.clock_skew || issued + bounds.key_window < now {
            return Decision::MayHaveRun;
        }
        if let Some(record) = self.table.get(call) {
            return Decision::Duplicate(record.clone());
        }
        match self.owned_since(call.key) {
            Some(since) if self.is_list_fresh(bounds, now) => {
                if issued < since + bounds.takeover() {
                    return Decision::MayHaveRun;
                }
            }
            _ => return Decision::NotOwner,
        }
        if self.table.is_full() {
            return Decision::Full;
        }
        self.table.insert(call.clone(), issued, Record::Running);
        Decision::Run
    }

    /// Records how a call ended that was let through and sent.
    pub fn record_outcome(&mut self, call: &CallKey, record: Record) {
        if let Some(issued) = call.key.issued() {
            self.table.insert(call.clone(), issued, record);
        }
    }

    /// Forgets a call that was let through and of which nothing ran; it may be claimed again.
    pub fn release(&mut self, call: &CallKey) {
        self.table.remove(call);
    }

    /// The records that a node hands over when it leaves, each with the member that owns its key once
    /// this node is off the list. A call that still runs is handed over as one that may have run.
    pub fn handover(&self) -> Vec<(Member, CallKey, Record)> {
        let Some((_, list)) = self.lists.back() else { return vec![] };
        let others: Vec<_> = list.iter().filter(|member| **member != self.own).cloned().collect();
        let records = self.table.iter().filter_map(|(call, record)| {
            let record = match record {
                Record::Running => Record::Unknown,
                other => other.clone(),
            };
            Some((owner_in(&others, call.key)?.clone(), call.clone(), record))
        });
        records.collect()
    }

    /// Adds the record of a call that another owner let through. This can only make this node refuse
    /// more calls.
    pub fn accept_handover(&mut self, call: CallKey, record: Record) {
        let Some(issued) = call.key.issued() else { return };
        if self.table.get(&call).is_none() {
            self.table.insert(call, issued, record);
        }
    }

    /// Number of calls that are remembered.
    pub fn len(&self) -> usize {
        self.table.iter().count()
    }

    /// Whether no call is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The latest time seen so far, `now` included.
    fn monotonic(&mut self, now: SystemTime) -> SystemTime {
        self.latest = self.latest.max(now);
        self.latest
    }

    /// Whether the last read of the list is recent enough to act on.
    fn is_list_fresh(&self, bounds: &Bounds, now: SystemTime) -> bool {
        self.last_read.is_some_and(|read| read + bounds.max_read_age >= now)
    }

    /// Time since which this node has owned `key` without interruption; none if it doesn't own it.
    fn owned_since(&self, key: ids::Request) -> Option<SystemTime> {
        let is_owner = |list: &[Member]| owner_in(list, key) == Some(&self.own);
        let owned = self.lists.iter().rev().take_while(|(_, list)| is_owner(list));
        owned.last().map(|(since, _)| *since)
    }

    /// Removes expired keys, and lists that no longer matter.
    fn sweep(&mut self, bounds: &Bounds, now: SystemTime) {
        if now < self.last_sweep + SWEEP_PERIOD {
            return;
        }
        self.last_sweep = now;
        self.table.remove_expired(bounds.key_window, now);
        // A list that was replaced before any usable key was issued doesn't affect any decision.
        let max_age = bounds.key_window + bounds.takeover();
        while self.lists.get(1).is_some_and(|(since, _)| *since + max_age < now) {
            self.lists.pop_front();
        }
    }
}

/// The member of a list that owns `key`.
fn owner_in(list: &[Member], key: ids::Request) -> Option<&Member> {
    list.iter().max_by_key(|member| {
        let Member { name, address } = member;
        (xxh3_64(format!("{name}\0{address}\0{key}").as_bytes()), *member)
    })
}
