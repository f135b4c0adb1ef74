//! Which engine gets a request, where it is known how fast engines read.
//!
//! Load patterns: prompts that share a long prefix, which an engine that has prefilled it once needn't
//! prefill again; steady streams beside long prompts; one session or caller that is far above the rest.
//! Without this, recomputed prefill takes most of the engines' time.
//!
//! Each session has a preferred engine in its class's isolation group, by rendezvous hashing, so that all
//! nodes send it there without a message; once it is known where its prefix is cached, it goes there. A
//! request leaves such an engine only once it would be late there; what that costs is counted in seconds of
//! engine time.

use std::time::{Duration, Instant};

use crate::isolation::Group;
use crate::mechanism::Mechanism;
use crate::pending::{Expected, Pending};
use crate::pick::mix64;
use crate::pool::Member;
use crate::prefix::{Copies, Cost};
use crate::scheduler::Scheduler;
use crate::server;
use crate::slots::Unreported;

/// Part of the first-token target that a request may wait at its preferred engine.
pub(crate) const EASE: f64 = 0.5;
/// The same for one whose prefix takes longer to prefill anew than the way to any engine.
const STAYS: f64 = 1.1;
/// Cost of a second of lateness beyond that, in seconds of engine time.
const LATE: f64 = 1.0;
/// Seconds that an engine of another region must be better by: the way there and back, and the
/// bytes that cross a link paid by volume.
const FAR: f64 = 0.06;
/// Seconds that an engine of the long prompts must be better by for a steady stream: about the
/// pause that one prompt makes.
const STUTTERS: f64 = 0.15;
/// Times its own reading that a long prompt costs at an engine of the steady streams: each of some
/// dozens stutters.
const DISTURBS: f64 = 30.0;
/// A prompt that is read within so many seconds makes no pause that steady streams notice: it is a
/// fourth of what they bear.
const UNNOTICED: f64 = 0.06;
const UNNOTICED_COST: f64 = 4.0;
/// Seconds that another engine than the home must be better by where the prompt's beginning is short: less
/// isn't noticed, and each engine that reads it anew takes some of its time.
const STRAYS: f64 = 0.02;
/// Seconds that a request is worth which an engine fails: about what it takes to serve two anew.
const FAILS: f64 = 1.0;
/// Seconds that each request which this node has at an engine counts for: what it slows the others
/// by over its life.
const CROWD: f64 = 0.003;
/// Requests that an engine serves at once without slowing down much, by which the time of a stream
/// is divided among those beside it; and the part of an engine's places that may be taken on average,
/// so that a wave finds some free.
const BATCH: f64 = 48.0;
const TAKEN: f64 = 0.6;
/// Part of what an engine has still to read that counts against it before anyone is late there: it holds
/// up the tokens of all its streams, and what comes next.
const BUSY: f64 = 0.1;

/// What is the same for a request at all engines.
#[derive(Clone, Copy, Debug)]
struct Context<'a> {
    group: Option<Group>,
    copies: &'a Copies,
    unreported: Unreported,
}

/// A choice, and what it costs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Chosen {
    pub(crate) server: ids::Server,
    /// Seconds that the engine reads for it.
    pub(crate) reading: f64,
    /// Seconds until it begins to.
    backlog: f64,
    /// Seconds by which a request waits there for longer than is usual.
    overdue: f64,
    home: bool,
    /// The engine from which it takes over the beginning of the prompt.
    fetch: Option<ids::Server>,
    cost: f64,
}

impl Scheduler {
    /// Whether it is known how fast the servers of a request read.
    pub(crate) fn prefill_rates_known(&self, pending: &Pending) -> bool {
        let servers = &self.pools[pending.pool].servers;
        self.disabled.lacks(Mechanism::PrefillCost)
            && servers.iter().any(|key| self.servers[*key].terms.prefill_rate.is_some())
    }

    /// The engine for a request; none if none may take it now. The second part tells whether any had
    /// a place.
    pub(crate) fn select_engine(&self, pending: &Pending, now: Instant) -> (Option<Chosen>, bool) {
        let pool = &self.pools[pending.pool];
        let grouped = self.disabled.lacks(Mechanism::IsolationGroups);
        let group = pool.isolation.class_group(self.pause(pending)).filter(|_| grouped);
        let homes = self.homes(pending, group, now);
        let copies = self.copies(pending, homes, now);
        let unreported = self.unreported(pending, group, now);
        let context = Context { group, copies: &copies, unreported };
        let all_out = pool.members.iter().all(|member| self.is_excluded(member.server, now));
        let usable = pool.members.iter().filter(|member| {
            (all_out || !self.is_excluded(member.server, now)) && self.usable(pending, member, now)
        });
        let usable: Vec<_> = usable.collect();
        let free = !usable.is_empty();
        let places = |member: &Member| self.free(pending, &self.servers[member.server], now);
        let drawn = usable.iter().map(|member| (*member, places(member)));
        let drawn = self.drawn(pending, drawn, homes);
        let mut best: Option<Chosen> = None;
        // A permit soon ends, so its engine is looked at in any case.
        let looked = |member: &&&Member| {
            drawn.contains(&member.server) || self.servers[member.server].permits.is_some()
        };
        for member in usable.iter().filter(looked) {
            let Some(chosen) = self.cost(pending, member, context, now) else { continue };
            if best.is_none_or(|best| chosen.cost < best.cost) {
                best = Some(chosen);
            }
        }
        (best, free)
    }

    /// Longest time between tokens that the callers of a request's class bear.
    fn pause(&self, pending: &Pending) -> Duration {
        let class = self.classes.get(pending.request.class);
        class.map(|class| class.token_interval).unwrap_or_default()
    }

    /// Whether an engine that isn't left out may take a request now.
    fn usable(&self, pending: &Pending, member: &Member, now: Instant) -> bool {
        let known = &self.servers[member.server];
        let avoided =
            pending.avoid == Some(member.server) && self.pools[pending.pool].members.len() > 1;
        let room = known.has_free_slot(self.disabled) && known.has_permit(now);
        room && !known.leaving() && !avoided
    }

    /// The engine that has most likely cached the beginning of a request's prompt: of its group, and
    /// of its region unless reading the beginning anew costs more than the way to another one.
    /// The second is where requests go that leave the first, so that it has mostly cached it as well.
    fn homes(
        &self,
        pending: &Pending,
        group: Option<Group>,
        now: Instant,
    ) -> [Option<ids::Server>; 2] {
        if !self.disabled.lacks(Mechanism::PreferredEngine) {
            return [None; 2];
        }
        let pool = &self.pools[pending.pool];
        let weight = |member: &&Member| {
            let known = &self.servers[member.server];
            let shared = f64::from(pending.request.shared_tokens());
            let dear =
                known.terms.prefill_rate.is_some_and(|reads| shared / f64::from(reads) > FAR);
            let crosses = dear && self.cross_region;
            let near = crosses || known.terms.region == pending.request.region;
            let own = group.is_none_or(|group| {
                pool.isolation.engine_group(member.region, member.rank) == group
            });
            (near, own, mix64(pending.request.prefix ^ known.terms.salt))
        };
        let members = pool.members.iter();
        let able = members.filter(|member| {
            let known = &self.servers[member.server];
            let open = !known.leaving() && known.permits.is_none();
            open && !self.is_excluded(member.server, now)
        });
        let mut homes: [Option<(_, ids::Server)>; 2] = [None, None];
        for member in able {
            let found = Some((weight(&member), member.server));
            if found > homes[0] {
                homes = [found, homes[0]];
            } else if found > homes[1] {
                homes[1] = found;
            }
        }
        homes.map(|home| home.map(|(_, server)| server))
    }

    /// What a request costs at an engine, in seconds of engine time.
    fn cost(
        &self,
        pending: &Pending,
        member: &Member,
        context: Context<'_>,
        now: Instant,
    ) -> Option<Chosen> {
        let Context { group, copies, unreported } = context;
        let known = &self.servers[member.server];
        let request = &pending.request;
        let home = copies.homes[0] == Some(member.server);
        let Cost { reading, cold, copying, shared, fetch } =
            self.prefill(pending, member.server, copies, now)?;
        let overdue = self.held_up(known, pending.priority, now);
        let place = self.place_wait(pending, known, unreported, now);
        let backlog = known.prefill.backlog(pending.priority, now).max(overdue).max(place);
        let target = self.classes.get(request.class).map_or(1.0, |c| c.first_token.as_secs_f64());
        let waited = now.saturating_duration_since(request.arrived).as_secs_f64();
        let first = waited + backlog + reading + cold + known.prefill.least();
        let ease = if shared > FAR { STAYS } else { EASE };
        let late = (first - target * ease).max(0.0) * LATE;
        let far = self.far(pending, known, shared);
        let engines = self.pools[pending.pool].isolation.engine_group(member.region, member.rank);
        let strange = strange(group, engines, reading, backlog);
        let steady = group.is_some_and(|group| group < Group::Bulk);
        let stutter = if steady { backlog } else { 0.0 };
        let crowd = f64::from(known.sent) * CROWD;
        let faulty = self.failure_rate(known, now) * FAILS;
        let strays = if home || shared > FAR { 0.0 } else { STRAYS };
        let busy = known.prefill.ahead(u8::MAX, now) * BUSY;
        let cost =
            reading + copying + busy + late + far + strange + stutter + crowd + faulty + strays;
        let reading = reading + cold;
        Some(Chosen { server: member.server, reading, backlog, overdue, home, fetch, cost })
    }

    /// Seconds that an engine of another region must be better by; `shared` are those in which the beginning
    /// of the prompt is read.
    fn far(&self, pending: &Pending, known: &server::State, shared: f64) -> f64 {
        if known.terms.region == pending.request.region {
            return 0.0;
        }
        // What is kept beyond a link that is full is no nearer than what has to be read.
        if self.cross_region { FAR } else { FAR + shared }
    }

    /// Counts what a request that was sent costs its engine, for the sizes of the groups.
    pub(crate) fn record_engine_send(&mut self, job: ids::Job, chosen: Chosen, now: Instant) {
        let Chosen { server, reading, backlog, overdue, home, fetch, .. } = chosen;
        let pending = &mut self.jobs[job];
        let known = &mut self.servers[server];
        pending.prefill = reading;
        pending.ahead = known.prefill.ahead(pending.priority, now);
        self.prefixes.record_send(&pending.request, server, now);
        pending.expected = Some(Expected {
            preferred: home,
            prefill: Duration::from_secs_f64(reading),
            backlog: Duration::from_secs_f64(backlog),
            ahead: Duration::from_secs_f64(pending.ahead),
            overdue: Duration::from_secs_f64(overdue),
            fetch,
        });
        known.prefill.sent(pending.priority, reading);
        self.send_rate.add(pending.priority, now);
        let tokens = f64::from(pending.tokens);
        let batch = BATCH.min(f64::from(known.slots()) * TAKEN).max(1.0);
        let seconds = reading + tokens * known.token_interval() / batch;
        let pause = self.pause(&self.jobs[job]);
        let pool = self.jobs[job].pool;
        self.pools[pool].isolation.add_work(pause, seconds, now);
    }
}

/// What it costs to send a request of one group to an engine of another, in seconds of engine time.
fn strange(group: Option<Group>, engines: Group, reading: f64, backlog: f64) -> f64 {
    let Some(group) = group else { return 0.0 };
    let distance = group.distance(engines);
    if group <= engines {
        return STUTTERS * distance;
    }
    let disturbs = if backlog + reading < UNNOTICED { UNNOTICED_COST } else { DISTURBS };
    reading * disturbs * distance
}
