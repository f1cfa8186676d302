//! Headers that the proxy and servers exchange, and the outcome that a server's answer stands for.

use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_ENCODING};
use hyper::StatusCode;
use ivygate_gateway::Outcome;
use ivygate_time::Millis;

/// The id of one attempt of a client; answers bring it back.
pub(crate) const ATTEMPT_ID: HeaderName = HeaderName::from_static("ivygate-attempt-id");
/// How long the client waits, in milliseconds.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("ivygate-deadline-ms");
/// Which incarnation of a server is meant.
pub(crate) const WANTED_INSTANCE: HeaderName = HeaderName::from_static("ivygate-want-instance");
/// Whose request it is.
pub(crate) const TENANT: HeaderName = HeaderName::from_static("ivygate-tenant");
/// The key that a client shows for a tenant.
pub(crate) const API_KEY: HeaderName = HeaderName::from_static("x-api-key");
/// Set by servers on their own answers.
const SERVER_SEAL: HeaderName = HeaderName::from_static("ivygate-server-seal");
/// Set by a server that rejected the request unseen.
const NOT_RUN: HeaderName = HeaderName::from_static("ivygate-not-run");

/// The outcome that an answer stands for.
pub(crate) fn outcome_of(status: StatusCode, headers: &HeaderMap) -> Outcome {
    if headers.contains_key(NOT_RUN) {
        return Outcome::Rejected;
    }
    // Another incarnation has the address: for the server that was meant it is as if none listened.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::ConnectFailed;
    }
    // Nobody asked for an encoding: the body is not the server's.
    if headers.contains_key(CONTENT_ENCODING) || (status.is_success() && !headers.contains_key(SERVER_SEAL)) {
        return Outcome::Unusable;
    }
    if status.is_server_error() {
        Outcome::Error
    } else {
        Outcome::Ok
    }
}

/// Tells a server the time that is left, and which incarnation of it is meant.
pub(crate) fn set_attempt_headers(headers: &mut HeaderMap, left: Millis, server: &str) {
    headers.insert(DEADLINE, HeaderValue::from(left.max(1.0) as u64));
    if let Ok(id) = HeaderValue::from_str(server) {
        headers.insert(WANTED_INSTANCE, id);
    }
}
