//! Keeps streams whose callers notice short pauses on engines of their own.
//!
//! Load pattern: long prompts beside steady streams. An engine that reads a long prompt makes no tokens
//! meanwhile; while it reads one after the other, every stream on it stutters. Spread evenly, long
//! prompts make a stutter somewhere in nearly each stream. So each pool's engines fall into isolation
//! groups by latency tolerance, and each class has its own group.
//!
//! Load pattern: two steady classes, of which one bears clearly less than the other and the other brings
//! prompts of its own. Several short prompts within one event of a stream stall it as a long one does. So
//! the strictest class has engines of its own, apart from the other steady ones.
//!
//! Which engine is in which group follows from a hash of its name, and the sizes of the groups from the
//! work that all nodes see, so nodes agree but for an engine at the border.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Work counts half after this time: long against the waves of ordinary traffic, short against a
/// burst.
const HALF: Duration = Duration::from_secs(2);
/// Halvings after which nothing is left of work.
const FORGOTTEN: u32 = 10;
/// Seconds between tokens at an engine that reads all the time. Classes that bear less are kept apart from
/// those that bear more.
const STALL: f64 = 0.075;
/// Two steady classes are kept apart where one bears so many times what the other does.
const UNLIKE: f64 = 1.4;
/// Engine time, in seconds, that groups are taken to have had before anything is known, and that fades
/// like real work. Without it the first seconds of a node send long prompts to where the first streams
/// are.
const PRIOR: [f64; GROUPS] = [0.0, 0.35, 1.65];
/// Less engine time than this, in seconds, is no work of a kind at all.
const NONE: f64 = 0.01;
/// A group grows once it lacks so much of an engine, and shrinks once it has so much too many: streams
/// that run at an engine which turns to long prompts stutter to their end, and what an engine has cached
/// beyond a border is read again.
const LACKS: f64 = 0.6;
const SPARES: f64 = 1.25;

/// What is known of all nodes' work counts for so long; then a node goes by its own.
const RECEIVED: Duration = Duration::from_secs(5);

/// Number of groups.
pub const GROUPS: usize = 3;

/// Which group of engines a class or an engine belongs to, the least tolerant first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Group {
    /// The strictest streams, where others that are steady bear clearly more.
    Strict,
    /// Streams without pauses.
    Steady,
    /// Long prompts.
    Bulk,
}

impl Group {
    /// Number of groups.
    pub(crate) const COUNT: usize = GROUPS;

    /// How many groups lie between.
    pub(crate) fn distance(self, other: Group) -> f64 {
        f64::from((self as i8 - other as i8).abs())
    }
}

/// The longest time between tokens, in seconds, that a class of the strict group bears, given what each
/// class does; none where the steady ones are alike.
fn strict_border(bears: impl Iterator<Item = Duration>) -> Option<f64> {
    let bears = bears.map(|bears| bears.as_secs_f64());
    let mut steady: Vec<_> = bears.filter(|bears| *bears > 0.0 && *bears < STALL).collect();
    steady.sort_by(f64::total_cmp);
    let pairs = steady.windows(2).map(|pair| (pair[1] / pair[0], pair[0]));
    let widest = pairs.max_by(|a, b| a.0.total_cmp(&b.0));
    widest.filter(|(ratio, _)| *ratio >= UNLIKE).map(|(_, bears)| bears)
}

/// The isolation groups of one pool.
#[derive(Debug)]
pub(crate) struct Isolation {
    /// What classes bear between tokens, and when each had work last.
    bears: Vec<(Duration, Instant)>,
    /// What the strict group bears at most, in seconds; none without such a group.
    strict: Option<f64>,
    /// Engine time of late, in seconds, fading, by group.
    work: [f64; GROUPS],
    /// What is left of the work that is taken for granted, by group.
    prior: [f64; GROUPS],
    faded: Option<Instant>,
    /// Work of all nodes, as [`Isolation::recent_seconds`] of each, and when it was received.
    fleet: Option<([f64; GROUPS], Instant)>,
    /// Both steady classes and others had work of late.
    unlike: bool,
    /// Ranks at which the strict and the steady group end, by region.
    borders: HashMap<ids::Region, [usize; GROUPS - 1]>,
}

impl Default for Isolation {
    fn default() -> Self {
        Isolation {
            bears: vec![],
            strict: None,
            work: [0.0; GROUPS],
            prior: PRIOR,
            faded: None,
            fleet: None,
            unlike: false,
            borders: HashMap::new(),
        }
    }
}

impl Isolation {
    /// Notes that a class which bears so long between tokens has work.
    fn seen(&mut self, bears: Duration, now: Instant) {
        let known = self.bears.len();
        self.bears.retain(|(_, last)| now < *last + HALF * FORGOTTEN);
        match self.bears.iter_mut().find(|(class, _)| *class == bears) {
            Some((_, last)) => *last = now,
            None => self.bears.push((bears, now)),
        }
        if self.bears.len() != known {
            self.strict = strict_border(self.bears.iter().map(|(bears, _)| *bears));
        }
    }

    fn group_of(&self, bears: Duration) -> Group {
        let bears = bears.as_secs_f64();
        if bears >= STALL {
            return Group::Bulk;
        }
        if self.strict.is_some_and(|strict| bears <= strict) {
            Group::Strict
        } else {
            Group::Steady
        }
    }

    /// Counts work of a request that bears so long between tokens.
    pub(crate) fn add_work(&mut self, bears: Duration, seconds: f64, now: Instant) {
        self.fade(now);
        self.seen(bears, now);
        self.work[self.group_of(bears) as usize] += seconds;
    }

    fn fade(&mut self, now: Instant) {
        let last = self.faded.replace(now).unwrap_or(now);
        let age = now.saturating_duration_since(last).as_secs_f64() / HALF.as_secs_f64();
        let keep = (-age).exp2();
        self.work = self.work.map(|seconds| seconds * keep);
        self.prior = self.prior.map(|seconds| seconds * keep);
    }

    /// Engine time of late by group, in seconds.
    pub(crate) fn recent_seconds(&self) -> [f64; GROUPS] {
        self.work
    }

    /// Whether there was work of late that the groups follow.
    pub(crate) fn recently_active(&self, now: Instant) -> bool {
        self.faded.is_some_and(|last| now < last + HALF * FORGOTTEN)
    }

    /// Takes in the work of all nodes: what one node sees of hundreds varies, and with it the borders,
    /// which are worth most where all nodes draw them alike.
    pub(crate) fn set_fleet_work(&mut self, seconds: [f64; GROUPS], now: Instant) {
        self.fleet = Some((seconds, now));
    }

    /// Parts of all work up to the end of the strict and of the steady group; none while all is of one
    /// kind.
    fn parts(&self, now: Instant) -> Option<[f64; GROUPS - 1]> {
        let fleet = self.fleet.filter(|(_, received)| now < *received + RECEIVED);
        let work = fleet.map_or_else(|| self.recent_seconds(), |(seconds, _)| seconds);
        let [strict, steady, bulk] = std::array::from_fn(|group| work[group] + self.prior[group]);
        let all = strict + steady + bulk;
        let known = [strict + steady, bulk].iter().all(|seconds| *seconds > NONE);
        known.then(|| [strict / all, (strict + steady) / all])
    }

    /// Works the groups out; `engines` counts those of each region.
    pub(crate) fn update_borders(&mut self, engines: &HashMap<ids::Region, usize>, now: Instant) {
        let parts = self.parts(now);
        self.unlike = parts.is_some();
        let Some([strict, steady]) = parts else { return };
        for (region, count) in engines {
            let most = count.saturating_sub(1);
            let wanted = [strict * *count as f64, steady * *count as f64];
            let split = self.strict.is_some() && *count >= GROUPS;
            let least = [usize::from(split), 1 + usize::from(split)];
            let largest = [most.saturating_sub(1), most];
            let whole = std::array::from_fn(|border| {
                let (least, largest) = (least[border].min(largest[border]), largest[border]);
                (wanted[border].round() as usize).clamp(least, largest)
            });
            let borders = self.borders.entry(*region).or_insert(whole);
            for border in 0..borders.len() {
                let off = wanted[border] - borders[border] as f64;
                if off > LACKS || -off > SPARES || borders[border] > largest[border] {
                    borders[border] = whole[border];
                }
            }
            borders[0] = if split { borders[0].min(borders[1]) } else { 0 };
        }
    }

    /// The group of a request that bears so long between tokens; none while all are alike.
    pub(crate) fn class_group(&self, bears: Duration) -> Option<Group> {
        self.unlike.then(|| self.group_of(bears))
    }

    /// The group of the engine with a rank among those of its region.
    pub(crate) fn engine_group(&self, region: ids::Region, rank: usize) -> Group {
        let [strict, steady] = self.borders.get(&region).copied().unwrap_or_default();
        if rank < strict {
            return Group::Strict;
        }
        if rank < steady { Group::Steady } else { Group::Bulk }
    }
}

#[cfg(test)]
mod tests;
