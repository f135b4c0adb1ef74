//! Keeps amounts by priority. Engines serve requests of a lower number first, so an amount of one priority
//! matters only to requests of that priority and of lower ones.

/// Priorities that are told apart, 0 being the highest; later ones count as the last.
pub(crate) const PRIORITIES: usize = 10;

/// Index of a priority in such a list.
pub(crate) fn index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}

/// An amount for each priority.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct PerPriority([f64; PRIORITIES]);

impl PerPriority {
    fn amount_mut(&mut self, priority: u8) -> &mut f64 {
        &mut self.0[index(priority)]
    }

    /// Adds to the amount of a priority, which never falls below zero where `change` is negative.
    pub(crate) fn add(&mut self, priority: u8, change: f64) {
        let amount = self.amount_mut(priority);
        *amount = (*amount + change).max(0.0);
    }

    /// Sets the amount of a priority unless it is larger already.
    pub(crate) fn raise(&mut self, priority: u8, to: f64) {
        let amount = self.amount_mut(priority);
        *amount = amount.max(to);
    }

    /// Sum over a priority and all higher ones.
    pub(crate) fn sum_up_to(&self, priority: u8) -> f64 {
        self.0.iter().take(usize::from(priority) + 1).sum()
    }

    /// Sum over the priorities that are marked.
    pub(crate) fn sum_of(&self, marked: [bool; PRIORITIES]) -> f64 {
        self.0.iter().zip(marked).filter(|(_, marked)| *marked).map(|(amount, _)| amount).sum()
    }

    /// Maximum over a priority and all higher ones; zero where none is positive.
    pub(crate) fn max_up_to(&self, priority: u8) -> f64 {
        self.0.iter().take(usize::from(priority) + 1).copied().fold(0.0, f64::max)
    }

    /// All amounts multiplied by a factor.
    pub(crate) fn scaled(mut self, factor: f64) -> Self {
        self.0.iter_mut().for_each(|amount| *amount *= factor);
        self
    }

    pub(crate) fn to_vec(self) -> Vec<f64> {
        self.0.to_vec()
    }
}

/// From amounts in order of priority; those beyond the last priority are added to it.
impl From<&[f64]> for PerPriority {
    fn from(amounts: &[f64]) -> Self {
        let mut by_priority = PerPriority::default();
        for (priority, amount) in amounts.iter().enumerate() {
            by_priority.add(u8::try_from(priority).unwrap_or(u8::MAX), *amount);
        }
        by_priority
    }
}
