//! Tests that revisions never go back and that successive revisions share what doesn't change.

use std::rc::Rc;

use proptest::prelude::*;
use settings::Effective;
use settings::watermark::{RevisionId, Verdict, Watermark};

const STRUCTURE: &str = "[region.main]\n[domain.a]\nregion = \"main\"\n[tier.top]\nrank = 0\n\
    [class.one]\ntier = \"top\"\n[class.two]\ntier = \"top\"\n[server.s]\ndomain = \"a\"\n\
    address = \"10.0.0.1:80\"\nmodels = [\"small\"]\n";

fn workspace_branch(index: usize, weight: u32) -> String {
    let digest = settings::format_digest(&settings::key_digest(&format!("key-{index}")));
    format!("[workspace.w{index}]\nclass = \"one\"\nweight = {weight}\nkey_digest = \"{digest}\"\n")
}

fn parts(weights: &[Option<u32>]) -> Vec<(String, String)> {
    let mut parts = vec![("structure".to_string(), STRUCTURE.to_string())];
    for (index, weight) in weights.iter().enumerate() {
        if let Some(weight) = weight {
            parts.push((format!("w{index}"), workspace_branch(index, *weight)));
        }
    }
    parts
}

#[test]
fn can_classify_an_offered_revision() {
    let id = |revision, digest| RevisionId { revision, digest };
    let watermark = Watermark { in_force: Some(id(5, 1)), refused: Some(id(7, 2)) };
    let table = [
        (id(4, 9), Verdict::Older),
        (id(5, 1), Verdict::Same),
        (id(5, 9), Verdict::Conflict),
        (id(6, 9), Verdict::Older),
        (id(7, 2), Verdict::Refused),
        (id(7, 9), Verdict::Conflict),
        (id(8, 1), Verdict::Newer),
    ];
    for (offered, verdict) in table {
        assert_eq!(watermark.classify(offered), verdict, "{offered:?}");
    }
}

#[test]
fn can_share_what_a_change_of_one_workspace_keeps() {
    let first = Effective::build(1, &parts(&[Some(1), Some(1), Some(1)]), None).unwrap();
    let second = Effective::build(2, &parts(&[Some(1), Some(9), Some(1)]), Some(&first)).unwrap();
    assert!(Rc::ptr_eq(&first.tree, &second.tree));
    let same = |(key, workspace)| Rc::ptr_eq(workspace, &second.workspaces[key]);
    assert_eq!(first.workspaces.iter().filter(|pair| same(*pair)).count(), 2);
    assert!(first.classes.iter().all(|(key, class)| Rc::ptr_eq(class, &second.classes[key])));
}

#[test]
fn errors_on_two_workspaces_with_one_key_across_parts() {
    // Guards against a branch that was copied into another part with its key digest: callers of one
    // workspace would be served and charged as the other, so the whole revision is refused.
    let first = Effective::build(1, &parts(&[Some(1)]), None).unwrap();
    let mut next = parts(&[Some(1)]);
    next.push(("copy".to_string(), workspace_branch(0, 1).replace("w0", "copy")));
    let faults = Effective::build(2, &next, Some(&first)).unwrap_err();
    assert_eq!(
        faults.to_string(),
        "copy:4: workspace.copy.key_digest: the same as workspace.w0 has; give each its own"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Guards against a difference between a revision resolved from the previous one and the same
    /// revision resolved from scratch.
    #[test]
    fn can_reach_the_same_by_steps(
        steps in prop::collection::vec(prop::collection::vec(prop::option::of(1u32..4), 4), 1..6)
    ) {
        let mut previous: Option<Effective> = None;
        for (number, weights) in steps.iter().enumerate() {
            let parts = parts(weights);
            let revision = number as u64 + 1;
            let full = Effective::build(revision, &parts, None).unwrap();
            let incremental = Effective::build(revision, &parts, previous.as_ref()).unwrap();
            let weights = |effective: &Effective| {
                let all = effective.workspaces.values();
                let mut all: Vec<_> = all.map(|w| (w.name.clone(), w.weight)).collect();
                all.sort();
                all
            };
            prop_assert_eq!(weights(&full), weights(&incremental));
            prop_assert_eq!(full.digest, incremental.digest);
            prop_assert_eq!(incremental.workspaces_by_key.len(), incremental.workspaces.len());
            previous = Some(incremental);
        }
    }
}
