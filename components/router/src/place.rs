//! A request's place among the decisions, and the server that its turn names.

use std::rc::Rc;
use std::time::Instant;

use clock::Clock;
pub(crate) use driver::Refused;
use driver::Target;
use policy::Ending;
use settings::Server;

use crate::relay::Parcel;
use crate::state::State;

/// The place of a request among the decisions. Dropped before its end, the caller went away.
pub(crate) struct Place {
    pub(crate) state: Rc<State>,
    inner: driver::Submission,
    /// Hash of what the request asks.
    content: u64,
    /// When it was sent last.
    sent: Instant,
}

impl Place {
    pub(crate) fn new(state: &Rc<State>, parcel: &Parcel) -> Self {
        let inner = driver::Submission::new(&state.driver, parcel.request.clone());
        let sent = state.clock.now();
        Place { state: state.clone(), inner, content: parcel.content(), sent }
    }

    /// Waits until the request may go to a server.
    pub(crate) async fn turn(&mut self) -> Result<Rc<Server>, Refused> {
        self.state.crashes.check_quarantine(self.content)?;
        loop {
            let server = self.inner.wait_for_server().await?;
            let settings = self.state.settings();
            let known = settings.and_then(|settings| settings.servers.get(server).cloned());
            match known {
                Some(server) => return self.pass(server),
                None if self.end(Ending::NotRun) => {}
                None => return Err(Refused::NO_SERVER),
            }
        }
    }

    /// Lets the request go to a server, unless others like it have crashed servers while it waited.
    fn pass(&mut self, server: Rc<Server>) -> Result<Rc<Server>, Refused> {
        if let Err(refused) = self.state.crashes.begin_attempt(self.content) {
            self.end(Ending::Cancelled);
            return Err(refused);
        }
        self.sent = self.state.clock.now();
        Ok(server)
    }

    /// Takes in that the connection to a server ended early, unless its end is planned. Starts of a server
    /// can't be told apart here.
    pub(crate) fn lost(&self, address: &str) {
        if self.state.leaving.borrow().contains(address) {
            return;
        }
        let server = Target { instance: None, address: address.to_string() };
        self.state.crashes.record_lost_connection(server, self.content, self.sent);
    }

    /// Waits until the decisions want the attempt stopped.
    pub(crate) async fn stopped(&mut self) {
        self.inner.wait_for_stop().await;
    }

    /// Notes tokens that came.
    pub(crate) fn tokens(&self, count: u32) {
        self.inner.record_tokens(count);
    }

    /// Ends the attempt; returns whether the job waits again. If so, [`Place::turn`] must follow
    /// without a pause, since a turn that nobody awaits is given up.
    pub(crate) fn end(&mut self, ending: Ending) -> bool {
        if ending == Ending::Completed {
            self.state.crashes.record_completion(self.content);
        }
        self.inner.end_attempt(ending)
    }
}
