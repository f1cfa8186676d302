//! Copies merge to the same whatever the order; the operator's calls are judged as a whole.

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

fn copy(items: &[&Vec<Item>]) -> Items {
    let mut copy = Items::default();
    for item in items.iter().copied().flatten() {
        copy.merge(item.clone());
    }
    copy
}

#[test]
fn merge_is_independent_of_order_and_repetition() {
    for seed in 1..=500_u64 {
        arbtest(|u| {
            let (a, b, c) = (items(u)?, items(u)?, items(u)?);
            let first = copy(&[&a, &b, &c]);
            let other = copy(&[&c, &a, &b, &a, &c]);
            assert_eq!(first.digest(Tables::all()), other.digest(Tables::all()));
            assert!(first.missing_from(&other, Tables::all()).is_empty());
            // What lacks brings a copy to the same, and the digest of some tables is that of their items alone.
            let mut behind = copy(&[&b]);
            for item in first.missing_from(&behind, Tables::all()) {
                behind.merge_shared(item);
            }
            assert_eq!(first.digest(Tables::all()), behind.digest(Tables::all()));
            let mut only = Items::default();
            first.all(Tables::DRAINS).for_each(|item| {
                only.merge_shared(item.clone());
            });
            assert_eq!(first.digest(Tables::DRAINS), only.digest(Tables::all()));
            Ok(())
        })
        .seed(seed << 32 | 400)
        .run();
    }
}

fn call(text: &str) -> ConfigUpdate {
    ConfigUpdate::parse(text.as_bytes()).expect("each item is sound")
}

fn first() -> Items {
    let text = r#"{"upsert":{"backends":{"b":{"gen":"r1"},"c":{"gen":"r1"}},"tenants":{"t":{"apiKeys":["k"],"gen":"r1"}},
        "routes":{"a":{"vhost":"h","pathPrefix":"/a/","kind":"mutating","backend":"b","gen":"r3"}},
        "limits":{"hdrBytes":16384,"bodyMaxBytes":10,"hdrTimeoutS":3,"idleTimeoutS":15,"gen":"r1"}},"remove":{"routes":[]}}"#;
    apply_update(&Items::default(), &call(text)).expect("it is sound").0
}

#[test]
fn invalid_update_is_rejected_whole() {
    let stands = first();
    for (text, why) in [
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
            "no service",
        ),
        (r#"{"upsert":{"tenants":{"u":{"apiKeys":["k"],"gen":"r1"}}}}"#, "key"),
        (r#"{"remove":{"backends":[{"name":"b","gen":"r2"}]}}"#, "unknown"),
        (
            r#"{"upsert":{"routes":{"a":{"vhost":"h","pathPrefix":"/other/","kind":"mutating","backend":"b","gen":"r3"}}}}"#,
            "another content",
        ),
    ] {
        let fault = apply_update(&stands, &call(text)).expect_err(text);
        assert!(fault.to_string().contains(why), "{text}: {fault}");
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
    let stands = first();
    let (dropped, _) = apply_update(&stands, &call(r#"{"remove":{"routes":[{"name":"a","gen":"r9"}]}}"#))
        .expect("it is sound");
    let old = r#"{"upsert":{"routes":{"a":{"vhost":"h","pathPrefix":"/a/","kind":"mutating","backend":"c","gen":"r5"}}}}"#;
    let (after, newer) = apply_update(&dropped, &call(old)).expect("an older call is no fault");
    // Its number was never acknowledged before: that it is now is remembered, and nothing else.
    assert!(newer.iter().all(|item| item.key.table == Table::VersionHistory) && newer.len() == 1);
    assert!(after.body(Table::Routes, "a").is_none());
    assert_eq!(after.get(Table::Routes, "a"), dropped.get(Table::Routes, "a"));
    let (again, newer) = apply_update(&after, &call(old)).expect("an older call is no fault");
    assert!(newer.is_empty() && again.digest(Tables::all()) == after.digest(Tables::all()));
    assert!(check_config(&after).is_ok());
    assert_eq!(config_document(&after)["routes"], json!({}));
    assert_eq!(config_document(&stands)["limits"]["gen"], json!("r1"));
}
