//! Keeps streams whose readers notice short pauses apart from long prompts.
//!
//! Pattern: long prompts beside steady streams. An engine that reads a long prompt makes no tokens
//! meanwhile; while it reads one after the other, every stream on it stutters. Spread evenly, long
//! prompts make a stutter somewhere in nearly each stream: half of the steady streams on an ordinary
//! day had a pause beyond their limit, though the engines read for a fifth of their time. So each
//! pool's engines fall into two groups, and each class has its own group, by how long a pause its
//! callers bear.
//!
//! Which engine is in which group follows from a hash of its name, and the sizes of the groups from
//! the work that each node sees, so nodes agree without a word but for an engine at the border.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Work counts half after this time: long against the waves of ordinary traffic, short against a
/// burst.
const HALF: Duration = Duration::from_secs(4);
/// Classes are kept apart only if some bear pauses this many times longer than others: the times
/// between them are those that reading may fill.
const UNLIKE: f64 = 1.9;
/// A border moves only if it is this many engines off: half of one would let it swing with every
/// wave, and each move costs the reading of what was cached beyond it.
const SLACK: f64 = 0.75;

/// Which group of engines a class or an engine belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Group {
    /// Streams without pauses.
    Steady,
    /// Long prompts.
    Bulk,
}

#[derive(Clone, Copy, Debug)]
struct Work {
    class: ids::Class,
    /// Longest pause that its callers bear, in seconds.
    pause: f64,
    /// Engine time of late, in seconds, fading.
    seconds: f64,
}

/// The two groups of one pool.
#[derive(Debug, Default)]
pub(crate) struct Apart {
    work: Vec<Work>,
    faded: Option<Instant>,
    /// Classes that bear no longer pauses than this are steady; none while all are alike.
    limit: Option<f64>,
    /// Engines of the steady group, by region.
    steady: HashMap<ids::Region, usize>,
}

impl Apart {
    /// Counts work of a class.
    pub(crate) fn add(&mut self, class: ids::Class, pause: Duration, seconds: f64, now: Instant) {
        self.fade(now);
        let pause = pause.as_secs_f64();
        match self.work.iter_mut().find(|work| work.class == class) {
            Some(work) => (work.pause, work.seconds) = (pause, work.seconds + seconds),
            None => self.work.push(Work { class, pause, seconds }),
        }
    }

    fn fade(&mut self, now: Instant) {
        let last = self.faded.replace(now).unwrap_or(now);
        let age = now.saturating_duration_since(last).as_secs_f64() / HALF.as_secs_f64();
        let keep = (-age).exp2();
        self.work.iter_mut().for_each(|work| work.seconds *= keep);
        self.work.retain(|work| work.seconds > f64::EPSILON);
    }

    /// The steady group's part of all work, and the longest pause that its classes bear.
    fn part(&self) -> Option<(f64, f64)> {
        let mut work = self.work.clone();
        work.sort_by(|a, b| a.pause.total_cmp(&b.pause));
        let unlike = |at: &usize| work[*at].pause / work[*at - 1].pause.max(1e-3);
        let border = (1..work.len()).max_by(|a, b| unlike(a).total_cmp(&unlike(b)))?;
        if unlike(&border) < UNLIKE {
            return None;
        }
        let sum = |work: &[Work]| work.iter().map(|work| work.seconds).sum::<f64>();
        Some((work[border - 1].pause, sum(&work[..border]) / sum(&work)))
    }

    /// Works the groups out; `engines` counts those of each region.
    pub(crate) fn measure(&mut self, engines: &HashMap<ids::Region, usize>) {
        let Some((limit, part)) = self.part() else {
            self.limit = None;
            return;
        };
        self.limit = Some(limit);
        for (region, count) in engines {
            let wanted = part * *count as f64;
            let most = count.saturating_sub(1);
            let whole = (wanted.round() as usize).clamp(1.min(most), most);
            let held = self.steady.entry(*region).or_insert(whole);
            if (wanted - *held as f64).abs() > SLACK || *held > most {
                *held = whole;
            }
        }
    }

    /// The group of a class that bears pauses of such a length; none while all are alike.
    pub(crate) fn class(&self, pause: Duration) -> Option<Group> {
        let limit = self.limit?;
        Some(if pause.as_secs_f64() <= limit { Group::Steady } else { Group::Bulk })
    }

    /// The group of the engine with a rank among those of its region.
    pub(crate) fn engine(&self, region: ids::Region, rank: usize) -> Group {
        let steady = self.steady.get(&region).copied().unwrap_or(0);
        if rank < steady { Group::Steady } else { Group::Bulk }
    }
}

#[cfg(test)]
mod tests;
