use std::time::{Duration, Instant};

use super::{Issuer, PERMIT_LIFETIME, Permits, RateLimit, Throttle};

const SERVER: u32 = 7;
const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(20);

fn limit(rate: f64, at: Instant) -> RateLimit {
    RateLimit { server: SERVER, rate: Some(rate), at }
}

/// The number of permits that an issuer issues in so many seconds, asked every 20 ms.
fn count_issued(rate: f64, issuers: f64, nodes: usize, seconds: u32) -> u32 {
    let (mut issuer, start) = (Issuer::default(), Instant::now());
    let steps = seconds * (SECOND.as_millis() / STEP.as_millis()) as u32;
    let mut sum = 0;
    for step in 0..=steps {
        let permits =
            issuer.issue([limit(rate, start)].into_iter(), issuers, nodes, start + STEP * step);
        sum += permits.iter().map(|(_, count)| count).sum::<u32>();
    }
    sum
}

#[test]
fn an_issuer_issues_its_part() {
    for (rate, issuers, nodes) in [(2.6, 3.0, 3), (2.6, 3.0, 98), (50.0, 3.0, 24), (0.5, 3.0, 98)] {
        let part = rate / issuers * 60.0;
        let sum = f64::from(count_issued(rate, issuers, nodes, 60));
        assert!(sum <= part + 1.0 && sum >= part * 0.95 - 1.0, "{sum} of {part}");
    }
}

/// Guards against an issuer that issues less than a high limit allows.
#[test]
fn a_limit_of_a_million_is_issued_in_full() {
    assert!(count_issued(1e6, 3.0, 3, 1) > 300_000);
}

/// Guards against never sending a request again to a server whose limit is zero: only a response tells when
/// the limit rises.
#[test]
fn a_limit_of_zero_leaves_the_least_rate() {
    let sum = count_issued(0.0, 1.0, 3, 60);
    assert!((10..=16).contains(&sum), "{sum} in a minute");
}

/// Guards against a burst after a time in which no node asked for permits.
#[test]
fn few_permits_accrue() {
    let (mut issuer, start) = (Issuer::default(), Instant::now());
    for (seconds, most) in [(0, 0), (3_600, 1)] {
        let permits =
            issuer.issue([limit(2.0, start)].into_iter(), 3.0, 1, start + SECOND * seconds);
        assert_eq!(permits.iter().map(|(_, count)| *count).sum::<u32>(), most);
    }
}

/// Guards against permits that are used twice, or long after they were issued.
#[test]
fn a_permit_is_valid_once_and_for_a_while() {
    let (mut permits, now) = (Permits::default(), Instant::now());
    permits.add(2, now + PERMIT_LIFETIME, now);
    assert_eq!(permits.take(now), Some(now + PERMIT_LIFETIME));
    assert!(permits.available(now));
    permits.take(now);
    assert!(!permits.available(now));
    assert_eq!(permits.take(now), None);
    permits.add(1, now + PERMIT_LIFETIME, now);
    assert!(!permits.available(now + PERMIT_LIFETIME));
}

/// Guards against permits that nobody uses and that pile up for as long as a server has a limit.
#[test]
fn expired_permits_are_dropped() {
    let (mut permits, start) = (Permits::default(), Instant::now());
    for step in 0..1_000 {
        let now = start + STEP * step;
        permits.add(1, now + PERMIT_LIFETIME, now);
    }
    assert!(permits.batches.len() <= 50, "{}", permits.batches.len());
}

/// Guards against nodes that report the same limit to each other for ever, each with a slightly later time.
#[test]
fn the_same_limit_again_is_no_change() {
    let (mut throttle, now) = (Throttle::default(), Instant::now());
    throttle.merge(limit(2.5, now));
    let (_, version) = throttle.changes_since(0);
    throttle.merge(limit(2.51, now + SECOND));
    assert_eq!(throttle.changes_since(version).0, []);
    throttle.merge(limit(5.0, now + SECOND * 2));
    assert_eq!(throttle.changes_since(version).0.len(), 1);
}

/// Guards against an old limit that arrives late and replaces a newer one.
#[test]
fn the_newest_limit_of_a_server_counts() {
    let (mut throttle, now) = (Throttle::default(), Instant::now());
    throttle.merge(RateLimit { server: SERVER, rate: None, at: now + SECOND });
    throttle.merge(limit(2.5, now));
    assert_eq!(throttle.rate(SERVER), None);
}
