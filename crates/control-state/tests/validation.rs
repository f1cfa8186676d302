//! What is judged item by item agrees with what is judged as a whole, and clones, changes and indexes with plain maps.

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
        // A struct may also be written as a list.
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

/// A copy beside a plain map that says by which change each item came.
#[derive(Clone, Default)]
struct Beside {
    copy: Items,
    plain: BTreeMap<Key, (u64, Item)>,
}

impl Beside {
    fn merge(&mut self, item: Item) {
        if self.copy.merge(item.clone()) {
            self.plain.insert(item.key.clone(), (self.copy.last_change(), item));
        }
    }

    fn forget(&mut self, keys: &[Key]) {
        self.copy.purge(keys);
        keys.iter().for_each(|key| drop(self.plain.remove(key)));
    }

    /// A copy that was never asked before holds the same.
    fn anew(&self) -> Items {
        let mut anew = Items::default();
        self.plain.values().for_each(|(_, item)| {
            anew.merge(item.clone());
        });
        anew
    }

    fn judge(&self) -> bool {
        let (item_by_item, whole) = (self.copy.validate(), check_config(&self.copy));
        assert_eq!(item_by_item.is_ok(), whole.is_ok(), "{item_by_item:?}, {:?}", whole.err());
        assert_eq!(self.anew().validate().is_ok(), whole.is_ok(), "the way there makes no difference");
        whole.is_ok()
    }

    fn compare(&self, since: u64) {
        let held: Vec<Item> = self.copy.all(Tables::all()).map(|item| Item::clone(item)).collect();
        let plain: Vec<Item> = self.plain.values().map(|(_, item)| item.clone()).collect();
        assert_eq!(held, plain);
        assert_eq!(self.copy.len(), plain.len());
        assert_eq!(self.copy.digest(Tables::all()), self.anew().digest(Tables::all()));
        for tables in [Tables::all(), Tables::CONFIG, Tables::DRAINS] {
            let mut newer: Vec<_> = self.plain.values().filter(|(change, _)| *change > since).collect();
            newer.retain(|(_, item)| tables.contains(item.key.table.set()));
            newer.sort_by_key(|(change, _)| *change);
            let told: Vec<Item> =
                self.copy.changes_since(since, tables).iter().map(|i| Item::clone(i)).collect();
            assert_eq!(told, newer.into_iter().map(|(_, item)| item.clone()).collect::<Vec<_>>());
        }
    }

    /// A call is judged against the copy; tells whether it came to that, and what came of it.
    fn call(&mut self, call: &ConfigUpdate) -> Option<bool> {
        let verdicts: Vec<_> = call.items.iter().map(|item| check_version(&self.copy, item)).collect();
        if !verdicts.contains(&VersionCheck::Newer) {
            return None;
        }
        let mut naive = self.copy.clone();
        call.items.iter().for_each(|item| {
            naive.merge(item.clone());
        });
        let before = self.copy.digest(Tables::all());
        let made = apply_update(&self.copy, call);
        assert_eq!(self.copy.digest(Tables::all()), before, "a call leaves the copy as it was");
        match made {
            Ok((next, newer)) => {
                assert!(check_config(&naive).is_ok() && check_config(&next).is_ok());
                newer.into_iter().for_each(|item| self.merge(item));
                assert_eq!(self.copy.digest(Tables::all()), next.digest(Tables::all()));
                Some(true)
            }
            Err(fault) if fault.kind() == ivygate_rpc::ErrorKind::Invalid => {
                assert!(check_config(&naive).is_err(), "{fault}");
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
            let mut copies = vec![Beside::default(), Beside::default(), Beside::default()];
            let mut highest = 3;
            while !u.is_empty() {
                highest += 1;
                let at = u.int_in_range(0..=2_usize)?;
                match u.int_in_range(0..=11)? {
                    0..=2 => copies[at].merge(item(u, highest)?),
                    3..=6 => {
                        let items = (0..=u.int_in_range(0..=2)?).map(|_| item(u, highest));
                        let call = ConfigUpdate { items: items.collect::<Result<_>>()? };
                        if let Some(taken) = copies[at].call(&call) {
                            count(if taken { 2 } else { 3 });
                        }
                    }
                    7 => {
                        // Two operators' halves meet: what was sound in each need not be together.
                        let from = copies[(at + 1) % 3].copy.clone();
                        for item in from.missing_from(&copies[at].copy, Tables::all()) {
                            copies[at].merge(Item::clone(&item));
                        }
                    }
                    8 => copies[(at + 1) % 3] = copies[at].clone(),
                    9 => {
                        let keys: Vec<Key> = copies[at].plain.keys().cloned().collect();
                        let some: Vec<Key> = keys.into_iter().filter(|_| u.ratio(1, 6) == Ok(true)).collect();
                        copies[at].forget(&some);
                    }
                    10 => count(usize::from(copies[at].judge())),
                    _ => {
                        let since = u.int_in_range(0..=copies[at].copy.last_change() + 1)?;
                        copies[at].compare(since);
                    }
                }
            }
            for copy in &copies {
                copy.compare(0);
                count(usize::from(copy.judge()));
            }
            Ok(())
        })
        .seed(seed << 32 | 3_000)
        .run();
    }
    let [unsound, sound, taken, refused] = counts.get();
    assert!(unsound > 500 && sound > 500, "{unsound} copies were unsound, {sound} sound");
    assert!(taken > 500 && refused > 500, "{taken} calls were taken, {refused} refused");
}

#[test]
fn changing_a_clone_leaves_the_original() {
    let mut copy = Items::default();
    copy.merge(Item::new(Table::Backends, "b", 1, Some(json!({}))));
    let body = json!({ "vhost": "h", "pathPrefix": "/", "kind": "upload", "backend": "b" });
    copy.merge(Item::new(Table::Routes, "r", 1, Some(body.clone())));
    let early = copy.clone();
    assert!(copy.validate().is_ok());
    let mut next = copy.clone();
    next.merge(Item::new(Table::Backends, "b", 2, None));
    assert!(next.validate().is_err_and(|fault| fault.to_string().contains("unknown service 'b'")));
    assert!(copy.validate().is_ok() && early.validate().is_ok());
    copy.merge(Item::new(Table::Routes, "s", 1, Some(body)));
    assert!(copy.validate().is_err_and(|fault| fault.to_string().contains("share host and prefix")));
    assert!(early.validate().is_ok());
    copy.merge(Item::new(Table::Routes, "r", 2, None));
    assert!(copy.validate().is_ok(), "what broke it is gone");
}
