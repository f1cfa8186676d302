//! Membership changes: founding, joining, replacement of failed members, and planned leave.
//!
//! A machine that is not a member catches up as a learner and sends join requests to all members. The first member in
//! address order that is in contact then proposes a replacement. The change itself is a command like any other, see
//! `commands`.

use crate::effect::Effect;
use crate::member::Member;
use crate::membership::{Membership, MAX_MEMBERS};
use crate::membership_change_state::{MemberSlot, WaitingCandidate, CANDIDATE_TIMEOUT};
use crate::messages::{Ballot, Command, JoinCandidate, PeerRequest, PeerResponse};
use crate::peers::CONTACT_TIMEOUT;
use crate::pending_command::PendingCommand;
use crate::proposer::COMMAND_TIMEOUT;
use crate::store::{MembershipStatus, Store};
use ivygate_control_state::Table;
use ivygate_time::Timestamp;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

/// Time without a new announcement after which the store is founded.
const FOUNDING_QUIET_PERIOD: Duration = Duration::from_millis(1_200);
/// Time without any reply after which a member counts as failed and is replaced if a candidate is waiting.
const MEMBER_FAILURE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Minimum time between two membership changes proposed by one member.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(600);
/// The id of internal commands, which have no submitter.
const INTERNAL_COMMAND: u64 = 0;

impl Store {
    // Founding.

    fn is_founder(&self) -> bool {
        self.status() == MembershipStatus::Founding && self.seeds.iter().min() == Some(&self.address)
    }

    /// Handles the announcement of a machine at the first start of the system.
    pub(crate) fn handle_announce(
        &mut self,
        now: Timestamp,
        from: Ipv4Addr,
        incarnation: u64,
    ) -> PeerResponse {
        if self.is_member() {
            return PeerResponse::Pong { chosen: self.state.chosen };
        }
        let announced = &self.change.announced;
        let has_room = announced.len() < MAX_MEMBERS || announced.contains_key(&from);
        if self.is_founder() && has_room {
            let known = self.change.announced.insert(from, incarnation);
            if known != Some(incarnation) {
                self.change.last_announced_at = now;
            }
        }
        PeerResponse::NotAMember
    }

    /// Drives the first start of the system: the founder waits for machines to announce themselves and then founds the
    /// store; all other machines announce themselves.
    pub(crate) fn found_or_announce(&mut self, now: Timestamp) {
        if !self.is_founder() {
            return self.announce(now);
        }
        if self.change.announced.insert(self.address, self.state.incarnation).is_none() {
            self.change.last_announced_at = now;
        }
        let announced_seeds =
            self.seeds.iter().filter(|seed| self.change.announced.contains_key(seed)).count();
        let has_most_seeds = announced_seeds > self.seeds.len() / 2;
        if has_most_seeds && now > self.change.last_announced_at + FOUNDING_QUIET_PERIOD {
            self.found();
        }
    }

    fn announce(&mut self, now: Timestamp) {
        let incarnation = self.state.incarnation;
        for seed in self.seeds.clone() {
            if seed != self.address {
                self.send(now, seed, Ballot::NONE, PeerRequest::Announce { incarnation });
            }
        }
    }

    fn found(&mut self) {
        let membership = Membership::founded(std::mem::take(&mut self.change.announced));
        let ballot = Ballot { counter: 1, proposer: self.address, incarnation: self.state.incarnation };
        self.promise(ballot);
        self.apply_chosen(ballot, vec![Arc::new(membership.to_item())]);
        self.effects.push(Effect::Save);
    }

    // Joining.

    /// Makes a replica that is not a member catch up and, once it knows the membership, send join requests.
    pub(crate) fn request_membership(&mut self, now: Timestamp) {
        let sources = self.snapshot_sources();
        if sources.is_empty() {
            return;
        }
        let chosen = self.state.chosen;
        self.catch_up_from_any(now, &sources);
        if let Some(membership) = &self.membership {
            let candidate = JoinCandidate {
                incarnation: self.state.incarnation,
                membership_version: membership.version,
                chosen,
            };
            for source in sources {
                self.send(now, source, Ballot::NONE, PeerRequest::Join(candidate));
            }
        }
    }

    pub(crate) fn handle_join(
        &mut self,
        now: Timestamp,
        from: Ipv4Addr,
        candidate: JoinCandidate,
    ) -> PeerResponse {
        let candidates = &mut self.change.candidates;
        if candidates.len() < MAX_MEMBERS || candidates.contains_key(&from) {
            candidates.insert(from, WaitingCandidate { requested_at: now, candidate });
        }
        PeerResponse::Learned
    }

    /// Returns a candidate that has everything except the newest rounds. A machine that lost its disk takes precedence,
    /// so that it gets its own slot back before other machines are considered.
    fn eligible_candidate(&self, now: Timestamp) -> Option<Member> {
        let membership = self.membership.as_ref()?;
        let required = self.learner.chosen_before_last_ping().min(self.state.chosen);
        let eligible = |(address, waiting): (&Ipv4Addr, &WaitingCandidate)| {
            let candidate = &waiting.candidate;
            let member = Member::new(*address, candidate.incarnation);
            let is_current = now < waiting.requested_at + CANDIDATE_TIMEOUT
                && candidate.membership_version == membership.version
                && candidate.chosen >= required;
            (is_current && !membership.contains(member)).then_some(member)
        };
        let eligible = || self.change.candidates.iter().filter_map(eligible);
        let returning = eligible().find(|member| membership.members.contains_key(&member.address));
        returning.or_else(|| eligible().next())
    }

    // Replacement.

    /// Proposes to give a slot to a candidate: the slot of its own earlier incarnation, a free one, the slot of a
    /// failed member, or this member's own if it is leaving. Among the members able to propose the change, only the
    /// first one that is in contact does.
    pub(crate) fn replace_member_if_due(&mut self, now: Timestamp) {
        self.change.drop_stale_candidates(now);
        let is_due = !self.change.candidates.is_empty() && now >= self.change.next_change_at;
        if !is_due || self.contact_age_ms(now).is_none() {
            return;
        }
        let Some(joining) = self.eligible_candidate(now) else { return };
        let leaving = match self.slot_for(now, joining) {
            Some(MemberSlot::Free) => None,
            Some(MemberSlot::OccupiedBy(member)) => Some(member),
            None => return,
        };
        self.change.next_change_at = now + MIN_CHANGE_INTERVAL;
        self.proposer.pending.push_back(PendingCommand {
            id: INTERNAL_COMMAND,
            command: Command::ReplaceMember { leaving, joining },
            since: now,
            expires_at: now + COMMAND_TIMEOUT,
            first_version: None,
        });
    }

    /// Returns the slot that a candidate is to take, or `None` if this member does not propose the change.
    fn slot_for(&self, now: Timestamp, joining: Member) -> Option<MemberSlot> {
        let membership = self.membership.as_ref()?;
        let is_first = self.first_member_in_contact(now, membership) == Some(self.address);
        if let Some(earlier) = membership.iter().find(|member| member.address == joining.address) {
            return is_first.then_some(MemberSlot::OccupiedBy(earlier));
        }
        if self.change.leaving {
            return Some(MemberSlot::OccupiedBy(self.own_member()));
        }
        if !is_first {
            return None;
        }
        if membership.members.len() < membership.capacity {
            return Some(MemberSlot::Free);
        }
        self.failed_member(now, membership).map(MemberSlot::OccupiedBy)
    }

    /// Returns the time of the last contact with a member, but no earlier than the end of this process's last pause.
    fn last_contact_at(&self, now: Timestamp, member: Member) -> Timestamp {
        if member.address == self.address {
            return now;
        }
        let running_since = self.peers.running_since();
        self.peers.last_contact(member).map_or(running_since, |contact| contact.max(running_since))
    }

    fn first_member_in_contact(&self, now: Timestamp, membership: &Membership) -> Option<Ipv4Addr> {
        let is_in_contact = |member: &Member| now < self.last_contact_at(now, *member) + CONTACT_TIMEOUT;
        membership.iter().find(is_in_contact).map(|member| member.address)
    }

    /// Returns the member without contact for the longest time, if that exceeds the failure timeout.
    fn failed_member(&self, now: Timestamp, membership: &Membership) -> Option<Member> {
        let failed = membership
            .iter()
            .filter(|member| now > self.last_contact_at(now, *member) + MEMBER_FAILURE_TIMEOUT);
        failed.min_by(|a, b| self.last_contact_at(now, *a).total_cmp(&self.last_contact_at(now, *b)))
    }

    // Planned leave.

    /// Begins a planned leave: this member's slot goes to a candidate, if there is one. Returns whether the process
    /// should wait for that.
    pub fn leave(&mut self, now: Timestamp) -> bool {
        self.change.leaving = true;
        self.replace_member_if_due(now);
        self.start_round(now);
        match self.status() {
            MembershipStatus::Founding => false,
            MembershipStatus::Learner => !self.can_stop(),
            MembershipStatus::Member => self.eligible_candidate(now).is_some(),
        }
    }

    /// Returns whether the store no longer depends on this replica: it is not a member, and a quorum of the membership
    /// that replaced it has that membership on disk.
    pub fn can_stop(&self) -> bool {
        self.status() == MembershipStatus::Learner
            && !self.has_accepted_own_membership()
            && self
                .change
                .successor
                .as_ref()
                .is_none_or(|successor| successor.membership.is_quorum(&successor.informed))
    }

    /// Returns whether the replica has accepted, without knowing it to be chosen, a membership that includes it. Such a
    /// membership may have been chosen.
    fn has_accepted_own_membership(&self) -> bool {
        let accepted = self.state.accepted.iter().flat_map(|accepted| &accepted.items);
        let changes = accepted.filter(|item| item.key.table == Table::Membership);
        let mut memberships = changes.filter_map(|item| Membership::from_item(item));
        memberships.any(|membership| membership.contains(self.own_member()))
    }
}
