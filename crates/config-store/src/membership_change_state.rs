//! The state of membership changes: announcements, candidates, and the membership that replaced this member.

use crate::member::Member;
use crate::membership::Membership;
use crate::messages::JoinCandidate;
use ivygate_time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::Duration;

/// Interval in which a replica that is no member asks its peers.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// A candidate asks again and again; one that has not asked for this long has given up.
pub(crate) const CANDIDATE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A candidate, and when it last asked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingCandidate {
    pub asked_at: Timestamp,
    pub candidate: JoinCandidate,
}

/// The membership that replaced this member, and who of it is known to have it on disk.
#[derive(Clone, Debug)]
pub(crate) struct Successor {
    pub membership: Membership,
    pub informed: BTreeSet<Member>,
}

/// A place among the members.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Place {
    /// One that nobody has.
    Free,
    /// The place of a member.
    Of(Member),
}

/// The state of membership changes.
#[derive(Clone, Debug)]
pub(crate) struct MembershipChange {
    /// Machines that have announced themselves, at the founder.
    pub announced: BTreeMap<Ipv4Addr, u64>,
    pub last_announced_at: Timestamp,
    pub candidates: BTreeMap<Ipv4Addr, WaitingCandidate>,
    pub next_change_at: Timestamp,
    pub next_retry_at: Timestamp,
    /// Whether the process is about to end, and gives its place to a candidate.
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
    /// Whether another machine has taken this member's place.
    pub fn was_replaced(&self) -> bool {
        self.successor.is_some()
    }

    /// Whether the process is about to end.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// A membership is in force; it is given where it replaced this member.
    pub fn set_successor(&mut self, membership: Option<Membership>) {
        self.successor = membership.map(|membership| Successor { membership, informed: BTreeSet::new() });
    }

    /// A peer has told which membership it has on disk.
    pub fn note_reply(&mut self, from: Member, membership_version: Option<u64>) {
        if let Some(successor) = &mut self.successor {
            if membership_version.is_some_and(|version| version >= successor.membership.version) {
                successor.informed.insert(from);
            }
        }
    }

    /// Whether peers are to be asked again; if so, the next time is scheduled.
    pub fn is_retry_due(&mut self, now: Timestamp) -> bool {
        let is_due = now >= self.next_retry_at;
        if is_due {
            self.next_retry_at = now + JOIN_RETRY_INTERVAL;
        }
        is_due
    }

    pub fn drop_stale_candidates(&mut self, now: Timestamp) {
        self.candidates.retain(|_, waiting| now < waiting.asked_at + CANDIDATE_TIMEOUT);
    }
}
