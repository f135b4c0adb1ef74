//! The phases of a stop.

use std::time::Duration;

/// Time that the listener stays open after the node reports that it isn't ready: the load balancer checks every second
/// and removes a node after two failed checks.
const BALANCER_DELAY: Duration = Duration::from_millis(2_500);
/// Time before the end of the grace period at which the remaining connections are aborted, so that there is time to log
/// them.
const ABORT_MARGIN: Duration = Duration::from_millis(400);
/// Part of the grace period that is reserved for error responses: one in so many. They are small, but all open requests
/// get theirs at once, and a longer grace period is set where more requests are open.
const RESPONSE_DIVISOR: u32 = 20;

derives::value! {
    /// When the phases of a stop end, in time since its start.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let schedule = stopping::Schedule::new(Duration::from_secs(8));
    /// assert_eq!(schedule.listening, Duration::from_millis(2_500));
    /// assert_eq!(schedule.waiting, Duration::from_millis(7_200));
    /// assert_eq!(schedule.responding, Duration::from_millis(7_600));
    /// ```
    pub struct Schedule {
        /// No new connections are accepted any more.
        pub listening: Duration,
        /// Servers are no longer waited for, and open requests get error responses.
        pub waiting: Duration,
        /// Connections that are still open are aborted.
        pub responding: Duration,
    }
}

impl Schedule {
    /// Divides a grace period into phases.
    pub fn new(grace: Duration) -> Self {
        let responding = grace.saturating_sub(ABORT_MARGIN);
        let waiting = responding.saturating_sub(grace / RESPONSE_DIVISOR);
        Schedule { listening: BALANCER_DELAY.min(responding / 2).min(waiting), waiting, responding }
    }
}
