//! Collects what is to be told to each keeper while a message to it is under way.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::id::Stream;

/// Streams that wait for one keeper; bounds the memory while it is silent.
const MAX_WAITING: usize = 4_096;
/// Streams in one message.
const MAX_BATCH: usize = 256;

#[derive(Debug, Default)]
struct Keeper {
    waiting: Vec<Stream>,
    in_flight: bool,
    /// Number that identifies the process that answered last.
    boot: Option<u32>,
    /// It didn't get a message.
    missed: bool,
}

/// Streams that keepers are yet to be told of. One message at a time is under way to each, so that messages hold the
/// more streams the longer a keeper takes.
///
/// ```
/// use origins::{Outbox, Stream};
///
/// let (mut outbox, keeper) = (Outbox::default(), ([10, 0, 0, 1], 80).into());
/// assert!(outbox.push(keeper, Stream(1)));
/// assert_eq!(outbox.next_batch(keeper), [Stream(1)]);
/// assert!(!outbox.push(keeper, Stream(2)));
/// assert_eq!(outbox.next_batch(keeper), [Stream(2)]);
/// assert!(outbox.next_batch(keeper).is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Outbox {
    keepers: HashMap<SocketAddr, Keeper>,
}

impl Outbox {
    /// Adds a stream; returns whether sending has to begin.
    pub fn push(&mut self, keeper: SocketAddr, stream: Stream) -> bool {
        let keeper = self.keepers.entry(keeper).or_default();
        if keeper.waiting.len() < MAX_WAITING && !keeper.waiting.contains(&stream) {
            keeper.waiting.push(stream);
        }
        !std::mem::replace(&mut keeper.in_flight, true)
    }

    /// The streams of the next message; sending ends if there are none.
    pub fn next_batch(&mut self, keeper: SocketAddr) -> Vec<Stream> {
        let Some(keeper) = self.keepers.get_mut(&keeper) else { return vec![] };
        let count = keeper.waiting.len().min(MAX_BATCH);
        keeper.in_flight = count > 0;
        keeper.waiting.drain(..count).collect()
    }

    /// Records the number of the process that answered, or that none did. Returns whether the keeper lacks what it was
    /// told before.
    pub fn record_answer(&mut self, keeper: SocketAddr, boot: Option<u32>) -> bool {
        let keeper = self.keepers.entry(keeper).or_default();
        let Some(boot) = boot else {
            keeper.missed = true;
            return false;
        };
        let restarted = keeper.boot.replace(boot).is_some_and(|before| before != boot);
        std::mem::take(&mut keeper.missed) || restarted
    }

    /// Forgets keepers that aren't listed and to which nothing is under way.
    pub fn retain(&mut self, is_listed: impl Fn(&SocketAddr) -> bool) {
        self.keepers.retain(|address, keeper| keeper.in_flight || is_listed(address));
    }
}
