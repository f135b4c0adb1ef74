use slotmap::SlotMap;

use super::*;

#[test]
fn can_learn_lengths_by_workspace() {
    let class = SlotMap::<ids::Class, ()>::with_key().insert(());
    let mut keys = SlotMap::<ids::Workspace, ()>::with_key();
    let (long, short, fresh) = (keys.insert(()), keys.insert(()), keys.insert(()));
    let mut lengths = Lengths::default();
    assert_eq!(lengths.remaining(class, long, 0, 0.5), START);
    for _ in 0..100 {
        lengths.record(class, long, 1_024);
        lengths.record(class, short, 16);
    }
    assert_eq!(lengths.remaining(class, long, 0, 0.5), 1_024);
    assert_eq!(lengths.remaining(class, short, 0, 0.5), 16);
    assert_eq!(lengths.remaining(class, fresh, 0, 0.9), 1_024);
    // What has passed all short answers is a long one.
    assert_eq!(lengths.remaining(class, fresh, 100, 0.5), 924);
    // What has passed all that were seen goes on for as long again.
    assert_eq!(lengths.remaining(class, short, 4_000, 0.5), 4_000);
}
