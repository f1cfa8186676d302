//! What another program asks about: read off the headers of its check, with no I/O.
//!
//! Two forms are read: `X-Forwarded-Method`, `-Uri`, `-Host` (Traefik, Caddy, another ivygate) and `X-Original-Method`,
//! `-URI`, `-URL` (nginx). What both tell must agree.

use hyper::header::HeaderMap;
use hyper::Method;
use ivygate_routing::{normalize_host, RequestTarget};
use ivygate_runtime::single_value;

/// A request that somebody else has and asks about.
#[derive(Debug)]
pub struct About {
    /// Its method, if that is told.
    pub method: Option<Method>,
    /// Its target, in normal form.
    pub target: RequestTarget,
    /// Its host.
    pub host: String,
}

/// Reads what is asked about; `host` is the check's own.
///
/// # Errors
/// Says what is missing or contradicts itself.
pub fn read(headers: &HeaderMap, host: &str) -> Result<About, String> {
    let uri = agreed(headers, "x-forwarded-uri", "x-original-uri")?;
    // How the client came says nothing of where its request goes.
    let url = single_value(headers, "x-original-url")?.map(|url| url.replacen("https://", "http://", 1));
    let parse =
        |text: &str| RequestTarget::parse(text).map_err(|error| format!("what is asked about: {error}"));
    let (target, named) = match (uri, url) {
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
    let method = match agreed(headers, "x-forwarded-method", "x-original-method")? {
        None => None,
        Some(name) => Some(Method::from_bytes(name.as_bytes()).map_err(|_| "the method is malformed")?),
    };
    let told = match single_value(headers, "x-forwarded-host")? {
        None => None,
        Some(text) => Some(normalize_host(text).map_err(|error| format!("X-Forwarded-Host: {error}"))?),
    };
    let host = match (told, named) {
        (Some(told), Some(named)) if told != named => {
            return Err("X-Forwarded-Host and X-Original-URL name different hosts".into())
        }
        (told, named) => told.or(named).unwrap_or_else(|| host.to_owned()),
    };
    Ok(About { method, target, host })
}

fn agreed<'a>(headers: &'a HeaderMap, first: &str, second: &str) -> Result<Option<&'a str>, String> {
    match (single_value(headers, first)?, single_value(headers, second)?) {
        (Some(a), Some(b)) if a != b => Err(format!("{first} and {second} tell different things")),
        (a, b) => Ok(a.or(b)),
    }
}

#[cfg(test)]
mod tests;
