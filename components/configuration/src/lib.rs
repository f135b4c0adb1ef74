//! The interface to the platform: the configuration service, which can be read and watched, and
//! the list of VMs. The wire forms stand in [`wire`]; another form changes only that module and
//! the two clients. [`spread`] decides who reads the service and who hears from a [`peer`].

mod client;
pub mod peer;
pub mod spread;
pub mod wire;

pub use client::{Configuration, Error, List};
pub use peer::Peer;
