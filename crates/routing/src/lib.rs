//! Which route takes a request: targets normalised once, hosts and paths matched by a stated order.
//!
//! Called by the sidecar and by the configuration's checker. It does no I/O, reads no clock and knows nothing
//! of pools or classes: a route is a number here. What is matched is what is sent on, so that no server can
//! read another path into a request than the one that was judged.

mod regions;
mod table;
mod target;

pub use regions::{visit_equivalence_classes, SampleRequest, TooManyClasses};
pub use table::{
    BuildError, Conflict, HostMatch, LookupResult, MatchKind, MethodMatch, Overlap, PathMatch, PatternError,
    RouteMatch, RouteTable, Segment,
};
pub use target::{normalize_host, normalize_path, RequestTarget, TargetError};
