//! Defines the load patterns: the callers, the rates of their calls, and the faults.

use rand::Rng;
use rand::rngs::SmallRng;

use super::engine;

pub const NODES: usize = 4;
pub const SERVERS: usize = 8;
pub const SLOTS: u32 = 8;
pub const WORKSPACES: usize = 10;
/// The seconds whose calls are measured. Callers also call before and after, so that no policy is judged by an
/// empty start, nor by a quiet end in which it could clear its backlog.
pub const MEASURED_CALLS: std::ops::Range<f64> = 10.0..55.0;
/// The seconds in which ending calls count towards goodput and waste.
pub const MEASURED_ENDS: std::ops::Range<f64> = 10.0..CALLS_END;
/// Second after which there are no new calls.
pub const CALLS_END: f64 = 85.0;
/// Second by which the deadlines of all calls have passed.
pub const RUN_END: f64 = 130.0;
/// The workspace that sends too many calls in `hot-caller`.
pub const HOT_WORKSPACE: usize = 9;

/// The last node and the last two servers are in the other region.
pub fn region_of_node(node: usize) -> usize {
    usize::from(node == NODES - 1)
}

pub fn region_of_server(server: usize) -> usize {
    usize::from(server >= SERVERS - 2)
}

/// A class: targets in seconds, lengths in tokens, and its share of the slots.
pub struct Class {
    pub name: &'static str,
    pub tier: u8,
    pub weight: u32,
    pub first_token: f64,
    pub longest_wait: f64,
    pub deadline: f64,
    pub prompt: f64,
    pub median: f64,
    pub sigma: f64,
    pub share: f64,
    pub idempotent: bool,
}

#[rustfmt::skip]
pub const CLASSES: [Class; 4] = [
    Class { name: "booking", tier: 0, weight: 1, first_token: 1.0, longest_wait: 2.0, deadline: 8.0,
        prompt: 200.0, median: 40.0, sigma: 0.5, share: 0.10, idempotent: true },
    Class { name: "question", tier: 1, weight: 2, first_token: 2.0, longest_wait: 5.0, deadline: 20.0,
        prompt: 400.0, median: 100.0, sigma: 0.7, share: 0.40, idempotent: true },
    Class { name: "caption", tier: 1, weight: 1, first_token: 2.0, longest_wait: 5.0, deadline: 20.0,
        prompt: 300.0, median: 60.0, sigma: 0.6, share: 0.20, idempotent: false },
    Class { name: "draft", tier: 2, weight: 1, first_token: 5.0, longest_wait: 10.0, deadline: 40.0,
        prompt: 600.0, median: 250.0, sigma: 0.8, share: 0.30, idempotent: true },
];

/// A pattern: loads as fractions of all slots, and the faults with the seconds of their start and end.
pub struct Pattern {
    pub name: &'static str,
    load: f64,
    /// Factor on the load in bursts; 0 without bursts.
    burst: f64,
    /// Load of the hot caller.
    hot: f64,
    /// Fraction of lowest-tier answers that are long.
    long: f64,
    /// Number of slow servers, and the factor on their times.
    pub slow: (usize, f64),
    /// Delay of load reports, in seconds.
    pub report_lag: f64,
    pub crash: Option<(f64, f64)>,
    pub cut: Option<(f64, f64)>,
    pub pause: Option<(f64, f64)>,
}

const STEADY: Pattern = Pattern {
    name: "steady",
    load: 0.7,
    burst: 0.0,
    hot: 0.0,
    long: 0.0,
    slow: (0, 1.0),
    report_lag: 0.2,
    crash: None,
    cut: None,
    pause: None,
};

pub const PATTERNS: [Pattern; 10] = [
    STEADY,
    Pattern { name: "burst", load: 0.5, burst: 6.0, ..STEADY },
    Pattern { name: "hot-caller", load: 0.5, hot: 0.6, ..STEADY },
    Pattern { name: "slow-server", load: 0.65, slow: (3, 30.0), ..STEADY },
    Pattern { name: "long-among-short", load: 0.8, long: 0.1, ..STEADY },
    Pattern { name: "overload", load: 2.0, ..STEADY },
    Pattern { name: "lagging-reports", load: 0.8, report_lag: 5.0, ..STEADY },
    Pattern { name: "server-crash", load: 0.75, crash: Some((20.0, 35.0)), ..STEADY },
    Pattern { name: "partition", load: 0.7, cut: Some((15.0, 40.0)), ..STEADY },
    Pattern { name: "paused-node", load: 0.7, pause: Some((20.0, 26.0)), ..STEADY },
];

/// The servers that crash, and the node that is paused.
pub const CRASHING_SERVERS: [usize; 2] = [0, 1];
pub const PAUSED_NODE: usize = 1;

/// A call.
pub struct Call {
    /// When it is made.
    pub at: f64,
    pub node: usize,
    pub class: usize,
    pub workspace: usize,
    pub prompt: u32,
    /// Tokens of its answer.
    pub length: u32,
    pub prefix: u64,
}

/// A sample of the standard normal distribution, by the Box-Muller transform.
fn normal(rng: &mut SmallRng) -> f64 {
    let (u, v): (f64, f64) = (rng.random_range(1e-9..1.0), rng.random());
    (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
}

impl Pattern {
    /// The same pattern without its hot caller.
    #[allow(dead_code, reason = "the test of promises compares with it")]
    pub fn without_hot_caller(&self) -> Pattern {
        Pattern { hot: 0.0, ..*self }
    }

    /// The load at a second, as a fraction of all slots.
    fn load_at(&self, at: f64) -> f64 {
        let bursts = self.burst > 0.0 && ((12.0..32.0).contains(&at) || (45.0..65.0).contains(&at));
        if bursts { self.load * self.burst } else { self.load }
    }

    /// All calls of a run. Each class and the hot caller have a random number generator of their own, so that
    /// the other calls are the same with and without the hot caller.
    pub fn calls(&self, seed: u64) -> Vec<Call> {
        let mut calls = vec![];
        for (index, class) in CLASSES.iter().enumerate() {
            let mut rng = super::rng(seed, index as u64);
            let peak = self.load * self.burst.max(1.0);
            self.add_calls(index, class.share * peak, None, &mut rng, &mut calls);
        }
        if self.hot > 0.0 {
            let mut rng = super::rng(seed, 99);
            self.add_calls(1, self.hot, Some(HOT_WORKSPACE), &mut rng, &mut calls);
        }
        calls.sort_by(|a, b| a.at.total_cmp(&b.at));
        calls
    }

    /// Adds the calls of a class, or of a hot caller of that class if `only` names a workspace. The calls are a
    /// Poisson process at the peak rate, thinned to the load at each time; a hot caller only calls from second 15 to 45.
    fn add_calls(
        &self,
        index: usize,
        load: f64,
        only: Option<usize>,
        rng: &mut SmallRng,
        calls: &mut Vec<Call>,
    ) {
        let class = &CLASSES[index];
        let mean = class.median * (class.sigma * class.sigma / 2.0).exp();
        let service = engine::service_seconds(class.prompt, mean);
        let rate = load * f64::from(SLOTS) * SERVERS as f64 / service;
        let mut at = 0.0;
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            if at >= CALLS_END {
                return;
            }
            let level = rng.random::<f64>() * self.burst.max(1.0) * self.load;
            let long = class.tier == 2 && rng.random_bool(self.long);
            let length = class.median * (class.sigma * normal(rng)).exp();
            let length = if long { length * 6.0 } else { length };
            // Workspaces differ in size: the n-th has calls in proportion to 1/n.
            let zipf = (WORKSPACES as f64).powf(rng.random::<f64>()) as usize - 1;
            let (node, prefix_number) = (rng.random_range(0..NODES), rng.random_range(0..6_u64));
            let prompt = (class.prompt * rng.random_range(0.5..1.5)) as u32;
            let hot_caller_idle = !(15.0..45.0).contains(&at);
            if only.map_or(level > self.load_at(at), |_| hot_caller_idle) {
                continue;
            }
            let workspace = only.unwrap_or(zipf.min(WORKSPACES - 2));
            let prefix = (workspace as u64) << 32 | (index as u64) << 8 | prefix_number;
            let length = length.clamp(2.0, 4_000.0) as u32;
            calls.push(Call { at, node, class: index, workspace, prompt, length, prefix });
        }
    }
}
