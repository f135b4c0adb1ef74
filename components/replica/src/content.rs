use wire::updates::Item;

/// What items say of themselves, for a replica, which doesn't read their values.
pub trait Content {
    /// Whether the writer of the item with this key renews it as long as it holds, and the store removes it otherwise.
    fn is_renewed(&self, key: &str) -> bool;

    /// Whether `offered` is older than `known` by numbers that their writer gave them. It then never replaces it.
    fn is_superseded(&self, known: &Item, offered: &Item) -> bool;

    /// Whether `offered` contradicts `known` in a way in which a writer doesn't change its mind. It then is the older one
    /// unless it is certain that it was written later.
    fn is_retracted(&self, known: &Item, offered: &Item) -> bool;
}
