//! What a process tells of itself.

use crate::ring::watchers;
use ivygate_control_state::{Item, Items, Table};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr};

/// Which program it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The proxy.
    Proxy,
    /// The registry.
    Registry,
}

impl Role {
    /// The name of the entry of this program at a machine.
    pub fn name_at(self, ip: Ipv4Addr) -> String {
        let role = match self {
            Role::Proxy => "proxy",
            Role::Registry => "registry",
        };
        format!("{role}@{ip}")
    }
}

/// An entry of the table of nodes.
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
    /// Whether it has been told to end.
    #[serde(default)]
    pub leaving: bool,
    /// Whether its watchers hear nothing of it.
    #[serde(default)]
    pub lost: bool,
}

impl Node {
    /// Reads an entry; one that can't be read counts as none.
    pub fn read(body: &Value) -> Option<Self> {
        Self::deserialize(body).ok()
    }

    /// The name of its entry: a machine runs each program once.
    pub fn name(&self) -> String {
        self.role.name_at(self.ip)
    }

    /// Its entry.
    pub fn item(&self, version: u64) -> Item {
        Item::new(Table::Nodes, self.name(), version, serde_json::to_value(self).ok())
    }

    /// Who watches it, of these registries: the same for itself and for all registries that know the same others. A
    /// registry is not watched from its own machine.
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

    /// All nodes of a role in a copy, by name.
    pub fn all(items: &Items, role: Role) -> Vec<Node> {
        items
            .standing(Table::Nodes)
            .filter_map(|(_, body)| Node::read(body))
            .filter(|n| n.role == role)
            .collect()
    }
}
