//! Defines the errors of loading a node's own settings.

use std::path::PathBuf;

/// Why a node's own settings can't be used. Each message says what to change.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{}: {source}; check the path and its permissions", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text isn't the expected TOML.
    #[error("{origin}: {source}")]
    Malformed {
        /// File that the text comes from.
        origin: String,
        /// Parse error with line and column.
        source: Box<toml::de::Error>,
    },
}
