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
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let body = status.to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = std::io::Read::read(&mut stream, &mut [0; 4096]);
            let head = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: ";
            let _ = write!(stream, "{head}{}\r\n\r\n{body}", body.len());
        }
    });
    address
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
