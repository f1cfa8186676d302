//! Tests of `asker` that need its private state.

use super::*;
use hyper::header::{HeaderName, HeaderValue};

fn about(pairs: &[(&'static str, &'static str)]) -> Result<(Option<String>, String, String), String> {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    let about = read(&headers, "asker.example")?;
    Ok((about.method.map(|m| m.to_string()), about.target.path_and_query(), about.host))
}

#[test]
fn both_forms_are_read_and_targets_come_in_normal_form() {
    let told = |method: Option<&str>, target: &str, host: &str| {
        Ok((method.map(str::to_owned), target.to_owned(), host.to_owned()))
    };
    assert_eq!(
        about(&[
            ("x-forwarded-method", "POST"),
            ("x-forwarded-uri", "/a/../orders?x=1"),
            ("x-forwarded-host", "Shop.example:80"),
        ]),
        told(Some("POST"), "/orders?x=1", "shop.example")
    );
    assert_eq!(about(&[("x-original-uri", "/orders")]), told(None, "/orders", "asker.example"));
    assert_eq!(
        about(&[("x-original-url", "https://shop.example/orders"), ("x-original-method", "PUT")]),
        told(Some("PUT"), "/orders", "shop.example")
    );
}

#[test]
fn what_is_missing_malformed_or_contradicts_itself_is_told() {
    for (pairs, part) in [
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
        let error = about(pairs).expect_err("it is refused");
        assert!(error.contains(part), "{pairs:?}: {error}");
    }
}
