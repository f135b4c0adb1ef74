//! Decisions under load: who is served, who waits, who is refused and where work goes.
//!
//! Nothing here touches a network, a real clock or a task. The router, the tests and the pattern
//! experiment drive the same [`Scheduler`] through [`Policy`].

mod action;
mod admit;
mod attempt;
mod backlog;
mod bucket;
mod cache;
mod dispatch;
mod engines;
mod fair;
mod forecast;
mod health;
mod isolation;
mod length;
mod limit;
mod mechanism;
mod need;
mod pending;
mod pick;
mod pool;
mod prefill;
mod prefix;
mod priority;
mod quarantine;
mod queue;
mod quota;
mod sampling;
mod scheduler;
mod server;
mod slots;
mod stall;
mod status;
mod stop;
mod terms;
mod throttle;

pub use action::{Action, Ending, Policy, Refusal};
pub use isolation::GROUPS;
pub use mechanism::Mechanism;
pub use pending::Expected;
pub use quarantine::{Crash, Evidence, Quarantine};
pub use quota::Wait;
pub use scheduler::{RETRY_BURST, Scheduler};
pub use status::{Status, Unused};
pub use terms::{
    Backlog, Cached, Class, Demand, Fetch, Limits, Part, Report, Request, Server, Share, Workspace,
};
pub use throttle::{Issuer, RateLimit, Throttle};
