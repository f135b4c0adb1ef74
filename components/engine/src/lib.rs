//! Client for backend servers: calls, event streams, load reports and orders.
//!
//! Header names, paths and the load report are defined in [`wire`]; support for another protocol
//! changes only that module and the client.

mod client;
mod events;
pub mod orders;
pub mod wire;

pub use client::{Call, Checkpoint, Client, Failure, Kind, Reply, Stream, WholeReply};
pub use events::{Batch, Parser, StreamError};
