//! Defines the arguments of the operator's command.
//!
//! The doc comments of the types below are its help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;

use crate::messages::Format;

/// Operates routers for language-model traffic.
#[derive(Parser)]
#[command(version)]
pub struct Cli {
    /// Form of what is shown.
    #[arg(long, global = true, value_enum, default_value_t = Format::Text)]
    pub format: Format,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do. A tree is a file or a directory of .toml files.
#[derive(Subcommand)]
pub enum Command {
    /// Checks a tree of settings and shows all that is wrong with it.
    #[command(after_help = "Example: godwitlever check examples/dala")]
    Check {
        /// Files or directories that make one tree.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
    },
    /// Shows the values in force for a branch, who set them, where, and what they override.
    #[command(after_help = "Example: godwitlever explain examples/dala class.caption.first_token")]
    Explain {
        /// The tree.
        tree: PathBuf,
        /// A branch or one of its settings, such as class.booking.deadline.
        path: String,
    },
    /// Shows the values in force for all branches, or those of one kind.
    #[command(after_help = "Example: godwitlever show examples/dala class")]
    Show {
        /// The tree.
        tree: PathBuf,
        /// Kind of branch, such as class or workspace.
        kind: Option<String>,
    },
    /// Shows what changes in effect from one tree to another.
    #[command(after_help = "Example: godwitlever diff published/ changed/")]
    Diff {
        /// The tree before.
        old: PathBuf,
        /// The tree after.
        new: PathBuf,
    },
    /// Shows the state of nodes and how they differ.
    #[command(after_help = "Example: godwitlever status 10.0.0.1:9002 10.0.0.2:9002")]
    Status {
        /// Operators' addresses of nodes.
        #[arg(required = true)]
        addresses: Vec<SocketAddr>,
    },
    /// Shows where a node would send a request now, and why, without sending it.
    #[command(
        after_help = "Example: godwitlever route 10.0.0.1:9002 --host desk.example --path /chat/ \
                      --key - --model small --tokens 2000,100 < key"
    )]
    Route(Route),
    /// Tells from nodes' logs who wasn't served, and why.
    #[command(after_help = "Example: cat node-*.log | godwitlever losses --plot losses.svg")]
    Losses {
        /// Files of JSON log lines, of any number of nodes and in any order; standard input if none.
        files: Vec<PathBuf>,
        /// Draws attainment of each class over time into this file.
        #[arg(long, value_name = "FILE.svg")]
        plot: Option<PathBuf>,
    },
    /// Writes a first, commented tree into a directory.
    Init {
        /// The directory.
        directory: PathBuf,
    },
    /// Reads a callers' key from standard input and prints its digest for a tree.
    #[command(after_help = "Example: printf 'the-key' | godwitlever digest")]
    Digest,
    /// Prints completions for a shell.
    #[command(
        after_help = "Example: godwitlever completion bash > /etc/bash_completion.d/godwitlever"
    )]
    Completion {
        /// The shell.
        shell: Shell,
    },
    /// Runs stand-ins and three routers in this process and sends them a mixed load.
    Demo {
        /// How long the load lasts.
        #[arg(long, default_value_t = 5)]
        seconds: u64,
        /// Leaves all up until interrupted.
        #[arg(long)]
        keep: bool,
    },
}

/// A request that isn't sent, and the node that is asked about it.
#[derive(Args)]
pub struct Route {
    /// Operators' address of the node.
    pub node: SocketAddr,
    /// Host that the request names.
    #[arg(long)]
    pub host: String,
    /// Its path.
    #[arg(long)]
    pub path: String,
    /// API key of its workspace, or - to read it from standard input. It is neither shown nor logged.
    #[arg(long)]
    pub key: Option<String>,
    /// Model that it asks for; without one, it may go to any server of its service.
    #[arg(long)]
    pub model: Option<String>,
    /// Tokens of the prompt, and the limit on those of the answer.
    #[arg(long, value_name = "IN,OUT")]
    pub tokens: Option<String>,
    /// Parts of the prompt that other requests share, in order; ids as in `parts` of nodes' logs.
    #[arg(long, value_name = "ID:TOKENS,...")]
    pub prefix: Option<String>,
    /// Prints the node's answer as JSON; the same as `--format json`.
    #[arg(long)]
    pub json: bool,
}
