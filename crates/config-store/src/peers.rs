//! Contact with a quorum, and pings of the members.

use crate::member::Member;
use crate::messages::{Ballot, PeerRequest};
use crate::peer_tracker::MAX_NO_QUORUM_TIMEOUT;
use crate::store::Store;
use ivygate_time::{millis, Timestamp};
use std::net::Ipv4Addr;
use std::time::Duration;

/// Age at which contact with a member or a quorum expires.
pub(crate) const CONTACT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Minimum time after which a command is rejected if no quorum has answered any request sent since the command arrived.
const MIN_NO_QUORUM_TIMEOUT: Duration = Duration::from_millis(300);
/// Commands are rejected once contact with a quorum has been missing for the quorum's latency multiplied by this
/// factor, plus `NO_QUORUM_MARGIN_MS`.
const NO_QUORUM_LATENCY_FACTOR: f64 = 2.0;
const NO_QUORUM_MARGIN_MS: f64 = 50.0;

impl Store {
    /// Returns the latest time at which a quorum was certainly reachable: each of its members has answered a request
    /// sent at that time or later.
    pub(crate) fn quorum_contact_at(&self, now: Timestamp) -> Timestamp {
        self.reached_by_quorum(|member| {
            if member.address == self.address {
                now
            } else {
                self.peers.last_contact(member).unwrap_or(Timestamp::DISTANT_PAST)
            }
        })
    }

    /// Returns the latest time that at least a quorum of the members reaches; `time_of` gives the time of each member.
    fn reached_by_quorum(&self, time_of: impl Fn(Member) -> Timestamp) -> Timestamp {
        let Some(membership) = &self.membership else { return Timestamp::DISTANT_PAST };
        let mut times: Vec<Timestamp> = membership.iter().map(time_of).collect();
        times.sort_unstable_by(|a, b| b.total_cmp(a));
        times.get(membership.members.len() / 2).copied().unwrap_or(Timestamp::DISTANT_PAST)
    }

    /// Returns the latest time of which it is certain that everything acknowledged until then is in this replica's state.
    fn state_complete_at(&self, now: Timestamp) -> Timestamp {
        let chosen = self.state.chosen;
        self.reached_by_quorum(|member| {
            if member.address != self.address {
                self.freshness.complete_at(member, chosen)
            } else if self.state.accepted.is_some() {
                self.freshness.accepted_since
            } else {
                now
            }
        })
    }

    /// Returns the age of this replica's state in milliseconds: everything acknowledged earlier is contained in it. Returns
    /// `None` if contact with a quorum has expired or this replica is not a member.
    pub fn state_age_ms(&self, now: Timestamp) -> Option<f64> {
        self.contact_age_ms(now)?;
        Some(now.millis_since(self.state_complete_at(now)))
    }

    /// Returns how long ago a quorum was certainly reachable from this member, in milliseconds. Returns `None` if the
    /// contact has expired or this replica is not a member.
    pub fn contact_age_ms(&self, now: Timestamp) -> Option<f64> {
        let age_ms = now.millis_since(self.quorum_contact_at(now));
        (self.is_member() && age_ms < millis(CONTACT_TIMEOUT)).then_some(age_ms)
    }

    /// Returns the time without contact to a quorum after which a command is rejected, in milliseconds.
    pub(crate) fn no_quorum_timeout_ms(&self) -> f64 {
        let timeout = NO_QUORUM_LATENCY_FACTOR * self.quorum_latency_ms() + NO_QUORUM_MARGIN_MS;
        timeout.clamp(millis(MIN_NO_QUORUM_TIMEOUT), millis(MAX_NO_QUORUM_TIMEOUT))
    }

    /// Returns the recent response latency of a quorum, in milliseconds.
    fn quorum_latency_ms(&self) -> f64 {
        let members = self.members();
        let latency = |member: &Ipv4Addr| {
            if *member == self.address {
                0.0
            } else {
                self.peers.latency_ms(*member).unwrap_or(0.0)
            }
        };
        let mut latencies: Vec<f64> = members.iter().map(latency).collect();
        latencies.sort_unstable_by(f64::total_cmp);
        latencies.get(members.len() / 2).copied().unwrap_or(0.0)
    }

    /// Pings all other members, to detect those that are reachable and the rounds that each knows to be chosen.
    pub(crate) fn ping_members(&mut self, now: Timestamp) {
        self.peers.last_probe_at = now;
        let chosen = self.state.chosen;
        for member in self.members() {
            if member != self.address {
                self.send(now, member, Ballot::NONE, PeerRequest::Ping { chosen });
            }
        }
    }
}
