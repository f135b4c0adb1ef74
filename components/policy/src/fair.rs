//! Turns by tokens among classes of a tier and workspaces of a class.
//!
//! Pattern: a hot caller. In order of arrival, its requests fill the queue and everybody waits as
//! long as they do; with turns it waits for itself.
//!
//! Virtual token counters (Sheng and others, "Fairness in serving large language models", 2024):
//! each counter grows by what is served, divided by weight, and the lowest one is next. An answer is
//! charged by its estimated length when it is sent, for else a workspace could start any number of
//! them at a counter of zero; the charge is put right as tokens come and when it ends.

use std::collections::HashMap;

use slotmap::SecondaryMap;

/// Virtual tokens for one token at weight 1: keeps fractions of heavy weights.
const SCALE: u64 = 1_024;
/// Prompt tokens that cost as much as a generated one: an engine reads them in parallel, some ten to
/// a hundred in the time of a step, so that a long prompt counts but doesn't rule.
const PROMPT: u32 = 16;

/// What a request costs: its prompt and its answer.
pub(crate) fn cost(prompt: u32, answer: u32) -> u32 {
    prompt / PROMPT + answer
}

/// Counters of classes and of workspaces within them.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    classes: SecondaryMap<ids::Class, u64>,
    workspaces: HashMap<(ids::Class, ids::Workspace), u64>,
}

impl Counters {
    pub(crate) fn class_counter(&self, class: ids::Class) -> u64 {
        self.classes.get(class).copied().unwrap_or(0)
    }

    pub(crate) fn workspace_counter(&self, class: ids::Class, workspace: ids::Workspace) -> u64 {
        self.workspaces.get(&(class, workspace)).copied().unwrap_or(0)
    }

    /// Brings the counter of a class that was idle up to those that weren't, so that idle time
    /// can't be saved up for a burst.
    pub(crate) fn lift_class(&mut self, class: ids::Class, floor: u64) {
        if let Some(entry) = self.classes.entry(class) {
            let counter = entry.or_default();
            *counter = (*counter).max(floor);
        }
    }

    /// The same for a workspace; returns its counter.
    pub(crate) fn lift_workspace(
        &mut self,
        class: ids::Class,
        workspace: ids::Workspace,
        floor: u64,
    ) -> u64 {
        let counter = self.workspaces.entry((class, workspace)).or_default();
        *counter = (*counter).max(floor);
        *counter
    }

    /// Charges tokens, or gives them back when negative.
    pub(crate) fn charge(
        &mut self,
        (class, class_weight): (ids::Class, u32),
        (workspace, weight): (ids::Workspace, u32),
        tokens: i64,
    ) {
        let add = |counter: &mut u64, weight: u32| {
            let by = tokens * SCALE as i64 / i64::from(weight.max(1));
            *counter = counter.saturating_add_signed(by);
        };
        if let Some(entry) = self.classes.entry(class) {
            add(entry.or_default(), class_weight);
        }
        add(self.workspaces.entry((class, workspace)).or_default(), weight);
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
