//! Parses a node's own settings, which it needs before it can fetch the tree.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

use crate::error::Error;

derives::data! {
    /// A node's own settings.
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Node {
        /// Name; must be unique among the nodes.
        pub name: String,
        /// Region of the node.
        pub region: String,
        /// Failure domain of the node.
        pub domain: String,
        /// Listening address for callers.
        pub callers: SocketAddr,
        /// Listening address for peers.
        pub peers: SocketAddr,
        /// Listening address for operators.
        pub operators: SocketAddr,
        /// Address of the configuration service.
        pub configuration: SocketAddr,
        /// Address of the list of VMs.
        pub list: SocketAddr,
        /// Peers' addresses to contact until the list of VMs is known.
        #[serde(default)]
        pub seeds: Vec<SocketAddr>,
        /// Secret shared by all nodes.
        pub secret: String,
        /// Format of the log.
        #[serde(default)]
        pub log: LogFormat,
    }

    /// Format of the log.
    #[derive(Default, Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum LogFormat {
        /// One line of `key=value` pairs per record.
        #[default]
        Text,
        /// One JSON object per record.
        Json,
    }
}

impl Node {
    /// Parses a node's settings from TOML; `origin` names the text in errors.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if the text isn't valid TOML or has an unknown, missing or wrong
    /// field.
    ///
    /// ```
    /// assert!(settings::node::Node::parse("nonsense = 1", "node.toml").is_err());
    /// ```
    pub fn parse(text: &str, origin: &str) -> Result<Self, Error> {
        toml::from_str(text).map_err(|source| Error::Malformed {
            origin: origin.to_string(),
            source: source.into(),
        })
    }

    /// Reads and parses a node's settings file.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreadable`] if the file can't be read, and the errors of [`Node::parse`].
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::Unreadable { path: path.to_path_buf(), source })?;
        Self::parse(&text, &path.display().to_string())
    }
}
