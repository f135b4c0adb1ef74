//! A budget of bytes for all buffers of a node together, whose contents others determine.
//!
//! A limit on each buffer bounds nothing while the number of buffers isn't bounded. Here a buffer may grow to a part of what
//! the others leave free, as packet buffers are shared between the queues of a switch ("dynamic thresholds"): one buffer
//! alone gets much, many that grow without end get little each, and none takes what the next one needs to begin.

mod buffer;

use std::cell::Cell;
use std::rc::Rc;

pub use buffer::Buffer;

/// Bytes that each share may hold in addition to the budget, as every connection has a buffer of about this size.
pub const ALLOWANCE: usize = 8 << 10;
/// A share may grow to this part of the bytes that stay free: one in so many.
const FREE_DIVISOR: usize = 8;

/// No more bytes may be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("all buffers together hold as many bytes as they may")]
pub struct Exceeded;

/// A budget of bytes. All its shares together hold no more than its capacity, and an [`ALLOWANCE`] each.
#[derive(Debug)]
pub struct Budget {
    capacity: Cell<usize>,
    held: Cell<usize>,
}

impl Budget {
    /// A budget of `capacity` bytes.
    ///
    /// ```
    /// assert_eq!(buffers::Budget::new(1 << 20).held(), 0);
    /// ```
    pub fn new(capacity: usize) -> Rc<Self> {
        Rc::new(Budget { capacity: Cell::new(capacity), held: Cell::new(0) })
    }

    /// Changes the capacity. Shares keep what they hold.
    ///
    /// ```
    /// let budget = buffers::Budget::new(1 << 20);
    /// budget.set_capacity(0);
    /// assert!(budget.share().resize(buffers::ALLOWANCE + 1).is_err());
    /// ```
    pub fn set_capacity(&self, capacity: usize) {
        self.capacity.set(capacity);
    }

    /// Bytes that its shares hold beyond their allowances.
    ///
    /// ```
    /// let budget = buffers::Budget::new(1 << 20);
    /// let mut share = budget.share();
    /// share.resize(buffers::ALLOWANCE + 100).unwrap();
    /// assert_eq!(budget.held(), 100);
    /// ```
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// A share that holds nothing yet.
    ///
    /// ```
    /// assert_eq!(buffers::Budget::new(1 << 20).share().bytes(), 0);
    /// ```
    pub fn share(self: &Rc<Self>) -> Share {
        Share { budget: self.clone(), bytes: 0 }
    }

    /// Whether a share that counts for `counted` bytes may count for `wanted`.
    fn may_grow(&self, counted: usize, wanted: usize) -> bool {
        let available = self.capacity.get().saturating_sub(self.held.get() - counted);
        wanted <= available / (FREE_DIVISOR + 1)
    }
}

/// Bytes that one buffer holds. They are given back when it is dropped.
#[derive(Debug)]
pub struct Share {
    budget: Rc<Budget>,
    bytes: usize,
}

impl Share {
    /// Bytes that it holds.
    ///
    /// ```
    /// let mut share = buffers::Budget::new(1 << 20).share();
    /// share.resize(5).unwrap();
    /// assert_eq!(share.bytes(), 5);
    /// ```
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of bytes that it holds. It may always shrink, and grow to its allowance.
    ///
    /// ```
    /// let budget = buffers::Budget::new(90_000);
    /// let mut share = budget.share();
    /// assert!(share.resize(buffers::ALLOWANCE + 10_000).is_ok());
    /// assert!(share.resize(buffers::ALLOWANCE + 10_001).is_err());
    /// let mut other = budget.share();
    /// assert!(other.resize(buffers::ALLOWANCE + 10_000).is_err());
    /// drop(share);
    /// assert!(other.resize(buffers::ALLOWANCE + 10_000).is_ok());
    /// ```
    ///
    /// # Errors
    /// When it may not grow so far; it holds what it held then.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Exceeded> {
        let (counted, wanted) = (counted(self.bytes), counted(bytes));
        if wanted > counted && !self.budget.may_grow(counted, wanted) {
            return Err(Exceeded);
        }
        self.replace(bytes);
        Ok(())
    }

    /// Gives back all bytes.
    pub fn clear(&mut self) {
        self.replace(0);
    }

    /// Moves bytes to a share of their own; at most those that it holds.
    ///
    /// ```
    /// let budget = buffers::Budget::new(1 << 20);
    /// let mut share = budget.share();
    /// share.resize(100).unwrap();
    /// let part = share.split(60);
    /// assert_eq!((share.bytes(), part.bytes()), (40, 60));
    /// ```
    #[must_use]
    pub fn split(&mut self, bytes: usize) -> Share {
        let bytes = bytes.min(self.bytes);
        let mut part = self.budget.share();
        self.replace(self.bytes - bytes);
        part.replace(bytes);
        part
    }

    /// Holds `bytes`, whether the budget allows them or not.
    fn replace(&mut self, bytes: usize) {
        let held = self.budget.held.get() - counted(self.bytes) + counted(bytes);
        self.budget.held.set(held);
        self.bytes = bytes;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.replace(0);
    }
}

/// The bytes of a share that count against the budget.
fn counted(bytes: usize) -> usize {
    bytes.saturating_sub(ALLOWANCE)
}
