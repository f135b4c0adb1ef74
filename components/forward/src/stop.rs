//! The stop of a node: which requests it still accepts, and the end of the time for which it waits for servers.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use stopping::{Durations, Pending, Sample, Schedule, Verdict};
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::adapter::Adapter;
use crate::intake::Received;
use crate::state::{State, Timestamp};

derives::value! {
    /// Requests that take similar times.
    pub(crate) struct Workload {
        service: ids::Model,
        /// Hash of the route's name.
        route: u64,
        /// They continue a stream.
        takes_up: bool,
    }

    /// Phase of a node's life.
    enum Phase {
        Running,
        Stopping,
        /// Servers are no longer waited for.
        Responding,
    }
}

/// The time for which a server is waited for is over.
#[derive(Debug)]
pub(crate) struct Elapsed;

/// The stop of a node, and what is known for it of the requests before.
pub(crate) struct Stop {
    phase: watch::Sender<Phase>,
    /// Its start and its phases.
    schedule: Cell<Option<(Timestamp, Schedule)>>,
    durations: RefCell<Durations<Workload>>,
    /// Each connection on which a request came from a peer has a receiver.
    hops: watch::Sender<()>,
}

impl Default for Stop {
    fn default() -> Self {
        Stop {
            phase: watch::channel(Phase::Running).0,
            schedule: Cell::default(),
            durations: RefCell::default(),
            hops: watch::channel(()).0,
        }
    }
}

impl Stop {
    /// Starts the stop.
    pub(crate) fn begin(&self, at: Timestamp, schedule: Schedule) {
        self.schedule.set(Some((at, schedule)));
        self.phase.send_replace(Phase::Stopping);
    }

    /// Ends all waiting for servers.
    pub(crate) fn end_waiting(&self) {
        self.phase.send_replace(Phase::Responding);
    }

    /// Whether servers are no longer waited for.
    pub(crate) fn is_responding(&self) -> bool {
        *self.phase.borrow() == Phase::Responding
    }

    /// Returns once the stop has begun.
    pub(crate) async fn begun(&self) {
        self.reached(Phase::Stopping).await;
    }

    /// A guard for a connection on which a request came from a peer, to be dropped when that connection has ended.
    pub(crate) fn hop_guard(&self) -> watch::Receiver<()> {
        self.hops.subscribe()
    }

    /// Returns once no connection is open on which a request came from a peer.
    pub(crate) async fn until_hops_closed(&self) {
        self.hops.closed().await;
    }

    async fn reached(&self, phase: Phase) {
        let _ = self.phase.subscribe().wait_for(|current| *current >= phase).await;
    }

    /// Waits for a time, or until servers are no longer waited for.
    pub(crate) async fn timeout<F: Future>(
        &self,
        time: Duration,
        future: F,
    ) -> Result<F::Output, Elapsed> {
        tokio::select! {
            biased;
            output = tokio::time::timeout(time, future) => output.map_err(|_| Elapsed),
            () = self.reached(Phase::Responding) => Err(Elapsed),
        }
    }

    /// Waits until servers are no longer waited for.
    pub(crate) async fn until_responding<F: Future>(
        &self,
        future: F,
    ) -> Result<F::Output, Elapsed> {
        tokio::select! {
            biased;
            output = future => Ok(output),
            () = self.reached(Phase::Responding) => Err(Elapsed),
        }
    }
}

impl<A: Adapter> State<A> {
    /// Starts a stop with this schedule.
    pub(crate) fn begin_stop(&self, schedule: Schedule) {
        self.stop.begin(self.timestamp(), schedule);
        self.draining.set(true);
    }

    /// Time since the start of the stop.
    pub(crate) fn stopping_for(&self) -> Option<Duration> {
        let (began, _) = self.stop.schedule.get()?;
        Some(self.elapsed_since(began))
    }

    /// Time for which servers are still waited for; none while the node isn't stopping.
    pub(crate) fn time_until_responses(&self) -> Option<Duration> {
        let (began, schedule) = self.stop.schedule.get()?;
        if self.stop.is_responding() {
            return Some(Duration::ZERO);
        }
        Some(schedule.waiting.saturating_sub(self.elapsed_since(began)))
    }

    /// Whether a request that wasn't sent yet may be sent to a server: the node isn't stopping, or the answer is likely to
    /// end before servers are no longer waited for.
    pub(crate) fn accepts(&self, received: &Received) -> bool {
        let Some(room) = self.time_until_responses() else { return true };
        let limit = received.time_limit.saturating_sub(self.elapsed_since(received.arrived));
        let workload = received.workload();
        let repeatable = received.repeatable().is_some();
        let pending = Pending { room, limit, repeatable };
        let open = self.open_since(workload, received.arrived);
        self.stop.durations.borrow().decide(&workload, pending, open) == Verdict::Accept
    }

    /// Records how long a request took that was sent to a server.
    pub(crate) fn record_duration(&self, received: &Received, ended: bool) {
        let time = self.elapsed_since(received.arrived);
        self.stop.durations.borrow_mut().record(received.workload(), Sample { time, ended });
    }
}

impl Received {
    /// The requests that take similar times as this one.
    pub(crate) fn workload(&self) -> Workload {
        let takes_up = self.call.last_event_id.is_some();
        let route = xxh3_64(self.route().name.as_bytes());
        Workload { service: self.service, route, takes_up }
    }
}
