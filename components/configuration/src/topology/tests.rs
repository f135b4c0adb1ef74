use std::collections::{BTreeMap, BTreeSet};

use super::*;

fn list(nodes: usize) -> Vec<Vm> {
    let vm = |index: usize| Vm {
        name: format!("entry-{index}"),
        role: Role::Entry,
        address: format!("127.0.0.1:{}", 10_000 + index),
        domain: "riga-a".to_string(),
        leaving: false,
    };
    (0..nodes).map(vm).collect()
}

fn address(index: usize) -> SocketAddr {
    format!("127.0.0.1:{}", 10_000 + index).parse().unwrap()
}

#[test]
fn can_reach_each_node_from_the_watchers_in_few_hops() {
    for nodes in [1, 2, 3, 7, 94, 250] {
        let list = list(nodes);
        let positions: BTreeMap<_, _> = (0..nodes)
            .map(|index| (address(index), position(&list, &format!("entry-{index}"), "riga-a")))
            .collect();
        let watchers =
            positions.values().filter(|position| **position == Position::Watcher).count();
        assert_eq!(watchers, nodes.min(WATCHERS));
        let mut followers: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        for mut at in positions.keys() {
            let mut hops = 0;
            while let Position::Follower(peers) = &positions[at] {
                if hops == 0 {
                    *followers.entry(peers[0]).or_default() += 1;
                }
                at = &peers[0];
                hops += 1;
                assert!(hops <= 7, "{nodes} nodes");
            }
        }
        assert!(followers.values().all(|count| *count <= FANOUT));
    }
}

#[test]
fn can_go_on_when_a_watcher_leaves() {
    // A watcher's VM is replaced and leaves the list. Another node of the domain must take over as a
    // watcher, or the domain gets no change until one of its nodes makes a rare direct read.
    let mut list = list(7);
    let before: BTreeSet<_> = watchers(&list);
    let gone = before.first().unwrap().clone();
    list.iter_mut().find(|vm| vm.name == gone).unwrap().leaving = true;
    let after = watchers(&list);
    assert_eq!(after.len(), WATCHERS);
    assert_eq!(before.intersection(&after).count(), WATCHERS - 1);
}

fn watchers(list: &[Vm]) -> BTreeSet<String> {
    let names = list.iter().filter(|vm| !vm.leaving).map(|vm| vm.name.clone());
    names.filter(|name| position(list, name, "riga-a") == Position::Watcher).collect()
}

#[test]
fn can_start_before_being_listed() {
    // A new VM isn't listed yet, because the list lags. It must read from the domain's watchers and
    // not become one more watcher.
    let Position::Follower(peers) = position(&list(7), "fresh", "riga-a") else {
        panic!("watches")
    };
    assert_eq!(peers.len(), WATCHERS);
}
