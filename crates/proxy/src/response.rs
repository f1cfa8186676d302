//! Responses: rejections of the proxy's own, and the mapping of outcomes.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use ivygate_runtime::{retry_after_value, without_hop_by_hop, FinalResponse};
use ivygate_time::Millis;

/// What a rejected client is told to wait where nothing better is known, in milliseconds.
pub(crate) const RETRY_SOON_MS: Millis = 100.0;
/// What it is told to wait where only another configuration would help, in milliseconds.
pub(crate) const RETRY_LATE_MS: Millis = 30_000.0;

/// Why a request is not dispatched.
pub(crate) enum Rejection {
    /// It is answered by the proxy itself.
    Answered {
        /// The status.
        status: StatusCode,
        /// The reason, for people.
        reason: &'static str,
        /// How long the client should stay away, in milliseconds; 0 for no advice.
        retry_after_ms: Millis,
    },
    /// The client's connection broke.
    ConnectionLost(hyper::Error),
}

impl Rejection {
    /// A rejection without advice when to come back.
    pub fn new(status: StatusCode, reason: &'static str) -> Self {
        Self::Answered { status, reason, retry_after_ms: 0.0 }
    }

    /// A 503 with advice when to come back.
    pub fn unavailable(reason: &'static str, retry_after_ms: Millis) -> Self {
        Self::Answered { status: StatusCode::SERVICE_UNAVAILABLE, reason, retry_after_ms }
    }

    /// The response, or the error of the client's connection.
    pub fn into_response(self) -> Result<Response<Full<Bytes>>, hyper::Error> {
        let (status, reason, retry_after_ms) = match self {
            Self::ConnectionLost(error) => return Err(error),
            Self::Answered { status, reason, retry_after_ms } => (status, reason, retry_after_ms),
        };
        let mut response = plain_response(status, reason, retry_after_ms);
        // A body that was not read to its end may be followed by anything.
        if matches!(status, StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_TIMEOUT) {
            close_connection(&mut response);
        }
        Ok(response)
    }
}

/// Has the client's connection closed after a response.
pub(crate) fn close_connection(response: &mut Response<Full<Bytes>>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}

/// A response of the proxy's own.
pub(crate) fn plain_response(
    status: StatusCode,
    reason: &'static str,
    retry_after_ms: Millis,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(reason.as_bytes())));
    *response.status_mut() = status;
    if let Some(value) = retry_after_value(retry_after_ms) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Whether a status promises that the request has not run and never will.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// The response for the final outcome of a dispatched request. A rejected client is told to wait at least `min_retry_after_ms`.
pub(crate) fn outcome_response(
    answer: FinalResponse,
    min_retry_after_ms: Millis,
    runs_at_most_once: bool,
) -> Response<Full<Bytes>> {
    match answer {
        // The status would promise what the server has not: a server that does not run a request says so by a header of its
        // own, and such an answer is not passed on.
        FinalResponse::Buffered(answer) if runs_at_most_once && promises_not_run(answer.status()) => {
            plain_response(StatusCode::BAD_GATEWAY, "failed; it may have run", 0.0)
        }
        FinalResponse::Buffered(answer) => {
            let (mut parts, body) = answer.into_parts();
            parts.headers = without_hop_by_hop(parts.headers);
            // Set again from the body.
            parts.headers.remove(header::CONTENT_LENGTH);
            Response::from_parts(parts, Full::new(body))
        }
        FinalResponse::Refused(wait_ms, ..) => {
            let retry_after_ms = wait_ms.max(RETRY_SOON_MS).max(min_retry_after_ms);
            plain_response(StatusCode::SERVICE_UNAVAILABLE, "refused; nothing was run", retry_after_ms)
        }
        FinalResponse::TimedOut => plain_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time", 0.0),
        FinalResponse::Failed | FinalResponse::Streamed(_) | FinalResponse::Served(..) => {
            plain_response(StatusCode::BAD_GATEWAY, "failed", 0.0)
        }
    }
}
