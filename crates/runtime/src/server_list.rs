//! The server list as plain data: filled in by the sources of the list and applied by the driver.

use ivygate_gateway::SlowStartBound;
use ivygate_time::Millis;
use serde::Deserialize;
use std::net::SocketAddr;

/// The whole server list, or a change of it.
#[derive(Clone, Debug, Deserialize)]
pub struct ServerListUpdate {
    /// Version of the list.
    pub rev: u64,
    /// This is the whole list: servers that it does not contain are removed.
    pub all: bool,
    /// Entries.
    #[serde(default)]
    pub targets: Vec<ListedServer>,
}

/// An app server on the list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedServer {
    /// Name, the same on every node.
    pub uid: String,
    /// Address on which it listens; not needed for a server that is removed.
    pub endpoint: Option<SocketAddr>,
    /// Zone.
    #[serde(default)]
    pub az: String,
    /// Cell.
    #[serde(default)]
    pub pod_group: u32,
    /// State.
    pub state: ListedServerState,
    /// Capacity relative to the other servers.
    #[serde(default = "default_capacity")]
    pub capacity_hint: f64,
    /// Unix time of its last start, in milliseconds; 0 if that was long ago.
    #[serde(default)]
    pub boot_ms: f64,
    /// Cost of the network distance to it, as time.
    #[serde(skip)]
    pub distance_cost: Millis,
    /// Limit on the requests sent to it while it warms up.
    #[serde(skip)]
    pub slow_start: Option<SlowStartBound>,
}

/// State of an app server on the list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub enum ListedServerState {
    /// Accepts requests.
    Serving,
    /// Finishes its requests and gets no new ones.
    Draining,
    /// Removed.
    Deleted,
}

fn default_capacity() -> f64 {
    1.0
}
