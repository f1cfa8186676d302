//! Tests of `limits` that need its private state.

use super::*;

#[test]
fn a_key_has_its_burst_and_then_its_rate() {
    let mut limit = RateLimiter::new(10.0, 5.0, 100);
    let taken = (0..50).filter(|_| limit.acquire(0.0, &"a").is_ok()).count();
    assert_eq!(taken, 5);
    assert_eq!(limit.acquire(0.0, &"a"), Err(100.0));
    assert_eq!(limit.acquire(0.0, &"b"), Ok(()), "others have their own");
    // In ten seconds a hundred more, however often it asks.
    let taken = (1..=10_000).filter(|ms| limit.acquire(f64::from(*ms), &"a").is_ok()).count();
    assert_eq!(taken, 100);
}

#[test]
fn what_was_no_bad_pass_is_given_back() {
    let mut limit = RateLimiter::new(1.0, 2.0, 100);
    for _ in 0..1000 {
        assert_eq!(limit.acquire(0.0, &"good"), Ok(()));
        limit.refund(0.0, &"good");
    }
    assert!(limit.is_empty());
}

#[test]
fn giving_back_twice_saves_nothing_up() {
    let mut limit = RateLimiter::new(1.0, 2.0, 100);
    assert_eq!(limit.acquire(0.0, &"a"), Ok(()));
    for _ in 0..10 {
        limit.refund(0.0, &"a");
    }
    let taken = (0..10).filter(|_| limit.acquire(0.0, &"a").is_ok()).count();
    assert_eq!(taken, 2);
}

#[test]
fn a_flood_of_keys_stays_within_the_bound_and_does_not_free_the_one_that_spent_most() {
    let mut limit = RateLimiter::new(1.0, 10.0, 50);
    while limit.acquire(0.0, &0).is_ok() {}
    for key in 1..10_000 {
        let _ = limit.acquire(0.0, &key);
        assert!(limit.len() <= 50 && limit.order.len() == limit.len());
    }
    assert!(limit.acquire(0.0, &0).is_err());
    // What is paid off is forgotten by whoever comes next.
    assert_eq!(limit.acquire(60_000.0, &0), Ok(()));
    assert_eq!(limit.len(), 1);
}

#[test]
fn no_rate_is_no_limit_and_a_clock_that_steps_back_frees_nobody() {
    let mut none = RateLimiter::new(0.0, 0.0, 1);
    assert!((0..1000).all(|_| none.acquire(0.0, &"a").is_ok()));
    let mut limit = RateLimiter::new(1.0, 1.0, 10);
    assert_eq!(limit.acquire(5000.0, &"a"), Ok(()));
    assert!(limit.acquire(1000.0, &"a").is_err());
}
