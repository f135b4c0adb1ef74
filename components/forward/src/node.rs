//! Parses a node's own settings, which are read from a file and not from the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::mechanism::Switches;

derives::data! {
    /// A node's own settings.
    #[derive(Deserialize)]
    pub struct Node {
        /// Name, unique among the nodes.
        pub name: String,
        /// Failure domain that the node is in.
        pub domain: String,
        /// Region of each failure domain.
        pub domains: BTreeMap<String, String>,
        /// Listener for callers.
        pub callers: SocketAddr,
        /// Listener for operators and for the load balancer's readiness checks.
        pub operators: SocketAddr,
        /// Listener for peers.
        pub peers: SocketAddr,
        /// Peer addresses of the seeds, the nodes that read the store for all others; the same list on
        /// all nodes.
        #[serde(default)]
        pub seeds: Vec<SocketAddr>,
        /// Address of the store in which settings and servers are published.
        pub store: SocketAddr,
        /// Interval at which servers renew their entries in the store, in ms. An entry that wasn't renewed for some intervals
        /// is removed.
        #[serde(default = "default_check_in_ms")]
        pub check_in_ms: u64,
        /// Mechanisms that the node disables, by the words that docs/SETTINGS.md lists.
        #[serde(default, rename = "without")]
        pub disabled: Vec<String>,
        /// While the fleet is offered more than its engines can process, requests are refused on arrival by the fair shares
        /// of workspaces.
        #[serde(default)]
        pub fair_shares: bool,
        /// Resources that the node may use.
        pub room: Resources,
        /// Guarantees to operators and callers.
        pub promises: Promises,
    }

    /// Resources that a node may use.
    #[derive(Deserialize)]
    pub struct Resources {
        /// Memory in MB.
        pub memory_mb: u64,
        /// Open files and connections.
        pub descriptors: u64,
        /// Bandwidth of its network link in Mbit/s.
        #[serde(default = "default_link_mbps")]
        pub link_mbps: f64,
    }

    /// Guarantees to operators and callers.
    #[derive(Deserialize)]
    pub struct Promises {
        /// Time after which a revoked key is no longer served, in ms.
        pub revocation_ms: u64,
        /// Time within which a node that is told to stop has exited, in s.
        pub grace_s: f64,
        /// Time within which settings and servers that were published are in force, in ms; 2500 if it isn't given.
        #[serde(default = "default_apply_ms")]
        pub apply_ms: u64,
        /// Retries as a fraction of first attempts.
        pub repeats: f64,
        /// Further retries of all nodes together, for one service in any ten seconds; a small number for each node
        /// if it isn't given.
        #[serde(default)]
        pub retry_slack: Option<f64>,
        /// Time for which a server that has said in an answer that it leaves still serves, in ms: requests that come later
        /// aren't sent to it even if no other server is left. 0 if it isn't given.
        #[serde(default)]
        pub drain_ms: u64,
        /// Requests that may reach a cold server in a second, as a multiple of those that it tolerates.
        #[serde(default = "default_cold_overshoot")]
        pub cold_overshoot: f64,
        /// Further requests that may reach it in a second.
        #[serde(default)]
        pub cold_slack: f64,
    }
}

/// Default of [`Promises::apply_ms`].
const DEFAULT_APPLY_MS: u64 = 2_500;
/// Shortest and longest time within which what was published is in force, in ms. A node that asks a seed is up to a
/// second behind the store.
const APPLY_MS: std::ops::RangeInclusive<u64> = 1_000..=3_600_000;
/// Default of [`Node::check_in_ms`].
const DEFAULT_CHECK_IN_MS: u64 = 1_200;
/// Longest interval at which servers renew their entries, in ms.
const MAX_CHECK_IN_MS: u64 = 600_000;
/// Intervals after which an entry that is still listed has been renewed: it is removed after three without, and the node
/// learns of that within two more.
const RENEWAL_INTERVALS: u32 = 5;
/// Intervals for which the entry of a server that runs is listed without being renewed: it is removed after three, and was
/// renewed within the last one before.
const MIN_LAPSE_INTERVALS: u32 = 2;

/// Default bandwidth of a VM's link in Mbit/s.
const DEFAULT_LINK_MBPS: f64 = 1_000.0;
/// Bytes per second in one Mbit/s.
const BYTES_PER_MBPS: f64 = 125_000.0;

/// Default of [`Promises::cold_overshoot`]: a cold server gets what it tolerates.
const DEFAULT_COLD_OVERSHOOT: f64 = 1.0;
/// Largest values of what cold servers may get beyond what they tolerate.
const MAX_COLD_OVERSHOOT: f64 = 100.0;
const MAX_COLD_SLACK: f64 = 100_000.0;

/// Longest time for which a server that leaves is taken to serve, in ms.
const MAX_DRAIN_MS: u64 = 3_600_000;
/// Largest number of retries that a fleet may make at once.
const MAX_RETRY_SLACK: f64 = 1_000_000.0;

fn default_cold_overshoot() -> f64 {
    DEFAULT_COLD_OVERSHOOT
}

fn default_apply_ms() -> u64 {
    DEFAULT_APPLY_MS
}

fn default_check_in_ms() -> u64 {
    DEFAULT_CHECK_IN_MS
}

fn default_link_mbps() -> f64 {
    DEFAULT_LINK_MBPS
}

/// Buffers may take this fraction of a node's memory: one in so many. Bodies of requests have a part of their own.
const BUFFER_MEMORY_DIVISOR: u64 = 8;

impl Resources {
    /// Bytes that all buffers together may take whose contents servers, peers and callers determine.
    pub(crate) fn buffer_bytes(&self) -> usize {
        ((self.memory_mb << 20) / BUFFER_MEMORY_DIVISOR) as usize
    }

    /// Bandwidth of the node's link in bytes per second.
    pub(crate) fn link_bytes_per_second(&self) -> f64 {
        self.link_mbps * BYTES_PER_MBPS
    }
}

/// An error in a node's settings.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text isn't valid TOML, or a field is missing or has the wrong type.
    #[error(
        "{origin} isn't valid as a node's settings ({cause}); see docs/PLATFORM.md for the fields"
    )]
    Malformed {
        /// Where the text came from.
        origin: String,
        /// The parser's error.
        cause: Box<toml::de::Error>,
    },
    /// An unknown mechanism.
    #[error("{origin}: `without` names `{word}`; name some of: {known}")]
    Mechanism {
        /// Where the text came from.
        origin: String,
        /// The unknown word.
        word: String,
        /// The words of all mechanisms.
        known: String,
    },
    /// A value is out of range or inconsistent.
    #[error("{origin}: {what}; set it to {remedy}")]
    Value {
        /// Where the text came from.
        origin: String,
        /// What is wrong.
        what: &'static str,
        /// A valid value.
        remedy: &'static str,
    },
}

/// Fraction of the guaranteed revocation time that the proof that the settings are the newest may be
/// old; the rest allows for the difference between two VMs' clocks.
const PROOF_AGE_FRACTION: f64 = 0.97;

impl Node {
    /// Parses a node's settings from TOML; `origin` names the text in errors.
    ///
    /// ```
    /// assert!(forward::Node::parse("nonsense = 1", "node.toml").is_err());
    /// ```
    ///
    /// # Errors
    /// When a field is missing, has the wrong type, or is out of range.
    pub fn parse(text: &str, origin: &str) -> Result<Self, Error> {
        let node: Node = toml::from_str(text).map_err(|cause| Error::Malformed {
            origin: origin.to_string(),
            cause: Box::new(cause),
        })?;
        let value = |what, remedy| Error::Value { origin: origin.to_string(), what, remedy };
        if !node.domains.contains_key(&node.domain) {
            let what = "the node's own failure domain has no region under [domains]";
            return Err(value(what, "a domain that is listed there"));
        }
        if node.promises.revocation_ms == 0 {
            return Err(value("promises.revocation_ms is 0", "at least 1000"));
        }
        if !(0.0..=1.0).contains(&node.promises.repeats) {
            return Err(value("promises.repeats is out of range", "a part from 0 to 1"));
        }
        if !node.promises.retry_slack.is_none_or(|slack| (0.0..=MAX_RETRY_SLACK).contains(&slack)) {
            return Err(value("promises.retry_slack is out of range", "retries from 0 to 1000000"));
        }
        if !(node.room.link_mbps > 0.0 && node.room.link_mbps.is_finite()) {
            return Err(value("room.link_mbps is out of range", "more than 0 Mbit/s"));
        }
        if !(0.0..=3_600.0).contains(&node.promises.grace_s) {
            return Err(value("promises.grace_s is out of range", "seconds from 0 to 3600"));
        }
        if node.promises.drain_ms > MAX_DRAIN_MS {
            return Err(value(
                "promises.drain_ms is out of range",
                "milliseconds from 0 to 3600000",
            ));
        }
        if !APPLY_MS.contains(&node.promises.apply_ms) {
            return Err(value(
                "promises.apply_ms is out of range",
                "milliseconds from 1000 to 3600000",
            ));
        }
        if !(1..=MAX_CHECK_IN_MS).contains(&node.check_in_ms) {
            return Err(value("check_in_ms is out of range", "milliseconds from 1 to 600000"));
        }
        if !(0.0..=MAX_COLD_OVERSHOOT).contains(&node.promises.cold_overshoot) {
            return Err(value("promises.cold_overshoot is out of range", "a factor from 0 to 100"));
        }
        if !(0.0..=MAX_COLD_SLACK).contains(&node.promises.cold_slack) {
            return Err(value("promises.cold_slack is out of range", "requests from 0 to 100000"));
        }
        for word in &node.disabled {
            let (origin, word) = (origin.to_string(), word.clone());
            Switches::parse(std::slice::from_ref(&word)).map_err(|known| Error::Mechanism {
                origin,
                word,
                known,
            })?;
        }
        Ok(node)
    }

    /// Which mechanisms are on.
    pub(crate) fn switches(&self) -> Switches {
        Switches::parse(&self.disabled).unwrap_or_default()
    }

    /// Region of the node's failure domain; empty if it isn't known.
    pub fn region(&self) -> &str {
        self.domains.get(&self.domain).map_or("", String::as_str)
    }

    /// Longest age of the proof that the settings are the newest, up to which keys are accepted.
    pub fn max_proof_age(&self) -> Duration {
        Duration::from_millis(self.promises.revocation_ms).mul_f64(PROOF_AGE_FRACTION)
    }

    /// Time within which what was published is in force: settings, and the servers that leave.
    pub(crate) fn apply_time(&self) -> Duration {
        let drain = Some(self.promises.drain_ms).filter(|drain| APPLY_MS.contains(drain));
        Duration::from_millis(
            drain.map_or(self.promises.apply_ms, |drain| drain.min(self.promises.apply_ms)),
        )
    }

    /// For how long the node may rely on its proof that nothing newer was published.
    pub(crate) fn proof_limits(&self) -> upstream::Limits {
        let lapse = Duration::from_millis(self.check_in_ms) * MIN_LAPSE_INTERVALS;
        upstream::Limits { apply: self.apply_time(), lapse }
    }

    /// Time for which a server that has said that it leaves still serves.
    pub(crate) fn drain_time(&self) -> Duration {
        Duration::from_millis(self.promises.drain_ms)
    }

    /// Time in which an entry that is still listed was renewed by its server.
    pub(crate) fn renewal_time(&self) -> Duration {
        Duration::from_millis(self.check_in_ms) * RENEWAL_INTERVALS
    }

    /// Time from being told to stop until the process has exited.
    pub fn grace_period(&self) -> Duration {
        Duration::from_secs_f64(self.promises.grace_s)
    }
}
