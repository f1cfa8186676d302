//! Interface of a [`Gateway`](crate::Gateway): its events, its actions and the outcomes of attempts.
//!
//! Timestamps are on the caller's clock, whose origin is arbitrary.

use crate::settings::{RequestClass, RetryBudget};
use ivygate_time::{Millis, Timestamp};
use std::sync::Arc;

/// Identifier of a server; it stays the same when the server's process restarts.
pub type ServerId = u32;
/// Identifier of a client's request at this gateway; never reused.
pub type RequestId = Arc<str>;

/// Limit on the request rate to a server that is warming up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartBound {
    /// Requests per second from this gateway.
    pub requests_per_s: f64,
    /// End of the limit.
    pub until: Timestamp,
}

/// State of a server in the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts requests.
    Ready,
    /// Finishes its open requests and must not get new ones.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the server list.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: String,
    /// Its cell: the servers that share their idempotency keys.
    pub cell: u32,
    /// Its state.
    pub state: ServerState,
    /// Its capacity relative to the other servers.
    pub weight: f64,
    /// Time of its last start; `None` if it is fully warmed up.
    pub started_at: Option<Timestamp>,
    /// Cost of the network distance to it, as a time added to the expected wait.
    pub distance_cost: Millis,
    /// Limit on its request rate while it warms up, where the deployment sets one.
    pub slow_start: Option<SlowStartBound>,
}

/// Result of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered successfully.
    Ok,
    /// The server answered with an error; the request may have run.
    Error,
    /// The response is unusable; the request may have run, and the result does not count against the server's health.
    Unusable,
    /// The server rejected the request without running it.
    Rejected,
    /// No response in time; the request may have run or may still run.
    Timeout,
    /// No connection could be established; the request did not run.
    ConnectFailed,
    /// The connection was reset; the request may have run.
    Reset,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The attempt was never sent.
    NeverSent,
}

impl Outcome {
    /// Returns whether the outcome proves that the request never ran on the server.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NeverSent)
    }
}

/// A server's load report; fields that it does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests being processed or queued.
    pub in_flight: Option<f64>,
    /// Requests queued.
    pub queue: Option<f64>,
    /// CPU utilization averaged over a past period, from 0 to 1; not used in any decision.
    pub utilization: Option<f64>,
    /// Recent service time without queueing.
    pub service_time: Option<Millis>,
}

/// A request from a client.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// Name of its class.
    pub class: Arc<str>,
    /// Name of the customer's plan.
    pub plan: Arc<str>,
    /// The customer.
    pub customer: Arc<str>,
    /// Time at which the client gives up.
    pub deadline: Timestamp,
    /// Units that it consumes from the quota.
    pub units: f64,
    /// Number of gateways over which the customer's requests are spread.
    pub gateways: u32,
    /// Zones whose servers may get it; `None` for all.
    pub zones: Option<Zones>,
    /// Maximum number of attempts, if lower than [`Settings::max_attempts`](crate::Settings::max_attempts).
    pub max_attempts: Option<u32>,
}

/// Names of zones.
pub type Zones = Arc<[Arc<str>]>;

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// Index of the attempt in the order of sending, from 0.
    pub attempt: u32,
    /// The server.
    pub server: ServerId,
    /// Its outcome.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Millis,
    /// Set if the client has its final answer.
    pub is_final: bool,
    /// The customer's usage over all gateways in the last metering period, in percent of its rate.
    pub metered_percent: Option<f64>,
    /// The server's load report.
    pub load: Load,
}

/// Content of a server list event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The complete list; servers that are missing are gone.
    Full,
    /// Changed entries only.
    Changes,
    /// The list could not be fetched; the known servers stay.
    Failed,
}

/// Shares of the requests that may go to a zone, as set by failure-domain detection. They apply to first attempts and to
/// retries alike. A request that no other zone may serve, such as the retry of a keyed request, is sent regardless.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneShares {
    /// The zone.
    pub zone: Arc<str>,
    /// Share of the safe requests, from 0 to 1.
    pub safe: f64,
    /// Share of all other requests, from 0 to 1.
    pub other: f64,
}

/// Input of a gateway.
#[derive(Clone, Debug)]
pub enum Event {
    /// New zone shares, which replace all earlier ones; zones that are missing are unrestricted.
    ZoneShares {
        /// The zones.
        zones: Arc<[ZoneShares]>,
    },
    /// A class that was added or changed.
    Class(RequestClass),
    /// A new retry budget.
    RetryBudget(RetryBudget),
    /// An update of the server list.
    List {
        /// The kind of the update.
        kind: ListKind,
        /// The entries.
        servers: Arc<[ServerEntry]>,
    },
    /// A request arrived.
    Arrival(Arrival),
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// A health check ended.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// Its outcome.
        outcome: Outcome,
        /// The server's load report.
        load: Load,
    },
    /// A streamed response has begun to reach the client.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// Index of the attempt.
        attempt: u32,
    },
    /// The client has disconnected; no answer is due any more.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// A timer expired.
    Timer {
        /// The token of [`Action::Timer`].
        token: u64,
    },
}

/// Reason of a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The customer has exceeded its quota.
    Quota,
    /// The customer has reached its rate limit.
    RateLimit,
    /// No server has capacity for the request, or all attempts were rejected or failed.
    Overload,
}

/// Output of a gateway, to be carried out by the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Time at which the attempt is abandoned.
        give_up_at: Timestamp,
    },
    /// Final answer: rejected; the client may safely retry.
    Reject {
        /// The request.
        request: RequestId,
        /// Time after which the client should retry; 0 to send no such hint.
        retry_after: Millis,
        /// The reason.
        reason: RejectReason,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Index of the attempt.
        attempt: u32,
    },
    /// Send a health check to a server.
    CheckHealth {
        /// The server.
        server: ServerId,
    },
    /// Set a timer.
    Timer {
        /// Token that the event returns.
        token: u64,
        /// Expiry time.
        at: Timestamp,
    },
    /// Subscribe to changes of the server list.
    Subscribe,
    /// A line for the log.
    Log {
        /// The line.
        text: String,
    },
}
