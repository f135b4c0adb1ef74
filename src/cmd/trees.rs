//! Reads trees of settings from files and directories.

use std::path::{Path, PathBuf};

use anyhow::{Context, ensure};
use settings::Effective;

/// Reads and resolves the tree in a file, or in all `.toml` files of a directory.
pub fn load(path: &Path) -> anyhow::Result<Effective> {
    Ok(Effective::build(0, &read_parts(&[path.to_path_buf()])?, None)?)
}

/// Reads files and all `.toml` files in directories; returns the path and text of each.
pub fn read_parts(paths: &[PathBuf]) -> anyhow::Result<Vec<(String, String)>> {
    let mut parts = vec![];
    for path in paths {
        for file in list_files(path)? {
            let text = std::fs::read_to_string(&file);
            let text = text.with_context(|| format!("can't read {}", file.display()))?;
            parts.push((file.display().to_string(), text));
        }
    }
    ensure!(!parts.is_empty(), "no .toml file is there; `godwitlever init DIR` writes a first one");
    Ok(parts)
}

/// Returns the path itself, or the sorted `.toml` files if it is a directory.
fn list_files(path: &Path) -> anyhow::Result<Vec<PathBuf>> {
    if !path.is_dir() {
        return Ok(vec![path.to_path_buf()]);
    }
    let entries = std::fs::read_dir(path);
    let entries = entries.with_context(|| format!("can't read {}", path.display()))?;
    let mut files = vec![];
    for entry in entries {
        let file = entry?.path();
        if file.extension().is_some_and(|extension| extension == "toml") {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}
