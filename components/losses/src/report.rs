//! Who wasn't served, by class, cause, second and server.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::cause::Cause;
use crate::line::{Ended, Line};

derives::data! {
    /// What became of the requests of one class.
    #[derive(Default, Serialize)]
    pub struct Class {
        /// Requests that ended.
        pub ended: u64,
        /// Those that were served in time.
        pub in_time: u64,
        /// Those that were served whole, and late.
        pub late: u64,
        /// Those that weren't served whole.
        pub failed: u64,
        /// Losses by cause.
        pub causes: BTreeMap<&'static str, u64>,
    }

    /// What became of the requests of one second.
    #[derive(Copy, Default, Serialize)]
    pub struct Second {
        /// Requests that arrived in it and ended.
        pub ended: u64,
        /// Those that were late or not served.
        pub lost: u64,
    }

    /// What the logs of some nodes tell.
    #[derive(Default, Serialize)]
    pub struct Report {
        /// By route.
        pub classes: BTreeMap<String, Class>,
        /// By the second of arrival since 1970, then by route.
        pub seconds: BTreeMap<u64, BTreeMap<String, Second>>,
        /// Losses by server and cause.
        pub servers: BTreeMap<String, BTreeMap<&'static str, u64>>,
        /// Requests that weren't taken in, by reason. Their class isn't known.
        pub refused: BTreeMap<String, u64>,
        /// Lines that couldn't be read.
        pub unread: u64,
        /// Lines that nodes left out; what they told is missing in all other figures.
        pub left_out: u64,
    }
}

/// Reads lines in any order into a report.
#[derive(Debug, Default)]
pub struct Losses {
    report: Report,
}

impl Losses {
    /// Takes in a line.
    ///
    /// ```
    /// let mut losses = losses::Losses::default();
    /// losses.line("no object");
    /// assert_eq!(losses.report().unread, 1);
    /// ```
    pub fn line(&mut self, text: &str) {
        if text.trim().is_empty() {
            return;
        }
        match Line::read(text) {
            None => self.report.unread += 1,
            Some(Line::Other) => {}
            Some(Line::LeftOut(count)) => self.report.left_out += count,
            Some(Line::Refused(reason, _)) => *self.report.refused.entry(reason).or_default() += 1,
            Some(Line::Ended(ended, at)) => self.ended(&ended, at),
        }
    }

    fn ended(&mut self, ended: &Ended, at: Option<u64>) {
        let cause = Cause::of(ended);
        let whole = ended.outcome == "complete" && ended.status < 500;
        let class = self.report.classes.entry(ended.route.clone()).or_default();
        class.ended += 1;
        match cause {
            None => class.in_time += 1,
            Some(_) if whole => class.late += 1,
            Some(_) => class.failed += 1,
        }
        if let Some(cause) = cause {
            *class.causes.entry(cause.as_str()).or_default() += 1;
            let server = self.report.servers.entry(ended.server.clone()).or_default();
            *server.entry(cause.as_str()).or_default() += 1;
        }
        let Some(at) = at else { return };
        let arrived = at.saturating_sub(ended.took_ms) / 1_000;
        let second = self.report.seconds.entry(arrived).or_default();
        let second = second.entry(ended.route.clone()).or_default();
        second.ended += 1;
        second.lost += u64::from(cause.is_some());
    }

    /// What was read so far.
    pub fn report(&self) -> &Report {
        &self.report
    }
}
