//! Items: versioned values identified by a table and a name.

use crate::table::Table;
use fnv::FnvHasher;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::hash::Hasher;

/// The key of an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The item's table.
    #[serde(rename = "t")]
    pub table: Table,
    /// The item's name within the table.
    #[serde(rename = "k")]
    pub name: String,
}

/// One item at one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// The item's key.
    #[serde(flatten)]
    pub key: Key,
    /// The item's version. Of two items with the same key, the one with the higher version wins.
    #[serde(rename = "v")]
    pub version: u64,
    /// The item's value. `None` is a tombstone: the item was removed, and the tombstone is kept so that a delayed
    /// message does not restore it.
    #[serde(rename = "b", default)]
    pub body: Option<Value>,
}

impl Item {
    /// Creates an item.
    pub fn new(table: Table, name: impl Into<String>, version: u64, body: Option<Value>) -> Self {
        Self { key: Key { table, name: name.into() }, version, body }
    }

    /// Returns the text that orders different contents of one version. It is the same on every replica, since names in
    /// JSON objects are sorted.
    pub(crate) fn canonical_body(&self) -> String {
        self.body.as_ref().map(Value::to_string).unwrap_or_default()
    }

    /// Returns a hash of the complete item. The digest of a table is the exclusive or of the fingerprints of its items.
    pub(crate) fn fingerprint(&self) -> u64 {
        let mut hasher = FnvHasher::default();
        hasher.write(&[self.key.table as u8]);
        hasher.write(self.key.name.as_bytes());
        hasher.write(&self.version.to_le_bytes());
        hasher.write(self.canonical_body().as_bytes());
        // FNV leaves the effect of the last bytes in the lower bits, so they are spread over all bits.
        let hash = hasher.finish();
        (hash ^ (hash >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93)
    }
}
