//! No two contents are acknowledged under one version of an item, and a repeat of an acknowledged update is never
//! rejected.

use arbtest::arbtest;
use ivygate_control_state::{
    apply_update, check_config, config_document, ConfigUpdate, Item, Items, Table, Tables,
    MAX_REMEMBERED_VERSIONS,
};
use ivygate_rpc::ErrorKind;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Builds an update of tenants from names, versions and bursts; an entry without a burst is a removal.
fn tenants(list: &[(&str, u64, Option<f64>)]) -> ConfigUpdate {
    let item = |(name, version, burst): &(&str, u64, Option<f64>)| {
        let gen = format!("r{version}");
        Item::new(Table::Tenants, *name, *version, burst.map(|burst| json!({ "burst": burst, "gen": gen })))
    };
    ConfigUpdate { items: list.iter().map(item).collect() }
}

fn parse(text: &str) -> ConfigUpdate {
    ConfigUpdate::parse(text.as_bytes()).expect("each item is valid")
}

/// Returns the replica of a restarted store, with each durable item encoded and decoded again.
fn restarted(replica: &Items) -> Items {
    let mut read = Items::default();
    for item in replica.all(Tables::DURABLE) {
        let text = serde_json::to_vec(&**item).expect("the item can be encoded");
        read.merge(serde_json::from_slice(&text).expect("the item can be decoded"));
    }
    read
}

struct Store(Items);

impl Store {
    fn after(updates: &[&[(&str, u64, Option<f64>)]]) -> Self {
        let mut store = Self(Items::default());
        for update in updates {
            store.apply(update);
        }
        store
    }

    /// Applies an update that must be acknowledged, and returns its new items.
    fn apply(&mut self, update: &[(&str, u64, Option<f64>)]) -> Vec<Item> {
        let (next, newer) =
            apply_update(&self.0, &tenants(update)).unwrap_or_else(|e| panic!("{update:?}: {e}"));
        self.0 = next;
        newer
    }

    fn rejection(&self, update: &[(&str, u64, Option<f64>)]) -> ErrorKind {
        apply_update(&self.0, &tenants(update)).expect_err("the version was acknowledged").kind()
    }

    fn burst(&self, name: &str) -> Option<f64> {
        self.0.body(Table::Tenants, name)?.get("burst")?.as_f64()
    }
}

#[test]
fn rejects_other_content_under_an_earlier_version() {
    let mut store = Store::after(&[&[("t", 5, Some(1.0))], &[("t", 6, Some(2.0))]]);
    assert_eq!(store.rejection(&[("t", 5, Some(3.0))]), ErrorKind::Conflict);
    assert_eq!(store.rejection(&[("t", 5, None)]), ErrorKind::Conflict);
    assert_eq!(store.rejection(&[("t", 6, Some(3.0))]), ErrorKind::Conflict);
    assert!(store.apply(&[("t", 5, Some(1.0))]).is_empty(), "a repeat changes nothing");
    assert!(store.apply(&[("t", 6, Some(2.0))]).is_empty());
    assert_eq!(store.burst("t"), Some(2.0));
}

#[test]
fn acknowledges_repeats_of_a_removed_item_only() {
    let mut store =
        Store::after(&[&[("t", 5, Some(1.0))], &[("t", 6, None)], &[("t", 8, Some(4.0))], &[("t", 9, None)]]);
    store.0 = restarted(&store.0);
    for repeat in [("t", 5, Some(1.0)), ("t", 6, None), ("t", 8, Some(4.0)), ("t", 9, None)] {
        assert!(store.apply(&[repeat]).is_empty(), "{repeat:?}");
    }
    for other in [("t", 5, None), ("t", 6, Some(1.0)), ("t", 8, None), ("t", 9, Some(4.0))] {
        assert_eq!(store.rejection(&[other]), ErrorKind::Conflict, "{other:?}");
    }
    assert_eq!(store.burst("t"), None);
    assert_eq!(config_document(&store.0)["tenants"], json!({}));
}

#[test]
fn unused_earlier_version_is_recorded_once() {
    let mut store = Store::after(&[&[("t", 9, Some(9.0))]]);
    let new_items = store.apply(&[("t", 4, Some(4.0))]);
    assert!(new_items.len() == 1 && new_items[0].key.table == Table::VersionHistory, "{new_items:?}");
    store.0 = restarted(&store.0);
    assert_eq!(store.rejection(&[("t", 4, Some(5.0))]), ErrorKind::Conflict);
    assert!(store.apply(&[("t", 4, Some(4.0))]).is_empty());
    assert_eq!(store.burst("t"), Some(9.0));
}

#[test]
fn unchanged_item_has_no_version_history() {
    let mut store = Store::after(&[&[("t", 1, Some(1.0)), ("u", 7, Some(1.0))], &[("t", 1, Some(1.0))]]);
    assert_eq!(store.0.all(Tables::VERSION_HISTORY).count(), 0);
    let new_items = store.apply(&[("t", 2, Some(2.0))]);
    let named: BTreeSet<_> =
        new_items.iter().map(|i| (i.key.table, i.key.name.as_str(), i.version)).collect();
    let expected = [(Table::Tenants, "t", 2), (Table::VersionHistory, "tenants/t", 1)];
    assert_eq!(named, BTreeSet::from(expected), "the item and its history are written in one round");
    assert!(
        !Tables::PUBLISHED.contains(Tables::VERSION_HISTORY)
            && Tables::DURABLE == Tables::PUBLISHED | Tables::VERSION_HISTORY
    );
}

#[test]
fn one_name_twice_records_both_versions_or_none() {
    let both = r#"{"upsert":{"tenants":{"t":{"burst":1,"gen":"r5"}}},"remove":{"tenants":[{"name":"t","gen":"r6"},
        {"name":"t","gen":"r6"}]}}"#;
    let (replica, newer) =
        apply_update(&Items::default(), &parse(both)).expect("two versions do not conflict");
    assert_eq!(newer.len(), 2, "each name once: {newer:?}");
    assert!(replica.body(Table::Tenants, "t").is_none());
    assert!(apply_update(&replica, &parse(both)).expect("the update is a repeat").1.is_empty());
    let other = r#"{"upsert":{"tenants":{"t":{"burst":2,"gen":"r5"}}}}"#;
    assert_eq!(apply_update(&replica, &parse(other)).expect_err("r5 is used").kind(), ErrorKind::Conflict);

    let reversed = r#"{"upsert":{"tenants":{"t":{"burst":1,"gen":"r6"}}},"remove":{"tenants":[{"name":"t","gen":"r5"}]}}"#;
    let (replica, _) =
        apply_update(&Items::default(), &parse(reversed)).expect("two versions do not conflict");
    assert!(replica.body(Table::Tenants, "t").is_some());
    assert!(apply_update(&replica, &parse(reversed)).expect("the update is a repeat").1.is_empty());
    assert_eq!(
        apply_update(&replica, &parse(both)).expect_err("r5 was a removal").kind(),
        ErrorKind::Conflict
    );

    let conflicting = r#"{"upsert":{"tenants":{"s":{"gen":"r1"},"t":{"burst":1,"gen":"r5"}}},
        "remove":{"tenants":[{"name":"t","gen":"r5"}]}}"#;
    assert_eq!(
        apply_update(&Items::default(), &parse(conflicting)).expect_err("both items have one version").kind(),
        ErrorKind::Conflict
    );
}

#[test]
fn rejects_one_name_twice_in_a_table() {
    for names in [["t", "t"], ["t", "\\u0074"]] {
        let [first, second] = names;
        let repeated_name = format!(
            r#"{{"upsert":{{"tenants":{{"{first}":{{"burst":1,"gen":"r5"}},"{second}":{{"burst":2,"gen":"r5"}}}}}}}}"#
        );
        let error = ConfigUpdate::parse(repeated_name.as_bytes()).expect_err("a repeated name is ambiguous");
        assert!(error.kind() == ErrorKind::Malformed && error.to_string().contains("twice"), "{error}");
    }
}

#[test]
fn conflicting_update_is_rejected_whole() {
    let mut store = Store::after(&[&[("t", 5, Some(1.0))], &[("t", 6, Some(2.0)), ("u", 6, Some(2.0))]]);
    let conflicting = [("s", 1, Some(1.0)), ("u", 4, Some(1.0)), ("t", 5, Some(9.0))];
    assert_eq!(store.rejection(&conflicting), ErrorKind::Conflict);
    // If the rejected versions had been recorded, different contents would be rejected here.
    store.apply(&[("s", 1, Some(2.0)), ("u", 4, Some(2.0))]);
}

#[test]
fn rejects_reused_versions_in_each_table() {
    let update = |version: u64, seconds: f64| {
        parse(&format!(
            r#"{{"upsert":{{"backends":{{"b":{{"warmupS":{seconds},"gen":"r{version}"}}}},
            "routes":{{"b":{{"vhost":"h","pathPrefix":"/","kind":"upload","backend":"b","timeoutS":{seconds},"gen":"r{version}"}}}},
            "limits":{{"hdrTimeoutS":{seconds},"gen":"r{version}"}}}}}}"#
        ))
    };
    let (replica, _) = apply_update(&Items::default(), &update(1, 1.0)).expect("the update is valid");
    let (replica, _) = apply_update(&replica, &update(2, 2.0)).expect("the update is valid");
    let replica = restarted(&replica);
    for item in update(1, 3.0).items {
        let alone = ConfigUpdate { items: vec![item] };
        assert_eq!(apply_update(&replica, &alone).expect_err("r1 is used").kind(), ErrorKind::Conflict);
    }
    assert!(apply_update(&replica, &update(1, 1.0)).expect("the update is a repeat").1.is_empty());
    assert!(check_config(&replica).is_ok());
}

#[test]
fn version_below_the_history_is_forgotten() {
    let (mut store, newest) = (Store(Items::default()), 3 * MAX_REMEMBERED_VERSIONS as u64);
    for version in 1..=newest {
        store.apply(&[("t", version, Some(version as f64))]);
    }
    store.0 = restarted(&store.0);
    let oldest = newest - MAX_REMEMBERED_VERSIONS as u64;
    for version in 1..=newest {
        let (same, other) = ([("t", version, Some(version as f64))], [("t", version, None)]);
        if version < oldest {
            assert_eq!(store.rejection(&same), ErrorKind::VersionForgotten, "r{version}");
            assert_eq!(store.rejection(&other), ErrorKind::VersionForgotten, "r{version}");
        } else {
            assert!(store.apply(&same).is_empty(), "r{version}");
            assert_eq!(store.rejection(&other), ErrorKind::Conflict, "r{version}");
        }
    }
    assert!(ErrorKind::VersionForgotten.is_retryable(), "a forgotten version may be retried");
    // A conflict takes precedence over forgotten versions.
    assert_eq!(store.rejection(&[("t", 1, None), ("t", newest, None)]), ErrorKind::Conflict);
    let histories: Vec<_> = store.0.all(Tables::VERSION_HISTORY).collect();
    let size = serde_json::to_vec(&histories).expect("the item can be encoded").len();
    assert!(histories.len() == 1 && size < 3_500, "{size} bytes");
}

#[test]
fn version_below_a_full_history_is_acknowledged_once_at_most() {
    let mut store = Store(Items::default());
    for version in 100..=100 + MAX_REMEMBERED_VERSIONS as u64 {
        store.apply(&[("t", version, Some(1.0))]);
    }
    store.apply(&[("t", 50, Some(1.0))]);
    assert_eq!(store.rejection(&[("t", 50, Some(2.0))]), ErrorKind::VersionForgotten);
    assert_eq!(store.rejection(&[("t", 40, Some(2.0))]), ErrorKind::VersionForgotten);
    store.apply(&[("t", 60, Some(1.0))]);
}

#[test]
fn unreadable_history_knows_no_version() {
    let store = Store::after(&[&[("t", 5, Some(1.0))], &[("t", 6, Some(2.0))]]);
    for body in [None, Some(json!([[5, "x"]])), Some(json!("")), Some(json!("0 5")), Some(json!("0 x:y"))] {
        let mut corrupt = Store(store.0.clone());
        corrupt.0.merge(Item::new(Table::VersionHistory, "tenants/t", 2, body));
        assert_eq!(corrupt.rejection(&[("t", 5, Some(1.0))]), ErrorKind::VersionForgotten);
        corrupt.apply(&[("t", 7, Some(3.0))]);
        assert_eq!(corrupt.rejection(&[("t", 6, Some(3.0))]), ErrorKind::Conflict);
    }
}

#[test]
fn long_fractions_are_repeats_after_a_restart() {
    let mut random = 0x9e37_79b9_7f4a_7c15_u64;
    let mut draw = || {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((random >> 11) as f64 / (1_u64 << 53) as f64 * 1e-3).to_string()
    };
    // A number that a parser which rounds twice changes by one bit each time it is read.
    let misrounded = "0.00000017545801014029472".to_owned();
    for burst in std::iter::once(misrounded).chain((0..1_000).map(|_| draw())) {
        let update = format!(r#"{{"upsert":{{"tenants":{{"t":{{"burst":{burst},"gen":"r5"}}}}}}}}"#);
        let (first, _) = apply_update(&Items::default(), &parse(&update)).expect("the update is valid");
        let first = restarted(&first);
        assert!(apply_update(&first, &parse(&update)).expect(&update).1.is_empty());
        let (second, _) = apply_update(&first, &tenants(&[("t", 6, None)])).expect("the update is valid");
        assert!(apply_update(&restarted(&second), &parse(&update)).expect(&update).1.is_empty());
    }
}

#[test]
fn equal_spellings_of_a_number_stay_equal() {
    let update =
        |burst: &str| parse(&format!(r#"{{"upsert":{{"tenants":{{"t":{{"gen":"r5","burst":{burst}}}}}}}}}"#));
    let (first, _) = apply_update(&Items::default(), &update("-0.0")).expect("the update is valid");
    let (second, _) = apply_update(&first, &tenants(&[("t", 6, None)])).expect("the update is valid");
    for other in ["0.0", "0", "-0", "0e0", "-0.0"] {
        let earlier = apply_update(&first, &update(other)).map(drop).map_err(|e| e.kind());
        assert_eq!(apply_update(&second, &update(other)).map(drop).map_err(|e| e.kind()), earlier, "{other}");
    }
}

/// An oracle that records every acknowledged version.
#[derive(Default)]
struct Oracle(BTreeMap<(String, u64), Option<Value>>);

impl Oracle {
    /// Returns whether one of the update's versions was used with different content, earlier or within the update
    /// itself.
    fn conflicts(&self, update: &ConfigUpdate) -> bool {
        update.items.iter().enumerate().any(|(n, item)| {
            let earlier = self.0.get(&(item.key.name.clone(), item.version));
            let same_version = |other: &Item| (&other.key, other.version) == (&item.key, item.version);
            earlier.is_some_and(|body| *body != item.body)
                || update.items[..n].iter().any(|other| same_version(other) && other.body != item.body)
        })
    }

    fn record(&mut self, update: &ConfigUpdate) {
        for item in &update.items {
            self.0.insert((item.key.name.clone(), item.version), item.body.clone());
        }
    }

    fn version_count(&self, name: &str) -> usize {
        self.0.keys().filter(|(known, _)| known == name).count()
    }
}

/// Runs one random history. Returns the numbers of updates that were acknowledged, rejected as conflicts, and rejected
/// as forgotten.
fn run_history(
    u: &mut arbtest::arbitrary::Unstructured,
    span: u64,
) -> arbtest::arbitrary::Result<[usize; 3]> {
    let (mut replica, mut oracle, mut outcomes) = (Items::default(), Oracle::default(), [0; 3]);
    let mut acknowledged_updates: Vec<ConfigUpdate> = Vec::new();
    let mut highest = 1;
    while !u.is_empty() {
        if u.ratio(1, 16)? {
            replica = restarted(&replica);
        }
        let update = if !acknowledged_updates.is_empty() && u.ratio(1, 3)? {
            u.choose(&acknowledged_updates)?.clone()
        } else {
            let mut list = Vec::new();
            for _ in 0..u.int_in_range(1..=3)? {
                highest += u.int_in_range(0..=2)?;
                let version = highest - u.int_in_range(0..=span.min(highest))?;
                let burst = [None, Some(1.0), Some(2.0)][u.int_in_range(0..=2)?];
                list.push((["a", "b"][u.int_in_range(0..=1)?], version, burst));
            }
            tenants(&list)
        };
        match apply_update(&replica, &update) {
            Ok((next, newer)) => {
                assert!(!oracle.conflicts(&update), "two contents under one version: {update:?}");
                let keys: BTreeSet<_> = newer.iter().map(|item| item.key.clone()).collect();
                assert_eq!(keys.len(), newer.len(), "each name once");
                // Merging the new items into the previous replica must give the same result as the update.
                let mut merged = replica.clone();
                newer.into_iter().for_each(|item| assert!(merged.merge(item)));
                assert_eq!(merged.digest(Tables::all()), next.digest(Tables::all()));
                replica = next;
                oracle.record(&update);
                acknowledged_updates.push(update);
                outcomes[0] += 1;
            }
            Err(error) if error.kind() == ErrorKind::Conflict => {
                assert!(oracle.conflicts(&update), "a repeat was rejected: {update:?}");
                outcomes[1] += 1;
            }
            Err(error) => {
                assert_eq!(error.kind(), ErrorKind::VersionForgotten);
                let most_versions =
                    update.items.iter().map(|item| oracle.version_count(&item.key.name)).max();
                assert!(most_versions > Some(MAX_REMEMBERED_VERSIONS), "forgotten too soon: {update:?}");
                outcomes[2] += 1;
            }
        }
    }
    for ((name, version), body) in &oracle.0 {
        let current = replica.get(Table::Tenants, name).expect("the version was acknowledged");
        assert!(current.version > *version || (current.version == *version && current.body == *body));
    }
    Ok(outcomes)
}

#[test]
fn version_checks_agree_with_an_oracle() {
    for (span, size, expects_forgotten) in [(6, 256, false), (6, 2_048, true), (200, 4_096, true)] {
        let total = std::cell::Cell::new([0; 3]);
        for seed in 1..=40_u64 {
            arbtest(|u| {
                let outcomes = run_history(u, span)?;
                total.set(std::array::from_fn(|n| total.get()[n] + outcomes[n]));
                Ok(())
            })
            .seed(seed << 32 | size)
            .run();
        }
        let [acknowledged, rejected, forgotten] = total.get();
        assert!(acknowledged > 500 && rejected > 100, "{span}: {acknowledged} and {rejected}");
        assert_eq!(forgotten > 0, expects_forgotten, "{span}: {forgotten}");
    }
}
