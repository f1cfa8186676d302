//! Wire name, status, response body and retryability of every error kind.

use ivygate_rpc::{json_response, ErrorKind, RpcError};

/// Every kind with its wire name, its status, and whether it is retryable.
const KINDS: [(ErrorKind, &str, u16, bool); 13] = [
    (ErrorKind::Malformed, "malformed", 400, false),
    (ErrorKind::Invalid, "invalid", 400, false),
    (ErrorKind::NotFound, "unknown", 404, false),
    (ErrorKind::MethodNotAllowed, "method", 405, false),
    (ErrorKind::Conflict, "conflict", 409, false),
    (ErrorKind::VersionForgotten, "forgotten", 503, true),
    (ErrorKind::TooLarge, "too_large", 413, false),
    (ErrorKind::NotReady, "unready", 503, true),
    (ErrorKind::NoQuorum, "no_majority", 503, true),
    (ErrorKind::Unreachable, "unreachable", 503, true),
    (ErrorKind::Timeout, "late", 503, true),
    (ErrorKind::Disk, "disk", 503, true),
    (ErrorKind::Configuration, "setting", 500, false),
];

#[test]
fn error_responses_keep_status_and_body() {
    for (kind, name, status, is_retryable) in KINDS {
        let response = json_response::<()>(Err(RpcError::new(kind, "why \"this\"")));
        assert_eq!(response.status.as_u16(), status, "{name}");
        let body = format!(r#"{{"kind":"{name}","detail":"why \"this\""}}"#);
        assert_eq!(String::from_utf8(response.body).expect("body is UTF-8"), body);
        assert_eq!(kind.is_retryable(), is_retryable, "{name}");
        let parsed: RpcError = serde_json::from_str(&body).expect("error parses");
        assert_eq!((parsed.kind, parsed.detail.as_str()), (kind, "why \"this\""));
    }
}

#[test]
fn success_responses_contain_the_value() {
    let response = json_response(Ok(17_u64));
    assert_eq!((response.status.as_u16(), response.body.as_slice()), (200, &b"17"[..]));
    assert_eq!(json_response(Ok(())).body, b"null");
}

#[test]
fn retryable_errors_and_only_those_have_a_status_above_500() {
    // A 4xx status tells the caller that the request has had and will have no effect, so no error that a retry may resolve has
    // one.
    for kind in ErrorKind::all() {
        let status = kind.status().as_u16();
        assert_eq!(kind.is_retryable(), status > 500, "{kind:?}");
    }
    assert_eq!(ErrorKind::all().count(), KINDS.len());
}
