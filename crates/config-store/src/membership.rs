//! The members of the store: which incarnation of which machine is an acceptor, and what makes a quorum of them.
//!
//! The membership is an item of the replicated register itself, so it changes by the same rounds as everything else. Two
//! consecutive memberships differ by one machine, and a round that changes it needs a quorum of both (joint consensus).

use crate::member::Member;
use ivygate_control_state::{Item, Items, Table, MEMBERSHIP_ITEM};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// Most members of a store.
pub(crate) const MAX_MEMBERS: usize = 31;

/// The membership at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// The version of its item.
    pub version: u64,
    /// The incarnation that is a member, by machine.
    pub members: BTreeMap<Ipv4Addr, u64>,
    /// How many members there may be.
    pub capacity: usize,
}

impl Membership {
    /// The membership of a first start.
    pub fn founded(members: BTreeMap<Ipv4Addr, u64>) -> Self {
        Self { version: 1, capacity: members.len(), members }
    }

    /// The membership that a replica of the register holds.
    pub fn from_items(items: &Items) -> Option<Self> {
        Self::from_item(items.get(Table::Membership, MEMBERSHIP_ITEM)?)
    }

    /// Decodes the membership's item; `None` for one that was removed or can't be read.
    pub fn from_item(item: &Item) -> Option<Self> {
        let body = item.body.as_ref()?;
        let machines: Vec<Ipv4Addr> = serde_json::from_value(body.get("members")?.clone()).ok()?;
        let incarnations: Vec<u64> = serde_json::from_value(body.get("incarnations")?.clone()).ok()?;
        let capacity = body.get("size").and_then(Value::as_u64).map_or(machines.len(), |size| size as usize);
        Some(Self {
            version: item.version,
            members: machines.into_iter().zip(incarnations).collect(),
            capacity,
        })
    }

    /// Encodes the membership as its item.
    pub fn to_item(&self) -> Item {
        let machines: Vec<&Ipv4Addr> = self.members.keys().collect();
        let incarnations: Vec<&u64> = self.members.values().collect();
        let body = json!({ "members": machines, "incarnations": incarnations, "size": self.capacity });
        Item::new(Table::Membership, MEMBERSHIP_ITEM, self.version, Some(body))
    }

    /// The members, in order of their addresses.
    pub fn iter(&self) -> impl Iterator<Item = Member> + '_ {
        self.members.iter().map(|(address, incarnation)| Member::new(*address, *incarnation))
    }

    /// Whether this incarnation of this machine is a member.
    pub fn contains(&self, member: Member) -> bool {
        self.members.get(&member.address) == Some(&member.incarnation)
    }

    /// Whether some acceptors include more than half of the members.
    pub fn is_quorum(&self, acceptors: &BTreeSet<Member>) -> bool {
        let count = acceptors.iter().filter(|member| self.contains(**member)).count();
        2 * count > self.members.len()
    }

    /// The members that are not members of another membership.
    pub fn difference(&self, other: &Self) -> Vec<Member> {
        self.iter().filter(|member| !other.contains(*member)).collect()
    }

    /// The next membership, in which one machine takes the place of another, or a free place. `None` if that is not
    /// possible: `leaving` is no member, no place is free, or `joining` would have two.
    pub fn with_replacement(&self, leaving: Option<Member>, joining: Member) -> Option<Self> {
        let mut next = self.clone();
        match leaving {
            Some(member) if self.contains(member) => {
                next.members.remove(&member.address);
            }
            None if self.members.len() < self.capacity.min(MAX_MEMBERS) => {}
            _ => return None,
        }
        if next.members.insert(joining.address, joining.incarnation).is_some() {
            return None;
        }
        next.version += 1;
        Some(next)
    }
}
