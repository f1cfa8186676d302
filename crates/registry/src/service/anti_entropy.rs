//! Anti-entropy between registries: they compare their soft state and exchange missing items.

use super::node::{RegistryNode, PEER_TIMEOUT};
use crate::messages::{AntiEntropyRequest, ANTI_ENTROPY_PATH};
use ivygate_control_state::{Item, Items, Tables};
use ivygate_rpc::RpcError;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Mean interval of comparisons with another registry.
const COMPARE_INTERVAL: Duration = Duration::from_millis(1_000);

impl RegistryNode {
    /// Periodically compares soft state with a random other registry until the process ends.
    pub async fn compare_replicas(self: Rc<Self>) {
        loop {
            sleep(COMPARE_INTERVAL.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
            if let Some(peer) = fastrand::choice(self.other_registries()) {
                self.compare_with(peer).await;
            }
        }
    }

    async fn compare_with(&self, peer: Ipv4Addr) {
        let digest = Some(self.replica.items().digest(Tables::SOFT));
        let sent_at = self.now();
        let request = AntiEntropyRequest { items: Vec::new(), digest };
        let Ok(received) = self.exchange(peer, &request).await else { return };
        self.record_response(peer, sent_at);
        if received.is_empty() {
            return;
        }
        let missing = self.missing_from(&received);
        self.merge_received(received);
        self.send_items(peer, missing).await;
    }

    /// Sends items to another registry. Items that do not arrive are found missing at the next comparison.
    pub async fn send_items(&self, peer: Ipv4Addr, items: Vec<Arc<Item>>) {
        let request = AntiEntropyRequest { items, digest: None };
        if let Err(error) = self.exchange(peer, &request).await {
            tracing::debug!(%peer, %error, "items not sent");
        }
    }

    async fn exchange(
        &self,
        peer: Ipv4Addr,
        request: &AntiEntropyRequest,
    ) -> Result<Vec<Arc<Item>>, RpcError> {
        self.client.post(self.registry_at(peer), ANTI_ENTROPY_PATH, request, PEER_TIMEOUT).await
    }

    /// Returns the items of this replica that are missing from another one, which holds `items`.
    fn missing_from(&self, items: &[Arc<Item>]) -> Vec<Arc<Item>> {
        let mut peer_items = Items::default();
        for item in items {
            peer_items.merge_shared(item.clone());
        }
        self.replica.items().missing_from(&peer_items, Tables::SOFT)
    }

    /// Merges soft state received from another registry. If it holds an outdated version of an item purged here, the last
    /// version is merged and reaches it at a later comparison.
    fn merge_received(&self, items: Vec<Arc<Item>>) {
        let registry = self.registry.borrow();
        let soft = items.into_iter().filter(|item| Tables::SOFT.contains(item.key.table.set()));
        self.replica.merge(soft.filter_map(|item| registry.filter_received(item)));
    }

    /// Handles soft state from another registry. Returns all soft state if the request contains a digest that differs.
    pub fn handle_anti_entropy(&self, request: AntiEntropyRequest) -> Vec<Arc<Item>> {
        self.merge_received(request.items);
        let items = self.replica.items();
        let differs = request.digest.is_some_and(|digest| digest != items.digest(Tables::SOFT));
        if differs {
            items.all(Tables::SOFT).cloned().collect()
        } else {
            Vec::new()
        }
    }
}
