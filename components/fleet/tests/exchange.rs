//! What nodes tell each other, and what it costs.

use std::time::{Duration, Instant};

use fleet::exchange::{ANSWER_HEAD, Exchange, Own, REQUEST_HEAD};
use fleet::{Listed, View};
use wire::{Frame, InFlight, key};

const PERIOD: Duration = Duration::from_millis(500);
const RATE: u32 = 1_200;

struct Node {
    own: Own,
    view: View,
    exchange: Exchange,
}

fn fleet(count: usize, now: Instant) -> Vec<Node> {
    let name = |index: usize| format!("entry-{index}");
    let listed = |index: usize| Listed {
        name: name(index),
        address: name(index),
        domain: "riga-a".to_string(),
    };
    let node = |index: usize| {
        let mut view = View::new();
        view.listed((0..count).filter(|other| *other != index).map(listed), now);
        let own = Own { name: name(index), incarnation: 1, ..Default::default() };
        Node { own, view, exchange: Exchange::new(RATE, now) }
    };
    (0..count).map(node).collect()
}

/// One round of everybody's exchange; `link` says whether frames pass from one to another.
fn round(nodes: &mut [Node], now: Instant, link: impl Fn(usize, usize) -> bool) {
    for from in 0..nodes.len() {
        let node = &mut nodes[from];
        node.view.tick(now, PERIOD);
        for target in node.exchange.targets(&node.own, &node.view, now) {
            let to = nodes.iter().position(|peer| peer.own.name == target.name).unwrap();
            let Node { own, view, exchange } = &mut nodes[from];
            let frame = exchange.frame(own, &target.name, view, now);
            let bytes = frame.encode();
            exchange.spent(bytes.len() + REQUEST_HEAD);
            if !link(from, to) {
                continue;
            }
            let answer = answer(&mut nodes[to], &bytes, now);
            if link(to, from) {
                let node = &mut nodes[from];
                node.exchange.told(&target.name, &frame, now);
                node.view.heard(Frame::decode(&answer).unwrap(), now);
            }
        }
    }
}

fn answer(node: &mut Node, bytes: &[u8], now: Instant) -> Vec<u8> {
    let frame = Frame::decode(bytes).unwrap();
    let peer = frame.from.clone();
    node.view.heard(frame, now);
    let answer = node.exchange.frame(&node.own, &peer, &node.view, now);
    let bytes = answer.encode();
    node.exchange.spent(bytes.len() + ANSWER_HEAD);
    node.exchange.told(&peer, &answer, now);
    bytes
}

#[test]
fn can_tell_everyone_what_is_in_flight() {
    let mut now = Instant::now();
    let mut nodes = fleet(7, now);
    for (index, node) in nodes.iter_mut().enumerate() {
        node.own.sent = vec![InFlight { key: key("engine"), count: index as u32 }];
    }
    for _ in 0..10 {
        now += PERIOD;
        round(&mut nodes, now, |_, _| true);
    }
    for (index, node) in nodes.iter().enumerate() {
        assert_eq!(node.view.sent("engine", now), 21 - index as u32);
    }
    nodes[6].own.sent.clear();
    for _ in 0..10 {
        now += PERIOD;
        round(&mut nodes, now, |_, _| true);
    }
    assert_eq!(nodes[0].view.sent("engine", now), 15, "what has ended is told as well");
}

// Everything changes all the time: a hundred servers' counts move at every node between any two
// frames. The budget must hold all the same, and no server's count may stay untold.
#[test]
fn can_keep_its_budget_when_everything_moves() {
    let mut now = Instant::now();
    let mut nodes = fleet(8, now);
    let seconds = 120;
    for step in 0..seconds * 2 {
        now += PERIOD;
        for (index, node) in nodes.iter_mut().enumerate() {
            let count = |server: u32| 1 + (server * 7 + step as u32 * 13 + index as u32) % 30;
            let one =
                |server| InFlight { key: key(&format!("engine-{server}")), count: count(server) };
            node.own.sent = (0..100).map(one).collect();
        }
        round(&mut nodes, now, |_, _| true);
    }
    for node in &nodes {
        let rate = node.exchange.bytes() / seconds;
        assert!(rate <= u64::from(RATE) + u64::from(RATE) / 10, "{rate} bytes a second");
        for (_, member) in node.view.members() {
            assert!(member.sent.len() == 100, "{} of 100 servers told", member.sent.len());
        }
    }
}

// Frames of one direction are lost for a while, so their writer can't know what was taken in.
// Counts that it believes told must come right by themselves.
#[test]
fn can_heal_after_lost_frames() {
    let mut now = Instant::now();
    let mut nodes = fleet(3, now);
    for step in 0..60 {
        now += PERIOD;
        nodes[0].own.sent = vec![InFlight { key: key("engine"), count: step / 10 }];
        round(&mut nodes, now, |from, to| step >= 40 || (from, to) != (0, 1));
    }
    for _ in 0..20 {
        now += PERIOD;
        round(&mut nodes, now, |_, _| true);
    }
    assert_eq!(nodes[1].view.sent("engine", now), 5);
}

// A region is cut off and comes back. Silent peers must be tried again, or the two sides would
// never notice that the partition is over; and trying them must not eat the budget.
#[test]
fn can_notice_that_a_partition_is_over() {
    let mut now = Instant::now();
    let mut nodes = fleet(6, now);
    let apart = |from: usize, to: usize| (from < 3) == (to < 3);
    for _ in 0..120 {
        now += PERIOD;
        round(&mut nodes, now, apart);
    }
    let silent = |node: &Node, now| {
        let standings = node.view.members().map(|(_, m)| node.view.standing(m, now));
        standings.filter(|standing| *standing == fleet::Standing::Silent).count()
    };
    assert_eq!(nodes.iter().map(|node| silent(node, now)).collect::<Vec<_>>(), [3; 6]);
    for _ in 0..16 {
        now += PERIOD;
        round(&mut nodes, now, |_, _| true);
    }
    assert_eq!(nodes.iter().map(|node| silent(node, now)).collect::<Vec<_>>(), [0; 6]);
}

// A node is told to stop. If peers learned it only in their turn, they would count on its places,
// and it on theirs, for seconds longer than need be.
#[test]
fn can_tell_all_at_once_that_it_leaves() {
    let mut now = Instant::now();
    let mut nodes = fleet(7, now);
    for _ in 0..10 {
        now += PERIOD;
        round(&mut nodes, now, |_, _| true);
    }
    nodes[3].own.leaving = true;
    now += PERIOD;
    round(&mut nodes, now, |_, _| true);
    for node in nodes.iter().filter(|node| node.own.name != "entry-3") {
        let (_, member) = node.view.members().find(|(name, _)| *name == "entry-3").unwrap();
        assert!(member.leaving(), "{} hasn't heard", node.own.name);
    }
}

// One cell is overloaded while another has room. The sums of a cell reach each node of the other
// through the few links between them, or callers would be refused beside empty servers; and what
// passes on a link doesn't grow with the cells' servers.
#[test]
fn can_tell_another_cell_of_room() {
    let mut now = Instant::now();
    let mut nodes = fleet(8, now);
    for (index, node) in nodes.iter_mut().enumerate() {
        let cell = index / 4;
        let mates = (0..4).map(|mate| key(&format!("entry-{}", cell * 4 + mate)));
        node.view.set_mates(mates.collect());
        node.own.sent =
            (0..80).map(|s| InFlight { key: key(&format!("engine-{s}")), count: 3 }).collect();
        let row = wire::Cell { cell: cell as u32, age_ms: 0, tier: 1, waiting: 0, free: 9 };
        node.own.cells = vec![row];
    }
    for _ in 0..60 {
        now += PERIOD;
        round(&mut nodes, now, |_, _| true);
    }
    for (index, node) in nodes.iter().enumerate() {
        let other = 1 - index as u32 / 4;
        let known: Vec<_> =
            node.view.cells().copied().filter(|(_, row)| row.cell == other).collect();
        assert_eq!(fleet::cells::spill(&known, 1, 5, now), Some(other), "{}", node.own.name);
        assert_eq!(fleet::cells::spill(&known, 0, 5, now), None);
        let foreign = node.view.others().map(|(_, member)| member.sent.len()).max();
        assert_eq!(foreign, Some(0), "no counts of servers between cells");
    }
}
