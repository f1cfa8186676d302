//! Route matching: request targets are normalized once, then hosts, paths and methods are matched in a
//! defined order.
//!
//! Used by the sidecar and by the configuration checker. This crate does no I/O, reads no clock and knows
//! nothing of pools or classes: a route is an index. The normalized path that is matched is also the one that
//! is forwarded, so a server cannot see another path than the one that the route was chosen by.

mod equivalence;
mod table;
mod target;

pub use equivalence::{visit_equivalence_classes, SampleRequest, TooManyClasses};
pub use table::{
    BuildError, Conflict, HostMatch, LookupResult, MatchKind, MethodMatch, Overlap, PathMatch, PatternError,
    RouteMatch, RouteTable, Segment,
};
pub use target::{normalize_host, normalize_path, RequestTarget, TargetError};
