//! Counts how often servers got requests again, as they see it.

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::raw::Seen;

derives::data! {
    /// What a service may get in a span of time beyond the first arrival of each request.
    pub struct Repeats {
        /// Arrivals for each request that callers sent.
        pub ratio: f64,
        /// Further arrivals, over all nodes.
        pub slack: f64,
        /// The span.
        pub window: Duration,
    }
}

impl Repeats {
    /// The most by which the arrivals of any window exceed what is allowed; not above zero if none does. Of the
    /// requests, those of the window, of the one before it, or of the one half a window earlier count, whichever
    /// has most. `arrivals` are of all servers of a service, and `sent` is when callers sent a request for it.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let (now, id) = (tokio::time::Instant::now(), String::from("r"));
    /// let seen = fakes::Seen { id, head: String::new(), body: String::new(), at: now };
    /// let allowed = fakes::Repeats { ratio: 0.2, slack: 1.0, window: Duration::from_secs(10) };
    /// assert!(allowed.excess(&[now], &[seen.clone(), seen.clone()]) < 0.0);
    /// assert!(allowed.excess(&[now], &[seen.clone(), seen.clone(), seen]) > 0.0);
    /// ```
    pub fn excess(&self, sent: &[Instant], arrivals: &[Seen]) -> f64 {
        let mut arrivals: Vec<_> = arrivals.iter().collect();
        arrivals.sort_by_key(|seen| seen.at);
        let mut known = HashSet::new();
        let is_repeat = |seen: &&Seen| !known.insert(seen.id.clone());
        let repeats: Vec<_> = arrivals.into_iter().filter(is_repeat).map(|seen| seen.at).collect();
        let excess = |start: &Instant| {
            let end = *start + self.window;
            let count = repeats.iter().filter(|at| *at >= start && **at < end).count();
            count as f64 - self.slack - self.ratio * self.most_sent(*start, sent) as f64
        };
        repeats.iter().map(excess).fold(-self.slack, f64::max)
    }

    /// Most requests that were sent in one of the windows that count for the one from `start` on.
    fn most_sent(&self, start: Instant, sent: &[Instant]) -> usize {
        let shifts = [Duration::ZERO, self.window / 2, self.window];
        let counts = shifts.map(|shift| {
            // Adding to the times that are compared, as the window may begin before the clock does.
            let in_window =
                |at: &&Instant| **at + shift >= start && **at + shift < start + self.window;
            sent.iter().filter(in_window).count()
        });
        counts.into_iter().max().unwrap_or(0)
    }
}
