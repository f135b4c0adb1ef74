//! Seconds by rank of urgency. Engines take requests of a lower rank first, so what is known of one
//! rank tells of those behind it only.

/// Ranks of urgency that are told apart; less urgent ones count as the last.
pub(crate) const RANKS: usize = 10;

/// Seconds, by rank of urgency.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Seconds([f64; RANKS]);

impl Seconds {
    fn at(&mut self, rank: u8) -> &mut f64 {
        &mut self.0[usize::from(rank).min(RANKS - 1)]
    }

    /// Adds to those of a rank, and takes away where `seconds` are negative.
    pub(crate) fn add(&mut self, rank: u8, seconds: f64) {
        let held = self.at(rank);
        *held = (*held + seconds).max(0.0);
    }

    /// Makes those of a rank as many, unless they are more.
    pub(crate) fn raise(&mut self, rank: u8, seconds: f64) {
        let held = self.at(rank);
        *held = held.max(seconds);
    }

    /// Those of a rank and of all that go before it, added up.
    pub(crate) fn sum_to(&self, rank: u8) -> f64 {
        self.0.iter().take(usize::from(rank) + 1).sum()
    }

    /// The most that a rank has, or one of those that go before it.
    pub(crate) fn most_to(&self, rank: u8) -> f64 {
        self.0.iter().take(usize::from(rank) + 1).copied().fold(0.0, f64::max)
    }

    /// By rank.
    pub(crate) fn to_vec(self) -> Vec<f64> {
        self.0.to_vec()
    }
}

/// By rank; what is beyond the last rank counts with it.
impl From<&[f64]> for Seconds {
    fn from(told: &[f64]) -> Self {
        let mut seconds = Seconds::default();
        for (rank, more) in told.iter().enumerate() {
            seconds.add(u8::try_from(rank).unwrap_or(u8::MAX), *more);
        }
        seconds
    }
}
