//! What stores say to each other, and what each keeps.

use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;
use std::sync::Arc;
use trailmap::{Amended, Item, Items};

/// The number of a round, the same at no two stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Counts up.
    pub counter: u64,
    /// The store whose round it is.
    pub by: Ipv4Addr,
}

impl Ballot {
    /// Below every other.
    pub const NONE: Self = Self { counter: 0, by: Ipv4Addr::UNSPECIFIED };
}

/// Items that a store has written down in a round, and of which it has not heard that they stand.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pending {
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
    Reserve {
        /// The round.
        ballot: Ballot,
        /// Digest of what stands at the asker.
        digest: u64,
    },
    /// To write down a round's items.
    Write {
        /// The round.
        ballot: Ballot,
        /// The life in which the other reserved it.
        life: u64,
        /// Items that stand and that the other lacks.
        missing: Vec<Arc<Item>>,
        /// The round's items.
        items: Vec<Arc<Item>>,
    },
    /// To take in that a round's items stand.
    Settle {
        /// The round.
        ballot: Ballot,
        /// Its items.
        items: Vec<Arc<Item>>,
    },
    /// For what stands, if it differs.
    Compare {
        /// Digest of what stands at the asker.
        digest: u64,
    },
    /// For all that it keeps.
    Copy,
    /// For the group, at the first start of the whole system.
    Hello,
    /// For a place in the group, of one that has none.
    Join,
}

/// What a store answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// It takes part.
    Reserved {
        /// The life of its disk.
        life: u64,
        /// What it has written down and not heard to stand.
        pending: Option<Pending>,
        /// What stands with it, if that differs.
        items: Option<Vec<Arc<Item>>>,
    },
    /// It has promised a higher round.
    Outbid {
        /// That round.
        promised: Ballot,
    },
    /// It has written the items down, safe against a loss of power.
    Written,
    /// Taken in.
    Settled,
    /// What stands with it, where that differs.
    Stands {
        /// The items.
        items: Vec<Arc<Item>>,
    },
    /// All that it keeps.
    Copied(Box<Copied>),
    /// The group, which names the asker.
    Found {
        /// The item.
        group: Arc<Item>,
    },
    /// It can't say yet: its disk is new, or there is no group.
    Blank,
}

/// All that a store keeps, for one that has lost it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Copied {
    /// The highest round that it has promised.
    pub promised: Ballot,
    /// What it has written down and not heard to stand.
    pub pending: Option<Pending>,
    /// What stands.
    pub items: Vec<Arc<Item>>,
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
    /// One machine leaves the group, or one comes.
    Regroup {
        /// One that is gone, while another waits for its place.
        gone: Option<Ipv4Addr>,
        /// One that takes a free place.
        comes: Option<Ipv4Addr>,
    },
    /// Nothing: what stands is to be read.
    Read,
}

/// What a store keeps on disk.
#[derive(Clone, Debug)]
pub struct Kept {
    /// Drawn when the disk was new.
    pub life: u64,
    /// Whether it holds all that it ever promised; not so with a disk that was lost.
    pub whole: bool,
    /// The highest round that it has promised.
    pub promised: Ballot,
    /// What it has written down and not heard to stand.
    pub pending: Option<Pending>,
    /// What stands.
    pub items: Items,
}

impl Kept {
    /// What is kept on a new disk.
    pub fn new(life: u64) -> Self {
        Self { life, whole: false, promised: Ballot::NONE, pending: None, items: Items::default() }
    }
}
