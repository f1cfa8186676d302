//! Packets that are forged, replayed, broken, late, or too many.

use ivygate_failure_domains::Tally;
use ivygate_peer_gossip::{DropReason, Key, PeerGroup, MAX_PACKET_BYTES};

fn key(text: &str) -> Key {
    Key::new(text.as_bytes()).expect("long enough")
}

fn group(own: u64, keys: &[&str]) -> PeerGroup {
    PeerGroup::new(own, keys.iter().map(|text| key(text)).collect())
}

const OLD: &str = "an old key that was long in use";
const NEW: &str = "a new key that nobody knows yet\n";

fn words(count: usize) -> Vec<(String, Tally)> {
    (0..count)
        .map(|n| ("tiles".to_owned(), Tally { zone: format!("zone-{n}").into(), good: 3, bad: 700 }))
        .collect()
}

#[test]
fn what_is_told_is_heard_once_and_only_with_a_key() {
    let (mut a, mut b) = (group(1, &[OLD]), group(2, &[OLD]));
    let packet = a.encode_packet(5_000.0, words(2)).expect("a key");
    assert_eq!(b.handle_packet(5_001.0, &packet), Ok((1, words(2))));
    assert_eq!(b.handle_packet(5_002.0, &packet), Err(DropReason::Replayed));
    assert_eq!(a.handle_packet(5_002.0, &packet), Err(DropReason::Own));
    assert_eq!(group(3, &[NEW]).handle_packet(5_001.0, &packet), Err(DropReason::Forged));
    assert_eq!(group(3, &[]).handle_packet(5_001.0, &packet), Err(DropReason::Forged));
    assert_eq!(group(3, &[OLD]).handle_packet(86_405_000.0, &packet), Err(DropReason::Stale), "yesterday's");
    assert!(group(3, &[OLD]).handle_packet(9_000.0, &packet).is_ok(), "clocks may stand some seconds apart");
    assert_eq!(b.members(5_002.0).iter().map(|m| (m.id, m.packets)).collect::<Vec<_>>(), [(1, 1)]);
    assert!(b.members(60_000.0).is_empty());
    assert_eq!(b.drop_counts().find(|(name, _)| *name == "replayed"), Some(("replayed", 1)));
    assert!(Key::new(b"  too short  ").is_err());
}

#[test]
fn keys_can_be_changed_one_process_after_the_other() {
    let (mut old, mut both, mut new) = (group(1, &[OLD]), group(2, &[NEW, OLD]), group(3, &[OLD, NEW]));
    for (from, to) in [(&mut old, &mut both), (&mut new, &mut group(4, &[NEW, OLD]))] {
        let packet = from.encode_packet(1.0, words(1)).expect("a key");
        assert!(to.handle_packet(1.0, &packet).is_ok());
    }
    new.set_keys(vec![key(NEW)]);
    let packet = both.encode_packet(1.0, words(1)).expect("a key");
    assert!(new.handle_packet(1.0, &packet).is_ok());
    assert_eq!(old.handle_packet(1.0, &packet), Err(DropReason::Forged));
}

#[test]
fn no_packet_is_too_long_and_each_changed_bit_is_seen() {
    let mut a = group(1, &[OLD]);
    let long = a.encode_packet(1.0, words(500)).expect("a key");
    assert!(long.len() <= MAX_PACKET_BYTES);
    let (_, told) = group(2, &[OLD]).handle_packet(1.0, &long).expect("sound");
    assert!(told.len() > 40 && told[..] == words(500)[..told.len()]);
    let packet = a.encode_packet(1.0, words(2)).expect("a key");
    for bit in 0..8 * packet.len() {
        let mut changed = packet.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        assert!(group(2, &[OLD]).handle_packet(1.0, &changed).is_err(), "bit {bit}");
    }
    let mut draw = fastrand::Rng::with_seed(4);
    for _ in 0..20_000 {
        let mut junk: Vec<u8> = (0..draw.usize(0..1_500)).map(|_| draw.u8(..)).collect();
        if draw.bool() && junk.len() > 4 {
            junk[..4].copy_from_slice(b"IVG1");
        }
        assert!(group(2, &[OLD]).handle_packet(1.0, &junk).is_err());
    }
    (0..packet.len()).for_each(|n| assert!(group(2, &[OLD]).handle_packet(1.0, &packet[..n]).is_err()));
}

#[test]
fn one_member_cannot_flood_and_members_are_bounded() {
    let (mut loud, mut b) = (group(1, &[OLD]), group(2, &[OLD]));
    let mut say = |now: f64| b.handle_packet(now, &loud.encode_packet(now, words(1)).expect("a key")).is_ok();
    let at_once = (0..1_000).filter(|_| say(1_000.0)).count();
    assert!((90..=110).contains(&at_once), "{at_once}");
    let in_a_second = (0..1_000).filter(|n| say(1_000.0 + f64::from(*n))).count();
    assert!((80..=120).contains(&in_a_second), "{in_a_second}");
    let mut b = group(2, &[OLD]);
    let mut say = |member: u64, now| {
        b.handle_packet(now, &group(member, &[OLD]).encode_packet(now, words(1)).expect("a key"))
    };
    assert!((10..1_010).filter(|member| say(*member, 1.0).is_ok()).count() == 512);
    assert_eq!(say(5_000, 2.0), Err(DropReason::TooManyMembers));
    assert!(say(5_000, 20_000.0).is_ok(), "those of old are forgotten");
}
