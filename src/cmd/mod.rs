//! Implements the subcommands of the operator's command.

mod check;
mod demo;
mod diff;
mod digest;
mod explain;
mod init;
mod losses;
mod status;
mod trees;

pub use check::check;
pub use demo::demo;
pub use diff::diff;
pub use digest::digest;
pub use explain::{explain, show};
pub use init::init;
pub use losses::losses;
pub use status::status;
