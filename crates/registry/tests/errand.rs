//! Stories of an operator's call that the own machine's store can't carry out.

use ivygate_registry::{Errand, Order, Other};
use ivygate_rpc::Kind;
use std::net::SocketAddr;

const ORDERS: [Order; 3] = [Order::Read, Order::Amend, Order::Drain];

fn at(last: u8) -> SocketAddr {
    ([10, 0, 0, last], 1).into()
}

fn other(last: u8, near: bool, answered: Option<f64>) -> Other {
    Other { at: at(last), near, answered }
}

fn others() -> Vec<Other> {
    vec![
        other(2, true, None),
        other(3, false, Some(9_900.0)),
        other(4, true, Some(9_500.0)),
        other(5, true, None),
    ]
}

#[test]
fn given_a_store_that_rebuilds_its_state_when_a_call_comes_then_it_goes_on_to_two_others_the_near_and_sure_first(
) {
    for order in ORDERS {
        let mut errand = Errand::new(10_000.0, order, others());
        assert_eq!(errand.failed(10_005.0, Kind::Unready), Some((at(4), 895.0)));
        assert_eq!(errand.failed(10_105.0, Kind::Unready), Some((at(3), 795.0)));
        assert_eq!(errand.failed(10_205.0, Kind::Unready), None, "two are enough");
    }
}

#[test]
fn given_an_answer_after_which_it_may_have_taken_when_it_is_a_drain_then_it_is_not_sent_again() {
    for kind in [Kind::NoMajority, Kind::Disk, Kind::Unreachable] {
        for order in ORDERS {
            let next = Errand::new(10_000.0, order, others()).failed(10_300.0, kind);
            assert_eq!(next.is_some(), order != Order::Drain, "{order:?} after {kind:?}");
        }
    }
}

#[test]
fn given_an_answer_that_stands_when_it_comes_then_no_other_is_asked() {
    let stands = [Kind::Late, Kind::Malformed, Kind::Invalid, Kind::Conflict, Kind::Unknown, Kind::TooLarge];
    for kind in stands {
        for order in ORDERS {
            assert_eq!(
                Errand::new(0.0, order, others()).failed(10.0, kind),
                None,
                "{order:?} after {kind:?}"
            );
        }
    }
}

#[test]
fn given_a_machine_that_is_cut_off_when_its_store_has_no_majority_then_that_is_the_answer_at_once() {
    let cut = vec![other(2, true, Some(5_000.0)), other(3, false, Some(7_000.0))];
    assert_eq!(Errand::new(10_000.0, Order::Amend, cut.clone()).failed(10_300.0, Kind::NoMajority), None);
    // One whose own store is down knows no more than that: it tries.
    assert!(Errand::new(10_000.0, Order::Amend, cut).failed(10_001.0, Kind::Unreachable).is_some());
}

#[test]
fn given_any_answers_when_a_call_goes_on_then_all_waits_end_within_the_operator_s_second() {
    let mut rng = fastrand::Rng::with_seed(7);
    let kinds = [Kind::Unready, Kind::NoMajority, Kind::Disk, Kind::Unreachable, Kind::Late];
    for _ in 0..10_000 {
        let mut now = 1_000.0;
        let mut errand = Errand::new(now, ORDERS[rng.usize(..3)], others());
        now += 400.0 * rng.f64();
        let mut asked = Vec::new();
        while let Some((to, wait)) = errand.failed(now, kinds[rng.usize(..5)]) {
            assert!(!asked.contains(&to) && now + wait <= 1_900.0 + 1e-6);
            asked.push(to);
            now += wait * rng.f64();
        }
        assert!(asked.len() <= 2);
    }
}
