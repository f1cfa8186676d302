//! What a [`Gateway`](crate::Gateway) is told and what it wants done: events, actions, outcomes.
//!
//! Points in time are on the caller's clock, which may start anywhere.

use crate::settings::{RequestClass, RetryBudget};
use ivygate_time::{Millis, Timestamp};
use std::sync::Arc;

/// Identifies a server; stays the same when its process restarts.
pub type ServerId = u32;
/// Identifies one request of a client at this gateway. Never repeated.
pub type RequestId = Arc<str>;

/// A bound on the requests to a server that warms up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartBound {
    /// Requests a second from this gateway.
    pub requests_per_s: f64,
    /// Until then.
    pub until: Timestamp,
}

/// State of a server on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Takes requests.
    Ready,
    /// Finishes its work and must be sent nothing new.
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
    /// Its cell: servers that share the keys they have seen.
    pub cell: u32,
    /// Its state.
    pub state: ServerState,
    /// Its size against the others.
    pub weight: f64,
    /// When it last started; `None` for long ago.
    pub started_at: Option<Timestamp>,
    /// What the way there is taken to cost, as time.
    pub distance_cost: Millis,
    /// Bounds what is sent to it while it warms up, where that is told as a rate of requests.
    pub slow_start: Option<SlowStartBound>,
}

/// What became of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error; it may have run.
    Error,
    /// An answer that is of no use; the request may have run, and the server's health is not in question.
    Unusable,
    /// Rejected by the server unseen.
    Rejected,
    /// No answer in time; it may have run or may yet.
    Timeout,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NeverSent,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NeverSent)
    }
}

/// A server's report of its load, as far as it tells.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests held.
    pub in_flight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Share of its processors that was busy over some time that has passed; no decision rests on it.
    pub utilization: Option<f64>,
    /// Recent service time without waiting.
    pub service_time: Option<Millis>,
}

/// A request that came in.
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
    /// When the client gives this attempt up.
    pub deadline: Timestamp,
    /// Units that it takes from the quota.
    pub units: f64,
    /// Number of gateways through which the customer's requests may come.
    pub gateways: u32,
    /// The only zones whose servers may have it; `None` for all.
    pub zones: Option<Zones>,
    /// Most attempts for it, where that is fewer than for others.
    pub max_attempts: Option<u32>,
}

/// Zones by their names.
pub type Zones = Arc<[Arc<str>]>;

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, in order of the sends, from 0.
    pub attempt: u32,
    /// The server.
    pub server: ServerId,
    /// What became of it.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Millis,
    /// Whether the request has its final answer.
    pub is_final: bool,
    /// Use of the customer over all gateways in the last metered period, in percent of its rate.
    pub metered_percent: Option<f64>,
    /// The server's report, if one came along.
    pub load: Load,
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The whole list; what it lacks is gone.
    Full,
    /// Changed entries only.
    Changes,
    /// Asking failed; nothing is known anew.
    Failed,
}

/// How much may go to a zone, by the advice of whoever judges zones as a whole. It bears on each attempt, the first and
/// further ones; what may go nowhere else, such as a repeat of a keyed request, goes there all the same.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneShares {
    /// The zone.
    pub zone: Arc<str>,
    /// Part of the requests that may run again any number of times, from 0 to 1.
    pub safe: f64,
    /// Part of all others.
    pub other: f64,
}

/// What a gateway is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Advice on zones, in place of all that was given before; zones that it does not name are as ever.
    ZoneShares {
        /// The zones.
        zones: Arc<[ZoneShares]>,
    },
    /// A class that is new, or means something else from now on.
    Class(RequestClass),
    /// How much may be retried from now on.
    RetryBudget(RetryBudget),
    /// News of the server list.
    List {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        servers: Arc<[ServerEntry]>,
    },
    /// A request came in.
    Arrival(Arrival),
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// A health check ended.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// What became of it.
        outcome: Outcome,
        /// The server's report, if one came along.
        load: Load,
    },
    /// A streamed answer has begun: the attempt belongs to the client.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The client has left; nothing more is owed.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// A timer fell due.
    Timer {
        /// The token it was set with.
        token: u64,
    },
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Its customer is beyond the quota.
    Quota,
    /// Its customer is at the rate limit.
    RateLimit,
    /// No server has capacity for it, or none took it.
    Overload,
}

/// What a gateway wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// When to give the attempt up.
        give_up_at: Timestamp,
    },
    /// Final answer: rejected; trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should stay away, 0 for no advice.
        retry_after: Millis,
        /// Why.
        reason: RejectReason,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Send a health check to a server.
    CheckHealth {
        /// The server.
        server: ServerId,
    },
    /// Set a timer.
    Timer {
        /// Comes back with the event.
        token: u64,
        /// When it falls due.
        at: Timestamp,
    },
    /// Ask for changes of the server list from now on.
    Subscribe,
    /// A line for the log.
    Log {
        /// The line.
        text: String,
    },
}
