//! Precedence of routes, conflicts and overlaps.

use ivygate_routing::*;

fn route_match(host: &str, path: &str, methods: &str) -> RouteMatch {
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

fn table(routes: &[(&str, &str, &str)]) -> RouteTable {
    RouteTable::build(routes.iter().map(|(h, p, m)| route_match(h, p, m)).collect()).expect("no conflict")
}

fn route(table: &RouteTable, host: &str, path: &str, method: &str) -> Option<usize> {
    match table.find(host, path, method) {
        LookupResult::Route(number, _) => Some(number),
        _ => None,
    }
}

#[test]
fn exact_host_precedes_longest_suffix_and_any_host() {
    let t = table(&[
        ("*", "prefix /", ""),
        ("*.org", "prefix /", ""),
        ("*.example.org", "prefix /", ""),
        ("tiles.example.org", "prefix /", ""),
    ]);
    for (host, expected) in [
        ("tiles.example.org", 3),
        ("a.example.org", 2),
        ("a.b.example.org", 2),
        ("example.org", 1),
        ("org", 0),
        ("badexample.org", 1),
        ("x", 0),
        ("[::1]", 0),
    ] {
        assert_eq!(route(&t, host, "/", "GET"), Some(expected), "{host}");
    }
}

#[test]
fn exact_path_precedes_longest_prefix_and_first_pattern() {
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
    for (path, expected) in [
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
        assert_eq!(route(&t, "h", path, "GET"), expected, "{path}");
    }
}

#[test]
fn named_method_precedes_any_method_and_unmatched_methods_are_listed() {
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
fn request_unmatched_by_the_more_specific_host_falls_back_to_the_next() {
    let t = table(&[("a.example.org", "prefix /a", ""), ("*", "prefix /", "")]);
    assert_eq!(route(&t, "a.example.org", "/a", "GET"), Some(0));
    assert_eq!(route(&t, "a.example.org", "/b", "GET"), Some(1));
}

#[test]
fn equal_matches_are_rejected_with_both_route_numbers() {
    let build = |routes: &[(&str, &str, &str)]| {
        RouteTable::build(routes.iter().map(|(h, p, m)| route_match(h, p, m)).collect())
            .map_err(|e| e.conflicts)
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
fn overlaps_report_the_winning_and_the_shadowed_route() {
    let t = table(&[
        ("*", "prefix /", ""),
        ("tiles.example.org", "prefix /tiles", ""),
        ("*", "pattern /x/*", ""),
        ("*", "prefix /tiles", ""),
    ]);
    let pairs: Vec<_> = t.overlaps().iter().map(|o| (o.winner, o.shadowed)).collect();
    // The pattern is unreachable: the prefix `/` takes all requests.
    assert_eq!(pairs, [(1, 3), (0, 2), (3, 0)]);
}

#[test]
fn paths_that_no_request_could_match_are_rejected() {
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

/// Finds the route by comparing the rank of every route: a reference for the table's lookup.
fn reference_lookup(routes: &[RouteMatch], host: &str, path: &str, method: &str) -> Option<usize> {
    let segments: Vec<&str> = path[1..].split('/').collect();
    let rank = |number: usize, route: &RouteMatch| {
        let host = match &route.host {
            HostMatch::Exact(h) if h == host => (2, 0),
            HostMatch::Suffix(s) if host.ends_with(&format!(".{s}")) => (1, s.len()),
            HostMatch::Any => (0, 0),
            _ => return None,
        };
        let path = match &route.path {
            PathMatch::Exact(p) if p == path => (2, 0, 0),
            PathMatch::Prefix(p) if p.ends_with('/') && path.starts_with(p.as_str()) => (1, p.len(), 0),
            PathMatch::Prefix(p) if path == p || path.starts_with(&format!("{p}/")) => (1, p.len(), 0),
            PathMatch::Pattern(pattern, has_tail) => {
                let length_matches =
                    if *has_tail { segments.len() > pattern.len() } else { segments.len() == pattern.len() };
                let segments_match = pattern.iter().zip(&segments).all(|(p, s)| match p {
                    Segment::Literal(text) => text == s,
                    Segment::Any => !s.is_empty(),
                });
                if !length_matches || !segments_match {
                    return None;
                }
                (0, 0, usize::MAX - number)
            }
            _ => return None,
        };
        let named = match &route.methods {
            MethodMatch::Any => 0,
            MethodMatch::Named(names) if names.iter().any(|n| n == method) => 1,
            MethodMatch::Named(_) => return None,
        };
        Some((host, path, named))
    };
    let ranked = routes.iter().enumerate().filter_map(|(n, c)| Some((rank(n, c)?, n)));
    ranked.max().map(|(_, number)| number)
}

#[test]
fn table_agrees_with_the_reference_lookup() {
    let mut rng = fastrand::Rng::with_seed(11);
    let hosts = ["*", "a.org", "*.org", "*.a.org", "b.a.org"];
    let parts = ["a", "b", "c"];
    for _ in 0..400 {
        let mut routes: Vec<RouteMatch> = Vec::new();
        for _ in 0..rng.usize(1..14) {
            let kind = ["exact", "prefix", "pattern"][rng.usize(..3)];
            let mut path: String = (0..rng.usize(1..4))
                .map(|_| {
                    let is_wildcard = kind == "pattern" && rng.bool();
                    format!("/{}", if is_wildcard { "*" } else { parts[rng.usize(..3)] })
                })
                .collect();
            match rng.usize(..4) {
                0 if kind == "pattern" => path.push_str("/**"),
                1 => path.push('/'),
                _ => {}
            }
            let methods = ["", "GET", "PUT"][rng.usize(..3)];
            let new = route_match(hosts[rng.usize(..hosts.len())], &format!("{kind} {path}"), methods);
            let mut extended = routes.clone();
            extended.push(new);
            if RouteTable::build(extended.clone()).is_ok() {
                routes = extended;
            }
        }
        let table = RouteTable::build(routes.clone()).expect("no conflict");
        for _ in 0..60 {
            let mut path: String =
                (0..rng.usize(1..5)).map(|_| format!("/{}", parts[rng.usize(..3)])).collect();
            if rng.bool() {
                path.push('/');
            }
            let host = ["a.org", "b.a.org", "c.b.a.org", "x.org", "x"][rng.usize(..5)];
            let method = ["GET", "PUT", "POST"][rng.usize(..3)];
            let found = route(&table, host, &path, method);
            let expected = reference_lookup(&routes, host, &path, method);
            assert_eq!(found, expected, "{method} {host}{path} of {routes:#?}");
        }
    }
}
