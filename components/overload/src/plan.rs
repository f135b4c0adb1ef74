//! Divides the capacity of an overloaded fleet among tiers and workspaces.

use std::time::Duration;

use crate::{HALF_LIFE, MIN_ADMITTED, MIN_WINDOW, Row, TIERS};

/// Halvings of the interval in which the level is searched.
const STEPS: u32 = 40;

/// Relative difference of two amounts that are equal but for rounding.
const ROUNDING: f64 = 1e-9;

/// What is admitted while the fleet is overloaded.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// Fraction of each row within its fair share, in the order of the rows.
    pub(crate) shares: Vec<f64>,
    /// Fraction of each tier that is admitted of what is within the shares.
    pub(crate) factors: [f64; TIERS],
    /// Engine time per second that is refused, by tier.
    refused: [f64; TIERS],
    /// Number of tiers in which anything is offered.
    tiers: usize,
    /// Time over which refused callers come back.
    pub(crate) window: Duration,
}

impl Plan {
    pub(crate) fn new(rows: &[Row], totals: &[f64; TIERS], capacity: f64) -> Self {
        let known = |tier: usize| rows.iter().filter(move |row| usize::from(row.tier) == tier);
        let offered: [f64; TIERS] =
            std::array::from_fn(|tier| totals[tier].max(known(tier).map(|row| row.rate).sum()));
        let sum: f64 = offered.iter().sum();
        let excess = ((sum - capacity) / capacity).max(0.0);
        let mut plan = Plan {
            shares: vec![1.0; rows.len()],
            factors: [1.0; TIERS],
            refused: [0.0; TIERS],
            tiers: offered.iter().filter(|offered| **offered > 0.0).count(),
            window: HALF_LIFE.mul_f64(excess.min(1_000.0)).max(MIN_WINDOW),
        };
        // Every tier has its minimum; the rest goes to the highest tiers first.
        let mut left = (capacity - sum * MIN_ADMITTED).max(0.0);
        // What each row's workspace is given in higher tiers.
        let mut given = vec![0.0; rows.len()];
        for (tier, offered) in offered.into_iter().enumerate() {
            let granted = offered.min(offered * MIN_ADMITTED + left);
            left -= granted - offered * MIN_ADMITTED;
            if granted < offered * (1.0 - ROUNDING) {
                plan.refused[tier] = offered - granted;
                plan.divide(rows, &given, tier, offered, granted);
            }
            for (index, row) in rows.iter().enumerate().filter(|(_, row)| row.tier as usize == tier)
            {
                let admitted = row.rate * plan.shares[index] * plan.factors[tier];
                for (other, given) in rows.iter().zip(&mut given) {
                    if other.workspace == row.workspace {
                        *given += admitted;
                    }
                }
            }
        }
        plan
    }

    /// Divides what a tier is granted among its workspaces.
    fn divide(&mut self, rows: &[Row], given: &[f64], tier: usize, offered: f64, granted: f64) {
        let own: Vec<usize> =
            (0..rows.len()).filter(|index| usize::from(rows[*index].tier) == tier).collect();
        let known: f64 = own.iter().map(|index| rows[*index].rate).sum();
        let unknown = (offered - known).max(0.0);
        let admitted = |index: usize, level: f64| {
            let Row { rate, weight, .. } = rows[index];
            (level * weight - given[index]).clamp(rate * MIN_ADMITTED, rate)
        };
        let sum = |level: f64| unknown + own.iter().map(|i| admitted(*i, level)).sum::<f64>();
        // No workspace without a row offers more than the smallest row in any tier. A lower level would leave it more than
        // those that are known.
        let smallest = rows.iter().map(|row| row.rate / row.weight).fold(f64::INFINITY, f64::min);
        let mut low = if smallest.is_finite() { smallest * self.tiers as f64 } else { 0.0 };
        if sum(low) > granted {
            self.factors[tier] = granted / sum(low);
        } else {
            let highest = own.iter().map(|i| (rows[*i].rate + given[*i]) / rows[*i].weight);
            let mut high = highest.fold(low, f64::max);
            for _ in 0..STEPS {
                let middle = (low + high) / 2.0;
                if sum(middle) > granted { high = middle } else { low = middle }
            }
        }
        for index in &own {
            self.shares[*index] = admitted(*index, low) / rows[*index].rate;
        }
    }

    /// Whether requests of a tier are refused.
    pub(crate) fn refuses(&self, tier: usize) -> bool {
        self.refused[tier] > 0.0
    }

    /// When a refused caller comes back, as a fraction of the window; `position` is its position among those of its tier. The
    /// callers of higher tiers come back first.
    pub(crate) fn return_position(&self, tier: usize, position: f64) -> f64 {
        let before: f64 = self.refused[..tier].iter().sum();
        let sum: f64 = self.refused.iter().sum();
        ((before + self.refused[tier] * position) / sum).clamp(0.0, 1.0)
    }
}
