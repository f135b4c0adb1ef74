//! Which engine gets a request, where it is known how fast engines read.
//!
//! Patterns: prompts that share a long beginning, which an engine that has read it once needn't read
//! again; steady streams beside long prompts; one session or caller that is far above the rest.
//! Without this, the reading of what another engine has cached takes most of the engines' time.
//!
//! Each session has a home among the engines of its class's group, found by rendezvous, so that all
//! nodes send it there without a word. A request leaves its home only once it would be late there;
//! what that costs is counted in seconds of engine time.

use std::time::{Duration, Instant};

use crate::apart::Group;
use crate::held::{Expected, Held};
use crate::known::Known;
use crate::mechanism::Mechanism;
use crate::pick::mix;
use crate::pool::Member;
use crate::scheduler::Scheduler;

/// Part of the first-token target that a request may wait before another engine is looked at: the
/// rest covers what can't be seen from here.
const EASE: f64 = 0.5;
/// The same for one whose beginning takes longer to read anew than the way to any engine: it stays
/// until it would be late at its home. In a burst each that leaves costs the engines three times its
/// own reading, and makes others leave.
const STAYS: f64 = 1.1;
/// What a second of lateness beyond that is worth against a second of engine time.
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
/// Seconds that a request is worth which an engine fails: about what it takes to serve two anew.
const FAILS: f64 = 1.0;
/// Seconds that each request which this node has at an engine counts for: what it slows the others
/// by over its life.
const CROWD: f64 = 0.003;
/// Seconds beyond the usual after which an engine that has begun nothing is taken to hang: it reads
/// even the longest prompts of the users in less.
const SILENT: f64 = 0.6;
/// Requests that an engine serves at once without slowing down much, by which the time of a stream
/// is divided among those beside it; and the part of an engine's places that may be taken on average,
/// so that a wave finds some free.
const BATCH: f64 = 48.0;
const TAKEN: f64 = 0.6;

/// An engine takes over the beginning of a prompt only where that takes less than this part of reading it.
const GAINS: f64 = 0.5;
/// Part of what an engine has still to read that counts against it before anyone is late there: it holds
/// up the tokens of all its streams, and what comes next.
const BUSY: f64 = 0.1;
/// Part of its reading that another copy of a beginning costs: it takes memory in which others yield.
const DISPLACES: f64 = 0.25;
/// The least that another copy costs, in seconds.
const LEAVES: f64 = 0.1;

/// Where the beginning of a prompt is kept.
#[derive(Clone, Copy, Debug)]
struct Copies {
    /// Engines that have most likely read it where nothing is known.
    homes: [Option<ids::Server>; 2],
    /// Some engine is known to keep all of it.
    known: bool,
    /// An engine from which another can take it over.
    source: Option<ids::Server>,
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

/// A choice, and what it costs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Chosen {
    pub(crate) server: ids::Server,
    /// Seconds that the engine reads for it.
    pub(crate) reading: f64,
    /// Seconds until it begins to.
    backlog: f64,
    home: bool,
    /// The engine from which it takes over the beginning of the prompt.
    fetch: Option<ids::Server>,
    cost: f64,
}

impl Scheduler {
    /// Whether it is known how fast the servers of a request read.
    pub(crate) fn reads(&self, held: &Held) -> bool {
        let servers = &self.pools[held.pool].servers;
        self.without.has(Mechanism::Reading)
            && servers.iter().any(|key| self.servers[*key].terms.reads.is_some())
    }

    /// The engine for a request; none if none may take it now. The second part tells whether any had
    /// a place.
    pub(crate) fn engine(&self, held: &Held, now: Instant) -> (Option<Chosen>, bool) {
        let pool = &self.pools[held.pool];
        let grouped = self.without.has(Mechanism::Groups);
        let group = pool.apart.group(self.pause(held)).filter(|_| grouped);
        let homes = self.homes(held, group, now);
        let copies = self.copies(held, homes, now);
        let all_out = pool.members.iter().all(|member| self.barred(member.server, now));
        let usable = pool.members.iter().filter(|member| {
            (all_out || !self.barred(member.server, now)) && self.usable(held, member)
        });
        let mut best: Option<Chosen> = None;
        let mut free = false;
        for member in usable {
            free = true;
            let Some(chosen) = self.cost(held, member, group, &copies, now) else { continue };
            if best.is_none_or(|best| chosen.cost < best.cost) {
                best = Some(chosen);
            }
        }
        (best, free)
    }

    /// Longest time between tokens that the callers of a request's class bear.
    fn pause(&self, held: &Held) -> Duration {
        let class = self.classes.get(held.request.class);
        class.map(|class| class.token_interval).unwrap_or_default()
    }

    /// Whether an engine that isn't left out may take a request now.
    fn usable(&self, held: &Held, member: &Member) -> bool {
        let known = &self.servers[member.server];
        let avoided = held.avoid == Some(member.server) && self.pools[held.pool].members.len() > 1;
        known.free(self.without) && !known.leaving() && !avoided
    }

    /// The engine that has most likely cached the beginning of a request's prompt: of its group, and
    /// of its region unless reading the beginning anew costs more than the way to another one.
    /// The second is where requests go that leave the first, so that it has mostly cached it as well.
    fn homes(&self, held: &Held, group: Option<Group>, now: Instant) -> [Option<ids::Server>; 2] {
        if !self.without.has(Mechanism::Homes) {
            return [None; 2];
        }
        let pool = &self.pools[held.pool];
        let weight = |member: &&Member| {
            let known = &self.servers[member.server];
            let shared = f64::from(held.request.shared_tokens());
            let dear = known.terms.reads.is_some_and(|reads| shared / f64::from(reads) > FAR);
            let crosses = dear && self.crosses;
            let near = crosses || known.terms.region == held.request.region;
            let own =
                group.is_none_or(|group| pool.apart.engine(member.region, member.rank) == group);
            (near, own, mix(held.request.prefix ^ known.terms.salt))
        };
        let members = pool.members.iter();
        let able =
            members.filter(|m| !self.servers[m.server].leaving() && !self.barred(m.server, now));
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

    /// Where the beginning of a request's prompt is kept.
    fn copies(&self, held: &Held, homes: [Option<ids::Server>; 2], now: Instant) -> Copies {
        let shared = held.request.shared_tokens();
        let near = |member: &&Member| self.crosses || member.region == held.request.region;
        let mut members = self.pools[held.pool].members.iter().filter(near);
        let known = members.any(|member| self.kept(held, member.server, now) >= shared);
        let sources = self.holdings.sources(&held.request.shared, now);
        let sound = sources.filter(|source| {
            let known = self.servers.get(*source);
            known.is_some_and(|known| !self.falls_silent(known, now) && !self.barred(*source, now))
        });
        let near = |source: &ids::Server| self.servers[*source].terms.region == held.request.region;
        let source = sound.max_by_key(near).filter(|_| self.without.has(Mechanism::Fetching));
        // One that is leaving isn't among the members any more, and still hands over what it keeps.
        Copies { homes, known: known || source.is_some(), source }
    }

    /// Tokens of a prompt's beginning that an engine keeps.
    fn kept(&self, held: &Held, server: ids::Server, now: Instant) -> u32 {
        if !self.without.has(Mechanism::Holdings) {
            return 0;
        }
        self.holdings.kept(&held.request.shared, server, now)
    }

    /// What a request costs at an engine, in seconds of engine time.
    fn cost(
        &self,
        held: &Held,
        member: &Member,
        group: Option<Group>,
        copies: &Copies,
        now: Instant,
    ) -> Option<Chosen> {
        let known = &self.servers[member.server];
        let request = &held.request;
        let reads = f64::from(known.terms.reads?.max(1));
        let home = copies.homes[0] == Some(member.server);
        let shared_tokens = request.shared_tokens();
        let kept = match copies.homes.iter().position(|home| *home == Some(member.server)) {
            Some(0) if !copies.known => shared_tokens,
            Some(1) if !copies.known => shared_tokens / 2,
            _ => self.kept(held, member.server, now),
        };
        let time = |from: u32, to: u32| reading_time(from, to, reads);
        let lacks = time(kept.min(shared_tokens), shared_tokens);
        let fetch = copies.source.filter(|source| *source != member.server && lacks > 0.0);
        let fetch = fetch.and_then(|source| Some((source, self.fetching(held, member.server)?)));
        let fetch = fetch.filter(|(_, seconds)| *seconds < lacks * GAINS);
        let (lacks, copying) = match fetch {
            Some((_, seconds)) => (seconds, (lacks * DISPLACES).max(LEAVES)),
            None => (lacks, 0.0),
        };
        let own = time(shared_tokens, request.prompt_tokens);
        // Where nothing is known of a session, its home may have to read the beginning as well.
        let cold = if home && !copies.known { time(0, shared_tokens) } else { 0.0 };
        let reading = own + lacks;
        let hangs = self.hangs(known, now).max(known.reading.overdue(now));
        let backlog = known.reading.backlog(held.urgency, now).max(hangs);
        let target = self.classes.get(request.class).map_or(1.0, |c| c.first_token.as_secs_f64());
        let waited = now.saturating_duration_since(request.arrived).as_secs_f64();
        let first = waited + backlog + reading + cold + known.reading.least();
        let shared = time(0, shared_tokens);
        let ease = if shared > FAR { STAYS } else { EASE };
        let late = (first - target * ease).max(0.0) * LATE;
        let far = match known.terms.region == request.region {
            true => 0.0,
            false if self.crosses => FAR,
            // What is kept beyond a link that is full is no nearer than what has to be read.
            false => FAR + shared,
        };
        let engines = self.pools[held.pool].apart.engine(member.region, member.rank);
        let strange = match group {
            Some(Group::Steady) if engines == Group::Bulk => STUTTERS,
            Some(Group::Bulk) if engines == Group::Steady => {
                let short = backlog + reading < UNNOTICED;
                reading * if short { UNNOTICED_COST } else { DISTURBS }
            }
            _ => 0.0,
        };
        let stutter = if group == Some(Group::Steady) { backlog } else { 0.0 };
        let crowd = f64::from(known.sent) * CROWD;
        let faulty = self.faults(known, now) * FAILS;
        let busy = known.reading.ahead(u8::MAX, now) * BUSY;
        let cost = reading + copying + busy + late + far + strange + stutter + crowd + faulty;
        let fetch = fetch.map(|(source, _)| source);
        let reading = reading + cold;
        Some(Chosen { server: member.server, reading, backlog, home, fetch, cost })
    }

    /// Seconds in which an engine takes over the beginning of a prompt; none where it can't.
    fn fetching(&self, held: &Held, at: ids::Server) -> Option<f64> {
        let way = self.servers[at].terms.fetch?;
        Some(way.setup.as_secs_f64() + f64::from(held.request.shared_tokens()) / way.tokens)
    }

    /// Seconds by which the request that waits longest for the start of its answer at a server is
    /// beyond what is usual there. One that hangs or falls silent ends no attempt for as long as its
    /// callers wait; all that is sent there meanwhile waits as well.
    pub(crate) fn hangs(&self, known: &Known, now: Instant) -> f64 {
        if !self.without.has(Mechanism::Hanging) {
            return 0.0;
        }
        let waiting = known.jobs.iter().filter_map(|job| self.jobs.get(*job));
        waiting.map(|held| self.overdue_by(held, known, now)).fold(0.0, f64::max)
    }

    /// Seconds by which a request waits longer for the start of its answer than is usual; negative
    /// before that, and none once it has begun.
    fn overdue_by(&self, held: &Held, known: &Known, now: Instant) -> f64 {
        if held.last_token.is_some() {
            return 0.0;
        }
        let target = self.classes.get(held.request.class).map(|class| class.first_token);
        let usual = target.unwrap_or_default().as_secs_f64() * EASE;
        let waited = now.saturating_duration_since(held.sent_at).as_secs_f64();
        waited - usual.max(held.reading + known.reading.least())
    }

    /// Whether an engine seems to hang: someone waits too long there, and it has begun nothing of late. One
    /// that is merely behind still hands over what it keeps.
    fn falls_silent(&self, known: &Known, now: Instant) -> bool {
        let overdue = self.hangs(known, now).max(known.reading.overdue(now));
        let begun = now.checked_sub(Duration::from_secs_f64(SILENT));
        overdue > SILENT && !begun.is_some_and(|then| known.reading.begun_since(then))
    }

    /// Whether an engine hangs, as far as a request tells whose caller goes away: it waits longer than
    /// is usual, and the engine has begun nothing else since it was sent.
    pub(crate) fn hung(&self, held: &Held, server: ids::Server, now: Instant) -> bool {
        let Some(known) = self.servers.get(server) else { return false };
        let reads = known.terms.reads.is_some() && self.without.has(Mechanism::Hanging);
        let silent = !known.reading.begun_since(held.sent_at);
        reads && silent && self.overdue_by(held, known, now) > SILENT
    }

    /// Counts what a request that was sent costs its engine, for the sizes of the groups.
    pub(crate) fn engaged(&mut self, job: ids::Job, chosen: Chosen, now: Instant) {
        let Chosen { server, reading, backlog, home, fetch, .. } = chosen;
        let held = &mut self.jobs[job];
        held.reading = reading;
        let [reading_time, backlog] = [reading, backlog].map(Duration::from_secs_f64);
        self.holdings.sent(&held.request, server, now);
        held.expected = Some(Expected { home, reading: reading_time, backlog, fetch });
        let known = &mut self.servers[server];
        held.ahead = known.reading.ahead(held.urgency, now);
        known.reading.sent(held.urgency, reading);
        let tokens = f64::from(held.tokens);
        let batch = BATCH.min(f64::from(known.slots()) * TAKEN).max(1.0);
        let seconds = reading + tokens * known.interval() / batch;
        let pause = self.pause(&self.jobs[job]);
        let pool = self.jobs[job].pool;
        self.pools[pool].apart.add(pause, seconds, now);
    }
}
