//! Counts what servers got from a node in the time for which they had asked it for rest.

use std::time::Duration;

use tokio::time::Instant;

/// Requests that were under way when the server asked for rest arrive within this time.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// Most requests that arrived in one of the rests that a server asked a node for: from half a second after its answer
/// to the end of the stated time. `arrivals` are those of that node's requests.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
///
/// let (now, second) = (Instant::now(), Duration::from_secs(1));
/// let arrivals = [now, now + second / 4, now + second, now + second * 3];
/// assert_eq!(fakes::most_in_rest(&arrivals, &[(now, second * 3)]), 1);
/// ```
pub fn most_in_rest(arrivals: &[Instant], asked: &[(Instant, Duration)]) -> usize {
    let count = |(at, time): &(Instant, Duration)| {
        let in_rest = |arrival: &&Instant| **arrival > *at + UNDER_WAY && **arrival < *at + *time;
        arrivals.iter().filter(in_rest).count()
    };
    asked.iter().map(count).max().unwrap_or_default()
}
