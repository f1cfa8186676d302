//! Requests under way, when peers last answered, and detection of pauses of this process.

use crate::member::Member;
use crate::membership::MAX_MEMBERS;
use crate::messages::Ballot;
use ivygate_time::{millis, Timestamp};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Interval of pings of each other member, which tell who is in contact and who lags.
const PING_INTERVAL: Duration = Duration::from_millis(1_000);
/// Least time between two pings that are sent for commands, only to learn who answers. A quorum that has answered nothing that
/// was sent since this long before a command can't be reached for it.
pub(crate) const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// A tick that comes this late tells that the process was paused: members that were not heard meanwhile have not failed.
const PAUSE_DETECTION_THRESHOLD: Duration = Duration::from_millis(600);
/// A command that arrives so soon after a pause may have waited all the while, and its caller may have given it up.
const RESUME_GUARD: Duration = Duration::from_millis(150);
/// ... and where peers have lately been slow, as with slow disks, after a longer time, up to this.
pub(crate) const MAX_NO_QUORUM_TIMEOUT: Duration = Duration::from_millis(900);
/// Weight of one reply in a peer's latency, where that falls; it rises at once.
const LATENCY_WEIGHT: f64 = 0.1;
/// Most requests whose replies are waited for.
const MAX_OUTSTANDING_REQUESTS: usize = 1_024;

/// A request whose reply is waited for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutstandingRequest {
    /// The peer.
    pub to: Ipv4Addr,
    /// The round that it belongs to.
    pub ballot: Ballot,
    /// When it was sent: its reply is proof of contact at that time, whenever it is read.
    pub sent_at: Timestamp,
}

/// Requests under way, and what replies tell of the peers.
#[derive(Clone, Debug)]
pub(crate) struct PeerTracker {
    pub last_number: u64,
    pub outstanding: BTreeMap<u64, OutstandingRequest>,
    /// When the last request was sent that each member has answered.
    pub last_contact: BTreeMap<Member, Timestamp>,
    /// How long each peer has lately taken to answer, in milliseconds.
    pub latency_ms: BTreeMap<Ipv4Addr, f64>,
    pub next_ping_at: Timestamp,
    pub last_probe_at: Timestamp,
    pub last_tick_at: Option<Timestamp>,
    /// Since when the process has run without a pause.
    pub running_since: Timestamp,
    /// When the process last went on after a pause.
    pub resumed_at: Timestamp,
}

impl PeerTracker {
    /// No request is under way; numbers go on after `last_number`.
    pub fn new(last_number: u64) -> Self {
        Self {
            last_number,
            outstanding: BTreeMap::new(),
            last_contact: BTreeMap::new(),
            latency_ms: BTreeMap::new(),
            next_ping_at: Timestamp::DISTANT_PAST,
            last_probe_at: Timestamp::DISTANT_PAST,
            last_tick_at: None,
            running_since: Timestamp::DISTANT_FUTURE,
            resumed_at: Timestamp::DISTANT_PAST,
        }
    }

    /// Gives the next request its number.
    pub fn register_request(&mut self, now: Timestamp, to: Ipv4Addr, ballot: Ballot) -> u64 {
        self.last_number += 1;
        self.outstanding.insert(self.last_number, OutstandingRequest { to, ballot, sent_at: now });
        self.last_number
    }

    /// The number of the last request.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// The request whose reply has come; `None` if its reply is not waited for any more.
    pub fn take_request(&mut self, number: u64) -> Option<OutstandingRequest> {
        self.outstanding.remove(&number)
    }

    /// Forgets the oldest requests where there are too many: nothing came of them.
    pub fn drop_oldest_requests(&mut self) {
        while self.outstanding.len() > MAX_OUTSTANDING_REQUESTS {
            self.outstanding.pop_first();
        }
    }

    /// A reply was read now.
    pub fn record_latency(&mut self, now: Timestamp, request: OutstandingRequest) {
        if self.latency_ms.len() >= 4 * MAX_MEMBERS && !self.latency_ms.contains_key(&request.to) {
            return;
        }
        let sample = now.millis_since(request.sent_at).min(millis(MAX_NO_QUORUM_TIMEOUT));
        let latency = self.latency_ms.entry(request.to).or_default();
        *latency = sample.max((1.0 - LATENCY_WEIGHT) * *latency + LATENCY_WEIGHT * sample);
    }

    /// A peer did not answer: it is taken for one that was never heard.
    pub fn forget_latency(&mut self, peer: Ipv4Addr) {
        self.latency_ms.remove(&peer);
    }

    /// How long a peer has lately taken to answer, if it did.
    pub fn latency_ms(&self, peer: Ipv4Addr) -> Option<f64> {
        self.latency_ms.get(&peer).copied()
    }

    /// A member has answered a request that was sent at this time.
    pub fn record_contact(&mut self, member: Member, sent_at: Timestamp) {
        let contact = self.last_contact.entry(member).or_insert(sent_at);
        *contact = contact.max(sent_at);
    }

    /// When the last request was sent that a member has answered.
    pub fn last_contact(&self, member: Member) -> Option<Timestamp> {
        self.last_contact.get(&member).copied()
    }

    /// The membership has changed: forgets contact with all but its members.
    pub fn retain_contacts(&mut self, is_member: impl Fn(Member) -> bool) {
        self.last_contact.retain(|member, _| is_member(*member));
    }

    /// Since when the process has run without a pause.
    pub fn running_since(&self) -> Timestamp {
        self.running_since
    }

    pub fn is_paused_until(&self, now: Timestamp) -> bool {
        self.last_tick_at.is_some_and(|last| now > last + PAUSE_DETECTION_THRESHOLD)
    }

    /// Whether what is read now may have waited while the process was paused.
    pub fn may_hold_stale_input(&self, now: Timestamp) -> bool {
        self.is_paused_until(now) || now < self.resumed_at + RESUME_GUARD
    }

    /// Notes a tick, and a pause before it.
    pub fn note_tick(&mut self, now: Timestamp) {
        if self.is_paused_until(now) {
            self.running_since = now;
            self.resumed_at = now;
        }
        if self.last_tick_at.replace(now).is_none() {
            self.running_since = now;
        }
    }

    /// Whether a ping may be sent for a command.
    pub fn may_probe(&self, now: Timestamp) -> bool {
        now >= self.last_probe_at + MIN_PROBE_INTERVAL
    }

    /// Whether the regular ping is due; if so, the next one is scheduled.
    pub fn is_ping_due(&mut self, now: Timestamp, rng: &mut fastrand::Rng) -> bool {
        let is_due = now >= self.next_ping_at;
        if is_due {
            self.next_ping_at = now.plus_millis(millis(PING_INTERVAL) * (0.8 + 0.4 * rng.f64()));
        }
        is_due
    }
}
