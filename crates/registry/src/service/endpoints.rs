//! Endpoints of the registry and their paths.

use crate::request_forwarding::OperatorRequest;
use ivygate_rpc::RouteMatcher;

/// Endpoint of the registry.
#[derive(Clone, Copy)]
pub(super) enum Endpoint {
    Pull,
    Heartbeat,
    AntiEntropy,
    Lookup,
    UsageReport,
    Store(OperatorRequest),
    Status,
}

/// Returns the routes to all endpoints.
pub(super) fn routes() -> Vec<RouteMatcher<Endpoint>> {
    use RouteMatcher::{Endpoint as End, Parameter, Segment};
    vec![
        Segment("lookup", vec![End("GET", Endpoint::Lookup)]),
        Segment("news", vec![End("POST", Endpoint::Pull)]),
        Segment("beat", vec![End("POST", Endpoint::Heartbeat)]),
        Segment("told", vec![End("POST", Endpoint::AntiEntropy)]),
        Segment("shares", vec![End("POST", Endpoint::UsageReport)]),
        Segment(
            "config",
            vec![
                Segment("amend", vec![End("POST", Endpoint::Store(OperatorRequest::Update))]),
                Segment("read", vec![End("GET", Endpoint::Store(OperatorRequest::Read))]),
            ],
        ),
        Segment(
            "drain",
            vec![Parameter(vec![
                Segment("begin", vec![End("POST", Endpoint::Store(OperatorRequest::Drain))]),
                Segment("finish", vec![End("POST", Endpoint::Store(OperatorRequest::Drain))]),
            ])],
        ),
        Segment("status", vec![End("GET", Endpoint::Status)]),
    ]
}
