//! Implements `diff`, which compares the effects of two trees.

use std::path::Path;

use super::trees;
use crate::messages::{Format, Table};

/// Prints the values in force that differ between two trees, and the workspaces and models that would
/// lose their last backend server.
pub fn diff(old: &Path, new: &Path, format: Format) -> anyhow::Result<()> {
    let (old, new) = (trees::load(old)?, trees::load(new)?);
    let mut table = Table::new(&["kind", "path", "old", "new", "place"]);
    let blank = || "-".to_string();
    for difference in old.differences(&new) {
        table.add_row([
            "change".to_string(),
            difference.path,
            difference.old.unwrap_or_else(blank),
            difference.new.unwrap_or_else(blank),
            difference.location.map_or_else(blank, |location| location.to_string()),
        ]);
    }
    for loss in old.lost_service(&new) {
        table.add_row(["warning".to_string(), loss, blank(), blank(), blank()]);
    }
    table.print(format)
}
