//! Carries a request from its arrival to its end: waits for a place, sends, passes the answer on.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::{ConnectionType, Request, Response};
use catalog::Entry;
use clock::Clock;
use life::{Outcome, Reason, Sending, Waiting};
use policy::{Ending, Expected, Refusal};
use turns::{Place, Refused, Target};

use crate::adapter::{Adapter, CallerProtocol};
use crate::answer::{Answer, Error};
use crate::attempt::{self, Start, Trouble, Whole};
use crate::intake::{self, Job};
use crate::state::{OpenRequest, State};
use crate::stream::{self, Passing};

/// A server that has begun nothing after so many times the target is given up for another, where
/// the request may run again. Answers rarely take that long, and as much is left for the next.
const SILENT: u32 = 2;

/// Answers one request. A node that isn't ready ends each connection with its answer, so that
/// callers who keep theirs open move to other nodes as well.
pub(crate) async fn handle<A: Adapter>(state: Rc<State<A>>, request: Request) -> Answer {
    let mut answer = take(state.clone(), request).await;
    if !state.ready() {
        answer.head_mut().set_connection_type(ConnectionType::Close);
    }
    answer
}

async fn take<A: Adapter>(state: Rc<State<A>>, request: Request) -> Answer {
    let arrived = state.timestamp();
    let call = state.adapter.callers.parse(request.head());
    let name = call.as_ref().map_or("", |call| call.id.as_str()).to_string();
    let path = request.path().to_string();
    let mut held = state.open_request(&name);
    let job = match intake::take(&state, request, call, arrived, &mut held).await {
        Ok(job) => job,
        Err(error) => {
            state.metrics.refusal(error.word());
            let revision = state.settings.borrow().as_ref().map(|book| book.revision);
            log::info!(
                request = name.as_str(), path = path.as_str(), outcome = error.word(),
                cause:% = error, revision = revision, age_ms = state.proof_age_ms(); "not taken in"
            );
            return error.answer();
        }
    };
    serve(state, job, held).await
}

/// A server declined and no further attempt is allowed. Others may be free, and the next try of its
/// caller finds them.
const DECLINED: Refused = Refused { refusal: Refusal::Full, again: Duration::from_millis(50) };

/// Outcome in logs and metrics of a request whose caller went away.
const GONE: &str = "caller-gone";

/// How a stream went, for the log.
#[derive(Default)]
pub(crate) struct Pace {
    /// Time from its arrival to the first event.
    pub(crate) first: Option<Duration>,
    /// Longest pause between two events.
    pub(crate) longest: Duration,
    /// Tokens of its answer that were passed on.
    pub(crate) tokens: u32,
    /// Time from its arrival to its last send.
    sent: Option<Duration>,
    /// Sends of it.
    sends: u32,
    /// What was expected of the engine at the last send.
    expected: Option<Expected>,
}

/// Where a request is on its way, between attempts.
pub(crate) struct Course<A: Adapter> {
    pub(crate) state: Rc<State<A>>,
    pub(crate) job: Job,
    pub(crate) place: Place,
    #[allow(dead_code, reason = "counts the request until its answer ends")]
    held: OpenRequest<A>,
    /// The server that it was sent to last.
    pub(crate) server: Option<Rc<Entry>>,
    /// When it was sent last.
    sent: Instant,
    pub(crate) pace: Pace,
    /// Its end was logged.
    over: Cell<bool>,
    /// What a server answered that failed, for the caller if no other does better.
    failure: Option<Whole>,
}

async fn serve<A: Adapter>(state: Rc<State<A>>, job: Job, held: OpenRequest<A>) -> Answer {
    let mut waiting = Waiting::Fresh(life::Request::new(ids::Request::new()).admit().queue());
    let place = Place::new(&state.driver, job.request.clone());
    let sent = state.clock.now();
    let mut course = Course {
        state,
        job,
        place,
        held,
        server: None,
        sent,
        pace: Pace::default(),
        over: Cell::new(false),
        failure: None,
    };
    if let Err(refused) = course.state.crashes.admit(course.job.content) {
        return course.refuse(waiting, refused);
    }
    loop {
        let server = match course.turn().await {
            Ok(server) => server,
            Err(refused) => return course.refuse(waiting, refused),
        };
        let sending = waiting.send();
        let trouble =
            match course.attempt(sending.attempt(), &server, course.job.call.last_event_id).await {
                Ok(start) => return course.pass(sending, start),
                Err(trouble) => trouble,
            };
        course.note(sending.attempt(), &server, &trouble);
        let again = course.place.end(trouble.ending());
        let late = matches!(trouble, Trouble::Late);
        let unsent = trouble.unsent();
        if let Trouble::Failed(whole) = trouble {
            course.failure = Some(*whole);
        }
        waiting = match sending.failed(unsent, course.job.repeatable()) {
            Ok(waiting) => waiting,
            Err(outcome) => return course.unknown(outcome, late),
        };
        if !again {
            return course.refuse(waiting, DECLINED);
        }
    }
}

impl<A: Adapter> Course<A> {
    /// Waits for the request's turn; returns the server that it may be sent to.
    pub(crate) async fn turn(&mut self) -> Result<Rc<Entry>, Refused> {
        loop {
            let key = self.place.turn().await?;
            if self.job.left(&self.state).is_zero() {
                // The process may have been paused since the turn was given.
                self.place.end(Ending::Cancelled);
                return Err(Refused { refusal: Refusal::Late, ..Refused::NOBODY });
            }
            if let Err(refused) = self.state.crashes.pass(self.job.content) {
                self.place.end(Ending::Cancelled);
                return Err(refused);
            }
            let server = self.state.registry.borrow().server(key).cloned();
            match server {
                Some(server) => {
                    self.server = Some(server.clone());
                    self.pace.sent = Some(self.state.elapsed_since(self.job.arrived));
                    self.pace.sends += 1;
                    self.sent = self.state.clock.now();
                    self.pace.expected = self.place.expected();
                    return Ok(server);
                }
                None if self.place.end(Ending::Unreached) => {}
                None => return Err(Refused::NOBODY),
            }
        }
    }

    /// One attempt, within the time that is left. Only one that another may follow is given up
    /// early.
    pub(crate) async fn attempt(
        &mut self,
        number: u32,
        server: &Entry,
        after: Option<u64>,
    ) -> Result<Start, Trouble> {
        let left = self.job.left(&self.state);
        let followed = number < u32::from(self.job.route().attempts);
        let early = followed && self.job.repeatable().is_some();
        let silent = self.job.route().target * SILENT;
        let within = if early { left.min(silent) } else { left };
        let fetch = self.pace.expected.and_then(|expected| expected.fetch);
        let fetch = fetch.and_then(|key| self.state.registry.borrow().server(key).cloned());
        let asking = attempt::ask(&self.state, &self.job, server, after, fetch);
        tokio::time::timeout(within, asking).await.unwrap_or(Err(Trouble::Late))
    }

    /// Notes why an attempt brought no answer, and finds out whether the server crashed under it.
    pub(crate) fn note(&self, attempt: u32, server: &Entry, trouble: &Trouble) {
        let (request, name) = (self.job.call.id.as_str(), server.name.as_str());
        let left_ms = self.job.left(&self.state).as_millis() as u64;
        self.state.metrics.failed(&self.job.route().name);
        log::warn!(
            request = request, content = self.job.content_name(), server = name,
            attempt = attempt, left_ms = left_ms, cause:% = trouble; "attempt failed"
        );
        match trouble {
            Trouble::Failed(_) => self.state.crashes.completed(self.job.content),
            Trouble::Lost(_) if self.stays(name) => {
                self.state.crashes.lost(target(server), self.job.content, self.sent);
            }
            _ => {}
        }
    }

    /// Whether a server is listed and isn't leaving, so that its end isn't planned.
    fn stays(&self, server: &str) -> bool {
        self.state.roster.borrow().get(server).is_some_and(|entry| !entry.leaving)
    }

    /// Logs and counts how the request ended.
    pub(crate) fn ended(&self, outcome: &str, status: u16) {
        let job = &self.job;
        let route = job.route().name.as_str();
        let time = self.state.elapsed_since(job.arrived);
        let server = self.server.as_ref().map_or("", |server| &server.name);
        self.over.set(true);
        self.state.metrics.outcome(route, outcome);
        let millis = |time: Duration| time.as_millis() as u64;
        let Pace { first, longest, tokens, sent, sends, expected } = &self.pace;
        let route_terms = job.route();
        log::info!(
            request = job.call.id.as_str(), content = job.content_name(), route = route,
            tier = job.found.tier(),
            server = server, outcome = outcome, status = status, took_ms = millis(time),
            first_ms = first.map(millis), pause_ms = millis(*longest), sends = sends,
            sent_ms = sent.map(millis), home = expected.map(|expected| expected.preferred),
            reading_ms = expected.map(|expected| millis(expected.prefill)),
            backlog_ms = expected.map(|expected| millis(expected.backlog)),
            ahead_ms = expected.map(|expected| millis(expected.ahead)),
            overdue_ms = expected.map(|expected| millis(expected.overdue)),
            fetched = expected.map(|expected| expected.fetch.is_some()),
            prompt = job.request.prompt_tokens, tokens = tokens,
            most_tokens = job.request.max_tokens, guess = job.call.prompt.length_hint, target_ms = millis(route_terms.target),
            bears_ms = route_terms.pause.map(millis), limit_ms = millis(job.limit),
            revision = job.revision, age_ms = self.state.proof_age_ms(); "ended"
        );
    }

    /// No attempt follows.
    fn refuse(&mut self, waiting: Waiting, refused: Refused) -> Answer {
        if let Some(whole) = self.failure.take() {
            return self.whole(whole);
        }
        let outcome = waiting.refuse(match refused.refusal {
            Refusal::Full | Refusal::Displaced => Reason::Full,
            Refusal::Late => Reason::Late,
            Refusal::NoServer => Reason::NoServer,
            Refusal::Quarantined => Reason::Quarantined,
        });
        if outcome == Outcome::Unknown {
            return self.unknown(outcome, refused.refusal == Refusal::Late);
        }
        let reason = match refused.refusal {
            Refusal::Full => "no room",
            Refusal::Displaced => "given up for a higher tier",
            Refusal::Late => "it can't be served in time",
            Refusal::NoServer => "no backend server may take it",
            Refusal::Quarantined => "servers ended under it",
        };
        let error = Error::Refused { reason, again: refused.again };
        self.state.metrics.refusal(reason);
        self.ended(reason, error.status().as_u16());
        error.answer()
    }

    /// It may have run, and no whole answer came.
    fn unknown(&mut self, outcome: Outcome, late: bool) -> Answer {
        if let Some(whole) = self.failure.take() {
            return self.whole(whole);
        }
        let error = if late { Error::Late } else { Error::Unknown };
        self.ended(outcome.as_str(), error.status().as_u16());
        error.answer()
    }

    /// Passes a whole answer on.
    fn whole(&mut self, whole: Whole) -> Answer {
        let outcome = Outcome::Complete.as_str();
        self.ended(outcome, whole.status.as_u16());
        self.state.crashes.completed(self.job.content);
        let workspace = self.job.found.workspace.as_ref().map_or("", |workspace| &workspace.name);
        let time = self.state.elapsed_since(self.job.arrived);
        self.state.metrics.answered(&self.job.route().name, workspace, time);
        let mut response = Response::new(whole.status);
        *response.headers_mut() = whole.headers;
        response.set_body(whole.body).map_into_boxed_body()
    }

    /// Passes an answer on as it comes.
    fn pass(mut self, sending: Sending, start: Start) -> Answer {
        let mut source = match start {
            Start::Whole(whole) => {
                self.place.end(Ending::Completed);
                sending.complete();
                return self.whole(whole);
            }
            Start::Passing(source) => source,
        };
        let mut response = Response::new(source.status);
        *response.headers_mut() = std::mem::take(&mut source.headers);
        let passing = Passing::new(self, sending.stream(), source);
        response.set_body(stream::body(passing)).map_into_boxed_body()
    }
}

/// A server as it is known if it crashes: one that starts again under its name is another.
fn target(server: &Entry) -> Target {
    let start = format!("{} {}", server.name, server.started.unwrap_or_default());
    Target { start: Some(wire::key(&start)), address: server.address.clone() }
}

/// A request whose caller went away is dropped wherever it stands.
impl<A: Adapter> Drop for Course<A> {
    fn drop(&mut self) {
        if !self.over.get() {
            self.ended(GONE, 0);
        }
    }
}
