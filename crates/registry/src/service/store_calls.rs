//! Operators' reads and updates of the configuration, which are forwarded to another machine's store if the own one cannot
//! handle them.

use super::node::{RegistryNode, STORE_TIMEOUT};
use crate::request_forwarding::{OperatorRequest, PeerStore, RequestForwarding};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use ivygate_cluster::{store_members, Node, Role};
use ivygate_control_state::Table;
use ivygate_rpc::{json_response, ErrorKind, RpcError, RpcRequest, RpcResponse};
use std::net::SocketAddr;
use std::time::Duration;

/// Response of a store, with the kind of the error that it reports or that prevented it.
pub(super) struct StoreResponse {
    pub response: RpcResponse,
    pub error: Option<ErrorKind>,
}

impl StoreResponse {
    pub fn from_call(result: Result<(u16, Bytes), RpcError>) -> Self {
        match result {
            Ok((status, body)) => {
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                let reported = || serde_json::from_slice(&body).ok().map(|error: RpcError| error.kind);
                let error = if status == StatusCode::OK { None } else { reported() };
                Self { response: RpcResponse::new(status, body.to_vec()), error }
            }
            Err(error) => Self { error: Some(error.kind), response: json_response::<()>(Err(error)) },
        }
    }
}

impl RegistryNode {
    /// Returns the stores on other machines.
    pub fn peer_stores(&self) -> Vec<PeerStore> {
        let (items, last_responses) = (self.replica.items(), self.last_responses.borrow());
        let port = self.settings.ports().store;
        let others = store_members(&items).into_iter().filter(|machine| *machine != self.settings.ip);
        let peers = others.map(|machine| {
            let body = items.body(Table::Nodes, &Role::Registry.name_at(machine));
            let node = body.and_then(Node::from_body);
            PeerStore {
                address: SocketAddr::from((machine, port)),
                is_same_region: node.is_some_and(|node| node.region == self.settings.region),
                last_response_at: last_responses.get(&machine).copied(),
            }
        });
        peers.collect()
    }

    /// Sends an operator's call to the own machine's store, and forwards it to other stores if necessary.
    pub async fn call_store(&self, operation: OperatorRequest, request: RpcRequest) -> RpcResponse {
        let RpcRequest { method, path, body, .. } = request;
        let method = if method == "GET" { Method::GET } else { Method::POST };
        let mut forwarding = RequestForwarding::new(self.now(), operation, self.peer_stores());
        let (mut to, mut wait) = (self.own_store(), STORE_TIMEOUT);
        loop {
            let result = self.client.call(to, method.clone(), &path, body.clone(), wait).await;
            let StoreResponse { response, error } = StoreResponse::from_call(result);
            let next = error.and_then(|kind| forwarding.next_target(self.now(), kind));
            let Some(next) = next else { return response };
            tracing::debug!(store = %to, next = %next.address, ?error, "call forwarded to another store");
            to = next.address;
            wait = Duration::from_secs_f64(next.wait_ms / 1000.0);
        }
    }
}
