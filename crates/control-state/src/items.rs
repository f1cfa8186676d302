//! A replica of control state: a map of items that merges. The higher version of a name holds, whatever the order of
//! arrival, so replicas that have seen the same items are the same.

use crate::entry::{find, of_table, remove, Entry};
use crate::error::ConfigError;
use crate::item::{Item, Key};
use crate::table::{Table, Tables};
use crate::validation::ValidationIndex;
use imbl::{OrdMap, OrdSet};
use serde_json::Value;
use std::ops::Bound;
use std::sync::{Arc, OnceLock};

/// One replica of control state. A clone shares with it everything that neither changes: it costs the same at any size.
#[derive(Clone, Debug, Default)]
pub struct Items {
    entries: OrdSet<Entry>,
    /// Counts the changes of this replica.
    last_change: u64,
    /// The items by the change that brought them.
    by_change: OrdMap<u64, Arc<Item>>,
    /// Of each table, the fingerprints of its items combined by exclusive or.
    digests: [u64; Table::ALL.len()],
    /// Whether the operator's items are valid together, once that was asked. Replicas with the same of these items share it,
    /// so what is asked of a clone is known to the replica that it was made of.
    validation: Arc<OnceLock<ValidationIndex>>,
}

impl Items {
    /// Takes in an item if it is newer than what is held of its name; tells whether it was.
    pub fn merge(&mut self, item: Item) -> bool {
        self.merge_shared(Arc::new(item))
    }

    /// The same for an item that others hold too.
    pub fn merge_shared(&mut self, item: Arc<Item>) -> bool {
        let held = find(&self.entries, item.key.table, &item.key.name).cloned();
        if held.as_ref().is_some_and(|held| !is_newer(&item, held)) {
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
        self.update_validation(held.as_ref(), Some(&item));
        true
    }

    /// Keeps the validation true to the items, where there is one.
    fn update_validation(&mut self, before: Option<&Arc<Item>>, after: Option<&Arc<Item>>) {
        let table = before.or(after).map(|item| item.key.table);
        if !table.is_some_and(|table| Tables::CONFIG.contains(table.set())) {
            return;
        }
        if Arc::get_mut(&mut self.validation).is_none() {
            // Another replica shares it, which stays as it is.
            self.validation = Arc::new(OnceLock::clone(&self.validation));
        }
        if let Some(index) = Arc::get_mut(&mut self.validation).and_then(OnceLock::get_mut) {
            index.update(&self.entries, before, after);
        }
    }

    /// Whether the operator's current items are valid together, as `check_config` says of them. The first call costs what
    /// that does; from then on each change costs what it touches, also in clones.
    ///
    /// # Errors
    /// Names the first item that is not valid.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let build = || ValidationIndex::build(&self.entries, &self.all(Tables::CONFIG).collect::<Vec<_>>());
        self.validation.get_or_init(build).first_error(&self.entries)
    }

    /// The item of a name, also a removed one.
    pub fn get(&self, table: Table, name: &str) -> Option<&Arc<Item>> {
        find(&self.entries, table, name)
    }

    /// What an item says, unless it was removed.
    pub fn body(&self, table: Table, name: &str) -> Option<&Value> {
        self.get(table, name)?.body.as_ref()
    }

    /// The version held of a name; 0 for none.
    pub fn version(&self, table: Table, name: &str) -> u64 {
        self.get(table, name).map_or(0, |item| item.version)
    }

    /// All items of some tables, also removed ones, in order of their keys.
    pub fn all(&self, tables: Tables) -> impl Iterator<Item = &Arc<Item>> {
        let wanted = Table::ALL.into_iter().filter(move |table| tables.contains(table.set()));
        wanted.flat_map(|table| of_table(&self.entries, table))
    }

    /// The current items of a table, without removed ones: names and what they say.
    pub fn live(&self, table: Table) -> impl Iterator<Item = (&str, &Value)> {
        let items = of_table(&self.entries, table);
        items.filter_map(|item| Some((item.key.name.as_str(), item.body.as_ref()?)))
    }

    /// The number of this replica's last change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// The items of some tables that changes after this one brought, in the order of the changes. It costs what came since,
    /// not what is held.
    pub fn changes_since(&self, change: u64, tables: Tables) -> Vec<Arc<Item>> {
        let newer = self.by_change.range((Bound::Excluded(change), Bound::Unbounded));
        let items = newer.map(|(_, item)| item);
        items.filter(|item| tables.contains(item.key.table.set())).cloned().collect()
    }

    /// The same for two replicas that hold the same items of some tables, and different for others, but for one case in 2^64.
    pub fn digest(&self, tables: Tables) -> u64 {
        let wanted = Table::ALL.into_iter().filter(|table| tables.contains(table.set()));
        wanted.fold(0, |digest, table| digest ^ self.digests[table as usize])
    }

    /// The items of some tables that another replica lacks.
    pub fn missing_from(&self, other: &Self, tables: Tables) -> Vec<Arc<Item>> {
        let is_missing = |item: &&Arc<Item>| {
            other
                .get(item.key.table, &item.key.name)
                .is_none_or(|held| held.version < item.version || !(Arc::ptr_eq(item, held) || *item == held))
        };
        self.all(tables).filter(is_missing).cloned().collect()
    }

    /// Removes items without a tombstone, as only soft state may be.
    pub fn purge(&mut self, keys: &[Key]) {
        for key in keys {
            if let Some(entry) = remove(&mut self.entries, key) {
                self.digests[key.table as usize] ^= entry.fingerprint;
                self.by_change.remove(&entry.change);
                self.update_validation(Some(&entry.item), None);
            }
        }
    }

    /// How many items are held, removed ones too.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Whether an item holds against another of its name. Two contents of one version are ordered, so that all replicas keep the
/// same one.
fn is_newer(item: &Item, held: &Item) -> bool {
    item.version > held.version
        || (item.version == held.version && item.canonical_body() > held.canonical_body())
}
