//! The durable state of a replica.

use crate::membership::Membership;
use crate::messages::{AcceptedProposal, Ballot};
use ivygate_control_state::{Item, Items, Tables};
use std::sync::Arc;

/// Maximum number of watermarks kept: several days of rounds in 0.4 MB.
const MAX_WATERMARKS: usize = 8_192;

/// A round and the number of the change in [`DurableState::items`] that completed everything chosen up to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watermark {
    /// The round.
    pub ballot: Ballot,
    /// The number of the change.
    pub change: u64,
}

/// The durable state of a replica: the acceptor's state and the register.
///
/// Invariants: `accepted`, if any, is above `chosen`; `items` holds exactly what was chosen up to `chosen`.
#[derive(Clone, Debug)]
pub struct DurableState {
    /// The incarnation drawn when the disk was empty, see [`Member`](crate::Member).
    pub incarnation: u64,
    /// The highest round promised.
    pub promised: Ballot,
    /// The accepted proposal, while it is not known to be chosen or superseded.
    pub accepted: Option<AcceptedProposal>,
    /// The highest round known to be chosen.
    pub chosen: Ballot,
    /// Everything chosen up to that round.
    pub items: Items,
    /// Watermarks in order of rounds, used to send a lagging peer only the items it is missing.
    pub watermarks: Vec<Watermark>,
}

impl DurableState {
    /// Creates the state of an empty disk.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            promised: Ballot::NONE,
            accepted: None,
            chosen: Ballot::NONE,
            items: Items::default(),
            watermarks: Vec::new(),
        }
    }

    /// Returns the highest ballot promised or known to be chosen; the acceptor takes part in no round up to it.
    pub fn highest_seen_ballot(&self) -> Ballot {
        self.promised.max(self.chosen)
    }

    /// Returns the highest round accepted or known to be chosen.
    pub fn latest_ballot(&self) -> Ballot {
        self.accepted.as_ref().map_or(self.chosen, |accepted| accepted.ballot.max(self.chosen))
    }

    /// Returns the last chosen membership, if any.
    pub fn membership(&self) -> Option<Membership> {
        Membership::from_items(&self.items)
    }

    /// Applies a chosen round. Together with the current items, `items` must be everything chosen up to that round.
    pub fn apply_chosen(&mut self, chosen: Ballot, items: impl IntoIterator<Item = Arc<Item>>) {
        for item in items {
            if Tables::DURABLE.contains(item.key.table.set()) {
                self.items.merge_shared(item);
            }
        }
        if chosen > self.chosen {
            self.chosen = chosen;
            self.add_watermark();
        }
        // A proposal accepted in a lower round is contained in the chosen state or superseded by it.
        if self.accepted.as_ref().is_some_and(|accepted| accepted.ballot <= self.chosen) {
            self.accepted = None;
        }
    }

    fn add_watermark(&mut self) {
        if self.watermarks.len() >= MAX_WATERMARKS {
            self.thin_older_watermarks();
        }
        self.watermarks.push(Watermark { ballot: self.chosen, change: self.items.last_change() });
    }

    /// Drops every second watermark of the older half. A peer that lags that far receives slightly more than it is
    /// missing.
    fn thin_older_watermarks(&mut self) {
        let half = self.watermarks.len() / 2;
        let mut position = 0;
        self.watermarks.retain(|_| {
            position += 1;
            position > half || position % 2 == 1
        });
    }

    /// Returns all items chosen after a round, possibly with some chosen earlier.
    pub fn items_since(&self, chosen: Ballot) -> Vec<Arc<Item>> {
        if chosen >= self.chosen {
            return Vec::new();
        }
        let watermark = self.watermarks.iter().rev().find(|watermark| watermark.ballot <= chosen);
        self.items.changes_since(watermark.map_or(0, |watermark| watermark.change), Tables::DURABLE)
    }
}
