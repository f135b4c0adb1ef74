//! Rows of load reports between nodes of different versions.

use serde::{Deserialize, Serialize};
use wire::gossip::{Load, Report};

/// The row of a node that knows nothing of engines' memory.
type OldRow = (u32, Vec<u32>, Vec<u32>, Vec<u32>, Option<u32>);

/// A report of such a node, as far as it matters here.
#[derive(Serialize, Deserialize)]
struct OldReport {
    f: String,
    l: Vec<OldRow>,
}

fn load(running_kilotokens: u32, inserted_kilotokens: u32) -> Load {
    let (prefill_ms, occupied) = (vec![5], vec![1, 2]);
    Load { prefill_ms, occupied, running_kilotokens, inserted_kilotokens, ..Load::empty(7) }
}

fn report(load: Load) -> Report {
    Report { from: "a".to_string(), loads: vec![load], ..Report::default() }
}

/// A fleet is updated node by node. A report that a seed can't decode would cost it all knowledge of the older nodes.
#[test]
fn rows_of_older_nodes_are_decoded() {
    let row = (7, vec![5], vec![], vec![1, 2], None);
    let bytes = rmp_serde::to_vec_named(&OldReport { f: "a".to_string(), l: vec![row] }).unwrap();
    assert_eq!(Report::decode(&bytes).unwrap().loads, [load(0, 0)]);
}

/// Fleets whose engines have plenty of memory pay nothing for the numbers, and older nodes can decode the rows.
#[test]
fn rows_without_memory_have_the_older_length() {
    let bytes = report(load(0, 0)).encode();
    let old: OldReport = rmp_serde::from_slice(&bytes).expect("an older node decodes it");
    assert_eq!(old.l, [(7, vec![5], vec![], vec![1, 2], None)]);
}

/// A node drops one of the numbers if rows with only one of them are sent in another length.
#[test]
fn rows_with_memory_are_decoded() {
    for load in [load(40, 60), load(0, 60), load(40, 0)] {
        assert_eq!(Report::decode(&report(load.clone()).encode()).unwrap().loads, [load]);
    }
}

/// Older nodes reject a message with a row that is longer than theirs. So nodes state whether they can decode such rows, in a
/// field that older ones skip, and are sent rows without the numbers unless they do.
#[test]
fn older_nodes_decode_reports_without_memory() {
    let report = |load| Report { takes_memory: true, ..report(load) }.encode();
    assert!(rmp_serde::from_slice::<OldReport>(&report(load(40, 60))).is_err());
    assert!(rmp_serde::from_slice::<OldReport>(&report(load(40, 60).without_memory())).is_ok());
}
