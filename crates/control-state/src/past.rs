//! The generation numbers that were acknowledged for an item besides the one that stands, each with a digest of its
//! content: a deduplication window. Below its low-water mark nothing is known any more.
//!
//! Of the operator's items only, and only of those that had more than one number. Kept by the stores as items of
//! `Table::Past`, written in the same round as what they are about.

use crate::item::{Item, Items, Key, Table};
use serde_json::Value;
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Most numbers that are remembered of an item, besides the one that stands; all are below 3.5 KB.
pub const REMEMBERED: usize = 64;
/// Bytes of a content's digest: no two contents that anybody sends share one.
const DIGEST: usize = 16;
/// In the place of a digest: the number dropped the item.
const DROPPED: &str = "-";

/// What a window says of a number.
pub(crate) enum Known {
    /// It was acknowledged with this content.
    Same,
    /// It was acknowledged with another.
    Other,
    /// It was never acknowledged.
    Never,
    /// Not known: it lies below the low-water mark.
    Forgotten,
}

/// The window of one item.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct Past {
    /// All acknowledged numbers from this one on are in the window.
    low_water: u64,
    numbers: BTreeMap<u64, String>,
}

/// A digest of what an item says, of the JSON with sorted names; two contents are the same if their digests are.
fn digest(item: &Item) -> String {
    let Some(body) = &item.body else { return DROPPED.to_owned() };
    let hash = Sha256::digest(body.to_string().as_bytes());
    hash.iter().take(DIGEST).fold(String::with_capacity(2 * DIGEST), |mut text, byte| {
        // Writing to a string never fails.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

impl Past {
    /// The item that keeps the window of another.
    pub(crate) fn key(of: &Key) -> Key {
        Key { table: Table::Past, name: format!("{}/{}", of.table.word(), of.name) }
    }

    /// The window of an item; empty where it never had but one number.
    pub(crate) fn read(copy: &Items, of: &Key) -> Self {
        let key = Self::key(of);
        let Some(item) = copy.get(key.table, &key.name) else { return Self::default() };
        // Of a window that can't be read nothing is known.
        Self::parse(item.body.as_ref()).unwrap_or(Self { low_water: u64::MAX, numbers: BTreeMap::new() })
    }

    /// `7 9:DIGEST 12:-`: the low-water mark, then numbers and digests. One text: a list of pairs would take an allocation
    /// for each.
    fn parse(body: Option<&Value>) -> Option<Self> {
        let mut words = body?.as_str()?.split(' ');
        let low_water = words.next()?.parse().ok()?;
        let pair = |word: &str| {
            let (number, digest) = word.split_once(':')?;
            Some((number.parse().ok()?, digest.to_owned()))
        };
        Some(Self { low_water, numbers: words.map(pair).collect::<Option<_>>()? })
    }

    /// What is known of an item's number.
    pub(crate) fn known(&self, item: &Item) -> Known {
        match self.numbers.get(&item.version) {
            Some(known) if *known == digest(item) => Known::Same,
            Some(_) => Known::Other,
            None if item.version < self.low_water => Known::Forgotten,
            None => Known::Never,
        }
    }

    /// Remembers an item's number; past the bound the lowest is forgotten.
    pub(crate) fn remember(&mut self, item: &Item) {
        self.numbers.insert(item.version, digest(item));
        while self.numbers.len() > REMEMBERED {
            if let Some((lowest, _)) = self.numbers.pop_first() {
                self.low_water = self.low_water.max(lowest.saturating_add(1));
            }
        }
    }

    /// The item that keeps it, one version above what a copy holds.
    pub(crate) fn item(&self, copy: &Items, of: &Key) -> Item {
        let Key { table, name } = Self::key(of);
        let mut text = self.low_water.to_string();
        for (number, digest) in &self.numbers {
            let _ = write!(text, " {number}:{digest}");
        }
        let version = copy.version(table, &name).saturating_add(1);
        Item::new(table, name, version, Some(Value::String(text)))
    }
}
