//! Enumerates one request of each class of requests that route tables cannot tell apart.
//!
//! The result of a lookup depends on the host only through the hosts and suffixes that routes name, on the
//! path only through the nodes that its segments lead to, and on the method only through the method lists
//! that contain it. So it suffices to look up one request for each reachable set of nodes, followed by each
//! of the named segments, by one that no route names, and by an empty one. The enumeration is complete: two
//! tables are equivalent if they agree on all of these requests.

use crate::table::{HostMatch, LookupResult, MethodMatch, RouteTable};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of requests that are enumerated.
const MAX_REQUESTS: usize = 4_000_000;

/// Error for tables with more equivalence classes than are enumerated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyClasses;

/// A request that represents its equivalence class.
#[derive(Clone, Copy, Debug)]
pub struct SampleRequest<'a> {
    /// Host.
    pub host: &'a str,
    /// Path.
    pub path: &'a str,
    /// Method.
    pub method: &'a str,
}

/// Calls `visit` with one request of each equivalence class.
///
/// # Errors
/// If there are too many classes.
pub fn visit_equivalence_classes(
    tables: &[&RouteTable],
    mut visit: impl FnMut(SampleRequest),
) -> Result<(), TooManyClasses> {
    let methods = representative_methods(tables);
    let unnamed = unnamed_label(tables);
    let children: Vec<Vec<Vec<u32>>> = tables.iter().map(|t| t.children_of()).collect();
    let mut walk = Walk {
        tables,
        children: &children,
        methods: &methods,
        unnamed: &unnamed,
        visit: &mut visit,
        remaining: MAX_REQUESTS,
    };
    let mut hosts: BTreeSet<String> = BTreeSet::new();
    for route in tables.iter().flat_map(|t| t.route_matches()) {
        match &route.host {
            HostMatch::Exact(host) => hosts.insert(host.clone()),
            HostMatch::Suffix(suffix) => hosts.insert(format!("{unnamed}.{suffix}")),
            HostMatch::Any => false,
        };
    }
    hosts.insert(unnamed.clone());
    for host in hosts {
        let mut active = Vec::new();
        for (number, table) in tables.iter().enumerate() {
            let (named, any) = table.roots_of(&host);
            active.extend(named.into_iter().map(|node| Position {
                table: number,
                node,
                is_host_named: true,
            }));
            active.extend(any.map(|node| Position { table: number, node, is_host_named: false }));
        }
        walk.visit_below(&host, &mut String::new(), active, host == unnamed)?;
    }
    Ok(())
}

/// Returns one method of each group of methods that are in the same lists, and one that is in no list.
fn representative_methods(tables: &[&RouteTable]) -> Vec<String> {
    let lists: BTreeSet<Vec<&str>> = tables
        .iter()
        .flat_map(|t| t.route_matches())
        .filter_map(|route| match &route.methods {
            MethodMatch::Any => None,
            MethodMatch::Named(names) => Some(names.iter().map(String::as_str).collect()),
        })
        .collect();
    let mut groups: BTreeMap<Vec<usize>, &str> = BTreeMap::new();
    for name in lists.iter().flatten() {
        let containing_lists =
            lists.iter().enumerate().filter(|(_, list)| list.contains(name)).map(|(n, _)| n).collect();
        groups.entry(containing_lists).or_insert(name);
    }
    let mut methods: Vec<String> = groups.into_values().map(str::to_owned).collect();
    let mut other = "OTHER".to_owned();
    while lists.iter().flatten().any(|name| *name == other) {
        other.push('-');
    }
    methods.push(other);
    methods
}

/// Returns a text that no route names, neither as a path segment nor as a host label.
fn unnamed_label(tables: &[&RouteTable]) -> String {
    let mut label = "other".to_owned();
    let is_named = |text: &str| {
        let in_host = |host: &HostMatch| match host {
            HostMatch::Exact(host) | HostMatch::Suffix(host) => host.split('.').any(|label| label == text),
            HostMatch::Any => false,
        };
        tables
            .iter()
            .any(|t| t.has_segment(text) || t.route_matches().iter().any(|route| in_host(&route.host)))
    };
    while is_named(&label) {
        label.push('-');
        label.push('x');
    }
    label
}

/// A node that a path has led to.
#[derive(Clone, Copy)]
struct Position {
    table: usize,
    node: u32,
    /// The node is below the root of the host's name or suffix, and not below that of all hosts.
    is_host_named: bool,
}

struct Walk<'a, F> {
    tables: &'a [&'a RouteTable],
    children: &'a [Vec<Vec<u32>>],
    methods: &'a [String],
    unnamed: &'a str,
    visit: &'a mut F,
    remaining: usize,
}

impl<F: FnMut(SampleRequest)> Walk<'_, F> {
    fn visit_below(
        &mut self,
        host: &str,
        path: &mut String,
        active: Vec<Position>,
        is_unnamed_host: bool,
    ) -> Result<(), TooManyClasses> {
        let length = path.len();
        if length > 0 {
            self.visit_methods(host, path)?;
        }
        path.push('/');
        self.visit_methods(host, path)?;
        path.push_str(self.unnamed);
        self.visit_methods(host, path)?;
        let is_covered = !is_unnamed_host
            && !active.iter().any(|position| position.is_host_named)
            && self.host_routes_agree(host, path);
        path.truncate(length);
        if is_covered {
            return Ok(());
        }
        let mut literals: BTreeSet<&str> = BTreeSet::new();
        for position in &active {
            let table = self.tables[position.table];
            let children = &self.children[position.table][position.node as usize];
            literals.extend(children.iter().map(|n| table.segment(*n)));
        }
        literals.remove("");
        let wildcard: Vec<Position> = active
            .iter()
            .filter_map(|position| {
                let node = self.tables[position.table].wildcard_child(position.node)?;
                Some(Position { node, ..*position })
            })
            .collect();
        for literal in literals {
            let mut next: Vec<Position> = active
                .iter()
                .filter_map(|position| {
                    let node = self.tables[position.table].child(position.node, literal)?;
                    Some(Position { node, ..*position })
                })
                .collect();
            next.extend(&wildcard);
            path.push('/');
            path.push_str(literal);
            self.visit_below(host, path, next, is_unnamed_host)?;
            path.truncate(length);
        }
        if !wildcard.is_empty() {
            path.push('/');
            path.push_str(self.unnamed);
            self.visit_below(host, path, wildcard, is_unnamed_host)?;
            path.truncate(length);
        }
        Ok(())
    }

    /// Returns whether the tables agree on which requests below this path are taken by prefixes of the host's
    /// own routes.
    ///
    /// Called where no node of the host's own routes is left. The requests that those prefixes do not take
    /// are matched as for a host that no route names, and are visited with that host.
    fn host_routes_agree(&self, host: &str, path: &str) -> bool {
        self.methods.iter().all(|method| {
            let mut is_host_route = self.tables.iter().map(|table| match table.find(host, path, method) {
                LookupResult::Route(number, _) => table.route_matches()[number].host != HostMatch::Any,
                _ => false,
            });
            let first = is_host_route.next();
            is_host_route.all(|other| Some(other) == first)
        })
    }

    fn visit_methods(&mut self, host: &str, path: &str) -> Result<(), TooManyClasses> {
        for method in self.methods {
            self.remaining = self.remaining.checked_sub(1).ok_or(TooManyClasses)?;
            (self.visit)(SampleRequest { host, path, method });
        }
        Ok(())
    }
}

impl RouteTable {
    /// Returns the routes that no request reaches, each with the routes that take its requests. Empty if
    /// there are too many equivalence classes to decide.
    pub fn unreachable(&self) -> Vec<(usize, Vec<usize>)> {
        let mut reached = vec![false; self.route_matches().len()];
        let enumerated = visit_equivalence_classes(&[self], |request| {
            if let LookupResult::Route(number, _) = self.find(request.host, request.path, request.method) {
                reached[number] = true;
            }
        });
        if enumerated.is_err() {
            // Unknown: a route is reported as unreachable only if that is certain.
            return Vec::new();
        }
        let unreached =
            reached.iter().enumerate().filter(|(_, reached)| !**reached).map(|(number, _)| number);
        unreached.map(|number| (number, self.shadowing_routes(number))).collect()
    }
}

#[cfg(test)]
mod tests;
