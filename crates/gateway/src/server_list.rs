//! Updates of the server list.

use crate::api::{Action, ListKind, ServerEntry, ServerId, ServerState};
use crate::gateway::{Gateway, LIST_RETRY_TIMER};
use crate::housekeeping::SWEEP_INTERVAL;
use crate::server_record::ServerRecord;
use std::collections::BTreeSet;

impl Gateway {
    /// Applies an update of the server list.
    pub(crate) fn handle_list(&mut self, kind: ListKind, entries: &[ServerEntry], actions: &mut Vec<Action>) {
        match kind {
            ListKind::Failed => return self.retry_list(actions),
            ListKind::Full => self.remove_unlisted(entries),
            ListKind::Changes => {}
        }
        for entry in entries {
            self.update_server(entry);
        }
        self.count_ready_servers();
    }

    fn retry_list(&mut self, actions: &mut Vec<Action>) {
        if self.settings.subscribe_to_list {
            actions.push(Action::Timer { token: LIST_RETRY_TIMER, at: self.now.plus_millis(SWEEP_INTERVAL) });
        }
    }

    fn remove_unlisted(&mut self, entries: &[ServerEntry]) {
        let listed: BTreeSet<ServerId> = entries.iter().map(|entry| entry.server).collect();
        for (id, server) in &mut self.servers {
            if !listed.contains(id) {
                server.state = ServerState::Gone;
            }
        }
    }

    fn update_server(&mut self, entry: &ServerEntry) {
        let now = self.now;
        let server = self.servers.entry(entry.server).or_insert_with(|| ServerRecord::new(entry, now));
        server.state = entry.state;
        server.cell = entry.cell;
        server.distance_cost = entry.distance_cost;
        server.slow_start = entry.slow_start;
        if entry.started_at != server.started_at {
            // Estimates of the previous process do not apply to a restarted one.
            let in_flight = std::mem::take(&mut server.in_flight);
            *server = ServerRecord { in_flight, ..ServerRecord::new(entry, now) };
        }
    }

    pub(crate) fn count_ready_servers(&mut self) {
        let ready = self.servers.values().filter(|server| server.is_ready() && !self.is_zone_drained(server));
        self.ready_servers = f64::max(ready.count() as f64, 1.0);
    }

    /// Returns whether no requests may go to a server's zone. Attempts that hang there are not counted as load.
    pub(crate) fn is_zone_drained(&self, server: &ServerRecord) -> bool {
        self.zone_shares
            .iter()
            .any(|shares| shares.zone == server.zone && shares.safe.max(shares.other) <= 0.0)
    }
}
