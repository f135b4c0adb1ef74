//! Records the metrics of the settings revisions that a node receives.

use std::time::Duration;

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry};

/// Upper bounds of the buckets of times without current settings.
const ABSENCE_BUCKETS_SECONDS: [f64; 9] = [0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 60.0];

/// Metrics of the settings revisions that a node receives.
pub struct SettingsMetrics {
    events: IntCounterVec,
    revision: IntGauge,
    conflict: IntGauge,
    absences: HistogramVec,
}

impl SettingsMetrics {
    pub(crate) fn new(registry: &Registry) -> Self {
        let help =
            "Settings: accepted, refused, conflict, stale, peer-fault, unread, renewed, woken";
        let events = IntCounterVec::new(Opts::new("godwitlever_settings_total", help), &["event"]);
        let events = events.expect("the metric's name is valid");
        let gauge = |name, help| {
            let gauge = IntGauge::new(name, help).expect("the metric's name is valid");
            registry.register(Box::new(gauge.clone())).expect("the metric is registered once");
            gauge
        };
        registry.register(Box::new(events.clone())).expect("the metric is registered once");
        let help = "Time without current settings, after a start or since the proof lapsed";
        let options = HistogramOpts::new("godwitlever_settings_absence_seconds", help);
        let absences =
            HistogramVec::new(options.buckets(ABSENCE_BUCKETS_SECONDS.to_vec()), &["after"]);
        let absences = absences.expect("the metric's name is valid");
        registry.register(Box::new(absences.clone())).expect("the metric is registered once");
        SettingsMetrics {
            events,
            absences,
            revision: gauge("godwitlever_settings_revision", "Revision in force"),
            conflict: gauge(
                "godwitlever_settings_conflict",
                "1 while one revision was shown with two digests",
            ),
        }
    }

    /// Counts one of the events that the help text of `godwitlever_settings_total` lists.
    pub fn count_event(&self, event: &str) {
        self.events.with_label_values(&[event]).inc();
    }

    /// Records a time without current settings that has ended; `after` is what preceded it: `start` or `lapse`.
    pub fn observe_absence(&self, after: &str, time: Duration) {
        self.absences.with_label_values(&[after]).observe(time.as_secs_f64());
    }

    /// Sets the revision in force.
    pub fn set_revision(&self, revision: u64) {
        self.revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    /// Sets whether one revision number was received with two digests.
    pub fn set_conflict(&self, conflict: bool) {
        self.conflict.set(conflict.into());
    }
}
