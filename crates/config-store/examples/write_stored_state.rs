//! Writes a store's folder and its decoded contents, as test data for later versions. Run it with `cargo run -p
//! ivygate-config-store --example write_stored_state FOLDER`. The fixture in `tests/data` was written once and must not
//! be written again.

use ivygate_config_store::{AcceptedProposal, Ballot, Disk};
use ivygate_control_state::{Item, Table, Tables};
use serde_json::{json, Value};
use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Arc;

fn ballot(counter: u64) -> Ballot {
    Ballot { counter, proposer: Ipv4Addr::new(10, 1, 0, 5), incarnation: 7 }
}

fn item(table: Table, name: &str, version: u64, body: Option<Value>) -> Arc<Item> {
    Arc::new(Item::new(table, name, version, body))
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let folder = std::env::args().nth(1).ok_or("missing argument FOLDER")?;
    let folder = Path::new(&folder);
    let (mut disk, mut state) = Disk::open(folder, 7)?;
    let membership =
        json!({ "members": ["10.1.0.5", "10.2.0.5", "10.3.0.5"], "incarnations": [7, 8, 9], "size": 3 });
    state.promised = ballot(1);
    state.apply_chosen(ballot(1), [item(Table::Membership, "core", 1, Some(membership))]);
    disk.save(&state)?;
    state.promised = ballot(4);
    state.apply_chosen(
        ballot(4),
        [
            item(
                Table::Backends,
                "checkout",
                3,
                Some(json!({ "gen": "r3", "maxConns": 40, "warmupS": 1.5 })),
            ),
            item(
                Table::Routes,
                "pay",
                12,
                Some(json!({ "gen": "r12", "vhost": "shop", "pathPrefix": "/pay/",
                "kind": "mutating", "backend": "checkout", "timeoutS": 2.5 })),
            ),
            item(Table::Routes, "dropped", 5, None),
            item(
                Table::Tenants,
                "acme",
                2,
                Some(json!({ "gen": "r2", "apiKeys": ["k1", "k2"], "ratePerS": 12.25,
                "note": "x".repeat(9_000) })),
            ),
            item(Table::Limits, "limits", 6, Some(json!({ "gen": "r6", "hdrBytes": 9000 }))),
            item(
                Table::VersionHistory,
                "routes/pay",
                1,
                Some(json!("0 11:00112233445566778899aabbccddeeff")),
            ),
        ],
    );
    disk.save(&state)?;
    state.apply_chosen(
        ballot(5),
        [
            item(Table::Drains, "zone-a", 1, Some(json!({}))),
            item(Table::Drains, "zone-b", 2, None),
            item(Table::SingletonRoles, "warden", 17, Some(json!({ "holder": "10.1.0.5" }))),
        ],
    );
    state.promised = ballot(9);
    let next = json!({ "gen": "r13", "vhost": "shop", "pathPrefix": "/pay/", "kind": "upload", "backend": "checkout" });
    state.accepted = Some(AcceptedProposal {
        ballot: ballot(8),
        items: vec![item(Table::Routes, "pay", 13, Some(next)), item(Table::Routes, "gone", 2, None)],
    });
    disk.save(&state)?;
    disk.close();
    let items: Vec<_> = state.items.all(Tables::DURABLE).collect();
    let contents = json!({ "incarnation": state.incarnation, "promised": state.promised, "chosen": state.chosen,
        "accepted": state.accepted, "items": items });
    std::fs::write(folder.join("expected.json"), serde_json::to_string_pretty(&contents)?)?;
    Ok(())
}
