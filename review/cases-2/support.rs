//! Stand-ins of a client, backend servers, the platform's store and links, over loopback, with the standard library alone.

use std::collections::{BTreeMap, HashMap};
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const KEY: &str = "k-choir";
pub const HOST: &str = "desk.example";

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A loopback address with a free port.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The record of a run: what was sent, answered and run.
#[derive(Clone)]
pub struct Log(Arc<(PathBuf, Instant)>);

impl Log {
    pub fn new(path: &Path) -> Log {
        File::create(path).unwrap();
        Log(Arc::new((path.to_path_buf(), Instant::now())))
    }

    pub fn path(&self) -> &Path {
        &self.0.0
    }

    pub fn line(&self, text: &str) {
        append(&self.0.0, &format!("{:>7.3} s  {text}", self.0.1.elapsed().as_secs_f64()));
    }

    pub fn text(&self) -> String {
        std::fs::read_to_string(&self.0.0).unwrap()
    }

    /// Number of runs of a request that servers have recorded.
    pub fn runs(&self, id: &str) -> usize {
        let text = self.text();
        text.lines().filter(|line| line.contains(&format!("runs {id} "))).count()
    }
}

/// Appends a line to a file that several processes write to.
pub fn append(path: &Path, line: &str) {
    let mut file = OpenOptions::new().append(true).open(path).unwrap();
    file.write_all(format!("{line}\n").as_bytes()).unwrap();
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const [i32; 2], length: u32) -> i32;
}

/// Closes a connection with a reset.
pub fn reset(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1, 0];
    // SAFETY: `linger` is the structure that this option has on Linux, and lives until the call returns.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
}

/// A message of HTTP/1.1: its first line, its headers by lower-case name, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_string();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    Ok(Some(message))
}

/// Reads a message with a length or chunks, or without a body.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else {
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// What a client saw.
#[derive(Debug)]
pub struct Answer {
    /// 0 if none came.
    pub status: u16,
    pub signed: bool,
    /// It ended as its head says.
    pub complete: bool,
    pub body: String,
    pub retry_after: String,
}

/// Sends a request over a new connection and reads its answer.
pub fn call(router: SocketAddr, request: &str, time: Duration) -> Answer {
    let mut answer = Answer {
        status: 0,
        signed: false,
        complete: false,
        body: String::new(),
        retry_after: String::new(),
    };
    let Ok(mut stream) = TcpStream::connect_timeout(&router, Duration::from_secs(1)) else {
        return answer;
    };
    stream.set_read_timeout(Some(time)).unwrap();
    if stream.write_all(request.as_bytes()).is_err() {
        return answer;
    }
    let mut bytes = vec![];
    let regular = stream.read_to_end(&mut bytes).is_ok();
    let mut reader = BufReader::new(&bytes[..]);
    let Ok(Some(head)) = read_head(&mut reader) else { return answer };
    answer.status = head.status();
    answer.signed = !head.header("x-server-signature").is_empty();
    answer.retry_after = head.header("retry-after").to_string();
    let whole = read_message(&mut BufReader::new(&bytes[..]));
    let framed = head.headers.contains_key("content-length")
        || head.headers.contains_key("transfer-encoding");
    match whole {
        Ok(Some(message)) if framed => {
            answer.complete = true;
            answer.body = String::from_utf8_lossy(&message.body).into();
        }
        _ => {
            answer.complete = !framed && regular;
            let at = bytes.windows(4).position(|four| four == b"\r\n\r\n").map_or(0, |at| at + 4);
            answer.body = String::from_utf8_lossy(&bytes[at..]).into();
        }
    }
    answer
}

/// A request of a client. `mode` tells the stand-in of the server what to do.
pub fn request(path: &str, id: &str, limit_ms: u64, mode: &str) -> String {
    let body = "session=7&room=two";
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {limit_ms}\r\nApi-Key: {KEY}\r\n\
         X-Mode: {mode}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

struct Items {
    revision: u64,
    /// Values by key with the revision of the last change; none if the item was deleted.
    items: BTreeMap<String, (u64, Option<String>)>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Items>, Condvar)>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let items = Items { revision: 1, items: BTreeMap::new() };
        let store = Store { address, state: Arc::new((Mutex::new(items), Condvar::new())) };
        let own = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = own.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item, or deletes it; returns its revision.
    pub fn put(&self, key: &str, value: Option<&str>) -> u64 {
        let mut items = self.state.0.lock().unwrap();
        items.revision += 1;
        let revision = items.revision;
        items.items.insert(key.to_string(), (revision, value.map(base64)));
        self.state.1.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        while let Some(message) = read_message(&mut reader).ok()? {
            let (status, body) = self.answer(message.path());
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all((head + &body).as_bytes()).ok()?;
        }
        None
    }

    fn answer(&self, path: &str) -> (u16, String) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let query: HashMap<_, _> =
            query.split('&').filter_map(|part| part.split_once('=')).collect();
        let number =
            |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let prefix = query.get("pathPrefix").copied().unwrap_or("").to_string();
        let mut items = self.state.0.lock().unwrap();
        match path {
            "/v1/kv-range" => {
                let after = query.get("after").copied().unwrap_or("");
                let live = items
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && key.as_str() > after);
                let live = live
                    .filter_map(|(key, (revision, value))| Some((key, revision, value.as_ref()?)));
                let entries: Vec<_> = live.map(|(key, revision, value)| {
                    format!(r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":1,"lease":0}}"#)
                }).collect();
                (
                    200,
                    format!(
                        r#"{{"entries":[{}],"hasMore":false,"at":{}}}"#,
                        entries.join(","),
                        items.revision
                    ),
                )
            }
            "/v1/kv-watch" => {
                let until = Instant::now() + Duration::from_millis(number("waitMs"));
                loop {
                    let after = number("after");
                    let mut changed: Vec<_> = items
                        .items
                        .iter()
                        .filter(|(key, (revision, _))| {
                            *revision > after && key.starts_with(&prefix)
                        })
                        .collect();
                    changed.sort_by_key(|(_, (revision, _))| *revision);
                    let left = until.saturating_duration_since(Instant::now());
                    if !changed.is_empty() || left.is_zero() {
                        let events: Vec<_> = changed.into_iter().map(|(key, (revision, value))| match value {
                            Some(value) => format!(r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":1,"lease":0}}"#),
                            None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
                        }).collect();
                        return (
                            200,
                            format!(
                                r#"{{"events":[{}],"at":{}}}"#,
                                events.join(","),
                                items.revision
                            ),
                        );
                    }
                    items = self.state.1.wait_timeout(items, left).unwrap().0;
                }
            }
            _ => (404, "{}".to_string()),
        }
    }
}

fn base64(text: &str) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for three in text.as_bytes().chunks(3) {
        let number =
            (0..3).fold(0u32, |sum, at| sum << 8 | u32::from(*three.get(at).unwrap_or(&0)));
        for at in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * at)) as usize & 63] as char;
            out.push(if at <= three.len() { digit } else { '=' });
        }
    }
    out
}

/// The link between the routers and one server. While it is cut, it delivers nothing; what was sent is delivered afterwards.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Link {
    pub fn start(to: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let link = Link { address: listener.local_addr().unwrap(), cut: Arc::default() };
        let own = link.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let link = own.clone();
                thread::spawn(move || link.connect(near, to));
            }
        });
        link
    }

    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
    }

    pub fn heal(&self) {
        self.cut.store(false, Ordering::SeqCst);
    }

    fn wait(&self) {
        while self.cut.load(Ordering::SeqCst) {
            sleep_ms(2);
        }
    }

    fn connect(&self, near: TcpStream, to: SocketAddr) {
        self.wait();
        let Ok(far) = TcpStream::connect(to) else { return reset(&near) };
        for stream in [&near, &far] {
            stream.set_nodelay(true).unwrap();
        }
        let link = self.clone();
        let (from, into) = (near.try_clone().unwrap(), far.try_clone().unwrap());
        thread::spawn(move || link.pump(from, into));
        self.pump(far, near);
    }

    fn pump(&self, mut from: TcpStream, mut into: TcpStream) {
        let mut bytes = [0; 16 << 10];
        loop {
            let read = from.read(&mut bytes);
            self.wait();
            match read {
                Ok(0) => {
                    let _ = into.shutdown(Shutdown::Write);
                    return;
                }
                Ok(count) => {
                    if into.write_all(&bytes[..count]).is_err() {
                        let _ = from.shutdown(Shutdown::Both);
                        return;
                    }
                }
                Err(_) => {
                    reset(&into);
                    let _ = into.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }
}

/// A process that is killed when it is dropped.
pub struct Process(pub Child);

impl Process {
    pub fn signal(&self, name: &str) {
        Command::new("kill").args([name, &self.0.id().to_string()]).status().unwrap();
    }

    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A router, with the settings that the platform renders from the deploy file's template.
pub struct Router {
    _process: Process,
    pub callers: SocketAddr,
    ready: SocketAddr,
}

/// Starts routers that are seeds for each other; none if they don't become ready.
pub fn start_routers(folder: &Path, count: usize, store: SocketAddr) -> Option<Vec<Router>> {
    let ports: Vec<[SocketAddr; 3]> = (0..count).map(|_| [0; 3].map(|_| free_address())).collect();
    let seeds: Vec<_> = ports.iter().map(|[.., peers]| format!("\"{peers}\"")).collect();
    let start = |(number, [callers, ready, peers]): (usize, &[SocketAddr; 3])| {
        let name = format!("edge-{}", number + 1);
        let text = format!(
            "adapter = \"platform\"\nname = \"{name}\"\ndomain = \"riga-a\"\ncallers = \"{callers}\"\n\
             operators = \"{ready}\"\npeers = \"{peers}\"\nseeds = [{}]\nstore = \"{store}\"\ncheck_in_ms = 1200\n\n\
             [domains]\nriga-a = \"riga\"\nkurzeme-a = \"kurzeme\"\nriga-b = \"riga\"\n\n[room]\nmemory_mb = 110\n\
             descriptors = 4100\nlink_mbps = 1000.0\n\n[promises]\nrevocation_ms = 5000\ngrace_s = 8\nrepeats = 0.2\n\
             retry_slack = 54\napply_ms = 2500\ndrain_ms = 2500\n",
            seeds.join(", ")
        );
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).unwrap();
        let log = File::create(folder.join(format!("{name}.log"))).unwrap();
        let mut command = Command::new("target/release/godwitleverd");
        command.arg("--settings").arg(&settings).stdin(Stdio::null());
        command.stdout(log.try_clone().unwrap()).stderr(log);
        let child = command.spawn().expect("target/release/godwitleverd is built");
        Router { _process: Process(child), callers: *callers, ready: *ready }
    };
    let routers: Vec<_> = ports.iter().enumerate().map(start).collect();
    routers.iter().all(Router::becomes_ready).then_some(routers)
}

impl Router {
    fn becomes_ready(&self) -> bool {
        let question = "GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        (0..200).any(|_| {
            sleep_ms(50);
            call(self.ready, question, Duration::from_secs(1)).status == 200
        })
    }
}

/// A temporary folder, which is removed when it is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let path =
            std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A configuration with one plain service and these routes.
pub fn configuration(version: u64, routes: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"desk-app","healthPath":"/health","connectionLimit":100,"protocol":"h1","tlsEnabled":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"choir","apiKeys":["{KEY}"],"priority":1}}]}}"#
    )
}

pub fn route(name: &str, kind: &str, attempts: u32, timeout_ms: u64) -> String {
    format!(
        r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":{timeout_ms},"targetLatencyMs":120,"priority":2,"service":"desk-app","maxAttempts":{attempts},"public":false,"stickySessions":false,"streamResumption":false}}"#
    )
}

/// The entry of a server.
pub fn entry(address: SocketAddr, state: &str, born: u64, seq: u64) -> String {
    format!(
        r#"{{"service":"desk-app","address":"{address}","zone":"riga-a","version":"v1","slots":6,"state":"{state}","coldRemainingMs":0,"phase":"combined","models":[],"born":{born},"seq":{seq}}}"#
    )
}
