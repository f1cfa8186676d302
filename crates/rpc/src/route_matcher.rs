//! Which endpoint a method and a path stand for.

use crate::error::{ErrorKind, RpcError};

/// One node of a tree of routes.
///
/// ```
/// use ivygate_rpc::RouteMatcher::{self, Endpoint, Parameter, Segment};
///
/// let routes = [Segment("drain", vec![Parameter(vec![Segment("begin", vec![Endpoint("POST", 1)])])])];
/// let found = RouteMatcher::find(&routes, "POST", "/drain/zone-a/begin").unwrap();
/// assert_eq!((found.endpoint, found.parameters), (1, vec!["zone-a"]));
/// ```
pub enum RouteMatcher<E> {
    /// This segment, and what may follow it.
    Segment(&'static str, Vec<RouteMatcher<E>>),
    /// Any segment, which becomes a parameter, and what may follow it.
    Parameter(Vec<RouteMatcher<E>>),
    /// The end of the path, with this method.
    Endpoint(&'static str, E),
}

/// An endpoint that was found.
#[derive(Debug, PartialEq, Eq)]
pub struct RouteMatch<'a, E> {
    /// The endpoint.
    pub endpoint: E,
    /// The path's parameters, in order.
    pub parameters: Vec<&'a str>,
}

/// A search in progress.
struct Search<'a, 'm> {
    method: &'m str,
    parameters: Vec<&'a str>,
    /// Whether the path was found, with another method.
    found_other_method: bool,
}

impl<E: Copy> RouteMatcher<E> {
    /// Finds an endpoint among the roots of a tree.
    ///
    /// # Errors
    /// `NotFound` where no path fits, `MethodNotAllowed` where only the method does not.
    pub fn find<'a>(roots: &[Self], method: &str, path: &'a str) -> Result<RouteMatch<'a, E>, RpcError> {
        let path = path.strip_prefix('/').unwrap_or(path);
        let segments: Vec<&str> = if path.is_empty() { Vec::new() } else { path.split('/').collect() };
        let mut search = Search { method, parameters: Vec::new(), found_other_method: false };
        if let Some(endpoint) = Self::descend(roots, &segments, &mut search) {
            return Ok(RouteMatch { endpoint, parameters: search.parameters });
        }
        if search.found_other_method {
            return Err(RpcError::new(ErrorKind::MethodNotAllowed, format!("{method} is not for /{path}")));
        }
        Err(RpcError::new(ErrorKind::NotFound, format!("there is no /{path}")))
    }

    fn descend<'a>(nodes: &[Self], segments: &[&'a str], search: &mut Search<'a, '_>) -> Option<E> {
        for node in nodes {
            match (node, segments.split_first()) {
                (Self::Segment(name, children), Some((first, rest))) if first == name => {
                    if let Some(endpoint) = Self::descend(children, rest, search) {
                        return Some(endpoint);
                    }
                }
                (Self::Parameter(children), Some((first, rest))) => {
                    search.parameters.push(first);
                    if let Some(endpoint) = Self::descend(children, rest, search) {
                        return Some(endpoint);
                    }
                    search.parameters.pop();
                }
                (Self::Endpoint(method, endpoint), None) if *method == search.method => {
                    return Some(*endpoint)
                }
                (Self::Endpoint(..), None) => search.found_other_method = true,
                _ => {}
            }
        }
        None
    }
}
