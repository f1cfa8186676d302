//! What stores say to each other, and what each keeps.

use crate::group::Group;
use ivygate_control_state::{Amended, Item, Items, Key, Tables};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// The number of a round, the same at no two stores, nor in two incarnations of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Counts up.
    pub counter: u64,
    /// The store whose round it is.
    pub by: Ipv4Addr,
    /// And its incarnation: one whose disk was lost knows nothing of the ballots that it used before.
    #[serde(default)]
    pub incarnation: u64,
}

impl Ballot {
    /// Below every other.
    pub const NONE: Self = Self { counter: 0, by: Ipv4Addr::UNSPECIFIED, incarnation: 0 };
}

/// What a store has accepted in a round, on top of what was chosen before it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// The round.
    pub ballot: Ballot,
    /// Its items.
    pub items: Vec<Arc<Item>>,
}

/// What a store asks another.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    /// To take part in a round and in none below it.
    Prepare {
        /// The round.
        ballot: Ballot,
        /// The incarnation that is asked: another one is another acceptor.
        incarnation: u64,
        /// The highest round known to be chosen by the asker.
        chosen: Ballot,
    },
    /// To accept a round's items, safe against a loss of power.
    Accept {
        /// The round.
        ballot: Ballot,
        /// The incarnation that is asked.
        incarnation: u64,
        /// The highest round known to be chosen, on which this one builds.
        base: Ballot,
        /// All items of that which the other lacks.
        missing: Vec<Arc<Item>>,
        /// The round's items.
        items: Vec<Arc<Item>>,
    },
    /// To learn that a round is chosen.
    Learn {
        /// The round.
        ballot: Ballot,
        /// The one on which it builds.
        base: Ballot,
        /// Its items.
        items: Vec<Arc<Item>>,
    },
    /// For the highest round that it knows to be chosen, which also tells that it is there.
    Ping {
        /// The highest that the asker knows.
        chosen: Ballot,
    },
    /// For all that was chosen after a round, in parts.
    CatchUp {
        /// The round.
        chosen: Ballot,
        /// The last item of the part before.
        after: Option<Key>,
    },
    /// For the group, at the first start of the whole system.
    Hello {
        /// The asker's incarnation.
        incarnation: u64,
    },
    /// For a place in the group, of one that has none.
    Join(Candidate),
}

/// A machine that waits for a place in the group.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Its incarnation.
    pub incarnation: u64,
    /// The version of the group that it knows.
    pub group: u64,
    /// The highest round that it knows to be chosen; it holds all that was chosen up to it.
    pub chosen: Ballot,
}

/// What a store answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reply {
    /// The incarnation that answers.
    pub incarnation: u64,
    /// The version of the group in which it has a place as far as it knows, if it has one.
    pub group: Option<u64>,
    /// The answer.
    pub answer: Answer,
}

/// What there is to answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// It takes part in the round that was prepared.
    Promised {
        /// What it has accepted and does not know to be chosen or excluded.
        accepted: Option<Accepted>,
        /// The highest round that it knows to be chosen.
        chosen: Ballot,
        /// All that was chosen after the asker's highest; nothing where that is more than a promise should carry.
        items: Option<Vec<Arc<Item>>>,
    },
    /// It has promised a higher round, or knows one to be chosen.
    Nack {
        /// That round.
        promised: Ballot,
    },
    /// It has accepted.
    Accepted,
    /// It has learnt, or will ask for what it lacks.
    Learned,
    /// The highest round that it knows to be chosen.
    Pong {
        /// The round.
        chosen: Ballot,
    },
    /// Of all that was chosen up to a round, but for what the asker has, the next part.
    Snapshot {
        /// The round.
        chosen: Ballot,
        /// The items, in order of their keys.
        items: Vec<Arc<Item>>,
        /// Whether there are others after these.
        more: bool,
    },
    /// It has no say in this: it is no member of a group, or another incarnation was asked.
    Blank,
}

/// A call to be carried out by the group.
#[derive(Clone, Debug)]
pub enum Change {
    /// The operator's items.
    Amend(Amended),
    /// A zone is emptied, or taken back.
    Drain {
        /// The zone.
        zone: String,
        /// Emptied.
        on: bool,
    },
    /// A registry takes a duty, under the next epoch.
    Duty {
        /// The duty.
        name: String,
        /// The registry.
        holder: Ipv4Addr,
    },
    /// One machine takes the place of another, or one that is free.
    Regroup {
        /// The member whose place is given away, and its incarnation.
        goes: Option<(Ipv4Addr, u64)>,
        /// The one that takes it, and its incarnation.
        comes: (Ipv4Addr, u64),
    },
    /// Nothing: what stands is to be read.
    Read,
}

/// What came of a call.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// It is in force, or changes nothing.
    Applied,
    /// A duty was taken under this epoch, which no other call was ever given.
    Epoch(u64),
    /// What stood at some moment while the call was under way.
    Read(Items),
}

/// What a store keeps on disk.
#[derive(Clone, Debug)]
pub struct Kept {
    /// Drawn when the disk was new: an acceptor is one incarnation of one machine.
    pub incarnation: u64,
    /// The highest round that it has promised.
    pub promised: Ballot,
    /// What it has accepted and does not know to be chosen or excluded.
    pub accepted: Option<Accepted>,
    /// The highest round that it knows to be chosen.
    pub chosen: Ballot,
    /// All that was chosen up to that round.
    pub items: Items,
    /// The change of `items` at which each of some rounds was complete, in order.
    pub marks: Vec<(Ballot, u64)>,
}

/// Most rounds whose change is remembered: those of some days, in 0.4 MB.
const MARKS_MOST: usize = 8_192;

impl Kept {
    /// What is kept on a new disk.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            promised: Ballot::NONE,
            accepted: None,
            chosen: Ballot::NONE,
            items: Items::default(),
            marks: Vec::new(),
        }
    }

    /// Below this, it takes part in nothing.
    pub fn floor(&self) -> Ballot {
        self.promised.max(self.chosen)
    }

    /// The group that was chosen last, if any.
    pub fn group(&self) -> Option<Group> {
        Group::read(&self.items)
    }

    /// Takes in a round that is chosen: with what is held, these items are all that was chosen up to it.
    pub fn adopt(&mut self, chosen: Ballot, items: impl IntoIterator<Item = Arc<Item>>) {
        for item in items {
            if Tables::KEPT.contains(item.key.table.set()) {
                self.items.merge_shared(item);
            }
        }
        if chosen > self.chosen {
            self.chosen = chosen;
            self.mark();
        }
        // What was accepted below is contained in what is chosen, or excluded by it.
        if self.accepted.as_ref().is_some_and(|accepted| accepted.ballot <= self.chosen) {
            self.accepted = None;
        }
    }

    fn mark(&mut self) {
        if self.marks.len() >= MARKS_MOST {
            // The older half is thinned: who lags as far as that is told a little more than it lacks.
            let half = self.marks.len() / 2;
            let mut at = 0;
            self.marks.retain(|_| {
                at += 1;
                at > half || at % 2 == 1
            });
        }
        self.marks.push((self.chosen, self.items.changes()));
    }

    /// All that was chosen after a round: items that one who holds all up to that round may lack.
    pub fn since(&self, chosen: Ballot) -> Vec<Arc<Item>> {
        if chosen >= self.chosen {
            return Vec::new();
        }
        let mark = self.marks.iter().rev().find(|(ballot, _)| *ballot <= chosen);
        self.items.since(mark.map_or(0, |(_, change)| *change), Tables::KEPT)
    }
}
