//! State of a client's connection. It alone says which connections may be closed: one whose request has been received stays
//! open until the last byte of its response is with the kernel.

use super::limits::ClientLimits;
use crate::framing::FramingError;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Minimum idle time after which a connection that has carried several requests is closed to make room.
const MIN_IDLE_REUSED: Duration = Duration::from_secs(1);
/// Minimum idle time after which a connection that has carried no request is closed to make room: most
/// clients send a request as soon as they have connected.
const MIN_IDLE_UNUSED: Duration = Duration::from_millis(100);
/// Minimum time for a request that is being received, at a shutdown or when room is made.
const MIN_RECEIVE_TIME: Duration = Duration::from_millis(500);

/// Last event on a connection before a request. A client that does not pipeline sent the request after it, so the event bounds
/// the request's age even if the request was held up on its way or waited while this process stood still.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrecedingEvent {
    /// The connection was accepted. It may have been established earlier.
    Accepted(Instant),
    /// The previous response was written.
    Responded(Instant),
}

/// Guard of a request that is in progress on its connection. The request ends when the guard has been dropped and the response
/// has been written.
pub struct RequestGuard(Rc<Client>);

impl RequestGuard {
    /// Marks the request as received, completely or as far as the handler waits for it: the connection must
    /// stay open until the request has its response.
    pub fn mark_received(&self) {
        self.0.enter(Phase::Responding);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.is_handled.set(false);
        self.0.end_if_complete();
    }
}

/// Phase of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// There is no request: none has been sent yet, or the last one has ended.
    Idle,
    /// A request is being received.
    Receiving,
    /// A request has been received and its response is not yet written: the connection must stay open.
    Responding,
}

/// Progress of the response to the current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseProgress {
    /// The handler has not yet returned it, or its body is not yet complete.
    Incomplete,
    /// It has been handed to hyper completely, which may still hold a part of it.
    Buffered,
    /// Its last byte is with the kernel, or there is none.
    Written,
}

/// State of a client's connection.
pub(super) struct Client {
    phase: Cell<Phase>,
    /// Start of the phase.
    since: Cell<Instant>,
    /// Number of requests that have ended.
    requests: Cell<u32>,
    /// A handler holds the guard of the current request.
    is_handled: Cell<bool>,
    response: Cell<ResponseProgress>,
    preceding_event: Cell<PrecedingEvent>,
    /// Notified when the connection is to be closed as soon as it has no open request.
    pub close: Notify,
    /// The connection is being closed to make room.
    pub is_closing: Cell<bool>,
    /// The client may still be sending the body of a request that the handler did not wait for.
    pub may_send_more: Cell<bool>,
    /// Results of the framing checks of the heads that were passed to hyper, for requests not yet handled.
    pub framing_results: RefCell<VecDeque<Option<FramingError>>>,
    /// Time since which the client has read nothing of the output.
    write_blocked_since: Cell<Option<Instant>>,
}

impl Client {
    /// Creates the state of a connection that has just been accepted.
    pub fn new() -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Self {
            phase: Cell::new(Phase::Idle),
            since: Cell::new(now),
            requests: Cell::new(0),
            is_handled: Cell::new(false),
            response: Cell::new(ResponseProgress::Written),
            preceding_event: Cell::new(PrecedingEvent::Accepted(now)),
            close: Notify::new(),
            is_closing: Cell::new(false),
            may_send_more: Cell::new(false),
            framing_results: RefCell::default(),
            write_blocked_since: Cell::new(None),
        })
    }

    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Returns whether no request has ended on the connection, and none is open.
    pub fn is_unused(&self) -> bool {
        self.phase.get() == Phase::Idle && self.requests.get() == 0
    }

    pub fn preceding_event(&self) -> PrecedingEvent {
        self.preceding_event.get()
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// Enters the receiving phase and returns the time at which it started.
    pub fn start_receiving(&self) -> Instant {
        if self.phase.get() == Phase::Idle {
            // The first request is expected as soon as the client has connected, so its time runs from then.
            let since = if self.requests.get() == 0 { self.since.get() } else { Instant::now() };
            self.phase.set(Phase::Receiving);
            self.since.set(since);
        }
        self.since.get()
    }

    /// Starts a request whose head has been received. Returns its guard, and the time at which it was begun to be received.
    pub fn start_request(self: &Rc<Self>) -> (RequestGuard, Instant) {
        if self.response.get() == ResponseProgress::Buffered {
            // hyper passes a pipelined request on before it has written the response to the one before.
            self.end_request();
        }
        self.is_handled.set(true);
        self.may_send_more.set(false);
        self.response.set(ResponseProgress::Incomplete);
        let started_at = self.start_receiving();
        (RequestGuard(self.clone()), started_at)
    }

    /// Records that the handler has returned a response: whether or not it has waited for the complete request, the connection
    /// stays open until the response is written.
    pub fn record_response(&self, has_request_body: bool) {
        if self.phase.get() != Phase::Responding {
            self.enter(Phase::Responding);
            self.may_send_more.set(has_request_body);
        }
    }

    /// Records that there will be no response.
    pub fn record_no_response(&self) {
        self.response.set(ResponseProgress::Written);
        self.end_if_complete();
    }

    /// Records that hyper has the complete response.
    pub fn record_buffered(&self) {
        self.response.set(ResponseProgress::Buffered);
    }

    /// Records that all that hyper has is with the kernel.
    pub fn record_flush(&self) {
        if self.response.get() == ResponseProgress::Buffered {
            self.response.set(ResponseProgress::Written);
            self.end_if_complete();
        }
    }

    fn end_if_complete(&self) {
        if self.response.get() == ResponseProgress::Written && !self.is_handled.get() {
            self.end_request();
        }
    }

    fn end_request(&self) {
        self.requests.set(self.requests.get().saturating_add(1));
        self.preceding_event.set(PrecedingEvent::Responded(Instant::now()));
        self.enter(Phase::Idle);
    }

    /// Returns whether the connection exceeds the time limit of its phase, or its client does not read its response.
    pub fn is_overdue(&self, limits: &ClientLimits) -> bool {
        let phase_limit = self.phase_limit(limits);
        self.has_stalled(limits) || phase_limit.is_some_and(|limit| self.since.get().elapsed() >= limit)
    }

    /// Returns the time limit of the current phase; `None` if there is none.
    fn phase_limit(&self, limits: &ClientLimits) -> Option<Duration> {
        match (self.phase.get(), self.requests.get()) {
            (Phase::Responding, _) => None,
            (Phase::Receiving, _) | (Phase::Idle, 0) => Some(limits.receive_timeout),
            (Phase::Idle, 1) => Some(limits.idle_timeout_after_one),
            (Phase::Idle, _) => Some(limits.idle_timeout),
        }
    }

    /// Returns whether the connection may be closed at a shutdown, having had no open request for at least this time.
    pub fn is_idle_for(&self, min_time: Duration) -> bool {
        match self.phase.get() {
            Phase::Responding => false,
            Phase::Receiving => self.since.get().elapsed() >= min_time.max(MIN_RECEIVE_TIME),
            Phase::Idle => self.since.get().elapsed() >= min_time,
        }
    }

    /// Records whether the client accepts the output.
    pub fn record_write(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Ready(_) => self.write_blocked_since.set(None),
            Poll::Pending if self.write_blocked_since.get().is_none() => {
                self.write_blocked_since.set(Some(Instant::now()));
            }
            Poll::Pending => {}
        }
    }

    /// Returns whether the client has read nothing of its response for too long.
    pub fn has_stalled(&self, limits: &ClientLimits) -> bool {
        let blocked = self.write_blocked_since.get().map(|since| since.elapsed());
        blocked.is_some_and(|blocked| blocked >= limits.read_stall_timeout)
    }

    /// Returns the order in which the connection is closed to make room, lowest first; `None` if it must not
    /// be closed.
    pub fn eviction_order(&self) -> Option<(u32, Instant)> {
        if self.is_closing.get() {
            return None;
        }
        // These times are short, since new clients wait until a connection is closed.
        let min_time = match (self.phase.get(), self.requests.get()) {
            (Phase::Responding, _) => return None,
            (Phase::Receiving, _) => MIN_RECEIVE_TIME,
            (Phase::Idle, 0) => MIN_IDLE_UNUSED,
            (Phase::Idle, 1) => Duration::ZERO,
            (Phase::Idle, _) => MIN_IDLE_REUSED,
        };
        let since = self.since.get();
        (since.elapsed() >= min_time).then_some((self.requests.get().min(2), since))
    }
}
