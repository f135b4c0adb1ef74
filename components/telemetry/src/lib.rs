//! Logs, one line a record, and metrics, with histograms per class.

mod logs;
mod metrics;
mod settings;
mod sink;

pub use logs::{Form, start};
pub use metrics::Metrics;
pub use settings::Settings;
pub use sink::flush;
