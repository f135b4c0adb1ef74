//! Mechanisms that a node's settings can disable, to measure the effect of each or to switch off one
//! that misbehaves.

use std::str::FromStr;

derives::named! {
    /// A mechanism of the proxy itself, not of the scheduler in `policy`.
    pub enum Mechanism {
        /// Servers that disappear from the list around an outage of the store are kept for a while.
        OutageGrace = "doubt",
        /// Nodes ask seeds for settings and servers; otherwise each node reads the store.
        Seeds = "seeds",
        /// An interrupted stream is continued by another server where its route allows that.
        StreamResumption = "resumption",
        /// Answers that aren't streams are buffered and passed on once they are complete, so that
        /// an interrupted one can be retried.
        AnswerBuffering = "whole-answers",
        /// A session's preferred engine is in the caller's region while the traffic between regions
        /// would be high.
        RegionalAffinity = "crossing",
        /// Nodes report to each other the prefill work that engines have queued.
        LoadGossip = "loads",
    }
}

/// The mechanisms that a node disables.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Disabled {
    /// Those of the scheduler.
    pub(crate) policy: Vec<policy::Mechanism>,
    own: Vec<Mechanism>,
}

impl Disabled {
    /// Parses the words of the settings; the error lists all known words.
    pub(crate) fn parse(words: &[String]) -> Result<Self, String> {
        let mut disabled = Disabled::default();
        for word in words {
            match (Mechanism::from_str(word), policy::Mechanism::from_str(word)) {
                (Ok(own), _) => disabled.own.push(own),
                (_, Ok(mechanism)) => disabled.policy.push(mechanism),
                (Err(own), Err(policy)) => return Err(format!("{own}, {policy}")),
            }
        }
        Ok(disabled)
    }

    /// Whether a mechanism of the proxy is in use.
    pub(crate) fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.own.contains(&mechanism)
    }
}
