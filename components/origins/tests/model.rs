//! Searches all orders in which a small fleet begins a stream, tells of it, loses nodes, and has it taken up.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use origins::{
    COPIES, Census, Evidence, Members, Origin, Record, Seen, Span, Stream, Table, Version,
};
use wire::gossip::Peer;

const NODES: usize = 5;
const SERVICE: u32 = 7;
const OLD: Version = Version(1);
const NEW: Version = Version(2);
const LIFETIME: Duration = Duration::from_secs(10);
/// Time for which the nodes have run when the first event happens.
const BEFORE: Duration = LIFETIME;
/// Time between two events.
const STEP: Duration = Duration::from_millis(100);
const STREAM: Stream = Stream(42);
/// First of the nodes that may be cut off.
const CUT: usize = NODES - 2;
/// Events of an order.
const DEPTH: usize = 4;

/// What may happen next.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// The first server of the new version is listed.
    Join,
    /// A node reads the list of servers.
    Learn(usize),
    /// The first node begins the stream at the newest version that it knows.
    Begin,
    /// One message of the first node arrives at a keeper.
    Tell(usize),
    /// A node is cut off from the store and from the nodes that aren't, or stands still. Its callers still reach it.
    Cut(usize),
    /// A node that was cut off reaches the others again, and has read nothing yet.
    Heal(usize),
    /// A node is killed and starts again with the list of servers as it is, and without anything else.
    Kill(usize),
    /// A node is killed and doesn't come back.
    Lose(usize),
    /// The last server of the old version leaves.
    Leave,
    /// All nodes are killed and start again with the list of servers as it is.
    KillAll,
    /// The same without the last node.
    KillMost,
}

struct Node {
    is_up: bool,
    is_cut: bool,
    table: Table,
    census: Census,
    /// Number of changes of the list that it has read, and when it last read it.
    read: usize,
    proof: Instant,
    told: bool,
}

/// A change of the list of servers.
type Change = fn(&mut Census, Instant);

#[derive(Default)]
struct Outcomes {
    continued: u32,
    refused: u32,
}

fn address(node: usize) -> SocketAddr {
    ([10, 0, 0, node as u8], 80).into()
}

fn members() -> Members {
    let peer = |node| Peer { address: address(node), domain: format!("d{}", node % 3) };
    let mut members = Members::default();
    members.apply((0..NODES).map(peer).collect());
    members
}

impl Node {
    fn start(now: Instant, changes: &[Change]) -> Self {
        let mut listed = Census::default();
        listed.add(SERVICE, OLD, now);
        changes.iter().for_each(|change| change(&mut listed, now));
        // A node that has just started knows only of what is still listed.
        let mut census = Census::default();
        for version in listed.seen(SERVICE, Duration::ZERO, now).versions {
            census.add(SERVICE, version, now);
        }
        let (table, read) = (Table::default(), changes.len());
        Node { is_up: true, is_cut: false, table, census, read, proof: now, told: false }
    }

    fn learn(&mut self, changes: &[Change], now: Instant) {
        changes[self.read..].iter().for_each(|change| change(&mut self.census, now));
        (self.read, self.proof) = (changes.len(), now);
    }

    fn evidence(&self, epoch: Instant, now: Instant) -> Evidence {
        let Seen { covered, versions } = self.census.seen(SERVICE, LIFETIME, now);
        let (now, age) = (now - epoch, now - self.proof);
        Evidence { span: Span::stated(now, now, covered, Some(age)), versions }
    }
}

struct Fleet {
    epoch: Instant,
    now: Instant,
    nodes: Vec<Node>,
    changes: Vec<Change>,
    truth: Option<Version>,
}

impl Fleet {
    fn start(epoch: Instant) -> Self {
        let nodes = (0..NODES).map(|_| Node::start(epoch, &[])).collect();
        let mut fleet = Fleet { epoch, now: epoch + BEFORE, nodes, changes: vec![], truth: None };
        (0..NODES).for_each(|node| fleet.nodes[node].learn(&[], epoch + BEFORE));
        fleet
    }

    /// Lets an event happen; none if it can't.
    fn apply(&mut self, event: Event) -> Option<()> {
        self.now += STEP;
        let (now, changes) = (self.now, &self.changes);
        let has_joined = !changes.is_empty();
        match event {
            Event::Join => self.changes.push(|census, now| census.add(SERVICE, NEW, now)),
            Event::Leave if !has_joined => return None,
            Event::Leave => self.changes.push(|census, now| census.remove(SERVICE, OLD, now)),
            Event::KillAll => {
                self.nodes.iter_mut().for_each(|node| *node = Node::start(now, changes));
            }
            Event::KillMost => {
                let most = &mut self.nodes[..NODES - 1];
                most.iter_mut().for_each(|node| *node = Node::start(now, changes));
            }
            Event::Kill(node) => self.nodes[node] = Node::start(now, changes),
            Event::Lose(node) => self.nodes[node].is_up = false,
            Event::Cut(node) if self.nodes[node].is_up => self.nodes[node].is_cut = true,
            Event::Heal(node) if self.nodes[node].is_cut => self.nodes[node].is_cut = false,
            Event::Learn(node) if self.nodes[node].is_up && !self.nodes[node].is_cut => {
                self.nodes[node].learn(changes, now);
            }
            Event::Begin if self.nodes[0].is_up => self.begin(),
            Event::Tell(node) if self.nodes[0].is_up => return self.tell(node),
            Event::Cut(_) | Event::Heal(_) | Event::Learn(_) | Event::Begin | Event::Tell(_) => {
                return None;
            }
        }
        Some(())
    }

    fn begin(&mut self) {
        let now = self.now;
        let first = &mut self.nodes[0];
        let listed = first.census.seen(SERVICE, Duration::ZERO, now).versions;
        let version = if listed.contains(&NEW) { NEW } else { OLD };
        let (origin, expires) = (Origin::Version(version), now + LIFETIME);
        first.table.begin(Record { stream: STREAM, origin, expires }, SERVICE, 0, now);
        self.truth = Some(version);
        let is_news = version == NEW && first.census.is_news(SERVICE, NEW, now);
        let keepers = members().keepers(STREAM);
        for node in (0..NODES).filter(|node| is_news && keepers.contains(&address(*node))) {
            if self.reaches(0, node) {
                self.nodes[node].table.insert(STREAM, origin, expires, now);
            }
        }
    }

    fn tell(&mut self, node: usize) -> Option<()> {
        let now = self.now;
        let first = &self.nodes[0];
        let is_mixed = first.census.is_mixed(SERVICE, LIFETIME, now);
        let record = first.table.record(STREAM, now).filter(|_| is_mixed)?;
        let is_keeper = members().keepers(STREAM).contains(&address(node));
        if !is_keeper || self.nodes[node].told || !self.reaches(0, node) {
            return None;
        }
        self.nodes[node].told = true;
        self.nodes[node].table.insert(STREAM, record.origin, record.expires, now);
        Some(())
    }

    /// Whether two nodes run and reach each other: those that are cut off reach only each other.
    fn reaches(&self, from: usize, to: usize) -> bool {
        let [from, to] = [from, to].map(|node| &self.nodes[node]);
        from.is_up && to.is_up && from.is_cut == to.is_cut
    }

    /// The version at which the stream goes on at a node.
    fn take_up(&mut self, node: usize) -> Option<Version> {
        let now = self.now;
        let asked = members().asked(STREAM);
        let others: Vec<_> = (0..NODES)
            .filter(|other| *other != node && asked.contains(&address(*other)))
            .filter(|other| self.reaches(node, *other))
            .collect();
        let known = |node: usize| self.nodes[node].table.origin(STREAM, now);
        if let Some(origin) = known(node).or_else(|| others.iter().copied().find_map(known)) {
            return match origin {
                Origin::Version(version) => Some(version),
                Origin::Uncertain => None,
            };
        }
        let evidence = |node: usize| self.nodes[node].evidence(self.epoch, now);
        let mut all: Vec<_> = others.into_iter().chain([node]).map(evidence).collect();
        if !self.nodes[node].is_cut {
            self.nodes[node].learn(&self.changes, now);
            all.push(self.nodes[node].evidence(self.epoch, now));
        }
        let until = now - self.epoch;
        Evidence::conclude(&all, Span { since: until - LIFETIME, until })
    }

    /// The same at a node that stands still after the caller came, and reads its list and the store only then.
    fn take_up_late(&mut self, node: usize) -> Option<Version> {
        let (came, now) = (self.now, self.now + LIFETIME);
        if let Some(origin) = self.nodes[node].table.origin(STREAM, came) {
            return match origin {
                Origin::Version(version) => Some(version),
                Origin::Uncertain => None,
            };
        }
        if !self.nodes[node].is_cut {
            self.nodes[node].learn(&self.changes, now);
        }
        let until = came - self.epoch;
        let evidence = self.nodes[node].evidence(self.epoch, now);
        Evidence::conclude(&[evidence], Span { since: until - LIFETIME, until })
    }
}

fn search(events: &mut Vec<Event>, depth: usize, epoch: Instant, outcomes: &mut Outcomes) {
    let mut fleet = Fleet::start(epoch);
    if events.iter().any(|event| fleet.apply(*event).is_none()) {
        return;
    }
    if let Some(truth) = fleet.truth {
        for node in 0..NODES {
            if !fleet.nodes[node].is_up {
                continue;
            }
            let version = fleet.take_up(node);
            assert!(version.is_none_or(|version| version == truth), "{events:?}: {version:?}");
            outcomes.continued += u32::from(version.is_some());
            outcomes.refused += u32::from(version.is_none());
            let late = fleet.take_up_late(node);
            assert!(late.is_none_or(|version| version == truth), "{events:?}, late: {late:?}");
        }
    }
    if depth == 0 {
        return;
    }
    let per_node =
        (0..NODES).flat_map(|n| [Event::Learn(n), Event::Tell(n), Event::Kill(n), Event::Lose(n)]);
    let cuts = (CUT..NODES).flat_map(|n| [Event::Cut(n), Event::Heal(n)]);
    let per_node = per_node.chain(cuts);
    let all = [Event::Join, Event::Begin, Event::Leave, Event::KillAll, Event::KillMost];
    for event in per_node.chain(all) {
        if matches!(event, Event::Kill(_)) || !events.contains(&event) {
            events.push(event);
            search(events, depth - 1, epoch, outcomes);
            events.pop();
        }
    }
}

/// Versions come and go, nodes learn of them one after the other, are cut off, stand still, and are killed before or after they have told
/// anyone. Guards against a stream that goes on at another version in any order of these, and against a rule that refuses
/// all.
#[test]
fn no_order_of_events_makes_a_stream_change_its_version() {
    let mut outcomes = Outcomes::default();
    search(&mut vec![], DEPTH, Instant::now(), &mut outcomes);
    // Two nodes that hear only each other.
    let mut cut = vec![Event::Cut(CUT), Event::Cut(CUT + 1), Event::Join];
    search(&mut cut, DEPTH - 1, Instant::now(), &mut outcomes);
    assert!(
        outcomes.continued > 2 * outcomes.refused,
        "{} of {} go on",
        outcomes.continued,
        outcomes.continued + outcomes.refused
    );
}

/// A fleet loses nodes whose places others take. Guards against asking nodes that were never told while a keeper of
/// the stream is still there.
#[test]
fn a_keeper_that_is_left_is_asked_in_any_list() {
    let domain = |n: usize| format!("d{}", n % 3);
    for nodes in [7, 71, 295] {
        let all: Vec<_> = (0..nodes)
            .map(|n| Peer {
                address: ([10, 0, (n / 250) as u8, (n % 250) as u8], 80).into(),
                domain: domain(n),
            })
            .collect();
        let mut before = Members::default();
        before.apply(all.clone());
        for stream in (0..40).map(Stream) {
            let keepers = before.keepers(stream);
            assert_eq!(keepers.len(), COPIES);
            for lost in 0..COPIES {
                let mut after = Members::default();
                after.apply(
                    all.iter().filter(|peer| peer.address != keepers[lost]).cloned().collect(),
                );
                let asked = after.asked(stream);
                let left = keepers.iter().enumerate().filter(|(index, _)| *index != lost);
                assert!(
                    left.into_iter().all(|(_, keeper)| asked.contains(keeper)),
                    "{nodes} nodes"
                );
            }
        }
    }
}

/// A failure domain loses all its nodes. Guards against keepers that are all in one.
#[test]
fn keepers_are_in_different_domains() {
    let members = members();
    for stream in (0..40).map(Stream) {
        let keepers = members.keepers(stream);
        let domains: std::collections::BTreeSet<_> = keepers
            .iter()
            .map(|keeper| (0..NODES).find(|node| address(*node) == *keeper).unwrap() % 3)
            .collect();
        assert_eq!(domains.len(), 3);
    }
}

/// Seeds know different nodes, and exchange only what differs. Guards against lists that never agree.
#[test]
fn seeds_and_nodes_come_to_the_same_list() {
    let now = Instant::now();
    let peer = |n: u8| Peer { address: ([10, 0, 0, n], 80).into(), domain: "d".to_string() };
    let (mut left, mut right, mut node) = <(Members, Members, Members)>::default();
    (1..6).for_each(|n| left.record(peer(n), now));
    (6..9).for_each(|n| right.record(peer(n), now));
    for round in 0..2 {
        let now = now + Duration::from_secs(round);
        let (from_right, from_left) = (
            right.own_cluster(left.cluster_digest("right")),
            left.own_cluster(right.cluster_digest("left")),
        );
        left.set_cluster("right", from_right, now);
        right.set_cluster("left", from_left, now);
        left.refresh(now);
        right.refresh(now);
    }
    node.apply(right.list_for(node.digest()));
    assert!(node.others(peer(1).address) == 7 && node.digest() == left.digest());
    assert!(left.list_for(node.digest()).is_empty());
    let later = now + Duration::from_secs(11);
    left.record(peer(1), later);
    left.refresh(later);
    assert_eq!(left.others(peer(1).address), 0);
}

/// Hundreds of nodes start within some seconds. Guards against a list that is sent to all of them again and again.
#[test]
fn a_list_changes_a_few_times_while_nodes_start() {
    let (start, mut seed, mut changes) = (Instant::now(), Members::default(), 0);
    for step in 0..40_u32 {
        let now = start + Duration::from_millis(150) * step;
        for n in 0..8 {
            let address = ([10, 0, step as u8, n], 80).into();
            seed.record(Peer { address, domain: "d".to_string() }, now);
        }
        changes += u32::from(seed.refresh(now));
    }
    assert!((2..=6).contains(&changes), "{changes} changes");
    assert_eq!(seed.list_for(0).len(), origins::MAX_MEMBERS);
}
