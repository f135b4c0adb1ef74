//! Shares service fairly, by tokens, among the classes of a tier and the workspaces of a class.
//!
//! Load pattern: a hot caller. In order of arrival, its requests fill the queue and all callers wait as long
//! as it does; with fair sharing it waits for its own requests only.
//!
//! The method is virtual token counters (Sheng and others, "Fairness in serving large language models", 2024):
//! each counter grows by the tokens served, divided by the weight, and the lowest one is served next. An
//! answer is charged by its estimated length when its request is sent, since a workspace could otherwise
//! start any number of requests at a counter of zero; the charge is corrected as tokens come and when the
//! answer ends.

use std::collections::HashMap;

use slotmap::SecondaryMap;

/// Counter units for one token at weight 1, so that integer division by a large weight keeps fractions.
const UNITS_PER_TOKEN: u64 = 1_024;
/// Prompt tokens that cost as much as a generated one. An engine prefills them in parallel, some ten to a
/// hundred in the time of a decoding step; with this ratio a long prompt counts without outweighing the
/// answer.
const PROMPT_TOKENS_PER_TOKEN: u32 = 16;

/// The cost of a request in generated tokens, given the tokens of its prompt and of its answer.
pub(crate) fn cost(prompt: u32, answer: u32) -> u32 {
    prompt / PROMPT_TOKENS_PER_TOKEN + answer
}

/// The virtual token counters of classes and of workspaces within them.
#[derive(Clone, Debug, Default)]
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

    /// Raises the counter of a class that was idle to `floor`, the lowest of those that weren't, so that a
    /// class can't save up idle time for a burst.
    pub(crate) fn lift_class(&mut self, class: ids::Class, floor: u64) {
        if let Some(entry) = self.classes.entry(class) {
            let counter = entry.or_default();
            *counter = (*counter).max(floor);
        }
    }

    /// Raises the counter of a workspace that was idle to `floor`; returns the counter.
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

    /// Charges tokens to a class and a workspace, each given with its weight; negative ones are refunded.
    pub(crate) fn charge(
        &mut self,
        (class, class_weight): (ids::Class, u32),
        (workspace, weight): (ids::Workspace, u32),
        tokens: i64,
    ) {
        let add = |counter: &mut u64, weight: u32| {
            let by = tokens * UNITS_PER_TOKEN as i64 / i64::from(weight.max(1));
            *counter = counter.saturating_add_signed(by);
        };
        if let Some(entry) = self.classes.entry(class) {
            add(entry.or_default(), class_weight);
        }
        add(self.workspaces.entry((class, workspace)).or_default(), weight);
    }

    pub(crate) fn remove_class(&mut self, class: ids::Class) {
        self.classes.remove(class);
        self.workspaces.retain(|(key, _), _| *key != class);
    }

    pub(crate) fn remove_workspace(&mut self, workspace: ids::Workspace) {
        self.workspaces.retain(|(_, key), _| *key != workspace);
    }
}
