//! Replicas merge to the same state in any order, and updates are validated as a whole.

use arbtest::arbtest;
use ivygate_control_state::{
    apply_update, check_config, config_document, ConfigUpdate, Item, Items, Table, Tables,
};
use serde_json::json;

fn items(u: &mut arbtest::arbitrary::Unstructured) -> arbtest::arbitrary::Result<Vec<Item>> {
    let mut all = Vec::new();
    for _ in 0..u.int_in_range(0..=12)? {
        let table = [Table::Routes, Table::Drains, Table::Nodes][u.int_in_range(0..=2)?];
        let name = ["a", "b", "c"][u.int_in_range(0..=2)?];
        let body = [None, Some(json!(1)), Some(json!(2))][u.int_in_range(0..=2)?].clone();
        all.push(Item::new(table, name, u.int_in_range(1..=4)?, body));
    }
    Ok(all)
}

fn replica(items: &[&Vec<Item>]) -> Items {
    let mut replica = Items::default();
    for item in items.iter().copied().flatten() {
        replica.merge(item.clone());
    }
    replica
}

#[test]
fn merge_is_independent_of_order_and_repetition() {
    for seed in 1..=500_u64 {
        arbtest(|u| {
            let (a, b, c) = (items(u)?, items(u)?, items(u)?);
            let base = replica(&[&a, &b, &c]);
            let other = replica(&[&c, &a, &b, &a, &c]);
            assert_eq!(base.digest(Tables::all()), other.digest(Tables::all()));
            assert!(base.missing_from(&other, Tables::all()).is_empty());
            // Merging the missing items makes replicas equal, and the digest of some tables depends only on their
            // items.
            let mut lagging = replica(&[&b]);
            for item in base.missing_from(&lagging, Tables::all()) {
                lagging.merge_shared(item);
            }
            assert_eq!(base.digest(Tables::all()), lagging.digest(Tables::all()));
            let mut drains = Items::default();
            base.all(Tables::DRAINS).for_each(|item| {
                drains.merge_shared(item.clone());
            });
            assert_eq!(base.digest(Tables::DRAINS), drains.digest(Tables::all()));
            Ok(())
        })
        .seed(seed << 32 | 400)
        .run();
    }
}

fn update(text: &str) -> ConfigUpdate {
    ConfigUpdate::parse(text.as_bytes()).expect("each item is valid")
}

fn base() -> Items {
    let text = r#"{"upsert":{"backends":{"b":{"gen":"r1"},"c":{"gen":"r1"}},"tenants":{"t":{"apiKeys":["k"],"gen":"r1"}},
        "routes":{"a":{"vhost":"h","pathPrefix":"/a/","kind":"mutating","backend":"b","gen":"r3"}},
        "limits":{"hdrBytes":16384,"bodyMaxBytes":10,"hdrTimeoutS":3,"idleTimeoutS":15,"gen":"r1"}},"remove":{"routes":[]}}"#;
    apply_update(&Items::default(), &update(text)).expect("the update is valid").0
}

#[test]
fn invalid_update_is_rejected_whole() {
    let base = base();
    for (text, expected) in [
        (
            r#"{"upsert":{"routes":{"x":{"vhost":"h","pathPrefix":"/x/","kind":"upload","backend":"none","gen":"r1"}}}}"#,
            "unknown",
        ),
        (
            r#"{"upsert":{"routes":{"x":{"vhost":"H","pathPrefix":"/a/","kind":"upload","backend":"b","gen":"r1"}}}}"#,
            "share",
        ),
        (
            r#"{"upsert":{"routes":{"x":{"vhost":"h","pathPrefix":"/x/","kind":"upload","gen":"r1"}}}}"#,
            "no backend",
        ),
        (r#"{"upsert":{"tenants":{"u":{"apiKeys":["k"],"gen":"r1"}}}}"#, "key"),
        (r#"{"remove":{"backends":[{"name":"b","gen":"r2"}]}}"#, "unknown"),
        (
            r#"{"upsert":{"routes":{"a":{"vhost":"h","pathPrefix":"/other/","kind":"mutating","backend":"b","gen":"r3"}}}}"#,
            "different content",
        ),
    ] {
        let error = apply_update(&base, &update(text)).expect_err(text);
        assert!(error.to_string().contains(expected), "{text}: {error}");
    }
    for text in [
        r#"{"upsert":{"routes":{"x":{"vhost":"h","pathPrefix":"x/","kind":"upload","backend":"b","gen":"r1"}}}}"#,
        r#"{"upsert":{"routes":{"x":{"vhost":"h","pathPrefix":"/x/","kind":"upload","split":[{"backend":"b","weight":-1}],"gen":"r1"}}}}"#,
        r#"{"upsert":{"routes":{"x":{"vhost":"h","pathPrefix":"/x/","kind":"upload","backend":"b"}}}}"#,
        r#"{"upsert":{"routes":{"x":{"vhost"#,
    ] {
        assert!(ConfigUpdate::parse(text.as_bytes()).is_err(), "{text}");
    }
}

#[test]
fn older_update_changes_nothing() {
    let base = base();
    let (removed, _) = apply_update(&base, &update(r#"{"remove":{"routes":[{"name":"a","gen":"r9"}]}}"#))
        .expect("the update is valid");
    let old = r#"{"upsert":{"routes":{"a":{"vhost":"h","pathPrefix":"/a/","kind":"mutating","backend":"c","gen":"r5"}}}}"#;
    let (after, newer) = apply_update(&removed, &update(old)).expect("an older update is not an error");
    // The version was never acknowledged before. Only its acknowledgment is recorded.
    assert!(newer.iter().all(|item| item.key.table == Table::VersionHistory) && newer.len() == 1);
    assert!(after.body(Table::Routes, "a").is_none());
    assert_eq!(after.get(Table::Routes, "a"), removed.get(Table::Routes, "a"));
    let (repeated, newer) = apply_update(&after, &update(old)).expect("an older update is not an error");
    assert!(newer.is_empty() && repeated.digest(Tables::all()) == after.digest(Tables::all()));
    assert!(check_config(&after).is_ok());
    assert_eq!(config_document(&after)["routes"], json!({}));
    assert_eq!(config_document(&base)["limits"]["gen"], json!("r1"));
}
