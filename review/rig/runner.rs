//! Stand-in for a runner of an application service, as PROTOCOL.md tells.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::net::{self, Message};
use crate::site::Record;
use crate::store::Store;

const CHECK_IN: Duration = Duration::from_millis(1200);

/// The runs of all runners, by the id of the request: the runner, and the tenant that it was told.
pub type Runs = Arc<Mutex<HashMap<String, Vec<(String, String)>>>>;

#[derive(Clone)]
pub struct Terms {
    pub service: &'static str,
    pub slots: usize,
    /// Requests that wait for a slot; further ones are turned away.
    pub queue: usize,
    pub work: Duration,
    /// One in so many answers is sent a second time, late, while `garbles` is set.
    pub garbled: u64,
}

#[derive(Clone)]
pub struct Runner {
    id: String,
    terms: Terms,
    pub garbles: Arc<AtomicBool>,
    /// Seconds after which it closes idle channels, by its own word; it doesn't say if this is 0.
    pub keep_alive: Arc<AtomicU64>,
    answers: Arc<AtomicU64>,
    /// Requests that run, and those that wait.
    load: Arc<(Mutex<(usize, usize)>, Condvar)>,
    runs: Runs,
    record: Record,
}

impl Runner {
    /// Starts a runner that checks in at the store.
    pub fn start(
        id: &str,
        terms: Terms,
        store: &Store,
        runs: &Runs,
        record: &Record,
    ) -> (Self, SocketAddr) {
        let runner = Runner {
            id: id.to_string(),
            terms,
            garbles: Arc::default(),
            keep_alive: Arc::default(),
            answers: Arc::default(),
            load: Arc::default(),
            runs: runs.clone(),
            record: record.clone(),
        };
        let shared = runner.clone();
        let address = net::serve(move |stream| {
            let _ = shared.handle(stream);
        });
        let (shared, store) = (runner.clone(), store.clone());
        std::thread::spawn(move || {
            for seq in 1.. {
                let (service, slots) = (shared.terms.service, shared.terms.slots);
                store.put(
                    &format!("servers/{}", shared.id),
                    &format!(
                        r#"{{"service":"{service}","address":"{address}","zone":"riga-a","version":"v1","slots":{slots},"state":"ready","coldRemainingMs":0,"seq":{seq}}}"#
                    ),
                );
                std::thread::sleep(CHECK_IN);
            }
        });
        (runner, address)
    }

    fn handle(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut extra: Option<String> = None;
        while let Some(mut request) = net::read_head(&mut reader)? {
            net::read_body(&mut reader, &mut request, false)?;
            if let Some(extra) = extra.take() {
                // The second copy of the answer before arrives where the answer to this request is due.
                self.record.line(&format!(
                    "{} sends a second time: {}",
                    self.id,
                    extra.lines().next().unwrap_or("")
                ));
                stream.write_all(extra.as_bytes())?;
            }
            let (answer, described) = self.answer(&request);
            let id = request.header("x-attempt-id").unwrap_or("-");
            self.record.line(&format!("{} {id} {described}", self.id));
            stream.write_all(answer.as_bytes())?;
            let number = self.answers.fetch_add(1, Ordering::Relaxed);
            if self.garbles.load(Ordering::Relaxed) && number % self.terms.garbled == 0 {
                extra = Some(answer);
            }
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (String, &'static str) {
        let id = request.header("x-attempt-id").unwrap_or("");
        if request.target() == "/health" {
            return (
                format!(
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                ),
                "health",
            );
        }
        if request.header("x-expected-instance") != Some(self.id.as_str()) {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return (answer, "is for another");
        }
        let (load, freed) = &*self.load;
        let mut now = load.lock().unwrap();
        if now.0 >= self.terms.slots && now.1 >= self.terms.queue {
            let answer = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            return (answer.to_string(), "isn't run: no slot");
        }
        now.1 += 1;
        while now.0 >= self.terms.slots {
            now = freed.wait(now).unwrap();
        }
        (now.0, now.1) = (now.0 + 1, now.1 - 1);
        drop(now);
        let tenant = request.header("x-tenant").unwrap_or("").to_string();
        self.runs
            .lock()
            .unwrap()
            .entry(id.to_string())
            .or_default()
            .push((self.id.clone(), tenant));
        std::thread::sleep(self.terms.work);
        load.lock().unwrap().0 -= 1;
        freed.notify_one();
        let body = format!("run of {id}\n");
        let keep_alive = match self.keep_alive.load(Ordering::Relaxed) {
            0 => String::new(),
            seconds => format!("Keep-Alive: timeout={seconds}\r\n"),
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: {}.{id}\r\n{keep_alive}Content-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        (answer, "is run")
    }
}
