//! Who asks, by what plan, and for how long: read off a request's headers, with no I/O.

use hyper::header::{self, HeaderMap};
use ipnet::IpNet;
use ivygate_config::CustomerFrom;
use ivygate_runtime::one;
use std::net::IpAddr;
use std::sync::Arc;

/// Longest name of a customer.
const NAME_MOST: usize = 128;

/// Whether a peer's word is believed.
pub fn is_trusted(trusted: &[IpNet], address: IpAddr) -> bool {
    let address = address.to_canonical();
    trusted.iter().any(|net| net.contains(&address))
}

/// The client's address: the peer's, or where that is trusted the last one told that is not.
pub fn client_address(peer: IpAddr, trusted: &[IpNet], headers: &HeaderMap) -> IpAddr {
    let mut address = peer.to_canonical();
    let values = headers.get_all("x-forwarded-for").iter().filter_map(|v| v.to_str().ok());
    let told: Vec<&str> = values.flat_map(|v| v.split(',')).map(str::trim).collect();
    for told in told.iter().rev() {
        if !is_trusted(trusted, address) {
            break;
        }
        let bare = told.strip_prefix('[').and_then(|t| t.split(']').next()).unwrap_or(told);
        // What cannot be read ends the chain of those who are believed.
        let Ok(next) = bare.parse::<IpAddr>() else { break };
        address = next.to_canonical();
    }
    address
}

/// The customer that a request is counted for; the client's address where it does not tell.
pub fn customer(
    from: &CustomerFrom,
    headers: &HeaderMap,
    client: impl Fn() -> Arc<str>,
) -> Result<Arc<str>, &'static str> {
    let named = match from {
        CustomerFrom::Header(name) => one(headers, name)?,
        CustomerFrom::Cookie(name) => cookie(headers, name)?,
        CustomerFrom::Address => None,
        CustomerFrom::Fixed(name) => return Ok(name.as_str().into()),
    };
    match named {
        None | Some("") => Ok(client()),
        Some(name) if name.len() > NAME_MOST => Err("the customer's name is too long"),
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

/// A time that a trusted peer allows: a number and `us`, `u`, `ms`, `m` (milliseconds) or `s`; milliseconds.
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
mod tests {
    use super::*;
    use hyper::header::{HeaderName, HeaderValue};

    fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
        let pair =
            |(n, v): &(&'static str, &'static str)| (HeaderName::from_static(n), HeaderValue::from_static(v));
        pairs.iter().map(pair).collect()
    }

    #[test]
    fn only_trusted_peers_are_believed_about_addresses() {
        let trusted: Vec<IpNet> = vec!["10.0.0.0/8".parse().unwrap()];
        let ip = |text: &str| text.parse::<IpAddr>().unwrap();
        let told = headers(&[("x-forwarded-for", "1.1.1.1, 2.2.2.2"), ("x-forwarded-for", "10.0.0.9")]);
        assert_eq!(client_address(ip("9.9.9.9"), &trusted, &told), ip("9.9.9.9"));
        assert_eq!(client_address(ip("10.0.0.1"), &trusted, &told), ip("2.2.2.2"));
        assert_eq!(client_address(ip("10.0.0.1"), &[], &told), ip("10.0.0.1"));
        assert_eq!(client_address(ip("::ffff:10.0.0.1"), &trusted, &told), ip("2.2.2.2"));
        let nonsense = headers(&[("x-forwarded-for", "1.1.1.1, unknown")]);
        assert_eq!(client_address(ip("10.0.0.1"), &trusted, &nonsense), ip("10.0.0.1"));
        let six = headers(&[("x-forwarded-for", "[2001:db8::1]:80")]);
        assert_eq!(client_address(ip("10.0.0.1"), &trusted, &six), ip("2001:db8::1"));
    }

    #[test]
    fn a_customer_that_is_named_in_two_ways_is_refused() {
        let client = || "9.9.9.9".into();
        let by = |from: &CustomerFrom, pairs| customer(from, &headers(pairs), client).map(|c| c.to_string());
        let (header, cookie) = (CustomerFrom::Header("x-c".into()), CustomerFrom::Cookie("c".into()));
        assert_eq!(by(&header, &[("x-c", " a ")]), Ok("a".into()));
        assert_eq!(by(&header, &[("x-c", "a"), ("x-c", "a")]), Ok("a".into()));
        assert!(by(&header, &[("x-c", "a"), ("x-c", "b")]).is_err());
        assert_eq!(by(&header, &[]), Ok("9.9.9.9".into()));
        assert_eq!(by(&cookie, &[("cookie", "b=1; c=a")]), Ok("a".into()));
        assert!(by(&cookie, &[("cookie", "c=a"), ("cookie", "c=b")]).is_err());
        assert_eq!(by(&CustomerFrom::Fixed("f".into()), &[]), Ok("f".into()));
    }

    #[test]
    fn deadlines_have_units() {
        assert_eq!(duration("480m"), Some(480.0));
        assert_eq!(duration("1500u"), Some(1.5));
        assert_eq!(duration("2s"), Some(2000.0));
        for bad in ["", "5", "0ms", "-1s", "1h", "s", "1.2.3s"] {
            assert_eq!(duration(bad), None, "{bad}");
        }
    }
}
