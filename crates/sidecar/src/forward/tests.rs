//! Unit tests of `forward`.

use super::*;

fn origin(trusted: bool) -> Origin<'static> {
    let protected_headers = Box::leak(Box::new(HashSet::from(["x-user".to_owned()])));
    Origin { peer: "10.0.0.1", trusted, host: "h", protected_headers }
}

#[test]
fn connection_header_cannot_remove_protected_headers() {
    let protected = [
        "host",
        "req-id",
        "forwarded",
        "authorization",
        "cookie",
        "x-forwarded-for",
        "x-forwarded-port",
        "x-user",
    ];
    for name in protected {
        let mut headers = HeaderMap::new();
        headers.insert(name, HeaderValue::from_static("v"));
        headers.insert("connection", HeaderValue::try_from(format!("close, {name}")).expect("a value"));
        let headers = to_application(headers, &origin(true), false, "id");
        assert!(headers.contains_key(name), "{name}");
    }
}

#[test]
fn proxy_headers_are_accepted_from_trusted_peers_in_regular_spelling_only() {
    let names =
        ["x_forwarded_for", "x-forwarded_host", "x-original-uri", "x_original_method", "x-forwarded-uri"];
    for (trusted, name) in [true, false].into_iter().flat_map(|t| names.map(|name| (t, name))) {
        let mut headers = HeaderMap::new();
        headers.insert(name, HeaderValue::from_static("v"));
        let headers = to_application(headers, &origin(trusted), false, "id");
        assert_eq!(headers.contains_key(name), trusted && !name.contains('_'), "{name} {trusted}");
    }
}

fn proxy_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("x-forwarded-for", "1.1.1.1"),
        ("x-forwarded-proto", "https"),
        ("x-forwarded-host", "told"),
        ("forwarded", "for=1.1.1.1"),
        ("connection", "x-mine, close"),
        ("x-mine", "1"),
        ("keep-alive", "1"),
        ("x-kept", "1"),
    ] {
        headers.insert(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    headers
}

#[test]
fn proxy_headers_of_untrusted_peers_are_replaced() {
    let headers = to_application(proxy_headers(), &origin(false), false, "id");
    assert_eq!(headers["x-forwarded-for"], "10.0.0.1");
    assert_eq!(
        (&headers["x-forwarded-proto"], &headers["x-forwarded-host"]),
        (&HeaderValue::from_static("http"), &HeaderValue::from_static("h"))
    );
    assert!(!headers.contains_key("forwarded") && headers["req-id"] == "id");
}

#[test]
fn trusted_peer_is_appended_to_forwarding_headers() {
    let headers = to_application(proxy_headers(), &origin(true), false, "id");
    assert_eq!(headers["x-forwarded-for"], "1.1.1.1, 10.0.0.1");
    assert_eq!(headers["forwarded"], "for=1.1.1.1, for=10.0.0.1;proto=http");
    assert_eq!(headers["x-forwarded-proto"], "https");
    assert_eq!(headers["x-forwarded-host"], "told");
}

#[test]
fn hop_by_hop_headers_are_removed() {
    let headers = to_application(proxy_headers(), &origin(false), false, "id");
    for removed in ["connection", "x-mine", "keep-alive"] {
        assert!(!headers.contains_key(removed), "{removed}");
    }
    assert_eq!(headers["x-kept"], "1");
    let response = to_client(proxy_headers());
    assert!(!response.contains_key("x-mine") && response["x-kept"] == "1");
}
