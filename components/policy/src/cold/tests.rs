use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{Allowance, Grant, Issuer, LIFETIME, Part, WINDOW, spread};

const SERVER: u32 = 7;

fn cold(requests: u32) -> [Allowance; 1] {
    [Allowance { server: SERVER, requests }]
}

/// The parts of all issuers are the whole allowance, also where it can't be divided evenly.
#[test]
fn parts_add_up() {
    for (requests, issuers) in [(27, 3), (5, 3), (2, 3), (0, 3), (7, 1)] {
        let parts = (0..issuers).map(|index| Part { index, issuers }.of(requests));
        assert_eq!(parts.sum::<u32>(), requests);
    }
}

/// Guards against giving a node all its permits for one server while others have more left.
#[test]
fn permits_are_spread_over_servers() {
    assert_eq!(spread(vec![(1, 1), (2, 4), (3, 3)], 5), [(2, 2), (3, 2), (1, 1)]);
    assert_eq!(spread(vec![(1, 1), (2, 0)], 5), [(1, 1)]);
}

/// A step of the exhaustive search: a permit lives for one, and the window has this many.
const STEPS_PER_WINDOW: u32 = 5;
const ALLOWED: u32 = 3;
const SEEDS: usize = 2;
const NODES: usize = 3;
/// Steps of virtual time that the search covers.
const SEARCHED_STEPS: u32 = 14;

/// A fleet without what no longer matters, for the set of those that the search has seen.
#[derive(PartialEq, Eq, Hash)]
struct Key {
    step: u32,
    /// Of each seed, for how many steps its grants still count, and after how many it issues permits.
    seeds: Vec<(Vec<u32>, u32)>,
    permits: Vec<Vec<u32>>,
    arrivals: Vec<u32>,
}

/// Two seeds, three nodes with permits, and the requests that the server received.
#[derive(Clone)]
struct Fleet {
    step: u32,
    seeds: Vec<Issuer>,
    /// Steps in which the permits of each node expire.
    permits: [Vec<u32>; NODES],
    /// Steps in which requests arrived.
    arrivals: VecDeque<u32>,
}

impl Fleet {
    fn now(&self, start: Instant) -> Instant {
        start + LIFETIME * self.step
    }

    /// All fleets that one event leads to: a node asks a seed, a node sends a request, a seed restarts, or
    /// time passes.
    fn successors(&self, start: Instant) -> Vec<Fleet> {
        let (mut next, now) = (vec![], self.now(start));
        for seed in 0..SEEDS {
            for node in 0..NODES {
                let mut fleet = self.clone();
                let part = Part { index: seed as u32, issuers: SEEDS as u32 };
                let issued = fleet.seeds[seed].issue(&cold(ALLOWED), part, 1, now);
                if !issued.is_empty() {
                    fleet.permits[node].push(self.step + 1);
                    next.push(fleet);
                }
            }
            let mut restarted = self.clone();
            restarted.seeds[seed] = Issuer::new(now);
            next.push(restarted);
        }
        for node in 0..NODES {
            let mut fleet = self.clone();
            // Permits that were valid up to the last moment of their time are still used at its end.
            if let Some(index) = fleet.permits[node].iter().position(|end| *end >= self.step) {
                fleet.permits[node].swap_remove(index);
                fleet.arrivals.push_back(self.step);
                next.push(fleet);
            }
        }
        let mut later = self.clone();
        later.step += 1;
        if later.step <= SEARCHED_STEPS {
            next.push(later);
        }
        next
    }

    /// Requests that arrived in the window that ends now.
    fn recent_arrivals(&self) -> u32 {
        let recent = self.arrivals.iter().filter(|at| **at + STEPS_PER_WINDOW > self.step);
        recent.count() as u32
    }

    /// What distinguishes it from other fleets; seeds and nodes are interchangeable.
    fn key(&self, start: Instant) -> Key {
        let now = self.now(start);
        let steps = |until: Instant| {
            (until.saturating_duration_since(now).as_millis() / LIFETIME.as_millis()) as u32
        };
        let seed = |issuer: &Issuer| {
            let grants = issuer.grants.values().flatten();
            let mut left: Vec<_> =
                grants.map(|Grant { counts_until, .. }| steps(*counts_until)).collect();
            left.retain(|left| *left > 0);
            left.sort_unstable();
            (left, steps(issuer.opens))
        };
        let mut seeds: Vec<_> = self.seeds.iter().map(seed).collect();
        seeds.sort();
        let valid = |permits: &Vec<u32>| {
            let mut valid: Vec<_> =
                permits.iter().copied().filter(|end| *end >= self.step).collect();
            valid.sort_unstable();
            valid
        };
        let mut permits: Vec<_> = self.permits.iter().map(valid).collect();
        permits.sort();
        let recent = self.arrivals.iter().filter(|at| **at + STEPS_PER_WINDOW > self.step);
        Key { step: self.step, seeds, permits, arrivals: recent.copied().collect() }
    }
}

/// Guards against more requests in a second than a cold server tolerates, in whatever order seeds issue,
/// restart and lose what they knew, and nodes use or keep their permits.
#[test]
fn no_order_of_events_exceeds_the_allowance() {
    assert_eq!(LIFETIME * STEPS_PER_WINDOW, WINDOW);
    let start = Instant::now();
    let first = Fleet {
        step: 0,
        seeds: vec![Issuer::new(start); SEEDS],
        permits: Default::default(),
        arrivals: VecDeque::new(),
    };
    let (mut seen, mut open, mut most) = (HashSet::new(), vec![first], 0);
    while let Some(fleet) = open.pop() {
        if !seen.insert(fleet.key(start)) {
            continue;
        }
        most = most.max(fleet.recent_arrivals());
        assert!(fleet.recent_arrivals() <= ALLOWED, "{:?}", fleet.arrivals);
        open.extend(fleet.successors(start));
    }
    assert_eq!(most, ALLOWED, "the allowance is reached");
}

const REPORT_PAUSE: Duration = Duration::from_millis(200);
const STEP: Duration = Duration::from_millis(10);
const SECONDS: u32 = 6;

/// Simulates nodes that report in turn to three seeds, and whose requests go to a cold server whenever there is
/// a permit. Returns the requests that cold servers received, and the most that one received in a second.
fn simulate(nodes: usize, servers: u32, requests_per_second: f64, waiting: u32) -> (u32, u32) {
    let mut rng = SmallRng::seed_from_u64(1);
    let start = Instant::now();
    let mut seeds = vec![Issuer::new(start); 3];
    let cold: Vec<_> = (0..servers).map(|server| Allowance { server, requests: 27 }).collect();
    let mut permits = vec![vec![]; nodes];
    let mut arrivals = vec![vec![]; servers as usize];
    let opens = start + LIFETIME + WINDOW;
    let steps = (Duration::from_secs(1).as_millis() / STEP.as_millis()) as u32 * SECONDS;
    let pause_steps = (REPORT_PAUSE.as_millis() / STEP.as_millis()) as usize;
    let wanted = (requests_per_second * LIFETIME.as_secs_f64()).ceil() as u32 + waiting;
    for step in 0..steps {
        let now = opens + STEP * step;
        for (node, permits) in permits.iter_mut().enumerate() {
            permits.retain(|(_, expires)| now < *expires);
            if (step as usize + node).is_multiple_of(pause_steps) {
                let part = Part { index: (node % 3) as u32, issuers: 3 };
                for (server, count) in seeds[node % 3].issue(&cold, part, wanted, now) {
                    permits.extend(std::iter::repeat_n((server, now + LIFETIME), count as usize));
                }
            }
            let due = rng.random_bool(requests_per_second * STEP.as_secs_f64());
            let sends = if waiting > 0 { permits.len() } else { usize::from(due) };
            for (server, _) in permits.drain(..sends.min(permits.len())) {
                arrivals[server as usize].push(now);
            }
        }
    }
    let in_window = |times: &Vec<Instant>, at: Instant| {
        times.iter().filter(|time| (at..at + WINDOW).contains(time)).count() as u32
    };
    let densest = |times: &Vec<Instant>| times.iter().map(|at| in_window(times, *at)).max();
    let most = arrivals.iter().filter_map(densest).max().unwrap_or_default();
    (arrivals.iter().map(|times| times.len() as u32).sum(), most)
}

/// A domain of a sixth of the servers comes back, and each node sends there what it can. With requests waiting
/// at all nodes the servers must get most of what they tolerate; without, at least their share of the load.
#[test]
fn a_returning_domain_is_used() {
    const NODES: usize = 88;
    const SERVERS: u32 = 15;
    let (sent, most) = simulate(NODES, SERVERS, 7.0, 4);
    let tolerated = 27.5 * f64::from(SERVERS * SECONDS);
    assert!(f64::from(sent) >= tolerated * 0.8, "{sent} of {tolerated}");
    assert!(most <= 27, "{most} in a second");
    let (sent, most) = simulate(NODES, SERVERS, 7.0, 0);
    let demanded = NODES as f64 * 7.0 / 6.0 * f64::from(SECONDS);
    assert!(f64::from(sent) >= demanded * 0.8, "{sent} of {demanded}");
    assert!(most <= 27, "{most} in a second");
}
