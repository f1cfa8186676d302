//! Unit tests of `target`.

use super::*;

#[test]
fn each_spelling_of_a_path_has_one_defined_result() {
    let cases: [(&str, Result<&str, TargetError>); 33] = [
        ("/", Ok("/")),
        ("//", Ok("/")),
        ("/a//b", Ok("/a/b")),
        ("/a/", Ok("/a/")),
        ("/a/.", Ok("/a/")),
        ("/a/./b", Ok("/a/b")),
        ("/a/b/..", Ok("/a/")),
        ("/a/../b", Ok("/b")),
        ("/a/%2e%2e/b", Ok("/b")),
        ("/a/%2E./b", Ok("/b")),
        ("/..", Err(TargetError::AboveRoot)),
        ("/%2e%2e", Err(TargetError::AboveRoot)),
        ("/a/../../b", Err(TargetError::AboveRoot)),
        ("/%41%7e", Ok("/A~")),
        ("/%c3%a9", Ok("/%C3%A9")),
        ("/a%2fb", Ok("/a%2Fb")),
        ("/a%2Fb", Ok("/a%2Fb")),
        ("/..%2fb", Err(TargetError::HiddenDotSegment)),
        ("/a%2F..%2Fb", Err(TargetError::HiddenDotSegment)),
        ("/a%5c..", Err(TargetError::HiddenDotSegment)),
        ("/..;x/b", Err(TargetError::HiddenDotSegment)),
        ("/.;/b", Err(TargetError::HiddenDotSegment)),
        ("/a;x=1/b", Ok("/a;x=1/b")),
        ("/a%3bx", Ok("/a%3Bx")),
        ("/%zz", Err(TargetError::InvalidEscape)),
        ("/%4", Err(TargetError::InvalidEscape)),
        ("/%", Err(TargetError::InvalidEscape)),
        ("/%+1", Err(TargetError::InvalidEscape)),
        ("/%00", Err(TargetError::InvalidEscape)),
        ("/a\\b", Err(TargetError::InvalidByte)),
        ("/a b", Err(TargetError::InvalidByte)),
        ("/é", Err(TargetError::InvalidByte)),
        ("a", Err(TargetError::InvalidForm)),
    ];
    for (path, expected) in cases {
        assert_eq!(normalize_path(path).as_deref(), expected.as_ref().map(|p| *p), "{path}");
    }
    assert_eq!(normalize_path(&format!("/{}", "a".repeat(MAX_PATH_BYTES))), Err(TargetError::TooLong));
    assert_eq!(normalize_path(&"/a".repeat(MAX_SEGMENTS + 1)), Err(TargetError::TooLong));
}

#[test]
fn normalization_is_idempotent() {
    let mut rng = fastrand::Rng::with_seed(7);
    let parts = ["a", ".", "..", "", "%2e", "%2F", "%41", ";", "x;y", "%c3", "b", "%5C", "~"];
    for _ in 0..20_000 {
        let path: String = (0..rng.usize(1..8))
            .map(|_| ["/", ""][rng.usize(..2)].to_owned() + parts[rng.usize(..parts.len())])
            .collect();
        if let Ok(normal) = normalize_path(&path) {
            assert_eq!(normalize_path(&normal).as_deref(), Ok(normal.as_str()), "{path}");
            assert!(!normal.split('/').any(|s| s == "." || s == ".."), "{path} -> {normal}");
        }
    }
}

#[test]
fn absolute_targets_include_their_host() {
    let target = RequestTarget::parse("http://Tiles.Example.org:8080/a/../b?x=//").unwrap();
    assert_eq!((target.host.as_deref(), target.path.as_str()), (Some("tiles.example.org"), "/b"));
    assert_eq!(target.path_and_query(), "/b?x=//");
    assert_eq!(RequestTarget::parse("http://h?x").unwrap().path_and_query(), "/?x");
    assert_eq!(RequestTarget::parse("HTTP://h").unwrap().path, "/");
    for bad in ["*", "h:80", "https://h/", "ftp://h/", "http://", "http://u@h/", "", "/a#b", "/a?b#c"] {
        assert!(RequestTarget::parse(bad).is_err(), "{bad}");
    }
}

#[test]
fn hosts_are_compared_without_case_port_and_final_dot() {
    for (given, expected) in [
        ("A.b", "a.b"),
        ("a.b.", "a.b"),
        ("a:80", "a"),
        ("a:", "a"),
        ("[::1]:80", "[::1]"),
        ("10.0.0.1:9", "10.0.0.1"),
    ] {
        assert_eq!(normalize_host(given).as_deref(), Ok(expected), "{given}");
    }
    for bad in ["", ".", "a..b", "a b", "a/b", "a:x", "a:99999", "a:1:2", "[::1", "[x]", "u@h", "a%41", "a,b"]
    {
        assert_eq!(normalize_host(bad), Err(TargetError::InvalidHost), "{bad}");
    }
}
