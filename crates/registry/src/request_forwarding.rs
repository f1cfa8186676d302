//! An operator's call on its way to a store, as a state machine: the own machine's store first, and where that can't act, up to
//! two others. Time and answers are passed in; whom to ask next comes out.
//!
//! A call is forwarded only where it is known that nothing was begun, or where doing it twice is doing it once:
//!
//! | answer | read | update | drain |
//! | --- | --- | --- | --- |
//! | `NotReady`: the store takes no part and began nothing | forwarded | forwarded | forwarded |
//! | `NoQuorum`, `Disk`, `Unreachable`: it may have begun | forwarded | forwarded | final |
//! | `Timeout`: the operator's second is over | final | final | final |
//! | any other | final | final | final |
//!
//! A read changes nothing. An item has its own version: the same content under it is taken once however often it comes, and an
//! older one changes nothing. A drain has no version: one that arrives late would undo what came after it.

use ivygate_rpc::ErrorKind;
use ivygate_time::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;

/// Operators leave after a second of silence: no other store is waited for beyond this since the call came.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// With less time than this left no other store is asked, in milliseconds.
const MIN_TIME_LEFT_MS: f64 = 150.0;
/// Most other stores that are asked.
const MAX_FORWARDS: usize = 2;
/// A machine that has answered within this time can be reached.
const REACHABLE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// What an operator asks of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// The current configuration.
    Read,
    /// An update of items with versions.
    Update,
    /// The beginning or end of a zone's drain.
    Drain,
}

/// A store on another machine.
#[derive(Clone, Debug)]
pub struct PeerStore {
    /// Its address.
    pub address: SocketAddr,
    /// Whether it is in the same region.
    pub is_same_region: bool,
    /// When its machine last answered this one.
    pub last_response_at: Option<Timestamp>,
}

impl PeerStore {
    fn is_reachable(&self, now: Timestamp) -> bool {
        self.last_response_at.is_some_and(|last| now <= last + REACHABLE_TIMEOUT)
    }
}

/// The store to forward a call to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForwardTarget {
    /// Its address.
    pub address: SocketAddr,
    /// How long its answer is waited for, in milliseconds.
    pub wait_ms: f64,
}

/// One call on its way.
#[derive(Clone, Debug)]
pub struct RequestForwarding {
    request: OperatorRequest,
    begun_at: Timestamp,
    /// The stores that may still be asked, the best last.
    peers: Vec<PeerStore>,
    forwards: usize,
}

impl RequestForwarding {
    /// A call has come, and goes to the own machine's store now.
    pub fn new(now: Timestamp, request: OperatorRequest, mut peers: Vec<PeerStore>) -> Self {
        peers.sort_by(|a, b| {
            let is_reachable = a.is_reachable(now).cmp(&b.is_reachable(now));
            let is_same_region = a.is_same_region.cmp(&b.is_same_region);
            let last_answer = |peer: &PeerStore| peer.last_response_at.unwrap_or(Timestamp::DISTANT_PAST);
            is_reachable.then(is_same_region).then(last_answer(a).total_cmp(&last_answer(b)))
        });
        Self { request, begun_at: now, peers, forwards: 0 }
    }

    /// The store that was asked last has answered with an error of this kind, or gave no answer for this reason. Gives the store
    /// to ask next; `None` if the error is the answer.
    pub fn next_target(&mut self, now: Timestamp, kind: ErrorKind) -> Option<ForwardTarget> {
        let wait_ms = (self.begun_at + CALL_TIMEOUT).millis_since(now);
        if !self.may_forward(kind) || wait_ms < MIN_TIME_LEFT_MS || self.forwards >= MAX_FORWARDS {
            return None;
        }
        let peer = self.peers.pop()?;
        // A store without a quorum is on a machine that is cut off, as a rule: its answer must not wait for others that can't
        // be reached either.
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
