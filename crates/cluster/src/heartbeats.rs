//! Whom a node beats to: its watchers, and all registries that it knows of when nobody told it lately who they are.

use crate::node::Node;
use crate::Millis;
use std::net::Ipv4Addr;

/// Without an answer from a registry in touch with the core for this long, all are beaten to: both watchers may be gone, or
/// be cut off from those who watch now.
const MUTE: Millis = 1_300.0;

/// What a node knows of those that it beats to.
#[derive(Clone, Debug)]
pub struct Heartbeats {
    seeds: Vec<Ipv4Addr>,
    /// Registries that are up, by the last answer that named any.
    registries: Vec<Ipv4Addr>,
    /// When that was asked for.
    told: Option<Millis>,
}

impl Heartbeats {
    /// Nothing was answered yet.
    pub fn new(seeds: Vec<Ipv4Addr>) -> Self {
        Self { seeds, registries: Vec::new(), told: None }
    }

    /// Whom to beat to now: `count` watchers, or all that it knows of.
    pub fn to(&self, now: Millis, node: &Node, count: usize) -> Vec<Ipv4Addr> {
        let sure = self.told.is_some_and(|told| now <= told + MUTE);
        if sure && self.registries.len() >= count {
            return node.watchers(&self.registries, count);
        }
        let mut all: Vec<Ipv4Addr> = self.registries.iter().chain(&self.seeds).copied().collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// The beat of `asked` was answered; one that is out of touch with the core names no registries.
    pub fn answered(&mut self, asked: Millis, registries: Vec<Ipv4Addr>) {
        if !registries.is_empty() && self.told.is_none_or(|told| asked >= told) {
            self.told = Some(asked);
            self.registries = registries;
        }
    }
}
