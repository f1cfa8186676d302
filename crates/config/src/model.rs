//! The checked configuration: plain data, and the only thing that the rest of the program sees of it.
//!
//! Times are milliseconds, sizes bytes.

use crate::diagnostic::Span;
use ipnet::IpNet;
use ivygate_routing::RouteMatch;
use std::net::SocketAddr;

/// Where something stands in the file. Does not count when configurations are compared.
#[derive(Clone, Copy, Debug, Default)]
pub struct SourceSpan(pub Span);

impl PartialEq for SourceSpan {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

/// A whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// What the process may use.
    pub limits: Limits,
    /// How customers, plans and deadlines are read off requests.
    pub identity: Identity,
    /// Where clients connect.
    pub listeners: Vec<Listener>,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Plans of customers.
    pub plans: Vec<Plan>,
    /// Customers whose plan is in the file.
    pub customers: Vec<Customer>,
    /// Pools of servers.
    pub pools: Vec<Pool>,
    /// Services that are asked before a request goes on.
    pub sign_ins: Vec<SignIn>,
    /// Routes, in the file's order.
    pub routes: Vec<Route>,
    /// Where requests that must not run twice are recorded, if they are.
    pub journal: Option<Journal>,
    /// Where people who run this ask about it, if they may.
    pub operator: Option<Operator>,
    /// How this process and the others tell each other what they see, if they do.
    pub group: Option<Group>,
}

/// How processes tell each other what they see of zones.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// Where this one hears the others (UDP).
    pub listen: SocketAddr,
    /// Files with keys: the first is written with, all are believed.
    pub keys: Vec<String>,
    /// Where the others hear; one's own address does no harm.
    pub peers: Vec<SocketAddr>,
    /// Where it stands.
    pub at: SourceSpan,
}

impl Group {
    /// Most other processes.
    pub const MAX_PEERS: usize = 512;
}

/// Where people who run this ask about it; never one of the clients' addresses.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// The address.
    pub address: SocketAddr,
    /// Where it stands.
    pub at: SourceSpan,
}

impl Operator {
    /// Most connections there.
    pub const MAX_CONNECTIONS: usize = 16;
}

/// Where requests that must not run twice are recorded before they are sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Journal {
    /// The folder.
    pub folder: String,
    /// Whether a record counts only when the disk has it, and not already when the system does.
    pub synced: bool,
    /// How long orders are kept.
    pub keep: f64,
    /// Most bytes that it may take of the disk.
    pub disk: u64,
    /// Whether keyed requests are recorded too.
    pub keyed: bool,
    /// Whether customers are recorded by pseudonyms.
    pub hashed: bool,
    /// The header with the client's id of an order.
    pub id_header: String,
    /// Where it stands.
    pub at: SourceSpan,
}

/// What the process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Most file descriptors.
    pub descriptors: usize,
    /// Longest time from the signal to end to the end.
    pub drain: f64,
    /// Most memory, if that is told; it is planned with, not enforced.
    pub memory: Option<usize>,
    /// Where it stands.
    pub at: SourceSpan,
}

/// How a customer, its plan and a deadline are read off a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    /// The customer; the client's address where a request does not tell.
    pub customer: CustomerSource,
    /// A header that names the plan, believed of trusted peers only.
    pub plan_header: Option<String>,
    /// The plan of customers that nothing else names one for, by its number.
    pub default_plan: usize,
    /// A header that shortens the deadline, believed of trusted peers only.
    pub deadline_header: Option<String>,
    /// Where it stands.
    pub at: SourceSpan,
}

/// A customer whose plan is in the file.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Its name.
    pub name: String,
    /// Its plan, by its number.
    pub plan: usize,
    /// Where it stands.
    pub at: SourceSpan,
}

/// Where a customer's name comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum CustomerSource {
    /// This header.
    Header(String),
    /// This cookie.
    Cookie(String),
    /// The client's address.
    Address,
    /// All requests are this customer's.
    Fixed(String),
}

/// Where clients connect.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// The address.
    pub address: SocketAddr,
    /// Peers whose word on addresses, plans and deadlines is believed.
    pub trusted: Vec<IpNet>,
    /// Most connections.
    pub connections: usize,
    /// Longest head of a request.
    pub head: usize,
    /// Time for a request's head to come whole.
    pub head_within: f64,
    /// Longest pause in a request's body.
    pub body_stall: f64,
    /// Longest time in which a client reads nothing of an answer.
    pub read_stall: f64,
    /// An idle connection is closed after this time.
    pub idle: f64,
    /// No request here has a longer deadline.
    pub answer_within: f64,
    /// The path on which other programs ask whether their requests may go on; nothing else is served then.
    pub answers_checks: Option<String>,
    /// How long the ids of requests that were let on so are remembered.
    pub ids_kept: f64,
    /// Where it stands.
    pub at: SourceSpan,
}

/// Whether a request may be run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Any number of times.
    Safe,
    /// Servers of one scope drop repeats with the same key, for a time.
    Keyed(Scope, f64),
    /// Never twice.
    Unsafe,
}

/// The servers that drop each other's repeats, the fewest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// Those of one cell.
    Cell,
    /// Those of one zone.
    Zone,
    /// All of the pool.
    All,
}

impl Scope {
    /// As the language has it.
    pub fn as_str(self) -> &'static str {
        match self {
            Scope::Cell => "cell",
            Scope::Zone => "zone",
            Scope::All => "all",
        }
    }
}

/// After what a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RepeatPolicy {
    /// Only if no attempt can have run.
    Unsent,
    /// Also after an attempt that may have run.
    Sent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Whether it may run again.
    pub effect: Effect,
    /// After what its requests may be sent again.
    pub repeat: RepeatPolicy,
    /// The header that carries a keyed request's key.
    pub key_header: String,
    /// An answer within this time is worth all of it.
    pub aim: f64,
    /// An answer's head is owed within this time.
    pub deadline: f64,
    /// Time that a request is taken to need on an idle server until that has been measured.
    pub work: f64,
    /// What is added to the deadline where a body is streamed.
    pub upload: f64,
    /// Worth of one request.
    pub worth: f64,
    /// Part of the worth that a late answer still has.
    pub late_worth: f64,
    /// Units of the quota that one request takes.
    pub units: f64,
    /// Where it stands.
    pub at: SourceSpan,
}

/// A plan; quotas hold for each customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Units a second; 0 for no quota.
    pub quota: f64,
    /// Most units saved up.
    pub burst: f64,
    /// Most requests out at once; 0 for no limit.
    pub open: u32,
    /// Units a second that are never passed; 0 for none.
    pub ceiling: f64,
    /// Most units saved up under the ceiling.
    pub ceiling_burst: f64,
    /// Units by which the ceiling may be passed for a moment.
    pub ceiling_slack: f64,
    /// Factor on the worth of its requests.
    pub price: f64,
    /// Part of its worth that a request beyond the quota still has.
    pub excess_worth: f64,
    /// Part of its worth that sending one beyond the quota costs.
    pub excess_cost: f64,
    /// Where it stands.
    pub at: SourceSpan,
}

impl Plan {
    /// One without any quota.
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

/// A pool of servers with a decision module of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// The zone in which this process stands.
    pub zone: String,
    /// Number of sidecars that share the servers and the quotas.
    pub sidecars: u32,
    /// Most attempts for one request.
    pub attempts: u32,
    /// Most connections to its servers.
    pub connections: usize,
    /// Most requests open at once.
    pub requests: usize,
    /// Most bytes of requests' bodies held at once.
    pub buffered: usize,
    /// A body up to this size is held, so that it can be sent again.
    pub repeat_limit: usize,
    /// A connection not established by then has failed.
    pub connect: f64,
    /// An idle connection is kept for this long.
    pub keep: f64,
    /// Longest pause in an answer's body.
    pub answer_stall: f64,
    /// Statuses that are a server's failures.
    pub errors: Vec<u16>,
    /// Header and value by which a 503 or 504 proves that nothing ran.
    pub declined: Option<(String, String)>,
    /// How cold servers are spared; `None` if they need not be.
    pub cold: Option<ColdStart>,
    /// Which of its servers drop each other's repeats, and for how long, if that is told.
    pub drops_repeats: Option<(Scope, f64)>,
    /// Whether a second copy of a slow request may be sent while the first is out.
    pub second_copies: bool,
    /// Pools that may have servers of this one.
    pub shares_servers_with: Vec<String>,
    /// Price of crossing zones, as a share of a request's worth.
    pub cross_zone: f64,
    /// How its zones are judged as a whole; `None` if they are not.
    pub domains: Option<Domains>,
    /// The servers.
    pub servers: Vec<Server>,
    /// Where it stands.
    pub at: SourceSpan,
}

/// How the zones of a pool are judged as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Domains {
    /// Whether zones are left by what is seen of them; else only by hand.
    pub leave: bool,
    /// Zones taken out by hand.
    pub maintenance_zones: Vec<String>,
    /// From this part of the servers on, by weight, that is judged bad, the judgement is not believed.
    pub distrust: f64,
}

/// How a server that has just started is spared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Its capacity at the start, as a share.
    pub from: f64,
    /// It has all of it after this time.
    pub warm: f64,
    /// It falls over when sent this many times its present capacity ...
    pub fall: f64,
    /// ... for this long.
    pub window: f64,
}

/// A server.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its name in the pool.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u32,
    /// Its size against the others.
    pub weight: f64,
    /// Whether it is to be sent nothing new.
    pub draining: bool,
    /// Where it stands.
    pub at: SourceSpan,
}

/// A service that is asked before a request goes on.
#[derive(Clone, Debug, PartialEq)]
pub struct SignIn {
    /// Its name.
    pub name: String,
    /// The pool of its servers, by its number.
    pub pool: usize,
    /// The path that is asked for.
    pub path: String,
    /// Headers of the request that it gets.
    pub request_headers: Vec<String>,
    /// Headers of its yes that go on with the request; never taken from clients.
    pub answer_headers: Vec<String>,
    /// Longest time for a check.
    pub within: f64,
    /// A body up to this size goes into the check, and longer ones are turned away; `None` for no body.
    pub body: Option<usize>,
    /// Failed checks from one address.
    pub address_limit: FailedCheckLimit,
    /// Failed checks with one credential.
    pub credential_limit: FailedCheckLimit,
    /// Whether requests go on where it gives no usable answer.
    pub fail_open: bool,
    /// How long a yes is remembered; 0 for not at all.
    pub cache_yes: f64,
    /// How long a no is remembered; 0 for not at all.
    pub cache_no: f64,
    /// Most answers remembered.
    pub cache_size: usize,
    /// Whether also requests that must not run twice go on by a remembered answer.
    pub cache_unsafe: bool,
    /// Where it stands.
    pub at: SourceSpan,
}

/// How many checks may fail.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailedCheckLimit {
    /// So many a second; 0 for no limit.
    pub rate: f64,
    /// And so many at once.
    pub burst: f64,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The requests that it takes.
    pub matcher: RouteMatch,
    /// The class of those requests, by its number.
    pub class: usize,
    /// The pool that they go to, by its number.
    pub pool: usize,
    /// After what they may be sent again: what their class says, or less.
    pub repeat: RepeatPolicy,
    /// The service that is asked first, by its number.
    pub sign_in: Option<usize>,
    /// Where it stands.
    pub at: SourceSpan,
}
