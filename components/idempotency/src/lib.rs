//! At most one run of a call that may not be repeated, without a store.
//!
//! A caller gives the call a key that carries its time of issue, and may send it again through any
//! node. The home of the key, found by rendezvous over the published list of routers, lets it
//! through once and remembers it for a window. Nobody tells a new home what the last one let
//! through, so the new one refuses every key that was issued before the last one can be sure to
//! have stopped: the list's change must show in every read, the last read before it must be too
//! old to act on, and clocks differ. A process that wakes from a pause finds its last read too old
//! and lets nothing through until it has read again.
//!
//! The page on promises tells what this rests on; `tests/model.rs` walks through every
//! interleaving of a small fleet.

mod home;
mod table;

pub use home::{Answer, Home, Member, Terms};
pub use table::{Kept, Name, Record};
