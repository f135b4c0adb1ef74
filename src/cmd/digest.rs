use std::io::stdin;

use anyhow::{Context, ensure};

/// Reads a key from standard input, so that it stays out of the shell's history, and prints the
/// digest that a tree holds.
pub fn digest() -> anyhow::Result<()> {
    let mut key = String::new();
    stdin().read_line(&mut key).context("can't read a key from standard input")?;
    let key = key.trim_end_matches(['\n', '\r']);
    ensure!(!key.is_empty(), "no key came; write it to standard input");
    println!("{}", settings::format_digest(&settings::key_digest(key)));
    Ok(())
}
