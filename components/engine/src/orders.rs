//! Sends orders to engines, which tell them what to load, and reads what they have loaded, as JSON
//! over HTTP.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Path at which an engine shows its content.
pub const CONTENT_PATH: &str = "/engine/content";
/// Path at which an engine accepts orders.
pub const ORDER_PATH: &str = "/engine/order";

derives::data! {
    /// Models, adapters and role that an engine has, or is ordered to have.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Content {
        /// Names of the models.
        pub models: Vec<String>,
        /// Names of the adapters.
        #[serde(default)]
        pub adapters: Vec<String>,
        /// Version of the models.
        #[serde(default)]
        pub version: Option<String>,
        /// Phases of a request that the engine runs: `mixed` (both), `prefill` or `decode`.
        #[serde(default)]
        pub role: String,
        /// Fencing token: in an order, its own; in an engine's content, that of the last order that
        /// the engine accepted.
        #[serde(default)]
        pub fence: Option<u64>,
        /// Number of bytes that the engine would load to carry out an order; 0 if it can't tell.
        #[serde(default)]
        pub load_bytes: u64,
    }

    /// An engine's answer to an order.
    #[derive(Copy, Eq)]
    pub enum Outcome {
        /// The engine accepted the order.
        Accepted,
        /// The engine has already accepted an order with a higher fencing token.
        Superseded,
    }
}

/// Failure to read an engine's content or to send it an order.
#[derive(Debug, thiserror::Error)]
#[error(
    "{address} didn't answer as an engine that accepts orders ({cause}); if it accepts none, set no version or adapters for it"
)]
pub struct Error {
    address: String,
    cause: String,
}

/// Client that sends orders to engines.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    timeout: Duration,
}

impl Client {
    /// Creates a client that waits `timeout` for each answer.
    pub fn new(timeout: Duration) -> Self {
        Client { http: awc::Client::default(), timeout }
    }

    /// Fetches an engine's content.
    pub async fn fetch_content(&self, address: &str) -> Result<Content, Error> {
        let error = |cause: String| Error { address: address.to_string(), cause };
        let request =
            self.http.get(format!("http://{address}{CONTENT_PATH}")).timeout(self.timeout);
        let mut response = request.send().await.map_err(|e| error(e.to_string()))?;
        let body = response.body().await.map_err(|e| error(e.to_string()))?;
        serde_json::from_slice(&body).map_err(|e| error(e.to_string()))
    }

    /// Sends an order to an engine. Any status but 200 (accepted) and 409 (superseded) is an error.
    pub async fn send_order(&self, address: &str, order: &Content) -> Result<Outcome, Error> {
        let error = |cause: String| Error { address: address.to_string(), cause };
        let request = self.http.post(format!("http://{address}{ORDER_PATH}")).timeout(self.timeout);
        let response = request.send_json(order).await.map_err(|e| error(e.to_string()))?;
        match response.status().as_u16() {
            200 => Ok(Outcome::Accepted),
            409 => Ok(Outcome::Superseded),
            status => Err(error(format!("status {status}"))),
        }
    }
}
