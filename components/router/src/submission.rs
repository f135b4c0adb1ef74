//! Submits a request to the scheduler and waits for the server that it selects.

use std::rc::Rc;
use std::time::Instant;

use clock::Clock;
pub(crate) use driver::Refused;
use driver::Target;
use policy::Ending;
use settings::Server;

use crate::relay::Payload;
use crate::state::State;

/// A request that was submitted to the scheduler. Dropping it before its end means that the caller
/// disconnected.
pub(crate) struct Submission {
    pub(crate) state: Rc<State>,
    inner: driver::Submission,
    /// Hash of the request's content.
    content: u64,
    class: ids::Class,
    workspace: ids::Workspace,
    /// When the last attempt was sent.
    sent: Instant,
    /// Version of the models of the server that it was sent to.
    version: Option<ids::Version>,
}

impl Submission {
    pub(crate) fn new(state: &Rc<State>, payload: &Payload) -> Self {
        let inner = driver::Submission::new(&state.driver, payload.request.clone());
        let sent = state.clock.now();
        let (class, workspace) = (payload.request.class, payload.request.workspace);
        let content = payload.content_hash();
        Submission { state: state.clone(), inner, content, class, workspace, sent, version: None }
    }

    /// Restricts the request, whose stream has begun, to servers with the version of the models that began it.
    pub(crate) fn restrict_to_version(&self) {
        if let Some(version) = self.version {
            self.inner.restrict_to_version(version);
        }
    }

    /// Waits until the scheduler selects a server for the request.
    pub(crate) async fn wait_for_server(&mut self) -> Result<Rc<Server>, Refused> {
        self.state.crashes.check_quarantine(&self.content.into())?;
        loop {
            let server = self.inner.wait_for_server().await?;
            let settings = self.state.settings();
            let listed = settings.as_ref().and_then(|all| all.servers.get(server).cloned());
            let regions = settings.and_then(|all| all.allowed_regions(self.class, self.workspace));
            match listed {
                // The settings may have become stricter while the request waited.
                Some(server) if regions.is_some_and(|all| !all.contains(&server.region)) => {
                    self.end_attempt(Ending::Cancelled);
                    return Err(Refused::NO_SERVER);
                }
                Some(server) => return self.begin_attempt(server),
                None if self.end_attempt(Ending::NotRun) => {}
                None => return Err(Refused::NO_SERVER),
            }
        }
    }

    /// Allows an attempt at a server, unless requests with the same content have crashed servers while
    /// this one waited.
    fn begin_attempt(&mut self, server: Rc<Server>) -> Result<Rc<Server>, Refused> {
        if let Err(refused) = self.state.crashes.begin_attempt(&self.content.into()) {
            self.end_attempt(Ending::Cancelled);
            return Err(refused);
        }
        self.sent = self.state.clock.now();
        self.version = Some(server.version_key);
        Ok(server)
    }

    /// Records that the connection to a server ended early, unless the list of VMs marks the server as
    /// leaving. The record has no instance, because the router can't tell two starts of a server apart.
    pub(crate) fn record_lost_connection(&self, address: &str) {
        if self.state.leaving_addresses.borrow().contains(address) {
            return;
        }
        let server = Target { instance: None, address: address.to_string() };
        // No copy of the run exists that could continue it, so the result of the check isn't used.
        drop(self.state.crashes.record_lost_connection(server, self.content.into(), self.sent));
    }

    /// Waits until the scheduler wants the attempt stopped.
    pub(crate) async fn wait_for_stop(&mut self) {
        self.inner.wait_for_stop().await;
    }

    /// Records tokens that were received.
    pub(crate) fn record_tokens(&self, count: u32) {
        self.inner.record_tokens(count);
    }

    /// Ends the attempt; returns whether the request is queued again. If so,
    /// [`Submission::wait_for_server`] must follow at once: a selection that nobody waits for is
    /// cancelled.
    pub(crate) fn end_attempt(&mut self, ending: Ending) -> bool {
        if ending == Ending::Completed {
            self.state.crashes.record_completion(self.content);
        }
        self.inner.end_attempt(ending)
    }
}
