//! Incremental validation of the operator's current items: the same result as [`check_config`](crate::check_config), at
//! a cost proportional to the changes.
//!
//! A secondary index records what each item claims exclusively (a host and prefix, or an API key) and what it refers to
//! (a backend), together with the set of items that violate a rule. It is built when an update is first checked against
//! a replica, so replicas that check no updates do not pay for it.

use crate::entry::{find, Entry};
use crate::error::ConfigError;
use crate::item::{Item, Key};
use crate::schema::{parse_body, Backend, ClientLimits, Route, Tenant};
use crate::table::Table;
use fnv::FnvHasher;
use imbl::OrdSet;
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::hash::Hasher;
use std::sync::Arc;

/// A claim or reference made by an item.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Reference {
    /// A host and prefix, or an API key. No two items of a table may make the same claim.
    Claim(Table, String),
    /// A backend, which must exist.
    Backend(String),
}

impl Reference {
    /// Returns the hash used by the index. Since hashes may collide, users of the index must compare the references
    /// themselves. References to backends have odd hashes, claims have even ones.
    fn hash(&self) -> u64 {
        let (table, text, odd_bit) = match self {
            Self::Claim(table, text) => (*table, text, 0),
            Self::Backend(name) => (Table::Backends, name, 1),
        };
        let mut hasher = FnvHasher::default();
        hasher.write(&[table as u8]);
        hasher.write(text.as_bytes());
        let hash = hasher.finish();
        ((hash ^ (hash >> 32)) << 1) | odd_bit
    }

    fn is_claim_hash(hash: u64) -> bool {
        hash & 1 == 0
    }
}

/// Returns the claims and references of an item.
///
/// # Errors
/// If the item violates a rule by itself.
fn references(item: &Item) -> Result<Vec<Reference>, ConfigError> {
    let (table, name) = (item.key.table, item.key.name.as_str());
    let Some(body) = &item.body else { return Ok(Vec::new()) };
    match table {
        Table::Routes => route_references(name, &parse_body(table, name, body)?),
        Table::Tenants => {
            let tenant: Tenant = parse_body(table, name, body)?;
            Ok(tenant.api_keys.into_iter().map(|key| Reference::Claim(table, key)).collect())
        }
        Table::Backends => parse_body::<Backend>(table, name, body).map(|_| Vec::new()),
        Table::Limits => parse_body::<ClientLimits>(table, name, body).map(|_| Vec::new()),
        _ => Ok(Vec::new()),
    }
}

fn route_references(name: &str, route: &Route) -> Result<Vec<Reference>, ConfigError> {
    let backends = route.weighted_backends();
    if backends.is_empty() {
        return Err(ConfigError::NoBackend { route: name.to_owned() });
    }
    // The length marks the end of the host.
    let host = route.vhost.to_ascii_lowercase();
    let prefix = format!("{}:{host}{}", route.vhost.len(), route.path_prefix);
    let backends = backends.into_iter().map(|share| Reference::Backend(share.backend));
    Ok(std::iter::once(Reference::Claim(Table::Routes, prefix)).chain(backends).collect())
}

/// An entry of the index: an item with the hash of one of its references.
#[derive(Clone, Debug)]
struct IndexEntry {
    hash: u64,
    /// `None` is ordered before all items with the same hash.
    item: Option<Arc<Item>>,
}

impl IndexEntry {
    fn order(&self) -> (u64, Option<&Key>) {
        (self.hash, self.item.as_ref().map(|item| &item.key))
    }
}

impl Ord for IndexEntry {
    fn cmp(&self, other: &Self) -> Ordering {
        self.order().cmp(&other.order())
    }
}

impl PartialOrd for IndexEntry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for IndexEntry {
    fn eq(&self, other: &Self) -> bool {
        self.order() == other.order()
    }
}

impl Eq for IndexEntry {}

/// Returns the index entries of an item. An item that violates a rule by itself has none, since its references have no
/// effect.
fn index_entries(item: &Arc<Item>) -> impl Iterator<Item = IndexEntry> + '_ {
    let references = references(item).unwrap_or_default();
    references.into_iter().map(|reference| IndexEntry { hash: reference.hash(), item: Some(item.clone()) })
}

/// The index and the set of items that violate a rule.
#[derive(Clone, Debug, Default)]
pub(crate) struct ValidationIndex {
    index: OrdSet<IndexEntry>,
    invalid: OrdSet<Key>,
}

impl ValidationIndex {
    /// Builds the index and validates all items of a replica.
    pub fn build(entries: &OrdSet<Entry>, items: &[&Arc<Item>]) -> Self {
        let index: OrdSet<IndexEntry> = items.iter().copied().flat_map(index_entries).collect();
        let mut validation = Self { index, invalid: OrdSet::new() };
        for item in items {
            validation.revalidate(entries, item);
        }
        validation
    }

    /// Returns an error for the first item that violates a rule.
    pub fn first_error(&self, entries: &OrdSet<Entry>) -> Result<(), ConfigError> {
        let Some(key) = self.invalid.get_min() else { return Ok(()) };
        let item = find(entries, key.table, &key.name);
        let error = item.and_then(|item| self.check(entries, item).err());
        let unknown = || ConfigError::InvalidItem {
            table: key.table,
            name: key.name.clone(),
            cause: "the item is not valid".to_owned(),
        };
        Err(error.unwrap_or_else(unknown))
    }

    /// Updates the index and the validity of affected items after an item was added, changed or removed.
    pub fn update(&mut self, entries: &OrdSet<Entry>, before: Option<&Arc<Item>>, after: Option<&Arc<Item>>) {
        let touched = self.reindex(before, after);
        let mut affected: Vec<Arc<Item>> = after.cloned().into_iter().collect();
        for hash in touched {
            affected.extend(self.by_hash(hash).cloned());
        }
        for item in affected {
            self.revalidate(entries, &item);
        }
    }

    /// Updates the index. Returns the hashes whose items may have become valid or invalid.
    fn reindex(&mut self, before: Option<&Arc<Item>>, after: Option<&Arc<Item>>) -> BTreeSet<u64> {
        let mut touched: BTreeSet<u64> = BTreeSet::new();
        for entry in before.into_iter().flat_map(index_entries) {
            touched.insert(entry.hash);
            self.index.remove(&entry);
        }
        for entry in after.into_iter().flat_map(index_entries) {
            touched.insert(entry.hash);
            self.index.insert(entry);
        }
        // Items that refer to the same backend do not affect each other.
        touched.retain(|hash| Reference::is_claim_hash(*hash));
        let is_live = |item: Option<&Arc<Item>>| item.is_some_and(|item| item.body.is_some());
        for item in [before, after].into_iter().flatten() {
            self.invalid.remove(&item.key);
            if item.key.table == Table::Backends && is_live(before) != is_live(after) {
                touched.insert(Reference::Backend(item.key.name.clone()).hash());
            }
        }
        touched
    }

    /// Iterates over the items that may have a reference with this hash.
    fn by_hash(&self, hash: u64) -> impl Iterator<Item = &Arc<Item>> {
        let entries = self.index.range(IndexEntry { hash, item: None }..);
        entries.take_while(move |entry| entry.hash == hash).filter_map(|entry| entry.item.as_ref())
    }

    fn revalidate(&mut self, entries: &OrdSet<Entry>, item: &Arc<Item>) {
        if self.check(entries, item).is_err() {
            self.invalid.insert(item.key.clone());
        } else {
            self.invalid.remove(&item.key);
        }
    }

    /// Validates one item against the others.
    fn check(&self, entries: &OrdSet<Entry>, item: &Item) -> Result<(), ConfigError> {
        for reference in references(item)? {
            match &reference {
                Reference::Backend(backend) => check_backend(entries, item, backend)?,
                Reference::Claim(table, _) => self.check_claim(item, *table, &reference)?,
            }
        }
        Ok(())
    }

    fn check_claim(&self, item: &Item, table: Table, claim: &Reference) -> Result<(), ConfigError> {
        let claims_the_same = |other: &&Arc<Item>| {
            other.key != item.key && references(other).is_ok_and(|references| references.contains(claim))
        };
        let Some(other) = self.by_hash(claim.hash()).find(claims_the_same) else { return Ok(()) };
        let (own, other) = (item.key.name.clone(), other.key.name.clone());
        Err(match table {
            Table::Routes => ConfigError::SharedPrefix { first: other, second: own },
            _ => ConfigError::SharedKey { first: own, second: other },
        })
    }
}

fn check_backend(entries: &OrdSet<Entry>, route: &Item, backend: &str) -> Result<(), ConfigError> {
    let is_live = find(entries, Table::Backends, backend).is_some_and(|item| item.body.is_some());
    if is_live {
        return Ok(());
    }
    Err(ConfigError::UnknownBackend { route: route.key.name.clone(), backend: backend.to_owned() })
}
