//! Handlers of the registry's endpoints.

use super::endpoints::Endpoint;
use super::node::{RegistryNode, PEER_TIMEOUT};
use crate::messages::{AntiEntropyRequest, HeartbeatRequest, HeartbeatResponse, UsageReportRequest};
use crate::proxy_directory::proxy_addresses;
use crate::request_forwarding::OperatorRequest;
use ivygate_cluster::{PullRequest, PullResponse};
use ivygate_control_state::{Table, COORDINATOR_ROLE};
use ivygate_rpc::{json_response, ErrorKind, RouteMatcher, RpcError, RpcRequest, RpcResponse};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::rc::Rc;

/// Time for which a client may use a response of the directory, in seconds, unless the operating rules set a lower bound.
const DIRECTORY_TTL_S: f64 = 1.5;

impl RegistryNode {
    /// Handles a call.
    pub async fn handle(self: Rc<Self>, request: RpcRequest) -> RpcResponse {
        let endpoint = match RouteMatcher::find(&self.routes, &request.method, &request.path) {
            Ok(found) => found.endpoint,
            Err(error) => return json_response::<()>(Err(error)),
        };
        match endpoint {
            Endpoint::Pull => json_response(self.handle_pull(&request).await),
            Endpoint::Heartbeat => json_response(self.handle_heartbeat(&request)),
            Endpoint::AntiEntropy => {
                let request = request.json::<AntiEntropyRequest>();
                json_response(request.map(|request| self.handle_anti_entropy(request)))
            }
            Endpoint::Lookup => json_response(self.look_up(&request.query)),
            Endpoint::UsageReport => {
                let request = request.json::<UsageReportRequest>();
                json_response(request.and_then(|request| self.handle_usage_report(&request)))
            }
            Endpoint::Store(OperatorRequest::Drain) => self.order_zone(request).await,
            Endpoint::Store(operation) => self.call_store(operation, request).await,
            Endpoint::Status => json_response(Ok(self.status().await)),
        }
    }

    async fn handle_pull(&self, request: &RpcRequest) -> Result<PullResponse, RpcError> {
        let pull: PullRequest = request.json()?;
        Ok(self.replica.handle_pull(pull).await)
    }

    fn handle_heartbeat(self: &Rc<Self>, request: &RpcRequest) -> Result<HeartbeatResponse, RpcError> {
        let heartbeat: HeartbeatRequest = request.json()?;
        if heartbeat.entry.key.table != Table::Nodes {
            return Err(RpcError::new(ErrorKind::Invalid, "a heartbeat must contain a node item"));
        }
        let (newer, response) = {
            let items = self.replica.items();
            self.registry.borrow_mut().handle_heartbeat(self.now(), &items, heartbeat)
        };
        self.publish(newer.into_iter().collect());
        Ok(response)
    }

    /// Returns the proxies for a client by its zone and region.
    fn look_up(&self, query: &str) -> Result<Value, RpcError> {
        let parameters: HashMap<_, _> = form_urlencoded::parse(query.as_bytes()).collect();
        let parameter = |name: &str| parameters.get(name).map(AsRef::as_ref).unwrap_or_default();
        let (zone, region) = (parameter("az"), parameter("region"));
        let region = if region.is_empty() { self.settings.region_of(zone) } else { region };
        let addresses = proxy_addresses(&self.replica.items(), zone, region);
        if addresses.is_empty() {
            return Err(RpcError::new(ErrorKind::NotReady, "no serving proxy is known"));
        }
        let ttl_s = DIRECTORY_TTL_S.min(self.settings.bound("ttl_max_s", DIRECTORY_TTL_S));
        Ok(json!({ "addresses": addresses, "ttlS": ttl_s }))
    }

    /// Returns the status of the registry and of its machine's store.
    async fn status(&self) -> Value {
        let store: Result<Value, RpcError> = self.client.get(self.own_store(), "/status", PEER_TIMEOUT).await;
        let store = store.unwrap_or_else(|error| json!({ "standing": error.detail }));
        let items = self.replica.items();
        let nodes: HashMap<&str, _> = items.live(Table::Nodes).collect();
        json!({
            "store": store,
            "nodes": nodes,
            "servers": items.live(Table::Servers).count(),
            "warden": items.body(Table::SingletonRoles, COORDINATOR_ROLE),
            "epoch": items.version(Table::SingletonRoles, COORDINATOR_ROLE),
            "ageMs": self.replica.contact_age_ms(),
            "memory": self.memory.usage(),
        })
    }
}
