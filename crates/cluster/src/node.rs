//! Description that a process publishes of itself in the table of nodes.

use crate::ring::watchers;
use ivygate_control_state::{Item, Items, Table};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr};

/// Program that a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Proxy.
    Proxy,
    /// Registry.
    Registry,
}

impl Role {
    /// Returns the name of the node item for this program on a machine. A machine runs each program at most once.
    pub fn name_at(self, machine: Ipv4Addr) -> String {
        let role = match self {
            Self::Proxy => "proxy",
            Self::Registry => "registry",
        };
        format!("{role}@{machine}")
    }
}

/// Distance class between a node and a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proximity {
    /// In the same zone.
    SameZone,
    /// In another zone of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// Process of the system as described by its item in the table of nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// Address of its machine.
    pub ip: Ipv4Addr,
    /// Program that it runs.
    pub role: Role,
    /// Zone of its machine.
    pub zone: String,
    /// Region of its machine.
    pub region: String,
    /// Address for client requests; `None` if it serves no clients.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub http: Option<SocketAddr>,
    /// `true` if it is ready to serve; for a registry, if it can acquire the coordinator role.
    #[serde(default)]
    pub ready: bool,
    /// `true` if it is shutting down.
    #[serde(default)]
    pub leaving: bool,
    /// `true` if its watchers have declared it lost.
    #[serde(default)]
    pub lost: bool,
}

impl Node {
    /// Decodes the body of a node item. Returns `None` if the body is malformed.
    pub fn from_body(body: &Value) -> Option<Self> {
        Self::deserialize(body).ok()
    }

    /// Returns the name of its item.
    pub fn name(&self) -> String {
        self.role.name_at(self.ip)
    }

    /// Encodes the node as an item with the given version.
    pub fn to_item(&self, version: u64) -> Item {
        Item::new(Table::Nodes, self.name(), version, serde_json::to_value(self).ok())
    }

    /// Returns the `count` registries out of `registries` that watch this node.
    ///
    /// The node and all registries with the same view compute the same watchers. A registry is not watched from its own
    /// machine.
    pub fn watchers(&self, registries: &[Ipv4Addr], count: usize) -> Vec<Ipv4Addr> {
        let own = match self.role {
            Role::Registry => self.ip,
            Role::Proxy => Ipv4Addr::UNSPECIFIED,
        };
        watchers(&self.name(), own, registries, count)
    }

    /// Returns whether it is neither lost nor shutting down.
    pub fn is_up(&self) -> bool {
        !self.lost && !self.leaving
    }

    /// Returns whether it is up and ready to serve.
    pub fn is_serving(&self) -> bool {
        self.is_up() && self.ready
    }

    /// Returns its distance class to a zone in a region.
    pub fn proximity(&self, zone: &str, region: &str) -> Proximity {
        if self.zone == zone {
            Proximity::SameZone
        } else if self.region == region {
            Proximity::SameRegion
        } else {
            Proximity::OtherRegion
        }
    }

    /// Returns all nodes with a role, ordered by name.
    pub fn all(items: &Items, role: Role) -> Vec<Self> {
        let nodes = items.live(Table::Nodes).filter_map(|(_, body)| Self::from_body(body));
        nodes.filter(|node| node.role == role).collect()
    }
}
