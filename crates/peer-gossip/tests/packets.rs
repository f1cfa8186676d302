//! Forged, replayed, malformed, stale and too frequent packets.

use ivygate_failure_domains::ZoneReport;
use ivygate_peer_gossip::{DropReason, Key, PeerGroup, MAX_PACKET_BYTES};

fn key(text: &str) -> Key {
    Key::new(text.as_bytes()).expect("long enough")
}

fn group(own_id: u64, keys: &[&str]) -> PeerGroup {
    PeerGroup::new(own_id, keys.iter().map(|text| key(text)).collect())
}

const OLD_KEY: &str = "an old key that was long in use";
const NEW_KEY: &str = "a new key that nobody knows yet\n";

fn tallies(count: usize) -> Vec<(String, ZoneReport)> {
    (0..count)
        .map(|n| {
            ("tiles".to_owned(), ZoneReport { zone: format!("zone-{n}").into(), successes: 3, failures: 700 })
        })
        .collect()
}

#[test]
fn packet_is_accepted_once_and_only_with_a_shared_key() {
    let (mut a, mut b) = (group(1, &[OLD_KEY]), group(2, &[OLD_KEY]));
    let packet = a.encode_packet(5_000.0, tallies(2)).expect("a key");
    assert_eq!(b.handle_packet(5_001.0, &packet), Ok((1, tallies(2))));
    assert_eq!(b.handle_packet(5_002.0, &packet), Err(DropReason::Replayed));
    assert_eq!(a.handle_packet(5_002.0, &packet), Err(DropReason::Own));
    assert_eq!(group(3, &[NEW_KEY]).handle_packet(5_001.0, &packet), Err(DropReason::Forged));
    assert_eq!(group(3, &[]).handle_packet(5_001.0, &packet), Err(DropReason::Forged));
    assert_eq!(
        group(3, &[OLD_KEY]).handle_packet(86_405_000.0, &packet),
        Err(DropReason::Stale),
        "sent a day ago"
    );
    assert!(
        group(3, &[OLD_KEY]).handle_packet(9_000.0, &packet).is_ok(),
        "clocks may differ by some seconds"
    );
    assert_eq!(b.members(5_002.0).iter().map(|m| (m.id, m.packets)).collect::<Vec<_>>(), [(1, 1)]);
    assert!(b.members(60_000.0).is_empty());
    assert_eq!(b.drop_counts().find(|(name, _)| *name == "replayed"), Some(("replayed", 1)));
    assert!(Key::new(b"  too short  ").is_err());
}

#[test]
fn keys_can_be_rotated_one_process_at_a_time() {
    let (mut old, mut both, mut new) =
        (group(1, &[OLD_KEY]), group(2, &[NEW_KEY, OLD_KEY]), group(3, &[OLD_KEY, NEW_KEY]));
    for (from, to) in [(&mut old, &mut both), (&mut new, &mut group(4, &[NEW_KEY, OLD_KEY]))] {
        let packet = from.encode_packet(1.0, tallies(1)).expect("a key");
        assert!(to.handle_packet(1.0, &packet).is_ok());
    }
    new.set_keys(vec![key(NEW_KEY)]);
    let packet = both.encode_packet(1.0, tallies(1)).expect("a key");
    assert!(new.handle_packet(1.0, &packet).is_ok());
    assert_eq!(old.handle_packet(1.0, &packet), Err(DropReason::Forged));
}

#[test]
fn packets_are_bounded_and_every_flipped_bit_is_rejected() {
    let mut a = group(1, &[OLD_KEY]);
    let long = a.encode_packet(1.0, tallies(500)).expect("a key");
    assert!(long.len() <= MAX_PACKET_BYTES);
    let (_, received) = group(2, &[OLD_KEY]).handle_packet(1.0, &long).expect("a valid packet");
    assert!(received.len() > 40 && received[..] == tallies(500)[..received.len()]);
    let packet = a.encode_packet(1.0, tallies(2)).expect("a key");
    for bit in 0..8 * packet.len() {
        let mut changed = packet.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        assert!(group(2, &[OLD_KEY]).handle_packet(1.0, &changed).is_err(), "bit {bit}");
    }
    let mut rng = fastrand::Rng::with_seed(4);
    for _ in 0..20_000 {
        let mut junk: Vec<u8> = (0..rng.usize(0..1_500)).map(|_| rng.u8(..)).collect();
        if rng.bool() && junk.len() > 4 {
            junk[..4].copy_from_slice(b"IVG1");
        }
        assert!(group(2, &[OLD_KEY]).handle_packet(1.0, &junk).is_err());
    }
    (0..packet.len()).for_each(|n| assert!(group(2, &[OLD_KEY]).handle_packet(1.0, &packet[..n]).is_err()));
}

#[test]
fn packet_rate_of_a_member_and_number_of_members_are_limited() {
    let (mut sender, mut b) = (group(1, &[OLD_KEY]), group(2, &[OLD_KEY]));
    let mut send =
        |now: f64| b.handle_packet(now, &sender.encode_packet(now, tallies(1)).expect("a key")).is_ok();
    let at_once = (0..1_000).filter(|_| send(1_000.0)).count();
    assert!((90..=110).contains(&at_once), "{at_once}");
    let in_a_second = (0..1_000).filter(|n| send(1_000.0 + f64::from(*n))).count();
    assert!((80..=120).contains(&in_a_second), "{in_a_second}");
    let mut b = group(2, &[OLD_KEY]);
    let mut send = |member: u64, now| {
        b.handle_packet(now, &group(member, &[OLD_KEY]).encode_packet(now, tallies(1)).expect("a key"))
    };
    assert!((10..1_010).filter(|member| send(*member, 1.0).is_ok()).count() == 512);
    assert_eq!(send(5_000, 2.0), Err(DropReason::TooManyMembers));
    assert!(send(5_000, 20_000.0).is_ok(), "members that were not heard for long are forgotten");
}
