//! The callers' interface: who calls, for what, and whether the call is well formed.

use std::rc::Rc;
use std::time::Duration;

use actix_http::{HttpMessage, Method, Request};
use clock::Clock;
use engine::wire::KEY;
use lifecycle::{Outcome, Reason, Received};
use serde::Deserialize;
use settings::{Effective, ServerKind, Workspace};

use crate::answer::{self, Answer, Error};
use crate::relay::{self, Job, Parcel};
use crate::state::State;
use crate::{intake, keyed};

const CLASS: &str = "x-class";
const DEADLINE: &str = "x-deadline-ms";
const CHAT: &str = "/v1/chat/completions";
const TEXT: &str = "/v1/completions";
const MODELS: &str = "/v1/models";
/// Class in the metrics of a request that was refused before its class was known.
const NO_CLASS: &str = "";

/// The fields of a body that the router reads; the rest passes through.
#[derive(Deserialize)]
struct Body {
    model: String,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
}

/// Answers one call.
pub(crate) async fn handle(state: Rc<State>, request: Request) -> Answer {
    let id = ids::Request::new();
    let received = lifecycle::Request::new(id);
    let held = state.hold(id);
    let settings = state.settings();
    match admit(&state, settings.as_deref(), request, received).await {
        Ok(Admitted::Models(body)) => answer::told(id, &body),
        Ok(Admitted::Job(job)) => match job.parcel.key {
            Some(key) if !job.parcel.class.idempotent => keyed::serve(state, *job, key, held).await,
            _ => relay::serve(state, *job, held).await,
        },
        Err(error) => {
            let outcome = Outcome::NotRun(Reason::Invalid);
            // The message may hold what the caller sent, so the log has only its kind.
            log::info!(request:% = id, outcome = outcome.as_str(), cause = error.word(); "refused");
            state.metrics.count_outcome(NO_CLASS, outcome.as_str());
            state.metrics.count_refusal(error.word());
            answer::error(id, outcome, &error, error.again())
        }
    }
}

enum Admitted {
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
    intake::head(&request, &settings.limits)?;
    let (workspace_key, workspace) = workspace(settings, &request)?;
    if request.path() == MODELS {
        return Ok(Admitted::Models(models(settings, workspace)));
    }
    let target = target(settings, request.path())?;
    if request.method() != Method::POST {
        return Err(Error::Method(request.method().to_string()));
    }
    let class_key = class(settings, workspace, &request)?;
    let class = &settings.classes[class_key];
    let key = key(&request, class.idempotent)?;
    let arrived = state.clock.now();
    let useful = deadline(&request)?.map_or(class.deadline, |asked| asked.min(class.deadline));
    let media = header(&request, "content-type").unwrap_or("application/json").to_string();
    let path = request.uri().path_and_query().map_or(request.path(), |path| path.as_str());
    let path = path.to_string();
    let body = intake::body(&mut request, &settings.limits).await?;
    let (model, max_tokens) = match target {
        Target::Plain(model) => (model, Some(1)),
        Target::Completion => {
            let parsed: Body = serde_json::from_slice(&body).map_err(malformed)?;
            let model = settings.model_names.key(&parsed.model);
            let model = model.ok_or_else(|| Error::Model(parsed.model.clone()))?;
            (model, parsed.max_completion_tokens.or(parsed.max_tokens))
        }
    };
    Ok(Admitted::Job(Box::new(Job {
        life: received.admit(),
        parcel: Parcel {
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
                prefix: relay::prefix(&body),
                prompt_tokens: relay::tokens(&body),
                shared: vec![],
                max_tokens,
                arrived,
                deadline: arrived + useful,
                idempotent: class.idempotent,
                region: settings.region_names.key(&state.node.region).unwrap_or_default(),
            },
            body,
        },
    })))
}

/// Where a body is wrong, without a word of it: the error's own text may quote the caller's.
fn malformed(error: serde_json::Error) -> Error {
    let (line, column) = (error.line(), error.column());
    Error::Body(match error.classify() {
        serde_json::error::Category::Data => {
            format!("a field is missing or of the wrong type, at line {line} column {column}")
        }
        _ => format!("not JSON, at line {line} column {column}"),
    })
}

enum Target {
    Completion,
    Plain(ids::Model),
}

fn target(settings: &Effective, path: &str) -> Result<Target, Error> {
    if path == CHAT || path == TEXT {
        return Ok(Target::Completion);
    }
    if path.split('/').any(climbs) {
        return Err(Error::Path(path.to_string()));
    }
    let plain = settings.servers.values().filter(|server| server.kind == ServerKind::Plain);
    let mut prefixes = plain.flat_map(|server| &server.models);
    let under = |prefix: &str| {
        path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    let found = prefixes.find(|prefix| under(settings.model_names.name(**prefix)));
    found.map(|prefix| Target::Plain(*prefix)).ok_or_else(|| Error::Path(path.to_string()))
}

/// Whether a segment leads out of the prefix that the settings opened to callers.
fn climbs(segment: &str) -> bool {
    let plain = segment.to_ascii_lowercase().replace("%2e", ".");
    plain == ".." || plain == "."
}

fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn workspace<'a>(
    settings: &'a Effective,
    request: &Request,
) -> Result<(ids::Workspace, &'a Workspace), Error> {
    let key = header(request, "authorization").and_then(|value| value.strip_prefix("Bearer "));
    let digest = settings::key_digest(key.ok_or(Error::Key)?);
    // The table's lookup may tell by its time how near a digest came, which says nothing of a key.
    let (name, workspace) = settings.workspace_by_key(&digest).ok_or(Error::Key)?;
    Ok((name, workspace))
}

fn class(
    settings: &Effective,
    workspace: &Workspace,
    request: &Request,
) -> Result<ids::Class, Error> {
    let Some(name) = header(request, CLASS) else { return Ok(workspace.class) };
    let key = settings.class_names.key(name).filter(|key| settings.classes.contains_key(*key));
    key.ok_or_else(|| Error::Class(name.to_string()))
}

/// The idempotency key. One without an issue time can't be told from one that ran long ago, so it
/// is refused where it matters.
fn key(request: &Request, idempotent: bool) -> Result<Option<ids::Request>, Error> {
    if !request.headers().contains_key(KEY) {
        return Ok(None);
    }
    let key = header(request, KEY).and_then(|text| ids::Request::parse(text).ok());
    let dated = key.filter(|key| key.issued().is_some());
    if dated.is_none() && !idempotent {
        return Err(Error::Undated);
    }
    Ok(dated)
}

fn deadline(request: &Request) -> Result<Option<Duration>, Error> {
    let Some(text) = header(request, DEADLINE) else { return Ok(None) };
    match text.parse::<u64>() {
        Ok(ms) if ms > 0 => Ok(Some(Duration::from_millis(ms))),
        _ => Err(Error::Deadline(text.to_string())),
    }
}

fn models(settings: &Effective, workspace: &Workspace) -> serde_json::Value {
    let may = |key: &ids::Server| workspace.servers.is_empty() || workspace.servers.contains(key);
    let engines = settings.servers.iter().filter(|(key, _)| may(key)).map(|(_, server)| server);
    let engines = engines.filter(|server| server.kind == ServerKind::Engine);
    let mut names: Vec<_> =
        engines.flat_map(|server| &server.models).map(|m| settings.model_names.name(*m)).collect();
    names.sort_unstable();
    names.dedup();
    let entry = |name: &&str| serde_json::json!({"id": name, "object": "model"});
    serde_json::json!({"object": "list", "data": names.iter().map(entry).collect::<Vec<_>>()})
}
