//! Heartbeats of the registry to its watchers among the other registries.

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
    /// Sends heartbeats until the process ends.
    pub async fn send_heartbeats(self: Rc<Self>) {
        loop {
            self.send_heartbeat();
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Publishes the registry's own item and sends one heartbeat to each watcher.
    fn send_heartbeat(self: &Rc<Self>) {
        let own = self.own_node();
        let entry = own.to_item(self.version.get());
        self.publish(vec![entry.clone()]);
        let live = self.registry.borrow().live_registries(&self.replica.items());
        // With too few known registries, others may not have been discovered yet, so heartbeats go to all candidates.
        let knows_others = live.len() > WATCHERS_PER_NODE;
        let targets =
            if knows_others { own.watchers(&live, WATCHERS_PER_NODE) } else { self.other_registries() };
        for watcher in targets {
            let (node, entry) = (self.clone(), entry.clone());
            tokio::task::spawn_local(async move { node.send_heartbeat_to(watcher, entry).await });
        }
    }

    async fn send_heartbeat_to(&self, watcher: Ipv4Addr, entry: Item) {
        let sent_at = self.now();
        let heartbeat = HeartbeatRequest { entry };
        let response: Result<HeartbeatResponse, RpcError> =
            self.client.post(self.registry_at(watcher), HEARTBEAT_PATH, &heartbeat, PEER_TIMEOUT).await;
        if let Ok(response) = response {
            self.record_response(watcher, sent_at);
            self.exceed_version(response.version);
        }
    }

    /// Moves the version of the own item above `version` if that is higher, which means that others assigned it or know an
    /// earlier incarnation.
    pub fn exceed_version(&self, version: u64) {
        if version > self.version.get() {
            self.version.set(version.saturating_add(1));
            self.registry.borrow_mut().record_declared_lost(self.now());
        }
    }

    /// Publishes whether this registry is ready for the coordinator role, if that has changed.
    pub fn publish_readiness(self: &Rc<Self>) {
        let is_ready = self.registry.borrow().is_ready(self.now());
        if self.is_ready.replace(is_ready) != is_ready {
            tracing::info!(is_ready, "readiness for the coordinator role changed");
            self.version.set(self.version.get() + 1);
            self.send_heartbeat();
        }
    }

    /// Notifies the watchers that this registry is shutting down.
    pub fn announce_shutdown(self: &Rc<Self>) {
        self.is_leaving.set(true);
        self.version.set(self.version.get() + 1);
        self.send_heartbeat();
    }
}
