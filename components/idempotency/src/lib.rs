//! Runs a call with an idempotency key at most once across a fleet of routers, without a shared store.
//!
//! The caller puts the time of issue into the key, and may send the call again through any router.
//! Rendezvous hashing over the published list of routers gives each key an owner. The owner lets a
//! call through once and remembers its key for a window.
//!
//! When the list changes, the new owner doesn't learn which calls the previous one let through.
//! It therefore refuses every key that was issued before the previous owner is certain to have
//! stopped. That point in time allows for three things: the change of the list has to show in every
//! read, the last read before it has to be too old to act on, and clocks differ. A process that
//! resumes after a pause finds its last read of the list too old, and lets nothing through until it
//! has read the list again.
//!
//! The documentation's page on promises lists the assumptions that this depends on; `tests/model.rs`
//! checks every interleaving of a small fleet.

mod owner;
mod table;

pub use owner::{Bounds, Decision, Member, Owner};
pub use table::{CallKey, Record, StoredAnswer};
