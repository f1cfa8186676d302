//! Runs one [`Gateway`](ivygate_gateway::Gateway) on sockets: clock, timers, connections to servers and from
//! clients.
//!
//! Used by the request handlers of the platform's node, the sidecar and the proxy. This crate makes no
//! decisions about server choice, retries or refusals, and knows no protocol beyond HTTP/1.1.

mod clock;
mod driver;
mod framing;
mod headers;
mod memory;
mod request_body;
mod send_guard;
mod server;
mod server_list;
mod stall;
mod streamed;
mod upstream;

pub use clock::{duration_from_millis, Clock};
pub use driver::{
    Admission, AttemptRecorder, ClientRequest, DecisionEngine, DisconnectGuard, Driver, FinalResponse, Head,
    OutgoingRequest, SetAttemptHeaders,
};
pub use framing::FramingError;
pub use headers::{end_to_end, retry_after_value, single_value, without_hop_by_hop};
pub use memory::{
    BufferFull, ChargedBuffer, MemoryAccount, MemoryCharge, MemoryUsage, MemoryUse, ReceiveError,
    SMALL_BODY_BYTES,
};
pub use request_body::{BodyError, RemainingBody, RequestBody};
pub use send_guard::SendGuard;
pub use server::{
    listen, ClientLimits, HttpServer, IncomingRequest, PrecedingEvent, RequestGuard, RequestHandler,
    RECEIVE_TIMEOUT,
};
pub use server_list::{ListedServer, ListedServerState, ServerListUpdate};
pub use stall::{StallTimer, Stalled};
pub use streamed::Streamed;
pub use upstream::{
    has_unread_input, ApplicationPolicy, EchoPolicy, ResponsePolicy, ServerResponse, Upstream,
    UpstreamLimits, MAX_BODY_BYTES,
};
