//! Headers that fronts have in common.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use ivygate_time::Millis;

/// Headers that no peer takes away by naming them in `Connection`: what is behind relies on them.
const KEPT: [&str; 7] =
    ["host", "content-length", "transfer-encoding", "req-id", "forwarded", "authorization", "cookie"];

fn is_kept(name: &HeaderName) -> bool {
    KEPT.contains(&name.as_str()) || name.as_str().starts_with("x-forwarded-")
}

/// The headers of a request that go on: all but those that belong to the client's connection. What a client names as
/// such is believed, but for what is always kept and for `kept`.
pub fn end_to_end(headers: HeaderMap, kept: impl Fn(&HeaderName) -> bool) -> HeaderMap {
    let mut headers = without_named(headers, kept);
    // The length is written anew from the body.
    remove(&mut headers, &[header::CONTENT_LENGTH, header::EXPECT, header::PROXY_AUTHORIZATION]);
    headers
}

/// The headers of a message without those that belong to one connection.
pub fn without_hop_by_hop(headers: HeaderMap) -> HeaderMap {
    without_named(headers, |_| false)
}

fn without_named(mut headers: HeaderMap, kept: impl Fn(&HeaderName) -> bool) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !is_kept(name) && !kept(name))
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

/// Removes headers. Few messages have any of them, and looking through their few headers costs less than asking
/// for each name.
fn remove(headers: &mut HeaderMap, names: &[HeaderName]) {
    if headers.keys().any(|name| names.contains(name)) {
        for name in names {
            headers.remove(name);
        }
    }
}

/// Seconds with three places, rounded up; `None` for no advice.
pub fn retry_after_value(wait: Millis) -> Option<HeaderValue> {
    let wait = wait.ceil();
    (wait > 0.0).then(|| HeaderValue::try_from(format!("{:.3}", wait / 1000.0)).ok()).flatten()
}

/// A header's only value; one that is repeated with another value, or is no text, is an error.
///
/// # Errors
/// Says which of the two it is.
pub fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, &'static str> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.any(|other| other != value) {
        return Err("a header is repeated with another value");
    }
    value.to_str().map(|text| Some(text.trim())).map_err(|_| "a header is no text")
}
