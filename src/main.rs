//! Runs the operator's command: it checks and explains settings and shows the state of nodes.

mod cli;
mod cmd;
mod messages;

use std::process::ExitCode;

use clap::{CommandFactory, Parser};

use crate::cli::Command;

fn main() -> ExitCode {
    let cli = cli::Cli::parse();
    let format = cli.format;
    let result = match cli.command {
        Command::Check { paths } => cmd::check(&paths, format),
        Command::Explain { tree, path } => cmd::explain(&tree, &path, format),
        Command::Show { tree, kind } => cmd::show(&tree, kind.as_deref(), format),
        Command::Diff { old, new } => cmd::diff(&old, &new, format),
        Command::Status { addresses } => cmd::status(&addresses, format),
        Command::Route(asked) => cmd::route(&asked, format),
        Command::Losses { files, plot } => cmd::losses(&files, plot.as_deref(), format),
        Command::Init { directory } => cmd::init(&directory),
        Command::Digest => cmd::digest(),
        Command::Completion { shell } => {
            let mut command = cli::Cli::command();
            clap_complete::generate(shell, &mut command, "godwitlever", &mut std::io::stdout());
            Ok(())
        }
        Command::Demo { seconds, keep } => cmd::demo(seconds, keep),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            messages::print_error(&error);
            ExitCode::FAILURE
        }
    }
}
