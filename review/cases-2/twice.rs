//! A server sends a second copy of the answer by which it turned a request away, late.

use std::path::Path;
use std::time::Duration;

use crate::support::{
    Folder, Log, Store, call, configuration, entry, free_address, request, route, sleep_ms,
    start_routers, unix_ms,
};
use crate::{Verdict, has_trouble, start_server};

const ROUTERS: usize = 3;
/// Requests of which one is turned away once by each server.
const INTERVAL: usize = 100;
const REQUESTS: usize = 600;

pub fn run(folder: &Path) -> Verdict {
    let log = Log::new(&folder.join("record.txt"));
    let temporary = Folder::new();
    let store = Store::start();
    let faulty = if has_trouble() { "i-1-doubles" } else { "i-1" };
    let names = [faulty, "i-2"];
    let addresses = names.map(|_| free_address());
    let start = |at: usize| start_server(addresses[at], names[at], &log);
    let _servers = [start(0), start(1)];
    store.put("op/config", Some(&configuration(3, &route("confirm", "non_idempotent", 4, 4_000))));
    for (name, address) in names.iter().zip(addresses) {
        store.put(&format!("servers/{name}"), Some(&entry(address, "ready", unix_ms(), 1)));
    }
    let Some(routers) = start_routers(&temporary.0, ROUTERS, store.address) else {
        log.line("the routers don't become ready");
        return Verdict::NotRun;
    };
    sleep_ms(2_000);
    let mut answers = vec![];
    for number in 1..=REQUESTS {
        let id = format!("a{number}");
        let mode = if number % INTERVAL == 0 { "full" } else { "plain" };
        let text = request("/confirm/a", &id, 4_000, mode);
        log.line(&format!("client sends {id}"));
        let answer = call(routers[0].callers, &text, Duration::from_secs(8));
        log.line(&format!(
            "client got for {id}: status {}, signed: {}",
            answer.status, answer.signed
        ));
        answers.push((id, answer.status));
    }
    sleep_ms(500);
    let mut broken = false;
    for (id, status) in answers {
        let runs = log.runs(&id);
        if runs > 1 {
            log.line(&format!("TWICE: {id}, which isn't idempotent, has run {runs} times"));
            broken = true;
        }
        if runs > 0 && [408, 421, 429, 503].contains(&status) {
            log.line(&format!(
                "REFUSED: {id}, which isn't idempotent, is answered {status} and has run"
            ));
            broken = true;
        }
    }
    if broken { Verdict::Broken } else { Verdict::Held }
}
