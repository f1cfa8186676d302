//! How the processes of the system know each other: replication of control state to every node, the choice of whom to pull
//! from, heartbeats, and the hash ring of watchers.
//!
//! Called by the three programs. It carries control state and never decides what it means.

mod contact;
mod heartbeats;
mod membership;
mod node;
mod parent_selector;
mod replication;
mod ring;

pub use contact::{contact_age_on_receipt_ms, QuorumContact};
pub use heartbeats::HeartbeatTargets;
pub use membership::store_members;
pub use node::{Node, Proximity, Role};
pub use parent_selector::{Parent, ParentSelector};
pub use replication::{run_replication, PullRequest, PullResponse, PullSource, StateReplica, PULL_PATH};
pub use ring::{ring_position, watchers};
