//! Records the metrics of the settings revisions that a node receives.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of the settings revisions that a node receives.
pub struct SettingsMetrics {
    events: IntCounterVec,
    revision: IntGauge,
    conflict: IntGauge,
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
        SettingsMetrics {
            events,
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

    /// Sets the revision in force.
    pub fn set_revision(&self, revision: u64) {
        self.revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    /// Sets whether one revision number was received with two digests.
    pub fn set_conflict(&self, conflict: bool) {
        self.conflict.set(conflict.into());
    }
}
