//! What a [`Gateway`](crate::Gateway) is told and what it answers: settings, events, actions, outcomes.
//!
//! Times are milliseconds on the caller's clock, which may start anywhere.

use std::sync::Arc;

/// A point on the caller's clock, or a length of time, in milliseconds.
pub type Millis = f64;
/// Identifies a server; stays the same when its process restarts.
pub type ServerId = u32;
/// Identifies one try of a client at this gateway. Never repeated.
pub type RequestId = Arc<str>;

/// All that a gateway is told about its deployment when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of gateways in front of the servers.
    pub gateways: u32,
    /// Number of this gateway, from 0.
    pub rank: u32,
    /// Zone in which this gateway stands.
    pub zone: String,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Plans that customers may be on.
    pub plans: Vec<Plan>,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Whether two attempts of a request may be out at once.
    pub hedging: bool,
    /// Whether servers may be probed.
    pub probing: bool,
    /// Whether a gateway that has nothing out sends one request on however slow servers are thought to be. Where
    /// nobody else asks them, what was learned in a bad time would else be believed for good.
    pub trial: bool,
    /// Whether an attempt may be cancelled.
    pub cancelling: bool,
    /// Whether changes of the server list come only when asked for.
    pub list_on_request: bool,
    /// Longest retry-after that clients heed; `None` where they are not told.
    pub max_retry_after: Option<Millis>,
    /// How much may be sent again.
    pub retries: Retries,
    /// Period over which the meter adds up use; `None` without a meter.
    pub meter_period: Option<Millis>,
    /// Price of each attempt that crosses zones, as a share of a request's worth.
    pub cross_zone_price: f64,
    /// A just started server has at least this share of its capacity.
    pub cold_from: f64,
    /// And all of it after this time at the latest.
    pub warm_after: Millis,
    /// A cold server falls over when sent this many times its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long.
    pub fall_window: Millis,
}

/// How much a gateway may send again, for each pool of servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retries {
    /// Further attempts earned by each first one.
    pub part: f64,
    /// Most further attempts saved up.
    pub store: f64,
    /// Whether one counts also where the attempts before it are proven never to have run.
    pub all: bool,
}

impl Retries {
    /// What suits a deployment that sets no budget: failing servers do not double the load.
    pub const USUAL: Self = Self { part: 0.15, store: 15.0, all: false };
}

/// How many requests may go to a server that has not warmed up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fence {
    /// Requests a second from this gateway.
    pub per_s: f64,
    /// Until then.
    pub until: Millis,
}

/// Whether a request may be run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Safe,
    /// Repeats are dropped by the servers of one group, for a time.
    Keyed(KeyScope),
    /// Must never run twice.
    Unsafe,
}

/// The servers that drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All servers.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// An answer within this time earns the full worth.
    pub aim: Millis,
    /// Time after which a client gives up, over all its tries.
    pub deadline: Millis,
    /// Worth of one request.
    pub worth: f64,
    /// Share of the worth that an answer after the aim still earns.
    pub late_worth: f64,
    /// Whether it may run again.
    pub effect: Effect,
    /// Work of a request on an idle server, as far as it is told; a part of the aim where it is not.
    pub first_work: Option<Millis>,
    /// How long repeats of a keyed request are dropped, from the first send that may have run.
    pub key_window: Millis,
}

/// A plan, whose quotas hold for each of its customers over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Units a second; 0 for no such quota.
    pub rate: f64,
    /// Most units that the quota's store holds.
    pub burst: f64,
    /// Most attempts out at once; 0 for no such quota.
    pub open: u32,
    /// Factor on the worth of its requests.
    pub price: f64,
    /// Share of its worth that a request beyond the quota earns.
    pub extra_worth: f64,
    /// Share of its worth that sending one beyond the quota costs.
    pub excess_cost: f64,
    /// Hard ceiling in units a second; 0 for none.
    pub ceiling_rate: f64,
    /// Most units that the ceiling's store holds.
    pub ceiling_burst: f64,
    /// Units by which the ceiling's store may fall below nothing.
    pub ceiling_slack: f64,
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
pub struct Member {
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
    pub started: Option<Millis>,
    /// What an attempt there is taken to cost for the way, as time.
    pub detour: Millis,
    /// Bounds what is sent to it while it is cold, where that is told as a rate of requests.
    pub fence: Option<Fence>,
}

/// What became of an attempt, a probe or a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error; it may have run.
    Error,
    /// An answer that is of no use; the request may have run, and the server's health is not in question.
    Spoilt,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run or may yet.
    Timeout,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
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
    /// When the client gives this try up.
    pub deadline: Millis,
    /// Units that it takes from the quota.
    pub units: f64,
    /// Number of gateways through which the customer's requests may come.
    pub width: u32,
    /// The only zones whose servers may have it; `None` for all.
    pub zones: Option<Zones>,
    /// Most attempts for it, where that is fewer than for others.
    pub tries: Option<u32>,
}

/// Zones by their names.
pub type Zones = Arc<[Arc<str>]>;

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct Done {
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
    pub closed: bool,
    /// Use of the customer over all gateways in the last metered period, in percent of its rate.
    pub use_percent: Option<f64>,
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

/// How much may go to a zone, by the word of whoever judges zones as a whole. It bears on each attempt, the first and
/// further ones; what may go nowhere else, such as a repeat of a keyed request, goes there all the same.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneAdvice {
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
    Advice {
        /// The zones.
        zones: Arc<[ZoneAdvice]>,
    },
    /// A class that is new, or means something else from now on.
    Class(Class),
    /// How much may be sent again from now on.
    Retries(Retries),
    /// News of the server list.
    List {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        members: Arc<[Member]>,
    },
    /// A request came in.
    Arrival(Arrival),
    /// An attempt ended.
    Done(Done),
    /// A probe ended.
    Probed {
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

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Its customer is beyond the quota.
    Quota,
    /// Its customer is at the ceiling.
    Ceiling,
    /// There is no room at any server, or none took it.
    Room,
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
        give_up_at: Millis,
    },
    /// Final answer: refused, trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should stay away, 0 for no advice.
        retry_after: Millis,
        /// Why.
        reason: Refusal,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Withdraw an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Probe a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Set a timer.
    Timer {
        /// Comes back with the event.
        token: u64,
        /// When it falls due.
        at: Millis,
    },
    /// Ask for changes of the server list from now on.
    Subscribe,
    /// A line for the log.
    Log {
        /// The line.
        text: String,
    },
}
