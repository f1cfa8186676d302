//! What the age that a store publishes with its state says of that state.

use crate::cluster::{routes, Cluster, Defect};

/// Blocks some links, submits updates, and checks each replica against the acknowledgements that its age covers.
fn assert_age_covers_acknowledgements(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut cluster = Cluster::founded(seed, Defect::None);
    let mut acknowledged_at = Vec::new();
    let mut pending = Vec::new();
    for version in 2..30_u64 {
        cluster.blocked_links.clear();
        for _ in 0..rng.usize(..10) {
            cluster.blocked_links.insert((rng.usize(..6), rng.usize(..6)));
        }
        let update = routes(version, &[("a", "/a/", version as f64)]);
        pending.push((version, cluster.submit(rng.usize(..6), update)));
        for _ in 0..rng.usize(5..60) {
            cluster.advance(20.0);
            let now = cluster.now;
            let (done, open): (Vec<_>, Vec<_>) =
                pending.iter().copied().partition(|(_, command)| cluster.acknowledged(*command));
            acknowledged_at.extend(done.iter().map(|(version, _)| (now, *version)));
            pending = open;
            for store in 0..6 {
                let Some(age_ms) = cluster.state_age_ms(store) else { continue };
                let covered = acknowledged_at.iter().filter(|(at, _)| *at <= now - age_ms);
                let newest = covered.map(|(_, version)| *version).max().unwrap_or(0) as f64;
                let known = cluster.route_timeout(store, "a").unwrap_or(0.0);
                assert!(
                    known >= newest,
                    "seed {seed}, {now} ms: store {store} has version {known} at an age of {age_ms} ms, {newest} was acknowledged"
                );
            }
        }
    }
}

#[test]
fn published_age_covers_every_acknowledgement_before_it() {
    for seed in 0..60 {
        assert_age_covers_acknowledgements(seed);
    }
}

#[test]
fn state_age_stays_low_while_all_stores_are_connected() {
    let mut cluster = Cluster::founded(3, Defect::None);
    for version in 2..20 {
        cluster.submit(version as usize % 6, routes(version, &[("a", "/a/", 1.0)]));
        for _ in 0..20 {
            cluster.advance(50.0);
            let oldest = (0..6).filter_map(|store| cluster.state_age_ms(store)).fold(0.0, f64::max);
            assert!(oldest < 1_700.0, "state age of {oldest} ms");
            assert!((0..6).all(|store| cluster.state_age_ms(store).is_some()));
        }
    }
}
