//! The side that is called: one listener, each request read completely within bounds, one response in JSON.

use crate::client::CALL_ID;
use crate::error::{ErrorKind, RpcError};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::{Response, StatusCode};
use ivygate_runtime::{listen, ClientLimits, HttpServer, IncomingRequest, RequestHandler, RECEIVE_TIMEOUT};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Largest body of a request: a configuration of tens of thousands of tenants.
pub const MAX_BODY_BYTES: usize = 32 << 20;
/// Most connections of one listener.
const MAX_CONNECTIONS: usize = 1500;
/// A request has this many times the time that one of a client has, to come in completely.
const REQUEST_TIMEOUT_FACTOR: u32 = 4;

/// A request that has come in completely.
pub struct RpcRequest {
    /// Its method.
    pub method: String,
    /// Its path, without the query.
    pub path: String,
    /// Its query, empty if there is none.
    pub query: String,
    /// Its body.
    pub body: Bytes,
    /// Who sent it.
    pub peer: SocketAddr,
}

impl RpcRequest {
    /// Reads the body as JSON.
    ///
    /// # Errors
    /// `Malformed`, with the place.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, RpcError> {
        serde_json::from_slice(&self.body).map_err(|error| RpcError::malformed(&error))
    }
}

/// The response to a request: a status and a body, JSON unless it is empty.
#[derive(Debug)]
pub struct RpcResponse {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Vec<u8>,
}

/// What responds to requests.
pub type Handler = Rc<dyn Fn(RpcRequest) -> Pin<Box<dyn Future<Output = RpcResponse>>>>;

/// The response for a result: the value, or the error with its status.
pub fn json_response<T: Serialize>(result: Result<T, RpcError>) -> RpcResponse {
    let (status, body) = match &result {
        Ok(value) => (StatusCode::OK, serde_json::to_vec(value)),
        Err(error) => (error.kind.status(), serde_json::to_vec(error)),
    };
    match body {
        Ok(body) => RpcResponse { status, body },
        // Only a map whose keys are no text can't be written; none is made here.
        Err(_) => RpcResponse { status: StatusCode::INTERNAL_SERVER_ERROR, body: Vec::new() },
    }
}

/// How long a request has to come in completely.
fn request_timeout() -> Duration {
    RECEIVE_TIMEOUT.saturating_mul(REQUEST_TIMEOUT_FACTOR)
}

struct RpcFront {
    handler: Handler,
}

impl RequestHandler for RpcFront {
    type Body = Full<Bytes>;

    async fn respond(&self, asked: IncomingRequest) -> Result<Response<Full<Bytes>>, hyper::Error> {
        let IncomingRequest { request, started_at: begun, guard: turn, peer, .. } = asked;
        let (head, body) = request.into_parts();
        let time_left = request_timeout().saturating_sub(begun.elapsed());
        let response = match timeout(time_left, Limited::new(body, MAX_BODY_BYTES).collect()).await {
            Err(_) => {
                json_response::<()>(Err(RpcError::new(ErrorKind::Timeout, "the body did not come in time")))
            }
            Ok(Err(error)) => match error.downcast::<hyper::Error>() {
                Ok(error) => return Err(*error),
                Err(_) => {
                    json_response::<()>(Err(RpcError::new(ErrorKind::TooLarge, "the body is too large")))
                }
            },
            Ok(Ok(body)) => {
                turn.mark_received();
                // The request may have waited while this process was paused or a link was cut, and may have been given to
                // another since. The connection is looked at once more: where the caller has left, this future is dropped.
                tokio::task::yield_now().await;
                let request = RpcRequest {
                    method: head.method.as_str().to_owned(),
                    path: head.uri.path().to_owned(),
                    query: head.uri.query().unwrap_or_default().to_owned(),
                    body: body.to_bytes(),
                    peer,
                };
                (self.handler)(request).await
            }
        };
        let mut http = Response::new(Full::new(Bytes::from(response.body)));
        *http.status_mut() = response.status;
        http.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(call_id) = head.headers.get(CALL_ID) {
            http.headers_mut().insert(CALL_ID, call_id.clone());
        }
        Ok(http)
    }
}

/// A listener at work.
pub struct RpcServer {
    clients: Rc<HttpServer<RpcFront>>,
    accepting: tokio::task::JoinHandle<()>,
}

impl RpcServer {
    /// Takes no more connections, and waits until the requests under way are answered.
    pub async fn shut_down(self) {
        self.clients.shut_down(self.accepting).await;
    }
}

/// Answers requests at an address from now on.
///
/// # Errors
/// If the address can't be listened on.
pub fn serve(address: SocketAddr, handler: Handler) -> Result<RpcServer, RpcError> {
    let listener = listen(address).map_err(|error| {
        RpcError::new(ErrorKind::Configuration, format!("cannot listen on {address}: {error}"))
    })?;
    let mut limits = ClientLimits::new(MAX_CONNECTIONS);
    limits.receive_timeout = request_timeout();
    let clients = HttpServer::new(Rc::new(RpcFront { handler }), limits);
    let accepting = tokio::task::spawn_local(clients.clone().accept(listener));
    Ok(RpcServer { clients, accepting })
}
