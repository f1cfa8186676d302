//! Which nodes are alive, by their heartbeats.
//!
//! Each node is watched by [`WATCHERS_PER_NODE`] registries, which it finds on the hash ring. A watcher that has heard nothing of
//! a node for a while declares it lost. Silence counts for nothing while the registry itself was paused, was out of contact with
//! the store, or has just become the node's watcher.

use ivygate_cluster::Node;
use ivygate_control_state::{Item, Items, Table};
use ivygate_time::{millis, Timestamp};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

/// How many registries watch a node.
pub const WATCHERS_PER_NODE: usize = 2;
/// A node of which its watchers have heard nothing for this long is lost.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_900);
/// A tick that comes this late tells that the process was paused: what it did not hear meanwhile is no sign.
const PAUSE_DETECTION_THRESHOLD: Duration = Duration::from_millis(600);
/// A registry that is out of contact with the store for this long is cut off itself: what it does not hear is no sign either.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// In calm times there is contact at least this often. After a longer gap whoever is silent gets one more heartbeat's time: this
/// machine may have been cut off for a moment.
const MAX_CONTACT_GAP: Duration = Duration::from_millis(1_400);
const CONTACT_GAP_GRACE: Duration = Duration::from_millis(800);
/// There must have been contact since this long after a node was last heard: the first heartbeat that is missing, and a slow way
/// of it.
const MISSING_HEARTBEAT_TIME: Duration = Duration::from_millis(1_000);
/// A node learns within this time that it is to send heartbeats here now: one more heartbeat and its answer.
const WATCH_HANDOVER_TIME: Duration = Duration::from_millis(1_000);
/// Interval in which nodes are looked for that were never heard here.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(1_000);

/// The heartbeats that one registry has heard.
#[derive(Debug)]
pub(crate) struct LivenessTracker {
    own: Ipv4Addr,
    last_tick_at: Option<Timestamp>,
    last_contact_at: Timestamp,
    is_out_of_contact: bool,
    last_discovery_at: Timestamp,
    /// The registries that were up when watchers were last found.
    ring: Vec<Ipv4Addr>,
    /// When each node was last heard here, or came to be watched here without being heard.
    last_heard: BTreeMap<String, Timestamp>,
}

impl LivenessTracker {
    /// A registry that has heard nothing.
    pub fn new(own: Ipv4Addr) -> Self {
        Self {
            own,
            last_tick_at: None,
            last_contact_at: Timestamp::DISTANT_PAST,
            is_out_of_contact: true,
            last_discovery_at: Timestamp::DISTANT_PAST,
            ring: Vec::new(),
            last_heard: BTreeMap::new(),
        }
    }

    /// Whether the registry was out of contact with the store at its last tick: what it knows of others may be old.
    pub fn is_out_of_contact(&self) -> bool {
        self.is_out_of_contact
    }

    /// A node was heard.
    pub fn record_heartbeat(&mut self, now: Timestamp, name: &str) {
        self.last_heard.insert(name.to_owned(), now);
    }

    /// Others have declared this registry lost, or know an earlier incarnation of it: whoever heard that sends heartbeats to
    /// others until it is back.
    pub fn record_declared_lost(&mut self, now: Timestamp) {
        for last in self.last_heard.values_mut() {
            *last = now + WATCH_HANDOVER_TIME;
        }
    }

    /// Time has passed; gives the items of nodes that are lost by that. `contact_age_ms` tells how long ago there was surely
    /// contact with the store.
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

    /// A node that is this registry's to watch, with its version. One that sends heartbeats to others now is theirs.
    fn watched_node(&self, items: &Items, name: &str) -> Option<(u64, Node)> {
        let item = items.get(Table::Nodes, name)?;
        let node = Node::from_body(item.body.as_ref()?)?;
        let is_watched = !node.lost && self.watches(&node, &self.ring);
        is_watched.then_some((item.version, node))
    }

    fn watches(&self, node: &Node, registries: &[Ipv4Addr]) -> bool {
        node.watchers(registries, WATCHERS_PER_NODE).contains(&self.own)
    }

    /// Finds nodes that it must watch though it never heard them: those that did may be gone together with them.
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
            // The node has yet to learn that it is to send heartbeats here.
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
