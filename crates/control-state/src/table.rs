//! The tables of items.
//!
//! The names on the wire and on disk, the order and the bits of the tables must not change, because replicas of other
//! versions, stored data and digests depend on them.

use bitflags::bitflags;
use serde::{Deserialize, Serialize};

/// The name of the only item in [`Table::Membership`].
pub const MEMBERSHIP_ITEM: &str = "core";
/// The singleton role of the registry that reads the platform's list of servers and allocates quota shares.
///
/// The value is the key of the role's item, whose version is the role's fencing token. Under a different key, the
/// epochs would start again below those already used.
pub const COORDINATOR_ROLE: &str = "warden";

/// The tables of items.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Table {
    /// The operator's routes.
    Routes,
    /// The operator's tenants.
    Tenants,
    /// The operator's backends.
    Backends,
    /// The operator's limits on clients, a single item.
    Limits,
    /// Zones that the operator is draining.
    Drains,
    /// The members of the configuration store, a single item.
    #[serde(rename = "group")]
    Membership,
    /// Processes of the system.
    Nodes,
    /// Servers in the platform's list.
    Servers,
    /// Singleton roles and their holders; the version of an item is the role's epoch.
    #[serde(rename = "duties")]
    SingletonRoles,
    /// The versions acknowledged for each of the operator's items, other than the current one.
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
        /// Histories of acknowledged versions.
        const VERSION_HISTORY = 0b0010_0000_0000;
        /// The tables that the store publishes to registries and proxies.
        const PUBLISHED = Self::CONFIG.bits()
            | Self::DRAINS.bits()
            | Self::MEMBERSHIP.bits()
            | Self::SINGLETON_ROLES.bits();
        /// Durable state, which the store keeps on disk.
        const DURABLE = Self::PUBLISHED.bits() | Self::VERSION_HISTORY.bits();
        /// Soft state, which registries rebuild from reports of its sources.
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

    /// Returns the set that contains only this table.
    pub fn set(self) -> Tables {
        Tables::from_bits_truncate(1 << self as u16)
    }

    /// Returns the table's name on the wire.
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
