//! Tells whether two requests ask for the same, whoever carries them.
//!
//! Each try of a caller has an id of its own, so ids can't tell that a request has come back.

use xxhash_rust::xxh3::Xxh3;

/// Hash of the fields of a request that say what it asks and for whom.
///
/// ```
/// let draft = driver::fingerprint(&[b"choir", b"/draft", b"an arc"]);
/// assert_ne!(draft, driver::fingerprint(&[b"choir", b"/draft", b"a caption"]));
/// ```
pub fn fingerprint(fields: &[&[u8]]) -> u64 {
    let mut hash = Xxh3::new();
    for field in fields {
        // The length keeps two lists of fields from running together.
        hash.update(&(field.len() as u64).to_le_bytes());
        hash.update(field);
    }
    hash.digest()
}

#[cfg(test)]
mod tests;
