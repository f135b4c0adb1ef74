//! Defines typed slot map keys, and the request identifiers that are sent over the network.

mod request;

pub use request::{ParseError, Request};

slotmap::new_key_type! {
    /// A service class.
    pub struct Class;
    /// A workspace.
    pub struct Workspace;
    /// A backend server.
    pub struct Server;
    /// A model name.
    pub struct Model;
    /// A version of the software of one service's servers.
    pub struct Version;
    /// A region.
    pub struct Region;
    /// A failure domain.
    pub struct Domain;
    /// A request that the scheduler owns, from its submission to its end.
    pub struct Job;
}
