//! Seeded simulation of registries and proxies with virtual time. Machines pause, restart and are partitioned, messages arrive
//! late or after a partition, and the coordinator role moves between registries. The simulation checks these rules:
//!
//! - Only one registry writes under an epoch, and only in the incarnation to which the epoch was granted.
//! - Rows of the platform's server list are written only if they were true within the last two seconds. No replica of a healthy
//!   machine shows a draining server as ready, or a removed one as present, for long.
//! - No healthy node is declared lost. A node that was unhealthy when it was declared lost, and has recovered since, is known as
//!   up again within two seconds after the declaration arrives.
//! - Soon after the last fault all machines know all nodes, one registry holds the role, and every replica matches the
//!   platform's server list.

use fastrand::Rng;
use fnv::FnvHasher;
use ivygate_cluster::{HeartbeatTargets, Node, Role};
use ivygate_control_state::{Item, Items, Table, Tables, COORDINATOR_ROLE};
use ivygate_registry::{
    HeartbeatRequest, HeartbeatResponse, Registry, ServerListFetch, ServerListPage, ServerRow,
    WATCHERS_PER_NODE,
};
use ivygate_time::Timestamp;
use serde_json::json;
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::Ipv4Addr;
use std::sync::Arc;

const REGISTRIES: usize = 5;
const PROXIES: usize = 4;
const MACHINES: usize = REGISTRIES + PROXIES;
const STEP_MS: f64 = 100.0;
/// Time until which faults are injected, in milliseconds.
const FAULTS_UNTIL: f64 = 150_000.0;
/// Time after the end of the last fault within which the system recovers, in milliseconds.
const RECOVERY_TIME: f64 = 10_000.0;
/// Time without faults after which a machine may no longer be declared lost, in milliseconds.
const HEALTHY_AFTER: f64 = 4_000.0;
/// Time without faults after which all machines know that a machine is healthy, in milliseconds.
const KNOWN_HEALTHY_AFTER: f64 = 8_000.0;
const SIMULATIONS: u64 = 25;

/// Rule that is disabled, to check that the simulation detects its absence.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DisabledRule {
    None,
    /// The rows are written whenever the fetch ends, even if they are stale.
    FetchFreshness,
    /// An acquisition returns the epoch at the time of the response instead of the one granted by the call.
    EpochOfCall,
    /// A registry always considers itself in contact with the store.
    ContactAge,
}

fn ip(machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, machine as u8 + 1)
}

fn node(machine: usize) -> Node {
    let role = if machine < REGISTRIES { Role::Registry } else { Role::Proxy };
    let (zone, region) = ("r1".to_owned(), "r".to_owned());
    Node { ip: ip(machine), role, zone, region, http: None, ready: true, leaving: false, lost: false }
}

/// Returns the state of a server according to its item: 0 ready, 1 draining, 2 removed.
fn state(item: &Item) -> u8 {
    item.body.as_ref().map_or(2, |body| u8::from(body["draining"] == json!(true)))
}

fn has(items: &Items, item: &Item) -> bool {
    items.get(item.key.table, &item.key.name).is_some_and(|held| **held == *item)
}

/// State of a machine and of the faults that affect it.
struct Machine {
    incarnation: u64,
    items: Items,
    /// Version of its own item.
    version: u64,
    down_until: f64,
    paused_until: f64,
    partitioned_until: f64,
    heartbeat_at: f64,
    heartbeat_targets: HeartbeatTargets,
    /// Used only by registries, like the fields below.
    registry: Registry,
    contact_at: f64,
    compare_at: f64,
    fetch_at: f64,
    fetch: Option<(ServerListFetch, Vec<ServerRow>)>,
}

impl Machine {
    fn new(machine: usize, incarnation: u64) -> Self {
        Self {
            incarnation,
            items: Items::default(),
            version: 1,
            down_until: 0.0,
            paused_until: 0.0,
            partitioned_until: 0.0,
            heartbeat_at: 0.0,
            heartbeat_targets: HeartbeatTargets::new((0..3).map(ip).collect()),
            registry: Registry::new(ip(machine)),
            contact_at: f64::NEG_INFINITY,
            compare_at: 0.0,
            fetch_at: 0.0,
            fetch: None,
        }
    }

    fn faulty_until(&self) -> f64 {
        self.down_until.max(self.paused_until).max(self.partitioned_until)
    }
}

#[derive(Clone)]
enum Message {
    HeartbeatRequest { sent_at: f64, heartbeat: HeartbeatRequest },
    HeartbeatResponse { sent_at: f64, response: HeartbeatResponse },
    AntiEntropyRequest { items: Vec<Arc<Item>>, digest: Option<u64> },
    AntiEntropyResponse { items: Vec<Arc<Item>> },
    AcquireRequest { sent_at: f64 },
    AcquireResponse { sent_at: f64, epoch: u64 },
    PullRequest,
    PullResponse { items: Vec<Arc<Item>> },
}

impl Message {
    fn wire_format(&self) -> String {
        let text = match self {
            Message::HeartbeatRequest { heartbeat, .. } => serde_json::to_string(heartbeat),
            Message::HeartbeatResponse { response, .. } => serde_json::to_string(response),
            Message::AntiEntropyRequest { items, digest } => serde_json::to_string(&(items, digest)),
            Message::AntiEntropyResponse { items } | Message::PullResponse { items } => {
                serde_json::to_string(items)
            }
            Message::AcquireRequest { sent_at } => serde_json::to_string(sent_at),
            Message::AcquireResponse { sent_at, epoch } => serde_json::to_string(&(sent_at, epoch)),
            Message::PullRequest => Ok("pull".to_owned()),
        };
        text.expect("message serializes")
    }
}

struct Envelope {
    at: f64,
    from: usize,
    to: usize,
    /// Incarnation of the receiver, if the message is a response.
    incarnation: Option<u64>,
    message: Message,
}

struct Simulation {
    rng: Rng,
    disabled: DisabledRule,
    now: f64,
    machines: Vec<Machine>,
    in_flight: Vec<Envelope>,
    /// Current epoch of the role in the store, and the machine and incarnation to which each epoch was granted.
    epoch: u64,
    granted: BTreeMap<u64, (usize, u64)>,
    /// State of each server: 0 ready, 1 draining, 2 removed.
    servers: Vec<u8>,
    /// Time at which each server entered each state.
    since: Vec<[f64; 3]>,
    /// Time since which a healthy registry holds the role.
    role_held_since: f64,
    /// Time since which the replica of a healthy machine shows a healthy machine as lost, by both machines.
    lost_since: BTreeMap<(usize, usize), f64>,
    /// Time since which the replica of a healthy machine shows an outdated server, by machine and server.
    outdated_since: BTreeMap<(usize, String), f64>,
    written: u64,
    violation: Option<String>,
    /// Digest of all messages in wire format.
    digest: FnvHasher,
}

impl Simulation {
    fn new(seed: u64, disabled: DisabledRule) -> Self {
        Self {
            rng: Rng::with_seed(seed),
            disabled,
            now: 0.0,
            machines: (0..MACHINES).map(|n| Machine::new(n, n as u64)).collect(),
            in_flight: Vec::new(),
            epoch: 0,
            granted: BTreeMap::new(),
            servers: vec![0; 4],
            since: vec![[0.0, f64::INFINITY, f64::INFINITY]; 4],
            role_held_since: f64::INFINITY,
            lost_since: BTreeMap::new(),
            outdated_since: BTreeMap::new(),
            written: 0,
            violation: None,
            digest: FnvHasher::default(),
        }
    }

    fn report_violation(&mut self, violation: String) {
        let now = self.now;
        self.violation.get_or_insert_with(|| format!("at {now}: {violation}"));
    }

    fn rows(&self) -> Vec<ServerRow> {
        let rows: Vec<String> = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, state)| **state < 2)
            .map(|(n, state)| {
                let state = ["ready", "draining"][usize::from(*state)];
                format!(r#"["b","10.9.0.1:80","r1",2,"{state}","i-{n}"]"#)
            })
            .collect();
        let cols = r#"["backend","address","az","capacity","state","id"]"#;
        let text =
            format!(r#"{{"instances":{{"cols":{cols},"rows":[{}]}},"nextCursor":null}}"#, rows.join(","));
        serde_json::from_str::<ServerListPage>(&text).expect("page parses").rows()
    }

    fn inject_faults(&mut self) {
        let n = self.rng.usize(..MACHINES);
        // A shorter fault looks like two lost heartbeats and a late third one, for which a node may be declared lost for one
        // heartbeat interval.
        let until = self.now + 1_600.0 + 25_000.0 * self.rng.f64().powi(2);
        let long_until = self.now + 100_000.0;
        // Fewer than half of the registries are faulty at a time, and any number of proxies.
        let faulty = self.machines[..REGISTRIES].iter().filter(|m| m.faulty_until() > self.now).count();
        if n < REGISTRIES && faulty >= REGISTRIES / 2 {
            return;
        }
        let machine = &mut self.machines[n];
        if machine.faulty_until() > self.now {
            return;
        }
        // Faults during a fetch are the most harmful, so they are more frequent.
        let fault_range = if machine.fetch.is_some() { 60 } else { 400 };
        match self.rng.u32(..fault_range) {
            0..=2 => machine.paused_until = until,
            3..=5 => machine.partitioned_until = until,
            6 => machine.partitioned_until = long_until.min(FAULTS_UNTIL),
            7..=8 => {
                let incarnation = machine.incarnation + 100;
                *machine = Machine::new(n, incarnation);
                machine.down_until = until;
                machine.contact_at = f64::NEG_INFINITY;
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: usize, incarnation: Option<u64>, message: Message) {
        let max_delay_ms = if self.rng.u8(..30) == 0 { 300.0 } else { 60.0 };
        let at = self.now + 5.0 + max_delay_ms * self.rng.f64();
        self.digest.write(format!("{at:.3} {from} {to} {}\n", message.wire_format()).as_bytes());
        self.in_flight.push(Envelope { at, from, to, incarnation, message });
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        if now < FAULTS_UNTIL {
            self.inject_faults();
            if self.rng.u8(..25) == 0 {
                let server = self.rng.usize(..self.servers.len());
                if self.servers[server] < 2 {
                    self.servers[server] += 1;
                    self.since[server][usize::from(self.servers[server])] = now;
                }
            }
            if self.rng.u8(..40) == 0 {
                self.servers.push(0);
                self.since.push([now, f64::INFINITY, f64::INFINITY]);
            }
        }
        let is_healthy = |m: &Machine| m.faulty_until() <= now;
        let has_quorum =
            self.machines[..REGISTRIES].iter().filter(|m| is_healthy(m)).count() > REGISTRIES / 2;
        for n in 0..MACHINES {
            if self.machines[n].down_until > now || self.machines[n].paused_until > now {
                continue;
            }
            if n < REGISTRIES {
                // Contact with the store updates the knowledge of the role.
                if has_quorum && self.machines[n].partitioned_until <= now && self.rng.u8(..6) == 0 {
                    self.machines[n].contact_at = now;
                    self.update_role(n);
                }
                self.step_registry(n);
            } else {
                // A proxy pulls from one registry after the other, every 600 ms.
                let step_number = (now / STEP_MS) as usize + n;
                if step_number % 6 == 0 {
                    self.send(n, step_number / 6 % REGISTRIES, None, Message::PullRequest);
                }
            }
            self.heartbeat(n);
        }
        self.deliver();
        if (now / STEP_MS) as u64 % 5 == 0 {
            self.check();
        }
    }

    fn update_role(&mut self, n: usize) {
        if let Some((holder, _)) = self.granted.get(&self.epoch) {
            let body = Some(json!({ "holder": ip(*holder) }));
            self.machines[n].items.merge(Item::new(
                Table::SingletonRoles,
                COORDINATOR_ROLE,
                self.epoch,
                body,
            ));
        }
    }

    fn publish(&mut self, n: usize, changes: Vec<Item>) {
        let machine = &mut self.machines[n];
        let changes: Vec<Arc<Item>> = changes
            .into_iter()
            .map(Arc::new)
            .filter(|item| machine.items.merge_shared(item.clone()))
            .collect();
        if changes.is_empty() {
            return;
        }
        for to in (0..REGISTRIES).filter(|to| *to != n) {
            self.send(n, to, None, Message::AntiEntropyRequest { items: changes.clone(), digest: None });
        }
    }

    fn heartbeat(&mut self, n: usize) {
        let now = self.now;
        let machine = &mut self.machines[n];
        let own = machine.items.version(Table::Nodes, &node(n).name());
        if own > machine.version {
            machine.version = own + 1;
            machine.heartbeat_at = now;
            machine.registry.record_declared_lost(Timestamp::from_millis(now));
        }
        if now < machine.heartbeat_at {
            return;
        }
        machine.heartbeat_at = now + 600.0;
        let item = node(n).to_item(machine.version);
        let to: Vec<Ipv4Addr> = if n < REGISTRIES {
            let up = machine.registry.live_registries(&machine.items);
            let seeds = || (0..3).map(ip).filter(|ip| *ip != node(n).ip).collect();
            if up.len() > WATCHERS_PER_NODE {
                node(n).watchers(&up, WATCHERS_PER_NODE)
            } else {
                seeds()
            }
        } else {
            machine.heartbeat_targets.targets(Timestamp::from_millis(now), &node(n), WATCHERS_PER_NODE)
        };
        if n < REGISTRIES {
            self.publish(n, vec![item.clone()]);
        }
        for to in to {
            let to = usize::from(to.octets()[3]) - 1;
            self.send(
                n,
                to,
                None,
                Message::HeartbeatRequest {
                    sent_at: now,
                    heartbeat: HeartbeatRequest { entry: item.clone() },
                },
            );
        }
    }

    fn step_registry(&mut self, n: usize) {
        let now = self.now;
        let ignores_contact_age = self.disabled == DisabledRule::ContactAge;
        let machine = &mut self.machines[n];
        let age = if ignores_contact_age { 0.0 } else { now - machine.contact_at };
        let changes = machine.registry.tick(Timestamp::from_millis(now), age, &machine.items);
        for node in changes.iter().filter_map(|item| Node::from_body(item.body.as_ref()?)) {
            let other = usize::from(node.ip.octets()[3]) - 1;
            if now > self.machines[other].faulty_until() + HEALTHY_AFTER {
                self.report_violation(format!("{n} declares healthy machine {other} lost"));
            }
        }
        let machine = &mut self.machines[n];
        let purgeable = machine.registry.purgeable_keys(Timestamp::from_millis(now), &machine.items);
        machine.items.purge(&purgeable);
        let store_members: Vec<Ipv4Addr> = (0..REGISTRIES).map(ip).collect();
        let should_acquire =
            machine.registry.should_acquire_role(Timestamp::from_millis(now), &machine.items, &store_members);
        self.publish(n, changes);
        if should_acquire {
            // The acquisition may be slow at any store.
            self.send(n, n, None, Message::AcquireRequest { sent_at: now });
        }
        self.step_fetch(n);
        let machine = &mut self.machines[n];
        if now >= machine.compare_at {
            machine.compare_at = now + 800.0 + 400.0 * self.rng.f64();
            let digest = Some(machine.items.digest(Tables::SOFT));
            let to = (n + self.rng.usize(1..REGISTRIES)) % REGISTRIES;
            self.send(n, to, None, Message::AntiEntropyRequest { items: Vec::new(), digest });
        }
    }

    /// Performs one of the three steps of a fetch of the server list.
    fn step_fetch(&mut self, n: usize) {
        let now = self.now;
        let rows = if self.machines[n].fetch.is_some() { self.rows() } else { Vec::new() };
        let is_partitioned = self.machines[n].partitioned_until > now && self.rng.bool();
        let machine = &mut self.machines[n];
        match machine.fetch.take() {
            None if now >= machine.fetch_at && machine.registry.holds_role(&machine.items) => {
                machine.fetch = Some((
                    ServerListFetch::new(
                        Timestamp::from_millis(now),
                        machine.registry.epoch(),
                        machine.items.last_change(),
                    ),
                    Vec::new(),
                ));
            }
            None => {}
            Some((mut fetch, fetched_rows)) if fetched_rows.is_empty() && !is_partitioned => {
                fetch.add_page(Timestamp::from_millis(now), rows.clone());
                machine.fetch = Some((fetch, rows));
            }
            Some((mut fetch, fetched_rows)) if !is_partitioned => {
                machine.fetch_at = now + 300.0;
                if self.disabled == DisabledRule::FetchFreshness {
                    fetch = ServerListFetch::new(
                        Timestamp::from_millis(now),
                        machine.registry.epoch(),
                        machine.items.last_change(),
                    );
                    fetch.add_page(Timestamp::from_millis(now), fetched_rows);
                }
                let changes =
                    machine.registry.apply_server_list(Timestamp::from_millis(now), &machine.items, fetch);
                if !changes.is_empty() {
                    let (epoch, incarnation) = (machine.registry.epoch(), machine.incarnation);
                    self.written += 1;
                    if self.granted.get(&epoch) != Some(&(n, incarnation)) {
                        self.report_violation(format!(
                            "registry {n} writes under epoch {epoch}, which was not granted to it"
                        ));
                    }
                }
                for item in &changes {
                    let (state, server) = (state(item), &item.key.name[2..]);
                    let since = self.since[server.parse::<usize>().expect("server number")];
                    let state_ended_at = since.get(usize::from(state) + 1).copied().unwrap_or(f64::INFINITY);
                    if now > state_ended_at + 2_000.0 {
                        self.report_violation(format!(
                            "registry {n} writes outdated state {state} of {}",
                            item.key.name
                        ));
                    }
                }
                self.publish(n, changes);
            }
            Some(_) => machine.fetch_at = now + 300.0,
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        let mut rest = Vec::new();
        for mut envelope in std::mem::take(&mut self.in_flight) {
            let to = &self.machines[envelope.to];
            let partitioned_until = self.machines[envelope.from].partitioned_until.max(to.partitioned_until);
            if envelope.at > now || to.paused_until > now {
                rest.push(envelope);
            } else if to.down_until > now
                || envelope.incarnation.is_some_and(|incarnation| incarnation != to.incarnation)
            {
                // The message is lost.
            } else if partitioned_until > now && envelope.from != envelope.to {
                // Some messages arrive after the end of the partition.
                if self.rng.u8(..4) == 0 {
                    envelope.at = partitioned_until + 200.0;
                    rest.push(envelope);
                }
            } else {
                due.push(envelope);
            }
        }
        self.in_flight = rest;
        self.rng.shuffle(&mut due);
        for envelope in due {
            self.handle_message(envelope);
        }
    }

    fn handle_message(&mut self, envelope: Envelope) {
        let now = self.now;
        let Envelope { from, to, message, .. } = envelope;
        let sender_incarnation = Some(self.machines[from].incarnation);
        match message {
            Message::HeartbeatRequest { sent_at, heartbeat } => {
                let machine = &mut self.machines[to];
                let (changes, response) =
                    machine.registry.handle_heartbeat(Timestamp::from_millis(now), &machine.items, heartbeat);
                self.publish(to, changes.into_iter().collect());
                self.send(to, from, sender_incarnation, Message::HeartbeatResponse { sent_at, response });
            }
            Message::HeartbeatResponse { sent_at, response } => {
                let machine = &mut self.machines[to];
                if response.version > machine.version {
                    machine.version = response.version + 1;
                    machine.heartbeat_at = now;
                    machine.registry.record_declared_lost(Timestamp::from_millis(now));
                }
                machine
                    .heartbeat_targets
                    .handle_response(Timestamp::from_millis(sent_at), response.registries);
            }
            Message::AntiEntropyRequest { items, digest } => {
                let machine = &mut self.machines[to];
                let differs = digest.is_some_and(|digest| digest != machine.items.digest(Tables::SOFT));
                self.merge_received(to, items);
                if differs {
                    let items = self.machines[to].items.all(Tables::SOFT).cloned().collect();
                    self.send(to, from, sender_incarnation, Message::AntiEntropyResponse { items });
                }
            }
            Message::AntiEntropyResponse { items } => {
                let mut replica = Items::default();
                items.iter().for_each(|item| {
                    replica.merge_shared(item.clone());
                });
                let missing = self.machines[to].items.missing_from(&replica, Tables::SOFT);
                self.merge_received(to, items);
                self.send(
                    to,
                    from,
                    sender_incarnation,
                    Message::AntiEntropyRequest { items: missing, digest: None },
                );
            }
            Message::AcquireRequest { sent_at } => {
                let has_contact = self.machines[to].partitioned_until <= now
                    && self.machines[to].contact_at > now - 2_000.0;
                if !has_contact {
                    return;
                }
                self.epoch += 1;
                self.granted.insert(self.epoch, (to, self.machines[to].incarnation));
                let (epoch, incarnation) = (self.epoch, Some(self.machines[to].incarnation));
                // The response may be lost or late.
                let with_faults = now < FAULTS_UNTIL;
                if !with_faults || self.rng.u8(..10) > 0 {
                    self.send(to, to, incarnation, Message::AcquireResponse { sent_at, epoch });
                    if let Some(envelope) =
                        self.in_flight.last_mut().filter(|_| with_faults && self.rng.u8(..3) == 0)
                    {
                        envelope.at += 6_000.0 * self.rng.f64();
                    }
                }
            }
            Message::AcquireResponse { sent_at, epoch } => {
                let epoch = if self.disabled == DisabledRule::EpochOfCall { self.epoch } else { epoch };
                self.machines[to].registry.handle_role_acquired(
                    Timestamp::from_millis(sent_at),
                    Timestamp::from_millis(now),
                    epoch,
                );
            }
            Message::PullRequest => {
                let items = self.machines[to].items.all(Tables::SOFT).cloned().collect();
                self.send(to, from, sender_incarnation, Message::PullResponse { items });
            }
            Message::PullResponse { items } => {
                let machine = &mut self.machines[to];
                for item in items {
                    if !has(&machine.items, &item) {
                        machine.items.merge_shared(item);
                    }
                }
            }
        }
    }

    fn merge_received(&mut self, n: usize, items: Vec<Arc<Item>>) {
        let machine = &mut self.machines[n];
        for item in items {
            if let Some(item) =
                machine.registry.filter_received(item).filter(|item| !has(&machine.items, item))
            {
                machine.items.merge_shared(item);
            }
        }
    }

    fn check(&mut self) {
        let now = self.now;
        let mut violation = None;
        let is_healthy: Vec<bool> = self
            .machines
            .iter()
            .map(|m| now > 5_000.0 && now > m.faulty_until() + KNOWN_HEALTHY_AFTER)
            .collect();
        for n in (0..REGISTRIES).filter(|n| is_healthy[*n]) {
            for other in (0..MACHINES).filter(|other| is_healthy[*other]) {
                let body = self.machines[n].items.body(Table::Nodes, &node(other).name());
                if body.and_then(Node::from_body).is_none_or(|node| node.lost) {
                    if now > *self.lost_since.entry((n, other)).or_insert(now) + 2_000.0 {
                        violation = Some(format!("{n} shows {other} as lost, and both are healthy"));
                    }
                } else {
                    self.lost_since.remove(&(n, other));
                }
            }
        }
        let holds = |n: usize| is_healthy[n] && self.machines[n].registry.holds_role(&self.machines[n].items);
        if !(0..REGISTRIES).any(holds) {
            self.role_held_since = f64::INFINITY;
        } else if self.role_held_since.is_infinite() {
            self.role_held_since = now;
        }
        if now <= self.role_held_since + KNOWN_HEALTHY_AFTER {
            self.outdated_since.clear();
        } else {
            for n in (0..MACHINES).filter(|n| is_healthy[*n]) {
                for item in self.machines[n].items.all(Tables::SERVERS) {
                    let since = self.since[item.key.name[2..].parse::<usize>().expect("server number")];
                    let state_ended_at =
                        since.get(usize::from(state(item)) + 1).copied().unwrap_or(f64::INFINITY);
                    // Outdated items from a machine that has recovered are corrected by the next fetch.
                    let server_key = (n, item.key.name.clone());
                    if now <= state_ended_at + KNOWN_HEALTHY_AFTER {
                        self.outdated_since.remove(&server_key);
                    } else if now > *self.outdated_since.entry(server_key).or_insert(now) + 2_000.0 {
                        violation = Some(format!(
                            "replica {n} still shows {} in state {}",
                            item.key.name,
                            state(item)
                        ));
                    }
                }
            }
        }
        if let Some(violation) = violation {
            self.report_violation(violation);
        }
    }

    /// Checks the state after the recovery from all faults.
    fn check_recovered(&mut self) {
        let holders = (0..REGISTRIES).filter(|n| {
            let machine = &self.machines[*n];
            machine.registry.holds_role(&machine.items)
        });
        let holders: Vec<usize> = holders.collect();
        if holders.len() != 1 {
            self.report_violation(format!("{holders:?} hold the role"));
        }
        for n in 0..MACHINES {
            let up =
                Node::all(&self.machines[n].items, Role::Proxy).iter().filter(|node| node.is_up()).count();
            let ready: Vec<u8> = self
                .servers
                .iter()
                .enumerate()
                .map(|(s, _)| {
                    self.machines[n]
                        .items
                        .get(Table::Servers, &format!("i-{s}"))
                        .map_or(2, |item| state(item))
                })
                .collect();
            if up != PROXIES || ready != self.servers {
                self.report_violation(format!(
                    "replica {n} has {up} proxies and servers {ready:?} instead of {:?}",
                    self.servers
                ));
            }
        }
    }
}

fn run(seed: u64, disabled: DisabledRule) -> (Option<String>, u64, u64) {
    let simulation = simulate(seed, disabled);
    (simulation.violation, simulation.written, simulation.epoch)
}

fn simulate(seed: u64, disabled: DisabledRule) -> Simulation {
    let mut simulation = Simulation::new(seed, disabled);
    while simulation.now < FAULTS_UNTIL && simulation.violation.is_none() {
        simulation.step();
    }
    let end =
        simulation.machines.iter().map(Machine::faulty_until).fold(FAULTS_UNTIL, f64::max) + RECOVERY_TIME;
    while simulation.now < end && simulation.violation.is_none() {
        simulation.step();
    }
    simulation.check_recovered();
    simulation
}

/// Digest of all messages over the simulations with seeds from 1,000. Refactoring must not change it.
const DIGEST: u64 = 0xbbc1_749f_6eae_4cb5;

#[test]
fn decisions_of_registries_keep_their_digest() {
    let digest = (1_000..1_008)
        .fold(0_u64, |all, seed| all.rotate_left(7) ^ simulate(seed, DisabledRule::None).digest.finish());
    assert_eq!(digest, DIGEST, "{digest:#018x}");
}

#[test]
fn fenced_writes_hold_across_coordinator_changes() {
    let (mut written, mut epochs) = (0, 0);
    for seed in 0..SIMULATIONS {
        let (violation, writes, granted_epochs) = run(seed, DisabledRule::None);
        assert_eq!(violation, None, "seed {seed}");
        (written, epochs) = (written + writes, epochs + granted_epochs);
    }
    assert!(written > 50 * SIMULATIONS && epochs > 2 * SIMULATIONS, "{written} writes, {epochs} epochs");
}

#[test]
fn each_rule_left_out_is_found() {
    // First seeds near those at which a longer search from 0 detected each, to keep the test short.
    let from =
        [(DisabledRule::FetchFreshness, 20), (DisabledRule::EpochOfCall, 30), (DisabledRule::ContactAge, 0)];
    for (disabled, from) in from {
        let found = (from..from + 6).find_map(|seed| Some((seed, run(seed, disabled).0?)));
        println!("{disabled:?} is detected with seed {found:?}");
        assert!(found.is_some(), "{disabled:?}");
    }
}
