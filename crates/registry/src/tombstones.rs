//! Purging of removed soft state: tombstones of servers, and nodes that were lost long ago.

use ivygate_cluster::Node;
use ivygate_control_state::{Item, Items, Key, Table, Tables};
use ivygate_time::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time after which removed items are purged. No machine is expected to be partitioned or paused for longer, so that every
/// replica learns of the removal before the purge.
const TOMBSTONE_RETENTION: Duration = Duration::from_millis(900_000);
/// Time for which purged items are remembered, for replicas that purge them later or never.
const PURGED_RETENTION: Duration = Duration::from_millis(3_600_000);
/// Maximum number of remembered purged items.
const MAX_PURGED: usize = 20_000;
/// Interval of the search for items to purge.
const PURGE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Purged item.
#[derive(Clone, Debug)]
struct PurgedItem {
    /// Last version of the item.
    last: Arc<Item>,
    purged_at: Timestamp,
}

/// Tracks the tombstones seen by one registry.
#[derive(Debug)]
pub(crate) struct TombstoneTracker {
    /// Time at which each removed item was first seen.
    first_seen: BTreeMap<Key, Timestamp>,
    purged: BTreeMap<Key, PurgedItem>,
    last_purge_at: Timestamp,
}

impl TombstoneTracker {
    /// Creates a tracker that has seen no tombstone.
    pub fn new() -> Self {
        Self { first_seen: BTreeMap::new(), purged: BTreeMap::new(), last_purge_at: Timestamp::DISTANT_PAST }
    }

    /// Returns the version under which an item was purged here; 0 if it was not.
    pub fn purged_version(&self, key: &Key) -> u64 {
        self.purged.get(key).map_or(0, |purged| purged.last.version)
    }

    /// Returns the keys of items that were removed long enough ago to be purged, and remembers these items as purged.
    pub fn purgeable_keys(&mut self, now: Timestamp, items: &Items) -> Vec<Key> {
        if now < self.last_purge_at + PURGE_INTERVAL {
            return Vec::new();
        }
        self.last_purge_at = now;
        let seen_before = std::mem::take(&mut self.first_seen);
        self.purged.retain(|_, purged| now < purged.purged_at + PURGED_RETENTION);
        let mut purgeable_keys = Vec::new();
        for item in items.all(Tables::SOFT).filter(|item| is_removed(item)) {
            let since = seen_before.get(&item.key).copied().unwrap_or(now);
            if now <= since + TOMBSTONE_RETENTION {
                self.first_seen.insert(item.key.clone(), since);
                continue;
            }
            if self.purged.len() < MAX_PURGED {
                self.purged.insert(item.key.clone(), PurgedItem { last: item.clone(), purged_at: now });
            }
            purgeable_keys.push(item.key.clone());
        }
        purgeable_keys
    }

    /// Returns the item to merge for an item received from another registry.
    ///
    /// This is the received item unless it was purged here. For a purged item it is the last version if the received one is
    /// older, and none if it is the same.
    pub fn filter_received(&self, item: Arc<Item>) -> Option<Arc<Item>> {
        match self.purged.get(&item.key) {
            Some(purged) if item.version < purged.last.version => Some(purged.last.clone()),
            Some(purged) if item.version == purged.last.version => None,
            _ => Some(item),
        }
    }
}

fn is_removed(item: &Item) -> bool {
    match item.key.table {
        Table::Servers => item.body.is_none(),
        Table::Nodes => item.body.as_ref().and_then(Node::from_body).is_none_or(|node| node.lost),
        _ => false,
    }
}
