//! What a replica keeps on disk.

use crate::membership::Membership;
use crate::messages::{AcceptedProposal, Ballot};
use ivygate_control_state::{Item, Items, Tables};
use std::sync::Arc;

/// Most watermarks that are remembered: some days of rounds, in 0.4 MB.
const MAX_WATERMARKS: usize = 8_192;

/// A round, and the change of [`DurableState::items`] at which all that was chosen up to it was held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watermark {
    /// The round.
    pub ballot: Ballot,
    /// The change.
    pub change: u64,
}

/// What a replica keeps on disk: the acceptor's state and the register.
///
/// Invariants: `accepted`, if any, is above `chosen`; `items` holds exactly what was chosen up to `chosen`.
#[derive(Clone, Debug)]
pub struct DurableState {
    /// Drawn when the disk was empty, see [`Member`](crate::Member).
    pub incarnation: u64,
    /// The highest round promised.
    pub promised: Ballot,
    /// What was accepted and is not known to be chosen or superseded.
    pub accepted: Option<AcceptedProposal>,
    /// The highest round known to be chosen.
    pub chosen: Ballot,
    /// All that was chosen up to that round.
    pub items: Items,
    /// In order of rounds; lets a peer that lags be sent only what it lacks.
    pub watermarks: Vec<Watermark>,
}

impl DurableState {
    /// The state of an empty disk.
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

    /// The highest ballot promised or known to be chosen: the acceptor takes part in no round up to it.
    pub fn highest_seen_ballot(&self) -> Ballot {
        self.promised.max(self.chosen)
    }

    /// The membership that was chosen last, if any.
    pub fn membership(&self) -> Option<Membership> {
        Membership::from_items(&self.items)
    }

    /// Applies a chosen round. With what is held, `items` must be all that was chosen up to it.
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
        // What was accepted in a lower round is contained in what is chosen, or superseded by it.
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

    /// Drops every second one of the older half: a peer that lags as far is sent a little more than it lacks.
    fn thin_older_watermarks(&mut self) {
        let half = self.watermarks.len() / 2;
        let mut position = 0;
        self.watermarks.retain(|_| {
            position += 1;
            position > half || position % 2 == 1
        });
    }

    /// All that was chosen after a round, and perhaps some that was chosen before.
    pub fn items_since(&self, chosen: Ballot) -> Vec<Arc<Item>> {
        if chosen >= self.chosen {
            return Vec::new();
        }
        let watermark = self.watermarks.iter().rev().find(|watermark| watermark.ballot <= chosen);
        self.items.changes_since(watermark.map_or(0, |watermark| watermark.change), Tables::DURABLE)
    }
}
