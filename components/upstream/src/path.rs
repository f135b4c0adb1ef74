//! Records through which nodes an answer came from the store.

use std::fmt;
use std::net::SocketAddr;

/// Nodes of a path that are recorded: a node that asks a seed, which asks another node, which reads the store.
pub const MAX_HOPS: usize = 3;

derives::data! {
    /// The nodes between the store and a node's last answer, by the addresses of their listeners for peers. The node that
    /// was asked comes first, the one that read the store last.
    ///
    /// ```
    /// use upstream::Path;
    ///
    /// let (seed, reader) = (([10, 0, 0, 1], 7).into(), ([10, 0, 0, 2], 7).into());
    /// let path = Path::store().through(reader).through(seed);
    /// assert_eq!(path.to_string(), "10.0.0.1:7, 10.0.0.2:7");
    /// assert_eq!(path.reader(), Some(reader));
    /// assert!(Path::store().is_direct());
    /// ```
    #[derive(Eq)]
    pub struct Path {
        /// None if a node on the path doesn't say where its answers come from.
        nodes: Option<Vec<SocketAddr>>,
    }
}

impl Path {
    /// An answer of the store itself.
    pub fn store() -> Self {
        Path { nodes: Some(vec![]) }
    }

    /// The path that a peer states of its own answers; none if it states none.
    pub fn stated(nodes: Option<Vec<SocketAddr>>) -> Self {
        Path { nodes }
    }

    /// The same answer, received from a peer that has it by this path.
    pub fn through(&self, peer: SocketAddr) -> Self {
        let onward = self.nodes.as_ref();
        let nodes =
            onward.map(|onward| [peer].iter().chain(onward).take(MAX_HOPS).copied().collect());
        Path { nodes }
    }

    /// Whether the store itself answered.
    pub fn is_direct(&self) -> bool {
        self.nodes.as_ref().is_some_and(Vec::is_empty)
    }

    /// Whether a node takes the answer of a peer that has it by this path for news of the store. A seed relies only on a
    /// peer that reads the store itself, and no node on its own answers, so that none waits for one that waits for it. A
    /// peer that doesn't state its path is relied on.
    ///
    /// ```
    /// use upstream::Path;
    ///
    /// let (own, delegate) = (([10, 0, 0, 1], 7).into(), ([10, 0, 0, 2], 7).into());
    /// let path = Path::store().through(delegate);
    /// assert!(Path::store().is_news_for(own, true));
    /// assert!(!path.is_news_for(own, true));
    /// assert!(path.is_news_for(own, false));
    /// assert!(!path.is_news_for(delegate, false));
    /// ```
    pub fn is_news_for(&self, own: SocketAddr, is_seed: bool) -> bool {
        let Some(nodes) = &self.nodes else { return true };
        nodes.is_empty() || (!is_seed && !nodes.contains(&own))
    }

    /// The node that read the store, if it isn't this one.
    pub fn reader(&self) -> Option<SocketAddr> {
        self.nodes.as_ref()?.last().copied()
    }

    /// The nodes, as they are stated to peers.
    pub fn nodes(&self) -> Option<&[SocketAddr]> {
        self.nodes.as_deref()
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.nodes.as_deref() {
            None => f.write_str("unknown"),
            Some([]) => f.write_str("store"),
            Some(nodes) => {
                let nodes: Vec<_> = nodes.iter().map(SocketAddr::to_string).collect();
                f.write_str(&nodes.join(", "))
            }
        }
    }
}
