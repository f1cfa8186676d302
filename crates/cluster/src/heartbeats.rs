//! Whom a node sends heartbeats to: its watchers, or all registries that it knows of when none has named them lately.

use crate::node::Node;
use ivygate_time::Timestamp;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Without an answer from a registry in contact with the store for this long, heartbeats go to all: both watchers may have
/// failed, or be cut off from those that watch now.
const WATCHERS_TIMEOUT: Duration = Duration::from_millis(1_300);

/// What a node knows of those that it sends heartbeats to.
#[derive(Clone, Debug)]
pub struct HeartbeatTargets {
    seeds: Vec<Ipv4Addr>,
    /// Registries that are up, by the last answer that named any.
    registries: Vec<Ipv4Addr>,
    /// When that answer was asked for.
    named_at: Option<Timestamp>,
}

impl HeartbeatTargets {
    /// Nothing was answered yet.
    pub fn new(seeds: Vec<Ipv4Addr>) -> Self {
        Self { seeds, registries: Vec::new(), named_at: None }
    }

    /// Whom to send to now: `count` watchers, or all that it knows of.
    pub fn targets(&self, now: Timestamp, node: &Node, count: usize) -> Vec<Ipv4Addr> {
        let is_current = self.named_at.is_some_and(|named_at| now <= named_at + WATCHERS_TIMEOUT);
        if is_current && self.registries.len() >= count {
            return node.watchers(&self.registries, count);
        }
        let mut all: Vec<Ipv4Addr> = self.registries.iter().chain(&self.seeds).copied().collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// The heartbeat sent at `asked` was answered. A registry that is out of contact with the store names no registries.
    pub fn handle_response(&mut self, asked: Timestamp, registries: Vec<Ipv4Addr>) {
        if !registries.is_empty() && self.named_at.is_none_or(|named_at| asked >= named_at) {
            self.named_at = Some(asked);
            self.registries = registries;
        }
    }
}
