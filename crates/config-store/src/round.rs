//! A round of the proposer, as an explicit state: idle, preparing (phase 1) or accepting (phase 2).

use crate::member::Member;
use crate::membership::Membership;
use crate::messages::{AcceptedProposal, Ballot};
use crate::pending_command::EvaluatedCommand;
use ivygate_control_state::{Item, Items};
use ivygate_time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// A phase of a round that takes longer has failed: several ways there and back.
const ROUND_TIMEOUT: Duration = Duration::from_millis(900);
/// A phase takes so much longer for each item that it carries: far links have small windows.
const TRANSFER_TIME_PER_ITEM: Duration = Duration::from_micros(500);
/// A round that makes a machine a member waits this long for its acceptance before it does without.
const JOINING_MEMBER_GRACE: Duration = Duration::from_millis(400);

/// A promise of an acceptor, without its items.
#[derive(Clone, Debug)]
pub(crate) struct Promise {
    pub accepted: Option<AcceptedProposal>,
    /// The highest round that the acceptor knows to be chosen.
    pub chosen: Ballot,
}

/// Phase 1 of a round.
#[derive(Clone, Debug)]
pub(crate) struct Preparation {
    pub ballot: Ballot,
    pub since: Timestamp,
    /// The membership, a quorum of which has to promise.
    pub membership: Membership,
    /// A membership that an earlier round may have put in its place, or that this round will: its quorum has to promise too.
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

    /// The highest proposal accepted above what is chosen. It may have been chosen, so this round builds on it; what lower
    /// rounds had accepted is contained in it, or was never chosen.
    pub fn highest_accepted(&self, chosen: Ballot) -> Option<&AcceptedProposal> {
        let accepted = self.promises.values().filter_map(|promise| promise.accepted.as_ref());
        accepted.filter(|accepted| accepted.ballot > chosen).max_by_key(|accepted| accepted.ballot)
    }
}

/// Phase 2 of a round: items are being accepted.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub ballot: Ballot,
    pub since: Timestamp,
    pub items: Vec<Arc<Item>>,
    /// The membership before the round, and after it.
    pub membership: Membership,
    pub next: Membership,
    pub accepted_by: BTreeSet<Member>,
    /// Completed once the items are chosen.
    pub commands: Vec<EvaluatedCommand>,
}

impl Proposal {
    pub fn is_chosen(&self) -> bool {
        self.membership.is_quorum(&self.accepted_by) && self.next.is_quorum(&self.accepted_by)
    }

    pub fn waits_for_joining_member(&self, now: Timestamp) -> bool {
        let lacks = |member: Member| !self.membership.contains(member) && !self.accepted_by.contains(&member);
        self.next.iter().any(lacks) && now < self.since + JOINING_MEMBER_GRACE
    }

    pub fn deadline(&self) -> Timestamp {
        self.since + ROUND_TIMEOUT + TRANSFER_TIME_PER_ITEM * self.items.len() as u32
    }
}

/// The replica's own round.
#[derive(Clone, Debug)]
pub(crate) enum Round {
    /// None is under way.
    Idle,
    /// Phase 1.
    Preparing(Preparation),
    /// Phase 2.
    Accepting(Box<Proposal>),
}

/// The register as a round leaves it, and the items that make it so.
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
    /// The ballot of the round under way.
    pub fn ballot(&self) -> Option<Ballot> {
        match self {
            Self::Idle => None,
            Self::Preparing(preparation) => Some(preparation.ballot),
            Self::Accepting(proposal) => Some(proposal.ballot),
        }
    }

    /// When the phase under way has failed.
    pub fn deadline(&self) -> Option<Timestamp> {
        match self {
            Self::Idle => None,
            Self::Preparing(preparation) => Some(preparation.since + ROUND_TIMEOUT),
            Self::Accepting(proposal) => Some(proposal.deadline()),
        }
    }
}
