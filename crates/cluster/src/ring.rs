//! Places on a ring: who watches whom.

use std::net::Ipv4Addr;

/// The place of a name on the ring.
pub fn place(name: &str) -> u64 {
    let hash = name
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    // Neighbouring names must not be neighbours on the ring.
    let mixed = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 31)
}

/// The first `count` of some machines behind a name's own place, without the machine itself.
pub fn watchers(name: &str, own: Ipv4Addr, machines: &[Ipv4Addr], count: usize) -> Vec<Ipv4Addr> {
    let from = place(name);
    let mut ring: Vec<(u64, Ipv4Addr)> = machines
        .iter()
        .filter(|ip| **ip != own)
        .map(|ip| (place(&ip.to_string()).wrapping_sub(from), *ip))
        .collect();
    ring.sort_unstable();
    ring.dedup();
    ring.into_iter().take(count).map(|(_, ip)| ip).collect()
}
