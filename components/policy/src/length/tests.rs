use slotmap::SlotMap;

use super::*;

#[test]
fn lengths_are_estimated_by_workspace() {
    let class = SlotMap::<ids::Class, ()>::with_key().insert(());
    let mut keys = SlotMap::<ids::Workspace, ()>::with_key();
    let (long, short, unknown) = (keys.insert(()), keys.insert(()), keys.insert(()));
    let mut lengths = Lengths::default();
    assert_eq!(lengths.remaining(class, long, 0, 0.5), DEFAULT_TOKENS);
    for _ in 0..100 {
        lengths.record(class, long, 1_024);
        lengths.record(class, short, 16);
    }
    assert_eq!(lengths.remaining(class, long, 0, 0.5), 1_024);
    assert_eq!(lengths.remaining(class, short, 0, 0.5), 16);
    assert_eq!(lengths.remaining(class, unknown, 0, 0.9), 1_024);
    // An answer that is longer than all short ones is a long one.
    assert_eq!(lengths.remaining(class, unknown, 100, 0.5), 924);
    // An answer that is longer than all past ones is expected to take as many tokens again.
    assert_eq!(lengths.remaining(class, short, 4_000, 0.5), 4_000);
}
