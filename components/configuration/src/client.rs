//! Reads the configuration service and the list of VMs over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use crate::wire::{MANIFEST_PATH, Manifest, VALUE_PATH, VMS_PATH, Vm, digest};

/// Timeout of a read. A healthy service answers in milliseconds; one that takes longer than this
/// counts as unavailable.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a watch returns even if nothing changed, so that a dead connection is noticed.
pub(crate) const WATCH_DURATION: Duration = Duration::from_secs(30);
/// Largest value that the service stores.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Why a read of the service, of a peer or of the list failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The service didn't answer.
    #[error("the {service} at {address} gives no answer ({cause}); the last good state stays")]
    Unavailable {
        /// Name of the service in messages.
        service: &'static str,
        /// Address that was tried.
        address: SocketAddr,
        /// Error of the connection.
        cause: String,
    },
    /// The service's response can't be used.
    #[error("the {service} answered {what}; check what is published there")]
    Malformed {
        /// Name of the service in messages.
        service: &'static str,
        /// What is wrong with the response.
        what: String,
    },
}

#[derive(Clone)]
pub(crate) struct Client {
    pub(crate) service: &'static str,
    pub(crate) address: SocketAddr,
    pub(crate) http: awc::Client,
    /// Header and secret that authenticate the caller, if the service asks for them.
    pub(crate) secret: Option<(&'static str, String)>,
}

impl Client {
    fn new(service: &'static str, address: SocketAddr) -> Self {
        Client { service, address, http: awc::Client::default(), secret: None }
    }

    pub(crate) fn unavailable_error(&self, cause: impl ToString) -> Error {
        Error::Unavailable {
            service: self.service,
            address: self.address,
            cause: cause.to_string(),
        }
    }

    pub(crate) fn malformed_error(&self, what: impl ToString) -> Error {
        Error::Malformed { service: self.service, what: what.to_string() }
    }

    /// Gets the body at `path`; `None` if the service answers that nothing changed.
    pub(crate) async fn get(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<Option<Vec<u8>>, Error> {
        let url = format!("http://{}{path}", self.address);
        let mut request = self.http.get(url).timeout(timeout);
        if let Some((name, secret)) = &self.secret {
            request = request.insert_header((*name, secret.clone()));
        }
        let mut response = request.send().await.map_err(|e| self.unavailable_error(e))?;
        match response.status().as_u16() {
            200 => {
                let body = response
                    .body()
                    .limit(MAX_VALUE_BYTES)
                    .await
                    .map_err(|e| self.unavailable_error(e))?;
                Ok(Some(body.to_vec()))
            }
            304 => Ok(None),
            status => Err(self.malformed_error(format!("status {status}"))),
        }
    }

    /// Reads the value with the digest `expected` below `prefix`, and checks the digest.
    pub(crate) async fn read_value(&self, prefix: &str, expected: &str) -> Result<String, Error> {
        let body = self.get(&format!("{prefix}{expected}"), READ_TIMEOUT).await?;
        let text =
            String::from_utf8(body.unwrap_or_default()).map_err(|e| self.malformed_error(e))?;
        if digest(&text) != expected {
            return Err(self.malformed_error(format!("a value that isn't {expected}")));
        }
        Ok(text)
    }
}

/// A client of the configuration service.
#[derive(Clone)]
pub struct Configuration {
    client: Client,
}

impl Configuration {
    /// A client of the service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Configuration { client: Client::new("configuration service", address) }
    }

    /// Waits for a manifest with a revision above `after`; `None` if nothing changed for a while.
    pub async fn watch(&self, after: Option<u64>) -> Result<Option<Manifest>, Error> {
        let path = match after {
            Some(after) => format!("{MANIFEST_PATH}?after={after}"),
            None => MANIFEST_PATH.to_string(),
        };
        let Some(body) = self.client.get(&path, WATCH_DURATION + READ_TIMEOUT).await? else {
            return Ok(None);
        };
        serde_json::from_slice(&body).map(Some).map_err(|e| self.client.malformed_error(e))
    }

    /// Reads the current manifest.
    pub async fn read(&self) -> Result<Manifest, Error> {
        let body = self.client.get(MANIFEST_PATH, READ_TIMEOUT).await?.unwrap_or_default();
        serde_json::from_slice(&body).map_err(|e| self.client.malformed_error(e))
    }

    /// Reads the value with the digest `expected` and checks the digest.
    pub async fn read_value(&self, expected: &str) -> Result<String, Error> {
        self.client.read_value(VALUE_PATH, expected).await
    }
}

/// A client of the list of VMs.
#[derive(Clone)]
pub struct VmList {
    client: Client,
}

impl VmList {
    /// A client of the list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        VmList { client: Client::new("VM list", address) }
    }

    /// Reads the published list, which lags behind the VMs that exist.
    pub async fn read(&self) -> Result<Vec<Vm>, Error> {
        let body = self.client.get(VMS_PATH, READ_TIMEOUT).await?.unwrap_or_default();
        serde_json::from_slice(&body).map_err(|e| self.client.malformed_error(e))
    }
}
