//! Amounts by rank of urgency. Engines take requests of a lower rank first, so what is known of one
//! rank tells of those behind it only.

/// Ranks of urgency that are told apart; less urgent ones count as the last.
pub(crate) const PRIORITIES: usize = 10;

/// An amount, by rank of urgency.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct PerPriority([f64; PRIORITIES]);

impl PerPriority {
    fn at(&mut self, rank: u8) -> &mut f64 {
        &mut self.0[usize::from(rank).min(PRIORITIES - 1)]
    }

    /// Adds to what a rank has, or takes away where `more` is negative.
    pub(crate) fn add(&mut self, rank: u8, more: f64) {
        let held = self.at(rank);
        *held = (*held + more).max(0.0);
    }

    /// Gives a rank as much, unless it has more.
    pub(crate) fn raise(&mut self, rank: u8, amount: f64) {
        let held = self.at(rank);
        *held = held.max(amount);
    }

    /// What a rank and all that go before it have together.
    pub(crate) fn sum_up_to(&self, rank: u8) -> f64 {
        self.0.iter().take(usize::from(rank) + 1).sum()
    }

    /// The most that a rank has, or one of those that go before it.
    pub(crate) fn max_up_to(&self, rank: u8) -> f64 {
        self.0.iter().take(usize::from(rank) + 1).copied().fold(0.0, f64::max)
    }

    /// So many times as much of each rank.
    pub(crate) fn times(mut self, factor: f64) -> Self {
        self.0.iter_mut().for_each(|held| *held *= factor);
        self
    }

    /// By rank.
    pub(crate) fn to_vec(self) -> Vec<f64> {
        self.0.to_vec()
    }
}

/// By rank; what is beyond the last rank counts with it.
impl From<&[f64]> for PerPriority {
    fn from(told: &[f64]) -> Self {
        let mut ranked = PerPriority::default();
        for (rank, more) in told.iter().enumerate() {
            ranked.add(u8::try_from(rank).unwrap_or(u8::MAX), *more);
        }
        ranked
    }
}
