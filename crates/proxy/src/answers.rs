//! Which outcome a server's answer stands for, and what it is told of an attempt.

use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_ENCODING};
use hyper::StatusCode;
use ivygate_gateway::{Millis, Outcome};

/// The id of one try; answers bring it back.
pub const ATTEMPT: HeaderName = HeaderName::from_static("ivygate-attempt-id");
/// How long the client waits.
pub const DEADLINE: HeaderName = HeaderName::from_static("ivygate-deadline-ms");
/// Which life of a server is meant.
pub const WANTED: HeaderName = HeaderName::from_static("ivygate-want-instance");
/// Whose request it is.
pub const TENANT: HeaderName = HeaderName::from_static("ivygate-tenant");
/// What a client shows for a tenant.
pub const KEY: HeaderName = HeaderName::from_static("x-api-key");
const SEAL: HeaderName = HeaderName::from_static("ivygate-server-seal");
const NOT_RUN: HeaderName = HeaderName::from_static("ivygate-not-run");

/// The outcome that an answer stands for.
pub fn judge(status: StatusCode, headers: &HeaderMap) -> Outcome {
    if headers.contains_key(NOT_RUN) {
        return Outcome::Full;
    }
    // Another life has the address: for the request's server it is as if none listened.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::ConnectFailed;
    }
    // Nobody asked for an encoding: the body is not the server's.
    if headers.contains_key(CONTENT_ENCODING) || (status.is_success() && !headers.contains_key(SEAL)) {
        return Outcome::Spoilt;
    }
    if status.is_server_error() {
        Outcome::Error
    } else {
        Outcome::Ok
    }
}

/// Tells a server the time that is left and that only this life of it is meant.
pub fn tell(headers: &mut HeaderMap, left: Millis, server: &str) {
    headers.insert(DEADLINE, HeaderValue::from(left.max(1.0) as u64));
    if let Ok(id) = HeaderValue::from_str(server) {
        headers.insert(WANTED, id);
    }
}
