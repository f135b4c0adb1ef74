//! Wire form of the platform's two services: JSON over HTTP.

use serde::{Deserialize, Serialize};

/// Path of the manifest; `?after=N` waits until its revision is above `N`.
pub const MANIFEST: &str = "/manifest";
/// Path under which values stand by their digest.
pub const VALUES: &str = "/values/";
/// Path of the list of VMs.
pub const VMS: &str = "/vms";

derives::data! {
    /// What a revision consists of.
    #[derive(Serialize, Deserialize)]
    pub struct Manifest {
        /// Number of the revision.
        pub revision: u64,
        /// Its parts in order.
        pub parts: Vec<Part>,
    }

    /// One part of a revision; its value never changes, since it stands under its digest.
    #[derive(Eq, Hash, Serialize, Deserialize)]
    pub struct Part {
        /// Name of the part.
        pub name: String,
        /// Digest of its value, XXH3 of 64 bits in hexadecimal.
        pub digest: String,
    }

    /// A VM of the list.
    #[derive(Serialize, Deserialize)]
    pub struct Vm {
        /// Name.
        pub name: String,
        /// What runs on it.
        pub role: Role,
        /// IP number and port of its peers' listener, or of the backend server.
        pub address: String,
        /// Failure domain.
        pub domain: String,
        /// It is about to go.
        #[serde(default)]
        pub leaving: bool,
    }

    /// What runs on a VM.
    #[derive(Copy, Eq, Serialize, Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Role {
        /// A router.
        Entry,
        /// A backend server.
        Backend,
    }
}

/// Digest of a value, as manifests write it.
///
/// ```
/// assert_eq!(configuration::wire::digest("a").len(), 16);
/// ```
pub fn digest(value: &str) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(value.as_bytes()))
}
