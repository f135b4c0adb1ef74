//! Implements `route`, which shows where a request would go and why.

use std::io::Read;
use std::time::Duration;

use anyhow::{Context, anyhow, bail};
use awc::http::StatusCode;
use serde_json::Value;

use super::cell;
use crate::cli::Route;
use crate::messages::{Format, Table};

/// Time limit for the node's answer, which takes up to 12 ms of a core with 6,000 servers; nodes have down to 0.09 of a core.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest answer in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Value of `--key` for which the key is read from standard input, where other users of the machine don't see it.
const FROM_INPUT: &str = "-";
/// Costs below it are left out of the list of terms, in seconds.
const MIN_SHOWN_SECONDS: f64 = 0.000_5;

/// Asks a node where a request would go, and prints its answer. The key is only sent to the node.
pub fn route(asked: &Route, format: Format) -> anyhow::Result<()> {
    let answer = actix_rt::System::new().block_on(fetch(asked))?;
    if asked.json || format == Format::Json {
        crate::messages::print_text(&format!("{}\n", serde_json::to_string_pretty(&answer)?));
        return Ok(());
    }
    print_request(&answer)?;
    print_candidates(&answer["candidates"])?;
    print_excluded(&answer["excluded"])?;
    crate::messages::print_text(&format!("\n{}\n", cell(&answer["note"])));
    Ok(())
}

async fn fetch(asked: &Route) -> anyhow::Result<Value> {
    let node = asked.node;
    let mut query = vec![("host", asked.host.as_str()), ("path", asked.path.as_str())];
    let further = [("model", &asked.model), ("tokens", &asked.tokens), ("prefix", &asked.prefix)];
    query.extend(further.iter().filter_map(|(name, value)| Some((*name, value.as_deref()?))));
    let request = awc::Client::default().get(format!("http://{node}/route"));
    let mut request = request.timeout(ANSWER_TIMEOUT).query(&query)?;
    if let Some(key) = read_key(asked.key.as_deref())? {
        request = request.bearer_auth(key);
    }
    let sent = request.send().await;
    let mut response = sent.map_err(|cause| {
        anyhow!("{node} gives no answer ({cause}); check that this is the operators' address of a node that runs")
    })?;
    let body = response.body().limit(MAX_ANSWER_BYTES).await;
    let body =
        body.map_err(|cause| anyhow!("the answer of {node} ends early ({cause}); ask again"))?;
    let status = response.status();
    if status == StatusCode::NOT_FOUND && body.is_empty() {
        bail!(
            "{node} can't tell where requests go: it has no adapter or is of an older version; ask another node"
        );
    }
    let answer: Value = serde_json::from_slice(&body).with_context(|| {
        format!("the answer of {node} (status {}) isn't JSON; check that this is the operators' address of a node", status.as_u16())
    })?;
    match answer["error"].as_str() {
        Some(error) => bail!("{node}: {error}"),
        None if status.is_success() => Ok(answer),
        None => bail!("{node} answers with status {}; see its log", status.as_u16()),
    }
}

/// The key to send, which is read from standard input if so asked.
fn read_key(key: Option<&str>) -> anyhow::Result<Option<String>> {
    if key != Some(FROM_INPUT) {
        return Ok(key.map(str::to_string));
    }
    let mut text = String::new();
    std::io::stdin()
        .read_to_string(&mut text)
        .context("the key can't be read from standard input")?;
    Ok(Some(text.trim().to_string()))
}

/// Prints what the node knows of the request.
fn print_request(answer: &Value) -> anyhow::Result<()> {
    let mut table = Table::new(&["request", "value"]);
    let fields = [
        "node",
        "revision",
        "age_ms",
        "fresh",
        "route",
        "workspace",
        "class",
        "tier",
        "priority",
        "service",
        "model",
        "group",
        "waiting",
        "servers",
        "refused",
    ];
    for field in fields {
        table.add_row([field.to_string(), cell(&answer[field])]);
    }
    table.print(Format::Text)
}

/// Prints the candidates with their costs, the cheapest first.
fn print_candidates(candidates: &Value) -> anyhow::Result<()> {
    let mut table = Table::new(&[
        "candidate",
        "domain",
        "cost_s",
        "of which",
        "tokens_per_second",
        "cached",
        "backlog_s",
        "speed",
        "group",
        "load",
        "reported_ms_ago",
        "peers_ms_ago",
    ]);
    for candidate in candidates.as_array().into_iter().flatten() {
        let rate = match candidate["measured"].as_bool() {
            None => "-".to_string(),
            Some(measured) => {
                let origin = if measured { "measured" } else { "assumed" };
                format!("{} {origin}", decimals(&candidate["tokens_per_second"], 0))
            }
        };
        table.add_row([
            cell(&candidate["server"]),
            cell(&candidate["domain"]),
            decimals(&candidate["cost_s"], 3),
            terms(&candidate["costs"]),
            rate,
            cell(&candidate["cached_tokens"]),
            decimals(&candidate["backlog_s"], 3),
            decimals(&candidate["speed"], 2),
            cell(&candidate["group"]),
            format!("{}/{}", decimals(&candidate["load"], 1), cell(&candidate["slots"])),
            cell(&candidate["report_age_ms"]),
            cell(&candidate["peers_age_ms"]),
        ]);
    }
    crate::messages::print_text("\n");
    table.print(Format::Text)
}

/// Prints the servers that are ruled out.
fn print_excluded(excluded: &Value) -> anyhow::Result<()> {
    let mut table = Table::new(&["ruled out", "domain", "reason", "for_ms"]);
    for server in excluded.as_array().into_iter().flatten() {
        let cells = ["server", "domain", "reason", "for_ms"];
        table.add_row(cells.map(|name| cell(&server[name])));
    }
    crate::messages::print_text("\n");
    table.print(Format::Text)
}

/// Formats the terms of a cost, the largest first.
fn terms(costs: &Value) -> String {
    let terms = costs.as_object().into_iter().flatten();
    let terms = terms.filter_map(|(name, seconds)| Some((name, seconds.as_f64()?)));
    let mut terms: Vec<_> =
        terms.filter(|(_, seconds)| seconds.abs() >= MIN_SHOWN_SECONDS).collect();
    terms.sort_by(|a, b| b.1.total_cmp(&a.1));
    let terms: Vec<_> =
        terms.iter().map(|(name, seconds)| format!("{name} {seconds:.3}")).collect();
    if terms.is_empty() { "-".to_string() } else { terms.join(", ") }
}

/// Formats a number with so many decimals.
fn decimals(value: &Value, count: usize) -> String {
    value.as_f64().map_or_else(|| "-".to_string(), |number| format!("{number:.count$}"))
}
