//! Tracks up to which time the state of this replica is complete: whatever was acknowledged until then is contained in it.
//!
//! Contact with a quorum alone does not show that. A member of the quorum may have accepted a round that was chosen and
//! acknowledged, while this replica has not learned it.

use crate::member::Member;
use crate::messages::Ballot;
use ivygate_time::Timestamp;
use std::collections::BTreeMap;

/// Last known rounds of a member.
#[derive(Clone, Copy, Debug)]
struct MemberProgress {
    /// Time at which the last request was sent whose reply named no round unknown here.
    complete_at: Timestamp,
    /// Round named by a later reply that was not known here, with the time of its request.
    unknown: Option<(Timestamp, Ballot)>,
}

impl MemberProgress {
    /// Returns the time up to which the member's rounds are known to a replica that has learned `chosen`.
    fn complete_at(&self, chosen: Ballot) -> Timestamp {
        let learned = self.unknown.filter(|(_, ballot)| *ballot <= chosen);
        learned.map_or(self.complete_at, |(sent_at, _)| self.complete_at.max(sent_at))
    }
}

/// Freshness of a replica's state.
#[derive(Clone, Debug)]
pub(crate) struct Freshness {
    members: BTreeMap<Member, MemberProgress>,
    /// Time since which this replica has held an accepted proposal that it does not know to be chosen, if it holds one.
    pub accepted_since: Timestamp,
}

impl Freshness {
    /// Creates the state of a replica that has just started.
    pub fn new() -> Self {
        Self { members: BTreeMap::new(), accepted_since: Timestamp::DISTANT_PAST }
    }

    /// Records the highest round named in a member's reply to a request sent at `sent_at`. `chosen` is the highest round known
    /// to be chosen here.
    pub fn record_reply(
        &mut self,
        member: Member,
        sent_at: Timestamp,
        latest: Option<Ballot>,
        chosen: Ballot,
    ) {
        let new = MemberProgress { complete_at: Timestamp::DISTANT_PAST, unknown: None };
        let progress = self.members.entry(member).or_insert(new);
        progress.complete_at = progress.complete_at(chosen);
        match latest.filter(|latest| *latest > chosen) {
            Some(latest) => progress.unknown = Some((sent_at, latest)),
            None => progress.complete_at = progress.complete_at.max(sent_at),
        }
    }

    /// Returns the time up to which a member's rounds are known here.
    pub fn complete_at(&self, member: Member, chosen: Ballot) -> Timestamp {
        self.members.get(&member).map_or(Timestamp::DISTANT_PAST, |progress| progress.complete_at(chosen))
    }

    /// Drops machines that are not members, after a membership change.
    pub fn retain(&mut self, is_member: impl Fn(Member) -> bool) {
        self.members.retain(|member, _| is_member(*member));
    }
}
