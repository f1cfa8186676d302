//! One request for each region of requests that tables cannot tell apart.
//!
//! What a table finds depends on the host only through the hosts and suffixes that claims name, on the path only
//! through the nodes that its segments lead to, and on the method only through the lists that name it. So a
//! request for each reachable set of nodes, with each of the named segments, one that no claim names, and an
//! empty one behind it, stands for all. Nothing is sampled: two tables are equal if they agree on these.

use crate::table::{HostMatch, LookupResult, MethodMatch, RouteTable};
use std::collections::{BTreeMap, BTreeSet};

/// Most requests that are looked at.
const MOST: usize = 4_000_000;

/// There are more regions than are looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyClasses;

/// A request that stands for its region.
#[derive(Clone, Copy, Debug)]
pub struct SampleRequest<'a> {
    /// Its host.
    pub host: &'a str,
    /// Its path.
    pub path: &'a str,
    /// Its method.
    pub method: &'a str,
}

/// Shows one request of each region.
///
/// # Errors
/// If there are too many.
pub fn visit_equivalence_classes(
    tables: &[&RouteTable],
    mut visit: impl FnMut(SampleRequest),
) -> Result<(), TooManyClasses> {
    let methods = methods(tables);
    let fresh = fresh(tables);
    let children: Vec<Vec<Vec<u32>>> = tables.iter().map(|t| t.children_of()).collect();
    let mut walk =
        Walk { tables, children: &children, methods: &methods, fresh: &fresh, visit: &mut visit, left: MOST };
    let mut hosts: BTreeSet<String> = BTreeSet::new();
    for claim in tables.iter().flat_map(|t| t.route_matches()) {
        match &claim.host {
            HostMatch::Exact(host) => hosts.insert(host.clone()),
            HostMatch::Suffix(suffix) => hosts.insert(format!("{fresh}.{suffix}")),
            HostMatch::Any => false,
        };
    }
    hosts.insert(fresh.clone());
    for host in hosts {
        let mut active = Vec::new();
        for (number, table) in tables.iter().enumerate() {
            let (own, any) = table.roots_of(&host);
            active.extend(own.into_iter().map(|node| At { table: number, node, own: true }));
            active.extend(any.map(|node| At { table: number, node, own: false }));
        }
        walk.below(&host, &mut String::new(), active, host == fresh)?;
    }
    Ok(())
}

/// A method of each group that all lists name together, and one that none names.
fn methods(tables: &[&RouteTable]) -> Vec<String> {
    let lists: BTreeSet<Vec<&str>> = tables
        .iter()
        .flat_map(|t| t.route_matches())
        .filter_map(|claim| match &claim.methods {
            MethodMatch::Any => None,
            MethodMatch::Named(names) => Some(names.iter().map(String::as_str).collect()),
        })
        .collect();
    let mut groups: BTreeMap<Vec<usize>, &str> = BTreeMap::new();
    for name in lists.iter().flatten() {
        let within =
            lists.iter().enumerate().filter(|(_, list)| list.contains(name)).map(|(n, _)| n).collect();
        groups.entry(within).or_insert(name);
    }
    let mut methods: Vec<String> = groups.into_values().map(str::to_owned).collect();
    let mut other = "OTHER".to_owned();
    while lists.iter().flatten().any(|name| *name == other) {
        other.push('-');
    }
    methods.push(other);
    methods
}

/// A segment, and a label of hosts, that no claim names.
fn fresh(tables: &[&RouteTable]) -> String {
    let mut fresh = "other".to_owned();
    let named = |text: &str| {
        let hosts = |host: &HostMatch| match host {
            HostMatch::Exact(host) | HostMatch::Suffix(host) => host.split('.').any(|label| label == text),
            HostMatch::Any => false,
        };
        tables.iter().any(|t| t.has_segment(text) || t.route_matches().iter().any(|claim| hosts(&claim.host)))
    };
    while named(&fresh) {
        fresh.push('-');
        fresh.push('x');
    }
    fresh
}

/// A node that a path has led to.
#[derive(Clone, Copy)]
struct At {
    table: usize,
    node: u32,
    /// It stands below the host's own name or suffix, and not below that for all hosts.
    own: bool,
}

struct Walk<'a, F> {
    tables: &'a [&'a RouteTable],
    children: &'a [Vec<Vec<u32>>],
    methods: &'a [String],
    fresh: &'a str,
    visit: &'a mut F,
    left: usize,
}

impl<F: FnMut(SampleRequest)> Walk<'_, F> {
    fn below(
        &mut self,
        host: &str,
        path: &mut String,
        active: Vec<At>,
        any_host: bool,
    ) -> Result<(), TooManyClasses> {
        let length = path.len();
        if length > 0 {
            self.show(host, path)?;
        }
        path.push('/');
        self.show(host, path)?;
        path.push_str(self.fresh);
        self.show(host, path)?;
        let leave = !any_host && !active.iter().any(|at| at.own) && self.settled(host, path);
        path.truncate(length);
        if leave {
            return Ok(());
        }
        let mut literals: BTreeSet<&str> = BTreeSet::new();
        for at in &active {
            let table = self.tables[at.table];
            literals.extend(self.children[at.table][at.node as usize].iter().map(|n| table.segment(*n)));
        }
        literals.remove("");
        let wild: Vec<At> = active
            .iter()
            .filter_map(|at| Some(At { node: self.tables[at.table].any_of(at.node)?, ..*at }))
            .collect();
        for literal in literals {
            let mut next: Vec<At> = active
                .iter()
                .filter_map(|at| Some(At { node: self.tables[at.table].child(at.node, literal)?, ..*at }))
                .collect();
            next.extend(&wild);
            path.push('/');
            path.push_str(literal);
            self.below(host, path, next, any_host)?;
            path.truncate(length);
        }
        if !wild.is_empty() {
            path.push('/');
            path.push_str(self.fresh);
            self.below(host, path, wild, any_host)?;
            path.truncate(length);
        }
        Ok(())
    }

    /// Whether below this path, where no node of the host's own is left, the tables agree on what the host's
    /// own prefixes have caught. What they leave is the same for hosts that no claim names, and is seen there.
    fn settled(&self, host: &str, path: &str) -> bool {
        self.methods.iter().all(|method| {
            let mut own = self.tables.iter().map(|table| match table.find(host, path, method) {
                LookupResult::Route(number, _) => table.route_matches()[number].host != HostMatch::Any,
                _ => false,
            });
            let first = own.next();
            own.all(|other| Some(other) == first)
        })
    }

    fn show(&mut self, host: &str, path: &str) -> Result<(), TooManyClasses> {
        for method in self.methods {
            self.left = self.left.checked_sub(1).ok_or(TooManyClasses)?;
            (self.visit)(SampleRequest { host, path, method });
        }
        Ok(())
    }
}

impl RouteTable {
    /// Routes that no request reaches, and those that take what they claim.
    pub fn unreachable(&self) -> Vec<(usize, Vec<usize>)> {
        let mut reached = vec![false; self.route_matches().len()];
        let all = visit_equivalence_classes(&[self], |request| {
            if let LookupResult::Route(number, _) = self.find(request.host, request.path, request.method) {
                reached[number] = true;
            }
        });
        if all.is_err() {
            // Not known; a route is never called useless on a guess.
            return Vec::new();
        }
        let unreached =
            reached.iter().enumerate().filter(|(_, reached)| !**reached).map(|(number, _)| number);
        unreached.map(|number| (number, self.takers(number))).collect()
    }
}

#[cfg(test)]
mod tests;
