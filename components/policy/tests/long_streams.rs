//! Streams that outlast the burst they came in, beside long prompts.

mod common;

use common::prompts::{DRAFT, fixture_with_engines, send, warm_up};
use policy::{Backlog, Ending, Policy};

const ENGINES: usize = 24;
const SLOTS: u32 = 32;

/// Another node's streams still run at an engine which all nodes take for one of the drafts'. Guards against sending
/// drafts there by the engine's group alone.
#[test]
fn drafts_avoid_engines_where_streams_of_other_nodes_run() {
    let mut fixture = fixture_with_engines(ENGINES, SLOTS);
    warm_up(&mut fixture);
    let (probe, drafts_engine) = send(&mut fixture, DRAFT, 1_000);
    fixture.scheduler.attempt_ended(probe, Ending::Completed, fixture.now);
    let streams = Backlog { occupied: vec![20.0], ..backlog(drafts_engine) };
    fixture.scheduler.set_backlogs(&[streams], fixture.now);
    for session in 0..200 {
        let (job, server) = send(&mut fixture, DRAFT, 2_000 + session);
        assert_ne!(server, drafts_engine);
        fixture.scheduler.attempt_ended(job, Ending::Completed, fixture.now);
    }
}

fn backlog(server: ids::Server) -> Backlog {
    let (prefill, overdue, occupied) = Default::default();
    Backlog { server, prefill, overdue, occupied, since_first_token: None }
}
