//! The state of one backend server: its terms, its reports, and what was sent to it.
//!
//! Pattern: reports that lag. Without the correction every node sends to the server that looked
//! idle a while ago, all at once.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::health::Health;
use crate::limit::Limit;
use crate::mechanism::{Disabled, Mechanism};
use crate::prefill::Estimator;
use crate::priority::PerPriority;
use crate::terms::{Report, Server, Share};
use crate::throttle::Permits;

/// A report counts half after this time: about a third of a stream's life, by when a third of what
/// it told of has ended.
const HALF: f64 = 1.0;
/// Sends and ends that are remembered for the report to come; more than that in a report's lag
/// outweighs the report anyway.
const RECENT: usize = 128;
/// Reports missed in a row that make a server silent: one may be lost or late.
const MISSED: f64 = 2.5;
/// Weight of a new token interval in the running mean: some ten tokens show a change.
const WEIGHT: f64 = 0.1;
/// Token interval of a server of which nothing was heard, in seconds.
pub(crate) const DEFAULT_TOKEN_SECONDS: f64 = 0.05;
/// Time to its first token, in seconds.
pub(crate) const DEFAULT_FIRST_TOKEN_SECONDS: f64 = 0.2;

/// One backend server.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) terms: Server,
    pub(crate) sent: u32,
    /// Requests of this node that are there.
    pub(crate) jobs: Vec<ids::Job>,
    /// Their places, by rank of urgency.
    pub(crate) taken: PerPriority,
    pub(crate) share: Option<Share>,
    pub(crate) health: Health,
    pub(crate) limit: Limit,
    pub(crate) prefill: Estimator,
    /// Permits to send to it, if it has named a rate limit.
    pub(crate) permits: Option<Permits>,
    report: Option<Report>,
    /// What was sent less what ended since the report was made.
    since: i32,
    recent: VecDeque<(Instant, i8)>,
    seen: Option<f64>,
    first: Option<f64>,
    heard: Option<Instant>,
    /// Seconds between reports.
    cadence: Option<f64>,
}

impl State {
    pub(crate) fn new(terms: Server) -> Self {
        State {
            terms,
            sent: 0,
            jobs: vec![],
            taken: PerPriority::default(),
            share: None,
            health: Health::default(),
            limit: Limit::default(),
            prefill: Estimator::default(),
            permits: None,
            report: None,
            since: 0,
            recent: VecDeque::new(),
            seen: None,
            first: None,
            heard: None,
            cadence: None,
        }
    }

    pub(crate) fn leaving(&self) -> bool {
        self.terms.leaving || self.report.as_ref().is_some_and(|report| report.leaving)
    }

    /// Requests it runs at once, by settings and report.
    pub(crate) fn slots(&self) -> u32 {
        let reported = self.report.as_ref().map_or(u32::MAX, |report| report.slots.max(1));
        self.terms.slots.min(reported)
    }

    /// Requests that this node may have there at once.
    pub(crate) fn node_slots(&self, without: Disabled) -> u32 {
        let slots = self.slots();
        let shared = self.share.filter(|_| without.lacks(Mechanism::SlotSharing));
        let places = shared.map_or(slots, |share| share.slots.min(slots));
        self.limit_of(places, without)
    }

    fn limit_of(&self, places: u32, without: Disabled) -> u32 {
        if without.lacks(Mechanism::AdaptiveLimit) {
            self.limit.usable_slots(places)
        } else {
            places
        }
    }

    /// Whether this node may send it one more.
    pub(crate) fn has_free_slot(&self, without: Disabled) -> bool {
        self.sent < self.node_slots(without)
    }

    /// Whether its rate limit leaves room for one more, if it has named one.
    pub(crate) fn has_permit(&self, now: Instant) -> bool {
        self.permits.as_ref().is_none_or(|permits| permits.available(now))
    }

    /// Whether it seems to have a place, be it this node's or not, and this node holds no more than
    /// its part: one beyond it is all that a node adds to what an engine may be overrun by.
    pub(crate) fn has_spare_slots(&self, now: Instant, without: Disabled) -> bool {
        self.sent <= self.node_slots(without)
            && self.load(now, without) + 2.0 <= f64::from(self.limit_of(self.slots(), without))
    }

    /// Whether it has no place left, as far as known.
    pub(crate) fn is_full(&self) -> bool {
        self.sent + self.share.map_or(0, |share| share.sent) >= self.slots()
    }

    /// Rank of the highest tier that waits for it at a peer while it is full, as far as known.
    pub(crate) fn peer_waiting_tier(&self, without: Disabled) -> Option<u8> {
        let share = self.share.filter(|_| without.lacks(Mechanism::SlotSharing))?;
        share.waiting.filter(|_| self.is_full())
    }

    /// Requests there now, as far as can be told.
    pub(crate) fn load(&self, now: Instant, without: Disabled) -> f64 {
        let own = f64::from(self.sent + self.share.map_or(0, |share| share.sent));
        let Some(report) = &self.report else { return own };
        let told = f64::from(report.running + report.queued);
        if !without.lacks(Mechanism::LoadCorrection) {
            return told;
        }
        let age = now.saturating_duration_since(report.at).as_secs_f64();
        let weight = (-age / HALF).exp2();
        let corrected = (told + f64::from(self.since)).max(f64::from(self.sent));
        corrected * weight + own * (1.0 - weight)
    }

    /// Time since its last report was made.
    pub(crate) fn report_age(&self, now: Instant) -> Option<Duration> {
        self.report.as_ref().map(|report| now.saturating_duration_since(report.at))
    }

    /// Seconds between tokens of a stream.
    pub(crate) fn token_interval(&self) -> f64 {
        let reported = self.report.as_ref().map(|report| report.token_interval.as_secs_f64());
        let known = self.seen.or(reported).filter(|interval| *interval > 0.0);
        known.unwrap_or(DEFAULT_TOKEN_SECONDS)
    }

    /// Whether its reports have stopped coming, as they do when a link or the server is down.
    pub(crate) fn reports_stopped(&self, now: Instant) -> bool {
        let (Some(heard), Some(cadence)) = (self.heard, self.cadence) else { return false };
        now.saturating_duration_since(heard).as_secs_f64() > cadence * MISSED
    }

    /// Takes in a report.
    pub(crate) fn apply_report(&mut self, report: Report, now: Instant) {
        if let Some(last) = self.heard.replace(now) {
            let gap = now.saturating_duration_since(last).as_secs_f64();
            let cadence = self.cadence.get_or_insert(gap);
            *cadence += (gap.min(*cadence * MISSED) - *cadence) * WEIGHT;
        }
        if self.report.as_ref().is_some_and(|held| held.at > report.at) {
            return;
        }
        while self.recent.front().is_some_and(|(at, _)| *at <= report.at) {
            self.recent.pop_front();
        }
        self.since = self.recent.iter().map(|(_, change)| i32::from(*change)).sum();
        if self.sent == 0 {
            // Nothing of this node's runs there to judge by, so the report is all there is.
            self.seen = None;
        }
        self.report = Some(report);
    }

    /// Takes in the mean time between tokens of a stream.
    pub(crate) fn record_token_interval(&mut self, interval: Duration) {
        let interval = interval.as_secs_f64();
        let seen = self.seen.get_or_insert(interval);
        *seen += (interval - *seen) * WEIGHT;
    }

    /// Takes in the time from a send to the first token.
    pub(crate) fn record_first_token(&mut self, after: Duration) {
        let after = after.as_secs_f64();
        let first = self.first.get_or_insert(after);
        *first += (after - *first) * WEIGHT;
    }

    /// Seconds from a send to the first token.
    pub(crate) fn first_token_time(&self) -> Option<f64> {
        self.first
    }

    /// Counts a request sent.
    pub(crate) fn record_send(&mut self, job: ids::Job, rank: u8, now: Instant) {
        self.sent += 1;
        if let Some(permits) = &mut self.permits {
            permits.take(now);
        }
        self.taken.add(rank, 1.0);
        self.jobs.push(job);
        self.change(1, now);
    }

    /// Counts a request ended.
    pub(crate) fn record_end(&mut self, job: ids::Job, rank: u8, now: Instant) {
        self.sent = self.sent.saturating_sub(1);
        self.taken.add(rank, -1.0);
        if let Some(index) = self.jobs.iter().position(|held| *held == job) {
            self.jobs.swap_remove(index);
        }
        self.change(-1, now);
    }

    fn change(&mut self, by: i8, now: Instant) {
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back((now, by));
        self.since += i32::from(by);
    }
}
