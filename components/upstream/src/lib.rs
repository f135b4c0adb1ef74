//! Decides whom a node asks for what the store publishes, and which answers count as news of it.
//!
//! Load pattern: a fleet of hundreds of nodes before a store whose calls are limited and paid for. A few nodes read the
//! store, and the others ask these. A node that can't reach the store asks peers, which may have lost it as well.
//!
//! The crate does no I/O and reads no clock.

mod absence;
mod path;
mod renewal;
mod sources;

pub use absence::{Absence, Origin};
pub use path::{MAX_HOPS, Path};
pub use renewal::{Limits, Renewal};
pub use sources::{Context, Delegates, Failure, Source, Sources, seeds_by_preference};
