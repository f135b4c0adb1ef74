//! Requests of one class that wait for one pool of backend servers: lanes by workspace.
//!
//! Every operation takes time logarithmic in what waits.

use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

/// Requests of one workspace, in order of arrival.
#[derive(Debug)]
struct Lane {
    jobs: BTreeSet<(Instant, ids::Job)>,
    counter: u64,
    tokens: u64,
    open: bool,
}

/// Lanes, and the orders in which they are served and given up.
#[derive(Debug, Default)]
pub(crate) struct Lanes {
    /// Lanes that may be served, by counter.
    order: BTreeSet<(u64, ids::Workspace)>,
    /// All lanes, by requests.
    longest: BTreeSet<(usize, ids::Workspace)>,
    lanes: HashMap<ids::Workspace, Lane>,
    count: usize,
    tokens: u64,
}

/// A request as a band holds it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    pub(crate) job: ids::Job,
    pub(crate) workspace: ids::Workspace,
    pub(crate) arrived: Instant,
    pub(crate) tokens: u32,
}

impl Lanes {
    pub(crate) fn len(&self) -> usize {
        self.count
    }

    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Lowest counter among the lanes that may be served.
    pub(crate) fn lowest_counter(&self) -> Option<u64> {
        self.order.first().map(|(counter, _)| *counter)
    }

    /// Adds a request to its lane; `counter` and `open` hold for a lane that is new.
    pub(crate) fn push(&mut self, entry: Entry, counter: u64, open: bool) {
        let workspace = entry.workspace;
        let fresh = || Lane { jobs: BTreeSet::new(), counter, tokens: 0, open };
        let lane = self.lanes.entry(workspace).or_insert_with(fresh);
        self.longest.remove(&(lane.jobs.len(), workspace));
        lane.jobs.insert((entry.arrived, entry.job));
        lane.tokens += u64::from(entry.tokens);
        self.longest.insert((lane.jobs.len(), workspace));
        if lane.open {
            self.order.insert((lane.counter, workspace));
        }
        self.count += 1;
        self.tokens += u64::from(entry.tokens);
    }

    /// Takes a request out; returns whether it was there.
    pub(crate) fn remove(&mut self, entry: Entry) -> bool {
        let Some(lane) = self.lanes.get_mut(&entry.workspace) else { return false };
        let before = lane.jobs.len();
        if !lane.jobs.remove(&(entry.arrived, entry.job)) {
            return false;
        }
        lane.tokens -= u64::from(entry.tokens);
        self.count -= 1;
        self.tokens -= u64::from(entry.tokens);
        self.longest.remove(&(before, entry.workspace));
        if lane.jobs.is_empty() {
            self.order.remove(&(lane.counter, entry.workspace));
            self.lanes.remove(&entry.workspace);
        } else {
            self.longest.insert((before - 1, entry.workspace));
        }
        true
    }

    /// The request whose turn it is.
    pub(crate) fn peek(&self) -> Option<ids::Job> {
        let (_, workspace) = self.order.first()?;
        self.lanes[workspace].jobs.first().map(|(_, job)| *job)
    }

    /// The oldest request of the lane that has its turn last.
    pub(crate) fn victim(&self) -> Option<ids::Job> {
        let (_, workspace) = self.longest.last()?;
        self.lanes[workspace].jobs.last().map(|(_, job)| *job)
    }

    /// Length of the longest lane.
    pub(crate) fn longest_lane(&self) -> usize {
        self.longest.last().map_or(0, |(length, _)| *length)
    }

    /// Requests and tokens of one workspace.
    pub(crate) fn lane_size(&self, workspace: ids::Workspace) -> (usize, u64) {
        self.lanes.get(&workspace).map_or((0, 0), |lane| (lane.jobs.len(), lane.tokens))
    }

    /// Number of lanes.
    pub(crate) fn lane_count(&self) -> usize {
        self.lanes.len()
    }

    /// Puts a lane where its new counter belongs.
    pub(crate) fn set_counter(&mut self, workspace: ids::Workspace, counter: u64) {
        let Some(lane) = self.lanes.get_mut(&workspace) else { return };
        if self.order.remove(&(lane.counter, workspace)) {
            self.order.insert((counter, workspace));
        }
        lane.counter = counter;
    }

    /// Closes a lane whose workspace has all it may have in flight, or opens it again.
    pub(crate) fn set_open(&mut self, workspace: ids::Workspace, open: bool) {
        let Some(lane) = self.lanes.get_mut(&workspace) else { return };
        lane.open = open;
        if open {
            self.order.insert((lane.counter, workspace));
        } else {
            self.order.remove(&(lane.counter, workspace));
        }
    }
}
