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
        let places: BTreeMap<_, _> = (0..nodes)
            .map(|index| (address(index), place(&list, &format!("entry-{index}"), "riga-a")))
            .collect();
        let watchers = places.values().filter(|place| **place == Place::Watcher).count();
        assert_eq!(watchers, nodes.min(WATCHERS));
        let mut heard: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        for mut at in places.keys() {
            let mut hops = 0;
            while let Place::Listener(ahead) = &places[at] {
                if hops == 0 {
                    *heard.entry(ahead[0]).or_default() += 1;
                }
                at = &ahead[0];
                hops += 1;
                assert!(hops <= 7, "{nodes} nodes");
            }
        }
        assert!(heard.values().all(|count| *count <= FAN));
    }
}

#[test]
fn can_go_on_when_a_watcher_leaves() {
    // A watcher's VM is replaced. The list loses it, and another node of the domain must take its
    // place, or the domain hears of no change until someone's rare direct read.
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
    names.filter(|name| place(list, name, "riga-a") == Place::Watcher).collect()
}

#[test]
fn can_start_before_being_listed() {
    // A fresh VM isn't listed yet, since the list lags. It hears from the domain's watchers rather
    // than become one more watcher.
    let Place::Listener(ahead) = place(&list(7), "fresh", "riga-a") else { panic!("watches") };
    assert_eq!(ahead.len(), WATCHERS);
}
