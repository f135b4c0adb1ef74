//! A backend server of the platform, in a process of its own.

use std::collections::HashSet;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::support::{Message, append, read_message, sleep_ms, unix_ms};

/// Time after which an idle connection is closed.
const IDLE: Duration = Duration::from_secs(10);

/// How long a request runs.
const WORK_MS: u64 = 2;

pub struct Server {
    pub name: String,
    pub record: PathBuf,
    pub born: u64,
    /// Requests that it has turned away once.
    turned_away: Mutex<HashSet<String>>,
}

/// Pieces of a stream.
const PIECES: usize = 6;

/// The whole body of the answer to a request for a path.
pub fn body(path: &str, id: &str) -> String {
    if is_stream(path) {
        return (1..=PIECES).map(|number| piece(id, number)).collect();
    }
    format!("booked {id}: ") + &"0123456789".repeat(80) + " end"
}

/// Whether the answer to a request for a path is a stream.
pub fn is_stream(path: &str) -> bool {
    path.starts_with("/summary/")
}

/// Length of the first half of a stream's pieces.
fn half_of_stream(id: &str) -> usize {
    (1..=PIECES / 2).map(|number| piece(id, number).len()).sum()
}

fn piece(id: &str, number: usize) -> String {
    format!("id: {number}\ndata: {id}, piece {number} of {PIECES}\n\n")
}

pub fn run(address: SocketAddr, name: &str, record: &str) {
    let mut tries = 0;
    let listener = loop {
        match TcpListener::bind(address) {
            Ok(listener) => break listener,
            Err(cause) if tries > 500 => panic!("{cause}"),
            Err(_) => {
                tries += 1;
                sleep_ms(2);
            }
        }
    };
    let server = Arc::new(Server {
        name: name.into(),
        record: record.into(),
        born: unix_ms(),
        turned_away: Mutex::default(),
    });
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        thread::spawn(move || server.serve(stream));
    }
}

impl Server {
    fn line(&self, text: &str) {
        append(&self.record, &format!("           server {} {text}", self.name));
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(IDLE)).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        let mut extra = None;
        while let Some(request) = read_message(&mut reader).ok()? {
            self.answer(&request, &mut writer, &mut extra)?;
        }
        None
    }

    fn answer(
        &self,
        request: &Message,
        writer: &mut TcpStream,
        extra: &mut Option<String>,
    ) -> Option<()> {
        let (id, mode) = (request.header("x-attempt-id"), request.header("x-mode"));
        let keep = "Keep-Alive: timeout=10\r\n";
        let mut send = |text: &str| writer.write_all(text.as_bytes()).ok();
        if request.path() == "/health" {
            return send(&format!(
                "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\n{keep}Content-Length: 0\r\n\r\n",
                self.name
            ));
        }
        if request.header("x-expected-instance") != self.name {
            return send(&format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Instance-Id: {}\r\nX-Not-Executed: 1\r\n{keep}Content-Length: 0\r\n\r\n",
                self.name
            ));
        }
        if id.is_empty() {
            return send(&format!(
                "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\n{keep}Content-Length: 0\r\n\r\n"
            ));
        }
        if let Some(text) = extra.take() {
            // A second copy of an earlier answer, late.
            self.line(&format!(
                "sends one more copy of its answer to an earlier request, as it gets {id}"
            ));
            send(&text)?;
            sleep_ms(5);
        }
        let media =
            if is_stream(request.path()) { "Content-Type: text/event-stream\r\n" } else { "" };
        let stated = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: s.{}.{id}\r\n{media}",
            self.name
        );
        let body = body(request.path(), id);
        if mode == "full" && self.turned_away.lock().unwrap().insert(id.to_string()) {
            self.line(&format!("turns {id} away as it is full"));
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n{keep}Content-Length: 0\r\n\r\n"
            );
            send(&text)?;
            *extra = self.name.ends_with("doubles").then_some(text);
            return Some(());
        }
        self.line(&format!("runs {id} (process of {})", self.born));
        sleep_ms(WORK_MS);
        match mode {
            "unframed" => {
                send(&format!("{stated}\r\n{body}"))?;
                self.line(&format!(
                    "has answered {id} with {} bytes, without a length",
                    body.len()
                ));
                writer.shutdown(Shutdown::Both).ok()?;
                None
            }
            "part" => {
                let half = &body
                    [..if is_stream(request.path()) { half_of_stream(id) } else { body.len() / 2 }];
                send(&format!("{stated}\r\n{half}"))?;
                self.line(&format!(
                    "has sent {} of {} bytes of its answer to {id}, without a length",
                    half.len(),
                    body.len()
                ));
                sleep_ms(300);
                writer.write_all(&body.as_bytes()[half.len()..]).ok()?;
                self.line(&format!(
                    "has answered {id} with {} bytes, without a length",
                    body.len()
                ));
                writer.shutdown(Shutdown::Both).ok()?;
                None
            }
            _ => {
                send(&format!("{stated}{keep}Content-Length: {}\r\n\r\n{body}", body.len()))?;
                self.line(&format!("has answered {id} with {} bytes", body.len()));
                Some(())
            }
        }
    }
}
