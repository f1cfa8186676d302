//! When soft state is removed for good: tombstones of servers, and nodes that were lost long ago.

use ivygate_cluster::Node;
use ivygate_control_state::{Item, Items, Key, Table, Tables};
use ivygate_time::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// What was removed is purged after this time: no machine is cut off or paused for longer, and one that holds what was before
/// learns that it was removed.
const TOMBSTONE_RETENTION: Duration = Duration::from_millis(900_000);
/// What was purged is remembered here for this long, for replicas that purge later or never.
const PURGED_RETENTION: Duration = Duration::from_millis(3_600_000);
/// Most of that.
const MAX_PURGED: usize = 20_000;
/// Interval in which items to purge are looked for.
const PURGE_INTERVAL: Duration = Duration::from_millis(1_000);

/// An item that was purged.
#[derive(Clone, Debug)]
struct PurgedItem {
    last: Arc<Item>,
    at: Timestamp,
}

/// The tombstones that one registry has seen.
#[derive(Debug)]
pub(crate) struct TombstoneTracker {
    /// When each removed item was first seen.
    first_seen: BTreeMap<Key, Timestamp>,
    purged: BTreeMap<Key, PurgedItem>,
    last_purge_at: Timestamp,
}

impl TombstoneTracker {
    /// A registry that has seen none.
    pub fn new() -> Self {
        Self { first_seen: BTreeMap::new(), purged: BTreeMap::new(), last_purge_at: Timestamp::DISTANT_PAST }
    }

    /// The version under which an item was purged here; 0 if it was not.
    pub fn purged_version(&self, key: &Key) -> u64 {
        self.purged.get(key).map_or(0, |purged| purged.last.version)
    }

    /// The keys of items that were removed so long ago that they may be purged.
    pub fn purgeable_keys(&mut self, now: Timestamp, items: &Items) -> Vec<Key> {
        if now < self.last_purge_at + PURGE_INTERVAL {
            return Vec::new();
        }
        self.last_purge_at = now;
        let seen_before = std::mem::take(&mut self.first_seen);
        self.purged.retain(|_, purged| now < purged.at + PURGED_RETENTION);
        let mut purgeable_keys = Vec::new();
        for item in items.all(Tables::SOFT).filter(|item| is_removed(item)) {
            let since = seen_before.get(&item.key).copied().unwrap_or(now);
            if now <= since + TOMBSTONE_RETENTION {
                self.first_seen.insert(item.key.clone(), since);
                continue;
            }
            if self.purged.len() < MAX_PURGED {
                self.purged.insert(item.key.clone(), PurgedItem { last: item.clone(), at: now });
            }
            purgeable_keys.push(item.key.clone());
        }
        purgeable_keys
    }

    /// What to merge of an item that another registry sends: the item itself, unless it was purged here. Then nothing, or,
    /// where the other holds an older version, the last one.
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
