//! Reads the configuration service, which can be watched, and the list of VMs.
//!
//! The wire formats are in [`wire`]; a service with another format needs a change only there and in
//! the two clients. [`topology`] decides which nodes read the service and which of them read from a
//! [`peer`].

mod client;
pub mod peer;
pub mod topology;
pub mod wire;

pub use client::{Configuration, Error, VmList};
pub use peer::Peer;
