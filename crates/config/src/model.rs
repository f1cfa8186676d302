//! The checked configuration as plain data, the only form in which other crates see it.
//!
//! Times are in milliseconds and sizes in bytes.

use crate::diagnostic::Span;
use ipnet::IpNet;
use ivygate_routing::RouteMatch;
use std::net::SocketAddr;

/// Position of an item in its file. All values compare equal, so that positions do not count when
/// configurations are compared.
#[derive(Clone, Copy, Debug, Default)]
pub struct SourceSpan(pub Span);

impl PartialEq for SourceSpan {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

/// Complete configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Resource limits of the process.
    pub limits: Limits,
    /// Sources of a request's customer, plan and deadline.
    pub identity: Identity,
    /// Listener for client connections.
    pub listeners: Vec<Listener>,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Customer plans.
    pub plans: Vec<Plan>,
    /// Customers whose plan is set in the configuration.
    pub customers: Vec<Customer>,
    /// Server pools.
    pub pools: Vec<Pool>,
    /// Authentication services, queried before a request is forwarded.
    pub sign_ins: Vec<SignIn>,
    /// Routes, in source order.
    pub routes: Vec<Route>,
    /// Journal of requests that must not run twice, if enabled.
    pub journal: Option<Journal>,
    /// Listener for operators, if enabled.
    pub operator: Option<Operator>,
    /// Group of processes that exchange their observations, if configured.
    pub group: Option<Group>,
}

/// Group of processes that exchange their observations of zones.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// UDP address on which this process receives messages.
    pub listen: SocketAddr,
    /// Key files: outgoing messages are authenticated with the first key, incoming ones are accepted with
    /// any.
    pub keys: Vec<String>,
    /// Addresses of the other processes; the list may contain the own address.
    pub peers: Vec<SocketAddr>,
    /// Position in the source.
    pub at: SourceSpan,
}

impl Group {
    /// Maximum number of peers.
    pub const MAX_PEERS: usize = 512;
}

/// Listener for operators; its address must differ from those of the client listeners.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// Listening address.
    pub address: SocketAddr,
    /// Position in the source.
    pub at: SourceSpan,
}

impl Operator {
    /// Maximum number of connections.
    pub const MAX_CONNECTIONS: usize = 16;
}

/// Journal in which requests that must not run twice are recorded before they are sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Journal {
    /// Directory of the journal.
    pub folder: String,
    /// True if a record counts only once it is synced to disk; false if a write to the operating system
    /// suffices.
    pub synced: bool,
    /// Retention time of orders.
    pub keep: f64,
    /// Maximum disk usage in bytes.
    pub disk: u64,
    /// True if keyed requests are recorded too.
    pub keyed: bool,
    /// True if customers are recorded under pseudonyms.
    pub hashed: bool,
    /// Header that carries the client's order id.
    pub id_header: String,
    /// Position in the source.
    pub at: SourceSpan,
}

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of file descriptors.
    pub descriptors: usize,
    /// Maximum time between the termination signal and the exit.
    pub drain: f64,
    /// Memory budget in bytes, if set; the checker compares it with the estimated use, and it is not
    /// enforced.
    pub memory: Option<usize>,
    /// Position in the source.
    pub at: SourceSpan,
}

/// Sources of a request's customer, plan and deadline.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    /// Source of the customer; the client's address is used where a request does not name one.
    pub customer: CustomerSource,
    /// Header that names the plan; accepted from trusted peers only.
    pub plan_header: Option<String>,
    /// Index of the plan for customers without a plan of their own.
    pub default_plan: usize,
    /// Header that shortens the deadline; accepted from trusted peers only.
    pub deadline_header: Option<String>,
    /// Position in the source.
    pub at: SourceSpan,
}

/// Customer whose plan is set in the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name.
    pub name: String,
    /// Index of the plan.
    pub plan: usize,
    /// Position in the source.
    pub at: SourceSpan,
}

/// Source of a customer's name.
#[derive(Clone, Debug, PartialEq)]
pub enum CustomerSource {
    /// Value of this header.
    Header(String),
    /// Value of this cookie.
    Cookie(String),
    /// Client address.
    Address,
    /// Fixed name for all requests.
    Fixed(String),
}

/// Listener for client connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// Listening address.
    pub address: SocketAddr,
    /// Networks of peers whose headers for addresses, plans and deadlines are accepted.
    pub trusted: Vec<IpNet>,
    /// Maximum number of connections.
    pub connections: usize,
    /// Maximum size of a request head.
    pub head: usize,
    /// Time limit for receiving a complete request head.
    pub head_within: f64,
    /// Maximum pause within a request body.
    pub body_stall: f64,
    /// Maximum time during which a client reads none of a response.
    pub read_stall: f64,
    /// Time after which an idle connection is closed.
    pub idle: f64,
    /// Upper bound on the deadlines of requests to this listener.
    pub answer_within: f64,
    /// Path of the authorization checks that other proxies send; if set, the listener serves nothing else.
    pub answers_checks: Option<String>,
    /// Time for which the ids of requests admitted by such checks are remembered.
    pub ids_kept: f64,
    /// Position in the source.
    pub at: SourceSpan,
}

/// Effect of running a request again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// May run any number of times.
    Safe,
    /// Servers within the scope drop repeats with the same key, for a window in milliseconds.
    Keyed(Scope, f64),
    /// Must not run twice.
    Unsafe,
}

/// Set of servers that drop each other's repeats, from the smallest to the largest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// Servers of one cell.
    Cell,
    /// Servers of one zone.
    Zone,
    /// All servers of the pool.
    All,
}

impl Scope {
    /// Returns the keyword of the configuration language.
    pub fn as_str(self) -> &'static str {
        match self {
            Scope::Cell => "cell",
            Scope::Zone => "zone",
            Scope::All => "all",
        }
    }
}

/// Condition under which a request may be sent again, from the stricter to the looser.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RepeatPolicy {
    /// Only if no earlier attempt can have run.
    Unsent,
    /// Also after an attempt that may have run.
    Sent,
}

/// Request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name.
    pub name: String,
    /// Effect of running such a request again.
    pub effect: Effect,
    /// Condition under which its requests may be sent again.
    pub repeat: RepeatPolicy,
    /// Header that carries the key of a keyed request.
    pub key_header: String,
    /// Response time within which a response has its full worth.
    pub aim: f64,
    /// Time within which the head of the response must be sent.
    pub deadline: f64,
    /// Estimated processing time on an idle server, used until measurements exist.
    pub work: f64,
    /// Time added to the deadline when the request body is streamed.
    pub upload: f64,
    /// Worth of one request relative to others.
    pub worth: f64,
    /// Share of the worth that a late response retains.
    pub late_worth: f64,
    /// Quota units consumed by one request.
    pub units: f64,
    /// Position in the source.
    pub at: SourceSpan,
}

/// Customer plan; its quotas apply to each customer separately.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Name.
    pub name: String,
    /// Quota in units per second; 0 for none.
    pub quota: f64,
    /// Maximum number of saved units.
    pub burst: f64,
    /// Maximum number of concurrent requests; 0 for no limit.
    pub open: u32,
    /// Hard limit in units per second; 0 for none.
    pub ceiling: f64,
    /// Maximum number of units saved under the ceiling.
    pub ceiling_burst: f64,
    /// Number of units by which the ceiling may be exceeded briefly.
    pub ceiling_slack: f64,
    /// Factor applied to the worth of its requests.
    pub price: f64,
    /// Share of its worth that a request beyond the quota retains.
    pub excess_worth: f64,
    /// Cost of sending a request beyond the quota, as a share of its worth.
    pub excess_cost: f64,
    /// Position in the source.
    pub at: SourceSpan,
}

impl Plan {
    /// Creates a plan without quota or ceiling.
    pub fn without_quota(name: &str) -> Self {
        Plan {
            name: name.to_owned(),
            quota: 0.0,
            burst: 0.0,
            open: 0,
            ceiling: 0.0,
            ceiling_burst: 0.0,
            ceiling_slack: 0.0,
            price: 1.0,
            excess_worth: 0.0,
            excess_cost: 1.0,
            at: SourceSpan::default(),
        }
    }
}

/// Pool of servers with its own routing decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name.
    pub name: String,
    /// Zone of this process.
    pub zone: String,
    /// Number of sidecars that share the servers and quotas.
    pub sidecars: u32,
    /// Maximum number of attempts per request.
    pub attempts: u32,
    /// Maximum number of connections to its servers.
    pub connections: usize,
    /// Maximum number of open requests.
    pub requests: usize,
    /// Maximum total size of buffered request bodies.
    pub buffered: usize,
    /// Maximum size of a body that is kept for a repeat.
    pub repeat_limit: usize,
    /// Connect timeout.
    pub connect: f64,
    /// Time for which an idle connection is kept.
    pub keep: f64,
    /// Maximum pause within a response body.
    pub answer_stall: f64,
    /// Status codes that count as server failures.
    pub errors: Vec<u16>,
    /// Header and value that mark a 503 or 504 as proof that the request did not run.
    pub declined: Option<(String, String)>,
    /// Load reduction for servers that have just started; `None` if they need none.
    pub cold: Option<ColdStart>,
    /// Scope within which its servers drop repeats, and the duration, if configured.
    pub drops_repeats: Option<(Scope, f64)>,
    /// True if a second copy of a slow request may be sent while the first is pending.
    pub second_copies: bool,
    /// Names of pools that may contain servers of this one.
    pub shares_servers_with: Vec<String>,
    /// Cost of sending a request to another zone, as a share of its worth.
    pub cross_zone: f64,
    /// Health evaluation of whole zones; `None` if disabled.
    pub domains: Option<Domains>,
    /// Servers.
    pub servers: Vec<Server>,
    /// Position in the source.
    pub at: SourceSpan,
}

/// Health evaluation of the zones of a pool as failure domains.
#[derive(Clone, Debug, PartialEq)]
pub struct Domains {
    /// True if traffic leaves a zone on observed failures; otherwise only maintenance removes a zone.
    pub leave: bool,
    /// Zones taken out of service by the operator; the setting `works`.
    pub maintenance_zones: Vec<String>,
    /// Share of the servers, by weight, from which on a verdict that they are bad is disregarded.
    pub distrust: f64,
}

/// Load reduction for a server that has just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Capacity at the start, as a share of the full capacity.
    pub from: f64,
    /// Time after which the full capacity is reached.
    pub warm: f64,
    /// Factor on the present capacity: load above it for `window` makes the server fail.
    pub fall: f64,
    /// Time for which the server withstands that load; the setting `for`.
    pub window: f64,
}

/// Server of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Name, unique in the pool.
    pub name: String,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Zone; empty if not set.
    pub zone: String,
    /// Cell number.
    pub cell: u32,
    /// Capacity relative to the other servers.
    pub weight: f64,
    /// True if the server receives no new requests.
    pub draining: bool,
    /// Position in the source.
    pub at: SourceSpan,
}

/// Authentication service, queried before a request is forwarded.
#[derive(Clone, Debug, PartialEq)]
pub struct SignIn {
    /// Name.
    pub name: String,
    /// Index of the pool with its servers.
    pub pool: usize,
    /// Path of the check.
    pub path: String,
    /// Request headers passed to the service.
    pub request_headers: Vec<String>,
    /// Headers of a positive answer that are added to the forwarded request; never accepted from clients.
    pub answer_headers: Vec<String>,
    /// Time limit of a check.
    pub within: f64,
    /// Maximum size of a body sent with the check; requests with larger bodies are rejected. `None` to send
    /// no body.
    pub body: Option<usize>,
    /// Limit on failed checks from one address.
    pub address_limit: FailedCheckLimit,
    /// Limit on failed checks with one credential.
    pub credential_limit: FailedCheckLimit,
    /// True if requests are forwarded when the service gives no usable answer; the setting `on-failure open`.
    pub fail_open: bool,
    /// Cache time of a positive answer; 0 to disable.
    pub cache_yes: f64,
    /// Cache time of a negative answer; 0 to disable.
    pub cache_no: f64,
    /// Maximum number of cached answers.
    pub cache_size: usize,
    /// True if a cached answer also admits requests that must not run twice.
    pub cache_unsafe: bool,
    /// Position in the source.
    pub at: SourceSpan,
}

/// Limit on failed checks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailedCheckLimit {
    /// Failures per second; 0 for no limit.
    pub rate: f64,
    /// Maximum number of failures at once.
    pub burst: f64,
}

/// Route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Match condition.
    pub matcher: RouteMatch,
    /// Index of the class of its requests.
    pub class: usize,
    /// Index of the pool that receives its requests.
    pub pool: usize,
    /// Condition under which its requests may be sent again; at most as loose as that of the class.
    pub repeat: RepeatPolicy,
    /// Index of the authentication service, if one is queried first.
    pub sign_in: Option<usize>,
    /// Position in the source.
    pub at: SourceSpan,
}
