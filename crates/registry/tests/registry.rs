//! Stories of registries that watch, take the warden's duty and read the platform's list.

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

/// Passes time in the steps of a registry that is not held up and is in touch with the core.
fn pass(book: &mut Registry, items: &mut Items, from: f64, until: f64) -> Vec<Item> {
    pass_cut(book, items, from, until, f64::INFINITY)
}

/// The same for one that is cut off at some time.
fn pass_cut(book: &mut Registry, items: &mut Items, from: f64, until: f64, cut: f64) -> Vec<Item> {
    let mut news = Vec::new();
    let mut now = from;
    while now <= until {
        for item in book.tick(Timestamp::from_millis(now), 100.0_f64.max(now - cut), items) {
            items.merge(item.clone());
            news.push(item);
        }
        now += 100.0;
    }
    news
}

#[test]
fn silent_proxy_is_lost_until_its_next_heartbeat() {
    let (mut book, mut items) = (Registry::new(ip(1)), Items::default());
    let proxy = node(9, Role::Proxy, "r1");
    let (news, answer) = book.handle_heartbeat(
        Timestamp::from_millis(0.0),
        &items,
        HeartbeatRequest { entry: proxy.to_item(1) },
    );
    items.merge(news.expect("it was not known"));
    assert_eq!(answer.version, 1);
    let news = pass(&mut book, &mut items, 0.0, 2_500.0);
    assert_eq!(news.iter().map(|i| i.version).collect::<Vec<_>>(), [2]);
    assert!(Node::all(&items, Role::Proxy)[0].lost);
    let (_, answer) = book.handle_heartbeat(
        Timestamp::from_millis(2_600.0),
        &items,
        HeartbeatRequest { entry: proxy.to_item(1) },
    );
    let (news, _) = book.handle_heartbeat(
        Timestamp::from_millis(2_700.0),
        &items,
        HeartbeatRequest { entry: proxy.to_item(answer.version + 1) },
    );
    items.merge(news.expect("it goes above what was said of it"));
    assert!(!Node::all(&items, Role::Proxy)[0].lost);
}

#[test]
fn paused_registry_declares_no_node_lost() {
    let (mut book, mut items) = (Registry::new(ip(1)), Items::default());
    items.merge(node(9, Role::Proxy, "r1").to_item(1));
    let _ = book.handle_heartbeat(
        Timestamp::from_millis(0.0),
        &items,
        HeartbeatRequest { entry: node(9, Role::Proxy, "r1").to_item(1) },
    );
    pass(&mut book, &mut items, 0.0, 500.0);
    assert!(book.tick(Timestamp::from_millis(9_000.0), 0.0, &items).is_empty());
    assert_eq!(pass(&mut book, &mut items, 9_100.0, 10_500.0).len(), 0);
}

#[test]
fn silence_of_a_node_watched_elsewhere_is_ignored() {
    let (mut book, mut items) = (Registry::new(ip(1)), Items::default());
    let proxy = node(9, Role::Proxy, "r1");
    let _ = book.handle_heartbeat(
        Timestamp::from_millis(0.0),
        &items,
        HeartbeatRequest { entry: proxy.to_item(1) },
    );
    items.merge(proxy.to_item(1));
    let all: Vec<Ipv4Addr> = (1..=8).map(ip).collect();
    let chosen = watchers(&proxy.name(), proxy.ip, &all, 2);
    // Those that the ring names are up and beat on, and this one is not among them.
    let others: Vec<Node> =
        chosen.iter().filter(|w| **w != ip(1)).map(|w| node(w.octets()[3], Role::Registry, "r1")).collect();
    for other in &others {
        items.merge(other.to_item(1));
    }
    let watches = watchers(&proxy.name(), proxy.ip, &book.live_registries(&items), 2).contains(&ip(1));
    let mut news = Vec::new();
    for turn in 0..6 {
        let now = 500.0 * f64::from(turn);
        for other in &others {
            let _ = book.handle_heartbeat(
                Timestamp::from_millis(now),
                &items,
                HeartbeatRequest { entry: other.to_item(1) },
            );
        }
        news.extend(pass(&mut book, &mut items, now, now + 400.0));
    }
    let lost = !news.is_empty();
    assert_eq!(lost, watches);
}

#[test]
fn next_registry_in_order_takes_the_coordinator_role() {
    let group = [ip(1), ip(2), ip(3)];
    let mut items = Items::default();
    for last in 1..=3 {
        items.merge(node(last, Role::Registry, "r1").to_item(1));
    }
    let mut books: Vec<Registry> = group.iter().map(|ip| Registry::new(*ip)).collect();
    let wants = |books: &mut Vec<Registry>, items: &Items, now: f64| -> Vec<bool> {
        books
            .iter_mut()
            .map(|book| book.should_acquire_role(Timestamp::from_millis(now), items, &group))
            .collect()
    };
    // The first need not hear who else is there; the others wait.
    assert_eq!(wants(&mut books, &items, 0.0), [true, false, false]);
    items.merge(Item::new(Table::SingletonRoles, COORDINATOR_ROLE, 1, Some(json!({ "holder": ip(1) }))));
    books[0].handle_role_acquired(Timestamp::from_millis(0.0), Timestamp::from_millis(100.0), 1);
    assert_eq!(wants(&mut books, &items, 4_000.0), [false, false, false]);
    items.merge(Node { lost: true, ..node(1, Role::Registry, "r1") }.to_item(2));
    assert_eq!(wants(&mut books, &items, 5_000.0)[1..], [true, false]);
    items.merge(Item::new(Table::SingletonRoles, COORDINATOR_ROLE, 2, Some(json!({ "holder": ip(2) }))));
    books[1].handle_role_acquired(Timestamp::from_millis(5_000.0), Timestamp::from_millis(5_100.0), 2);
    assert!(!books[0].holds_role(&items) && books[1].holds_role(&items));
}

#[test]
fn restarted_coordinator_acquires_the_role_anew() {
    let mut items = Items::default();
    items.merge(Item::new(Table::SingletonRoles, COORDINATOR_ROLE, 7, Some(json!({ "holder": ip(1) }))));
    let mut book = Registry::new(ip(1));
    assert!(!book.holds_role(&items));
    assert!(book.should_acquire_role(Timestamp::from_millis(0.0), &items, &[ip(1), ip(2)]));
}

fn page(rows: &str) -> ServerListPage {
    let text = format!(
        r#"{{"instances":{{"cols":["backend","address","az","gen","capacity","state","warmLeftS","id"],"rows":[{rows}]}},"nextCursor":null}}"#
    );
    serde_json::from_str(&text).expect("a page")
}

/// A registry that was told that it has the duty under this epoch.
fn holder(last: u8, epoch: u64) -> Registry {
    let mut book = Registry::new(ip(last));
    assert!(book.should_acquire_role(Timestamp::from_millis(0.0), &Items::default(), &[ip(last)]));
    book.handle_role_acquired(Timestamp::from_millis(0.0), Timestamp::from_millis(100.0), epoch);
    book
}

/// A reading that took no time.
fn reading(epoch: u64, rows: Vec<ServerRow>) -> ServerListFetch {
    let mut reading = ServerListFetch::new(Timestamp::from_millis(1_000.0), epoch, u64::MAX);
    reading.add_page(Timestamp::from_millis(1_000.0), rows);
    reading
}

fn merge(items: &mut Items, news: Vec<Item>) -> usize {
    news.into_iter().filter(|item| items.merge(item.clone())).count()
}

#[test]
fn write_under_an_old_epoch_loses() {
    let ready = page(r#"["b","10.9.0.1:80","r1","v1",2,"ready",0,"i-1"]"#).rows();
    let draining = page(r#"["b","10.9.0.1:80","r1","v1",2,"draining",0,"i-1"]"#).rows();
    let mut items = Items::default();
    let mut old = holder(1, 1);
    let news =
        old.apply_server_list(Timestamp::from_millis(1_000.0), &Items::default(), reading(1, ready.clone()));
    merge(&mut items, news);
    // It reads on and on under epoch 1, and then stands still while another holds epoch 2.
    let late = old.apply_server_list(Timestamp::from_millis(1_000.0), &items, reading(1, ready.clone()));
    assert!(late.is_empty(), "what has not changed is no news");
    let before = items.clone();
    let news = holder(2, 2).apply_server_list(Timestamp::from_millis(1_000.0), &items, reading(2, draining));
    assert_eq!(merge(&mut items, news), 1);
    // Whether it has heard the later one's word already, but not of its epoch, or neither.
    for known in [&items.clone(), &before, &Items::default()] {
        let news = old.apply_server_list(Timestamp::from_millis(1_000.0), known, reading(1, ready.clone()));
        assert_eq!(merge(&mut items, news), 0);
    }
    assert_eq!(items.body(Table::Servers, "i-1").map(|b| b["draining"].clone()), Some(json!(true)));
}

#[test]
fn reading_with_a_pause_writes_nothing() {
    let rows = || page(r#"["b","10.9.0.1:80","r1","v1",2,"ready",0,"i-1"]"#).rows();
    let (mut book, items) = (holder(1, 1), Items::default());
    let mut in_page = ServerListFetch::new(Timestamp::from_millis(1_000.0), 1, u64::MAX);
    in_page.add_page(Timestamp::from_millis(1_100.0), rows());
    in_page.add_page(Timestamp::from_millis(21_100.0), Vec::new());
    assert!(book.apply_server_list(Timestamp::from_millis(21_100.0), &items, in_page).is_empty());
    let mut behind = ServerListFetch::new(Timestamp::from_millis(1_000.0), 1, u64::MAX);
    behind.add_page(Timestamp::from_millis(1_100.0), rows());
    assert!(book.apply_server_list(Timestamp::from_millis(21_100.0), &items, behind.clone()).is_empty());
    assert_eq!(book.apply_server_list(Timestamp::from_millis(1_200.0), &items, behind).len(), 1);
    // Nor by one that began under another epoch, or when the duty is another's by now.
    assert!(book.apply_server_list(Timestamp::from_millis(1_000.0), &items, reading(0, rows())).is_empty());
    let mut later = Items::default();
    later.merge(Item::new(Table::SingletonRoles, COORDINATOR_ROLE, 2, Some(json!({ "holder": ip(2) }))));
    assert!(book.apply_server_list(Timestamp::from_millis(1_000.0), &later, reading(1, rows())).is_empty());
}

#[test]
fn newer_entry_that_came_during_a_reading_is_kept() {
    let rows = || page(r#"["b","10.9.0.1:80","r1","v1",2,"ready",0,"i-1"]"#).rows();
    let (mut book, mut items) = (holder(2, 2), Items::default());
    let mut reading = ServerListFetch::new(Timestamp::from_millis(1_000.0), 2, items.last_change());
    reading.add_page(Timestamp::from_millis(1_100.0), rows());
    items.merge(Item::new(Table::Servers, "i-1", 1 << 32 | 7, None));
    assert!(book.apply_server_list(Timestamp::from_millis(1_200.0), &items, reading).is_empty());
    let mut next = ServerListFetch::new(Timestamp::from_millis(1_500.0), 2, items.last_change());
    next.add_page(Timestamp::from_millis(1_600.0), rows());
    assert_eq!(book.apply_server_list(Timestamp::from_millis(1_600.0), &items, next).len(), 1);
}

#[test]
fn relisted_server_gets_a_higher_version() {
    let rows = || page(r#"["b","10.9.0.1:80","r1","v1",2,"ready",0,"i-1"]"#).rows();
    let (mut book, mut other) = (holder(1, 1), Items::default());
    for rows in [rows(), Vec::new()] {
        let news = book.apply_server_list(Timestamp::from_millis(1_000.0), &other, reading(1, rows));
        merge(&mut other, news);
    }
    // Here it was dropped and forgotten; a proxy still holds that it was dropped.
    let news = book.apply_server_list(Timestamp::from_millis(1_000.0), &Items::default(), reading(1, rows()));
    assert_eq!(merge(&mut other, news), 1);
}

#[test]
fn slow_start_countdown_is_no_change() {
    let rows = |left: &str| page(&format!(r#"["b","10.9.0.1:80","r1","v1",2,"ready",{left},"i-1"]"#)).rows();
    let mut book = holder(1, 1);
    let mut items = Items::default();
    let mut read = |left: &str| {
        let news = book.apply_server_list(Timestamp::from_millis(1_000.0), &items, reading(1, rows(left)));
        merge(&mut items, news)
    };
    assert_eq!(
        [read("3.0"), read("2.4"), read("1.0"), read("0"), read("0"), read("2.9")],
        [1, 0, 0, 1, 0, 1]
    );
}

#[test]
fn only_a_fresh_reply_grants_the_role() {
    let (mut book, mut items) = (Registry::new(ip(1)), Items::default());
    assert!(book.should_acquire_role(Timestamp::from_millis(0.0), &items, &[ip(1)]));
    // It stood still; its own clock has asked once more before the old answer is read.
    assert!(book.should_acquire_role(Timestamp::from_millis(20_000.0), &items, &[ip(1)]));
    book.handle_role_acquired(Timestamp::from_millis(0.0), Timestamp::from_millis(20_000.0), 5);
    assert!(!book.holds_role(&items));
    book.handle_acquisition_failed(Timestamp::from_millis(0.0), Timestamp::from_millis(20_000.0));
    book.handle_role_acquired(Timestamp::from_millis(20_000.0), Timestamp::from_millis(20_100.0), 6);
    assert!(book.holds_role(&items) && book.epoch() == 6);
    book.handle_role_acquired(Timestamp::from_millis(20_000.0), Timestamp::from_millis(20_200.0), 7);
    assert_eq!(book.epoch(), 6, "one answer to a question");
    // Another was told the same epoch, or a higher one is known.
    items.merge(Item::new(Table::SingletonRoles, COORDINATOR_ROLE, 6, Some(json!({ "holder": ip(2) }))));
    assert!(!book.holds_role(&items));
    let mut late = Registry::new(ip(1));
    assert!(late.should_acquire_role(Timestamp::from_millis(0.0), &Items::default(), &[ip(1)]));
    late.handle_role_acquired(Timestamp::from_millis(0.0), Timestamp::from_millis(20_000.0), 5);
    assert!(!late.holds_role(&Items::default()), "an answer read 20 s late");
}

#[test]
fn new_watchers_declare_a_node_lost() {
    let (mut book, mut items) = (Registry::new(ip(1)), Items::default());
    for last in 1..=4 {
        items.merge(node(last, Role::Registry, "r1").to_item(1));
    }
    items.merge(node(9, Role::Proxy, "r1").to_item(1));
    // This one never heard the proxy; all other registries and the proxy fall silent for good.
    for last in 2..=4 {
        let _ = book.handle_heartbeat(
            Timestamp::from_millis(0.0),
            &items,
            HeartbeatRequest { entry: node(last, Role::Registry, "r1").to_item(1) },
        );
    }
    pass(&mut book, &mut items, 0.0, 8_000.0);
    assert!(Node::all(&items, Role::Proxy)[0].lost);
    // Nor one that told another once that it is there, and was never heard again.
    items.merge(node(8, Role::Proxy, "r1").to_item(1));
    pass(&mut book, &mut items, 8_100.0, 12_000.0);
    assert!(Node::all(&items, Role::Proxy).iter().all(|node| node.lost));
}

#[test]
fn partitioned_registry_declares_no_node_lost() {
    let (mut book, mut items) = (Registry::new(ip(1)), Items::default());
    for last in 1..=3 {
        items.merge(node(last, Role::Registry, "r1").to_item(1));
    }
    let nodes = || [node(2, Role::Registry, "r1"), node(3, Role::Registry, "r1"), node(9, Role::Proxy, "r1")];
    for node in nodes() {
        let _ = book.handle_heartbeat(
            Timestamp::from_millis(900.0),
            &items,
            HeartbeatRequest { entry: node.to_item(1) },
        );
        items.merge(node.to_item(1));
    }
    // The cut comes 500 ms after the last heartbeats, and lasts 20 s.
    assert_eq!(pass_cut(&mut book, &mut items, 1_000.0, 21_400.0, 1_400.0), []);
    let (_, beaten) = book.handle_heartbeat(
        Timestamp::from_millis(21_400.0),
        &items,
        HeartbeatRequest { entry: node(9, Role::Proxy, "r1").to_item(1) },
    );
    assert!(beaten.registries.is_empty(), "a node that still reaches it is to ask others");
    // It is back in touch; the others' heartbeats take their way.
    assert_eq!(pass(&mut book, &mut items, 21_500.0, 22_500.0), []);
    // Who stays silent from then on is lost.
    assert_eq!(pass(&mut book, &mut items, 22_600.0, 25_500.0).len(), 3);
}

#[test]
fn purged_entry_does_not_return() {
    let (mut book, mut items) = (Registry::new(ip(1)), Items::default());
    let old = Item::new(Table::Servers, "i-1", 1 << 32, Some(json!({})));
    items.merge(Item::new(Table::Servers, "i-1", 1 << 32 | 1, None));
    items.merge(Node { lost: true, ..node(9, Role::Proxy, "r1") }.to_item(3));
    assert!(book.purgeable_keys(Timestamp::from_millis(0.0), &items).is_empty());
    assert!(
        book.purgeable_keys(Timestamp::from_millis(600_000.0), &items).is_empty(),
        "one that is away for so long hears it yet"
    );
    let over = book.purgeable_keys(Timestamp::from_millis(901_000.0), &items);
    assert_eq!(over.len(), 2);
    let last = items.get(Table::Servers, "i-1").cloned();
    items.purge(&over);
    // One that held it as it was before is told the last word; one that forgets a moment later tells nothing.
    assert_eq!(book.filter_received(Arc::new(old)), last);
    assert_eq!(book.filter_received(last.expect("it was dropped")), None);
    let later = Arc::new(Item::new(Table::Servers, "i-1", 2 << 32, Some(json!({}))));
    assert_eq!(book.filter_received(later.clone()), Some(later));
    // A node that begins anew goes above what copies that forget nothing may hold of it.
    let (news, answer) = book.handle_heartbeat(
        Timestamp::from_millis(902_000.0),
        &items,
        HeartbeatRequest { entry: node(9, Role::Proxy, "r1").to_item(1) },
    );
    assert!(news.is_none() && answer.version == 3);
    let (news, _) = book.handle_heartbeat(
        Timestamp::from_millis(902_100.0),
        &items,
        HeartbeatRequest { entry: node(9, Role::Proxy, "r1").to_item(4) },
    );
    assert!(news.is_some());
}

#[test]
fn skips_unreadable_rows_of_the_server_list() {
    let text = r#"{"instances":{"cols":["id","state","backend","address","more"],"rows":[
        ["i-1","ready","b","10.9.0.1:80",1],["i-2","ready","b","nowhere",1],["i-3","ready",null,"10.9.0.3:80",1]]},"nextCursor":"p"}"#;
    let page: ServerListPage = serde_json::from_str(text).expect("a page");
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
    // Where too few are left, one of another region is better than none.
    assert_eq!(proxy_addresses(&items, "r1", "r").len(), 2);
    items.merge(Node { ready: false, ..node(2, Role::Proxy, "r1") }.to_item(2));
    assert_eq!(proxy_addresses(&items, "r1", "r"), [([10, 0, 0, 4], 80).into()]);
}
