//! How one that lags gathers what was chosen from another, in parts of bounded size. Called by the store; it never does
//! I/O or reads a clock.
//!
//! While parts come the other goes on, so the parts of one pass are of several states. All that was chosen up to the
//! lowest of these is then there, and what came after it is asked for in another pass; one that fits into a single part
//! is of one state, and with it the whole is.

use crate::messages::Ballot;
use ivygate_control_state::{Item, Key};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// Most items in a part: some hundred kilobytes, a second or so over a far link with small windows.
pub(crate) const PART: usize = 2_000;

/// What is asked for next.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Wanted {
    /// Whom.
    pub from: Ipv4Addr,
    /// What was chosen after this round.
    pub chosen: Ballot,
    /// From the item after this one on.
    pub after: Option<Key>,
}

/// What a part brought.
#[derive(Debug, PartialEq)]
pub(crate) enum Gathered {
    /// More is to be asked for.
    Wants(Wanted),
    /// All that was chosen up to a round, on top of what was held in the beginning.
    Whole(Ballot, Vec<Arc<Item>>),
    /// Nothing: the other began anew from less than it had told.
    Lost,
}

/// What has been gathered.
#[derive(Clone, Debug)]
pub(crate) struct Gathering {
    wanted: Wanted,
    /// The lowest round of this pass's parts.
    lowest: Option<Ballot>,
    /// The highest round of any part.
    highest: Ballot,
    items: Vec<Arc<Item>>,
}

impl Gathering {
    /// One who holds all that was chosen up to a round begins to ask another.
    pub fn new(from: Ipv4Addr, chosen: Ballot) -> Self {
        Self {
            wanted: Wanted { from, chosen, after: None },
            lowest: None,
            highest: Ballot::NONE,
            items: Vec::new(),
        }
    }

    /// What it waits for.
    pub fn wanted(&self) -> &Wanted {
        &self.wanted
    }

    /// A part has come: it is of this state, and `more` tells whether another follows.
    pub fn came(mut self, chosen: Ballot, items: Vec<Arc<Item>>, more: bool) -> (Option<Self>, Gathered) {
        // Guards against a mixture: what was gathered is of a higher round then.
        if chosen < self.highest {
            return (None, Gathered::Lost);
        }
        self.highest = chosen;
        let last = items.last().map(|item| item.key.clone());
        self.items.extend(items);
        if !more && self.wanted.after.is_none() {
            return (None, Gathered::Whole(chosen, self.items));
        }
        let lowest = self.lowest.map_or(chosen, |lowest| lowest.min(chosen));
        match last.filter(|_| more) {
            Some(last) => {
                self.lowest = Some(lowest);
                self.wanted.after = Some(last);
            }
            None => {
                self.lowest = None;
                self.wanted.chosen = self.wanted.chosen.max(lowest);
                self.wanted.after = None;
            }
        }
        let wanted = self.wanted.clone();
        (Some(self), Gathered::Wants(wanted))
    }
}
