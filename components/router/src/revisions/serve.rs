//! Shows the settings in force to peers. Who asks was checked before.

use std::collections::HashMap;
use std::rc::Rc;

use actix_http::{Request, Response, StatusCode};
use configuration::peer::{Changed, Delta, MANIFEST_PATH, Update, VALUE_PATH, WATCH_TIMEOUT};
use configuration::wire::{Manifest, Part as Listed};
use settings::mark::Shown;

use crate::answer::Answer;
use crate::state::State;

/// Paths of the settings begin with this.
pub(crate) const PREFIX: &str = "/settings/";
/// Texts sent with a delta at most; beyond that the asker reads values one by one.
const INLINE: usize = 64 << 10;

/// Answers a peer that asks for settings.
pub(crate) async fn handle(state: Rc<State>, request: &Request) -> Answer {
    let path = request.path();
    if let Some(digest) = path.strip_prefix(VALUE_PATH) {
        return value(&state, digest);
    }
    if path != MANIFEST_PATH {
        return empty(StatusCode::NOT_FOUND);
    }
    let query = request.uri().query().unwrap_or_default();
    let field = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name));
    let after = field("after=").and_then(|text| text.parse().ok()).unwrap_or(0);
    let digest = field("digest=").and_then(|text| u64::from_str_radix(text, 16).ok());
    if !query.split('&').any(|pair| pair == "now") {
        let mut shown = state.revisions.shown.subscribe();
        let _ = tokio::time::timeout(WATCH_TIMEOUT, shown.wait_for(|shown| *shown > after)).await;
    }
    let theirs = Shown { revision: after, digest: digest.unwrap_or(0) };
    match news(&state, theirs) {
        Some(news) => {
            let body = serde_json::to_string(&news).expect("plain fields");
            Response::build(StatusCode::OK).body(body).map_into_boxed_body()
        }
        None => empty(StatusCode::NOT_MODIFIED),
    }
}

fn empty(status: StatusCode) -> Answer {
    Response::new(status).map_into_boxed_body()
}

fn value(state: &State, digest: &str) -> Answer {
    let recent = state.revisions.recent.borrow();
    let mut parts = recent.iter().rev().flat_map(|past| past.parts.iter());
    match parts.find(|part| part.digest == digest) {
        Some(part) => {
            Response::build(StatusCode::OK).body(part.text.to_string()).map_into_boxed_body()
        }
        None => empty(StatusCode::NOT_FOUND),
    }
}

/// What is new to one who holds `theirs`.
fn news(state: &State, theirs: Shown) -> Option<Update> {
    let held = state.settings()?;
    if held.revision <= theirs.revision {
        return None;
    }
    let recent = state.revisions.recent.borrow();
    let delta = recent.iter().find(|past| past.shown == theirs).and_then(|base| {
        let before: HashMap<&str, &str> =
            base.parts.iter().map(|part| (&*part.name, &*part.digest)).collect();
        let now: HashMap<&str, &str> =
            held.parts.iter().map(|part| (&*part.name, &*part.digest)).collect();
        let fresh = held.parts.iter().filter(|p| before.get(&*p.name) != Some(&&*p.digest));
        let fresh: Vec<_> = fresh.collect();
        let bytes: usize = fresh.iter().map(|part| part.text.len()).sum();
        let gone = before.keys().filter(|name| !now.contains_key(*name));
        (bytes <= INLINE).then(|| Delta {
            revision: held.revision,
            digest: held.digest,
            changed: fresh
                .iter()
                .map(|p| Changed { name: p.name.to_string(), text: p.text.to_string() })
                .collect(),
            gone: gone.map(|name| name.to_string()).collect(),
        })
    });
    Some(delta.map_or_else(|| Update::Manifest(manifest(&held)), Update::Delta))
}

fn manifest(held: &settings::Effective) -> Manifest {
    let listed = |part: &Rc<settings::Part>| Listed {
        name: part.name.to_string(),
        digest: part.digest.clone(),
    };
    Manifest { revision: held.revision, parts: held.parts.iter().map(listed).collect() }
}
