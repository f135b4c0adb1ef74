//! Which engines a request looks at.
//!
//! Load pattern: hundreds of nodes that know the same of engines, some tenths of a second old. Each that
//! takes the best of all engines takes the same one: an engine whose places came free is filled twice over
//! before anyone hears of it, while most others stay idle. So a request looks at the engines that keep its
//! prompt's beginning, and at a few others of each group, drawn by their free places.

use crate::isolation::Group;
use crate::pending::Pending;
use crate::pick::mix64;
use crate::pool::Member;
use crate::scheduler::Scheduler;

/// Engines of each group that are drawn.
const DRAWN: usize = 4;
/// Free places that an engine without any counts for, so that it is drawn where all are full.
const FULL: f64 = 1e-3;
/// Keeps these draws apart from other uses of a request's random number.
const SALT: u64 = 0x5bd1_e995_9d1b_54a5;

/// An engine and how early it was drawn: the lower the earlier.
type Draw = (f64, ids::Server);

impl Scheduler {
    /// The engines that a request looks at; `members` are those that may take it, with the places that each has
    /// free for it.
    pub(crate) fn drawn<'a>(
        &self,
        pending: &Pending,
        members: impl Iterator<Item = (&'a Member, f64)>,
        homes: [Option<ids::Server>; 2],
    ) -> Vec<ids::Server> {
        let pool = &self.pools[pending.pool];
        let mut groups: [Vec<Draw>; Group::COUNT] = Default::default();
        let mut looked_at: Vec<_> = homes.into_iter().flatten().collect();
        looked_at.extend(self.prefixes.holders(&pending.request.shared));
        for (member, free) in members {
            let group = pool.isolation.engine_group(member.region, member.rank);
            let salt = self.servers[member.server].terms.salt;
            groups[group as usize].push((draw(pending.jitter, salt, free), member.server));
        }
        for group in &mut groups {
            group.sort_by(|a, b| a.0.total_cmp(&b.0));
            looked_at.extend(group.iter().take(DRAWN).map(|(_, server)| *server));
        }
        looked_at
    }
}

/// A number by which an engine with twice the free places is drawn first twice as often.
fn draw(jitter: u64, salt: u64, free: f64) -> f64 {
    let uniform = (mix64(jitter ^ salt ^ SALT) as f64 + 1.0) / (u64::MAX as f64 + 1.0);
    -uniform.ln() / free.max(FULL)
}

#[cfg(test)]
mod tests;
