//! Operators' calls for the store, forwarded to another machine's store where the own one can't act.

use super::node::{RegistryNode, STORE_TIMEOUT};
use crate::request_forwarding::{OperatorRequest, PeerStore, RequestForwarding};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use ivygate_cluster::{store_members, Node, Role};
use ivygate_control_state::Table;
use ivygate_rpc::{json_response, ErrorKind, RpcError, RpcRequest, RpcResponse};
use std::net::SocketAddr;
use std::time::Duration;

/// A store's answer, and the kind of error that it tells or that kept it from coming.
struct StoreAnswer {
    response: RpcResponse,
    error: Option<ErrorKind>,
}

impl StoreAnswer {
    fn from_call(answer: Result<(u16, Bytes), RpcError>) -> Self {
        match answer {
            Ok((status, body)) => {
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                let told = || serde_json::from_slice(&body).ok().map(|error: RpcError| error.kind);
                let error = if status == StatusCode::OK { None } else { told() };
                Self { response: RpcResponse { status, body: body.to_vec() }, error }
            }
            Err(error) => Self { error: Some(error.kind), response: json_response::<()>(Err(error)) },
        }
    }
}

impl RegistryNode {
    /// The stores on other machines.
    fn peer_stores(&self) -> Vec<PeerStore> {
        let (items, last_answers) = (self.replica.items(), self.last_answers.borrow());
        let port = self.settings.ports().store;
        let others = store_members(&items).into_iter().filter(|machine| *machine != self.settings.ip);
        let peers = others.map(|machine| {
            let body = items.body(Table::Nodes, &Role::Registry.name_at(machine));
            let node = body.and_then(Node::from_body);
            PeerStore {
                address: SocketAddr::from((machine, port)),
                is_same_region: node.is_some_and(|node| node.region == self.settings.region),
                last_response_at: last_answers.get(&machine).copied(),
            }
        });
        peers.collect()
    }

    /// Has an operator's call carried out by a store, the own machine's if that can.
    pub async fn call_store(&self, operation: OperatorRequest, request: RpcRequest) -> RpcResponse {
        let RpcRequest { method, path, body, .. } = request;
        let method = if method == "GET" { Method::GET } else { Method::POST };
        let mut forwarding = RequestForwarding::new(self.now(), operation, self.peer_stores());
        let (mut to, mut wait) = (self.own_store(), STORE_TIMEOUT);
        loop {
            let answer = self.client.call(to, method.clone(), &path, body.clone(), wait).await;
            let StoreAnswer { response, error } = StoreAnswer::from_call(answer);
            let next = error.and_then(|kind| forwarding.next_target(self.now(), kind));
            let Some(next) = next else { return response };
            tracing::debug!(store = %to, next = %next.address, ?error, "call forwarded to another store");
            to = next.address;
            wait = Duration::from_secs_f64(next.wait_ms / 1000.0);
        }
    }
}
