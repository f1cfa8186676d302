//! Operators' orders on zones, which are passed on to a store only while their operator waits for the answer.
//!
//! An order carries no version, so one that is executed late undoes later orders. Its lifetime runs from a time before which
//! the operator cannot have sent it: when its connection was established, or when the previous answer was given on it. An order
//! whose connection bounds its age too loosely is answered with a redirect to a new connection.

use super::node::RegistryNode;
use super::store_calls::StoreResponse;
use crate::request_forwarding::{OperatorRequest, RequestForwarding};
use bytes::Bytes;
use hyper::Method;
use ivygate_cluster::{StoreTime, ZoneOrder, ORDER_LIFETIME, STORE_CLOCK_PATH};
use ivygate_rpc::{ErrorKind, RpcError, RpcRequest, RpcResponse};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Remaining lifetime below which an order is not passed on: a round between distant regions, and a competing one before it,
/// may take that long.
const MIN_ORDER_TIME: Duration = Duration::from_millis(500);

impl RegistryNode {
    /// Passes an order on to the own machine's store, or to others if that one has certainly not begun it.
    pub async fn order_zone(&self, request: RpcRequest) -> RpcResponse {
        let deadline = request.sent_after + ORDER_LIFETIME;
        if time_left(deadline) < MIN_ORDER_TIME {
            tracing::info!(path = request.path, "order may be outdated, its sender is asked to repeat it");
            return RpcResponse::repeat_on_new_connection(&request.path);
        }
        let sent_after = self.now().minus_millis(ivygate_time::millis(request.sent_after.elapsed()));
        let mut forwarding = RequestForwarding::new(sent_after, OperatorRequest::Drain, self.peer_stores());
        let mut store = self.own_store();
        loop {
            let result = self.send_order(store, &request.path, deadline).await;
            let StoreResponse { response, error } = StoreResponse::from_call(result);
            let next = error.and_then(|kind| forwarding.next_target(self.now(), kind));
            let Some(next) = next else { return response };
            tracing::debug!(%store, next = %next.address, ?error, "order forwarded to another store");
            store = next.address;
        }
    }

    /// Sends an order to a store with its deadline on that store's clock. The deadline is counted from the receipt of the
    /// clock's reading, which was taken earlier, so it is never later than `deadline`.
    async fn send_order(
        &self,
        store: SocketAddr,
        path: &str,
        deadline: Instant,
    ) -> Result<(u16, Bytes), RpcError> {
        let clock = self.client.get(store, STORE_CLOCK_PATH, time_left(deadline)).await;
        let clock: StoreTime = clock.map_err(not_begun)?;
        let order = ZoneOrder { deadline: clock.plus(time_left(deadline)) };
        let body = serde_json::to_vec(&order).map_err(|error| RpcError::malformed(&error))?;
        self.client.call(store, Method::POST, path, body.into(), time_left(deadline)).await
    }
}

/// Returns the error of an order whose store did not return the time of its clock, so that the order was not sent.
fn not_begun(error: RpcError) -> RpcError {
    match error.kind {
        ErrorKind::Unreachable | ErrorKind::NotFound => RpcError::new(ErrorKind::NotReady, error.detail),
        _ => error,
    }
}

fn time_left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
