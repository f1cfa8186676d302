//! One registry, as a state machine without I/O: heartbeats, the coordinator role, the table of servers, and the removal of soft
//! state. The items that it knows are passed in; what changes comes out.

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

/// One registry.
#[derive(Debug)]
pub struct Registry {
    own: Ipv4Addr,
    coordinator: Coordinator,
    liveness: LivenessTracker,
    tombstones: TombstoneTracker,
}

impl Registry {
    /// A registry on a machine, which has heard nothing yet.
    pub fn new(own: Ipv4Addr) -> Self {
        Self {
            own,
            coordinator: Coordinator::new(own),
            liveness: LivenessTracker::new(own),
            tombstones: TombstoneTracker::new(),
        }
    }

    /// Handles a heartbeat; gives the node's item if it is new, and the answer.
    pub fn handle_heartbeat(
        &mut self,
        now: Timestamp,
        items: &Items,
        heartbeat: HeartbeatRequest,
    ) -> (Option<Item>, HeartbeatResponse) {
        let entry = heartbeat.entry;
        // A registry out of contact may know of registries that are gone: the node is to ask more of them.
        let is_out_of_contact = self.liveness.is_out_of_contact();
        let registries = if is_out_of_contact { Vec::new() } else { self.live_registries(items) };
        let purged_version = self.tombstones.purged_version(&entry.key);
        self.liveness.record_heartbeat(now, &entry.key.name);
        let (newer, version) = match items.get(Table::Nodes, &entry.key.name) {
            // Replicas that purge nothing may hold more: the node goes above that.
            None if purged_version >= entry.version => (None, purged_version),
            Some(known) if known.version > entry.version => (None, known.version),
            Some(known) if known.version == entry.version && known.body == entry.body => {
                (None, known.version)
            }
            // Another incarnation of the node used this version for another content: the node goes above it.
            Some(known) if known.version == entry.version => (None, known.version + 1),
            _ => {
                let version = entry.version;
                (Some(entry), version)
            }
        };
        (newer, HeartbeatResponse { version, registries })
    }

    /// Registries that are up, with this one, in order.
    pub fn live_registries(&self, items: &Items) -> Vec<Ipv4Addr> {
        let up = Node::all(items, Role::Registry).into_iter().filter(Node::is_up).map(|node| node.ip);
        let mut all: Vec<Ipv4Addr> = up.chain([self.own]).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Time has passed; gives the items of nodes that are lost by that. `contact_age_ms` tells how long ago there was surely
    /// contact with the store: a registry that is cut off itself hears nobody, and declares nobody lost.
    pub fn tick(&mut self, now: Timestamp, contact_age_ms: f64, items: &Items) -> Vec<Item> {
        let registries = self.live_registries(items);
        self.liveness.tick(now, contact_age_ms, items, registries)
    }

    /// Others have declared this registry lost, or know an earlier incarnation of it.
    pub fn record_declared_lost(&mut self, now: Timestamp) {
        self.liveness.record_declared_lost(now);
    }

    /// Whether to ask for the coordinator role now. `core` names the members of the store.
    pub fn should_acquire_role(&mut self, now: Timestamp, items: &Items, core: &[Ipv4Addr]) -> bool {
        let registries = self.live_registries(items);
        self.coordinator.should_acquire(now, items, &registries, core)
    }

    /// The acquisition that was begun at `asked` was answered by an epoch.
    pub fn handle_role_acquired(&mut self, asked: Timestamp, now: Timestamp, epoch: u64) {
        self.coordinator.handle_acquired(asked, now, epoch);
    }

    /// The acquisition that was begun at `asked` was rejected, or not answered.
    pub fn handle_acquisition_failed(&mut self, asked: Timestamp, now: Timestamp) {
        self.coordinator.handle_failure(asked, now);
    }

    /// The epoch under which it has the coordinator role, or last had it; 0 for none.
    pub fn epoch(&self) -> u64 {
        self.coordinator.epoch()
    }

    /// Whether it has the coordinator role, as far as it can know.
    pub fn holds_role(&self, items: &Items) -> bool {
        self.coordinator.holds(items)
    }

    /// The platform's list was read completely; gives the items that change by that. There are none where the role was lost
    /// meanwhile, or where the reading is an old one.
    pub fn apply_server_list(
        &mut self,
        now: Timestamp,
        items: &Items,
        reading: ServerListFetch,
    ) -> Vec<Item> {
        let Some(writes) = self.coordinator.writes() else { return Vec::new() };
        let epoch = self.coordinator.epoch();
        let first_change = reading.first_change();
        let rows = reading.into_rows(now, epoch).filter(|_| self.holds_role(items));
        let Some(rows) = rows else { return Vec::new() };
        let changes = server_changes(items, rows, epoch, writes, first_change);
        if !changes.is_empty() {
            self.coordinator.note_write();
        }
        changes
    }

    /// The keys of soft state that was removed so long ago that it may be purged.
    pub fn purgeable_keys(&mut self, now: Timestamp, items: &Items) -> Vec<Key> {
        self.tombstones.purgeable_keys(now, items)
    }

    /// What to merge of an item that another registry sends.
    pub fn filter_received(&self, item: Arc<Item>) -> Option<Arc<Item>> {
        self.tombstones.filter_received(item)
    }
}
