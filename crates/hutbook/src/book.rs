//! One registry's part, as a state machine: heartbeats, what is lost, and the warden's duty.

use crate::listing::{Row, Server};
use ropeteam::{watchers, Node, Role};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use trailmap::{Item, Items, Key, Table};

/// A point on the caller's steady clock, or a length of time, in milliseconds.
type Millis = f64;

/// The duty of reading the platform's list and of giving out shares of quotas.
pub const WARDEN: &str = "warden";
/// How many registries watch a node.
pub const WATCHERS: usize = 2;
/// A node of which its watchers have heard nothing for this long is lost.
const LOST: Millis = 1_900.0;
/// A tick that comes this late tells that the process stood still: what it did not hear is no sign.
const STILL: Millis = 600.0;
/// After its start a registry hears for this long before it takes a duty.
const HEAR: Millis = 1_800.0;
/// A try to take it that was not answered by then never will be.
const ASK: Millis = 3_500.0;
/// Pause after one that failed.
const ASK_AGAIN: Millis = 300.0;
/// What was dropped is forgotten after this time: no news is under way for longer.
const FORGET: Millis = 60_000.0;
/// Where an epoch stands in the version of what a duty's holder writes.
const EPOCH: u32 = 32;

/// A heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Beat {
    /// The node's entry, with the version that it knows itself by.
    pub entry: Item,
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Beaten {
    /// The version under which the node is known; one that differs from its own, with other words, is to be exceeded.
    pub version: u64,
    /// Registries that are up, of which the node finds its watchers.
    pub registries: Vec<Ipv4Addr>,
}

/// One registry.
pub struct Book {
    me: Ipv4Addr,
    started: Option<Millis>,
    ticked: Option<Millis>,
    /// When it last asked for the duty, and the epoch under which it has it.
    asked_duty: Millis,
    taken: Option<u64>,
    /// When each node was last heard here.
    heard: BTreeMap<String, Millis>,
    /// When each dropped entry was first seen.
    dropped: BTreeMap<Key, Millis>,
}

impl Book {
    /// A registry that has heard nothing.
    pub fn new(me: Ipv4Addr) -> Self {
        Self {
            me,
            started: None,
            ticked: None,
            asked_duty: f64::NEG_INFINITY,
            taken: None,
            heard: BTreeMap::new(),
            dropped: BTreeMap::new(),
        }
    }

    /// A heartbeat has come; gives the news in it, if any, and the answer.
    pub fn beat(&mut self, now: Millis, items: &Items, beat: Beat) -> (Option<Item>, Beaten) {
        let entry = beat.entry;
        let known = items.get(Table::Nodes, &entry.key.name);
        let registries = self.registries(items);
        let (news, version) = match known {
            Some(known) if known.version > entry.version => (None, known.version),
            Some(known) if known.version == entry.version && known.body == entry.body => {
                (None, known.version)
            }
            // Another life of the node used this version for other words: the node goes above it.
            Some(known) if known.version == entry.version => (None, known.version + 1),
            _ => (Some(entry.clone()), entry.version),
        };
        self.heard.insert(entry.key.name, now);
        (news, Beaten { version, registries })
    }

    /// Registries that are up, with this one.
    pub fn registries(&self, items: &Items) -> Vec<Ipv4Addr> {
        let up = Node::all(items, Role::Registry).into_iter().filter(Node::is_up).map(|node| node.ip);
        let mut all: Vec<Ipv4Addr> = up.chain([self.me]).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Time has passed: gives what is news by that.
    pub fn tick(&mut self, now: Millis, items: &Items) -> Vec<Item> {
        if self.ticked.replace(now).is_some_and(|ticked| now > ticked + STILL) {
            self.heard.values_mut().for_each(|heard| *heard = now);
        }
        let registries = self.registries(items);
        let mut news = Vec::new();
        let silent: Vec<String> = self
            .heard
            .iter()
            .filter(|(_, heard)| now > **heard + LOST)
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            self.heard.remove(&name);
            let Some(item) = items.get(Table::Nodes, &name) else { continue };
            let Some(node) = item.body.as_ref().and_then(Node::read) else { continue };
            // One that beats to others now is theirs to watch.
            if !node.lost && watchers(&name, node.ip, &registries, WATCHERS).contains(&self.me) {
                news.push(Node { lost: true, ready: false, ..node }.item(item.version + 1));
            }
        }
        news
    }

    /// The first registry in order does the duty, under an epoch above all before, also where it is one that it had in
    /// an earlier life: tells whether to take it now. `group` names all machines of the core.
    pub fn wants_duty(&mut self, now: Millis, items: &Items, group: &[Ipv4Addr]) -> bool {
        let started = *self.started.get_or_insert(now);
        let first = self.registries(items).first() == Some(&self.me);
        // Before it has heard who is there, only the first of all knows that it is.
        let knows =
            now > started + HEAR || (group.contains(&self.me) && group.iter().all(|ip| *ip >= self.me));
        let wants = first && knows && !self.holds(items) && now > self.asked_duty + ASK;
        if wants {
            self.asked_duty = now;
        }
        wants
    }

    /// This registry has taken the duty under this epoch.
    pub fn took_duty(&mut self, epoch: u64) {
        self.taken = Some(epoch);
    }

    /// It could not be taken.
    pub fn missed_duty(&mut self, now: Millis) {
        self.asked_duty = now + ASK_AGAIN - ASK;
    }

    /// The epoch under which it last had the duty.
    pub fn epoch(&self) -> u64 {
        self.taken.unwrap_or(0)
    }

    /// Whether this registry has the duty.
    pub fn holds(&self, items: &Items) -> bool {
        self.taken.is_some_and(|taken| taken >= items.version(Table::Duties, WARDEN))
    }

    /// The platform's list was read whole under this epoch: gives what is news by it. What is written under an epoch
    /// loses against anything written under a higher one.
    pub fn listed(&self, epoch: u64, items: &Items, rows: Vec<Row>) -> Vec<Item> {
        let least = epoch.min(u64::from(u32::MAX)) << EPOCH;
        let mut news = Vec::new();
        let mut put = |name: &str, body: Option<serde_json::Value>| {
            let held = items.get(Table::Servers, name);
            if held.map(|held| &held.body) != Some(&body) {
                let version = held.map_or(0, |held| held.version + 1).max(least);
                news.push(Item::new(Table::Servers, name, version, body));
            }
        };
        let mut named = HashSet::new();
        for row in rows {
            let id = row.id.clone();
            let was = items.body(Table::Servers, &id).and_then(|body| Server::deserialize(body).ok());
            if let Ok(body) = serde_json::to_value(row.server(was.as_ref())) {
                put(&id, Some(body));
            }
            named.insert(id);
        }
        let gone: Vec<String> = items
            .standing(Table::Servers)
            .filter(|(name, _)| !named.contains(*name))
            .map(|(name, _)| name.to_owned())
            .collect();
        for name in gone {
            put(&name, None);
        }
        news
    }

    /// Names of entries that were dropped so long ago that they may be forgotten.
    pub fn forgettable(&mut self, now: Millis, items: &Items) -> Vec<Key> {
        let gone = |item: &&Arc<Item>| match item.key.table {
            Table::Servers => item.body.is_none(),
            Table::Nodes => item.body.as_ref().and_then(Node::read).is_none_or(|node| node.lost),
            _ => false,
        };
        let gone: Vec<Key> =
            items.all(trailmap::Tables::TOLD).filter(gone).map(|item| item.key.clone()).collect();
        self.dropped.retain(|key, _| gone.contains(key));
        let mut over = Vec::new();
        for key in gone {
            if now > *self.dropped.entry(key.clone()).or_insert(now) + FORGET {
                over.push(key);
            }
        }
        over
    }
}
