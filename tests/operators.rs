//! What operators see, and that each listener serves only whom it is for.

mod common;

use common::{PACE, Site, eventually, get, open, post, session};

const CHAT: &str = "/v1/chat/completions";

fn body(answer: &str) -> &str {
    answer.split_once("\n\n").unwrap().1
}

/// Somebody who reaches one listener tries the paths of another: a caller asks for status, or
/// sends completions to the operators' port. Each must refuse what isn't its own.
#[actix_rt::test]
async fn errors_on_paths_of_other_listeners() {
    let site = Site::start(1, 1).await;
    let router = &site.routers[0];
    for path in ["/status", "/metrics", "/readyz", "/frame"] {
        let answer = session(router.caller_address(), &post(path, "", "{}")).await;
        assert!(answer.starts_with("HTTP/1.1 404"), "{path}: {answer}");
    }
    let call = post(CHAT, "", r#"{"model":"small","max_tokens":1}"#);
    let answer = session(router.operator_address(), &call).await;
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
    let answer = session(router.peer_address(), &call).await;
    assert!(answer.starts_with("HTTP/1.1 403"), "{answer}");
    assert!(get(router.peer_address(), "/status").await.starts_with("HTTP/1.1 403"));
    assert_eq!(site.engines[0].total(), 0);
}

/// A class waits and an operator wants to know why: status must show what the node believes of
/// each server, how old that is, and why one isn't used.
#[actix_rt::test]
async fn can_tell_what_waits_and_why() {
    let pace = fakes::Pace { token: std::time::Duration::from_secs(10), ..PACE };
    let site = Site::tuned(1, 1, pace, "").await;
    let router = &site.routers[0];
    let call = post(CHAT, "", r#"{"model":"small","max_tokens":3,"stream":true}"#);
    let mut callers = vec![];
    for _ in 0..6 {
        callers.push(open(router.caller_address(), &call).await);
    }
    assert!(eventually(|| router.open_requests() == 6).await);
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    let answer = get(router.operator_address(), "/status").await;
    let status: serde_json::Value = serde_json::from_str(body(&answer)).unwrap();
    let named = |list: &str, name: &str| {
        let all = status[list].as_array().unwrap();
        all.iter().find(|entry| entry["name"] == name).unwrap().clone()
    };
    let class = named("classes", "booking");
    assert_eq!((&class["waiting"], &class["in_flight"]), (&2.into(), &4.into()), "{status}");
    let engine = named("servers", "engine-0");
    assert_eq!(engine["in_flight"], 4, "{status}");
    assert_eq!(engine["unused"], "full", "{status}");
    assert!(engine["reported_ms_ago"].as_u64().is_some_and(|age| age <= 1_000), "{status}");
    assert!(named("servers", "desk")["unused"].is_null(), "{status}");
    assert_eq!(status["revision"], 1);
    assert_eq!(status["digest"].as_str().unwrap().len(), 16);
    let metrics = get(router.operator_address(), "/metrics").await;
    assert!(metrics.contains("godwitlever_work{class=\"booking\",state=\"waiting\"} 2"));
}

/// A caller leaves in the middle of a stream and another call is refused: both must show, since
/// wasted work and refusals by reason are what operators are asked about.
#[actix_rt::test]
async fn can_count_what_happened() {
    let site = Site::start(1, 2).await;
    let router = &site.routers[0];
    let call = post(CHAT, "", r#"{"model":"small","max_tokens":100,"stream":true}"#);
    let mut caller = open(router.caller_address(), &call).await;
    common::until(&mut caller, "w1").await;
    drop(caller);
    site.session(&post(CHAT, "", r#"{"model":"small","max_tokens":1}"#)).await;
    site.session(&post(CHAT, "", r#"{"model":"my own words"}"#)).await;
    assert!(eventually(|| router.open_requests() == 0).await);
    let metrics = get(router.operator_address(), "/metrics").await;
    let has = |line: &str| assert!(metrics.contains(line), "{line} isn't in\n{metrics}");
    has("godwitlever_requests_total{class=\"booking\",outcome=\"complete\"} 1");
    has("godwitlever_requests_total{class=\"booking\",outcome=\"caller-gone\"} 1");
    has("godwitlever_refusals_total{reason=\"model\"} 1");
    has("godwitlever_wasted_tokens_total{class=\"booking\"} 2");
    has("godwitlever_answer_seconds_count{class=\"booking\"} 1");
    has("godwitlever_workspace_answer_seconds_count{workspace=\"choir\"} 1");
    has("godwitlever_settings_revision 1");
    has("godwitlever_peers_heard ");
    assert!(!metrics.contains("my own words"));
}
