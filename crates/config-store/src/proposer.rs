//! The proposer: executes pending commands in rounds.
//!
//! A replica proposes at most one round at a time. A round that is preempted by a higher ballot, or that times out, is
//! abandoned; its commands wait for the next round, which starts after a random backoff.
//!
//! Safety: a proposal contains the contents of the highest accepted proposal among the promises ("Paxos Made Simple",
//! P2c). Before a proposal that changes the membership, or that may follow such a proposal, is sent out, quorums of
//! both memberships must promise.

use crate::member::Member;
use crate::membership::Membership;
use crate::messages::{AcceptedProposal, Ballot, Command, CommandId, CommandOutcome, PeerRequest};
use crate::peer_tracker::MIN_PROBE_INTERVAL;
use crate::pending_command::{EvaluatedCommand, PendingCommand};
use crate::round::{Draft, Preparation, Promise, Proposal, Round};
use crate::snapshot_transfer::MAX_CHUNK_ITEMS;
use crate::store::Store;
use ivygate_control_state::Item;
use ivygate_rpc::{ErrorKind, RpcError};
use ivygate_time::{millis, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

/// Time after which a pending command is rejected, unless it is an order on a zone.
pub(crate) const COMMAND_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Bounds of the random backoff after a preempted round, which is doubled for each preemption since the last chosen
/// round. Two round trips between the most distant regions must fit between the rounds of two proposers.
const MIN_ROUND_BACKOFF: Duration = Duration::from_millis(40);
const MAX_ROUND_BACKOFF: Duration = Duration::from_millis(300);
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

impl Store {
    /// Starts a round if there is work and no round is in progress.
    pub(crate) fn start_round(&mut self, now: Timestamp) {
        let Some(membership) = self.membership.clone().filter(|_| self.is_member()) else { return };
        let is_recovery_due = self.state.accepted.is_some()
            && self.proposer.recovery_deadline.is_some_and(|deadline| now > deadline);
        let has_work = is_recovery_due || !self.proposer.pending.is_empty();
        if !has_work || !self.proposer.is_idle() || now < self.proposer.paused_until {
            return;
        }
        self.proposer.highest_counter = self.proposer.highest_counter.saturating_add(1);
        let ballot = Ballot {
            counter: self.proposer.highest_counter,
            proposer: self.address,
            incarnation: self.state.incarnation,
        };
        let acceptors = membership.iter().collect();
        self.proposer.round = Round::Preparing(Preparation {
            ballot,
            since: now,
            membership,
            next: None,
            promises: BTreeMap::new(),
        });
        self.send_prepares(now, ballot, acceptors);
    }

    fn send_prepares(&mut self, now: Timestamp, ballot: Ballot, acceptors: Vec<Member>) {
        for Member { address, incarnation } in acceptors {
            let chosen = self.state.chosen;
            self.send(now, address, ballot, PeerRequest::Prepare { ballot, incarnation, chosen });
        }
    }

    /// Handles an acceptor's promise. `items` is complete for a proposer that has everything up to the round named in
    /// its request.
    pub(crate) fn handle_promised(
        &mut self,
        now: Timestamp,
        from: Member,
        ballot: Ballot,
        accepted: Option<AcceptedProposal>,
        chosen: Ballot,
        items: Option<Vec<Arc<Item>>>,
    ) {
        if self.proposer.round.ballot() != Some(ballot) {
            return;
        }
        match items {
            Some(items) => {
                self.apply_chosen(chosen, items);
                self.add_promise(now, from, ballot, Promise { accepted, chosen });
            }
            None if chosen > self.state.chosen => {
                // A proposer that lags this far must not evaluate commands.
                self.start_catch_up(now, from.address);
                self.abandon_round(now);
            }
            None => {}
        }
    }

    fn add_promise(&mut self, now: Timestamp, from: Member, ballot: Ballot, promise: Promise) {
        match &mut self.proposer.round {
            Round::Preparing(preparation) if preparation.ballot == ballot => {
                preparation.promises.insert(from, promise);
                if preparation.has_quorum() {
                    self.propose(now);
                }
            }
            Round::Accepting(proposal)
                if proposal.ballot == ballot && !proposal.accepted_by.contains(&from) =>
            {
                let items = proposal.items.clone();
                self.send_accept(now, from, ballot, promise.chosen, items);
            }
            _ => {}
        }
    }

    /// Handles the rejection by an acceptor that has promised a higher round, or knows one to be chosen.
    pub(crate) fn handle_nack(&mut self, now: Timestamp, ballot: Ballot, promised: Ballot) {
        self.proposer.record_ballot(promised);
        if self.proposer.round.ballot() == Some(ballot) && promised > ballot {
            self.abandon_round(now);
        }
    }

    /// Sends phase 2a to an acceptor that has promised the round and has everything chosen up to `chosen`.
    fn send_accept(
        &mut self,
        now: Timestamp,
        to: Member,
        ballot: Ballot,
        chosen: Ballot,
        items: Vec<Arc<Item>>,
    ) {
        let (base, missing) = (self.state.chosen, self.state.items_since(chosen));
        if missing.len() > MAX_CHUNK_ITEMS {
            // An acceptor that lags this far catches up after the next ping.
            return;
        }
        let incarnation = to.incarnation;
        self.send(now, to.address, ballot, PeerRequest::Accept { ballot, incarnation, base, missing, items });
    }

    /// Evaluates the commands against everything that is or may be chosen, and proposes the result. Called once a
    /// quorum has promised.
    fn propose(&mut self, now: Timestamp) {
        let Round::Preparing(preparation) = std::mem::replace(&mut self.proposer.round, Round::Idle) else {
            return;
        };
        if self.membership.as_ref() != Some(&preparation.membership) {
            // The promises must come from a quorum of the new membership.
            return self.start_round(now);
        }
        let recovered = preparation.highest_accepted(self.state.chosen);
        let is_recovery = recovered.is_some();
        let mut draft = self.recovered_draft(recovered);
        let promised_by = preparation.promised_by();
        let other = self.other_membership(now, &preparation.membership, &draft, is_recovery);
        if let Some(other) = other.filter(|other| !other.is_quorum(&promised_by)) {
            return self.prepare_also(now, preparation, other);
        }
        let commands = self.evaluate_commands(now, preparation.since, &promised_by, &mut draft);
        if draft.items.is_empty() && !is_recovery && !Self::contains_zone_order(&commands) {
            return self.complete_without_items(now, preparation.since, commands);
        }
        self.start_accepting(now, preparation, draft, commands);
    }

    /// Returns the register with the items that an earlier round may have had chosen. Items that this replica already
    /// has are proposed too: acceptors of this proposal that did not accept the earlier one may not have them.
    fn recovered_draft(&self, recovered: Option<&AcceptedProposal>) -> Draft {
        let mut draft = Draft { register: self.state.items.clone(), items: Vec::new() };
        for item in recovered.iter().flat_map(|accepted| &accepted.items) {
            if item.version >= draft.register.version(item.key.table, &item.key.name) {
                draft.register.merge_shared(item.clone());
                draft.items.push(item.clone());
            }
        }
        draft
    }

    /// Returns another membership a quorum of which must promise too: the membership of an earlier round that may have
    /// been chosen, or the membership proposed by this replica's own change, before any acceptor accepts it. Once a
    /// membership change is accepted anywhere, every later round must include it and needs quorums of both memberships.
    fn other_membership(
        &self,
        now: Timestamp,
        membership: &Membership,
        draft: &Draft,
        is_recovery: bool,
    ) -> Option<Membership> {
        match Membership::from_items(&draft.register) {
            Some(recovered) if recovered != *membership => Some(recovered),
            _ if draft.items.is_empty() && !is_recovery => self.first_pending_change(now, &draft.register),
            _ => None,
        }
    }

    /// Extends phase 1 until a quorum of another membership has promised too.
    fn prepare_also(&mut self, now: Timestamp, preparation: Preparation, other: Membership) {
        let joining_members = other.difference(&preparation.membership);
        let ballot = preparation.ballot;
        self.proposer.round = Round::Preparing(Preparation { next: Some(other), ..preparation });
        self.send_prepares(now, ballot, joining_members);
    }

    /// Returns whether the commands include an order on a zone. Such a round is proposed even if it changes nothing: an
    /// opposite order accepted earlier by a few acceptors could be recovered otherwise, and come into force after this one
    /// is acknowledged.
    fn contains_zone_order(commands: &[EvaluatedCommand]) -> bool {
        commands.iter().any(|evaluated| matches!(evaluated.pending.command, Command::DrainZone { .. }))
    }

    /// Ends a round that changes nothing. Its result reflects the time at which the promises were given. A command that
    /// arrived after the round began may be newer than the promises, so it waits for the next round.
    fn complete_without_items(&mut self, now: Timestamp, start: Timestamp, commands: Vec<EvaluatedCommand>) {
        let (completed, later): (Vec<_>, Vec<_>) =
            commands.into_iter().partition(|evaluated| evaluated.pending.since <= start);
        self.proposer.requeue(later.into_iter().map(|evaluated| evaluated.pending));
        self.complete_commands(now, completed);
    }

    fn start_accepting(
        &mut self,
        now: Timestamp,
        preparation: Preparation,
        draft: Draft,
        commands: Vec<EvaluatedCommand>,
    ) {
        let Preparation { ballot, membership, promises, .. } = preparation;
        let Draft { register, mut items } = draft;
        // Drops items that a newer item of the same name supersedes.
        items.retain(|item| register.version(item.key.table, &item.key.name) == item.version);
        let next = Membership::from_items(&register).unwrap_or_else(|| membership.clone());
        let mut joining_members = next.difference(&membership);
        joining_members.retain(|member| !promises.contains_key(member));
        self.proposer.round = Round::Accepting(Box::new(Proposal {
            ballot,
            since: now,
            items: items.clone(),
            membership,
            next,
            accepted_by: BTreeSet::new(),
            commands,
        }));
        for (member, promise) in promises {
            self.send_accept(now, member, ballot, promise.chosen, items.clone());
        }
        // Joining members first report the items they have, and then receive the missing ones together with the round's
        // items.
        self.send_prepares(now, ballot, joining_members);
    }

    /// Handles an acceptor's acceptance of the round's items.
    pub(crate) fn handle_accepted(&mut self, now: Timestamp, from: Member, ballot: Ballot) {
        match &mut self.proposer.round {
            Round::Accepting(proposal) if proposal.ballot == ballot => {
                proposal.accepted_by.insert(from);
            }
            _ => return,
        }
        self.finish_round_if_chosen(now);
    }

    /// Ends the round if its items are chosen: informs the other members and completes the commands.
    fn finish_round_if_chosen(&mut self, now: Timestamp) {
        let Round::Accepting(proposal) = &self.proposer.round else { return };
        if !proposal.is_chosen() || proposal.waits_for_joining_member(now) {
            return;
        }
        let Round::Accepting(proposal) = std::mem::replace(&mut self.proposer.round, Round::Idle) else {
            return;
        };
        let Proposal { ballot, items, membership, next, commands, .. } = *proposal;
        let base = self.state.chosen;
        self.apply_chosen(ballot, items.clone());
        let mut members: BTreeSet<Ipv4Addr> =
            membership.members.into_keys().chain(next.members.into_keys()).collect();
        members.remove(&self.address);
        for member in members {
            self.send(now, member, ballot, PeerRequest::Learn { ballot, base, items: items.clone() });
        }
        self.complete_commands(now, commands);
    }

    fn complete_commands(&mut self, now: Timestamp, commands: Vec<EvaluatedCommand>) {
        self.proposer.preempted_rounds = 0;
        for EvaluatedCommand { pending, result } in commands {
            let result = match result {
                Ok(CommandOutcome::Read(_)) => Ok(CommandOutcome::Read(self.state.items.clone())),
                other => other,
            };
            self.complete(pending.id, result);
        }
        self.start_round(now);
    }

    /// Abandons the round. Its commands wait for the next round, which starts after a backoff.
    fn abandon_round(&mut self, now: Timestamp) {
        if let Round::Accepting(proposal) = std::mem::replace(&mut self.proposer.round, Round::Idle) {
            self.proposer.requeue(proposal.commands.into_iter().map(|evaluated| evaluated.pending));
        }
        let spread_ms = millis(MAX_ROUND_BACKOFF) - millis(MIN_ROUND_BACKOFF);
        let backoff_ms = millis(MIN_ROUND_BACKOFF) + self.rng.f64() * spread_ms;
        let doublings = self.proposer.preempted_rounds.min(MAX_BACKOFF_DOUBLINGS);
        self.proposer.paused_until = now.plus_millis(backoff_ms * f64::from(1 << doublings));
        self.proposer.preempted_rounds += 1;
    }

    /// Finishes the round if it is chosen, or abandons it if it has timed out.
    pub(crate) fn tick_round(&mut self, now: Timestamp) {
        let deadline = self.proposer.round.deadline();
        self.finish_round_if_chosen(now);
        if deadline.is_some_and(|deadline| now > deadline) && !self.proposer.is_idle() {
            self.abandon_round(now);
            // A membership change whose new members do not respond must not block other commands; it is started again
            // if it is still needed.
            self.proposer.pending.retain(|pending| !matches!(pending.command, Command::ReplaceMember { .. }));
        }
        let is_outdated = match &self.proposer.round {
            Round::Preparing(preparation) => self.membership.as_ref() != Some(&preparation.membership),
            _ => false,
        };
        if is_outdated {
            // The promises must come from a quorum of the new membership.
            self.proposer.round = Round::Idle;
            self.start_round(now);
        }
    }

    /// Rejects pending commands that have waited too long or for which no quorum is reachable.
    pub(crate) fn reject_expired_commands(&mut self, now: Timestamp) {
        let contact = self.quorum_contact_at(now);
        let timeout_ms = self.no_quorum_timeout_ms();
        let is_member = self.is_member();
        let is_expired = |pending: &PendingCommand| {
            let has_no_quorum =
                now > pending.since.plus_millis(timeout_ms) && contact < pending.since - MIN_PROBE_INTERVAL;
            !is_member || now > pending.expires_at || has_no_quorum
        };
        let pending = std::mem::take(&mut self.proposer.pending);
        let (expired, pending): (Vec<_>, Vec<_>) = pending.into_iter().partition(is_expired);
        self.proposer.pending = pending.into();
        for command in expired {
            self.reject_for_lack_of_quorum(command.id);
        }
    }

    /// Rejects a command whose caller has given it up by now.
    pub(crate) fn reject_expired(&mut self, id: CommandId) {
        self.complete(id, Err(RpcError::new(ErrorKind::NoQuorum, "the command was not executed in time")));
    }

    pub(crate) fn reject_for_lack_of_quorum(&mut self, id: CommandId) {
        self.complete(id, Err(RpcError::new(ErrorKind::NoQuorum, "no quorum of the store can be reached")));
    }
}
