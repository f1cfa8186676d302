//! The versions that were acknowledged for an item besides the current one, each with a digest of its content: a
//! deduplication window. Below its low watermark nothing is known any more.
//!
//! Kept for the operator's items only, and only for those that had more than one version, as items of
//! [`Table::VersionHistory`] that are written in the same round as what they are about.

use crate::item::{Item, Key};
use crate::items::Items;
use crate::table::Table;
use serde_json::Value;
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Most versions that are remembered of an item, besides the current one; all are below 3.5 KB.
pub const MAX_REMEMBERED_VERSIONS: usize = 64;
/// Bytes of a content's digest: no two contents that anybody sends share one.
const DIGEST_BYTES: usize = 16;
/// In the place of a digest: the version removed the item.
const REMOVED: &str = "-";

/// What is known of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RememberedVersion {
    /// It was acknowledged with this content.
    SameContent,
    /// It was acknowledged with another content.
    OtherContent,
    /// It was never acknowledged.
    NeverAcknowledged,
    /// It lies below the low watermark.
    Forgotten,
}

/// The window of one item.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct VersionHistory {
    /// All versions acknowledged from this one on are in the window.
    low_watermark: u64,
    digests: BTreeMap<u64, String>,
}

/// A digest of what an item says, of the JSON with sorted names: two contents are the same if their digests are.
fn content_digest(item: &Item) -> String {
    let Some(body) = &item.body else { return REMOVED.to_owned() };
    let hash = Sha256::digest(body.to_string().as_bytes());
    hash.iter().take(DIGEST_BYTES).fold(String::with_capacity(2 * DIGEST_BYTES), |mut text, byte| {
        // Writing to a string never fails.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

impl VersionHistory {
    /// The key of the item that keeps the window of another.
    pub fn key(of: &Key) -> Key {
        Key { table: Table::VersionHistory, name: format!("{}/{}", of.table.as_str(), of.name) }
    }

    /// The window of an item; empty where it never had but one version.
    pub fn from_items(items: &Items, of: &Key) -> Self {
        let key = Self::key(of);
        let Some(item) = items.get(key.table, &key.name) else { return Self::default() };
        // Of a window that can't be read nothing is known.
        let unreadable = || Self { low_watermark: u64::MAX, digests: BTreeMap::new() };
        Self::parse(item.body.as_ref()).unwrap_or_else(unreadable)
    }

    /// Parses `7 9:DIGEST 12:-`: the low watermark, then versions and digests. It is one text since a list of pairs would take
    /// an allocation for each.
    fn parse(body: Option<&Value>) -> Option<Self> {
        let mut words = body?.as_str()?.split(' ');
        let low_watermark = words.next()?.parse().ok()?;
        let parse_pair = |word: &str| {
            let (version, digest) = word.split_once(':')?;
            Some((version.parse().ok()?, digest.to_owned()))
        };
        Some(Self { low_watermark, digests: words.map(parse_pair).collect::<Option<_>>()? })
    }

    /// What is known of an item's version.
    pub fn lookup(&self, item: &Item) -> RememberedVersion {
        match self.digests.get(&item.version) {
            Some(known) if *known == content_digest(item) => RememberedVersion::SameContent,
            Some(_) => RememberedVersion::OtherContent,
            None if item.version < self.low_watermark => RememberedVersion::Forgotten,
            None => RememberedVersion::NeverAcknowledged,
        }
    }

    /// Remembers an item's version; past the bound the lowest is forgotten.
    pub fn remember(&mut self, item: &Item) {
        self.digests.insert(item.version, content_digest(item));
        while self.digests.len() > MAX_REMEMBERED_VERSIONS {
            if let Some((lowest, _)) = self.digests.pop_first() {
                self.low_watermark = self.low_watermark.max(lowest.saturating_add(1));
            }
        }
    }

    /// The item that keeps the window, one version above what a replica holds.
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
