//! A request's place among the decisions, and the server that its turn names.

use std::rc::Rc;

use policy::Ending;
use settings::Server;
pub(crate) use turns::Refused;

use crate::state::State;

/// The place of a request among the decisions. Dropped before its end, the caller went away.
pub(crate) struct Place {
    pub(crate) state: Rc<State>,
    inner: turns::Place,
}

impl Place {
    pub(crate) fn new(state: &Rc<State>, request: policy::Request) -> Self {
        Place { state: state.clone(), inner: turns::Place::new(&state.turns, request) }
    }

    /// Waits until the request may go to a server.
    pub(crate) async fn turn(&mut self) -> Result<Rc<Server>, Refused> {
        loop {
            let server = self.inner.turn().await?;
            let settings = self.state.settings();
            let known = settings.and_then(|settings| settings.servers.get(server).cloned());
            match known {
                Some(server) => return Ok(server),
                None if self.end(Ending::NotRun) => {}
                None => return Err(Refused::NOBODY),
            }
        }
    }

    /// Waits until the decisions want the attempt stopped.
    pub(crate) async fn stopped(&mut self) {
        self.inner.stopped().await;
    }

    /// Notes tokens that came.
    pub(crate) fn tokens(&self, count: u32) {
        self.inner.tokens(count);
    }

    /// Ends the attempt; returns whether the job waits again. If so, [`Place::turn`] must follow
    /// without a pause, since a turn that nobody awaits is given up.
    pub(crate) fn end(&mut self, ending: Ending) -> bool {
        self.inner.end(ending)
    }
}
