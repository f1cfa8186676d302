//! Client address, customer and deadline, read from a request's headers. No I/O.

use hyper::header::{self, HeaderMap};
use ipnet::IpNet;
use ivygate_config::CustomerSource;
use ivygate_runtime::single_value;
use std::net::IpAddr;
use std::sync::Arc;

/// Maximum length of a customer's name.
const MAX_CUSTOMER_BYTES: usize = 128;

/// Returns whether a peer is a trusted proxy.
pub fn is_trusted(trusted: &[IpNet], address: IpAddr) -> bool {
    let address = address.to_canonical();
    trusted.iter().any(|net| net.contains(&address))
}

/// Returns the client's address: the peer's, or if that is trusted, the last untrusted address in `X-Forwarded-For`.
pub fn client_address(peer: IpAddr, trusted: &[IpNet], headers: &HeaderMap) -> IpAddr {
    let mut address = peer.to_canonical();
    let values = headers.get_all("x-forwarded-for").iter().filter_map(|v| v.to_str().ok());
    let addresses: Vec<&str> = values.flat_map(|v| v.split(',')).map(str::trim).collect();
    for text in addresses.iter().rev() {
        if !is_trusted(trusted, address) {
            break;
        }
        let bare = text.strip_prefix('[').and_then(|t| t.split(']').next()).unwrap_or(text);
        // An unreadable entry ends the trusted part of the chain.
        let Ok(next) = bare.parse::<IpAddr>() else { break };
        address = next.to_canonical();
    }
    address
}

/// Returns the customer to whom a request is attributed, by default the client's address.
pub fn customer(
    from: &CustomerSource,
    headers: &HeaderMap,
    client: impl Fn() -> Arc<str>,
) -> Result<Arc<str>, &'static str> {
    let named = match from {
        CustomerSource::Header(name) => single_value(headers, name)?,
        CustomerSource::Cookie(name) => cookie(headers, name)?,
        CustomerSource::Address => None,
        CustomerSource::Fixed(name) => return Ok(name.as_str().into()),
    };
    match named {
        None | Some("") => Ok(client()),
        Some(name) if name.len() > MAX_CUSTOMER_BYTES => Err("the customer's name is too long"),
        Some(name) => Ok(name.into()),
    }
}

fn cookie<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, &'static str> {
    let cookies = headers.get_all(header::COOKIE).iter().filter_map(|v| v.to_str().ok());
    let pairs = cookies.flat_map(|v| v.split(';')).filter_map(|pair| pair.trim().split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value);
    let value = values.next();
    if values.any(|other| Some(other) != value) {
        return Err("the customer's cookie is repeated with another value");
    }
    Ok(value)
}

/// Parses a time limit into milliseconds: a number with the unit `us`, `u`, `ms`, `m` (milliseconds) or `s`.
pub fn duration(text: &str) -> Option<f64> {
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let number: f64 = text[..end].parse().ok()?;
    let factor = match &text[end..] {
        "u" | "us" => 0.001,
        "m" | "ms" => 1.0,
        "s" => 1000.0,
        _ => return None,
    };
    Some(number * factor).filter(|ms| *ms > 0.0)
}

#[cfg(test)]
mod tests;
