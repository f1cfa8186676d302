//! A fleet of stores in memory: their clock, the links between them and their disks. Nothing sleeps.

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

/// What the fleet does wrong on purpose, for its judge to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    None,
    /// Answers go out before the disk is synced.
    AnswersBeforeTheSync,
    /// A store whose disk was lost takes part at once.
    TakesPartAfterALostDisk,
    /// What was dropped is forgotten when a store starts again.
    ForgetsWhatWasDropped,
    /// Promises are forgotten when a store starts again: it takes part in rounds below.
    ForgetsPromises,
}

enum Message {
    PeerRequest { from: usize, to: usize, number: u64, ask: PeerRequest },
    PeerReply { from: usize, to: usize, number: u64, reply: PeerReply },
}

pub struct World {
    pub now: f64,
    rng: fastrand::Rng,
    stores: Vec<Option<Store>>,
    disks: Vec<DurableState>,
    /// Until when each stands still.
    frozen: Vec<f64>,
    /// Directions in which nothing passes.
    pub cut: BTreeSet<(usize, usize)>,
    queue: BTreeMap<(u64, u64), Message>,
    order: u64,
    next_call: CommandId,
    pub answers: BTreeMap<CommandId, Result<CommandOutcome, RpcError>>,
    tick_at: f64,
    defect: Defect,
    lives: u64,
    /// Most items in a part of what one lacked.
    pub largest: usize,
    /// Two machines a region, and 55 ms between regions; else up to 60 ms between any two.
    pub regions: bool,
}

pub fn ip(store: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, store as u8 + 1, 0, 5)
}

fn number_of(ip: Ipv4Addr) -> usize {
    usize::from(ip.octets()[1]) - 1
}

fn seeds() -> Vec<Ipv4Addr> {
    vec![ip(0), ip(2), ip(4)]
}

/// A call with one service and routes at places, each with a service of its own where named.
pub fn routes(version: u64, list: &[(&str, &str, f64)]) -> Command {
    let mut all = serde_json::Map::new();
    for (name, prefix, timeout) in list {
        let body = json!({ "vhost": "h", "pathPrefix": prefix, "kind": "idempotent", "backend": "b",
            "timeoutS": timeout, "gen": format!("r{version}") });
        all.insert((*name).to_owned(), body);
    }
    let call = json!({ "upsert": { "routes": all, "backends": { "b": { "gen": "r1" } } } });
    Command::ApplyUpdate(ConfigUpdate::parse(call.to_string().as_bytes()).expect("it is sound by itself"))
}

pub fn drop_route(name: &str, version: u64) -> Command {
    let call = json!({ "remove": { "routes": [{ "name": name, "gen": format!("r{version}") }] } });
    Command::ApplyUpdate(ConfigUpdate::parse(call.to_string().as_bytes()).expect("it is sound by itself"))
}

impl World {
    /// Stores that start for the first time.
    pub fn new(count: usize, seed: u64, defect: Defect) -> Self {
        let mut world = Self {
            now: 0.0,
            rng: fastrand::Rng::with_seed(seed),
            stores: Vec::new(),
            disks: (0..count).map(|n| DurableState::new(n as u64 + 1)).collect(),
            frozen: vec![0.0; count],
            cut: BTreeSet::new(),
            queue: BTreeMap::new(),
            order: 0,
            next_call: 1,
            answers: BTreeMap::new(),
            tick_at: 0.0,
            defect,
            lives: 100,
            regions: false,
            largest: 0,
        };
        for n in 0..count {
            let store = Store::new(ip(n), seeds(), true, world.disks[n].clone(), seed ^ n as u64);
            world.stores.push(Some(store));
        }
        world
    }

    /// Stores that have founded their group.
    pub fn founded(seed: u64, defect: Defect) -> Self {
        Self::founded_of(6, seed, defect)
    }

    /// So many of them.
    pub fn founded_of(count: usize, seed: u64, defect: Defect) -> Self {
        let mut world = Self::new(count, seed, defect);
        world.pass(4_000.0);
        assert!((0..count).all(|n| world.standing(n) == Some(MembershipStatus::Member)), "all are members");
        world
    }

    /// A store is told that it is about to end; tells whether it wants to be waited for.
    pub fn leave(&mut self, n: usize) -> bool {
        let now = self.now;
        let waits = self.stores[n].as_mut().is_some_and(|store| store.leave(Timestamp::from_millis(now)));
        self.carry_out(n);
        waits
    }

    pub fn is_relieved(&self, n: usize) -> bool {
        self.stores[n].as_ref().is_some_and(Store::can_stop)
    }

    /// How long ago a store surely had contact with more than half of the group.
    pub fn contact(&self, n: usize) -> Option<f64> {
        self.stores[n].as_ref()?.contact_age_ms(Timestamp::from_millis(self.now))
    }

    pub fn has_accepted(&self, n: usize) -> bool {
        self.stores[n].as_ref().is_some_and(|store| store.state().accepted.is_some())
    }

    pub fn group(&self, n: usize) -> Option<ivygate_config_store::Membership> {
        ivygate_config_store::Membership::from_items(self.items(n))
    }

    pub fn standing(&self, n: usize) -> Option<MembershipStatus> {
        self.stores[n].as_ref().map(Store::status)
    }

    pub fn items(&self, n: usize) -> &Items {
        &self.stores[n].as_ref().expect("it runs").state().items
    }

    /// The highest round that a store knows to be chosen.
    pub fn chosen(&self, n: usize) -> Option<ivygate_config_store::Ballot> {
        self.stores[n].as_ref().map(|store| store.state().chosen)
    }

    /// Whether a store knows of a round that its disk does not.
    pub fn has_unsaved(&self, n: usize) -> bool {
        self.chosen(n) > Some(self.disks[n].chosen)
    }

    pub fn timeout_of(&self, n: usize, route: &str) -> Option<f64> {
        self.items(n).body(Table::Routes, route)?.get("timeoutS")?.as_f64()
    }

    pub fn kill(&mut self, n: usize) {
        self.stores[n] = None;
    }

    /// A store that was killed starts with what its disk held when it lost power.
    pub fn start(&mut self, n: usize) {
        if self.stores[n].is_some() {
            return;
        }
        let mut kept = self.disks[n].clone();
        if self.defect == Defect::ForgetsWhatWasDropped {
            let dropped: Vec<_> = kept
                .items
                .all(ivygate_control_state::Tables::DURABLE)
                .filter(|i| i.body.is_none())
                .cloned()
                .collect();
            kept.items.purge(&dropped.iter().map(|item| item.key.clone()).collect::<Vec<_>>());
        }
        if self.defect == Defect::ForgetsPromises {
            kept.promised = ivygate_config_store::Ballot::NONE;
            kept.accepted = None;
        }
        let seed = self.rng.u64(..);
        self.stores[n] = Some(Store::new(ip(n), seeds(), false, kept, seed));
        self.frozen[n] = 0.0;
    }

    /// A store loses its disk and starts again.
    pub fn wipe(&mut self, n: usize) {
        self.kill(n);
        self.lives += 1;
        let before = self.disks[n].incarnation;
        let group = self.disks[n].items.get(Table::Membership, "core").cloned();
        self.disks[n] = DurableState::new(self.lives);
        if self.defect == Defect::TakesPartAfterALostDisk {
            self.disks[n].incarnation = before;
            self.disks[n].items.merge_shared(group.expect("it was founded"));
        }
        self.start(n);
    }

    /// A machine with an empty disk at an address that nobody knows; gives its number.
    pub fn add(&mut self) -> usize {
        self.lives += 1;
        self.disks.push(DurableState::new(self.lives));
        self.frozen.push(0.0);
        self.stores.push(None);
        self.start(self.stores.len() - 1);
        self.stores.len() - 1
    }

    pub fn freeze(&mut self, n: usize, time: f64) {
        self.frozen[n] = self.now + time;
    }

    pub fn cut_off(&mut self, side: &[usize]) {
        for a in 0..self.stores.len() {
            for b in 0..self.stores.len() {
                if side.contains(&a) != side.contains(&b) {
                    self.cut.insert((a, b));
                }
            }
        }
    }

    pub fn call(&mut self, n: usize, change: Command) -> CommandId {
        let id = self.next_call;
        self.next_call += 1;
        match &mut self.stores[n] {
            Some(store) => store.submit(Timestamp::from_millis(self.now), id, change),
            None => {
                self.answers.insert(id, Err(RpcError::new(ErrorKind::Unreachable, "it does not run")));
            }
        }
        self.carry_out(n);
        id
    }

    /// Makes a call and waits for its answer.
    pub fn answer(&mut self, n: usize, change: Command) -> Result<(), ErrorKind> {
        let id = self.call(n, change);
        self.pass(4_000.0);
        match self.answers.get(&id) {
            Some(answer) => answer.clone().map(drop).map_err(|fault| fault.kind),
            None => Err(ErrorKind::Timeout),
        }
    }

    /// What a reading was answered with.
    pub fn read(&self, id: CommandId) -> Option<&Items> {
        match self.answers.get(&id) {
            Some(Ok(CommandOutcome::Read(items))) => Some(items),
            _ => None,
        }
    }

    pub fn acknowledged(&self, id: CommandId) -> bool {
        matches!(self.answers.get(&id), Some(Ok(_)))
    }

    fn carry_out(&mut self, n: usize) {
        let Some(store) = &mut self.stores[n] else { return };
        let outputs = store.take_effects();
        for output in outputs {
            match output {
                Effect::Save => {
                    // With the defect a loss of power takes all but what was written some time ago.
                    if self.defect != Defect::AnswersBeforeTheSync || self.rng.u8(..) < 20 {
                        if let Some(store) = &self.stores[n] {
                            self.disks[n] = store.state().clone();
                        }
                    }
                }
                Effect::Send { to, number, request: ask } => {
                    let to = number_of(to);
                    let at = self.now + self.delay(n, to);
                    self.order += 1;
                    self.queue.insert(
                        ((at * 1000.0) as u64, self.order),
                        Message::PeerRequest { from: n, to, number, ask },
                    );
                }
                Effect::Complete { command: call, result } => {
                    self.answers.insert(call, result);
                }
            }
        }
    }

    fn delay(&mut self, from: usize, to: usize) -> f64 {
        match (self.regions, from / 2 == to / 2) {
            (false, _) => 1.0 + 59.0 * self.rng.f64(),
            (true, true) => 0.9 + 0.2 * self.rng.f64(),
            (true, false) => 55.0 + 2.0 * self.rng.f64(),
        }
    }

    fn runs(&self, n: usize) -> bool {
        self.stores[n].is_some() && self.now >= self.frozen[n]
    }

    /// Lets time pass.
    pub fn pass(&mut self, time: f64) {
        let end = self.now + time;
        loop {
            let next = self.queue.keys().next().map_or(f64::INFINITY, |(at, _)| *at as f64 / 1000.0);
            if next.min(self.tick_at) > end {
                break;
            }
            if self.tick_at <= next {
                self.now = self.now.max(self.tick_at);
                self.tick_at += 50.0;
                for n in 0..self.stores.len() {
                    if self.runs(n) {
                        let now = self.now;
                        if let Some(store) = &mut self.stores[n] {
                            store.tick(Timestamp::from_millis(now));
                        }
                        self.carry_out(n);
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
        if self.cut.contains(&(from, to)) || self.stores.get(to).is_none_or(Option::is_none) {
            return;
        }
        if !self.runs(to) {
            // What comes to one that stands still waits.
            self.order += 1;
            self.queue.insert(((self.frozen[to] * 1000.0) as u64 + 1, self.order), message);
            return;
        }
        let now = self.now;
        let Some(store) = &mut self.stores[to] else { return };
        match message {
            Message::PeerRequest { number, ask, .. } => {
                let reply = store.handle_request(Timestamp::from_millis(now), ip(from), ask);
                if let PeerResponse::SnapshotChunk { items, .. } = &reply.response {
                    self.largest = self.largest.max(items.len());
                }
                self.carry_out(to);
                let at = self.now + self.delay(from, to);
                self.order += 1;
                let reply = Message::PeerReply { from: to, to: from, number, reply };
                self.queue.insert(((at * 1000.0) as u64, self.order), reply);
            }
            Message::PeerReply { number, reply, .. } => {
                store.handle_response(Timestamp::from_millis(now), number, Some(reply));
                self.carry_out(to);
            }
        }
    }
}
