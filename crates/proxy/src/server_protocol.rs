//! Headers exchanged between the proxy and servers, and the mapping of a server's response to an outcome.

use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_ENCODING};
use hyper::StatusCode;
use ivygate_gateway::Outcome;
use ivygate_time::Millis;

/// ID of a client's attempt, which the response returns.
pub(crate) const ATTEMPT_ID: HeaderName = HeaderName::from_static("ivygate-attempt-id");
/// Time for which the client waits, in milliseconds.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("ivygate-deadline-ms");
/// ID of the server incarnation that the request is meant for.
pub(crate) const WANTED_INSTANCE: HeaderName = HeaderName::from_static("ivygate-want-instance");
/// Name of the tenant that sent the request.
pub(crate) const TENANT: HeaderName = HeaderName::from_static("ivygate-tenant");
/// API key with which a client authenticates as a tenant.
pub(crate) const API_KEY: HeaderName = HeaderName::from_static("x-api-key");
/// Header that servers set on their own responses.
const SERVER_SEAL: HeaderName = HeaderName::from_static("ivygate-server-seal");
/// Header set by a server that rejected the request without processing it.
const NOT_RUN: HeaderName = HeaderName::from_static("ivygate-not-run");

/// Returns the outcome that a server's response stands for.
pub(crate) fn outcome_of(status: StatusCode, headers: &HeaderMap) -> Outcome {
    if headers.contains_key(NOT_RUN) {
        return Outcome::Rejected;
    }
    // Another incarnation uses the address, so the intended server is as unreachable as after a failed connection.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::ConnectFailed;
    }
    // The proxy requests no content encoding, so an encoded body does not come from the server itself. The same holds for a
    // success without the server's seal.
    if headers.contains_key(CONTENT_ENCODING) || (status.is_success() && !headers.contains_key(SERVER_SEAL)) {
        return Outcome::Unusable;
    }
    if status.is_server_error() {
        Outcome::Error
    } else {
        Outcome::Ok
    }
}

/// Sets the headers of one attempt: the remaining time in milliseconds and the intended server incarnation.
pub(crate) fn set_attempt_headers(headers: &mut HeaderMap, remaining_ms: Millis, server: &str) {
    headers.insert(DEADLINE, HeaderValue::from(remaining_ms.max(1.0) as u64));
    if let Ok(id) = HeaderValue::from_str(server) {
        headers.insert(WANTED_INSTANCE, id);
    }
}
