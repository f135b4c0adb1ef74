use std::path::Path;

use super::trees;
use crate::messages::{Format, Table};

/// Shows what would change in effect from one tree to another, and what that would take away.
pub fn diff(old: &Path, new: &Path, format: Format) -> anyhow::Result<()> {
    let (old, new) = (trees::load(old)?, trees::load(new)?);
    let mut table = Table::new(&["kind", "path", "old", "new", "place"]);
    let blank = || "-".to_string();
    for found in old.differences(&new) {
        table.row([
            "change".to_string(),
            found.path,
            found.old.unwrap_or_else(blank),
            found.new.unwrap_or_else(blank),
            found.location.map_or_else(blank, |location| location.to_string()),
        ]);
    }
    for loss in old.lost_service(&new) {
        table.row(["warning".to_string(), loss, blank(), blank(), blank()]);
    }
    table.show(format)
}
