//! Calls to core machines.

use hyper::Method;
use ivygate_cluster::{PullRequest, PullResponse, PULL_PATH};
use ivygate_control_state::{Items, Tables};
use ivygate_rpc::{ErrorKind, RpcClient, RpcError};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// How long one core machine is waited for before the next is asked.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Calls the core machines that an operator names.
pub(super) struct CoreClient {
    client: RpcClient,
    addresses: Vec<SocketAddr>,
}

impl CoreClient {
    /// Calls these core machines.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self { client: RpcClient::default(), addresses }
    }

    /// Calls one machine after the other, until one gives an answer that another would give too.
    pub async fn call(&self, method: Method, path: &str, body: &[u8]) -> Result<Value, RpcError> {
        let mut last =
            RpcError::new(ErrorKind::Configuration, "no core machine is named: give --at ADDRESS:PORT");
        for address in &self.addresses {
            let answer =
                self.client.call(*address, method.clone(), path, body.to_vec().into(), CALL_TIMEOUT).await;
            match answer.and_then(|(status, body)| parse_answer(*address, status, &body)) {
                Err(error) if error.kind.is_retryable() => last = error,
                answer => return answer,
            }
        }
        Err(last)
    }

    /// All control state that a registry holds.
    pub async fn items(&self) -> Result<Items, RpcError> {
        let pull = PullRequest { incarnation: 0, since: 0, wait_s: 0.0, tables: Tables::all().bits() };
        let body = serde_json::to_vec(&pull).map_err(|error| RpcError::malformed(&error))?;
        let answer = self.call(Method::POST, PULL_PATH, &body).await?;
        let response = PullResponse::deserialize(&answer).map_err(|error| RpcError::malformed(&error))?;
        let mut items = Items::default();
        for item in response.items {
            items.merge_shared(item);
        }
        Ok(items)
    }
}

fn parse_answer(from: SocketAddr, status: u16, body: &[u8]) -> Result<Value, RpcError> {
    if status == 200 {
        return serde_json::from_slice(body)
            .map_err(|error| RpcError::new(ErrorKind::Malformed, format!("{from}: {error}")));
    }
    let unreadable = |_| RpcError::new(ErrorKind::Unreachable, format!("{from} answered {status}"));
    Err(serde_json::from_slice(body).unwrap_or_else(unreadable))
}
