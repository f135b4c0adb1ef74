//! Decides which requests are refused while a fleet is offered more work than its engines can process.
//!
//! Load patterns: bursts in all tiers, and one workspace that sends several times its usual load. Without this, queues at all
//! nodes fill with requests that are too late once they are served, and the workspace that sends most gets most.
//!
//! The measure is engine time. Each node measures what is offered to it, refused requests included, and learns the sums over
//! all nodes. The crate does no I/O and reads no clock: callers pass in the current time and a random number for each decision.

use std::collections::HashMap;
use std::time::{Duration, Instant};

mod average;
mod chances;
mod plan;

use average::Average;
use chances::Chances;
use plan::Plan;

/// Number of tiers that are told apart; all lower ones count as the last of them.
pub const TIERS: usize = 9;
/// Rows that a node reports.
pub const NODE_ROWS: usize = 8;
/// Rows of the fleet that all nodes know.
pub const FLEET_ROWS: usize = 16;
/// Offered engine time from which a fleet is overloaded, as a fraction of what its engines can process. Above it, waits
/// grow quickly.
pub const OVERLOADED: f64 = 0.9;

/// Time in which what was offered loses half of its weight. Bursts last five to nine seconds.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Age from which shares are ignored. It is several reports of a node, so that one that is lost changes nothing.
const MAX_AGE: Duration = Duration::from_secs(3);
/// Least fraction of the requests of each tier and workspace that stays admitted, so that every class is served.
const MIN_ADMITTED: f64 = 0.05;
/// Shortest time over which the returns of refused callers are spread.
const MIN_WINDOW: Duration = Duration::from_millis(200);
/// Part of the time left to a caller up to which it waits before it comes back.
const MAX_WINDOW_FRACTION: f64 = 1.0 / 3.0;
/// Workspaces and tiers that are remembered.
const MAX_ENTRIES: usize = 4_096;
/// Least time between two removals of small entries: each examines all of them.
const PRUNE_INTERVAL: Duration = Duration::from_millis(250);

derives::data! {
    /// What a workspace offers in one tier.
    #[derive(Copy)]
    pub struct Row {
        /// Key of the workspace, the same on all nodes.
        pub workspace: u32,
        /// Tier; 0 is the highest.
        pub tier: u8,
        /// Seconds of engine time offered per second.
        pub rate: f64,
        /// Weight of the workspace among the others.
        pub weight: f64,
    }

    /// A request about which to decide.
    #[derive(Copy)]
    pub struct Ask {
        /// Key of its workspace; none if its caller has none.
        pub workspace: Option<u32>,
        /// Its tier; 0 is the highest.
        pub tier: u8,
        /// Its caller was refused before and has come back.
        pub returning: bool,
        /// Probability that it ends in time if it is admitted.
        pub chance: f64,
        /// Random number from 0 to 1.
        pub draw: f64,
        /// Time that is left to its caller.
        pub left: Duration,
    }
}

derives::value! {
    /// Why a request is refused.
    pub enum Reason {
        /// Its workspace offers more than its fair share.
        OverShare,
        /// The fleet has no capacity left for its tier.
        Overload,
    }

    /// Whether a request is admitted.
    pub enum Verdict {
        /// It is.
        Admit,
        /// It is refused.
        Refuse {
            /// Time after which its caller should come back.
            after: Duration,
            /// Why.
            reason: Reason,
        },
    }
}

/// What all nodes are offered, as last received.
#[derive(Clone, Debug)]
struct Fleet {
    rows: Vec<Row>,
    totals: [f64; TIERS],
    at: Instant,
}

/// Requests of one tier about which this node has decided.
#[derive(Clone, Copy, Debug, Default)]
struct Decided {
    /// Those that were admitted.
    admitted: Average,
    /// Those that were to be admitted: the sum of their probabilities.
    planned: Average,
}

/// What one node is offered, and what it knows of the fleet.
///
/// ```
/// use std::time::{Duration, Instant};
/// use overload::{Ask, Row, Shares, TIERS, Verdict};
///
/// let (mut shares, now) = (Shares::default(), Instant::now());
/// let ask = |workspace, draw| {
///     let (workspace, left) = (Some(workspace), Duration::from_secs(3));
///     Ask { workspace, tier: 0, returning: false, chance: 1.0, draw, left }
/// };
/// assert_eq!(shares.decide(ask(7, 0.5), 10.0, now), Verdict::Admit, "nothing is known of the fleet");
/// let hot = Row { workspace: 7, tier: 0, rate: 15.0, weight: 1.0 };
/// shares.set_fleet(vec![hot, Row { workspace: 8, rate: 5.0, ..hot }], [20.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0], now);
/// assert_eq!(shares.decide(ask(8, 0.5), 10.0, now), Verdict::Admit);
/// assert!(matches!(shares.decide(ask(7, 0.5), 10.0, now), Verdict::Refuse { .. }));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Shares {
    offered: HashMap<(u32, u8), Average>,
    pruned: Option<Instant>,
    totals: [Average; TIERS],
    fleet: Option<Fleet>,
    /// The plan for the fleet's shares, and the capacity that it is for.
    plan: Option<(f64, Plan)>,
    decided: [Decided; TIERS],
    chances: [Chances; TIERS],
}

impl Shares {
    /// Records that a request is offered which takes so many seconds of engine time. Without a workspace it counts only in the
    /// totals.
    ///
    /// ```
    /// let (mut shares, now) = (overload::Shares::default(), std::time::Instant::now());
    /// shares.record(Some(7), 0, 0.5, now);
    /// assert_eq!(shares.top(8, 1, now).len(), 1);
    /// ```
    pub fn record(&mut self, workspace: Option<u32>, tier: u8, seconds: f64, now: Instant) {
        let tier = bounded(tier);
        self.totals[usize::from(tier)].add(seconds, now);
        let Some(workspace) = workspace else { return };
        if self.offered.len() >= MAX_ENTRIES && !self.offered.contains_key(&(workspace, tier)) {
            self.prune(now);
        }
        if self.offered.len() < MAX_ENTRIES || self.offered.contains_key(&(workspace, tier)) {
            self.offered.entry((workspace, tier)).or_default().add(seconds, now);
        }
    }

    /// Removes entries that are smaller than the mean.
    fn prune(&mut self, now: Instant) {
        if self.pruned.is_some_and(|at| now.saturating_duration_since(at) < PRUNE_INTERVAL) {
            return;
        }
        self.pruned = Some(now);
        let sum: f64 = self.offered.values().map(|average| average.sum(now)).sum();
        let mean = sum / self.offered.len().max(1) as f64;
        self.offered.retain(|_, average| average.sum(now) > mean);
    }

    /// Rows of this node to report, the largest first. If there are more, they are drawn by size and the small ones are
    /// scaled up, so that the sums over many nodes are right also for a workspace that sends little to each of them
    /// (Duffield, Lund and Thorup, "Priority sampling for estimation of arbitrary subset sums", 2007). `salt` is a random
    /// number, another one for each report.
    ///
    /// ```
    /// let (mut shares, now) = (overload::Shares::default(), std::time::Instant::now());
    /// shares.record(Some(7), 0, 0.5, now);
    /// shares.record(Some(8), 1, 150.0, now);
    /// assert_eq!(shares.top(8, 1, now).len(), 2);
    /// assert_eq!(shares.top(1, 1, now)[0].workspace, 8);
    /// ```
    pub fn top(&self, most: usize, salt: u64, now: Instant) -> Vec<Row> {
        let row = |(&(workspace, tier), average): (&(u32, u8), &Average)| {
            let rate = average.rate(now);
            let key = u64::from(workspace) << 8 | u64::from(tier);
            let uniform = (mix(key ^ salt) >> 11) as f64 / (1_u64 << 53) as f64;
            (rate / uniform.max(f64::EPSILON), Row { workspace, tier, rate, weight: 1.0 })
        };
        let mut rows: Vec<_> = self.offered.iter().map(row).filter(|(_, r)| r.rate > 0.0).collect();
        if rows.len() > most {
            rows.select_nth_unstable_by(most, |(a, _), (b, _)| b.total_cmp(a));
            let threshold = rows[most].0;
            rows.truncate(most);
            rows.iter_mut().for_each(|(_, row)| row.rate = row.rate.max(threshold));
        }
        largest(rows.into_iter().map(|(_, row)| row), most)
    }

    /// Seconds of engine time that this node is offered per second, by tier.
    ///
    /// ```
    /// let (mut shares, now) = (overload::Shares::default(), std::time::Instant::now());
    /// shares.record(Some(7), 1, 0.5, now);
    /// assert!(shares.totals(now)[1] > 0.3);
    /// ```
    pub fn totals(&self, now: Instant) -> [f64; TIERS] {
        self.totals.map(|total| total.rate(now))
    }

    /// Sets what is known of the whole fleet: its largest rows, and the totals by tier over all workspaces.
    ///
    /// ```
    /// let (mut shares, now) = (overload::Shares::default(), std::time::Instant::now());
    /// shares.set_fleet(vec![], [1.0; overload::TIERS], now);
    /// assert_eq!(shares.utilization(10.0, now), Some(0.9));
    /// ```
    pub fn set_fleet(&mut self, rows: Vec<Row>, totals: [f64; TIERS], now: Instant) {
        let rows = rows.into_iter().map(|row| Row { tier: bounded(row.tier), ..row });
        let rows = rows.filter(|row| row.rate > 0.0 && row.weight > 0.0).collect();
        self.fleet = Some(Fleet { rows, totals, at: now });
        self.plan = None;
    }

    /// Engine time that the fleet is offered, as a fraction of a capacity in engines of median speed; none if it isn't known
    /// or no longer holds.
    ///
    /// ```
    /// let (shares, now) = (overload::Shares::default(), std::time::Instant::now());
    /// assert_eq!(shares.utilization(10.0, now), None);
    /// ```
    pub fn utilization(&self, capacity: f64, now: Instant) -> Option<f64> {
        let fleet = self.fleet.as_ref()?;
        (self.is_fresh(now) && capacity > 0.0).then(|| fleet.totals.iter().sum::<f64>() / capacity)
    }

    /// Whether the fleet's shares are known and recent enough.
    ///
    /// ```
    /// let (shares, now) = (overload::Shares::default(), std::time::Instant::now());
    /// assert!(!shares.is_fresh(now));
    /// ```
    pub fn is_fresh(&self, now: Instant) -> bool {
        let fleet = self.fleet.as_ref();
        fleet.is_some_and(|fleet| now.saturating_duration_since(fleet.at) < MAX_AGE)
    }

    /// Decides about a request. `capacity` is what the reachable engines can process, in engines of median speed.
    ///
    /// Each tier gets what the higher ones leave. Within a tier, no workspace gets more than the level at which what they
    /// get adds up to the capacity. If that isn't enough because only the largest workspaces are known, the requests that are
    /// the least likely to end in time are refused.
    ///
    /// ```
    /// use overload::{Ask, Shares, Verdict};
    ///
    /// let (mut shares, now) = (Shares::default(), std::time::Instant::now());
    /// let left = std::time::Duration::from_secs(3);
    /// let ask = Ask { workspace: None, tier: 1, returning: false, chance: 1.0, draw: 0.2, left };
    /// shares.set_fleet(vec![], [8.0, 8.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0], now);
    /// assert_eq!(shares.decide(Ask { tier: 0, ..ask }, 10.0, now), Verdict::Admit);
    /// assert!(matches!(shares.decide(ask, 10.0, now), Verdict::Refuse { .. }));
    /// ```
    pub fn decide(&mut self, request: Ask, capacity: f64, now: Instant) -> Verdict {
        if self.utilization(capacity, now).is_none_or(|utilization| utilization <= OVERLOADED) {
            return Verdict::Admit;
        }
        let Some(fleet) = &self.fleet else { return Verdict::Admit };
        if self.plan.as_ref().is_none_or(|(planned, _)| *planned != capacity) {
            self.plan = Some((capacity, Plan::new(&fleet.rows, &fleet.totals, capacity)));
        }
        let Some((_, plan)) = &self.plan else { return Verdict::Admit };
        let tier = usize::from(bounded(request.tier));
        if !plan.refuses(tier) {
            return Verdict::Admit;
        }
        let own = fleet.rows.iter().position(|row| {
            Some(row.workspace) == request.workspace && usize::from(row.tier) == tier
        });
        let share = own.map_or(1.0, |index| plan.shares[index]).clamp(MIN_ADMITTED, 1.0);
        let factor = plan.factors[tier];
        let rank = self.chances[tier].rank(request.chance, later_draw(request.draw, share), now);
        let decided = &mut self.decided[tier];
        let owed = decided.planned.sum(now) - decided.admitted.sum(now);
        decided.planned.add((share * factor).max(MIN_ADMITTED), now);
        // A returning caller takes the place of one that was to be admitted by the plan and by chance wasn't.
        // The position among the refused callers is uniform, so their returns are spread evenly.
        let refused = if request.draw >= 1.0 - MIN_ADMITTED || (request.returning && owed >= 1.0) {
            None
        } else if request.draw < 1.0 - share {
            Some((Reason::OverShare, request.draw / (1.0 - share)))
        } else if rank < 1.0 - factor {
            Some((Reason::Overload, rank / (1.0 - factor)))
        } else {
            None
        };
        let Some((reason, position)) = refused else {
            decided.admitted.add(1.0, now);
            return Verdict::Admit;
        };
        let window = plan.window.min(request.left.mul_f64(MAX_WINDOW_FRACTION));
        Verdict::Refuse { after: window.mul_f64(plan.return_position(tier, position)), reason }
    }
}

/// What is left of a draw that has decided whether a request of a workspace is within its share; uniform from 0 to 1.
fn later_draw(draw: f64, share: f64) -> f64 {
    ((draw - (1.0 - share)) / share).clamp(0.0, 1.0)
}

/// Distributes the bits of a number (the finalizer of MurmurHash3).
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let number = (number ^ (number >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    number ^ (number >> 33)
}

fn bounded(tier: u8) -> u8 {
    tier.min(TIERS as u8 - 1)
}

/// The largest rows, the largest first; equal ones in a fixed order.
fn largest(rows: impl Iterator<Item = Row>, most: usize) -> Vec<Row> {
    let mut rows: Vec<Row> = rows.filter(|row| row.rate > 0.0).collect();
    let order = |a: &Row, b: &Row| {
        let key = |row: &Row| (row.workspace, row.tier);
        b.rate.total_cmp(&a.rate).then_with(|| key(a).cmp(&key(b)))
    };
    if rows.len() > most && most > 0 {
        rows.select_nth_unstable_by(most - 1, order);
    }
    rows.truncate(most);
    rows.sort_unstable_by(order);
    rows
}

/// Sums reports by workspace and tier; returns the largest rows and the totals.
///
/// ```
/// use overload::{Row, TIERS};
///
/// let row = Row { workspace: 7, tier: 0, rate: 2.0, weight: 1.0 };
/// let (rows, totals) = overload::sum([(&[row][..], &[2.0; TIERS]), (&[row], &[3.0; TIERS])], 16);
/// assert_eq!(rows, [Row { rate: 4.0, ..row }]);
/// assert_eq!(totals, [5.0; TIERS]);
/// ```
pub fn sum<'a>(
    reports: impl IntoIterator<Item = (&'a [Row], &'a [f64; TIERS])>,
    most: usize,
) -> (Vec<Row>, [f64; TIERS]) {
    let (mut sums, mut totals) = (HashMap::new(), [0.0; TIERS]);
    for (rows, by_tier) in reports {
        for row in rows {
            let empty = Row { rate: 0.0, ..*row };
            sums.entry((row.workspace, row.tier)).or_insert(empty).rate += row.rate;
        }
        totals.iter_mut().zip(by_tier).for_each(|(total, own)| *total += own);
    }
    (largest(sums.into_values(), most), totals)
}
