//! The platform's protocol on the client side: reads requests and writes responses.

use crate::head_parser::HeadParser;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use ivygate_runtime::{
    duration_from_millis, end_to_end, retry_after_value, ClientRequest, DisconnectGuard, Driver,
    FinalResponse, IncomingRequest, OutgoingRequest, RequestBody, RequestHandler, MAX_BODY_BYTES,
    RECEIVE_TIMEOUT,
};
use ivygate_time::Millis;
use std::rc::Rc;
use tokio::time::{timeout, Instant};

/// Handles requests of the platform's clients.
pub struct NodeHandler {
    driver: Rc<Driver>,
    parser: HeadParser,
}

impl RequestHandler for NodeHandler {
    type Body = Full<Bytes>;

    async fn respond(&self, incoming: IncomingRequest) -> Result<Response<Full<Bytes>>, hyper::Error> {
        let IncomingRequest { request, started_at, shutting_down, guard, .. } = incoming;
        let (mut response, keep_alive) = if request.uri().path() == "/up" {
            (self.readiness(&request, shutting_down), true)
        } else {
            match self.read(request, started_at).await {
                Ok(request) => {
                    guard.mark_received();
                    match self.submit(request).await {
                        Some(response) => (response, true),
                        None => (text_response(StatusCode::CONFLICT, "a request of this id is open"), false),
                    }
                }
                Err(RequestError::Rejected(status, reason)) => (text_response(status, reason), false),
                Err(RequestError::ConnectionLost(error)) => return Err(error),
            }
        };
        // The bytes after a request that was rejected or not read completely may be misread as another
        // request, and the client might go on to send more of the kind at full speed.
        if !keep_alive {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }
}

impl NodeHandler {
    /// Creates a handler for this driver, which parses request heads with this parser.
    pub fn new(driver: Rc<Driver>, parser: HeadParser) -> Self {
        Self { driver, parser }
    }

    /// Responds to a readiness check.
    fn readiness(&self, request: &Request<Incoming>, shutting_down: bool) -> Response<Full<Bytes>> {
        if request.method() != Method::GET {
            return text_response(StatusCode::METHOD_NOT_ALLOWED, "only GET");
        }
        if shutting_down || !self.driver.is_ready() {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready");
        }
        text_response(StatusCode::OK, "up")
    }

    /// Submits a request and returns the response, or `None` if a request with its id is open.
    async fn submit(&self, request: ClientRequest) -> Option<Response<Full<Bytes>>> {
        let id = request.head.id.clone();
        let response = self.driver.submit(request)?;
        // hyper drops this future when the client closes its connection.
        let disconnect_guard = DisconnectGuard::new(self.driver.clone(), id);
        let response = response.await;
        disconnect_guard.disarm();
        Some(match response {
            Ok(FinalResponse::Served(body, content_type)) => {
                let mut response = Response::new(Full::new(body));
                if let Some(content_type) = content_type {
                    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
                }
                response
            }
            Ok(FinalResponse::Refused(retry_after, ..)) => {
                let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused; nothing was run");
                if let Some(value) = retry_after_value(retry_after) {
                    response.headers_mut().insert(header::RETRY_AFTER, value);
                }
                response
            }
            Ok(FinalResponse::TimedOut) => text_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
            Ok(FinalResponse::Failed | FinalResponse::Streamed(_) | FinalResponse::Buffered(_)) | Err(_) => {
                text_response(StatusCode::BAD_GATEWAY, "failed")
            }
        })
    }

    /// Reads a whole request, whose first byte was received at `started_at`.
    async fn read(
        &self,
        request: Request<Incoming>,
        started_at: Instant,
    ) -> Result<ClientRequest, RequestError> {
        let now = self.driver.now();
        let (parts, body) = request.into_parts();
        // Prevents request smuggling: hyper removes `Content-Length` if there is a `Transfer-Encoding`, so a
        // request with both cannot be detected here. The platform's clients always send a length.
        if parts.headers.contains_key(header::TRANSFER_ENCODING) {
            return Err(RequestError::Rejected(StatusCode::LENGTH_REQUIRED, "a body needs Content-Length"));
        }
        let bad_request = |what| RequestError::Rejected(StatusCode::BAD_REQUEST, what);
        let head = self.parser.parse(&parts).map_err(bad_request)?;
        if parts.method == Method::GET && !body.is_end_stream() {
            return Err(bad_request("a GET has no body"));
        }
        let body = if body.is_end_stream() {
            Bytes::new()
        } else {
            read_body(body, head.timeout, started_at).await?
        };
        let outgoing = OutgoingRequest {
            method: parts.method,
            uri: parts.uri,
            headers: end_to_end(parts.headers, |_| false),
            body: Rc::new(RequestBody::buffered(body)),
            set_attempt_headers: Some(set_deadline_header),
        };
        Ok(ClientRequest { deadline: now.plus_millis(head.timeout), head, outgoing })
    }
}

/// Error for a request that is not submitted.
enum RequestError {
    /// The request is rejected with this status and text.
    Rejected(StatusCode, &'static str),
    /// The client's connection failed.
    ConnectionLost(hyper::Error),
}

/// Reads a body, within the client's timeout and the time limit for receiving a request.
async fn read_body(
    body: Incoming,
    client_timeout: Millis,
    started_at: Instant,
) -> Result<Bytes, RequestError> {
    let too_large = || RequestError::Rejected(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(too_large());
    }
    let receive_timeout = RECEIVE_TIMEOUT.saturating_sub(started_at.elapsed());
    let time_left = duration_from_millis(client_timeout).min(receive_timeout);
    match timeout(time_left, Limited::new(body, MAX_BODY_BYTES).collect()).await {
        Err(_) => Err(RequestError::Rejected(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(error)) => Err(match error.downcast::<hyper::Error>() {
            Ok(error) => RequestError::ConnectionLost(*error),
            Err(_) => RequestError::Rejected(StatusCode::BAD_REQUEST, "the body is malformed"),
        }),
    }
}

/// Sets the header with the time that the server has for the request, the only header whose value the node
/// sets itself.
fn set_deadline_header(headers: &mut HeaderMap, time_left: Millis, _server: &str) {
    if let Ok(value) = HeaderValue::try_from(format!("{}u", (time_left * 1000.0) as u64)) {
        headers.insert("req-deadline", value);
    }
}

fn text_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
