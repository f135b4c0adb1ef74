//! Exchanges the evidence against requests that may have crashed backend servers, between nodes and seeds.
//!
//! A request that is quarantined at one node only is sent through another one. Nodes report every suspect to
//! their seed, which passes on to nodes those with at least two crashes. A single crash is no reason to
//! quarantine a request, and a loss of many servers makes hundreds of such suspects.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use clock::Clock;
use policy::{Crash, Evidence, Quarantine};
use wire::gossip::{self, Position, Report, Summary, Suspect};

use super::cursor::Cursor;
use crate::adapter::Adapter;
use crate::state::State;

/// Number of crashes from which on a suspect is passed on to nodes.
const NODE_THRESHOLD: usize = 2;

/// Adds to a report the evidence that the seed may not have, and the version up to which the node has the seed's.
pub(super) fn add_to_report<A: Adapter>(
    state: &State<A>,
    cursor: &mut Cursor,
    report: Report,
) -> Report {
    let (now, quarantine) = (state.clock.now(), state.crashes.quarantine.borrow());
    let (evidence, version) = quarantine.changes_since(cursor.acknowledged(), 1);
    cursor.begin_report(version);
    let (suspects, companions) = to_wire(evidence, now);
    Report { suspects, companions, suspects_known: cursor.received(), ..report }
}

/// Merges the evidence in a seed's answer.
pub(super) fn apply_summary<A: Adapter>(state: &State<A>, cursor: &mut Cursor, summary: &Summary) {
    cursor.record_answer(summary.position.boot, summary.suspects_version);
    let mut quarantine = state.crashes.quarantine.borrow_mut();
    let before = quarantine.version();
    let evidence = from_wire(&summary.suspects, &summary.companions, state.clock.now());
    let outdated = merge_evidence(&mut quarantine, evidence, state.clock.now());
    cursor.skip_learned(before, quarantine.version());
    outdated.into_iter().for_each(|content| quarantine.send_again(content));
}

/// Merges the evidence that a node or another seed reports, and adds to the answer what it may not have.
pub(super) fn merge_and_add_to_summary<A: Adapter>(
    state: &State<A>,
    (evidence, known): (Vec<Evidence>, u64),
    at: Option<Position>,
    from_seed: bool,
    summary: Summary,
) -> Summary {
    let now = state.clock.now();
    let mut quarantine = state.crashes.quarantine.borrow_mut();
    merge_evidence(&mut quarantine, evidence, now);
    let known = at.filter(|at| at.boot == summary.position.boot).map_or(0, |_| known);
    let min_crashes = if from_seed { 1 } else { NODE_THRESHOLD };
    let (evidence, suspects_version) = quarantine.changes_since(known, min_crashes);
    let (suspects, companions) = to_wire(evidence, now);
    Summary { suspects, companions, suspects_version, ..summary }
}

/// Merges evidence of another node; returns the suspects of which this node knows a later answer.
fn merge_evidence(quarantine: &mut Quarantine, evidence: Vec<Evidence>, now: Instant) -> Vec<u64> {
    let mut outdated = vec![];
    for evidence in evidence {
        let content = evidence.content;
        if quarantine.merge(evidence, now) {
            outdated.push(content);
        }
    }
    outdated
}

/// Companions of parts, as messages hold them.
type Companions = Vec<(u64, Vec<u64>)>;

/// Evidence in the form in which it is sent. Times are sent as ages, since the clocks of nodes differ.
fn to_wire(evidence: Vec<Evidence>, now: Instant) -> (Vec<Suspect>, Companions) {
    let suspects = evidence.iter().map(|evidence| suspect(evidence, now)).collect();
    let parts = evidence.into_iter().filter(|evidence| !evidence.companions.is_empty());
    (suspects, parts.map(|evidence| (evidence.content, evidence.companions)).collect())
}

fn suspect(evidence: &Evidence, now: Instant) -> Suspect {
    let age = |at: Instant| {
        let age = now.saturating_duration_since(at).as_millis();
        u32::try_from(age).unwrap_or(u32::MAX)
    };
    let crash = |crash: &Crash| gossip::Crash {
        instance: crash.instance,
        sent_ms: age(crash.sent),
        crashed_ms: age(crash.at),
    };
    Suspect {
        content: evidence.content,
        crashes: evidence.crashes.iter().map(crash).collect(),
        completed_ms: evidence.completed.map(age),
    }
}

/// Evidence from another node, without what is older than this node's clock can represent.
pub(super) fn from_wire(
    suspects: &[Suspect],
    companions: &[(u64, Vec<u64>)],
    now: Instant,
) -> Vec<Evidence> {
    let companions: HashMap<_, _> = companions.iter().map(|(part, all)| (*part, all)).collect();
    let evidence = suspects.iter().filter_map(|suspect| evidence(suspect, now));
    let with_companions = |evidence: Evidence| {
        let known = companions.get(&evidence.content);
        let companions = known.map(|all| all.to_vec()).unwrap_or_default();
        Evidence { companions, ..evidence }
    };
    evidence.map(with_companions).collect()
}

fn evidence(suspect: &Suspect, now: Instant) -> Option<Evidence> {
    let at = |ms: u32| now.checked_sub(Duration::from_millis(ms.into()));
    let crash = |crash: &gossip::Crash| {
        let (sent, at) = (at(crash.sent_ms)?, at(crash.crashed_ms)?);
        Some(Crash { instance: crash.instance, sent, at })
    };
    let crashes = suspect.crashes.iter().map(crash).collect::<Option<_>>()?;
    let completed = suspect.completed_ms.and_then(at);
    Some(Evidence { content: suspect.content, crashes, completed, companions: vec![] })
}
