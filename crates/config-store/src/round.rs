//! The proposer's round as an explicit state: idle, preparing (phase 1) or accepting (phase 2).

use crate::member::Member;
use crate::membership::Membership;
use crate::messages::{AcceptedProposal, Ballot};
use crate::pending_command::EvaluatedCommand;
use ivygate_control_state::{Item, Items};
use ivygate_time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Time after which a phase of a round fails. It allows for several round trips.
const ROUND_TIMEOUT: Duration = Duration::from_millis(900);
/// Extra time allowed for each item in a phase: long-distance links have small windows.
const TRANSFER_TIME_PER_ITEM: Duration = Duration::from_micros(500);
/// Time that a round which adds a member waits for that member's acceptance before it completes without it.
const JOINING_MEMBER_GRACE: Duration = Duration::from_millis(400);

/// An acceptor's promise, without its items.
#[derive(Clone, Debug)]
pub(crate) struct Promise {
    pub accepted: Option<AcceptedProposal>,
    /// The highest round the acceptor knows to be chosen.
    pub chosen: Ballot,
}

/// Phase 1 of a round.
#[derive(Clone, Debug)]
pub(crate) struct Preparation {
    pub ballot: Ballot,
    pub since: Timestamp,
    /// The current membership, a quorum of which must promise.
    pub membership: Membership,
    /// A membership that an earlier round may have installed, or that this round will install. A quorum of it must
    /// promise too.
    pub next: Option<Membership>,
    pub promises: BTreeMap<Member, Promise>,
}

impl Preparation {
    pub fn has_quorum(&self) -> bool {
        let promised = self.promised_by();
        self.membership.is_quorum(&promised)
            && self.next.as_ref().is_none_or(|next| next.is_quorum(&promised))
    }

    pub fn promised_by(&self) -> BTreeSet<Member> {
        self.promises.keys().copied().collect()
    }

    /// Returns the highest accepted proposal above `chosen`. It may have been chosen, so this round builds on it;
    /// proposals accepted in lower rounds are either contained in it or were never chosen.
    pub fn highest_accepted(&self, chosen: Ballot) -> Option<&AcceptedProposal> {
        let accepted = self.promises.values().filter_map(|promise| promise.accepted.as_ref());
        accepted.filter(|accepted| accepted.ballot > chosen).max_by_key(|accepted| accepted.ballot)
    }
}

/// Phase 2 of a round: the acceptors are accepting its items.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub ballot: Ballot,
    pub since: Timestamp,
    pub items: Vec<Arc<Item>>,
    /// The membership before the round; `next` is the membership after it.
    pub membership: Membership,
    pub next: Membership,
    pub accepted_by: BTreeSet<Member>,
    /// Commands to complete once the items are chosen.
    pub commands: Vec<EvaluatedCommand>,
}

impl Proposal {
    pub fn is_chosen(&self) -> bool {
        self.membership.is_quorum(&self.accepted_by) && self.next.is_quorum(&self.accepted_by)
    }

    pub fn waits_for_joining_member(&self, now: Timestamp) -> bool {
        let is_awaited =
            |member: Member| !self.membership.contains(member) && !self.accepted_by.contains(&member);
        self.next.iter().any(is_awaited) && now < self.since + JOINING_MEMBER_GRACE
    }

    pub fn deadline(&self) -> Timestamp {
        self.since + ROUND_TIMEOUT + TRANSFER_TIME_PER_ITEM * self.items.len() as u32
    }
}

/// The round that this replica proposes.
#[derive(Clone, Debug)]
pub(crate) enum Round {
    /// No round is in progress.
    Idle,
    /// Phase 1.
    Preparing(Preparation),
    /// Phase 2.
    Accepting(Box<Proposal>),
}

/// The register as the round would leave it, and the items that the round changes.
#[derive(Debug)]
pub(crate) struct Draft {
    /// The register with the items applied.
    pub register: Items,
    /// The round's items.
    pub items: Vec<Arc<Item>>,
}

impl Draft {
    /// Adds an item to the round.
    pub fn put(&mut self, item: Item) {
        let item = Arc::new(item);
        self.register.merge_shared(item.clone());
        self.items.push(item);
    }
}

impl Round {
    /// Returns the ballot of the round in progress.
    pub fn ballot(&self) -> Option<Ballot> {
        match self {
            Self::Idle => None,
            Self::Preparing(preparation) => Some(preparation.ballot),
            Self::Accepting(proposal) => Some(proposal.ballot),
        }
    }

    /// Returns the time at which the current phase times out.
    pub fn deadline(&self) -> Option<Timestamp> {
        match self {
            Self::Idle => None,
            Self::Preparing(preparation) => Some(preparation.since + ROUND_TIMEOUT),
            Self::Accepting(proposal) => Some(proposal.deadline()),
        }
    }
}
