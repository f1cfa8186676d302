//! The members of the store: the incarnations of machines that act as acceptors, and their quorums.
//!
//! The membership is an item of the replicated register itself, so it is changed by the same rounds as any other item.
//! Two consecutive memberships differ by one machine, and a round that changes the membership needs a quorum of both
//! (joint consensus).

use crate::member::Member;
use ivygate_control_state::{Item, Items, Table, MEMBERSHIP_ITEM};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// Maximum number of members of a store.
pub(crate) const MAX_MEMBERS: usize = 31;

/// The membership at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// The version of its item.
    pub version: u64,
    /// The member incarnation of each machine.
    pub members: BTreeMap<Ipv4Addr, u64>,
    /// The maximum number of members in this membership.
    pub capacity: usize,
}

impl Membership {
    /// Creates the first membership of a new store.
    pub fn founded(members: BTreeMap<Ipv4Addr, u64>) -> Self {
        Self { version: 1, capacity: members.len(), members }
    }

    /// Decodes the membership from a replica of the register.
    pub fn from_items(items: &Items) -> Option<Self> {
        Self::from_item(items.get(Table::Membership, MEMBERSHIP_ITEM)?)
    }

    /// Decodes the membership's item. Returns `None` if the item is a tombstone or can't be decoded.
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

    /// Iterates over the members in order of their addresses.
    pub fn iter(&self) -> impl Iterator<Item = Member> + '_ {
        self.members.iter().map(|(address, incarnation)| Member::new(*address, *incarnation))
    }

    /// Returns whether this incarnation of this machine is a member.
    pub fn contains(&self, member: Member) -> bool {
        self.members.get(&member.address) == Some(&member.incarnation)
    }

    /// Returns whether the acceptors include a majority of the members.
    pub fn is_quorum(&self, acceptors: &BTreeSet<Member>) -> bool {
        let count = acceptors.iter().filter(|member| self.contains(**member)).count();
        2 * count > self.members.len()
    }

    /// Returns the members that are not in the other membership.
    pub fn difference(&self, other: &Self) -> Vec<Member> {
        self.iter().filter(|member| !other.contains(*member)).collect()
    }

    /// Returns the next membership, in which one machine replaces another or takes a free slot. Returns `None` if
    /// `leaving` is not a member, no slot is free, or `joining` is already a member.
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
