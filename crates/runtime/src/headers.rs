//! Header processing shared by all request handlers.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use ivygate_time::Millis;

/// Headers that a peer cannot have removed by naming them in `Connection`: the servers behind rely on them.
const PROTECTED: [&str; 7] =
    ["host", "content-length", "transfer-encoding", "req-id", "forwarded", "authorization", "cookie"];

fn is_protected(name: &HeaderName) -> bool {
    PROTECTED.contains(&name.as_str()) || name.as_str().starts_with("x-forwarded-")
}

/// Returns the headers of a request that are forwarded: all except those that belong to the client's
/// connection.
///
/// Headers that the client names in `Connection` are removed, except for the protected ones and those for
/// which `keep` returns true.
pub fn end_to_end(headers: HeaderMap, keep: impl Fn(&HeaderName) -> bool) -> HeaderMap {
    let mut headers = without_connection_headers(headers, keep);
    // The length is set again from the body.
    remove(&mut headers, &[header::CONTENT_LENGTH, header::EXPECT, header::PROXY_AUTHORIZATION]);
    headers
}

/// Returns the headers of a message without those that belong to one connection.
pub fn without_hop_by_hop(headers: HeaderMap) -> HeaderMap {
    without_connection_headers(headers, |_| false)
}

fn without_connection_headers(mut headers: HeaderMap, keep: impl Fn(&HeaderName) -> bool) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !is_protected(name) && !keep(name))
        .collect();
    remove(&mut headers, &named);
    remove(
        &mut headers,
        &[
            header::CONNECTION,
            header::TE,
            header::TRAILER,
            header::TRANSFER_ENCODING,
            header::UPGRADE,
            HeaderName::from_static("keep-alive"),
            HeaderName::from_static("proxy-connection"),
        ],
    );
    headers
}

/// Removes headers. Few messages have any of these, and one pass over a message's headers costs less than a
/// lookup of each name.
fn remove(headers: &mut HeaderMap, names: &[HeaderName]) {
    if headers.keys().any(|name| names.contains(name)) {
        for name in names {
            headers.remove(name);
        }
    }
}

/// Formats a `Retry-After` value in seconds with three decimal places, rounded up to milliseconds; `None` if
/// `wait` is 0.
pub fn retry_after_value(wait: Millis) -> Option<HeaderValue> {
    let wait = wait.ceil();
    (wait > 0.0).then(|| HeaderValue::try_from(format!("{:.3}", wait / 1000.0)).ok()).flatten()
}

/// Returns the value of a header that may occur once, or several times with the same value.
///
/// # Errors
/// If the header is repeated with another value, or is not valid text.
pub fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, &'static str> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.any(|other| other != value) {
        return Err("a header is repeated with another value");
    }
    value.to_str().map(|text| Some(text.trim())).map_err(|_| "a header is no text")
}
