//! One registry's part, as a state machine: heartbeats, what is lost, and the warden's duty.

use crate::listing::{Reading, Server};
use ivygate_cluster::{Node, Role};
use ivygate_control_state::{Item, Items, Key, Table, Tables};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::{BTreeMap, HashSet};
use std::net::Ipv4Addr;
use std::sync::Arc;

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
/// Out of touch with the core for this long it is cut off itself, and what it does not hear is no sign either.
const AWAY: Millis = 2_000.0;
/// In calm times it is in touch at least this often. After a longer gap whoever is silent gets one more heartbeat's time:
/// the machine may have been cut off for a moment.
const GAP: Millis = 1_400.0;
const GRACE: Millis = 800.0;
/// It must have been in touch since this long after a node was last heard: the first heartbeat that is missing, and a slow
/// way of it.
const MISSING: Millis = 1_000.0;
/// A node hears within this time that it is to beat here now: one more heartbeat and its answer.
const TURN: Millis = 1_000.0;
/// Period in which it looks for nodes that it was only told of.
const LOOK: Millis = 1_000.0;
/// After its start a registry hears for this long before it takes a duty.
const HEAR: Millis = 1_800.0;
/// A try to take it that was not answered by then never will be.
const ASK: Millis = 3_500.0;
/// Pause after one that failed.
const ASK_AGAIN: Millis = 300.0;
/// What was dropped is forgotten after this time: no machine is cut off or stands still for longer, and one that holds what
/// was before hears that it was dropped.
const FORGET: Millis = 900_000.0;
/// What was forgotten is remembered here a while, for copies that forget later or never.
const REMEMBER: Millis = 3_600_000.0;
/// Most of that.
const REMEMBERED_MOST: usize = 20_000;
/// Period in which what may be forgotten is looked for.
const CLEAN: Millis = 1_000.0;
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
    /// Registries that are up, of which the node finds its watchers; none where the one that answers is cut off itself.
    pub registries: Vec<Ipv4Addr>,
}

/// How it stands with the warden's duty.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Duty {
    /// It does not have it, and does not ask for it before this time.
    Without { until: Millis },
    /// It has asked for it, and was not answered yet.
    Asking { since: Millis },
    /// It was told that it has it under this epoch; and how often it has written under it.
    Held { epoch: u64, written: u32 },
}

/// One registry.
pub struct Book {
    me: Ipv4Addr,
    started: Option<Millis>,
    ticked: Option<Millis>,
    /// When it was last in touch with the core, and whether that was too long ago at its last tick.
    touched: Millis,
    away: bool,
    looked: Millis,
    duty: Duty,
    /// The registries that were up when watchers were last found.
    ring: Vec<Ipv4Addr>,
    /// When each node was last heard here, or came to be watched here without being heard.
    heard: BTreeMap<String, Millis>,
    /// When each dropped entry was first seen.
    dropped: BTreeMap<Key, Millis>,
    /// What was forgotten, and when.
    forgotten: BTreeMap<Key, (Arc<Item>, Millis)>,
    cleaned: Millis,
}

impl Book {
    /// A registry that has heard nothing.
    pub fn new(me: Ipv4Addr) -> Self {
        Self {
            me,
            started: None,
            ticked: None,
            touched: f64::NEG_INFINITY,
            away: true,
            looked: f64::NEG_INFINITY,
            duty: Duty::Without { until: f64::NEG_INFINITY },
            ring: Vec::new(),
            heard: BTreeMap::new(),
            dropped: BTreeMap::new(),
            forgotten: BTreeMap::new(),
            cleaned: f64::NEG_INFINITY,
        }
    }

    /// A heartbeat has come; gives the news in it, if any, and the answer.
    pub fn beat(&mut self, now: Millis, items: &Items, beat: Beat) -> (Option<Item>, Beaten) {
        let entry = beat.entry;
        let known = items.get(Table::Nodes, &entry.key.name);
        // What it knows of others may be old: the node is to ask more of them.
        let registries = if self.away { Vec::new() } else { self.registries(items) };
        let forgotten = self.forgotten.get(&entry.key).map_or(0, |(last, _)| last.version);
        let (news, version) = match known {
            // Copies that forget nothing may hold more: it goes above that.
            None if forgotten >= entry.version => (None, forgotten),
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

    /// Time has passed: gives what is news by that. `age` tells how long ago it was surely in touch with the core: one that
    /// is cut off itself hears nobody, and calls nobody lost.
    pub fn tick(&mut self, now: Millis, age: Millis, items: &Items) -> Vec<Item> {
        let still = self.ticked.replace(now).is_some_and(|ticked| now > ticked + STILL);
        self.away = age > AWAY;
        if still || self.away {
            self.heard.values_mut().for_each(|heard| *heard = now);
        }
        if now - age > self.touched + GAP {
            self.heard.values_mut().for_each(|heard| *heard = heard.max(now + GRACE - LOST));
        }
        self.touched = self.touched.max(now - age);
        self.look(now, items);
        let mut news = Vec::new();
        let silent: Vec<(String, Millis)> = self
            .heard
            .iter()
            .filter(|(_, heard)| now > **heard + LOST)
            .map(|(name, heard)| (name.clone(), *heard))
            .collect();
        for (name, heard) in silent {
            let entry = items.get(Table::Nodes, &name);
            let node = entry.and_then(|item| Some((item.version, item.body.as_ref().and_then(Node::read)?)));
            // One that beats to others now is theirs to watch.
            match node.filter(|(_, node)| !node.lost && self.watches(node, &self.ring)) {
                Some(_) if now - age < heard + MISSING => {}
                Some((version, node)) => {
                    self.heard.remove(&name);
                    news.push(Node { lost: true, ready: false, ..node }.item(version.saturating_add(1)));
                }
                None => {
                    self.heard.remove(&name);
                }
            }
        }
        news
    }

    /// Others have called this registry lost, or know a life of it before this one: whoever heard that beats to others until
    /// it is back.
    pub fn was_lost(&mut self, now: Millis) {
        self.heard.values_mut().for_each(|heard| *heard = now + TURN);
    }

    fn watches(&self, node: &Node, registries: &[Ipv4Addr]) -> bool {
        node.watchers(registries, WATCHERS).contains(&self.me)
    }

    /// Finds nodes that it must watch though it never heard them: those who did may be gone together with them.
    fn look(&mut self, now: Millis, items: &Items) {
        let registries = self.registries(items);
        let turned = registries != self.ring;
        if !turned && now < self.looked + LOOK {
            return;
        }
        self.looked = now;
        for (name, body) in items.standing(Table::Nodes) {
            if !turned && self.heard.contains_key(name) {
                continue;
            }
            let Some(node) = Node::read(body).filter(|node| !node.lost) else { continue };
            // The node has yet to hear that it is to beat here.
            let turns = turned && self.watches(&node, &registries) && !self.watches(&node, &self.ring);
            if turns && !self.ring.is_empty() {
                self.heard.insert(name.to_owned(), now + TURN);
            } else {
                self.heard.entry(name.to_owned()).or_insert(now + TURN);
            }
        }
        self.ring = registries;
    }

    /// The first registry in order does the duty, under an epoch above all before, also where it is one that it had in
    /// an earlier life: tells whether to ask for it now. `group` names all machines of the core.
    pub fn wants_duty(&mut self, now: Millis, items: &Items, group: &[Ipv4Addr]) -> bool {
        let started = *self.started.get_or_insert(now);
        let first = self.registries(items).first() == Some(&self.me);
        // Before it has heard who is there, only the first of all knows that it is.
        let knows =
            now > started + HEAR || (group.contains(&self.me) && group.iter().all(|ip| *ip >= self.me));
        let due = match self.duty {
            Duty::Without { until } => now > until,
            Duty::Asking { since } => now > since + ASK,
            Duty::Held { .. } => !self.holds(items),
        };
        let wants = first && knows && due;
        if wants {
            self.duty = Duty::Asking { since: now };
        }
        wants
    }

    /// Its question of `asked` was answered: it has the duty under this epoch. An answer that is read later than any is
    /// waited for counts for nothing: others may have had the duty since.
    pub fn took_duty(&mut self, asked: Millis, now: Millis, epoch: u64) {
        if self.duty == (Duty::Asking { since: asked }) {
            self.duty = if now <= asked + ASK {
                Duty::Held { epoch, written: 0 }
            } else {
                Duty::Without { until: now }
            };
        }
    }

    /// Its question of `asked` was answered by a no, or not at all.
    pub fn missed_duty(&mut self, asked: Millis, now: Millis) {
        if self.duty == (Duty::Asking { since: asked }) {
            self.duty = Duty::Without { until: now + ASK_AGAIN };
        }
    }

    /// The epoch under which it has the duty, or last had it; 0 for none.
    pub fn epoch(&self) -> u64 {
        match self.duty {
            Duty::Held { epoch, .. } => epoch,
            _ => 0,
        }
    }

    /// Whether this registry has the duty, as far as it can know.
    pub fn holds(&self, items: &Items) -> bool {
        let Duty::Held { epoch, .. } = self.duty else { return false };
        match items.version(Table::Duties, WARDEN).cmp(&epoch) {
            Ordering::Less => true,
            Ordering::Greater => false,
            // Two that were told one epoch would be a fault of the stores: only the one that stands there acts.
            Ordering::Equal => items
                .body(Table::Duties, WARDEN)
                .and_then(|body| body.get("holder"))
                .and_then(|holder| Ipv4Addr::deserialize(holder).ok())
                .is_some_and(|holder| holder == self.me),
        }
    }

    /// The platform's list was read whole: gives what is news by it; nothing where the duty was lost meanwhile, or where
    /// the reading is an old one. What is written under an epoch loses against anything written under a higher one, and
    /// each writing is above all before it under the same one, also what was forgotten since.
    pub fn listed(&mut self, now: Millis, items: &Items, reading: Reading) -> Vec<Item> {
        let Duty::Held { epoch, written } = self.duty else { return Vec::new() };
        let since: HashSet<String> =
            items.since(reading.change(), Tables::SERVERS).iter().map(|item| item.key.name.clone()).collect();
        let Some(rows) = reading.rows(now, epoch).filter(|_| self.holds(items)) else { return Vec::new() };
        let epoch = epoch.min(u64::from(u32::MAX));
        let version = epoch << EPOCH | u64::from(written.saturating_add(1));
        let mut news = Vec::new();
        let mut put = |name: &str, body: Option<serde_json::Value>| {
            let held = items.get(Table::Servers, name);
            let later = held.is_some_and(|held| held.version >> EPOCH > epoch);
            // What another holder told meanwhile may be younger than this reading; the next one is younger than that.
            if !later && !since.contains(name) && held.map(|held| &held.body) != Some(&body) {
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
        if !news.is_empty() {
            self.duty = Duty::Held { epoch, written: written.saturating_add(1) };
        }
        news
    }

    /// Names of entries that were dropped so long ago that they may be forgotten.
    pub fn forgettable(&mut self, now: Millis, items: &Items) -> Vec<Key> {
        if now < self.cleaned + CLEAN {
            return Vec::new();
        }
        self.cleaned = now;
        let gone = |item: &&Arc<Item>| match item.key.table {
            Table::Servers => item.body.is_none(),
            Table::Nodes => item.body.as_ref().and_then(Node::read).is_none_or(|node| node.lost),
            _ => false,
        };
        let before = std::mem::take(&mut self.dropped);
        self.forgotten.retain(|_, (_, at)| now < *at + REMEMBER);
        let mut over = Vec::new();
        for item in items.all(Tables::TOLD).filter(gone) {
            let since = before.get(&item.key).copied().unwrap_or(now);
            if now <= since + FORGET {
                self.dropped.insert(item.key.clone(), since);
                continue;
            }
            if self.forgotten.len() < REMEMBERED_MOST {
                self.forgotten.insert(item.key.clone(), (item.clone(), now));
            }
            over.push(item.key.clone());
        }
        over
    }

    /// What is to be made of an item that another registry tells: itself, unless it was dropped and forgotten here. Then
    /// nothing, or, where the other holds what was before, the last word on it.
    pub fn recalled(&self, item: Arc<Item>) -> Option<Arc<Item>> {
        match self.forgotten.get(&item.key) {
            Some((last, _)) if item.version < last.version => Some(last.clone()),
            Some((last, _)) if item.version == last.version => None,
            _ => Some(item),
        }
    }
}
