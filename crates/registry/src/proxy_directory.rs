//! Directory that directs clients to nearby proxies.

use ivygate_cluster::{ring_position, Node, Proximity, Role};
use ivygate_control_state::{Items, Table};
use std::net::SocketAddr;

/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;
/// Minimum number of addresses in a response, as far as there are that many proxies.
const MIN_ADDRESSES: usize = 2;

/// Proxy with its sort key: near proxies first, and proxies in draining zones last, because such a zone may lose its proxies as
/// well as its servers. The ring position makes the order differ between zones.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RankedProxy {
    is_draining: bool,
    proximity: Proximity,
    position: u64,
    address: SocketAddr,
}

/// Returns the addresses of the proxies for clients in a zone of a region: the serving proxies of the region, supplemented by
/// others if there are too few. All clients of a zone get the same addresses.
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
