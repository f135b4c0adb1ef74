//! Implements `explain` and `show`, which print values in force and where they are set.

use std::path::Path;

use anyhow::{Context, ensure};
use settings::{Definition, Effective, Kind, Row};

use super::trees;
use crate::messages::{Format, Table};

/// Most names to suggest when a path isn't found; more would hide the message.
const MAX_SUGGESTIONS: usize = 8;
const HEADER: &[&str] = &["path", "value", "set_by", "overrides"];

/// Prints each value of a branch, or the value of one leaf, with where it is set.
pub fn explain(tree: &Path, path: &str, format: Format) -> anyhow::Result<()> {
    let effective = trees::load(tree)?;
    let (branch, leaf) = find_branch(&effective, path)?;
    let rows = effective.explain(branch);
    let mut table = Table::new(HEADER);
    let mut found = false;
    for row in rows.iter().filter(|row| leaf.is_none_or(|leaf| row.leaf.spec().name == leaf)) {
        table.add_row(row_cells(&branch.path(), row));
        found = true;
    }
    ensure!(found, "{path} isn't a setting of this branch; see docs/SETTINGS.md");
    table.print(format)
}

/// Prints the values in force for every branch, or for those of one kind.
pub fn show(tree: &Path, kind: Option<&str>, format: Format) -> anyhow::Result<()> {
    let effective = trees::load(tree)?;
    let kinds = match kind {
        None => Kind::ALL.to_vec(),
        Some(word) => vec![Kind::from_name(word).with_context(|| {
            let words = Kind::ALL.map(Kind::as_str).join(", ");
            format!("no kind of branch is named `{word}`; kinds are {words}")
        })?],
    };
    let mut table = Table::new(HEADER);
    for branch in kinds.into_iter().flat_map(|kind| effective.branches(kind)) {
        for row in effective.explain(branch).iter().filter(|row| row.value.is_some()) {
            table.add_row(row_cells(&branch.path(), row));
        }
    }
    table.print(format)
}

/// Splits a path into the existing branch and the name of the leaf, if the path has one.
fn find_branch<'a, 'b>(
    effective: &'a Effective,
    path: &'b str,
) -> anyhow::Result<(&'a settings::Branch, Option<&'b str>)> {
    if let Some(branch) = effective.branch(path) {
        return Ok((branch, None));
    }
    let leaf = path.rsplit_once('.');
    let found = leaf.and_then(|(branch, leaf)| Some((effective.branch(branch)?, leaf)));
    let (branch, leaf) = found.with_context(|| not_found_message(effective, path))?;
    Ok((branch, Some(leaf)))
}

/// Returns the error for a path without a branch, with the names of branches of its kind.
fn not_found_message(effective: &Effective, path: &str) -> String {
    let kind = path.split('.').next().and_then(Kind::from_name);
    let known = kind.into_iter().flat_map(|kind| effective.branches(kind));
    let known: Vec<_> = known.map(|branch| branch.path()).take(MAX_SUGGESTIONS).collect();
    let hint = match known.is_empty() {
        true => "write KIND.NAME or KIND.NAME.SETTING, such as class.booking.deadline".to_string(),
        false => format!("of this kind there is {}", known.join(", ")),
    };
    format!("nothing stands at `{path}`; {hint}")
}

/// Returns the cells of the table for a leaf of a branch.
fn row_cells(branch: &str, row: &Row) -> [String; 4] {
    let origin =
        |definition: &Definition| format!("{} ({})", definition.branch, definition.location);
    let set_by = match (&row.set_by, &row.value) {
        (Some(definition), _) => origin(definition),
        (None, Some(_)) => "default".to_string(),
        (None, None) => "nobody".to_string(),
    };
    let overridden: Vec<_> =
        row.overrides.iter().map(|over| format!("{} of {}", over.value, origin(over))).collect();
    [
        format!("{branch}.{}", row.leaf.spec().name),
        row.value.clone().unwrap_or_default(),
        set_by,
        overridden.join("; "),
    ]
}
