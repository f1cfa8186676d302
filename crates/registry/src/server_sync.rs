//! Update of the table of servers from a complete fetch of the platform's server list.

use crate::server_list::{ServerRecord, ServerRow};
use ivygate_control_state::{Item, Items, Table, Tables};
use serde::Deserialize;
use serde_json::Value;
use std::collections::HashSet;

/// Position of the epoch in the version of an item written by a coordinator. The lower bits contain the number of the write.
const EPOCH_SHIFT: u32 = 32;

/// Collects the changes made by a fetch.
struct ServerChanges<'a> {
    items: &'a Items,
    epoch: u64,
    version: u64,
    /// Servers changed by another coordinator since the fetch started. Such a change may be newer than the fetch, so it is left
    /// to the next fetch.
    changed_since_start: HashSet<String>,
    changes: Vec<Item>,
}

impl ServerChanges<'_> {
    /// Adds the change of one item unless it is fenced off, unchanged or changed concurrently.
    fn put(&mut self, name: &str, body: Option<Value>) {
        let current = self.items.get(Table::Servers, name);
        let is_fenced_off = current.is_some_and(|current| current.version >> EPOCH_SHIFT > self.epoch);
        let is_unchanged = current.is_some_and(|current| current.body == body);
        if !is_fenced_off && !is_unchanged && !self.changed_since_start.contains(name) {
            self.changes.push(Item::new(Table::Servers, name, self.version, body));
        }
    }
}

/// Returns the items changed by a fetch of the server list.
///
/// A write under an epoch loses against every write under a higher one. Within an epoch each write has a higher version than
/// all earlier ones, including those purged since.
pub(crate) fn server_changes(
    items: &Items,
    rows: Vec<ServerRow>,
    epoch: u64,
    writes: u32,
    change_at_start: u64,
) -> Vec<Item> {
    let epoch = epoch.min(u64::from(u32::MAX));
    let changed = items.changes_since(change_at_start, Tables::SERVERS);
    let mut changes = ServerChanges {
        items,
        epoch,
        version: epoch << EPOCH_SHIFT | u64::from(writes.saturating_add(1)),
        changed_since_start: changed.iter().map(|item| item.key.name.clone()).collect(),
        changes: Vec::new(),
    };
    let mut listed = HashSet::new();
    for row in rows {
        let known = items.body(Table::Servers, &row.id).and_then(|body| ServerRecord::deserialize(body).ok());
        if let Ok(body) = serde_json::to_value(row.to_record(known.as_ref())) {
            changes.put(&row.id, Some(body));
        }
        listed.insert(row.id);
    }
    for (name, _) in items.live(Table::Servers) {
        if !listed.contains(name) {
            changes.put(name, None);
        }
    }
    changes.changes
}
