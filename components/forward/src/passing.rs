//! Passes requests on to peers, at a node that can't reach the servers of their service.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Response;
use clock::Clock;
use lifecycle::{Outcome, Reason, Sending, Waiting};

use crate::adapter::Adapter;
use crate::answer::{Answer, Error, Origin};
use crate::attempt::AttemptError;
use crate::hop;
use crate::mechanism::Mechanism;
use crate::serve::ActiveRequest;

/// Servers that a request finds unreachable before it is passed on to a peer.
const MAX_UNREACHED: u32 = 2;
/// Pause after no peer took a request, in which it is tried at the servers.
const PEER_PAUSE: Duration = Duration::from_millis(100);
/// Peers that a request is passed on to before it is tried at the servers again.
const MAX_PEERS: usize = 3;

/// What became of a request that was passed on.
pub(crate) enum Passed {
    /// A peer answers it.
    Reply(Sending, SocketAddr, hop::Reply),
    /// A peer may have run it; this is the answer to the caller.
    Answer(Answer),
}

impl<A: Adapter> ActiveRequest<A> {
    /// Whether this node can't reach the servers of the request's service, so that only a peer can serve it.
    pub(crate) fn needs_peer(&self) -> bool {
        let state = &self.state;
        let lost = state.reach.borrow().is_lost(self.received.service);
        let needed = lost || self.stats.unreached.get() >= MAX_UNREACHED;
        let now = state.clock.now();
        let paused = self.peers_tried.is_some_and(|at| now < at + PEER_PAUSE);
        needed && !paused && state.switches.is_on(Mechanism::Hop)
    }

    /// Passes the request on to the first peer that takes it.
    ///
    /// # Errors
    /// When none did and nothing ran, the request, which waits for a server of this node again.
    pub(crate) async fn pass_on(&mut self, mut waiting: Waiting) -> Result<Passed, Waiting> {
        self.state.peers.demand(self.state.clock.now());
        let residency = self.received.found.residency();
        let peers = self.state.peers.for_request(&self.state, &residency);
        if peers.is_empty() {
            return Err(waiting);
        }
        self.peers_tried = Some(self.state.clock.now());
        let mut prior = self.submission.withdraw();
        for peer in peers.into_iter().take(MAX_PEERS) {
            let sending = waiting.send();
            self.mark_sent();
            let sent = hop::send(&self.state, &self.received, peer, self.may_have_run, prior);
            let error = match sent.await {
                Ok(reply) => return Ok(Passed::Reply(sending, peer, reply)),
                Err(error) => error,
            };
            // A peer that declines may have reached servers before it lost them.
            prior.reached |= error.may_have_arrived();
            log::warn!(
                request = self.received.call.id.as_str(), peer:% = peer, cause:% = error;
                "a peer gave no answer"
            );
            self.state.peers.remove(peer);
            let timed_out = matches!(error, AttemptError::TimedOut);
            // A request that a peer may have run isn't sent again: its part of the retry budget isn't known here.
            let unsent = error.not_run_proof();
            let repeatable = self.received.repeatable().filter(|_| unsent.is_some());
            waiting = match sending.fail(unsent, repeatable) {
                Ok(waiting) => waiting,
                Err(outcome) => {
                    return Ok(Passed::Answer(self.answer_without_reply(outcome, timed_out)));
                }
            };
        }
        self.submission.resubmit(policy::Request { prior, ..self.received.request.clone() });
        Err(waiting)
    }

    /// Passes the answer of a peer on.
    pub(crate) fn relay_from_peer(
        mut self,
        sending: Sending,
        peer: SocketAddr,
        reply: hop::Reply,
    ) -> Answer {
        self.stats.peer = Some(peer);
        match reply {
            hop::Reply::Whole(Origin::Server, whole) => {
                sending.complete();
                self.relay_whole(whole)
            }
            // The peer knows of its own attempts only.
            hop::Reply::Whole(Origin::NotRun, _) if self.may_have_run => {
                self.answer_without_reply(Outcome::Unknown, false)
            }
            hop::Reply::Whole(origin, whole) => {
                self.record_outcome(origin.as_str(), whole.status.as_u16());
                whole.into_response()
            }
            hop::Reply::Partial(mut reply) => {
                let mut response = Response::new(reply.head.status);
                *response.headers_mut() = std::mem::take(&mut reply.head.headers);
                response.set_body(hop::body(self, sending.stream(), reply)).map_into_boxed_body()
            }
        }
    }

    /// Answers a peer whose request can't be served here either.
    pub(crate) fn refuse_unreachable(&mut self, waiting: Waiting) -> Answer {
        let outcome = waiting.refuse(Reason::NoServer);
        if outcome == Outcome::Unknown {
            return self.answer_without_reply(outcome, false);
        }
        let error = Error::Unreachable;
        self.record_outcome(error.as_str(), error.status().as_u16());
        error.response()
    }
}
