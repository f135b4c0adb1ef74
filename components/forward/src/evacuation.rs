//! Tracks the failure domains that operators have evacuated.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Instant;

/// The evacuated failure domains, and when this node learnt of each. A domain may have no servers, or a name
/// that no server has ever had.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    domains: RefCell<BTreeMap<String, Instant>>,
}

impl Evacuations {
    /// Records that a domain is evacuated or in use again; returns whether that is news.
    pub(crate) fn set(&self, domain: &str, in_force: bool, now: Instant) -> bool {
        let mut domains = self.domains.borrow_mut();
        if !in_force {
            return domains.remove(domain).is_some();
        }
        let known = domains.contains_key(domain);
        domains.entry(domain.to_string()).or_insert(now);
        !known
    }

    /// Whether a domain is evacuated.
    pub(crate) fn contains(&self, domain: &str) -> bool {
        self.domains.borrow().contains_key(domain)
    }

    /// The evacuated domains, and when this node learnt of each.
    pub(crate) fn all(&self) -> Vec<(String, Instant)> {
        self.domains.borrow().iter().map(|(domain, since)| (domain.clone(), *since)).collect()
    }
}

#[cfg(test)]
mod tests;
