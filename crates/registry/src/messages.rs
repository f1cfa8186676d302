//! What nodes and registries say to each other. The words on the wire are those of the first release.

use ivygate_control_state::Item;
use ivygate_quota::UsageReport;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// The path of heartbeats.
pub const HEARTBEAT_PATH: &str = "/beat";
/// The path of anti-entropy between registries.
pub const ANTI_ENTROPY_PATH: &str = "/told";
/// The path of proxies' reports to the quota allocator.
pub const USAGE_REPORT_PATH: &str = "/shares";

/// A heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatRequest {
    /// The node's item, with the version by which it knows itself.
    pub entry: Item,
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The version under which the node is known. A node must exceed one that it did not give itself.
    pub version: u64,
    /// Registries that are up, among which the node finds its watchers; none where the one that answers is out of contact with
    /// the store.
    pub registries: Vec<Ipv4Addr>,
}

/// One registry sends soft state to another, and may compare all of its own with the other's.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AntiEntropyRequest {
    /// Items that the other may lack.
    pub items: Vec<Arc<Item>>,
    /// A digest of all soft state of the sender, if the other's is wanted where it differs.
    pub digest: Option<u64>,
}

/// A proxy's report to the quota allocator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UsageReportRequest {
    /// The name of the proxy's node.
    pub from: String,
    /// The report.
    pub report: UsageReport,
}
