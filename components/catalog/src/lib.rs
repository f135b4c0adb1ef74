//! What is in force: routes, workspaces and services by one revision, the backend servers there
//! are, and how long ago it was confirmed that nothing newer is in force.
//!
//! Nothing here touches a network or a clock; all time comes in as arguments.

mod book;
mod freshness;
mod roster;
mod route;

pub use book::{Book, Denied, Found};
pub use freshness::Freshness;
pub use roster::{Change, Entry, Roster};
pub use route::{Intake, Kind, Route, Service, Split, Workspace};
