//! Small stand-ins for what surrounds the router: engines, plain services, the configuration
//! service and the list of VMs. For tests and the demo.

mod engine;
mod link;
mod orders;
mod path;
mod plain;
mod platform;
mod raw;
mod repeats;
mod rest;
pub mod versions;

pub use crate::engine::{Engine, Fault, Pace};
pub use crate::link::{Link, Way};
pub use crate::orders::Orders;
pub use crate::path::{Cut, Path};
pub use crate::plain::Plain;
pub use crate::platform::{Platform, Stale};
pub use crate::raw::{Closed, Raw, Repeat, Seen, Step};
pub use crate::repeats::Repeats;
pub use crate::rest::most_in_rest;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

/// Any free port on loopback.
pub const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

thread_local! {
    static HOST: Ipv4Addr = host();
}

/// Any free port on a loopback address of this thread's own.
///
/// On an address that all tests share, a port is soon used again: what a test's router still sends
/// when its test has ended would reach the servers of another one, which would count it.
pub fn any() -> SocketAddr {
    SocketAddr::new(HOST.with(|host| *host).into(), 0)
}

fn host() -> Ipv4Addr {
    static THREADS: AtomicU8 = AtomicU8::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    // The whole of 127/8 is loopback; its first and last addresses are special.
    let thread = THREADS.fetch_add(1, Ordering::Relaxed) % 254 + 1;
    Ipv4Addr::new(127, high, low, thread)
}

/// Wide enough to stay out of a test's way.
const LIMITS: listen::Limits = listen::Limits {
    max_connections: 20_000,
    head_timeout: Duration::from_secs(30),
    keep_alive: Duration::from_secs(60),
    write_timeout: Duration::from_secs(600),
    max_task_delay: None,
};

fn status(code: u16) -> actix_http::StatusCode {
    actix_http::StatusCode::from_u16(code).expect("a constant, valid status")
}
