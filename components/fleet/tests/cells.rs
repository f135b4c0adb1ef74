//! Tests the sizes of cells, and how many members move between cells when the fleet changes.

use std::collections::{BTreeMap, BTreeSet};

use fleet::cells::{Division, Member, Size, divide};

/// Number of cells of the large fleet.
const CELL_COUNT: u32 = 112;
const SIZE: Size = Size { nodes: 8, servers: 100 };

/// Members of one kind, spread over failure domains and groups.
fn members(kind: &str, count: u32, domains: u32, groups: u32) -> Vec<Member> {
    let member = |index: u32| Member {
        key: wire::key(&format!("{kind}-{index}")),
        domain: index % domains,
        group: index / domains % groups,
    };
    (0..count).map(member).collect()
}

/// Number of members that are in another cell after a change.
fn moved_count(before: &BTreeMap<u32, u32>, after: &BTreeMap<u32, u32>) -> usize {
    before.iter().filter(|(key, cell)| after.get(key).is_some_and(|now| now != *cell)).count()
}

/// Sizes of the smallest and the largest cell.
fn size_range(cells: &BTreeMap<u32, u32>, count: u32) -> (usize, usize) {
    let size = |cell| cells.values().filter(|other| **other == cell).count();
    let sizes: Vec<_> = (0..count).map(size).collect();
    (*sizes.iter().min().unwrap(), *sizes.iter().max().unwrap())
}

fn large_fleet() -> (Vec<Member>, Vec<Member>, Division) {
    let nodes = members("entry", 850, 9, 1);
    let servers = members("engine", 10_000, 9, 9);
    let division = divide(&nodes, &servers, SIZE);
    (nodes, servers, division)
}

#[test]
fn can_use_one_cell_for_a_small_fleet() {
    for (nodes, servers) in [(7, 15), (7, 12), (1, 1), (0, 0), (15, 99)] {
        let division =
            divide(&members("entry", nodes, 3, 1), &members("engine", servers, 3, 3), SIZE);
        assert_eq!(division.count, 1, "{nodes} nodes, {servers} servers");
    }
}

#[test]
fn can_make_cells_of_even_size() {
    let (_, _, division) = large_fleet();
    assert_eq!(division.count, CELL_COUNT);
    let nodes = size_range(&division.nodes, CELL_COUNT);
    let servers = size_range(&division.servers, CELL_COUNT);
    println!("{CELL_COUNT} cells of {nodes:?} nodes and {servers:?} servers");
    assert!(nodes.0 >= 7 && nodes.1 <= 8 && servers.0 >= 85 && servers.1 <= 100);
}

// A failure domain is lost, as happens a few times a year. Each cell must keep nodes for its callers and servers for each model;
// otherwise the callers of one cell would be refused while other cells have room.
#[test]
fn can_serve_in_each_cell_when_a_domain_is_lost() {
    let (nodes, servers, division) = large_fleet();
    for lost in 0..9 {
        let alive = nodes.iter().filter(|node| node.domain != lost);
        let mut left: BTreeMap<u32, u32> = BTreeMap::new();
        alive.for_each(|node| *left.entry(division.nodes[&node.key]).or_default() += 1);
        assert_eq!(left.len(), CELL_COUNT as usize);
        assert!(left.values().all(|nodes| *nodes >= 6), "{left:?}");
        let alive = servers.iter().filter(|server| server.domain != lost);
        let served: BTreeSet<_> =
            alive.map(|server| (division.servers[&server.key], server.group)).collect();
        assert_eq!(served.len(), CELL_COUNT as usize * 9, "each cell has each model");
    }
}

// In a large fleet nodes are replaced 540 times a day. If each replacement moved many other nodes, peers
// would lose what they know of each other faster than they can report it again.
#[test]
fn can_move_few_nodes_when_one_is_replaced() {
    let (nodes, servers, division) = large_fleet();
    let mut total = 0;
    let mut worst = 0;
    for index in 0..10 {
        let mut changed = nodes.clone();
        changed[index * 85].key = wire::key(&format!("replacement-{index}"));
        let after = divide(&changed, &servers, SIZE);
        assert_eq!(after.count, division.count);
        let moves = moved_count(&division.nodes, &after.nodes);
        total += moves;
        worst = moves.max(worst);
    }
    println!("moved by a replacement: {} of 850 on average, {worst} at worst", total as f64 / 10.0);
    assert!(total / 10 <= 850 / 50 && worst <= 850 / 20, "{total} in 10, {worst} at worst");
}

// One revision removes a hundred of the servers; most of the others must stay in their cells.
#[test]
fn can_keep_most_servers_in_place() {
    let (nodes, servers, division) = large_fleet();
    let after = divide(&nodes, &servers[..9_900], SIZE);
    assert_eq!(after.count, division.count);
    let moves = moved_count(&division.servers, &after.servers);
    println!("moved by 100 servers leaving: {moves} of 9900");
    assert!(moves <= 1_500, "{moves}");
}

#[test]
fn can_agree_whatever_the_order_of_the_list() {
    let (mut nodes, mut servers, division) = large_fleet();
    nodes.reverse();
    servers.rotate_left(1234);
    assert_eq!(divide(&nodes, &servers, SIZE), division);
}
