//! Forwarding of an operator's call that the store of the own machine cannot handle.

use ivygate_registry::{ForwardTarget, OperatorRequest, PeerStore, RequestForwarding};
use ivygate_rpc::ErrorKind;
use ivygate_time::Timestamp;
use std::net::SocketAddr;

const REQUESTS: [OperatorRequest; 3] =
    [OperatorRequest::Read, OperatorRequest::Update, OperatorRequest::Drain];

fn address_of(last: u8) -> SocketAddr {
    ([10, 0, 0, last], 1).into()
}

fn target(address: SocketAddr, wait_ms: f64) -> Option<ForwardTarget> {
    Some(ForwardTarget { address, wait_ms })
}

fn peer(last: u8, is_same_region: bool, last_response_at: Option<f64>) -> PeerStore {
    let last_response_at = last_response_at.map(Timestamp::from_millis);
    PeerStore { address: address_of(last), is_same_region, last_response_at }
}

fn peers() -> Vec<PeerStore> {
    vec![
        peer(2, true, None),
        peer(3, false, Some(9_900.0)),
        peer(4, true, Some(9_500.0)),
        peer(5, true, None),
    ]
}

#[test]
fn forwards_to_two_other_stores_nearest_first() {
    for request in REQUESTS {
        let mut forwarding = RequestForwarding::new(Timestamp::from_millis(10_000.0), request, peers());
        assert_eq!(
            forwarding.next_target(Timestamp::from_millis(10_005.0), ErrorKind::NotReady),
            target(address_of(4), 895.0)
        );
        assert_eq!(
            forwarding.next_target(Timestamp::from_millis(10_105.0), ErrorKind::NotReady),
            target(address_of(3), 795.0)
        );
        assert_eq!(
            forwarding.next_target(Timestamp::from_millis(10_205.0), ErrorKind::NotReady),
            None,
            "at most two other stores are called"
        );
    }
}

#[test]
fn does_not_resend_a_drain_that_may_have_run() {
    for kind in [ErrorKind::NoQuorum, ErrorKind::Disk, ErrorKind::Unreachable] {
        for request in REQUESTS {
            let next = RequestForwarding::new(Timestamp::from_millis(10_000.0), request, peers())
                .next_target(Timestamp::from_millis(10_300.0), kind);
            assert_eq!(next.is_some(), request != OperatorRequest::Drain, "{request:?} after {kind:?}");
        }
    }
}

#[test]
fn definitive_response_ends_forwarding() {
    let final_kinds = [
        ErrorKind::Timeout,
        ErrorKind::Malformed,
        ErrorKind::Invalid,
        ErrorKind::Conflict,
        ErrorKind::NotFound,
        ErrorKind::TooLarge,
    ];
    for kind in final_kinds {
        for request in REQUESTS {
            assert_eq!(
                RequestForwarding::new(Timestamp::from_millis(0.0), request, peers())
                    .next_target(Timestamp::from_millis(10.0), kind),
                None,
                "{request:?} after {kind:?}"
            );
        }
    }
}

#[test]
fn responds_without_quorum_at_once_when_partitioned() {
    let unreachable = vec![peer(2, true, Some(5_000.0)), peer(3, false, Some(7_000.0))];
    assert_eq!(
        RequestForwarding::new(
            Timestamp::from_millis(10_000.0),
            OperatorRequest::Update,
            unreachable.clone()
        )
        .next_target(Timestamp::from_millis(10_300.0), ErrorKind::NoQuorum),
        None
    );
    // If only the own store is down, the reachability of the others is unknown, so they are tried.
    assert!(RequestForwarding::new(Timestamp::from_millis(10_000.0), OperatorRequest::Update, unreachable)
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
        let mut forwarding =
            RequestForwarding::new(Timestamp::from_millis(now), REQUESTS[rng.usize(..3)], peers());
        now += 400.0 * rng.f64();
        let mut called = Vec::new();
        while let Some(ForwardTarget { address: to, wait_ms: wait }) =
            forwarding.next_target(Timestamp::from_millis(now), kinds[rng.usize(..5)])
        {
            assert!(!called.contains(&to) && now + wait <= 1_900.0 + 1e-6);
            called.push(to);
            now += wait * rng.f64();
        }
        assert!(called.len() <= 2);
    }
}
