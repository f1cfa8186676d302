//! Unit tests of `limits` that access private items.

use super::*;

#[test]
fn key_is_limited_to_its_burst_and_then_its_rate() {
    let mut limit = RateLimiter::new(10.0, 5.0, 100);
    let acquired = (0..50).filter(|_| limit.acquire(0.0, &"a").is_ok()).count();
    assert_eq!(acquired, 5);
    assert_eq!(limit.acquire(0.0, &"a"), Err(100.0));
    assert_eq!(limit.acquire(0.0, &"b"), Ok(()), "other keys have their own limit");
    // The rate allows 100 more in ten seconds, regardless of the number of attempts.
    let acquired = (1..=10_000).filter(|ms| limit.acquire(f64::from(*ms), &"a").is_ok()).count();
    assert_eq!(acquired, 100);
}

#[test]
fn successful_checks_are_refunded() {
    let mut limit = RateLimiter::new(1.0, 2.0, 100);
    for _ in 0..1000 {
        assert_eq!(limit.acquire(0.0, &"good"), Ok(()));
        limit.refund(0.0, &"good");
    }
    assert!(limit.is_empty());
}

#[test]
fn repeated_refunds_do_not_exceed_the_burst() {
    let mut limit = RateLimiter::new(1.0, 2.0, 100);
    assert_eq!(limit.acquire(0.0, &"a"), Ok(()));
    for _ in 0..10 {
        limit.refund(0.0, &"a");
    }
    let acquired = (0..10).filter(|_| limit.acquire(0.0, &"a").is_ok()).count();
    assert_eq!(acquired, 2);
}

#[test]
fn many_keys_stay_within_capacity_and_keep_the_heaviest_key() {
    let mut limit = RateLimiter::new(1.0, 10.0, 50);
    while limit.acquire(0.0, &0).is_ok() {}
    for key in 1..10_000 {
        let _ = limit.acquire(0.0, &key);
        assert!(limit.len() <= 50 && limit.by_time.len() == limit.len());
    }
    assert!(limit.acquire(0.0, &0).is_err());
    // The next call drops the entries whose arrival time has passed.
    assert_eq!(limit.acquire(60_000.0, &0), Ok(()));
    assert_eq!(limit.len(), 1);
}

#[test]
fn zero_rate_disables_the_limit_and_a_backward_clock_step_releases_no_key() {
    let mut none = RateLimiter::new(0.0, 0.0, 1);
    assert!((0..1000).all(|_| none.acquire(0.0, &"a").is_ok()));
    let mut limit = RateLimiter::new(1.0, 1.0, 10);
    assert_eq!(limit.acquire(5000.0, &"a"), Ok(()));
    assert!(limit.acquire(1000.0, &"a").is_err());
}
