//! Selection of the registries that a node sends heartbeats to: its watchers, or all known registries if no recent response
//! listed them.

use crate::node::Node;
use ivygate_time::Timestamp;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Time without a response from a registry in contact with the store after which heartbeats go to all known registries. Both
/// watchers may have failed, or be partitioned from the registries that are the watchers now.
const WATCHERS_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Registries known to a node as targets of its heartbeats.
#[derive(Clone, Debug)]
pub struct HeartbeatTargets {
    seeds: Vec<Ipv4Addr>,
    /// Registries that are up, from the last response that listed any.
    registries: Vec<Ipv4Addr>,
    /// Time at which the heartbeat with that response was sent.
    listed_at: Option<Timestamp>,
}

impl HeartbeatTargets {
    /// Creates the state of a node without any heartbeat response. `seeds` are the machines used until then.
    pub fn new(seeds: Vec<Ipv4Addr>) -> Self {
        Self { seeds, registries: Vec::new(), listed_at: None }
    }

    /// Returns the current targets: `count` watchers, or all known registries and seeds.
    pub fn targets(&self, now: Timestamp, node: &Node, count: usize) -> Vec<Ipv4Addr> {
        let is_current = self.listed_at.is_some_and(|listed_at| now <= listed_at + WATCHERS_TIMEOUT);
        if is_current && self.registries.len() >= count {
            return node.watchers(&self.registries, count);
        }
        let mut all: Vec<Ipv4Addr> = self.registries.iter().chain(&self.seeds).copied().collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Handles the response to the heartbeat sent at `sent_at`. A registry that is out of contact with the store lists no
    /// registries, and its response is ignored.
    pub fn handle_response(&mut self, sent_at: Timestamp, registries: Vec<Ipv4Addr>) {
        if !registries.is_empty() && self.listed_at.is_none_or(|listed_at| sent_at >= listed_at) {
            self.listed_at = Some(sent_at);
            self.registries = registries;
        }
    }
}
