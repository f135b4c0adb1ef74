//! Runs one case of the second review: `cases NAME FOLDER`. Exits with 1 if a rule was broken, 0 if it held, and 2 if the
//! case couldn't run.

mod reborn;
mod server;
mod support;
mod twice;

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, ExitCode, Stdio};

use support::{Log, Process};

/// What a case has found.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// Whether the disruption is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Starts a server in a process of its own.
pub fn start_server(address: SocketAddr, name: &str, log: &Log) -> Process {
    let own = std::env::current_exe().unwrap();
    let mut command = Command::new(own);
    command.args(["server", &address.to_string(), name]).arg(log.path()).stdin(Stdio::null());
    Process(command.spawn().unwrap())
}

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().collect();
    let folder = Path::new(&args[2]);
    let verdict = match args[1].as_str() {
        "server" => {
            server::run(args[2].parse().unwrap(), &args[3], &args[4]);
            Verdict::Held
        }
        "twice" => twice::run(folder),
        "reborn" => reborn::run(folder),
        _ => Verdict::NotRun,
    };
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}
