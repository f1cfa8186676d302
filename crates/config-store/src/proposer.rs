//! The proposer: pending commands, and the round that carries them out.
//!
//! A replica has at most one round of its own under way. A round that is preempted by a higher ballot, or that times out,
//! is abandoned; its commands wait for the next one, which starts after a random backoff.
//!
//! Safety: a proposal contains what the highest accepted proposal of the promises contains ("Paxos Made Simple", P2c), and
//! a proposal that changes the membership, or may follow one that does, has a quorum of both memberships promise first.

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

/// A command that has been pending for longer is rejected: operators go elsewhere after a second.
pub(crate) const COMMAND_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Backoff after a preempted round, drawn between these and doubled for each that was preempted since: two ways there and
/// back over the farthest regions have to fit between the rounds of two proposers.
const MIN_ROUND_BACKOFF: Duration = Duration::from_millis(40);
const MAX_ROUND_BACKOFF: Duration = Duration::from_millis(300);
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

impl Store {
    /// Starts a round if there is something to do and none is under way.
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

    /// An acceptor has promised a round. `items` is complete for whoever held all up to the round that its request named.
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
                // A proposer that lags so far may not evaluate commands.
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

    /// An acceptor has promised a higher round, or knows one to be chosen.
    pub(crate) fn handle_nack(&mut self, now: Timestamp, ballot: Ballot, promised: Ballot) {
        self.proposer.note_counter(promised);
        if self.proposer.round.ballot() == Some(ballot) && promised > ballot {
            self.abandon_round(now);
        }
    }

    /// Asks an acceptor that has promised the round, and holds all that was chosen up to `chosen`, to accept.
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
            // An acceptor that lags so far catches up at the next ping.
            return;
        }
        let incarnation = to.incarnation;
        self.send(now, to.address, ballot, PeerRequest::Accept { ballot, incarnation, base, missing, items });
    }

    /// A quorum takes part: evaluates the commands against all that is chosen or may be, and proposes what comes of it.
    fn propose(&mut self, now: Timestamp) {
        let Round::Preparing(preparation) = std::mem::replace(&mut self.proposer.round, Round::Idle) else {
            return;
        };
        if self.membership.as_ref() != Some(&preparation.membership) {
            // A quorum of another membership has to promise.
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
        if draft.items.is_empty() && !is_recovery {
            return self.complete_without_items(now, preparation.since, commands);
        }
        self.start_accepting(now, preparation, draft, commands);
    }

    /// The register with what an earlier round may have had chosen. Items that are held already are proposed too: those that
    /// accept this proposal in place of the earlier one may not hold them.
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

    /// Another membership, a quorum of which has to promise too: that of an earlier round, which may have gone on by itself,
    /// or that of an own change before anybody accepts it. Once it is accepted, no round can do without it, nor without both
    /// memberships.
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

    /// Goes on with the first phase until a quorum of another membership has promised too.
    fn prepare_also(&mut self, now: Timestamp, preparation: Preparation, other: Membership) {
        let newcomers = other.difference(&preparation.membership);
        let ballot = preparation.ballot;
        self.proposer.round = Round::Preparing(Preparation { next: Some(other), ..preparation });
        self.send_prepares(now, ballot, newcomers);
    }

    /// Ends a round that changes nothing. It says what stood when the promises were given: a command that came after the
    /// round began may have come after that, and waits for the next.
    fn complete_without_items(&mut self, now: Timestamp, begun: Timestamp, commands: Vec<EvaluatedCommand>) {
        let (completed, later): (Vec<_>, Vec<_>) =
            commands.into_iter().partition(|evaluated| evaluated.pending.since <= begun);
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
        // Of two items of one name the newer is enough.
        items.retain(|item| register.version(item.key.table, &item.key.name) == item.version);
        let next = Membership::from_items(&register).unwrap_or_else(|| membership.clone());
        let mut newcomers = next.difference(&membership);
        newcomers.retain(|member| !promises.contains_key(member));
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
        // Members that come with this round tell what they hold, and are then sent the rest with the items.
        self.send_prepares(now, ballot, newcomers);
    }

    /// An acceptor has accepted a round's items.
    pub(crate) fn handle_accepted(&mut self, now: Timestamp, from: Member, ballot: Ballot) {
        match &mut self.proposer.round {
            Round::Accepting(proposal) if proposal.ballot == ballot => {
                proposal.accepted_by.insert(from);
            }
            _ => return,
        }
        self.finish_round_if_chosen(now);
    }

    /// Ends the round if its items are chosen: tells the other members, and completes the commands.
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

    /// Gives the round up; its commands wait for the next, which starts after a backoff.
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

    /// Ends the round if it is chosen or out of time.
    pub(crate) fn tick_round(&mut self, now: Timestamp) {
        let deadline = self.proposer.round.deadline();
        self.finish_round_if_chosen(now);
        if deadline.is_some_and(|deadline| now > deadline) && !self.proposer.is_idle() {
            self.abandon_round(now);
            // A membership change that its own new members do not answer must not hold up others; it is begun again if
            // it is still needed.
            self.proposer.pending.retain(|pending| !matches!(pending.command, Command::ReplaceMember { .. }));
        }
        let is_outdated = match &self.proposer.round {
            Round::Preparing(preparation) => self.membership.as_ref() != Some(&preparation.membership),
            _ => false,
        };
        if is_outdated {
            // A quorum of another membership has to promise.
            self.proposer.round = Round::Idle;
            self.start_round(now);
        }
    }

    /// Rejects pending commands that have waited too long, or that no quorum can be reached for.
    pub(crate) fn reject_expired_commands(&mut self, now: Timestamp) {
        let contact = self.quorum_contact_at(now);
        let timeout_ms = self.no_quorum_timeout_ms();
        let is_member = self.is_member();
        let is_expired = |pending: &PendingCommand| {
            let has_no_quorum =
                now > pending.since.plus_millis(timeout_ms) && contact < pending.since - MIN_PROBE_INTERVAL;
            !is_member || now > pending.since + COMMAND_TIMEOUT || has_no_quorum
        };
        let pending = std::mem::take(&mut self.proposer.pending);
        let (expired, pending): (Vec<_>, Vec<_>) = pending.into_iter().partition(is_expired);
        self.proposer.pending = pending.into();
        for command in expired {
            self.reject_for_lack_of_quorum(command.id);
        }
    }

    pub(crate) fn reject_for_lack_of_quorum(&mut self, id: CommandId) {
        self.complete(id, Err(RpcError::new(ErrorKind::NoQuorum, "no quorum of the store can be reached")));
    }
}
