//! Behaviour of single registries: failure detection, the coordinator role, the server list, purging and the proxy directory.

use ivygate_cluster::{watchers, Node, Role};
use ivygate_control_state::{Item, Items, Table, COORDINATOR_ROLE};
use ivygate_registry::{
    proxy_addresses, HeartbeatRequest, Registry, ServerListFetch, ServerListPage, ServerRow,
};
use ivygate_time::Timestamp;
use serde_json::json;
use std::net::Ipv4Addr;
use std::sync::Arc;

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

fn node(last: u8, role: Role, zone: &str) -> Node {
    let (region, http) = (zone[..1].to_owned(), Some(([10, 0, 0, last], 80).into()));
    Node { ip: ip(last), role, zone: zone.into(), region, http, ready: true, leaving: false, lost: false }
}

/// Advances the time by the ticks of a registry that is not paused and is in contact with the store.
fn advance(registry: &mut Registry, items: &mut Items, from: f64, until: f64) -> Vec<Item> {
    advance_with_cut(registry, items, from, until, f64::INFINITY)
}

/// Does the same for a registry that loses contact with the store at `cut`.
fn advance_with_cut(
    registry: &mut Registry,
    items: &mut Items,
    from: f64,
    until: f64,
    cut: f64,
) -> Vec<Item> {
    let mut changes = Vec::new();
    let mut now = from;
    while now <= until {
        for item in registry.tick(Timestamp::from_millis(now), 100.0_f64.max(now - cut), items) {
            items.merge(item.clone());
            changes.push(item);
        }
        now += 100.0;
    }
    changes
}

#[test]
fn silent_proxy_is_lost_until_its_next_heartbeat() {
    let (mut registry, mut items) = (Registry::new(ip(1)), Items::default());
    let proxy = node(9, Role::Proxy, "r1");
    let (changes, response) = registry.handle_heartbeat(
        Timestamp::from_millis(0.0),
        &items,
        HeartbeatRequest { entry: proxy.to_item(1) },
    );
    items.merge(changes.expect("the node is new"));
    assert_eq!(response.version, 1);
    let changes = advance(&mut registry, &mut items, 0.0, 2_500.0);
    assert_eq!(changes.iter().map(|i| i.version).collect::<Vec<_>>(), [2]);
    assert!(Node::all(&items, Role::Proxy)[0].lost);
    let (_, response) = registry.handle_heartbeat(
        Timestamp::from_millis(2_600.0),
        &items,
        HeartbeatRequest { entry: proxy.to_item(1) },
    );
    let (changes, _) = registry.handle_heartbeat(
        Timestamp::from_millis(2_700.0),
        &items,
        HeartbeatRequest { entry: proxy.to_item(response.version + 1) },
    );
    items.merge(changes.expect("the version is above that of the loss"));
    assert!(!Node::all(&items, Role::Proxy)[0].lost);
}

#[test]
fn paused_registry_declares_no_node_lost() {
    let (mut registry, mut items) = (Registry::new(ip(1)), Items::default());
    items.merge(node(9, Role::Proxy, "r1").to_item(1));
    let _ = registry.handle_heartbeat(
        Timestamp::from_millis(0.0),
        &items,
        HeartbeatRequest { entry: node(9, Role::Proxy, "r1").to_item(1) },
    );
    advance(&mut registry, &mut items, 0.0, 500.0);
    assert!(registry.tick(Timestamp::from_millis(9_000.0), 0.0, &items).is_empty());
    assert_eq!(advance(&mut registry, &mut items, 9_100.0, 10_500.0).len(), 0);
}

#[test]
fn silence_of_a_node_watched_elsewhere_is_ignored() {
    let (mut registry, mut items) = (Registry::new(ip(1)), Items::default());
    let proxy = node(9, Role::Proxy, "r1");
    let _ = registry.handle_heartbeat(
        Timestamp::from_millis(0.0),
        &items,
        HeartbeatRequest { entry: proxy.to_item(1) },
    );
    items.merge(proxy.to_item(1));
    let all: Vec<Ipv4Addr> = (1..=8).map(ip).collect();
    let assigned = watchers(&proxy.name(), proxy.ip, &all, 2);
    // The registries assigned by the ring are up and send heartbeats; this one may not be among them.
    let others: Vec<Node> = assigned
        .iter()
        .filter(|watcher| **watcher != ip(1))
        .map(|watcher| node(watcher.octets()[3], Role::Registry, "r1"))
        .collect();
    for other in &others {
        items.merge(other.to_item(1));
    }
    let watches = watchers(&proxy.name(), proxy.ip, &registry.live_registries(&items), 2).contains(&ip(1));
    let mut changes = Vec::new();
    for round in 0..6 {
        let now = 500.0 * f64::from(round);
        for other in &others {
            let _ = registry.handle_heartbeat(
                Timestamp::from_millis(now),
                &items,
                HeartbeatRequest { entry: other.to_item(1) },
            );
        }
        changes.extend(advance(&mut registry, &mut items, now, now + 400.0));
    }
    let lost = !changes.is_empty();
    assert_eq!(lost, watches);
}

#[test]
fn next_registry_in_order_takes_the_coordinator_role() {
    let store_members = [ip(1), ip(2), ip(3)];
    let mut items = Items::default();
    for last in 1..=3 {
        items.merge(node(last, Role::Registry, "r1").to_item(1));
    }
    let mut registries: Vec<Registry> = store_members.iter().map(|ip| Registry::new(*ip)).collect();
    let should_acquire = |registries: &mut Vec<Registry>, items: &Items, now: f64| -> Vec<bool> {
        registries
            .iter_mut()
            .map(|registry| registry.should_acquire_role(Timestamp::from_millis(now), items, &store_members))
            .collect()
    };
    // The first store member need not wait for discovery; the others do.
    assert_eq!(should_acquire(&mut registries, &items, 0.0), [true, false, false]);
    items.merge(Item::new(Table::SingletonRoles, COORDINATOR_ROLE, 1, Some(json!({ "holder": ip(1) }))));
    registries[0].handle_role_acquired(Timestamp::from_millis(0.0), Timestamp::from_millis(100.0), 1);
    assert_eq!(should_acquire(&mut registries, &items, 4_000.0), [false, false, false]);
    items.merge(Node { lost: true, ..node(1, Role::Registry, "r1") }.to_item(2));
    assert_eq!(should_acquire(&mut registries, &items, 5_000.0)[1..], [true, false]);
    items.merge(Item::new(Table::SingletonRoles, COORDINATOR_ROLE, 2, Some(json!({ "holder": ip(2) }))));
    registries[1].handle_role_acquired(Timestamp::from_millis(5_000.0), Timestamp::from_millis(5_100.0), 2);
    assert!(!registries[0].holds_role(&items) && registries[1].holds_role(&items));
}

#[test]
fn restarted_coordinator_acquires_the_role_again() {
    let mut items = Items::default();
    items.merge(Item::new(Table::SingletonRoles, COORDINATOR_ROLE, 7, Some(json!({ "holder": ip(1) }))));
    let mut registry = Registry::new(ip(1));
    assert!(!registry.holds_role(&items));
    assert!(registry.should_acquire_role(Timestamp::from_millis(0.0), &items, &[ip(1), ip(2)]));
}

fn page(rows: &str) -> ServerListPage {
    let text = format!(
        r#"{{"instances":{{"cols":["backend","address","az","gen","capacity","state","warmLeftS","id"],"rows":[{rows}]}},"nextCursor":null}}"#
    );
    serde_json::from_str(&text).expect("page parses")
}

/// Creates a registry that holds the coordinator role under an epoch.
fn coordinator(last: u8, epoch: u64) -> Registry {
    let mut registry = Registry::new(ip(last));
    assert!(registry.should_acquire_role(Timestamp::from_millis(0.0), &Items::default(), &[ip(last)]));
    registry.handle_role_acquired(Timestamp::from_millis(0.0), Timestamp::from_millis(100.0), epoch);
    registry
}

/// Creates a complete fetch of the server list that took no time.
fn fetch(epoch: u64, rows: Vec<ServerRow>) -> ServerListFetch {
    let mut fetch = ServerListFetch::new(Timestamp::from_millis(1_000.0), epoch, u64::MAX);
    fetch.add_page(Timestamp::from_millis(1_000.0), rows);
    fetch
}

fn merge(items: &mut Items, changes: Vec<Item>) -> usize {
    changes.into_iter().filter(|item| items.merge(item.clone())).count()
}

#[test]
fn write_under_an_old_epoch_loses() {
    let ready = page(r#"["b","10.9.0.1:80","r1","v1",2,"ready",0,"i-1"]"#).rows();
    let draining = page(r#"["b","10.9.0.1:80","r1","v1",2,"draining",0,"i-1"]"#).rows();
    let mut items = Items::default();
    let mut old = coordinator(1, 1);
    let changes =
        old.apply_server_list(Timestamp::from_millis(1_000.0), &Items::default(), fetch(1, ready.clone()));
    merge(&mut items, changes);
    // The registry keeps fetching under epoch 1, and is then paused while another one holds epoch 2.
    let unchanged = old.apply_server_list(Timestamp::from_millis(1_000.0), &items, fetch(1, ready.clone()));
    assert!(unchanged.is_empty(), "unchanged rows cause no writes");
    let before = items.clone();
    let changes =
        coordinator(2, 2).apply_server_list(Timestamp::from_millis(1_000.0), &items, fetch(2, draining));
    assert_eq!(merge(&mut items, changes), 1);
    // The old coordinator may know the later write but not its epoch, or neither of them.
    for known in [&items.clone(), &before, &Items::default()] {
        let changes = old.apply_server_list(Timestamp::from_millis(1_000.0), known, fetch(1, ready.clone()));
        assert_eq!(merge(&mut items, changes), 0);
    }
    assert_eq!(items.body(Table::Servers, "i-1").map(|b| b["draining"].clone()), Some(json!(true)));
}

#[test]
fn fetch_with_a_pause_writes_nothing() {
    let rows = || page(r#"["b","10.9.0.1:80","r1","v1",2,"ready",0,"i-1"]"#).rows();
    let (mut registry, items) = (coordinator(1, 1), Items::default());
    let mut in_page = ServerListFetch::new(Timestamp::from_millis(1_000.0), 1, u64::MAX);
    in_page.add_page(Timestamp::from_millis(1_100.0), rows());
    in_page.add_page(Timestamp::from_millis(21_100.0), Vec::new());
    assert!(registry.apply_server_list(Timestamp::from_millis(21_100.0), &items, in_page).is_empty());
    let mut before_apply = ServerListFetch::new(Timestamp::from_millis(1_000.0), 1, u64::MAX);
    before_apply.add_page(Timestamp::from_millis(1_100.0), rows());
    assert!(registry
        .apply_server_list(Timestamp::from_millis(21_100.0), &items, before_apply.clone())
        .is_empty());
    assert_eq!(registry.apply_server_list(Timestamp::from_millis(1_200.0), &items, before_apply).len(), 1);
    // The same holds for a fetch that started under another epoch, or if another registry holds the role by now.
    assert!(registry.apply_server_list(Timestamp::from_millis(1_000.0), &items, fetch(0, rows())).is_empty());
    let mut later = Items::default();
    later.merge(Item::new(Table::SingletonRoles, COORDINATOR_ROLE, 2, Some(json!({ "holder": ip(2) }))));
    assert!(registry.apply_server_list(Timestamp::from_millis(1_000.0), &later, fetch(1, rows())).is_empty());
}

#[test]
fn newer_entry_received_during_a_fetch_is_kept() {
    let rows = || page(r#"["b","10.9.0.1:80","r1","v1",2,"ready",0,"i-1"]"#).rows();
    let (mut registry, mut items) = (coordinator(2, 2), Items::default());
    let mut fetch = ServerListFetch::new(Timestamp::from_millis(1_000.0), 2, items.last_change());
    fetch.add_page(Timestamp::from_millis(1_100.0), rows());
    items.merge(Item::new(Table::Servers, "i-1", 1 << 32 | 7, None));
    assert!(registry.apply_server_list(Timestamp::from_millis(1_200.0), &items, fetch).is_empty());
    let mut next = ServerListFetch::new(Timestamp::from_millis(1_500.0), 2, items.last_change());
    next.add_page(Timestamp::from_millis(1_600.0), rows());
    assert_eq!(registry.apply_server_list(Timestamp::from_millis(1_600.0), &items, next).len(), 1);
}

#[test]
fn relisted_server_gets_a_higher_version() {
    let rows = || page(r#"["b","10.9.0.1:80","r1","v1",2,"ready",0,"i-1"]"#).rows();
    let (mut registry, mut other) = (coordinator(1, 1), Items::default());
    for rows in [rows(), Vec::new()] {
        let changes = registry.apply_server_list(Timestamp::from_millis(1_000.0), &other, fetch(1, rows));
        merge(&mut other, changes);
    }
    // The tombstone has been purged here, and a proxy still holds it.
    let changes =
        registry.apply_server_list(Timestamp::from_millis(1_000.0), &Items::default(), fetch(1, rows()));
    assert_eq!(merge(&mut other, changes), 1);
}

#[test]
fn slow_start_countdown_is_no_change() {
    let rows = |left: &str| page(&format!(r#"["b","10.9.0.1:80","r1","v1",2,"ready",{left},"i-1"]"#)).rows();
    let mut registry = coordinator(1, 1);
    let mut items = Items::default();
    let mut read = |left: &str| {
        let changes =
            registry.apply_server_list(Timestamp::from_millis(1_000.0), &items, fetch(1, rows(left)));
        merge(&mut items, changes)
    };
    assert_eq!(
        [read("3.0"), read("2.4"), read("1.0"), read("0"), read("0"), read("2.9")],
        [1, 0, 0, 1, 0, 1]
    );
}

#[test]
fn only_a_fresh_reply_grants_the_role() {
    let (mut registry, mut items) = (Registry::new(ip(1)), Items::default());
    assert!(registry.should_acquire_role(Timestamp::from_millis(0.0), &items, &[ip(1)]));
    // After a pause, the next tick requests the role again before the old response is read.
    assert!(registry.should_acquire_role(Timestamp::from_millis(20_000.0), &items, &[ip(1)]));
    registry.handle_role_acquired(Timestamp::from_millis(0.0), Timestamp::from_millis(20_000.0), 5);
    assert!(!registry.holds_role(&items));
    registry.handle_acquisition_failed(Timestamp::from_millis(0.0), Timestamp::from_millis(20_000.0));
    registry.handle_role_acquired(Timestamp::from_millis(20_000.0), Timestamp::from_millis(20_100.0), 6);
    assert!(registry.holds_role(&items) && registry.epoch() == 6);
    registry.handle_role_acquired(Timestamp::from_millis(20_000.0), Timestamp::from_millis(20_200.0), 7);
    assert_eq!(registry.epoch(), 6, "only the first response to a request counts");
    // Another registry was granted the same epoch.
    items.merge(Item::new(Table::SingletonRoles, COORDINATOR_ROLE, 6, Some(json!({ "holder": ip(2) }))));
    assert!(!registry.holds_role(&items));
    let mut late = Registry::new(ip(1));
    assert!(late.should_acquire_role(Timestamp::from_millis(0.0), &Items::default(), &[ip(1)]));
    late.handle_role_acquired(Timestamp::from_millis(0.0), Timestamp::from_millis(20_000.0), 5);
    assert!(!late.holds_role(&Items::default()), "the response is read 20 s late");
}

#[test]
fn new_watchers_declare_a_node_lost() {
    let (mut registry, mut items) = (Registry::new(ip(1)), Items::default());
    for last in 1..=4 {
        items.merge(node(last, Role::Registry, "r1").to_item(1));
    }
    items.merge(node(9, Role::Proxy, "r1").to_item(1));
    // This registry never received a heartbeat of the proxy. The proxy and all other registries fail.
    for last in 2..=4 {
        let _ = registry.handle_heartbeat(
            Timestamp::from_millis(0.0),
            &items,
            HeartbeatRequest { entry: node(last, Role::Registry, "r1").to_item(1) },
        );
    }
    advance(&mut registry, &mut items, 0.0, 8_000.0);
    assert!(Node::all(&items, Role::Proxy)[0].lost);
    // A node that is known only through another registry is declared lost as well.
    items.merge(node(8, Role::Proxy, "r1").to_item(1));
    advance(&mut registry, &mut items, 8_100.0, 12_000.0);
    assert!(Node::all(&items, Role::Proxy).iter().all(|node| node.lost));
}

#[test]
fn partitioned_registry_declares_no_node_lost() {
    let (mut registry, mut items) = (Registry::new(ip(1)), Items::default());
    for last in 1..=3 {
        items.merge(node(last, Role::Registry, "r1").to_item(1));
    }
    let nodes = || [node(2, Role::Registry, "r1"), node(3, Role::Registry, "r1"), node(9, Role::Proxy, "r1")];
    for node in nodes() {
        let _ = registry.handle_heartbeat(
            Timestamp::from_millis(900.0),
            &items,
            HeartbeatRequest { entry: node.to_item(1) },
        );
        items.merge(node.to_item(1));
    }
    // The partition starts 500 ms after the last heartbeats and lasts 20 s.
    assert_eq!(advance_with_cut(&mut registry, &mut items, 1_000.0, 21_400.0, 1_400.0), []);
    let (_, response) = registry.handle_heartbeat(
        Timestamp::from_millis(21_400.0),
        &items,
        HeartbeatRequest { entry: node(9, Role::Proxy, "r1").to_item(1) },
    );
    assert!(
        response.registries.is_empty(),
        "a node that still reaches it must send heartbeats to other registries"
    );
    // Contact is restored, and the heartbeats of the other nodes are still on their way.
    assert_eq!(advance(&mut registry, &mut items, 21_500.0, 22_500.0), []);
    // Nodes without a heartbeat from then on are lost.
    assert_eq!(advance(&mut registry, &mut items, 22_600.0, 25_500.0).len(), 3);
}

#[test]
fn purged_entry_does_not_return() {
    let (mut registry, mut items) = (Registry::new(ip(1)), Items::default());
    let old = Item::new(Table::Servers, "i-1", 1 << 32, Some(json!({})));
    items.merge(Item::new(Table::Servers, "i-1", 1 << 32 | 1, None));
    items.merge(Node { lost: true, ..node(9, Role::Proxy, "r1") }.to_item(3));
    assert!(registry.purgeable_keys(Timestamp::from_millis(0.0), &items).is_empty());
    assert!(
        registry.purgeable_keys(Timestamp::from_millis(600_000.0), &items).is_empty(),
        "a replica that is partitioned for this long still learns of the removal"
    );
    let purgeable = registry.purgeable_keys(Timestamp::from_millis(901_000.0), &items);
    assert_eq!(purgeable.len(), 2);
    let last = items.get(Table::Servers, "i-1").cloned();
    items.purge(&purgeable);
    // A replica with an older version gets the last one. The tombstone of a replica that purges later is ignored.
    assert_eq!(registry.filter_received(Arc::new(old)), last);
    assert_eq!(registry.filter_received(last.expect("a tombstone")), None);
    let later = Arc::new(Item::new(Table::Servers, "i-1", 2 << 32, Some(json!({}))));
    assert_eq!(registry.filter_received(later.clone()), Some(later));
    // A restarted node moves above the version that replicas without purging may still hold.
    let (changes, response) = registry.handle_heartbeat(
        Timestamp::from_millis(902_000.0),
        &items,
        HeartbeatRequest { entry: node(9, Role::Proxy, "r1").to_item(1) },
    );
    assert!(changes.is_none() && response.version == 3);
    let (changes, _) = registry.handle_heartbeat(
        Timestamp::from_millis(902_100.0),
        &items,
        HeartbeatRequest { entry: node(9, Role::Proxy, "r1").to_item(4) },
    );
    assert!(changes.is_some());
}

#[test]
fn skips_unreadable_rows_of_the_server_list() {
    let text = r#"{"instances":{"cols":["id","state","backend","address","more"],"rows":[
        ["i-1","ready","b","10.9.0.1:80",1],["i-2","ready","b","nowhere",1],["i-3","ready",null,"10.9.0.3:80",1]]},"nextCursor":"p"}"#;
    let page: ServerListPage = serde_json::from_str(text).expect("page parses");
    assert_eq!(page.rows().iter().map(|r| r.id.as_str()).collect::<Vec<_>>(), ["i-1"]);
    assert_eq!(page.next_cursor.as_deref(), Some("p"));
}

#[test]
fn directory_names_serving_proxies_of_the_region() {
    let mut items = Items::default();
    for (last, zone) in [(1, "r1"), (2, "r1"), (3, "r2"), (4, "s1")] {
        items.merge(node(last, Role::Proxy, zone).to_item(1));
    }
    assert_eq!(proxy_addresses(&items, "r1", "r").len(), 3);
    items.merge(Node { leaving: true, ..node(1, Role::Proxy, "r1") }.to_item(2));
    items.merge(Node { lost: true, ..node(3, Role::Proxy, "r2") }.to_item(2));
    // If too few are left, a proxy of another region is added.
    assert_eq!(proxy_addresses(&items, "r1", "r").len(), 2);
    items.merge(Node { ready: false, ..node(2, Role::Proxy, "r1") }.to_item(2));
    assert_eq!(proxy_addresses(&items, "r1", "r"), [([10, 0, 0, 4], 80).into()]);
}
