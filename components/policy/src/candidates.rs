//! Finds the engines of a pool that are looked at for a request.
//!
//! Load pattern: thousands of engines. A decision that looks at each of them takes milliseconds of a small VM's
//! core. The engines of a pool are ordered by a hash of their names, so any run of neighbours is a random sample
//! of its isolation group: a decision looks at one such run of each group and region, drawn anew for each
//! request, and at the engines that are known to matter for the request.

use std::collections::HashSet;
use std::ops::Range;

use crate::isolation::Group;
use crate::pending::Pending;
use crate::pick::mix64;
use crate::pool::{Member, Pool};
use crate::scheduler::Scheduler;

/// Engines of one group and region that are looked at.
const RUN: usize = 128;

/// The engines that are looked at for one request.
pub(crate) struct Candidates<'a> {
    pub(crate) members: Vec<&'a Member>,
    /// Those of them that were drawn as samples of their groups; they come first.
    drawn: usize,
}

impl<'a> Candidates<'a> {
    /// All engines of a pool.
    pub(crate) fn all(pool: &'a Pool) -> Self {
        Candidates { members: pool.members.iter().collect(), drawn: pool.members.len() }
    }

    /// Those that were drawn as samples of their groups.
    pub(crate) fn drawn(&self) -> impl Iterator<Item = &'a Member> {
        self.members[..self.drawn].iter().copied()
    }
}

/// A run of up to [`RUN`] neighbours in a range, which may go on at its beginning.
fn draw_run(range: Range<usize>, random: u64) -> impl Iterator<Item = usize> {
    let len = range.len();
    let offset = if len > RUN { (random % len as u64) as usize } else { 0 };
    (0..len.min(RUN)).map(move |index| range.start + (offset + index) % len)
}

impl Scheduler {
    /// The engines to look at for a request: all engines of a small pool. Those that aren't drawn but cache its
    /// prefix, or are preferred for it, or connected, or have a permit that soon expires, are added.
    pub(crate) fn candidates<'a>(
        &'a self,
        pool: &'a Pool,
        pending: &Pending,
        preferred: [Option<ids::Server>; 2],
    ) -> Candidates<'a> {
        let mut members: Vec<&Member> = vec![];
        for (part, range) in pool.parts().into_iter().enumerate() {
            let random = mix64(pending.jitter ^ part as u64);
            members.extend(draw_run(range, random).map(|index| &pool.members[index]));
        }
        let drawn = members.len();
        if drawn < pool.members.len() {
            let known = preferred.into_iter().flatten();
            let known = known.chain(self.prefixes.holders(&pending.request.shared));
            let known = known.chain(self.permitted.iter().copied());
            let known = known.chain(self.connected.iter().copied());
            let mut seen: HashSet<_> = members.iter().map(|member| member.server).collect();
            let known = known.filter_map(|server| pool.member(server));
            members.extend(known.filter(|member| seen.insert(member.server)));
        }
        Candidates { members, drawn }
    }
}

impl Pool {
    /// The ranges of members with the same region and isolation group, and of each region's reserve.
    fn parts(&self) -> Vec<Range<usize>> {
        let mut parts = vec![];
        for (region, range) in &self.region_ranges {
            let active = self.active.of(range.len());
            let borders = self.isolation.borders(*region);
            let ends = borders.into_iter().chain([active]).map(|end| end.min(active));
            let mut start = 0;
            for end in ends.chain([range.len()]) {
                parts.push(range.start + start..range.start + end.max(start));
                start = end.max(start);
            }
        }
        parts.retain(|part| !part.is_empty());
        parts
    }

    /// The isolation group of an engine; none if it is in reserve, so that no group has work there.
    pub(crate) fn engine_group(&self, member: &Member) -> Option<Group> {
        self.is_active(member).then(|| self.isolation.engine_group(member.region, member.rank))
    }

    /// Number of engines in an isolation group; of all active ones if there is none.
    pub(crate) fn group_size(&self, group: Option<Group>) -> usize {
        let sizes = self.region_ranges.iter().map(|(region, range)| {
            let active = self.active.of(range.len());
            let [strict, steady] = self.isolation.borders(*region).map(|end| end.min(active));
            match group {
                None => active,
                Some(Group::Strict) => strict,
                Some(Group::Steady) => steady.saturating_sub(strict),
                Some(Group::Bulk) => active - steady,
            }
        });
        sizes.sum()
    }
}
