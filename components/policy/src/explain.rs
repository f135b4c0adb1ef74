//! Explains to operators where a request would be sent now, and why.
//!
//! A decision creates pools, draws random numbers and records what it expects of an engine. So the request is
//! submitted to a copy of the scheduler, which makes the same decision with the same random numbers and is then dropped.
//! Copying takes some ms with thousands of servers, which only a call by an operator may cost.

use std::time::{Duration, Instant};

use crate::action::Refusal;
use crate::costs::Costs;
use crate::filters::{Opening, Reason};
use crate::isolation::Group;
use crate::mechanism::Mechanism;
use crate::pick;
use crate::pool::Key;
use crate::scheduler::Scheduler;
use crate::terms::Request;

/// Most candidates that are listed. The costs of further ones tell nothing of the choice.
const MAX_CANDIDATES: usize = 16;

derives::data! {
    /// Why a server of a request's pool isn't chosen.
    #[derive(Copy, Eq)]
    pub enum Obstacle {
        /// It may not be sent the request.
        Held(Reason),
        /// Its recent attempts failed, or its reports stopped.
        Ejected,
        /// It was ejected, and one request tests whether it has recovered.
        Testing,
        /// Another server has its address.
        Misdirecting,
        /// All slots that this node may occupy there are occupied.
        Full,
        /// Its last free slots are reserved for streams that only its version can continue.
        Reserved,
    }

    /// A server that is ruled out.
    #[derive(Copy, Eq)]
    pub struct Exclusion {
        /// The server.
        pub server: ids::Server,
        /// Why.
        pub obstacle: Obstacle,
        /// Time left until it no longer applies, if that is known.
        pub lasts: Option<Duration>,
    }

    /// The rate at which an engine prefills.
    #[derive(Copy)]
    pub struct Rate {
        /// Prompt tokens per second.
        pub tokens_per_second: f64,
        /// It was measured; otherwise it is assumed.
        pub measured: bool,
    }

    /// A server that may take the request now.
    #[derive(Copy)]
    pub struct Candidate {
        /// The server.
        pub server: ids::Server,
        /// What the request costs there; none where servers are chosen by load.
        pub costs: Option<Costs>,
        /// Its prefill rate; none if it has no prefill.
        pub rate: Option<Rate>,
        /// Its speed relative to the median of its pool.
        pub speed: f64,
        /// Its isolation group; none if it is in reserve.
        pub group: Option<&'static str>,
        /// Tokens at the start of the prompt that it has cached, as far as known.
        pub cached_tokens: u32,
        /// Seconds of prefill ahead of the request.
        pub backlog: f64,
        /// Estimated number of requests there from all nodes.
        pub load: f64,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Age of its last report; none if there was none.
        pub report_age: Option<Duration>,
        /// Age of what other nodes last reported of it; none if they reported nothing.
        pub peers_age: Option<Duration>,
    }

    /// Where a request would be sent now, and why.
    pub struct Explanation {
        /// Why it would be refused at once, if it would.
        pub refused: Option<Refusal>,
        /// Requests that wait for the same servers.
        pub waiting: usize,
        /// Servers that serve what it asks for in the regions in which it may be served.
        pub servers: usize,
        /// Its isolation group; none if its servers aren't grouped.
        pub group: Option<&'static str>,
        /// The server that would be chosen, then the one that would be chosen without it, and so on.
        pub candidates: Vec<Candidate>,
        /// The servers that are ruled out.
        pub excluded: Vec<Exclusion>,
    }
}

impl Obstacle {
    /// Its name in what operators are shown.
    ///
    /// ```
    /// assert_eq!(policy::Obstacle::Held(policy::Reason::Cold).as_str(), "cold");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Obstacle::Held(reason) => reason.as_str(),
            Obstacle::Ejected => "ejected after failures",
            Obstacle::Testing => "its recovery is being tested",
            Obstacle::Misdirecting => "another server has its address",
            Obstacle::Full => "full",
            Obstacle::Reserved => "reserved for streams of its version",
        }
    }
}

/// Explains where a request would be sent if it were submitted now. Nothing changes in the scheduler. Candidates are
/// drawn at random from those that are about equal, so another request may meet others.
///
/// ```
/// use std::time::Instant;
///
/// let scheduler = policy::Scheduler::with_seed(7);
/// let now = Instant::now();
/// let request = policy::Request {
///     class: ids::Class::default(),
///     workspace: ids::Workspace::default(),
///     model: ids::Model::default(),
///     service: ids::Model::default(),
///     prefix: 1,
///     prompt_tokens: 100,
///     shared: vec![],
///     max_tokens: None,
///     length_hint: None,
///     arrived: now,
///     deadline: now + std::time::Duration::from_secs(1),
///     idempotent: true,
///     region: ids::Region::default(),
///     regions: None,
///     version: None,
///     prior: policy::Prior::default(),
/// };
/// let explanation = policy::explain(&scheduler, &request, now);
/// assert_eq!(explanation.refused, Some(policy::Refusal::NoServer));
/// assert!(explanation.candidates.is_empty());
/// ```
pub fn explain(scheduler: &Scheduler, request: &Request, now: Instant) -> Explanation {
    let mut copy = scheduler.clone();
    let key = copy.get_or_create_pool(request, now);
    let waiting = copy.pools[key].waiting();
    let job = copy.admit(request.clone(), now);
    let refused = copy.refused.iter().find(|(refused, ..)| *refused == job);
    let refused = refused.map(|(_, refusal, _)| *refusal);
    let excluded = copy.exclusions(job, now);
    let tolerance = copy.classes.get(request.class).map(|class| class.token_interval);
    let grouped = copy.switches.is_on(Mechanism::IsolationGroups);
    let group = copy.pools[key].isolation.class_group(tolerance.unwrap_or_default());
    let servers = copy.pools[key].servers.len();
    let candidates = match copy.opening(&copy.jobs[job], now) {
        Opening::Now if copy.prefill_rates_known(&copy.jobs[job]) => copy.engines_by_cost(job, now),
        Opening::Now => copy.servers_by_load(job, now),
        Opening::At(_) | Opening::Never => vec![],
    };
    let candidates = candidates.into_iter().map(|(server, costs)| {
        // The copy counts a listed engine as full.
        let state = &scheduler.servers[server];
        let load = state.load(now, scheduler.switches);
        Candidate { costs, load, ..copy.candidate(key, job, server, now) }
    });
    let candidates = candidates.collect();
    let group = group.filter(|_| grouped).map(group_name);
    Explanation { refused, waiting, servers, group, candidates, excluded }
}

fn group_name(group: Group) -> &'static str {
    match group {
        Group::Strict => "strict",
        Group::Steady => "steady",
        Group::Bulk => "bulk",
    }
}

impl Scheduler {
    /// The engine with the lowest cost, then the one that is chosen if that one is full, and so on.
    fn engines_by_cost(
        &mut self,
        job: ids::Job,
        now: Instant,
    ) -> Vec<(ids::Server, Option<Costs>)> {
        let mut found = vec![];
        while found.len() < MAX_CANDIDATES
            && let (Some(estimate), _) = self.select_engine(&self.jobs[job], now)
        {
            found.push((estimate.server, Some(estimate.costs)));
            let state = &mut self.servers[estimate.server];
            state.sent = state.sent.max(state.node_slots(self.switches));
        }
        found
    }

    /// The server that is picked by load, then the others that may take a request.
    fn servers_by_load(
        &mut self,
        job: ids::Job,
        now: Instant,
    ) -> Vec<(ids::Server, Option<Costs>)> {
        let mut candidates = vec![];
        let pending = &self.jobs[job];
        self.collect_candidates(&mut candidates, pending, false, now);
        let prefix = pending.request.prefix;
        let mut found = vec![];
        while found.len() < MAX_CANDIDATES
            && let Some(server) = pick::pick(&candidates, prefix, &mut self.rng, self.switches)
        {
            candidates.retain(|candidate| candidate.server != server);
            found.push((server, None));
        }
        found
    }

    /// The servers of a request's pool that are ruled out.
    fn exclusions(&self, job: ids::Job, now: Instant) -> Vec<Exclusion> {
        let pending = &self.jobs[job];
        let pool = &self.pools[pending.pool];
        let question = self.choice(pending, now);
        let engines = self.prefill_rates_known(pending);
        let is_out = |server: &ids::Server| {
            !question.takes_work(&self.servers[*server]) || self.is_excluded(*server, now)
        };
        // If all servers are ejected, the fault is more likely at this node, so none is excluded for it.
        let all_out = pool.servers.iter().all(is_out);
        let exclusion = |server: &ids::Server| {
            let state = &self.servers[*server];
            let (mut lasts, server) = (None, *server);
            let obstacle = if let Some(hold) = question.hold(state) {
                lasts = hold.until.map(|until| until.saturating_duration_since(now));
                Obstacle::Held(hold.reason)
            } else if self.is_misdirecting(server, now) {
                Obstacle::Misdirecting
            } else if !all_out && self.is_ejected(server, now) {
                Obstacle::Ejected
            } else if !all_out && self.is_excluded(server, now) {
                Obstacle::Testing
            } else if !state.has_free_slot(self.switches) {
                Obstacle::Full
            } else if engines && !self.leaves_reserve(pool, state, now) {
                Obstacle::Reserved
            } else {
                return None;
            };
            Some(Exclusion { server, obstacle, lasts })
        };
        pool.servers.iter().filter_map(exclusion).collect()
    }

    /// What is known of a server, as far as it matters for a request.
    fn candidate(&self, key: Key, job: ids::Job, server: ids::Server, now: Instant) -> Candidate {
        let (pool, pending, state) = (&self.pools[key], &self.jobs[job], &self.servers[server]);
        let rate = state.prefill_rate().map(|tokens_per_second| {
            let assumed = state.terms.prefill_rate.map(f64::from);
            Rate { tokens_per_second, measured: Some(tokens_per_second) != assumed }
        });
        let group = pool.member(server).and_then(|member| pool.engine_group(member));
        Candidate {
            server,
            costs: None,
            rate,
            speed: pool.speeds.of(state),
            group: group.map(group_name),
            cached_tokens: self.prefixes.cached_tokens(&pending.request.shared, server, now),
            backlog: state.prefill.backlog(pending.priority, now),
            load: 0.0,
            slots: state.slots(),
            report_age: state.report_age(now),
            peers_age: state.prefill.peers_age(now),
        }
    }
}
