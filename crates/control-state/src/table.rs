//! The tables of items.
//!
//! The words on the wire and on disk, the order and the bits of the tables are data: replicas of other versions, disks and
//! digests rest on them.

use bitflags::bitflags;
use serde::{Deserialize, Serialize};

/// The name of the one item in the table of memberships.
pub const MEMBERSHIP_ITEM: &str = "core";
/// The singleton role of the registry that reads the platform's list of servers and allocates quota shares.
///
/// The word is the key of the role's item, whose version is the fencing token: under another key the epochs would begin
/// anew, below those already used.
pub const COORDINATOR_ROLE: &str = "warden";

/// The tables of items.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Table {
    /// The operator's routes.
    Routes,
    /// The operator's tenants.
    Tenants,
    /// The operator's services.
    Backends,
    /// The operator's limits on clients: one item.
    Limits,
    /// Zones that are being drained, by the operator's word.
    Drains,
    /// The members of the configuration store: one item.
    #[serde(rename = "group")]
    Membership,
    /// Processes of the system.
    Nodes,
    /// Servers on the platform's list.
    Servers,
    /// Singleton roles and their holders; an item's version is the role's epoch.
    #[serde(rename = "duties")]
    SingletonRoles,
    /// The versions that were acknowledged for an item of the operator's before the current one.
    #[serde(rename = "past")]
    VersionHistory,
}

bitflags! {
    /// Sets of tables.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub struct Tables: u16 {
        /// The operator's configuration.
        const CONFIG = 0b0000_0000_1111;
        /// Zones that are being drained.
        const DRAINS = 0b0000_0001_0000;
        /// The members of the store.
        const MEMBERSHIP = 0b0000_0010_0000;
        /// Singleton roles.
        const SINGLETON_ROLES = 0b0001_0000_0000;
        /// Acknowledged versions.
        const VERSION_HISTORY = 0b0010_0000_0000;
        /// What the store publishes to registries and proxies.
        const PUBLISHED = Self::CONFIG.bits()
            | Self::DRAINS.bits()
            | Self::MEMBERSHIP.bits()
            | Self::SINGLETON_ROLES.bits();
        /// Durable state: what the store keeps on disk.
        const DURABLE = Self::PUBLISHED.bits() | Self::VERSION_HISTORY.bits();
        /// Soft state: what registries rebuild from those that report it.
        const SOFT = 0b0000_1100_0000;
        /// Processes of the system.
        const NODES = 0b0000_0100_0000;
        /// Servers.
        const SERVERS = 0b0000_1000_0000;
    }
}

impl Table {
    /// All tables, in order.
    pub(crate) const ALL: [Self; 10] = [
        Self::Routes,
        Self::Tenants,
        Self::Backends,
        Self::Limits,
        Self::Drains,
        Self::Membership,
        Self::Nodes,
        Self::Servers,
        Self::SingletonRoles,
        Self::VersionHistory,
    ];

    /// The set of this table alone.
    pub fn set(self) -> Tables {
        Tables::from_bits_truncate(1 << self as u16)
    }

    /// The table's word on the wire.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Routes => "routes",
            Self::Tenants => "tenants",
            Self::Backends => "backends",
            Self::Limits => "limits",
            Self::Drains => "drains",
            Self::Membership => "group",
            Self::Nodes => "nodes",
            Self::Servers => "servers",
            Self::SingletonRoles => "duties",
            Self::VersionHistory => "past",
        }
    }
}
