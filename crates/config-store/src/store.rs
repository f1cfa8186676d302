//! One replica of the store, as a state machine without I/O.
//!
//! The replicas hold one replicated register whose value is the complete map of items. There is no log and no leader:
//! every member accepts commands and proposes. A command is executed in a round of Paxos (Lamport, "Paxos Made Simple",
//! 2001; without a log as in Rystsov, "CASPaxos", 2018):
//!
//! 1. *Prepare.* A quorum promises to take part in no lower round, and reports what it knows to be chosen and what
//!    it has accepted beyond that.
//! 2. *Evaluate.* The proposer evaluates the commands against everything that is or may be chosen.
//! 3. *Accept.* A quorum durably accepts the resulting items. They are then chosen, and the commands are
//!    acknowledged.
//! 4. *Learn.* The other members are informed.
//!
//! Any two rounds share an acceptor, so the later round sees the possible results of the earlier one and builds on
//! them. The membership is an item too; a round that changes it needs quorums of both the old and the new membership.
//!
//! Each part of a replica is a module with its own state and handlers: `acceptor`, `proposer`, `learner`,
//! `membership_change` and `peers`. `Store` combines them.

use crate::durable_state::{DurableState, Watermark};
use crate::effect::Effect;
use crate::freshness::Freshness;
use crate::learner_state::Learner;
use crate::member::Member;
use crate::membership::Membership;
use crate::membership_change_state::MembershipChange;
use crate::messages::{Ballot, Command, CommandId, CommandOutcome, PeerReply, PeerRequest, PeerResponse};
use crate::peer_tracker::PeerTracker;
use crate::proposer::COMMAND_TIMEOUT;
use crate::proposer_state::Proposer;
use ivygate_cluster::ORDER_LIFETIME;
use ivygate_control_state::Table;
use ivygate_rpc::{ErrorKind, RpcError};
use ivygate_time::Timestamp;
use std::net::Ipv4Addr;

/// The membership status of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipStatus {
    /// The system is starting for the first time, and the replica is waiting for the store to be founded.
    Founding,
    /// The replica is not a member, because its disk is new or was lost, or because its slot was given to another
    /// machine. It learns chosen rounds and waits for a slot.
    Learner,

    /// The replica is a member.
    Member,
}

impl MembershipStatus {
    /// Returns the name of the status in status reports and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Founding => "founding",
            Self::Learner => "learner",
            Self::Member => "member",
        }
    }
}

/// One replica of the store.
#[derive(Clone, Debug)]
pub struct Store {
    pub(crate) address: Ipv4Addr,
    /// The seed machines, which every replica knows from its settings.
    pub(crate) seeds: Vec<Ipv4Addr>,
    /// Set if the system is starting for the first time.
    pub(crate) bootstrap: bool,
    pub(crate) rng: fastrand::Rng,
    pub(crate) state: DurableState,
    /// The membership in `state`, decoded.
    pub(crate) membership: Option<Membership>,
    pub(crate) proposer: Proposer,
    pub(crate) learner: Learner,
    pub(crate) change: MembershipChange,
    pub(crate) peers: PeerTracker,
    pub(crate) freshness: Freshness,
    pub(crate) effects: Vec<Effect>,
}

impl Store {
    /// Creates a replica from the state on its disk. `seed` must differ between runs of the process: it determines the
    /// first request number, so that replies to requests of an earlier run are not matched to requests of this one.
    pub fn new(
        address: Ipv4Addr,
        seeds: Vec<Ipv4Addr>,
        bootstrap: bool,
        mut state: DurableState,
        seed: u64,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        if state.watermarks.is_empty() && state.chosen > Ballot::NONE {
            let change = state.items.last_change();
            state.watermarks.push(Watermark { ballot: state.chosen, change });
        }
        Self {
            address,
            seeds,
            bootstrap,
            membership: state.membership(),
            proposer: Proposer::new(state.highest_seen_ballot().counter),
            learner: Learner::default(),
            change: MembershipChange::default(),
            peers: PeerTracker::new(rng.u64(..) >> 8),
            freshness: Freshness::new(),
            rng,
            state,
            effects: Vec::new(),
        }
    }

    /// Returns the durable state.
    pub fn state(&self) -> &DurableState {
        &self.state
    }

    /// Returns the membership status.
    pub fn status(&self) -> MembershipStatus {
        match &self.membership {
            Some(membership) if membership.contains(self.own_member()) => MembershipStatus::Member,
            None if self.bootstrap => MembershipStatus::Founding,
            _ => MembershipStatus::Learner,
        }
    }

    /// Returns the addresses of the members.
    pub fn members(&self) -> Vec<Ipv4Addr> {
        self.membership.iter().flat_map(|membership| membership.members.keys().copied()).collect()
    }

    /// Removes and returns the effects of the last steps.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub(crate) fn own_member(&self) -> Member {
        Member::new(self.address, self.state.incarnation)
    }

    pub(crate) fn is_member(&self) -> bool {
        self.status() == MembershipStatus::Member
    }

    /// Submits a command. Its result is reported by an [`Effect::Complete`] with the same id.
    pub fn submit(&mut self, now: Timestamp, id: CommandId, command: Command) {
        self.submit_until(now, id, command, Timestamp::DISTANT_FUTURE);
    }

    /// Submits a command that must not be evaluated after `deadline`. The time that the process may have stood still since the
    /// command arrived counts towards the lifetime of an order on a zone.
    pub fn submit_until(&mut self, now: Timestamp, id: CommandId, command: Command, deadline: Timestamp) {
        if !self.is_member() {
            let error = RpcError::new(ErrorKind::NotReady, "this replica is not a member of the store");
            return self.complete(id, Err(error));
        }
        if !command.is_idempotent() && self.peers.may_hold_stale_input(now) {
            // Such a command carries no version that would show whether it is outdated. `NotReady` would cause it to be
            // forwarded to another replica.
            let error = RpcError::new(ErrorKind::NoQuorum, "the process has just resumed after a pause");
            return self.complete(id, Err(error));
        }
        let expires_at = deadline.min(self.lifetime_end(now, &command));
        if now > expires_at {
            return self.reject_expired(id);
        }
        if !self.proposer.enqueue(now, id, command, expires_at) {
            return self
                .complete(id, Err(RpcError::new(ErrorKind::Timeout, "too many commands are pending")));
        }
        self.start_round(now);
        if !self.proposer.has_prepared_at(now) && self.peers.may_probe(now) {
            self.ping_members(now);
        }
    }

    fn lifetime_end(&self, now: Timestamp, command: &Command) -> Timestamp {
        match command {
            Command::DrainZone { .. } => self.peers.earliest_arrival(now) + ORDER_LIFETIME,
            _ => now + COMMAND_TIMEOUT,
        }
    }

    /// Withdraws a command whose caller does not wait for it any more, unless it is idempotent or is being executed.
    pub fn withdraw(&mut self, id: CommandId) {
        if self.proposer.withdraw(id) {
            tracing::debug!(command = id, "command withdrawn, its caller has left");
        }
    }

    pub(crate) fn complete(&mut self, command: CommandId, result: Result<CommandOutcome, RpcError>) {
        self.effects.push(Effect::Complete { command, result });
    }

    /// Handles a peer's request and returns the reply. The reply must be sent only after this step's effects are
    /// executed.
    pub fn handle_request(&mut self, now: Timestamp, from: Ipv4Addr, request: PeerRequest) -> PeerReply {
        self.record_requester(from);
        if matches!(request, PeerRequest::Ping { chosen } if chosen > self.state.chosen) {
            // Catches up from the sender, since all peers known to this replica may have been replaced.
            self.start_catch_up(now, from);
        }
        let response = self.respond(now, from, request);
        let membership = self.membership.as_ref().filter(|_| self.is_member());
        PeerReply {
            incarnation: self.state.incarnation,
            membership_version: membership.map(|membership| membership.version),
            latest: Some(self.state.latest_ballot()),
            response,
        }
    }

    fn respond(&mut self, now: Timestamp, from: Ipv4Addr, request: PeerRequest) -> PeerResponse {
        match request {
            // A request addressed to this incarnation shows that some membership includes it, even if this replica does
            // not know that membership yet, so only other incarnations are rejected.
            PeerRequest::Prepare { incarnation, .. } | PeerRequest::Accept { incarnation, .. }
                if incarnation != self.state.incarnation =>
            {
                PeerResponse::NotAMember
            }
            PeerRequest::Prepare { ballot, chosen, .. } => self.handle_prepare(ballot, chosen),
            PeerRequest::Accept { ballot, base, missing, items, .. } => {
                self.handle_accept(now, ballot, base, missing, items)
            }
            PeerRequest::Learn { ballot, base, items } => self.handle_learn(now, from, ballot, base, items),
            PeerRequest::Announce { incarnation } => self.handle_announce(now, from, incarnation),
            // Members of the membership that replaced this replica may have no other source for it.
            PeerRequest::CatchUp { chosen, after } if self.change.was_replaced() => {
                self.handle_catch_up(chosen, after)
            }
            _ if !self.is_member() => PeerResponse::NotAMember,
            PeerRequest::Join(candidate) => self.handle_join(now, from, candidate),
            PeerRequest::Ping { .. } => PeerResponse::Pong { chosen: self.state.chosen },
            PeerRequest::CatchUp { chosen, after } => self.handle_catch_up(chosen, after),
        }
    }

    /// Sends a request to a replica, which may be this one.
    pub(crate) fn send(&mut self, now: Timestamp, to: Ipv4Addr, ballot: Ballot, request: PeerRequest) {
        if to == self.address {
            let reply = self.handle_request(now, to, request);
            return self.handle_reply(now, to, ballot, 0, reply);
        }
        let number = self.peers.register_request(now, to, ballot);
        self.effects.push(Effect::Send { to, number, request });
    }

    /// Handles the reply to a request, or `None` if it is certain that no reply will arrive.
    pub fn handle_response(&mut self, now: Timestamp, number: u64, reply: Option<PeerReply>) {
        let Some(request) = self.peers.take_request(number) else { return };
        let Some(reply) = reply else {
            self.learner.abort_transfer_from(request.to);
            self.peers.forget_latency(request.to);
            return;
        };
        self.peers.record_latency(now, request);
        let member = Member::new(request.to, reply.incarnation);
        self.change.record_reply(member, reply.membership_version);
        // A peer that is no longer a member, or that knows a newer membership, does not prove contact with a member of
        // this one.
        let is_contact = self.membership.as_ref().is_some_and(|membership| {
            membership.contains(member)
                && reply.membership_version.is_some_and(|version| version <= membership.version)
        });
        if is_contact && !matches!(reply.response, PeerResponse::NotAMember) {
            self.peers.record_contact(member, request.sent_at);
            self.freshness.record_reply(member, request.sent_at, reply.latest, self.state.chosen);
        }
        self.handle_reply(now, request.to, request.ballot, number, reply);
    }

    /// Handles a reply; `ballot` and `number` are those of the request.
    fn handle_reply(
        &mut self,
        now: Timestamp,
        from: Ipv4Addr,
        ballot: Ballot,
        number: u64,
        reply: PeerReply,
    ) {
        let member = Member::new(from, reply.incarnation);
        match reply.response {
            PeerResponse::Promised { accepted, chosen, items } => {
                self.handle_promised(now, member, ballot, accepted, chosen, items);
            }
            PeerResponse::Nack { promised } => self.handle_nack(now, ballot, promised),
            PeerResponse::Accepted => self.handle_accepted(now, member, ballot),
            PeerResponse::SnapshotChunk { chosen, items, more } => {
                self.handle_snapshot_chunk(now, number, chosen, items, more);
            }
            PeerResponse::Pong { chosen } => self.handle_pong(now, from, chosen),
            PeerResponse::Learned | PeerResponse::NotAMember => {}
        }
    }

    /// Advances timers. Must be called about every 50 ms.
    pub fn tick(&mut self, now: Timestamp) {
        self.peers.record_tick(now);
        self.tick_round(now);
        self.reject_expired_commands(now);
        self.schedule_recovery(now);
        self.save_learned_if_due(now);
        self.replace_member_if_due(now);
        self.start_round(now);
        self.peers.drop_oldest_requests();
        self.tick_by_status(now);
    }

    fn tick_by_status(&mut self, now: Timestamp) {
        match self.status() {
            MembershipStatus::Member => {
                if self.peers.is_ping_due(now, &mut self.rng) {
                    self.learner.record_ping(self.state.chosen);
                    self.ping_members(now);
                }
            }
            MembershipStatus::Founding => {
                if self.change.is_retry_due(now) {
                    self.found_or_announce(now);
                }
            }
            MembershipStatus::Learner if !self.change.is_leaving() => {
                if self.change.is_retry_due(now) {
                    self.request_membership(now);
                }
            }
            MembershipStatus::Learner => {
                if !self.can_stop() && self.change.is_retry_due(now) {
                    self.ping_members(now);
                }
            }
        }
    }

    /// Returns whether the items include a membership change.
    pub(crate) fn contains_membership_change<'a>(
        items: impl IntoIterator<Item = &'a std::sync::Arc<ivygate_control_state::Item>>,
    ) -> bool {
        items.into_iter().any(|item| item.key.table == Table::Membership)
    }
}
