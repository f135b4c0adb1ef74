//! Schedules requests under load: admits, queues, refuses, retries and routes them to backend servers.
//!
//! The crate does no I/O, reads no clock and spawns no tasks: callers pass in the current time. The
//! router, the tests and the pattern experiment all drive [`Scheduler`] through [`Policy`].

mod action;
mod active;
mod admit;
mod attempt;
mod backlog;
mod backup;
mod brittle;
mod bucket;
mod cache;
mod candidates;
pub mod cold;
mod costs;
mod culprits;
mod demand;
mod dispatch;
mod disturbance;
mod engines;
mod eviction;
mod explain;
mod fair;
mod filters;
mod forecast;
mod health;
mod isolation;
mod length;
mod limit;
mod mechanism;
pub mod membership;
pub mod memory;
mod notices;
mod overload;
mod pending;
mod pick;
mod pool;
mod preemption;
mod prefill;
mod prefilling;
mod prefix;
mod priority;
mod quarantine;
mod queue;
mod quota;
mod reach;
mod rest;
mod retries;
mod sampling;
mod scheduler;
mod server;
mod slots;
mod speed;
mod stall;
mod status;
mod suspect;
mod terms;
mod throttle;
mod versions;

pub use action::{Action, Ending, Policy, Refusal};
pub use brittle::brittle_share;
pub use costs::Costs;
pub use explain::{Candidate, Exclusion, Explanation, Obstacle, Rate, explain};
pub use filters::{Hold, Reason};
pub use isolation::GROUPS;
pub use mechanism::Mechanism;
pub use notices::Incarnation;
pub use pending::Expected;
pub use prefilling::Interval;
pub use quarantine::Quarantine;
pub use quota::Wait;
pub use reach::Reach;
pub use retries::retry_capacity;
pub use scheduler::{RETRY_BURST, Scheduler};
pub use speed::RateSample;
pub use status::{Status, Unused};
pub use suspect::{Crash, Evidence, MAX_PARTS, Subject};
pub use terms::{
    Backlog, Cached, Class, Demand, Fetch, Limits, Part, Prior, Report, Request, Server, Share,
    Workspace,
};
pub use throttle::{Issuer, RateLimit, Throttle};
