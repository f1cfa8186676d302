//! Stories of a process that chooses whom to pull news from.

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
    let mut follower = ParentSelector::default();
    let all = [at(1), at(2)];
    assert_eq!(follower.select(Timestamp::from_millis(0.0), &all), parent(at(1), 0, 0));
    follower.handle_response(Timestamp::from_millis(10.0), at(1), 7, 40, 100.0);
    assert_eq!(follower.select(Timestamp::from_millis(20.0), &all), parent(at(1), 7, 40));
    assert_eq!(follower.select(Timestamp::from_millis(20.0), &[]), None);
}

#[test]
fn silent_parent_is_replaced() {
    let mut follower = ParentSelector::default();
    let all = [at(1), at(2)];
    follower.handle_response(Timestamp::from_millis(0.0), at(1), 7, 40, 100.0);
    follower.handle_failure(Timestamp::from_millis(10.0), at(1), false);
    assert_eq!(follower.select(Timestamp::from_millis(20.0), &all), parent(at(2), 0, 0));
    follower.handle_response(Timestamp::from_millis(30.0), at(2), 8, 3, 100.0);
    assert_eq!(
        follower.select(Timestamp::from_millis(2_100.0), &all).map(|next| next.address),
        Some(at(1)),
        "it is tried again later"
    );
    follower.handle_failure(Timestamp::from_millis(2_100.0), at(1), true);
    assert_eq!(
        follower.select(Timestamp::from_millis(2_500.0), &all).map(|next| next.address),
        Some(at(1)),
        "soon, where that costs little"
    );
}

#[test]
fn parent_without_core_contact_is_replaced() {
    let mut follower = ParentSelector::default();
    follower.handle_response(Timestamp::from_millis(0.0), at(1), 7, 40, 9_000.0);
    assert_eq!(follower.select(Timestamp::from_millis(10.0), &[at(1), at(2)]), parent(at(2), 0, 0));
    follower.handle_failure(Timestamp::from_millis(20.0), at(2), false);
    assert_eq!(
        follower.select(Timestamp::from_millis(30.0), &[at(1), at(2)]).map(|next| next.address),
        Some(at(1)),
        "the one that failed first"
    );
}

#[test]
fn parents_without_core_contact_send_only_changes() {
    let mut follower = ParentSelector::default();
    let all = [at(1), at(2)];
    for (port, life, change) in [(1, 7, 40), (2, 8, 50)] {
        assert_eq!(follower.select(Timestamp::from_millis(0.0), &all), parent(at(port), 0, 0));
        assert!(!follower.handle_response(Timestamp::from_millis(0.0), at(port), life, change, 9_000.0));
    }
    assert_eq!(
        follower.select(Timestamp::from_millis(10.0), &all),
        parent(at(1), 7, 40),
        "not all of it once more"
    );
    follower.handle_response(Timestamp::from_millis(20.0), at(1), 7, 41, 9_000.0);
    assert_eq!(follower.select(Timestamp::from_millis(30.0), &all), parent(at(2), 8, 50));
}

#[test]
fn good_parent_is_found_behind_three_bad_ones() {
    let (mut follower, mut now) = (ParentSelector::default(), 0.0);
    let all = [at(1), at(2), at(3), at(4)];
    while let Some(Parent { address: to, .. }) =
        follower.select(Timestamp::from_millis(now), &all).filter(|next| next.address != at(4))
    {
        if to == at(1) {
            now += 700.0;
            follower.handle_response(Timestamp::from_millis(now), to, 7, 40, 9_000.0);
        } else {
            now += 1_500.0;
            follower.handle_failure(Timestamp::from_millis(now), to, false);
        }
        assert!(now < 10_000.0, "they are asked in turn for ever");
    }
}
