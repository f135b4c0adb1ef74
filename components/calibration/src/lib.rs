//! Estimates the rates at which engines prefill, from samples that many nodes take of them.
//!
//! A sample can be too slow, as its engine may have been busy with work that the node didn't know of; it can't be too fast
//! unless the node measures incorrectly. An [`Estimator`] therefore takes an engine's rate from its fast samples, and
//! bounds what one node contributes. A [`Ledger`] merges the estimates of several seeds, and numbers their changes, so that
//! each peer is sent only those that it lacks.
//!
//! The crate does no I/O and reads no clock.

mod estimator;
mod ledger;
mod table;

pub use estimator::{Estimate, Estimator};
pub use ledger::{FIRST_VERSION, KEPT_FOR, Ledger, SILENCE_TIMEOUT};
