//! Settings heard from a peer: the same manifest and values as the service has, and what changed
//! since the revision that the asker holds, so that a change costs its own size and not the tree's.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::client::{Client, Error, READ, WATCH};
use crate::wire::Manifest;

/// Path of the manifest; `?after=N&digest=D` waits until its revision is above `N`.
pub const NEWS: &str = "/settings/manifest";
/// Path under which values stand by their digest.
pub const VALUES: &str = "/settings/value/";
/// How long a peer holds a watch open; below the asker's own limit.
pub const HOLD: std::time::Duration = std::time::Duration::from_secs(25);

derives::data! {
    /// What a peer tells of its settings.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum News {
        /// All parts by digest.
        Manifest(Manifest),
        /// What changed since a revision that the asker holds.
        Delta(Delta),
    }

    /// What changed between two revisions.
    #[derive(Serialize, Deserialize)]
    pub struct Delta {
        /// Number of the new revision.
        pub revision: u64,
        /// Digest that the new revision must come to.
        pub digest: u64,
        /// Parts that are new or changed.
        pub changed: Vec<Changed>,
        /// Names of parts that went.
        pub gone: Vec<String>,
    }

    /// A part that is new or changed.
    #[derive(Serialize, Deserialize)]
    pub struct Changed {
        /// Its name.
        pub name: String,
        /// Its text.
        pub text: String,
    }
}

/// Reader of one peer's settings.
#[derive(Clone)]
pub struct Peer {
    client: Client,
}

impl Peer {
    /// A reader of the peer at `address`, who asks for the nodes' secret in a header.
    pub fn new(
        http: awc::Client,
        address: SocketAddr,
        header: &'static str,
        secret: String,
    ) -> Self {
        let secret = Some((header, secret));
        Peer { client: Client { service: "peer", address, http, secret } }
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.client.address
    }

    /// News once the peer's revision is above `after`; none if nothing changed for a while.
    pub async fn watch(&self, after: u64, digest: u64) -> Result<Option<News>, Error> {
        self.news(&format!("{NEWS}?after={after}&digest={digest:016x}"), WATCH + READ).await
    }

    /// What the peer has now if that is above `after`; at once.
    pub async fn read(&self, after: u64, digest: u64) -> Result<Option<News>, Error> {
        self.news(&format!("{NEWS}?after={after}&digest={digest:016x}&now"), READ).await
    }

    /// The value with a digest, checked against it.
    pub async fn value(&self, wanted: &str) -> Result<String, Error> {
        self.client.value(VALUES, wanted).await
    }

    async fn news(&self, path: &str, within: std::time::Duration) -> Result<Option<News>, Error> {
        let Some(body) = self.client.get(path, within).await? else { return Ok(None) };
        serde_json::from_slice(&body).map(Some).map_err(|e| self.client.garbled(e))
    }
}
