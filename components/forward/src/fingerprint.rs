//! Tells whether two requests ask for the same, whoever carries them.
//!
//! Each try of a caller has an id of its own, so ids can't tell that a request has come back.

use xxhash_rust::xxh3::Xxh3;

/// Hash of what a request asks, and of whose workspace pays for it.
pub(crate) fn fingerprint(
    workspace: Option<&str>,
    method: &str,
    host: &str,
    target: &str,
    body: &[u8],
) -> u64 {
    let mut hash = Xxh3::new();
    for field in [workspace.unwrap_or_default().as_bytes(), method.as_bytes(), host.as_bytes()] {
        add(&mut hash, field);
    }
    add(&mut hash, target.as_bytes());
    add(&mut hash, body);
    hash.digest()
}

/// Adds a field after its length, so that no two lists of fields run together.
fn add(hash: &mut Xxh3, field: &[u8]) {
    hash.update(&(field.len() as u64).to_le_bytes());
    hash.update(field);
}

#[cfg(test)]
mod tests;
