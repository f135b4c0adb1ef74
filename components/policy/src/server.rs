//! Keeps the state of one backend server: its terms, its reports, and what was sent to it.
//!
//! Load pattern: reports that lag. Without a correction by what was sent since, every node sends to the
//! server that was idle a while ago, all at once.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::brittle;
use crate::cold::Guard;
use crate::health::Health;
use crate::limit::Limit;
use crate::mechanism::{Mechanism, Switches};
use crate::memory::Memory;
use crate::notices::Incarnation;
use crate::prefill::Estimator;
use crate::priority::PerPriority;
use crate::terms::{Report, Server, Share};
use crate::throttle::Permits;

/// Half-life of a report's weight, in seconds: about a third of a stream's life, by when a third of the
/// requests in the report have ended.
const REPORT_HALF_LIFE_SECONDS: f64 = 1.0;
/// Sends and ends that are kept to correct the next report; with more than that within a report's lag, they
/// outweigh the report anyway.
const MAX_RECENT_CHANGES: usize = 128;
/// Report intervals without a report after which reports count as stopped: one may be lost or late.
const MISSED_REPORTS: f64 = 2.5;
/// Weight of a new value in the moving averages: some ten tokens show a change.
const WEIGHT: f64 = 0.1;
/// Token interval of a server of which nothing is known, in seconds.
pub(crate) const DEFAULT_TOKEN_SECONDS: f64 = 0.05;
/// Time to the first token of such a server, in seconds.
pub(crate) const DEFAULT_FIRST_TOKEN_SECONDS: f64 = 0.2;

/// One backend server.
#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(crate) terms: Server,
    /// Number of this node's requests there.
    pub(crate) sent: u32,
    /// This node's requests there.
    pub(crate) jobs: Vec<ids::Job>,
    /// Slots that they occupy or wait for, by priority.
    pub(crate) occupied: PerPriority,
    /// This node's share of the slots; none where it acts as if it were alone.
    pub(crate) share: Option<Share>,
    pub(crate) health: Health,
    pub(crate) limit: Limit,
    pub(crate) prefill: Estimator,
    /// Permits to send to it, if it has named a rate limit.
    pub(crate) permits: Option<Permits>,
    /// Whether it is cold, and permits to send to it while it is.
    pub(crate) guard: Guard,
    /// What this node may send to it, if it is brittle.
    pub(crate) brittle: Option<brittle::Guard>,
    /// Until when this node has an idle connection to it.
    connected_until: Option<Instant>,
    report: Option<Report>,
    /// Requests sent less requests ended since the report was made.
    net_change: i32,
    /// Recent sends and ends of requests, as +1 and -1.
    recent_changes: VecDeque<(Instant, i8)>,
    /// Seconds between tokens, averaged over this node's requests.
    observed_interval: Option<f64>,
    /// Seconds to the first token, averaged over this node's requests.
    first_token: Option<f64>,
    report_received: Option<Instant>,
    /// Seconds between reports, averaged.
    report_interval: Option<f64>,
    /// Prompt tokens per second that it prefills, as the fleet has measured.
    pub(crate) measured_rate: Option<u32>,
    /// Use of its memory.
    pub(crate) memory: Memory,
}

impl State {
    pub(crate) fn new(terms: Server) -> Self {
        State {
            terms,
            sent: 0,
            jobs: vec![],
            occupied: PerPriority::default(),
            share: None,
            health: Health::default(),
            limit: Limit::default(),
            prefill: Estimator::default(),
            permits: None,
            guard: Guard::default(),
            brittle: None,
            connected_until: None,
            report: None,
            net_change: 0,
            recent_changes: VecDeque::new(),
            observed_interval: None,
            first_token: None,
            report_received: None,
            report_interval: None,
            measured_rate: None,
            memory: Memory::default(),
        }
    }

    /// Whether the settings or its report say that it takes no new work.
    pub(crate) fn leaving(&self) -> bool {
        let unused = self.terms.leaving || self.terms.evacuated;
        unused || self.report.as_ref().is_some_and(|report| report.leaving)
    }

    /// Whether it is leaving, but may still be sent what no other server takes.
    pub(crate) fn serves_on(&self, now: Instant) -> bool {
        let in_time = self.terms.serves_until.is_some_and(|until| now < until);
        in_time && !self.terms.evacuated
    }

    /// The start of it that the settings name.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation { salt: self.terms.salt, start: self.terms.start }
    }

    /// Requests that it runs at once, by settings and report.
    pub(crate) fn slots(&self) -> u32 {
        let reported = self.report.as_ref().map_or(u32::MAX, |report| report.slots.max(1));
        self.terms.slots.min(reported)
    }

    /// Requests that this node may have there at once.
    pub(crate) fn node_slots(&self, switches: Switches) -> u32 {
        let slots = self.slots();
        let shared = self.share.filter(|_| switches.is_on(Mechanism::SlotSharing));
        let slots = shared.map_or(slots, |share| share.slots.min(slots));
        self.apply_adaptive_limit(slots, switches)
    }

    fn apply_adaptive_limit(&self, slots: u32, switches: Switches) -> u32 {
        if switches.is_on(Mechanism::AdaptiveLimit) {
            self.limit.usable_slots(slots)
        } else {
            slots
        }
    }

    /// Whether this node may send it one more request.
    pub(crate) fn has_free_slot(&self, switches: Switches) -> bool {
        self.sent < self.node_slots(switches)
    }

    /// Whether requests are sent to it only on permits.
    pub(crate) fn needs_permit(&self, now: Instant) -> bool {
        self.permits.is_some() || self.guard.is_cold(now)
    }

    /// Whether it seems to have a free slot, in this node's share or another's, and this node's requests
    /// don't exceed its share. So each node goes beyond its share by one request at most, which bounds by
    /// how much an engine may be overfilled.
    pub(crate) fn has_spare_slots(&self, now: Instant, switches: Switches) -> bool {
        self.sent <= self.node_slots(switches)
            && self.load(now, switches) + 2.0
                <= f64::from(self.apply_adaptive_limit(self.slots(), switches))
    }

    /// Whether the requests of this node and its peers occupy all slots, as far as known.
    pub(crate) fn is_full(&self) -> bool {
        self.sent + self.share.map_or(0, |share| share.sent) >= self.slots()
    }

    /// The highest tier that waits for it at a peer while it is full, as far as known.
    pub(crate) fn peer_waiting_tier(&self, switches: Switches) -> Option<u8> {
        let share = self.share.filter(|_| switches.is_on(Mechanism::SlotSharing))?;
        share.waiting.filter(|_| self.is_full())
    }

    /// Estimated number of requests there now, from all nodes: its report, corrected by what this node sent
    /// since, and with the report's age more and more the requests that this node and its peers know of.
    pub(crate) fn load(&self, now: Instant, switches: Switches) -> f64 {
        let in_flight = f64::from(self.sent + self.share.map_or(0, |share| share.sent));
        let Some(report) = &self.report else { return in_flight };
        let reported = f64::from(report.running + report.queued);
        if !switches.is_on(Mechanism::LoadCorrection) {
            return reported;
        }
        let age = now.saturating_duration_since(report.at).as_secs_f64();
        let weight = (-age / REPORT_HALF_LIFE_SECONDS).exp2();
        let corrected = (reported + f64::from(self.net_change)).max(f64::from(self.sent));
        corrected * weight + in_flight * (1.0 - weight)
    }

    /// Time since its last report was made.
    pub(crate) fn report_age(&self, now: Instant) -> Option<Duration> {
        self.report.as_ref().map(|report| now.saturating_duration_since(report.at))
    }

    /// Seconds between tokens of a stream.
    pub(crate) fn token_interval(&self) -> f64 {
        self.known_token_interval().unwrap_or(DEFAULT_TOKEN_SECONDS)
    }

    /// The same; none if nothing is known of it.
    pub(crate) fn known_token_interval(&self) -> Option<f64> {
        let reported = self.report.as_ref().map(|report| report.token_interval.as_secs_f64());
        self.observed_interval.or(reported).filter(|interval| *interval > 0.0)
    }

    /// Whether its reports no longer arrive, as happens when a link or the server is down.
    pub(crate) fn reports_stopped(&self, now: Instant) -> bool {
        let (Some(received), Some(interval)) = (self.report_received, self.report_interval) else {
            return false;
        };
        now.saturating_duration_since(received).as_secs_f64() > interval * MISSED_REPORTS
    }

    /// Takes in a report, unless a newer one is known.
    pub(crate) fn apply_report(&mut self, report: Report, now: Instant) {
        if let Some(last) = self.report_received.replace(now) {
            let gap = now.saturating_duration_since(last).as_secs_f64();
            let interval = self.report_interval.get_or_insert(gap);
            *interval += (gap.min(*interval * MISSED_REPORTS) - *interval) * WEIGHT;
        }
        if self.report.as_ref().is_some_and(|known| known.at > report.at) {
            return;
        }
        while self.recent_changes.front().is_some_and(|(at, _)| *at <= report.at) {
            self.recent_changes.pop_front();
        }
        self.net_change = self.recent_changes.iter().map(|(_, change)| i32::from(*change)).sum();
        if self.sent == 0 {
            // With none of this node's requests there, the report is newer than the average.
            self.observed_interval = None;
        }
        self.report = Some(report);
    }

    /// Updates the average with the mean time between some tokens of a stream.
    pub(crate) fn record_token_interval(&mut self, interval: Duration) {
        let interval = interval.as_secs_f64();
        let average = self.observed_interval.get_or_insert(interval);
        *average += (interval - *average) * WEIGHT;
    }

    /// Updates the average with the time from a send to the first token.
    pub(crate) fn record_first_token(&mut self, after: Duration) {
        let after = after.as_secs_f64();
        let average = self.first_token.get_or_insert(after);
        *average += (after - *average) * WEIGHT;
    }

    /// Average seconds from a send to the first token; none if this node received no token from it yet.
    pub(crate) fn first_token_time(&self) -> Option<f64> {
        self.first_token
    }

    /// Records that this node has an idle connection to it, which it may use until a time.
    pub(crate) fn record_idle_connection(&mut self, until: Instant) {
        self.connected_until = Some(until);
    }

    /// Whether this node has an idle connection to it.
    pub(crate) fn is_connected(&self, now: Instant) -> bool {
        self.connected_until.is_some_and(|until| now < until)
    }

    /// Counts a request sent, which uses a permit if it has named a rate limit or is cold. Returns until when
    /// the request must be sent, if it is cold.
    pub(crate) fn record_send(
        &mut self,
        job: ids::Job,
        priority: u8,
        now: Instant,
    ) -> Option<Instant> {
        self.sent += 1;
        self.connected_until = None;
        if let Some(permits) = &mut self.permits {
            permits.take(now);
        }
        self.occupied.add(priority, 1.0);
        self.jobs.push(job);
        self.record_change(1, now);
        self.guard.take(now)
    }

    /// Counts a request ended.
    pub(crate) fn record_end(&mut self, job: ids::Job, priority: u8, now: Instant) {
        self.sent = self.sent.saturating_sub(1);
        self.occupied.add(priority, -1.0);
        if let Some(index) = self.jobs.iter().position(|other| *other == job) {
            self.jobs.swap_remove(index);
        }
        self.record_change(-1, now);
    }

    /// Remembers a send or an end until a report covers it.
    fn record_change(&mut self, change: i8, now: Instant) {
        if self.recent_changes.len() == MAX_RECENT_CHANGES {
            self.recent_changes.pop_front();
        }
        self.recent_changes.push_back((now, change));
        self.net_change += i32::from(change);
    }
}
