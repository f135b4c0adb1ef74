//! Computes a fingerprint of a request's content, the same on all nodes and for each retry by the caller.
//!
//! Each retry has an id of its own, so ids can't show that a request has come back.

use xxhash_rust::xxh3::Xxh3;

/// Hash of the fields that identify the content of a request and its workspace.
///
/// ```
/// let draft = driver::fingerprint(&[b"choir", b"/draft", b"an arc"]);
/// assert_ne!(draft, driver::fingerprint(&[b"choir", b"/draft", b"a caption"]));
/// ```
pub fn fingerprint(fields: &[&[u8]]) -> u64 {
    let mut hash = Xxh3::new();
    for field in fields {
        // The length keeps lists apart that differ only in where one field ends and the next begins.
        hash.update(&(field.len() as u64).to_le_bytes());
        hash.update(field);
    }
    hash.digest()
}

#[cfg(test)]
mod tests;
