//! Holds what is in force: the routes, workspaces and services of one revision of the settings, the
//! list of backend servers, and the time since it was last confirmed that nothing newer is in force.
//!
//! Nothing here uses a network or a clock; all times are arguments.

mod freshness;
mod membership;
mod residency;
mod route;
mod settings;

pub use freshness::Freshness;
pub use membership::{Change, Entry, Membership};
pub use residency::Residency;
pub use route::{Cold, Kind, RequestLimits, Route, Service, Split, Workspace};
pub use settings::{Denied, Match, Settings};
