//! The side that calls: kept connections, one call at a time on each, every wait with an end.
//!
//! A call is not sent again once a byte of it may have left. Each has an id that its response must bring back, so that a
//! response to another call reaches nobody (`docs/design/resending.md`).

use crate::connection::{connect, Connection};
use crate::error::{ErrorKind, RpcError};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE, HOST, TRANSFER_ENCODING};
use hyper::{Method, Request, Response};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// The id of a call, which its response brings back. No two calls of a process have the same.
pub(crate) const CALL_ID: HeaderName = HeaderName::from_static("call-id");
/// An idle connection is kept this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Most idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 4;
/// Most addresses with idle connections.
const MAX_IDLE_ADDRESSES: usize = 256;

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

impl IdleConnection {
    fn is_fresh(&self) -> bool {
        self.since.elapsed() < IDLE_TIMEOUT
    }
}

/// The head of a response, and the connection on which it came.
struct Exchange {
    connection: Connection,
    /// Whether the connection has carried another call before.
    is_reused: bool,
    response: Response<Incoming>,
}

/// Calls other processes. Clones share their connections.
#[derive(Clone, Default)]
pub struct RpcClient {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    last_call: Rc<Cell<u64>>,
}

fn unreachable(to: SocketAddr, cause: impl std::fmt::Display) -> RpcError {
    RpcError::new(ErrorKind::Unreachable, format!("{to}: {cause}"))
}

impl RpcClient {
    /// Sends a body as JSON, and reads the response as JSON.
    ///
    /// # Errors
    /// The error that the other side told, or that it can't be reached, or did not answer in time.
    pub async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
        body: &Q,
        wait: Duration,
    ) -> Result<A, RpcError> {
        let body = serde_json::to_vec(body).map_err(|error| RpcError::malformed(&error))?;
        let (status, body) = self.call(to, Method::POST, path, body.into(), wait).await?;
        parse_response(to, status, &body)
    }

    /// Gets a path, and reads the response as JSON.
    ///
    /// # Errors
    /// As for [`Self::post`].
    pub async fn get<A: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
        wait: Duration,
    ) -> Result<A, RpcError> {
        let (status, body) = self.call(to, Method::GET, path, Bytes::new(), wait).await?;
        parse_response(to, status, &body)
    }

    /// Makes one call; gives the status and body of the response as they came.
    ///
    /// # Errors
    /// If there was no complete response in time, or one that is not known to be this call's. The call may have run then.
    pub async fn call(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<(u16, Bytes), RpcError> {
        let started = Instant::now();
        match timeout(wait, self.exchange(to, method, path, body)).await {
            // A response that was there while this process was paused is long out of date.
            Ok(result) if started.elapsed() < wait => result,
            Ok(_) | Err(_) => Err(RpcError::new(ErrorKind::Timeout, format!("{to} gave no answer in time"))),
        }
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(u16, Bytes), RpcError> {
        let call_id = self.next_call_id();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, to.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(CALL_ID, call_id.clone())
            .body(Full::new(body))
            .map_err(|error| RpcError::new(ErrorKind::Malformed, error.to_string()))?;
        let exchange = self.send(to, request).await?;
        let knows_call_ids = check_call_id(to, &exchange, &call_id)?;
        let Exchange { connection, response, .. } = exchange;
        // A response that was cut short may look complete. That of a process which knows no call ids is a JSON object,
        // which can't.
        if knows_call_ids && !has_framed_body(&response) {
            return Err(unreachable(to, "the answer does not tell its length"));
        }
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), crate::MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(|error| unreachable(to, error))?
            .to_bytes();
        if knows_call_ids {
            self.keep_idle(to, connection);
        }
        Ok((status, body))
    }

    fn next_call_id(&self) -> HeaderValue {
        self.last_call.set(self.last_call.get() + 1);
        HeaderValue::from(self.last_call.get())
    }

    /// Sends a request on a kept connection or a new one. Where a kept one ends before a byte of the request was written,
    /// another is taken: that sends nothing twice.
    async fn send(&self, to: SocketAddr, mut request: Request<Full<Bytes>>) -> Result<Exchange, RpcError> {
        loop {
            let (mut connection, is_reused) = match self.take_idle(to) {
                Some(connection) => (connection, true),
                None => (connect(to).await?, false),
            };
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(Exchange { connection, is_reused, response }),
                Err(mut error) => match error.take_message().filter(|_| is_reused) {
                    Some(unsent) => request = unsent,
                    None => return Err(unreachable(to, error.into_error())),
                },
            }
        }
    }

    fn take_idle(&self, to: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&to)?;
        while let Some(idle) = connections.pop() {
            if idle.is_fresh() && idle.connection.is_usable() {
                return Some(idle.connection);
            }
        }
        None
    }

    fn keep_idle(&self, to: SocketAddr, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= MAX_IDLE_ADDRESSES {
            idle.retain(|_, connections| connections.iter().any(IdleConnection::is_fresh));
        }
        let connections = idle.entry(to).or_default();
        connections.retain(|idle| idle.is_fresh() && !idle.connection.sender.is_closed());
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(IdleConnection { connection, since: Instant::now() });
        }
    }
}

/// Checks that a response is this call's; tells whether the other side knows call ids.
fn check_call_id(to: SocketAddr, exchange: &Exchange, call_id: &HeaderValue) -> Result<bool, RpcError> {
    match exchange.response.headers().get(CALL_ID) {
        Some(returned) if returned == call_id => Ok(true),
        // A process that knows no call ids. There was no other call on this connection, nor will there be.
        None if !exchange.is_reused => Ok(false),
        // A response to an earlier call, sent late or twice.
        Some(_) | None => Err(unreachable(to, "the answer belongs to another call")),
    }
}

/// Whether the end of a response's body is told by its length or by chunks, and not just by the connection's end.
fn has_framed_body(response: &Response<Incoming>) -> bool {
    response.body().size_hint().exact().is_some() || response.headers().contains_key(TRANSFER_ENCODING)
}

fn parse_response<A: DeserializeOwned>(from: SocketAddr, status: u16, body: &[u8]) -> Result<A, RpcError> {
    if status == 200 {
        return serde_json::from_slice(body)
            .map_err(|error| RpcError::new(ErrorKind::Malformed, format!("{from}: {error}")));
    }
    let error = serde_json::from_slice(body);
    Err(error.unwrap_or_else(|_| RpcError::new(ErrorKind::Unreachable, format!("{from} answered {status}"))))
}
