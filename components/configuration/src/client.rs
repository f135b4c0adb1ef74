use std::net::SocketAddr;
use std::time::Duration;

use crate::wire::{MANIFEST, Manifest, VALUES, VMS, Vm, digest};

/// A read answers in milliseconds when the service is well; past this it counts as down.
pub(crate) const READ: Duration = Duration::from_secs(2);
/// A watch returns after this even if nothing changed, so that a dead connection is noticed.
pub(crate) const WATCH: Duration = Duration::from_secs(30);
/// The largest value that the service holds.
const LARGEST: usize = 1 << 20;

/// Why a read of the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No answer.
    #[error("the {service} at {address} gives no answer ({cause}); the last good state stays")]
    Down {
        /// Which service.
        service: &'static str,
        /// Where it was sought.
        address: SocketAddr,
        /// What the connection said.
        cause: String,
    },
    /// An answer that can't be used.
    #[error("the {service} answered {what}; check what is published there")]
    Garbled {
        /// Which service.
        service: &'static str,
        /// What was wrong.
        what: String,
    },
}

#[derive(Clone)]
pub(crate) struct Client {
    pub(crate) service: &'static str,
    pub(crate) address: SocketAddr,
    pub(crate) http: awc::Client,
    /// Header that shows who asks, where that is wanted.
    pub(crate) secret: Option<(&'static str, String)>,
}

impl Client {
    fn new(service: &'static str, address: SocketAddr) -> Self {
        Client { service, address, http: awc::Client::default(), secret: None }
    }

    pub(crate) fn down(&self, cause: impl ToString) -> Error {
        Error::Down { service: self.service, address: self.address, cause: cause.to_string() }
    }

    pub(crate) fn garbled(&self, what: impl ToString) -> Error {
        Error::Garbled { service: self.service, what: what.to_string() }
    }

    pub(crate) async fn get(&self, path: &str, within: Duration) -> Result<Option<Vec<u8>>, Error> {
        let url = format!("http://{}{path}", self.address);
        let mut request = self.http.get(url).timeout(within);
        if let Some((name, secret)) = &self.secret {
            request = request.insert_header((*name, secret.clone()));
        }
        let mut response = request.send().await.map_err(|e| self.down(e))?;
        match response.status().as_u16() {
            200 => {
                let body = response.body().limit(LARGEST).await.map_err(|e| self.down(e))?;
                Ok(Some(body.to_vec()))
            }
            304 => Ok(None),
            status => Err(self.garbled(format!("status {status}"))),
        }
    }

    /// The value with a digest, checked against it.
    pub(crate) async fn value(&self, under: &str, wanted: &str) -> Result<String, Error> {
        let body = self.get(&format!("{under}{wanted}"), READ).await?;
        let text = String::from_utf8(body.unwrap_or_default()).map_err(|e| self.garbled(e))?;
        if digest(&text) != wanted {
            return Err(self.garbled(format!("a value that isn't {wanted}")));
        }
        Ok(text)
    }
}

/// Reader of the configuration service.
#[derive(Clone)]
pub struct Configuration {
    client: Client,
}

impl Configuration {
    /// A reader of the service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Configuration { client: Client::new("configuration service", address) }
    }

    /// The manifest once its revision is above `after`; none if nothing changed for a while.
    pub async fn watch(&self, after: Option<u64>) -> Result<Option<Manifest>, Error> {
        let path = match after {
            Some(after) => format!("{MANIFEST}?after={after}"),
            None => MANIFEST.to_string(),
        };
        let Some(body) = self.client.get(&path, WATCH + READ).await? else { return Ok(None) };
        serde_json::from_slice(&body).map(Some).map_err(|e| self.client.garbled(e))
    }

    /// The manifest as it is shown now.
    pub async fn read(&self) -> Result<Manifest, Error> {
        let body = self.client.get(MANIFEST, READ).await?.unwrap_or_default();
        serde_json::from_slice(&body).map_err(|e| self.client.garbled(e))
    }

    /// The value with a digest, checked against it.
    pub async fn value(&self, wanted: &str) -> Result<String, Error> {
        self.client.value(VALUES, wanted).await
    }
}

/// Reader of the list of VMs.
#[derive(Clone)]
pub struct List {
    client: Client,
}

impl List {
    /// A reader of the list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        List { client: Client::new("VM list", address) }
    }

    /// The list as it is published now; it lags.
    pub async fn read(&self) -> Result<Vec<Vm>, Error> {
        let body = self.client.get(VMS, READ).await?.unwrap_or_default();
        serde_json::from_slice(&body).map_err(|e| self.client.garbled(e))
    }
}
