//! What replicas of the store say to each other, and the commands that they carry out together.
//!
//! The names on the wire and on disk are those of the first release and are pinned here with `rename`: a fleet is
//! upgraded one machine at a time, and disks outlive every version.

use crate::member::Member;
use ivygate_control_state::{ConfigUpdate, Item, Items, Key};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// The path at which a replica takes its peers' requests.
pub const PEER_PATH: &str = "/round";

/// The number of a round: unique to one proposer and one incarnation of it, and totally ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Counts up; the most significant part of the order.
    pub counter: u64,
    /// The replica that started the round.
    #[serde(rename = "by")]
    pub proposer: Ipv4Addr,
    /// The proposer's incarnation: one whose disk was lost does not know which ballots it used before.
    #[serde(default)]
    pub incarnation: u64,
}

impl Ballot {
    /// Below every ballot of a round.
    pub const NONE: Self = Self { counter: 0, proposer: Ipv4Addr::UNSPECIFIED, incarnation: 0 };
}

/// What an acceptor has accepted in a round, on top of what was chosen before it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedProposal {
    /// The round.
    pub ballot: Ballot,
    /// The round's items.
    pub items: Vec<Arc<Item>>,
}

/// A request on the wire, with its sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The replica that asks.
    pub from: Ipv4Addr,
    /// Its request.
    #[serde(rename = "ask")]
    pub request: PeerRequest,
}

/// A request of one replica to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerRequest {
    /// Phase 1a: take part in this round, and in none below it.
    Prepare {
        /// The round.
        ballot: Ballot,
        /// The incarnation that is asked; another incarnation is another acceptor.
        incarnation: u64,
        /// The highest round that the proposer knows to be chosen.
        chosen: Ballot,
    },
    /// Phase 2a: accept the round's items, durably.
    Accept {
        /// The round.
        ballot: Ballot,
        /// The incarnation that is asked.
        incarnation: u64,
        /// The highest round known to be chosen, on which this one builds.
        base: Ballot,
        /// All items chosen up to `base` that the acceptor lacks.
        missing: Vec<Arc<Item>>,
        /// The round's items.
        items: Vec<Arc<Item>>,
    },
    /// The round is chosen.
    Learn {
        /// The round.
        ballot: Ballot,
        /// The chosen round on which it builds.
        base: Ballot,
        /// The round's items.
        items: Vec<Arc<Item>>,
    },
    /// Asks for the highest round that the peer knows to be chosen; the answer is also proof of contact.
    Ping {
        /// The highest round that the sender knows to be chosen.
        chosen: Ballot,
    },
    /// Asks for the next chunk of all that was chosen after a round.
    CatchUp {
        /// The round up to which the sender holds everything.
        chosen: Ballot,
        /// The last item of the chunk before; `None` for the first chunk.
        after: Option<Key>,
    },
    /// At the first start of the system: a machine announces itself to the founder.
    #[serde(rename = "hello")]
    Announce {
        /// The sender's incarnation.
        incarnation: u64,
    },
    /// A machine that is no member asks to become one.
    Join(JoinCandidate),
}

/// A machine that waits to become a member.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct JoinCandidate {
    /// Its incarnation.
    pub incarnation: u64,
    /// The version of the membership that it knows.
    #[serde(rename = "group")]
    pub membership_version: u64,
    /// It holds all that was chosen up to this round.
    pub chosen: Ballot,
}

/// The answer to a request, with who answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerReply {
    /// The incarnation that answers.
    pub incarnation: u64,
    /// The version of the membership that the answering replica knows, if it is a member by that.
    #[serde(rename = "group")]
    pub membership_version: Option<u64>,
    /// The answer.
    #[serde(rename = "answer")]
    pub response: PeerResponse,
}

/// The answer to a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerResponse {
    /// Phase 1b: the acceptor takes part in the round.
    Promised {
        /// What it has accepted and does not know to be chosen or superseded.
        accepted: Option<AcceptedProposal>,
        /// The highest round that it knows to be chosen.
        chosen: Ballot,
        /// All that was chosen after the proposer's highest; `None` where that is more than a promise carries.
        items: Option<Vec<Arc<Item>>>,
    },
    /// The acceptor has promised a higher round, or knows a higher one to be chosen.
    Nack {
        /// That round.
        promised: Ballot,
    },
    /// Phase 2b: the items are accepted, durably.
    Accepted,
    /// The message was taken in; what is lacking will be asked for.
    Learned,
    /// Answers a ping.
    Pong {
        /// The highest round that the peer knows to be chosen.
        chosen: Ballot,
    },
    /// The next chunk of all that was chosen up to a round, without what the asker holds.
    #[serde(rename = "snapshot")]
    SnapshotChunk {
        /// The round; chunks of one transfer may be of different rounds.
        chosen: Ballot,
        /// The items, in order of their keys.
        items: Vec<Arc<Item>>,
        /// Whether more follow.
        more: bool,
    },
    /// The replica has no say: it is no member, or another incarnation was asked.
    #[serde(rename = "blank")]
    NotAMember,
}

/// Names a command to whoever submitted it.
pub type CommandId = u64;

/// A command that the members carry out together, in one round.
#[derive(Clone, Debug)]
pub enum Command {
    /// Applies an operator's update of the configuration.
    ApplyUpdate(ConfigUpdate),
    /// Begins or ends draining a zone.
    DrainZone {
        /// The zone.
        zone: String,
        /// Whether it is to be drained.
        drained: bool,
    },
    /// Gives a singleton role to a registry, under the role's next epoch.
    AcquireRole {
        /// The role.
        role: String,
        /// The registry.
        holder: Ipv4Addr,
    },
    /// Makes a machine a member, in the place of another or in a free one.
    ReplaceMember {
        /// The member that goes; `None` where a place is free.
        leaving: Option<Member>,
        /// The member that comes.
        joining: Member,
    },
    /// Reads the register, linearizably.
    Read,
}

/// What came of a command.
#[derive(Clone, Debug)]
pub enum CommandOutcome {
    /// It is in force, or changes nothing.
    Applied,
    /// The role was acquired under this epoch, which no other command was ever given: the role's fencing token.
    RoleAcquired {
        /// The epoch.
        epoch: u64,
    },
    /// The register at some moment while the command was under way.
    Read(Items),
}
