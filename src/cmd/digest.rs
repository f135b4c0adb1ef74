//! Implements `digest`, which prints the digest of a bearer key.

use std::io::stdin;

use anyhow::{Context, ensure};

/// Prints the digest of a bearer key for a tree. The key is read from standard input, so that it
/// doesn't get into the shell's history.
pub fn digest() -> anyhow::Result<()> {
    let mut key = String::new();
    stdin().read_line(&mut key).context("can't read a key from standard input")?;
    let key = key.trim_end_matches(['\n', '\r']);
    ensure!(!key.is_empty(), "no key came; write it to standard input");
    println!("{}", settings::format_digest(&settings::key_digest(key)));
    Ok(())
}
