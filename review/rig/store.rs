//! Stand-in for the platform's store: items, pages and watches, as PROTOCOL.md tells.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::net;

/// A change: its revision, its key, and the value; none if the key was deleted.
type Change = (u64, String, Option<String>);

#[derive(Default)]
struct Items {
    revision: u64,
    live: BTreeMap<String, (u64, String)>,
    history: Vec<Change>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Items>, Condvar)>);

impl Store {
    /// Starts the store; returns it with its address.
    pub fn start() -> (Self, SocketAddr) {
        let store = Store::default();
        store.0.0.lock().unwrap().revision = 10;
        let shared = store.clone();
        let address = net::serve(move |stream| {
            let _ = shared.handle(stream);
        });
        (store, address)
    }

    /// Writes an item. The return is the store's ack.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value));
    }

    fn change(&self, key: &str, value: Option<&str>) {
        let mut items = self.0.0.lock().unwrap();
        items.revision += 1;
        let revision = items.revision;
        match value {
            Some(value) => {
                items.live.insert(key.to_string(), (revision, value.to_string()));
            }
            None => {
                items.live.remove(key);
            }
        }
        items.history.push((revision, key.to_string(), value.map(str::to_string)));
        self.0.1.notify_all();
    }

    fn handle(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = net::read_head(&mut reader)? {
            let body = self.answer(head.target());
            let (status, body) =
                body.map_or(("404 Not Found", String::new()), |body| ("200 OK", body));
            let length = body.len();
            stream.write_all(
                format!("HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}")
                    .as_bytes(),
            )?;
        }
        Ok(())
    }

    fn answer(&self, target: &str) -> Option<String> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(known, _)| *known == name)
                .map(|(_, value)| value.replace("%2F", "/"))
                .next()
        };
        let prefix = field("pathPrefix").unwrap_or_default();
        match path {
            "/v1/kv-range" => {
                let items = self.0.0.lock().unwrap();
                let entries: Vec<_> = items
                    .live
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix))
                    .map(|(key, (revision, value))| item(key, *revision, value))
                    .collect();
                Some(format!(
                    r#"{{"entries":[{}],"hasMore":false,"at":{}}}"#,
                    entries.join(","),
                    items.revision
                ))
            }
            "/v1/kv-watch" => {
                let after: u64 = field("after")?.parse().ok()?;
                let wait: u64 = field("waitMs")?.parse().ok()?;
                let until = Instant::now() + Duration::from_millis(wait);
                let mut items = self.0.0.lock().unwrap();
                loop {
                    let newer =
                        |change: &&Change| change.0 > after && change.1.starts_with(&prefix);
                    let events: Vec<_> = items.history.iter().filter(newer).map(event).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        return Some(format!(
                            r#"{{"events":[{}],"at":{}}}"#,
                            events.join(","),
                            items.revision
                        ));
                    }
                    items = self.0.1.wait_timeout(items, left).unwrap().0;
                }
            }
            _ => None,
        }
    }
}

fn item(key: &str, revision: u64, value: &str) -> String {
    let value = base64(value.as_bytes());
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#
    )
}

fn event((revision, key, value): &Change) -> String {
    match value {
        Some(value) => item(key, *revision, value),
        None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
    }
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = (0..3).fold(0_u32, |word, i| word << 8 | u32::from(*part.get(i).unwrap_or(&0)));
        for i in 0..4 {
            let digit = ALPHABET[(word >> (18 - 6 * i) & 63) as usize] as char;
            text.push(if i <= part.len() { digit } else { '=' });
        }
    }
    text
}
