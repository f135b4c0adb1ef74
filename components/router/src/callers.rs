//! Serves callers: authenticates a call, checks it, and passes it on to be run.

use std::rc::Rc;
use std::time::Duration;

use actix_http::{HttpMessage, Method, Request};
use clock::Clock;
use engine::wire::IDEMPOTENCY_KEY;
use lifecycle::{Outcome, Reason, Received};
use serde::Deserialize;
use settings::{Effective, ServerKind, Workspace};

use crate::answer::{self, Answer, Error};
use crate::relay::{self, Job, Payload};
use crate::state::State;
use crate::{keyed, request};

const CLASS_HEADER: &str = "x-class";
const DEADLINE_HEADER: &str = "x-deadline-ms";
const CHAT_PATH: &str = "/v1/chat/completions";
const TEXT_PATH: &str = "/v1/completions";
const MODELS_PATH: &str = "/v1/models";
/// Class label in the metrics of a request that was rejected before its class was known.
const NO_CLASS: &str = "";

/// The fields of a body that the router reads; all others are passed through.
#[derive(Deserialize)]
struct Body {
    model: String,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
}

/// Answers one request of a caller.
pub(crate) async fn handle(state: Rc<State>, request: Request) -> Answer {
    let id = ids::Request::new();
    let received = lifecycle::Request::new(id);
    let open = state.open_request(id);
    let settings = state.settings();
    match admit(&state, settings.as_deref(), request, received).await {
        Ok(Admitted::Models(body)) => answer::success(id, &body),
        Ok(Admitted::Job(job)) => match job.payload.key {
            Some(key) if !job.payload.class.idempotent => {
                keyed::serve(state, *job, key, open).await
            }
            _ => relay::serve(state, *job, open).await,
        },
        Err(error) => {
            let outcome = Outcome::NotRun(Reason::Invalid);
            // The message may contain what the caller sent, so only the kind of error is logged.
            log::info!(request:% = id, outcome = outcome.as_str(), cause = error.as_str(); "refused");
            state.metrics.count_outcome(NO_CLASS, outcome.as_str());
            state.metrics.count_refusal(error.as_str());
            answer::error(id, outcome, &error, error.retry_after())
        }
    }
}

/// A call that was admitted.
enum Admitted {
    /// The answer to a call for the list of models.
    Models(serde_json::Value),
    Job(Box<Job>),
}

async fn admit(
    state: &State,
    settings: Option<&Effective>,
    mut request: Request,
    received: lifecycle::Request<Received>,
) -> Result<Admitted, Error> {
    let settings = settings.ok_or(Error::NoSettings)?;
    request::check_head(&request, &settings.limits)?;
    let (workspace_key, workspace) = authenticate(settings, &request)?;
    if request.path() == MODELS_PATH {
        return Ok(Admitted::Models(model_list(settings, workspace)));
    }
    let target = find_target(settings, request.path())?;
    if request.method() != Method::POST {
        return Err(Error::Method(request.method().to_string()));
    }
    let class_key = find_class(settings, workspace, &request)?;
    let class = &settings.classes[class_key];
    let key = idempotency_key(&request, class.idempotent)?;
    let arrived = state.clock.now();
    let time_limit =
        requested_deadline(&request)?.map_or(class.deadline, |asked| asked.min(class.deadline));
    let media = header(&request, "content-type").unwrap_or("application/json").to_string();
    let path = request.uri().path_and_query().map_or(request.path(), |path| path.as_str());
    let path = path.to_string();
    let read = state.until_responding(request::read_body(&mut request, &settings.limits)).await;
    let body = read.unwrap_or(Err(Error::Stopping))?;
    let (model, max_tokens) = match target {
        Target::Plain(model) => (model, Some(1)),
        Target::Completion => {
            let parsed: Body = serde_json::from_slice(&body).map_err(malformed)?;
            let model = settings.model_names.key(&parsed.model);
            let model = model.ok_or_else(|| Error::UnknownModel(parsed.model.clone()))?;
            (model, parsed.max_completion_tokens.or(parsed.max_tokens))
        }
    };
    Ok(Admitted::Job(Box::new(Job {
        lifecycle: received.admit(),
        payload: Payload {
            class: class.clone(),
            workspace: workspace.name.clone(),
            model: settings.model_names.name(model).to_string(),
            path,
            media,
            key,
            claim: None,
            request: policy::Request {
                class: class_key,
                workspace: workspace_key,
                model,
                service: model,
                prefix: relay::prefix_hash(&body),
                prompt_tokens: relay::estimate_tokens(&body),
                shared: vec![],
                max_tokens,
                length_hint: None,
                arrived,
                deadline: arrived + time_limit,
                idempotent: class.idempotent,
                region: settings.region_names.key(&state.node.region).unwrap_or_default(),
                regions: settings.allowed_regions(class_key, workspace_key),
                version: None,
                prior: policy::Prior::default(),
            },
            body,
        },
    })))
}

/// The position of the error in a body. The text of `error` isn't used, because it may quote the body.
fn malformed(error: serde_json::Error) -> Error {
    let (line, column) = (error.line(), error.column());
    Error::Body(match error.classify() {
        serde_json::error::Category::Data => {
            format!("a field is missing or of the wrong type, at line {line} column {column}")
        }
        _ => format!("not JSON, at line {line} column {column}"),
    })
}

/// What the path of a call addresses.
enum Target {
    /// A completion; the body names the model.
    Completion,
    /// A path prefix of a plain service.
    Plain(ids::Model),
}

fn find_target(settings: &Effective, path: &str) -> Result<Target, Error> {
    if path == CHAT_PATH || path == TEXT_PATH {
        return Ok(Target::Completion);
    }
    if path.split('/').any(is_dot_segment) {
        return Err(Error::UnknownPath(path.to_string()));
    }
    let plain = settings.servers.values().filter(|server| server.kind == ServerKind::Plain);
    let mut prefixes = plain.flat_map(|server| &server.models);
    let matches = |prefix: &str| {
        path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    let found = prefixes.find(|prefix| matches(settings.model_names.name(**prefix)));
    found.map(|prefix| Target::Plain(*prefix)).ok_or_else(|| Error::UnknownPath(path.to_string()))
}

/// Whether a path segment is `.` or `..`, also percent-encoded. Such a path could leave the prefix that
/// the settings open to callers.
fn is_dot_segment(segment: &str) -> bool {
    let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
    decoded == ".." || decoded == "."
}

fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn authenticate<'a>(
    settings: &'a Effective,
    request: &Request,
) -> Result<(ids::Workspace, &'a Workspace), Error> {
    let key = header(request, "authorization").and_then(|value| value.strip_prefix("Bearer "));
    let digest = settings::key_digest(key.ok_or(Error::UnknownKey)?);
    // The duration of the lookup may reveal how close a digest came, but that reveals nothing of a key.
    let (name, workspace) = settings.workspace_by_key(&digest).ok_or(Error::UnknownKey)?;
    Ok((name, workspace))
}

fn find_class(
    settings: &Effective,
    workspace: &Workspace,
    request: &Request,
) -> Result<ids::Class, Error> {
    let Some(name) = header(request, CLASS_HEADER) else { return Ok(workspace.class) };
    let key = settings.class_names.key(name).filter(|key| settings.classes.contains_key(*key));
    key.ok_or_else(|| Error::UnknownClass(name.to_string()))
}

/// The idempotency key, if it has an issue time. Without one a new key can't be distinguished from one
/// that ran long ago, so that calls that must not run twice are rejected with such a key.
fn idempotency_key(request: &Request, idempotent: bool) -> Result<Option<ids::Request>, Error> {
    if !request.headers().contains_key(IDEMPOTENCY_KEY) {
        return Ok(None);
    }
    let key = header(request, IDEMPOTENCY_KEY).and_then(|text| ids::Request::parse(text).ok());
    let dated = key.filter(|key| key.issued().is_some());
    if dated.is_none() && !idempotent {
        return Err(Error::UndatedKey);
    }
    Ok(dated)
}

fn requested_deadline(request: &Request) -> Result<Option<Duration>, Error> {
    let Some(text) = header(request, DEADLINE_HEADER) else { return Ok(None) };
    match text.parse::<u64>() {
        Ok(ms) if ms > 0 => Ok(Some(Duration::from_millis(ms))),
        _ => Err(Error::Deadline(text.to_string())),
    }
}

fn model_list(settings: &Effective, workspace: &Workspace) -> serde_json::Value {
    let is_allowed =
        |key: &ids::Server| workspace.servers.is_empty() || workspace.servers.contains(key);
    let engines =
        settings.servers.iter().filter(|(key, _)| is_allowed(key)).map(|(_, server)| server);
    let engines = engines.filter(|server| server.kind == ServerKind::Engine);
    let mut names: Vec<_> =
        engines.flat_map(|server| &server.models).map(|m| settings.model_names.name(*m)).collect();
    names.sort_unstable();
    names.dedup();
    let entry = |name: &&str| serde_json::json!({"id": name, "object": "model"});
    serde_json::json!({"object": "list", "data": names.iter().map(entry).collect::<Vec<_>>()})
}
