use std::path::PathBuf;

use anyhow::bail;
use settings::{Effective, Fault};

use super::trees;
use crate::messages::{Format, Table};

/// Checks that the files make a whole tree; shows all faults and warnings.
pub fn check(paths: &[PathBuf], format: Format) -> anyhow::Result<()> {
    let parts = trees::parts(paths)?;
    let mut table = Table::new(&["kind", "place", "path", "message"]);
    let mut add = |kind: &str, faults: &[Fault]| {
        for fault in faults {
            let location = fault.location.to_string();
            table.row([kind.to_string(), location, fault.path.clone(), fault.cause.to_string()]);
        }
    };
    match Effective::build(0, &parts, None) {
        Ok(effective) => {
            add("warning", &effective.warnings);
            table.show(format)?;
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
            add("error", &faults.0);
            table.show(format)?;
            bail!("{} faults; mend them and check again", faults.0.len())
        }
    }
}
