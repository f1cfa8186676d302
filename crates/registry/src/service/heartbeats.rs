//! The registry's own heartbeats, to its watchers among the other registries.

use super::node::{RegistryNode, PEER_TIMEOUT};
use crate::liveness::WATCHERS_PER_NODE;
use crate::messages::{HeartbeatRequest, HeartbeatResponse, HEARTBEAT_PATH};
use ivygate_control_state::Item;
use ivygate_rpc::RpcError;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(600);

impl RegistryNode {
    /// Sends heartbeats for as long as the process runs.
    pub async fn send_heartbeats(self: Rc<Self>) {
        loop {
            self.send_heartbeat();
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    fn send_heartbeat(self: &Rc<Self>) {
        let own = self.own_node();
        let entry = own.to_item(self.version.get());
        self.publish(vec![entry.clone()]);
        let live = self.registry.borrow().live_registries(&self.replica.items());
        // Alone, it may not know yet who is there.
        let knows_others = live.len() > WATCHERS_PER_NODE;
        let targets =
            if knows_others { own.watchers(&live, WATCHERS_PER_NODE) } else { self.other_registries() };
        for watcher in targets {
            let (node, entry) = (self.clone(), entry.clone());
            tokio::task::spawn_local(async move { node.send_heartbeat_to(watcher, entry).await });
        }
    }

    async fn send_heartbeat_to(&self, watcher: Ipv4Addr, entry: Item) {
        let asked = self.now();
        let heartbeat = HeartbeatRequest { entry };
        let answer: Result<HeartbeatResponse, RpcError> =
            self.client.post(self.registry_at(watcher), HEARTBEAT_PATH, &heartbeat, PEER_TIMEOUT).await;
        if let Ok(response) = answer {
            self.record_answer(watcher, asked);
            self.exceed_version(response.version);
        }
    }

    /// Others know this registry under a version: one that it did not give itself is to be exceeded.
    pub fn exceed_version(&self, version: u64) {
        if version > self.version.get() {
            self.version.set(version.saturating_add(1));
            self.registry.borrow_mut().record_declared_lost(self.now());
        }
    }

    /// Tells the watchers that this registry is shutting down.
    pub fn announce_shutdown(self: &Rc<Self>) {
        self.is_leaving.set(true);
        self.version.set(self.version.get() + 1);
        self.send_heartbeat();
    }
}
