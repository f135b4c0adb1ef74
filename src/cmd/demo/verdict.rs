//! Checks what callers were told against the backend servers' own counts of runs.

use super::call::{Outcome, Record};
use super::mix::Kind;

/// Returns what is wrong with a record whose request ran `runs` times, or `None` if it is correct.
pub fn find_fault(record: &Record, runs: u32) -> Option<String> {
    let fault = match (&record.outcome, record.class.kind) {
        (Outcome::Complete, Kind::Charge) if runs != 1 => {
            format!("was answered and ran {runs} times")
        }
        (Outcome::Complete, _) if runs == 0 => "was answered but never ran".to_string(),
        (Outcome::Complete, _) => return None,
        (Outcome::Refused, _) if runs > 0 => {
            format!("was reported as not run but ran {runs} times")
        }
        (Outcome::Refused, _) => return None,
        (Outcome::Unknown, _) => format!("has an unknown outcome; it ran {runs} times"),
        (Outcome::Incorrect(cause), _) => cause.clone(),
    };
    Some(format!("{} {}: {fault}", record.class.name, record.id))
}
