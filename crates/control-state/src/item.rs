//! Items, and maps of them that merge: the higher version of a name holds, whatever the order of arrival.

use crate::judged::Judged;
use bitflags::bitflags;
use imbl::{OrdMap, OrdSet};
use ivygate_rpc::Fault;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::borrow::Borrow;
use std::cmp::Ordering;
use std::ops::Bound;
use std::sync::{Arc, OnceLock};

/// The kinds of item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Table {
    /// The operator's routes.
    Routes,
    /// The operator's tenants.
    Tenants,
    /// The operator's services.
    Backends,
    /// The operator's limits: one item.
    Limits,
    /// Zones that the operator has emptied.
    Drains,
    /// The machines that keep the configuration: one item.
    Group,
    /// Processes of the system.
    Nodes,
    /// Servers on the platform's list.
    Servers,
    /// Duties, and who does them; the version is the epoch.
    Duties,
    /// Numbers that were acknowledged for an item of the operator's before the one that stands.
    Past,
}

bitflags! {
    /// Sets of tables.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub struct Tables: u16 {
        /// What the operator has set, kept on disk by the store.
        const CONFIG = 0b0000_0000_1111;
        /// Emptied zones.
        const DRAINS = 0b0000_0001_0000;
        /// The store's own group.
        const GROUP = 0b0000_0010_0000;
        /// Duties.
        const DUTIES = 0b0001_0000_0000;
        /// Numbers that were acknowledged before those that stand.
        const PAST = 0b0010_0000_0000;
        /// What a store keeps and passes on to registries and proxies.
        const PUBLISHED = Self::CONFIG.bits() | Self::DRAINS.bits() | Self::GROUP.bits() | Self::DUTIES.bits();
        /// What a store keeps.
        const KEPT = Self::PUBLISHED.bits() | Self::PAST.bits();
        /// What is rebuilt from those who told it.
        const TOLD = 0b0000_1100_0000;
        /// Processes of the system.
        const NODES = 0b0000_0100_0000;
        /// Servers.
        const SERVERS = 0b0000_1000_0000;
    }
}

impl Table {
    /// The set of it alone.
    pub fn set(self) -> Tables {
        Tables::from_bits_truncate(1 << self as u16)
    }

    /// Its name, as on the wire.
    pub(crate) fn word(self) -> &'static str {
        match self {
            Table::Routes => "routes",
            Table::Tenants => "tenants",
            Table::Backends => "backends",
            Table::Limits => "limits",
            Table::Drains => "drains",
            Table::Group => "group",
            Table::Nodes => "nodes",
            Table::Servers => "servers",
            Table::Duties => "duties",
            Table::Past => "past",
        }
    }
}

/// How many tables there are.
const TABLES: usize = 10;
const ALL: [Table; TABLES] = [
    Table::Routes,
    Table::Tenants,
    Table::Backends,
    Table::Limits,
    Table::Drains,
    Table::Group,
    Table::Nodes,
    Table::Servers,
    Table::Duties,
    Table::Past,
];

/// What names an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Its table.
    #[serde(rename = "t")]
    pub table: Table,
    /// Its name in the table.
    #[serde(rename = "k")]
    pub name: String,
}

/// One item at one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// What names it.
    #[serde(flatten)]
    pub key: Key,
    /// Its version.
    #[serde(rename = "v")]
    pub version: u64,
    /// What it says; `None` for one that was dropped, which is kept so that no late news brings it back.
    #[serde(rename = "b", default)]
    pub body: Option<Value>,
}

impl Item {
    /// An item.
    pub fn new(table: Table, name: impl Into<String>, version: u64, body: Option<Value>) -> Self {
        Self { key: Key { table, name: name.into() }, version, body }
    }

    /// What orders two contents of one version, the same on every copy: the names in it are sorted.
    pub(crate) fn text(&self) -> String {
        self.body.as_ref().map(Value::to_string).unwrap_or_default()
    }

    fn fingerprint(&self) -> u64 {
        let mut hash = 0xcbf2_9ce4_8422_2325_u64;
        let mut feed = |bytes: &[u8]| {
            for byte in bytes {
                hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
            }
        };
        feed(&[self.key.table as u8]);
        feed(self.key.name.as_bytes());
        feed(&self.version.to_le_bytes());
        feed(self.text().as_bytes());
        // Spreads the last bytes over all bits, since fingerprints are added by exclusive or.
        hash ^= hash >> 32;
        hash.wrapping_mul(0xd6e8_feb8_6659_fd93)
    }
}

/// An item as a copy holds it, ordered by what names it.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    item: Arc<Item>,
    /// The number of the change that brought it here.
    change: u64,
    fingerprint: u64,
}

/// What names an item, borrowed.
trait Name {
    fn name(&self) -> (Table, &str);
}

impl Name for Held {
    fn name(&self) -> (Table, &str) {
        (self.item.key.table, &self.item.key.name)
    }
}

impl Name for (Table, &str) {
    fn name(&self) -> (Table, &str) {
        *self
    }
}

impl Ord for dyn Name + '_ {
    fn cmp(&self, other: &Self) -> Ordering {
        self.name().cmp(&other.name())
    }
}

impl PartialOrd for dyn Name + '_ {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for dyn Name + '_ {
    fn eq(&self, other: &Self) -> bool {
        self.name() == other.name()
    }
}

impl Eq for dyn Name + '_ {}

impl<'a> Borrow<dyn Name + 'a> for Held {
    fn borrow(&self) -> &(dyn Name + 'a) {
        self
    }
}

impl Ord for Held {
    fn cmp(&self, other: &Self) -> Ordering {
        self.name().cmp(&other.name())
    }
}

impl PartialOrd for Held {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Held {
    fn eq(&self, other: &Self) -> bool {
        self.name() == other.name()
    }
}

impl Eq for Held {}

/// The item of a name, also a dropped one.
pub(crate) fn find<'a>(held: &'a OrdSet<Held>, table: Table, name: &str) -> Option<&'a Arc<Item>> {
    held.get(&(table, name) as &dyn Name).map(|held| &held.item)
}

/// One copy of control state. A clone shares with it all that neither changes: it costs the same at any size.
#[derive(Clone, Debug, Default)]
pub struct Items {
    held: OrdSet<Held>,
    changes: u64,
    /// The items by the change that brought them.
    by_change: OrdMap<u64, Arc<Item>>,
    /// Of each table, the fingerprints of its items added by exclusive or.
    digests: [u64; TABLES],
    /// Whether the operator's items are sound together, once that was asked. Copies with the same of these items share
    /// it, so what is asked of a clone is known to the copy that it was made of.
    judged: Arc<OnceLock<Judged>>,
}

impl Items {
    /// Takes in an item, if it is newer than what is held of its name; tells whether it was.
    pub fn merge(&mut self, item: Item) -> bool {
        self.merge_shared(Arc::new(item))
    }

    /// The same for an item that others hold too.
    pub fn merge_shared(&mut self, item: Arc<Item>) -> bool {
        let before = find(&self.held, item.key.table, &item.key.name).cloned();
        if let Some(before) = &before {
            let newer = item.version > before.version
                || (item.version == before.version && item.text() > before.text());
            if !newer {
                return false;
            }
        }
        self.changes += 1;
        let held = Held { fingerprint: item.fingerprint(), change: self.changes, item: item.clone() };
        self.by_change.insert(self.changes, item.clone());
        let digest = &mut self.digests[item.key.table as usize];
        *digest ^= held.fingerprint;
        if let Some(before) = self.held.insert(held) {
            *digest ^= before.fingerprint;
            self.by_change.remove(&before.change);
        }
        self.changed(before.as_ref(), Some(&item));
        true
    }

    /// Keeps the verdict true to what stands, where there is one.
    fn changed(&mut self, before: Option<&Arc<Item>>, after: Option<&Arc<Item>>) {
        let table = before.or(after).map(|item| item.key.table);
        if !table.is_some_and(|table| Tables::CONFIG.contains(table.set())) {
            return;
        }
        if Arc::get_mut(&mut self.judged).is_none() {
            // Another copy shares it, which stays as it is.
            self.judged = Arc::new(OnceLock::clone(&self.judged));
        }
        if let Some(judged) = Arc::get_mut(&mut self.judged).and_then(OnceLock::get_mut) {
            judged.change(&self.held, before, after);
        }
    }

    /// Whether the operator's items that stand are sound together, as `check` says of them. The first question costs
    /// what `check` does; from then on each change costs what it touches, also in clones.
    ///
    /// # Errors
    /// Names the first item that is not.
    pub fn sound(&self) -> Result<(), Fault> {
        let judge = || Judged::of(&self.held, &self.all(Tables::CONFIG).collect::<Vec<_>>());
        self.judged.get_or_init(judge).verdict(&self.held)
    }

    /// The item of a name, also a dropped one.
    pub fn get(&self, table: Table, name: &str) -> Option<&Arc<Item>> {
        find(&self.held, table, name)
    }

    /// What an item of a name says, unless it was dropped.
    pub fn body(&self, table: Table, name: &str) -> Option<&Value> {
        self.get(table, name)?.body.as_ref()
    }

    /// The version held of a name; 0 for none.
    pub fn version(&self, table: Table, name: &str) -> u64 {
        self.get(table, name).map_or(0, |item| item.version)
    }

    /// All items of some tables, also dropped ones, in the order of their names.
    pub fn all(&self, tables: Tables) -> impl Iterator<Item = &Arc<Item>> {
        let wanted = ALL.into_iter().filter(move |table| tables.contains(table.set()));
        wanted.flat_map(|table| self.table(table))
    }

    fn table(&self, table: Table) -> impl Iterator<Item = &Arc<Item>> {
        let from: &dyn Name = &(table, "");
        self.held
            .range::<_, dyn Name>((Bound::Included(from), Bound::Unbounded))
            .map(|held| &held.item)
            .take_while(move |item| item.key.table == table)
    }

    /// The items of a table that stand: names and what they say.
    pub fn standing(&self, table: Table) -> impl Iterator<Item = (&str, &Value)> {
        self.table(table).filter_map(|item| Some((item.key.name.as_str(), item.body.as_ref()?)))
    }

    /// The number of the last change.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// The items of some tables that changes after this one brought, in the order of the changes. It costs what came
    /// since, not what is held.
    pub fn since(&self, change: u64, tables: Tables) -> Vec<Arc<Item>> {
        let newer = self.by_change.range((Bound::Excluded(change), Bound::Unbounded));
        newer.map(|(_, item)| item).filter(|i| tables.contains(i.key.table.set())).cloned().collect()
    }

    /// The same for two copies that hold the same items of some tables, and different, but for one case in 2^64, for
    /// others.
    pub fn digest(&self, tables: Tables) -> u64 {
        let wanted = |table: &usize| tables.bits() & (1 << table) != 0;
        (0..TABLES).filter(wanted).fold(0, |digest, table| digest ^ self.digests[table])
    }

    /// The items of some tables that another copy lacks.
    pub fn lacking_in(&self, other: &Items, tables: Tables) -> Vec<Arc<Item>> {
        let lacks = |item: &&Arc<Item>| {
            other
                .get(item.key.table, &item.key.name)
                .is_none_or(|held| held.version < item.version || !(Arc::ptr_eq(item, held) || *item == held))
        };
        self.all(tables).filter(lacks).cloned().collect()
    }

    /// Forgets items for good, as only what is rebuilt from others may be.
    pub fn forget(&mut self, keys: &[Key]) {
        for key in keys {
            if let Some(held) = self.held.remove(&(key.table, key.name.as_str()) as &dyn Name) {
                self.digests[key.table as usize] ^= held.fingerprint;
                self.by_change.remove(&held.change);
                self.changed(Some(&held.item), None);
            }
        }
    }

    /// How many items are held, dropped ones too.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
