//! Unit tests of `equivalence`.

use super::*;
use crate::table::{PathMatch, RouteMatch};

fn route_match(host: &str, path: &str, methods: &str) -> RouteMatch {
    let (kind, path) = path.split_once(' ').unwrap();
    let path = match kind {
        "exact" => PathMatch::exact(path),
        "prefix" => PathMatch::prefix(path),
        _ => PathMatch::pattern(path),
    };
    let methods = match methods {
        "" => MethodMatch::Any,
        names => MethodMatch::Named(names.split(' ').map(str::to_owned).collect()),
    };
    RouteMatch { host: HostMatch::parse(host).unwrap(), path: path.unwrap(), methods }
}

fn table(routes: &[(&str, &str, &str)]) -> RouteTable {
    RouteTable::build(routes.iter().map(|(h, p, m)| route_match(h, p, m)).collect()).unwrap()
}

fn unreachable(routes: &[(&str, &str, &str)]) -> Vec<(usize, Vec<usize>)> {
    table(routes).unreachable()
}

#[test]
fn pattern_after_a_wider_pattern_is_unreachable() {
    let routes = [("*", "pattern /a/**", ""), ("*", "pattern /a/*/b", "")];
    assert_eq!(unreachable(&routes), [(1, vec![0])]);
    let routes = [("*", "pattern /a/*/b", ""), ("*", "pattern /a/**", "")];
    assert_eq!(unreachable(&routes), []);
}

#[test]
fn pattern_covered_by_several_routes_together_is_unreachable() {
    let routes =
        [("*", "prefix /a", "GET"), ("*", "pattern /a/*", "POST PUT"), ("*", "pattern /a/x", "GET POST")];
    assert_eq!(unreachable(&routes), [(2, vec![0, 1])]);
}

#[test]
fn route_for_any_method_is_reached_by_methods_in_no_list() {
    assert_eq!(unreachable(&[("*", "exact /a", "GET"), ("*", "exact /a", "")]), []);
}

#[test]
fn pattern_under_a_prefix_is_unreachable_only_if_the_host_is_the_same() {
    assert_eq!(unreachable(&[("h", "prefix /a", ""), ("h", "pattern /a/*", "")]), [(1, vec![0])]);
    assert_eq!(unreachable(&[("h", "prefix /a", ""), ("*", "pattern /a/*", "")]), []);
}

#[test]
fn route_for_all_hosts_is_reached_by_hosts_that_no_route_names() {
    assert_eq!(unreachable(&[("*.x", "prefix /", ""), ("a.x", "prefix /", ""), ("*", "prefix /", "")]), []);
}

/// Builds a random table from few names, so that its routes overlap.
fn random_table(rng: &mut fastrand::Rng) -> RouteTable {
    let mut routes = Vec::new();
    for _ in 0..rng.usize(1..8) {
        let host = ["*", "*.x", "a.x", "b.a.x", "h"][rng.usize(..5)];
        let mut path = String::new();
        for _ in 0..rng.usize(0..4) {
            path += ["/a", "/b", "/c"][rng.usize(..3)];
        }
        let kind = ["exact", "prefix", "pattern"][rng.usize(..3)];
        if kind == "pattern" {
            path = path.replace("/c", "/*") + ["", "/**"][rng.usize(..2)];
        }
        path += if path.is_empty() || (kind != "pattern" && rng.u8(..4) == 0) { "/" } else { "" };
        let methods = ["", "GET", "GET POST", "POST"][rng.usize(..4)];
        routes.push(route_match(host, &format!("{kind} {path}"), methods));
        if RouteTable::build(routes.clone()).is_err() {
            routes.pop();
        }
    }
    RouteTable::build(routes).unwrap()
}

/// Returns the match of the route that takes a request, regardless of its number.
fn matched<'a>(table: &'a RouteTable, host: &str, path: &str, method: &str) -> Option<&'a RouteMatch> {
    match table.find(host, path, method) {
        LookupResult::Route(number, _) => Some(&table.route_matches()[number]),
        _ => None,
    }
}

#[test]
fn random_requests_find_no_pair_of_routes_that_the_enumeration_misses() {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut checked = 0;
    for _ in 0..2000 {
        let (old, new) = (random_table(&mut rng), random_table(&mut rng));
        let mut pairs = BTreeSet::new();
        let pair = |host: &str, path: &str, method: &str| {
            format!("{:?} {:?}", matched(&old, host, path, method), matched(&new, host, path, method))
        };
        visit_equivalence_classes(&[&old, &new], |r| {
            pairs.insert(pair(r.host, r.path, r.method));
        })
        .unwrap();
        for _ in 0..60 {
            let host = ["x", "z.x", "a.x", "b.a.x", "c.a.x", "h", "i", ""][rng.usize(..8)];
            let mut path = String::new();
            for _ in 0..rng.usize(0..6) {
                path += ["/a", "/b", "/c", "/d"][rng.usize(..4)];
            }
            path += if path.is_empty() || rng.bool() { "/" } else { "" };
            let method = ["GET", "POST", "PUT"][rng.usize(..3)];
            let found = pair(host, &path, method);
            assert!(
                pairs.contains(&found),
                "{method} {host}{path}: {found}\n{:?}\n{:?}",
                old.route_matches(),
                new.route_matches()
            );
            checked += 1;
        }
    }
    assert!(checked > 0);
}
