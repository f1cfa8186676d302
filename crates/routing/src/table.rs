//! The route table: built once from all routes; the cost of a lookup depends only on the request's path.

use crate::target::{normalize_host, normalize_path, TargetError};
use hashbrown::HashTable;
use std::collections::HashMap;
use std::fmt;
use std::hash::{BuildHasher, RandomState};

/// The hosts that a route matches.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum HostMatch {
    /// Exactly this host.
    Exact(String),
    /// All subdomains of this host at any depth, but not the host itself.
    Suffix(String),
    /// Every host.
    Any,
}

impl HostMatch {
    /// Parses `name`, `*.name` or `*`.
    ///
    /// # Errors
    /// If the name is malformed.
    pub fn parse(text: &str) -> Result<Self, TargetError> {
        match text.strip_prefix("*.") {
            _ if text == "*" => Ok(HostMatch::Any),
            Some(suffix) => normalize_host(suffix).map(HostMatch::Suffix),
            None => normalize_host(text).map(HostMatch::Exact),
        }
    }

    /// Returns a host that matches and that other routes are unlikely to name.
    fn sample(&self) -> String {
        match self {
            HostMatch::Exact(host) => host.clone(),
            HostMatch::Suffix(suffix) => format!("~~.{suffix}"),
            HostMatch::Any => "~~".to_owned(),
        }
    }
}

impl fmt::Display for HostMatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HostMatch::Exact(host) => f.write_str(host),
            HostMatch::Suffix(suffix) => write!(f, "*.{suffix}"),
            HostMatch::Any => f.write_str("*"),
        }
    }
}

/// The paths that a route matches.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PathMatch {
    /// Exactly this path, in normal form.
    Exact(String),
    /// This path and all paths below it, by whole segments; with a final slash only the paths below it.
    Prefix(String),
    /// Segments, each literal or a wildcard; if the second field is true, followed by one or more further
    /// segments.
    Pattern(Vec<Segment>, bool),
}

/// A segment of a pattern.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Segment {
    /// Exactly this segment.
    Literal(String),
    /// Any segment that is not empty.
    Any,
}

/// Error for an invalid path of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PatternError {
    /// The path is malformed.
    Path(TargetError),
    /// The path is not in normal form; the normal form is given.
    NotNormalized(String),
    /// `*` is mixed with other characters in this segment.
    PartialWildcard(String),
    /// `**` is followed by further segments.
    TailWildcardNotLast,
}

impl fmt::Display for PatternError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PatternError::Path(error) => error.fmt(f),
            PatternError::NotNormalized(normal) => {
                write!(f, "requests are matched in normal form, as `{normal}`")
            }
            PatternError::PartialWildcard(segment) => {
                write!(f, "`*` matches a whole segment and cannot be part of `{segment}`")
            }
            PatternError::TailWildcardNotLast => f.write_str("`**` is only allowed at the end"),
        }
    }
}

impl std::error::Error for PatternError {}

impl PathMatch {
    /// Creates an exact match.
    ///
    /// # Errors
    /// If it is malformed or not in normal form.
    pub fn exact(path: &str) -> Result<Self, PatternError> {
        require_normalized(path).map(PathMatch::Exact)
    }

    /// Creates a prefix match.
    ///
    /// # Errors
    /// If it is malformed or not in normal form.
    pub fn prefix(path: &str) -> Result<Self, PatternError> {
        require_normalized(path).map(PathMatch::Prefix)
    }

    /// Parses a pattern such as `/trails/*/edits` or `/maps/*/**`.
    ///
    /// # Errors
    /// If it is malformed.
    pub fn pattern(path: &str) -> Result<Self, PatternError> {
        let (body, has_tail) = match path.strip_suffix("/**") {
            Some(body) => (body, true),
            None => (path, false),
        };
        let is_absolute = body.starts_with('/') || (has_tail && body.is_empty());
        if !is_absolute {
            return Err(PatternError::Path(TargetError::InvalidForm));
        }
        let mut segments = Vec::new();
        for segment in body.split('/').skip(1) {
            segments.push(match segment {
                "*" => Segment::Any,
                "**" => return Err(PatternError::TailWildcardNotLast),
                _ if segment.contains('*') => return Err(PatternError::PartialWildcard(segment.to_owned())),
                _ => Segment::Literal(segment.to_owned()),
            });
        }
        // The literal segments must be in normal form, since only normalized paths are matched.
        let literal: String = segments
            .iter()
            .map(|s| match s {
                Segment::Literal(text) => format!("/{text}"),
                Segment::Any => "/x".to_owned(),
            })
            .collect();
        if !literal.is_empty() {
            require_normalized(&literal)?;
        }
        Ok(PathMatch::Pattern(segments, has_tail))
    }

    /// Returns a path that matches and that other routes are unlikely to name.
    fn sample(&self) -> String {
        const UNLIKELY: &str = "~~";
        match self {
            PathMatch::Exact(path) => path.clone(),
            PathMatch::Prefix(path) => format!("{}/{UNLIKELY}", path.strip_suffix('/').unwrap_or(path)),
            PathMatch::Pattern(segments, has_tail) => {
                let mut path = String::new();
                for segment in segments {
                    path.push('/');
                    path.push_str(match segment {
                        Segment::Literal(text) => text,
                        Segment::Any => UNLIKELY,
                    });
                }
                if *has_tail {
                    path.push('/');
                    path.push_str(UNLIKELY);
                }
                path
            }
        }
    }
}

impl fmt::Display for PathMatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PathMatch::Exact(path) => write!(f, "exact {path}"),
            PathMatch::Prefix(path) => write!(f, "prefix {path}"),
            PathMatch::Pattern(segments, has_tail) => {
                f.write_str("pattern ")?;
                for segment in segments {
                    match segment {
                        Segment::Literal(text) => write!(f, "/{text}")?,
                        Segment::Any => f.write_str("/*")?,
                    }
                }
                f.write_str(if *has_tail { "/**" } else { "" })
            }
        }
    }
}

fn require_normalized(path: &str) -> Result<String, PatternError> {
    let normal = normalize_path(path).map_err(PatternError::Path)?;
    if normal == path {
        Ok(normal)
    } else {
        Err(PatternError::NotNormalized(normal))
    }
}

/// The methods that a route matches.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum MethodMatch {
    /// Every method.
    Any,
    /// These methods.
    Named(Vec<String>),
}

impl MethodMatch {
    fn contains(&self, method: &str) -> bool {
        match self {
            MethodMatch::Any => true,
            MethodMatch::Named(names) => names.iter().any(|name| name == method),
        }
    }
}

/// The match conditions of a route, all of which a request must meet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RouteMatch {
    /// Hosts.
    pub host: HostMatch,
    /// Paths.
    pub path: PathMatch,
    /// Methods.
    pub methods: MethodMatch,
}

/// Two routes, by number, that match the same requests with equal precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The route that was added first.
    pub first: usize,
    /// The other route.
    pub second: usize,
}

/// Error for routes from which no table can be built.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BuildError {
    /// All conflicts, in the order of the second route.
    pub conflicts: Vec<Conflict>,
}

impl fmt::Display for BuildError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} pairs of routes match the same requests with equal precedence", self.conflicts.len())
    }
}

impl std::error::Error for BuildError {}

/// Two routes that match the same requests, where the precedence decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overlap {
    /// The route that takes them.
    pub winner: usize,
    /// The route that would take them otherwise.
    pub shadowed: usize,
}

/// The kind of path match by which a route was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MatchKind {
    /// The exact path.
    Exact,
    /// The longest matching prefix.
    Prefix,
    /// The first matching pattern in configuration order.
    Pattern,
}

/// Result of a lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookupResult {
    /// The route with this number.
    Route(usize, MatchKind),
    /// Routes match host and path, but not the method; these are the methods that they match.
    MethodNotAllowed(Vec<String>),
    /// No route matches host and path.
    NotFound,
}

/// Numbers of the routes whose path ends at a node, by the kind of match.
#[derive(Default)]
struct NodeRoutes {
    exact: Vec<u32>,
    prefix: Vec<u32>,
    /// Prefixes with a final slash, which match only the paths below.
    prefix_below: Vec<u32>,
    pattern: Vec<u32>,
    /// Patterns with a final `**`.
    pattern_tail: Vec<u32>,
}

struct Node {
    parent: u32,
    segment: Box<str>,
    /// Child for a wildcard segment.
    wildcard: Option<u32>,
    /// Index into [`RouteTable::node_routes`].
    routes: Option<u32>,
}

/// Routes by host, path and method.
///
/// Each host has a tree of path segments. The nodes of all trees are in one array, and one hash table finds a
/// node's child by its segment, so a lookup takes one probe for each segment, independent of the number of
/// routes.
pub struct RouteTable {
    route_matches: Vec<RouteMatch>,
    /// Index into `roots` for each exact host.
    exact_hosts: HashMap<String, u32>,
    /// Index into `roots` for each host suffix.
    suffix_hosts: HashMap<String, u32>,
    /// Index into `roots` for all hosts.
    any_host: Option<u32>,
    nodes: Vec<Node>,
    node_routes: Vec<NodeRoutes>,
    children: HashTable<u32>,
    hasher: RandomState,
    /// For each root, true if there are patterns below it.
    has_patterns: Vec<bool>,
    /// Root node of each host's tree.
    roots: Vec<u32>,
}

impl RouteTable {
    /// Builds a table; the number of a route is its index in `route_matches`.
    ///
    /// # Errors
    /// If two routes match the same requests with equal precedence.
    pub fn build(route_matches: Vec<RouteMatch>) -> Result<Self, BuildError> {
        let mut table = Self {
            route_matches: Vec::new(),
            exact_hosts: HashMap::new(),
            suffix_hosts: HashMap::new(),
            any_host: None,
            nodes: Vec::new(),
            node_routes: Vec::new(),
            children: HashTable::new(),
            hasher: RandomState::new(),
            has_patterns: Vec::new(),
            roots: Vec::new(),
        };
        let mut conflicts = Vec::new();
        for (number, route) in route_matches.iter().enumerate() {
            if let Some(first) = table.insert(number as u32, route, &route_matches) {
                conflicts.push(Conflict { first: first as usize, second: number });
            }
        }
        table.route_matches = route_matches;
        table.nodes.shrink_to_fit();
        table.node_routes.shrink_to_fit();
        if conflicts.is_empty() {
            Ok(table)
        } else {
            Err(BuildError { conflicts })
        }
    }

    /// Returns the match conditions of each route, by its number.
    pub fn route_matches(&self) -> &[RouteMatch] {
        &self.route_matches
    }

    /// Adds a route, and returns the number of a route that it conflicts with.
    fn insert(&mut self, number: u32, route: &RouteMatch, all: &[RouteMatch]) -> Option<u32> {
        let root = self.root(&route.host);
        let mut node = self.roots[root as usize];
        let routes = match &route.path {
            PathMatch::Exact(path) => {
                for segment in path[1..].split('/') {
                    node = self.child_or_new(node, segment);
                }
                &mut self.routes_at(node).exact
            }
            PathMatch::Prefix(path) => {
                let inner = path.strip_suffix('/').unwrap_or(path);
                for segment in inner.split('/').skip(1) {
                    node = self.child_or_new(node, segment);
                }
                let routes = self.routes_at(node);
                if path.ends_with('/') {
                    &mut routes.prefix_below
                } else {
                    &mut routes.prefix
                }
            }
            PathMatch::Pattern(segments, has_tail) => {
                self.has_patterns[root as usize] = true;
                for segment in segments {
                    node = match segment {
                        Segment::Literal(text) => self.child_or_new(node, text),
                        Segment::Any => self.wildcard_child_or_new(node),
                    };
                }
                let routes = self.routes_at(node);
                if *has_tail {
                    &mut routes.pattern_tail
                } else {
                    &mut routes.pattern
                }
            }
        };
        let conflicts = |other: &&u32| match (&all[**other as usize].methods, &route.methods) {
            (MethodMatch::Any, MethodMatch::Any) => true,
            (MethodMatch::Named(a), MethodMatch::Named(b)) => a.iter().any(|m| b.contains(m)),
            // A named method takes precedence over any method.
            _ => false,
        };
        let conflict = routes.iter().find(conflicts).copied();
        routes.push(number);
        // Routes with named methods come first, except for patterns, which keep the configuration order.
        if !matches!(route.path, PathMatch::Pattern(..)) {
            routes.sort_by_key(|n| (all[*n as usize].methods == MethodMatch::Any, *n));
        }
        conflict
    }

    /// Returns the index of a host's root, which is added if it does not exist.
    fn root(&mut self, host: &HostMatch) -> u32 {
        let known = match host {
            HostMatch::Exact(host) => self.exact_hosts.get(host).copied(),
            HostMatch::Suffix(suffix) => self.suffix_hosts.get(suffix).copied(),
            HostMatch::Any => self.any_host,
        };
        if let Some(root) = known {
            return root;
        }
        let root = self.roots.len() as u32;
        self.nodes.push(Node { parent: u32::MAX, segment: "".into(), wildcard: None, routes: None });
        self.roots.push(self.nodes.len() as u32 - 1);
        self.has_patterns.push(false);
        match host {
            HostMatch::Exact(host) => drop(self.exact_hosts.insert(host.clone(), root)),
            HostMatch::Suffix(suffix) => drop(self.suffix_hosts.insert(suffix.clone(), root)),
            HostMatch::Any => self.any_host = Some(root),
        }
        root
    }

    fn hash(&self, parent: u32, segment: &str) -> u64 {
        self.hasher.hash_one((parent, segment))
    }

    pub(crate) fn child(&self, parent: u32, segment: &str) -> Option<u32> {
        let is_child = |n: &u32| {
            let node = &self.nodes[*n as usize];
            node.parent == parent && *node.segment == *segment
        };
        self.children.find(self.hash(parent, segment), is_child).copied()
    }

    fn child_or_new(&mut self, parent: u32, segment: &str) -> u32 {
        if let Some(child) = self.child(parent, segment) {
            return child;
        }
        let child = self.nodes.len() as u32;
        self.nodes.push(Node { parent, segment: segment.into(), wildcard: None, routes: None });
        let hash = self.hash(parent, segment);
        let (nodes, hasher) = (&self.nodes, &self.hasher);
        let rehash = |n: &u32| {
            let node = &nodes[*n as usize];
            hasher.hash_one((node.parent, &*node.segment))
        };
        self.children.insert_unique(hash, child, rehash);
        child
    }

    fn wildcard_child_or_new(&mut self, parent: u32) -> u32 {
        if let Some(child) = self.nodes[parent as usize].wildcard {
            return child;
        }
        let child = self.nodes.len() as u32;
        // Not in the hash table, so the segment is never compared.
        self.nodes.push(Node { parent, segment: "*".into(), wildcard: None, routes: None });
        self.nodes[parent as usize].wildcard = Some(child);
        child
    }

    fn routes_at(&mut self, node: u32) -> &mut NodeRoutes {
        let index = match self.nodes[node as usize].routes {
            Some(index) => index,
            None => {
                self.node_routes.push(NodeRoutes::default());
                let index = self.node_routes.len() as u32 - 1;
                self.nodes[node as usize].routes = Some(index);
                index
            }
        };
        &mut self.node_routes[index as usize]
    }

    /// Finds the route for a request by its host, its normalized path and its method.
    ///
    /// Of the matching routes, an exact host takes precedence over the longest suffix, and that over any
    /// host; then an exact path over the longest prefix, and that over the first pattern; then a named method
    /// over any method.
    pub fn find(&self, host: &str, path: &str, method: &str) -> LookupResult {
        self.find_except(host, path, method, None)
    }

    /// Finds the route for a request, ignoring the route with the number `except`.
    fn find_except(&self, host: &str, path: &str, method: &str, except: Option<u32>) -> LookupResult {
        let mut other_methods = Vec::new();
        let mut search = Search { table: self, path, method, except, other_methods: &mut other_methods };
        let mut found = self.exact_hosts.get(host).and_then(|root| search.find_below(*root));
        if found.is_none() && !self.suffix_hosts.is_empty() {
            let mut rest = host;
            while let (None, Some((_, suffix))) = (found, rest.split_once('.')) {
                found = self.suffix_hosts.get(suffix).and_then(|root| search.find_below(*root));
                rest = suffix;
            }
        }
        found = found.or_else(|| self.any_host.and_then(|root| search.find_below(root)));
        match found {
            Some((number, kind)) => LookupResult::Route(number as usize, kind),
            None if other_methods.is_empty() => LookupResult::NotFound,
            None => {
                other_methods.sort();
                other_methods.dedup();
                LookupResult::MethodNotAllowed(other_methods)
            }
        }
    }

    /// Returns the overlaps that the precedence resolves: for each route, the route that would take its
    /// requests without it, or the one that takes them in its place.
    pub fn overlaps(&self) -> Vec<Overlap> {
        let mut overlaps = Vec::new();
        for (number, route) in self.route_matches.iter().enumerate() {
            let host = route.host.sample();
            let path = route.path.sample();
            let names = match &route.methods {
                MethodMatch::Any => vec!["~~".to_owned()],
                MethodMatch::Named(names) => names.clone(),
            };
            let mut of_route = Vec::new();
            for method in &names {
                let overlap = match self.find(&host, &path, method) {
                    LookupResult::Route(winner, _) if winner != number => {
                        Overlap { winner, shadowed: number }
                    }
                    _ => match self.find_except(&host, &path, method, Some(number as u32)) {
                        LookupResult::Route(other, _) => Overlap { winner: number, shadowed: other },
                        _ => continue,
                    },
                };
                if !of_route.contains(&overlap) {
                    of_route.push(overlap);
                }
            }
            overlaps.append(&mut of_route);
        }
        overlaps
    }

    /// Returns for each node its children for literal segments.
    pub(crate) fn children_of(&self) -> Vec<Vec<u32>> {
        let mut children = vec![Vec::new(); self.nodes.len()];
        for (number, node) in self.nodes.iter().enumerate() {
            let number = number as u32;
            if node.parent != u32::MAX && self.nodes[node.parent as usize].wildcard != Some(number) {
                children[node.parent as usize].push(number);
            }
        }
        children
    }

    pub(crate) fn segment(&self, node: u32) -> &str {
        &self.nodes[node as usize].segment
    }

    pub(crate) fn wildcard_child(&self, node: u32) -> Option<u32> {
        self.nodes[node as usize].wildcard
    }

    pub(crate) fn has_segment(&self, text: &str) -> bool {
        self.nodes.iter().any(|node| *node.segment == *text)
    }

    /// Returns the root nodes for a host: those of its name and suffixes, and that of all hosts.
    pub(crate) fn roots_of(&self, host: &str) -> (Vec<u32>, Option<u32>) {
        let mut named: Vec<u32> = self.exact_hosts.get(host).copied().into_iter().collect();
        let mut rest = host;
        while let Some((_, suffix)) = rest.split_once('.') {
            named.extend(self.suffix_hosts.get(suffix));
            rest = suffix;
        }
        let node = |root: u32| self.roots[root as usize];
        (named.into_iter().map(node).collect(), self.any_host.map(node))
    }

    /// Returns the routes that take precedence over a route for a sample of its requests.
    pub(crate) fn shadowing_routes(&self, number: usize) -> Vec<usize> {
        let route = &self.route_matches[number];
        let host = route.host.sample();
        let names = match &route.methods {
            MethodMatch::Any => vec!["~~".to_owned()],
            MethodMatch::Named(names) => names.clone(),
        };
        let mut shadowing = Vec::new();
        for method in names {
            if let LookupResult::Route(winner, _) = self.find(&host, &route.path.sample(), &method) {
                if winner != number && !shadowing.contains(&winner) {
                    shadowing.push(winner);
                }
            }
        }
        shadowing
    }

    /// Returns the memory that the table uses, in bytes, without the match conditions.
    pub fn memory_bytes(&self) -> usize {
        let capacities = |r: &NodeRoutes| {
            [&r.exact, &r.prefix, &r.prefix_below, &r.pattern, &r.pattern_tail].map(Vec::capacity)
        };
        self.nodes.capacity() * size_of::<Node>()
            + self.nodes.iter().map(|n| n.segment.len()).sum::<usize>()
            + self.node_routes.capacity() * size_of::<NodeRoutes>()
            + self.node_routes.iter().flat_map(capacities).sum::<usize>() * size_of::<u32>()
            + self.children.allocation_size()
    }
}

/// State of one lookup.
struct Search<'a> {
    table: &'a RouteTable,
    path: &'a str,
    method: &'a str,
    except: Option<u32>,
    /// Methods of the routes that match the path but not the method.
    other_methods: &'a mut Vec<String>,
}

impl Search<'_> {
    fn find_below(&mut self, root: u32) -> Option<(u32, MatchKind)> {
        let table = self.table;
        let start = table.roots[root as usize];
        let segments = || self.path[1..].split('/');
        // Routes of the prefixes passed on the way, the longest prefix last.
        let mut prefixes: Vec<&[u32]> = Vec::new();
        let mut node = Some(start);
        let mut rest = segments();
        while let Some(at) = node {
            let routes = table.nodes[at as usize].routes.map(|r| &table.node_routes[r as usize]);
            let next = rest.next();
            if let Some(routes) = routes {
                if !routes.prefix.is_empty() {
                    prefixes.push(&routes.prefix);
                }
                if next.is_some() && !routes.prefix_below.is_empty() {
                    prefixes.push(&routes.prefix_below);
                }
            }
            match next {
                Some(segment) => node = table.child(at, segment),
                None => {
                    let exact = routes.map_or(&[][..], |r| &r.exact);
                    if let Some(number) = self.first_match(exact) {
                        return Some((number, MatchKind::Exact));
                    }
                    break;
                }
            }
        }
        while let Some(routes) = prefixes.pop() {
            if let Some(number) = self.first_match(routes) {
                return Some((number, MatchKind::Prefix));
            }
        }
        if !table.has_patterns[root as usize] {
            return None;
        }
        let segments: Vec<&str> = self.path[1..].split('/').collect();
        let mut best = None;
        self.find_pattern(start, &segments, &mut best);
        best.map(|number| (number, MatchKind::Pattern))
    }

    /// Finds the first matching pattern below a node in configuration order. Each segment has at most two
    /// branches, a literal and a wildcard one, and only nodes that routes have created are visited.
    fn find_pattern(&mut self, node: u32, segments: &[&str], best: &mut Option<u32>) {
        let table = self.table;
        let here = &table.nodes[node as usize];
        let routes = here.routes.map(|r| &table.node_routes[r as usize]);
        let Some((first, rest)) = segments.split_first() else {
            if let Some(routes) = routes {
                self.update_best(&routes.pattern, best);
            }
            return;
        };
        if let Some(routes) = routes {
            self.update_best(&routes.pattern_tail, best);
        }
        if let Some(child) = table.child(node, first) {
            self.find_pattern(child, rest, best);
        }
        if let Some(child) = here.wildcard.filter(|_| !first.is_empty()) {
            self.find_pattern(child, rest, best);
        }
    }

    fn update_best(&mut self, numbers: &[u32], best: &mut Option<u32>) {
        if let Some(number) = self.first_match(numbers) {
            *best = Some(best.map_or(number, |b| b.min(number)));
        }
    }

    /// Returns the first of these routes whose methods contain the request's; notes the methods of the
    /// others.
    fn first_match(&mut self, numbers: &[u32]) -> Option<u32> {
        for number in numbers {
            if self.except == Some(*number) {
                continue;
            }
            match &self.table.route_matches[*number as usize].methods {
                methods if methods.contains(self.method) => return Some(*number),
                MethodMatch::Named(names) => self.other_methods.extend(names.iter().cloned()),
                MethodMatch::Any => {}
            }
        }
        None
    }
}
