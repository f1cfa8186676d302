//! Matching of a request's method and path to an endpoint.

use crate::error::{ErrorKind, RpcError};

/// Node in a tree of routes.
///
/// ```
/// use ivygate_rpc::RouteMatcher::{self, Endpoint, Parameter, Segment};
///
/// let routes = [Segment("drain", vec![Parameter(vec![Segment("begin", vec![Endpoint("POST", 1)])])])];
/// let found = RouteMatcher::find(&routes, "POST", "/drain/zone-a/begin").unwrap();
/// assert_eq!((found.endpoint, found.parameters), (1, vec!["zone-a"]));
/// ```
pub enum RouteMatcher<E> {
    /// Literal path segment, with the nodes that may follow it.
    Segment(&'static str, Vec<RouteMatcher<E>>),
    /// Arbitrary path segment, captured as a parameter, with the nodes that may follow it.
    Parameter(Vec<RouteMatcher<E>>),
    /// End of the path for a method.
    Endpoint(&'static str, E),
}

/// Endpoint that matches a request.
#[derive(Debug, PartialEq, Eq)]
pub struct RouteMatch<'a, E> {
    /// Matching endpoint.
    pub endpoint: E,
    /// Parameters captured from the path, in order.
    pub parameters: Vec<&'a str>,
}

/// State of a search.
struct Search<'a, 'm> {
    method: &'m str,
    parameters: Vec<&'a str>,
    /// `true` if the path was found with another method.
    found_other_method: bool,
}

impl<E: Copy> RouteMatcher<E> {
    /// Finds the endpoint for a method and path among the root nodes of a tree.
    ///
    /// # Errors
    /// Returns `NotFound` if no path matches, or `MethodNotAllowed` if the path matches only with other methods.
    pub fn find<'a>(roots: &[Self], method: &str, path: &'a str) -> Result<RouteMatch<'a, E>, RpcError> {
        let path = path.strip_prefix('/').unwrap_or(path);
        let segments: Vec<&str> = if path.is_empty() { Vec::new() } else { path.split('/').collect() };
        let mut search = Search { method, parameters: Vec::new(), found_other_method: false };
        if let Some(endpoint) = Self::descend(roots, &segments, &mut search) {
            return Ok(RouteMatch { endpoint, parameters: search.parameters });
        }
        if search.found_other_method {
            return Err(RpcError::new(
                ErrorKind::MethodNotAllowed,
                format!("method {method} is not allowed for /{path}"),
            ));
        }
        Err(RpcError::new(ErrorKind::NotFound, format!("no endpoint at /{path}")))
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
