//! The platform's protocol towards clients: heads and bodies read, answers worded.

use crate::request::Reader;
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

/// Answers the platform's clients.
pub struct NodeFront {
    driver: Rc<Driver>,
    reader: Reader,
}

impl RequestHandler for NodeFront {
    type Body = Full<Bytes>;

    async fn respond(&self, asked: IncomingRequest) -> Result<Response<Full<Bytes>>, hyper::Error> {
        let IncomingRequest { request, started_at: begun, shutting_down: ending, guard: turn, .. } = asked;
        let (mut response, stays) = if request.uri().path() == "/up" {
            (self.up(&request, ending), true)
        } else {
            match self.read(request, begun).await {
                Ok(ask) => {
                    turn.mark_received();
                    match self.ask(ask).await {
                        Some(response) => (response, true),
                        None => (plain(StatusCode::CONFLICT, "a request of this id is open"), false),
                    }
                }
                Err(Unfit::Answer(status, what)) => (plain(status, what), false),
                Err(Unfit::Lost(error)) => return Err(error),
            }
        };
        // Guards against what may lie behind a request that was not read to its end or by its own rules, and
        // against a client that goes on with more of the kind at full speed.
        if !stays {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }
}

impl NodeFront {
    /// A front for this driver, which reads heads with this reader.
    pub fn new(driver: Rc<Driver>, reader: Reader) -> Self {
        Self { driver, reader }
    }

    fn up(&self, request: &Request<Incoming>, ending: bool) -> Response<Full<Bytes>> {
        if request.method() != Method::GET {
            return plain(StatusCode::METHOD_NOT_ALLOWED, "only GET");
        }
        if ending || !self.driver.is_ready() {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "not ready");
        }
        plain(StatusCode::OK, "up")
    }

    /// The answer to a request, or `None` if one of its id is open.
    async fn ask(&self, ask: ClientRequest) -> Option<Response<Full<Bytes>>> {
        let id = ask.head.id.clone();
        let answer = self.driver.submit(ask)?;
        // hyper drops this future when the client closes its connection.
        let leaving = DisconnectGuard::new(self.driver.clone(), id);
        let answer = answer.await;
        leaving.disarm();
        Some(match answer {
            Ok(FinalResponse::Served(body, content_type)) => {
                let mut response = Response::new(Full::new(body));
                if let Some(content_type) = content_type {
                    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
                }
                response
            }
            Ok(FinalResponse::Refused(retry_after, ..)) => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused; nothing was run");
                if let Some(value) = retry_after_value(retry_after) {
                    response.headers_mut().insert(header::RETRY_AFTER, value);
                }
                response
            }
            Ok(FinalResponse::TimedOut) => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
            Ok(FinalResponse::Failed | FinalResponse::Streamed(_) | FinalResponse::Buffered(_)) | Err(_) => {
                plain(StatusCode::BAD_GATEWAY, "failed")
            }
        })
    }

    /// Reads a whole request, the first byte of which came at `begun`.
    async fn read(&self, request: Request<Incoming>, begun: Instant) -> Result<ClientRequest, Unfit> {
        let now = self.driver.now();
        let (parts, body) = request.into_parts();
        // Guards against a second request hidden in a body. hyper drops `Content-Length` where there is a
        // `Transfer-Encoding`, so whether there were both cannot be told; clients send a length.
        if parts.headers.contains_key(header::TRANSFER_ENCODING) {
            return Err(Unfit::Answer(StatusCode::LENGTH_REQUIRED, "a body needs Content-Length"));
        }
        let bad = |what| Unfit::Answer(StatusCode::BAD_REQUEST, what);
        let head = self.reader.read(&parts).map_err(bad)?;
        if parts.method == Method::GET && !body.is_end_stream() {
            return Err(bad("a GET has no body"));
        }
        let body =
            if body.is_end_stream() { Bytes::new() } else { read_body(body, head.timeout, begun).await? };
        let message = OutgoingRequest {
            method: parts.method,
            uri: parts.uri,
            headers: end_to_end(parts.headers, |_| false),
            body: Rc::new(RequestBody::buffered(body)),
            set_attempt_headers: Some(tell_deadline),
        };
        Ok(ClientRequest { deadline: now.plus_millis(head.timeout), head, outgoing: message })
    }
}

/// Why a request is not taken.
enum Unfit {
    /// It is answered so.
    Answer(StatusCode, &'static str),
    /// Its connection broke.
    Lost(hyper::Error),
}

/// Reads a body that is still coming in, no longer than its client will wait or than a whole request may take.
async fn read_body(body: Incoming, wait: Millis, begun: Instant) -> Result<Bytes, Unfit> {
    let too_large = || Unfit::Answer(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(too_large());
    }
    let wait = duration_from_millis(wait).min(RECEIVE_TIMEOUT.saturating_sub(begun.elapsed()));
    match timeout(wait, Limited::new(body, MAX_BODY_BYTES).collect()).await {
        Err(_) => Err(Unfit::Answer(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(error)) => Err(match error.downcast::<hyper::Error>() {
            Ok(error) => Unfit::Lost(*error),
            Err(_) => Unfit::Answer(StatusCode::BAD_REQUEST, "the body is malformed"),
        }),
    }
}

/// Tells a server how long it has, by the one header whose value this node alone sets.
fn tell_deadline(headers: &mut HeaderMap, left: Millis, _server: &str) {
    if let Ok(left) = HeaderValue::try_from(format!("{}u", (left * 1000.0) as u64)) {
        headers.insert("req-deadline", left);
    }
}

fn plain(status: StatusCode, what: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(what.as_bytes())));
    *response.status_mut() = status;
    response
}
