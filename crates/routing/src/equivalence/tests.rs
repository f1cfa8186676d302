//! Tests of `regions` that need its private state.

use super::*;
use crate::table::{PathMatch, RouteMatch};

fn claim(host: &str, path: &str, methods: &str) -> RouteMatch {
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

fn table(claims: &[(&str, &str, &str)]) -> RouteTable {
    RouteTable::build(claims.iter().map(|(h, p, m)| claim(h, p, m)).collect()).unwrap()
}

fn unreachable(claims: &[(&str, &str, &str)]) -> Vec<(usize, Vec<usize>)> {
    table(claims).unreachable()
}

#[test]
fn a_pattern_behind_a_wider_one_is_never_reached() {
    let claims = [("*", "pattern /a/**", ""), ("*", "pattern /a/*/b", "")];
    assert_eq!(unreachable(&claims), [(1, vec![0])]);
    let claims = [("*", "pattern /a/*/b", ""), ("*", "pattern /a/**", "")];
    assert_eq!(unreachable(&claims), []);
}

#[test]
fn a_pattern_that_several_others_cover_together_is_never_reached() {
    let claims =
        [("*", "prefix /a", "GET"), ("*", "pattern /a/*", "POST PUT"), ("*", "pattern /a/x", "GET POST")];
    assert_eq!(unreachable(&claims), [(2, vec![0, 1])]);
}

#[test]
fn an_any_method_route_is_reached_by_methods_that_no_list_names() {
    assert_eq!(unreachable(&[("*", "exact /a", "GET"), ("*", "exact /a", "")]), []);
}

#[test]
fn a_pattern_under_a_prefix_of_the_same_host_is_never_reached_and_under_that_of_another_is() {
    assert_eq!(unreachable(&[("h", "prefix /a", ""), ("h", "pattern /a/*", "")]), [(1, vec![0])]);
    assert_eq!(unreachable(&[("h", "prefix /a", ""), ("*", "pattern /a/*", "")]), []);
}

#[test]
fn a_route_for_all_hosts_is_reached_through_hosts_that_no_claim_names() {
    assert_eq!(unreachable(&[("*.x", "prefix /", ""), ("a.x", "prefix /", ""), ("*", "prefix /", "")]), []);
}

/// A table at random, of few names so that its claims meet.
fn random(rng: &mut fastrand::Rng) -> RouteTable {
    let mut claims = Vec::new();
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
        claims.push(claim(host, &format!("{kind} {path}"), ["", "GET", "GET POST", "POST"][rng.usize(..4)]));
        if RouteTable::build(claims.clone()).is_err() {
            claims.pop();
        }
    }
    RouteTable::build(claims).unwrap()
}

/// The claim that takes a request, whatever its number.
fn taken<'a>(table: &'a RouteTable, host: &str, path: &str, method: &str) -> Option<&'a RouteMatch> {
    match table.find(host, path, method) {
        LookupResult::Route(number, _) => Some(&table.route_matches()[number]),
        _ => None,
    }
}

#[test]
fn requests_at_random_never_find_a_difference_or_a_route_that_regions_miss() {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut differences = 0;
    for _ in 0..2000 {
        let (old, new) = (random(&mut rng), random(&mut rng));
        let mut pairs = BTreeSet::new();
        let pair = |host: &str, path: &str, method: &str| {
            format!("{:?} {:?}", taken(&old, host, path, method), taken(&new, host, path, method))
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
            let seen = pair(host, &path, method);
            assert!(
                pairs.contains(&seen),
                "{method} {host}{path}: {seen}\n{:?}\n{:?}",
                old.route_matches(),
                new.route_matches()
            );
            differences += 1;
        }
    }
    assert!(differences > 0);
}
