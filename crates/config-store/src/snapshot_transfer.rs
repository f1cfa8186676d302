//! How a replica that lags fetches what was chosen from a peer, in chunks of bounded size.
//!
//! The peer goes on meanwhile, so the chunks of one pass are of several states. After a pass, everything chosen up to the
//! lowest of these is held; what came after it is fetched in another pass. A pass that fits into one chunk is of one state
//! and completes the transfer.
//!
//! Called by the store; it never does I/O or reads a clock.

use crate::messages::Ballot;
use ivygate_control_state::{Item, Key};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// Most items in a chunk: some hundred kilobytes, a second or so over a far link with small windows.
pub(crate) const MAX_CHUNK_ITEMS: usize = 2_000;

/// The chunk that is asked for next.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ChunkRequest {
    /// The peer.
    pub from: Ipv4Addr,
    /// What was chosen after this round.
    pub chosen: Ballot,
    /// From the item after this one on.
    pub after: Option<Key>,
}

/// What a chunk leads to.
#[derive(Debug, PartialEq)]
pub(crate) enum TransferStep {
    /// Another chunk is to be asked for.
    Request(ChunkRequest),
    /// All that was chosen up to a round, on top of what was held at the start.
    Complete(Ballot, Vec<Arc<Item>>),
    /// The peer restarted from an older state than it had told: what was fetched is of no use.
    Aborted,
}

/// A transfer in progress.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotTransfer {
    request: ChunkRequest,
    /// The lowest round of this pass's chunks.
    lowest_of_pass: Option<Ballot>,
    /// The highest round of any chunk.
    highest: Ballot,
    items: Vec<Arc<Item>>,
}

impl SnapshotTransfer {
    /// A transfer from a peer, to a replica that holds all that was chosen up to a round.
    pub fn new(from: Ipv4Addr, chosen: Ballot) -> Self {
        Self {
            request: ChunkRequest { from, chosen, after: None },
            lowest_of_pass: None,
            highest: Ballot::NONE,
            items: Vec::new(),
        }
    }

    /// The chunk that it waits for.
    pub fn request(&self) -> &ChunkRequest {
        &self.request
    }

    /// Takes in a chunk of the state at `chosen`; `more` tells whether another of the pass follows.
    pub fn add_chunk(
        mut self,
        chosen: Ballot,
        items: Vec<Arc<Item>>,
        more: bool,
    ) -> (Option<Self>, TransferStep) {
        if chosen < self.highest {
            return (None, TransferStep::Aborted);
        }
        self.highest = chosen;
        let last_key = items.last().map(|item| item.key.clone());
        self.items.extend(items);
        if !more && self.request.after.is_none() {
            return (None, TransferStep::Complete(chosen, self.items));
        }
        let lowest = self.lowest_of_pass.map_or(chosen, |lowest| lowest.min(chosen));
        match last_key.filter(|_| more) {
            Some(last_key) => {
                self.lowest_of_pass = Some(lowest);
                self.request.after = Some(last_key);
            }
            None => {
                self.lowest_of_pass = None;
                self.request.chosen = self.request.chosen.max(lowest);
                self.request.after = None;
            }
        }
        let request = self.request.clone();
        (Some(self), TransferStep::Request(request))
    }
}
