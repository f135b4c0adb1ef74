//! Passes a stream on from a backend server to a caller, as it comes and no faster than it is read.
//! Where a stream breaks, or the decisions stop it, another server that can goes on with it.

use std::io;
use std::time::{Duration, Instant};

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use bytes::Bytes;
use clock::Clock;
use engine::{Call, Failure, Piece, Point, Reply};
use futures_util::stream;
use lifecycle::{Outcome, Streaming};
use policy::Ending;
use tokio::sync::mpsc;

use crate::place::Place;
use crate::relay::{Parcel, Trouble, answered, note};
use crate::state::Held;

/// Pieces that wait for a caller who reads slowly, where the stream goes on without its caller.
const AHEAD: usize = 64;
/// Time for the last event to reach the socket before the connection is cut under it.
pub(crate) const FLUSH: Duration = Duration::from_millis(100);

/// Outcome in logs and metrics of a stream whose caller went away.
const GONE: &str = "caller-gone";
/// Start of the event that tells of a broken stream.
pub(crate) const BROKEN: &str = "event: error\n";

/// A stream under way from a backend server to a caller.
pub(crate) struct Passing {
    place: Place,
    life: Option<lifecycle::Request<Streaming>>,
    source: Box<engine::Stream>,
    /// What came before the answer was begun.
    first: Option<Piece>,
    parcel: Parcel,
    last: Option<Instant>,
    /// Tokens passed on, while the answer hasn't come to its end.
    tokens: u32,
    broken: bool,
    #[allow(dead_code, reason = "counts the request until the stream ends")]
    held: Held,
}

impl Passing {
    pub(crate) fn new(
        place: Place,
        life: lifecycle::Request<Streaming>,
        source: Box<engine::Stream>,
        first: Option<Piece>,
        parcel: Parcel,
        held: Held,
    ) -> Self {
        let life = Some(life);
        Passing { place, life, source, first, parcel, last: None, tokens: 0, broken: false, held }
    }

    /// The next bytes for the caller. A stream that isn't whole ends with an event that says so and
    /// then with an error, which leaves out the last chunk: it looks whole on no level.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.broken {
            self.broken = false;
            tokio::time::sleep(FLUSH).await;
            return Some(Err(io::Error::other("the answer broke off")));
        }
        self.life.as_ref()?;
        loop {
            let trouble = match self.piece().await {
                Ok(Some(piece)) => return Some(Ok(self.passed(piece))),
                Ok(None) => return self.whole(),
                Err(trouble) => trouble,
            };
            // Boxed, since it is seldom needed and would double the memory of each open stream.
            if !Box::pin(self.resume(trouble)).await {
                return self.broke();
            }
        }
    }

    async fn piece(&mut self) -> Result<Option<Piece>, Trouble> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        if self.parcel.repeatable().is_none() {
            return self.source.next().await.map_err(Trouble::Failure);
        }
        tokio::select! {
            piece = self.source.next() => piece.map_err(Trouble::Failure),
            _ = self.place.stopped() => Err(Trouble::Stopped),
        }
    }

    fn passed(&mut self, piece: Piece) -> Bytes {
        let state = &self.place.state;
        for _ in 0..piece.dropped {
            state.metrics.count_mismatched_answer();
        }
        if piece.tokens == 0 {
            return piece.bytes;
        }
        self.tokens += piece.tokens;
        let now = state.clock.now();
        let class = &self.parcel.class.name;
        self.place.tokens(piece.tokens);
        match self.last.replace(now) {
            None => state.metrics.observe_first_token(class, now - self.parcel.request.arrived),
            Some(last) => state.metrics.observe_token_interval(class, (now - last) / piece.tokens),
        }
        piece.bytes
    }

    fn whole(&mut self) -> Option<io::Result<Bytes>> {
        let life = self.life.take()?;
        self.place.end(Ending::Completed);
        self.tokens = 0;
        answered(&self.place.state, &self.parcel);
        if let Some(claim) = &self.parcel.claim {
            claim.complete(None);
        }
        note(&self.place.state, life.id(), &self.parcel.class.name, life.complete());
        None
    }

    fn broke(&mut self) -> Option<io::Result<Bytes>> {
        let life = self.life.take()?;
        let id = life.id();
        self.broken = true;
        note(&self.place.state, id, &self.parcel.class.name, life.truncated());
        Some(Ok(broken(id)))
    }

    /// Looks for a server that goes on where the stream stopped. False where none does.
    async fn resume(&mut self, trouble: Trouble) -> bool {
        let Some(mut life) = self.life.take() else { return false };
        let mut trouble = trouble;
        loop {
            trouble.note(&self.place, life.id(), life.attempt());
            self.place.state.metrics.count_failed_attempt(&self.parcel.class.name);
            let point = self.source.point();
            let (Some(proof), Some(point)) = (self.parcel.repeatable(), point) else {
                self.place.end(trouble.last());
                break;
            };
            if !self.place.end(trouble.ending()) {
                break;
            }
            let server = self.place.turn().await;
            let Some(server) = server.ok().filter(|server| server.resumes) else { break };
            life = life.pause(proof).resume();
            let call = self.parcel.call(life.id(), life.attempt(), &server);
            trouble = match self.ask(&call, &point).await {
                Ok(source) => {
                    self.source = source;
                    self.life = Some(life);
                    return true;
                }
                Err(trouble) => trouble,
            };
        }
        self.life = Some(life);
        false
    }

    async fn ask(&mut self, call: &Call, point: &Point) -> Result<Box<engine::Stream>, Trouble> {
        let engines = self.place.state.engines.borrow().clone();
        let reply = tokio::select! {
            reply = engines.resume(call, point) => reply.map_err(Trouble::Failure)?,
            _ = self.place.stopped() => return Err(Trouble::Stopped),
        };
        match reply {
            Reply::Stream(source) => Ok(source),
            Reply::Whole(whole) => Err(Trouble::Failure(Failure::Lost {
                address: call.address.clone(),
                cause: format!("status {} in place of a stream", whole.status),
            })),
        }
    }
}

impl Drop for Passing {
    fn drop(&mut self) {
        if let Some(life) = &self.life {
            let (id, class) = (life.id(), self.parcel.class.name.as_str());
            self.place.state.metrics.count_outcome(class, GONE);
            log::info!(request:% = id, class = class, outcome = GONE; "ended");
        }
        if self.tokens > 0 {
            self.place.state.metrics.add_wasted_tokens(&self.parcel.class.name, self.tokens.into());
        }
    }
}

/// The event that ends a stream which isn't whole. No end mark follows it.
pub(crate) fn broken(id: ids::Request) -> Bytes {
    let error = serde_json::json!({"error": {
        "message": "the answer broke off; what came isn't whole, send the request again",
        "type": "server_error",
        "outcome": Outcome::Truncated.as_str(),
        "request_id": id.to_string(),
    }});
    Bytes::from(format!("{BROKEN}data: {error}\n\n"))
}

/// The body of the answer. A stream that may not be repeated is read to its end even after its
/// caller went away, since closing it would cancel what can't be sent again.
pub(crate) fn body(passing: Passing) -> BoxBody {
    if passing.parcel.class.idempotent {
        let events = stream::unfold(passing, |mut passing| async move {
            let bytes = passing.next().await?;
            Some((bytes, passing))
        });
        return BodyStream::new(Box::pin(events)).boxed();
    }
    let (sender, receiver) = mpsc::channel(AHEAD);
    actix_rt::spawn(carry(passing, sender));
    let events = stream::unfold(receiver, |mut receiver| async move {
        let bytes = receiver.recv().await?;
        Some((bytes, receiver))
    });
    BodyStream::new(Box::pin(events)).boxed()
}

async fn carry(mut passing: Passing, sender: mpsc::Sender<io::Result<Bytes>>) {
    while let Some(bytes) = passing.next().await {
        let _ = sender.send(bytes).await;
    }
}
