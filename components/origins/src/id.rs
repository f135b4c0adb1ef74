//! Defines the keys by which nodes name streams and versions to each other.

use xxhash_rust::xxh3::xxh3_64;

derives::value! {
    /// A stream, by the hash of the id of the try that began it.
    pub struct Stream(pub u64);

    /// A version of one service's software, by the hash of both names.
    pub struct Version(pub u32);
}

impl Stream {
    /// The stream that the try `id` began.
    ///
    /// ```
    /// assert_ne!(origins::Stream::begun_by("a"), origins::Stream::begun_by("b"));
    /// ```
    pub fn begun_by(id: &str) -> Self {
        Stream(xxh3_64(id.as_bytes()))
    }
}

impl Version {
    /// A version of the software of a service.
    ///
    /// ```
    /// let drafts = origins::Version::of("drafts", "v1");
    /// assert_ne!(drafts, origins::Version::of("drafts", "v2"));
    /// assert_ne!(drafts, origins::Version::of("desk", "v1"));
    /// ```
    pub fn of(service: &str, version: &str) -> Self {
        Version(wire::key(&format!("{service}\n{version}")))
    }
}
