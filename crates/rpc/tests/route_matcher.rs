//! Matching of a request's method and path to an endpoint.

use ivygate_rpc::RouteMatcher::{Endpoint, Parameter, Segment};
use ivygate_rpc::{ErrorKind, RouteMatch, RouteMatcher};

#[test]
fn finds_an_endpoint_with_its_parameters() {
    let routes = [Segment(
        "drain",
        vec![Parameter(vec![Segment("begin", vec![Endpoint("POST", 1)])]), Endpoint("GET", 2)],
    )];
    let found = |method, path| RouteMatcher::find(&routes, method, path);
    assert_eq!(found("POST", "/drain/a/begin"), Ok(RouteMatch { endpoint: 1, parameters: vec!["a"] }));
    assert_eq!(found("GET", "/drain").map(|found| found.endpoint), Ok(2));
    assert_eq!(found("GET", "/drain/a/begin").map_err(|error| error.kind), Err(ErrorKind::MethodNotAllowed));
    assert_eq!(found("POST", "/drain/a").map_err(|error| error.kind), Err(ErrorKind::NotFound));
    assert_eq!(found("GET", "/").map_err(|error| error.kind), Err(ErrorKind::NotFound));
}
