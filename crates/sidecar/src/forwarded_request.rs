//! Parses the request that another proxy describes in the headers of its check. No I/O.
//!
//! Two sets of headers are supported: `X-Forwarded-Method`, `-Uri`, `-Host` (Traefik, Caddy, another ivygate) and
//! `X-Original-Method`, `-URI`, `-URL` (nginx). If both are present, they must agree.

use hyper::header::HeaderMap;
use hyper::Method;
use ivygate_routing::{normalize_host, RequestTarget};
use ivygate_runtime::single_value;

/// Request described by another proxy.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// Method, if stated.
    pub method: Option<Method>,
    /// Normalized target.
    pub target: RequestTarget,
    /// Host.
    pub host: String,
}

/// Parses the described request; `host` is the default, the host of the check itself.
///
/// # Errors
/// Returns a message if a header is missing, malformed or contradicts another.
pub fn parse(headers: &HeaderMap, host: &str) -> Result<ForwardedRequest, String> {
    let uri = consistent_header(headers, "x-forwarded-uri", "x-original-uri")?;
    // The client's scheme does not affect routing.
    let url = single_value(headers, "x-original-url")?.map(|url| url.replacen("https://", "http://", 1));
    let parse =
        |text: &str| RequestTarget::parse(text).map_err(|error| format!("what is asked about: {error}"));
    let (target, url_host) = match (uri, url) {
        (None, None) => {
            return Err("what is asked about is not told: X-Forwarded-Uri or X-Original-URI is missing".into())
        }
        (Some(uri), _) if !uri.starts_with('/') => {
            return Err("X-Forwarded-Uri or X-Original-URI does not begin with /".into())
        }
        (Some(uri), None) => (parse(uri)?, None),
        (None, Some(url)) => {
            let target = parse(&url)?;
            let host = target.host.clone();
            (target, host)
        }
        (Some(uri), Some(url)) => {
            let (target, other) = (parse(uri)?, parse(&url)?);
            if target.path_and_query() != other.path_and_query() {
                return Err("X-Original-URL tells another target than the other headers".into());
            }
            (target, other.host)
        }
    };
    let method = match consistent_header(headers, "x-forwarded-method", "x-original-method")? {
        None => None,
        Some(name) => Some(Method::from_bytes(name.as_bytes()).map_err(|_| "the method is malformed")?),
    };
    let forwarded_host = match single_value(headers, "x-forwarded-host")? {
        None => None,
        Some(text) => Some(normalize_host(text).map_err(|error| format!("X-Forwarded-Host: {error}"))?),
    };
    let host = match (forwarded_host, url_host) {
        (Some(forwarded), Some(url)) if forwarded != url => {
            return Err("X-Forwarded-Host and X-Original-URL name different hosts".into())
        }
        (forwarded, url) => forwarded.or(url).unwrap_or_else(|| host.to_owned()),
    };
    Ok(ForwardedRequest { method, target, host })
}

/// Returns the value of two alternative headers, which must be equal if both are present.
fn consistent_header<'a>(
    headers: &'a HeaderMap,
    first: &str,
    second: &str,
) -> Result<Option<&'a str>, String> {
    match (single_value(headers, first)?, single_value(headers, second)?) {
        (Some(a), Some(b)) if a != b => Err(format!("{first} and {second} tell different things")),
        (a, b) => Ok(a.or(b)),
    }
}

#[cfg(test)]
mod tests;
