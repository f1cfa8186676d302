//! Headers on their way to an application and back.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use ivygate_forward_auth::fold_header_name;
use ivygate_runtime::{end_to_end, without_hop_by_hop};
use std::collections::HashSet;

const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");
const FORWARDED_HOST: HeaderName = HeaderName::from_static("x-forwarded-host");
const FORWARDED_PROTO: HeaderName = HeaderName::from_static("x-forwarded-proto");
/// A request's id, made if missing.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("req-id");

/// Where a request came from.
pub struct Origin<'a> {
    /// The peer's address.
    pub peer: &'a str,
    /// Whether its word is believed.
    pub trusted: bool,
    /// The host that was asked for.
    pub host: &'a str,
    /// Folded names of headers that the configuration reads or sets: no client takes them away.
    pub kept: &'a HashSet<String>,
}

/// Whether a header says what only a proxy that is trusted may say, in whatever spelling.
fn is_said_by_proxies(folded: &str) -> bool {
    folded == "forwarded" || folded.starts_with("x-forwarded-") || folded.starts_with("x-original-")
}

/// Removes what proxies say of a request: all of it where the peer is not trusted, and from any peer in a spelling that
/// only applications behind a gateway such as CGI take for it.
fn without_spoofed(headers: &mut HeaderMap, trusted: bool) {
    let spoofed = |name: &HeaderName| {
        let folded = fold_header_name(name.as_str());
        is_said_by_proxies(&folded) && (!trusted || folded != name.as_str())
    };
    // Few requests have any, and most names tell by their first letter.
    let may = |name: &&HeaderName| matches!(name.as_str().as_bytes().first(), Some(b'x' | b'f'));
    let names: Vec<HeaderName> = headers.keys().filter(may).filter(|name| spoofed(name)).cloned().collect();
    for name in names {
        headers.remove(name);
    }
}

/// The headers that an application gets. `trailers` says that trailers may come behind the body.
pub fn to_application(headers: HeaderMap, origin: &Origin, trailers: bool, id: &str) -> HeaderMap {
    let announced: Vec<HeaderValue> = headers.get_all(header::TRAILER).iter().cloned().collect();
    let takes_trailers =
        headers.get_all(header::TE).iter().any(|v| v.as_bytes().eq_ignore_ascii_case(b"trailers"));
    let mut headers = end_to_end(headers, |name| origin.kept.contains(&fold_header_name(name.as_str())));
    without_spoofed(&mut headers, origin.trusted);
    if trailers {
        for value in announced {
            headers.append(header::TRAILER, value);
        }
    }
    if takes_trailers {
        headers.insert(header::TE, HeaderValue::from_static("trailers"));
        headers.insert(header::CONNECTION, HeaderValue::from_static("te"));
    }
    let peer = origin.peer;
    let chain = if origin.trusted {
        let told = headers.get_all(&FORWARDED_FOR).iter().filter_map(|v| v.to_str().ok());
        told.chain([peer]).collect::<Vec<_>>().join(", ")
    } else {
        peer.to_owned()
    };
    if let Ok(chain) = HeaderValue::try_from(chain) {
        headers.insert(FORWARDED_FOR, chain);
    }
    if let Some(told) = headers.get(header::FORWARDED).and_then(|v| v.to_str().ok()) {
        let own = if peer.contains(':') { format!("\"[{peer}]\"") } else { peer.to_owned() };
        if let Ok(value) = HeaderValue::try_from(format!("{told}, for={own};proto=http")) {
            headers.insert(header::FORWARDED, value);
        }
    }
    if let Ok(host) = HeaderValue::try_from(origin.host) {
        headers.entry(FORWARDED_HOST).or_insert(host);
    }
    headers.entry(FORWARDED_PROTO).or_insert(HeaderValue::from_static("http"));
    if let Ok(id) = HeaderValue::try_from(id) {
        headers.entry(REQUEST_ID).or_insert(id);
    }
    headers
}

/// The headers of an application's answer that its client gets.
pub fn to_client(headers: HeaderMap) -> HeaderMap {
    let announced: Vec<HeaderValue> = headers.get_all(header::TRAILER).iter().cloned().collect();
    let chunked = headers.contains_key(header::TRANSFER_ENCODING);
    let mut headers = without_hop_by_hop(headers);
    if chunked {
        headers.remove(header::CONTENT_LENGTH);
        for value in announced {
            headers.append(header::TRAILER, value);
        }
    }
    headers
}

#[cfg(test)]
mod tests;
