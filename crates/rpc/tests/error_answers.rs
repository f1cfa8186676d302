//! Every kind of error: its word, the status and body that answer it, and whether the call may do better later.

use ivygate_rpc::{json_response, ErrorKind, RpcError};

/// The kind, its word, its status, and whether the same call may do better elsewhere or later.
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
fn answers_of_errors_keep_status_and_body() {
    for (kind, word, status, passing) in KINDS {
        let answer = json_response::<()>(Err(RpcError::new(kind, "why \"this\"")));
        assert_eq!(answer.status.as_u16(), status, "{word}");
        let body = format!(r#"{{"kind":"{word}","detail":"why \"this\""}}"#);
        assert_eq!(String::from_utf8(answer.body).expect("it is text"), body);
        assert_eq!(kind.is_retryable(), passing, "{word}");
        let read: RpcError = serde_json::from_str(&body).expect("it is understood");
        assert_eq!((read.kind, read.detail.as_str()), (kind, "why \"this\""));
    }
}

#[test]
fn answers_without_an_error_are_their_value() {
    let answer = json_response(Ok(17_u64));
    assert_eq!((answer.status.as_u16(), answer.body.as_slice()), (200, &b"17"[..]));
    assert_eq!(json_response(Ok(())).body, b"null");
}

#[test]
fn an_answer_that_says_that_nothing_came_into_force_is_never_given_for_what_may_pass_later() {
    for kind in ErrorKind::all() {
        let status = kind.status().as_u16();
        assert_eq!(kind.is_retryable(), status > 500, "{kind:?}");
    }
    assert_eq!(ErrorKind::all().count(), KINDS.len());
}
