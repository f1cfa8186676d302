//! The order of routes, conflicts and overlaps.

use ivygate_routing::*;

fn claim(host: &str, path: &str, methods: &str) -> RouteMatch {
    let (kind, text) = path.split_once(' ').expect("a kind and a path");
    let path = match kind {
        "exact" => PathMatch::exact(text),
        "prefix" => PathMatch::prefix(text),
        _ => PathMatch::pattern(text),
    };
    let methods = match methods {
        "" => MethodMatch::Any,
        names => MethodMatch::Named(names.split(' ').map(str::to_owned).collect()),
    };
    RouteMatch { host: HostMatch::parse(host).expect("a host"), path: path.expect("a path"), methods }
}

fn table(claims: &[(&str, &str, &str)]) -> RouteTable {
    RouteTable::build(claims.iter().map(|(h, p, m)| claim(h, p, m)).collect()).expect("no conflict")
}

fn route(table: &RouteTable, host: &str, path: &str, method: &str) -> Option<usize> {
    match table.find(host, path, method) {
        LookupResult::Route(number, _) => Some(number),
        _ => None,
    }
}

#[test]
fn an_exact_host_goes_before_the_longest_suffix_before_any() {
    let t = table(&[
        ("*", "prefix /", ""),
        ("*.org", "prefix /", ""),
        ("*.example.org", "prefix /", ""),
        ("tiles.example.org", "prefix /", ""),
    ]);
    for (host, wanted) in [
        ("tiles.example.org", 3),
        ("a.example.org", 2),
        ("a.b.example.org", 2),
        ("example.org", 1),
        ("org", 0),
        ("badexample.org", 1),
        ("x", 0),
        ("[::1]", 0),
    ] {
        assert_eq!(route(&t, host, "/", "GET"), Some(wanted), "{host}");
    }
}

#[test]
fn an_exact_path_goes_before_the_longest_prefix_before_the_first_pattern() {
    let t = table(&[
        ("*", "pattern /a/*/c", ""),
        ("*", "pattern /a/**", ""),
        ("*", "pattern /*/b/c", ""),
        ("*", "prefix /p", ""),
        ("*", "prefix /p/q", ""),
        ("*", "exact /p/q", ""),
        ("*", "prefix /s/", ""),
        ("*", "exact /s", ""),
    ]);
    for (path, wanted) in [
        ("/a/b/c", Some(0)),
        ("/a/b", Some(1)),
        ("/a/", Some(1)),
        ("/a", None),
        ("/x/b/c", Some(2)),
        ("/p", Some(3)),
        ("/p/", Some(3)),
        ("/px", None),
        ("/p/qq", Some(3)),
        ("/p/q", Some(5)),
        ("/p/q/", Some(4)),
        ("/p/q/r", Some(4)),
        ("/s", Some(7)),
        ("/s/", Some(6)),
        ("/s/t", Some(6)),
        ("/", None),
    ] {
        assert_eq!(route(&t, "h", path, "GET"), wanted, "{path}");
    }
}

#[test]
fn a_named_method_goes_before_any_and_others_are_told() {
    let t = table(&[
        ("*", "exact /o", "POST"),
        ("*", "exact /o", "GET HEAD"),
        ("*", "prefix /e", "POST"),
        ("*", "prefix /e", ""),
    ]);
    assert_eq!(route(&t, "h", "/o", "POST"), Some(0));
    assert_eq!(route(&t, "h", "/o", "HEAD"), Some(1));
    assert_eq!(route(&t, "h", "/e/1", "POST"), Some(2));
    assert_eq!(route(&t, "h", "/e/1", "PUT"), Some(3));
    let others = ["GET", "HEAD", "POST"].map(str::to_owned).to_vec();
    assert_eq!(t.find("h", "/o", "PUT"), LookupResult::MethodNotAllowed(others));
    assert_eq!(t.find("h", "/x", "PUT"), LookupResult::NotFound);
}

#[test]
fn a_request_that_a_better_host_leaves_goes_to_the_next() {
    let t = table(&[("a.example.org", "prefix /a", ""), ("*", "prefix /", "")]);
    assert_eq!(route(&t, "a.example.org", "/a", "GET"), Some(0));
    assert_eq!(route(&t, "a.example.org", "/b", "GET"), Some(1));
}

#[test]
fn equal_claims_are_refused_with_both_numbers() {
    let build = |claims: &[(&str, &str, &str)]| {
        RouteTable::build(claims.iter().map(|(h, p, m)| claim(h, p, m)).collect()).map_err(|e| e.conflicts)
    };
    let pair = |first, second| Err(vec![Conflict { first, second }]);
    assert_eq!(build(&[("*", "prefix /a", ""), ("*", "prefix /a", "")]).map(|_| ()), pair(0, 1));
    assert_eq!(build(&[("h", "exact /a", "GET PUT"), ("H.", "exact /a", "PUT")]).map(|_| ()), pair(0, 1));
    assert_eq!(build(&[("*", "pattern /*/a", ""), ("*", "pattern /*/a", "")]).map(|_| ()), pair(0, 1));
    assert!(build(&[("*", "prefix /a", ""), ("*", "prefix /a/", "")]).is_ok());
    assert!(build(&[("*", "prefix /a", ""), ("*", "exact /a", "")]).is_ok());
    assert!(build(&[("*", "exact /a", "GET"), ("*", "exact /a", "")]).is_ok());
    assert!(build(&[("*", "exact /a", "GET"), ("*", "exact /a", "PUT")]).is_ok());
    assert!(build(&[("a", "exact /a", ""), ("*", "exact /a", "")]).is_ok());
}

#[test]
fn overlaps_tell_who_takes_and_who_would() {
    let t = table(&[
        ("*", "prefix /", ""),
        ("tiles.example.org", "prefix /tiles", ""),
        ("*", "pattern /x/*", ""),
        ("*", "prefix /tiles", ""),
    ]);
    let pairs: Vec<_> = t.overlaps().iter().map(|o| (o.winner, o.shadowed)).collect();
    // The pattern is never reached: the prefix `/` takes all.
    assert_eq!(pairs, [(1, 3), (0, 2), (3, 0)]);
}

#[test]
fn claims_that_nothing_could_match_are_malformed() {
    assert_eq!(PathMatch::prefix("/a//b"), Err(PatternError::NotNormalized("/a/b".into())));
    assert_eq!(PathMatch::exact("/%41"), Err(PatternError::NotNormalized("/A".into())));
    assert_eq!(PathMatch::pattern("/a*/b"), Err(PatternError::PartialWildcard("a*".into())));
    assert_eq!(PathMatch::pattern("/**/b"), Err(PatternError::TailWildcardNotLast));
    assert!(PathMatch::exact("a").is_err() && PathMatch::pattern("a/*").is_err());
    assert!(PathMatch::pattern("/**").is_ok());
    assert!(
        HostMatch::parse("*.").is_err()
            && HostMatch::parse("a.*.b").is_err()
            && HostMatch::parse("").is_err()
    );
}

/// What the order says, spelled out route by route.
fn by_hand(claims: &[RouteMatch], host: &str, path: &str, method: &str) -> Option<usize> {
    let segments: Vec<&str> = path[1..].split('/').collect();
    let rank = |number: usize, claim: &RouteMatch| {
        let host = match &claim.host {
            HostMatch::Exact(h) if h == host => (2, 0),
            HostMatch::Suffix(s) if host.ends_with(&format!(".{s}")) => (1, s.len()),
            HostMatch::Any => (0, 0),
            _ => return None,
        };
        let path = match &claim.path {
            PathMatch::Exact(p) if p == path => (2, 0, 0),
            PathMatch::Prefix(p) if p.ends_with('/') && path.starts_with(p.as_str()) => (1, p.len(), 0),
            PathMatch::Prefix(p) if path == p || path.starts_with(&format!("{p}/")) => (1, p.len(), 0),
            PathMatch::Pattern(wanted, tail) => {
                let enough =
                    if *tail { segments.len() > wanted.len() } else { segments.len() == wanted.len() };
                let fits = wanted.iter().zip(&segments).all(|(w, s)| match w {
                    Segment::Literal(text) => text == s,
                    Segment::Any => !s.is_empty(),
                });
                if !enough || !fits {
                    return None;
                }
                (0, 0, usize::MAX - number)
            }
            _ => return None,
        };
        let named = match &claim.methods {
            MethodMatch::Any => 0,
            MethodMatch::Named(names) if names.iter().any(|n| n == method) => 1,
            MethodMatch::Named(_) => return None,
        };
        Some((host, path, named))
    };
    let ranked = claims.iter().enumerate().filter_map(|(n, c)| Some((rank(n, c)?, n)));
    ranked.max().map(|(_, number)| number)
}

#[test]
fn the_table_agrees_with_the_order_spelled_out() {
    let mut rng = fastrand::Rng::with_seed(11);
    let hosts = ["*", "a.org", "*.org", "*.a.org", "b.a.org"];
    let parts = ["a", "b", "c"];
    for _ in 0..400 {
        let mut claims: Vec<RouteMatch> = Vec::new();
        for _ in 0..rng.usize(1..14) {
            let kind = ["exact", "prefix", "pattern"][rng.usize(..3)];
            let mut path: String = (0..rng.usize(1..4))
                .map(|_| {
                    let wild = kind == "pattern" && rng.bool();
                    format!("/{}", if wild { "*" } else { parts[rng.usize(..3)] })
                })
                .collect();
            match rng.usize(..4) {
                0 if kind == "pattern" => path.push_str("/**"),
                1 => path.push('/'),
                _ => {}
            }
            let methods = ["", "GET", "PUT"][rng.usize(..3)];
            let new = claim(hosts[rng.usize(..hosts.len())], &format!("{kind} {path}"), methods);
            let mut with = claims.clone();
            with.push(new);
            if RouteTable::build(with.clone()).is_ok() {
                claims = with;
            }
        }
        let table = RouteTable::build(claims.clone()).expect("no conflict");
        for _ in 0..60 {
            let mut path: String =
                (0..rng.usize(1..5)).map(|_| format!("/{}", parts[rng.usize(..3)])).collect();
            if rng.bool() {
                path.push('/');
            }
            let host = ["a.org", "b.a.org", "c.b.a.org", "x.org", "x"][rng.usize(..5)];
            let method = ["GET", "PUT", "POST"][rng.usize(..3)];
            let (found, wanted) = (route(&table, host, &path, method), by_hand(&claims, host, &path, method));
            assert_eq!(found, wanted, "{method} {host}{path} of {claims:#?}");
        }
    }
}
