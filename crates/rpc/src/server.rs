//! RPC server: reads each request completely within limits and responds in JSON.

use crate::client::CALL_ID;
use crate::error::{ErrorKind, RpcError};
use crate::turn_recorder::TurnRecorder;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE, LOCATION};
use hyper::{Response, StatusCode};
use ivygate_runtime::{
    listen, BufferFull, ChargedBuffer, ClientLimits, HttpServer, IncomingRequest, MemoryAccount, MemoryUse,
    PrecedingEvent, ReceiveError, RequestHandler, RECEIVE_TIMEOUT,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{timeout, Instant};

/// Maximum size of a message body in bytes, sufficient for a configuration with tens of thousands of tenants.
pub const MAX_BODY_BYTES: usize = 32 << 20;
/// Maximum number of connections per listener.
const MAX_CONNECTIONS: usize = 1500;
/// Factor by which the time to receive a complete request exceeds the one for client requests.
const REQUEST_TIMEOUT_FACTOR: u32 = 4;

/// Completely received request.
pub struct RpcRequest {
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query string; empty if there is none.
    pub query: String,
    /// Body.
    pub body: Bytes,
    /// Address of the sender.
    pub peer: SocketAddr,
    /// Time after which the sender sent the request, if it does not pipeline. The time that the request spent on its way lies
    /// after it; so does the time that it waited while this process stood still, if the server records turns.
    pub sent_after: Instant,
}

impl RpcRequest {
    /// Parses the body as JSON.
    ///
    /// # Errors
    /// Returns `Malformed` with the position of the error.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, RpcError> {
        serde_json::from_slice(&self.body).map_err(|error| RpcError::malformed(&error))
    }
}

/// Response to a request. The body is JSON unless it is empty.
#[derive(Debug)]
pub struct RpcResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Body.
    pub body: Vec<u8>,
    /// Path to which the sender is redirected on a new connection.
    pub redirect: Option<String>,
}

impl RpcResponse {
    /// Creates a response with a status and a body.
    pub fn new(status: StatusCode, body: Vec<u8>) -> Self {
        Self { status, body, redirect: None }
    }

    /// Creates a response that asks the sender to repeat the request on a new connection.
    pub fn repeat_on_new_connection(path: &str) -> Self {
        let redirect = Some(path.to_owned());
        Self { status: StatusCode::TEMPORARY_REDIRECT, body: Vec::new(), redirect }
    }
}

/// Function that handles requests.
pub type Handler = Rc<dyn Fn(RpcRequest) -> Pin<Box<dyn Future<Output = RpcResponse>>>>;

/// Creates the response for a result: the value as JSON, or the error with its status.
pub fn json_response<T: Serialize>(result: Result<T, RpcError>) -> RpcResponse {
    let (status, body) = match &result {
        Ok(value) => (StatusCode::OK, serde_json::to_vec(value)),
        Err(error) => (error.kind.status(), serde_json::to_vec(error)),
    };
    match body {
        Ok(body) => RpcResponse::new(status, body),
        // Serialization fails only for maps with non-string keys, which no message contains.
        Err(_) => RpcResponse::new(StatusCode::INTERNAL_SERVER_ERROR, Vec::new()),
    }
}

/// Returns the time allowed to receive a complete request.
fn request_timeout() -> Duration {
    RECEIVE_TIMEOUT.saturating_mul(REQUEST_TIMEOUT_FACTOR)
}

/// Options of a server.
#[derive(Clone)]
pub struct RpcServerOptions {
    /// Counts the time for which this process stood still towards the age of requests.
    pub turns: Option<TurnRecorder>,
    /// Account of the requests' bodies.
    pub memory: Arc<MemoryAccount>,
}

impl Default for RpcServerOptions {
    fn default() -> Self {
        Self { turns: None, memory: MemoryAccount::unlimited() }
    }
}

impl From<BufferFull> for RpcError {
    fn from(error: BufferFull) -> Self {
        match error {
            BufferFull::TooLong => Self::new(ErrorKind::TooLarge, "the request body is too large"),
            BufferFull::OutOfMemoryShare => {
                Self::new(ErrorKind::NotReady, "other calls use the memory for request bodies")
            }
        }
    }
}

struct RpcFront {
    handler: Handler,
    address: SocketAddr,
    options: RpcServerOptions,
}

impl RpcFront {
    /// Returns a time after which a request was sent.
    fn sent_after(&self, preceding_event: PrecedingEvent) -> Instant {
        match preceding_event {
            PrecedingEvent::Responded(at) => at,
            PrecedingEvent::Accepted(at) => {
                self.options.turns.as_ref().map_or(at, |turns| turns.earliest_arrival(at))
            }
        }
    }

    /// Reads a body whose memory is charged before.
    async fn read_body(&self, body: Incoming) -> Result<Bytes, ReceiveError> {
        let memory = &self.options.memory;
        let max_bytes = memory.limit_bytes(MemoryUse::LargeCalls).min(MAX_BODY_BYTES);
        let length = body.size_hint().exact();
        ChargedBuffer::new(memory, MemoryUse::of_call, length, max_bytes)?.receive(body).await
    }

    fn redirect(&self, response: &mut Response<Full<Bytes>>, path: &str) {
        if let Ok(location) = HeaderValue::try_from(format!("http://{}{path}", self.address)) {
            response.headers_mut().insert(LOCATION, location);
        }
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
}

impl RequestHandler for RpcFront {
    type Body = Full<Bytes>;

    async fn respond(&self, incoming: IncomingRequest) -> Result<Response<Full<Bytes>>, hyper::Error> {
        let IncomingRequest { request, started_at, preceding_event, guard, peer, .. } = incoming;
        let (head, body) = request.into_parts();
        let time_left = request_timeout().saturating_sub(started_at.elapsed());
        let response = match timeout(time_left, self.read_body(body)).await {
            Err(_) => json_response::<()>(Err(RpcError::new(
                ErrorKind::Timeout,
                "the request body was not received in time",
            ))),
            Ok(Err(ReceiveError::ConnectionLost(error))) => return Err(error),
            Ok(Err(ReceiveError::Full(error))) => json_response::<()>(Err(error.into())),
            Ok(Ok(body)) => {
                guard.mark_received();
                // The request may have waited while this process was paused or the network was partitioned, and the caller may
                // have sent it to another process since. Yielding lets the connection be polled again, which drops this future
                // if the caller has closed it.
                tokio::task::yield_now().await;
                let request = RpcRequest {
                    method: head.method.as_str().to_owned(),
                    path: head.uri.path().to_owned(),
                    query: head.uri.query().unwrap_or_default().to_owned(),
                    body,
                    peer,
                    sent_after: self.sent_after(preceding_event),
                };
                (self.handler)(request).await
            }
        };
        let mut http = Response::new(Full::new(Bytes::from(response.body)));
        *http.status_mut() = response.status;
        if let Some(path) = &response.redirect {
            self.redirect(&mut http, path);
        }
        http.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(call_id) = head.headers.get(CALL_ID) {
            http.headers_mut().insert(CALL_ID, call_id.clone());
        }
        Ok(http)
    }
}

/// Running RPC server.
pub struct RpcServer {
    clients: Rc<HttpServer<RpcFront>>,
    accepting: JoinHandle<()>,
}

impl RpcServer {
    /// Stops accepting connections and waits until the requests in progress are answered.
    pub async fn shut_down(self) {
        self.clients.shut_down(self.accepting).await;
    }
}

/// Starts a server for requests at an address.
///
/// # Errors
/// Returns `Configuration` if the process cannot listen on the address.
pub fn serve(address: SocketAddr, handler: Handler) -> Result<RpcServer, RpcError> {
    serve_with(address, handler, RpcServerOptions::default())
}

/// Starts a server with options.
///
/// # Errors
/// Returns `Configuration` if the process cannot listen on the address.
pub fn serve_with(
    address: SocketAddr,
    handler: Handler,
    options: RpcServerOptions,
) -> Result<RpcServer, RpcError> {
    let front = RpcFront { handler, address, options };
    let listener = listen(address).map_err(|error| {
        RpcError::new(ErrorKind::Configuration, format!("cannot listen on {address}: {error}"))
    })?;
    let mut limits = ClientLimits::new(MAX_CONNECTIONS);
    limits.receive_timeout = request_timeout();
    let clients = HttpServer::new(Rc::new(front), limits);
    let accepting = tokio::task::spawn_local(clients.clone().accept(listener));
    Ok(RpcServer { clients, accepting })
}
