use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use catalog::Freshness;
use wire::updates::{Base, Item, Items, Position};

use crate::content::Content;
use crate::recall::Recall;
use crate::standing::{self, Standing};

/// Least number of deletions that are remembered; as many as there are items if these are more. A peer whose
/// position is older than these can't be sent changes, and has to ask for all items.
const MIN_DELETIONS: usize = 1_000;

/// Number of items that may have changed since the base was packed before it is packed again.
const MAX_CHANGES_SINCE_BASE: usize = 100;

/// Number of positions for which packed changes are kept.
const MAX_PACKED_POSITIONS: usize = 16;

/// Number of former eras of which the last position is remembered.
const MAX_ERAS: usize = 8;

derives::data! {
    /// What became of items that a source sent.
    #[derive(Default)]
    pub struct Changes {
        /// Items that take effect, in order.
        pub items: Vec<Item>,
        /// Items that this node knows better than the store, by key, each with the store's revision.
        pub overruled: Vec<(String, u64)>,
        /// The era before the one to which this node changed.
        pub former_era: Option<u64>,
    }
}

/// What to do with an item that a source sent.
enum Judgement {
    /// It is known already.
    Known,
    /// It is the same word, written again.
    Renewed,
    /// What is known is older.
    Newer,
    /// What is known is newer, although the store has forgotten it.
    Overruled,
}

/// A node's copy of a store.
///
/// ```
/// use std::time::{Duration, Instant};
/// use wire::updates::{Item, Position};
///
/// struct Plain;
/// impl replica::Content for Plain {
///     fn is_renewed(&self, _key: &str) -> bool { false }
///     fn is_superseded(&self, _known: &Item, _offered: &Item) -> bool { false }
///     fn is_retracted(&self, _known: &Item, _offered: &Item) -> bool { false }
/// }
///
/// let (mut replica, now) = (replica::Replica::new(Duration::from_secs(4)), Instant::now());
/// let at = |era, revision| Position { era, revision };
/// let item = |revision, value: &str| Item {
///     key: "a".into(), revision, era: 1, origin: None, value: Some(value.as_bytes().to_vec().into()),
/// };
/// replica.replace(vec![item(3, "old")], at(1, 3), &Plain, now);
/// replica.apply(vec![item(4, "new")], at(1, 4), &Plain, now);
/// // The store comes back from a copy that it made before the last change.
/// let listed = Item { era: 2, ..item(3, "old") };
/// let changes = replica.replace(vec![listed], at(2, 3), &Plain, now);
/// assert_eq!(changes.items, []);
/// assert_eq!(changes.overruled, [("a".to_string(), 3)]);
/// ```
#[derive(Debug)]
pub struct Replica {
    items: BTreeMap<String, Item>,
    position: Option<Position>,
    /// The first position that was known in its era. Later revisions are of changes that were made in it.
    entered: Position,
    /// The last known positions of former eras.
    former: Vec<Position>,
    /// Deletions before this position aren't known.
    floor: Position,
    /// Changes after the position may be missing, so that everything must be read again.
    incomplete: bool,
    recall: Recall,
    standing: Standing,
    /// All items, packed for peers that have none: hundreds ask at once when a fleet starts.
    base: Option<Base>,
    /// Changes since a position, packed. Peers that received the last change at the same time ask from
    /// the same position.
    packed_changes: HashMap<Position, Items>,
    freshness: Freshness,
}

impl Replica {
    /// An empty replica. An answer proves for `max_age` that nothing newer was published.
    pub fn new(max_age: Duration) -> Self {
        Replica {
            items: BTreeMap::new(),
            position: None,
            entered: Position::default(),
            former: vec![],
            floor: Position::default(),
            incomplete: false,
            recall: Recall::default(),
            standing: Standing::default(),
            base: None,
            packed_changes: HashMap::new(),
            freshness: Freshness::new(max_age),
        }
    }

    /// Position in the store's history up to which all changes are contained; none before the first read.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Position from which to ask for changes; none if everything must be read.
    pub fn continues_from(&self) -> Option<Position> {
        self.position.filter(|_| !self.incomplete)
    }

    /// Whether everything was read at least once.
    pub fn is_loaded(&self) -> bool {
        self.position.is_some()
    }

    /// Records that changes after the position can't be had any more.
    pub fn mark_incomplete(&mut self) {
        self.incomplete = true;
    }

    /// Era of the store that this node knows; 0 before the first read.
    pub fn era(&self) -> u64 {
        self.position.unwrap_or_default().era
    }

    /// Whether a source at this position is in an era that has ended. What it sends proves nothing.
    pub fn is_outdated(&self, position: Position) -> bool {
        position.era < self.era()
    }

    /// The proof that nothing newer was published.
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// The proof that nothing newer was published, to be renewed.
    pub fn freshness_mut(&mut self) -> &mut Freshness {
        &mut self.freshness
    }

    /// Applies all changes up to a position. Those of an era that has ended are ignored.
    pub fn apply(
        &mut self,
        items: Vec<Item>,
        position: Position,
        content: &impl Content,
        now: Instant,
    ) -> Changes {
        if self.is_outdated(position) {
            return Changes::default();
        }
        let former_era = self.advance(position);
        let mut changes = self.merge_all(items, content, now);
        changes.former_era = former_era;
        self.forget_oldest_deletions();
        changes
    }

    /// Applies the complete list of items at a position: items that aren't in it were deleted, except for those that the
    /// store has forgotten and that nobody renews.
    pub fn replace(
        &mut self,
        items: Vec<Item>,
        position: Position,
        content: &impl Content,
        now: Instant,
    ) -> Changes {
        if self.is_outdated(position) {
            return Changes::default();
        }
        if self.position.is_none() {
            self.floor = position;
        }
        let former_era = self.advance(position);
        self.incomplete = false;
        let missing = self.missing(&items, position, content);
        let mut changes = self.merge_all(missing, content, now);
        let listed = self.merge_all(items, content, now);
        changes.items.extend(listed.items);
        changes.overruled.extend(listed.overruled);
        changes.former_era = former_era;
        self.forget_oldest_deletions();
        changes
    }

    /// Adopts what a peer knows better than the store.
    pub fn learn(&mut self, standing: Vec<Item>, content: &impl Content, now: Instant) -> Changes {
        let era = self.era();
        let current = standing.into_iter().filter(|item| item.era == era).collect();
        self.merge_all(current, content, now)
    }

    /// Lets the store's versions take effect that were overruled for `time` although their writers renew them; returns
    /// them. The store would have removed them by then if their writers had ended.
    pub fn release(&mut self, time: Duration, content: &impl Content, now: Instant) -> Vec<Item> {
        let released = self.standing.release(time, now, |key| content.is_renewed(key));
        if !released.is_empty() {
            self.clear_packed();
        }
        released
    }

    /// When [`Replica::release`] next has something to release after `time`.
    pub fn next_release(&self, time: Duration, content: &impl Content) -> Option<Instant> {
        self.standing.next_release(time, |key| content.is_renewed(key))
    }

    /// Items that this node knows better than the store, each after the store's version.
    pub fn standing(&self) -> Vec<Item> {
        self.standing.keys().flat_map(|key| self.versions(&self.items[key])).collect()
    }

    /// Digest of the items that this node knows better than the store; 0 if there are none.
    pub fn standing_digest(&self) -> u64 {
        standing::digest(self.standing.keys().map(|key| &self.items[key]))
    }

    /// Changes after a position; none if deletions after it have been forgotten, or it isn't one that this node has passed.
    pub fn changes_since(&mut self, position: Position) -> Option<Items> {
        if position < self.floor || !self.has_passed(position) {
            return None;
        }
        if let Some(items) = self.packed_changes.get(&position) {
            return Some(items.clone());
        }
        let items = Items::pack(&self.items_after(position));
        if self.packed_changes.len() >= MAX_PACKED_POSITIONS {
            self.packed_changes.clear();
        }
        self.packed_changes.insert(position, items.clone());
        Some(items)
    }

    /// All items as a packed base, and the changes since it was packed.
    pub fn snapshot(&mut self) -> (Base, Items) {
        let recent = |base: &&Base| self.count_after(base.position()) <= MAX_CHANGES_SINCE_BASE;
        if let Some(base) = self.base.as_ref().filter(recent).cloned()
            && let Some(newer) = self.changes_since(base.position())
        {
            return (base, newer);
        }
        // A deletion that stands against the store's version isn't in the store.
        let is_live = |item: &&Item| item.value.is_some() || item.origin.is_some();
        let live: Vec<_> =
            self.items.values().filter(is_live).flat_map(|item| self.versions(item)).collect();
        let Position { era, revision } = self.position.unwrap_or_default();
        let base = Base { revision, era, items: Items::pack(&live) };
        self.base = Some(base.clone());
        (base, Items::default())
    }
}

impl Replica {
    /// Moves to a position, if it is later than the known one; returns the era before it if that has ended.
    fn advance(&mut self, position: Position) -> Option<u64> {
        let before = self.position;
        self.position = before.max(Some(position));
        let Some(former) = before.filter(|before| before.era < position.era) else {
            if before.is_none() {
                self.entered = position;
            }
            return None;
        };
        self.entered = position;
        self.former.push(former);
        let excess = self.former.len().saturating_sub(MAX_ERAS);
        self.former.drain(..excess);
        self.clear_packed();
        Some(former.era)
    }

    /// Whether this node knew everything up to a position at some time, or is behind it in the present era.
    fn has_passed(&self, position: Position) -> bool {
        if position.era >= self.era() {
            return true;
        }
        let last = self.former.iter().find(|last| last.era == position.era);
        last.is_some_and(|last| position <= *last)
    }

    /// What the absence of items from the complete list at a position means: deletions, and items without a version in the
    /// store.
    fn missing(&self, listed: &[Item], position: Position, content: &impl Content) -> Vec<Item> {
        let listed: HashSet<_> = listed.iter().map(|item| item.key.as_str()).collect();
        let absent = self.items.values().filter(|item| !listed.contains(item.key.as_str()));
        let is_live =
            |item: &&Item| item.value.is_some() || self.standing.version(&item.key).is_some();
        absent
            .filter(is_live)
            .filter_map(|item| {
                let Position { era, revision } = position;
                let deletion =
                    Item { revision, era, origin: None, value: None, key: item.key.clone() };
                let stands = item.origin.is_some() && self.standing.version(&item.key).is_none();
                match item.era < era {
                    true if content.is_renewed(&item.key) => Some(deletion),
                    true => Some(overrule(item, Position { era, revision: 0 })),
                    false if stands || item.revision >= revision => None,
                    false => Some(deletion),
                }
            })
            .collect()
    }

    fn merge_all(&mut self, items: Vec<Item>, content: &impl Content, now: Instant) -> Changes {
        let mut changes = Changes::default();
        for item in items {
            match self.judge(&item, content) {
                Judgement::Known => {}
                Judgement::Renewed => self.store(item, now),
                Judgement::Newer => {
                    self.store(item.clone(), now);
                    changes.items.push(item);
                }
                Judgement::Overruled => {
                    changes.overruled.push((item.key.clone(), item.revision));
                    self.stand_against(item, now);
                }
            }
        }
        changes
    }

    fn judge(&self, offered: &Item, content: &impl Content) -> Judgement {
        let Some(known) = self.items.get(&offered.key) else { return Judgement::Newer };
        if offered.era < known.era || (offered.era == known.era && offered.place() <= known.place())
        {
            return Judgement::Known;
        }
        // What was released stands no longer: the store's version is the one in effect.
        let effective = self.standing.released(&offered.key).unwrap_or(known);
        if let Some(origin) = offered.origin {
            return judge_standing(effective, offered, origin);
        }
        if content.is_superseded(effective, offered) {
            return Judgement::Overruled;
        }
        if effective.value == offered.value {
            let is_copy = effective.revision == offered.revision && effective.origin.is_none();
            return if is_copy { Judgement::Known } else { Judgement::Renewed };
        }
        let is_certain = offered.era == known.era || offered.position() > self.entered;
        let is_older = self.recall.contains(offered) || content.is_retracted(effective, offered);
        if !is_certain && is_older { Judgement::Overruled } else { Judgement::Newer }
    }

    /// Replaces what is known of an item.
    fn store(&mut self, item: Item, now: Instant) {
        self.clear_packed_changes();
        let before = self.items.insert(item.key.clone(), item.clone());
        if item.origin.is_none() {
            self.standing.remove(&item.key);
        } else {
            let is_version =
                |known: &&Item| known.origin.is_none() && known.revision == item.revision;
            let version = before.as_ref().filter(is_version).cloned();
            let version = version.or_else(|| self.standing.version(&item.key).cloned());
            self.standing.insert(&item.key, version, now);
        }
        if let Some(before) = before {
            self.recall.insert(&before);
        }
    }

    /// Keeps what is known of an item against the store's version.
    fn stand_against(&mut self, version: Item, now: Instant) {
        self.clear_packed_changes();
        let known = self.items.get_mut(&version.key).expect("the item was judged");
        *known = overrule(known, version.position());
        self.standing.insert(&version.key.clone(), Some(version), now);
    }

    /// The versions of an item that a peer is sent: the store's, and the one that stands against it.
    fn versions(&self, item: &Item) -> Vec<Item> {
        let key = &item.key;
        if let Some(released) = self.standing.released(key) {
            return vec![released.clone()];
        }
        let overruled = self.standing.version(key).cloned();
        overruled.into_iter().chain([item.clone()]).collect()
    }

    fn items_after(&self, position: Position) -> Vec<Item> {
        let newer = self.items.values().filter(|item| item.position() > position);
        newer.flat_map(|item| self.versions(item)).collect()
    }

    fn count_after(&self, position: Position) -> usize {
        self.items.values().filter(|item| item.position() > position).count()
    }

    fn clear_packed_changes(&mut self) {
        self.packed_changes.clear();
    }

    fn clear_packed(&mut self) {
        self.base = None;
        self.packed_changes.clear();
    }

    /// Forgets the oldest deletions beyond those that are remembered.
    fn forget_oldest_deletions(&mut self) {
        let deletions = self.items.values().filter(|item| item.value.is_none());
        let mut positions: Vec<_> = deletions.map(Item::position).collect();
        let remembered = MIN_DELETIONS.max(self.items.len() - positions.len());
        let Some(excess) = positions.len().checked_sub(remembered).filter(|excess| *excess > 0)
        else {
            return;
        };
        positions.sort_unstable();
        let last = positions[excess - 1];
        self.items.retain(|_, item| {
            item.value.is_some() || item.origin.is_some() || item.position() > last
        });
        self.floor = self.floor.max(last);
    }
}

/// Judges an item that stands against the store's version at a peer.
fn judge_standing(effective: &Item, offered: &Item, origin: Position) -> Judgement {
    if effective.era == offered.era && effective.origin.is_none() {
        return Judgement::Newer;
    }
    match effective.origin.unwrap_or(effective.position()).cmp(&origin) {
        std::cmp::Ordering::Less => Judgement::Newer,
        std::cmp::Ordering::Equal => Judgement::Renewed,
        std::cmp::Ordering::Greater => Judgement::Overruled,
    }
}

/// An item as it stands against the store's version at a position.
fn overrule(item: &Item, position: Position) -> Item {
    let Position { era, revision } = position;
    let origin = Some(item.origin.unwrap_or(item.position()));
    Item { era, revision, origin, ..item.clone() }
}
