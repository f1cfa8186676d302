//! Acquisition of the coordinator role from the store.

use super::node::{RegistryNode, STORE_TIMEOUT};
use ivygate_control_state::COORDINATOR_ROLE;
use ivygate_rpc::RpcError;
use ivygate_time::Timestamp;
use serde_json::json;
use std::rc::Rc;

/// Path of the store for acquiring a singleton role.
const ACQUIRE_ROLE_PATH: &str = "/duty";

impl RegistryNode {
    /// Acquires the role from the store. The store persists the acquisition and returns the epoch of this call, so that no
    /// epoch is ever used twice.
    pub async fn acquire_role(self: Rc<Self>, requested_at: Timestamp) {
        let request = json!({ "name": COORDINATOR_ROLE, "holder": self.settings.ip });
        let response: Result<u64, RpcError> =
            self.client.post(self.own_store(), ACQUIRE_ROLE_PATH, &request, STORE_TIMEOUT).await;
        match response {
            Ok(epoch) => {
                tracing::info!(epoch, "coordinator role acquired");
                self.registry.borrow_mut().handle_role_acquired(requested_at, self.now(), epoch);
            }
            Err(error) => {
                tracing::debug!(%error, "coordinator role not acquired");
                self.registry.borrow_mut().handle_acquisition_failed(requested_at, self.now());
            }
        }
    }
}
