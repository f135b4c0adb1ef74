//! Divides the engines of a pool into groups, so that streams whose callers notice short pauses run apart from
//! prompts that cause them.
//!
//! Load pattern: long prompts beside steady streams. An engine that prefills a long prompt produces no tokens
//! meanwhile; while it prefills one after the other, every stream on it stutters. Spread evenly, long prompts
//! make nearly each stream stutter somewhere. So each pool's engines are divided into isolation groups by
//! pause tolerance, the longest time between tokens that a class's callers tolerate, and each class has its own
//! group.
//!
//! Load pattern: two steady classes, of which one tolerates clearly less than the other and the other brings
//! prompts of its own. Several short prompts within one event of a stream stall it as a long one does. So
//! the strictest class has engines of its own, apart from the other steady ones.
//!
//! Which engine is in which group follows from a hash of its name, and the sizes of the groups from the
//! work of all nodes, so nodes agree except for an engine at the border.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::prefilling;

/// Half-life of work: long against the fluctuations of ordinary traffic, which average out over all nodes, and
/// short against a burst.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Half-lives after which work is forgotten.
const FORGOTTEN_AFTER: u32 = 10;
/// Ratio of the pause tolerances of two steady classes from which on they are kept apart.
const TOLERANCE_RATIO: f64 = 1.4;
/// Assumed engine time of each group before any is known, in seconds; it decays like real work. Without it
/// a node that has just started sends long prompts to the engines of its first streams.
const PRIOR_SECONDS: [f64; GROUPS] = [0.0, 0.35, 1.65];
/// Engine time up to which a kind of work counts as absent, in seconds.
const ABSENT_SECONDS: f64 = 0.01;
/// Engines, or the fraction of one, that the groups before a border must lack before it moves to give them
/// more. Moving is costly: streams that run at an engine which turns to long prompts stutter until they end,
/// and what the engine has cached for its former group is prefilled again elsewhere.
const GROW_AT: f64 = 0.6;
/// Engines that they must have in excess before the border moves back.
const SHRINK_AT: f64 = 1.25;
/// Engines of a region up to which these limits hold. Beyond it they grow in proportion, because the work of all
/// nodes varies by the same part however many engines there are.
const FEW_ENGINES: f64 = 96.0;

/// Age up to which the work of all nodes counts; after that a node goes by its own.
const MAX_FLEET_AGE: Duration = Duration::from_secs(5);

/// Number of groups.
pub const GROUPS: usize = 3;

/// An isolation group, of classes and of engines; the least tolerant first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Group {
    /// The strictest streams, where other steady ones tolerate clearly more.
    Strict,
    /// Streams that tolerate no pauses for prefill.
    Steady,
    /// Long prompts.
    Bulk,
}

impl Group {
    pub(crate) const COUNT: usize = GROUPS;

    /// How many steps two groups are apart.
    pub(crate) fn distance(self, other: Group) -> f64 {
        f64::from((self as i8 - other as i8).abs())
    }
}

/// The largest pause tolerance of the strict group, in seconds, given the tolerance of each class: the steady
/// classes, which tolerate less than `prefilling_seconds`, are split where two neighbours differ most. None if they
/// don't differ enough.
fn strict_limit(
    tolerances: impl Iterator<Item = Duration>,
    prefilling_seconds: f64,
) -> Option<f64> {
    let tolerances = tolerances.map(|tolerance| tolerance.as_secs_f64());
    let mut steady: Vec<_> = tolerances
        .filter(|tolerance| *tolerance > 0.0 && *tolerance < prefilling_seconds)
        .collect();
    steady.sort_by(f64::total_cmp);
    let pairs = steady.windows(2).map(|pair| (pair[1] / pair[0], pair[0]));
    let widest = pairs.max_by(|a, b| a.0.total_cmp(&b.0));
    widest.filter(|(ratio, _)| *ratio >= TOLERANCE_RATIO).map(|(_, tolerance)| tolerance)
}

/// The active engines of a region, in the order of their ranks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Capacity {
    engines: usize,
    /// Sum of the speeds of the engines up to each rank; empty if all are equal.
    speeds: Vec<f64>,
}

impl Capacity {
    /// The capacity of engines with the given speeds, which may `differ`.
    pub(crate) fn new(speeds: impl ExactSizeIterator<Item = f64>, differ: bool) -> Self {
        let engines = speeds.len();
        let sums = speeds.scan(0.0, |sum, speed| {
            *sum += speed;
            Some(*sum)
        });
        Capacity { engines, speeds: if differ { sums.collect() } else { vec![] } }
    }

    /// Number of engines, with a fraction, of the lowest ranks that have a part of the whole capacity.
    fn engines_for(&self, part: f64) -> f64 {
        let Some(all) = self.speeds.last() else { return part * self.engines as f64 };
        let wanted = part * all;
        let whole = self.speeds.partition_point(|sum| *sum <= wanted);
        let before = whole.checked_sub(1).map_or(0.0, |last| self.speeds[last]);
        let next = self.speeds.get(whole).map_or(0.0, |sum| (wanted - before) / (sum - before));
        whole as f64 + next
    }
}

/// The isolation groups of one pool.
#[derive(Clone, Debug)]
pub(crate) struct Isolation {
    /// Pause tolerances of the classes, and when each last had work.
    tolerances: Vec<(Duration, Instant)>,
    /// Largest pause tolerance of the strict group, in seconds; none without such a group.
    strict: Option<f64>,
    /// Seconds between tokens at an engine that prefills all the time. Classes that tolerate less are kept apart from
    /// those that tolerate more.
    prefilling_seconds: f64,
    /// Decayed engine time by group, in seconds.
    work: [f64; GROUPS],
    /// What is left of [`PRIOR_SECONDS`], by group.
    prior: [f64; GROUPS],
    decayed: Option<Instant>,
    /// Sum of [`Isolation::recent_seconds`] over all nodes, and when it was received.
    fleet: Option<([f64; GROUPS], Instant)>,
    /// Whether both steady and bulk classes had work recently.
    mixed: bool,
    /// Ranks of engines at which the strict and the steady group end, by region.
    borders: HashMap<ids::Region, [usize; GROUPS - 1]>,
}

impl Default for Isolation {
    fn default() -> Self {
        Isolation {
            tolerances: vec![],
            strict: None,
            prefilling_seconds: prefilling::ASSUMED_SECONDS,
            work: [0.0; GROUPS],
            prior: PRIOR_SECONDS,
            decayed: None,
            fleet: None,
            mixed: false,
            borders: HashMap::new(),
        }
    }
}

impl Isolation {
    /// Records that a class with a pause tolerance has work.
    fn record_class(&mut self, tolerance: Duration, now: Instant) {
        let before = self.tolerances.len();
        self.tolerances.retain(|(_, last)| now < *last + HALF_LIFE * FORGOTTEN_AFTER);
        match self.tolerances.iter_mut().find(|(known, _)| *known == tolerance) {
            Some((_, last)) => *last = now,
            None => self.tolerances.push((tolerance, now)),
        }
        if self.tolerances.len() != before {
            self.update_strict_limit();
        }
    }

    fn update_strict_limit(&mut self) {
        let tolerances = self.tolerances.iter().map(|(tolerance, _)| *tolerance);
        self.strict = strict_limit(tolerances, self.prefilling_seconds);
    }

    /// Sets the seconds between tokens at an engine of median speed that prefills all the time.
    pub(crate) fn set_prefilling_seconds(&mut self, seconds: f64) {
        if self.prefilling_seconds != seconds {
            self.prefilling_seconds = seconds;
            self.update_strict_limit();
        }
    }

    /// Whether a class with a pause tolerance tolerates long prompts beside its streams at an engine of a speed.
    pub(crate) fn tolerates_prefilling(&self, tolerance: Duration, speed: f64) -> bool {
        tolerance.as_secs_f64() * speed >= self.prefilling_seconds
    }

    pub(crate) fn group_for(&self, tolerance: Duration) -> Group {
        let tolerance = tolerance.as_secs_f64();
        if tolerance >= self.prefilling_seconds {
            return Group::Bulk;
        }
        if self.strict.is_some_and(|strict| tolerance <= strict) {
            Group::Strict
        } else {
            Group::Steady
        }
    }

    /// Adds the engine time of a request whose class has a pause tolerance.
    pub(crate) fn add_work(&mut self, tolerance: Duration, seconds: f64, now: Instant) {
        self.decay(now);
        self.record_class(tolerance, now);
        self.work[self.group_for(tolerance) as usize] += seconds;
    }

    /// Applies the decay since the last call.
    fn decay(&mut self, now: Instant) {
        let factor = self.decay_factor(now);
        self.decayed = Some(now);
        self.work = self.work.map(|seconds| seconds * factor);
        self.prior = self.prior.map(|seconds| seconds * factor);
    }

    /// What is left at `now` of work as of the last decay, as a fraction.
    fn decay_factor(&self, now: Instant) -> f64 {
        let last = self.decayed.unwrap_or(now);
        let half_lives =
            now.saturating_duration_since(last).as_secs_f64() / HALF_LIFE.as_secs_f64();
        (-half_lives).exp2()
    }

    /// Decayed engine time by group, in seconds. It is decayed up to `now`, not only to the last request: summed
    /// over hundreds of nodes that each send a request in seconds, it would be several times too much.
    pub(crate) fn recent_seconds(&self, now: Instant) -> [f64; GROUPS] {
        let factor = self.decay_factor(now);
        self.work.map(|seconds| seconds * factor)
    }

    /// Engine time in seconds that all nodes use in a second, as far as known.
    pub(crate) fn work_per_second(&self, now: Instant) -> f64 {
        let fleet = self.fleet.filter(|(_, received)| now < *received + MAX_FLEET_AGE);
        let work = fleet.map_or_else(|| self.recent_seconds(now), |(seconds, _)| seconds);
        work.iter().sum::<f64>() * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    /// Whether there was work within the time after which it is forgotten.
    pub(crate) fn recently_active(&self, now: Instant) -> bool {
        self.decayed.is_some_and(|last| now < last + HALF_LIFE * FORGOTTEN_AFTER)
    }

    /// Sets the work of all nodes. What one node of hundreds sees of it varies, and with it the borders,
    /// which isolate best where all nodes have the same ones.
    pub(crate) fn set_fleet_work(&mut self, seconds: [f64; GROUPS], now: Instant) {
        self.fleet = Some((seconds, now));
    }

    /// Fractions of all work up to the end of the strict and of the steady group; none unless there is
    /// both steady and bulk work.
    fn cumulative_shares(&self, now: Instant) -> Option<[f64; GROUPS - 1]> {
        let fleet = self.fleet.filter(|(_, received)| now < *received + MAX_FLEET_AGE);
        let work = fleet.map_or_else(|| self.work, |(seconds, _)| seconds);
        let [strict, steady, bulk] = std::array::from_fn(|group| work[group] + self.prior[group]);
        let all = strict + steady + bulk;
        let mixed = [strict + steady, bulk].iter().all(|seconds| *seconds > ABSENT_SECONDS);
        mixed.then(|| [strict / all, (strict + steady) / all])
    }

    /// Moves the borders between the groups to follow the work, given the engines of each region.
    pub(crate) fn update_borders(
        &mut self,
        regions: &HashMap<ids::Region, Capacity>,
        now: Instant,
    ) {
        let shares = self.cumulative_shares(now);
        self.mixed = shares.is_some();
        let Some([strict, steady]) = shares else { return };
        for (region, capacity) in regions {
            let count = capacity.engines;
            let last = count.saturating_sub(1);
            let wanted = [strict, steady].map(|part| capacity.engines_for(part));
            let split = self.strict.is_some() && count >= GROUPS;
            let smallest = [usize::from(split), 1 + usize::from(split)];
            let largest = [last.saturating_sub(1), last];
            let rounded = std::array::from_fn(|border| {
                let (smallest, largest) = (smallest[border].min(largest[border]), largest[border]);
                (wanted[border].round() as usize).clamp(smallest, largest)
            });
            let borders = self.borders.entry(*region).or_insert(rounded);
            let scale = (count as f64 / FEW_ENGINES).max(1.0);
            for border in 0..borders.len() {
                let lack = wanted[border] - borders[border] as f64;
                if lack > GROW_AT * scale
                    || -lack > SHRINK_AT * scale
                    || borders[border] > largest[border]
                {
                    borders[border] = rounded[border];
                }
            }
            borders[0] = if split { borders[0].min(borders[1]) } else { 0 };
        }
    }

    /// The group of a class with a pause tolerance; none unless there is both steady and bulk work.
    pub(crate) fn class_group(&self, tolerance: Duration) -> Option<Group> {
        self.mixed.then(|| self.group_for(tolerance))
    }

    /// Where the engine with a rank is in its group: 0 at the end that is in the group as long as the group has an
    /// engine, 1 at the border that moves when the group shrinks.
    pub(crate) fn position(&self, region: ids::Region, rank: usize) -> f64 {
        let [strict, steady] = self.borders(region);
        let (first, end) = if rank < strict { (0, strict) } else { (strict, steady) };
        if rank >= end { 0.0 } else { (rank - first) as f64 / (end - first) as f64 }
    }

    /// Ranks at which the strict and the steady group of a region end.
    pub(crate) fn borders(&self, region: ids::Region) -> [usize; GROUPS - 1] {
        self.borders.get(&region).copied().unwrap_or_default()
    }

    /// The group of the engine with a rank among those of its region.
    pub(crate) fn engine_group(&self, region: ids::Region, rank: usize) -> Group {
        let [strict, steady] = self.borders(region);
        if rank < strict {
            return Group::Strict;
        }
        if rank < steady { Group::Steady } else { Group::Bulk }
    }
}

#[cfg(test)]
mod tests;
