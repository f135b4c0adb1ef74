//! Counts lost requests by class, cause, second of arrival and backend server.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::cause::Cause;
use crate::line::{Line, Request};

derives::data! {
    /// Counts of the requests of one class.
    #[derive(Default, Serialize)]
    pub struct Class {
        /// Requests that ended.
        pub ended: u64,
        /// Requests that were served in time.
        pub in_time: u64,
        /// Requests that got a complete answer, but late.
        pub late: u64,
        /// Requests that got no complete answer.
        pub failed: u64,
        /// Late and failed requests by cause.
        pub causes: BTreeMap<&'static str, u64>,
    }

    /// Counts of the requests that arrived in one second.
    #[derive(Copy, Default, Serialize)]
    pub struct Second {
        /// Requests that arrived in it and ended.
        pub ended: u64,
        /// Those of them that were late or failed.
        pub lost: u64,
    }

    /// Counts over all log lines that were read.
    #[derive(Default, Serialize)]
    pub struct Report {
        /// Counts by route.
        pub classes: BTreeMap<String, Class>,
        /// Counts by the second of arrival since 1970, then by route.
        pub seconds: BTreeMap<u64, BTreeMap<String, Second>>,
        /// Late and failed requests by backend server and cause.
        pub servers: BTreeMap<String, BTreeMap<&'static str, u64>>,
        /// Requests that were refused before they were parsed, by reason. Their class isn't known.
        pub refused: BTreeMap<String, u64>,
        /// Lines that couldn't be parsed.
        pub unread: u64,
        /// Lines that nodes dropped under load; all other counts lack what these lines held.
        pub left_out: u64,
    }
}

/// Builds a report from log lines in any order.
#[derive(Debug, Default)]
pub struct Aggregator {
    report: Report,
}

impl Aggregator {
    /// Adds one log line to the report; blank lines are skipped.
    ///
    /// ```
    /// let mut aggregator = losses::Aggregator::default();
    /// aggregator.add_line("no object");
    /// assert_eq!(aggregator.report().unread, 1);
    /// ```
    pub fn add_line(&mut self, text: &str) {
        if text.trim().is_empty() {
            return;
        }
        match Line::parse(text) {
            None => self.report.unread += 1,
            Some(Line::Other) => {}
            Some(Line::Dropped(count)) => self.report.left_out += count,
            Some(Line::Refused(reason, _)) => *self.report.refused.entry(reason).or_default() += 1,
            Some(Line::Ended(request, at)) => self.add_request(&request, at),
        }
    }

    fn add_request(&mut self, request: &Request, at: Option<u64>) {
        let cause = Cause::classify(request);
        let complete = request.outcome == "complete" && request.status < 500;
        let class = self.report.classes.entry(request.route.clone()).or_default();
        class.ended += 1;
        match cause {
            None => class.in_time += 1,
            Some(_) if complete => class.late += 1,
            Some(_) => class.failed += 1,
        }
        if let Some(cause) = cause {
            *class.causes.entry(cause.as_str()).or_default() += 1;
            let server = self.report.servers.entry(request.server.clone()).or_default();
            *server.entry(cause.as_str()).or_default() += 1;
        }
        let Some(at) = at else { return };
        let arrived = at.saturating_sub(request.took_ms) / 1_000;
        let second = self.report.seconds.entry(arrived).or_default();
        let second = second.entry(request.route.clone()).or_default();
        second.ended += 1;
        second.lost += u64::from(cause.is_some());
    }

    /// Returns the report over the lines added so far.
    pub fn report(&self) -> &Report {
        &self.report
    }
}
