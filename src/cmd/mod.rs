//! Implements the subcommands of the operator's command.

mod check;
mod demo;
mod diff;
mod digest;
mod explain;
mod init;
mod losses;
mod route;
mod status;
mod trees;

pub use check::check;
pub use demo::demo;
pub use diff::diff;
pub use digest::digest;
pub use explain::{explain, show};
pub use init::init;
pub use losses::losses;
pub use route::route;
pub use status::status;

/// Formats a JSON value as a cell of a table.
fn cell(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::Null => "-".to_string(),
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
