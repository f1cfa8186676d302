//! Unit tests of `cache` that access private items.

use super::*;

#[test]
fn answer_expires_exactly_at_the_end_of_its_lifetime() {
    let mut cache = Cache::new(10);
    assert_eq!(cache.lookup(0.0, &"a"), Lookup::Miss);
    cache.complete(5.0, &"a", Some((1, 100.0)));
    assert_eq!(cache.lookup(104.9, &"a"), Lookup::Hit(1));
    assert_eq!(cache.lookup(105.0, &"a"), Lookup::Miss);
    assert!(cache.is_empty());
}

#[test]
fn identical_checks_wait_for_one_and_retry_if_it_fails() {
    let mut cache = Cache::<_, i32>::new(10);
    assert_eq!(cache.lookup(0.0, &"a"), Lookup::Miss);
    assert_eq!(cache.lookup(0.0, &"a"), Lookup::Pending);
    assert_eq!(cache.lookup(0.0, &"b"), Lookup::Miss);
    cache.complete(1.0, &"a", None);
    assert_eq!(cache.lookup(1.0, &"a"), Lookup::Miss);
    assert_eq!(cache.lookup(1.0, &"a"), Lookup::Pending);
}

#[test]
fn zero_lifetime_or_capacity_caches_nothing() {
    let mut cache = Cache::new(10);
    cache.lookup(0.0, &"a");
    cache.complete(0.0, &"a", Some((1, 0.0)));
    assert_eq!(cache.lookup(0.0, &"a"), Lookup::Miss);
    let mut none = Cache::new(0);
    none.lookup(0.0, &"a");
    none.complete(0.0, &"a", Some((1, 100.0)));
    assert_eq!((none.lookup(0.0, &"a"), none.len()), (Lookup::Miss, 0));
}

#[test]
fn oldest_entries_are_evicted_at_capacity() {
    let mut cache = Cache::new(100);
    for n in 0..10_000 {
        cache.lookup(f64::from(n), &n);
        cache.complete(f64::from(n), &n, Some((n, 1e9)));
        assert!(cache.len() <= 100 && cache.by_sequence.len() == cache.len());
    }
    assert_eq!(cache.lookup(1e4, &9_999), Lookup::Hit(9_999));
    assert_eq!(cache.lookup(1e4, &9_899), Lookup::Miss);
}

#[test]
fn cache_control_shortens_but_never_extends_the_lifetime() {
    for (text, expected) in [
        (None, 5000.0),
        (Some("max-age=2"), 2000.0),
        (Some("public, Max-Age=60"), 5000.0),
        (Some("max-age=0"), 0.0),
        (Some("no-store"), 0.0),
        (Some("max-age=60, no-cache"), 0.0),
        (Some("max-age=often"), 0.0),
        (Some("max-age"), 0.0),
        (Some("must-revalidate"), 5000.0),
    ] {
        assert_eq!(cache_lifetime(5000.0, text), expected, "{text:?}");
    }
}
