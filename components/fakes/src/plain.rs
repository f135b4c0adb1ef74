use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use ::engine::wire::REQUEST_ID;
use actix_http::body::BoxBody;
use actix_http::{HttpMessage, Request, Response};

use crate::{LIMITS, any, status};

#[derive(Default)]
struct State {
    runs: RefCell<HashMap<String, u32>>,
    pace: Cell<Duration>,
    ended: Cell<u32>,
}

/// A plain service, such as a booking desk, that counts its runs.
pub struct Plain {
    listener: listen::Listener,
    state: Rc<State>,
}

impl Plain {
    /// Starts a service on a free port.
    pub async fn start() -> io::Result<Self> {
        let state = Rc::<State>::default();
        let shared = state.clone();
        let handler = move |request| answer(shared.clone(), request);
        let listener = listen::Listener::open(any(), LIMITS, handler).await?;
        Ok(Plain { listener, state })
    }

    /// Its address.
    pub fn address(&self) -> String {
        self.listener.address().to_string()
    }

    /// Sets how long a run takes.
    pub fn set_pace(&self, pace: Duration) {
        self.state.pace.set(pace);
    }

    /// How often a request with this id was run.
    pub fn runs(&self, id: &str) -> u32 {
        self.state.runs.borrow().get(id).copied().unwrap_or(0)
    }

    /// Requests run in all.
    pub fn total(&self) -> u32 {
        self.state.runs.borrow().values().sum()
    }

    /// Runs that came to their end.
    pub fn ended(&self) -> u32 {
        self.state.ended.get()
    }
}

async fn answer(state: Rc<State>, request: Request) -> Response<BoxBody> {
    let id = request.headers().get(REQUEST_ID).and_then(|value| value.to_str().ok());
    let id = id.unwrap_or_default().to_string();
    *state.runs.borrow_mut().entry(id.clone()).or_default() += 1;
    tokio::time::sleep(state.pace.get()).await;
    state.ended.set(state.ended.get() + 1);
    Response::build(status(200))
        .insert_header((REQUEST_ID, id))
        .insert_header(("content-type", "application/json"))
        .body(r#"{"booked":true}"#)
        .map_into_boxed_body()
}
