//! Measures how the state machines of the control plane grow: processor time, bytes on the wire and memory against the
//! number of items, for `docs/CAPACITY.md`. Each slope is fitted to three sizes and compared with two others.
//!
//!     cargo run --profile system -p ivygate-registry --example slopes

use ivygate_cluster::{Node, Role};
use ivygate_control_state::{apply_update, check_config, ConfigUpdate, Item, Items, Table, Tables};
use ivygate_quota::{LeasedQuota, QuotaAllocator};
use ivygate_registry::{HeartbeatRequest, Registry};
use ivygate_time::Timestamp;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Instant;

/// Resident memory of this process, in bytes; 0 where the system does not tell.
fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok()).unwrap_or(0.0) * 4096.0
}

/// The least of five runs, in microseconds.
fn time<T>(mut act: impl FnMut() -> T) -> f64 {
    let run = |_| {
        let begun = Instant::now();
        let made = act();
        let spent = begun.elapsed().as_secs_f64() * 1e6;
        drop(made);
        spent
    };
    (0..5).map(run).fold(f64::INFINITY, f64::min)
}

fn tenants(count: usize) -> Items {
    let mut items = Items::default();
    items.merge(Item::new(Table::Backends, "b", 1, Some(json!({ "gen": "r1" }))));
    for n in 0..count {
        let body = json!({ "apiKeys": [format!("key-{n}-0123456789"), format!("kez-{n}-0123456789")], "prio": 1,
            "ratePerS": 100, "burst": 100, "homeRegions": [], "gen": "r7" });
        items.merge(Item::new(Table::Tenants, format!("tenant-{n}"), 7, Some(body)));
    }
    items
}

fn routes(count: usize) -> Items {
    let mut items = tenants(0);
    for n in 0..count {
        let body = json!({ "vhost": format!("h{}.example", n % 50), "pathPrefix": format!("/p{n}/"), "kind": "idempotent",
            "backend": "b", "timeoutS": 3, "targetS": 0.5, "prio": 1, "tries": 2, "homeRegions": [], "gen": "r7" });
        items.merge(Item::new(Table::Routes, format!("r-{n}"), 7, Some(body)));
    }
    items
}

/// What operators have: 46,000 tenants and 810 routes.
fn whole() -> Items {
    let mut items = tenants(46_000);
    routes(810).all(Tables::CONFIG).for_each(|item| {
        items.merge_shared(item.clone());
    });
    items
}

/// What the smallest calls on all of it cost, directly and not from a slope.
fn calls_on_all() {
    let before = resident();
    let items = whole();
    let held = resident() - before;
    println!("\n| on 46,000 tenants and 810 routes | |\n| --- | --- |");
    println!("| memory of a copy | {:.1} MB |", held / 1e6);
    println!("| judged as a whole | {:.0} us |", time(|| check_config(&items).is_ok()));
    let one = |table, name: &str, field: &str| {
        let mut body = items.body(table, name).cloned().unwrap_or_default();
        body[field] = json!(9);
        body["gen"] = json!("r8");
        ConfigUpdate { items: vec![Item::new(table, name, 8, Some(body))] }
    };
    let route = one(Table::Routes, "r-7", "timeoutS");
    let begun = Instant::now();
    assert!(apply_update(&items.clone(), &route).is_ok(), "it is sound");
    println!("| the first call after a start | {:.0} us |", begun.elapsed().as_secs_f64() * 1e6);
    println!("| memory of the copy then | {:.1} MB |", (resident() - before) / 1e6);
    println!("| a round's copy | {:.2} us |", time(|| items.clone()));
    for (what, call) in [
        ("a route", &route),
        ("a tenant", &one(Table::Tenants, "tenant-7", "burst")),
        ("the service of all routes", &one(Table::Backends, "b", "maxConns")),
    ] {
        println!("| a call with {what} | {:.1} us |", time(|| apply_update(&items.clone(), call).is_ok()));
    }
    let all = items.changes_since(0, Tables::all());
    let merged = || {
        let mut copy = Items::default();
        all.iter().for_each(|item| assert!(copy.merge_shared(item.clone())));
        copy
    };
    println!("| a copy made of all items | {:.0} us |", time(merged));
    println!(
        "| what one lacks of another, all there | {:.0} us |",
        time(|| items.missing_from(&items, Tables::all()))
    );
    let last = items.last_change() - 1;
    println!("| one change found | {:.2} us |", time(|| items.changes_since(last, Tables::all())));
}

fn servers(count: usize) -> Items {
    let mut items = Items::default();
    for n in 0..count {
        let body = json!({ "backend": format!("b{}", n % 99), "address": format!("10.{}.{}.9:80", n / 250, n % 250),
            "zone": format!("z{}", n % 21), "capacity": 2.0, "draining": false, "cold_s": 0.0 });
        items.merge(Item::new(Table::Servers, format!("i-{n:08x}"), 1 << 32, Some(body)));
    }
    items
}

fn node(n: usize) -> Node {
    let ip = Ipv4Addr::new(10, 1, (n / 250) as u8, (n % 250) as u8);
    let (zone, region) = (format!("z{}", n % 21), format!("r{}", n % 8));
    Node {
        ip,
        role: Role::Proxy,
        zone,
        region,
        http: Some((ip, 80).into()),
        ready: true,
        leaving: false,
        lost: false,
    }
}

fn watched(count: usize) -> (Registry, Items) {
    let (mut book, mut items) = (Registry::new(Ipv4Addr::new(10, 0, 0, 1)), Items::default());
    for n in 0..count {
        let beat = HeartbeatRequest { entry: node(n).to_item(1) };
        items.merge(beat.entry.clone());
        let _ = book.handle_heartbeat(Timestamp::from_millis(0.0), &items, beat);
    }
    (book, items)
}

/// The time of one report to the keeper, of so many proxies that are all asked for so many tenants.
fn report(proxies: usize, heavy: usize) -> (f64, f64) {
    let known: BTreeMap<String, bool> = (0..proxies).map(|n| (node(n).name(), true)).collect();
    let mut keeper = QuotaAllocator::new(Timestamp::from_millis(0.0), 1);
    let mut rations = LeasedQuota::new(1);
    for tenant in 0..heavy {
        for _ in 0..20 {
            let _ = rations.acquire(Timestamp::from_millis(10.0), &format!("tenant-{tenant}"), 100.0, 100.0);
        }
    }
    let told = rations.report(Timestamp::from_millis(20.0));
    for name in known.keys() {
        keeper.handle_report(Timestamp::from_millis(6_000.0), 0.0, name, &told, &known, |_| 100.0);
    }
    let spent = time(|| {
        keeper.handle_report(Timestamp::from_millis(6_100.0), 0.0, &node(0).name(), &told, &known, |_| 100.0)
    });
    let grant =
        keeper.handle_report(Timestamp::from_millis(6_200.0), 0.0, &node(0).name(), &told, &known, |_| 100.0);
    let bytes =
        serde_json::to_vec(&told).map_or(0, |b| b.len()) + serde_json::to_vec(&grant).map_or(0, |b| b.len());
    (spent, bytes as f64)
}

/// Fits a line through the origin and a constant to three sizes, and compares it with two others.
fn slope(
    what: &str,
    unit: &str,
    fit: [usize; 3],
    other: [usize; 2],
    target: usize,
    measure: impl Fn(usize) -> f64,
) {
    let points: Vec<(f64, f64)> = fit.iter().map(|n| (*n as f64, measure(*n))).collect();
    let (x, y) = points.iter().fold((0.0, 0.0), |(x, y), p| (x + p.0 / 3.0, y + p.1 / 3.0));
    let (xx, xy) =
        points.iter().fold((0.0, 0.0), |(xx, xy), p| (xx + (p.0 - x).powi(2), xy + (p.0 - x) * (p.1 - y)));
    let (rise, base) = (xy / xx, y - xy / xx * x);
    let checks: Vec<String> = other
        .iter()
        .map(|n| {
            let (said, is) = (base + rise * *n as f64, measure(*n));
            format!("{n}: {is:.0} ({:+.0} %)", 100.0 * (is / said - 1.0))
        })
        .collect();
    println!(
        "| {what} | {rise:.4} {unit} | {} | {} | {:.0} {unit} |",
        fit.map(|n| n.to_string()).join(", "),
        checks.join(", "),
        base + rise * target as f64
    );
}

fn head() {
    println!("\n| what | slope | fitted to | measured at others (off by) | at the target |");
    println!("| --- | --- | --- | --- | --- |");
}

fn main() {
    let (small, wide) = ([1_000, 4_000, 8_000], [2_000, 16_000]);
    // Memory first, since what the others free may be used again.
    head();
    slope("memory of a copy, a tenant", "B", small, wide, 46_000, |n| {
        let before = resident();
        let items = tenants(n);
        let held = resident() - before;
        // Freed memory may be used again by the next size: what is held is kept.
        std::mem::forget(items);
        held
    });
    calls_on_all();
    head();
    slope("a configuration judged as a whole, a tenant", "us", small, wide, 46_000, |n| {
        let items = tenants(n);
        time(|| check_config(&items).is_ok())
    });
    slope("the same, a route", "us", [100, 400, 800], [200, 1_600], 810, |n| {
        let items = routes(n);
        time(|| check_config(&items).is_ok())
    });
    slope("a copy cloned for a round, a tenant", "us", small, wide, 46_000, |n| {
        let items = tenants(n);
        time(|| items.clone())
    });
    slope("a whole copy on the wire, a tenant", "B", small, wide, 46_000, |n| {
        serde_json::to_vec(&tenants(n).changes_since(0, Tables::all()))
            .map_or(0.0, |bytes| bytes.len() as f64)
    });
    slope("the same, a server", "B", [200, 800, 1_600], [400, 3_200], 3_200, |n| {
        serde_json::to_vec(&servers(n).changes_since(0, Tables::all()))
            .map_or(0.0, |bytes| bytes.len() as f64)
    });
    slope("one change found in a copy, an item", "us", small, wide, 52_000, |n| {
        let items = tenants(n);
        let last = items.last_change() - 1;
        time(|| items.changes_since(last, Tables::all()))
    });
    slope("a tick of a registry, a node that it watches", "us", [50, 100, 200], [150, 400], 160, |n| {
        let (mut book, items) = watched(n);
        time(|| book.tick(Timestamp::from_millis(100.0), 0.0, &items))
    });
    slope("the same, a node of the system", "us", [50, 100, 200], [150, 400], 530, |n| {
        let items = watched(n).1;
        time(|| Registry::new(Ipv4Addr::new(10, 0, 0, 1)).tick(Timestamp::from_millis(100.0), 0.0, &items))
    });
    slope("a look-up, a proxy", "us", [50, 100, 200], [150, 400], 523, |n| {
        let items = watched(n).1;
        time(|| ivygate_registry::proxy_addresses(&items, "z1", "r1"))
    });
    slope("a report to the keeper, a proxy, 20 heavy tenants", "us", [50, 100, 200], [150, 400], 523, |n| {
        report(n, 20).0
    });
    slope("the same, a heavy tenant, 100 proxies", "us", [10, 20, 40], [30, 80], 200, |n| report(100, n).0);
    slope("report and grant on the wire, a heavy tenant", "B", [10, 20, 40], [30, 80], 200, |n| {
        report(10, n).1
    });
}
