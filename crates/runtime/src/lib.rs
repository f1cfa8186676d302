//! One [`Gateway`](ivygate_gateway::Gateway) on sockets: clock, timers, connections to servers and from
//! clients.
//!
//! Called by the fronts (the platform's node, the sidecar). Must never decide which server, whether again or
//! what is refused, and must not know the words of any front's protocol beyond HTTP/1.1.

mod clients;
mod clock;
mod driver;
mod framing;
mod headers;
mod listing;
mod payload;
mod stall;
mod streamed;
mod upstream;

pub use clients::{
    listen, ClientLimits, HttpServer, IncomingRequest, RequestGuard, RequestHandler, RECEIVE_TIMEOUT,
};
pub use clock::{duration_from_millis, Clock};
pub use driver::{
    Admission, AttemptRecorder, ClientRequest, DecisionEngine, DisconnectGuard, Driver, FinalResponse, Head,
    OutgoingRequest, SetAttemptHeaders,
};
pub use framing::FramingError;
pub use headers::{end_to_end, retry_after_value, single_value, without_hop_by_hop};
pub use listing::{ListedServer, ListedServerState, ServerListUpdate};
pub use payload::{BodyError, RemainingBody, RequestBody};
pub use stall::{StallTimer, Stalled};
pub use streamed::Streamed;
pub use upstream::{
    has_unread_input, ApplicationPolicy, EchoPolicy, ResponsePolicy, ServerResponse, Upstream,
    UpstreamLimits, MAX_BODY_BYTES,
};
