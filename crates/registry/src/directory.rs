//! Where a client is sent: proxies near it.

use ivygate_cluster::{Node, Role};
use ivygate_control_state::{Items, Table};
use std::net::SocketAddr;

/// Most addresses in an answer.
const MOST: usize = 64;
/// Fewest, where there are so many.
const FEWEST: usize = 2;

/// The proxies for a client in a zone and region: those of the region that are ready; where they are too few, others
/// besides. The same for all clients of a place, in an order that differs between places.
pub fn addresses(items: &Items, zone: &str, region: &str) -> Vec<SocketAddr> {
    let emptied = |zone: &str| items.body(Table::Drains, zone).is_some();
    let nodes = Node::all(items, Role::Proxy);
    let mut ranked: Vec<(u8, u64, SocketAddr)> = nodes
        .iter()
        .filter(|node| node.is_up() && node.ready)
        .filter_map(|node| {
            let near = match (node.zone == zone, node.region == region) {
                (true, _) => 0,
                (false, true) => 1,
                (false, false) => 2,
            };
            // An emptied zone is about to lose more than its servers.
            let rank = if emptied(&node.zone) { near + 3 } else { near };
            let http = node.http?;
            Some((rank, ivygate_cluster::place(&format!("{zone} {http}")), http))
        })
        .collect();
    ranked.sort_unstable();
    let near = ranked.iter().filter(|(rank, ..)| *rank <= 1).count();
    let count = near.clamp(FEWEST, MOST);
    ranked.into_iter().take(count).map(|(.., http)| http).collect()
}
