//! Index of the prefix caches of engines: which of them caches which parts of prompts, as far as known.
//!
//! Load pattern: sessions with long prefixes that many requests share. An engine that has prefilled one caches
//! it for a while, and another one can fetch it in a fraction of the time that prefilling takes. Without this a
//! request that leaves its preferred engine costs the engines three times its own prefill, and one that stays
//! waits behind all others.
//!
//! A part is cached once an engine has begun to answer for it. One that was only sent there will be, so the
//! next requests follow, but nobody can fetch it yet. A part that wasn't used for a while may be evicted.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::terms::{Cached, Part, Request};

/// Time after its last use for which a part is taken to be cached.
const KEEPS: Duration = Duration::from_secs(10);
/// Time after which a part that is still in use is reported again.
const REPEATED: Duration = Duration::from_secs(5);
/// Time for which a part is contained in each report, as one may be lost.
const REPORTED_FOR: Duration = Duration::from_millis(600);
/// Shortest part that is reported, in tokens.
const WORTH: u32 = 1_500;
/// Parts in the index at most, against a flood of them.
const PARTS: usize = 10_000;

/// A part at an engine.
#[derive(Clone, Copy, Debug)]
struct Entry {
    server: ids::Server,
    /// It was prefilled; else it was only sent there.
    read: bool,
    used: Instant,
    /// When other nodes learnt of it.
    reported: Option<Instant>,
}

/// The parts of prompts that engines cache.
#[derive(Debug, Default)]
pub(crate) struct Index {
    parts: HashMap<u64, Vec<Entry>>,
    updates: VecDeque<(Instant, Cached)>,
    swept: Option<Instant>,
}

impl Index {
    /// A request was sent to an engine, which will cache the parts that it shares with others.
    pub(crate) fn record_send(&mut self, request: &Request, server: ids::Server, now: Instant) {
        self.sweep(now);
        for part in &request.shared {
            self.entry(part.id, server, now).used = now;
        }
    }

    /// An engine has begun to answer a request, so it has read its prompt.
    pub(crate) fn record_prefill(&mut self, request: &Request, server: ids::Server, now: Instant) {
        for part in &request.shared {
            let entry = self.entry(part.id, server, now);
            (entry.read, entry.used) = (true, now);
            let recent = entry.reported.is_some_and(|reported| now < reported + REPEATED);
            if part.tokens >= WORTH && !recent {
                entry.reported = Some(now);
                self.updates.push_back((now, Cached { server, part: part.id }));
            }
        }
        self.drop_old_updates(now);
    }

    /// Another node reported that an engine caches a part.
    pub(crate) fn apply_update(&mut self, cached: Cached, now: Instant) {
        let entry = self.entry(cached.part, cached.server, now);
        (entry.read, entry.used, entry.reported) = (true, now, Some(now));
    }

    /// What other nodes lack.
    pub(crate) fn updates(&mut self, now: Instant) -> Vec<Cached> {
        self.drop_old_updates(now);
        self.updates.iter().map(|(_, holding)| *holding).collect()
    }

    /// Keeps updates from piling up in a node that reports nothing.
    fn drop_old_updates(&mut self, now: Instant) {
        while self.updates.front().is_some_and(|(at, _)| now >= *at + REPORTED_FOR) {
            self.updates.pop_front();
        }
    }

    /// An engine is gone, or has lost all that it kept.
    pub(crate) fn remove_server(&mut self, server: ids::Server) {
        for holders in self.parts.values_mut() {
            holders.retain(|holder| holder.server != server);
        }
    }

    fn entry(&mut self, part: u64, server: ids::Server, now: Instant) -> &mut Entry {
        let holders = self.parts.entry(part).or_default();
        let found = holders.iter().position(|holder| holder.server == server);
        let index = found.unwrap_or_else(|| {
            holders.push(Entry { server, read: false, used: now, reported: None });
            holders.len() - 1
        });
        let holder = &mut holders[index];
        if now >= holder.used + KEEPS {
            *holder = Entry { server, read: false, used: now, reported: None };
        }
        holder
    }

    fn sweep(&mut self, now: Instant) {
        let due = self.swept.is_none_or(|swept| now >= swept + KEEPS);
        if !due && self.parts.len() < PARTS {
            return;
        }
        self.swept = Some(now);
        for holders in self.parts.values_mut() {
            holders.retain(|holder| now < holder.used + KEEPS);
        }
        self.parts.retain(|_, holders| !holders.is_empty());
        if self.parts.len() >= PARTS {
            self.parts.clear();
        }
    }

    fn find(&self, part: u64, server: ids::Server, now: Instant) -> Option<&Entry> {
        let holders = self.parts.get(&part)?;
        let found = holders.iter().find(|holder| holder.server == server);
        found.filter(|holder| now < holder.used + KEEPS)
    }

    /// Tokens at the start of a prompt that an engine keeps, or will once it has read what it was sent.
    pub(crate) fn kept(&self, shared: &[Part], server: ids::Server, now: Instant) -> u32 {
        let kept = shared.iter().take_while(|part| self.find(part.id, server, now).is_some());
        kept.map(|part| part.tokens).sum()
    }

    /// The engines that keep the last part that a request shares with others, or were sent it.
    pub(crate) fn holders<'a>(
        &'a self,
        shared: &'a [Part],
    ) -> impl Iterator<Item = ids::Server> + 'a {
        let last = shared.last().and_then(|part| self.parts.get(&part.id));
        last.into_iter().flatten().map(|holder| holder.server)
    }

    /// The engines that have read the whole of what a request shares with others.
    pub(crate) fn sources<'a>(
        &'a self,
        shared: &'a [Part],
        now: Instant,
    ) -> impl Iterator<Item = ids::Server> + 'a {
        let read = move |part: &Part, server| {
            self.find(part.id, server, now).is_some_and(|holder| holder.read)
        };
        let last = shared.last().and_then(|part| self.parts.get(&part.id));
        let holders = last.into_iter().flatten().map(|holder| holder.server);
        holders.filter(move |server| shared.iter().all(|part| read(part, *server)))
    }
}

#[cfg(test)]
mod tests;
