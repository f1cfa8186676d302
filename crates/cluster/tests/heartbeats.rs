//! Selection of the registries that receive a node's heartbeats.

use ivygate_cluster::{HeartbeatTargets, Node, Role};
use ivygate_time::Timestamp;
use std::net::Ipv4Addr;

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

fn proxy() -> Node {
    let (zone, region) = ("r1".to_owned(), "r".to_owned());
    Node { ip: ip(99), role: Role::Proxy, zone, region, http: None, ready: true, leaving: false, lost: false }
}

#[test]
fn heartbeats_go_to_all_registries_while_both_watchers_are_gone() {
    let mut heartbeats = HeartbeatTargets::new(vec![ip(1), ip(2), ip(3)]);
    assert_eq!(heartbeats.targets(Timestamp::from_millis(0.0), &proxy(), 2).len(), 3, "no response yet");
    heartbeats.handle_response(Timestamp::from_millis(0.0), (1..=6).map(ip).collect());
    let first = heartbeats.targets(Timestamp::from_millis(100.0), &proxy(), 2);
    assert_eq!(first.len(), 2);
    assert_eq!(heartbeats.targets(Timestamp::from_millis(1_400.0), &proxy(), 2).len(), 6);
    let up: Vec<Ipv4Addr> = (1..=6).map(ip).filter(|ip| !first.contains(ip)).collect();
    heartbeats.handle_response(Timestamp::from_millis(1_400.0), up.clone());
    let next = heartbeats.targets(Timestamp::from_millis(1_500.0), &proxy(), 2);
    assert!(next.len() == 2 && next.iter().all(|ip| up.contains(ip)));
}

#[test]
fn watchers_without_store_contact_list_no_registry() {
    let mut heartbeats = HeartbeatTargets::new(vec![ip(1)]);
    heartbeats.handle_response(Timestamp::from_millis(0.0), (1..=4).map(ip).collect());
    for round in 1..=3 {
        heartbeats.handle_response(Timestamp::from_millis(600.0 * f64::from(round)), Vec::new());
    }
    assert_eq!(heartbeats.targets(Timestamp::from_millis(1_900.0), &proxy(), 2).len(), 4);
    // A response that is read late must not replace a newer one.
    heartbeats.handle_response(Timestamp::from_millis(1_800.0), vec![ip(3), ip(4)]);
    heartbeats.handle_response(Timestamp::from_millis(600.0), vec![ip(1), ip(2)]);
    assert_eq!(
        heartbeats.targets(Timestamp::from_millis(1_900.0), &proxy(), 2),
        proxy().watchers(&[ip(3), ip(4)], 2)
    );
}
