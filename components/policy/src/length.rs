//! How long an answer will be, from quantiles of what was seen.
//!
//! Pattern: long jobs among short ones. Nobody knows the length of an answer beforehand; without an
//! estimate, waits and ends can't be predicted, and places go to answers that can't end in time.
//!
//! A histogram of geometric buckets holds for each class, and for each class and workspace, what
//! ended whole. Its memory is bounded and old answers fade.

use std::collections::HashMap;

use slotmap::SecondaryMap;

/// Buckets grow by the root of two: an estimate is within 19% of what was seen, which is finer than
/// the spread of answers in any class; 34 of them reach 90,000 tokens.
const BUCKETS: usize = 34;
/// All counts are halved at this total, so an estimate follows a change within some hundred answers.
const FADE: u16 = 512;
/// Fewer answers than this say nothing about a quantile.
const ENOUGH: u16 = 16;
/// Estimate while nothing was seen.
const START: u32 = 128;
/// Workspaces whose answers are told apart; the rest go by their class. About 1 MB.
const WORKSPACES: usize = 8_192;

#[derive(Clone, Debug)]
struct Histogram {
    counts: [u16; BUCKETS],
    total: u16,
}

impl Default for Histogram {
    fn default() -> Self {
        Histogram { counts: [0; BUCKETS], total: 0 }
    }
}

fn bucket(tokens: u32) -> usize {
    let index = (f64::from(tokens.max(1)).log2() * 2.0).round() as usize;
    index.min(BUCKETS - 1)
}

fn middle(bucket: usize) -> u32 {
    (bucket as f64 / 2.0).exp2() as u32
}

impl Histogram {
    fn add(&mut self, tokens: u32) {
        if self.total >= FADE {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
        self.counts[bucket(tokens)] += 1;
        self.total += 1;
    }

    /// The quantile among answers longer than `produced`; as much again when none was.
    fn quantile(&self, part: f64, produced: u32) -> u32 {
        let first = if produced == 0 { 0 } else { bucket(produced) };
        let over: u16 = self.counts[first..].iter().sum();
        let mut left = (f64::from(over) * part).ceil() as u16;
        for index in first..BUCKETS {
            if over > 0 && self.counts[index] >= left {
                return middle(index).max(produced + 1);
            }
            left = left.saturating_sub(self.counts[index]);
        }
        produced.saturating_mul(2).max(1)
    }
}

/// Lengths of answers by class and workspace.
#[derive(Debug, Default)]
pub(crate) struct Lengths {
    classes: SecondaryMap<ids::Class, Histogram>,
    workspaces: HashMap<(ids::Class, ids::Workspace), Histogram>,
}

impl Lengths {
    /// Takes in an answer that ended whole.
    pub(crate) fn record(&mut self, class: ids::Class, workspace: ids::Workspace, tokens: u32) {
        if let Some(entry) = self.classes.entry(class) {
            entry.or_default().add(tokens);
        }
        let key = (class, workspace);
        if self.workspaces.len() < WORKSPACES || self.workspaces.contains_key(&key) {
            self.workspaces.entry(key).or_default().add(tokens);
        }
    }

    /// Tokens still to come of an answer of which `produced` came, at the quantile `part`.
    pub(crate) fn remaining(
        &self,
        class: ids::Class,
        workspace: ids::Workspace,
        produced: u32,
        part: f64,
    ) -> u32 {
        let own = self.workspaces.get(&(class, workspace)).filter(|h| h.total >= ENOUGH);
        let seen = own.or_else(|| self.classes.get(class).filter(|h| h.total >= ENOUGH));
        let whole = seen.map_or(START.max(produced * 2), |seen| seen.quantile(part, produced));
        whole.saturating_sub(produced).max(1)
    }

    /// Forgets a class.
    pub(crate) fn remove_class(&mut self, class: ids::Class) {
        self.classes.remove(class);
        self.workspaces.retain(|(held, _), _| *held != class);
    }

    /// Forgets a workspace.
    pub(crate) fn remove_workspace(&mut self, workspace: ids::Workspace) {
        self.workspaces.retain(|(_, held), _| *held != workspace);
    }
}

#[cfg(test)]
mod tests;
