//! Groups interchangeable backend servers into pools, with the queues of requests that wait for them.
//!
//! All requests of a pool ask for the same model and may use the same servers, in the same regions. So when the
//! first request of a class gets no slot, no request behind it would, and the dispatcher needn't look further.

use std::ops::Range;
use std::time::Instant;

use slotmap::SecondaryMap;

use crate::active::Active;
use crate::forecast::Throughput;
use crate::isolation::{Capacity, Isolation};
use crate::pick::mix64;
use crate::queue::Lanes;
use crate::server;
use crate::slots::SendRate;
use crate::speed::Speeds;
use crate::terms::Server;

/// Servers of a pool for which its statistics are computed in each tick. Those of a larger pool are computed in
/// every so many ticks, so that the work per second doesn't grow with the servers.
const SERVERS_PER_TICK: usize = 256;
/// Time in seconds in which a node has to send a request to each server of a pool to meet open connections by chance;
/// servers commonly close idle ones within a quarter of it.
const MEETING_SECONDS: f64 = 40.0;

slotmap::new_key_type! {
    /// Key of a pool.
    pub(crate) struct Key;
}

/// The requests of one class that wait for a pool.
#[derive(Clone, Debug)]
pub(crate) struct Queue {
    pub(crate) class: ids::Class,
    pub(crate) tier: u8,
    /// Requests that can still meet their first-token target or whose answer has begun; served first.
    pub(crate) on_time: Lanes,
    /// Requests that will miss it or have missed it.
    pub(crate) late: Lanes,
    pub(crate) throughput: Throughput,
    /// Epoch of the scheduler in which its first request got no slot; it isn't tried again in that epoch. 0 if
    /// it may be tried.
    pub(crate) blocked_epoch: u64,
    /// Highest counter of the lanes served so far.
    pub(crate) last_counter: u64,
}

impl Queue {
    /// The request to serve next.
    pub(crate) fn peek(&self) -> Option<ids::Job> {
        self.on_time.peek().or_else(|| self.late.peek())
    }

    /// Number of requests.
    pub(crate) fn len(&self) -> usize {
        self.on_time.len() + self.late.len()
    }

    /// Sum of the requests' expected tokens.
    pub(crate) fn tokens(&self) -> u64 {
        self.on_time.tokens() + self.late.tokens()
    }

    pub(crate) fn lanes_mut(&mut self, late: bool) -> &mut Lanes {
        if late { &mut self.late } else { &mut self.on_time }
    }
}

/// What the requests of a pool have in common.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Scope {
    pub(crate) model: ids::Model,
    /// Servers that their workspaces may use; empty if they may use all.
    pub(crate) servers: Vec<ids::Server>,
    /// Regions in which they may be served; all if it is `None`.
    pub(crate) regions: Option<Vec<ids::Region>>,
    /// Version that began their streams, if they resume streams.
    pub(crate) version: Option<ids::Version>,
}

impl Scope {
    /// Whether a request may be sent to a server.
    pub(crate) fn contains(&self, key: ids::Server, terms: &Server) -> bool {
        let listed = self.servers.is_empty() || self.servers.contains(&key);
        let same_version = self.version.is_none_or(|version| version == terms.version);
        listed
            && same_version
            && terms.models.contains(&self.model)
            && self.allows_region(terms.region)
    }

    /// Whether a request, or what is cached of it, may be in a region.
    pub(crate) fn allows_region(&self, region: ids::Region) -> bool {
        self.regions.as_ref().is_none_or(|regions| regions.contains(&region))
    }
}

/// A server of a pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member {
    pub(crate) server: ids::Server,
    pub(crate) region: ids::Region,
    /// Hash of its name, the same on all nodes.
    pub(crate) salt: u64,
    /// Its position among the members of its region, in an order by speed and by that hash.
    pub(crate) rank: usize,
    /// Its speed relative to the median of the pool's servers.
    pub(crate) speed: f64,
}

/// A pool of backend servers.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    pub(crate) scope: Scope,
    /// Sorted.
    pub(crate) servers: Vec<ids::Server>,
    /// The servers that take new work, by region and rank. Those that are leaving are among them in the pool of a version,
    /// and if there are no others.
    pub(crate) members: Vec<Member>,
    /// Members of each region, as a range of their indices.
    pub(crate) region_ranges: Vec<(ids::Region, Range<usize>)>,
    /// Number of servers that take new work, by version.
    versions: SecondaryMap<ids::Version, usize>,
    /// Index of each member.
    positions: SecondaryMap<ids::Server, usize>,
    /// How many of the members requests are concentrated on.
    pub(crate) active: Active,
    /// Ticks left until the statistics below are computed again.
    ticks_left: usize,
    pub(crate) isolation: Isolation,
    /// Speeds of its servers.
    pub(crate) speeds: Speeds,
    /// Whether it is one of engines: the prefill rate of most of its servers is known. A single entry with one doesn't
    /// make engines of plain servers.
    pub(crate) has_engines: bool,
    /// Sorted by tier, then class.
    pub(crate) queues: Vec<Queue>,
    /// Rate at which this node chooses among its servers.
    pub(crate) sends: SendRate,
    /// Epoch of the scheduler in which none of its servers had a slot for this node; 0 if there was none.
    pub(crate) full_epoch: u64,
    /// Number of requests that belong to it, waiting or sent.
    pub(crate) jobs: usize,
    /// Tokens a second that this node can expect of it.
    pub(crate) token_rate: f64,
    /// Median time between tokens at its servers, in seconds.
    pub(crate) token_interval: f64,
    /// The same at those of which it is known; none if it is known of none.
    pub(crate) known_token_interval: Option<f64>,
    /// Median time from sending a request to its first token, in seconds.
    pub(crate) first_token_time: f64,
}

impl Pool {
    pub(crate) fn new(scope: Scope) -> Self {
        Pool {
            scope,
            servers: vec![],
            members: vec![],
            region_ranges: vec![],
            versions: SecondaryMap::new(),
            positions: SecondaryMap::new(),
            active: Active::default(),
            ticks_left: 0,
            isolation: Isolation::default(),
            speeds: Speeds::new(std::iter::empty()),
            has_engines: false,
            queues: vec![],
            sends: SendRate::default(),
            full_epoch: 0,
            jobs: 0,
            token_rate: 0.0,
            token_interval: crate::server::DEFAULT_TOKEN_SECONDS,
            known_token_interval: None,
            first_token_time: crate::server::DEFAULT_FIRST_TOKEN_SECONDS,
        }
    }

    /// Updates which servers belong to it.
    pub(crate) fn update_servers(&mut self, all: &SecondaryMap<ids::Server, server::State>) {
        let in_scope = all.iter().filter(|(key, state)| self.scope.contains(*key, &state.terms));
        self.servers = in_scope.map(|(key, _)| key).collect();
        self.servers.sort_unstable();
        let any_open = self.servers.iter().any(|key| !all[*key].leaving());
        let last_resort = self.scope.version.is_some() || !any_open;
        let open = |state: &server::State| !state.leaving() || last_resort;
        let rate = |key: &ids::Server| {
            let state = &all[*key];
            state.measured_rate.or(state.terms.prefill_rate).map(f64::from)
        };
        let is_rated = |key: &&ids::Server| all[**key].terms.prefill_rate.is_some();
        self.has_engines = 2 * self.servers.iter().filter(is_rated).count() > self.servers.len();
        self.speeds = Speeds::new(self.servers.iter().filter_map(rate));
        self.members = rank_members(all, &self.servers, &self.speeds, open);
        self.versions.clear();
        for state in self.servers.iter().map(|key| &all[*key]).filter(|state| !state.leaving()) {
            if let Some(count) = self.versions.entry(state.terms.version) {
                *count.or_default() += 1;
            }
        }
        self.positions.clear();
        self.region_ranges.clear();
        for (index, member) in self.members.iter().enumerate() {
            self.positions.insert(member.server, index);
            match self.region_ranges.last_mut().filter(|(region, _)| *region == member.region) {
                Some((_, range)) => range.end = index + 1,
                None => self.region_ranges.push((member.region, index..index + 1)),
            }
        }
        self.ticks_left = 0;
    }

    /// Number of servers of a version that take new work, and of the version that has most.
    pub(crate) fn version_sizes(&self, version: ids::Version) -> (usize, usize) {
        let most = self.versions.values().copied().max().unwrap_or_default();
        (self.versions.get(version).copied().unwrap_or_default(), most)
    }

    /// Whether the pool's servers include this one.
    pub(crate) fn has_server(&self, server: ids::Server) -> bool {
        self.servers.binary_search(&server).is_ok()
    }

    /// The member that is this server; none if it takes no new work.
    pub(crate) fn member(&self, server: ids::Server) -> Option<&Member> {
        self.positions.get(server).map(|index| &self.members[*index])
    }

    /// The members on which requests are concentrated.
    pub(crate) fn active_members(&self) -> impl Iterator<Item = &Member> {
        let ranges = self.region_ranges.iter().map(|(_, range)| range);
        let active = ranges.map(|range| range.start..range.start + self.active.of(range.len()));
        active.flat_map(|range| &self.members[range])
    }

    /// Whether any member is in reserve.
    pub(crate) fn has_reserve(&self) -> bool {
        let mut sizes = self.region_ranges.iter().map(|(_, range)| range.len());
        sizes.any(|members| self.active.of(members) < members)
    }

    /// Seconds between tokens to expect of an engine that this node knows nothing of. Of thousands of engines it knows
    /// only those few that it has used. Before it has used any, tokens aren't counted: the number of active engines
    /// rises as soon as answers arrive, but falls slowly.
    pub(crate) fn typical_interval(&self) -> f64 {
        if self.has_reserve() {
            self.known_token_interval.unwrap_or_default()
        } else {
            crate::server::DEFAULT_TOKEN_SECONDS
        }
    }

    /// Whether a member is one of those on which requests are concentrated.
    pub(crate) fn is_active(&self, member: &Member) -> bool {
        let range = self.region_ranges.iter().find(|(region, _)| *region == member.region);
        range.is_some_and(|(_, range)| member.rank < self.active.of(range.len()))
    }

    /// Updates how many members are active, and their isolation groups. `prefilling_seconds` is the time between tokens
    /// at an engine of median speed that prefills all the time.
    pub(crate) fn update_groups(&mut self, prefilling_seconds: f64, now: Instant) {
        self.isolation.set_prefilling_seconds(prefilling_seconds);
        self.active.update(self.isolation.work_per_second(now), now);
        let regions = self.region_ranges.iter().map(|(region, range)| {
            let active = range.start..range.start + self.active.of(range.len());
            let speeds = self.members[active].iter().map(|member| member.speed);
            (*region, Capacity::new(speeds, self.speeds.differ))
        });
        self.isolation.update_borders(&regions.collect(), now);
    }

    /// Whether this node sends so few requests that it would hardly meet one of so many servers twice before it closes
    /// the connection. Elsewhere all servers are connected anyway, and requests spread over them.
    pub(crate) fn meets_few_connections(&self, servers: usize, now: Instant) -> bool {
        let rate = self.sends.per_second(now).sum_up_to(u8::MAX);
        rate * MEETING_SECONDS < servers as f64
    }

    /// Counts a tick; returns whether the statistics are to be computed in it.
    pub(crate) fn is_statistics_tick(&mut self) -> bool {
        if let Some(left) = self.ticks_left.checked_sub(1) {
            self.ticks_left = left;
            return false;
        }
        self.ticks_left = self.servers.len() / SERVERS_PER_TICK;
        true
    }

    /// The queue of a class, created if it doesn't exist.
    pub(crate) fn queue_mut(&mut self, tier: u8, class: ids::Class) -> &mut Queue {
        let found =
            self.queues.binary_search_by_key(&(tier, class), |queue| (queue.tier, queue.class));
        let index = found.unwrap_or_else(|index| {
            let (on_time, late, throughput) =
                (Lanes::default(), Lanes::default(), Throughput::default());
            let queue =
                Queue { class, tier, on_time, late, throughput, blocked_epoch: 0, last_counter: 0 };
            self.queues.insert(index, queue);
            index
        });
        &mut self.queues[index]
    }

    /// Number of requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.queues.iter().map(Queue::len).sum()
    }

    /// Time from sending a request to the end of an answer of so many tokens, in seconds.
    pub(crate) fn service_seconds(&self, tokens: u32) -> f64 {
        self.first_token_time + self.token_interval * f64::from(tokens)
    }
}

/// The servers of a pool that may take work, each with its rank within its region.
fn rank_members(
    all: &SecondaryMap<ids::Server, server::State>,
    servers: &[ids::Server],
    speeds: &Speeds,
    is_open: impl Fn(&server::State) -> bool,
) -> Vec<Member> {
    let open = servers.iter().filter(|key| is_open(&all[**key]));
    let mut open: Vec<_> = open.map(|key| (&all[*key], *key)).collect();
    open.sort_by_cached_key(|(state, _)| {
        (state.terms.region, speeds.class(state), mix64(state.terms.salt))
    });
    let mut ranked: Vec<Member> = vec![];
    for (state, server) in open {
        let (region, salt) = (state.terms.region, state.terms.salt);
        let last = ranked.last().filter(|last| last.region == region);
        let rank = last.map_or(0, |last| last.rank + 1);
        ranked.push(Member { server, region, salt, rank, speed: speeds.of(state) });
    }
    ranked
}
