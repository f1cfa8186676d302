//! A simulated cluster of stores with simulated clock, links and disks. No test sleeps.

use ivygate_config_store::{
    Command, CommandId, CommandOutcome, DurableState, Effect, MembershipStatus, PeerReply, PeerRequest,
    PeerResponse, Store,
};
use ivygate_control_state::{ConfigUpdate, Items, Table};
use ivygate_rpc::{ErrorKind, RpcError};
use ivygate_time::Timestamp;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// Defects seeded into the simulation, which the tests must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    None,
    /// Replies are sent before the disk is synced.
    RepliesBeforeSync,
    /// A store that lost its disk continues as the same member.
    KeepsIncarnationAfterDiskLoss,
    /// A store loses its tombstones when it restarts.
    LosesTombstones,
    /// A store loses its promises when it restarts, so that it takes part in lower rounds.
    LosesPromises,
}

enum Message {
    PeerRequest { from: usize, to: usize, number: u64, request: PeerRequest },
    PeerReply { from: usize, to: usize, number: u64, reply: PeerReply },
}

pub struct Cluster {
    pub now: f64,
    rng: fastrand::Rng,
    stores: Vec<Option<Store>>,
    disks: Vec<DurableState>,
    /// The time until which each store is paused.
    paused_until: Vec<f64>,
    /// Link directions on which all messages are lost.
    pub blocked_links: BTreeSet<(usize, usize)>,
    queue: BTreeMap<(u64, u64), Message>,
    sequence: u64,
    next_command: CommandId,
    pub results: BTreeMap<CommandId, Result<CommandOutcome, RpcError>>,
    next_tick_at: f64,
    defect: Defect,
    last_incarnation: u64,
    /// The number of items in the largest snapshot chunk.
    pub largest_chunk: usize,
    /// Set to place two machines in each region, with 55 ms between regions. Otherwise, latencies between any two
    /// machines are up to 60 ms.
    pub has_regions: bool,
}

pub fn ip(store: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, store as u8 + 1, 0, 5)
}

fn machine_of(ip: Ipv4Addr) -> usize {
    usize::from(ip.octets()[1]) - 1
}

fn seeds() -> Vec<Ipv4Addr> {
    vec![ip(0), ip(2), ip(4)]
}

/// An update with one service and routes, each given by its name, path prefix and timeout.
pub fn routes(version: u64, entries: &[(&str, &str, f64)]) -> Command {
    let mut all = serde_json::Map::new();
    for (name, prefix, timeout) in entries {
        let body = json!({ "vhost": "h", "pathPrefix": prefix, "kind": "idempotent", "backend": "b",
            "timeoutS": timeout, "gen": format!("r{version}") });
        all.insert((*name).to_owned(), body);
    }
    let call = json!({ "upsert": { "routes": all, "backends": { "b": { "gen": "r1" } } } });
    Command::ApplyUpdate(
        ConfigUpdate::parse(call.to_string().as_bytes()).expect("the update is valid by itself"),
    )
}

pub fn remove_route(name: &str, version: u64) -> Command {
    let call = json!({ "remove": { "routes": [{ "name": name, "gen": format!("r{version}") }] } });
    Command::ApplyUpdate(
        ConfigUpdate::parse(call.to_string().as_bytes()).expect("the update is valid by itself"),
    )
}

impl Cluster {
    /// Creates stores that start for the first time.
    pub fn new(count: usize, seed: u64, defect: Defect) -> Self {
        let mut cluster = Self {
            now: 0.0,
            rng: fastrand::Rng::with_seed(seed),
            stores: Vec::new(),
            disks: (0..count).map(|n| DurableState::new(n as u64 + 1)).collect(),
            paused_until: vec![0.0; count],
            blocked_links: BTreeSet::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            next_command: 1,
            results: BTreeMap::new(),
            next_tick_at: 0.0,
            defect,
            last_incarnation: 100,
            has_regions: false,
            largest_chunk: 0,
        };
        for n in 0..count {
            let store = Store::new(ip(n), seeds(), true, cluster.disks[n].clone(), seed ^ n as u64);
            cluster.stores.push(Some(store));
        }
        cluster
    }

    /// Creates six stores that have founded the cluster.
    pub fn founded(seed: u64, defect: Defect) -> Self {
        Self::founded_with(6, seed, defect)
    }

    /// Creates `count` stores that have founded the cluster.
    pub fn founded_with(count: usize, seed: u64, defect: Defect) -> Self {
        let mut cluster = Self::new(count, seed, defect);
        cluster.advance(4_000.0);
        assert!(
            (0..count).all(|n| cluster.status(n) == Some(MembershipStatus::Member)),
            "all stores are members"
        );
        cluster
    }

    /// Begins a planned leave of a store. Returns whether to wait for it.
    pub fn leave(&mut self, n: usize) -> bool {
        let now = self.now;
        let should_wait =
            self.stores[n].as_mut().is_some_and(|store| store.leave(Timestamp::from_millis(now)));
        self.execute_effects(n);
        should_wait
    }

    pub fn can_stop(&self, n: usize) -> bool {
        self.stores[n].as_ref().is_some_and(Store::can_stop)
    }

    /// Returns the age of a store's last certain contact with a quorum.
    pub fn contact_age_ms(&self, n: usize) -> Option<f64> {
        self.stores[n].as_ref()?.contact_age_ms(Timestamp::from_millis(self.now))
    }

    /// Returns the age that a store publishes with its state.
    pub fn state_age_ms(&self, n: usize) -> Option<f64> {
        self.stores[n].as_ref()?.state_age_ms(Timestamp::from_millis(self.now))
    }

    pub fn has_accepted(&self, n: usize) -> bool {
        self.stores[n].as_ref().is_some_and(|store| store.state().accepted.is_some())
    }

    pub fn membership(&self, n: usize) -> Option<ivygate_config_store::Membership> {
        ivygate_config_store::Membership::from_items(self.items(n))
    }

    pub fn status(&self, n: usize) -> Option<MembershipStatus> {
        self.stores[n].as_ref().map(Store::status)
    }

    pub fn items(&self, n: usize) -> &Items {
        &self.stores[n].as_ref().expect("the store runs").state().items
    }

    /// Returns the highest round that a store knows to be chosen.
    pub fn chosen(&self, n: usize) -> Option<ivygate_config_store::Ballot> {
        self.stores[n].as_ref().map(|store| store.state().chosen)
    }

    /// Returns whether a store knows a chosen round that is not saved on its disk.
    pub fn has_unsaved(&self, n: usize) -> bool {
        self.chosen(n) > Some(self.disks[n].chosen)
    }

    pub fn route_timeout(&self, n: usize, route: &str) -> Option<f64> {
        self.items(n).body(Table::Routes, route)?.get("timeoutS")?.as_f64()
    }

    pub fn kill(&mut self, n: usize) {
        self.stores[n] = None;
    }

    /// Starts a killed store from the state last saved on its disk.
    pub fn start(&mut self, n: usize) {
        if self.stores[n].is_some() {
            return;
        }
        let mut state = self.disks[n].clone();
        if self.defect == Defect::LosesTombstones {
            let tombstones: Vec<_> = state
                .items
                .all(ivygate_control_state::Tables::DURABLE)
                .filter(|i| i.body.is_none())
                .cloned()
                .collect();
            state.items.purge(&tombstones.iter().map(|item| item.key.clone()).collect::<Vec<_>>());
        }
        if self.defect == Defect::LosesPromises {
            state.promised = ivygate_config_store::Ballot::NONE;
            state.accepted = None;
        }
        let seed = self.rng.u64(..);
        self.stores[n] = Some(Store::new(ip(n), seeds(), false, state, seed));
        self.paused_until[n] = 0.0;
    }

    /// Makes a store lose its disk, and restarts it.
    pub fn wipe(&mut self, n: usize) {
        self.kill(n);
        self.last_incarnation += 1;
        let before = self.disks[n].incarnation;
        let membership = self.disks[n].items.get(Table::Membership, "core").cloned();
        self.disks[n] = DurableState::new(self.last_incarnation);
        if self.defect == Defect::KeepsIncarnationAfterDiskLoss {
            self.disks[n].incarnation = before;
            self.disks[n].items.merge_shared(membership.expect("the cluster was founded"));
        }
        self.start(n);
    }

    /// Adds a machine with an empty disk and an unknown address. Returns its index.
    pub fn add_machine(&mut self) -> usize {
        self.last_incarnation += 1;
        self.disks.push(DurableState::new(self.last_incarnation));
        self.paused_until.push(0.0);
        self.stores.push(None);
        self.start(self.stores.len() - 1);
        self.stores.len() - 1
    }

    pub fn pause(&mut self, n: usize, time: f64) {
        self.paused_until[n] = self.now + time;
    }

    pub fn isolate(&mut self, isolated: &[usize]) {
        for a in 0..self.stores.len() {
            for b in 0..self.stores.len() {
                if isolated.contains(&a) != isolated.contains(&b) {
                    self.blocked_links.insert((a, b));
                }
            }
        }
    }

    pub fn submit(&mut self, n: usize, command: Command) -> CommandId {
        let id = self.next_command;
        self.next_command += 1;
        match &mut self.stores[n] {
            Some(store) => store.submit(Timestamp::from_millis(self.now), id, command),
            None => {
                self.results.insert(id, Err(RpcError::new(ErrorKind::Unreachable, "the store does not run")));
            }
        }
        self.execute_effects(n);
        id
    }

    /// Submits a command and waits for its result.
    pub fn submit_and_wait(&mut self, n: usize, command: Command) -> Result<(), ErrorKind> {
        let id = self.submit(n, command);
        self.advance(4_000.0);
        match self.results.get(&id) {
            Some(result) => result.clone().map(drop).map_err(|error| error.kind),
            None => Err(ErrorKind::Timeout),
        }
    }

    /// Returns the items that a read command returned.
    pub fn read_result(&self, id: CommandId) -> Option<&Items> {
        match self.results.get(&id) {
            Some(Ok(CommandOutcome::Read(items))) => Some(items),
            _ => None,
        }
    }

    pub fn acknowledged(&self, id: CommandId) -> bool {
        matches!(self.results.get(&id), Some(Ok(_)))
    }

    fn execute_effects(&mut self, n: usize) {
        let Some(store) = &mut self.stores[n] else { return };
        let effects = store.take_effects();
        for effect in effects {
            match effect {
                Effect::Save => {
                    // With the defect, most saves do not reach the disk, so a power loss restores an older state.
                    if self.defect != Defect::RepliesBeforeSync || self.rng.u8(..) < 20 {
                        if let Some(store) = &self.stores[n] {
                            self.disks[n] = store.state().clone();
                        }
                    }
                }
                Effect::Send { to, number, request } => {
                    let to = machine_of(to);
                    let at = self.now + self.delay(n, to);
                    self.sequence += 1;
                    self.queue.insert(
                        ((at * 1000.0) as u64, self.sequence),
                        Message::PeerRequest { from: n, to, number, request },
                    );
                }
                Effect::Complete { command, result } => {
                    self.results.insert(command, result);
                }
            }
        }
    }

    fn delay(&mut self, from: usize, to: usize) -> f64 {
        match (self.has_regions, from / 2 == to / 2) {
            (false, _) => 1.0 + 59.0 * self.rng.f64(),
            (true, true) => 0.9 + 0.2 * self.rng.f64(),
            (true, false) => 55.0 + 2.0 * self.rng.f64(),
        }
    }

    fn is_running(&self, n: usize) -> bool {
        self.stores[n].is_some() && self.now >= self.paused_until[n]
    }

    /// Advances the simulated time.
    pub fn advance(&mut self, time: f64) {
        let end = self.now + time;
        loop {
            let next = self.queue.keys().next().map_or(f64::INFINITY, |(at, _)| *at as f64 / 1000.0);
            if next.min(self.next_tick_at) > end {
                break;
            }
            if self.next_tick_at <= next {
                self.now = self.now.max(self.next_tick_at);
                self.next_tick_at += 50.0;
                for n in 0..self.stores.len() {
                    if self.is_running(n) {
                        let now = self.now;
                        if let Some(store) = &mut self.stores[n] {
                            store.tick(Timestamp::from_millis(now));
                        }
                        self.execute_effects(n);
                    }
                }
                continue;
            }
            self.now = self.now.max(next);
            let Some((_, message)) = self.queue.pop_first() else { break };
            self.deliver(message);
        }
        self.now = end;
    }

    fn deliver(&mut self, message: Message) {
        let (from, to) = match &message {
            Message::PeerRequest { from, to, .. } | Message::PeerReply { from, to, .. } => (*from, *to),
        };
        if self.blocked_links.contains(&(from, to)) || self.stores.get(to).is_none_or(Option::is_none) {
            return;
        }
        if !self.is_running(to) {
            // Messages to a paused store wait until it resumes.
            self.sequence += 1;
            self.queue.insert(((self.paused_until[to] * 1000.0) as u64 + 1, self.sequence), message);
            return;
        }
        let now = self.now;
        let Some(store) = &mut self.stores[to] else { return };
        match message {
            Message::PeerRequest { number, request, .. } => {
                let reply = store.handle_request(Timestamp::from_millis(now), ip(from), request);
                if let PeerResponse::SnapshotChunk { items, .. } = &reply.response {
                    self.largest_chunk = self.largest_chunk.max(items.len());
                }
                self.execute_effects(to);
                let at = self.now + self.delay(from, to);
                self.sequence += 1;
                let reply = Message::PeerReply { from: to, to: from, number, reply };
                self.queue.insert(((at * 1000.0) as u64, self.sequence), reply);
            }
            Message::PeerReply { number, reply, .. } => {
                store.handle_response(Timestamp::from_millis(now), number, Some(reply));
                self.execute_effects(to);
            }
        }
    }
}
