//! Slow start of servers: the remaining warm-up time of each server, and the rate at which proxies may send to it meanwhile.
//!
//! During the slow start only a few proxies send requests to a server, each at its share of the server's rate. They are chosen
//! by the hash ring from the nearest proxies.

use ivygate_cluster::{ring_position, Node, Proximity};
use ivygate_registry::ServerRecord;
use ivygate_time::Timestamp;
use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;
use std::time::Duration;

/// Number of proxies that may send to a server in slow start.
const SLOW_START_PROXIES: usize = 2;
/// Fraction of the rate of a server in slow start that is used. The margin covers proxies with different views of which of them
/// are chosen.
const SLOW_START_RATE_RATIO: f64 = 0.8;
/// Time after the end of a zone's drain during which its servers count as being in slow start. They may have been restarted
/// shortly before, and the server list may not show that yet.
const ZONE_RETURN_TIME: Duration = Duration::from_millis(2_500);

/// Slow start of a server: its listed duration and its end.
#[derive(Clone, Copy)]
struct SlowStart {
    listed_s: f64,
    ends_at: Timestamp,
}

/// Slow starts known to a proxy.
#[derive(Default)]
pub(crate) struct SlowStarts {
    /// Slow starts in the current list, by server ID.
    current: HashMap<String, SlowStart>,
    /// Slow starts in the list that is being processed.
    next: HashMap<String, SlowStart>,
    draining_zones: HashSet<String>,
    /// Zones whose drain has ended, with the time until which their servers count as being in slow start.
    returning_zones: HashMap<String, Timestamp>,
}

impl SlowStarts {
    /// Updates the set of draining zones.
    pub fn update_zones(&mut self, now: Timestamp, draining: HashSet<String>) {
        self.returning_zones.retain(|zone, until| now < *until && !draining.contains(zone));
        for zone in self.draining_zones.difference(&draining) {
            self.returning_zones.insert(zone.clone(), now + ZONE_RETURN_TIME);
        }
        self.draining_zones = draining;
    }

    /// Returns whether a zone is draining.
    pub fn is_draining(&self, zone: &str) -> bool {
        self.draining_zones.contains(zone)
    }

    /// Returns the end of a listed server's slow start; `now` or earlier if it is over.
    pub fn end_of(&mut self, now: Timestamp, id: &str, server: &ServerRecord) -> Timestamp {
        let mut ends_at = now;
        if server.slow_start_s > 0.0 {
            let known = self.current.get(id).filter(|known| known.listed_s == server.slow_start_s);
            ends_at = known.map_or(now.plus_millis(1000.0 * server.slow_start_s), |known| known.ends_at);
            self.next.insert(id.to_owned(), SlowStart { listed_s: server.slow_start_s, ends_at });
        }
        self.returning_zones.get(&server.zone).map_or(ends_at, |until| until.max(ends_at))
    }

    /// Completes the processing of a list and drops the slow starts of servers that are not in it.
    pub fn finish_list(&mut self) {
        self.current = std::mem::take(&mut self.next);
    }
}

/// Sort key of a proxy as a candidate to send to a server in slow start, the nearest first.
type RankedProxy = (Proximity, u64, Ipv4Addr);

/// Returns the fraction of the rate of a server in slow start at which this proxy may send.
pub(crate) fn slow_start_share(
    own_ip: Ipv4Addr,
    id: &str,
    server: &ServerRecord,
    region: &str,
    proxies: &[Node],
) -> f64 {
    let rank = |node: &Node| -> RankedProxy {
        (node.proximity(&server.zone, region), ring_position(&format!("{id} {}", node.ip)), node.ip)
    };
    let mut ranked: Vec<RankedProxy> = proxies.iter().filter(|node| node.is_serving()).map(rank).collect();
    ranked.sort_unstable();
    let is_chosen = ranked.iter().take(SLOW_START_PROXIES).any(|(.., machine)| *machine == own_ip);
    if is_chosen {
        SLOW_START_RATE_RATIO / SLOW_START_PROXIES.min(ranked.len()).max(1) as f64
    } else {
        0.0
    }
}
