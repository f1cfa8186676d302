//! Transfer of chosen items from a peer to a lagging replica, in chunks of bounded size.
//!
//! The peer's state changes during the transfer, so the chunks of one pass belong to different states. A complete pass
//! delivers everything chosen up to the lowest round of its chunks; another pass fetches the items chosen after that. A
//! pass that fits into one chunk belongs to a single state and completes the transfer.
//!
//! Called by the store; does no I/O and reads no clock.

use crate::messages::Ballot;
use ivygate_control_state::{Item, Key};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// Maximum number of items in a chunk: several hundred kilobytes, which take about a second over a long-distance link
/// with small windows.
pub(crate) const MAX_CHUNK_ITEMS: usize = 2_000;

/// The next chunk to request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ChunkRequest {
    /// The peer.
    pub from: Ipv4Addr,
    /// The chunk contains items chosen after this round.
    pub chosen: Ballot,
    /// The chunk begins after this key; `None` for the first chunk.
    pub after: Option<Key>,
}

/// The next step after a chunk.
#[derive(Debug, PartialEq)]
pub(crate) enum TransferStep {
    /// Request another chunk.
    Request(ChunkRequest),
    /// The transfer is complete: everything chosen up to a round, on top of the items present at the start.
    Complete(Ballot, Vec<Arc<Item>>),
    /// The transfer is aborted: the peer restarted from an older state than it had reported, so the chunks can't be
    /// used.
    Aborted,
}

/// A transfer in progress.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotTransfer {
    request: ChunkRequest,
    /// The lowest round among this pass's chunks.
    lowest_of_pass: Option<Ballot>,
    /// The highest round among all chunks.
    highest: Ballot,
    items: Vec<Arc<Item>>,
}

impl SnapshotTransfer {
    /// Starts a transfer from a peer to a replica that has everything chosen up to `chosen`.
    pub fn new(from: Ipv4Addr, chosen: Ballot) -> Self {
        Self {
            request: ChunkRequest { from, chosen, after: None },
            lowest_of_pass: None,
            highest: Ballot::NONE,
            items: Vec::new(),
        }
    }

    /// Returns the request for the chunk that the transfer is waiting for.
    pub fn request(&self) -> &ChunkRequest {
        &self.request
    }

    /// Adds a chunk of the state at `chosen`; `more` is set if another chunk of the pass follows.
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
