//! Servers that crash under a marked body or a part of prompts and are started again, and that name a rate limit.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use fakes::{Raw, Step};

use crate::fixture::{ATTEMPT_ID, BRITTLE_PATH, RESPONSE_HEAD, post, post_prompt, server_entry};
use crate::stores::Stores;

/// Service of these servers.
const SERVICE: &str = "brittle";
/// Body of the request that crashes them.
const POISON: &str = "poison";
const SERVERS: usize = 4;
/// Requests a second that the first of them takes, and the most in some seconds.
const LIMIT: f64 = 2.0;
const WINDOW: Duration = Duration::from_secs(4);
/// Servers that one request may crash.
const CRASHES: usize = 3;
/// Servers that a part of prompts may crash: until it is known, and by requests that come later.
const PART_CRASHES: usize = 5 + 3;
/// Start of the parts that crash servers.
const BAD_PART: &str = "bad";

/// A server, and the start of it.
struct Server {
    raw: Raw,
    start: usize,
}

/// The servers of the service.
pub struct Brittle {
    servers: RefCell<Vec<Server>>,
    starts: Cell<usize>,
    crashes: Cell<usize>,
    /// When the limited server got requests.
    arrivals: std::rc::Rc<RefCell<Vec<Instant>>>,
}

/// A request to them whose prompt has a part that no other has, and a first part in common with others. With a number,
/// the part of that number is between, which crashes servers.
pub fn prompt(id: &str, number: u32, bad: Option<u64>) -> String {
    let own = format!("f{number:x}");
    let bad = bad.map(|bad| format!("{BAD_PART}{bad:x}"));
    let parts: Vec<_> = ["c0"].into_iter().chain(bad.as_deref()).chain([own.as_str()]).collect();
    post_prompt(BRITTLE_PATH, id, &parts, id)
}

/// A request to them.
pub fn request(id: &str, poison: bool) -> String {
    post(BRITTLE_PATH, id, if poison { POISON } else { id })
}

impl Brittle {
    pub async fn start(store: &Stores) -> Self {
        let brittle = Brittle {
            servers: RefCell::default(),
            starts: Cell::new(0),
            crashes: Cell::new(0),
            arrivals: Default::default(),
        };
        for index in 0..SERVERS {
            brittle.add(store, index == 0).await;
        }
        brittle
    }

    async fn add(&self, store: &Stores, limited: bool) {
        let start = self.starts.replace(self.starts.get() + 1);
        let arrivals = self.arrivals.clone();
        let limit = if limited { format!("server-limit: {LIMIT}\r\n") } else { String::new() };
        let answer = format!("{RESPONSE_HEAD}{limit}content-length: 6\r\n\r\nbooked");
        let raw = Raw::named(ATTEMPT_ID, move |_| {
            if limited {
                arrivals.borrow_mut().push(Instant::now());
            }
            let crash = vec![Step::Run, Step::CrashAt(String::new())];
            vec![
                Step::IfHead(format!(",{BAD_PART}"), crash),
                Step::Run,
                Step::CrashAt(POISON.to_string()),
                Step::Write(answer.clone()),
            ]
        });
        let raw = raw.await.unwrap();
        let text =
            server_entry(&raw.address(), "ready").replace("\"plain\"", &format!("\"{SERVICE}\""));
        store.put(&format!("servers/b-{start}"), &text);
        self.servers.borrow_mut().push(Server { raw, start });
    }

    /// Starts those that crashed again, under new names.
    pub async fn restart(&self, store: &Stores) {
        let crashed = |server: &Server| server.raw.crashed();
        let gone: Vec<_> =
            self.servers.borrow_mut().extract_if(.., |server| crashed(server)).collect();
        for Server { start, .. } in gone {
            self.crashes.set(self.crashes.get() + 1);
            store.delete(&format!("servers/b-{start}"));
            self.add(store, start == 0).await;
        }
    }

    /// Crashes so far.
    pub fn crashes(&self) -> usize {
        self.crashes.get()
    }

    /// Checks what a part of prompts crashed since there were `before` crashes, and how many of the requests with the
    /// same first part, but without that part, were served.
    pub fn check_part(&self, before: usize, (served, sent): (usize, usize)) {
        let crashes = self.crashes.get() - before;
        assert!(crashes <= PART_CRASHES, "one part of prompts crashed {crashes} servers");
        assert!(served * 2 >= sent, "{served} of {sent} requests without the part were served");
    }

    /// Checks what a request crashed since there were `before` crashes, and what the limited server got since
    /// a time.
    pub fn check(&self, before: usize, since: Instant) {
        let crashes = self.crashes.get() - before;
        assert!(crashes <= CRASHES, "one request crashed {crashes} servers");
        let arrivals = self.arrivals.borrow();
        let allowed = 1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0;
        for end in arrivals.iter().filter(|end| **end >= since) {
            let window = arrivals.iter().filter(|at| *at <= end && *end < **at + WINDOW);
            let count = window.filter(|at| **at >= since).count();
            assert!(count as f64 <= allowed, "{count} requests in {WINDOW:?}, {allowed} allowed");
        }
    }
}
