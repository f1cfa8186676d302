//! Entries of a replica: items ordered by their keys.

use crate::item::{Item, Key};
use crate::table::Table;
use imbl::OrdSet;
use std::borrow::Borrow;
use std::cmp::Ordering;
use std::ops::Bound;
use std::sync::Arc;

/// An item in a replica. Entries are ordered and compared by their keys only.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub item: Arc<Item>,
    /// The number of the replica's change that added it.
    pub change: u64,
    pub fingerprint: u64,
}

/// A borrowed key, used to look up entries without allocating a [`Key`].
trait BorrowedKey {
    fn key(&self) -> (Table, &str);
}

impl BorrowedKey for Entry {
    fn key(&self) -> (Table, &str) {
        (self.item.key.table, &self.item.key.name)
    }
}

impl BorrowedKey for (Table, &str) {
    fn key(&self) -> (Table, &str) {
        *self
    }
}

impl Ord for dyn BorrowedKey + '_ {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

impl PartialOrd for dyn BorrowedKey + '_ {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for dyn BorrowedKey + '_ {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for dyn BorrowedKey + '_ {}

impl<'a> Borrow<dyn BorrowedKey + 'a> for Entry {
    fn borrow(&self) -> &(dyn BorrowedKey + 'a) {
        self
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Entry {}

/// Returns the item with this name, including tombstones.
pub(crate) fn find<'a>(entries: &'a OrdSet<Entry>, table: Table, name: &str) -> Option<&'a Arc<Item>> {
    entries.get(&(table, name) as &dyn BorrowedKey).map(|entry| &entry.item)
}

/// Removes and returns the entry with this key.
pub(crate) fn remove(entries: &mut OrdSet<Entry>, key: &Key) -> Option<Entry> {
    entries.remove(&(key.table, key.name.as_str()) as &dyn BorrowedKey)
}

/// Iterates over the items of a table in order of their names.
pub(crate) fn table_items(entries: &OrdSet<Entry>, table: Table) -> impl Iterator<Item = &Arc<Item>> {
    let first: &dyn BorrowedKey = &(table, "");
    entries
        .range::<_, dyn BorrowedKey>((Bound::Included(first), Bound::Unbounded))
        .map(|entry| &entry.item)
        .take_while(move |item| item.key.table == table)
}
