//! Client for the operators' API of core machines.

use hyper::Method;
use ivygate_cluster::{PullRequest, PullResponse, PULL_PATH};
use ivygate_control_state::{Items, Tables};
use ivygate_rpc::{ErrorKind, RpcClient, RpcError};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a call to one core machine, after which the next one is called.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Client for the core machines given by an operator.
pub(super) struct CoreClient {
    client: RpcClient,
    addresses: Vec<SocketAddr>,
}

impl CoreClient {
    /// Creates a client for these core machines.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self { client: RpcClient::default(), addresses }
    }

    /// Calls one machine after the other until one returns a result or an error that is not retryable.
    pub async fn call(&self, method: Method, path: &str, body: &[u8]) -> Result<Value, RpcError> {
        let mut last =
            RpcError::new(ErrorKind::Configuration, "no core machine given: use --at ADDRESS:PORT");
        for address in &self.addresses {
            let response =
                self.client.call(*address, method.clone(), path, body.to_vec().into(), CALL_TIMEOUT).await;
            match response.and_then(|(status, body)| parse_response(*address, status, &body)) {
                Err(error) if error.kind.is_retryable() => last = error,
                response => return response,
            }
        }
        Err(last)
    }

    /// Fetches all control state from a registry.
    pub async fn items(&self) -> Result<Items, RpcError> {
        let pull = PullRequest {
            incarnation: 0,
            since: 0,
            wait_s: 0.0,
            tables: Tables::all().bits(),
            digests: Vec::new(),
        };
        let body = serde_json::to_vec(&pull).map_err(|error| RpcError::malformed(&error))?;
        let body = self.call(Method::POST, PULL_PATH, &body).await?;
        let response = PullResponse::deserialize(&body).map_err(|error| RpcError::malformed(&error))?;
        let mut items = Items::default();
        for item in response.items {
            items.merge_shared(item);
        }
        Ok(items)
    }
}

fn parse_response(from: SocketAddr, status: u16, body: &[u8]) -> Result<Value, RpcError> {
    if status == 200 {
        return serde_json::from_slice(body)
            .map_err(|error| RpcError::new(ErrorKind::Malformed, format!("{from}: {error}")));
    }
    let unreadable =
        |_| RpcError::new(ErrorKind::Unreachable, format!("{from} responded with status {status}"));
    Err(serde_json::from_slice(body).unwrap_or_else(unreadable))
}
