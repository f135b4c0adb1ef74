use wire::updates::Item;

/// What items say of themselves, for a replica, which doesn't read their values.
pub trait Content {
    /// Whether the writer of the item with this key renews it as long as it holds, and the store removes it otherwise.
    fn is_renewed(&self, key: &str) -> bool;

    /// Whether `offered` is older than `known` by numbers that their writer gave them. It then never replaces it.
    fn is_superseded(&self, known: &Item, offered: &Item) -> bool;

    /// Identifies the start of the writer that wrote the item, if a writer starts again under the same key.
    fn start(&self, item: &Item) -> Option<u64>;

    /// Whether the writer says in the item that its present start ends.
    fn is_final(&self, item: &Item) -> bool;
}
