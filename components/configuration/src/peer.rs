//! Reads settings from a peer: the same manifest and values as the service has, or only what changed
//! since the revision that the caller has, so that a change costs its own size and not that of all
//! settings.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::client::{Client, Error, READ_TIMEOUT, WATCH_DURATION};
use crate::wire::Manifest;

/// Path of the manifest; `?after=N&digest=D` waits until its revision is above `N`, and `&now`
/// answers at once.
pub const MANIFEST_PATH: &str = "/settings/manifest";
/// Prefix of the paths of values; the digest follows.
pub const VALUE_PATH: &str = "/settings/value/";
/// Time that a peer keeps a watch open; less than the caller's own timeout.
pub const WATCH_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(25);

derives::data! {
    /// What a peer sends of its settings.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Update {
        /// All parts with their digests.
        Manifest(Manifest),
        /// What changed since the revision that the caller has.
        Delta(Delta),
    }

    /// The difference between two revisions.
    #[derive(Serialize, Deserialize)]
    pub struct Delta {
        /// Number of the new revision.
        pub revision: u64,
        /// Digest that the new revision must have.
        pub digest: u64,
        /// Parts that are new or changed.
        pub changed: Vec<Changed>,
        /// Names of parts that were removed.
        pub gone: Vec<String>,
    }

    /// A new or changed part.
    #[derive(Serialize, Deserialize)]
    pub struct Changed {
        /// Name of the part.
        pub name: String,
        /// Text of the part's value.
        pub text: String,
    }
}

/// A client of one peer's settings.
#[derive(Clone)]
pub struct Peer {
    client: Client,
}

impl Peer {
    /// A client of the peer at `address`, which checks the nodes' shared `secret` in `header`.
    pub fn new(
        http: awc::Client,
        address: SocketAddr,
        header: &'static str,
        secret: String,
    ) -> Self {
        let secret = Some((header, secret));
        Peer { client: Client { service: "peer", address, http, secret } }
    }

    /// The peer's address.
    pub fn address(&self) -> SocketAddr {
        self.client.address
    }

    /// Waits until the peer's revision is above `after`; `None` if nothing changed for a while.
    pub async fn watch(&self, after: u64, digest: u64) -> Result<Option<Update>, Error> {
        self.update(
            &format!("{MANIFEST_PATH}?after={after}&digest={digest:016x}"),
            WATCH_DURATION + READ_TIMEOUT,
        )
        .await
    }

    /// Reads what the peer has at present; `None` if its revision isn't above `after`.
    pub async fn read(&self, after: u64, digest: u64) -> Result<Option<Update>, Error> {
        self.update(
            &format!("{MANIFEST_PATH}?after={after}&digest={digest:016x}&now"),
            READ_TIMEOUT,
        )
        .await
    }

    /// Reads the value with the digest `expected` and checks the digest.
    pub async fn read_value(&self, expected: &str) -> Result<String, Error> {
        self.client.read_value(VALUE_PATH, expected).await
    }

    async fn update(
        &self,
        path: &str,
        timeout: std::time::Duration,
    ) -> Result<Option<Update>, Error> {
        let Some(body) = self.client.get(path, timeout).await? else { return Ok(None) };
        serde_json::from_slice(&body).map(Some).map_err(|e| self.client.malformed_error(e))
    }
}
