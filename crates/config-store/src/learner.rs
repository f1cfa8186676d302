//! The learner: applies chosen rounds, and fetches missing items from a peer.

use crate::effect::Effect;
use crate::learner_state::CatchUp;
use crate::membership::MAX_MEMBERS;
use crate::messages::{Ballot, PeerRequest, PeerResponse};
use crate::snapshot_transfer::{ChunkRequest, SnapshotTransfer, TransferStep, MAX_CHUNK_ITEMS};
use crate::store::{MembershipStatus, Store};
use ivygate_control_state::{Item, Key};
use ivygate_time::Timestamp;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum time until learned items are saved even if no reply depends on them, so that a restarted replica does not
/// lag far behind.
const LAZY_SAVE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time to wait for a further chunk before another peer is asked.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time to wait for the first chunk from a peer that has answered before.
const FIRST_CHUNK_TIMEOUT: Duration = Duration::from_millis(800);
/// Time to wait for the first chunk from a peer that has never answered.
const UNKNOWN_PEER_CHUNK_TIMEOUT: Duration = Duration::from_millis(400);

impl Store {
    /// Records the senders of requests while this replica is not a member.
    pub(crate) fn record_requester(&mut self, peer: Ipv4Addr) {
        if self.status() == MembershipStatus::Learner && self.learner.requesters.len() < MAX_MEMBERS {
            self.learner.requesters.insert(peer);
        }
    }

    /// Applies a chosen round. If the rounds it builds on are missing, fetches them instead: with this round's items
    /// alone, the register would be in a state that never existed.
    pub(crate) fn handle_learn(
        &mut self,
        now: Timestamp,
        from: Ipv4Addr,
        ballot: Ballot,
        base: Ballot,
        items: Vec<Arc<Item>>,
    ) -> PeerResponse {
        let was_accepted = self.state.accepted.as_ref().is_some_and(|accepted| accepted.ballot == ballot);
        if was_accepted || self.state.chosen >= base {
            self.apply_chosen(ballot, items);
        } else {
            self.start_catch_up(now, from);
        }
        PeerResponse::Learned
    }

    /// Returns the next chunk of the items chosen after a round.
    pub(crate) fn handle_catch_up(&self, chosen: Ballot, after: Option<Key>) -> PeerResponse {
        let mut items = self.state.items_since(chosen);
        items.retain(|item| after.as_ref().is_none_or(|after| item.key > *after));
        items.sort_unstable_by(|a, b| a.key.cmp(&b.key));
        let more = items.len() > MAX_CHUNK_ITEMS;
        items.truncate(MAX_CHUNK_ITEMS);
        PeerResponse::SnapshotChunk { chosen: self.state.chosen, items, more }
    }

    pub(crate) fn handle_pong(&mut self, now: Timestamp, from: Ipv4Addr, chosen: Ballot) {
        if chosen > self.state.chosen {
            self.start_catch_up(now, from);
        }
    }

    /// Applies a chosen round, including any membership change in it.
    pub(crate) fn apply_chosen(&mut self, chosen: Ballot, items: Vec<Arc<Item>>) {
        self.proposer.record_ballot(chosen);
        let changes_membership = Self::contains_membership_change(&items);
        self.state.apply_chosen(chosen, items);
        if self.state.accepted.is_none() {
            self.proposer.recovery_deadline = None;
        }
        if changes_membership {
            self.apply_membership();
        }
    }

    fn apply_membership(&mut self) {
        let was_member = self.is_member() || self.change.was_replaced();
        // A quorum of the old membership is needed until a quorum of the new one has the change on disk.
        self.effects.push(Effect::Save);
        self.membership = self.state.membership();
        let membership = self.membership.as_ref();
        let is_member = |member| membership.is_some_and(|membership| membership.contains(member));
        self.peers.retain_contacts(is_member);
        self.freshness.retain(is_member);
        let was_replaced = was_member && self.status() == MembershipStatus::Learner;
        self.change.set_successor(self.membership.clone().filter(|_| was_replaced));
    }

    /// Starts to fetch chosen items from a peer that is ahead, unless a transfer is in progress.
    pub(crate) fn start_catch_up(&mut self, now: Timestamp, from: Ipv4Addr) {
        if self.learner.is_catching_up(now) {
            return;
        }
        self.forget_latency_of_source();
        let transfer = SnapshotTransfer::new(from, self.state.chosen);
        let request = transfer.request().clone();
        let timeout = match self.peers.latency_ms(from) {
            Some(_) => FIRST_CHUNK_TIMEOUT,
            None => UNKNOWN_PEER_CHUNK_TIMEOUT,
        };
        self.learner.catch_up = Some(CatchUp { transfer, deadline: now + timeout });
        self.request_chunk(now, request);
    }

    /// Discards the latency of the source of a timed-out transfer, so that it is among the last peers to be asked
    /// again.
    fn forget_latency_of_source(&mut self) {
        if let Some(catch_up) = &self.learner.catch_up {
            self.peers.forget_latency(catch_up.transfer.request().from);
        }
    }

    fn request_chunk(&mut self, now: Timestamp, request: ChunkRequest) {
        let ChunkRequest { from, chosen, after } = request;
        self.send(now, from, Ballot::NONE, PeerRequest::CatchUp { chosen, after });
        self.learner.chunk_request = self.peers.last_number();
    }

    /// Handles the chunk that answers the request with this number.
    pub(crate) fn handle_snapshot_chunk(
        &mut self,
        now: Timestamp,
        number: u64,
        chosen: Ballot,
        items: Vec<Arc<Item>>,
        more: bool,
    ) {
        if number != self.learner.chunk_request {
            return;
        }
        let Some(catch_up) = self.learner.catch_up.take() else { return };
        match catch_up.transfer.add_chunk(chosen, items, more) {
            (transfer, TransferStep::Request(request)) => {
                let deadline = now + CATCH_UP_TIMEOUT;
                self.learner.catch_up = transfer.map(|transfer| CatchUp { transfer, deadline });
                self.request_chunk(now, request);
            }
            (_, TransferStep::Complete(chosen, items)) => {
                if chosen > self.state.chosen {
                    self.apply_chosen(chosen, items);
                }
            }
            (_, TransferStep::Aborted) => {}
        }
    }

    /// Starts to fetch chosen items from one of the sources, unless a transfer is in progress. Chooses the source with
    /// the lowest latency, or takes the sources in turn while none has answered. Used by replicas that are not members.
    pub(crate) fn catch_up_from_any(&mut self, now: Timestamp, sources: &[Ipv4Addr]) {
        if self.learner.is_catching_up(now) {
            return;
        }
        self.forget_latency_of_source();
        let by_latency = sources.iter().filter_map(|source| Some((self.peers.latency_ms(*source)?, *source)));
        let nearest = by_latency.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, source)| source);
        self.learner.next_source = (self.learner.next_source + 1) % sources.len();
        let source = nearest.unwrap_or(sources[self.learner.next_source]);
        self.start_catch_up(now, source);
    }

    /// Returns the peers from which a replica that is not a member may fetch items.
    pub(crate) fn snapshot_sources(&self) -> Vec<Ipv4Addr> {
        let mut sources = self.members();
        sources.extend(&self.seeds);
        sources.extend(&self.learner.requesters);
        sources.sort_unstable();
        sources.dedup();
        sources.retain(|source| *source != self.address);
        sources
    }

    /// Saves learned items periodically.
    pub(crate) fn save_learned_if_due(&mut self, now: Timestamp) {
        let is_due = now > self.learner.lazily_saved_at + LAZY_SAVE_INTERVAL;
        if self.state.chosen > self.learner.lazily_saved && is_due {
            self.learner.lazily_saved = self.state.chosen;
            self.learner.lazily_saved_at = now;
            self.effects.push(Effect::Save);
        }
    }
}
