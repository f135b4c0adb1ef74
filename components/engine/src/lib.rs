//! The interface to backend servers. The wire form stands in [`wire`]; another form changes only
//! that module and the client.

mod client;
pub mod orders;
mod scan;
pub mod wire;

pub use client::{Call, Client, Failure, Kind, Point, Reply, Stream, Whole};
pub use scan::{Garbled, Piece, Scan};
