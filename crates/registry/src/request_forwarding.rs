//! State machine that forwards an operator's call to a store: first to the store of the own machine and, if that cannot handle
//! it, to up to two others. The caller passes the time and the errors; the state machine returns the next store.
//!
//! A call is forwarded only if it has certainly not been started, or if repeating it is idempotent:
//!
//! | error | read | update | drain |
//! | --- | --- | --- | --- |
//! | `NotReady`: the store has not started the call | forwarded | forwarded | forwarded |
//! | `NoQuorum`, `Disk`, `Unreachable`: the call may have been started | forwarded | forwarded | final |
//! | `Timeout`: the operator's timeout of one second has passed | final | final | final |
//! | any other | final | final | final |
//!
//! A read changes nothing. An update is idempotent because its items have versions: repeated content under the same version is
//! applied once, and an older version changes nothing. A drain has no version, so a delayed one would undo later calls.

use ivygate_rpc::ErrorKind;
use ivygate_time::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after the arrival of a call until which other stores are called. Operators give up after one second without a response.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Remaining time below which no other store is called, in milliseconds.
const MIN_TIME_LEFT_MS: f64 = 150.0;
/// Maximum number of other stores that are called.
const MAX_FORWARDS: usize = 2;
/// Time for which a machine counts as reachable after a response.
const REACHABLE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Kind of an operator's call to a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// Reads the current configuration.
    Read,
    /// Updates items with versions.
    Update,
    /// Begins or ends the drain of a zone.
    Drain,
}

/// Store on another machine.
#[derive(Clone, Debug)]
pub struct PeerStore {
    /// Address of the store.
    pub address: SocketAddr,
    /// `true` if it is in the region of this machine.
    pub is_same_region: bool,
    /// Time of the last request from this machine to which its machine responded.
    pub last_response_at: Option<Timestamp>,
}

impl PeerStore {
    fn is_reachable(&self, now: Timestamp) -> bool {
        self.last_response_at.is_some_and(|last| now <= last + REACHABLE_TIMEOUT)
    }
}

/// Store to which a call is forwarded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForwardTarget {
    /// Address of the store.
    pub address: SocketAddr,
    /// Timeout of the forwarded call, in milliseconds.
    pub wait_ms: f64,
}

/// State of the forwarding of one call.
#[derive(Clone, Debug)]
pub struct RequestForwarding {
    request: OperatorRequest,
    received_at: Timestamp,
    /// Stores that may still be called, the best last.
    peers: Vec<PeerStore>,
    forwards: usize,
}

impl RequestForwarding {
    /// Creates the state of a call that has arrived and is sent to the store of the own machine first.
    pub fn new(now: Timestamp, request: OperatorRequest, mut peers: Vec<PeerStore>) -> Self {
        peers.sort_by(|a, b| {
            let is_reachable = a.is_reachable(now).cmp(&b.is_reachable(now));
            let is_same_region = a.is_same_region.cmp(&b.is_same_region);
            let last_answer = |peer: &PeerStore| peer.last_response_at.unwrap_or(Timestamp::DISTANT_PAST);
            is_reachable.then(is_same_region).then(last_answer(a).total_cmp(&last_answer(b)))
        });
        Self { request, received_at: now, peers, forwards: 0 }
    }

    /// Handles an error from the last called store, or the failure to get its response, and returns the store to call next.
    /// Returns `None` if the error is final.
    pub fn next_target(&mut self, now: Timestamp, kind: ErrorKind) -> Option<ForwardTarget> {
        let wait_ms = (self.received_at + CALL_TIMEOUT).millis_since(now);
        if !self.may_forward(kind) || wait_ms < MIN_TIME_LEFT_MS || self.forwards >= MAX_FORWARDS {
            return None;
        }
        let peer = self.peers.pop()?;
        // A store without a quorum is usually on a partitioned machine. Its error must not be delayed by calls to stores that
        // are unreachable as well.
        if kind == ErrorKind::NoQuorum && !peer.is_reachable(now) {
            return None;
        }
        self.forwards += 1;
        Some(ForwardTarget { address: peer.address, wait_ms })
    }

    fn may_forward(&self, kind: ErrorKind) -> bool {
        match kind {
            ErrorKind::NotReady => true,
            ErrorKind::NoQuorum | ErrorKind::Disk | ErrorKind::Unreachable => {
                self.request != OperatorRequest::Drain
            }
            _ => false,
        }
    }
}
