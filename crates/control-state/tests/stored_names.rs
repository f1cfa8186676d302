//! Formats of items, tables and the operator's updates on disk, between processes and in the public API.

use ivygate_control_state::{apply_update, config_document, ConfigUpdate, Item, Items, Table, Tables};
use ivygate_rpc::ErrorKind;
use serde_json::json;

const TABLES: [(Table, &str, u16); 10] = [
    (Table::Routes, "routes", 1),
    (Table::Tenants, "tenants", 2),
    (Table::Backends, "backends", 4),
    (Table::Limits, "limits", 8),
    (Table::Drains, "drains", 16),
    (Table::Membership, "group", 32),
    (Table::Nodes, "nodes", 64),
    (Table::Servers, "servers", 128),
    (Table::SingletonRoles, "duties", 256),
    (Table::VersionHistory, "past", 512),
];

#[test]
fn tables_keep_their_names_order_and_bits() {
    for (table, name, bit) in TABLES {
        assert_eq!(serde_json::to_string(&table).expect("the value can be encoded"), format!("\"{name}\""));
        assert_eq!(table.set().bits(), bit);
    }
    assert!(TABLES.windows(2).all(|pair| pair[0].0 < pair[1].0));
    let sets = [Tables::CONFIG, Tables::PUBLISHED, Tables::DURABLE, Tables::SOFT, Tables::all()];
    assert_eq!(
        sets.map(|set| set.bits()),
        [0b1111, 0b1_0011_1111, 0b11_0011_1111, 0b1100_0000, 0b11_1111_1111]
    );
}

#[test]
fn items_keep_their_stored_format() {
    let encoded = r#"{"t":"routes","k":"pay","v":12,"b":{"gen":"r12"}}"#;
    let item: Item = serde_json::from_str(encoded).expect("the item can be decoded");
    assert_eq!(serde_json::to_string(&item).expect("the value can be encoded"), encoded);
    let removed: Item =
        serde_json::from_str(r#"{"t":"routes","k":"pay","v":13}"#).expect("the item can be decoded");
    assert_eq!(
        serde_json::to_string(&removed).expect("the value can be encoded"),
        r#"{"t":"routes","k":"pay","v":13,"b":null}"#
    );
}

fn encoded_update() -> Vec<u8> {
    let update = json!({
        "upsert": {
            "backends": { "checkout": { "gen": "r3", "healthPath": "/ok", "maxConns": 9, "warmupS": 1, "warmupPerS": 2 } },
            "routes": { "pay": { "gen": 12, "vhost": "Shop", "pathPrefix": "/pay/", "kind": "mutating", "backend": "checkout",
                "timeoutS": 2.5, "targetS": 0.5, "prio": 1, "tries": 3, "public": true, "homeRegions": ["r"] },
                "split": { "gen": "r1", "vhost": "shop", "pathPrefix": "/", "kind": "idempotent",
                    "split": [{ "backend": "checkout", "weight": 2 }] } },
            "tenants": { "acme": { "gen": "r2", "apiKeys": ["k1"], "prio": 0, "ratePerS": 5, "burst": 7,
                "homeRegions": [] } },
            "limits": { "gen": "r6", "hdrBytes": 9000, "bodyMaxBytes": 1000, "hdrTimeoutS": 3, "idleTimeoutS": 4 }
        }
    });
    update.to_string().into_bytes()
}

#[test]
fn operator_updates_are_read_back_as_sent() {
    let update = ConfigUpdate::parse(&encoded_update()).expect("the update is valid");
    let (replica, newer) = apply_update(&Items::default(), &update).expect("the update is valid as a whole");
    assert_eq!(newer.len(), 5);
    let removed = ConfigUpdate::parse(br#"{"remove":{"tenants":[{"name":"acme","gen":"r3"}]}}"#)
        .expect("the update is valid");
    let (replica, newer) = apply_update(&replica, &removed).expect("the update is valid as a whole");
    let newer: Vec<String> =
        newer.iter().map(|item| serde_json::to_string(item).expect("the value can be encoded")).collect();
    assert_eq!(
        newer,
        [
            r#"{"t":"tenants","k":"acme","v":3,"b":null}"#,
            r#"{"t":"past","k":"tenants/acme","v":1,"b":"0 2:DIGEST"}"#
        ]
        .map(|text| text.replace("DIGEST", "67662bf6a07341401b4e4a833bdef3ae"))
    );
    assert_eq!(
        config_document(&replica).to_string(),
        concat!(
            r#"{"backends":{"checkout":{"gen":"r3","healthPath":"/ok","maxConns":9,"warmupPerS":2,"warmupS":1}},"#,
            r#""limits":{"bodyMaxBytes":1000,"gen":"r6","hdrBytes":9000,"hdrTimeoutS":3,"idleTimeoutS":4},"#,
            r#""routes":{"pay":{"backend":"checkout","gen":12,"homeRegions":["r"],"kind":"mutating","#,
            r#""pathPrefix":"/pay/","prio":1,"public":true,"targetS":0.5,"timeoutS":2.5,"tries":3,"vhost":"Shop"},"#,
            r#""split":{"gen":"r1","kind":"idempotent","pathPrefix":"/","split":[{"backend":"checkout","weight":2}],"#,
            r#""vhost":"shop"}},"tenants":{}}"#
        )
    );
    assert_eq!(replica.digest(Tables::DURABLE), 11_630_465_217_288_692_553);
}

#[test]
fn update_errors_keep_their_kinds() {
    let kinds = [
        ("{", ErrorKind::Malformed),
        (r#"{"remove":{"routes":["route-5"]}}"#, ErrorKind::Malformed),
        (r#"{"remove":{"routes":[{"name":"x"}]}}"#, ErrorKind::Malformed),
        (r#"{"remove":{"routes":[{"name":"x","gen":"y"}]}}"#, ErrorKind::Malformed),
        (r#"{"upsert":{"routes":{"":{"gen":1}}}}"#, ErrorKind::Malformed),
        (r#"{"upsert":{"routes":{"a":{}}}}"#, ErrorKind::Malformed),
        (r#"{"upsert":{"routes":{"a":{"gen":1},"a":{"gen":2}}}}"#, ErrorKind::Malformed),
        (r#"{"upsert":{"routes":{"a":{"gen":1}}}}"#, ErrorKind::Invalid),
        (
            r#"{"upsert":{"routes":{"a":{"gen":1,"vhost":"h","pathPrefix":"x","kind":"idempotent"}}}}"#,
            ErrorKind::Invalid,
        ),
        (r#"{"upsert":{"limits":{"gen":1,"hdrBytes":1}}}"#, ErrorKind::Invalid),
    ];
    for (text, kind) in kinds {
        assert_eq!(
            ConfigUpdate::parse(text.as_bytes()).map(drop).map_err(|error| error.kind()),
            Err(kind),
            "{text}"
        );
    }
    let unknown = br#"{"upsert":{"routes":{"a":{"gen":1,"vhost":"h","pathPrefix":"/","kind":"idempotent","backend":"b"}}}}"#;
    let unknown = ConfigUpdate::parse(unknown).expect("the update is valid by itself");
    assert_eq!(
        apply_update(&Items::default(), &unknown).map(drop).map_err(|error| error.kind()),
        Err(ErrorKind::Invalid)
    );
    let replica = apply_update(
        &Items::default(),
        &ConfigUpdate::parse(&encoded_update()).expect("the update is valid"),
    )
    .expect("the update is valid")
    .0;
    let other = br#"{"upsert":{"tenants":{"acme":{"gen":"r2","apiKeys":["k2"]}}}}"#;
    let other = ConfigUpdate::parse(other).expect("the update is valid by itself");
    assert_eq!(
        apply_update(&replica, &other).map(drop).map_err(|error| error.kind()),
        Err(ErrorKind::Conflict)
    );
}
