//! Queues the requests of one class for one pool of backend servers, in a lane for each workspace.
//!
//! Every operation takes time logarithmic in the number of waiting requests.

use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

/// The requests of one workspace, in order of arrival.
#[derive(Clone, Debug)]
struct Lane {
    jobs: BTreeSet<(Instant, ids::Job)>,
    /// Virtual token counter of the workspace (module `fair`).
    counter: u64,
    /// Sum of the requests' expected tokens.
    tokens: u64,
    /// Whether the workspace may have more requests in flight.
    open: bool,
}

/// The lanes of all workspaces, and the orders in which requests are served and evicted.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lanes {
    /// Open lanes, by counter.
    by_counter: BTreeSet<(u64, ids::Workspace)>,
    /// All lanes, by number of requests.
    by_length: BTreeSet<(usize, ids::Workspace)>,
    lanes: HashMap<ids::Workspace, Lane>,
    count: usize,
    tokens: u64,
}

/// A request as its lane stores it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    pub(crate) job: ids::Job,
    pub(crate) workspace: ids::Workspace,
    pub(crate) arrived: Instant,
    pub(crate) tokens: u32,
}

impl Lanes {
    /// Number of requests.
    pub(crate) fn len(&self) -> usize {
        self.count
    }

    /// Sum of the requests' expected tokens.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Lowest counter of the open lanes.
    pub(crate) fn lowest_counter(&self) -> Option<u64> {
        self.by_counter.first().map(|(counter, _)| *counter)
    }

    /// Adds a request to its lane; `counter` and `open` are used if the lane is new.
    pub(crate) fn push(&mut self, entry: Entry, counter: u64, open: bool) {
        let workspace = entry.workspace;
        let new_lane = || Lane { jobs: BTreeSet::new(), counter, tokens: 0, open };
        let lane = self.lanes.entry(workspace).or_insert_with(new_lane);
        self.by_length.remove(&(lane.jobs.len(), workspace));
        lane.jobs.insert((entry.arrived, entry.job));
        lane.tokens += u64::from(entry.tokens);
        self.by_length.insert((lane.jobs.len(), workspace));
        if lane.open {
            self.by_counter.insert((lane.counter, workspace));
        }
        self.count += 1;
        self.tokens += u64::from(entry.tokens);
    }

    /// Removes a request; returns whether it was there.
    pub(crate) fn remove(&mut self, entry: Entry) -> bool {
        let Some(lane) = self.lanes.get_mut(&entry.workspace) else { return false };
        let length = lane.jobs.len();
        if !lane.jobs.remove(&(entry.arrived, entry.job)) {
            return false;
        }
        lane.tokens -= u64::from(entry.tokens);
        self.count -= 1;
        self.tokens -= u64::from(entry.tokens);
        self.by_length.remove(&(length, entry.workspace));
        if lane.jobs.is_empty() {
            self.by_counter.remove(&(lane.counter, entry.workspace));
            self.lanes.remove(&entry.workspace);
        } else {
            self.by_length.insert((length - 1, entry.workspace));
        }
        true
    }

    /// The request to serve next: the oldest one of the open lane with the lowest counter.
    pub(crate) fn peek(&self) -> Option<ids::Job> {
        let (_, workspace) = self.by_counter.first()?;
        self.lanes[workspace].jobs.first().map(|(_, job)| *job)
    }

    /// The request to evict first: the newest one of the longest lane.
    pub(crate) fn victim(&self) -> Option<ids::Job> {
        let (_, workspace) = self.by_length.last()?;
        self.lanes[workspace].jobs.last().map(|(_, job)| *job)
    }

    /// Number of requests in the longest lane.
    pub(crate) fn longest_lane(&self) -> usize {
        self.by_length.last().map_or(0, |(length, _)| *length)
    }

    /// Number of requests and sum of expected tokens of one workspace.
    pub(crate) fn lane_size(&self, workspace: ids::Workspace) -> (usize, u64) {
        self.lanes.get(&workspace).map_or((0, 0), |lane| (lane.jobs.len(), lane.tokens))
    }

    pub(crate) fn lane_count(&self) -> usize {
        self.lanes.len()
    }

    /// Sets the counter of a lane, and with it the lane's place in the order of service.
    pub(crate) fn set_counter(&mut self, workspace: ids::Workspace, counter: u64) {
        let Some(lane) = self.lanes.get_mut(&workspace) else { return };
        if self.by_counter.remove(&(lane.counter, workspace)) {
            self.by_counter.insert((counter, workspace));
        }
        lane.counter = counter;
    }

    /// Opens a lane, or closes it because its workspace may have no more requests in flight.
    pub(crate) fn set_open(&mut self, workspace: ids::Workspace, open: bool) {
        let Some(lane) = self.lanes.get_mut(&workspace) else { return };
        lane.open = open;
        if open {
            self.by_counter.insert((lane.counter, workspace));
        } else {
            self.by_counter.remove(&(lane.counter, workspace));
        }
    }
}
