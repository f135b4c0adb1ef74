//! Tells from the log lines of nodes who wasn't served, when and why.

mod cause;
mod line;
mod report;

pub use cause::Cause;
pub use line::{Ended, Line};
pub use report::{Class, Losses, Report};
