use std::time::{Duration, Instant};

use overload::{Row, TIERS};
use wire::gossip::{Report, Summary};

use super::{Exchange, LIFETIME, from_wire, to_wire};

fn row(workspace: u32, tier: u8, rate: f64) -> Row {
    Row { workspace, tier, rate, weight: 1.0 }
}

fn totals(highest: f64, next: f64) -> [f64; TIERS] {
    std::array::from_fn(|tier| [highest, next].get(tier).copied().unwrap_or_default())
}

/// A workspace that sends to nodes of several seeds is one row with its whole load; nodes are counted once, by their last
/// report. Otherwise a workspace would be over its share in one cluster only, or counted twice.
#[test]
fn sums_are_over_nodes_and_other_seeds() {
    let (exchange, now) = (Exchange::default(), Instant::now());
    let report = |name: &str, rate: f64| {
        let offered = (vec![row(7, 1, rate), row(8, 0, 0.5)], totals(0.5, rate));
        exchange.nodes.borrow_mut().record(name, offered, now);
    };
    report("a", 9.0);
    report("a", 2.0);
    report("b", 1.0);
    exchange.seeds.borrow_mut().record("c", (vec![row(7, 1, 4.0)], totals(0.0, 6.0)), now);
    let cluster = exchange.cluster(now);
    assert_eq!(cluster, (vec![row(7, 1, 3.0), row(8, 0, 1.0)], totals(1.0, 3.0)));
    assert_eq!(exchange.fleet(now), (vec![row(7, 1, 7.0), row(8, 0, 1.0)], totals(1.0, 9.0)));
}

/// A node that has failed is forgotten: its former load must not keep the fleet overloaded.
#[test]
fn old_reports_are_not_counted() {
    let (exchange, now) = (Exchange::default(), Instant::now());
    exchange.nodes.borrow_mut().record("a", (vec![], totals(5.0, 0.0)), now);
    let later = now + LIFETIME / 2;
    exchange.nodes.borrow_mut().record("b", (vec![], totals(1.0, 0.0)), later);
    assert_eq!(exchange.fleet(later).1, totals(6.0, 0.0));
    assert_eq!(exchange.fleet(now + LIFETIME + Duration::from_millis(1)).1, totals(1.0, 0.0));
}

/// Rows arrive as they were sent, and a fleet that isn't loaded sends no bytes for them.
#[test]
fn rows_are_exchanged_and_omitted_while_empty() {
    let offered = (vec![row(0xffff_0007, 1, 2.25)], totals(0.5, 2.25));
    let (offers, by_tier) = to_wire(&offered);
    let report = Report { offers: offers.clone(), offered: by_tier, ..Report::default() };
    let received = Report::decode(&report.encode()).expect("the report is valid");
    assert_eq!(from_wire(&received.offers, &received.offered), offered);
    assert!(report.encode().len() < Report::default().encode().len() + 25);
    let (offers, offered) = to_wire(&(vec![], totals(0.0, 0.0)));
    let summary = Summary { offers, offered, ..Summary::default() };
    assert_eq!(summary.encode(), Summary::default().encode());
}
