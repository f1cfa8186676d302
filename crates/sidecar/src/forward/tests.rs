//! Tests of `forward` that need its private state.

use super::*;

fn origin(trusted: bool) -> Origin<'static> {
    let kept = Box::leak(Box::new(HashSet::from(["x-user".to_owned()])));
    Origin { peer: "10.0.0.1", trusted, host: "h", kept }
}

#[test]
fn what_a_client_calls_its_connections_own_takes_nothing_that_is_relied_on() {
    let relied_on = [
        "host",
        "req-id",
        "forwarded",
        "authorization",
        "cookie",
        "x-forwarded-for",
        "x-forwarded-port",
        "x-user",
    ];
    for name in relied_on {
        let mut headers = HeaderMap::new();
        headers.insert(name, HeaderValue::from_static("v"));
        headers.insert("connection", HeaderValue::try_from(format!("close, {name}")).expect("a value"));
        let headers = to_application(headers, &origin(true), false, "id");
        assert!(headers.contains_key(name), "{name}");
    }
}

#[test]
fn what_proxies_say_is_believed_of_trusted_peers_only_and_in_one_spelling() {
    let said =
        ["x_forwarded_for", "x-forwarded_host", "x-original-uri", "x_original_method", "x-forwarded-uri"];
    for (trusted, name) in [true, false].into_iter().flat_map(|t| said.map(|name| (t, name))) {
        let mut headers = HeaderMap::new();
        headers.insert(name, HeaderValue::from_static("v"));
        let headers = to_application(headers, &origin(trusted), false, "id");
        assert_eq!(headers.contains_key(name), trusted && !name.contains('_'), "{name} {trusted}");
    }
}

fn told() -> HeaderMap {
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
fn untrusted_peers_say_nothing_of_others() {
    let headers = to_application(told(), &origin(false), false, "id");
    assert_eq!(headers["x-forwarded-for"], "10.0.0.1");
    assert_eq!(
        (&headers["x-forwarded-proto"], &headers["x-forwarded-host"]),
        (&HeaderValue::from_static("http"), &HeaderValue::from_static("h"))
    );
    assert!(!headers.contains_key("forwarded") && headers["req-id"] == "id");
}

#[test]
fn trusted_peers_are_passed_on_with_the_peer_behind_them() {
    let headers = to_application(told(), &origin(true), false, "id");
    assert_eq!(headers["x-forwarded-for"], "1.1.1.1, 10.0.0.1");
    assert_eq!(headers["forwarded"], "for=1.1.1.1, for=10.0.0.1;proto=http");
    assert_eq!(headers["x-forwarded-proto"], "https");
    assert_eq!(headers["x-forwarded-host"], "told");
}

#[test]
fn what_belongs_to_a_connection_stays_there() {
    let headers = to_application(told(), &origin(false), false, "id");
    for gone in ["connection", "x-mine", "keep-alive"] {
        assert!(!headers.contains_key(gone), "{gone}");
    }
    assert_eq!(headers["x-kept"], "1");
    let back = to_client(told());
    assert!(!back.contains_key("x-mine") && back["x-kept"] == "1");
}
