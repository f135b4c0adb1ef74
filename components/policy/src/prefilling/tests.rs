use std::time::{Duration, Instant};

use super::{ASSUMED_SECONDS, HELD_FOR, Held, Interval, LIFETIME, MIN_FLEET_SAMPLES, Samples};
use crate::Scheduler;

fn typical(seconds: impl IntoIterator<Item = f64>) -> f64 {
    let (mut samples, now) = (Samples::default(), Instant::now());
    seconds.into_iter().for_each(|seconds| samples.record(seconds, now));
    samples.typical(now).seconds
}

/// A single long pause, as of an engine that hung, moves no class to other engines.
#[test]
fn one_outlier_doesnt_count() {
    let usual = (0..30).map(|step| 0.03 + f64::from(step) * 1e-4);
    let seconds = typical(usual.chain([4.0]));
    assert!((0.03..0.034).contains(&seconds), "{seconds}");
}

/// Reports lag, so most intervals that count may be from engines that were idle again. Taken for those of busy engines, they
/// would let every class share engines with long prompts.
#[test]
fn idle_engines_dont_shorten_the_interval() {
    let seconds = typical([0.004; 30].into_iter().chain([0.05; 10]));
    assert_eq!(seconds, 0.05);
}

/// Measurements from before a change of the engines expire.
#[test]
fn measurements_expire() {
    let (mut samples, now) = (Samples::default(), Instant::now());
    samples.record(0.03, now);
    assert_eq!(samples.typical(now + LIFETIME), Interval::default());
    assert_eq!(samples.typical(now + LIFETIME - Duration::from_millis(1)).samples, 1);
}

/// A few measurements, or ones near the assumed interval, leave classes where they are.
#[test]
fn the_assumed_interval_applies_unless_many_measurements_differ() {
    let now = Instant::now();
    let applied = |seconds, samples| {
        Scheduler::with_seed(1).set_prefilling_interval(Interval { seconds, samples }, now)
    };
    assert_eq!(applied(0.03, MIN_FLEET_SAMPLES - 1), None);
    assert_eq!(applied(0.066, 500), None);
    assert_eq!(applied(0.03, 500), Some(0.03));
}

/// When a burst is over, engines are idle and their intervals short. The longer one applies on, so that classes don't change
/// their engines with each wave; but not for ever, as the engines may have been replaced.
#[test]
fn the_interval_of_busy_engines_applies_on_in_quiet_times() {
    let (mut held, now) = (Held::default(), Instant::now());
    held.update(0.05, now);
    held.update(0.01, now + HELD_FOR / 2);
    assert_eq!(held.effective_seconds(), 0.05);
    held.update(0.01, now + HELD_FOR);
    assert_eq!(held.effective_seconds(), 0.01);
    assert_eq!(Held { seconds: 0.07, measured: None }.effective_seconds(), ASSUMED_SECONDS);
}
