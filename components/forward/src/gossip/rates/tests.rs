//! A node and two seeds, without a network.

use super::*;

const SLOW: u32 = 22_000;
const ENGINE: u32 = 7;

/// A node that asks a seed, which samples of others reach too.
struct Fixture {
    node: Rates,
    seed: Rates,
    now: Instant,
    /// Whether the node knows a position of this process of the seed.
    same_process: bool,
    starts: HashMap<u32, ids::Server>,
}

impl Fixture {
    /// Engines 0 to 199, of which the seed knows that they are slow.
    fn new() -> Self {
        let mut keys = slotmap::SlotMap::<ids::Server, ()>::with_key();
        let starts = (0..200).map(|engine| (engine, keys.insert(()))).collect();
        let (node, seed) = (Rates::default(), Rates::default());
        let mut fixture = Fixture { node, seed, now: Instant::now(), same_process: false, starts };
        (0..200).for_each(|engine| fixture.measure(engine, SLOW));
        fixture.refresh();
        fixture
    }

    /// Three samples of an engine at the seed.
    fn measure(&mut self, engine: u32, rate: u32) {
        let row = Rate { server: engine, hundreds: rate / UNIT, samples: 0 };
        (0..3).for_each(|_| self.seed.record(row, self.starts[&engine], "a", self.now));
    }

    fn refresh(&mut self) {
        for rates in [&mut self.node, &mut self.seed] {
            rates.refresh(|key| self.starts.get(&key).copied(), self.now);
        }
    }

    /// One report of the node and its answer; returns the number of rows.
    fn exchange(&mut self) -> usize {
        let (rows, version) = self.seed.answer_node(self.node.version, self.same_process);
        self.same_process = true;
        self.node.apply_fleet(&rows, version, self.now);
        rows.len()
    }

    /// The node's rate of the engine.
    fn rate(&self) -> Option<u32> {
        let source = if self.node.is_answered(self.now) { Source::Seed } else { Source::Ledger };
        self.node.in_force(source).get(&ENGINE).copied()
    }
}

/// A peer that doesn't know the fields isn't sent all rows in each answer; one that does has them after a few reports,
/// none of which is larger than allowed.
#[test]
fn rates_are_sent_to_those_that_ask() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.seed.answer_node(0, true), (vec![], FIRST_VERSION));
    let rows: Vec<_> = (0..4).map(|_| fixture.exchange()).collect();
    assert_eq!(rows, [0, MAX_SUMMARY_ROWS, 200 - MAX_SUMMARY_ROWS, 0]);
    assert_eq!(fixture.rate(), Some(SLOW));
    assert_eq!(fixture.seed.answer_node(fixture.node.version, true), (vec![], 0));
}

/// A fleet at the assumed rate has nothing added to its answers.
#[test]
fn assumed_rates_are_not_sent() {
    let mut fixture = Fixture::new();
    fixture.seed = Rates::default();
    (0..200).for_each(|engine| fixture.measure(engine, PREFILL_TOKENS_PER_SECOND * 9 / 10));
    fixture.refresh();
    assert_eq!(fixture.seed.answer_node(0, true), (vec![], 0));
}

/// The seed's process restarts: the node keeps its rates until the seed has its own, and until 60 s have passed.
#[test]
fn seed_restarts() {
    let mut fixture = Fixture::new();
    (0..3).for_each(|_| _ = fixture.exchange());
    (fixture.seed, fixture.same_process) = (Rates::default(), false);
    (0..3).for_each(|_| _ = fixture.exchange());
    assert_eq!(fixture.rate(), Some(SLOW));
    fixture.measure(ENGINE, 2 * SLOW);
    fixture.refresh();
    (0..2).for_each(|_| _ = fixture.exchange());
    assert_eq!(fixture.rate(), Some(2 * SLOW));
    assert_eq!(fixture.node.received.len(), 200);
    fixture.now += KEPT_FOR;
    fixture.node.answered = Some(fixture.now);
    fixture.refresh();
    assert_eq!(fixture.node.received.len(), 1);
}

/// No seed answers: the last rates count for 20 s, then those of the node's own samples. An answer to a report from before
/// isn't taken for complete.
#[test]
fn seeds_are_silent() {
    let mut fixture = Fixture::new();
    (0..3).for_each(|_| _ = fixture.exchange());
    let (version, answered) = (fixture.node.version, fixture.now);
    fixture.now += SILENCE_TIMEOUT - Duration::from_millis(1);
    let row = Rate { server: ENGINE, hundreds: 400, samples: 0 };
    let server = fixture.starts[&ENGINE];
    (0..3).for_each(|_| fixture.node.record(row, server, "n", fixture.now));
    fixture.refresh();
    assert_eq!(fixture.rate(), Some(SLOW));
    fixture.now = answered + SILENCE_TIMEOUT;
    fixture.refresh();
    assert_eq!(fixture.rate(), Some(40_000));
    let (rows, version) = fixture.seed.answer_node(version - 1, true);
    fixture.node.apply_fleet(&rows, version, fixture.now);
    assert_eq!(fixture.node.version, 0);
}

/// An engine restarts under its name: no sample of its previous start counts at the seed, and the node is sent that.
#[test]
fn engine_restarts() {
    let mut fixture = Fixture::new();
    (0..3).for_each(|_| _ = fixture.exchange());
    let mut keys = slotmap::SlotMap::<ids::Server, ()>::with_key();
    (0..300).for_each(|_| _ = keys.insert(()));
    fixture.starts.insert(ENGINE, keys.insert(()));
    fixture.refresh();
    assert_eq!((fixture.exchange(), fixture.rate()), (1, None));
    fixture.measure(ENGINE, 2 * SLOW);
    fixture.refresh();
    assert_eq!((fixture.exchange(), fixture.rate()), (1, Some(2 * SLOW)));
}

/// Seeds take each other's own estimates, and don't pass them back. One that restarts sends all of them again.
#[test]
fn seeds_ask_each_other() {
    let mut fixture = Fixture::new();
    let (mut other, now) = (Rates::default(), fixture.now);
    let ask = |other: &mut Rates, seed: &Rates, same_process| {
        let known = other.ledger.remote_version("s");
        let (rows, version) = seed.answer_seed(known, same_process);
        other.apply_seed("s", &rows, version, now);
        rows.len()
    };
    let rows: Vec<_> = (0..4).map(|_| ask(&mut other, &fixture.seed, true)).collect();
    assert_eq!(rows, [0, MAX_SUMMARY_ROWS, 200 - MAX_SUMMARY_ROWS, 0]);
    other.refresh(|key| fixture.starts.get(&key).copied(), now);
    assert_eq!(other.in_force(Source::Ledger)[&ENGINE], SLOW);
    assert_eq!(other.answer_seed(0, true), (vec![], 0));
    fixture.seed = Rates::default();
    fixture.measure(ENGINE, 2 * SLOW);
    fixture.refresh();
    let rows: Vec<_> = [false, true, true].map(|same| ask(&mut other, &fixture.seed, same)).into();
    assert_eq!(rows, [0, 1, 0]);
    other.refresh(|key| fixture.starts.get(&key).copied(), now);
    assert_eq!(other.in_force(Source::Ledger), HashMap::from([(ENGINE, 2 * SLOW)]));
}
