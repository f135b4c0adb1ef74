//! Implements `check`, which validates a tree.

use std::path::PathBuf;

use anyhow::bail;
use settings::{Effective, Fault};

use super::trees;
use crate::messages::{Format, Table};

/// Checks that the files form a valid tree, and prints all faults and warnings. Fails if there are
/// faults.
pub fn check(paths: &[PathBuf], format: Format) -> anyhow::Result<()> {
    let parts = trees::read_parts(paths)?;
    let mut table = Table::new(&["kind", "place", "path", "message"]);
    let mut add_rows = |kind: &str, faults: &[Fault]| {
        for fault in faults {
            let location = fault.location.to_string();
            table.add_row([
                kind.to_string(),
                location,
                fault.path.clone(),
                fault.cause.to_string(),
            ]);
        }
    };
    match Effective::build(0, &parts, None) {
        Ok(effective) => {
            add_rows("warning", &effective.warnings);
            table.print(format)?;
            if format == Format::Text {
                println!(
                    "good: {} classes, {} workspaces, {} backend servers",
                    effective.classes.len(),
                    effective.workspaces.len(),
                    effective.servers.len()
                );
            }
            Ok(())
        }
        Err(faults) => {
            add_rows("error", &faults.0);
            table.print(format)?;
            bail!("{} faults; mend them and check again", faults.0.len())
        }
    }
}
