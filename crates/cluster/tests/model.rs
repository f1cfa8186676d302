//! Plays of a process that follows parents which are cut off, stand still, restart and lose touch with the core, while it
//! stands still itself now and then. Seeded; time is counted, not waited for.

use fastrand::Rng;
use fnv::FnvHasher;
use ivygate_cluster::{contact_age_on_receipt_ms, ParentSelector, QuorumContact};
use ivygate_control_state::{Item, Items, Table, Tables};
use ivygate_time::Timestamp;
use std::hash::Hasher;
use std::net::SocketAddr;

const PARENTS: usize = 4;
/// The whole wait for an answer, as the caller of pulls has it, and the pause after a failure.
const WAIT: f64 = 1_400.0;
const PAUSE: f64 = 100.0;
/// Control state older than this is that of a parent out of touch; a pull that is held and its way back are not in it.
const OLD: f64 = 3_500.0;
const HELD: f64 = 800.0;
/// While some parent is sound all the time, no contact gets older than this: it is `OLD` before a parent is left, and then
/// three others may be mute.
const OLDEST: f64 = OLD + HELD + 3.0 * (WAIT + PAUSE);

/// Whom followers ask for what over these plays; a change of names or shape leaves it as it is.
const DIGEST: u64 = 0x1fcb_0a3c_4e38_a4ec;

struct Parent {
    life: u64,
    items: Items,
    contact: QuorumContact,
    /// Its ways to the core and to the follower.
    touches: bool,
    reached: bool,
}

fn at(n: usize) -> SocketAddr {
    ([10, 0, 0, 1], n as u16 + 1).into()
}

/// How often the follower was in touch, of all turns, and a digest of whom it asked for what.
fn play(seed: u64) -> (u32, u32, u64) {
    let mut digest = FnvHasher::default();
    let mut rng = Rng::with_seed(seed);
    let parent = |life| Parent {
        life,
        items: Items::default(),
        contact: QuorumContact::default(),
        touches: true,
        reached: true,
    };
    let mut parents: Vec<Parent> = (0..PARENTS).map(|n| parent(n as u64 + 1)).collect();
    let candidates: Vec<SocketAddr> = (0..PARENTS).map(at).collect();
    let (mut core, mut lives) = (Items::default(), 100);
    let (mut follower, mut copy, mut contact) =
        (ParentSelector::default(), Items::default(), QuorumContact::default());
    // Since when each parent is sound and nothing stood still.
    let (mut now, mut sound_since) = (0.0_f64, [0.0_f64; PARENTS]);
    let (mut fresh, mut turns) = (0, 0);
    while now < 120_000.0 {
        // The world: changes of the core, faults, and parents that keep up as far as they are in touch.
        let change = format!("item-{}", rng.u8(..6));
        let version = core.version(Table::Tenants, &change) + 1;
        core.merge(Item::new(Table::Tenants, change, version, (rng.u8(..5) > 0).then(|| version.into())));
        if rng.u8(..12) == 0 {
            let one = &mut parents[rng.usize(..PARENTS)];
            match rng.u8(..4) {
                0 => one.touches = !one.touches,
                1 => one.reached = !one.reached,
                2 => {
                    lives += 1;
                    *one = parent(lives);
                }
                _ => (one.touches, one.reached) = (true, true),
            }
        }
        for parent in parents.iter_mut().filter(|parent| parent.touches) {
            parent.contact.record(Timestamp::from_millis(now), 300.0);
            for item in core.all(Tables::all()) {
                parent.items.merge_shared(item.clone());
            }
        }
        for (since, parent) in sound_since.iter_mut().zip(&parents) {
            if !(parent.touches && parent.reached) {
                *since = f64::INFINITY;
            } else if since.is_infinite() {
                *since = now;
            }
        }
        // One pull.
        let next = follower.select(Timestamp::from_millis(now), &candidates).expect("there are candidates");
        let (to, life, since) = (next.address, next.incarnation, next.since);
        digest.write(
            format!("{now:.3} {to} {life} {since} {:.3}\n", contact.age_ms(Timestamp::from_millis(now)))
                .as_bytes(),
        );
        let (asked, one) = (now, &parents[candidates.iter().position(|c| *c == to).expect("one of them")]);
        if one.reached {
            let since = if life == one.life { since } else { 0 };
            let news = one.items.changes_since(since, Tables::all());
            let held = if news.is_empty() { 600.0 } else { 0.0 };
            let (age, change, life, mine) = (
                one.contact.age_ms(Timestamp::from_millis(now + held)),
                one.items.last_change(),
                one.life,
                one.items.clone(),
            );
            // The follower may stand still before it reads.
            let frozen = rng.u8(..40) == 0;
            now += held + rng.f64() * 100.0 + if frozen { 20_000.0 } else { 0.0 };
            let read = contact_age_on_receipt_ms(
                Timestamp::from_millis(asked),
                Timestamp::from_millis(now),
                age,
                held,
            );
            let in_touch = follower.handle_response(Timestamp::from_millis(now), to, life, change, read);
            contact.record(Timestamp::from_millis(now), read);
            for item in news {
                copy.merge_shared(item);
            }
            // Nothing that the parent had is lacking, whoever was asked in between.
            for item in mine.all(Tables::all()) {
                let had = copy.version(Table::Tenants, &item.key.name);
                assert!(had >= item.version, "seed {seed}: {} of {}", had, item.version);
            }
            // Its contact is never younger than that of whom it rests on.
            assert!(contact.age_ms(Timestamp::from_millis(now)) <= read + 1e-6 && read >= age, "seed {seed}");
            assert!(!frozen || read >= 20_000.0, "seed {seed}: what stood still counts");
            now += if in_touch { 5.0 } else { PAUSE };
            if frozen {
                sound_since.iter_mut().filter(|since| since.is_finite()).for_each(|since| *since = now);
            }
        } else {
            let gone = rng.bool();
            now += PAUSE + if gone { 1.0 } else { WAIT };
            follower.handle_failure(Timestamp::from_millis(now), to, gone);
        }
        turns += 1;
        fresh += u32::from(contact.age_ms(Timestamp::from_millis(now)) < OLD);
        if sound_since.iter().any(|since| now > since + OLDEST) {
            assert!(
                contact.age_ms(Timestamp::from_millis(now)) < OLDEST,
                "seed {seed}: {} at {now}",
                contact.age_ms(Timestamp::from_millis(now))
            );
        }
    }
    (fresh, turns, digest.finish())
}

#[test]
fn replica_recovers_while_one_parent_is_sound() {
    let (mut fresh, mut turns, mut digest) = (0, 0, 0_u64);
    for seed in 0..300 {
        let (of, all, asked) = play(seed);
        (fresh, turns, digest) = (fresh + of, turns + all, digest.rotate_left(7) ^ asked);
    }
    assert!(fresh > turns / 2 && fresh < turns, "both happen: {fresh} of {turns}");
    assert_eq!(digest, DIGEST, "{digest:#018x}");
}
