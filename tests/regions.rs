//! Requests that may be served in some regions only, at the router's own interface.

mod common;

use std::time::Duration;

use common::{PACE, Site, post, session, vms};
use fakes::Engine;

const ENGINES: usize = 4;
const BODY: &str = r#"{"model":"small","max_tokens":2,"messages":[]}"#;

/// Settings in which the last two engines are in another region, and a workspace and a class are bound.
fn bound_settings(site: &Site, workspace: &str, class: &str) -> String {
    let tree = common::tree(&site.engines, &site.desk);
    let mut text = tree
        .replace("[workspace.choir]\n", &format!("[workspace.choir]\nregions = {workspace}\n"))
        .replace("[class.booking]\n", &format!("[class.booking]\nregions = {class}\n"));
    text.push_str("[region.kurzeme]\n[domain.kurzeme-a]\nregion = \"kurzeme\"\n");
    for index in ENGINES / 2..ENGINES {
        let server = format!("[server.engine-{index}]\ndomain = \"riga-a\"");
        text = text.replace(&server, &server.replace("riga-a", "kurzeme-a"));
    }
    text
}

async fn start(workspace: &str, class: &str) -> Site {
    let site = Site::further(ENGINES, 2, PACE, "").await;
    site.platform.publish(2, &[("tree", &bound_settings(&site, workspace, class))]);
    site.platform.list(vms(&site.routers));
    tokio::time::sleep(Duration::from_secs(6)).await;
    site
}

fn runs(site: &Site) -> Vec<u32> {
    site.engines.iter().map(Engine::total).collect()
}

/// Guards against a request that is served in a region that its class or its workspace doesn't allow.
#[actix_rt::test]
async fn requests_stay_in_the_regions_of_class_and_workspace() {
    tokio::time::pause();
    for (workspace, class) in [
        (r#"["kurzeme"]"#, "[]"),
        ("[]", r#"["kurzeme"]"#),
        (r#"["kurzeme"]"#, r#"["riga","kurzeme"]"#),
    ] {
        let site = start(workspace, class).await;
        for _ in 0..8 {
            let answer = site.session(&post("/v1/chat/completions", "", BODY)).await;
            assert!(answer.contains("x-outcome: complete"), "{answer}");
        }
        let runs = runs(&site);
        assert_eq!((runs[0] + runs[1], runs[2] + runs[3]), (0, 8), "{workspace} {class}");
    }
}

/// Guards against a request that waits, or is served anywhere, though class and workspace allow no region in common.
#[actix_rt::test]
async fn a_request_without_a_region_is_refused_at_once() {
    tokio::time::pause();
    let site = start(r#"["riga"]"#, r#"["kurzeme"]"#).await;
    let asked = tokio::time::Instant::now();
    let answer = site.session(&post("/v1/chat/completions", "", BODY)).await;
    assert!(answer.contains("x-outcome: not-run") && answer.contains("retry-after"), "{answer}");
    assert!(asked.elapsed() < Duration::from_millis(100));
    assert_eq!(runs(&site), [0; ENGINES]);
}

/// Guards against a router that passes the body of a keyed call on to the key's owner in a region where it may not
/// be. Both routers are in riga, so whichever owns the key, a call that is bound to the other region stays.
#[actix_rt::test]
async fn a_keyed_call_isnt_passed_on_to_another_region() {
    tokio::time::pause();
    let site = start(r#"["kurzeme"]"#, "[]").await;
    let mut refused = 0;
    for _ in 0..40 {
        let key = format!("x-class: charge\r\nidempotency-key: {}\r\n", ids::Request::new());
        let answer =
            session(site.routers[0].caller_address(), &post("/v1/chat/completions", &key, BODY))
                .await;
        assert!(answer.contains("x-outcome: "), "{answer}");
        refused += u32::from(answer.contains("x-outcome: not-run"));
    }
    assert!((1..40).contains(&refused), "{refused} keys are owned by the other router");
    // The second router's own runs would be those of calls that were passed on.
    let metrics = site.routers[1].operator_address();
    let text =
        session(metrics, b"GET /metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").await;
    let counted = text.lines().find(|line| line.contains("requests_total{class=\"charge\""));
    assert_eq!(counted, None);
}
