//! Remembers which version of a service's software began each stream, so that any node of a fleet can continue it at
//! that version, also after the node that began it has ended.
//!
//! Nothing is stored for this. While servers of several versions serve side by side, the node that begins a stream
//! tells a few others, its keepers, which every node derives from the stream's id. A node at which a caller takes a
//! stream up asks them. What nobody knows is concluded only where one version has served from before the stream began until the
//! caller took it up, by lists of servers that are proved to have been complete over all of that time.
//!
//! The crate does no I/O and reads no clock.

mod allowance;
mod census;
mod destinations;
mod evidence;
mod id;
mod identity;
mod lifetime;
mod members;
mod outbox;
mod table;

pub use allowance::{Allowance, READS_PER_S};
pub use census::{Census, Seen};
pub use destinations::{Destination, Destinations};
pub use evidence::{Evidence, Span};
pub use id::{Stream, Version};
pub use identity::Identity;
pub use lifetime::{Life, Lifetime};
pub use members::{ASKED, COPIES, MAX_MEMBERS, MAX_READERS, Members};
pub use outbox::Outbox;
pub use table::{Origin, Record, Table};
