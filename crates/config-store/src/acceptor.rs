//! The acceptor: promises and accepts rounds ("Paxos Made Simple", section 2.2).
//!
//! Invariant: promises and acceptances are saved before the reply is sent, since the proposer relies on them
//! permanently.

use crate::effect::Effect;
use crate::messages::{AcceptedProposal, Ballot, PeerResponse};
use crate::store::Store;
use ivygate_control_state::Item;
use ivygate_time::{millis, Timestamp};
use std::sync::Arc;
use std::time::Duration;

/// Bounds of the randomized delay after which a replica proposes again what it accepted but has not learned to be
/// chosen. The delay is randomized because all replicas that accepted the proposal start to wait at the same time.
const MIN_RECOVERY_DELAY: Duration = Duration::from_millis(350);
const MAX_RECOVERY_DELAY: Duration = Duration::from_millis(1_800);
/// Maximum items in a promise; a proposer that lags by more catches up first.
const MAX_PROMISE_ITEMS: usize = 256;

impl Store {
    /// Handles phase 1b: promises to take part in no round below `ballot`.
    pub(crate) fn handle_prepare(&mut self, ballot: Ballot, chosen: Ballot) -> PeerResponse {
        let highest_seen = self.state.highest_seen_ballot();
        if ballot <= highest_seen {
            return PeerResponse::Nack { promised: highest_seen };
        }
        self.promise(ballot);
        self.effects.push(Effect::Save);
        let items = self.state.items_since(chosen);
        PeerResponse::Promised {
            accepted: self.state.accepted.clone(),
            chosen: self.state.chosen,
            items: (items.len() <= MAX_PROMISE_ITEMS).then_some(items),
        }
    }

    /// Handles phase 2b: accepts the round's items, unless a higher round was promised or chosen.
    pub(crate) fn handle_accept(
        &mut self,
        now: Timestamp,
        ballot: Ballot,
        base: Ballot,
        missing: Vec<Arc<Item>>,
        items: Vec<Arc<Item>>,
    ) -> PeerResponse {
        if ballot < self.state.promised || ballot <= self.state.chosen {
            return PeerResponse::Nack { promised: self.state.highest_seen_ballot() };
        }
        self.promise(ballot);
        self.apply_chosen(base, missing);
        if self.state.accepted.is_none() {
            self.freshness.accepted_since = now;
        }
        self.state.accepted = Some(AcceptedProposal { ballot, items });
        self.proposer.recovery_deadline = Some(self.draw_recovery_deadline(now));
        self.effects.push(Effect::Save);
        PeerResponse::Accepted
    }

    pub(crate) fn promise(&mut self, ballot: Ballot) {
        self.state.promised = self.state.promised.max(ballot);
        self.proposer.record_ballot(ballot);
    }

    /// Schedules a recovery round for an accepted proposal that is not known to be chosen.
    pub(crate) fn schedule_recovery(&mut self, now: Timestamp) {
        if self.state.accepted.is_some() && self.proposer.recovery_deadline.is_none() {
            self.proposer.recovery_deadline = Some(self.draw_recovery_deadline(now));
        }
    }

    fn draw_recovery_deadline(&mut self, now: Timestamp) -> Timestamp {
        let spread_ms = millis(MAX_RECOVERY_DELAY) - millis(MIN_RECOVERY_DELAY);
        (now + MIN_RECOVERY_DELAY).plus_millis(self.rng.f64() * spread_ms)
    }
}
