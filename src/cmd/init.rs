//! Implements `init`, which writes an example tree.

use std::path::Path;

use anyhow::{Context, ensure};

/// Commented example tree for a new deployment.
const EXAMPLE_TREE: &str = include_str!("init.toml");

/// Writes the example tree into a directory, unless the directory has one already.
pub fn init(directory: &Path) -> anyhow::Result<()> {
    let file = directory.join("tree.toml");
    ensure!(!file.exists(), "{} is there already; name another directory", file.display());
    std::fs::create_dir_all(directory)
        .with_context(|| format!("can't make {}", directory.display()))?;
    std::fs::write(&file, EXAMPLE_TREE)
        .with_context(|| format!("can't write {}", file.display()))?;
    println!(
        "wrote {}; change it, then run `godwitlever check {}`",
        file.display(),
        directory.display()
    );
    Ok(())
}
