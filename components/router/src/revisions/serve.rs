//! Serves the settings in force to peers. The caller of this module has checked the peer's secret.

use std::collections::HashMap;
use std::rc::Rc;

use actix_http::{Request, Response, StatusCode};
use configuration::peer::{Changed, Delta, MANIFEST_PATH, Update, VALUE_PATH, WATCH_TIMEOUT};
use configuration::wire::{Manifest, Part as Listed};
use settings::watermark::RevisionId;

use crate::answer::Answer;
use crate::state::State;

/// Prefix of the paths of settings.
pub(crate) const PATH_PREFIX: &str = "/settings/";
/// Largest sum of the texts sent in a delta. A peer that needs more gets the manifest and reads the
/// values one by one.
const MAX_DELTA_BYTES: usize = 64 << 10;

/// Answers a peer's request for settings.
pub(crate) async fn handle(state: Rc<State>, request: &Request) -> Answer {
    let path = request.path();
    if let Some(digest) = path.strip_prefix(VALUE_PATH) {
        return value_response(&state, digest);
    }
    if path != MANIFEST_PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let query = request.uri().query().unwrap_or_default();
    let field = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name));
    let after = field("after=").and_then(|text| text.parse().ok()).unwrap_or(0);
    let digest = field("digest=").and_then(|text| u64::from_str_radix(text, 16).ok());
    if !query.split('&').any(|pair| pair == "now") {
        let mut in_force = state.revisions.in_force.subscribe();
        let _ =
            tokio::time::timeout(WATCH_TIMEOUT, in_force.wait_for(|revision| *revision > after))
                .await;
    }
    let theirs = RevisionId { revision: after, digest: digest.unwrap_or(0) };
    match update_since(&state, theirs) {
        Some(update) => {
            let body = serde_json::to_string(&update).expect("plain fields");
            Response::build(StatusCode::OK).body(body).map_into_boxed_body()
        }
        None => empty_response(StatusCode::NOT_MODIFIED),
    }
}

fn empty_response(status: StatusCode) -> Answer {
    Response::new(status).map_into_boxed_body()
}

fn value_response(state: &State, digest: &str) -> Answer {
    let recent = state.revisions.recent.borrow();
    let mut parts = recent.iter().rev().flat_map(|past| past.parts.iter());
    match parts.find(|part| part.digest == digest) {
        Some(part) => {
            Response::build(StatusCode::OK).body(part.text.to_string()).map_into_boxed_body()
        }
        None => empty_response(StatusCode::NOT_FOUND),
    }
}

/// What changed for a peer that has the revision `theirs`; `None` if it has the newest.
fn update_since(state: &State, theirs: RevisionId) -> Option<Update> {
    let current = state.settings()?;
    if current.revision <= theirs.revision {
        return None;
    }
    let recent = state.revisions.recent.borrow();
    let delta = recent.iter().find(|past| past.id == theirs).and_then(|base| {
        let before: HashMap<&str, &str> =
            base.parts.iter().map(|part| (&*part.name, &*part.digest)).collect();
        let now: HashMap<&str, &str> =
            current.parts.iter().map(|part| (&*part.name, &*part.digest)).collect();
        let changed = current.parts.iter().filter(|p| before.get(&*p.name) != Some(&&*p.digest));
        let changed: Vec<_> = changed.collect();
        let bytes: usize = changed.iter().map(|part| part.text.len()).sum();
        let gone = before.keys().filter(|name| !now.contains_key(*name));
        (bytes <= MAX_DELTA_BYTES).then(|| Delta {
            revision: current.revision,
            digest: current.digest,
            changed: changed
                .iter()
                .map(|p| Changed { name: p.name.to_string(), text: p.text.to_string() })
                .collect(),
            gone: gone.map(|name| name.to_string()).collect(),
        })
    });
    Some(delta.map_or_else(|| Update::Manifest(build_manifest(&current)), Update::Delta))
}

fn build_manifest(current: &settings::Effective) -> Manifest {
    let listed = |part: &Rc<settings::Part>| Listed {
        name: part.name.to_string(),
        digest: part.digest.clone(),
    };
    Manifest { revision: current.revision, parts: current.parts.iter().map(listed).collect() }
}
