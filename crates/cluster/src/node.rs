//! What a process tells of itself.

use crate::ring::watchers;
use ivygate_control_state::{Item, Items, Table};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr};

/// Which program a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The proxy.
    Proxy,
    /// The registry.
    Registry,
}

impl Role {
    /// The name of this program's item at a machine: a machine runs each program once.
    pub fn name_at(self, machine: Ipv4Addr) -> String {
        let role = match self {
            Self::Proxy => "proxy",
            Self::Registry => "registry",
        };
        format!("{role}@{machine}")
    }
}

/// How near a node is to a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proximity {
    /// In the same zone.
    SameZone,
    /// In another zone of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// A process of the system, as its item in the table of nodes tells it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// Its machine's address.
    pub ip: Ipv4Addr,
    /// Its program.
    pub role: Role,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Where it takes clients, if it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub http: Option<SocketAddr>,
    /// Whether it can serve.
    #[serde(default)]
    pub ready: bool,
    /// Whether it is shutting down.
    #[serde(default)]
    pub leaving: bool,
    /// Whether its watchers have declared it lost.
    #[serde(default)]
    pub lost: bool,
}

impl Node {
    /// Decodes an item's body; one that can't be read counts as none.
    pub fn from_body(body: &Value) -> Option<Self> {
        Self::deserialize(body).ok()
    }

    /// The name of its item.
    pub fn name(&self) -> String {
        self.role.name_at(self.ip)
    }

    /// Its item.
    pub fn to_item(&self, version: u64) -> Item {
        Item::new(Table::Nodes, self.name(), version, serde_json::to_value(self).ok())
    }

    /// Which of these registries watch it: the same by its own word and by that of every registry that knows the same others.
    /// A registry is not watched from its own machine.
    pub fn watchers(&self, registries: &[Ipv4Addr], count: usize) -> Vec<Ipv4Addr> {
        let own = match self.role {
            Role::Registry => self.ip,
            Role::Proxy => Ipv4Addr::UNSPECIFIED,
        };
        watchers(&self.name(), own, registries, count)
    }

    /// Whether it is there and stays.
    pub fn is_up(&self) -> bool {
        !self.lost && !self.leaving
    }

    /// Whether it is there, stays, and can serve.
    pub fn is_serving(&self) -> bool {
        self.is_up() && self.ready
    }

    /// How near it is to a zone of a region.
    pub fn proximity(&self, zone: &str, region: &str) -> Proximity {
        if self.zone == zone {
            Proximity::SameZone
        } else if self.region == region {
            Proximity::SameRegion
        } else {
            Proximity::OtherRegion
        }
    }

    /// All nodes of a role, by name.
    pub fn all(items: &Items, role: Role) -> Vec<Self> {
        let nodes = items.live(Table::Nodes).filter_map(|(_, body)| Self::from_body(body));
        nodes.filter(|node| node.role == role).collect()
    }
}
