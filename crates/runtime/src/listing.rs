//! The list of app servers as plain data: what tells of it fills it in, the driver takes it.

use ivygate_gateway::SlowStartBound;
use ivygate_time::Millis;
use serde::Deserialize;
use std::net::SocketAddr;

/// The list or a change of it.
#[derive(Clone, Debug, Deserialize)]
pub struct ServerListUpdate {
    /// Its version.
    pub rev: u64,
    /// Whether what it lacks is gone.
    pub all: bool,
    /// The entries.
    #[serde(default)]
    pub targets: Vec<ListedServer>,
}

/// One app server on the list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedServer {
    /// Its name, the same at every node.
    pub uid: String,
    /// Where it listens; one that is gone need not listen anywhere.
    pub endpoint: Option<SocketAddr>,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// Its cell.
    #[serde(default)]
    pub pod_group: u32,
    /// Its state.
    pub state: ListedServerState,
    /// Its size against the others.
    #[serde(default = "one")]
    pub capacity_hint: f64,
    /// When it last started, in Unix time; 0 for long ago.
    #[serde(default)]
    pub boot_ms: f64,
    /// What the way there is taken to cost, as time.
    #[serde(skip)]
    pub distance_cost: Millis,
    /// Bounds what is sent to it while it is cold.
    #[serde(skip)]
    pub slow_start: Option<SlowStartBound>,
}

/// State of an app server on the list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub enum ListedServerState {
    /// Takes requests.
    Serving,
    /// Finishes what it has.
    Draining,
    /// Removed.
    Deleted,
}

fn one() -> f64 {
    1.0
}
