//! Every kind of error: its word, the status and body that answer it, and whether the call may do better later.

use ivygate_rpc::{answer_of, Fault, Kind};

/// The kind, its word, its status, and whether the same call may do better elsewhere or later.
const KINDS: [(Kind, &str, u16, bool); 13] = [
    (Kind::Malformed, "malformed", 400, false),
    (Kind::Invalid, "invalid", 400, false),
    (Kind::Unknown, "unknown", 404, false),
    (Kind::Method, "method", 405, false),
    (Kind::Conflict, "conflict", 409, false),
    (Kind::Forgotten, "forgotten", 503, true),
    (Kind::TooLarge, "too_large", 413, false),
    (Kind::Unready, "unready", 503, true),
    (Kind::NoMajority, "no_majority", 503, true),
    (Kind::Unreachable, "unreachable", 503, true),
    (Kind::Late, "late", 503, true),
    (Kind::Disk, "disk", 503, true),
    (Kind::Setting, "setting", 500, false),
];

#[test]
fn answers_of_errors_keep_status_and_body() {
    for (kind, word, status, passing) in KINDS {
        let answer = answer_of::<()>(Err(Fault::new(kind, "why \"this\"")));
        assert_eq!(answer.status.as_u16(), status, "{word}");
        let body = format!(r#"{{"kind":"{word}","detail":"why \"this\""}}"#);
        assert_eq!(String::from_utf8(answer.body).expect("it is text"), body);
        assert_eq!(kind.is_passing(), passing, "{word}");
        let read: Fault = serde_json::from_str(&body).expect("it is understood");
        assert_eq!((read.kind, read.detail.as_str()), (kind, "why \"this\""));
    }
}

#[test]
fn answers_without_an_error_are_their_value() {
    let answer = answer_of(Ok(17_u64));
    assert_eq!((answer.status.as_u16(), answer.body.as_slice()), (200, &b"17"[..]));
    assert_eq!(answer_of(Ok(())).body, b"null");
}
