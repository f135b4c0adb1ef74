//! Reports from nodes' log lines which requests weren't served in time, when and why.

mod cause;
mod line;
mod report;

pub use cause::Cause;
pub use line::{Line, Request};
pub use report::{Aggregator, Class, Report};
