//! RPC client with pooled connections, one call at a time per connection, and a timeout for every call.
//!
//! A call is never resent once a byte of it may have been sent. Each call carries an ID that its response must return, so that
//! a response to another call is never delivered to the caller (`docs/design/resending.md`).

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

/// Header with the ID of a call, which the response returns. IDs are unique among the calls of one client.
pub(crate) const CALL_ID: HeaderName = HeaderName::from_static("call-id");
/// Time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 4;
/// Number of addresses with idle connections above which addresses without a fresh one are dropped.
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

/// Response whose body is still to be read, with the connection it arrives on.
struct Exchange {
    connection: Connection,
    /// `true` if the connection has carried an earlier call.
    is_reused: bool,
    response: Response<Incoming>,
}

/// Client for calls to other processes. Clones share one connection pool.
#[derive(Clone, Default)]
pub struct RpcClient {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    last_call: Rc<Cell<u64>>,
}

fn unreachable(to: SocketAddr, cause: impl std::fmt::Display) -> RpcError {
    RpcError::new(ErrorKind::Unreachable, format!("{to}: {cause}"))
}

impl RpcClient {
    /// Sends a POST request with a JSON body and parses the response as JSON.
    ///
    /// # Errors
    /// Returns the error reported by the server, `Unreachable` if there is no valid response, `Timeout` if there is none in
    /// time, or `Malformed` if a body is not valid JSON of its type.
    pub async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
        body: &Q,
        call_timeout: Duration,
    ) -> Result<A, RpcError> {
        let body = serde_json::to_vec(body).map_err(|error| RpcError::malformed(&error))?;
        let (status, body) = self.call(to, Method::POST, path, body.into(), call_timeout).await?;
        parse_response(to, status, &body)
    }

    /// Sends a GET request and parses the response as JSON.
    ///
    /// # Errors
    /// Returns the same errors as [`Self::post`].
    pub async fn get<A: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
        call_timeout: Duration,
    ) -> Result<A, RpcError> {
        let (status, body) = self.call(to, Method::GET, path, Bytes::new(), call_timeout).await?;
        parse_response(to, status, &body)
    }

    /// Makes one call and returns the status and body of the response unparsed.
    ///
    /// # Errors
    /// Fails if there is no complete response in time, or one that is not known to belong to this call. The call may have been
    /// executed in that case.
    pub async fn call(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
        call_timeout: Duration,
    ) -> Result<(u16, Bytes), RpcError> {
        let started = Instant::now();
        match timeout(call_timeout, self.exchange(to, method, path, body)).await {
            // A response that arrived while this process was paused may be out of date.
            Ok(result) if started.elapsed() < call_timeout => result,
            Ok(_) | Err(_) => {
                Err(RpcError::new(ErrorKind::Timeout, format!("{to}: no response before the timeout")))
            }
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
        let supports_call_ids = check_call_id(to, &exchange, &call_id)?;
        let Exchange { connection, response, .. } = exchange;
        // Without framing, a truncated response may look complete. Processes without call ID support respond with a JSON
        // object, whose truncation is detected by the parser.
        if supports_call_ids && !has_framed_body(&response) {
            return Err(unreachable(to, "the response body has neither a length nor chunked encoding"));
        }
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), crate::MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(|error| unreachable(to, error))?
            .to_bytes();
        if supports_call_ids {
            self.keep_idle(to, connection);
        }
        Ok((status, body))
    }

    fn next_call_id(&self) -> HeaderValue {
        self.last_call.set(self.last_call.get() + 1);
        HeaderValue::from(self.last_call.get())
    }

    /// Sends a request on an idle connection or a new one. If an idle connection closes before a byte of the request has been
    /// written, the request is sent on another connection, which cannot send it twice.
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

/// Checks that a response belongs to the call, and returns whether the server supports call IDs.
fn check_call_id(to: SocketAddr, exchange: &Exchange, call_id: &HeaderValue) -> Result<bool, RpcError> {
    match exchange.response.headers().get(CALL_ID) {
        Some(returned) if returned == call_id => Ok(true),
        // The server does not support call IDs. The connection carries no other call before or after this one.
        None if !exchange.is_reused => Ok(false),
        // The response belongs to an earlier call and was sent late or twice.
        Some(_) | None => Err(unreachable(to, "the response belongs to another call")),
    }
}

/// Returns whether the end of the response body is marked by a length or chunked encoding rather than by the connection's end.
fn has_framed_body(response: &Response<Incoming>) -> bool {
    response.body().size_hint().exact().is_some() || response.headers().contains_key(TRANSFER_ENCODING)
}

fn parse_response<A: DeserializeOwned>(from: SocketAddr, status: u16, body: &[u8]) -> Result<A, RpcError> {
    if status == 200 {
        return serde_json::from_slice(body)
            .map_err(|error| RpcError::new(ErrorKind::Malformed, format!("{from}: {error}")));
    }
    let error = serde_json::from_slice(body);
    Err(error.unwrap_or_else(|_| {
        RpcError::new(ErrorKind::Unreachable, format!("{from} responded with status {status}"))
    }))
}
