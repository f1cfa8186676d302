//! Selection of the parent from which a process pulls control state.

use ivygate_cluster::{Parent, ParentSelector};
use ivygate_time::Timestamp;
use std::net::SocketAddr;

fn parent(address: SocketAddr, incarnation: u64, since: u64) -> Option<Parent> {
    Some(Parent { address, incarnation, since })
}

fn at(port: u16) -> SocketAddr {
    ([10, 0, 0, 1], port).into()
}

#[test]
fn pull_continues_where_the_last_one_ended() {
    let mut selector = ParentSelector::default();
    let all = [at(1), at(2)];
    assert_eq!(selector.select(Timestamp::from_millis(0.0), &all), parent(at(1), 0, 0));
    selector.handle_response(Timestamp::from_millis(10.0), at(1), 7, 40, 100.0);
    assert_eq!(selector.select(Timestamp::from_millis(20.0), &all), parent(at(1), 7, 40));
    assert_eq!(selector.select(Timestamp::from_millis(20.0), &[]), None);
}

#[test]
fn silent_parent_is_replaced() {
    let mut selector = ParentSelector::default();
    let all = [at(1), at(2)];
    selector.handle_response(Timestamp::from_millis(0.0), at(1), 7, 40, 100.0);
    selector.handle_failure(Timestamp::from_millis(10.0), at(1), false);
    assert_eq!(selector.select(Timestamp::from_millis(20.0), &all), parent(at(2), 0, 0));
    selector.handle_response(Timestamp::from_millis(30.0), at(2), 8, 3, 100.0);
    assert_eq!(
        selector.select(Timestamp::from_millis(2_100.0), &all).map(|next| next.address),
        Some(at(1)),
        "it is tried again after its backoff"
    );
    selector.handle_failure(Timestamp::from_millis(2_100.0), at(1), true);
    assert_eq!(
        selector.select(Timestamp::from_millis(2_500.0), &all).map(|next| next.address),
        Some(at(1)),
        "the backoff after a refused connection is short"
    );
}

#[test]
fn parent_without_store_contact_is_replaced() {
    let mut selector = ParentSelector::default();
    selector.handle_response(Timestamp::from_millis(0.0), at(1), 7, 40, 9_000.0);
    assert_eq!(selector.select(Timestamp::from_millis(10.0), &[at(1), at(2)]), parent(at(2), 0, 0));
    selector.handle_failure(Timestamp::from_millis(20.0), at(2), false);
    assert_eq!(
        selector.select(Timestamp::from_millis(30.0), &[at(1), at(2)]).map(|next| next.address),
        Some(at(1)),
        "the parent that failed first is retried first"
    );
}

#[test]
fn parents_without_store_contact_send_only_changes() {
    let mut selector = ParentSelector::default();
    let all = [at(1), at(2)];
    for (port, incarnation, change) in [(1, 7, 40), (2, 8, 50)] {
        assert_eq!(selector.select(Timestamp::from_millis(0.0), &all), parent(at(port), 0, 0));
        assert!(!selector.handle_response(
            Timestamp::from_millis(0.0),
            at(port),
            incarnation,
            change,
            9_000.0
        ));
    }
    assert_eq!(
        selector.select(Timestamp::from_millis(10.0), &all),
        parent(at(1), 7, 40),
        "the pull continues where the last one ended"
    );
    selector.handle_response(Timestamp::from_millis(20.0), at(1), 7, 41, 9_000.0);
    assert_eq!(selector.select(Timestamp::from_millis(30.0), &all), parent(at(2), 8, 50));
}

#[test]
fn good_parent_is_found_behind_three_bad_ones() {
    let (mut selector, mut now) = (ParentSelector::default(), 0.0);
    let all = [at(1), at(2), at(3), at(4)];
    while let Some(Parent { address: to, .. }) =
        selector.select(Timestamp::from_millis(now), &all).filter(|next| next.address != at(4))
    {
        if to == at(1) {
            now += 700.0;
            selector.handle_response(Timestamp::from_millis(now), to, 7, 40, 9_000.0);
        } else {
            now += 1_500.0;
            selector.handle_failure(Timestamp::from_millis(now), to, false);
        }
        assert!(now < 10_000.0, "the bad parents are tried in turn forever");
    }
}
