//! An item: a name in a table, a version, and what it says.

use crate::table::Table;
use fnv::FnvHasher;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::hash::Hasher;

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
    /// Its version; of two items of one name the one with the higher version holds.
    #[serde(rename = "v")]
    pub version: u64,
    /// What it says. `None` is a tombstone: the item was removed, and is kept so that no late message brings it back.
    #[serde(rename = "b", default)]
    pub body: Option<Value>,
}

impl Item {
    /// An item.
    pub fn new(table: Table, name: impl Into<String>, version: u64, body: Option<Value>) -> Self {
        Self { key: Key { table, name: name.into() }, version, body }
    }

    /// What orders two contents of one version, the same on every replica: the names in it are sorted.
    pub(crate) fn canonical_body(&self) -> String {
        self.body.as_ref().map(Value::to_string).unwrap_or_default()
    }

    /// A hash of all of the item. Fingerprints are combined by exclusive or into digests of tables.
    pub(crate) fn fingerprint(&self) -> u64 {
        let mut hasher = FnvHasher::default();
        hasher.write(&[self.key.table as u8]);
        hasher.write(self.key.name.as_bytes());
        hasher.write(&self.version.to_le_bytes());
        hasher.write(self.canonical_body().as_bytes());
        // FNV leaves the last bytes in the lower bits: spreads them over all.
        let hash = hasher.finish();
        (hash ^ (hash >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93)
    }
}
