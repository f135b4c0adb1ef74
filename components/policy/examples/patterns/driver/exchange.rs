//! Exchanges load reports and peer reports, and injects the faults of servers and of the link.

use std::time::Duration;

use policy::{Ending, Report};

use super::node::PeerReport;
use super::pattern::{CLASSES, NODES, RUN_END, SERVERS, SLOTS, region_of_node};
use super::simulation::{CONNECT_TIMEOUT, Event, LOCAL_DELAY, REMOTE_DELAY, Simulation};

/// Seconds between two reports of an engine, and between two reports of a node to its peers.
const EXCHANGE_SECONDS: f64 = 0.5;

impl Simulation<'_> {
    /// Sends the reports of all engines and nodes, and schedules the next exchange.
    pub(super) fn exchange(&mut self) {
        for server in 0..SERVERS {
            let engine = &self.engines[server];
            if !engine.up {
                continue;
            }
            let (running, queued) = engine.load();
            let token_interval = Duration::from_secs_f64(engine.token_seconds());
            let at = self.now_instant();
            let report =
                Report { at, running, queued, slots: SLOTS, token_interval, leaving: false };
            for node in
                (0..NODES).filter(|node| self.is_reachable(*node, server)).collect::<Vec<_>>()
            {
                let at = self.now + self.pattern.report_lag + self.delay(node, server);
                self.schedule(at, Event::Report(node, server, self.now, report.clone()));
            }
        }
        for from in
            (0..NODES).filter(|node| self.nodes[*node].paused_until <= self.now).collect::<Vec<_>>()
        {
            let own = self.own_report(from);
            let now = self.now_instant();
            self.nodes[from].divide(&self.keys, from, &own, now);
            self.poll(from);
            for to in (0..NODES).filter(|to| *to != from) {
                let remote = region_of_node(from) != region_of_node(to);
                if !(self.cut && remote) {
                    let at = self.now + if remote { REMOTE_DELAY } else { LOCAL_DELAY };
                    self.schedule(at, Event::PeerReport(to, from, own.clone()));
                }
            }
        }
        if self.now < RUN_END {
            self.schedule(self.now + EXCHANGE_SECONDS, Event::Exchange);
        }
    }

    fn own_report(&self, node: usize) -> PeerReport {
        let mut report =
            PeerReport { at: self.now, sent: self.nodes[node].sent, tiers: Default::default() };
        for demand in self.nodes[node].policy.demand() {
            let class = self.keys.classes.iter().position(|key| *key == demand.class);
            let (sent, waiting) =
                &mut report.tiers[CLASSES[class.expect("a class of the run")].tier as usize];
            *sent += demand.sent;
            *waiting += demand.waiting;
        }
        report
    }

    /// Stops a server, whose attempts fail, or starts it again.
    pub(super) fn crash(&mut self, server: usize, down: bool) {
        if !down {
            self.engines[server].up = true;
            return;
        }
        for attempt in self.engines[server].crash() {
            let at = self.now + self.delay(self.calls[attempt.call].node, server);
            self.schedule(at, Event::AttemptFailed(attempt.call, attempt.number, Ending::Failed));
        }
    }

    /// Cuts the link between the regions, over which the attempts then fail, or restores it.
    pub(super) fn cut(&mut self, down: bool) {
        self.cut = down;
        for call in 0..self.calls.len() {
            let Some(server) = self.states[call].server.filter(|_| down) else { continue };
            if self.is_reachable(self.calls[call].node, server) {
                continue;
            }
            self.engines[server].cancel(call, self.now);
            let number = self.states[call].number;
            self.schedule(
                self.now + CONNECT_TIMEOUT,
                Event::AttemptFailed(call, number, Ending::Failed),
            );
        }
    }
}
