//! A replica of control state: a map of items with a merge operation. Of two items with the same name, the one with the
//! higher version wins regardless of the order of arrival, so replicas that have received the same items are equal.

use crate::entry::{find, remove, table_items, Entry};
use crate::error::ConfigError;
use crate::item::{Item, Key};
use crate::table::{Table, Tables};
use crate::validation::ValidationIndex;
use imbl::{OrdMap, OrdSet};
use serde_json::Value;
use std::ops::Bound;
use std::sync::{Arc, OnceLock};

/// One replica of control state. A clone shares all unchanged data with the original, so cloning takes constant time at
/// any size.
#[derive(Clone, Debug, Default)]
pub struct Items {
    entries: OrdSet<Entry>,
    /// The number of changes applied to this replica.
    last_change: u64,
    /// The items by the number of the change that added them.
    by_change: OrdMap<u64, Arc<Item>>,
    /// The exclusive or of the fingerprints of each table's items.
    digests: [u64; Table::ALL.len()],
    /// The validation index of the operator's items, built when it is first needed. Replicas with the same operator's
    /// items share it, so a validation requested of a clone is also available to the original.
    validation: Arc<OnceLock<ValidationIndex>>,
}

impl Items {
    /// Merges an item. Returns whether it was newer than the current item of its name, and was therefore added.
    pub fn merge(&mut self, item: Item) -> bool {
        self.merge_shared(Arc::new(item))
    }

    /// Merges a shared item. Returns whether it was newer than the current item of its name, and was therefore added.
    pub fn merge_shared(&mut self, item: Arc<Item>) -> bool {
        let current = find(&self.entries, item.key.table, &item.key.name).cloned();
        if current.as_ref().is_some_and(|current| !is_newer(&item, current)) {
            return false;
        }
        self.last_change += 1;
        let entry = Entry { fingerprint: item.fingerprint(), change: self.last_change, item: item.clone() };
        self.by_change.insert(self.last_change, item.clone());
        let digest = &mut self.digests[item.key.table as usize];
        *digest ^= entry.fingerprint;
        if let Some(replaced) = self.entries.insert(entry) {
            *digest ^= replaced.fingerprint;
            self.by_change.remove(&replaced.change);
        }
        self.update_validation(current.as_ref(), Some(&item));
        true
    }

    /// Updates the validation index after a change, if one has been built.
    fn update_validation(&mut self, before: Option<&Arc<Item>>, after: Option<&Arc<Item>>) {
        let table = before.or(after).map(|item| item.key.table);
        if !table.is_some_and(|table| Tables::CONFIG.contains(table.set())) {
            return;
        }
        if Arc::get_mut(&mut self.validation).is_none() {
            // Copies the index, since another replica shares it and must not change.
            self.validation = Arc::new(OnceLock::clone(&self.validation));
        }
        if let Some(index) = Arc::get_mut(&mut self.validation).and_then(OnceLock::get_mut) {
            index.update(&self.entries, before, after);
        }
    }

    /// Checks that the operator's current items are valid together, with the same result as `check_config`. The first
    /// call costs as much as `check_config`. After that, each change costs only as much as the items it affects, also
    /// in clones.
    ///
    /// # Errors
    /// Returns an error that names the first invalid item.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let build = || ValidationIndex::build(&self.entries, &self.all(Tables::CONFIG).collect::<Vec<_>>());
        self.validation.get_or_init(build).first_error(&self.entries)
    }

    /// Returns the item with this name, including tombstones.
    pub fn get(&self, table: Table, name: &str) -> Option<&Arc<Item>> {
        find(&self.entries, table, name)
    }

    /// Returns the body of an item, unless it was removed.
    pub fn body(&self, table: Table, name: &str) -> Option<&Value> {
        self.get(table, name)?.body.as_ref()
    }

    /// Returns the current version of a name, or 0 if there is none.
    pub fn version(&self, table: Table, name: &str) -> u64 {
        self.get(table, name).map_or(0, |item| item.version)
    }

    /// Iterates over all items of some tables, including tombstones, in order of their keys.
    pub fn all(&self, tables: Tables) -> impl Iterator<Item = &Arc<Item>> {
        let wanted = Table::ALL.into_iter().filter(move |table| tables.contains(table.set()));
        wanted.flat_map(|table| table_items(&self.entries, table))
    }

    /// Iterates over the names and bodies of a table's items, without tombstones.
    pub fn live(&self, table: Table) -> impl Iterator<Item = (&str, &Value)> {
        let items = table_items(&self.entries, table);
        items.filter_map(|item| Some((item.key.name.as_str(), item.body.as_ref()?)))
    }

    /// Returns the number of this replica's last change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the items of some tables that were added by changes after `change`, in the order of the changes. The
    /// cost depends on the number of later changes, not on the size of the replica.
    pub fn changes_since(&self, change: u64, tables: Tables) -> Vec<Arc<Item>> {
        let newer = self.by_change.range((Bound::Excluded(change), Bound::Unbounded));
        let items = newer.map(|(_, item)| item);
        items.filter(|item| tables.contains(item.key.table.set())).cloned().collect()
    }

    /// Returns a digest of some tables. Replicas with the same items in these tables have the same digest; different
    /// items have different digests except with a probability of 2^-64.
    pub fn digest(&self, tables: Tables) -> u64 {
        let wanted = Table::ALL.into_iter().filter(|table| tables.contains(table.set()));
        wanted.fold(0, |digest, table| digest ^ self.digests[table as usize])
    }

    /// Returns the digest of each table, in the order of the tables.
    pub fn table_digests(&self) -> Vec<u64> {
        self.digests.to_vec()
    }

    /// Returns the tables whose items equal those with the given digests, which are in the order of the tables.
    pub fn equal_tables(&self, digests: &[u64]) -> Tables {
        let pairs = Table::ALL.into_iter().zip(digests);
        let equal = pairs.filter(|(table, digest)| self.digests[*table as usize] == **digest);
        equal.map(|(table, _)| table.set()).collect()
    }

    /// Returns the items of some tables that are missing from another replica or outdated there.
    pub fn missing_from(&self, other: &Self, tables: Tables) -> Vec<Arc<Item>> {
        let is_missing = |item: &&Arc<Item>| {
            other.get(item.key.table, &item.key.name).is_none_or(|current| {
                current.version < item.version || !(Arc::ptr_eq(item, current) || *item == current)
            })
        };
        self.all(tables).filter(is_missing).cloned().collect()
    }

    /// Removes items without leaving tombstones. Only soft state may be removed like this.
    pub fn purge(&mut self, keys: &[Key]) {
        for key in keys {
            if let Some(entry) = remove(&mut self.entries, key) {
                self.digests[key.table as usize] ^= entry.fingerprint;
                self.by_change.remove(&entry.change);
                self.update_validation(Some(&entry.item), None);
            }
        }
    }

    /// Returns the number of items, including tombstones.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the replica has no items.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Returns whether an item supersedes another one of the same name. Different contents of one version are ordered, so
/// that all replicas keep the same one.
fn is_newer(item: &Item, current: &Item) -> bool {
    item.version > current.version
        || (item.version == current.version && item.canonical_body() > current.canonical_body())
}
