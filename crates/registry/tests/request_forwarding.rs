//! Stories of an operator's call that the own machine's store can't carry out.

use ivygate_registry::{ForwardTarget, OperatorRequest, PeerStore, RequestForwarding};
use ivygate_rpc::ErrorKind;
use ivygate_time::Timestamp;
use std::net::SocketAddr;

const ORDERS: [OperatorRequest; 3] = [OperatorRequest::Read, OperatorRequest::Update, OperatorRequest::Drain];

fn at(last: u8) -> SocketAddr {
    ([10, 0, 0, last], 1).into()
}

fn forward(address: SocketAddr, wait_ms: f64) -> Option<ForwardTarget> {
    Some(ForwardTarget { address, wait_ms })
}

fn other(last: u8, near: bool, answered: Option<f64>) -> PeerStore {
    let last_response_at = answered.map(Timestamp::from_millis);
    PeerStore { address: at(last), is_same_region: near, last_response_at }
}

fn others() -> Vec<PeerStore> {
    vec![
        other(2, true, None),
        other(3, false, Some(9_900.0)),
        other(4, true, Some(9_500.0)),
        other(5, true, None),
    ]
}

#[test]
fn forwards_to_two_other_stores_nearest_first() {
    for order in ORDERS {
        let mut errand = RequestForwarding::new(Timestamp::from_millis(10_000.0), order, others());
        assert_eq!(
            errand.next_target(Timestamp::from_millis(10_005.0), ErrorKind::NotReady),
            forward(at(4), 895.0)
        );
        assert_eq!(
            errand.next_target(Timestamp::from_millis(10_105.0), ErrorKind::NotReady),
            forward(at(3), 795.0)
        );
        assert_eq!(
            errand.next_target(Timestamp::from_millis(10_205.0), ErrorKind::NotReady),
            None,
            "two are enough"
        );
    }
}

#[test]
fn does_not_resend_a_drain_that_may_have_run() {
    for kind in [ErrorKind::NoQuorum, ErrorKind::Disk, ErrorKind::Unreachable] {
        for order in ORDERS {
            let next = RequestForwarding::new(Timestamp::from_millis(10_000.0), order, others())
                .next_target(Timestamp::from_millis(10_300.0), kind);
            assert_eq!(next.is_some(), order != OperatorRequest::Drain, "{order:?} after {kind:?}");
        }
    }
}

#[test]
fn definitive_response_ends_forwarding() {
    let stands = [
        ErrorKind::Timeout,
        ErrorKind::Malformed,
        ErrorKind::Invalid,
        ErrorKind::Conflict,
        ErrorKind::NotFound,
        ErrorKind::TooLarge,
    ];
    for kind in stands {
        for order in ORDERS {
            assert_eq!(
                RequestForwarding::new(Timestamp::from_millis(0.0), order, others())
                    .next_target(Timestamp::from_millis(10.0), kind),
                None,
                "{order:?} after {kind:?}"
            );
        }
    }
}

#[test]
fn answers_no_majority_at_once_when_partitioned() {
    let cut = vec![other(2, true, Some(5_000.0)), other(3, false, Some(7_000.0))];
    assert_eq!(
        RequestForwarding::new(Timestamp::from_millis(10_000.0), OperatorRequest::Update, cut.clone())
            .next_target(Timestamp::from_millis(10_300.0), ErrorKind::NoQuorum),
        None
    );
    // One whose own store is down knows no more than that: it tries.
    assert!(RequestForwarding::new(Timestamp::from_millis(10_000.0), OperatorRequest::Update, cut)
        .next_target(Timestamp::from_millis(10_001.0), ErrorKind::Unreachable)
        .is_some());
}

#[test]
fn forwarding_ends_within_the_operators_second() {
    let mut rng = fastrand::Rng::with_seed(7);
    let kinds = [
        ErrorKind::NotReady,
        ErrorKind::NoQuorum,
        ErrorKind::Disk,
        ErrorKind::Unreachable,
        ErrorKind::Timeout,
    ];
    for _ in 0..10_000 {
        let mut now = 1_000.0;
        let mut errand =
            RequestForwarding::new(Timestamp::from_millis(now), ORDERS[rng.usize(..3)], others());
        now += 400.0 * rng.f64();
        let mut asked = Vec::new();
        while let Some(ForwardTarget { address: to, wait_ms: wait }) =
            errand.next_target(Timestamp::from_millis(now), kinds[rng.usize(..5)])
        {
            assert!(!asked.contains(&to) && now + wait <= 1_900.0 + 1e-6);
            asked.push(to);
            now += wait * rng.f64();
        }
        assert!(asked.len() <= 2);
    }
}
