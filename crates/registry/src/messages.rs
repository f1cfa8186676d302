//! Messages between nodes and registries. The names on the wire are those of the first release.

use ivygate_control_state::Item;
use ivygate_quota::UsageReport;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// Path of heartbeats.
pub const HEARTBEAT_PATH: &str = "/beat";
/// Path of anti-entropy between registries.
pub const ANTI_ENTROPY_PATH: &str = "/told";
/// Path of proxies' usage reports to the quota allocator.
pub const USAGE_REPORT_PATH: &str = "/shares";

/// Heartbeat of a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatRequest {
    /// Item of the node with its current version.
    pub entry: Item,
}

/// Response to a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Version under which the registry knows the node. A node must move above a version that it did not assign itself.
    pub version: u64,
    /// Registries that are up, from which the node selects its watchers; empty if the responding registry is out of contact
    /// with the store.
    pub registries: Vec<Ipv4Addr>,
}

/// Soft state sent from one registry to another, with an optional digest for comparing all of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AntiEntropyRequest {
    /// Items that the receiver may lack.
    pub items: Vec<Arc<Item>>,
    /// Digest of all soft state of the sender. If it is present and differs from the receiver's, the response contains the
    /// receiver's soft state.
    pub digest: Option<u64>,
}

/// Usage report of a proxy to the quota allocator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UsageReportRequest {
    /// Name of the proxy's node item.
    pub from: String,
    /// Report.
    pub report: UsageReport,
}
