//! Tracks outstanding requests, contact with and latency of peers, and pauses of this process.

use crate::member::Member;
use crate::membership::MAX_MEMBERS;
use crate::messages::Ballot;
use ivygate_time::{millis, ArrivalClock, Timestamp};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Interval of the pings to the other members, which detect members that are unreachable or lag behind.
const PING_INTERVAL: Duration = Duration::from_millis(1_000);
/// Minimum time between two pings sent on behalf of commands, which only find out which members respond. Contact with a
/// quorum counts for a command if it is at most this much older than the command.
pub(crate) const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// A tick delayed by more than this shows that the process was paused. Members not heard from during a pause have not
/// necessarily failed.
const PAUSE_DETECTION_THRESHOLD: Duration = Duration::from_millis(600);
/// Number of ticks kept to bound the arrival of input, which is handled as soon as it is read.
const MAX_TURNS: usize = 2;
/// Time after a pause during which an arriving command may have been queued throughout the pause, so that its caller
/// may have given it up.
const RESUME_GUARD: Duration = Duration::from_millis(150);
/// Upper limit of the time without contact to a quorum after which commands are rejected. It applies while peers
/// respond slowly, for example because of slow disks.
pub(crate) const MAX_NO_QUORUM_TIMEOUT: Duration = Duration::from_millis(900);
/// Weight of a new sample while a peer's latency estimate falls. A rise takes effect immediately.
const LATENCY_WEIGHT: f64 = 0.1;
/// Maximum number of outstanding requests.
const MAX_OUTSTANDING_REQUESTS: usize = 1_024;

/// A request that has not been answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutstandingRequest {
    /// The peer.
    pub to: Ipv4Addr,
    /// The round it belongs to.
    pub ballot: Ballot,
    /// The time it was sent. Its reply proves contact at that time, regardless of when the reply is read.
    pub sent_at: Timestamp,
}

/// Outstanding requests, and the contact and latency of peers derived from replies.
#[derive(Clone, Debug)]
pub(crate) struct PeerTracker {
    pub last_number: u64,
    pub outstanding: BTreeMap<u64, OutstandingRequest>,
    /// The time at which the last request answered by each member was sent.
    pub last_contact: BTreeMap<Member, Timestamp>,
    /// The recent response latency of each peer, in milliseconds.
    pub latency_ms: BTreeMap<Ipv4Addr, f64>,
    pub next_ping_at: Timestamp,
    pub last_probe_at: Timestamp,
    pub last_tick_at: Option<Timestamp>,
    /// The ticks as turns of the event loop; `None` before the first one.
    arrivals: Option<ArrivalClock<Timestamp>>,

    /// The time since which the process has run without a pause.
    pub running_since: Timestamp,
    /// The time at which the process last resumed after a pause.
    pub resumed_at: Timestamp,
}

impl PeerTracker {
    /// Creates a tracker without outstanding requests, whose request numbers continue after `last_number`.
    pub fn new(last_number: u64) -> Self {
        Self {
            last_number,
            outstanding: BTreeMap::new(),
            last_contact: BTreeMap::new(),
            latency_ms: BTreeMap::new(),
            next_ping_at: Timestamp::DISTANT_PAST,
            last_probe_at: Timestamp::DISTANT_PAST,
            last_tick_at: None,
            arrivals: None,
            running_since: Timestamp::DISTANT_FUTURE,
            resumed_at: Timestamp::DISTANT_PAST,
        }
    }

    /// Registers a request as outstanding and returns its number.
    pub fn register_request(&mut self, now: Timestamp, to: Ipv4Addr, ballot: Ballot) -> u64 {
        self.last_number += 1;
        self.outstanding.insert(self.last_number, OutstandingRequest { to, ballot, sent_at: now });
        self.last_number
    }

    /// Returns the number of the last request.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Removes and returns the outstanding request with this number. Returns `None` if it is no longer outstanding.
    pub fn take_request(&mut self, number: u64) -> Option<OutstandingRequest> {
        self.outstanding.remove(&number)
    }

    /// Drops the oldest requests above the limit; they were never answered.
    pub fn drop_oldest_requests(&mut self) {
        while self.outstanding.len() > MAX_OUTSTANDING_REQUESTS {
            self.outstanding.pop_first();
        }
    }

    /// Updates the peer's latency from a reply that has just been read.
    pub fn record_latency(&mut self, now: Timestamp, request: OutstandingRequest) {
        if self.latency_ms.len() >= 4 * MAX_MEMBERS && !self.latency_ms.contains_key(&request.to) {
            return;
        }
        let sample = now.millis_since(request.sent_at).min(millis(MAX_NO_QUORUM_TIMEOUT));
        let latency = self.latency_ms.entry(request.to).or_default();
        *latency = sample.max((1.0 - LATENCY_WEIGHT) * *latency + LATENCY_WEIGHT * sample);
    }

    /// Discards the latency of a peer that did not answer, so that it is treated like an unknown peer.
    pub fn forget_latency(&mut self, peer: Ipv4Addr) {
        self.latency_ms.remove(&peer);
    }

    /// Returns the recent response latency of a peer in milliseconds, if it has answered.
    pub fn latency_ms(&self, peer: Ipv4Addr) -> Option<f64> {
        self.latency_ms.get(&peer).copied()
    }

    /// Records that a member answered a request sent at `sent_at`.
    pub fn record_contact(&mut self, member: Member, sent_at: Timestamp) {
        let contact = self.last_contact.entry(member).or_insert(sent_at);
        *contact = contact.max(sent_at);
    }

    /// Returns the time at which the last request answered by this member was sent.
    pub fn last_contact(&self, member: Member) -> Option<Timestamp> {
        self.last_contact.get(&member).copied()
    }

    /// Drops recorded contact with machines that are not members, after a membership change.
    pub fn retain_contacts(&mut self, is_member: impl Fn(Member) -> bool) {
        self.last_contact.retain(|member, _| is_member(*member));
    }

    /// Returns the time since which the process has run without a pause.
    pub fn running_since(&self) -> Timestamp {
        self.running_since
    }

    pub fn is_paused_until(&self, now: Timestamp) -> bool {
        self.last_tick_at.is_some_and(|last| now > last + PAUSE_DETECTION_THRESHOLD)
    }

    /// Returns whether input read now may have been queued while the process was paused.
    pub fn may_hold_stale_input(&self, now: Timestamp) -> bool {
        self.is_paused_until(now) || now < self.resumed_at + RESUME_GUARD
    }

    /// Returns a time after which input read now arrived, even if the process stood still meanwhile.
    pub fn earliest_arrival(&self, now: Timestamp) -> Timestamp {
        self.arrivals.as_ref().and_then(|arrivals| arrivals.earliest_arrival(now)).unwrap_or(now)
    }

    /// Records a tick, and detects a pause before it.
    pub fn record_tick(&mut self, now: Timestamp) {
        if self.is_paused_until(now) {
            self.running_since = now;
            self.resumed_at = now;
        }
        if self.last_tick_at.replace(now).is_none() {
            self.running_since = now;
        }
        match &mut self.arrivals {
            Some(arrivals) => arrivals.record_turn(now),
            None => self.arrivals = Some(ArrivalClock::new(now, MAX_TURNS)),
        }
    }

    /// Returns whether a ping may be sent on behalf of a command.
    pub fn may_probe(&self, now: Timestamp) -> bool {
        now >= self.last_probe_at + MIN_PROBE_INTERVAL
    }

    /// Returns whether the periodic ping is due. If so, the next one is scheduled.
    pub fn is_ping_due(&mut self, now: Timestamp, rng: &mut fastrand::Rng) -> bool {
        let is_due = now >= self.next_ping_at;
        if is_due {
            self.next_ping_at = now.plus_millis(millis(PING_INTERVAL) * (0.8 + 0.4 * rng.f64()));
        }
        is_due
    }
}
