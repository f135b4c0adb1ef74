//! A server's process is killed and starts again behind a cut, while it sends an answer without a length.

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::support::{
    Folder, Link, Log, Process, Router, Store, call, configuration, entry, free_address, request,
    route, sleep_ms, start_routers, unix_ms,
};
use crate::{Verdict, has_trouble, server, start_server};

const CONFIRM: &str = "/confirm/a";
const SUMMARY: &str = "/summary/a";
const ROUTERS: usize = 3;
const SERVERS: usize = 5;
/// How long a link is cut.
const CUT_MS: u64 = 1_000;
/// Requests before each that is answered without a length.
const PLAIN_REQUESTS: usize = 60;

/// A server, and the link to it.
struct Backend {
    name: String,
    address: SocketAddr,
    link: Link,
    process: Process,
}

struct Site {
    log: Log,
    store: Store,
    backends: Vec<Backend>,
    router: Router,
    sent: usize,
}

impl Backend {
    fn start(name: String, log: &Log) -> Self {
        let address = free_address();
        let process = start_server(address, &name, log);
        Backend { link: Link::start(address), process, name, address }
    }

    /// Cuts its link, kills its process, starts it again under its name, and heals the link.
    fn cut_and_restart(&mut self, log: &Log, store: &Store) {
        log.line(&format!(
            "the link to {} is cut; its process is killed and started again",
            self.name
        ));
        self.link.cut();
        sleep_ms(50);
        self.process.kill();
        self.process = start_server(self.address, &self.name, log);
        let born = unix_ms();
        sleep_ms(CUT_MS - 50);
        self.link.heal();
        log.line("the link is whole again");
        self.register(store, born);
    }

    fn register(&self, store: &Store, born: u64) {
        let entry = entry(self.link.address, "ready", born, 1);
        store.put(&format!("servers/{}", self.name), Some(&entry));
    }
}

impl Site {
    fn next_id(&mut self) -> String {
        self.sent += 1;
        format!("a{}", self.sent)
    }

    /// Sends requests whose answers state their lengths.
    fn ask_plainly(&mut self) {
        for _ in 0..PLAIN_REQUESTS {
            let id = self.next_id();
            self.ask(CONFIRM, &id, "plain", false);
        }
    }

    /// Sends a request; returns whether its answer breaks the rule. If asked to, cuts the server that runs it off, and
    /// starts it again.
    fn ask(&mut self, path: &str, id: &str, mode: &str, cut: bool) -> bool {
        self.log.line(&format!("client sends {id} to {path} ({mode})"));
        let (callers, text) = (self.router.callers, request(path, id, 4_000, mode));
        let caller = thread::spawn(move || call(callers, &text, Duration::from_secs(8)));
        if cut {
            sleep_ms(120);
            let text = self.log.text();
            let runs = |backend: &&mut Backend| {
                text.contains(&format!("server {} runs {id} ", backend.name))
            };
            if let Some(backend) = self.backends.iter_mut().find(runs) {
                backend.cut_and_restart(&self.log, &self.store);
            }
        }
        let answer = caller.join().unwrap();
        let whole = answer.body == server::body(path, id);
        self.log.line(&format!(
            "client got for {id}: status {}, signed: {}, complete: {}, {} bytes, the server's whole body: {whole}",
            answer.status, answer.signed, answer.complete, answer.body.len()
        ));
        let broken = answer.status == 200 && answer.complete && !whole;
        if broken {
            self.log.line(if server::is_stream(path) {
                "ORDER: a stream that ends as complete before its last piece"
            } else {
                "MIXED: a success that looks complete, with a part of the server's body"
            });
        }
        broken
    }
}

pub fn run(folder: &Path) -> Verdict {
    let log = Log::new(&folder.join("record.txt"));
    let temporary = Folder::new();
    let store = Store::start();
    let names = (1..=SERVERS).map(|number| format!("i-{number}"));
    let backends: Vec<_> = names.map(|name| Backend::start(name, &log)).collect();
    let routes = [("confirm", "non_idempotent"), ("summary", "streaming")];
    let routes = routes.map(|(name, kind)| route(name, kind, 1, 4_000)).join(",");
    store.put("op/config", Some(&configuration(3, &routes)));
    backends.iter().for_each(|backend| backend.register(&store, unix_ms()));
    let Some(mut routers) = start_routers(&temporary.0, ROUTERS, store.address) else {
        log.line("the routers don't become ready");
        return Verdict::NotRun;
    };
    let router = routers.swap_remove(0);
    let trouble = has_trouble();
    let mut site = Site { log, store, backends, router, sent: 0 };
    site.ask_plainly();
    // The first answer of the service without a length.
    let mut broken = site.ask(CONFIRM, "first", "part", trouble);
    sleep_ms(2_000);
    site.ask_plainly();
    broken |= site.ask(CONFIRM, "second", "unframed", false);
    for (path, id) in [(CONFIRM, "third"), (CONFIRM, "fourth"), (SUMMARY, "fifth")] {
        sleep_ms(5_000);
        broken |= site.ask(path, id, "part", trouble);
        sleep_ms(1_000);
        site.ask_plainly();
    }
    if broken { Verdict::Broken } else { Verdict::Held }
}
