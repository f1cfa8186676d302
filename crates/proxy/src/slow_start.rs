//! Slow start: how long each server takes to warm up, and which proxies may send to it meanwhile.
//!
//! Few proxies, chosen by the hash ring among the nearest, send anything to a server that warms up, each its part of what the
//! server takes.

use ivygate_cluster::{ring_position, Node, Proximity};
use ivygate_registry::ServerRecord;
use ivygate_time::Timestamp;
use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;
use std::time::Duration;

/// Proxies that may send to a server that warms up.
const SLOW_START_PROXIES: usize = 2;
/// Part of what such a server takes that is used: two views of who may send must not add up to too much.
const SLOW_START_RATE_RATIO: f64 = 0.8;
/// The servers of a zone whose drain has ended may have been restarted shortly before: so long the list may not tell yet.
const ZONE_RETURN_TIME: Duration = Duration::from_millis(2_500);

/// A slow start as it was told, and when it ends.
#[derive(Clone, Copy)]
struct SlowStart {
    told_s: f64,
    ends_at: Timestamp,
}

/// The slow starts that a proxy knows of.
#[derive(Default)]
pub(crate) struct SlowStarts {
    /// By server, those of the current list.
    current: HashMap<String, SlowStart>,
    /// Those of the list that is being read.
    next: HashMap<String, SlowStart>,
    draining_zones: HashSet<String>,
    /// Zones whose drain has ended, and until when their servers are taken to warm up.
    returning_zones: HashMap<String, Timestamp>,
}

impl SlowStarts {
    /// The zones that are being drained now.
    pub fn update_zones(&mut self, now: Timestamp, draining: HashSet<String>) {
        self.returning_zones.retain(|zone, until| now < *until && !draining.contains(zone));
        for zone in self.draining_zones.difference(&draining) {
            self.returning_zones.insert(zone.clone(), now + ZONE_RETURN_TIME);
        }
        self.draining_zones = draining;
    }

    /// Whether a zone is being drained.
    pub fn is_draining(&self, zone: &str) -> bool {
        self.draining_zones.contains(zone)
    }

    /// When the slow start of a listed server ends; `now` or before for one that has warmed up.
    pub fn end_of(&mut self, now: Timestamp, id: &str, server: &ServerRecord) -> Timestamp {
        let mut ends_at = now;
        if server.slow_start_s > 0.0 {
            let known = self.current.get(id).filter(|known| known.told_s == server.slow_start_s);
            ends_at = known.map_or(now.plus_millis(1000.0 * server.slow_start_s), |known| known.ends_at);
            self.next.insert(id.to_owned(), SlowStart { told_s: server.slow_start_s, ends_at });
        }
        self.returning_zones.get(&server.zone).map_or(ends_at, |until| until.max(ends_at))
    }

    /// The list was read completely: slow starts of servers that are not on it are forgotten.
    pub fn finish_list(&mut self) {
        self.current = std::mem::take(&mut self.next);
    }
}

/// A proxy as a candidate to send to a server that warms up; the nearest first.
type RankedProxy = (Proximity, u64, Ipv4Addr);

/// The part of what a server that warms up takes which a proxy may send.
pub(crate) fn slow_start_share(
    own: Ipv4Addr,
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
    let is_chosen = ranked.iter().take(SLOW_START_PROXIES).any(|(.., machine)| *machine == own);
    if is_chosen {
        SLOW_START_RATE_RATIO / SLOW_START_PROXIES.min(ranked.len()).max(1) as f64
    } else {
        0.0
    }
}
