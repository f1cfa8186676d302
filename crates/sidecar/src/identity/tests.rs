//! Unit tests of `identity`.

use super::*;
use hyper::header::{HeaderName, HeaderValue};

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let pair =
        |(n, v): &(&'static str, &'static str)| (HeaderName::from_static(n), HeaderValue::from_static(v));
    pairs.iter().map(pair).collect()
}

#[test]
fn forwarded_addresses_are_accepted_from_trusted_peers_only() {
    let trusted: Vec<IpNet> = vec!["10.0.0.0/8".parse().unwrap()];
    let ip = |text: &str| text.parse::<IpAddr>().unwrap();
    let forwarded = headers(&[("x-forwarded-for", "1.1.1.1, 2.2.2.2"), ("x-forwarded-for", "10.0.0.9")]);
    assert_eq!(client_address(ip("9.9.9.9"), &trusted, &forwarded), ip("9.9.9.9"));
    assert_eq!(client_address(ip("10.0.0.1"), &trusted, &forwarded), ip("2.2.2.2"));
    assert_eq!(client_address(ip("10.0.0.1"), &[], &forwarded), ip("10.0.0.1"));
    assert_eq!(client_address(ip("::ffff:10.0.0.1"), &trusted, &forwarded), ip("2.2.2.2"));
    let unparsable = headers(&[("x-forwarded-for", "1.1.1.1, unknown")]);
    assert_eq!(client_address(ip("10.0.0.1"), &trusted, &unparsable), ip("10.0.0.1"));
    let ipv6 = headers(&[("x-forwarded-for", "[2001:db8::1]:80")]);
    assert_eq!(client_address(ip("10.0.0.1"), &trusted, &ipv6), ip("2001:db8::1"));
}

#[test]
fn conflicting_customer_names_are_rejected() {
    let client = || "9.9.9.9".into();
    let by = |from: &CustomerSource, pairs| customer(from, &headers(pairs), client).map(|c| c.to_string());
    let (header, cookie) = (CustomerSource::Header("x-c".into()), CustomerSource::Cookie("c".into()));
    assert_eq!(by(&header, &[("x-c", " a ")]), Ok("a".into()));
    assert_eq!(by(&header, &[("x-c", "a"), ("x-c", "a")]), Ok("a".into()));
    assert!(by(&header, &[("x-c", "a"), ("x-c", "b")]).is_err());
    assert_eq!(by(&header, &[]), Ok("9.9.9.9".into()));
    assert_eq!(by(&cookie, &[("cookie", "b=1; c=a")]), Ok("a".into()));
    assert!(by(&cookie, &[("cookie", "c=a"), ("cookie", "c=b")]).is_err());
    assert_eq!(by(&CustomerSource::Fixed("f".into()), &[]), Ok("f".into()));
}

#[test]
fn deadlines_require_units() {
    assert_eq!(duration("480m"), Some(480.0));
    assert_eq!(duration("1500u"), Some(1.5));
    assert_eq!(duration("2s"), Some(2000.0));
    for bad in ["", "5", "0ms", "-1s", "1h", "s", "1.2.3s"] {
        assert_eq!(duration(bad), None, "{bad}");
    }
}
