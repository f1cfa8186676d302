//! The state of the learner: the snapshot transfer in progress and the rounds known to be chosen.

use crate::messages::Ballot;
use crate::snapshot_transfer::SnapshotTransfer;
use ivygate_time::Timestamp;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

/// A snapshot transfer in progress, and the deadline after which another peer is tried.
#[derive(Clone, Debug)]
pub(crate) struct CatchUp {
    pub transfer: SnapshotTransfer,
    pub deadline: Timestamp,
}

/// The learner's state.
#[derive(Clone, Debug)]
pub(crate) struct Learner {
    pub catch_up: Option<CatchUp>,
    /// The number of the last chunk request; replies to earlier chunk requests are ignored.
    pub chunk_request: u64,
    /// Peers that sent requests while this replica was not a member. They may know the membership.
    pub requesters: BTreeSet<Ipv4Addr>,
    /// The index of the snapshot source to ask next while none has answered yet.
    pub next_source: usize,
    /// The round up to which the state was last saved by a periodic save; `lazily_saved_at` is the time of that save.
    pub lazily_saved: Ballot,
    pub lazily_saved_at: Timestamp,
    /// The round known to be chosen at the ping before the last and at the last one. A join candidate must have reached
    /// the former.
    pub chosen_at_pings: [Ballot; 2],
}

impl Default for Learner {
    fn default() -> Self {
        Self {
            catch_up: None,
            chunk_request: 0,
            requesters: BTreeSet::new(),
            next_source: 0,
            lazily_saved: Ballot::NONE,
            lazily_saved_at: Timestamp::DISTANT_PAST,
            chosen_at_pings: [Ballot::NONE; 2],
        }
    }
}

impl Learner {
    /// Aborts a transfer from a peer that can't be reached.
    pub fn abort_transfer_from(&mut self, peer: Ipv4Addr) {
        self.catch_up.take_if(|catch_up| catch_up.transfer.request().from == peer);
    }

    /// Records the round known to be chosen when the members are pinged.
    pub fn record_ping(&mut self, chosen: Ballot) {
        self.chosen_at_pings = [self.chosen_at_pings[1], chosen];
    }

    /// Returns the round known to be chosen at the ping before the last.
    pub fn chosen_before_last_ping(&self) -> Ballot {
        self.chosen_at_pings[0]
    }

    pub fn is_catching_up(&self, now: Timestamp) -> bool {
        self.catch_up.as_ref().is_some_and(|catch_up| now < catch_up.deadline)
    }
}
