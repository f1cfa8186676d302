//! Hash ring that assigns watching registries to nodes. All processes, including those of other versions, must compute the same
//! positions.

use fnv::FnvHasher;
use std::hash::Hasher;
use std::net::Ipv4Addr;

/// Returns the position of a name on the ring.
pub fn ring_position(name: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    let hash = hasher.finish();
    // FNV places similar names close together; the final mixing spreads them over the ring.
    let mixed = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 31)
}

/// Returns the first `count` of `machines` that follow a name's position on the ring, excluding the machine `own`.
pub fn watchers(name: &str, own: Ipv4Addr, machines: &[Ipv4Addr], count: usize) -> Vec<Ipv4Addr> {
    let start = ring_position(name);
    let mut ring: Vec<(u64, Ipv4Addr)> = machines
        .iter()
        .filter(|machine| **machine != own)
        .map(|machine| (ring_position(&machine.to_string()).wrapping_sub(start), *machine))
        .collect();
    ring.sort_unstable();
    ring.dedup();
    ring.into_iter().take(count).map(|(_, machine)| machine).collect()
}
