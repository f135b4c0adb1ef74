//! Indexes the prefix caches of engines: which of them caches which parts of prompts, as far as known.
//!
//! Load pattern: sessions with long prefixes that many requests share. An engine that has prefilled one caches
//! it for a while, and another one can fetch it in a fraction of the time that prefilling takes. Without this a
//! request that leaves its preferred engine costs the engines three times its own prefill, and one that stays
//! waits behind all others.
//!
//! A part is cached once an engine has sent the first token of an answer for it. One that was only sent there
//! will be, so the next requests follow, but no engine can fetch it yet. A part that wasn't used for a while may
//! be evicted: how long engines with little memory hold it, their horizon, is estimated in [`memory`].

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::memory;
use crate::terms::{Cached, Part, Request};

/// Time after its last use for which a part counts as cached where nothing is known of the engine's memory.
const RETENTION: Duration = memory::DEFAULT_HORIZON;
/// Time after which a part that is still in use is reported again.
const REPORT_AGAIN_AFTER: Duration = Duration::from_secs(5);
/// Time for which a part is contained in each report, as one may be lost.
const REPORTED_FOR: Duration = Duration::from_millis(600);
/// Shortest part that is reported, in tokens.
const MIN_REPORTED_TOKENS: u32 = 1_500;
/// Most parts in the index, which bounds its memory.
const MAX_PARTS: usize = 10_000;

/// A part at an engine.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// How often the engine had lost its cache when the entry was added, see [`Index::losses`].
    losses: u32,
    /// Whether it was prefilled; else it was only sent there.
    prefilled: bool,
    used: Instant,
    /// When it was last reported to other nodes, or by one of them.
    reported: Option<Instant>,
}

/// The parts of prompts that engines cache.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    /// By the part's identifier, and by engine in the order in which they were added. Thousands of engines cache
    /// a part that all sessions share.
    parts: HashMap<u64, IndexMap<ids::Server, Entry>>,
    /// How often engines have lost their caches since entries were last dropped.
    losses: HashMap<ids::Server, u32>,
    /// Parts to report, and since when, in that order.
    updates: VecDeque<(Instant, Cached)>,
    swept: Option<Instant>,
    /// Time after its last use for which an engine caches a part, for engines whose memory is crowded.
    horizons: HashMap<ids::Server, Duration>,
}

impl Index {
    /// Records that a request was sent to an engine, which will cache the parts that it shares with
    /// others.
    pub(crate) fn record_send(&mut self, request: &Request, server: ids::Server, now: Instant) {
        self.sweep(now);
        for part in &request.shared {
            self.entry(part.id, server, now).used = now;
        }
    }

    /// Records that an engine has sent the first token for a request, so that it caches the prompt's
    /// parts.
    pub(crate) fn record_prefill(&mut self, request: &Request, server: ids::Server, now: Instant) {
        for part in &request.shared {
            let entry = self.entry(part.id, server, now);
            (entry.prefilled, entry.used) = (true, now);
            let recent = entry.reported.is_some_and(|reported| now < reported + REPORT_AGAIN_AFTER);
            if part.tokens >= MIN_REPORTED_TOKENS && !recent {
                entry.reported = Some(now);
                self.updates.push_back((now, Cached { server, part: part.id }));
            }
        }
        self.drop_old_updates(now);
    }

    /// Records that a request has ended, which held its parts until now. Only at engines that evict parts early.
    pub(crate) fn record_end(&mut self, request: &Request, server: ids::Server, now: Instant) {
        if self.horizon(server).is_none() {
            return;
        }
        for part in &request.shared {
            let entry = self.entry(part.id, server, now);
            (entry.prefilled, entry.used) = (true, now);
        }
    }

    /// Takes in that another node reported a part as cached.
    pub(crate) fn apply_update(&mut self, cached: Cached, now: Instant) {
        self.sweep(now);
        let entry = self.entry(cached.part, cached.server, now);
        (entry.prefilled, entry.used, entry.reported) = (true, now, Some(now));
    }

    /// Parts to report to other nodes.
    pub(crate) fn parts_to_report(&mut self, now: Instant) -> Vec<Cached> {
        self.drop_old_updates(now);
        self.updates.iter().map(|(_, cached)| *cached).collect()
    }

    /// Drops updates that were reported for long enough, also in a node that reports nothing, where they
    /// would pile up.
    fn drop_old_updates(&mut self, now: Instant) {
        while self.updates.front().is_some_and(|(at, _)| now >= *at + REPORTED_FOR) {
            self.updates.pop_front();
        }
    }

    /// Voids all entries of an engine that has lost its cache. They are dropped later: a failure domain of a
    /// thousand engines may lose power at once.
    pub(crate) fn void_server(&mut self, server: ids::Server) {
        *self.losses.entry(server).or_insert(0) += 1;
    }

    /// Sets for how long an engine caches a part after its last use; none if nothing is evicted before the default time.
    pub(crate) fn set_horizon(&mut self, server: ids::Server, horizon: Option<Duration>) {
        match horizon {
            Some(horizon) => self.horizons.insert(server, horizon),
            None => self.horizons.remove(&server),
        };
    }

    pub(crate) fn servers_with_horizons(&self) -> Vec<ids::Server> {
        self.horizons.keys().copied().collect()
    }

    /// The horizon of an engine; none if nothing is evicted there before the default time.
    pub(crate) fn horizon(&self, server: ids::Server) -> Option<Duration> {
        self.horizons.get(&server).copied()
    }

    /// Time after its last use for which a part counts as cached at an engine.
    fn retention(&self, server: ids::Server) -> Duration {
        self.horizon(server).unwrap_or(RETENTION)
    }

    /// How often an engine has lost its cache since entries were last dropped.
    fn losses_of(&self, server: ids::Server) -> u32 {
        self.losses.get(&server).copied().unwrap_or(0)
    }

    /// The entry of a part at an engine, added if there is none that counts.
    fn entry(&mut self, part: u64, server: ids::Server, now: Instant) -> &mut Entry {
        let (losses, retention) = (self.losses_of(server), self.retention(server));
        let new = Entry { losses, prefilled: false, used: now, reported: None };
        let entry = self.parts.entry(part).or_default().entry(server).or_insert(new);
        if now >= entry.used + retention || entry.losses != losses {
            *entry = new;
        }
        entry
    }

    /// Drops old entries, at intervals or if there are too many parts. If dropping those that don't count isn't
    /// enough, drops the least recently used ones.
    fn sweep(&mut self, now: Instant) {
        let due = self.swept.is_none_or(|swept| now >= swept + RETENTION);
        if !due && self.parts.len() < MAX_PARTS {
            return;
        }
        self.swept = Some(now);
        let mut halvings = 0;
        self.drop_unused(halvings, now);
        while self.parts.len() >= MAX_PARTS {
            halvings += 1;
            self.drop_unused(halvings, now);
        }
    }

    /// Drops entries that weren't used for as long as they may be cached, halved several times, and those that are void.
    fn drop_unused(&mut self, halvings: u32, now: Instant) {
        let losses = std::mem::take(&mut self.losses);
        let horizons = &self.horizons;
        let retention = |server: &ids::Server| {
            let age = memory::eviction_age(horizons.get(server).copied());
            Duration::from_nanos(age.as_nanos() as u64 >> halvings)
        };
        let valid = |server: &ids::Server, entry: &mut Entry| {
            let void = entry.losses != losses.get(server).copied().unwrap_or(0);
            now < entry.used + retention(server) && !void
        };
        self.parts.retain(|_, entries| {
            entries.retain(valid);
            entries.values_mut().for_each(|entry| entry.losses = 0);
            !entries.is_empty()
        });
    }

    /// The entry of a part at an engine, if it isn't older than the engine's retention time and the engine hasn't lost
    /// its cache since.
    fn current_entry(&self, part: u64, server: ids::Server, now: Instant) -> Option<&Entry> {
        let entry = self.parts.get(&part)?.get(&server)?;
        let current =
            now < entry.used + self.retention(server) && entry.losses == self.losses_of(server);
        current.then_some(entry)
    }

    /// Tokens at the start of a prompt that an engine caches, or will once it has prefilled what it was
    /// sent.
    pub(crate) fn cached_tokens(&self, shared: &[Part], server: ids::Server, now: Instant) -> u32 {
        let cached =
            shared.iter().take_while(|part| self.current_entry(part.id, server, now).is_some());
        cached.map(|part| part.tokens).sum()
    }

    /// The expected value of [`Index::cached_tokens`], as some of the parts may have been evicted.
    pub(crate) fn expected_cached_tokens(
        &self,
        shared: &[Part],
        server: ids::Server,
        now: Instant,
    ) -> u32 {
        let survivals = self.survivals(shared, server, now);
        let tokens: f64 = survivals.map(|(tokens, survival)| f64::from(tokens) * survival).sum();
        tokens.round() as u32
    }

    /// The tokens of parts at the start of a prompt that an engine may cache, and the probability that it has evicted
    /// neither the part nor one before it.
    pub(crate) fn survivals(
        &self,
        shared: &[Part],
        server: ids::Server,
        now: Instant,
    ) -> impl Iterator<Item = (u32, f64)> {
        let (horizon, losses) = (self.horizon(server), self.losses_of(server));
        let survival = move |part: &Part| {
            let entry = self.parts.get(&part.id)?.get(&server)?;
            let age = now.saturating_duration_since(entry.used);
            (entry.losses == losses).then(|| memory::survival(age, horizon))
        };
        let until_lost = move |least: &mut f64, part: &Part| {
            *least = survival(part)?.min(*least);
            (*least > 0.0).then_some((part.tokens, *least))
        };
        shared.iter().scan(1.0, until_lost)
    }

    /// Tokens at the start of a prompt that an engine has prefilled or used since a time.
    pub(crate) fn surely_cached_tokens(
        &self,
        shared: &[Part],
        server: ids::Server,
        since: Instant,
    ) -> u32 {
        let recent = |part: &&Part| {
            let entry = self.current_entry(part.id, server, since);
            entry.is_some_and(|entry| entry.prefilled && entry.used >= since)
        };
        shared.iter().take_while(recent).map(|part| part.tokens).sum()
    }

    /// The engines that cache the last part that a request shares with others, or were sent it.
    pub(crate) fn holders<'a>(
        &'a self,
        shared: &'a [Part],
    ) -> impl Iterator<Item = ids::Server> + 'a {
        let last = shared.last().and_then(|part| self.parts.get(&part.id));
        last.into_iter().flat_map(|entries| entries.keys().copied())
    }

    /// The engines that cache a part or were sent it, beginning with one chosen by `random`, so that not all
    /// requests meet the same one.
    pub(crate) fn holders_from(
        &self,
        part: &Part,
        random: u64,
    ) -> impl Iterator<Item = ids::Server> {
        let entries = self.parts.get(&part.id);
        let count = entries.map_or(0, IndexMap::len);
        let holder = move |index| entries.and_then(|entries| entries.get_index(index));
        let first = random.checked_rem(count as u64).unwrap_or(0) as usize;
        let indices = (0..count).map(move |index| (first + index) % count);
        indices.filter_map(holder).map(|(server, _)| *server)
    }

    /// Whether an engine has prefilled all of these parts.
    pub(crate) fn has_prefilled(&self, parts: &[Part], server: ids::Server, now: Instant) -> bool {
        let prefilled = |part: &Part| {
            self.current_entry(part.id, server, now).is_some_and(|entry| entry.prefilled)
        };
        parts.iter().all(prefilled)
    }

    /// The engines that have prefilled all parts that a request shares with others, from which another one can
    /// fetch them.
    pub(crate) fn fetch_sources<'a>(
        &'a self,
        shared: &'a [Part],
        now: Instant,
    ) -> impl Iterator<Item = ids::Server> + 'a {
        self.holders(shared).filter(move |server| self.has_prefilled(shared, *server, now))
    }
}

#[cfg(test)]
mod tests;
