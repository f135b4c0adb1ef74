//! Any order of writes, copies, restores, reads, messages between nodes and restarts of nodes, checked against what was
//! acknowledged.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use proptest::prelude::*;
use replica::{Changes, Content, Replica};
use wire::updates::{Item, Position};

const SETTINGS: &str = "settings";
const SERVERS: [&str; 2] = ["servers/a", "servers/b"];
const NODES: usize = 3;
/// Time in which a server that is silent is removed.
const RENEWAL: Duration = Duration::from_secs(6);

/// Items that say `n7` for settings number 7, and `r3` or `l3` for the third start of a server that is ready or leaves.
struct Words;

fn word(item: &Item) -> Option<(char, u64)> {
    let text = std::str::from_utf8(item.value.as_ref()?).ok()?;
    Some((text.chars().next()?, text[1..].parse().ok()?))
}

impl Content for Words {
    fn is_renewed(&self, key: &str) -> bool {
        key != SETTINGS
    }

    fn is_superseded(&self, known: &Item, offered: &Item) -> bool {
        let numbers = word(known).zip(word(offered));
        offered.key == SETTINGS && numbers.is_some_and(|((_, known), (_, offered))| offered < known)
    }

    fn start(&self, item: &Item) -> Option<u64> {
        let (state, start) = word(item)?;
        (state != 'n').then_some(start * 2 + u64::from(item.key == SERVERS[0]))
    }

    fn is_final(&self, item: &Item) -> bool {
        word(item).is_some_and(|(state, _)| state == 'l')
    }
}

#[derive(Clone, Default)]
struct Store {
    era: u64,
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    history: Vec<Item>,
}

impl Store {
    fn write(&mut self, key: &str, value: Option<String>) {
        self.revision += 1;
        let (era, revision) = (self.era, self.revision);
        let bytes = value.clone().map(|value| value.into_bytes().into());
        self.history.push(Item { key: key.into(), revision, era, origin: None, value: bytes });
        match value {
            Some(value) => self.items.insert(key.into(), (revision, value)),
            None => self.items.remove(key),
        };
    }

    fn restore(&mut self, copy: &Store) {
        *self = Store { era: self.era + 1, ..copy.clone() };
    }

    fn position(&self) -> Position {
        Position { era: self.era, revision: self.revision }
    }

    fn list(&self) -> Vec<Item> {
        let item = |(key, (revision, value)): (&String, &(u64, String))| Item {
            key: key.clone(),
            revision: *revision,
            era: self.era,
            origin: None,
            value: Some(value.clone().into_bytes().into()),
        };
        self.items.iter().map(item).collect()
    }
}

/// A node, and what is in effect at it.
struct Node {
    replica: Replica,
    effective: BTreeMap<String, String>,
    /// Starts of servers that are known to have left.
    left: BTreeSet<(String, u64)>,
    settings: u64,
}

impl Node {
    fn new() -> Self {
        let replica = Replica::new(Duration::from_secs(4));
        Node { replica, effective: BTreeMap::new(), left: BTreeSet::new(), settings: 0 }
    }

    /// Applies changes and checks that nothing goes back that was acknowledged and that this node knew.
    fn take(&mut self, changes: Changes, ended: &BTreeSet<(String, u64)>) {
        for item in changes.items {
            if let Some(('l', start)) = word(&item) {
                self.left.insert((item.key.clone(), start));
            }
            let Some(value) = &item.value else {
                let gone = self.effective.remove(&item.key);
                let start = gone.and_then(|value| value[1..].parse().ok());
                let left = start.map(|start| (item.key.clone(), start));
                // At the beginning of an era, an item may be absent only because the store forgot it.
                let is_told = changes.former_era.is_none();
                self.left.extend(left.filter(|left| is_told && ended.contains(left)));
                continue;
            };
            match word(&item) {
                Some(('n', number)) => {
                    assert!(number >= self.settings, "settings {number} after {}", self.settings);
                    self.settings = number;
                }
                Some(('r', start)) => {
                    let used = (item.key.clone(), start);
                    assert!(!self.left.contains(&used), "{used:?} is used again");
                }
                _ => {}
            }
            let text = String::from_utf8(value.to_vec()).unwrap();
            self.effective.insert(item.key.clone(), text);
        }
    }
}

struct World {
    now: Instant,
    store: Store,
    copies: Vec<Store>,
    /// Settings in force, and each server's start and whether it is ready, leaves or is gone.
    number: u64,
    servers: [(u64, char); 2],
    /// Starts of servers that have left or are gone.
    ended: BTreeSet<(String, u64)>,
    nodes: Vec<Node>,
}

impl World {
    fn new() -> Self {
        let nodes = (0..NODES).map(|_| Node::new()).collect();
        let store = Store { era: 1, ..Store::default() };
        let mut world = World {
            now: Instant::now(),
            store,
            copies: vec![],
            number: 1,
            servers: [(1, 'r'); 2],
            ended: BTreeSet::new(),
            nodes,
        };
        world.rewrite();
        world.copies.push(world.store.clone());
        world
    }

    /// Operators and servers write what holds, where the store has something else.
    fn rewrite(&mut self) {
        self.renew(SETTINGS, Some(format!("n{}", self.number)));
        for (key, (start, state)) in SERVERS.into_iter().zip(self.servers) {
            self.renew(key, (state != 'g').then(|| format!("{state}{start}")));
        }
    }

    fn renew(&mut self, key: &str, value: Option<String>) {
        if self.store.items.get(key).map(|(_, value)| value) != value.as_ref() {
            self.store.write(key, value);
        }
    }

    /// A server starts again, leaves, or ends.
    fn change_server(&mut self, index: usize, state: char) {
        let (start, before) = self.servers[index];
        self.servers[index] = match state {
            'r' if before != 'r' => (start + 1, 'r'),
            'l' if before == 'r' => (start, 'l'),
            'g' => (start, 'g'),
            _ => return,
        };
        if state != 'r' {
            self.ended.insert((SERVERS[index].to_string(), start));
        }
        let (start, state) = self.servers[index];
        self.renew(SERVERS[index], (state != 'g').then(|| format!("{state}{start}")));
    }

    /// A node asks the store, as nodes do.
    fn read(&mut self, node: usize) {
        let (store, now) = (&self.store, self.now);
        let node = &mut self.nodes[node];
        let position = node.replica.continues_from();
        let changes = match position {
            Some(from) if from.era == store.era && from.revision <= store.revision => {
                let newer = |item: &&Item| item.revision > from.revision;
                let events = store.history.iter().filter(newer).cloned();
                let events = events.map(|item| Item { era: store.era, ..item }).collect();
                node.replica.apply(events, store.position(), &Words, now)
            }
            _ => node.replica.replace(store.list(), store.position(), &Words, now),
        };
        node.take(changes, &self.ended);
    }

    /// A node asks another one, as nodes do.
    fn ask(&mut self, node: usize, peer: usize) {
        let now = self.now;
        let asker = &self.nodes[node].replica;
        let (from, digest) = (asker.continues_from(), asker.standing_digest());
        let peer = &mut self.nodes[peer].replica;
        let Some(position) = peer.position() else { return };
        let (base, items) = match from {
            Some(from) => (None, peer.changes_since(from)),
            None => {
                let (base, newer) = peer.snapshot();
                (Some(base), Some(newer))
            }
        };
        let standing = if peer.standing_digest() == digest { vec![] } else { peer.standing() };
        let node = &mut self.nodes[node];
        if node.replica.is_outdated(position) {
            return;
        }
        let Some(items) = items else {
            node.replica.mark_incomplete();
            return;
        };
        let before = node.replica.position();
        if let Some(base) = base {
            let all = base.items.unpack().unwrap();
            let changes = node.replica.replace(all, base.position(), &Words, now);
            node.take(changes, &self.ended);
        }
        let changes = node.replica.apply(items.unpack().unwrap(), position, &Words, now);
        node.take(changes, &self.ended);
        let changes = node.replica.learn(standing, position, &Words, now);
        node.take(changes, &self.ended);
        assert!(node.replica.position() >= before);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Configure => {
                self.number += 1;
                self.renew(SETTINGS, Some(format!("n{}", self.number)));
            }
            Step::Change(server, state) => self.change_server(server, state),
            Step::Rewrite => self.rewrite(),
            Step::Copy => self.copies.push(self.store.clone()),
            Step::Restore(age) => {
                let copy = self.copies[self.copies.len().saturating_sub(1 + age)].clone();
                self.store.restore(&copy);
            }
            Step::Read(node) => self.read(node),
            Step::Ask(node, peer) if node != peer => self.ask(node, peer),
            Step::Ask(..) => {}
            Step::Restart(node) => self.nodes[node] = Node::new(),
        }
    }

    /// Once everything is written again and read by all, what is in effect at each node is what the store has.
    fn settle(&mut self) {
        self.rewrite();
        for _ in 0..2 {
            for node in 0..NODES {
                self.read(node);
                self.ask(node, (node + 1) % NODES);
                self.ask(node, (node + 2) % NODES);
            }
        }
        self.now += RENEWAL;
        let expected: BTreeMap<_, _> =
            self.store.items.iter().map(|(key, (_, value))| (key.clone(), value.clone())).collect();
        for node in &mut self.nodes {
            node.left.clear();
            let items = node.replica.release(RENEWAL, &Words, self.now);
            node.take(Changes { items, ..Changes::default() }, &self.ended);
            assert_eq!(node.effective, expected);
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Configure,
    Change(usize, char),
    Rewrite,
    Copy,
    Restore(usize),
    Read(usize),
    Ask(usize, usize),
    Restart(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    let states = prop_oneof![Just('r'), Just('l'), Just('g')];
    prop_oneof![
        2 => Just(Step::Configure),
        3 => (0..2_usize, states).prop_map(|(server, state)| Step::Change(server, state)),
        1 => Just(Step::Rewrite),
        2 => Just(Step::Copy),
        2 => (0..2_usize).prop_map(Step::Restore),
        5 => (0..NODES).prop_map(Step::Read),
        5 => (0..NODES, 0..NODES).prop_map(|(node, peer)| Step::Ask(node, peer)),
        1 => (0..NODES).prop_map(Step::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, ..ProptestConfig::default() })]

    /// Guards against settings that go back, servers that are used although they are known to have left, positions that fall,
    /// and nodes that don't agree with the store in the end.
    #[test]
    fn nothing_that_a_node_knew_goes_back(steps in prop::collection::vec(any_step(), 1..40)) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
        }
        world.settle();
    }
}

/// All orders of two restores among the reads and messages of a seed, another seed and a follower.
#[test]
fn all_small_orders_end_in_agreement() {
    let steps = [
        Step::Configure,
        Step::Change(0, 'l'),
        Step::Restore(0),
        Step::Read(0),
        Step::Read(1),
        Step::Ask(2, 0),
        Step::Ask(2, 1),
    ];
    let length = 6;
    for order in 0..steps.len().pow(length) {
        let mut world = World::new();
        (0..NODES).for_each(|node| world.read(node));
        let mut rest = order;
        for _ in 0..length {
            world.step(steps[rest % steps.len()]);
            rest /= steps.len();
        }
        world.settle();
    }
}

/// Guards against a server that is used again too soon: the store comes back from a copy once more while the server's word that
/// it leaves stands against the first one.
#[test]
fn a_second_restore_gives_writers_their_time_again() {
    let mut world = World::new();
    world.read(0);
    world.step(Step::Change(0, 'l'));
    world.read(0);
    let pause = RENEWAL * 2 / 3;
    for _ in 0..2 {
        world.step(Step::Restore(0));
        world.read(0);
        world.now += pause;
        let released = world.nodes[0].replica.release(RENEWAL, &Words, world.now);
        assert_eq!(released, []);
    }
    world.now += pause;
    assert_eq!(world.nodes[0].replica.release(RENEWAL, &Words, world.now).len(), 1);
}
