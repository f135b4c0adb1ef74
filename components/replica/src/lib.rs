//! Keeps a node's copy of what a store publishes, for itself and for its peers, also when the store comes back from a
//! copy of its own and has forgotten what it acknowledged last.
//!
//! Such a store begins a new era. It gives out revisions again, so that only a [`wire::updates::Position`], an era and a
//! revision in it, has an order. A node changes to a later era as soon as any source is in it, and never goes back.
//!
//! What was acknowledged holds on although the store forgot it. Where the store has an older word on an item than this
//! node, the node's word stands against it, and is handed on to peers: until the item is written again or, if its
//! writer renews it as long as it holds, for the time in which a live writer has done so. Nothing is stored for this, so a
//! fleet that is restarted as a whole only knows what the store has.
//!
//! The crate does no I/O and reads no clock.

mod content;
mod recall;
mod replica;
mod standing;

pub use content::Content;
pub use replica::{Changes, Replica};
