//! Mechanisms that a node can leave out, to measure what each buys or to switch off one that
//! misbehaves.

use std::str::FromStr;

derives::named! {
    /// A mechanism of a node that isn't one of the decisions.
    pub enum Mechanism {
        /// Servers that are missing from the list around an outage of its keeper are kept a while.
        Doubt = "doubt",
        /// Nodes ask seeds for what is published; else each reads the store.
        Seeds = "seeds",
        /// A stream that breaks off goes on at another server where its route allows.
        Resumption = "resumption",
        /// Answers that aren't streams are passed on once they are whole, so that one which breaks
        /// off can be asked for again.
        WholeAnswers = "whole-answers",
        /// Homes of sessions keep to their region where much would cross to another.
        Crossing = "crossing",
        /// Nodes tell each other what engines have still to read of their prompts.
        Loads = "loads",
    }
}

/// What a node leaves out.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Without {
    pub(crate) decisions: Vec<policy::Mechanism>,
    own: Vec<Mechanism>,
}

impl Without {
    /// Reads the words of the settings; the error lists those that are known.
    pub(crate) fn parse(words: &[String]) -> Result<Self, String> {
        let mut without = Without::default();
        for word in words {
            match (Mechanism::from_str(word), policy::Mechanism::from_str(word)) {
                (Ok(own), _) => without.own.push(own),
                (_, Ok(decision)) => without.decisions.push(decision),
                (Err(own), Err(decisions)) => return Err(format!("{own}, {decisions}")),
            }
        }
        Ok(without)
    }

    /// Whether a mechanism is in use.
    pub(crate) fn has(&self, mechanism: Mechanism) -> bool {
        !self.own.contains(&mechanism)
    }
}
