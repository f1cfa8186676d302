//! What happened, as servers and clients saw it. Times are milliseconds since the play began.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Takes a lock also where a part panicked with it: what is kept under one here is whole after each step.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times.
    Safe,
    /// Repeats are dropped by the servers of one zone, for a time.
    Keyed,
    /// Never.
    Unsafe,
}

/// A kind of request.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// Whether it may run again.
    pub effect: Effect,
    /// Mean work on a warm server.
    pub work: f64,
    /// An answer within this time is in time.
    pub aim: f64,
    /// A client waits this long.
    pub deadline: f64,
    /// Units that it takes from the quota.
    pub units: f64,
}

/// What a client got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// 200 with the body that a server made for this request.
    Served,
    /// 200 with anything else.
    Wrong,
    /// 429 or 503.
    Refused,
    /// 401 or 403: the sign-in service's no.
    Denied,
    /// Any other status.
    Failed,
    /// The connection ended, or nothing came in time.
    Nothing,
}

/// A request that a client has written whole to a connection that a node accepted.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its number in the play.
    pub id: u32,
    /// Its class, by number.
    pub class: usize,
    /// The customer, by number.
    pub customer: u32,
    /// When it was to be sent; all times of answers count from here.
    pub scheduled: f64,
    /// When its last byte was written.
    pub written: f64,
    /// The node.
    pub node: usize,
    /// When its last byte came, or when it was given up.
    pub ended: f64,
    /// What came.
    pub outcome: Outcome,
    /// Final answers seen on its connection.
    pub response_count: u32,
}

/// A request whose last byte has come to a server, which began it.
#[derive(Clone, Debug)]
pub struct Execution {
    /// The request.
    pub id: u32,
    /// The server.
    pub server: usize,
    /// The node that sent it.
    pub node: usize,
    /// When it came.
    pub at: f64,
    /// Its work, on a warm server.
    pub work: f64,
    /// Whether it took effect: not if the server's group knew its key, or if it was turned away.
    pub effect: bool,
    /// Turned away unseen.
    pub declined: bool,
}

/// A node was told that a server drains or is gone.
#[derive(Clone, Debug)]
pub struct Drain {
    /// The node.
    pub node: usize,
    /// The server.
    pub server: usize,
    /// When.
    pub at: f64,
    /// When the list named it anew, after a restart.
    pub until: f64,
}

/// A time in which something held.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// Since when.
    pub from: f64,
    /// Until when.
    pub to: f64,
}

impl Span {
    /// Whether it shares a moment with another.
    pub fn meets(&self, other: &Span) -> bool {
        self.from <= other.to && other.from <= self.to
    }
}

/// A time in which a node answers for nothing: it was killed or stopped, or its link to clients was at fault.
#[derive(Clone, Debug)]
pub struct Exemption {
    /// The node.
    pub node: usize,
    /// When.
    pub span: Span,
}

/// Bytes came on a connection on which nothing was asked.
#[derive(Clone, Debug)]
pub struct UnsolicitedData {
    /// The node that sent them.
    pub node: usize,
    /// When they were seen.
    pub at: f64,
}

/// A node that was told to end has ended.
#[derive(Clone, Debug)]
pub struct Shutdown {
    /// The node.
    pub node: usize,
    /// How long that took.
    pub took: f64,
}

/// All that happened.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// Requests that the generator has begun.
    pub planned: usize,
    /// What nodes sent unasked.
    pub unsolicited: Vec<UnsolicitedData>,
    /// Nodes that were told to end and did.
    pub shutdowns: Vec<Shutdown>,
    /// Times in which links may change what servers answer.
    pub corruption_spans: Vec<Span>,
    /// In no order.
    pub requests: Vec<Request>,
    /// In the order of their coming.
    pub executions: Vec<Execution>,
    /// Told drains.
    pub drains: Vec<Drain>,
    /// Times in which nodes answer for nothing.
    pub exemptions: Vec<Exemption>,
    /// Cold starts: server and when.
    pub cold_starts: Vec<(usize, f64)>,
    /// Times in which a fault held, with its name.
    pub faults: Vec<(String, Span)>,
    /// The longest time for which the rig's links and stand-ins stood still, in milliseconds.
    pub longest_stall: f64,
    /// How late the generator wrote each request, in milliseconds, without waiting for a connection.
    pub generator_delays: Vec<f64>,
}

impl Trace {
    /// Whether a node answers for nothing at some moment of a time.
    pub fn is_exempt(&self, node: usize, during: &Span) -> bool {
        self.exemptions.iter().any(|excuse| excuse.node == node && excuse.span.meets(during))
    }
}

/// A trace under way, shared by all parts of the world.
#[derive(Clone)]
pub struct Recorder {
    begun: Arc<Mutex<tokio::time::Instant>>,
    trace: Arc<Mutex<Trace>>,
}

impl Recorder {
    /// A trace that begins at a moment.
    pub fn new(begun: tokio::time::Instant) -> Self {
        Self { begun: Arc::new(Mutex::new(begun)), trace: Arc::default() }
    }

    /// The play begins at another moment.
    pub fn begin(&self, at: tokio::time::Instant) {
        *lock(&self.begun) = at;
    }

    fn begun(&self) -> tokio::time::Instant {
        *lock(&self.begun)
    }

    /// The time now; before the beginning it is nothing.
    pub fn now(&self) -> f64 {
        self.begun().elapsed().as_secs_f64() * 1000.0
    }

    /// The moment of a time.
    pub fn instant(&self, at: f64) -> tokio::time::Instant {
        self.begun() + std::time::Duration::from_secs_f64(at.max(0.0) / 1000.0)
    }

    /// Notes something.
    pub fn note(&self, note: impl FnOnce(&mut Trace)) {
        note(&mut lock(&self.trace));
    }

    /// What has been noted.
    pub fn take(&self) -> Trace {
        std::mem::take(&mut *lock(&self.trace))
    }
}
