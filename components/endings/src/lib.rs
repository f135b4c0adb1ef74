//! Decides whether an answer is complete whose body ended with its connection.
//!
//! A body without a length and without chunks lasts until its connection is closed. The kernel closes the connections
//! of a process that was killed just as the process itself closes one after the last byte, so that the end of the
//! connection doesn't show that the answer is complete. But a server that closes a connection itself goes on running.
//! So it is asked afterwards, and the answer counts as complete if the process that gave it still responds. A server that
//! runs on and closes a connection too early looks like one that closes it after the last byte.
//!
//! It also decides what the ids of a stream's events show of events that are missing ([`Numbering`]).
//!
//! The crate does no I/O and reads no clock.

mod inquiry;
mod numbering;
mod process;

pub use inquiry::{Inquiries, Settled};
pub use numbering::{Before, Numbering, Verdict};
pub use process::{Finding, Process, Proof, Testimony};
