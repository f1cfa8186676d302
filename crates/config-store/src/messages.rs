//! Messages between replicas of the store, and the commands that they execute.
//!
//! The names on the wire and on disk are those of the first release, pinned here with `rename`: clusters are upgraded
//! one machine at a time, and stored data outlives every version.

use crate::member::Member;
use ivygate_control_state::{ConfigUpdate, Item, Items, Key};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// The path at which a replica receives requests of its peers.
pub const PEER_PATH: &str = "/round";

/// The number of a round: totally ordered, and unique to one incarnation of one proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Increases with each round; the most significant part of the order.
    pub counter: u64,
    /// The replica that started the round.
    #[serde(rename = "by")]
    pub proposer: Ipv4Addr,
    /// The proposer's incarnation: a proposer that lost its disk no longer knows which ballots it has used.
    #[serde(default)]
    pub incarnation: u64,
}

impl Ballot {
    /// Lower than the ballot of any round.
    pub const NONE: Self = Self { counter: 0, proposer: Ipv4Addr::UNSPECIFIED, incarnation: 0 };
}

/// The items that an acceptor accepted in a round, on top of everything chosen before it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedProposal {
    /// The round.
    pub ballot: Ballot,
    /// The round's items.
    pub items: Vec<Arc<Item>>,
}

/// A request on the wire together with its sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The requesting replica.
    pub from: Ipv4Addr,
    /// Its request.
    #[serde(rename = "ask")]
    pub request: PeerRequest,
}

/// A request of one replica to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerRequest {
    /// Phase 1a: asks the acceptor to take part in this round and in no lower one.
    Prepare {
        /// The round.
        ballot: Ballot,
        /// The incarnation addressed; another incarnation of the machine is a different acceptor.
        incarnation: u64,
        /// The highest round that the proposer knows to be chosen.
        chosen: Ballot,
    },
    /// Phase 2a: asks the acceptor to accept the round's items durably.
    Accept {
        /// The round.
        ballot: Ballot,
        /// The incarnation addressed.
        incarnation: u64,
        /// The highest round known to be chosen, on which this round builds.
        base: Ballot,
        /// All items chosen up to `base` that the acceptor does not have.
        missing: Vec<Arc<Item>>,
        /// The round's items.
        items: Vec<Arc<Item>>,
    },
    /// Announces that a round is chosen.
    Learn {
        /// The round.
        ballot: Ballot,
        /// The chosen round on which it builds.
        base: Ballot,
        /// The round's items.
        items: Vec<Arc<Item>>,
    },
    /// Asks for the highest round that the peer knows to be chosen; the reply also proves contact.
    Ping {
        /// The highest round that the sender knows to be chosen.
        chosen: Ballot,
    },
    /// Asks for the next chunk of everything chosen after a round.
    CatchUp {
        /// The round up to which the sender has everything.
        chosen: Ballot,
        /// The key of the previous chunk's last item; `None` for the first chunk.
        after: Option<Key>,
    },
    /// Announces a machine to the founder at the first start of the system.
    #[serde(rename = "hello")]
    Announce {
        /// The sender's incarnation.
        incarnation: u64,
    },
    /// Asks for membership on behalf of a machine that is not a member.
    Join(JoinCandidate),
}

/// A machine that is waiting to become a member.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct JoinCandidate {
    /// Its incarnation.
    pub incarnation: u64,
    /// The version of the membership known to it.
    #[serde(rename = "group")]
    pub membership_version: u64,
    /// The round up to which it has everything that was chosen.
    pub chosen: Ballot,
}

/// A reply on the wire together with the incarnation that sends it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerReply {
    /// The replying replica's incarnation.
    pub incarnation: u64,
    /// The version of the membership known to the replying replica, if it is a member of that membership.
    #[serde(rename = "group")]
    pub membership_version: Option<u64>,
    /// The highest round that the replying replica has accepted or knows to be chosen; `None` from replicas of an earlier
    /// version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latest: Option<Ballot>,
    /// The response.
    #[serde(rename = "answer")]
    pub response: PeerResponse,
}

/// The response to a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerResponse {
    /// Phase 1b: the acceptor promises to take part in the round.
    Promised {
        /// The proposal it has accepted and does not know to be chosen or superseded.
        accepted: Option<AcceptedProposal>,
        /// The highest round it knows to be chosen.
        chosen: Ballot,
        /// Everything chosen after the round named in the request; `None` if that exceeds the limit of a promise.
        items: Option<Vec<Arc<Item>>>,
    },
    /// The acceptor has promised a higher round or knows a higher round to be chosen.
    Nack {
        /// The higher round.
        promised: Ballot,
    },
    /// Phase 2b: the items are durably accepted.
    Accepted,
    /// The message was processed; missing items will be requested separately.
    Learned,
    /// The response to a ping.
    Pong {
        /// The highest round that the peer knows to be chosen.
        chosen: Ballot,
    },
    /// The next chunk of everything chosen up to a round, without the items that the requester already has.
    #[serde(rename = "snapshot")]
    SnapshotChunk {
        /// The round; chunks of one transfer may belong to different rounds.
        chosen: Ballot,
        /// The items, in order of their keys.
        items: Vec<Arc<Item>>,
        /// Set if more chunks follow.
        more: bool,
    },
    /// The replica does not vote: it is not a member, or another incarnation was addressed.
    #[serde(rename = "blank")]
    NotAMember,
}

/// Identifies a command to its submitter.
pub type CommandId = u64;

/// A command that the members execute in one round.
#[derive(Clone, Debug)]
pub enum Command {
    /// Applies an operator's configuration update.
    ApplyUpdate(ConfigUpdate),
    /// Begins or ends draining a zone.
    DrainZone {
        /// The zone.
        zone: String,
        /// `true` to begin draining, `false` to end it.
        drained: bool,
    },
    /// Assigns a singleton role to a registry under the role's next epoch.
    AcquireRole {
        /// The role.
        role: String,
        /// The registry.
        holder: Ipv4Addr,
    },
    /// Adds a member, in place of another one or in a free slot.
    ReplaceMember {
        /// The member to remove; `None` to use a free slot.
        leaving: Option<Member>,
        /// The member to add.
        joining: Member,
    },
    /// Reads the register with linearizable consistency.
    Read,
}

impl Command {
    /// Returns whether executing the command late or twice does no harm, as its items have versions or it changes nothing.
    pub(crate) fn is_idempotent(&self) -> bool {
        match self {
            Self::ApplyUpdate(_) | Self::ReplaceMember { .. } | Self::Read => true,
            Self::DrainZone { .. } | Self::AcquireRole { .. } => false,
        }
    }
}

/// The outcome of a command.
#[derive(Clone, Debug)]
pub enum CommandOutcome {
    /// The command is in force or changed nothing.
    Applied,
    /// The role was acquired under this epoch, its fencing token. No other command ever receives the same epoch.
    RoleAcquired {
        /// The epoch.
        epoch: u64,
    },
    /// The register at some point in time between the command's submission and its completion.
    Read(Items),
}
