//! The test bed of a run: its servers, links and nodes, the configuration of each node, and the active faults.

use crate::client::NodeEndpoint;
use crate::datagrams::{DatagramLink, Flow};
use crate::discovery::{Discovery, ListEntry};
use crate::node::{Guard, Node, Program};
use crate::oracle::Rules;
use crate::relay::{DirectionFaults, Link};
use crate::scenario::{ConfigDefect, Fault, LinkFault, LinkKind, NodeKind, Scenario, ZONES};
use crate::server::{Server, ServerProfile, SharedState};
use crate::sign_in::{denied, SignIn};
use crate::trace::{lock, Class, Drain, Effect, Exemption, Recorder, Span};
use serde_json::json;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Time for which the servers of a zone drop repeats of a key, in milliseconds.
const KEY_WINDOW_MS: f64 = 15_000.0;
/// Time from the start of the nodes to the start of the run.
pub const LEAD_TIME: Duration = Duration::from_millis(300);
/// Longest time of a graceful shutdown beyond the longest deadline, in milliseconds.
pub const SHUTDOWN_TIME_MS: f64 = 700.0;
/// Tolerance of that time for delays of the test machine, in milliseconds.
const SHUTDOWN_SLACK_MS: f64 = 500.0;
/// Time to wait for a sidecar to reload its configuration.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest 99th percentile of the generator's delay for a conclusive run, in milliseconds.
const MAX_GENERATOR_DELAY_MS: f64 = 25.0;

/// Longest stall of the harness for a conclusive run, in milliseconds. It equals the tolerance of a response after its
/// deadline: a longer stall may itself make responses late.
const MAX_STALL_MS: f64 = 50.0;

fn classes() -> Vec<Class> {
    let class = |name, effect, work, aim, deadline, units| Class { name, effect, work, aim, deadline, units };
    vec![
        class("read", Effect::Safe, 20.0, 400.0, 1500.0, 1.0),
        class("edit", Effect::Keyed, 30.0, 600.0, 2000.0, 2.0),
        class("order", Effect::Unsafe, 40.0, 800.0, 2500.0, 3.0),
    ]
}

/// Shares of the classes in the load, in percent.
pub const CLASS_PERCENTAGES: [u32; 3] = [60, 20, 20];

/// Returns the longest deadline of the classes, in milliseconds.
pub fn longest_deadline(classes: &[Class]) -> f64 {
    classes.iter().map(|class| class.deadline).fold(0.0, f64::max)
}

fn rules(scenario: &Scenario) -> Rules {
    let classes = classes();
    Rules {
        max_shutdown_time: longest_deadline(&classes) + SHUTDOWN_TIME_MS + SHUTDOWN_SLACK_MS,
        classes,
        response_slack: 50.0,
        // The protocol allows 1 s; the rest is the tolerance for socket delays.
        drain_grace: 1050.0,
        capacity: scenario.workers as f64,
        cold_capacity: 0.25,
        warm_up_time: 6000.0,
        overload_factor: 2.5,
        overload_window: 2000.0,
        ceiling_rate: scenario.ceiling,
        ceiling_burst: 4.0 * scenario.ceiling,
        // The tolerance configured at the nodes, and the units of 150 ms.
        ceiling_slack: tolerance(scenario) + 0.15 * scenario.ceiling,
        settle: scenario.settle,
        max_generator_delay: MAX_GENERATOR_DELAY_MS,
        max_stall: MAX_STALL_MS,
        zones: ZONES.len(),
        max_disagreement: scenario.at_odds.map(|most| most / 1000.0),
        denied: scenario.sign_in.then_some(denied),
        load_returns: !scenario.steps.iter().any(|step| step.fault.moves_load()),
    }
}

/// Returns the configured tolerance of a ceiling in units: a tenth of its burst, but at least one of the largest
/// requests.
fn tolerance(scenario: &Scenario) -> f64 {
    (0.4 * scenario.ceiling).max(3.0)
}

/// Returns each customer's quota in units per second: half of its ceiling if there is one, else four times its load.
fn quota(scenario: &Scenario) -> f64 {
    let units: f64 = classes()
        .iter()
        .zip(CLASS_PERCENTAGES)
        .map(|(class, part)| class.units * f64::from(part) / 100.0)
        .sum();
    let asked = scenario.rate * units / f64::from(scenario.customers);
    if scenario.ceiling > 0.0 {
        scenario.ceiling / 2.0
    } else {
        (4.0 * asked).max(1.0)
    }
}

pub struct Testbed {
    pub scenario: Scenario,
    pub rules: Rules,
    pub recorder: Recorder,
    /// Unix time at the start of the run, in milliseconds.
    pub epoch: f64,
    pub servers: Vec<Server>,
    pub discovery_agents: Vec<Discovery>,
    /// Links from each node to each server.
    pub links: Vec<Vec<Link>>,
    /// Link from each node to its discovery agent; replaced when discovery moves.
    pub lists: Vec<std::sync::Mutex<Link>>,
    /// The sign-in service and the link from each node to it, if the scenario has one.
    pub sign_in: Option<(SignIn, Vec<Link>)>,
    /// The address at which each node receives from its peers, and the link from each node to each, if they exchange
    /// observations.
    pub peer_links: Option<(Vec<SocketAddr>, Vec<Vec<DatagramLink>>)>,
    pub nodes: Vec<Mutex<Node>>,
    /// Set once all nodes have started; nodes keep their addresses.
    pub endpoints: OnceLock<Vec<NodeEndpoint>>,
    pub guard: Option<Guard>,
    pub seed: u64,
    /// States of servers in the configuration of sidecars, where they are not serving from the beginning.
    pub server_states: std::sync::Mutex<BTreeMap<usize, &'static str>>,
    /// Folder of the journals.
    pub folder: PathBuf,
}

impl Testbed {
    pub async fn new(scenario: &Scenario, program: &Program, folder: &Path, seed: u64) -> io::Result<Self> {
        let rules = rules(scenario);
        let recorder = Recorder::new(Instant::now() + LEAD_TIME);
        let profile = ServerProfile {
            workers: scenario.workers,
            cold_capacity: rules.cold_capacity,
            warm_up_time: rules.warm_up_time,
            key_window: KEY_WINDOW_MS,
            quota: quota(scenario),
        };
        let shared = SharedState::new(classes(), profile, recorder.clone(), seed);
        let mut sign_in = None;
        if scenario.sign_in {
            let (service, mut links) = (SignIn::start().await?, Vec::new());
            for _ in 0..scenario.nodes {
                links.push(Link::open(service.address, |_| {}).await?);
            }
            sign_in = Some((service, links));
        }
        let mut servers = Vec::new();
        for number in 0..scenario.servers {
            servers.push(Server::start(number, shared.clone()).await?);
        }
        let (mut discovery_agents, mut links, mut lists, mut nodes) =
            (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        for number in 0..scenario.nodes {
            let mut own = Vec::new();
            let agent = Discovery::start(number, recorder.clone()).await?;
            for server in &servers {
                let shared = shared.clone();
                let opened = move |from| shared.register_connection(from, number);
                let link = Link::open(server.address, opened).await?;
                let listed =
                    ListEntry { server: server.number, address: link.address, state: "SERVING", boot_ms: 0 };
                agent.set(&uid(server.number), listed);
                own.push(link);
            }
            lists.push(std::sync::Mutex::new(Link::open(agent.address, |_| {}).await?));
            discovery_agents.push(agent);
            links.push(own);
            nodes.push(Mutex::new(Node::new(program, folder, number, scenario.form, recorder.clone())));
        }
        let peer_links = if scenario.group { Some(peer_links(scenario.nodes, folder).await?) } else { None };
        let guard = program.guard.as_deref().map(Guard::start).transpose()?;
        let (epoch, scenario) = (0.0, scenario.clone());
        let (endpoints, server_states, folder) = (OnceLock::new(), Default::default(), folder.to_owned());
        Ok(Self {
            scenario,
            rules,
            recorder,
            epoch,
            servers,
            discovery_agents,
            links,
            lists,
            sign_in,
            peer_links,
            nodes,
            endpoints,
            guard,
            seed,
            server_states,
            folder,
        })
    }

    /// Sets the start of the run.
    pub fn begin(&mut self, at: Instant) {
        self.recorder.begin(at);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.epoch = (unix + at.saturating_duration_since(Instant::now())).as_secs_f64() * 1000.0;
    }

    /// Starts or restarts a node with the current server list.
    pub async fn start(&self, number: usize) -> io::Result<()> {
        let mut node = self.nodes[number].lock().await;
        let (listed, known) = (lock(&self.lists[number]).address, self.discovery_agents[number].known());
        let seed = self.seed_of(number);
        let config = |address| match self.scenario.form {
            NodeKind::EdgeNode => self.edge_node_config(number, address, listed, &known, seed),
            NodeKind::Sidecar => self.sidecar_config(number, address),
        };
        node.start(self.guard.as_ref(), config).await
    }

    /// Moves discovery for a node: opens a new address, closes the old one and reconfigures the node.
    pub async fn move_discovery(&self, number: usize) -> io::Result<()> {
        let agent = &self.discovery_agents[number];
        let moved = Link::open(agent.address, |_| {}).await?;
        let (listed, known) = (moved.address, agent.known());
        drop(std::mem::replace(&mut *lock(&self.lists[number]), moved));
        let node = self.nodes[number].lock().await;
        node.reload(&self.edge_node_config(number, node.address, listed, &known, self.seed_of(number)))
    }

    fn seed_of(&self, number: usize) -> u64 {
        self.seed ^ (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }

    /// Returns the configuration of a sidecar with the current states of the servers.
    fn sidecar_config(&self, number: usize, listen: SocketAddr) -> String {
        let (rules, scenario) = (&self.rules, &self.scenario);
        let quota = quota(scenario);
        let (ceiling, burst, slack) = (rules.ceiling_rate, rules.ceiling_burst, tolerance(scenario));
        let ceiling = if ceiling > 0.0 {
            format!(
                "ceiling {ceiling}/s; ceiling-burst {burst}; ceiling-slack {slack}; excess-worth 0.3; excess-cost 0;"
            )
        } else {
            String::new()
        };
        let mut text = format!(
            "limits {{ descriptors 1024; }}\nlisten {listen} {{ trusted 127.0.0.1; connections 400; }}\n\
             identity {{ customer header X-Customer; default-plan plain; }}\n\
             plan plain {{ quota {quota:.3}/s; burst {:.3}; {ceiling} }}\n",
            (4.0 * quota).max(12.0)
        );
        if scenario.journal {
            let folder = self.folder.join(format!("journal-{number}"));
            text += &format!("journal {{ folder {}; level written; }}\n", folder.display());
        }
        let scope = if self.plants(ConfigDefect::KeyedEverywhere) { "all" } else { "zone" };
        for (number, class) in rules.classes.iter().enumerate() {
            let effect = match self.configured_class(number).effect {
                Effect::Safe => "safe;".to_owned(),
                Effect::Keyed => format!("keyed; scope {scope}; window {KEY_WINDOW_MS}ms;"),
                Effect::Unsafe => "unsafe;".to_owned(),
            };
            let Class { name, aim, deadline, units, .. } = class;
            let sign_in = if scenario.sign_in { "sign-in door; " } else { "" };
            let methods = if class.effect == Effect::Safe { "GET" } else { "POST" };
            text += &format!(
                "class {name} {{ effect {effect} aim {aim}ms; deadline {deadline}ms; worth {units}; units {units}; }}\n\
                 route {name} {{ path exact /{name}; methods {methods}; {sign_in}class {name}; pool app; }}\n"
            );
        }
        if let Some((peer_addresses, links)) = &self.peer_links {
            let others = (0..scenario.nodes).filter(|other| *other != number);
            let peers: Vec<String> = others.map(|other| links[number][other].address.to_string()).collect();
            text += &format!(
                "group {{ listen {}; key {}; peers {}; }}\n",
                peer_addresses[number],
                self.folder.join(KEY_FILE).display(),
                // A fleet of one has no peers; the group needs at least one address.
                if peers.is_empty() { peer_addresses[number].to_string() } else { peers.join(" ") }
            );
        }
        if let Some((_, links)) = &self.sign_in {
            let (address, count) = (links[number].address, self.configured_node_count());
            text += &format!(
                "pool accounts {{ sidecars {count}; connect 250ms; server a {address}; }}\n\
                 sign-in door {{ pool accounts; path /check; }}\n"
            );
        }
        let (from, warm) = (rules.cold_capacity, rules.warm_up_time);
        let (fall, window) = (rules.overload_factor, rules.overload_window);
        text += &format!(
            "pool app {{\n    zone {}; sidecars {}; cross-zone 0.02; connect 250ms; errors 500 502 503 504;\n    \
             declined Srv-Declined 1; cold {{ from {from}; warm {warm}ms; fall {fall}; for {window}ms; }}\n",
            ZONES[number % ZONES.len()],
            self.configured_node_count()
        );
        if scenario.domains {
            text += "    domains;\n";
        }
        let told = lock(&self.server_states);
        for (server, link) in self.links[number].iter().enumerate() {
            let state = match told.get(&server) {
                Some(&"DELETED") => continue,
                Some(&"DRAINING") => "draining",
                _ => "serving",
            };
            let (zone, cell) = (ZONES[server % ZONES.len()], server % ZONES.len());
            text += &format!(
                "    server s{server} {} {{ zone {zone}; cell {cell}; state {state}; }}\n",
                link.address
            );
        }
        text + "}\n"
    }

    /// Reloads the configuration of a sidecar and records which servers it was told to drain.
    pub async fn reload(&self, number: usize, drained: &[usize]) -> io::Result<()> {
        let logs = {
            let node = self.nodes[number].lock().await;
            node.reload(&self.sidecar_config(number, node.address))?;
            node.logs()
        };
        let read = || lock(&logs).iter().filter(|(_, line)| line.ends_with("read anew")).count();
        let (before, started_at) = (read(), Instant::now());
        while read() == before {
            // A sidecar that is killed or stopped meanwhile learns of it at its next start, or when it continues.
            if started_at.elapsed() > RELOAD_TIMEOUT {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let at = self.recorder.now();
        // A server that returned while this node was down was never announced to it as draining.
        let told = lock(&self.server_states).clone();
        let drained =
            drained.iter().filter(|server| told.get(server).is_some_and(|state| *state != "SERVING"));
        self.recorder.note(|trace| {
            let until = f64::INFINITY;
            trace.drains.extend(drained.map(|server| Drain { node: number, server: *server, at, until }));
        });
        Ok(())
    }

    /// Announces a new state of some servers to all nodes.
    pub async fn announce_state(
        self: &Arc<Self>,
        servers: &[usize],
        state: &'static str,
        boot_ms: u64,
    ) -> io::Result<()> {
        if self.scenario.form == NodeKind::EdgeNode {
            for (agent, links) in self.discovery_agents.iter().zip(&self.links) {
                for server in servers.iter().copied() {
                    let address = links[server].address;
                    agent.set(&uid(server), ListEntry { server, address, state, boot_ms });
                }
            }
            return Ok(());
        }
        lock(&self.server_states).extend(servers.iter().map(|server| (*server, state)));
        let drained = if state == "SERVING" { Vec::new() } else { servers.to_vec() };
        let now = self.recorder.now();
        let is_unlisted = |number: usize| {
            let mut active = self.scenario.steps.iter().filter(|step| step.holds(now));
            active.any(|step| matches!(&step.fault, Fault::Unlisted(nodes) if nodes.has(number)))
        };
        let mut each = JoinSet::new();
        for number in (0..self.scenario.nodes).filter(|number| !is_unlisted(*number)) {
            let (testbed, drained) = (self.clone(), drained.clone());
            each.spawn(async move { testbed.reload(number, &drained).await });
        }
        while let Some(told) = each.join_next().await {
            told.map_err(io::Error::other)??;
        }
        Ok(())
    }

    fn edge_node_config(
        &self,
        number: usize,
        listen: SocketAddr,
        agent: SocketAddr,
        known: &str,
        seed: u64,
    ) -> String {
        let (rules, scenario) = (&self.rules, &self.scenario);
        let scope = if self.plants(ConfigDefect::KeyedEverywhere) { "all" } else { "zone" };
        let (count, rank) = (self.configured_node_count(), number % self.configured_node_count());
        let classes: Vec<_> = rules
            .classes
            .iter()
            .enumerate()
            .map(|(number, c)| {
                let effect = match self.configured_class(number).effect {
                    Effect::Safe => "safe",
                    Effect::Keyed => "keyed",
                    Effect::Unsafe => "unsafe",
                };
                json!({"name": c.name, "aimMs": c.aim, "deadlineMs": c.deadline, "worth": c.units, "lateWorth": 0.2,
                       "effect": effect, "keyScope": scope, "windowMs": KEY_WINDOW_MS})
            })
            .collect();
        let quota = quota(scenario);
        let (extra, cost) = if scenario.ceiling > 0.0 { (0.3, 0.0) } else { (0.0, 1.0) };
        let config = json!({
            "name": format!("n{number}"), "listen": listen.to_string(), "discovery": agent.to_string(),
            "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": serde_json::from_str::<serde_json::Value>(known).unwrap_or_default(),
            "settings": {
                "allowed": {"cancel": true, "connectTimeoutMs": 250, "keepaliveMs": 15000, "maxRetryAfterMs": 2000,
                            "mayProbe": false, "mostTries": 5, "retryAfter": true, "secondCopies": true},
                "az": ZONES[number % ZONES.len()], "balancers": count, "rank": rank,
                "discovery": "automatic", "prices": {"crossZone": 0.02}, "classes": classes,
                "contracts": [{"name": "plain", "refill": quota, "mostAtOnce": (4.0 * quota).max(12.0),
                               "worthFactor": 1.0, "extraWorth": extra, "excessCost": cost,
                               "capRate": rules.ceiling_rate, "capDepth": rules.ceiling_burst,
                               "tolerance": tolerance(scenario)}],
                "domain": {"unitsTop": 3, "usePeriodMs": 1000},
                "rules": {"coldFrom": rules.cold_capacity, "warmAfterMs": rules.warm_up_time,
                          "fallMultiple": rules.overload_factor, "overloadForMs": rules.overload_window}}
        });
        config.to_string()
    }

    /// Applies the active faults to links and servers.
    pub fn apply(&self, active: &[&Fault]) {
        for (from, links) in self.peer_links.iter().flat_map(|(_, links)| links.iter().enumerate()) {
            for (to, link) in links.iter().enumerate() {
                link.set(peer_link_faults(active, from, to), Flow::default());
            }
        }
        let none = usize::MAX;
        for (number, links) in self.links.iter().enumerate() {
            for (server, link) in links.iter().enumerate() {
                apply_to_link(link, active, LinkKind::Servers, number, server);
            }
            if let Some((_, links)) = &self.sign_in {
                apply_to_link(&links[number], active, LinkKind::SignIn, number, none);
            }
            apply_to_link(&lock(&self.lists[number]), active, LinkKind::Lists, number, none);
            self.discovery_agents[number]
                .silence(active.iter().any(|f| matches!(f, Fault::Unlisted(n) if n.has(number))));
            if let Some(endpoint) = self.endpoints().get(number) {
                let faulty = active.iter().any(|fault| affects_client_link(fault, number));
                // Marks the link faulty before the first broken connection, and recovered after the last one.
                if faulty {
                    endpoint.set_faulty(true, self.recorder.now());
                }
                apply_to_link(&endpoint.link, active, LinkKind::Clients, number, none);
                endpoint.set_faulty(faulty, self.recorder.now());
            }
        }
        for server in &self.servers {
            let number = server.number;
            let (mut slow, mut wrong, mut no_response, mut up) = (Vec::new(), Vec::new(), Vec::new(), true);
            for fault in active {
                match fault {
                    Fault::Slow(servers, whom, times) if servers.has(number) => {
                        slow.push((whom.clone(), *times));
                    }
                    Fault::Wrong(servers, whom, part) if servers.has(number) => {
                        wrong.push((whom.clone(), *part));
                    }
                    Fault::Swallow(servers, whom) if servers.has(number) => no_response.push(whom.clone()),
                    Fault::Crash(servers) => up &= !servers.has(number),
                    _ => {}
                }
            }
            server.change(|c| (c.slow, c.wrong, c.no_response, c.up) = (slow, wrong, no_response, up));
        }
    }

    fn plants(&self, plant: ConfigDefect) -> bool {
        self.scenario.plants.contains(&plant)
    }

    /// Returns a class as configured at nodes and clients; a node refuses a request that contradicts its configuration.
    pub fn configured_class(&self, class: usize) -> Class {
        let mut class = self.rules.classes[class].clone();
        if class.effect == Effect::Unsafe && self.plants(ConfigDefect::UnsafeAsSafe) {
            class.effect = Effect::Safe;
        }
        class
    }

    /// Returns the number of nodes as configured at nodes and clients. A node that takes itself for the only one uses
    /// the whole of every shared limit.
    pub fn configured_node_count(&self) -> usize {
        if self.plants(ConfigDefect::Alone) {
            1
        } else {
            self.scenario.nodes
        }
    }

    pub fn endpoints(&self) -> &[NodeEndpoint] {
        self.endpoints.get().map_or(&[], Vec::as_slice)
    }

    pub fn mark_killed(&self, node: usize, killed: bool) {
        if let Some(endpoint) = self.endpoints().get(node) {
            endpoint.killed.store(killed, Ordering::SeqCst);
        }
    }

    pub fn exempt(&self, node: usize, from: f64, to: f64) {
        self.recorder.note(|trace| trace.exemptions.push(Exemption { node, span: Span { from, to } }));
    }
}

/// Returns true if a fault affects a node's client link.
pub fn affects_client_link(fault: &Fault, node: usize) -> bool {
    matches!(fault, Fault::Link(place, _) if place.kind == LinkKind::Clients && place.nodes.has(node))
}

/// Applies the active faults to a link.
fn apply_to_link(link: &Link, active: &[&Fault], kind: LinkKind, node: usize, server: usize) {
    let (mut forward, mut backward, mut reset) =
        (DirectionFaults::default(), DirectionFaults::default(), false);
    for fault in active {
        let Fault::Link(place, trouble) = fault else { continue };
        if place.kind != kind || !place.nodes.has(node) || !place.servers.has(server) {
            continue;
        }
        let mut each = |ways: crate::scenario::Directions, change: &dyn Fn(&mut DirectionFaults)| {
            if ways.forward() {
                change(&mut forward);
            }
            if ways.backward() {
                change(&mut backward);
            }
        };
        match *trouble {
            LinkFault::Cut(ways) => each(ways, &|way| way.cut = true),
            LinkFault::Delay(ways, by, jitter) => each(ways, &|way| {
                way.delay += Duration::from_secs_f64(by / 1000.0);
                way.jitter += Duration::from_secs_f64(jitter / 1000.0);
            }),
            LinkFault::Rate(ways, rate) => {
                each(ways, &|way| way.rate = Some(way.rate.map_or(rate, |now| now.min(rate))));
            }
            LinkFault::Change(part) => backward.changed = backward.changed.max(part),
            // These affect datagram links only.
            LinkFault::Lose(_) | LinkFault::Twice(_) => {}
            LinkFault::After(ways, bytes, then) => each(ways, &|way| way.after = Some((bytes, then))),
            LinkFault::Reset => reset = true,
        }
    }
    link.set(forward, backward);
    link.reset(reset);
}

/// File name of the key that the nodes of a group share.
const KEY_FILE: &str = "group.key";

/// Opens a datagram link from each node to each, and returns the nodes' addresses and the links.
async fn peer_links(nodes: usize, folder: &Path) -> io::Result<(Vec<SocketAddr>, Vec<Vec<DatagramLink>>)> {
    std::fs::write(folder.join(KEY_FILE), "a key for this play and no other")?;
    // The sockets stay bound until all ports are chosen, so that they differ. Nothing else binds ports on 127.0.0.2.
    let held: Vec<std::net::UdpSocket> =
        (0..nodes).map(|_| std::net::UdpSocket::bind("127.0.0.2:0")).collect::<Result<_, _>>()?;
    let peer_addresses = held.iter().map(std::net::UdpSocket::local_addr).collect::<Result<Vec<_>, _>>()?;
    let mut links = Vec::new();
    for _ in 0..nodes {
        let mut own = Vec::new();
        for address in &peer_addresses {
            own.push(DatagramLink::open(*address).await?);
        }
        links.push(own);
    }
    Ok((peer_addresses, links))
}

/// Returns the active faults of the link from one node to another. A fault of some nodes affects the links between
/// them and the others.
fn peer_link_faults(active: &[&Fault], from: usize, to: usize) -> Flow {
    let mut flow = Flow::default();
    for fault in active {
        let Fault::Link(place, trouble) = fault else { continue };
        let (own, other) = (place.nodes.has(from), place.nodes.has(to));
        if place.kind != LinkKind::Nodes || own == other && !place.nodes.is_all() {
            continue;
        }
        let goes = |ways: crate::scenario::Directions| if own { ways.forward() } else { ways.backward() };
        match *trouble {
            LinkFault::Cut(ways) => flow.cut |= goes(ways),
            LinkFault::Delay(ways, by, jitter) if goes(ways) => {
                flow.delay += Duration::from_secs_f64(by / 1000.0);
                flow.jitter += Duration::from_secs_f64(jitter / 1000.0);
            }
            LinkFault::Lose(part) => flow.lost = flow.lost.max(part),
            LinkFault::Twice(part) => flow.twice = flow.twice.max(part),
            LinkFault::Change(part) => flow.changed = flow.changed.max(part),
            _ => {}
        }
    }
    flow
}

fn uid(server: usize) -> String {
    format!("s-{server}")
}
