//! Samples the engines that are considered for a request.
//!
//! Load pattern: hundreds of nodes that know the same of engines, some tenths of a second old. Each that
//! takes the best of all engines takes the same one: an engine whose slots came free is filled twice over
//! before any node learns of it, while most others stay idle. So only the engines that cache the prompt's
//! prefix are considered, and a few others of each isolation group and of the reserve, sampled with
//! probabilities in proportion to their free slots.

use crate::isolation::Group;
use crate::pending::Pending;
use crate::pick::mix64;
use crate::pool::Member;
use crate::scheduler::Scheduler;

/// Engines that are sampled in each group.
const SAMPLES_PER_GROUP: usize = 4;
/// Weight of an engine without free slots, so that engines are sampled also where all are full.
const FULL_WEIGHT: f64 = 1e-3;
/// Makes this use of a request's random number independent of others.
const SALT: u64 = 0x5bd1_e995_9d1b_54a5;

/// An engine with its sampling key; the lowest keys are taken.
type Keyed = (f64, ids::Server);

impl Scheduler {
    /// The engines to consider for a request; `members` are those that may take it, each with its free
    /// slots.
    pub(crate) fn sample_engines<'a>(
        &self,
        pending: &Pending,
        members: impl Iterator<Item = (&'a Member, f64)>,
        preferred: [Option<ids::Server>; 2],
    ) -> Vec<ids::Server> {
        let pool = &self.pools[pending.pool];
        let mut groups: [Vec<Keyed>; Group::COUNT] = Default::default();
        let mut reserve: Vec<Keyed> = vec![];
        let mut considered: Vec<_> = preferred.into_iter().flatten().collect();
        considered.extend(self.prefixes.holders(&pending.request.shared));
        for (member, free) in members {
            let keyed =
                (sampling_key(pending.jitter, member.salt, free * member.speed), member.server);
            match pool.engine_group(member) {
                Some(group) => groups[group as usize].push(keyed),
                None => reserve.push(keyed),
            }
        }
        for group in groups.iter_mut().chain([&mut reserve]) {
            group.sort_by(|a, b| a.0.total_cmp(&b.0));
            considered.extend(group.iter().take(SAMPLES_PER_GROUP).map(|(_, server)| *server));
        }
        considered
    }
}

/// Key of an engine for weighted sampling without replacement (Efraimidis and Spirakis, 2006): an engine
/// with twice the free slots has the lowest key twice as often.
fn sampling_key(jitter: u64, salt: u64, free: f64) -> f64 {
    let uniform = (mix64(jitter ^ salt ^ SALT) as f64 + 1.0) / (u64::MAX as f64 + 1.0);
    -uniform.ln() / free.max(FULL_WEIGHT)
}

/// The same for the engine that keeps a copy of a request's run, independent of the choice for the run itself.
pub(crate) fn backup_key(jitter: u64, salt: u64, free: f64) -> f64 {
    sampling_key(mix64(jitter), salt, free)
}

#[cfg(test)]
mod tests;
