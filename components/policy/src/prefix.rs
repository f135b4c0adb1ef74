//! Where the beginning of a prompt is kept, and what an engine does that lacks it.
//!
//! Pattern: sessions with long beginnings, and engines that are left for others as they are full, turn slow
//! or go away. Without this, each request that leaves its engine has the beginning read anew; on a heavy day
//! that took a fifth of all reading. Another engine takes a beginning over in a few hundredths of the time;
//! without it callers on three sites of eight nodes get 0.013 to 0.019 less of the worth of their requests
//! (mean over days with trouble, paired, standard error 0.004 to 0.007).

use std::time::Instant;

use crate::mechanism::Mechanism;
use crate::pending::Pending;
use crate::pool::Member;
use crate::scheduler::Scheduler;

/// An engine takes over the beginning of a prompt only where that takes less than this part of reading it.
const GAINS: f64 = 0.5;
/// Part of its reading that another copy of a beginning costs: it takes memory in which others yield.
const DISPLACES: f64 = 0.25;
/// The least that another copy costs, in seconds.
const LEAVES: f64 = 0.1;

/// Where the beginning of a prompt is kept.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Copies {
    /// Engines that have most likely read it where nothing is known.
    pub(crate) homes: [Option<ids::Server>; 2],
    /// Some engine within reach that takes new work is known to keep all of it.
    pub(crate) known: bool,
    /// An engine from which another can take it over.
    pub(crate) source: Option<ids::Server>,
}

/// What an engine does before the first token of a request; all times in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cost {
    /// It reads, or takes over, what it is known to lack.
    pub(crate) reading: f64,
    /// It reads the beginning as well if it doesn't keep it, which nobody knows.
    pub(crate) cold: f64,
    /// What another copy of the beginning costs.
    pub(crate) copying: f64,
    /// Reading the whole beginning.
    pub(crate) shared: f64,
    /// The engine from which it takes the beginning over.
    pub(crate) fetch: Option<ids::Server>,
}

/// Tokens before a token at which comparing it with them takes an engine as long as all else for it: 30
/// to 60 thousand at the users' engines.
const ATTENTION: f64 = 40_000.0;

/// Seconds in which an engine that reads so many tokens a second reads a prompt on from one token to
/// another.
fn reading_time(from: u32, to: u32, reads: f64) -> f64 {
    let (from, to) = (f64::from(from), f64::from(to.max(from)));
    (to - from) / reads * (1.0 + (from + to) / 2.0 / ATTENTION)
}

impl Scheduler {
    /// Where the beginning of a request's prompt is kept.
    pub(crate) fn copies(
        &self,
        pending: &Pending,
        homes: [Option<ids::Server>; 2],
        now: Instant,
    ) -> Copies {
        let shared = pending.request.shared_tokens();
        let near = |member: &&Member| self.cross_region || member.region == pending.request.region;
        let mut members = self.pools[pending.pool].members.iter().filter(near);
        let known = members.any(|member| self.kept(pending, member.server, now) >= shared);
        let sources = self.prefixes.sources(&pending.request.shared, now);
        let sound = sources.filter(|source| {
            let known = self.servers.get(*source);
            known
                .is_some_and(|known| self.hands_over(known, now) && !self.is_excluded(*source, now))
        });
        let near =
            |source: &ids::Server| self.servers[*source].terms.region == pending.request.region;
        let source = sound.max_by_key(near).filter(|_| self.disabled.lacks(Mechanism::PrefixFetch));
        Copies { homes, known, source }
    }

    /// Tokens of a prompt's beginning that an engine keeps.
    fn kept(&self, pending: &Pending, server: ids::Server, now: Instant) -> u32 {
        if !self.disabled.lacks(Mechanism::PrefixIndex) {
            return 0;
        }
        self.prefixes.kept(&pending.request.shared, server, now)
    }

    /// What an engine does before the first token of a request; none if it isn't known how fast it reads.
    pub(crate) fn prefill(
        &self,
        pending: &Pending,
        at: ids::Server,
        copies: &Copies,
        now: Instant,
    ) -> Option<Cost> {
        let reads = f64::from(self.servers[at].terms.prefill_rate?.max(1));
        let time = |from: u32, to: u32| reading_time(from, to, reads);
        let (shared, prompt) = (pending.request.shared_tokens(), pending.request.prompt_tokens);
        let place = copies.homes.iter().position(|home| *home == Some(at));
        // The home is where the beginning belongs, so that one copy serves all; it has to come there first.
        let first = place == Some(0) && !copies.known;
        let kept = match place {
            Some(0) if first => 0,
            Some(1) if !copies.known => shared / 2,
            _ => self.kept(pending, at, now),
        };
        let lacks = time(kept.min(shared), shared);
        let source = copies.source.filter(|source| *source != at && lacks > 0.0);
        let fetch = source.and_then(|source| Some((source, self.fetching(pending, at)?)));
        let fetch = fetch.filter(|(_, seconds)| *seconds < lacks * GAINS);
        let (beginning, cold, copying) = match fetch {
            Some((_, seconds)) if first => (seconds, 0.0, 0.0),
            Some((_, seconds)) => (seconds, 0.0, (lacks * DISPLACES).max(LEAVES)),
            None if first => (0.0, lacks, 0.0),
            None => (lacks, 0.0, 0.0),
        };
        Some(Cost {
            reading: time(shared, prompt) + beginning,
            cold,
            copying,
            shared: time(0, shared),
            fetch: fetch.map(|(source, _)| source),
        })
    }

    /// Seconds in which an engine takes over the beginning of a prompt; none where it can't.
    fn fetching(&self, pending: &Pending, at: ids::Server) -> Option<f64> {
        let way = self.servers[at].terms.fetch?;
        Some(
            way.setup.as_secs_f64()
                + f64::from(pending.request.shared_tokens()) / way.tokens_per_second,
        )
    }
}
