//! Where a client is sent: proxies near it.

use ivygate_cluster::{ring_position, Node, Proximity, Role};
use ivygate_control_state::{Items, Table};
use std::net::SocketAddr;

/// Most addresses in an answer.
const MAX_ADDRESSES: usize = 64;
/// Fewest, where there are so many.
const MIN_ADDRESSES: usize = 2;

/// A proxy in the order of preference: near ones first, those of zones that are being drained last, since such a zone is about
/// to lose more than its servers. The ring's position makes the order differ between places.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RankedProxy {
    is_draining: bool,
    proximity: Proximity,
    position: u64,
    address: SocketAddr,
}

/// The proxies for a client in a zone of a region: those of the region that are serving, and where they are too few, others
/// besides. The same for all clients of a place.
pub fn proxy_addresses(items: &Items, zone: &str, region: &str) -> Vec<SocketAddr> {
    let rank = |node: &Node| {
        let address = node.http?;
        Some(RankedProxy {
            is_draining: items.body(Table::Drains, &node.zone).is_some(),
            proximity: node.proximity(zone, region),
            position: ring_position(&format!("{zone} {address}")),
            address,
        })
    };
    let serving = Node::all(items, Role::Proxy).into_iter().filter(Node::is_serving);
    let mut ranked: Vec<RankedProxy> = serving.filter_map(|node| rank(&node)).collect();
    ranked.sort_unstable();
    let is_near = |proxy: &&RankedProxy| !proxy.is_draining && proxy.proximity <= Proximity::SameRegion;
    let near = ranked.iter().filter(is_near).count();
    let count = near.clamp(MIN_ADDRESSES, MAX_ADDRESSES);
    ranked.into_iter().take(count).map(|proxy| proxy.address).collect()
}
