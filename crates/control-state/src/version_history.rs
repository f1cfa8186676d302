//! History of the versions acknowledged for an item other than the current one, each with a digest of its content. It
//! serves as a deduplication window; nothing is known about versions below its low watermark.
//!
//! Histories exist only for the operator's items that have had more than one version. They are items of
//! [`Table::VersionHistory`] and are written in the same round as the items they describe.

use crate::item::{Item, Key};
use crate::items::Items;
use crate::table::Table;
use serde_json::Value;
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Maximum number of versions in an item's history, besides the current one; a full history takes less than 3.5 KB.
pub const MAX_REMEMBERED_VERSIONS: usize = 64;
/// Length of a content digest in bytes; long enough that contents do not collide in practice.
const DIGEST_BYTES: usize = 16;
/// Recorded in place of a digest for a version that removed the item.
const REMOVED: &str = "-";

/// The knowledge about a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RememberedVersion {
    /// The version was acknowledged with this content.
    SameContent,
    /// The version was acknowledged with different content.
    OtherContent,
    /// The version was never acknowledged.
    NeverAcknowledged,
    /// The version is below the low watermark.
    Forgotten,
}

/// The version history of one item.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct VersionHistory {
    /// All acknowledged versions from this one on are in the history.
    low_watermark: u64,
    digests: BTreeMap<u64, String>,
}

/// Returns a digest of an item's body, encoded as JSON with sorted names. Bodies are equal if their digests are.
fn content_digest(item: &Item) -> String {
    let Some(body) = &item.body else { return REMOVED.to_owned() };
    let hash = Sha256::digest(body.to_string().as_bytes());
    hash.iter().take(DIGEST_BYTES).fold(String::with_capacity(2 * DIGEST_BYTES), |mut text, byte| {
        // Writing to a string does not fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

impl VersionHistory {
    /// Returns the key of the item that stores the history of another item.
    pub fn key(of: &Key) -> Key {
        Key { table: Table::VersionHistory, name: format!("{}/{}", of.table.as_str(), of.name) }
    }

    /// Reads the history of an item. It is empty if the item has had at most one version.
    pub fn from_items(items: &Items, of: &Key) -> Self {
        let key = Self::key(of);
        let Some(item) = items.get(key.table, &key.name) else { return Self::default() };
        // If the history can't be parsed, every version counts as forgotten.
        let unreadable = || Self { low_watermark: u64::MAX, digests: BTreeMap::new() };
        Self::parse(item.body.as_ref()).unwrap_or_else(unreadable)
    }

    /// Parses a history such as `7 9:DIGEST 12:-`: the low watermark, followed by versions and digests. It is stored as
    /// one string because a list of pairs would need an allocation for each pair.
    fn parse(body: Option<&Value>) -> Option<Self> {
        let mut words = body?.as_str()?.split(' ');
        let low_watermark = words.next()?.parse().ok()?;
        let parse_pair = |word: &str| {
            let (version, digest) = word.split_once(':')?;
            Some((version.parse().ok()?, digest.to_owned()))
        };
        Some(Self { low_watermark, digests: words.map(parse_pair).collect::<Option<_>>()? })
    }

    /// Looks up the version of an item.
    pub fn lookup(&self, item: &Item) -> RememberedVersion {
        match self.digests.get(&item.version) {
            Some(digest) if *digest == content_digest(item) => RememberedVersion::SameContent,
            Some(_) => RememberedVersion::OtherContent,
            None if item.version < self.low_watermark => RememberedVersion::Forgotten,
            None => RememberedVersion::NeverAcknowledged,
        }
    }

    /// Records an item's version, and drops the lowest versions above the limit.
    pub fn record(&mut self, item: &Item) {
        self.digests.insert(item.version, content_digest(item));
        while self.digests.len() > MAX_REMEMBERED_VERSIONS {
            if let Some((lowest, _)) = self.digests.pop_first() {
                self.low_watermark = self.low_watermark.max(lowest.saturating_add(1));
            }
        }
    }

    /// Returns the item that stores the history, with the version after that of the item in the replica.
    pub fn to_item(&self, items: &Items, of: &Key) -> Item {
        let Key { table, name } = Self::key(of);
        let mut text = self.low_watermark.to_string();
        for (version, digest) in &self.digests {
            let _ = write!(text, " {version}:{digest}");
        }
        let version = items.version(table, &name).saturating_add(1);
        Item::new(table, name, version, Some(Value::String(text)))
    }
}
