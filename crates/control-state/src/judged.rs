//! Whether the operator's items that stand in a copy are sound together, kept up to date item by item: the same verdict
//! as `check`, at the cost of what changed. A secondary index of what each item claims for itself (a place, a key) or
//! rests on (a service), and the set of items that break a rule.
//!
//! Built when a call is first judged against a copy, so copies that judge no calls don't pay for it.

use crate::config::{typed, Backend, Limits, Route, Tenant};
use crate::item::{find, Held, Item, Key, Table};
use imbl::OrdSet;
use ivygate_rpc::{Fault, Kind};
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::sync::Arc;

/// One thing that an item names.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Named {
    /// Host and prefix, or a key: no two items of a table may name the same.
    Own(Table, String),
    /// A service, which has to stand.
    Service(String),
}

impl Named {
    /// What it is found by; whoever finds something compares the things themselves. Services have odd ones.
    fn hash(&self) -> u64 {
        let (table, text, odd) = match self {
            Named::Own(table, text) => (*table, text, 0),
            Named::Service(name) => (Table::Backends, name, 1),
        };
        let mut hash = 0xcbf2_9ce4_8422_2325_u64 ^ table as u64;
        for byte in text.as_bytes() {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
        ((hash ^ (hash >> 32)) << 1) | odd
    }
}

/// What an item names.
///
/// # Errors
/// If it breaks a rule by itself.
fn names(item: &Item) -> Result<Vec<Named>, Fault> {
    let (table, name) = (item.key.table, item.key.name.as_str());
    let Some(body) = &item.body else { return Ok(Vec::new()) };
    match table {
        Table::Routes => {
            let route: Route = typed(table, name, body)?;
            let shares = route.shares();
            if shares.is_empty() {
                return Err(invalid(format!("route '{name}' names no service")));
            }
            // The length tells where the host ends.
            let place =
                format!("{}:{}{}", route.vhost.len(), route.vhost.to_ascii_lowercase(), route.path_prefix);
            let services = shares.into_iter().map(|share| Named::Service(share.backend));
            Ok(std::iter::once(Named::Own(table, place)).chain(services).collect())
        }
        Table::Tenants => {
            let tenant: Tenant = typed(table, name, body)?;
            Ok(tenant.api_keys.into_iter().map(|key| Named::Own(table, key)).collect())
        }
        Table::Backends => typed::<Backend>(table, name, body).map(|_| Vec::new()),
        Table::Limits => typed::<Limits>(table, name, body).map(|_| Vec::new()),
        _ => Ok(Vec::new()),
    }
}

fn invalid(what: String) -> Fault {
    Fault::new(Kind::Invalid, what)
}

/// An entry of the index: an item names something.
#[derive(Clone, Debug)]
struct Entry {
    hash: u64,
    /// None comes before all items of a hash.
    by: Option<Arc<Item>>,
}

impl Entry {
    fn order(&self) -> (u64, Option<&Key>) {
        (self.hash, self.by.as_ref().map(|item| &item.key))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        self.order().cmp(&other.order())
    }
}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.order() == other.order()
    }
}

impl Eq for Entry {}

fn entries(item: &Arc<Item>) -> impl Iterator<Item = Entry> + '_ {
    // What breaks a rule by itself is known as such: what it names besides doesn't matter.
    let named = names(item).unwrap_or_default();
    named.into_iter().map(|named| Entry { hash: named.hash(), by: Some(item.clone()) })
}

/// The index, and what it says.
#[derive(Clone, Debug, Default)]
pub(crate) struct Judged {
    entries: OrdSet<Entry>,
    /// Items that break a rule.
    broken: OrdSet<Key>,
}

impl Judged {
    /// Judges all items of a copy.
    pub(crate) fn of(held: &OrdSet<Held>, items: &[&Arc<Item>]) -> Self {
        let entries: OrdSet<Entry> = items.iter().copied().flat_map(entries).collect();
        let mut judged = Self { entries, broken: OrdSet::new() };
        for item in items {
            judged.judge(held, item);
        }
        judged
    }

    /// The first rule that is broken.
    pub(crate) fn verdict(&self, held: &OrdSet<Held>) -> Result<(), Fault> {
        let Some(key) = self.broken.get_min() else { return Ok(()) };
        let item = find(held, key.table, &key.name);
        let fault = item.and_then(|item| self.broken_by(held, item).err());
        Err(fault.unwrap_or_else(|| invalid(format!("{:?} '{}' is not sound", key.table, key.name))))
    }

    /// An item of a copy has come, has changed or is gone.
    pub(crate) fn change(
        &mut self,
        held: &OrdSet<Held>,
        before: Option<&Arc<Item>>,
        after: Option<&Arc<Item>>,
    ) {
        let stood = |item: Option<&Arc<Item>>| item.is_some_and(|item| item.body.is_some());
        let mut touched: BTreeSet<u64> = BTreeSet::new();
        for entry in before.into_iter().flat_map(entries) {
            touched.insert(entry.hash);
            self.entries.remove(&entry);
        }
        for entry in after.into_iter().flat_map(entries) {
            touched.insert(entry.hash);
            self.entries.insert(entry);
        }
        // Who else names a service doesn't matter to one that names it.
        touched.retain(|hash| hash & 1 == 0);
        for item in [before, after].into_iter().flatten() {
            self.broken.remove(&item.key);
            if item.key.table == Table::Backends && stood(before) != stood(after) {
                touched.insert(Named::Service(item.key.name.clone()).hash());
            }
        }
        let mut affected: Vec<Arc<Item>> = after.cloned().into_iter().collect();
        for hash in touched {
            affected.extend(self.by_hash(hash).cloned());
        }
        for item in affected {
            self.judge(held, &item);
        }
    }

    /// The items that may name what has this hash.
    fn by_hash(&self, hash: u64) -> impl Iterator<Item = &Arc<Item>> {
        let all = self.entries.range(Entry { hash, by: None }..);
        all.take_while(move |entry| entry.hash == hash).filter_map(|entry| entry.by.as_ref())
    }

    fn judge(&mut self, held: &OrdSet<Held>, item: &Arc<Item>) {
        if self.broken_by(held, item).is_err() {
            self.broken.insert(item.key.clone());
        } else {
            self.broken.remove(&item.key);
        }
    }

    /// Judges one item against the others.
    fn broken_by(&self, held: &OrdSet<Held>, item: &Item) -> Result<(), Fault> {
        let name = &item.key.name;
        for named in names(item)? {
            match &named {
                Named::Service(service) => {
                    let stands = find(held, Table::Backends, service).is_some_and(|b| b.body.is_some());
                    if !stands {
                        return Err(invalid(format!("route '{name}' names the unknown service '{service}'")));
                    }
                }
                Named::Own(table, _) => {
                    let shares = |other: &&Arc<Item>| {
                        other.key != item.key && names(other).is_ok_and(|names| names.contains(&named))
                    };
                    if let Some(other) = self.by_hash(named.hash()).find(shares) {
                        let other = &other.key.name;
                        return Err(invalid(match table {
                            Table::Routes => format!("routes '{other}' and '{name}' share host and prefix"),
                            _ => format!("tenant '{name}' shares a key with '{other}'"),
                        }));
                    }
                }
            }
        }
        Ok(())
    }
}
