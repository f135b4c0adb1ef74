use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use ::engine::wire::{LOAD_PATH, Load, NOT_RUN, REQUEST_ID};
use actix_http::body::{BodyStream, BoxBody};
use actix_http::{HttpMessage, Request, Response};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use tokio::sync::Semaphore;

use crate::{LIMITS, any, orders, status};

derives::data! {
    /// How fast an engine works.
    #[derive(Copy)]
    pub struct Pace {
        /// Requests that run at once; more wait.
        pub slots: u32,
        /// Time to the first token.
        pub prefill: Duration,
        /// Time between tokens.
        pub token: Duration,
    }

    /// What an engine does wrong with a request.
    #[derive(Copy)]
    pub enum Fault {
        /// Nothing.
        None,
        /// Answers that it ran nothing.
        Decline,
        /// Runs and answers an error.
        Fail,
        /// Runs and answers under another id.
        WrongId,
        /// Ends the stream after so many tokens.
        Truncate(u32),
        /// Runs and never answers.
        Silent,
    }
}

type Faults = Box<dyn Fn(u64) -> Fault>;

struct State {
    pace: Cell<Pace>,
    faults: RefCell<Faults>,
    slots: Semaphore,
    received: Cell<u64>,
    running: Cell<u32>,
    waiting: Cell<u32>,
    tokens: Cell<u64>,
    runs: RefCell<HashMap<String, u32>>,
    orders: Rc<orders::Orders>,
}

/// Counts a running request for as long as it lives.
struct Running(Rc<State>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
        self.0.slots.add_permits(1);
    }
}

/// A model engine.
pub struct Engine {
    listener: listen::Listener,
    state: Rc<State>,
}

impl Engine {
    /// Starts an engine on a free port.
    pub async fn start(pace: Pace) -> io::Result<Self> {
        let state = Rc::new(State {
            pace: Cell::new(pace),
            faults: RefCell::new(Box::new(|_| Fault::None)),
            slots: Semaphore::new(pace.slots as usize),
            received: Cell::new(0),
            running: Cell::new(0),
            waiting: Cell::new(0),
            tokens: Cell::new(0),
            runs: RefCell::default(),
            orders: Rc::default(),
        });
        let shared = state.clone();
        let handler = move |request| answer(shared.clone(), request);
        let listener = listen::Listener::open(any(), LIMITS, handler).await?;
        Ok(Engine { listener, state })
    }

    /// Its address.
    pub fn address(&self) -> String {
        self.listener.address().to_string()
    }

    /// Sets what goes wrong with the n-th request, counted from 0.
    pub fn set_faults(&self, faults: impl Fn(u64) -> Fault + 'static) {
        *self.state.faults.borrow_mut() = Box::new(faults);
    }

    /// Changes its pace; the number of slots stays.
    pub fn set_pace(&self, pace: Pace) {
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

    /// Requests that run now.
    pub fn running(&self) -> u32 {
        self.state.running.get()
    }

    /// Tokens generated in all.
    pub fn tokens(&self) -> u64 {
        self.state.tokens.get()
    }

    /// Its part that takes orders.
    pub fn orders(&self) -> &orders::Orders {
        &self.state.orders
    }

    /// Cuts all connections and listens no more.
    pub fn crash(&self) {
        self.listener.abort();
    }
}

async fn answer(state: Rc<State>, mut request: Request) -> Response<BoxBody> {
    if request.path() == LOAD_PATH {
        return load(&state);
    }
    if orders::concerns(request.path()) {
        return orders::answer(state.orders.clone(), request).await;
    }
    let id = text_header(&request, REQUEST_ID);
    let mut body = Vec::new();
    let mut payload = request.take_payload();
    while let Some(Ok(bytes)) = payload.next().await {
        body.extend_from_slice(&bytes);
    }
    let Ok(body) = serde_json::from_slice::<serde_json::Value>(&body) else {
        return Response::new(status(400)).map_into_boxed_body();
    };
    let number = state.received.replace(state.received.get() + 1);
    let fault = state.faults.borrow()(number);
    if fault == Fault::Decline {
        return Response::build(status(503))
            .insert_header((NOT_RUN, "true"))
            .finish()
            .map_into_boxed_body();
    }
    state.waiting.set(state.waiting.get() + 1);
    let permit = state.slots.acquire().await;
    state.waiting.set(state.waiting.get() - 1);
    permit.expect("the semaphore is never closed").forget();
    state.running.set(state.running.get() + 1);
    let running = Running(state.clone());
    *state.runs.borrow_mut().entry(id.clone()).or_default() += 1;
    match fault {
        Fault::Silent => std::future::pending::<()>().await,
        Fault::Fail => return Response::new(status(500)).map_into_boxed_body(),
        _ => {}
    }
    let shown = if fault == Fault::WrongId { "another".to_string() } else { id };
    let count = body["max_tokens"].as_u64().unwrap_or(16) as u32;
    pause(state.pace.get().prefill).await;
    if body["stream"].as_bool().unwrap_or(false) {
        streamed(running, shown, count, fault)
    } else {
        whole(running, shown, count).await
    }
}

/// Sleeps; for no time means not at all, where the runtime's own sleep takes up to a millisecond.
async fn pause(time: Duration) {
    if time.is_zero() {
        tokio::task::yield_now().await;
    } else {
        tokio::time::sleep(time).await;
    }
}

fn load(state: &State) -> Response<BoxBody> {
    let pace = state.pace.get();
    let load = Load {
        age_ms: 0,
        running: state.running.get(),
        queued: state.waiting.get(),
        slots: pace.slots,
        token_interval_us: pace.token.as_micros() as u64,
        leaving: false,
    };
    let body = serde_json::to_string(&load).expect("plain fields");
    let mut response = Response::build(status(200));
    response.insert_header(("content-type", "application/json"));
    response.body(body).map_into_boxed_body()
}

fn word(running: &Running, index: u32) -> String {
    running.0.tokens.set(running.0.tokens.get() + 1);
    format!("w{index} ")
}

async fn whole(running: Running, id: String, count: u32) -> Response<BoxBody> {
    let mut text = String::new();
    for index in 0..count {
        pause(running.0.pace.get().token).await;
        text.push_str(&word(&running, index));
    }
    let body = serde_json::json!({
        "id": id,
        "object": "chat.completion",
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text.trim_end()},
            "finish_reason": "stop",
        }],
        "usage": {"completion_tokens": count},
    });
    Response::build(status(200))
        .insert_header((REQUEST_ID, id))
        .insert_header(("content-type", "application/json"))
        .body(body.to_string())
        .map_into_boxed_body()
}

fn streamed(running: Running, id: String, count: u32, fault: Fault) -> Response<BoxBody> {
    let end = match fault {
        Fault::Truncate(tokens) => tokens,
        _ => count + 1,
    };
    let header = id.clone();
    let events = stream::unfold((running, id, 0), move |(running, id, index)| async move {
        if index >= end {
            return None;
        }
        let event = if index == count {
            let last = serde_json::json!({
                "id": id, "object": "chat.completion.chunk",
                "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
            });
            format!("data: {last}\n\ndata: [DONE]\n\n")
        } else {
            pause(running.0.pace.get().token).await;
            let chunk = serde_json::json!({
                "id": id, "object": "chat.completion.chunk",
                "choices": [{
                    "index": 0,
                    "delta": {"content": word(&running, index)},
                    "finish_reason": null,
                }],
            });
            format!("data: {chunk}\n\n")
        };
        Some((Ok::<_, io::Error>(Bytes::from(event)), (running, id, index + 1)))
    });
    Response::build(status(200))
        .insert_header((REQUEST_ID, header))
        .insert_header(("content-type", "text/event-stream"))
        .body(BodyStream::new(Box::pin(events)))
        .map_into_boxed_body()
}

fn text_header(request: &Request, name: &str) -> String {
    let value = request.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_string()
}
