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
        Resumption = "resumption",
        /// Answers that aren't streams are buffered and passed on once they are complete, so that
        /// an interrupted one can be retried.
        AnswerBuffering = "whole-answers",
        /// A session has a preferred engine in each region while one for all regions would cause too much
        /// traffic between them.
        RegionalAffinity = "crossing",
        /// Nodes report to each other the prefill work that engines have queued.
        LoadGossip = "loads",
        /// A node that can't reach the servers of a service passes requests on to a peer that does.
        Hop = "hop",
        /// Some new connections are closed unread while the processor is busy.
        Shedding = "shedding",
    }
}

/// Which mechanisms are on; all are by default.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Switches {
    /// Mechanisms of the scheduler that are off.
    pub(crate) policy_off: Vec<policy::Mechanism>,
    /// Mechanisms of the proxy that are off.
    own_off: Vec<Mechanism>,
}

impl Switches {
    /// Parses the words for the mechanisms to turn off; the error lists all known words.
    pub(crate) fn parse(words: &[String]) -> Result<Self, String> {
        let mut switches = Switches::default();
        for word in words {
            match (Mechanism::from_str(word), policy::Mechanism::from_str(word)) {
                (Ok(own), _) => switches.own_off.push(own),
                (_, Ok(mechanism)) => switches.policy_off.push(mechanism),
                (Err(own), Err(policy)) => return Err(format!("{own}, {policy}")),
            }
        }
        Ok(switches)
    }

    /// Whether a mechanism of the proxy is on.
    pub(crate) fn is_on(&self, mechanism: Mechanism) -> bool {
        !self.own_off.contains(&mechanism)
    }
}
