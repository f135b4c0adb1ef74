//! Nodes acting together while links, lists, processes and engines fail: five routers before three
//! engines in one process, over loopback on virtual time. Judged by what callers receive and by
//! how far an engine is run over.

mod common;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::rc::Rc;
use std::time::Duration;

use common::{PACE, post, session};
use configuration::wire::{Role, Vm};
use fakes::{Engine, Link, Pace, Plain, Platform, Way};
use router::Router;
use settings::node::Node;

/// Two nodes in riga-a, two in riga-b, one in kurzeme-a.
const DOMAINS: [&str; 5] = ["riga-a", "riga-a", "riga-b", "riga-b", "kurzeme-a"];
const ENGINES: usize = 3;
const LOST: Way = Way { deaf: true, mute: true, delay: Duration::ZERO };
/// Time between two calls: a bit above half of what the engines bear.
const CALLS: Duration = Duration::from_millis(20);
/// The same for more than twice of what they bear.
const MANY_CALLS: Duration = Duration::from_millis(5);

struct Fleet {
    engines: Vec<Engine>,
    _desk: Plain,
    /// The configuration service, and one list for each node, so that each reaches its peers over
    /// links of its own.
    platforms: Vec<Platform>,
    routers: Vec<Option<Router>>,
    links: BTreeMap<(usize, usize), Link>,
}

impl Fleet {
    async fn start(published: bool) -> Self {
        let mut engines = vec![];
        for _ in 0..ENGINES {
            engines.push(Engine::start(PACE).await.unwrap());
        }
        let desk = Plain::start().await.unwrap();
        let mut fleet = Fleet {
            engines,
            _desk: desk,
            platforms: vec![],
            routers: vec![],
            links: BTreeMap::new(),
        };
        let tree = common::tree(&fleet.engines, &fleet._desk);
        for index in 0..DOMAINS.len() {
            fleet.add(&tree, index).await;
        }
        if published {
            fleet.join().await;
        }
        tokio::time::sleep(Duration::from_secs(6)).await;
        fleet
    }

    async fn add(&mut self, tree: &str, index: usize) {
        let platform = Platform::start().await.unwrap();
        platform.publish(1, &[("tree", tree)]);
        let domain = DOMAINS[index % DOMAINS.len()].to_string();
        let node = Node { domain, ..common::node(index, &platform) };
        self.routers.push(Some(Router::start(node).await.unwrap()));
        self.platforms.push(platform);
    }

    /// Links all nodes that live, and publishes them.
    async fn join(&mut self) {
        for from in 0..self.routers.len() {
            for to in (0..self.routers.len()).filter(|to| *to != from) {
                let Some(router) = &self.routers[to] else { continue };
                if let Entry::Vacant(entry) = self.links.entry((from, to)) {
                    entry.insert(Link::start(router.peer_address()).await.unwrap());
                }
            }
            let links = self.links.iter().filter(|((near, _), _)| *near == from);
            let vms = links.map(|((_, to), link)| Vm {
                name: format!("entry-{to}"),
                role: Role::Entry,
                address: link.address().to_string(),
                domain: DOMAINS[to % DOMAINS.len()].to_string(),
                leaving: false,
            });
            self.platforms[from].list(vms.collect());
        }
    }

    fn set(&self, way: Way, which: impl Fn(usize, usize) -> bool) {
        let chosen = self.links.iter().filter(|((from, to), _)| which(*from, *to));
        chosen.for_each(|(_, link)| link.set(way));
    }

    fn live(&self) -> Vec<std::net::SocketAddr> {
        self.routers.iter().flatten().map(Router::caller_address).collect()
    }
}

/// Bytes a second that a node sends to its peers, heads included, while `seconds` pass.
async fn control(fleet: &Fleet, node: usize, seconds: u64) -> u64 {
    let bytes = || -> u64 {
        let there = fleet.links.iter().filter(|((from, _), _)| *from == node);
        let back = fleet.links.iter().filter(|((_, to), _)| *to == node);
        let there: u64 = there.map(|(_, link)| link.bytes().0).sum();
        there + back.map(|(_, link)| link.bytes().1).sum::<u64>()
    };
    let before = bytes();
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    (bytes() - before) / seconds
}

/// What callers received, by tier: whole answers, true refusals, and all else.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    complete: u32,
    refused: u32,
    other: u32,
}

/// The most that an engine had running and waiting at once, over its places.
async fn watch(addresses: Vec<String>, most: Rc<Cell<u32>>) {
    let client = engine::Client::new(Duration::from_secs(1), Duration::from_secs(1));
    loop {
        for address in &addresses {
            if let Ok(load) = client.fetch_load(address, Duration::from_secs(1)).await {
                most.set(most.get().max(load.running + load.queued));
            }
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
}

/// Calls all live nodes in turn for so long.
async fn load(
    fleet: &Fleet,
    seconds: u64,
    calls_every: Duration,
    only: Option<usize>,
) -> BTreeMap<&'static str, Tally> {
    let tallies: Rc<RefCell<BTreeMap<&str, Tally>>> = Rc::default();
    let mut calls = vec![];
    let live = fleet.live();
    let count = Duration::from_secs(seconds).as_millis() / calls_every.as_millis();
    for index in 0..count as usize {
        let class = if index % 3 == 0 { "draft" } else { "booking" };
        let node = only.unwrap_or(index % live.len());
        let (address, tallies) = (live[node], tallies.clone());
        calls.push(actix_rt::spawn(async move {
            let body = r#"{"model":"small","max_tokens":10,"messages":[]}"#;
            let header = format!("x-class: {class}\r\n");
            let answer = session(address, &post("/v1/chat/completions", &header, body)).await;
            let mut tallies = tallies.borrow_mut();
            let tally = tallies.entry(class).or_default();
            match () {
                () if answer.contains("x-outcome: complete") => tally.complete += 1,
                () if answer.contains("x-outcome: not-run") => tally.refused += 1,
                () => tally.other += 1,
            }
        }));
        tokio::time::sleep(calls_every).await;
    }
    for call in calls {
        call.await.unwrap();
    }
    tallies.take()
}

enum Fault {
    None,
    /// The regions lose each other.
    Partition,
    /// Nothing comes to node 0 from node 1, though the other way works.
    Deaf,
    /// The list is empty for all.
    NoList,
    /// One of five nodes goes and another comes, which the list learns much later.
    Replaced,
    /// Both nodes of a failure domain go at once.
    Domain,
    /// One engine becomes slow.
    Straggler,
    /// All that nodes tell each other comes late.
    Late,
    /// The regions lose each other and one engine is slow.
    Both,
    /// All calls go to one node.
    Hot,
    /// More than twice the calls that the engines bear.
    Overload,
    /// The same while the regions have lost each other.
    OverloadApart,
}

async fn strike(fleet: &mut Fleet, fault: &Fault) {
    let slow = Pace { token: PACE.token * 8, ..PACE };
    let across = |from: usize, to: usize| (from == 4) != (to == 4);
    match fault {
        Fault::None | Fault::Hot | Fault::Overload => {}
        Fault::Partition | Fault::OverloadApart => fleet.set(LOST, across),
        Fault::Deaf => {
            fleet.set(Way { mute: true, ..Way::default() }, |from, to| (from, to) == (0, 1));
            fleet.set(Way { deaf: true, ..Way::default() }, |from, to| (from, to) == (1, 0));
        }
        Fault::NoList => fleet.platforms.iter().for_each(|platform| platform.list(vec![])),
        Fault::Replaced => {
            fleet.routers[1] = None;
            let tree = common::tree(&fleet.engines, &fleet._desk);
            fleet.add(&tree, 5).await;
        }
        Fault::Domain => {
            fleet.routers[2] = None;
            fleet.routers[3] = None;
        }
        Fault::Straggler => fleet.engines[0].set_pace(slow),
        Fault::Late => {
            fleet.set(Way { delay: Duration::from_millis(900), ..Way::default() }, |_, _| true);
        }
        Fault::Both => {
            fleet.set(LOST, across);
            fleet.engines[0].set_pace(slow);
        }
    }
    // Time for the fault to be noticed, and for what was in flight to end.
    tokio::time::sleep(Duration::from_millis(500)).await;
}

async fn heal(fleet: &mut Fleet) {
    fleet.set(Way::default(), |_, _| true);
    fleet.engines[0].set_pace(PACE);
    fleet.join().await;
    tokio::time::sleep(Duration::from_secs(6)).await;
}

/// Plays one row; returns what callers received during the fault and after it, and the most that
/// an engine had at once.
async fn play(fault: &Fault, published: bool) -> ([BTreeMap<&'static str, Tally>; 2], u32) {
    let mut fleet = Fleet::start(published).await;
    let addresses = fleet.engines.iter().map(Engine::address).collect();
    let most = Rc::new(Cell::new(0));
    let watcher = actix_rt::spawn(watch(addresses, most.clone()));
    strike(&mut fleet, fault).await;
    let only = matches!(fault, Fault::Hot).then_some(0);
    let every = match fault {
        Fault::Overload | Fault::OverloadApart => MANY_CALLS,
        _ => CALLS,
    };
    let during = load(&fleet, 15, every, only).await;
    if published {
        heal(&mut fleet).await;
    }
    let after = load(&fleet, 5, every, only).await;
    watcher.abort();
    ([during, after], most.get())
}

// Callers keep calling all nodes that live while each fault of the table lasts, and after it. No
// caller may get anything but its whole answer or the word that nothing ran; bookings are hardly
// ever refused where the engines have room for them; and an engine never has more than the bound:
// its four places, half of them again, and one for each node.
#[actix_rt::test]
async fn can_serve_through_faults() {
    tokio::time::pause();
    let table: [(&str, Fault, f64); 12] = [
        ("none", Fault::None, 0.99),
        ("regions apart", Fault::Partition, 0.99),
        ("deaf link", Fault::Deaf, 0.99),
        ("empty list", Fault::NoList, 0.99),
        ("a fifth replaced, list stale", Fault::Replaced, 0.99),
        ("domain lost", Fault::Domain, 0.99),
        ("straggler", Fault::Straggler, 0.9),
        ("late frames", Fault::Late, 0.99),
        ("regions apart and a straggler", Fault::Both, 0.9),
        ("one hot node", Fault::Hot, 0.9),
        ("overload", Fault::Overload, 0.4),
        ("overload, regions apart", Fault::OverloadApart, 0.4),
    ];
    let bound = PACE.slots + PACE.slots / 2 + DOMAINS.len() as u32;
    for (name, fault, served) in table {
        let (tallies, most) = play(&fault, true).await;
        println!("{name}: most {most}, during and after {tallies:?}");
        for tallies in tallies {
            assert!(tallies.values().all(|tally| tally.other == 0), "{name}: {tallies:?}");
            let Tally { complete, refused, .. } = tallies["booking"];
            let part = f64::from(complete) / f64::from(complete + refused);
            assert!(part >= served, "{name}: {tallies:?}");
        }
        assert!(most > 1, "{name}: the watch saw nothing");
        assert!(most <= bound, "{name}: {most} at an engine of {} places", PACE.slots);
    }
}

// The same overload with no list ever published: each node fills the engines as if it were alone.
// This is what sharing prevents, and it shows that the bound above can be broken.
#[actix_rt::test]
async fn can_overrun_engines_without_sharing() {
    tokio::time::pause();
    let (tallies, most) = play(&Fault::Overload, false).await;
    println!("alone: most {most}, during and after {tallies:?}");
    assert!(most > PACE.slots + PACE.slots / 2 + DOMAINS.len() as u32, "{most}");
}

// Control shares the narrow link between regions with callers, so its bytes are counted on the
// wire, where the heads that the HTTP library writes count as well.
#[actix_rt::test]
async fn can_keep_the_byte_budget_on_the_wire() {
    tokio::time::pause();
    let fleet = Fleet::start(true).await;
    for node in 0..DOMAINS.len() {
        let bytes = control(&fleet, node, 30).await;
        println!("entry-{node} sends {bytes} B/s");
        assert!(bytes > 300, "entry-{node} hardly talks: {bytes} B/s");
        assert!(bytes <= 1_200 + 120, "entry-{node} sends {bytes} B/s");
    }
}
