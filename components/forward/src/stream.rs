//! Passes an answer on as it comes and no faster than it is read. Where a stream breaks off, another
//! server that can goes on with it.

use std::io;
use std::time::{Duration, Instant};

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use bytes::Bytes;
use clock::Clock;
use futures_util::stream;
use life::Streaming;
use policy::Ending;

use crate::adapter::Adapter;
use crate::attempt::{Part, Source, Start, Trouble};
use crate::mechanism::Mechanism;
use crate::serve::Course;

/// Time for the last events to reach the socket before the connection is cut under them.
const FLUSH: Duration = Duration::from_millis(50);
/// A pause of so many times the longest that callers hope for is a stall: longer ones than that happen in
/// a full batch, three times as long don't.
const PAUSES: u32 = 3;
/// The shortest pause that is one.
const LEAST: Duration = Duration::from_secs(1);

/// An answer under way from a server to a caller.
pub(crate) struct Passing<A: Adapter> {
    course: Course<A>,
    life: Option<life::Request<Streaming>>,
    source: Option<Box<Source>>,
    last: Option<Instant>,
    tokens: u32,
    /// The answer broke off; the connection is cut under it.
    broken: bool,
}

impl<A: Adapter> Passing<A> {
    pub(crate) fn new(
        course: Course<A>,
        life: life::Request<Streaming>,
        source: Box<Source>,
    ) -> Self {
        let (life, source) = (Some(life), Some(source));
        Passing { course, life, source, last: None, tokens: 0, broken: false }
    }

    /// The next bytes for the caller; none at the true end of the answer. After an error the
    /// connection ends, so what came can't be taken for the whole.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if self.broken {
                tokio::time::sleep(FLUSH).await;
                return Some(Err(io::Error::other("the answer broke off")));
            }
            let trouble = match self.part().await {
                Ok(Some(part)) => return Some(Ok(self.passed(part))),
                Ok(None) => return self.whole(),
                Err(trouble) => trouble,
            };
            if !self.resume(trouble).await {
                self.broke();
            }
        }
    }

    async fn part(&mut self) -> Result<Option<Part>, Trouble> {
        let Some(source) = &mut self.source else { return Ok(None) };
        let left = self.course.job.left(&self.course.state);
        if left.is_zero() {
            return Err(Trouble::Late);
        }
        let repeatable = self.course.job.repeatable().is_some();
        let pause = stall(self.course.job.route().pause);
        let within = if repeatable { left.min(pause) } else { left };
        tokio::time::timeout(within, source.next()).await.unwrap_or(Err(Trouble::Late))
    }

    fn passed(&mut self, part: Part) -> Bytes {
        let Course { state, job, place, pace, server, .. } = &mut self.course;
        if part.events > 0 {
            let book = state.settings.borrow();
            let services = book.as_ref().map(|book| &book.services);
            let service = server.as_ref().map(|server| &server.service);
            let service = services.zip(service).and_then(|(all, name)| all.get(name));
            let tokens = part.events * service.map_or(1, |service| service.event_tokens);
            self.tokens += tokens;
            pace.tokens += tokens;
            place.tokens(tokens);
            let now = state.clock.now();
            let route = &job.route().name;
            match self.last.replace(now) {
                None => {
                    let first = now - job.arrived.at;
                    state.metrics.first_token(route, first);
                    pace.first = Some(first);
                }
                Some(last) => {
                    state.metrics.token_interval(route, (now - last) / tokens);
                    pace.longest = pace.longest.max(now - last);
                }
            }
        }
        part.bytes
    }

    fn whole(&mut self) -> Option<io::Result<Bytes>> {
        let life = self.life.take()?;
        self.course.place.end(Ending::Completed);
        self.tokens = 0;
        if let Some(source) = self.source.take() {
            let status = source.status.as_u16();
            source.keep(&self.course.state);
            self.course.state.crashes.completed(self.course.job.content);
            self.course.ended(life.complete().as_str(), status);
        }
        None
    }

    fn broke(&mut self) {
        self.broken = true;
        self.source = None;
        if let Some(life) = self.life.take() {
            self.course.ended(life.broken().as_str(), 0);
        }
    }

    /// Looks for a server that goes on where the answer stopped. False where none does.
    async fn resume(&mut self, trouble: Trouble) -> bool {
        let Some(mut life) = self.life.take() else { return false };
        let mut trouble = trouble;
        // The server before must not go on while another one does.
        let last = self.source.take().and_then(|source| source.last());
        let last = last.max(self.course.job.call.last_event_id);
        loop {
            if let Some(server) = self.course.server.clone() {
                self.course.note(life.attempt(), &server, &trouble);
            }
            let ending = trouble.ending();
            let resumes = self.course.state.disabled.is_enabled(Mechanism::StreamResumption);
            let sound = resumes && !matches!(trouble, Trouble::Disorder(_));
            let Some(proof) = self.course.job.repeatable().filter(|_| sound) else {
                self.course.place.end(ending);
                break;
            };
            if !self.course.place.end(ending) {
                break;
            }
            let Ok(server) = self.course.turn().await else { break };
            life = life.pause(proof).resume();
            trouble = match self.course.attempt(life.attempt(), &server, last).await {
                Ok(Start::Passing(source)) => {
                    self.source = Some(source);
                    self.life = Some(life);
                    return true;
                }
                Ok(Start::Whole(whole)) => {
                    Trouble::Lost(format!("status {} in place of a stream", whole.status))
                }
                Err(trouble) => trouble,
            };
        }
        self.life = Some(life);
        false
    }
}

impl<A: Adapter> Drop for Passing<A> {
    fn drop(&mut self) {
        if self.tokens > 0 {
            let route = &self.course.job.route().name;
            self.course.state.metrics.wasted(route, self.tokens.into());
        }
    }
}

/// Pause after which an answer counts as stalled, where callers hope for none longer than `pause`.
fn stall(pause: Option<Duration>) -> Duration {
    pause.map_or(LEAST, |pause| (pause * PAUSES).max(LEAST))
}

/// The body of the answer.
pub(crate) fn body<A: Adapter>(passing: Passing<A>) -> BoxBody {
    let parts = stream::unfold(passing, |mut passing| async move {
        let bytes = passing.next().await?;
        Some((bytes, passing))
    });
    BodyStream::new(Box::pin(parts)).boxed()
}
