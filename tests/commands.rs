//! The operator's commands, as golden output.

use std::io::Write;
use std::process::{Command, Stdio};

fn run(arguments: &[&str], input: &str) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_godwitlever"));
    command.args(arguments).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    let output = child.wait_with_output().unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    format!(
        "exit {}\n{}{}",
        output.status.code().unwrap_or(-1),
        text(&output.stdout),
        text(&output.stderr)
    )
}

#[test]
fn can_show_what_operators_ask_for() {
    let table: [(&str, &[&str]); 9] = [
        ("check_good", &["check", "examples/kalnins"]),
        ("check_warning", &["check", "tests/trees/old"]),
        ("explain_class", &["explain", "tests/trees/old", "class.booking"]),
        ("explain_leaf", &["explain", "tests/trees/old", "class.booking.deadline"]),
        (
            "explain_json",
            &["explain", "tests/trees/old", "workspace.choir.servers", "--format", "json"],
        ),
        ("show_workspaces", &["show", "examples/dala", "workspace"]),
        ("diff", &["diff", "tests/trees/old", "tests/trees/new"]),
        ("diff_json", &["diff", "tests/trees/old", "tests/trees/new", "--format", "json"]),
        ("diff_nothing", &["diff", "examples/dala", "examples/dala"]),
    ];
    for (name, arguments) in table {
        insta::assert_snapshot!(name, run(arguments, ""));
    }
}

#[test]
fn errors_on_what_is_wrong_name_the_remedy() {
    // An operator mistypes settings, paths and names. Each mistake is told with its place and what
    // to write, all of them at once, and a script sees the exit code.
    let table: [(&str, &[&str]); 6] = [
        ("check_bad", &["check", "tests/trees/bad/tree.toml"]),
        ("check_broken", &["check", "tests/trees/bad"]),
        ("check_json", &["check", "tests/trees/bad/syntax.toml", "--format", "json"]),
        ("check_missing", &["check", "tests/trees/nowhere"]),
        ("explain_unknown", &["explain", "tests/trees/old", "class.bookng"]),
        ("show_unknown", &["show", "tests/trees/old", "klass"]),
    ];
    for (name, arguments) in table {
        insta::assert_snapshot!(name, run(arguments, ""));
    }
}

#[test]
fn can_begin_from_a_first_tree() {
    let directory = std::env::temp_dir().join(format!("godwitlever-init-{}", std::process::id()));
    let path = directory.to_str().unwrap();
    assert!(run(&["init", path], "").starts_with("exit 0"));
    assert!(run(&["check", path], "").contains("good: 3 classes, 1 workspaces, 1 backend servers"));
    assert!(run(&["init", path], "").contains("is there already"));
    std::fs::remove_dir_all(directory).unwrap();
}

#[test]
fn can_digest_a_key_from_standard_input() {
    let digest = settings::format_digest(&settings::key_digest("choir-key"));
    assert_eq!(run(&["digest"], "choir-key\n"), format!("exit 0\n{digest}\n"));
    assert!(run(&["digest"], "").contains("exit 1"));
}

#[test]
fn can_complete_in_shells() {
    for shell in ["bash", "zsh", "fish"] {
        assert!(run(&["completion", shell], "").contains("explain"));
    }
}

/// An operators' listener that answers each request with one status.
fn node(status: serde_json::Value) -> String {
    node_with("200 OK", status.to_string()).0
}

/// An operators' listener that answers each request with a status line and a body; the receiver gets the heads of the
/// requests.
fn node_with(status: &'static str, body: String) -> (String, std::sync::mpsc::Receiver<String>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (sender, heads) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, mut head) = (stream.unwrap(), [0; 4096]);
            let length = std::io::Read::read(&mut stream, &mut head).unwrap_or(0);
            let _ = sender.send(String::from_utf8_lossy(&head[..length]).into_owned());
            let head = format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: ");
            let _ = write!(stream, "{head}{}\r\n\r\n{body}", body.len());
        }
    });
    (address, heads)
}

#[test]
fn can_show_how_nodes_differ() {
    // One node of a fleet missed a change, one refused a revision, one holds another content under
    // the same number, and one is gone. The operator sees each at a glance, and a script fails.
    let status = |name: &str, revision: u64, digest: &str, settings: serde_json::Value| {
        serde_json::json!({
            "node": name, "ready": true, "revision": revision, "digest": digest,
            "refused": "tree.toml:3: class.a.tier: no [tier.b] exists; add it or name another",
            "settings": settings, "members": [{"name": "x"}, {"name": "y"}],
        })
    };
    let well =
        serde_json::json!({"confirmed_ms_ago": 12, "refused_revision": null, "conflict": null});
    let bad = serde_json::json!({"confirmed_ms_ago": 90, "refused_revision": 9, "conflict": 8});
    let gone = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let nodes = [
        node(status("entry-0", 8, "aa", well.clone())),
        node(status("entry-1", 7, "bb", well.clone())),
        node(status("entry-2", 8, "cc", bad)),
        gone.to_string(),
    ];
    let mut arguments = vec!["status"];
    arguments.extend(nodes.iter().map(String::as_str));
    let mut shown = run(&arguments, "");
    for (index, address) in nodes.iter().enumerate() {
        shown = shown.replace(address, &format!("[address {index}]"));
    }
    insta::assert_snapshot!(shown);
}

const ASKED: [&str; 8] =
    ["--host", "desk.example", "--path", "/chat/a b", "--tokens", "9000,100", "--prefix", "a:6000"];

/// The command asks with what it was given, and shows the node's answer as tables or as it is. The key is only in the header.
#[test]
fn can_show_where_a_request_would_go() {
    let answer = serde_json::json!({
        "node": "entry-0", "revision": 8, "age_ms": 120, "fresh": true, "route": "chat",
        "workspace": "choir", "class": "chat/3", "tier": 2, "priority": 0, "service": "engines",
        "model": null, "group": "strict", "waiting": 0, "servers": 3, "refused": null,
        "candidates": [
            {"server": "i-0", "domain": "riga-a", "cost_s": 0.0423, "costs": {"prefill": 0.04,
             "queue": 0.0023, "border": 0.0}, "tokens_per_second": 36_600.0, "measured": true,
             "speed": 0.61, "group": "strict", "cached_tokens": 6_000, "backlog_s": 0.023, "load": 2.25,
             "slots": 32, "report_age_ms": null, "peers_age_ms": 140},
            {"server": "desk", "domain": "riga-b", "cost_s": null, "costs": null,
             "tokens_per_second": null, "measured": null, "speed": 1.0, "group": null, "cached_tokens": 0,
             "backlog_s": 0.0, "load": 0.0, "slots": 8, "report_age_ms": 80, "peers_age_ms": null},
        ],
        "excluded": [{"server": "i-2", "domain": "riga-a", "reason": "resting", "for_ms": 250}],
        "note": "The next request may go to another server.",
    });
    let (address, heads) = node_with("200 OK", answer.to_string());
    let ask =
        |more: &[&str], input: &str| run(&[&["route", &address], &ASKED[..], more].concat(), input);
    let shown = ask(&["--key", "k-choir", "--model", "m"], "");
    let head = heads.recv().unwrap();
    let query = "GET /route?host=desk.example&path=%2Fchat%2Fa+b&model=m&tokens=9000%2C100&prefix=a%3A6000 ";
    assert!(head.starts_with(query), "{head}");
    assert!(head.to_lowercase().contains("authorization: bearer k-choir"), "{head}");
    assert!(!shown.contains("k-choir"));
    insta::assert_snapshot!("route", shown);
    let json = ask(&["--json", "--key", "-"], "k-input\n");
    assert!(heads.recv().unwrap().contains("Bearer k-input"), "the key comes from standard input");
    assert_eq!(json, format!("exit 0\n{}\n", serde_json::to_string_pretty(&answer).unwrap()));
    assert_eq!(ask(&["--format", "json"], ""), json);
}

/// The node doesn't answer, answers with something else, or tells a mistake. Each is told with what to do, the exit code
/// shows it to scripts, and the key stays hidden.
#[test]
fn errors_where_a_node_cannot_tell_a_route() {
    let gone = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let error = |text: &str| serde_json::json!({ "error": text }).to_string();
    let table = [
        (gone.to_string(), "gives no answer"),
        (node_with("200 OK", "<html>".to_string()).0, "isn't JSON"),
        (node_with("404 Not Found", String::new()).0, "has no adapter or is of an older version"),
        (node_with("500 Internal Server Error", "{}".to_string()).0, "answers with status 500"),
        (node_with("503 Service Unavailable", error("no settings yet")).0, "no settings yet"),
        (node_with("404 Not Found", error("no route serves it")).0, "no route serves it"),
        (node_with("401 Unauthorized", error("none has this key")).0, "none has this key"),
    ];
    for (address, cause) in table {
        let shown = run(&[&["route", &address], &ASKED[..], &["--key", "k-choir"]].concat(), "");
        assert!(shown.starts_with("exit 1\nerror: ") && shown.contains(cause), "{shown}");
        assert!(!shown.contains("k-choir"), "{shown}");
    }
    let invalid =
        run(&[&["route", &gone.to_string()], &ASKED[..], &["--key", "k\nchoir"]].concat(), "");
    assert!(invalid.starts_with("exit 1") && !invalid.contains("choir"), "{invalid}");
}
