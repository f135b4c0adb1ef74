//! Answers where a request would be sent now, and why, without sending it.
//!
//! What isn't known yet of a request's class or workspace is added to a copy of the scheduler, so that asking changes
//! nothing. API keys are neither logged nor repeated in an answer.

use std::borrow::Cow;

use actix_http::header::{AUTHORIZATION, CONTENT_TYPE};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use catalog::{Denied, Match, Settings};
use clock::Clock;
use policy::{Candidate, Explanation, Part, Prior, Refusal, Scheduler};
use serde::Deserialize;

use crate::adapter::Adapter;
use crate::answer::Answer;
use crate::registry::Registry;
use crate::state::State;

/// Most parts of a prompt that are read.
const MAX_PARTS: usize = 64;
/// Most names that an error lists.
const MAX_NAMES: usize = 12;
/// What the answer says of its candidates.
const NOTE: &str = "Nodes compare candidates that they draw at random, so the next request may go to another server that \
                    costs about as much. Each candidate is the choice if those before it were full.";

/// What is asked.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Query {
    /// Host of the request.
    host: String,
    /// Path of the request.
    path: String,
    /// Model that it asks for.
    model: Option<String>,
    /// IN or IN,OUT: tokens of the prompt, and the limit on those of the answer.
    tokens: Option<String>,
    /// ID:TOKENS,...: the parts of the prompt that other requests share, in order; ids in hexadecimal.
    prefix: Option<String>,
}

/// Why a question has no answer. The message says what to do.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(
        "the question can't be read ({0}); send host and path, and optionally model, tokens and prefix"
    )]
    Query(String),
    #[error("`tokens` is `{0}`; send IN or IN,OUT as whole numbers")]
    Tokens(String),
    #[error("`prefix` is `{0}`; send at most {MAX_PARTS} comma-separated HEX:TOKENS")]
    Prefix(String),
    #[error(
        "this node has no settings yet; check that it reaches its seeds and its store, or ask another node"
    )]
    NoSettings,
    #[error("no route serves {host}{path}; {remedy}")]
    NoRoute { host: String, path: String, remedy: String },
    #[error(
        "the route needs an API key that belongs to a workspace, and none does with this one; pass a key from the settings"
    )]
    UnknownKey,
    #[error(
        "all services of the route {0} have the weight 0, so it sends no requests; check the settings"
    )]
    NoService(String),
    #[error(
        "no server of the service {0} is listed; check that its servers run and reach the store"
    )]
    NoServer(String),
    #[error("no server of the service {service} lists the model {model}; {remedy}")]
    UnknownModel { service: String, model: String, remedy: String },
}

impl Error {
    fn status(&self) -> StatusCode {
        match self {
            Error::Query(_) | Error::Tokens(_) | Error::Prefix(_) => StatusCode::BAD_REQUEST,
            Error::NoSettings => StatusCode::SERVICE_UNAVAILABLE,
            Error::UnknownKey => StatusCode::UNAUTHORIZED,
            Error::NoRoute { .. }
            | Error::NoService(_)
            | Error::NoServer(_)
            | Error::UnknownModel { .. } => StatusCode::NOT_FOUND,
        }
    }
}

/// Answers one question.
pub(crate) fn answer<A: Adapter>(state: &State<A>, request: &Request) -> Answer {
    let (status, body) = match explain(state, request) {
        Ok(body) => (StatusCode::OK, body),
        Err(error) => (error.status(), serde_json::json!({ "error": error.to_string() })),
    };
    let mut response = Response::build(status);
    response.insert_header((CONTENT_TYPE, "application/json"));
    response.body(body.to_string()).map_into_boxed_body()
}

fn explain<A: Adapter>(state: &State<A>, request: &Request) -> Result<serde_json::Value, Error> {
    let query = request.uri().query().unwrap_or_default();
    let query: Query =
        serde_urlencoded::from_str(query).map_err(|cause| Error::Query(cause.to_string()))?;
    let settings = state.settings.borrow().clone().ok_or(Error::NoSettings)?;
    let found = settings.match_request(&query.host, &query.path, bearer_key(request));
    let found = found.map_err(|denied| describe_denied(denied, &settings, &query))?;
    let (prompt_tokens, max_tokens) = parse_tokens(query.tokens.as_deref())?;
    let shared = parse_parts(query.prefix.as_deref())?;
    let session = shared.last().map_or_else(rand::random, |part| part.id);
    let service = found.route.service(session);
    let service = service.ok_or_else(|| Error::NoService(found.route.name.clone()))?;
    let registry = state.registry.borrow();
    let service_key = registry.known_model(service, "");
    let service_key = service_key.ok_or_else(|| Error::NoServer(service.to_string()))?;
    let model = match query.model.as_deref() {
        None => service_key,
        Some(model) => registry
            .known_model(service, model)
            .ok_or_else(|| unknown_model(&registry, service, model))?,
    };
    let scheduler = state.driver.scheduler.borrow();
    let (scheduler, class, workspace) =
        registry.class_and_workspace_in_copy(&scheduler, &settings, &found);
    let now = state.clock.now();
    let asked = policy::Request {
        class,
        workspace,
        model,
        service: service_key,
        prefix: session,
        prompt_tokens,
        shared,
        max_tokens,
        length_hint: None,
        arrived: now,
        deadline: now + found.route.timeout,
        idempotent: found.route.kind.is_repeatable(),
        region: state.region,
        regions: registry.known_regions(&found.residency()),
        version: None,
        prior: Prior::default(),
    };
    let explanation = policy::explain(&scheduler, &asked, now);
    let candidates = explanation.candidates.iter();
    let candidates = candidates.map(|candidate| describe_candidate(&registry, candidate));
    Ok(serde_json::json!({
        "node": state.node().name,
        "revision": settings.revision,
        "age_ms": state.proof_age_ms(),
        "fresh": state.is_fresh(),
        "route": found.route.name,
        "workspace": found.workspace.as_ref().map(|workspace| &workspace.name),
        "class": format!("{}/{}", found.route.name, found.workspace_tier()),
        "tier": found.tier(),
        "priority": found.priority(),
        "service": service,
        "model": query.model,
        "group": explanation.group,
        "waiting": explanation.waiting,
        "servers": explanation.servers,
        "refused": explanation.refused.map(refusal_text),
        "candidates": candidates.collect::<Vec<_>>(),
        "excluded": describe_excluded(&registry, &explanation),
        "note": NOTE,
    }))
}

/// The API key of the workspace for which is asked.
fn bearer_key(request: &Request) -> Option<&str> {
    request.headers().get(AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

fn describe_denied(denied: Denied, settings: &Settings, query: &Query) -> Error {
    match denied {
        Denied::UnknownKey => Error::UnknownKey,
        Denied::NoRoute => {
            let name = query.host.rsplit_once(':').map_or(query.host.as_str(), |(name, _)| name);
            let of_host = |route: &&catalog::Route| route.host.eq_ignore_ascii_case(name);
            let routes = || settings.routes().map(|route| &**route);
            let remedy = if routes().any(|route| of_host(&route)) {
                let prefixes = routes().filter(of_host).map(|route| route.prefix.as_str());
                format!("paths of this host begin with {}", join_names(prefixes))
            } else {
                let hosts = routes().map(|route| route.host.as_str());
                format!("hosts with routes are {}", join_names(hosts))
            };
            Error::NoRoute { host: query.host.clone(), path: query.path.clone(), remedy }
        }
    }
}

fn unknown_model(registry: &Registry, service: &str, model: &str) -> Error {
    let models = join_names(registry.model_names(service));
    let remedy = if models.is_empty() {
        "its servers list none, so ask without a model".to_string()
    } else {
        format!(
            "models there are {models}; requests for others go to any server, as without a model"
        )
    };
    Error::UnknownModel { service: service.to_string(), model: model.to_string(), remedy }
}

/// Some of the names in order, for an error.
fn join_names<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let mut names: Vec<_> = names.collect();
    names.sort_unstable();
    names.dedup();
    let more = if names.len() > MAX_NAMES { ", ..." } else { "" };
    names.truncate(MAX_NAMES);
    format!("{}{more}", names.join(", "))
}

fn parse_tokens(text: Option<&str>) -> Result<(u32, Option<u32>), Error> {
    let Some(text) = text else { return Ok((0, None)) };
    let number = |digits: &str| digits.trim().parse().map_err(|_| Error::Tokens(text.to_string()));
    match text.split_once(',') {
        Some((prompt, answer)) => Ok((number(prompt)?, Some(number(answer)?))),
        None => Ok((number(text)?, None)),
    }
}

fn parse_parts(text: Option<&str>) -> Result<Vec<Part>, Error> {
    let text = text.unwrap_or_default();
    let part = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(Part { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
    };
    let parts = text.split(',').filter(|part| !part.is_empty()).map(part);
    let parts: Option<Vec<_>> = parts.collect();
    let parts = parts.filter(|parts| parts.len() <= MAX_PARTS);
    parts.ok_or_else(|| Error::Prefix(text.to_string()))
}

fn refusal_text(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::Full | Refusal::Displaced => "the queue is full",
        Refusal::Late => "it can't be served in time",
        Refusal::OverShare => "its workspace is over its share of an overloaded fleet",
        Refusal::Overloaded => "the fleet is overloaded",
        Refusal::NoServer => "no backend server may take it",
        Refusal::Quarantined => "servers ended under it",
        Refusal::Resting => "all backend servers ask for rest",
    }
}

fn describe_candidate(registry: &Registry, candidate: &Candidate) -> serde_json::Value {
    let entry = registry.server(candidate.server);
    let costs = candidate.costs.map(|costs| {
        let terms = costs.terms().into_iter();
        terms.map(|(name, seconds)| (name.to_string(), seconds.into())).collect()
    });
    let costs: Option<serde_json::Map<_, _>> = costs;
    serde_json::json!({
        "server": entry.map(|entry| &entry.name),
        "domain": entry.map(|entry| &entry.domain),
        "cost_s": candidate.costs.map(|costs| costs.total()),
        "costs": costs,
        "tokens_per_second": candidate.rate.map(|rate| rate.tokens_per_second),
        "measured": candidate.rate.map(|rate| rate.measured),
        "speed": candidate.speed,
        "group": candidate.group,
        "cached_tokens": candidate.cached_tokens,
        "backlog_s": candidate.backlog,
        "load": candidate.load,
        "slots": candidate.slots,
        "report_age_ms": candidate.report_age.map(|age| age.as_millis() as u64),
        "peers_age_ms": candidate.peers_age.map(|age| age.as_millis() as u64),
    })
}

fn describe_excluded(registry: &Registry, explanation: &Explanation) -> Vec<serde_json::Value> {
    let excluded = explanation.excluded.iter().map(|excluded| {
        let entry = registry.server(excluded.server);
        serde_json::json!({
            "server": entry.map(|entry| &entry.name),
            "domain": entry.map(|entry| &entry.domain),
            "reason": excluded.obstacle.as_str(),
            "for_ms": excluded.lasts.map(|left| left.as_millis() as u64),
        })
    });
    excluded.collect()
}

impl Registry {
    /// Keys of a request's class and workspace, and a scheduler that knows them: a copy if they are new.
    fn class_and_workspace_in_copy<'a>(
        &self,
        scheduler: &'a Scheduler,
        settings: &Settings,
        found: &Match,
    ) -> (Cow<'a, Scheduler>, ids::Class, ids::Workspace) {
        if let Some((class, workspace)) = self.known_class_and_workspace(found) {
            return (Cow::Borrowed(scheduler), class, workspace);
        }
        let mut copy = scheduler.clone();
        let (class, workspace) =
            self.copy_of_names().register_class_and_workspace(&mut copy, settings, found);
        (Cow::Owned(copy), class, workspace)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against mistyped numbers that are taken for others, or for none.
    #[test]
    fn can_parse_tokens_and_parts() {
        assert_eq!(parse_tokens(Some("9190,56")).ok(), Some((9_190, Some(56))));
        assert_eq!(parse_tokens(Some("20")).ok(), Some((20, None)));
        assert!(
            ["", "x", "1,", "1,2,3", "-1"].iter().all(|text| parse_tokens(Some(text)).is_err())
        );
        let parts = vec![Part { id: 0xab, tokens: 10 }, Part { id: 1, tokens: 2 }];
        assert_eq!(parse_parts(Some("ab:10,1:2")).ok(), Some(parts));
        assert!(["ab", "zz:1", "1:x"].iter().all(|text| parse_parts(Some(text)).is_err()));
        assert!(parse_parts(Some(&"1:1,".repeat(MAX_PARTS + 1))).is_err());
    }
}
