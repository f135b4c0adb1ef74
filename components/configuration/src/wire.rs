//! Defines the wire format of the configuration service and of the list of VMs: JSON over HTTP.

use serde::{Deserialize, Serialize};

/// Path of the manifest; `?after=N` waits until its revision is above `N`.
pub const MANIFEST_PATH: &str = "/manifest";
/// Prefix of the paths of values; the digest follows.
pub const VALUE_PATH: &str = "/values/";
/// Path of the list of VMs.
pub const VMS_PATH: &str = "/vms";

derives::data! {
    /// What a revision consists of.
    #[derive(Serialize, Deserialize)]
    pub struct Manifest {
        /// Number of the revision.
        pub revision: u64,
        /// Its parts, in order.
        pub parts: Vec<Part>,
    }

    /// One part of a revision; the value with a digest never changes.
    #[derive(Eq, Hash, Serialize, Deserialize)]
    pub struct Part {
        /// Name of the part.
        pub name: String,
        /// Digest of its value: 64-bit XXH3 in hexadecimal.
        pub digest: String,
    }

    /// A VM in the list.
    #[derive(Serialize, Deserialize)]
    pub struct Vm {
        /// Name.
        pub name: String,
        /// What it runs.
        pub role: Role,
        /// IP address and port of the entry VM's listener for peers, or of the backend server.
        pub address: String,
        /// Failure domain.
        pub domain: String,
        /// The VM is about to be removed.
        #[serde(default)]
        pub leaving: bool,
    }

    /// What a VM runs.
    #[derive(Copy, Eq, Serialize, Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Role {
        /// A router (entry VM).
        Entry,
        /// A backend server.
        Backend,
    }
}

/// Digest of a value in the form that manifests have.
///
/// ```
/// assert_eq!(configuration::wire::digest("a").len(), 16);
/// ```
pub fn digest(value: &str) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(value.as_bytes()))
}
