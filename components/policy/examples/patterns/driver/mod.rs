//! Simulates nodes and engines by discrete events, to compare the scheduler with simple policies. Each node
//! has only delayed and partial knowledge of the engines and of the other nodes.

mod baseline;
mod engine;
mod exchange;
mod node;
pub mod pattern;
pub mod results;
mod simulation;

use policy::Mechanism;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub use baseline::BaselineKind;
pub use results::Row;

/// The policy of all nodes in a run; the scheduler may have a mechanism disabled.
#[derive(Clone, Copy)]
pub enum PolicyKind {
    Baseline(BaselineKind),
    Godwitlever(Option<Mechanism>),
}

pub const POLICIES: [(&str, PolicyKind); 3] = [
    ("fifo", PolicyKind::Baseline(BaselineKind::Fifo)),
    ("least-loaded", PolicyKind::Baseline(BaselineKind::LeastLoaded)),
    ("godwitlever", PolicyKind::Godwitlever(None)),
];

/// A random number generator of its own for each purpose in a run.
fn rng(seed: u64, stream: u64) -> SmallRng {
    SmallRng::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ stream)
}

/// Runs one pattern and returns a row for each class.
pub fn run(pattern: &pattern::Pattern, seed: u64, kind: PolicyKind) -> Vec<Row> {
    let mut simulation = simulation::Simulation::new(pattern, seed, kind);
    simulation.run();
    results::rows(&simulation)
}
