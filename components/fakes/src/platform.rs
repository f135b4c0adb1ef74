use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::{Request, Response};
use configuration::wire::{MANIFEST_PATH, Manifest, Part, VALUE_PATH, VMS_PATH, Vm, digest};
use tokio::sync::watch;

use crate::{LIMITS, any, status};

/// How long a watch is held open.
const WATCH: Duration = Duration::from_secs(25);

struct State {
    manifest: watch::Sender<Manifest>,
    values: RefCell<HashMap<String, String>>,
    vms: RefCell<Vec<Vm>>,
    calls: Cell<u64>,
    bytes: Cell<u64>,
    lists: Cell<u64>,
    down: Cell<bool>,
    stale: RefCell<Stale>,
}

derives::data! {
    /// How a replica that is behind is seen.
    #[derive(Default)]
    pub enum Stale {
        /// Not at all.
        #[default]
        Never,
        /// Each answer comes from it.
        Always(Manifest),
        /// Each second answer comes from it.
        Flapping(Manifest),
    }
}

/// The configuration service and the list of VMs, behind one address.
pub struct Platform {
    listener: listen::Listener,
    state: Rc<State>,
}

impl Platform {
    /// Starts both on a free port, with nothing published.
    pub async fn start() -> io::Result<Self> {
        let (manifest, _) = watch::channel(Manifest { revision: 0, parts: vec![] });
        let state = Rc::new(State {
            manifest,
            values: RefCell::default(),
            vms: RefCell::default(),
            calls: Cell::new(0),
            bytes: Cell::new(0),
            lists: Cell::new(0),
            stale: RefCell::default(),
            down: Cell::new(false),
        });
        let shared = state.clone();
        let handler = move |request| answer(shared.clone(), request);
        let listener = listen::Listener::open(any(), LIMITS, handler).await?;
        Ok(Platform { listener, state })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Publishes a revision from its parts, each a name and a text.
    pub fn publish(&self, revision: u64, parts: &[(&str, &str)]) {
        let mut listed = vec![];
        for (name, text) in parts {
            let digest = digest(text);
            self.state.values.borrow_mut().insert(digest.clone(), text.to_string());
            listed.push(Part { name: name.to_string(), digest });
        }
        self.state.manifest.send_replace(Manifest { revision, parts: listed });
    }

    /// The manifest that is published now.
    pub fn manifest(&self) -> Manifest {
        self.state.manifest.borrow().clone()
    }

    /// Loses the value of a part, as if it weren't written yet.
    pub fn lose(&self, part: &str) {
        for lost in self.manifest().parts.iter().filter(|listed| listed.name == part) {
            self.state.values.borrow_mut().remove(&lost.digest);
        }
    }

    /// Writes the value of a part.
    pub fn write(&self, text: &str) {
        self.state.values.borrow_mut().insert(digest(text), text.to_string());
    }

    /// Lets answers come from a replica that is behind.
    pub fn set_stale(&self, stale: Stale) {
        *self.state.stale.borrow_mut() = stale;
    }

    /// Calls so far that read the list of VMs.
    pub fn lists(&self) -> u64 {
        self.state.lists.get()
    }

    /// Bytes of bodies answered so far.
    pub fn bytes(&self) -> u64 {
        self.state.bytes.get()
    }

    /// Publishes the list of VMs.
    pub fn list(&self, vms: Vec<Vm>) {
        *self.state.vms.borrow_mut() = vms;
    }

    /// Calls answered or refused so far.
    pub fn calls(&self) -> u64 {
        self.state.calls.get()
    }

    /// Answers errors while set.
    pub fn set_down(&self, down: bool) {
        self.state.down.set(down);
    }
}

async fn answer(state: Rc<State>, request: Request) -> Response<BoxBody> {
    let response = choose(&state, request).await;
    if let BodySize::Sized(bytes) = response.body().size() {
        state.bytes.set(state.bytes.get() + bytes);
    }
    response
}

async fn choose(state: &State, request: Request) -> Response<BoxBody> {
    state.calls.set(state.calls.get() + 1);
    if state.down.get() {
        return Response::new(status(503)).map_into_boxed_body();
    }
    let path = request.path();
    if path == VMS_PATH {
        state.lists.set(state.lists.get() + 1);
        return json(&*state.vms.borrow());
    }
    if let Some(digest) = path.strip_prefix(VALUE_PATH) {
        return match state.values.borrow().get(digest) {
            Some(value) => Response::build(status(200)).body(value.clone()).map_into_boxed_body(),
            None => Response::new(status(404)).map_into_boxed_body(),
        };
    }
    if path != MANIFEST_PATH {
        return Response::new(status(404)).map_into_boxed_body();
    }
    let behind = match &*state.stale.borrow() {
        Stale::Never => None,
        Stale::Always(old) => Some(old.clone()),
        Stale::Flapping(old) => state.calls.get().is_multiple_of(2).then(|| old.clone()),
    };
    if let Some(old) = behind {
        return json(&old);
    }
    let query = request.uri().query().unwrap_or_default();
    let after = query.strip_prefix("after=").and_then(|after| after.parse::<u64>().ok());
    let mut watch = state.manifest.subscribe();
    let changed = watch.wait_for(|manifest| after.is_none_or(|after| manifest.revision > after));
    match tokio::time::timeout(WATCH, changed).await {
        Ok(Ok(manifest)) => json(&*manifest),
        _ => Response::new(status(304)).map_into_boxed_body(),
    }
}

fn json(value: &impl serde::Serialize) -> Response<BoxBody> {
    let body = serde_json::to_string(value).expect("plain fields");
    Response::build(status(200)).body(body).map_into_boxed_body()
}
