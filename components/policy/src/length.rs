//! Estimates how long an answer will be from the lengths of past ones.
//!
//! Load pattern: long answers among short ones. Nobody knows the length of an answer beforehand; without an
//! estimate, waiting times and completion times can't be predicted, and slots go to answers that miss their
//! deadlines.
//!
//! A histogram with geometric buckets counts the completed answers of each class, and of each workspace in a
//! class. Its memory is bounded, and old answers lose weight.

use std::collections::HashMap;

use slotmap::SecondaryMap;

/// Buckets grow by the square root of two: an estimate is within 19% of the length, which is finer than the
/// spread of answers in any class. 34 of them reach 90,000 tokens.
const BUCKETS: usize = 34;
/// All counts are halved at this total, so that an estimate follows a change within a few hundred answers.
const HALVING_TOTAL: u16 = 512;
/// Fewer answers than this give no usable quantile.
const MIN_ANSWERS: u16 = 16;
/// Estimate before enough answers completed, in tokens.
const DEFAULT_TOKENS: u32 = 128;
/// Histograms of single workspaces, about 1 MB; any other workspace uses the one of its class.
const MAX_WORKSPACES: usize = 8_192;

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

fn bucket_of(tokens: u32) -> usize {
    let index = (f64::from(tokens.max(1)).log2() * 2.0).round() as usize;
    index.min(BUCKETS - 1)
}

fn bucket_center(bucket: usize) -> u32 {
    (bucket as f64 / 2.0).exp2() as u32
}

impl Histogram {
    fn add(&mut self, tokens: u32) {
        if self.total >= HALVING_TOTAL {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
        self.counts[bucket_of(tokens)] += 1;
        self.total += 1;
    }

    /// The length in tokens at quantile `q`, from 0 to 1, of the answers longer than `produced`; twice
    /// `produced` where there are none.
    fn quantile(&self, q: f64, produced: u32) -> u32 {
        let first = if produced == 0 { 0 } else { bucket_of(produced) };
        let longer: u16 = self.counts[first..].iter().sum();
        let mut left = (f64::from(longer) * q).ceil() as u16;
        for index in first..BUCKETS {
            if longer > 0 && self.counts[index] >= left {
                return bucket_center(index).max(produced + 1);
            }
            left = left.saturating_sub(self.counts[index]);
        }
        produced.saturating_mul(2).max(1)
    }
}

/// The lengths of completed answers, by class and workspace.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lengths {
    classes: SecondaryMap<ids::Class, Histogram>,
    workspaces: HashMap<(ids::Class, ids::Workspace), Histogram>,
}

impl Lengths {
    /// Records a completed answer.
    pub(crate) fn record(&mut self, class: ids::Class, workspace: ids::Workspace, tokens: u32) {
        if let Some(entry) = self.classes.entry(class) {
            entry.or_default().add(tokens);
        }
        let key = (class, workspace);
        if self.workspaces.len() < MAX_WORKSPACES || self.workspaces.contains_key(&key) {
            self.workspaces.entry(key).or_default().add(tokens);
        }
    }

    /// Estimates the tokens that are still to come of an answer after `produced` of them, at quantile `q` from
    /// 0 to 1.
    pub(crate) fn remaining(
        &self,
        class: ids::Class,
        workspace: ids::Workspace,
        produced: u32,
        q: f64,
    ) -> u32 {
        let own = self.workspaces.get(&(class, workspace)).filter(|h| h.total >= MIN_ANSWERS);
        let histogram = own.or_else(|| self.classes.get(class).filter(|h| h.total >= MIN_ANSWERS));
        let length =
            histogram.map_or(DEFAULT_TOKENS.max(produced * 2), |h| h.quantile(q, produced));
        length.saturating_sub(produced).max(1)
    }

    pub(crate) fn remove_class(&mut self, class: ids::Class) {
        self.classes.remove(class);
        self.workspaces.retain(|(key, _), _| *key != class);
    }

    pub(crate) fn remove_workspace(&mut self, workspace: ids::Workspace) {
        self.workspaces.retain(|(_, key), _| *key != workspace);
    }
}

#[cfg(test)]
mod tests;
