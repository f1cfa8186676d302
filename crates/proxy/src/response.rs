//! Responses to clients: rejections by the proxy itself and the mapping of outcomes.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use ivygate_runtime::{retry_after_value, without_hop_by_hop, FinalResponse};
use ivygate_time::Millis;

/// Default retry-after time of a rejected request, in milliseconds.
pub(crate) const RETRY_SOON_MS: Millis = 100.0;
/// Retry-after time if only a configuration change can make the request succeed, in milliseconds.
pub(crate) const RETRY_LATE_MS: Millis = 30_000.0;

/// Reason why a request is not dispatched.
pub(crate) enum Rejection {
    /// The proxy responds itself.
    Respond {
        /// HTTP status.
        status: StatusCode,
        /// Human-readable reason, sent as the body.
        reason: &'static str,
        /// Retry-after time in milliseconds; 0 for none.
        retry_after_ms: Millis,
    },
    /// The connection of the client failed.
    ConnectionLost(hyper::Error),
}

impl Rejection {
    /// Creates a rejection without a retry-after time.
    pub fn new(status: StatusCode, reason: &'static str) -> Self {
        Self::Respond { status, reason, retry_after_ms: 0.0 }
    }

    /// Creates a rejection with status 503 and a retry-after time.
    pub fn unavailable(reason: &'static str, retry_after_ms: Millis) -> Self {
        Self::Respond { status: StatusCode::SERVICE_UNAVAILABLE, reason, retry_after_ms }
    }

    /// Converts the rejection to a response, or returns the error of the client's connection.
    pub fn into_response(self) -> Result<Response<Full<Bytes>>, hyper::Error> {
        let (status, reason, retry_after_ms) = match self {
            Self::ConnectionLost(error) => return Err(error),
            Self::Respond { status, reason, retry_after_ms } => (status, reason, retry_after_ms),
        };
        let mut response = plain_response(status, reason, retry_after_ms);
        // The rest of an incompletely read body would be taken for the next request.
        if matches!(status, StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_TIMEOUT) {
            close_connection(&mut response);
        }
        Ok(response)
    }
}

/// Marks a response so that the client's connection is closed after it.
pub(crate) fn close_connection(response: &mut Response<Full<Bytes>>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}

/// Creates a plain-text response of the proxy itself.
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

/// Returns whether a status guarantees that the request has not been executed and never will be.
fn guarantees_not_executed(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// Maps the final outcome of a dispatched request to a response. `min_retry_after_ms` is the minimum retry-after time of a
/// rejection.
pub(crate) fn outcome_response(
    answer: FinalResponse,
    min_retry_after_ms: Millis,
    runs_at_most_once: bool,
) -> Response<Full<Bytes>> {
    match answer {
        // The status would guarantee that the request was not executed, which the server does not: it states that with a header
        // of its own, and responses with that header are not forwarded.
        FinalResponse::Buffered(answer) if runs_at_most_once && guarantees_not_executed(answer.status()) => {
            plain_response(StatusCode::BAD_GATEWAY, "failed; it may have run", 0.0)
        }
        FinalResponse::Buffered(answer) => {
            let (mut parts, body) = answer.into_parts();
            parts.headers = without_hop_by_hop(parts.headers);
            // hyper sets the length again from the body.
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
