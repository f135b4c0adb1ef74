//! Locates cached copies of a prompt's prefix, and estimates what an engine that lacks it has to do.
//!
//! Load pattern: sessions with long prefixes, and engines that requests leave as they are full, slow or gone.
//! Without this, each request that leaves its engine has the prefix prefilled again: a fifth of all prefill on
//! a day of heavy load. Fetching a prefix from another engine takes a few hundredths of the time of prefilling
//! it, also where an engine caches only the first parts, which many sessions share. Without fetching, callers at
//! three sites of eight nodes get 0.013 to 0.019 less of the value of their requests (mean over days with failures,
//! paired, standard error 0.004 to 0.007).

use std::time::Instant;

use crate::mechanism::Mechanism;
use crate::pending::Pending;
use crate::pool::Scope;
use crate::scheduler::Scheduler;

/// An engine fetches a prefix only where that takes less than this fraction of prefilling it.
const FETCH_FRACTION: f64 = 0.5;
/// Cost of one more copy of a prefix, as a fraction of its prefill time: it evicts others from the
/// cache.
const DUPLICATION_FRACTION: f64 = 0.25;
/// Engines that are looked at for one that caches the first parts of a prefix.
const MAX_HOLDERS: usize = 16;
/// Least cost of one more copy, in seconds.
const MIN_DUPLICATION_SECONDS: f64 = 0.1;

/// Where the prefix of a prompt is cached.
#[derive(Clone, Debug)]
pub(crate) struct Copies {
    /// Engines that most likely cache it where nothing is known, the most likely first.
    pub(crate) preferred: [Option<ids::Server>; 2],
    /// Whether an engine in reach that takes new work is known to cache all of it.
    pub(crate) known: bool,
    /// Engines from which others of the same version can fetch it, or the start of it; at most one of each version.
    pub(crate) sources: Vec<Source>,
}

/// An engine from which another one can fetch the start of a prompt's prefix.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Source {
    server: ids::Server,
    version: ids::Version,
    /// Tokens at the start of the prompt that it caches.
    tokens: u32,
}

/// What an engine has to do before the first token of a request; all times in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cost {
    /// Prefill, or fetch, of what the engine is known to lack.
    pub(crate) prefill: f64,
    /// Prefill of the prefix at the preferred engine where no node knows whether it is cached there.
    pub(crate) uncertain_prefill: f64,
    /// Cost of one more copy of the prefix, or of what the prompt evicts.
    pub(crate) duplication: f64,
    /// Prefill of the whole prefix.
    pub(crate) whole_prefix: f64,
    /// The engine from which it fetches the prefix.
    pub(crate) fetch: Option<ids::Server>,
}

/// Position of a token at which its attention to the tokens before it takes an engine as long as all other
/// work for it: 30,000 to 60,000 at the users' engines.
const ATTENTION_TOKENS: f64 = 40_000.0;

/// Work of prefilling a prompt from one token to another, as the number of tokens at the start of a prompt that take an
/// engine as long: attention to the tokens before adds to it.
pub(crate) fn prefill_work(from: u32, to: u32) -> f64 {
    let (from, to) = (f64::from(from), f64::from(to.max(from)));
    (to - from) * (1.0 + (from + to) / 2.0 / ATTENTION_TOKENS)
}

impl Scheduler {
    /// Where the prefix of a request's prompt is cached.
    pub(crate) fn prefix_copies(
        &self,
        pending: &Pending,
        preferred: [Option<ids::Server>; 2],
        now: Instant,
    ) -> Copies {
        let shared = pending.request.shared_tokens();
        let in_reach = |server: &ids::Server| {
            let region = self.servers.get(*server).map(|state| state.terms.region);
            self.cross_region || region == Some(pending.request.region)
        };
        let pool = &self.pools[pending.pool];
        let mut holders = self.prefixes.holders(&pending.request.shared).filter(in_reach);
        let known = shared == 0
            || holders.any(|server| {
                pool.member(server).is_some() && self.cached_tokens(pending, server, now) >= shared
            });
        let scope = &self.pools[pending.pool].scope;
        let sources = self.prefixes.fetch_sources(&pending.request.shared, now);
        let usable = sources.filter(|source| self.is_usable_source(scope, *source, now));
        let in_region =
            |source: &ids::Server| self.servers[*source].terms.region == pending.request.region;
        let mut sources: Vec<Source> = vec![];
        for source in usable.map(|server| self.source(server, shared)) {
            match sources.iter_mut().find(|known| known.version == source.version) {
                Some(known) if in_region(&source.server) >= in_region(&known.server) => {
                    *known = source;
                }
                Some(_) => {}
                None => sources.push(source),
            }
        }
        if sources.is_empty() {
            sources.extend(self.partial_source(pending, scope, now));
        }
        if !self.switches.is_on(Mechanism::PrefixFetch) {
            sources.clear();
        }
        Copies { preferred, known, sources }
    }

    /// Whether an engine can hand what it caches to another one for a request of a scope.
    fn is_usable_source(&self, scope: &Scope, source: ids::Server, now: Instant) -> bool {
        let state = self.servers.get(source);
        state.is_some_and(|state| {
            self.can_serve_prefixes(state, now)
                && !self.is_excluded(source, now)
                && !state.terms.evacuated
                && !self.rests(state, now)
                && scope.allows_region(state.terms.region)
        })
    }

    /// An engine of the request's region that caches the first parts of its prefix, as many as possible. Many do
    /// where all sessions share a part, so only some of them are looked at.
    fn partial_source(&self, pending: &Pending, scope: &Scope, now: Instant) -> Option<Source> {
        let shared = &pending.request.shared;
        let lengths = (1..shared.len()).rev();
        let mut sources = lengths.filter_map(|length| {
            let parts = &shared[..length];
            let holders = self.prefixes.holders_from(parts.last()?, pending.jitter);
            let server = holders.take(MAX_HOLDERS).find(|server| {
                self.is_usable_source(scope, *server, now)
                    && self.servers[*server].terms.region == pending.request.region
                    && self.prefixes.has_prefilled(parts, *server, now)
            })?;
            Some(self.source(server, parts.iter().map(|part| part.tokens).sum()))
        });
        sources.next()
    }

    fn source(&self, server: ids::Server, tokens: u32) -> Source {
        Source { server, version: self.servers[server].terms.version, tokens }
    }

    /// Tokens of a prompt's prefix that an engine is known to cache.
    fn cached_tokens(&self, pending: &Pending, server: ids::Server, now: Instant) -> u32 {
        if !self.switches.is_on(Mechanism::PrefixIndex) {
            return 0;
        }
        self.prefixes.cached_tokens(&pending.request.shared, server, now)
    }

    /// The same, with each part weighted by the probability that the engine hasn't evicted it.
    pub(crate) fn expected_cached_tokens(
        &self,
        pending: &Pending,
        server: ids::Server,
        now: Instant,
    ) -> u32 {
        if !self.switches.is_on(Mechanism::PrefixIndex) {
            return 0;
        }
        self.prefixes.expected_cached_tokens(&pending.request.shared, server, now)
    }

    /// What an engine has to do before the first token of a request; none if its prefill rate isn't
    /// known.
    pub(crate) fn prefill_cost(
        &self,
        pending: &Pending,
        server: ids::Server,
        copies: &Copies,
        now: Instant,
    ) -> Option<Cost> {
        let rate = self.servers[server].prefill_rate()?;
        let time = |from: u32, to: u32| prefill_work(from, to) / rate;
        let (shared, prompt) = (pending.request.shared_tokens(), pending.request.prompt_tokens);
        let preference = copies.preferred.iter().position(|engine| *engine == Some(server));
        // The first copy belongs at the preferred engine, where it serves all requests of the session. So its
        // prefill there counts towards the wait, but not towards the engine's cost.
        let first_copy = preference == Some(0) && !copies.known;
        let cached = match preference {
            Some(0) if first_copy => 0,
            Some(1) if !copies.known => shared / 2,
            _ => self.expected_cached_tokens(pending, server, now),
        };
        let missing = time(cached.min(shared), shared);
        let known = self.cached_tokens(pending, server, now);
        // What one version has cached isn't known to be of use to another.
        let version = self.servers[server].terms.version;
        let source = copies.sources.iter().copied().find(|source| {
            source.server != server && source.version == version && source.tokens > known
        });
        let fetch = source.and_then(|source| Some((source, self.fetch_seconds(source, server)?)));
        let fetch = fetch.filter(|(source, seconds)| {
            *seconds < time(cached.min(source.tokens), source.tokens) * FETCH_FRACTION
        });
        let rest = |source: Source| time(source.tokens.max(cached), shared);
        let (prefix, uncertain_prefill, duplication) = match fetch {
            Some((source, seconds)) if first_copy => (seconds, rest(source), 0.0),
            Some((source, seconds)) if source.tokens < shared => (seconds + rest(source), 0.0, 0.0),
            Some((_, seconds)) => {
                (seconds, 0.0, (missing * DUPLICATION_FRACTION).max(MIN_DUPLICATION_SECONDS))
            }
            None if first_copy => (0.0, missing, 0.0),
            None => (missing, 0.0, 0.0),
        };
        let eviction = self.eviction_cost(server, time(cached.min(prompt), prompt));
        Some(Cost {
            prefill: time(shared, prompt) + prefix,
            uncertain_prefill,
            duplication: duplication.max(eviction),
            whole_prefix: time(0, shared),
            fetch: fetch.map(|(source, _)| source.server),
        })
    }

    /// Seconds in which an engine fetches what a source caches of a prompt; none where it can't.
    fn fetch_seconds(&self, source: Source, server: ids::Server) -> Option<f64> {
        let terms = self.servers[server].terms.fetch?;
        Some(terms.setup.as_secs_f64() + f64::from(source.tokens) / terms.tokens_per_second)
    }
}
