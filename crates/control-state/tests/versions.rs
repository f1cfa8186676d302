//! No two contents are acknowledged under one number of an item, and a repeat of what was acknowledged is never refused.

use arbtest::arbtest;
use ivygate_control_state::{
    apply_update, check_config, config_document, ConfigUpdate, Item, Items, Table, Tables,
    MAX_REMEMBERED_VERSIONS,
};
use ivygate_rpc::ErrorKind;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// A call about tenants: names, numbers, and a burst each, or none for one to be dropped.
fn tenants(list: &[(&str, u64, Option<f64>)]) -> ConfigUpdate {
    let item = |(name, number, burst): &(&str, u64, Option<f64>)| {
        let gen = format!("r{number}");
        Item::new(Table::Tenants, *name, *number, burst.map(|burst| json!({ "burst": burst, "gen": gen })))
    };
    ConfigUpdate { items: list.iter().map(item).collect() }
}

fn text(text: &str) -> ConfigUpdate {
    ConfigUpdate::parse(text.as_bytes()).expect("each item is sound")
}

/// What a store has after a loss of all power: each item as it was written on disk.
fn restarted(copy: &Items) -> Items {
    let mut read = Items::default();
    for item in copy.all(Tables::DURABLE) {
        let text = serde_json::to_vec(&**item).expect("it can be written");
        read.merge(serde_json::from_slice(&text).expect("it can be read"));
    }
    read
}

struct Store(Items);

impl Store {
    fn after(calls: &[&[(&str, u64, Option<f64>)]]) -> Self {
        let mut store = Self(Items::default());
        for call in calls {
            store.acknowledges(call);
        }
        store
    }

    /// Gives the items that the call was written down as.
    fn acknowledges(&mut self, call: &[(&str, u64, Option<f64>)]) -> Vec<Item> {
        let (next, newer) = apply_update(&self.0, &tenants(call)).unwrap_or_else(|e| panic!("{call:?}: {e}"));
        self.0 = next;
        newer
    }

    fn refuses(&self, call: &[(&str, u64, Option<f64>)]) -> ErrorKind {
        apply_update(&self.0, &tenants(call)).expect_err("it was acknowledged").kind()
    }

    fn burst(&self, name: &str) -> Option<f64> {
        self.0.body(Table::Tenants, name)?.get("burst")?.as_f64()
    }
}

#[test]
fn rejects_other_content_under_an_earlier_version() {
    let mut store = Store::after(&[&[("t", 5, Some(1.0))], &[("t", 6, Some(2.0))]]);
    assert_eq!(store.refuses(&[("t", 5, Some(3.0))]), ErrorKind::Conflict);
    assert_eq!(store.refuses(&[("t", 5, None)]), ErrorKind::Conflict);
    assert_eq!(store.refuses(&[("t", 6, Some(3.0))]), ErrorKind::Conflict);
    assert!(store.acknowledges(&[("t", 5, Some(1.0))]).is_empty(), "its repeat changes nothing");
    assert!(store.acknowledges(&[("t", 6, Some(2.0))]).is_empty());
    assert_eq!(store.burst("t"), Some(2.0));
}

#[test]
fn acknowledges_repeats_of_a_removed_item_only() {
    let mut store =
        Store::after(&[&[("t", 5, Some(1.0))], &[("t", 6, None)], &[("t", 8, Some(4.0))], &[("t", 9, None)]]);
    store.0 = restarted(&store.0);
    for repeat in [("t", 5, Some(1.0)), ("t", 6, None), ("t", 8, Some(4.0)), ("t", 9, None)] {
        assert!(store.acknowledges(&[repeat]).is_empty(), "{repeat:?}");
    }
    for other in [("t", 5, None), ("t", 6, Some(1.0)), ("t", 8, None), ("t", 9, Some(4.0))] {
        assert_eq!(store.refuses(&[other]), ErrorKind::Conflict, "{other:?}");
    }
    assert_eq!(store.burst("t"), None);
    assert_eq!(config_document(&store.0)["tenants"], json!({}));
}

#[test]
fn unused_earlier_version_is_recorded_once() {
    let mut store = Store::after(&[&[("t", 9, Some(9.0))]]);
    let remembered = store.acknowledges(&[("t", 4, Some(4.0))]);
    assert!(remembered.len() == 1 && remembered[0].key.table == Table::VersionHistory, "{remembered:?}");
    store.0 = restarted(&store.0);
    assert_eq!(store.refuses(&[("t", 4, Some(5.0))]), ErrorKind::Conflict);
    assert!(store.acknowledges(&[("t", 4, Some(4.0))]).is_empty());
    assert_eq!(store.burst("t"), Some(9.0));
}

#[test]
fn unchanged_item_has_no_version_history() {
    let mut store = Store::after(&[&[("t", 1, Some(1.0)), ("u", 7, Some(1.0))], &[("t", 1, Some(1.0))]]);
    assert_eq!(store.0.all(Tables::VERSION_HISTORY).count(), 0);
    let written = store.acknowledges(&[("t", 2, Some(2.0))]);
    let named: BTreeSet<_> = written.iter().map(|i| (i.key.table, i.key.name.as_str(), i.version)).collect();
    let expected = [(Table::Tenants, "t", 2), (Table::VersionHistory, "tenants/t", 1)];
    assert_eq!(named, BTreeSet::from(expected), "both are written in one round");
    assert!(
        !Tables::PUBLISHED.contains(Tables::VERSION_HISTORY)
            && Tables::DURABLE == Tables::PUBLISHED | Tables::VERSION_HISTORY
    );
}

#[test]
fn one_name_twice_records_both_versions_or_none() {
    let both = r#"{"upsert":{"tenants":{"t":{"burst":1,"gen":"r5"}}},"remove":{"tenants":[{"name":"t","gen":"r6"},
        {"name":"t","gen":"r6"}]}}"#;
    let (copy, newer) = apply_update(&Items::default(), &text(both)).expect("two numbers are no conflict");
    assert_eq!(newer.len(), 2, "each name once: {newer:?}");
    assert!(copy.body(Table::Tenants, "t").is_none());
    assert!(apply_update(&copy, &text(both)).expect("it is a repeat").1.is_empty());
    let other = r#"{"upsert":{"tenants":{"t":{"burst":2,"gen":"r5"}}}}"#;
    assert_eq!(apply_update(&copy, &text(other)).expect_err("r5 is used").kind(), ErrorKind::Conflict);

    let reversed = r#"{"upsert":{"tenants":{"t":{"burst":1,"gen":"r6"}}},"remove":{"tenants":[{"name":"t","gen":"r5"}]}}"#;
    let (copy, _) = apply_update(&Items::default(), &text(reversed)).expect("two numbers are no conflict");
    assert!(copy.body(Table::Tenants, "t").is_some());
    assert!(apply_update(&copy, &text(reversed)).expect("it is a repeat").1.is_empty());
    assert_eq!(apply_update(&copy, &text(both)).expect_err("r5 dropped it").kind(), ErrorKind::Conflict);

    let torn = r#"{"upsert":{"tenants":{"s":{"gen":"r1"},"t":{"burst":1,"gen":"r5"}}},
        "remove":{"tenants":[{"name":"t","gen":"r5"}]}}"#;
    assert_eq!(
        apply_update(&Items::default(), &text(torn)).expect_err("one number").kind(),
        ErrorKind::Conflict
    );
}

#[test]
fn rejects_one_name_twice_in_a_table() {
    for names in [["t", "t"], ["t", "\\u0074"]] {
        let [first, second] = names;
        let twice = format!(
            r#"{{"upsert":{{"tenants":{{"{first}":{{"burst":1,"gen":"r5"}},"{second}":{{"burst":2,"gen":"r5"}}}}}}}}"#
        );
        let fault =
            ConfigUpdate::parse(twice.as_bytes()).expect_err("which of the two is meant can't be told");
        assert!(fault.kind() == ErrorKind::Malformed && fault.to_string().contains("twice"), "{fault}");
    }
}

#[test]
fn conflicting_update_is_rejected_whole() {
    let mut store = Store::after(&[&[("t", 5, Some(1.0))], &[("t", 6, Some(2.0)), ("u", 6, Some(2.0))]]);
    let torn = [("s", 1, Some(1.0)), ("u", 4, Some(1.0)), ("t", 5, Some(9.0))];
    assert_eq!(store.refuses(&torn), ErrorKind::Conflict);
    // Had they been acknowledged, other contents would be refused.
    store.acknowledges(&[("s", 1, Some(2.0)), ("u", 4, Some(2.0))]);
}

#[test]
fn rejects_reused_versions_in_each_table() {
    let call = |number: u64, seconds: f64| {
        text(&format!(
            r#"{{"upsert":{{"backends":{{"b":{{"warmupS":{seconds},"gen":"r{number}"}}}},
            "routes":{{"b":{{"vhost":"h","pathPrefix":"/","kind":"upload","backend":"b","timeoutS":{seconds},"gen":"r{number}"}}}},
            "limits":{{"hdrTimeoutS":{seconds},"gen":"r{number}"}}}}}}"#
        ))
    };
    let (copy, _) = apply_update(&Items::default(), &call(1, 1.0)).expect("it is sound");
    let (copy, _) = apply_update(&copy, &call(2, 2.0)).expect("it is sound");
    let copy = restarted(&copy);
    for item in call(1, 3.0).items {
        let alone = ConfigUpdate { items: vec![item] };
        assert_eq!(apply_update(&copy, &alone).expect_err("r1 is used").kind(), ErrorKind::Conflict);
    }
    assert!(apply_update(&copy, &call(1, 1.0)).expect("it is a repeat").1.is_empty());
    assert!(check_config(&copy).is_ok());
}

#[test]
fn version_below_the_history_is_forgotten() {
    let (mut store, last) = (Store(Items::default()), 3 * MAX_REMEMBERED_VERSIONS as u64);
    for number in 1..=last {
        store.acknowledges(&[("t", number, Some(number as f64))]);
    }
    store.0 = restarted(&store.0);
    let oldest = last - MAX_REMEMBERED_VERSIONS as u64;
    for number in 1..=last {
        let (same, other) = ([("t", number, Some(number as f64))], [("t", number, None)]);
        if number < oldest {
            assert_eq!(store.refuses(&same), ErrorKind::VersionForgotten, "r{number}");
            assert_eq!(store.refuses(&other), ErrorKind::VersionForgotten, "r{number}");
        } else {
            assert!(store.acknowledges(&same).is_empty(), "r{number}");
            assert_eq!(store.refuses(&other), ErrorKind::Conflict, "r{number}");
        }
    }
    assert!(ErrorKind::VersionForgotten.is_retryable(), "it promises nothing");
    // A conflict is sure, whatever else of the call is forgotten.
    assert_eq!(store.refuses(&[("t", 1, None), ("t", last, None)]), ErrorKind::Conflict);
    let kept: Vec<_> = store.0.all(Tables::VERSION_HISTORY).collect();
    let size = serde_json::to_vec(&kept).expect("it can be written").len();
    assert!(kept.len() == 1 && size < 3_500, "{size} bytes");
}

#[test]
fn version_below_a_full_history_is_acknowledged_once_at_most() {
    let mut store = Store(Items::default());
    for number in 100..=100 + MAX_REMEMBERED_VERSIONS as u64 {
        store.acknowledges(&[("t", number, Some(1.0))]);
    }
    store.acknowledges(&[("t", 50, Some(1.0))]);
    assert_eq!(store.refuses(&[("t", 50, Some(2.0))]), ErrorKind::VersionForgotten);
    assert_eq!(store.refuses(&[("t", 40, Some(2.0))]), ErrorKind::VersionForgotten);
    store.acknowledges(&[("t", 60, Some(1.0))]);
}

#[test]
fn unreadable_history_knows_no_version() {
    let store = Store::after(&[&[("t", 5, Some(1.0))], &[("t", 6, Some(2.0))]]);
    for body in [None, Some(json!([[5, "x"]])), Some(json!("")), Some(json!("0 5")), Some(json!("0 x:y"))] {
        let mut torn = Store(store.0.clone());
        torn.0.merge(Item::new(Table::VersionHistory, "tenants/t", 2, body));
        assert_eq!(torn.refuses(&[("t", 5, Some(1.0))]), ErrorKind::VersionForgotten);
        torn.acknowledges(&[("t", 7, Some(3.0))]);
        assert_eq!(torn.refuses(&[("t", 6, Some(3.0))]), ErrorKind::Conflict);
    }
}

#[test]
fn long_fractions_are_repeats_after_a_restart() {
    let mut random = 0x9e37_79b9_7f4a_7c15_u64;
    let mut draw = || {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((random >> 11) as f64 / (1_u64 << 53) as f64 * 1e-3).to_string()
    };
    // One that a reader gets wrong by one bit at each reading if it rounds twice.
    let known = "0.00000017545801014029472".to_owned();
    for burst in std::iter::once(known).chain((0..1_000).map(|_| draw())) {
        let sent = format!(r#"{{"upsert":{{"tenants":{{"t":{{"burst":{burst},"gen":"r5"}}}}}}}}"#);
        let (first, _) = apply_update(&Items::default(), &text(&sent)).expect("it is sound");
        let first = restarted(&first);
        assert!(apply_update(&first, &text(&sent)).expect(&sent).1.is_empty());
        let (second, _) = apply_update(&first, &tenants(&[("t", 6, None)])).expect("it is sound");
        assert!(apply_update(&restarted(&second), &text(&sent)).expect(&sent).1.is_empty());
    }
}

#[test]
fn equal_spellings_of_a_number_stay_equal() {
    let call =
        |burst: &str| text(&format!(r#"{{"upsert":{{"tenants":{{"t":{{"gen":"r5","burst":{burst}}}}}}}}}"#));
    let (first, _) = apply_update(&Items::default(), &call("-0.0")).expect("it is sound");
    let (second, _) = apply_update(&first, &tenants(&[("t", 6, None)])).expect("it is sound");
    for other in ["0.0", "0", "-0", "0e0", "-0.0"] {
        let before = apply_update(&first, &call(other)).map(drop).map_err(|e| e.kind());
        assert_eq!(apply_update(&second, &call(other)).map(drop).map_err(|e| e.kind()), before, "{other}");
    }
}

/// Remembers all that was ever acknowledged.
#[derive(Default)]
struct Oracle(BTreeMap<(String, u64), Option<Value>>);

impl Oracle {
    /// Whether one of a call's numbers was used with another content, before or in the call itself.
    fn conflicts(&self, call: &ConfigUpdate) -> bool {
        call.items.iter().enumerate().any(|(n, item)| {
            let before = self.0.get(&(item.key.name.clone(), item.version));
            let twice = |other: &Item| (&other.key, other.version) == (&item.key, item.version);
            before.is_some_and(|body| *body != item.body)
                || call.items[..n].iter().any(|other| twice(other) && other.body != item.body)
        })
    }

    fn acknowledged(&mut self, call: &ConfigUpdate) {
        for item in &call.items {
            self.0.insert((item.key.name.clone(), item.version), item.body.clone());
        }
    }

    fn numbers(&self, name: &str) -> usize {
        self.0.keys().filter(|(known, _)| known == name).count()
    }
}

/// Plays one history; gives how many calls were acknowledged, refused, and left unclear.
fn play(u: &mut arbtest::arbitrary::Unstructured, span: u64) -> arbtest::arbitrary::Result<[usize; 3]> {
    let (mut copy, mut oracle, mut said) = (Items::default(), Oracle::default(), [0; 3]);
    let mut made: Vec<ConfigUpdate> = Vec::new();
    let mut highest = 1;
    while !u.is_empty() {
        if u.ratio(1, 16)? {
            copy = restarted(&copy);
        }
        let call = if !made.is_empty() && u.ratio(1, 3)? {
            u.choose(&made)?.clone()
        } else {
            let mut list = Vec::new();
            for _ in 0..u.int_in_range(1..=3)? {
                highest += u.int_in_range(0..=2)?;
                let number = highest - u.int_in_range(0..=span.min(highest))?;
                let burst = [None, Some(1.0), Some(2.0)][u.int_in_range(0..=2)?];
                list.push((["a", "b"][u.int_in_range(0..=1)?], number, burst));
            }
            tenants(&list)
        };
        match apply_update(&copy, &call) {
            Ok((next, newer)) => {
                assert!(!oracle.conflicts(&call), "two contents under one number: {call:?}");
                let keys: BTreeSet<_> = newer.iter().map(|item| item.key.clone()).collect();
                assert_eq!(keys.len(), newer.len(), "each name once");
                // What a round writes down makes of the copy before what the call made of it.
                let mut merged = copy.clone();
                newer.into_iter().for_each(|item| assert!(merged.merge(item)));
                assert_eq!(merged.digest(Tables::all()), next.digest(Tables::all()));
                copy = next;
                oracle.acknowledged(&call);
                made.push(call);
                said[0] += 1;
            }
            Err(fault) if fault.kind() == ErrorKind::Conflict => {
                assert!(oracle.conflicts(&call), "a repeat was refused: {call:?}");
                said[1] += 1;
            }
            Err(fault) => {
                assert_eq!(fault.kind(), ErrorKind::VersionForgotten);
                let most = call.items.iter().map(|item| oracle.numbers(&item.key.name)).max();
                assert!(most > Some(MAX_REMEMBERED_VERSIONS), "forgotten too soon: {call:?}");
                said[2] += 1;
            }
        }
    }
    for ((name, number), body) in &oracle.0 {
        let stands = copy.get(Table::Tenants, name).expect("it was acknowledged");
        assert!(stands.version > *number || (stands.version == *number && stands.body == *body));
    }
    Ok(said)
}

#[test]
fn version_checks_agree_with_an_oracle() {
    for (span, size, unclear) in [(6, 256, false), (6, 2_048, true), (200, 4_096, true)] {
        let total = std::cell::Cell::new([0; 3]);
        for seed in 1..=40_u64 {
            arbtest(|u| {
                let said = play(u, span)?;
                total.set(std::array::from_fn(|n| total.get()[n] + said[n]));
                Ok(())
            })
            .seed(seed << 32 | size)
            .run();
        }
        let [acknowledged, refused, forgotten] = total.get();
        assert!(acknowledged > 500 && refused > 100, "{span}: {acknowledged} and {refused}");
        assert_eq!(forgotten > 0, unclear, "{span}: {forgotten}");
    }
}
