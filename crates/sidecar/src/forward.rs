//! Header rewriting between clients and applications.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use ivygate_forward_auth::fold_header_name;
use ivygate_runtime::{end_to_end, without_hop_by_hop};
use std::collections::HashSet;

const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");
const FORWARDED_HOST: HeaderName = HeaderName::from_static("x-forwarded-host");
const FORWARDED_PROTO: HeaderName = HeaderName::from_static("x-forwarded-proto");
/// Header with the request id, added if missing.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("req-id");

/// Origin of a request.
pub struct Origin<'a> {
    /// Address of the peer.
    pub peer: &'a str,
    /// Set if the peer is a trusted proxy.
    pub trusted: bool,
    /// Requested host.
    pub host: &'a str,
    /// Normalized names of the headers that the configuration reads or sets; a client cannot remove them by naming them
    /// in `Connection`.
    pub protected_headers: &'a HashSet<String>,
}

/// Returns whether only trusted proxies may set a header of this normalized name.
fn is_proxy_header(folded: &str) -> bool {
    folded == "forwarded" || folded.starts_with("x-forwarded-") || folded.starts_with("x-original-")
}

/// Removes proxy headers: all of them if the peer is not trusted, and from any peer those spelled with `_`, which
/// applications behind a gateway such as CGI cannot distinguish from the regular spelling.
fn remove_spoofed_headers(headers: &mut HeaderMap, trusted: bool) {
    let spoofed = |name: &HeaderName| {
        let folded = fold_header_name(name.as_str());
        is_proxy_header(&folded) && (!trusted || folded != name.as_str())
    };
    // Few requests have such headers; the first letter excludes most names cheaply.
    let may = |name: &&HeaderName| matches!(name.as_str().as_bytes().first(), Some(b'x' | b'f'));
    let names: Vec<HeaderName> = headers.keys().filter(may).filter(|name| spoofed(name)).cloned().collect();
    for name in names {
        headers.remove(name);
    }
}

/// Returns the headers for the application. `trailers` states that trailers may follow the body.
pub fn to_application(headers: HeaderMap, origin: &Origin, trailers: bool, id: &str) -> HeaderMap {
    let announced: Vec<HeaderValue> = headers.get_all(header::TRAILER).iter().cloned().collect();
    let takes_trailers =
        headers.get_all(header::TE).iter().any(|v| v.as_bytes().eq_ignore_ascii_case(b"trailers"));
    let mut headers =
        end_to_end(headers, |name| origin.protected_headers.contains(&fold_header_name(name.as_str())));
    remove_spoofed_headers(&mut headers, origin.trusted);
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
        let forwarded_for = headers.get_all(&FORWARDED_FOR).iter().filter_map(|v| v.to_str().ok());
        forwarded_for.chain([peer]).collect::<Vec<_>>().join(", ")
    } else {
        peer.to_owned()
    };
    if let Ok(chain) = HeaderValue::try_from(chain) {
        headers.insert(FORWARDED_FOR, chain);
    }
    if let Some(forwarded) = headers.get(header::FORWARDED).and_then(|v| v.to_str().ok()) {
        let node = if peer.contains(':') { format!("\"[{peer}]\"") } else { peer.to_owned() };
        if let Ok(value) = HeaderValue::try_from(format!("{forwarded}, for={node};proto=http")) {
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

/// Returns the headers of an application's response for the client.
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
