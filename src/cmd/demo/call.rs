//! Sends one call of the demo and records what its caller received.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use tokio::time::Instant;

use super::mix::{Class, Kind};

/// Largest answer that a caller accepts; a longer one counts as incorrect.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Outcome of a call, as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// One complete answer to its own request.
    Complete,
    /// The caller was told that the request wasn't run.
    Refused,
    /// The caller was told that the request may have run.
    Unknown,
    /// Anything else, with the reason.
    Incorrect(String),
}

/// A call that ended, with its measurements.
#[derive(Clone, Debug)]
pub struct Record {
    pub class: Class,
    pub id: String,
    pub outcome: Outcome,
    /// Time to the first bytes of the answer.
    pub first_token: Option<Duration>,
    /// Times between two successive chunks of the answer.
    pub intervals: Vec<Duration>,
    /// Time to the end of the answer.
    pub elapsed: Duration,
    /// Tokens of a complete answer; 0 for any other outcome.
    pub tokens: u32,
}

/// Sends a call and reads its answer to the end.
pub async fn send_call(
    client: awc::Client,
    router: SocketAddr,
    class: Class,
    tokens: u32,
) -> Record {
    let started = Instant::now();
    let mut record = Record {
        class,
        id: String::new(),
        outcome: Outcome::Refused,
        first_token: None,
        intervals: vec![],
        elapsed: Duration::ZERO,
        tokens: 0,
    };
    let streamed = class.kind == Kind::Streamed;
    let body = serde_json::json!({"model": "small", "stream": streamed, "max_tokens": tokens});
    let path = if class.kind == Kind::Charge { "/desk/charge" } else { "/v1/chat/completions" };
    let request = client.post(format!("http://{router}{path}"));
    let request = request.insert_header(("authorization", "Bearer demo-key"));
    let request = request.insert_header(("x-class", class.name));
    let mut response = match request.send_json(&body).await {
        Ok(response) => response,
        Err(cause) => {
            record.outcome = Outcome::Incorrect(format!("no answer: {cause}"));
            return record;
        }
    };
    let header = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
    record.id = header("x-request-id").unwrap_or_default().to_string();
    let header_outcome = header("x-outcome").unwrap_or_default().to_string();
    let mut received = vec![];
    let mut last = None;
    while let Some(bytes) = response.next().await {
        let Ok(bytes) = bytes else { break };
        let now = Instant::now();
        match last.replace(now) {
            None => record.first_token = Some(now - started),
            Some(last) => record.intervals.push(now - last),
        }
        received.extend_from_slice(&bytes);
        if received.len() > MAX_ANSWER_BYTES {
            break;
        }
    }
    record.elapsed = started.elapsed();
    record.outcome = check_outcome(&record, &header_outcome, &received, tokens);
    if record.outcome == Outcome::Complete && class.kind != Kind::Charge {
        record.tokens = tokens;
    }
    record
}

/// Derives the outcome from the `x-outcome` header and the received bytes.
fn check_outcome(record: &Record, header_outcome: &str, received: &[u8], tokens: u32) -> Outcome {
    match (header_outcome, record.class.kind) {
        ("not-run", _) => Outcome::Refused,
        ("unknown", _) => Outcome::Unknown,
        ("complete", Kind::Charge) if received == br#"{"booked":true}"# => Outcome::Complete,
        ("complete", Kind::Complete) => match parse_answer(received) {
            Some((id, text)) => check_text(record, &id, &text, tokens),
            None => Outcome::Incorrect("the answer isn't the expected JSON".to_string()),
        },
        ("streaming", Kind::Streamed) => match parse_stream(received) {
            Some((id, text)) => check_text(record, &id, &text, tokens),
            None => {
                Outcome::Incorrect("the stream has no end mark or an invalid event".to_string())
            }
        },
        _ => {
            Outcome::Incorrect(format!("outcome {header_outcome:?} with {} bytes", received.len()))
        }
    }
}

/// Checks that the text is the complete answer to the record's own request.
fn check_text(record: &Record, id: &str, text: &str, tokens: u32) -> Outcome {
    let expected: Vec<_> = (0..tokens).map(|index| format!("w{index}")).collect();
    if id != record.id {
        Outcome::Incorrect(format!("the answer is to request {id}"))
    } else if text.trim_end() != expected.join(" ") {
        Outcome::Incorrect("the answer is incomplete".to_string())
    } else {
        Outcome::Complete
    }
}

/// Returns the request id and the text of an answer that isn't a stream.
fn parse_answer(received: &[u8]) -> Option<(String, String)> {
    let json: serde_json::Value = serde_json::from_slice(received).ok()?;
    let text = json["choices"][0]["message"]["content"].as_str()?;
    Some((json["id"].as_str()?.to_string(), text.to_string()))
}

/// Returns the request id and the text of a stream; `None` if its end mark is missing.
fn parse_stream(received: &[u8]) -> Option<(String, String)> {
    let all = std::str::from_utf8(received).ok()?;
    let (mut id, mut text) = (String::new(), String::new());
    for event in all.strip_suffix("data: [DONE]\n\n")?.split("\n\n").filter(|e| !e.is_empty()) {
        let json: serde_json::Value = serde_json::from_str(event.strip_prefix("data: ")?).ok()?;
        id = json["id"].as_str()?.to_string();
        text.push_str(json["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    Some((id, text))
}
