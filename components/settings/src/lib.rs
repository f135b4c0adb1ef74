//! Parses and validates the tree of settings that operators publish, resolves the values in force for
//! each class, workspace and backend server, and parses a node's own settings file.

mod build;
mod effective;
mod error;
mod explain;
mod fault;
mod leaf;
mod names;
pub mod node;
pub mod part;
mod tree;
pub mod unit;
mod value;
pub mod watermark;

pub use build::{format_digest, key_digest};
pub use effective::{Class, Effective, KeyDigest, Limits, Role, Server, ServerKind, Workspace};
pub use error::Error;
pub use explain::{Definition, Difference, Row};
pub use fault::{Cause, Fault, Faults, Location};
pub use leaf::{Kind, Leaf, Spec};
pub use names::Names;
pub use part::{Assignment, Branch, Part};
pub use tree::{Chain, Tree};
pub use value::{Type, Value};
