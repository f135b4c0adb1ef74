//! Selects the engine for a request, among backend servers whose prefill rates are known.
//!
//! Load patterns: prompts that share a long prefix, which an engine that has prefilled it once needn't
//! prefill again; steady streams beside long prompts; one session or caller with far more requests than the rest.
//! Without this, recomputed prefill takes most of the engines' time.
//!
//! Each session has a preferred engine in its class's isolation group, by rendezvous hashing, so that all
//! nodes send it there without a message; once it is known where its prefix is cached, it goes there. A
//! request leaves such an engine only once it would be late there. Each engine is scored by its cost in
//! seconds of engine time, and the cheapest one is taken.
//!
//! Load pattern: a few requests a second of each node before hundreds of active engines. Sent to the preferred
//! engine of its session, nearly each request opens a connection. So short prompts go on at the engines to which
//! the node is connected, and only long prefixes are worth a connection.

use std::time::{Duration, Instant};

use crate::candidates::Candidates;
use crate::costs::Costs;
use crate::disturbance::Stricter;
use crate::filters::Question;
use crate::isolation::Group;
use crate::mechanism::Mechanism;
use crate::pending::{Expected, Pending};
use crate::pick::mix64;
use crate::pool::{Member, Pool};
use crate::prefilling;
use crate::prefix::{Copies, Cost};
use crate::scheduler::Scheduler;
use crate::server;
use crate::slots::Unreported;

/// Fraction of the first-token target that a request may wait at its preferred engine.
pub(crate) const TARGET_FRACTION: f64 = 0.5;
/// The same for a request whose prefix takes longer to prefill again than a round trip to another
/// region, unless there are engines in reserve, which can spare the time.
const LONG_PREFIX_TARGET_FRACTION: f64 = 1.1;
/// Cost of each second beyond that fraction of the target, in seconds of engine time.
const LATENESS_COST: f64 = 1.0;
/// Cost of an engine in another region, in seconds: the round trip, and the bytes that cross a link
/// paid by volume.
const CROSS_REGION_SECONDS: f64 = 0.06;
/// Cost of sending a stream to an engine of a more tolerant group, in seconds for each group in
/// between: about the pause that one long prompt causes.
const TOLERANT_GROUP_SECONDS: f64 = 0.15;
/// Cost of a prompt at an engine of a less tolerant group, as a multiple of its prefill time: it
/// delays the tokens of all of that engine's streams, some dozens.
const DISTURBANCE_FACTOR: f64 = 30.0;
/// Longest answer in tokens, as limited by its caller, that has few events in which it may pause.
const SHORT_ANSWER_TOKENS: u32 = 256;
/// Factor by which a class with longer answers must tolerate more than the time between tokens beside long prompts: about
/// the spread of that time.
const LONG_ANSWER_FACTOR: f64 = 1.5;
/// A prompt that is prefilled within so many seconds causes no noticeable pause in steady streams: it is a
/// quarter of the pause that they tolerate.
const SHORT_PREFILL_SECONDS: f64 = 0.06;
/// Replaces [`DISTURBANCE_FACTOR`] for such a prompt.
const SHORT_DISTURBANCE_FACTOR: f64 = 4.0;
/// Cost of a stream that is twice as long as most at the border of its group, in seconds.
const BORDER_SECONDS: f64 = 0.1;
/// Bounds of the part by which a stream is longer than most, as far as that affects its engine: hints are often off.
const MIN_LENGTH_EXCESS: f64 = -0.5;
const MAX_LENGTH_EXCESS: f64 = 2.0;
/// Cost of a prompt for each stream that it disturbs, as a multiple of its prefill time.
const STREAM_DISTURBANCE: f64 = 0.3;
/// Cost of an engine other than the preferred one where the shared prefix is short, in seconds: callers
/// don't notice a smaller gain, and each engine that prefills the prefix again spends time on it.
const NON_PREFERRED_SECONDS: f64 = 0.02;
/// Cost of a connection that has to be opened, in seconds: round trips, and what a server spends on it. It outweighs
/// [`NON_PREFERRED_SECONDS`] and a short prefix that is prefilled again, but no long one.
const CONNECTION_SECONDS: f64 = 0.03;
/// Cost of an engine in reserve, in seconds: it is used where a request would wait for about as long, or have about
/// as much prefilled, at an active one.
const RESERVE_SECONDS: f64 = 0.1;
/// Cost of a request that an engine fails, in seconds: about the time to serve two others from the
/// start.
const FAILURE_SECONDS: f64 = 1.0;
/// Cost of each request that this node has at an engine, in seconds: the delay that a request adds to the
/// others there over its life.
const CONCURRENCY_SECONDS: f64 = 0.003;
/// Requests that an engine serves at once without slowing down much. The time of a stream is divided
/// among those that run beside it.
const BATCH_SIZE: f64 = 48.0;
/// Fraction of an engine's slots that may be occupied on average, so that a burst finds free ones. It bounds
/// [`BATCH_SIZE`] at engines with few slots.
const MEAN_OCCUPANCY: f64 = 0.6;
/// Weight of an engine's queued prefill in its cost before any request would be late there: prefill
/// delays the tokens of all its streams and the requests that come next.
const QUEUE_WEIGHT: f64 = 0.1;

/// What a request's costs at all engines have in common.
#[derive(Clone, Copy, Debug)]
struct Context<'a> {
    group: Option<Group>,
    copies: &'a Copies,
    unreported: Unreported,
    /// Priorities of the streams that the request would disturb.
    stricter: Stricter,
    /// Whether an engine to which this node is connected is preferred.
    reuses: bool,
}

/// What a request is expected to cost at an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    pub(crate) server: ids::Server,
    /// Estimated seconds of prefill for the request.
    pub(crate) prefill: f64,
    /// Estimated seconds until that prefill starts.
    backlog: f64,
    /// Seconds that it must expect to wait there because other requests are overdue.
    overdue: f64,
    preferred: bool,
    /// The engine from which it fetches the cached prefix.
    fetch: Option<ids::Server>,
    pub(crate) costs: Costs,
}

impl Scheduler {
    /// Whether the prefill rates of most servers of a request's pool are known, so that its engine is selected by
    /// prefill cost.
    pub(crate) fn prefill_rates_known(&self, pending: &Pending) -> bool {
        self.switches.is_on(Mechanism::PrefillCost) && self.pools[pending.pool].has_engines
    }

    /// The engine for a request; none if none may take it now. The second part tells whether any had
    /// a free slot.
    pub(crate) fn select_engine(
        &self,
        pending: &Pending,
        now: Instant,
    ) -> (Option<Estimate>, bool) {
        let pool = &self.pools[pending.pool];
        let grouped = self.switches.is_on(Mechanism::IsolationGroups);
        let group = pool.isolation.class_group(self.pause_tolerance(pending)).filter(|_| grouped);
        let preferred = self.preferred_engines(pending, group, now);
        let copies = self.prefix_copies(pending, preferred, now);
        let candidates = self.candidates(pool, pending, preferred);
        let unreported = self.unreported_requests(pending, &candidates, group, now);
        let stricter = self.stricter_priorities(pool, group);
        let partial = candidates.members.len() < pool.members.len();
        let mut usable = self.usable_members(pending, candidates, now);
        if usable.is_empty() && partial {
            usable = self.usable_members(pending, Candidates::all(pool), now);
        }
        let free = !usable.is_empty();
        let slots = |member: &Member| self.free_slots(pending, &self.servers[member.server], now);
        let with_slots = usable.iter().map(|member| (*member, slots(member)));
        let sampled = self.sample_engines(pending, with_slots, preferred);
        let reuses = self.reuses_connections(pool, now);
        let context = Context { group, copies: &copies, unreported, stricter, reuses };
        let mut best: Option<Estimate> = None;
        // A permit expires soon, and a connection is closed soon, so their engines are considered in any case.
        let considered = |member: &&&Member| {
            let state = &self.servers[member.server];
            let connected = reuses && state.is_connected(now);
            sampled.contains(&member.server) || state.needs_permit(now) || connected
        };
        for member in usable.iter().filter(considered) {
            let Some(estimate) = self.estimate_cost(pending, member, context, now) else {
                continue;
            };
            if best.is_none_or(|best| estimate.costs.total() < best.costs.total()) {
                best = Some(estimate);
            }
        }
        (best, free)
    }

    /// The candidates that may take a request now. Excluded engines count if all engines are excluded: then the
    /// fault is more likely at this node.
    fn usable_members<'a>(
        &self,
        pending: &Pending,
        candidates: Candidates<'a>,
        now: Instant,
    ) -> Vec<&'a Member> {
        let members = candidates.members;
        let pool = &self.pools[pending.pool];
        let question = self.choice(pending, now);
        let is_out = |member: &Member| {
            let works = question.takes_work(&self.servers[member.server]);
            !works || self.is_excluded(member.server, now)
        };
        let all_excluded =
            members.iter().all(|member| is_out(member)) && pool.members.iter().all(is_out);
        let avoid = pending.avoid.filter(|avoid| {
            let mut others = pool.members.iter().filter(|member| member.server != *avoid);
            others.any(|member| question.takes_work(&self.servers[member.server]))
        });
        let usable = members.into_iter().filter(|member| {
            avoid != Some(member.server)
                && (all_excluded || !self.is_excluded(member.server, now))
                && !self.is_misdirecting(member.server, now)
                && self.is_usable(&question, pool, member, now)
        });
        usable.collect()
    }

    /// Longest time between tokens that the callers of a request's class tolerate.
    /// Beside long prompts each event of a long answer is one more chance of a pause, so long answers count as less tolerant
    /// where the pauses there are measured.
    fn pause_tolerance(&self, pending: &Pending) -> Duration {
        let class = self.classes.get(pending.request.class);
        let tolerance = class.map(|class| class.token_interval).unwrap_or_default();
        let long = pending.request.max_tokens.is_none_or(|most| most > SHORT_ANSWER_TOKENS);
        let measured = self.prefilling_seconds != prefilling::ASSUMED_SECONDS;
        if long && measured { tolerance.div_f64(LONG_ANSWER_FACTOR) } else { tolerance }
    }

    /// Whether an engine that isn't excluded may take a request now.
    fn is_usable(
        &self,
        question: &Question<'_>,
        pool: &Pool,
        member: &Member,
        now: Instant,
    ) -> bool {
        let state = &self.servers[member.server];
        let has_room = state.has_free_slot(self.switches) && self.leaves_reserve(pool, state, now);
        has_room && question.hold(state).is_none()
    }

    /// The two engines that have most likely cached a request's prefix, by rendezvous hashing: of its
    /// isolation group, and of its region unless prefilling the prefix again costs more than reaching
    /// another region. Requests that leave the first engine go to the second, so that it has mostly
    /// cached the prefix as well.
    fn preferred_engines(
        &self,
        pending: &Pending,
        group: Option<Group>,
        now: Instant,
    ) -> [Option<ids::Server>; 2] {
        if !self.switches.is_on(Mechanism::PreferredEngine) {
            return [None; 2];
        }
        let pool = &self.pools[pending.pool];
        let weight = |member: &Member| {
            let may_cross = self.cross_region && self.has_long_prefix(pending, member);
            let in_reach = member.region == pending.request.region || may_cross;
            let engine_group = pool.engine_group(member);
            let in_group = engine_group.is_some_and(|own| group.is_none_or(|group| own == group));
            let hash = mix64(pending.request.prefix ^ member.salt);
            (in_reach, in_group, weighted_hash(hash, member.speed))
        };
        let is_open = |member: &Member| {
            let state = &self.servers[member.server];
            let takes_work = !self.leaves(state) && !self.rests(state, now);
            takes_work && !state.needs_permit(now) && !self.is_excluded(member.server, now)
        };
        let search = |members: &mut dyn Iterator<Item = &Member>| {
            let mut preferred: [Option<(_, ids::Server)>; 2] = [None, None];
            for member in members {
                let found = Some((weight(member), member.server));
                if found <= preferred[1] || !is_open(member) {
                    continue;
                }
                preferred = if found > preferred[0] {
                    [found, preferred[0]]
                } else {
                    [preferred[0], found]
                };
            }
            preferred.map(|found| found.map(|(_, server)| server))
        };
        let found = search(&mut pool.active_members());
        if found.contains(&None) { search(&mut pool.members.iter()) } else { found }
    }

    /// Whether prefilling a request's shared prefix again takes an engine longer than a round trip to another
    /// region.
    fn has_long_prefix(&self, pending: &Pending, member: &Member) -> bool {
        let shared = f64::from(pending.request.shared_tokens());
        let rate = self.servers[member.server].prefill_rate();
        rate.is_some_and(|rate| shared / rate > CROSS_REGION_SECONDS)
    }

    /// What a request is expected to cost at an engine; none if the engine's prefill rate isn't known.
    fn estimate_cost(
        &self,
        pending: &Pending,
        member: &Member,
        context: Context<'_>,
        now: Instant,
    ) -> Option<Estimate> {
        let Context { group, copies, unreported, stricter, reuses } = context;
        let state = &self.servers[member.server];
        let request = &pending.request;
        let preferred = copies.preferred[0] == Some(member.server);
        let Cost { prefill, uncertain_prefill, duplication, whole_prefix, fetch } =
            self.prefill_cost(pending, member.server, copies, now)?;
        let overdue = self.overdue_wait(state, pending.priority, now);
        let slot_wait = self.slot_wait(pending, state, unreported, now);
        let backlog = state.prefill.backlog(pending.priority, now).max(overdue).max(slot_wait);
        let target = self.classes.get(request.class).map_or(1.0, |c| c.first_token.as_secs_f64());
        let waited = now.saturating_duration_since(request.arrived).as_secs_f64();
        let first_token =
            waited + backlog + prefill + uncertain_prefill + state.prefill.base_latency();
        let pool = &self.pools[pending.pool];
        let fraction = if whole_prefix > CROSS_REGION_SECONDS && !pool.has_reserve() {
            LONG_PREFIX_TARGET_FRACTION
        } else {
            TARGET_FRACTION
        };
        let lateness = (first_token - target * fraction).max(0.0) * LATENESS_COST;
        let cross_region = self.cross_region_cost(pending, state, whole_prefix);
        let engine_group = pool.engine_group(member);
        let streams = self.streams_at(state, stricter, now);
        let isolation = isolation_cost(group, engine_group, prefill, backlog)
            .max(prefill * streams * STREAM_DISTURBANCE)
            .max(self.slow_engine_cost(pending, member, group));
        let steady = group.is_some_and(|group| group < Group::Bulk);
        let stutter = if steady { backlog } else { 0.0 };
        let concurrency = f64::from(state.sent) * CONCURRENCY_SECONDS;
        let failures = self.failure_rate(state, now) * FAILURE_SECONDS;
        let not_preferred = if preferred || whole_prefix > CROSS_REGION_SECONDS {
            0.0
        } else {
            NON_PREFERRED_SECONDS
        };
        let connection = if reuses && !state.is_connected(now) { CONNECTION_SECONDS } else { 0.0 };
        let queue = state.prefill.queued_ahead(u8::MAX, now) * QUEUE_WEIGHT;
        let reserve = if engine_group.is_none() { RESERVE_SECONDS } else { 0.0 };
        let costs = Costs {
            prefill,
            duplication,
            queue,
            lateness,
            cross_region,
            isolation,
            border: self.border_cost(pending, member, group),
            reserve,
            stutter,
            concurrency,
            failures,
            connection,
            not_preferred,
        };
        let prefill = prefill + uncertain_prefill;
        Some(Estimate { server: member.server, prefill, backlog, overdue, preferred, fetch, costs })
    }

    /// Whether a node prefers engines to which it is connected: where it hardly meets one of the active ones twice.
    fn reuses_connections(&self, pool: &Pool, now: Instant) -> bool {
        self.switches.is_on(Mechanism::Reuse)
            && pool.has_reserve()
            && pool.meets_few_connections(pool.active_members().count(), now)
    }

    /// Cost of a stream at the border of its group, which engines leave as the group shrinks, or beyond it; negative
    /// at the border for a stream that is shorter than most. So the longest streams run at the engines that
    /// leave last.
    fn border_cost(&self, pending: &Pending, member: &Member, group: Option<Group>) -> f64 {
        let steady = group.filter(|group| *group < Group::Bulk);
        let enabled = self.switches.is_on(Mechanism::LongStreams);
        let (Some(group), Some(hint)) = (steady.filter(|_| enabled), pending.request.length_hint)
        else {
            return 0.0;
        };
        let pool = &self.pools[pending.pool];
        let Some(engine_group) = pool.engine_group(member) else { return 0.0 };
        let relative = f64::from(hint) / f64::from(pending.tokens.max(1));
        let excess = (relative - 1.0).clamp(MIN_LENGTH_EXCESS, MAX_LENGTH_EXCESS);
        if engine_group == group {
            excess * pool.isolation.position(member.region, member.rank) * BORDER_SECONDS
        } else {
            excess.max(0.0) * BORDER_SECONDS
        }
    }

    /// Cost of an engine that is so slow that a stream which tolerates long prompts elsewhere pauses too long beside them.
    fn slow_engine_cost(&self, pending: &Pending, member: &Member, group: Option<Group>) -> f64 {
        let pool = &self.pools[pending.pool];
        let tolerance = self.pause_tolerance(pending);
        let beside_prompts = group == Some(Group::Bulk);
        if beside_prompts && !pool.isolation.tolerates_prefilling(tolerance, member.speed) {
            TOLERANT_GROUP_SECONDS
        } else {
            0.0
        }
    }

    /// Cost of an engine for being in another region, in seconds; `whole_prefix` is the prefill time of the
    /// shared prefix.
    fn cross_region_cost(
        &self,
        pending: &Pending,
        state: &server::State,
        whole_prefix: f64,
    ) -> f64 {
        if state.terms.region == pending.request.region {
            return 0.0;
        }
        // While the link between regions is full, a copy beyond it saves nothing: the cost is as if the prefix
        // had to be prefilled.
        if self.cross_region { CROSS_REGION_SECONDS } else { CROSS_REGION_SECONDS + whole_prefix }
    }

    /// Records that a request is sent to an engine, with what is expected of it; the engine time that it
    /// takes counts for the sizes of the isolation groups.
    pub(crate) fn record_engine_send(&mut self, job: ids::Job, estimate: Estimate, now: Instant) {
        let Estimate { server, prefill, backlog, overdue, preferred, fetch, .. } = estimate;
        let backup = self.choose_backup(job, server, now);
        self.begin_run(job, server, now);
        let pending = &mut self.jobs[job];
        let state = &mut self.servers[server];
        pending.prefill = prefill;
        pending.ahead = state.prefill.queued_ahead(pending.priority, now);
        self.prefixes.record_send(&pending.request, server, now);
        pending.expected = Some(Expected {
            preferred,
            prefill: Duration::from_secs_f64(prefill),
            backlog: Duration::from_secs_f64(backlog),
            ahead: Duration::from_secs_f64(pending.ahead),
            overdue: Duration::from_secs_f64(overdue),
            fetch,
            survival: pending.held.and_then(|held| held.survival),
            horizon: pending.held.and_then(|held| held.horizon),
            backup,
        });
        state.prefill.prompt_sent(pending.priority, prefill);
        self.send_rate.record_send(pending.priority, now);
        let tokens = f64::from(pending.tokens);
        let batch = BATCH_SIZE.min(f64::from(state.slots()) * MEAN_OCCUPANCY).max(1.0);
        let pool = self.jobs[job].pool;
        let interval = state.known_token_interval().unwrap_or(self.pools[pool].typical_interval());
        let seconds = prefill + tokens * interval / batch;
        let tolerance = self.pause_tolerance(&self.jobs[job]);
        let work = seconds * self.relative_speed(&self.pools[pool], server);
        self.record_cost(job, prefill, seconds, work);
        self.pools[pool].isolation.add_work(tolerance, work, now);
    }
}

/// Weight of an engine in rendezvous hashing, so that the one with the highest weight is chosen in proportion to its
/// speed (Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005).
fn weighted_hash(hash: u64, speed: f64) -> u64 {
    if speed == 1.0 {
        return hash;
    }
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    (uniform.powf(1.0 / speed) * u64::MAX as f64) as u64
}

/// Cost of sending a request of one isolation group to an engine of another, in seconds of engine
/// time. An engine in reserve is of none.
fn isolation_cost(group: Option<Group>, engine: Option<Group>, prefill: f64, backlog: f64) -> f64 {
    let (Some(group), Some(engine)) = (group, engine) else { return 0.0 };
    let distance = group.distance(engine);
    if group <= engine {
        return TOLERANT_GROUP_SECONDS * distance;
    }
    let factor = if backlog + prefill < SHORT_PREFILL_SECONDS {
        SHORT_DISTURBANCE_FACTOR
    } else {
        DISTURBANCE_FACTOR
    };
    prefill * factor * distance
}
