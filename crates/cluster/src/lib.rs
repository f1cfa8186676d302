//! Cluster communication shared by the three programs: replication of control state to every node, selection of the parent to
//! pull from, heartbeat targets, and the hash ring that assigns watchers to nodes.
//!
//! This crate transports control state and does not interpret it.

mod contact;
mod contact_log;
mod heartbeats;
mod membership;
mod node;
mod parent_selector;
mod replica;
mod replication;
mod ring;
mod zone_orders;

pub use contact::{contact_age_on_receipt_ms, QuorumContact};
pub use heartbeats::HeartbeatTargets;
pub use membership::store_members;
pub use node::{Node, Proximity, Role};
pub use parent_selector::{Parent, ParentSelector};
pub use replica::{PullRequest, PullResponse, StateReplica};
pub use replication::{run_replication, PullSource, PULL_PATH};
pub use ring::{ring_position, watchers};
pub use zone_orders::{StoreTime, ZoneOrder, ORDER_LIFETIME, STORE_CLOCK_PATH};
