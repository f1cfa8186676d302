//! Headers that fronts have in common.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use ivygate_gateway::Millis;

/// The headers of a request that go on: all but those that belong to the client's connection.
pub fn end_to_end(headers: HeaderMap) -> HeaderMap {
    let mut headers = without_hop_by_hop(headers);
    // The length is written anew from the body.
    for name in [header::CONTENT_LENGTH, header::EXPECT, header::PROXY_AUTHORIZATION] {
        headers.remove(name);
    }
    headers
}

/// The headers of a message without those that belong to one connection.
pub fn without_hop_by_hop(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [header::CONNECTION, header::TE, header::TRAILER, header::TRANSFER_ENCODING, header::UPGRADE]
    {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    headers
}

/// Seconds with three places, rounded up; `None` for no advice.
pub fn retry_after_value(wait: Millis) -> Option<HeaderValue> {
    let wait = wait.ceil();
    (wait > 0.0).then(|| HeaderValue::try_from(format!("{:.3}", wait / 1000.0)).ok()).flatten()
}
