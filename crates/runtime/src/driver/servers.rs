//! Updates of the list of servers.

use super::{Driver, State};
use crate::server_list::{ListedServerState, ServerListUpdate};
use ivygate_gateway::{Event, ListKind, ServerEntry, ServerId, ServerState};
use ivygate_time::Timestamp;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// A server on the list.
pub(super) struct KnownServer {
    pub uid: String,
    pub address: SocketAddr,
    pub state: ListedServerState,
}

impl Driver {
    /// Applies an update of the server list.
    pub fn update_servers(self: &Rc<Self>, update: ServerListUpdate) {
        let mut state = self.state.borrow_mut();
        let kind = if update.all { ListKind::Full } else { ListKind::Changes };
        if update.all {
            let listed: HashSet<&str> = update.targets.iter().map(|t| t.uid.as_str()).collect();
            let removed: Vec<_> = state
                .servers
                .iter()
                .filter(|(_, s)| !listed.contains(s.uid.as_str()))
                .map(|(id, _)| *id)
                .collect();
            for server in removed {
                self.remove(&mut state, server);
            }
        }
        let mut entries = Vec::with_capacity(update.targets.len());
        for target in update.targets {
            let known = state.server_ids.get(&target.uid).copied();
            let is_deleted = target.state == ListedServerState::Deleted;
            let server = match known {
                Some(server) => server,
                None if is_deleted => continue,
                None => {
                    state.last_server_id += 1;
                    state.last_server_id
                }
            };
            entries.push(ServerEntry {
                server,
                zone: target.az,
                cell: target.pod_group,
                state: match target.state {
                    ListedServerState::Serving => ServerState::Ready,
                    ListedServerState::Draining => ServerState::Draining,
                    ListedServerState::Deleted => ServerState::Gone,
                },
                weight: target.capacity_hint,
                started_at: Some(target.boot_ms).filter(|ms| *ms > 0.0).map(Timestamp::from_millis),
                distance_cost: target.distance_cost,
                slow_start: target.slow_start,
            });
            match target.endpoint {
                Some(address) if !is_deleted => {
                    if target.state == ListedServerState::Draining {
                        self.upstream.close_idle(server);
                    }
                    state.server_ids.insert(target.uid.clone(), server);
                    let known = KnownServer { uid: target.uid, address, state: target.state };
                    state.servers.insert(server, known);
                }
                _ => self.remove(&mut state, server),
            }
        }
        state.events.push_back(Event::List { kind, servers: entries.into() });
        self.process_events(&mut state);
    }

    fn remove(&self, state: &mut State, server: ServerId) {
        self.upstream.close_idle(server);
        if let Some(known) = state.servers.remove(&server) {
            state.server_ids.remove(&known.uid);
        }
    }
}
