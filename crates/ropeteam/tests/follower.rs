//! Stories of a process that chooses whom to pull news from.

use ropeteam::Follower;
use std::net::SocketAddr;

fn at(port: u16) -> SocketAddr {
    ([10, 0, 0, 1], port).into()
}

#[test]
fn given_a_parent_when_it_answers_then_the_next_pull_goes_on_from_there() {
    let mut follower = Follower::default();
    let all = [at(1), at(2)];
    assert_eq!(follower.next(0.0, &all), Some((at(1), 0, 0)));
    follower.came(10.0, at(1), 7, 40, 100.0);
    assert_eq!(follower.next(20.0, &all), Some((at(1), 7, 40)));
    assert_eq!(follower.next(20.0, &[]), None);
}

#[test]
fn given_a_parent_that_is_silent_when_another_is_there_then_that_one_is_asked_from_the_beginning() {
    let mut follower = Follower::default();
    let all = [at(1), at(2)];
    follower.came(0.0, at(1), 7, 40, 100.0);
    follower.failed(10.0, at(1), false);
    assert_eq!(follower.next(20.0, &all), Some((at(2), 0, 0)));
    follower.came(30.0, at(2), 8, 3, 100.0);
    assert_eq!(follower.next(2_100.0, &all).map(|next| next.0), Some(at(1)), "it is tried again later");
    follower.failed(2_100.0, at(1), true);
    assert_eq!(follower.next(2_500.0, &all).map(|next| next.0), Some(at(1)), "soon, where that costs little");
}

#[test]
fn given_a_parent_out_of_touch_with_the_core_when_it_answers_then_another_is_asked_next() {
    let mut follower = Follower::default();
    follower.came(0.0, at(1), 7, 40, 9_000.0);
    assert_eq!(follower.next(10.0, &[at(1), at(2)]), Some((at(2), 0, 0)));
    follower.failed(20.0, at(2), false);
    assert_eq!(
        follower.next(30.0, &[at(1), at(2)]).map(|next| next.0),
        Some(at(1)),
        "the one that failed first"
    );
}
