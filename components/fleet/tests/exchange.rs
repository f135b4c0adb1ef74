//! Tests what nodes report to each other, and how many bytes it takes.

use std::time::{Duration, Instant};

use fleet::exchange::{ANSWER_OVERHEAD_BYTES, Exchange, LocalState, REQUEST_OVERHEAD_BYTES};
use fleet::{ListedVm, View};
use wire::{Frame, InFlight, key};

const PERIOD: Duration = Duration::from_millis(500);
const BYTES_PER_SECOND: u32 = 1_200;

struct Node {
    local: LocalState,
    view: View,
    exchange: Exchange,
}

fn fleet(count: usize, now: Instant) -> Vec<Node> {
    let name = |index: usize| format!("entry-{index}");
    let listed = |index: usize| ListedVm {
        name: name(index),
        address: name(index),
        domain: "riga-a".to_string(),
    };
    let node = |index: usize| {
        let mut view = View::new();
        view.apply_list((0..count).filter(|other| *other != index).map(listed), now);
        let local = LocalState { name: name(index), incarnation: 1, ..Default::default() };
        Node { local, view, exchange: Exchange::new(BYTES_PER_SECOND, now) }
    };
    (0..count).map(node).collect()
}

/// Runs the exchange of every node once; `link` says whether frames pass from one node to another.
fn run_round(nodes: &mut [Node], now: Instant, link: impl Fn(usize, usize) -> bool) {
    for from in 0..nodes.len() {
        let node = &mut nodes[from];
        node.view.record_tick(now, PERIOD);
        for target in node.exchange.next_targets(&node.local, &node.view, now) {
            let to = nodes.iter().position(|peer| peer.local.name == target.name).unwrap();
            let Node { local, view, exchange } = &mut nodes[from];
            let frame = exchange.build_frame(local, &target.name, view, now);
            let bytes = frame.encode();
            exchange.record_sent(bytes.len() + REQUEST_OVERHEAD_BYTES);
            if !link(from, to) {
                continue;
            }
            let answer = answer(&mut nodes[to], &bytes, now);
            if link(to, from) {
                let node = &mut nodes[from];
                node.exchange.record_delivery(&target.name, &frame, now);
                node.view.receive(Frame::decode(&answer).unwrap(), now);
            }
        }
    }
}

/// Handles a frame at its receiver; returns the answer.
fn answer(node: &mut Node, bytes: &[u8], now: Instant) -> Vec<u8> {
    let frame = Frame::decode(bytes).unwrap();
    let peer = frame.from.clone();
    node.view.receive(frame, now);
    let answer = node.exchange.build_frame(&node.local, &peer, &node.view, now);
    let bytes = answer.encode();
    node.exchange.record_sent(bytes.len() + ANSWER_OVERHEAD_BYTES);
    node.exchange.record_delivery(&peer, &answer, now);
    bytes
}

#[test]
fn can_report_requests_in_flight_to_all() {
    let mut now = Instant::now();
    let mut nodes = fleet(7, now);
    for (index, node) in nodes.iter_mut().enumerate() {
        node.local.in_flight = vec![InFlight { key: key("engine"), count: index as u32 }];
    }
    for _ in 0..10 {
        now += PERIOD;
        run_round(&mut nodes, now, |_, _| true);
    }
    for (index, node) in nodes.iter().enumerate() {
        assert_eq!(node.view.peers_in_flight("engine", now), 21 - index as u32);
    }
    nodes[6].local.in_flight.clear();
    for _ in 0..10 {
        now += PERIOD;
        run_round(&mut nodes, now, |_, _| true);
    }
    assert_eq!(
        nodes[0].view.peers_in_flight("engine", now),
        15,
        "requests that have ended are reported as well"
    );
}

// At every node the counts of a hundred servers change between any two frames. The exchange must keep to
// its budget all the same, and every server's count must be reported at some time.
#[test]
fn can_keep_to_its_budget_when_all_counts_change() {
    let mut now = Instant::now();
    let mut nodes = fleet(8, now);
    let seconds = 120;
    for step in 0..seconds * 2 {
        now += PERIOD;
        for (index, node) in nodes.iter_mut().enumerate() {
            let count = |server: u32| 1 + (server * 7 + step as u32 * 13 + index as u32) % 30;
            let row =
                |server| InFlight { key: key(&format!("engine-{server}")), count: count(server) };
            node.local.in_flight = (0..100).map(row).collect();
        }
        run_round(&mut nodes, now, |_, _| true);
    }
    for node in &nodes {
        let rate = node.exchange.bytes_sent() / seconds;
        assert!(
            rate <= u64::from(BYTES_PER_SECOND) + u64::from(BYTES_PER_SECOND) / 10,
            "{rate} bytes a second"
        );
        for (_, member) in node.view.members() {
            assert!(
                member.in_flight.len() == 100,
                "{} of 100 servers reported",
                member.in_flight.len()
            );
        }
    }
}

// Frames in one direction are lost for a while, so that their sender can't know what has arrived. Counts
// that it wrongly considers reported must be corrected without further action.
#[test]
fn can_correct_counts_after_lost_frames() {
    let mut now = Instant::now();
    let mut nodes = fleet(3, now);
    for step in 0..60 {
        now += PERIOD;
        nodes[0].local.in_flight = vec![InFlight { key: key("engine"), count: step / 10 }];
        run_round(&mut nodes, now, |from, to| step >= 40 || (from, to) != (0, 1));
    }
    for _ in 0..20 {
        now += PERIOD;
        run_round(&mut nodes, now, |_, _| true);
    }
    assert_eq!(nodes[1].view.peers_in_flight("engine", now), 5);
}

// A region is cut off and comes back. Unreachable peers must be tried again, or the two sides would never
// notice that the partition is over; and the attempts must not use up the budget.
#[test]
fn can_notice_that_a_partition_is_over() {
    let mut now = Instant::now();
    let mut nodes = fleet(6, now);
    let same_side = |from: usize, to: usize| (from < 3) == (to < 3);
    for _ in 0..120 {
        now += PERIOD;
        run_round(&mut nodes, now, same_side);
    }
    let unreachable_count = |node: &Node, now| {
        let statuses = node.view.members().map(|(_, m)| node.view.status(m, now));
        statuses.filter(|status| *status == fleet::MemberStatus::Unreachable).count()
    };
    assert_eq!(nodes.iter().map(|node| unreachable_count(node, now)).collect::<Vec<_>>(), [3; 6]);
    for _ in 0..16 {
        now += PERIOD;
        run_round(&mut nodes, now, |_, _| true);
    }
    assert_eq!(nodes.iter().map(|node| unreachable_count(node, now)).collect::<Vec<_>>(), [0; 6]);
}

// A node is told to stop. If it reported that to its peers only in turn, the division of slots would
// include it for seconds longer than necessary.
#[test]
fn can_report_to_all_at_once_that_it_leaves() {
    let mut now = Instant::now();
    let mut nodes = fleet(7, now);
    for _ in 0..10 {
        now += PERIOD;
        run_round(&mut nodes, now, |_, _| true);
    }
    nodes[3].local.leaving = true;
    now += PERIOD;
    run_round(&mut nodes, now, |_, _| true);
    for node in nodes.iter().filter(|node| node.local.name != "entry-3") {
        let (_, member) = node.view.members().find(|(name, _)| *name == "entry-3").unwrap();
        assert!(member.is_leaving(), "{} doesn't know", node.local.name);
    }
}

// One cell is overloaded while another has room. The sums of a cell must reach each node of the other cell
// through the few exchanges between them, or callers would be refused although servers are free. What
// passes between cells must not grow with their numbers of servers.
#[test]
fn can_report_free_slots_to_another_cell() {
    let mut now = Instant::now();
    let mut nodes = fleet(8, now);
    for (index, node) in nodes.iter_mut().enumerate() {
        let cell = index / 4;
        let cell_nodes = (0..4).map(|index| key(&format!("entry-{}", cell * 4 + index)));
        node.view.set_cell_nodes(cell_nodes.collect());
        node.local.in_flight =
            (0..80).map(|s| InFlight { key: key(&format!("engine-{s}")), count: 3 }).collect();
        let row = wire::Cell { cell: cell as u32, age_ms: 0, tier: 1, waiting: 0, free: 9 };
        node.local.cells = vec![row];
    }
    for _ in 0..60 {
        now += PERIOD;
        run_round(&mut nodes, now, |_, _| true);
    }
    for (index, node) in nodes.iter().enumerate() {
        let other = 1 - index as u32 / 4;
        let known: Vec<_> =
            node.view.cells().copied().filter(|(_, row)| row.cell == other).collect();
        assert_eq!(
            fleet::cells::spill_target(&known, 1, 5, now),
            Some(other),
            "{}",
            node.local.name
        );
        assert_eq!(fleet::cells::spill_target(&known, 0, 5, now), None);
        let foreign =
            node.view.other_cell_members().map(|(_, member)| member.in_flight.len()).max();
        assert_eq!(foreign, Some(0), "no counts of servers between cells");
    }
}
