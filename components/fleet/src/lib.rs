//! Lets the nodes of a fleet act together: membership, cells, and the shares of backend servers.
//!
//! The crate does no input or output: the router carries the frames and polls the engines, and time
//! comes only from the `now` arguments.

pub mod budget;
pub mod cells;
pub mod claims;
pub mod exchange;
pub mod health;
pub mod orders;
pub mod polling;
pub mod share;
mod view;

pub use view::{ListedVm, LoadReport, Member, MemberStatus, View};
