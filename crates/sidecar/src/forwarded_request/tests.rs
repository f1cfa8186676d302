//! Unit tests of `forwarded_request`.

use super::*;
use hyper::header::{HeaderName, HeaderValue};

fn parse_headers(pairs: &[(&'static str, &'static str)]) -> Result<(Option<String>, String, String), String> {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    let request = parse(&headers, "asker.example")?;
    Ok((request.method.map(|m| m.to_string()), request.target.path_and_query(), request.host))
}

#[test]
fn both_header_sets_are_parsed_and_targets_normalized() {
    let expected = |method: Option<&str>, target: &str, host: &str| {
        Ok((method.map(str::to_owned), target.to_owned(), host.to_owned()))
    };
    assert_eq!(
        parse_headers(&[
            ("x-forwarded-method", "POST"),
            ("x-forwarded-uri", "/a/../orders?x=1"),
            ("x-forwarded-host", "Shop.example:80"),
        ]),
        expected(Some("POST"), "/orders?x=1", "shop.example")
    );
    assert_eq!(parse_headers(&[("x-original-uri", "/orders")]), expected(None, "/orders", "asker.example"));
    assert_eq!(
        parse_headers(&[("x-original-url", "https://shop.example/orders"), ("x-original-method", "PUT")]),
        expected(Some("PUT"), "/orders", "shop.example")
    );
}

#[test]
fn missing_malformed_and_contradictory_headers_are_reported() {
    for (pairs, expected_text) in [
        (&[("x-forwarded-method", "GET")][..], "not told"),
        (&[("x-forwarded-uri", "orders")], "does not begin with /"),
        (&[("x-forwarded-uri", "/a"), ("x-original-uri", "/b")], "different things"),
        (&[("x-forwarded-uri", "/a"), ("x-forwarded-uri", "/b")], "repeated with another value"),
        (&[("x-forwarded-uri", "/a"), ("x-original-url", "http://h/b")], "another target"),
        (&[("x-forwarded-host", "g"), ("x-original-url", "http://h/b")], "different hosts"),
        (&[("x-forwarded-uri", "/a"), ("x-forwarded-method", "G T")], "malformed"),
        (
            &[("x-forwarded-uri", "/a"), ("x-forwarded-method", "GET"), ("x-original-method", "POST")],
            "different",
        ),
    ] {
        let error = parse_headers(pairs).expect_err("the headers are rejected");
        assert!(error.contains(expected_text), "{pairs:?}: {error}");
    }
}
