//! Seeded simulation of a process that pulls from several parents, with virtual time. Parents are partitioned, restart and lose
//! contact with the store; the process itself pauses now and then.

use fastrand::Rng;
use fnv::FnvHasher;
use ivygate_cluster::{contact_age_on_receipt_ms, ParentSelector, QuorumContact};
use ivygate_control_state::{Item, Items, Table, Tables};
use ivygate_time::Timestamp;
use std::hash::Hasher;
use std::net::SocketAddr;

const PARENTS: usize = 4;
/// Time after which a pull is late and another parent is asked, in milliseconds.
const TIMEOUT_MS: f64 = 1_000.0;
/// Pause after a failed pull, in milliseconds.
const RETRY_PAUSE_MS: f64 = 100.0;
/// Contact age above which a parent counts as out of contact, in milliseconds.
const MAX_CONTACT_AGE_MS: f64 = 2_000.0;
/// Bound on the contact age while some parent works all the time, in milliseconds.
const MAX_REPLICA_AGE_MS: f64 = 8_800.0;

/// Digest of the selected parents and positions over all simulations. Refactoring must not change it.
const DIGEST: u64 = 0x1ee8_c284_1959_124e;

struct Parent {
    incarnation: u64,
    items: Items,
    contact: QuorumContact,
    /// `true` while it reaches the store.
    has_store_contact: bool,
    /// `true` while the pulling process reaches it.
    is_reachable: bool,
}

fn at(n: usize) -> SocketAddr {
    ([10, 0, 0, 1], n as u16 + 1).into()
}

/// Returns the number of pulls after which the contact was recent, the number of all pulls, and a digest of the selected
/// parents.
fn simulate(seed: u64) -> (u32, u32, u64) {
    let mut digest = FnvHasher::default();
    let mut rng = Rng::with_seed(seed);
    let new_parent = |incarnation| Parent {
        incarnation,
        items: Items::default(),
        contact: QuorumContact::default(),
        has_store_contact: true,
        is_reachable: true,
    };
    let mut parents: Vec<Parent> = (0..PARENTS).map(|n| new_parent(n as u64 + 1)).collect();
    let candidates: Vec<SocketAddr> = (0..PARENTS).map(at).collect();
    let (mut store, mut incarnations) = (Items::default(), 100);
    let (mut selector, mut replica, mut contact) =
        (ParentSelector::default(), Items::default(), QuorumContact::default());
    // Time since which each parent has worked without a pause of the pulling process.
    let (mut now, mut working_since) = (0.0_f64, [0.0_f64; PARENTS]);
    let (mut fresh, mut pulls) = (0, 0);
    while now < 120_000.0 {
        // Environment: changes in the store, faults, and updates of the parents that are in contact with the store.
        let change = format!("item-{}", rng.u8(..6));
        let version = store.version(Table::Tenants, &change) + 1;
        store.merge(Item::new(Table::Tenants, change, version, (rng.u8(..5) > 0).then(|| version.into())));
        if rng.u8(..12) == 0 {
            let parent = &mut parents[rng.usize(..PARENTS)];
            match rng.u8(..4) {
                0 => parent.has_store_contact = !parent.has_store_contact,
                1 => parent.is_reachable = !parent.is_reachable,
                2 => {
                    incarnations += 1;
                    *parent = new_parent(incarnations);
                }
                _ => (parent.has_store_contact, parent.is_reachable) = (true, true),
            }
        }
        for parent in parents.iter_mut().filter(|parent| parent.has_store_contact) {
            parent.contact.record(Timestamp::from_millis(now), 300.0);
            for item in store.all(Tables::all()) {
                parent.items.merge_shared(item.clone());
            }
        }
        for (since, parent) in working_since.iter_mut().zip(&parents) {
            if !(parent.has_store_contact && parent.is_reachable) {
                *since = f64::INFINITY;
            } else if since.is_infinite() {
                *since = now;
            }
        }
        // One pull.
        let next = selector.select(Timestamp::from_millis(now), &candidates).expect("a candidate");
        let (to, incarnation, since) = (next.address, next.incarnation, next.since);
        digest.write(
            format!(
                "{now:.3} {to} {incarnation} {since} {:.3}\n",
                contact.age_ms(Timestamp::from_millis(now))
            )
            .as_bytes(),
        );
        let (requested_at, parent) =
            (now, &parents[candidates.iter().position(|c| *c == to).expect("a known parent")]);
        if parent.is_reachable {
            let since = if incarnation == parent.incarnation { since } else { 0 };
            let changes = parent.items.changes_since(since, Tables::all());
            let held = if changes.is_empty() { 600.0 } else { 0.0 };
            let (age, change, incarnation, parent_items) = (
                parent.contact.age_ms(Timestamp::from_millis(now + held)),
                parent.items.last_change(),
                parent.incarnation,
                parent.items.clone(),
            );
            // The pulling process may pause before it reads the response.
            let is_paused = rng.u8(..40) == 0;
            now += held + rng.f64() * 100.0 + if is_paused { 20_000.0 } else { 0.0 };
            let age_on_receipt = contact_age_on_receipt_ms(
                Timestamp::from_millis(requested_at),
                Timestamp::from_millis(now),
                age,
                held,
            );
            let is_in_contact = selector.handle_response(
                Timestamp::from_millis(now),
                to,
                incarnation,
                change,
                age_on_receipt,
            );
            contact.record(Timestamp::from_millis(now), age_on_receipt);
            for item in changes {
                replica.merge_shared(item);
            }
            // The replica holds everything that the parent held, whichever parents were used in between.
            for item in parent_items.all(Tables::all()) {
                let had = replica.version(Table::Tenants, &item.key.name);
                assert!(had >= item.version, "seed {seed}: {} of {}", had, item.version);
            }
            // The replica's contact is never newer than that of the parent it comes from.
            assert!(
                contact.age_ms(Timestamp::from_millis(now)) <= age_on_receipt + 1e-6 && age_on_receipt >= age,
                "seed {seed}"
            );
            assert!(!is_paused || age_on_receipt >= 20_000.0, "seed {seed}: the pause counts");
            now += if is_in_contact { 5.0 } else { RETRY_PAUSE_MS };
            if is_paused {
                working_since.iter_mut().filter(|since| since.is_finite()).for_each(|since| *since = now);
            }
        } else {
            let was_refused = rng.bool();
            now += RETRY_PAUSE_MS + if was_refused { 1.0 } else { TIMEOUT_MS };
            selector.handle_failure(Timestamp::from_millis(now), to, was_refused);
        }
        pulls += 1;
        fresh += u32::from(contact.age_ms(Timestamp::from_millis(now)) < MAX_CONTACT_AGE_MS);
        if working_since.iter().any(|since| now > since + MAX_REPLICA_AGE_MS) {
            assert!(
                contact.age_ms(Timestamp::from_millis(now)) < MAX_REPLICA_AGE_MS,
                "seed {seed}: {} at {now}",
                contact.age_ms(Timestamp::from_millis(now))
            );
        }
    }
    (fresh, pulls, digest.finish())
}

#[test]
fn replica_recovers_while_one_parent_works() {
    let (mut fresh, mut pulls, mut digest) = (0, 0, 0_u64);
    for seed in 0..300 {
        let (seed_fresh, seed_pulls, seed_digest) = simulate(seed);
        (fresh, pulls, digest) =
            (fresh + seed_fresh, pulls + seed_pulls, digest.rotate_left(7) ^ seed_digest);
    }
    assert!(
        fresh > pulls / 2 && fresh < pulls,
        "some pulls must have recent contact and some not: {fresh} of {pulls}"
    );
    assert_eq!(digest, DIGEST, "{digest:#018x}");
}
