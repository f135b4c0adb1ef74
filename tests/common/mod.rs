//! A site of stand-ins and routers in one process, on virtual time over loopback.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::time::Duration;

use configuration::wire::{Role, Vm};
use fakes::{Engine, Pace, Plain, Platform};
use router::Router;
use settings::node::{LogFormat, Node};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub const PACE: Pace =
    Pace { slots: 4, prefill: Duration::from_millis(40), token: Duration::from_millis(10) };

const TREE: &str = r#"
[region.riga]
[domain.riga-a]
region = "riga"
[tier.top]
rank = 0
[tier.bulk]
rank = 2
[class.booking]
tier = "top"
[class.charge]
tier = "top"
idempotent = false
[class.draft]
tier = "bulk"
queue = 2
[workspace.choir]
class = "booking"
key_digest = "ca996a5a3528d4cdc107f77dad7698b379cfccebca10138b352c0dd3d1b4ce3b"
"#;

/// Stand-ins and routers.
pub struct Site {
    pub platform: Platform,
    pub engines: Vec<Engine>,
    pub desk: Plain,
    pub routers: Vec<Router>,
}

impl Site {
    /// Starts a site and waits until its routers are ready. Time is virtual from here on.
    pub async fn start(engines: usize, routers: usize) -> Self {
        Self::tuned(engines, routers, PACE, "").await
    }

    /// As [`Site::start`], with a pace of its engines and further settings.
    pub async fn tuned(engines: usize, routers: usize, pace: Pace, more: &str) -> Self {
        tokio::time::pause();
        Self::further(engines, routers, pace, more).await
    }

    /// As [`Site::tuned`], in a test whose time is virtual already.
    pub async fn further(engines: usize, routers: usize, pace: Pace, more: &str) -> Self {
        let platform = Platform::start().await.unwrap();
        let desk = Plain::start().await.unwrap();
        let mut started = vec![];
        for _ in 0..engines {
            started.push(Engine::start(pace).await.unwrap());
        }
        let settings = format!("{}{more}", tree(&started, &desk));
        platform.publish(1, &[("tree", &settings)]);
        let mut site = Site { platform, engines: started, desk, routers: vec![] };
        for index in 0..routers {
            site.routers.push(Router::start(node(index, &site.platform)).await.unwrap());
        }
        let ready = async {
            while !site.routers.iter().all(Router::is_ready) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let ready = tokio::time::timeout(Duration::from_secs(60), ready).await;
        let read = settings::Effective::build(1, &[("tree".to_string(), settings)], None);
        assert!(ready.is_ok(), "not ready; the settings: {:?}", read.err());
        site
    }

    /// Sends bytes to the first router on a connection of their own; returns all that comes back
    /// until the connection ends.
    pub async fn session(&self, bytes: &[u8]) -> String {
        session(self.routers[0].caller_address(), bytes).await
    }
}

/// The settings in force at a site.
pub fn tree(engines: &[Engine], desk: &Plain) -> String {
    let mut tree = TREE.to_string();
    for (index, engine) in engines.iter().enumerate() {
        let address = engine.address();
        tree.push_str(&format!(
            "[server.engine-{index}]\ndomain = \"riga-a\"\naddress = \"{address}\"\n\
             models = [\"small\"]\nslots = 4\n"
        ));
    }
    let address = desk.address();
    tree.push_str(&format!(
        "[server.desk]\nkind = \"plain\"\ndomain = \"riga-a\"\npath = \"/desk\"\n\
         address = \"{address}\"\n"
    ));
    tree
}

pub fn node(index: usize, platform: &Platform) -> Node {
    Node {
        name: format!("entry-{index}"),
        region: "riga".to_string(),
        domain: "riga-a".to_string(),
        callers: fakes::any(),
        peers: fakes::any(),
        operators: fakes::any(),
        configuration: platform.address(),
        list: platform.address(),
        seeds: vec![],
        secret: "secret".to_string(),
        log: LogFormat::Text,
    }
}

/// Holds virtual time back to a few times the real one, for tests in which the system's network
/// stops and goes with its reader. Where time may leap, a busy machine has no moment to tell the
/// writer of the reader's room, and every reader looks slow.
pub fn with_system() {
    actix_rt::spawn(async {
        loop {
            // Time doesn't leap while a blocking task is under way.
            let real = || std::thread::sleep(Duration::from_millis(1));
            tokio::task::spawn_blocking(real).await.unwrap();
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
}

/// The routers as the list of VMs shows them.
pub fn vms(routers: &[Router]) -> Vec<Vm> {
    let vm = |(index, router): (usize, &Router)| Vm {
        name: format!("entry-{index}"),
        role: Role::Entry,
        address: router.peer_address().to_string(),
        domain: "riga-a".to_string(),
        leaving: false,
    };
    routers.iter().enumerate().map(vm).collect()
}

/// One connection: sends the bytes and reads to the end.
pub async fn session(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = vec![];
    let _ = stream.read_to_end(&mut answer).await;
    sorted(&String::from_utf8_lossy(&answer).replace("\r\n", "\n"))
}

/// The answer with its headers in order of name: the HTTP library's order differs from run to run.
fn sorted(answer: &str) -> String {
    let Some((head, body)) = answer.split_once("\n\n") else { return answer.to_string() };
    let mut lines: Vec<_> = head.lines().collect();
    lines[1..].sort_unstable();
    format!("{}\n\n{body}", lines.join("\n"))
}

/// Sends bytes on a connection of their own, which stays open.
pub async fn open(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream
}

/// Reads until what came holds `mark`.
pub async fn until(stream: &mut TcpStream, mark: &str) -> String {
    let mut came = vec![];
    let mut buf = [0; 4096];
    while !String::from_utf8_lossy(&came).contains(mark) {
        let count = stream.read(&mut buf).await.unwrap();
        assert!(count > 0, "the connection ended before {mark:?}");
        came.extend_from_slice(&buf[..count]);
    }
    String::from_utf8_lossy(&came).into_owned()
}

/// Lets virtual time pass until `done`, for at most a minute; returns whether it came to be.
pub async fn eventually(done: impl Fn() -> bool) -> bool {
    for _ in 0..60_000 {
        if done() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    false
}

/// An operator's GET; the answer's body.
pub async fn get(address: SocketAddr, path: &str) -> String {
    let call = format!("GET {path} HTTP/1.1\r\nhost: router\r\nconnection: close\r\n\r\n");
    session(address, call.as_bytes()).await
}

/// A POST of a JSON body, with the key of the test's workspace and the connection closed after it.
pub fn post(path: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: router\r\nconnection: close\r\n\
         authorization: Bearer choir-key\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\n{headers}\r\n{body}"
    )
    .into_bytes()
}

/// What differs from run to run, replaced for golden files.
pub fn filters() -> insta::internals::SettingsBindDropGuard {
    let mut settings = insta::Settings::clone_current();
    settings.add_filter(r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}", "[id]");
    settings.add_filter(r"date: [^\n]+", "date: [date]");
    settings.bind_to_scope()
}
