//! Responses to clients: rejections by the proxy itself and the mapping of outcomes.

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::Body;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode, Version};
use ivygate_runtime::{retry_after_value, without_hop_by_hop, FinalResponse, Streamed};
use ivygate_time::Millis;
use tokio::time::Instant;

/// Default retry-after time of a rejected request, in milliseconds.
pub(crate) const RETRY_SOON_MS: Millis = 100.0;
/// Retry-after time if only a configuration change can make the request succeed, in milliseconds.
pub(crate) const RETRY_LATE_MS: Millis = 30_000.0;

/// Body of a response: complete, or forwarded while it is received.
pub(crate) type ProxyBody = Either<Full<Bytes>, Streamed>;

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
        /// The client's connection is closed after the response.
        closes_connection: bool,
    },
    /// The connection of the client failed.
    ConnectionLost(hyper::Error),
}

impl Rejection {
    /// Creates a rejection without a retry-after time.
    pub fn new(status: StatusCode, reason: &'static str) -> Self {
        Self::Respond { status, reason, retry_after_ms: 0.0, closes_connection: false }
    }

    /// Creates a rejection with status 503 and a retry-after time.
    pub fn unavailable(reason: &'static str, retry_after_ms: Millis) -> Self {
        Self::retry_later(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after_ms)
    }

    /// Creates a rejection with a status and a retry-after time.
    pub fn retry_later(status: StatusCode, reason: &'static str, retry_after_ms: Millis) -> Self {
        Self::Respond { status, reason, retry_after_ms, closes_connection: false }
    }

    /// Closes the client's connection after the response.
    #[must_use]
    pub fn closing_connection(mut self) -> Self {
        if let Self::Respond { closes_connection, .. } = &mut self {
            *closes_connection = true;
        }
        self
    }

    /// Converts the rejection to a response, or returns the error of the client's connection.
    pub fn into_response(self) -> Result<Response<ProxyBody>, hyper::Error> {
        let (status, reason, retry_after_ms, closes_connection) = match self {
            Self::ConnectionLost(error) => return Err(error),
            Self::Respond { status, reason, retry_after_ms, closes_connection } => {
                (status, reason, retry_after_ms, closes_connection)
            }
        };
        let mut response = plain_response(status, reason, retry_after_ms);
        if closes_connection {
            close_connection(&mut response);
        }
        Ok(response)
    }
}

/// Marks a response so that the client's connection is closed after it.
pub(crate) fn close_connection(response: &mut Response<ProxyBody>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}

/// Creates a plain-text response of the proxy itself.
pub(crate) fn plain_response(
    status: StatusCode,
    reason: &'static str,
    retry_after_ms: Millis,
) -> Response<ProxyBody> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from_static(reason.as_bytes()))));
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

/// What the response to a dispatched request depends on beside the outcome.
pub(crate) struct ResponseContext {
    /// Time until which the client waits.
    pub deadline: Instant,
    /// HTTP version of the request.
    pub version: Version,
    /// The request must not run more than once.
    pub runs_at_most_once: bool,
    /// Minimum retry-after time of a rejection, in milliseconds.
    pub min_retry_after_ms: Millis,
}

/// Maps the final outcome of a dispatched request to a response.
pub(crate) fn outcome_response(answer: FinalResponse, context: &ResponseContext) -> Response<ProxyBody> {
    match answer {
        FinalResponse::Buffered(answer) => {
            forwarded_response(context, answer.map(Full::new).map(Either::Left))
        }
        FinalResponse::Streamed(mut answer) => {
            answer.body_mut().set_deadline(context.deadline);
            forwarded_response(context, answer.map(Either::Right))
        }
        FinalResponse::Refused(wait_ms, ..) => {
            let retry_after_ms = wait_ms.max(RETRY_SOON_MS).max(context.min_retry_after_ms);
            plain_response(StatusCode::SERVICE_UNAVAILABLE, "refused; nothing was run", retry_after_ms)
        }
        FinalResponse::TimedOut => plain_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time", 0.0),
        FinalResponse::Failed | FinalResponse::Served(..) => {
            plain_response(StatusCode::BAD_GATEWAY, "failed", 0.0)
        }
    }
}

/// Forwards a server's response.
fn forwarded_response(context: &ResponseContext, answer: Response<ProxyBody>) -> Response<ProxyBody> {
    // The status would guarantee that the request was not executed, which the server does not: it states that with a header of
    // its own, and responses with that header are not forwarded.
    let guarantees_too_much = context.runs_at_most_once && guarantees_not_executed(answer.status());
    // Without chunks, a body of unknown length that ends early would look complete.
    let needs_chunks = answer.body().size_hint().exact().is_none();
    if guarantees_too_much || (needs_chunks && context.version < Version::HTTP_11) {
        return plain_response(StatusCode::BAD_GATEWAY, "failed; it may have run", 0.0);
    }
    let (mut parts, body) = answer.into_parts();
    parts.headers = without_hop_by_hop(parts.headers);
    // hyper sets the length again from the body.
    parts.headers.remove(header::CONTENT_LENGTH);
    Response::from_parts(parts, body)
}
