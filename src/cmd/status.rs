//! Implements `status`, which shows the state of nodes.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{bail, ensure};
use futures_util::future::join_all;
use serde_json::Value;

use super::cell;
use crate::messages::{Format, Table};

/// Time limit for a node's answer; a healthy node answers within milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Prints the state of nodes and how they differ. Fails if a node doesn't answer.
pub fn status(addresses: &[SocketAddr], format: Format) -> anyhow::Result<()> {
    let statuses = actix_rt::System::new().block_on(fetch_all(addresses));
    let highest = statuses.iter().flatten().filter_map(|status| status["revision"].as_u64()).max();
    let mut table = Table::new(&[
        "address",
        "node",
        "ready",
        "revision",
        "digest",
        "confirmed_ms_ago",
        "members",
        "remarks",
    ]);
    let mut unanswered = 0;
    for (address, status) in addresses.iter().zip(&statuses) {
        let Some(status) = status else {
            unanswered += 1;
            let blank = std::iter::repeat_n("-".to_string(), 6);
            let cells = std::iter::once(address.to_string()).chain(blank);
            table.add_row(cells.chain(["no answer".to_string()]));
            continue;
        };
        let members = status["members"].as_array().map_or(0, Vec::len);
        table.add_row([
            address.to_string(),
            cell(&status["node"]),
            cell(&status["ready"]),
            cell(&status["revision"]),
            cell(&status["digest"]),
            cell(&status["settings"]["confirmed_ms_ago"]),
            members.to_string(),
            remarks(status, highest, &statuses).join("; "),
        ]);
    }
    table.print(format)?;
    if unanswered > 0 {
        bail!("{unanswered} of {} nodes gave no answer", addresses.len());
    }
    ensure!(!addresses.is_empty(), "name the operators' address of at least one node");
    Ok(())
}

/// Returns how a node's state differs from that of the others, and its problems with settings.
fn remarks(status: &Value, highest: Option<u64>, all: &[Option<Value>]) -> Vec<String> {
    let mut remarks = vec![];
    let revision = status["revision"].as_u64();
    if revision < highest {
        remarks.push(format!("behind {}", highest.unwrap_or(0)));
    }
    let conflicts = |other: &&Value| {
        other["revision"] == status["revision"] && other["digest"] != status["digest"]
    };
    if all.iter().flatten().any(|other| conflicts(&other)) {
        remarks.push("another digest than a node of the same revision".to_string());
    }
    if let Some(number) = status["settings"]["conflict"].as_u64() {
        remarks.push(format!("revision {number} was shown with two contents"));
    }
    if let Some(refused) = status["settings"]["refused_revision"].as_u64() {
        let faults = cell(&status["refused"]).replace('\n', " | ");
        remarks.push(format!("refused {refused}: {faults}"));
    }
    remarks
}

/// Fetches the status of each node; `None` for a node that gives no valid answer.
async fn fetch_all(addresses: &[SocketAddr]) -> Vec<Option<Value>> {
    let client = awc::Client::default();
    let fetch = |address: &SocketAddr| {
        let request = client.get(format!("http://{address}/status")).timeout(ANSWER_TIMEOUT);
        async move {
            let body = request.send().await.ok()?.body().limit(8 << 20).await.ok()?;
            serde_json::from_slice(&body).ok()
        }
    };
    join_all(addresses.iter().map(fetch)).await
}
