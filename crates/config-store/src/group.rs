//! The group of acceptors: which incarnation of which machine has a place, and what makes a quorum. Called by the
//! store; it never does I/O.

use ivygate_control_state::{Item, Items, Table};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// The name of the group's item.
const CORE: &str = "core";
/// Most machines of a group.
pub(crate) const GROUP_MOST: usize = 31;

/// The group at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// The version of its item.
    pub version: u64,
    /// The incarnation that has each machine's place.
    pub members: BTreeMap<Ipv4Addr, u64>,
    /// How many places there are.
    pub size: usize,
}

impl Group {
    /// The group of a first start.
    pub fn founded(members: BTreeMap<Ipv4Addr, u64>) -> Self {
        Self { version: 1, size: members.len(), members }
    }

    /// The group in a copy.
    pub fn read(items: &Items) -> Option<Self> {
        Self::of(items.get(Table::Group, CORE)?)
    }

    /// The group that an item tells.
    pub fn of(item: &Item) -> Option<Self> {
        let body = item.body.as_ref()?;
        let machines: Vec<Ipv4Addr> = serde_json::from_value(body.get("members")?.clone()).ok()?;
        let incarnations: Vec<u64> = serde_json::from_value(body.get("incarnations")?.clone()).ok()?;
        let size = body.get("size").and_then(Value::as_u64).map_or(machines.len(), |size| size as usize);
        Some(Self { version: item.version, members: machines.into_iter().zip(incarnations).collect(), size })
    }

    /// Its item.
    pub fn item(&self) -> Item {
        let machines: Vec<&Ipv4Addr> = self.members.keys().collect();
        let incarnations: Vec<&u64> = self.members.values().collect();
        let body = json!({ "members": machines, "incarnations": incarnations, "size": self.size });
        Item::new(Table::Group, CORE, self.version, Some(body))
    }

    /// Whether this incarnation of a machine has a place.
    pub fn has(&self, machine: Ipv4Addr, incarnation: u64) -> bool {
        self.members.get(&machine) == Some(&incarnation)
    }

    /// Whether these are more than half.
    pub fn is_quorum(&self, some: &BTreeSet<(Ipv4Addr, u64)>) -> bool {
        let count = some.iter().filter(|(machine, incarnation)| self.has(*machine, *incarnation)).count();
        2 * count > self.members.len()
    }

    /// Those of this group that have no place in another.
    pub fn not_in(&self, other: &Self) -> Vec<(Ipv4Addr, u64)> {
        let all = self.members.iter().map(|(machine, incarnation)| (*machine, *incarnation));
        all.filter(|(machine, incarnation)| !other.has(*machine, *incarnation)).collect()
    }

    /// The group with one place given to another, or a free one taken; nothing if that is no step from here.
    pub fn changed(&self, goes: Option<(Ipv4Addr, u64)>, comes: (Ipv4Addr, u64)) -> Option<Self> {
        let mut next = self.clone();
        match goes {
            Some((machine, incarnation)) if self.has(machine, incarnation) => {
                next.members.remove(&machine);
            }
            None if self.members.len() < self.size.min(GROUP_MOST) => {}
            _ => return None,
        }
        // No machine has two places.
        if next.members.insert(comes.0, comes.1).is_some() {
            return None;
        }
        next.version += 1;
        Some(next)
    }
}
