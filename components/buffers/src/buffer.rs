//! A buffer that holds no more memory than its share of a budget.

use bytes::Bytes;

use crate::{Exceeded, Share};

/// A buffer that grows within its share of a budget.
///
/// ```
/// let budget = buffers::Budget::new(1 << 20);
/// let mut buffer = buffers::Buffer::new(budget.share());
/// buffer.push(b"whole").unwrap();
/// let (bytes, share) = buffer.into_parts();
/// assert_eq!((&bytes[..], share.bytes()), (&b"whole"[..], 5));
/// ```
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    share: Share,
}

impl Buffer {
    /// An empty buffer.
    pub fn new(share: Share) -> Self {
        Buffer { bytes: vec![], share }
    }

    /// Number of its bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether it holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Its bytes.
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes
    }

    /// Appends bytes.
    ///
    /// ```
    /// let mut buffer = buffers::Buffer::new(buffers::Budget::new(0).share());
    /// assert!(buffer.push(&[0; buffers::ALLOWANCE]).is_ok());
    /// assert!(buffer.push(b"more").is_err());
    /// assert_eq!(buffer.len(), buffers::ALLOWANCE);
    /// ```
    ///
    /// # Errors
    /// When the budget doesn't allow that; the buffer is as it was then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Exceeded> {
        let needed = self.bytes.len() + bytes.len();
        if needed > self.bytes.capacity() {
            // Doubled, so that each byte is copied once on average, or else as large as it must be.
            let doubled = needed.max(2 * self.bytes.capacity());
            let target = match self.share.resize(doubled) {
                Ok(()) => doubled,
                Err(Exceeded) => self.share.resize(needed).map(|()| needed)?,
            };
            self.bytes.reserve_exact(target - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Its bytes, and the share that has to be kept as long as they are.
    pub fn into_parts(self) -> (Bytes, Share) {
        (self.bytes.into(), self.share)
    }
}
