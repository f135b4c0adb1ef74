//! The router as a real process, on real time: signals and exit codes. What it does in between is
//! tested in `shutdown.rs`; nothing here depends on how fast the machine is.

mod common;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use common::{get, open, post, tree, until};
use fakes::{Engine, Pace, Plain, Platform};
use rustix::process::{Pid, Signal, kill_process};
use tokio::io::AsyncReadExt;
use tokio::sync::mpsc;

const STREAMED: &str = r#"{"model":"small","max_tokens":30,"stream":true}"#;
const POLL: Duration = Duration::from_millis(10);

/// A router's process; killed when the test ends early.
struct Daemon {
    child: Child,
    lines: mpsc::UnboundedReceiver<String>,
}

impl Daemon {
    fn start(name: &str, platform: &Platform) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
        let platform = platform.address();
        let settings = format!(
            "name = \"entry-0\"\nregion = \"riga\"\ndomain = \"riga-a\"\nsecret = \"secret\"\n\
             callers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n\
             configuration = \"{platform}\"\nlist = \"{platform}\"\n"
        );
        std::fs::write(&path, settings).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_godwitleverd"));
        command.arg("--settings").arg(path).stdout(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let stdout = child.stdout.take().unwrap();
        let (sender, lines) = mpsc::unbounded_channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        Daemon { child, lines }
    }

    /// Addresses of its callers' and its operators' listener.
    async fn addresses(&mut self) -> (SocketAddr, SocketAddr) {
        loop {
            let line = self.lines.recv().await.expect("the process ended");
            let field = |key: &str| {
                let rest = line.split_once(key)?.1;
                rest.split(' ').next()?.parse().ok()
            };
            if let (Some(callers), Some(operators)) = (field("callers="), field("operators=")) {
                return (callers, operators);
            }
        }
    }

    fn signal(&self) {
        kill_process(Pid::from_child(&self.child), Signal::TERM).unwrap();
    }

    async fn end(mut self) -> (ExitStatus, String) {
        let mut log = String::new();
        while let Some(line) = self.lines.recv().await {
            log.push_str(&line);
            log.push('\n');
        }
        (self.child.wait().unwrap(), log)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Stage {
    platform: Platform,
    _engine: Engine,
    _desk: Plain,
}

impl Stage {
    async fn new(token: Duration, more: &str) -> Self {
        let pace = Pace { slots: 4, prefill: Duration::from_millis(10), token };
        let engine = Engine::start(pace).await.unwrap();
        let desk = Plain::start().await.unwrap();
        let platform = Platform::start().await.unwrap();
        let settings = format!("{}{more}", tree(std::slice::from_ref(&engine), &desk));
        platform.publish(1, &[("tree", &settings)]);
        Stage { platform, _engine: engine, _desk: desk }
    }
}

async fn wait(operators: SocketAddr, status: &str) {
    while !get(operators, "/readyz").await.starts_with(status) {
        tokio::time::sleep(POLL).await;
    }
}

/// The platform replaces a VM: it sends SIGTERM while a stream is under way. The process must say
/// that it isn't ready, pass the stream on to its end and exit with 0.
#[actix_rt::test]
async fn can_stop_without_cutting_a_stream() {
    let more = "[deployment]\nbalancer = \"300ms\"\ngrace = \"1min\"\n";
    let stage = Stage::new(Duration::from_millis(40), more).await;
    let mut daemon = Daemon::start("whole", &stage.platform);
    let (callers, operators) = daemon.addresses().await;
    wait(operators, "HTTP/1.1 200").await;
    let call = post("/v1/chat/completions", "", STREAMED);
    let mut caller = open(callers, &call).await;
    until(&mut caller, "w0").await;
    daemon.signal();
    wait(operators, "HTTP/1.1 503").await;
    until(&mut caller, "[DONE]").await;
    let (status, log) = daemon.end().await;
    assert_eq!(status.code(), Some(0), "{log}");
    assert!(log.contains("msg=stopped cut=0"), "{log}");
}

/// A second SIGTERM comes while a stream that never ends is under way. The process ends at once
/// with another exit code, and its log names the request that it cut.
#[actix_rt::test]
async fn errors_on_a_second_signal_say_what_was_cut() {
    let more = "[deployment]\nbalancer = \"1ms\"\ngrace = \"1h\"\nidle_stream = \"1h\"\n";
    let stage = Stage::new(Duration::from_secs(600), more).await;
    let mut daemon = Daemon::start("cut", &stage.platform);
    let (callers, operators) = daemon.addresses().await;
    wait(operators, "HTTP/1.1 200").await;
    let call = post("/v1/chat/completions", "", STREAMED);
    let mut caller = open(callers, &call).await;
    while !get(operators, "/status").await.contains("\"held\":1") {
        tokio::time::sleep(POLL).await;
    }
    daemon.signal();
    wait(operators, "HTTP/1.1 503").await;
    daemon.signal();
    let (status, log) = daemon.end().await;
    assert_eq!(status.code(), Some(1), "{log}");
    assert!(log.contains("msg=stopped cut=1"), "{log}");
    assert!(log.lines().any(|l| l.contains("msg=cut request=")), "{log}");
    let mut came = vec![];
    let _ = caller.read_to_end(&mut came).await;
    assert!(!String::from_utf8_lossy(&came).contains("[DONE]"));
}

/// A node's process is killed under a stream to a caller of HTTP/1.0, who knows no chunks: for that caller only the end of
/// the connection marks the end of the stream. The kernel must not end it regularly.
#[actix_rt::test]
async fn a_stream_of_a_killed_node_is_reset_for_a_caller_without_chunks() {
    let stage = Stage::new(Duration::from_millis(40), "").await;
    let mut daemon = Daemon::start("killed", &stage.platform);
    let (callers, operators) = daemon.addresses().await;
    wait(operators, "HTTP/1.1 200").await;
    let call = String::from_utf8(post("/v1/chat/completions", "", STREAMED)).unwrap();
    let mut caller = open(callers, call.replace("HTTP/1.1", "HTTP/1.0").as_bytes()).await;
    until(&mut caller, "w0").await;
    daemon.child.kill().unwrap();
    let ended = caller.read_to_end(&mut vec![]).await;
    assert!(ended.is_err(), "the connection ended in order");
}

/// A node's own settings are wrong. The process must not start half; it says what to change.
#[actix_rt::test]
async fn errors_on_bad_settings_name_the_remedy() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("bad.toml");
    std::fs::write(&path, "name = \"entry-0\"\ncaller = 1\n").unwrap();
    for path in [path, PathBuf::from("no-such-file.toml")] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_godwitleverd"));
        let output = command.arg("--settings").arg(&path).output().unwrap();
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{said}");
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        assert!(said.starts_with("error: ") && said.contains(&name), "{said}");
    }
}
