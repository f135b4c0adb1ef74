//! Exchange of the evidence against requests that servers crashed under.
//!
//! A request that is held back at one node alone comes to the next. Nodes report each suspicion to their seed,
//! which passes on those that two crashes support: one crash is no reason to hold anything back, and a loss of
//! many servers makes hundreds of them.

use std::time::{Duration, Instant};

use clock::Clock;
use policy::{Crash, Evidence, Quarantine};
use wire::gossip::{self, Position, Report, Summary, Suspect};

use super::cursor::Cursor;
use crate::adapter::Adapter;
use crate::state::State;

/// Crashes from which on a suspicion is passed on to nodes.
const NODE_THRESHOLD: usize = 2;

/// Adds to a report what the seed may not know, and asks for the rest.
pub(super) fn report<A: Adapter>(state: &State<A>, cursor: &mut Cursor, report: Report) -> Report {
    let (now, quarantine) = (state.clock.now(), state.crashes.quarantine.borrow());
    let (evidence, version) = quarantine.changes_since(cursor.reported(), 1);
    cursor.report(version);
    let suspects = evidence.iter().map(|evidence| to_wire(evidence, now)).collect();
    Report { suspects, suspects_known: cursor.received(), ..report }
}

/// Takes in a seed's answer.
pub(super) fn answered<A: Adapter>(state: &State<A>, cursor: &mut Cursor, summary: &Summary) {
    cursor.answered(summary.at.boot, summary.suspects_at);
    let mut quarantine = state.crashes.quarantine.borrow_mut();
    let before = quarantine.version();
    learn(&mut quarantine, &summary.suspects, state.clock.now());
    cursor.learned(before, quarantine.version());
}

/// Takes in what a node reports, and adds to its answer what it may not know.
pub(super) fn answer<A: Adapter>(
    state: &State<A>,
    (suspects, known): (&[Suspect], u64),
    at: Option<Position>,
    from_seed: bool,
    summary: Summary,
) -> Summary {
    let now = state.clock.now();
    let mut quarantine = state.crashes.quarantine.borrow_mut();
    learn(&mut quarantine, suspects, now);
    let known = at.filter(|at| at.boot == summary.at.boot).map_or(0, |_| known);
    let least = if from_seed { 1 } else { NODE_THRESHOLD };
    let (evidence, suspects_at) = quarantine.changes_since(known, least);
    let suspects = evidence.iter().map(|evidence| to_wire(evidence, now)).collect();
    Summary { suspects, suspects_at, ..summary }
}

fn learn(quarantine: &mut Quarantine, suspects: &[Suspect], now: Instant) {
    for suspect in suspects {
        if let Some(evidence) = from_wire(suspect, now) {
            quarantine.merge(evidence, now);
        }
    }
}

/// Evidence as it goes to other nodes: their clocks differ, so times are ages.
fn to_wire(evidence: &Evidence, now: Instant) -> Suspect {
    let age = |at: Instant| {
        let age = now.saturating_duration_since(at).as_millis();
        u32::try_from(age).unwrap_or(u32::MAX)
    };
    let crash = |crash: &Crash| gossip::Crash {
        server: crash.instance,
        sent_ms: age(crash.sent),
        crashed_ms: age(crash.at),
    };
    Suspect {
        content: evidence.content,
        crashes: evidence.crashes.iter().map(crash).collect(),
        completed_ms: evidence.completed.map(age),
    }
}

/// Evidence from another node; none if it is older than this node's clock can tell.
fn from_wire(suspect: &Suspect, now: Instant) -> Option<Evidence> {
    let at = |ms: u32| now.checked_sub(Duration::from_millis(ms.into()));
    let crash = |crash: &gossip::Crash| {
        let (sent, at) = (at(crash.sent_ms)?, at(crash.crashed_ms)?);
        Some(Crash { instance: crash.server, sent, at })
    };
    let crashes = suspect.crashes.iter().map(crash).collect::<Option<_>>()?;
    let completed = suspect.completed_ms.and_then(at);
    Some(Evidence { content: suspect.content, crashes, completed })
}
