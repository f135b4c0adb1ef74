use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
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

/// Number of gaps that are remembered.
const MAX_GAPS: usize = 8;

derives::data! {
    /// What became of items that a source sent.
    #[derive(Default)]
    pub struct Changes {
        /// Items that take effect, in order.
        pub items: Vec<Item>,
        /// Items that were written again as they are known.
        pub renewed: Vec<Item>,
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
///     fn start(&self, _item: &Item) -> Option<u64> { None }
///     fn is_final(&self, _item: &Item) -> bool { false }
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
    /// Pairs of positions between which not all changes are known, as everything was read anew or an era began. Items
    /// that came and went between them aren't known to be gone.
    gaps: VecDeque<(Position, Position)>,
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
            gaps: VecDeque::new(),
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
        let former_era = self.advance(position, false);
        let mut changes = self.merge_all(items, former_era.is_some(), content, now);
        changes.former_era = former_era;
        self.forget_oldest_deletions();
        changes
    }

    /// Moves to a position of the present era that a peer has reached with changes missing: items may have come and gone
    /// before it.
    pub fn skip_to(&mut self, position: Position) {
        if position.era == self.era() {
            self.advance(position, true);
        }
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
        self.incomplete = false;
        if self.position.is_some_and(|known| position < known) {
            // What is known is newer, and a peer may send the changes since this list after it.
            return Changes::default();
        }
        if self.position.is_none() {
            self.floor = position;
        }
        let former_era = self.advance(position, true);
        let enters = former_era.is_some();
        let missing = self.missing(&items, position, enters, content);
        let mut changes = self.merge_all(missing, enters, content, now);
        let listed = self.merge_all(items, enters, content, now);
        changes.items.extend(listed.items);
        changes.renewed.extend(listed.renewed);
        changes.overruled.extend(listed.overruled);
        changes.former_era = former_era;
        self.forget_oldest_deletions();
        changes
    }

    /// Adopts what a peer at a position knows better than the store. Of an item that this node doesn't know, the peer may
    /// have missed a deletion before this node read everything.
    pub fn learn(
        &mut self,
        standing: Vec<Item>,
        position: Position,
        content: &impl Content,
        now: Instant,
    ) -> Changes {
        let era = self.era();
        let is_recent = position >= self.entered;
        let is_current =
            |item: &Item| item.era == era && (is_recent || self.items.contains_key(&item.key));
        let current = standing.into_iter().filter(is_current).collect();
        self.merge_all(current, false, content, now)
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

    /// Keys of the items that this node knows better than the store.
    pub fn overruled_keys(&self) -> impl Iterator<Item = &str> {
        self.standing.keys()
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

    /// Whether not all changes after a position are known: items may have come and gone unseen.
    pub fn has_gap_after(&self, position: Position) -> bool {
        self.gaps.iter().any(|(_, end)| position < *end)
    }

    /// All items as a packed base, and the changes since it was packed.
    pub fn snapshot(&mut self) -> (Base, Items) {
        let recent =
            |base: &&Base| self.changed_after(base.position()).count() <= MAX_CHANGES_SINCE_BASE;
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
    /// Moves to a position, if it is later than the known one, over a gap if changes in between may be `skipped`; returns
    /// the era before it if that has ended.
    fn advance(&mut self, position: Position, skipped: bool) -> Option<u64> {
        let Some(before) = self.position else {
            (self.position, self.entered) = (Some(position), position);
            return None;
        };
        self.position = Some(before.max(position));
        let begins = before.era < position.era;
        if before < position && (begins || skipped) {
            self.gaps.push_back((before, position));
            if self.gaps.len() > MAX_GAPS
                && let Some((_, end)) = self.gaps.pop_front()
            {
                self.floor = self.floor.max(end);
            }
        }
        if begins {
            self.entered = position;
            self.clear_packed();
        }
        begins.then_some(before.era)
    }

    /// Whether all changes after a position are known.
    fn has_passed(&self, position: Position) -> bool {
        let in_gap = |(from, to): &(Position, Position)| *from < position && position < *to;
        !self.gaps.iter().any(in_gap)
    }

    /// Where an item stands in the order of its versions in the present era. What is of a former era was confirmed when this
    /// node changed to the present one: the store had the same version, or none.
    fn place(&self, item: &Item) -> (Position, Option<Position>) {
        if item.era == self.era() || item.origin.is_some() {
            return item.place();
        }
        let revision = if item.value.is_some() { item.revision } else { self.entered.revision };
        (Position { era: self.era(), revision }, None)
    }

    /// What the absence of items from the complete list at a position means: deletions, and items without a version in the
    /// store. With the list, this node `enters` the era.
    fn missing(
        &self,
        listed: &[Item],
        position: Position,
        enters: bool,
        content: &impl Content,
    ) -> Vec<Item> {
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
                if enters {
                    let lasts = !content.is_renewed(&item.key);
                    let unlisted = Position { era, revision: 0 };
                    return Some(if lasts { overrule(item, unlisted) } else { deletion });
                }
                let stands = item.origin.is_some() && self.standing.version(&item.key).is_none();
                let is_later = self.place(item).0 >= position;
                (!stands && !is_later).then_some(deletion)
            })
            .collect()
    }

    /// Merges items of the present era, which this node `enters` with them or has entered before.
    fn merge_all(
        &mut self,
        items: Vec<Item>,
        enters: bool,
        content: &impl Content,
        now: Instant,
    ) -> Changes {
        let mut changes = Changes::default();
        for item in items {
            match self.judge(&item, enters, content) {
                Judgement::Known => {}
                Judgement::Renewed => {
                    self.store(item.clone(), now);
                    changes.renewed.push(item);
                }
                Judgement::Newer => {
                    self.record_ended(&item, enters, content);
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

    fn judge(&self, offered: &Item, enters: bool, content: &impl Content) -> Judgement {
        let Some(known) = self.items.get(&offered.key) else { return Judgement::Newer };
        let is_confirmed = !enters || known.era == self.era();
        if is_confirmed && offered.place() <= self.place(known) {
            return Judgement::Known;
        }
        // What was released stands no longer: the store's version is the one in effect.
        let effective = self.standing.released(&offered.key).unwrap_or(known);
        if content.is_superseded(effective, offered) {
            return Judgement::Overruled;
        }
        if let Some(origin) = offered.origin {
            if self.has_ended(offered, content) {
                return Judgement::Known;
            }
            let is_store_version = is_confirmed || effective.revision == offered.revision;
            let is_older = effective.origin.is_none() && is_store_version;
            return if is_older || content.is_superseded(offered, effective) {
                Judgement::Newer
            } else {
                judge_standing(effective, origin)
            };
        }
        if effective.value == offered.value {
            let is_copy = effective.revision == offered.revision && effective.origin.is_none();
            return if is_copy { Judgement::Known } else { Judgement::Renewed };
        }
        if self.is_certain(offered, enters) {
            return Judgement::Newer;
        }
        let is_older = self.recall.contains(offered) || self.has_ended(offered, content);
        if is_older { Judgement::Overruled } else { Judgement::Newer }
    }

    /// Whether an item that differs from the known one was written after it. A copy of the store may have older ones, but
    /// doesn't list deletions.
    fn is_certain(&self, offered: &Item, enters: bool) -> bool {
        let known = self.items.get(&offered.key);
        let is_confirmed = !enters || known.is_none_or(|known| known.era == self.era());
        is_confirmed || offered.value.is_none() || offered.position() > self.entered
    }

    /// Whether the writer of an item is known to have ended, or to have started again.
    fn has_ended(&self, item: &Item, content: &impl Content) -> bool {
        content.start(item).is_some_and(|start| self.recall.has_ended(start))
    }

    /// Remembers the starts of writers that have ended, as a newer version of an item shows or says.
    fn record_ended(&mut self, newer: &Item, enters: bool, content: &impl Content) {
        let known = self.items.get(&newer.key).filter(|_| self.is_certain(newer, enters));
        let known = known.and_then(|known| content.start(known));
        if let Some(known) = known.filter(|known| content.start(newer) != Some(*known)) {
            self.recall.insert_ended(known);
        }
        if content.is_final(newer)
            && let Some(start) = content.start(newer)
        {
            self.recall.insert_ended(start);
        }
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
        if known.era < version.era {
            // The writer has as much time again as after the first loss.
            self.standing.remove(&version.key);
        }
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
        let (position, _) = self.place(item);
        let Position { era, revision } = position;
        overruled.into_iter().chain([Item { era, revision, ..item.clone() }]).collect()
    }

    /// Items that changed after a position. For one of a former era, those that the store still had when it came back
    /// haven't changed since.
    fn changed_after(&self, position: Position) -> impl Iterator<Item = &Item> {
        let is_present = position.era == self.era();
        let changed =
            move |item: &Item| if is_present { self.place(item).0 } else { item.position() };
        self.items.values().filter(move |item| changed(item) > position)
    }

    fn items_after(&self, position: Position) -> Vec<Item> {
        self.changed_after(position).flat_map(|item| self.versions(item)).collect()
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

/// Judges an item that stands against the store's version at a peer, by the position of the change that brought it.
fn judge_standing(effective: &Item, origin: Position) -> Judgement {
    match effective.origin.unwrap_or(effective.position()).cmp(&origin) {
        Ordering::Less => Judgement::Newer,
        Ordering::Equal => Judgement::Renewed,
        Ordering::Greater => Judgement::Overruled,
    }
}

/// An item as it stands against the store's version at a position.
fn overrule(item: &Item, position: Position) -> Item {
    let Position { era, revision } = position;
    let origin = Some(item.origin.unwrap_or(item.position()));
    Item { era, revision, origin, ..item.clone() }
}
