//! Computes the results of a run by class.

use serde::Serialize;

use super::pattern::{CLASSES, MEASURED_CALLS, MEASURED_ENDS, PAUSED_NODE};
use super::simulation::{Outcome, Simulation};

/// The results of one class in one run.
#[derive(Clone, Default, Serialize)]
pub struct Row {
    pub pattern: String,
    pub policy: String,
    pub class: String,
    pub tier: u8,
    /// Measured calls.
    pub offered: u64,
    /// Complete before the deadline.
    pub served: u64,
    /// Fraction of the offered calls that were served with their first token within the target.
    pub attainment: f64,
    /// Tokens of answers that were complete in time.
    pub goodput_tokens: u64,
    /// Tokens generated, or prefilled again, for answers that weren't complete in time.
    pub wasted_tokens: u64,
    pub refused: u64,
    /// Median time to a refusal.
    pub refused_after_s: f64,
    /// Longest time for which the class had calls and none of them was sent.
    pub longest_wait_s: f64,
    pub first_token_p50_s: f64,
    pub first_token_p95_s: f64,
    pub first_token_p99_s: f64,
    pub cross_region_bytes: u64,
    /// Top-tier calls refused or stopped while lower-tier ones waited at the same node.
    pub inversions: u32,
    /// Attainment without the calls whose first-token target fell into the pause of their node or the 0.3 s
    /// after it.
    pub attainment_awake: f64,
    /// 99th percentile of the time to the first token, in workspaces other than the hot one.
    pub others_p99_s: f64,
}

/// The results of all classes.
pub fn rows(simulation: &Simulation) -> Vec<Row> {
    (0..CLASSES.len()).map(|class| row(simulation, class)).collect()
}

fn row(simulation: &Simulation, index: usize) -> Row {
    let class = &CLASSES[index];
    let mut row = Row {
        pattern: simulation.pattern.name.to_string(),
        class: class.name.to_string(),
        tier: class.tier,
        longest_wait_s: simulation.longest_gap(index),
        inversions: if index == 0 { simulation.inversions } else { 0 },
        ..Row::default()
    };
    let (mut first_tokens, mut others, mut refusals) = (vec![], vec![], vec![]);
    let (mut attained, mut awake, mut missed) = (0, 0, 0);
    for (call, state) in simulation.calls.iter().zip(&simulation.states) {
        if call.class != index {
            continue;
        }
        let goodput = if state.outcome == Outcome::Completed { u64::from(call.length) } else { 0 };
        // Work counts when it ends, so that a policy gains nothing by delaying it.
        if MEASURED_ENDS.contains(&state.ended) {
            row.goodput_tokens += goodput;
            row.wasted_tokens += state.run.saturating_sub(goodput);
            row.cross_region_bytes += state.bytes;
        }
        if !MEASURED_CALLS.contains(&call.at) {
            continue;
        }
        row.offered += 1;
        let paused = simulation.pattern.pause.is_some_and(|(from, to)| {
            let end = call.at + class.first_token;
            call.node == PAUSED_NODE && end > from && end < to + 0.3
        });
        awake += u64::from(!paused);
        let first = state.first_token.map(|first| first - call.at);
        row.served += u64::from(state.outcome == Outcome::Completed);
        row.refused += u64::from(state.outcome == Outcome::Refused);
        if state.outcome == Outcome::Refused {
            refusals.push(state.ended - call.at);
        }
        let on_time = first.is_some_and(|first| first <= class.first_token);
        let met = state.outcome == Outcome::Completed && on_time;
        attained += u64::from(met);
        missed += u64::from(!met && !paused);
        first_tokens.extend(first);
        others.extend(first.filter(|_| call.workspace != super::pattern::HOT_WORKSPACE));
    }
    row.attainment = attained as f64 / row.offered.max(1) as f64;
    row.attainment_awake = 1.0 - missed as f64 / awake.max(1) as f64;
    row.first_token_p50_s = quantile(&mut first_tokens, 0.50);
    row.first_token_p95_s = quantile(&mut first_tokens, 0.95);
    row.first_token_p99_s = quantile(&mut first_tokens, 0.99);
    row.refused_after_s = quantile(&mut refusals, 0.50);
    row.others_p99_s = quantile(&mut others, 0.99);
    row
}

fn quantile(values: &mut [f64], q: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * q) as usize;
    values.get(index.min(values.len().saturating_sub(1))).copied().unwrap_or(0.0)
}
