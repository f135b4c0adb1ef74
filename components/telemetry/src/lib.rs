//! Provides logging to standard output, one line per record, and Prometheus metrics.

mod logs;
mod metrics;
mod settings;
mod sink;

pub use logs::{Format, start_logging};
pub use metrics::Metrics;
pub use settings::SettingsMetrics;
pub use sink::flush_log;
