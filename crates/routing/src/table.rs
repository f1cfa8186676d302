//! The route table: claims put in once, requests looked up at a cost that grows with their path only.

use crate::target::{normalize_host, normalize_path, TargetError};
use hashbrown::HashTable;
use std::collections::HashMap;
use std::fmt;
use std::hash::{BuildHasher, RandomState};

/// The hosts that a route claims.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum HostMatch {
    /// This one.
    Exact(String),
    /// All that end in a dot and this, at any depth; not this itself.
    Suffix(String),
    /// Every one.
    Any,
}

impl HostMatch {
    /// Reads `name`, `*.name` or `*`.
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

    /// A host that it claims and that hardly any other claim names.
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

/// The paths that a route claims.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PathMatch {
    /// This one, in normal form.
    Exact(String),
    /// This one and what lies below it, by whole segments; with a final slash only what lies below.
    Prefix(String),
    /// Segments of which each is literal or any one; at the end, perhaps any number of further ones.
    Pattern(Vec<Segment>, bool),
}

/// A segment of a pattern.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Segment {
    /// This one.
    Literal(String),
    /// Any one that is not empty.
    Any,
}

/// What is wrong with a claimed path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PatternError {
    /// The path itself is malformed.
    Path(TargetError),
    /// It is not in normal form; this is.
    NotNormalized(String),
    /// `*` is mixed with other characters in a segment.
    PartialWildcard(String),
    /// `**` stands before the end.
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
                write!(f, "`*` stands for a whole segment, and cannot be a part of `{segment}`")
            }
            PatternError::TailWildcardNotLast => f.write_str("`**` can only stand at the end"),
        }
    }
}

impl std::error::Error for PatternError {}

impl PathMatch {
    /// An exact path.
    ///
    /// # Errors
    /// If it is malformed or not in normal form.
    pub fn exact(path: &str) -> Result<Self, PatternError> {
        normal(path).map(PathMatch::Exact)
    }

    /// A prefix.
    ///
    /// # Errors
    /// If it is malformed or not in normal form.
    pub fn prefix(path: &str) -> Result<Self, PatternError> {
        normal(path).map(PathMatch::Prefix)
    }

    /// A pattern such as `/trails/*/edits` or `/maps/*/**`.
    ///
    /// # Errors
    /// If it is malformed.
    pub fn pattern(path: &str) -> Result<Self, PatternError> {
        let (body, tail) = match path.strip_suffix("/**") {
            Some(body) => (body, true),
            None => (path, false),
        };
        let rooted = body.starts_with('/') || (tail && body.is_empty());
        if !rooted {
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
        // What is left without the wildcards must be normal, or nothing could ever match it.
        let literal: String = segments
            .iter()
            .map(|s| match s {
                Segment::Literal(text) => format!("/{text}"),
                Segment::Any => "/x".to_owned(),
            })
            .collect();
        if !literal.is_empty() {
            normal(&literal)?;
        }
        Ok(PathMatch::Pattern(segments, tail))
    }

    /// A path that it claims and that hardly any other claim names.
    fn sample(&self) -> String {
        const UNLIKELY: &str = "~~";
        match self {
            PathMatch::Exact(path) => path.clone(),
            PathMatch::Prefix(path) => format!("{}/{UNLIKELY}", path.strip_suffix('/').unwrap_or(path)),
            PathMatch::Pattern(segments, tail) => {
                let mut path = String::new();
                for segment in segments {
                    path.push('/');
                    path.push_str(match segment {
                        Segment::Literal(text) => text,
                        Segment::Any => UNLIKELY,
                    });
                }
                if *tail {
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
            PathMatch::Pattern(segments, tail) => {
                f.write_str("pattern ")?;
                for segment in segments {
                    match segment {
                        Segment::Literal(text) => write!(f, "/{text}")?,
                        Segment::Any => f.write_str("/*")?,
                    }
                }
                f.write_str(if *tail { "/**" } else { "" })
            }
        }
    }
}

fn normal(path: &str) -> Result<String, PatternError> {
    let normal = normalize_path(path).map_err(PatternError::Path)?;
    if normal == path {
        Ok(normal)
    } else {
        Err(PatternError::NotNormalized(normal))
    }
}

/// The methods that a route claims.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum MethodMatch {
    /// Every one.
    Any,
    /// These.
    Named(Vec<String>),
}

impl MethodMatch {
    fn has(&self, method: &str) -> bool {
        match self {
            MethodMatch::Any => true,
            MethodMatch::Named(names) => names.iter().any(|name| name == method),
        }
    }
}

/// What a route claims: the requests that match all three.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RouteMatch {
    /// Hosts.
    pub host: HostMatch,
    /// Paths.
    pub path: PathMatch,
    /// Methods.
    pub methods: MethodMatch,
}

/// Two routes that claim the same requests at equal rank, by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The one that came first.
    pub first: usize,
    /// The other.
    pub second: usize,
}

/// Why a table cannot be built.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BuildError {
    /// All conflicts, in the order of the second route.
    pub conflicts: Vec<Conflict>,
}

impl fmt::Display for BuildError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} pairs of routes claim the same requests at equal rank", self.conflicts.len())
    }
}

impl std::error::Error for BuildError {}

/// A route whose requests another one also claims; the order decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overlap {
    /// The route that takes them.
    pub winner: usize,
    /// The route that would take them else.
    pub shadowed: usize,
}

/// By what a route was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MatchKind {
    /// Its exact path.
    Exact,
    /// The longest prefix.
    Prefix,
    /// The first pattern of the file that matches.
    Pattern,
}

/// What a look-up found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookupResult {
    /// The route with this number.
    Route(usize, MatchKind),
    /// Routes claim the path, but none this method; these are the methods.
    MethodNotAllowed(Vec<String>),
    /// No route claims host and path.
    NotFound,
}

/// What ends at a node.
#[derive(Default)]
struct Ends {
    exact: Vec<u32>,
    prefix: Vec<u32>,
    below: Vec<u32>,
    pattern: Vec<u32>,
    tail: Vec<u32>,
}

struct Node {
    parent: u32,
    segment: Box<str>,
    /// The child for any one segment.
    any: Option<u32>,
    /// Its place among the ends.
    ends: Option<u32>,
}

/// Routes by host, path and method.
///
/// All nodes of all hosts stand in one array, and one hash table finds a node's child by its segment, so that
/// a look-up costs a probe for each segment however many routes there are.
pub struct RouteTable {
    claims: Vec<RouteMatch>,
    exact: HashMap<String, u32>,
    suffix: HashMap<String, u32>,
    any: Option<u32>,
    nodes: Vec<Node>,
    ends: Vec<Ends>,
    children: HashTable<u32>,
    hasher: RandomState,
    /// Roots below which there are patterns.
    patterned: Vec<bool>,
    roots: Vec<u32>,
}

impl RouteTable {
    /// Puts claims in; a route's number is its place among them.
    ///
    /// # Errors
    /// If two claim the same requests at equal rank.
    pub fn build(claims: Vec<RouteMatch>) -> Result<Self, BuildError> {
        let mut table = Self {
            claims: Vec::new(),
            exact: HashMap::new(),
            suffix: HashMap::new(),
            any: None,
            nodes: Vec::new(),
            ends: Vec::new(),
            children: HashTable::new(),
            hasher: RandomState::new(),
            patterned: Vec::new(),
            roots: Vec::new(),
        };
        let mut conflicts = Vec::new();
        for (number, claim) in claims.iter().enumerate() {
            if let Some(first) = table.insert(number as u32, claim, &claims) {
                conflicts.push(Conflict { first: first as usize, second: number });
            }
        }
        table.claims = claims;
        table.nodes.shrink_to_fit();
        table.ends.shrink_to_fit();
        if conflicts.is_empty() {
            Ok(table)
        } else {
            Err(BuildError { conflicts })
        }
    }

    /// What each route claims, by its number.
    pub fn route_matches(&self) -> &[RouteMatch] {
        &self.claims
    }

    fn insert(&mut self, number: u32, claim: &RouteMatch, claims: &[RouteMatch]) -> Option<u32> {
        let root = self.root(&claim.host);
        let mut node = self.roots[root as usize];
        let ends = match &claim.path {
            PathMatch::Exact(path) => {
                for segment in path[1..].split('/') {
                    node = self.child_or_new(node, segment);
                }
                &mut self.ends_of(node).exact
            }
            PathMatch::Prefix(path) => {
                let inner = path.strip_suffix('/').unwrap_or(path);
                for segment in inner.split('/').skip(1) {
                    node = self.child_or_new(node, segment);
                }
                let ends = self.ends_of(node);
                if path.ends_with('/') {
                    &mut ends.below
                } else {
                    &mut ends.prefix
                }
            }
            PathMatch::Pattern(segments, tail) => {
                self.patterned[root as usize] = true;
                for segment in segments {
                    node = match segment {
                        Segment::Literal(text) => self.child_or_new(node, text),
                        Segment::Any => self.any_child(node),
                    };
                }
                let ends = self.ends_of(node);
                if *tail {
                    &mut ends.tail
                } else {
                    &mut ends.pattern
                }
            }
        };
        let clashes = |other: &&u32| match (&claims[**other as usize].methods, &claim.methods) {
            (MethodMatch::Any, MethodMatch::Any) => true,
            (MethodMatch::Named(a), MethodMatch::Named(b)) => a.iter().any(|m| b.contains(m)),
            // A named method goes before any.
            _ => false,
        };
        let clash = ends.iter().find(clashes).copied();
        ends.push(number);
        // Named methods first, but patterns by the file's order alone.
        if !matches!(claim.path, PathMatch::Pattern(..)) {
            ends.sort_by_key(|n| (claims[*n as usize].methods == MethodMatch::Any, *n));
        }
        clash
    }

    fn root(&mut self, host: &HostMatch) -> u32 {
        let known = match host {
            HostMatch::Exact(host) => self.exact.get(host).copied(),
            HostMatch::Suffix(suffix) => self.suffix.get(suffix).copied(),
            HostMatch::Any => self.any,
        };
        if let Some(root) = known {
            return root;
        }
        let root = self.roots.len() as u32;
        self.nodes.push(Node { parent: u32::MAX, segment: "".into(), any: None, ends: None });
        self.roots.push(self.nodes.len() as u32 - 1);
        self.patterned.push(false);
        match host {
            HostMatch::Exact(host) => drop(self.exact.insert(host.clone(), root)),
            HostMatch::Suffix(suffix) => drop(self.suffix.insert(suffix.clone(), root)),
            HostMatch::Any => self.any = Some(root),
        }
        root
    }

    fn hash(&self, parent: u32, segment: &str) -> u64 {
        self.hasher.hash_one((parent, segment))
    }

    pub(crate) fn child(&self, parent: u32, segment: &str) -> Option<u32> {
        let is = |n: &u32| {
            let node = &self.nodes[*n as usize];
            node.parent == parent && *node.segment == *segment
        };
        self.children.find(self.hash(parent, segment), is).copied()
    }

    fn child_or_new(&mut self, parent: u32, segment: &str) -> u32 {
        if let Some(child) = self.child(parent, segment) {
            return child;
        }
        let child = self.nodes.len() as u32;
        self.nodes.push(Node { parent, segment: segment.into(), any: None, ends: None });
        let hash = self.hash(parent, segment);
        let (nodes, hasher) = (&self.nodes, &self.hasher);
        let rehash = |n: &u32| {
            let node = &nodes[*n as usize];
            hasher.hash_one((node.parent, &*node.segment))
        };
        self.children.insert_unique(hash, child, rehash);
        child
    }

    fn any_child(&mut self, parent: u32) -> u32 {
        if let Some(child) = self.nodes[parent as usize].any {
            return child;
        }
        let child = self.nodes.len() as u32;
        // Never in the hash table, so its segment is never compared.
        self.nodes.push(Node { parent, segment: "*".into(), any: None, ends: None });
        self.nodes[parent as usize].any = Some(child);
        child
    }

    fn ends_of(&mut self, node: u32) -> &mut Ends {
        let place = match self.nodes[node as usize].ends {
            Some(place) => place,
            None => {
                self.ends.push(Ends::default());
                let place = self.ends.len() as u32 - 1;
                self.nodes[node as usize].ends = Some(place);
                place
            }
        };
        &mut self.ends[place as usize]
    }

    /// The route that takes a request: by its host, its normal path and its method.
    ///
    /// Of the routes that claim it, one with the exact host goes before the longest suffix before any host;
    /// then the exact path before the longest prefix before the first pattern; then a named method before any.
    pub fn find(&self, host: &str, path: &str, method: &str) -> LookupResult {
        self.find_but(host, path, method, None)
    }

    fn find_but(&self, host: &str, path: &str, method: &str, but: Option<u32>) -> LookupResult {
        let mut others = Vec::new();
        let mut search = Search { table: self, path, method, but, others: &mut others };
        let mut found = self.exact.get(host).and_then(|root| search.below(*root));
        if found.is_none() && !self.suffix.is_empty() {
            let mut rest = host;
            while let (None, Some((_, suffix))) = (found, rest.split_once('.')) {
                found = self.suffix.get(suffix).and_then(|root| search.below(*root));
                rest = suffix;
            }
        }
        found = found.or_else(|| self.any.and_then(|root| search.below(root)));
        match found {
            Some((number, reason)) => LookupResult::Route(number as usize, reason),
            None if others.is_empty() => LookupResult::NotFound,
            None => {
                others.sort();
                others.dedup();
                LookupResult::MethodNotAllowed(others)
            }
        }
    }

    /// Overlaps that the order resolves: for each route, the one that would take its requests without it, and
    /// the one that takes them before it.
    pub fn overlaps(&self) -> Vec<Overlap> {
        let mut overlaps = Vec::new();
        for (number, claim) in self.claims.iter().enumerate() {
            let host = claim.host.sample();
            let path = claim.path.sample();
            let names = match &claim.methods {
                MethodMatch::Any => vec!["~~".to_owned()],
                MethodMatch::Named(names) => names.clone(),
            };
            let mut told = Vec::new();
            for method in &names {
                let overlap = match self.find(&host, &path, method) {
                    LookupResult::Route(taker, _) if taker != number => {
                        Overlap { winner: taker, shadowed: number }
                    }
                    _ => match self.find_but(&host, &path, method, Some(number as u32)) {
                        LookupResult::Route(other, _) => Overlap { winner: number, shadowed: other },
                        _ => continue,
                    },
                };
                if !told.contains(&overlap) {
                    told.push(overlap);
                }
            }
            overlaps.append(&mut told);
        }
        overlaps
    }

    /// For each node, the children that a literal segment leads to.
    pub(crate) fn children_of(&self) -> Vec<Vec<u32>> {
        let mut children = vec![Vec::new(); self.nodes.len()];
        for (number, node) in self.nodes.iter().enumerate() {
            let number = number as u32;
            if node.parent != u32::MAX && self.nodes[node.parent as usize].any != Some(number) {
                children[node.parent as usize].push(number);
            }
        }
        children
    }

    pub(crate) fn segment(&self, node: u32) -> &str {
        &self.nodes[node as usize].segment
    }

    pub(crate) fn any_of(&self, node: u32) -> Option<u32> {
        self.nodes[node as usize].any
    }

    pub(crate) fn has_segment(&self, text: &str) -> bool {
        self.nodes.iter().any(|node| *node.segment == *text)
    }

    /// The nodes at which a look-up for a host begins: below its own name and suffixes, and below that for all.
    pub(crate) fn roots_of(&self, host: &str) -> (Vec<u32>, Option<u32>) {
        let mut own: Vec<u32> = self.exact.get(host).copied().into_iter().collect();
        let mut rest = host;
        while let Some((_, suffix)) = rest.split_once('.') {
            own.extend(self.suffix.get(suffix));
            rest = suffix;
        }
        let start = |root: u32| self.roots[root as usize];
        (own.into_iter().map(start).collect(), self.any.map(start))
    }

    /// The routes that take what a route claims, before it.
    pub(crate) fn takers(&self, number: usize) -> Vec<usize> {
        let claim = &self.claims[number];
        let host = claim.host.sample();
        let names = match &claim.methods {
            MethodMatch::Any => vec!["~~".to_owned()],
            MethodMatch::Named(names) => names.clone(),
        };
        let mut takers = Vec::new();
        for method in names {
            if let LookupResult::Route(taker, _) = self.find(&host, &claim.path.sample(), &method) {
                if taker != number && !takers.contains(&taker) {
                    takers.push(taker);
                }
            }
        }
        takers
    }

    /// Bytes that the table holds, without those of the claims.
    pub fn memory_bytes(&self) -> usize {
        let lists = |e: &Ends| [&e.exact, &e.prefix, &e.below, &e.pattern, &e.tail].map(Vec::capacity);
        self.nodes.capacity() * size_of::<Node>()
            + self.nodes.iter().map(|n| n.segment.len()).sum::<usize>()
            + self.ends.capacity() * size_of::<Ends>()
            + self.ends.iter().flat_map(lists).sum::<usize>() * size_of::<u32>()
            + self.children.allocation_size()
    }
}

/// One look-up under way.
struct Search<'a> {
    table: &'a RouteTable,
    path: &'a str,
    method: &'a str,
    but: Option<u32>,
    /// Methods claimed where the path fits and the method does not.
    others: &'a mut Vec<String>,
}

impl Search<'_> {
    fn below(&mut self, root: u32) -> Option<(u32, MatchKind)> {
        let table = self.table;
        let start = table.roots[root as usize];
        let segments = || self.path[1..].split('/');
        // Prefixes met on the way, the longest last.
        let mut met: Vec<&[u32]> = Vec::new();
        let mut node = Some(start);
        let mut rest = segments();
        while let Some(at) = node {
            let ends = table.nodes[at as usize].ends.map(|e| &table.ends[e as usize]);
            let next = rest.next();
            if let Some(ends) = ends {
                if !ends.prefix.is_empty() {
                    met.push(&ends.prefix);
                }
                if next.is_some() && !ends.below.is_empty() {
                    met.push(&ends.below);
                }
            }
            match next {
                Some(segment) => node = table.child(at, segment),
                None => {
                    let exact = ends.map_or(&[][..], |e| &e.exact);
                    if let Some(number) = self.choose(exact) {
                        return Some((number, MatchKind::Exact));
                    }
                    break;
                }
            }
        }
        while let Some(ends) = met.pop() {
            if let Some(number) = self.choose(ends) {
                return Some((number, MatchKind::Prefix));
            }
        }
        if !table.patterned[root as usize] {
            return None;
        }
        let segments: Vec<&str> = self.path[1..].split('/').collect();
        let mut best = None;
        self.patterns(start, &segments, &mut best);
        best.map(|number| (number, MatchKind::Pattern))
    }

    /// The first pattern in the file's order below a node. Each segment has two ways at the most, the literal
    /// and the wildcard one, and only those that claims have made are walked.
    fn patterns(&mut self, node: u32, segments: &[&str], best: &mut Option<u32>) {
        let table = self.table;
        let here = &table.nodes[node as usize];
        let ends = here.ends.map(|e| &table.ends[e as usize]);
        let Some((first, rest)) = segments.split_first() else {
            if let Some(ends) = ends {
                self.earliest(&ends.pattern, best);
            }
            return;
        };
        if let Some(ends) = ends {
            self.earliest(&ends.tail, best);
        }
        if let Some(child) = table.child(node, first) {
            self.patterns(child, rest, best);
        }
        if let Some(child) = here.any.filter(|_| !first.is_empty()) {
            self.patterns(child, rest, best);
        }
    }

    fn earliest(&mut self, numbers: &[u32], best: &mut Option<u32>) {
        if let Some(number) = self.choose(numbers) {
            *best = Some(best.map_or(number, |b| b.min(number)));
        }
    }

    fn choose(&mut self, numbers: &[u32]) -> Option<u32> {
        for number in numbers {
            if self.but == Some(*number) {
                continue;
            }
            match &self.table.claims[*number as usize].methods {
                methods if methods.has(self.method) => return Some(*number),
                MethodMatch::Named(names) => self.others.extend(names.iter().cloned()),
                MethodMatch::Any => {}
            }
        }
        None
    }
}
