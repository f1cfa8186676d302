//! The state of membership changes: announcements, join candidates, and the membership that replaced this member.

use crate::member::Member;
use crate::membership::Membership;
use crate::messages::JoinCandidate;
use ivygate_time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::Duration;

/// Interval at which a replica that is not a member sends its requests to join.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Time after its last request at which a join candidate is dropped. Candidates repeat their request periodically.
pub(crate) const CANDIDATE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A join candidate with the time of its last request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingCandidate {
    pub requested_at: Timestamp,
    pub candidate: JoinCandidate,
}

/// The membership that replaced this member, and those of its members known to have it on disk.
#[derive(Clone, Debug)]
pub(crate) struct Successor {
    pub membership: Membership,
    pub informed: BTreeSet<Member>,
}

/// A membership slot.
#[derive(Clone, Copy, Debug)]
pub(crate) enum MemberSlot {
    /// An unoccupied slot.
    Free,
    /// The slot of a member.
    OccupiedBy(Member),
}

/// The state of membership changes.
#[derive(Clone, Debug)]
pub(crate) struct MembershipChange {
    /// Incarnations of the machines that have announced themselves to this founder.
    pub announced: BTreeMap<Ipv4Addr, u64>,
    pub last_announced_at: Timestamp,
    pub candidates: BTreeMap<Ipv4Addr, WaitingCandidate>,
    pub next_change_at: Timestamp,
    pub next_retry_at: Timestamp,
    /// Set while the process is shutting down and hands its slot to a candidate.
    pub leaving: bool,
    pub successor: Option<Successor>,
}

impl Default for MembershipChange {
    fn default() -> Self {
        Self {
            announced: BTreeMap::new(),
            last_announced_at: Timestamp::DISTANT_FUTURE,
            candidates: BTreeMap::new(),
            next_change_at: Timestamp::DISTANT_PAST,
            next_retry_at: Timestamp::DISTANT_PAST,
            leaving: false,
            successor: None,
        }
    }
}

impl MembershipChange {
    /// Returns whether another machine has taken this member's slot.
    pub fn was_replaced(&self) -> bool {
        self.successor.is_some()
    }

    /// Returns whether the process is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Sets the membership that replaced this member; `None` if this member was not replaced.
    pub fn set_successor(&mut self, membership: Option<Membership>) {
        self.successor = membership.map(|membership| Successor { membership, informed: BTreeSet::new() });
    }

    /// Records the version of the membership that a peer has on disk.
    pub fn record_reply(&mut self, from: Member, membership_version: Option<u64>) {
        if let Some(successor) = &mut self.successor {
            if membership_version.is_some_and(|version| version >= successor.membership.version) {
                successor.informed.insert(from);
            }
        }
    }

    /// Returns whether peers are due to be asked again. If so, the next time is scheduled.
    pub fn is_retry_due(&mut self, now: Timestamp) -> bool {
        let is_due = now >= self.next_retry_at;
        if is_due {
            self.next_retry_at = now + JOIN_RETRY_INTERVAL;
        }
        is_due
    }

    pub fn drop_stale_candidates(&mut self, now: Timestamp) {
        self.candidates.retain(|_, waiting| now < waiting.requested_at + CANDIDATE_TIMEOUT);
    }
}
