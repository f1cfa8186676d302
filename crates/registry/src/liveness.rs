//! Failure detection of nodes by their heartbeats.
//!
//! Each node is watched by [`WATCHERS_PER_NODE`] registries, which are assigned by the hash ring. A watcher that has received
//! no heartbeat from a node for the timeout declares the node lost. Missing heartbeats do not count while the registry itself
//! was paused, was out of contact with the store, or has just become the node's watcher.

use ivygate_cluster::Node;
use ivygate_control_state::{Item, Items, Table};
use ivygate_time::{millis, Timestamp};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Number of registries that watch a node.
pub const WATCHERS_PER_NODE: usize = 2;
/// Time without a heartbeat after which a node is lost.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_900);
/// Time between two ticks from which the process counts as paused. Heartbeats missed during a pause do not count.
const PAUSE_DETECTION_THRESHOLD: Duration = Duration::from_millis(600);
/// Contact age from which the registry counts as partitioned itself. Heartbeats missed during a partition do not count.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest interval between contacts with the store in normal operation. After a longer gap, this machine may have been
/// partitioned briefly, so silent nodes get [`CONTACT_GAP_GRACE`].
const MAX_CONTACT_GAP: Duration = Duration::from_millis(1_400);
/// Time that silent nodes get after a contact gap, enough for one more heartbeat.
const CONTACT_GAP_GRACE: Duration = Duration::from_millis(800);
/// Time after a node's last heartbeat at which its next one is missing, including a slow delivery. A node is declared lost only
/// if there was contact with the store after that.
const MISSING_HEARTBEAT_TIME: Duration = Duration::from_millis(1_000);
/// Time within which a node learns of a new watcher: one more heartbeat and its response.
const WATCH_HANDOVER_TIME: Duration = Duration::from_millis(1_000);
/// Interval of the search for nodes that have never sent a heartbeat to this registry.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Tracks the heartbeats received by one registry.
#[derive(Debug)]
pub(crate) struct LivenessTracker {
    own_ip: Ipv4Addr,
    last_tick_at: Option<Timestamp>,
    last_contact_at: Timestamp,
    is_out_of_contact: bool,
    last_discovery_at: Timestamp,
    /// Registries that were up at the last search for nodes.
    ring: Vec<Ipv4Addr>,
    /// Time of the last heartbeat by node. A node without one gets the time at which the watch begins, and pauses and handovers
    /// move the time forward.
    last_heard: BTreeMap<String, Timestamp>,
}

impl LivenessTracker {
    /// Creates the tracker of a registry that has received no heartbeat.
    pub fn new(own_ip: Ipv4Addr) -> Self {
        Self {
            own_ip,
            last_tick_at: None,
            last_contact_at: Timestamp::DISTANT_PAST,
            is_out_of_contact: true,
            last_discovery_at: Timestamp::DISTANT_PAST,
            ring: Vec::new(),
            last_heard: BTreeMap::new(),
        }
    }

    /// Returns whether the registry was out of contact with the store at its last tick, so that its view of others may be
    /// stale.
    pub fn is_out_of_contact(&self) -> bool {
        self.is_out_of_contact
    }

    /// Records a heartbeat of a node.
    pub fn record_heartbeat(&mut self, now: Timestamp, name: &str) {
        self.last_heard.insert(name.to_owned(), now);
    }

    /// Handles that other registries have declared this registry lost or know an earlier incarnation of it. Nodes that learned
    /// of that send their heartbeats to other registries until this one is known to be back.
    pub fn record_declared_lost(&mut self, now: Timestamp) {
        for last in self.last_heard.values_mut() {
            *last = now + WATCH_HANDOVER_TIME;
        }
    }

    /// Advances the time and returns the items of nodes that are newly lost. `contact_age_ms` is the time since the last
    /// confirmed contact with the store, in milliseconds.
    pub fn tick(
        &mut self,
        now: Timestamp,
        contact_age_ms: f64,
        items: &Items,
        live_registries: Vec<Ipv4Addr>,
    ) -> Vec<Item> {
        let was_paused =
            self.last_tick_at.replace(now).is_some_and(|last| now > last + PAUSE_DETECTION_THRESHOLD);
        self.is_out_of_contact = contact_age_ms > millis(CONTACT_TIMEOUT);
        if was_paused || self.is_out_of_contact {
            self.last_heard.values_mut().for_each(|last| *last = now);
        }
        let contact_at = now.minus_millis(contact_age_ms);
        if contact_at > self.last_contact_at + MAX_CONTACT_GAP {
            let grace = now + CONTACT_GAP_GRACE - HEARTBEAT_TIMEOUT;
            self.last_heard.values_mut().for_each(|last| *last = last.max(grace));
        }
        self.last_contact_at = self.last_contact_at.max(contact_at);
        self.discover(now, items, live_registries);
        self.declare_lost(now, contact_at, items)
    }

    /// Returns the items of the nodes whose heartbeats have timed out.
    fn declare_lost(&mut self, now: Timestamp, contact_at: Timestamp, items: &Items) -> Vec<Item> {
        let silent = self.last_heard.iter().filter(|(_, last)| now > **last + HEARTBEAT_TIMEOUT);
        let silent: Vec<(String, Timestamp)> = silent.map(|(name, last)| (name.clone(), *last)).collect();
        let mut lost = Vec::new();
        for (name, last_heard) in silent {
            let Some((version, node)) = self.watched_node(items, &name) else {
                self.last_heard.remove(&name);
                continue;
            };
            if contact_at < last_heard + MISSING_HEARTBEAT_TIME {
                continue;
            }
            self.last_heard.remove(&name);
            lost.push(Node { lost: true, ready: false, ..node }.to_item(version.saturating_add(1)));
        }
        lost
    }

    /// Returns a node and the version of its item if this registry is one of its watchers and it is not lost.
    fn watched_node(&self, items: &Items, name: &str) -> Option<(u64, Node)> {
        let item = items.get(Table::Nodes, name)?;
        let node = Node::from_body(item.body.as_ref()?)?;
        let is_watched = !node.lost && self.watches(&node, &self.ring);
        is_watched.then_some((item.version, node))
    }

    fn watches(&self, node: &Node, registries: &[Ipv4Addr]) -> bool {
        node.watchers(registries, WATCHERS_PER_NODE).contains(&self.own_ip)
    }

    /// Starts watching nodes that have never sent a heartbeat here. Their earlier watchers may have failed together with them.
    fn discover(&mut self, now: Timestamp, items: &Items, registries: Vec<Ipv4Addr>) {
        let has_ring_changed = registries != self.ring;
        if !has_ring_changed && now < self.last_discovery_at + DISCOVERY_INTERVAL {
            return;
        }
        self.last_discovery_at = now;
        for (name, body) in items.live(Table::Nodes) {
            if !has_ring_changed && self.last_heard.contains_key(name) {
                continue;
            }
            let Some(node) = Node::from_body(body).filter(|node| !node.lost) else { continue };
            // The node has not yet learned that this registry is now one of its watchers.
            let is_handed_over = has_ring_changed
                && !self.ring.is_empty()
                && self.watches(&node, &registries)
                && !self.watches(&node, &self.ring);
            let heard_at = now + WATCH_HANDOVER_TIME;
            if is_handed_over {
                self.last_heard.insert(name.to_owned(), heard_at);
            } else {
                self.last_heard.entry(name.to_owned()).or_insert(heard_at);
            }
        }
        self.ring = registries;
    }
}
