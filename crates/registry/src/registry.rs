//! State machine of one registry without I/O: heartbeats, the coordinator role, the table of servers, and the removal of soft
//! state. The caller passes the known items; methods return the changed items.

use crate::coordinator::Coordinator;
use crate::liveness::LivenessTracker;
use crate::messages::{HeartbeatRequest, HeartbeatResponse};
use crate::server_list::ServerListFetch;
use crate::server_sync::server_changes;
use crate::tombstones::TombstoneTracker;
use ivygate_cluster::{Node, Role};
use ivygate_control_state::{Item, Items, Key, Table};
use ivygate_time::Timestamp;
use std::net::Ipv4Addr;
use std::sync::Arc;

/// State machine of one registry.
#[derive(Debug)]
pub struct Registry {
    own_ip: Ipv4Addr,
    coordinator: Coordinator,
    liveness: LivenessTracker,
    tombstones: TombstoneTracker,
}

impl Registry {
    /// Creates the registry of a machine, without any received heartbeat.
    pub fn new(own_ip: Ipv4Addr) -> Self {
        Self {
            own_ip,
            coordinator: Coordinator::new(own_ip),
            liveness: LivenessTracker::new(own_ip),
            tombstones: TombstoneTracker::new(),
        }
    }

    /// Handles a heartbeat. Returns the node's item if it is new, and the response.
    pub fn handle_heartbeat(
        &mut self,
        now: Timestamp,
        items: &Items,
        heartbeat: HeartbeatRequest,
    ) -> (Option<Item>, HeartbeatResponse) {
        let entry = heartbeat.entry;
        // A registry out of contact may list registries that are gone. Without a list, the node sends heartbeats to more of
        // them.
        let is_out_of_contact = self.liveness.is_out_of_contact();
        let registries = if is_out_of_contact { Vec::new() } else { self.live_registries(items) };
        let purged_version = self.tombstones.purged_version(&entry.key);
        self.liveness.record_heartbeat(now, &entry.key.name);
        let (newer, version) = match items.get(Table::Nodes, &entry.key.name) {
            // Other replicas may still hold the purged version, so the node must move above it.
            None if purged_version >= entry.version => (None, purged_version),
            Some(current) if current.version > entry.version => (None, current.version),
            Some(current) if current.version == entry.version && current.body == entry.body => {
                (None, current.version)
            }
            // Another incarnation of the node used this version for different content, so the node must move above it.
            Some(current) if current.version == entry.version => (None, current.version + 1),
            _ => {
                let version = entry.version;
                (Some(entry), version)
            }
        };
        (newer, HeartbeatResponse { version, registries })
    }

    /// Returns the registries that are up, including this one, ordered by address.
    pub fn live_registries(&self, items: &Items) -> Vec<Ipv4Addr> {
        let up = Node::all(items, Role::Registry).into_iter().filter(Node::is_up).map(|node| node.ip);
        let mut all: Vec<Ipv4Addr> = up.chain([self.own_ip]).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Advances the time and returns the items of nodes that are newly lost. `contact_age_ms` is the time since the last
    /// confirmed contact with the store in milliseconds; a registry that is partitioned itself declares no node lost.
    pub fn tick(&mut self, now: Timestamp, contact_age_ms: f64, items: &Items) -> Vec<Item> {
        let registries = self.live_registries(items);
        self.liveness.tick(now, contact_age_ms, items, registries)
    }

    /// Handles that other registries have declared this registry lost or know an earlier incarnation of it.
    pub fn record_declared_lost(&mut self, now: Timestamp) {
        self.liveness.record_declared_lost(now);
    }

    /// Returns whether the registry should request the coordinator role now. `store_members` are the machines of the store's
    /// members.
    pub fn should_acquire_role(&mut self, now: Timestamp, items: &Items, store_members: &[Ipv4Addr]) -> bool {
        let candidates = self.role_candidates(now, items, store_members);
        self.coordinator.should_acquire(now, items, &candidates, store_members)
    }

    /// Returns the registries that may hold the coordinator role, in order: those that can acquire it as far as they know. A
    /// registry that is merely live must not keep the others from the role.
    fn role_candidates(&self, now: Timestamp, items: &Items, store_members: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
        let live = self.live_registries(items);
        let unready = self.unready_registries(now, items);
        let is_ready = |registry: &Ipv4Addr| !unready.contains(registry);
        let is_member = |registry: &Ipv4Addr| store_members.contains(registry);
        let select = |condition: &dyn Fn(&Ipv4Addr) -> bool| -> Vec<Ipv4Addr> {
            live.iter().copied().filter(condition).collect()
        };
        let by_preference = [
            select(&|registry| is_member(registry) && is_ready(registry)),
            select(&is_ready),
            select(&is_member),
        ];
        by_preference.into_iter().find(|candidates| !candidates.is_empty()).unwrap_or(live)
    }

    /// Returns the registries that are not ready for the coordinator role: the others by their own word, and this one as of
    /// now.
    fn unready_registries(&self, now: Timestamp, items: &Items) -> Vec<Ipv4Addr> {
        let nodes = Node::all(items, Role::Registry).into_iter().filter(|node| !node.ready);
        let mut unready: Vec<Ipv4Addr> = nodes.map(|node| node.ip).collect();
        unready.retain(|registry| *registry != self.own_ip);
        unready.extend((!self.is_ready(now)).then_some(self.own_ip));
        unready
    }

    /// Returns whether this registry can acquire the coordinator role as far as it knows. Its node item tells the others.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        self.coordinator.is_ready(now)
    }

    /// Handles the epoch granted for the acquisition requested at `requested_at`.
    pub fn handle_role_acquired(&mut self, requested_at: Timestamp, now: Timestamp, epoch: u64) {
        self.coordinator.handle_acquired(requested_at, now, epoch);
    }

    /// Handles a rejected or unanswered acquisition requested at `requested_at`.
    pub fn handle_acquisition_failed(&mut self, requested_at: Timestamp, now: Timestamp) {
        self.coordinator.handle_failure(requested_at, now);
    }

    /// Returns the epoch under which the coordinator role is held, or was held until a higher epoch appeared; 0 without one.
    pub fn epoch(&self) -> u64 {
        self.coordinator.epoch()
    }

    /// Returns whether this registry holds the coordinator role as far as it knows.
    pub fn holds_role(&self, items: &Items) -> bool {
        self.coordinator.holds(items)
    }

    /// Applies a complete fetch of the platform's server list and returns the changed items. There are none if the role was
    /// lost meanwhile or the fetch is out of date.
    pub fn apply_server_list(&mut self, now: Timestamp, items: &Items, fetch: ServerListFetch) -> Vec<Item> {
        let Some(writes) = self.coordinator.writes() else { return Vec::new() };
        let epoch = self.coordinator.epoch();
        let change_at_start = fetch.change_at_start();
        let rows = fetch.into_rows(now, epoch).filter(|_| self.holds_role(items));
        let Some(rows) = rows else { return Vec::new() };
        let changes = server_changes(items, rows, epoch, writes, change_at_start);
        if !changes.is_empty() {
            self.coordinator.record_write();
        }
        changes
    }

    /// Returns the keys of soft state that was removed long enough ago to be purged.
    pub fn purgeable_keys(&mut self, now: Timestamp, items: &Items) -> Vec<Key> {
        self.tombstones.purgeable_keys(now, items)
    }

    /// Returns the item to merge for an item received from another registry, if any.
    pub fn filter_received(&self, item: Arc<Item>) -> Option<Arc<Item>> {
        self.tombstones.filter_received(item)
    }
}
