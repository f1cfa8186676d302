//! Record of a run as seen by servers and clients. Times are in milliseconds since the start of the run.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Locks a mutex even if it is poisoned: the data behind the locks of this crate is consistent after each step.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Permission to execute a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of executions is harmless.
    Safe,
    /// The servers of one zone drop repeats of its key for a time.
    Keyed,
    /// It must be executed at most once.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name.
    pub name: &'static str,
    /// Permission to execute a request more than once.
    pub effect: Effect,
    /// Mean work on a warm server, in milliseconds.
    pub work: f64,
    /// Target latency in milliseconds.
    pub aim: f64,
    /// Time that a client waits for a response, in milliseconds.
    pub deadline: f64,
    /// Quota units per request.
    pub units: f64,
}

/// Outcome of a request as the client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Status 200 with the body that a server made for this request.
    Served,
    /// Status 200 with any other body.
    Wrong,
    /// Status 429 or 503.
    Refused,
    /// Status 401 or 403: the sign-in service denied the request.
    Denied,
    /// Any other status.
    Failed,
    /// The connection ended, or no response arrived in time.
    Nothing,
}

/// A request and its outcome at the client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number within the run.
    pub id: u32,
    /// Index of the class.
    pub class: usize,
    /// Number of the customer.
    pub customer: u32,
    /// Scheduled send time; latencies count from here.
    pub scheduled: f64,
    /// Time at which its last byte was written.
    pub written: f64,
    /// The node.
    pub node: usize,
    /// Time at which the last byte of the response arrived, or the client gave up.
    pub ended: f64,
    /// Outcome.
    pub outcome: Outcome,
    /// Number of final responses seen on its connection.
    pub response_count: u32,
}

/// An execution of a request: its last byte arrived at a server.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Id of the request.
    pub id: u32,
    /// The server.
    pub server: usize,
    /// The node that sent it.
    pub node: usize,
    /// Time of arrival.
    pub at: f64,
    /// Work on a warm server, in milliseconds.
    pub work: f64,
    /// True if it took effect: not if the servers of the zone knew its key or if it was declined.
    pub effect: bool,
    /// True if the server's queue was full and it declined the request unprocessed.
    pub declined: bool,
}

/// The announcement to a node that a server is draining or removed.
#[derive(Clone, Debug)]
pub struct Drain {
    /// The node.
    pub node: usize,
    /// The server.
    pub server: usize,
    /// Time of the announcement.
    pub at: f64,
    /// Time at which a restarted server was listed again.
    pub until: f64,
}

/// A time interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// Start.
    pub from: f64,
    /// End, inclusive.
    pub to: f64,
}

impl Span {
    /// Returns true if it overlaps another interval.
    pub fn meets(&self, other: &Span) -> bool {
        self.from <= other.to && other.from <= self.to
    }
}

/// An interval in which a node is not held to its rules: it was killed or stopped, or its client link was faulty.
#[derive(Clone, Debug)]
pub struct Exemption {
    /// The node.
    pub node: usize,
    /// The interval.
    pub span: Span,
}

/// Data that a node sent on a connection without an open request.
#[derive(Clone, Debug)]
pub struct UnsolicitedData {
    /// The node that sent it.
    pub node: usize,
    /// Time at which the client saw it.
    pub at: f64,
}

/// A graceful shutdown of a node after SIGTERM.
#[derive(Clone, Debug)]
pub struct Shutdown {
    /// The node.
    pub node: usize,
    /// Duration from the signal to the end of the process.
    pub took: f64,
}

/// Everything that servers and clients recorded in a run.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// Number of requests that the generator started.
    pub planned: usize,
    /// Data that nodes sent without an open request.
    pub unsolicited: Vec<UnsolicitedData>,
    /// Graceful shutdowns.
    pub shutdowns: Vec<Shutdown>,
    /// Intervals in which links may corrupt responses.
    pub corruption_spans: Vec<Span>,
    /// Requests, in no order.
    pub requests: Vec<Request>,
    /// Executions, in order of arrival.
    pub executions: Vec<Execution>,
    /// Announced drains.
    pub drains: Vec<Drain>,
    /// Intervals in which nodes are not held to their rules.
    pub exemptions: Vec<Exemption>,
    /// Cold starts: server and time.
    pub cold_starts: Vec<(usize, f64)>,
    /// Injected faults: description and interval.
    pub faults: Vec<(String, Span)>,
    /// Longest stall of the harness's own relays and servers, in milliseconds.
    pub longest_stall: f64,
    /// Delay with which the generator started each request, in milliseconds.
    pub generator_delays: Vec<f64>,
}

impl Trace {
    /// Returns true if a node is exempt from its rules at some point of an interval.
    pub fn is_exempt(&self, node: usize, during: &Span) -> bool {
        self.exemptions.iter().any(|excuse| excuse.node == node && excuse.span.meets(during))
    }
}

/// Records a trace; shared by all parts of the test bed.
#[derive(Clone)]
pub struct Recorder {
    started_at: Arc<Mutex<tokio::time::Instant>>,
    trace: Arc<Mutex<Trace>>,
}

impl Recorder {
    /// Creates an empty trace whose time starts at `started_at`.
    pub fn new(started_at: tokio::time::Instant) -> Self {
        Self { started_at: Arc::new(Mutex::new(started_at)), trace: Arc::default() }
    }

    /// Moves the start of the trace's time.
    pub fn begin(&self, at: tokio::time::Instant) {
        *lock(&self.started_at) = at;
    }

    fn started_at(&self) -> tokio::time::Instant {
        *lock(&self.started_at)
    }

    /// Returns the current time of the trace; 0 before its start.
    pub fn now(&self) -> f64 {
        self.started_at().elapsed().as_secs_f64() * 1000.0
    }

    /// Converts a time of the trace to an instant.
    pub fn instant(&self, at: f64) -> tokio::time::Instant {
        self.started_at() + std::time::Duration::from_secs_f64(at.max(0.0) / 1000.0)
    }

    /// Updates the trace.
    pub fn note(&self, note: impl FnOnce(&mut Trace)) {
        note(&mut lock(&self.trace));
    }

    /// Takes the recorded trace and leaves an empty one.
    pub fn take(&self) -> Trace {
        std::mem::take(&mut *lock(&self.trace))
    }
}
