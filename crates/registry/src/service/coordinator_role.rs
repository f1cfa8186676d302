//! Acquisition of the coordinator role in the store.

use super::node::{RegistryNode, STORE_TIMEOUT};
use ivygate_control_state::COORDINATOR_ROLE;
use ivygate_rpc::RpcError;
use ivygate_time::Timestamp;
use serde_json::json;
use std::rc::Rc;

/// The store's path for acquiring a singleton role.
const ACQUIRE_ROLE_PATH: &str = "/duty";

impl RegistryNode {
    /// Has the store write down that this registry acquires the role, so that no epoch is ever used twice: the answer names the
    /// epoch of this very call.
    pub async fn acquire_role(self: Rc<Self>, asked: Timestamp) {
        let request = json!({ "name": COORDINATOR_ROLE, "holder": self.settings.ip });
        let answer: Result<u64, RpcError> =
            self.client.post(self.own_store(), ACQUIRE_ROLE_PATH, &request, STORE_TIMEOUT).await;
        match answer {
            Ok(epoch) => {
                tracing::info!(epoch, "coordinator role acquired");
                self.registry.borrow_mut().handle_role_acquired(asked, self.now(), epoch);
            }
            Err(error) => {
                tracing::debug!(%error, "coordinator role not acquired");
                self.registry.borrow_mut().handle_acquisition_failed(asked, self.now());
            }
        }
    }
}
