//! What a complete reading of the platform's list changes in the table of servers.

use crate::server_list::{ServerRecord, ServerRow};
use ivygate_control_state::{Item, Items, Table, Tables};
use serde::Deserialize;
use serde_json::Value;
use std::collections::HashSet;

/// Where the epoch stands in the version of what a coordinator writes; the number of the write is below it.
const EPOCH_SHIFT: u32 = 32;

/// The changes that a reading makes.
struct ServerChanges<'a> {
    items: &'a Items,
    epoch: u64,
    version: u64,
    /// Servers of which another coordinator has written since the reading began: that may be younger than the reading. The next
    /// reading is younger than that.
    changed_meanwhile: HashSet<String>,
    changes: Vec<Item>,
}

impl ServerChanges<'_> {
    fn put(&mut self, name: &str, body: Option<Value>) {
        let held = self.items.get(Table::Servers, name);
        let is_fenced_off = held.is_some_and(|held| held.version >> EPOCH_SHIFT > self.epoch);
        let is_unchanged = held.is_some_and(|held| held.body == body);
        if !is_fenced_off && !is_unchanged && !self.changed_meanwhile.contains(name) {
            self.changes.push(Item::new(Table::Servers, name, self.version, body));
        }
    }
}

/// The items that a reading of the list changes. What is written under an epoch loses against anything written under a higher
/// one, and each write is above all before it under the same one, also those that were purged since.
pub(crate) fn server_changes(
    items: &Items,
    rows: Vec<ServerRow>,
    epoch: u64,
    writes: u32,
    first_change: u64,
) -> Vec<Item> {
    let epoch = epoch.min(u64::from(u32::MAX));
    let changed = items.changes_since(first_change, Tables::SERVERS);
    let mut changes = ServerChanges {
        items,
        epoch,
        version: epoch << EPOCH_SHIFT | u64::from(writes.saturating_add(1)),
        changed_meanwhile: changed.iter().map(|item| item.key.name.clone()).collect(),
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
