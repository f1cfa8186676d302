//! Stories of registries that watch, take the warden's duty and read the platform's list.

use hutbook::{addresses, Beat, Book, Page, WARDEN};
use ropeteam::{watchers, Node, Role};
use serde_json::json;
use std::net::Ipv4Addr;
use trailmap::{Item, Items, Table};

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

fn node(last: u8, role: Role, zone: &str) -> Node {
    let (region, http) = (zone[..1].to_owned(), Some(([10, 0, 0, last], 80).into()));
    Node { ip: ip(last), role, zone: zone.into(), region, http, ready: true, leaving: false, lost: false }
}

/// Passes time in the steps of a registry that is not held up.
fn pass(book: &mut Book, items: &mut Items, from: f64, until: f64) -> Vec<Item> {
    let mut news = Vec::new();
    let mut now = from;
    while now <= until {
        for item in book.tick(now, items) {
            items.merge(item.clone());
            news.push(item);
        }
        now += 100.0;
    }
    news
}

#[test]
fn given_a_proxy_that_falls_silent_when_two_seconds_pass_then_it_is_lost_and_its_next_beat_takes_that_back() {
    let (mut book, mut items) = (Book::new(ip(1)), Items::default());
    let proxy = node(9, Role::Proxy, "r1");
    let (news, answer) = book.beat(0.0, &items, Beat { entry: proxy.item(1) });
    items.merge(news.expect("it was not known"));
    assert_eq!(answer.version, 1);
    let news = pass(&mut book, &mut items, 0.0, 2_500.0);
    assert_eq!(news.iter().map(|i| i.version).collect::<Vec<_>>(), [2]);
    assert!(Node::all(&items, Role::Proxy)[0].lost);
    let (_, answer) = book.beat(2_600.0, &items, Beat { entry: proxy.item(1) });
    let (news, _) = book.beat(2_700.0, &items, Beat { entry: proxy.item(answer.version + 1) });
    items.merge(news.expect("it goes above what was said of it"));
    assert!(!Node::all(&items, Role::Proxy)[0].lost);
}

#[test]
fn given_a_registry_that_stood_still_when_it_goes_on_then_it_declares_nobody_lost() {
    let (mut book, mut items) = (Book::new(ip(1)), Items::default());
    items.merge(node(9, Role::Proxy, "r1").item(1));
    let _ = book.beat(0.0, &items, Beat { entry: node(9, Role::Proxy, "r1").item(1) });
    pass(&mut book, &mut items, 0.0, 500.0);
    assert!(book.tick(9_000.0, &items).is_empty());
    assert_eq!(pass(&mut book, &mut items, 9_100.0, 10_500.0).len(), 0);
}

#[test]
fn given_a_node_that_another_watches_now_when_it_is_silent_here_then_that_is_no_sign() {
    let (mut book, mut items) = (Book::new(ip(1)), Items::default());
    let proxy = node(9, Role::Proxy, "r1");
    let _ = book.beat(0.0, &items, Beat { entry: proxy.item(1) });
    items.merge(proxy.item(1));
    let all: Vec<Ipv4Addr> = (1..=8).map(ip).collect();
    let chosen = watchers(&proxy.name(), proxy.ip, &all, 2);
    // Those that the ring names are up, and this one is not among them.
    for watcher in chosen.iter().filter(|w| **w != ip(1)) {
        items.merge(node(watcher.octets()[3], Role::Registry, "r1").item(1));
    }
    let watches = watchers(&proxy.name(), proxy.ip, &book.registries(&items), 2).contains(&ip(1));
    let lost = !pass(&mut book, &mut items, 0.0, 3_000.0).is_empty();
    assert_eq!(lost, watches);
}

#[test]
fn given_three_registries_when_the_first_is_lost_then_the_next_in_order_takes_the_duty_and_no_other() {
    let group = [ip(1), ip(2), ip(3)];
    let mut items = Items::default();
    for last in 1..=3 {
        items.merge(node(last, Role::Registry, "r1").item(1));
    }
    let mut books: Vec<Book> = group.iter().map(|ip| Book::new(*ip)).collect();
    let wants = |books: &mut Vec<Book>, items: &Items, now: f64| -> Vec<bool> {
        books.iter_mut().map(|book| book.wants_duty(now, items, &group)).collect()
    };
    // The first need not hear who else is there; the others wait.
    assert_eq!(wants(&mut books, &items, 0.0), [true, false, false]);
    items.merge(Item::new(Table::Duties, WARDEN, 1, Some(json!({ "holder": ip(1) }))));
    books[0].took_duty(1);
    assert_eq!(wants(&mut books, &items, 4_000.0), [false, false, false]);
    items.merge(Node { lost: true, ..node(1, Role::Registry, "r1") }.item(2));
    assert_eq!(wants(&mut books, &items, 5_000.0)[1..], [true, false]);
    items.merge(Item::new(Table::Duties, WARDEN, 2, Some(json!({ "holder": ip(2) }))));
    books[1].took_duty(2);
    assert!(!books[0].holds(&items) && books[1].holds(&items));
}

#[test]
fn given_a_holder_that_lost_its_memory_when_the_duty_still_names_it_then_it_takes_it_anew() {
    let mut items = Items::default();
    items.merge(Item::new(Table::Duties, WARDEN, 7, Some(json!({ "holder": ip(1) }))));
    let mut book = Book::new(ip(1));
    assert!(!book.holds(&items));
    assert!(book.wants_duty(0.0, &items, &[ip(1), ip(2)]));
}

fn page(rows: &str) -> Page {
    let text = format!(
        r#"{{"instances":{{"cols":["backend","address","az","gen","capacity","state","warmLeftS","id"],"rows":[{rows}]}},"nextCursor":null}}"#
    );
    serde_json::from_str(&text).expect("a page")
}

#[test]
fn given_a_holder_that_stood_still_when_it_writes_under_its_old_epoch_then_the_later_holder_s_word_stands() {
    let ready = page(r#"["b","10.9.0.1:80","r1","v1",2,"ready",0,"i-1"]"#).rows();
    let draining = page(r#"["b","10.9.0.1:80","r1","v1",2,"draining",0,"i-1"]"#).rows();
    let mut items = Items::default();
    let old = Book::new(ip(1));
    for item in old.listed(1, &Items::default(), ready.clone()) {
        items.merge(item);
    }
    // It reads on and on under epoch 1, and then stands still while another holds epoch 2.
    let late = old.listed(1, &items, ready);
    assert!(late.is_empty(), "what has not changed is no news");
    for item in Book::new(ip(2)).listed(2, &items, draining) {
        items.merge(item);
    }
    for item in
        old.listed(1, &Items::default(), page(r#"["b","10.9.0.1:80","r1","v1",2,"ready",0,"i-1"]"#).rows())
    {
        assert!(!items.merge(item));
    }
    assert_eq!(items.body(Table::Servers, "i-1").map(|b| b["draining"].clone()), Some(json!(true)));
}

#[test]
fn given_a_time_that_runs_down_when_the_list_is_read_again_then_that_is_no_news_but_a_new_coldness_is() {
    let rows = |left: &str| page(&format!(r#"["b","10.9.0.1:80","r1","v1",2,"ready",{left},"i-1"]"#)).rows();
    let book = Book::new(ip(1));
    let mut items = Items::default();
    let mut read = |left: &str| {
        let news = book.listed(1, &items, rows(left));
        news.iter().for_each(|item| {
            items.merge(item.clone());
        });
        news.len()
    };
    assert_eq!(
        [read("3.0"), read("2.4"), read("1.0"), read("0"), read("0"), read("2.9")],
        [1, 0, 0, 1, 0, 1]
    );
}

#[test]
fn given_rows_that_cannot_be_read_or_columns_in_another_order_when_a_page_comes_then_the_others_count() {
    let text = r#"{"instances":{"cols":["id","state","backend","address","more"],"rows":[
        ["i-1","ready","b","10.9.0.1:80",1],["i-2","ready","b","nowhere",1],["i-3","ready",null,"10.9.0.3:80",1]]},"nextCursor":"p"}"#;
    let page: Page = serde_json::from_str(text).expect("a page");
    assert_eq!(page.rows().iter().map(|r| r.id.as_str()).collect::<Vec<_>>(), ["i-1"]);
    assert_eq!(page.next_cursor.as_deref(), Some("p"));
}

#[test]
fn given_proxies_near_and_far_when_a_client_asks_then_it_is_sent_to_those_of_its_region_that_can_serve() {
    let mut items = Items::default();
    for (last, zone) in [(1, "r1"), (2, "r1"), (3, "r2"), (4, "s1")] {
        items.merge(node(last, Role::Proxy, zone).item(1));
    }
    assert_eq!(addresses(&items, "r1", "r").len(), 3);
    items.merge(Node { leaving: true, ..node(1, Role::Proxy, "r1") }.item(2));
    items.merge(Node { lost: true, ..node(3, Role::Proxy, "r2") }.item(2));
    // Where too few are left, one of another region is better than none.
    assert_eq!(addresses(&items, "r1", "r").len(), 2);
    items.merge(Node { ready: false, ..node(2, Role::Proxy, "r1") }.item(2));
    assert_eq!(addresses(&items, "r1", "r"), [([10, 0, 0, 4], 80).into()]);
}
