//! The world of a play: its servers, links and nodes, what each node is told of it, and what holds on them now.

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

/// Servers of a zone drop repeats of a key for this long, in milliseconds.
const KEY_WINDOW_MS: f64 = 15_000.0;
/// Time before the first request.
pub const LEAD_TIME: Duration = Duration::from_millis(300);
/// Longest time from SIGTERM to the end beyond the longest deadline, in milliseconds.
pub const SHUTDOWN_TIME_MS: f64 = 700.0;
/// What the rig's own machine may add to that.
const SHUTDOWN_SLACK_MS: f64 = 500.0;
/// How long a sidecar may take to read its configuration anew.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(3);
/// A generator that is later than this in one request of a hundred has had too little of the machine.
const MAX_GENERATOR_DELAY_MS: f64 = 25.0;

/// A rig that stood still for longer than this may have made answers late itself: as long as an answer may be late.
const MAX_STALL_MS: f64 = 50.0;

fn classes() -> Vec<Class> {
    let class = |name, effect, work, aim, deadline, units| Class { name, effect, work, aim, deadline, units };
    vec![
        class("read", Effect::Safe, 20.0, 400.0, 1500.0, 1.0),
        class("edit", Effect::Keyed, 30.0, 600.0, 2000.0, 2.0),
        class("order", Effect::Unsafe, 40.0, 800.0, 2500.0, 3.0),
    ]
}

/// Parts of the classes in the load, in hundredths.
pub const CLASS_PERCENTAGES: [u32; 3] = [60, 20, 20];

/// The longest that a client waits, in milliseconds.
pub fn longest(classes: &[Class]) -> f64 {
    classes.iter().map(|class| class.deadline).fold(0.0, f64::max)
}

fn rules(scenario: &Scenario) -> Rules {
    let classes = classes();
    Rules {
        max_shutdown_time: longest(&classes) + SHUTDOWN_TIME_MS + SHUTDOWN_SLACK_MS,
        classes,
        response_slack: 50.0,
        // 1 s by the protocol, and its slack on sockets.
        drain_grace: 1050.0,
        capacity: scenario.workers as f64,
        cold_capacity: 0.25,
        warm_up_time: 6000.0,
        overload_factor: 2.5,
        overload_window: 2000.0,
        ceiling_rate: scenario.ceiling,
        ceiling_burst: 4.0 * scenario.ceiling,
        // What nodes are told, and what the rate gives in 150 ms.
        ceiling_slack: tolerance(scenario) + 0.15 * scenario.ceiling,
        settle: scenario.settle,
        max_generator_delay: MAX_GENERATOR_DELAY_MS,
        max_stall: MAX_STALL_MS,
        zones: ZONES.len(),
        max_disagreement: scenario.at_odds.map(|most| most / 1000.0),
        denied: scenario.sign_in.then_some(denied),
        steady: !scenario.steps.iter().any(|step| step.fault.moves_load()),
    }
}

/// Units by which nodes are told that a ceiling's store may fall below nothing: a tenth of it, or one of the largest
/// requests.
fn tolerance(scenario: &Scenario) -> f64 {
    (0.4 * scenario.ceiling).max(3.0)
}

/// Units a second that each customer's quota gives: four times what it asks for, or half of its ceiling.
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
    /// Unix time at the play's beginning, in milliseconds.
    pub epoch: f64,
    pub servers: Vec<Server>,
    pub discovery_agents: Vec<Discovery>,
    /// From each node to each server.
    pub links: Vec<Vec<Link>>,
    /// From each node to its agent; another one once discovery has moved.
    pub lists: Vec<std::sync::Mutex<Link>>,
    /// The sign-in service, and from each node to it; where the scenario has one.
    pub sign_in: Option<(SignIn, Vec<Link>)>,
    /// Where each node hears the others, and the link from each to each; where they tell each other.
    pub peer_links: Option<(Vec<SocketAddr>, Vec<Vec<DatagramLink>>)>,
    pub nodes: Vec<Mutex<Node>>,
    /// Set once all nodes have started; they keep their addresses.
    pub endpoints: OnceLock<Vec<NodeEndpoint>>,
    pub guard: Option<Guard>,
    pub seed: u64,
    /// Servers as sidecars are told of them: those that drain, and those that are gone.
    pub told: std::sync::Mutex<BTreeMap<usize, &'static str>>,
    /// Where the journals are.
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
                let opened = move |from| shared.comes_from(from, number);
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
        let (endpoints, told, folder) = (OnceLock::new(), Default::default(), folder.to_owned());
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
            told,
            folder,
        })
    }

    /// The play begins at a moment.
    pub fn begin(&mut self, at: Instant) {
        self.recorder.begin(at);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.epoch = (unix + at.saturating_duration_since(Instant::now())).as_secs_f64() * 1000.0;
    }

    /// Starts a node, or starts it again with the list as it now is.
    pub async fn start(&self, number: usize) -> io::Result<()> {
        let mut node = self.nodes[number].lock().await;
        let (listed, known) = (lock(&self.lists[number]).address, self.discovery_agents[number].known());
        let seed = self.seed_of(number);
        let config = |address| match self.scenario.form {
            NodeKind::EdgeNode => self.config(number, address, listed, &known, seed),
            NodeKind::Sidecar => self.statements(number, address),
        };
        node.start(self.guard.as_ref(), config).await
    }

    /// Moves discovery for a node: opens the new address, tells the node, and closes the old one.
    pub async fn move_list(&self, number: usize) -> io::Result<()> {
        let agent = &self.discovery_agents[number];
        let moved = Link::open(agent.address, |_| {}).await?;
        let (listed, known) = (moved.address, agent.known());
        drop(std::mem::replace(&mut *lock(&self.lists[number]), moved));
        let node = self.nodes[number].lock().await;
        node.reload(&self.config(number, node.address, listed, &known, self.seed_of(number)))
    }

    fn seed_of(&self, number: usize) -> u64 {
        self.seed ^ (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }

    /// The configuration of a sidecar, with the servers as it is to know them now.
    fn statements(&self, number: usize, listen: SocketAddr) -> String {
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
            let effect = match self.told(number).effect {
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
                // A fleet of one has nobody to tell.
                if peers.is_empty() { peer_addresses[number].to_string() } else { peers.join(" ") }
            );
        }
        if let Some((_, links)) = &self.sign_in {
            let (address, count) = (links[number].address, self.width());
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
            self.width()
        );
        if scenario.domains {
            text += "    domains;\n";
        }
        let told = lock(&self.told);
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

    /// Has a sidecar read its configuration anew, and notes which servers it was told to leave.
    pub async fn reload(&self, number: usize, left: &[usize]) -> io::Result<()> {
        let logs = {
            let node = self.nodes[number].lock().await;
            node.reload(&self.statements(number, node.address))?;
            node.logs()
        };
        let read = || lock(&logs).iter().filter(|(_, line)| line.ends_with("read anew")).count();
        let (before, begun) = (read(), Instant::now());
        while read() == before {
            // One that is killed or stands still meanwhile is told at its next start, or whenever it reads.
            if begun.elapsed() > RELOAD_TIMEOUT {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let at = self.recorder.now();
        // What has come back meanwhile, while this one was down, was never told to leave.
        let told = lock(&self.told).clone();
        let left = left.iter().filter(|server| told.get(server).is_some_and(|state| *state != "SERVING"));
        self.recorder.note(|trace| {
            let until = f64::INFINITY;
            trace.drains.extend(left.map(|server| Drain { node: number, server: *server, at, until }));
        });
        Ok(())
    }

    /// Tells all nodes of a new state of some servers.
    pub async fn list(
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
        lock(&self.told).extend(servers.iter().map(|server| (*server, state)));
        let left = if state == "SERVING" { Vec::new() } else { servers.to_vec() };
        let now = self.recorder.now();
        let deaf = |number: usize| {
            let mut holding = self.scenario.steps.iter().filter(|step| step.holds(now));
            holding.any(|step| matches!(&step.fault, Fault::Unlisted(nodes) if nodes.has(number)))
        };
        let mut each = JoinSet::new();
        for number in (0..self.scenario.nodes).filter(|number| !deaf(*number)) {
            let (testbed, left) = (self.clone(), left.clone());
            each.spawn(async move { testbed.reload(number, &left).await });
        }
        while let Some(told) = each.join_next().await {
            told.map_err(io::Error::other)??;
        }
        Ok(())
    }

    fn config(&self, number: usize, listen: SocketAddr, agent: SocketAddr, known: &str, seed: u64) -> String {
        let (rules, scenario) = (&self.rules, &self.scenario);
        let scope = if self.plants(ConfigDefect::KeyedEverywhere) { "all" } else { "zone" };
        let (count, rank) = (self.width(), number % self.width());
        let classes: Vec<_> = rules
            .classes
            .iter()
            .enumerate()
            .map(|(number, c)| {
                let effect = match self.told(number).effect {
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

    /// Puts on links and servers what holds now.
    pub fn apply(&self, holding: &[&Fault]) {
        for (from, links) in self.peer_links.iter().flat_map(|(_, links)| links.iter().enumerate()) {
            for (to, link) in links.iter().enumerate() {
                link.set(flow(holding, from, to), Flow::default());
            }
        }
        let none = usize::MAX;
        for (number, links) in self.links.iter().enumerate() {
            for (server, link) in links.iter().enumerate() {
                put(link, holding, LinkKind::Servers, number, server);
            }
            if let Some((_, links)) = &self.sign_in {
                put(&links[number], holding, LinkKind::SignIn, number, none);
            }
            put(&lock(&self.lists[number]), holding, LinkKind::Lists, number, none);
            self.discovery_agents[number]
                .silence(holding.iter().any(|f| matches!(f, Fault::Unlisted(n) if n.has(number))));
            if let Some(endpoint) = self.endpoints().get(number) {
                let faulty = holding.iter().any(|fault| at_clients(fault, number));
                // Before the first break and after the last one.
                if faulty {
                    endpoint.at_fault(true, self.recorder.now());
                }
                put(&endpoint.link, holding, LinkKind::Clients, number, none);
                endpoint.at_fault(faulty, self.recorder.now());
            }
        }
        for server in &self.servers {
            let number = server.number;
            let (mut slow, mut wrong, mut swallows, mut up) = (Vec::new(), Vec::new(), Vec::new(), true);
            for fault in holding {
                match fault {
                    Fault::Slow(servers, whom, times) if servers.has(number) => {
                        slow.push((whom.clone(), *times));
                    }
                    Fault::Wrong(servers, whom, part) if servers.has(number) => {
                        wrong.push((whom.clone(), *part));
                    }
                    Fault::Swallow(servers, whom) if servers.has(number) => swallows.push(whom.clone()),
                    Fault::Crash(servers) => up &= !servers.has(number),
                    _ => {}
                }
            }
            server.change(|c| (c.slow, c.wrong, c.swallows, c.up) = (slow, wrong, swallows, up));
        }
    }

    fn plants(&self, plant: ConfigDefect) -> bool {
        self.scenario.plants.contains(&plant)
    }

    /// A class as nodes and clients are told of it; a node refuses a request that does not fit what it was told.
    pub fn told(&self, class: usize) -> Class {
        let mut class = self.rules.classes[class].clone();
        if class.effect == Effect::Unsafe && self.plants(ConfigDefect::UnsafeAsSafe) {
            class.effect = Effect::Safe;
        }
        class
    }

    /// Nodes of a customer's set, as nodes and clients are told; one that takes itself for the only one takes the
    /// whole of what is shared.
    pub fn width(&self) -> usize {
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

/// Whether a fault is on a node's link to its clients.
pub fn at_clients(fault: &Fault, node: usize) -> bool {
    matches!(fault, Fault::Link(place, _) if place.kind == LinkKind::Clients && place.nodes.has(node))
}

/// Puts on a link what holds now.
fn put(link: &Link, holding: &[&Fault], kind: LinkKind, node: usize, server: usize) {
    let (mut there, mut back, mut reset) = (DirectionFaults::default(), DirectionFaults::default(), false);
    for fault in holding {
        let Fault::Link(place, trouble) = fault else { continue };
        if place.kind != kind || !place.nodes.has(node) || !place.servers.has(server) {
            continue;
        }
        let mut each = |ways: crate::scenario::Directions, change: &dyn Fn(&mut DirectionFaults)| {
            if ways.there() {
                change(&mut there);
            }
            if ways.back() {
                change(&mut back);
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
            LinkFault::Change(part) => back.changed = back.changed.max(part),
            // Of datagrams alone.
            LinkFault::Lose(_) | LinkFault::Twice(_) => {}
            LinkFault::After(ways, bytes, then) => each(ways, &|way| way.after = Some((bytes, then))),
            LinkFault::Reset => reset = true,
        }
    }
    link.set(there, back);
    link.reset(reset);
}

/// The file of the key that nodes share.
const KEY_FILE: &str = "group.key";

/// Where nodes hear each other, and a link from each to each.
async fn peer_links(nodes: usize, folder: &Path) -> io::Result<(Vec<SocketAddr>, Vec<Vec<DatagramLink>>)> {
    std::fs::write(folder.join(KEY_FILE), "a key for this play and no other")?;
    // Held until all are chosen, so that no two are the same; at an address at which nothing else here asks for ports.
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

/// What holds on what one node tells another: a fault of some nodes is between them and the others.
fn flow(holding: &[&Fault], from: usize, to: usize) -> Flow {
    let mut flow = Flow::default();
    for fault in holding {
        let Fault::Link(place, trouble) = fault else { continue };
        let (own, other) = (place.nodes.has(from), place.nodes.has(to));
        if place.kind != LinkKind::Nodes || own == other && !place.nodes.is_all() {
            continue;
        }
        let goes = |ways: crate::scenario::Directions| if own { ways.there() } else { ways.back() };
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
