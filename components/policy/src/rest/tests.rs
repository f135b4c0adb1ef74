use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a fleet that comes back to a server in the moment in which its rest is over, and against a return that
/// takes longer than the rest.
#[test]
fn nodes_return_over_the_time_that_the_server_needs_for_them() {
    let now = Instant::now();
    let returns = |spread, jitter| Rest::new(SECOND * 3, spread, jitter, now).returns;
    let over = now + SECOND * 3;
    assert_eq!(returns(SECOND * 2, 0.0), over);
    assert_eq!(returns(SECOND * 2, 0.5), over + SECOND);
    assert_eq!(returns(SECOND * 60, 1.0), over + SECOND * 3);
}

/// Guards against a time that overflows, or takes a server out for a year.
#[test]
fn a_rest_of_a_year_is_believed_for_an_hour() {
    let now = Instant::now();
    let rest = Rest::new(Duration::from_secs_f64(1e18), Duration::ZERO, 0.0, now);
    assert_eq!(rest.until, now + MAX_REST);
}

/// Guards against sending all that waits as soon as a rest is over.
#[test]
fn one_request_is_unanswered_at_first() {
    let now = Instant::now();
    let mut rest = Rest::new(SECOND, Duration::ZERO, 0.0, now);
    assert!(!rest.admits(now) && rest.admits(now + SECOND));
    rest.unanswered = 1;
    assert!(!rest.admits(now + SECOND));
    rest.window = 2;
    assert!(rest.admits(now + SECOND));
}
