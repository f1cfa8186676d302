//! Incremental validation agrees with full validation, and clones, changes and indexes agree with plain maps.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use ivygate_control_state::{
    apply_update, check_config, check_version, ConfigUpdate, Item, Items, Key, Table, Tables, VersionCheck,
};
use serde_json::{json, Value};
use std::collections::BTreeMap;

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

fn pick<T: Clone>(u: &mut Unstructured, all: &[T]) -> Result<T> {
    u.choose(all).cloned()
}

fn route(u: &mut Unstructured) -> Result<Value> {
    let mut body = json!({ "vhost": pick(u, &["h", "H", "h/", "g"])?, "kind": "upload",
        "pathPrefix": pick(u, &["/", "//", "/x/"])?, "backend": pick(u, &NAMES)? });
    match u.int_in_range(0..=9)? {
        0 => {
            body["split"] =
                json!([{ "backend": pick(u, &NAMES)?, "weight": 1 }, { "backend": "a", "weight": 0 }]);
        }
        // A struct may also be encoded as a list.
        1 => body["split"] = json!([[pick(u, &NAMES)?, 1.0]]),
        2 => body["backend"] = Value::Null,
        3 => body["split"] = json!([]),
        4 => body["pathPrefix"] = json!("x"),
        _ => {}
    }
    Ok(body)
}

fn tenant(u: &mut Unstructured) -> Result<Value> {
    let keys =
        (0..u.int_in_range(0..=2)?).map(|_| pick(u, &["k", "l", "m", "n"])).collect::<Result<Vec<_>>>()?;
    Ok(match u.int_in_range(0..=9)? {
        0 => json!({ "apiKeys": keys, "burst": -1 }),
        1 => json!([keys, null, 1, 1, []]),
        _ => json!({ "apiKeys": keys }),
    })
}

fn body(u: &mut Unstructured, table: Table) -> Result<Option<Value>> {
    if u.ratio(1, 4)? {
        return Ok(None);
    }
    Ok(Some(match table {
        Table::Routes => route(u)?,
        Table::Tenants => tenant(u)?,
        Table::Limits => json!({ "hdrTimeoutS": pick(u, &[1, 2, 0])? }),
        _ => pick(u, &[json!({}), json!({}), json!({}), json!({ "warmupS": -1 })])?,
    }))
}

fn item(u: &mut Unstructured, highest: u64) -> Result<Item> {
    let table = pick(
        u,
        &[
            Table::Routes,
            Table::Routes,
            Table::Tenants,
            Table::Backends,
            Table::Backends,
            Table::Limits,
            Table::Drains,
        ],
    )?;
    Ok(Item::new(table, pick(u, &NAMES)?, u.int_in_range(1..=highest)?, body(u, table)?))
}

/// A replica together with a plain map that records the change which added each item.
#[derive(Clone, Default)]
struct ModelledReplica {
    replica: Items,
    model: BTreeMap<Key, (u64, Item)>,
}

impl ModelledReplica {
    fn merge(&mut self, item: Item) {
        if self.replica.merge(item.clone()) {
            self.model.insert(item.key.clone(), (self.replica.last_change(), item));
        }
    }

    fn purge(&mut self, keys: &[Key]) {
        self.replica.purge(keys);
        keys.iter().for_each(|key| drop(self.model.remove(key)));
    }

    /// Returns a new replica with the same items that has never been validated.
    fn rebuilt(&self) -> Items {
        let mut rebuilt = Items::default();
        self.model.values().for_each(|(_, item)| {
            rebuilt.merge(item.clone());
        });
        rebuilt
    }

    fn check_validity(&self) -> bool {
        let (incremental, full) = (self.replica.validate(), check_config(&self.replica));
        assert_eq!(incremental.is_ok(), full.is_ok(), "{incremental:?}, {:?}", full.err());
        assert_eq!(
            self.rebuilt().validate().is_ok(),
            full.is_ok(),
            "validity does not depend on the order of changes"
        );
        full.is_ok()
    }

    fn compare(&self, since: u64) {
        let items: Vec<Item> = self.replica.all(Tables::all()).map(|item| Item::clone(item)).collect();
        let model: Vec<Item> = self.model.values().map(|(_, item)| item.clone()).collect();
        assert_eq!(items, model);
        assert_eq!(self.replica.len(), model.len());
        assert_eq!(self.replica.digest(Tables::all()), self.rebuilt().digest(Tables::all()));
        for tables in [Tables::all(), Tables::CONFIG, Tables::DRAINS] {
            let mut newer: Vec<_> = self.model.values().filter(|(change, _)| *change > since).collect();
            newer.retain(|(_, item)| tables.contains(item.key.table.set()));
            newer.sort_by_key(|(change, _)| *change);
            let changes: Vec<Item> =
                self.replica.changes_since(since, tables).iter().map(|i| Item::clone(i)).collect();
            assert_eq!(changes, newer.into_iter().map(|(_, item)| item.clone()).collect::<Vec<_>>());
        }
    }

    /// Applies an update to the replica. Returns whether it was valid, or `None` if its validity was not checked.
    fn apply(&mut self, update: &ConfigUpdate) -> Option<bool> {
        let checks: Vec<_> = update.items.iter().map(|item| check_version(&self.replica, item)).collect();
        if !checks.contains(&VersionCheck::Newer) {
            return None;
        }
        let mut merged = self.replica.clone();
        update.items.iter().for_each(|item| {
            merged.merge(item.clone());
        });
        let before = self.replica.digest(Tables::all());
        let applied = apply_update(&self.replica, update);
        assert_eq!(
            self.replica.digest(Tables::all()),
            before,
            "an update must not change the original replica"
        );
        match applied {
            Ok((next, newer)) => {
                assert!(check_config(&merged).is_ok() && check_config(&next).is_ok());
                newer.into_iter().for_each(|item| self.merge(item));
                assert_eq!(self.replica.digest(Tables::all()), next.digest(Tables::all()));
                Some(true)
            }
            Err(error) if error.kind() == ivygate_rpc::ErrorKind::Invalid => {
                assert!(check_config(&merged).is_err(), "{error}");
                Some(false)
            }
            Err(_) => None,
        }
    }
}

#[test]
fn incremental_validation_agrees_with_full_validation() {
    let counts = std::cell::Cell::new([0; 4]);
    let count = |n: usize| {
        let mut next = counts.get();
        next[n] += 1;
        counts.set(next);
    };
    for seed in 1..=150_u64 {
        arbtest(|u| {
            let mut replicas =
                vec![ModelledReplica::default(), ModelledReplica::default(), ModelledReplica::default()];
            let mut highest = 3;
            while !u.is_empty() {
                highest += 1;
                let at = u.int_in_range(0..=2_usize)?;
                match u.int_in_range(0..=11)? {
                    0..=2 => replicas[at].merge(item(u, highest)?),
                    3..=6 => {
                        let items = (0..=u.int_in_range(0..=2)?).map(|_| item(u, highest));
                        let update = ConfigUpdate { items: items.collect::<Result<_>>()? };
                        if let Some(accepted) = replicas[at].apply(&update) {
                            count(if accepted { 2 } else { 3 });
                        }
                    }
                    7 => {
                        // Merges two replicas: items that are valid in each need not be valid together.
                        let from = replicas[(at + 1) % 3].replica.clone();
                        for item in from.missing_from(&replicas[at].replica, Tables::all()) {
                            replicas[at].merge(Item::clone(&item));
                        }
                    }
                    8 => replicas[(at + 1) % 3] = replicas[at].clone(),
                    9 => {
                        let keys: Vec<Key> = replicas[at].model.keys().cloned().collect();
                        let some: Vec<Key> = keys.into_iter().filter(|_| u.ratio(1, 6) == Ok(true)).collect();
                        replicas[at].purge(&some);
                    }
                    10 => count(usize::from(replicas[at].check_validity())),
                    _ => {
                        let since = u.int_in_range(0..=replicas[at].replica.last_change() + 1)?;
                        replicas[at].compare(since);
                    }
                }
            }
            for replica in &replicas {
                replica.compare(0);
                count(usize::from(replica.check_validity()));
            }
            Ok(())
        })
        .seed(seed << 32 | 3_000)
        .run();
    }
    let [invalid, valid, accepted, rejected] = counts.get();
    assert!(invalid > 500 && valid > 500, "{invalid} replicas were invalid, {valid} valid");
    assert!(accepted > 500 && rejected > 500, "{accepted} updates were applied, {rejected} rejected");
}

#[test]
fn changing_a_clone_leaves_the_original() {
    let mut replica = Items::default();
    replica.merge(Item::new(Table::Backends, "b", 1, Some(json!({}))));
    let body = json!({ "vhost": "h", "pathPrefix": "/", "kind": "upload", "backend": "b" });
    replica.merge(Item::new(Table::Routes, "r", 1, Some(body.clone())));
    let original = replica.clone();
    assert!(replica.validate().is_ok());
    let mut next = replica.clone();
    next.merge(Item::new(Table::Backends, "b", 2, None));
    assert!(next.validate().is_err_and(|error| error.to_string().contains("unknown backend 'b'")));
    assert!(replica.validate().is_ok() && original.validate().is_ok());
    replica.merge(Item::new(Table::Routes, "s", 1, Some(body)));
    assert!(replica.validate().is_err_and(|error| error.to_string().contains("share host and prefix")));
    assert!(original.validate().is_ok());
    replica.merge(Item::new(Table::Routes, "r", 2, None));
    assert!(replica.validate().is_ok(), "the conflicting item was removed");
}
