//! Measures how the cost of the control plane's state machines scales with the number of items, in processor time, bytes on the
//! wire and memory, for `docs/CAPACITY.md`. Each slope is fitted to three sizes and checked at two others.
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

/// Returns the resident memory of this process in bytes; 0 if the system does not report it.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok()).unwrap_or(0.0) * 4096.0
}

/// Returns the shortest time of five runs, in microseconds.
fn best_time<T>(mut action: impl FnMut() -> T) -> f64 {
    let run = |_| {
        let started = Instant::now();
        let result = action();
        let elapsed = started.elapsed().as_secs_f64() * 1e6;
        drop(result);
        elapsed
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

/// Creates a configuration of production size: 46,000 tenants and 810 routes.
fn production_config() -> Items {
    let mut items = tenants(46_000);
    routes(810).all(Tables::CONFIG).for_each(|item| {
        items.merge_shared(item.clone());
    });
    items
}

/// Measures single operations on the configuration of production size directly, without a fit.
fn measure_production_config() {
    let before = resident_bytes();
    let items = production_config();
    let used_bytes = resident_bytes() - before;
    println!("\n| on 46,000 tenants and 810 routes | |\n| --- | --- |");
    println!("| memory of a replica | {:.1} MB |", used_bytes / 1e6);
    println!("| complete validation | {:.0} us |", best_time(|| check_config(&items).is_ok()));
    let update = |table, name: &str, field: &str| {
        let mut body = items.body(table, name).cloned().unwrap_or_default();
        body[field] = json!(9);
        body["gen"] = json!("r8");
        ConfigUpdate { items: vec![Item::new(table, name, 8, Some(body))] }
    };
    let route = update(Table::Routes, "r-7", "timeoutS");
    let started = Instant::now();
    assert!(apply_update(&items.clone(), &route).is_ok(), "the update is valid");
    println!("| first update after a start | {:.0} us |", started.elapsed().as_secs_f64() * 1e6);
    println!("| memory of the replica after it | {:.1} MB |", (resident_bytes() - before) / 1e6);
    println!("| clone for a consensus round | {:.2} us |", best_time(|| items.clone()));
    for (quantity, update) in [
        ("a route", &route),
        ("a tenant", &update(Table::Tenants, "tenant-7", "burst")),
        ("the service of all routes", &update(Table::Backends, "b", "maxConns")),
    ] {
        println!(
            "| update of {quantity} | {:.1} us |",
            best_time(|| apply_update(&items.clone(), update).is_ok())
        );
    }
    let all = items.changes_since(0, Tables::all());
    let build_replica = || {
        let mut replica = Items::default();
        all.iter().for_each(|item| assert!(replica.merge_shared(item.clone())));
        replica
    };
    println!("| replica built from all items | {:.0} us |", best_time(build_replica));
    println!(
        "| search for missing items, none missing | {:.0} us |",
        best_time(|| items.missing_from(&items, Tables::all()))
    );
    let last = items.last_change() - 1;
    println!("| search for one change | {:.2} us |", best_time(|| items.changes_since(last, Tables::all())));
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
    let (mut registry, mut items) = (Registry::new(Ipv4Addr::new(10, 0, 0, 1)), Items::default());
    for n in 0..count {
        let heartbeat = HeartbeatRequest { entry: node(n).to_item(1) };
        items.merge(heartbeat.entry.clone());
        let _ = registry.handle_heartbeat(Timestamp::from_millis(0.0), &items, heartbeat);
    }
    (registry, items)
}

/// Measures one usage report to the quota allocator, with this many proxies that all have demand for this many heavy tenants.
///
/// Returns the time in microseconds and the size of the report and the grant in bytes.
fn measure_report(proxies: usize, heavy: usize) -> (f64, f64) {
    let known: BTreeMap<String, bool> = (0..proxies).map(|n| (node(n).name(), true)).collect();
    let mut allocator = QuotaAllocator::new(Timestamp::from_millis(0.0), 1);
    let mut quota = LeasedQuota::new(1);
    for tenant in 0..heavy {
        for _ in 0..20 {
            let _ = quota.acquire(Timestamp::from_millis(10.0), &format!("tenant-{tenant}"), 100.0, 100.0);
        }
    }
    let usage_report = quota.report(Timestamp::from_millis(20.0));
    for name in known.keys() {
        allocator.handle_report(Timestamp::from_millis(6_000.0), 0.0, name, &usage_report, &known, |_| 100.0);
    }
    let elapsed = best_time(|| {
        allocator.handle_report(
            Timestamp::from_millis(6_100.0),
            0.0,
            &node(0).name(),
            &usage_report,
            &known,
            |_| 100.0,
        )
    });
    let grant = allocator.handle_report(
        Timestamp::from_millis(6_200.0),
        0.0,
        &node(0).name(),
        &usage_report,
        &known,
        |_| 100.0,
    );
    let bytes = serde_json::to_vec(&usage_report).map_or(0, |b| b.len())
        + serde_json::to_vec(&grant).map_or(0, |b| b.len());
    (elapsed, bytes as f64)
}

/// Fits a line to the measurements at three sizes and prints it with its deviation at two other sizes and its value at
/// `target`.
fn slope(
    quantity: &str,
    unit: &str,
    fitted_sizes: [usize; 3],
    check_sizes: [usize; 2],
    target: usize,
    measure: impl Fn(usize) -> f64,
) {
    let points: Vec<(f64, f64)> = fitted_sizes.iter().map(|n| (*n as f64, measure(*n))).collect();
    let (x, y) = points.iter().fold((0.0, 0.0), |(x, y), p| (x + p.0 / 3.0, y + p.1 / 3.0));
    let (xx, xy) =
        points.iter().fold((0.0, 0.0), |(xx, xy), p| (xx + (p.0 - x).powi(2), xy + (p.0 - x) * (p.1 - y)));
    let (slope, intercept) = (xy / xx, y - xy / xx * x);
    let checks: Vec<String> = check_sizes
        .iter()
        .map(|n| {
            let (predicted, measured) = (intercept + slope * *n as f64, measure(*n));
            format!("{n}: {measured:.0} ({:+.0} %)", 100.0 * (measured / predicted - 1.0))
        })
        .collect();
    println!(
        "| {quantity} | {slope:.4} {unit} | {} | {} | {:.0} {unit} |",
        fitted_sizes.map(|n| n.to_string()).join(", "),
        checks.join(", "),
        intercept + slope * target as f64
    );
}

fn print_header() {
    println!("\n| quantity | slope | fitted to | measured at others (deviation) | at the target |");
    println!("| --- | --- | --- | --- | --- |");
}

fn main() {
    let (fitted, checked) = ([1_000, 4_000, 8_000], [2_000, 16_000]);
    // Memory is measured first, because later measurements may reuse memory freed by earlier ones.
    print_header();
    slope("memory of a replica, per tenant", "B", fitted, checked, 46_000, |n| {
        let before = resident_bytes();
        let items = tenants(n);
        let used_bytes = resident_bytes() - before;
        // The items are leaked, because the next size might reuse their memory.
        std::mem::forget(items);
        used_bytes
    });
    measure_production_config();
    print_header();
    slope("complete validation, per tenant", "us", fitted, checked, 46_000, |n| {
        let items = tenants(n);
        best_time(|| check_config(&items).is_ok())
    });
    slope("complete validation, per route", "us", [100, 400, 800], [200, 1_600], 810, |n| {
        let items = routes(n);
        best_time(|| check_config(&items).is_ok())
    });
    slope("clone for a consensus round, per tenant", "us", fitted, checked, 46_000, |n| {
        let items = tenants(n);
        best_time(|| items.clone())
    });
    slope("complete replica on the wire, per tenant", "B", fitted, checked, 46_000, |n| {
        serde_json::to_vec(&tenants(n).changes_since(0, Tables::all()))
            .map_or(0.0, |bytes| bytes.len() as f64)
    });
    slope("complete replica on the wire, per server", "B", [200, 800, 1_600], [400, 3_200], 3_200, |n| {
        serde_json::to_vec(&servers(n).changes_since(0, Tables::all()))
            .map_or(0.0, |bytes| bytes.len() as f64)
    });
    slope("search for one change in a replica, per item", "us", fitted, checked, 52_000, |n| {
        let items = tenants(n);
        let last = items.last_change() - 1;
        best_time(|| items.changes_since(last, Tables::all()))
    });
    slope("tick of a registry, per watched node", "us", [50, 100, 200], [150, 400], 160, |n| {
        let (mut registry, items) = watched(n);
        best_time(|| registry.tick(Timestamp::from_millis(100.0), 0.0, &items))
    });
    slope("tick of a registry, per node of the system", "us", [50, 100, 200], [150, 400], 530, |n| {
        let items = watched(n).1;
        best_time(|| {
            Registry::new(Ipv4Addr::new(10, 0, 0, 1)).tick(Timestamp::from_millis(100.0), 0.0, &items)
        })
    });
    slope("directory lookup, per proxy", "us", [50, 100, 200], [150, 400], 523, |n| {
        let items = watched(n).1;
        best_time(|| ivygate_registry::proxy_addresses(&items, "z1", "r1"))
    });
    slope(
        "usage report to the allocator, per proxy, 20 heavy tenants",
        "us",
        [50, 100, 200],
        [150, 400],
        523,
        |n| measure_report(n, 20).0,
    );
    slope(
        "usage report to the allocator, per heavy tenant, 100 proxies",
        "us",
        [10, 20, 40],
        [30, 80],
        200,
        |n| measure_report(100, n).0,
    );
    slope("report and grant on the wire, per heavy tenant", "B", [10, 20, 40], [30, 80], 200, |n| {
        measure_report(10, n).1
    });
}
