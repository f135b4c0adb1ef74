use std::path::Path;

use anyhow::{Context, ensure};
use settings::{Definition, Effective, Kind, Row};

use super::trees;
use crate::messages::{Format, Table};

/// Names shown where one wasn't found; more would bury the message.
const SHOWN: usize = 8;
const HEAD: &[&str] = &["path", "value", "set_by", "overrides"];

/// Shows each value of a branch, or the value of one leaf, with who set it.
pub fn explain(tree: &Path, path: &str, format: Format) -> anyhow::Result<()> {
    let effective = trees::load(tree)?;
    let (branch, leaf) = find(&effective, path)?;
    let rows = effective.explain(branch);
    let mut table = Table::new(HEAD);
    let mut any = false;
    for row in rows.iter().filter(|row| leaf.is_none_or(|leaf| row.leaf.spec().name == leaf)) {
        table.row(cells(&branch.path(), row));
        any = true;
    }
    ensure!(any, "{path} isn't a setting of this branch; see docs/SETTINGS.md");
    table.show(format)
}

/// Shows what is in force for every branch of a kind, or of all.
pub fn show(tree: &Path, kind: Option<&str>, format: Format) -> anyhow::Result<()> {
    let effective = trees::load(tree)?;
    let kinds = match kind {
        None => Kind::ALL.to_vec(),
        Some(word) => vec![Kind::from_word(word).with_context(|| {
            let words = Kind::ALL.map(Kind::as_str).join(", ");
            format!("no kind of branch is named `{word}`; kinds are {words}")
        })?],
    };
    let mut table = Table::new(HEAD);
    for branch in kinds.into_iter().flat_map(|kind| effective.branches(kind)) {
        for row in effective.explain(branch).iter().filter(|row| row.value.is_some()) {
            table.row(cells(&branch.path(), row));
        }
    }
    table.show(format)
}

fn find<'a, 'b>(
    effective: &'a Effective,
    path: &'b str,
) -> anyhow::Result<(&'a settings::Branch, Option<&'b str>)> {
    if let Some(branch) = effective.branch(path) {
        return Ok((branch, None));
    }
    let leaf = path.rsplit_once('.');
    let found = leaf.and_then(|(branch, leaf)| Some((effective.branch(branch)?, leaf)));
    let (branch, leaf) = found.with_context(|| nothing(effective, path))?;
    Ok((branch, Some(leaf)))
}

/// Tells that nothing stands at a path, and what does.
fn nothing(effective: &Effective, path: &str) -> String {
    let kind = path.split('.').next().and_then(Kind::from_word);
    let known = kind.into_iter().flat_map(|kind| effective.branches(kind));
    let known: Vec<_> = known.map(|branch| branch.path()).take(SHOWN).collect();
    let hint = match known.is_empty() {
        true => "write KIND.NAME or KIND.NAME.SETTING, such as class.booking.deadline".to_string(),
        false => format!("of this kind there is {}", known.join(", ")),
    };
    format!("nothing stands at `{path}`; {hint}")
}

fn cells(branch: &str, row: &Row) -> [String; 4] {
    let origin =
        |definition: &Definition| format!("{} ({})", definition.branch, definition.location);
    let set = match (&row.set_by, &row.value) {
        (Some(set), _) => origin(set),
        (None, Some(_)) => "default".to_string(),
        (None, None) => "nobody".to_string(),
    };
    let overridden: Vec<_> =
        row.overrides.iter().map(|over| format!("{} of {}", over.value, origin(over))).collect();
    [
        format!("{branch}.{}", row.leaf.spec().name),
        row.value.clone().unwrap_or_default(),
        set,
        overridden.join("; "),
    ]
}
