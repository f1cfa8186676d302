//! Plays a scenario: puts the parts of the world together, starts the processes, sends the load, makes the faults.

use crate::client::{ask, Door, Planned};
use crate::discovery::{Discovery, Listed};
use crate::node::{Guard, Node, Program};
use crate::oracle::{judge, Figures, Finding, Rules, Verdict};
use crate::relay::{Link, Way};
use crate::scenario::{Fault, Form, Kind, Plant, Scenario, Step, Trouble, ZONES};
use crate::server::{Backend, Make, Server};
use crate::sign_in::{denied, SignIn};
use crate::trace::{lock, Class, Drain, Effect, Excuse, Leave, Recorder, Span, Trace};
use rustix::process::{Resource, Signal};
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// Servers of a zone drop repeats of a key for this long, in milliseconds.
const KEY_WINDOW: f64 = 15_000.0;
/// Time before the first request.
const LEAD: Duration = Duration::from_millis(300);
/// The list tells this much later that a process runs or runs no more, in milliseconds.
const NOTICE: f64 = 800.0;
/// Longest time from SIGTERM to the end beyond the longest deadline, in milliseconds.
const LEAVE: f64 = 700.0;
/// What the rig's own machine may add to that.
const LEAVE_SLACK: f64 = 500.0;
/// After a fault of its link to discovery a node has heard what it missed within this, in milliseconds: it asks anew a
/// second after a connection broke.
const HEARD_AGAIN: f64 = 1200.0;
/// Threads that send the load.
const GENERATORS: usize = 2;
/// What a fault of a link broke is seen this much later, in milliseconds.
const BREAKS_SEEN: f64 = 100.0;
/// How long a sidecar may take to read its configuration anew.
const RELOAD: Duration = Duration::from_secs(3);
/// How long a node that does not end by itself is waited for beyond that.
const LEAVE_PATIENCE: Duration = Duration::from_secs(5);
/// A generator that is later than this in one request of a hundred has had too little of the machine.
const LATE_MOST: f64 = 25.0;

/// What came of a play.
#[derive(Debug)]
pub struct Played {
    /// What it says.
    pub verdict: Verdict,
    /// How it went.
    pub figures: Figures,
    /// What is not as it must be.
    pub findings: Vec<Finding>,
    /// All that happened.
    pub trace: Trace,
    /// What each node wrote to its standard error, and when.
    pub said: Vec<Vec<(f64, String)>>,
}

/// Why there was no play.
#[derive(Debug)]
pub struct RigError {
    what: &'static str,
    error: io::Error,
}

impl fmt::Display for RigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.what, self.error)
    }
}

impl std::error::Error for RigError {}

fn because(what: &'static str) -> impl FnOnce(io::Error) -> RigError {
    move |error| RigError { what, error }
}

fn classes() -> Vec<Class> {
    let class = |name, effect, work, aim, deadline, units| Class { name, effect, work, aim, deadline, units };
    vec![
        class("read", Effect::Safe, 20.0, 400.0, 1500.0, 1.0),
        class("edit", Effect::Keyed, 30.0, 600.0, 2000.0, 2.0),
        class("order", Effect::Unsafe, 40.0, 800.0, 2500.0, 3.0),
    ]
}

/// Parts of the classes in the load, in hundredths.
const MIX: [u32; 3] = [60, 20, 20];

fn rules(scenario: &Scenario) -> Rules {
    let longest = classes().iter().map(|c| c.deadline).fold(0.0, f64::max);
    Rules {
        classes: classes(),
        answer_slack: 50.0,
        // 1 s by the protocol, and its slack on sockets.
        drain_grace: 1050.0,
        capacity: scenario.workers as f64,
        cold_from: 0.25,
        warm_after: 6000.0,
        fall_multiple: 2.5,
        fall_window: 2000.0,
        ceiling_rate: scenario.ceiling,
        ceiling_burst: 4.0 * scenario.ceiling,
        // What nodes are told, and what the rate gives in 150 ms.
        ceiling_slack: tolerance(scenario) + 0.15 * scenario.ceiling,
        settle: scenario.settle,
        late_most: LATE_MOST,
        leave_most: longest + LEAVE + LEAVE_SLACK,
        zones: ZONES.len(),
        at_odds_most: scenario.at_odds.map(|most| most / 1000.0),
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
    let units: f64 =
        classes().iter().zip(MIX).map(|(class, part)| class.units * f64::from(part) / 100.0).sum();
    let asked = scenario.rate * units / f64::from(scenario.customers);
    if scenario.ceiling > 0.0 {
        scenario.ceiling / 2.0
    } else {
        (4.0 * asked).max(1.0)
    }
}

struct World {
    scenario: Scenario,
    rules: Rules,
    recorder: Recorder,
    /// Unix time at the play's beginning, in milliseconds.
    epoch: f64,
    servers: Vec<Server>,
    agents: Vec<Discovery>,
    /// From each node to each server.
    links: Vec<Vec<Link>>,
    /// From each node to its agent; another one once discovery has moved.
    lists: Vec<std::sync::Mutex<Link>>,
    /// From each node to the sign-in service.
    sign_ins: Vec<Link>,
    _sign_in: SignIn,
    nodes: Vec<Mutex<Node>>,
    /// Set once all nodes have started; they keep their addresses.
    doors: OnceLock<Vec<Door>>,
    guard: Option<Guard>,
    seed: u64,
    /// Servers as sidecars are told of them: those that drain, and those that are gone.
    told: std::sync::Mutex<BTreeMap<usize, &'static str>>,
    /// Where the journals are.
    folder: PathBuf,
}

impl World {
    async fn new(scenario: &Scenario, program: &Program, folder: &Path, seed: u64) -> io::Result<Self> {
        let rules = rules(scenario);
        let recorder = Recorder::new(Instant::now() + LEAD);
        let make = Make {
            workers: scenario.workers,
            cold_from: rules.cold_from,
            warm_after: rules.warm_after,
            key_window: KEY_WINDOW,
            quota: quota(scenario),
        };
        let backend = Backend::new(classes(), make, recorder.clone(), seed);
        let (sign_in, mut sign_ins) = (SignIn::start().await?, Vec::new());
        let mut servers = Vec::new();
        for number in 0..scenario.servers {
            servers.push(Server::start(number, backend.clone()).await?);
        }
        let (mut agents, mut links, mut lists, mut nodes) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        for number in 0..scenario.nodes {
            let mut own = Vec::new();
            let agent = Discovery::start(number, recorder.clone()).await?;
            for server in &servers {
                let backend = backend.clone();
                let opened = move |from| backend.comes_from(from, number);
                let link = Link::open(server.address, opened).await?;
                let listed =
                    Listed { server: server.number, address: link.address, state: "SERVING", boot_ms: 0 };
                agent.set(&uid(server.number), listed);
                own.push(link);
            }
            sign_ins.push(Link::open(sign_in.address, |_| {}).await?);
            lists.push(std::sync::Mutex::new(Link::open(agent.address, |_| {}).await?));
            agents.push(agent);
            links.push(own);
            nodes.push(Mutex::new(Node::new(program, folder, number, scenario.form, recorder.clone())));
        }
        let guard = program.guard.as_deref().map(Guard::start).transpose()?;
        let (epoch, scenario) = (0.0, scenario.clone());
        let (doors, told, folder) = (OnceLock::new(), Default::default(), folder.to_owned());
        Ok(Self {
            scenario,
            rules,
            recorder,
            epoch,
            servers,
            agents,
            links,
            lists,
            sign_ins,
            _sign_in: sign_in,
            nodes,
            doors,
            guard,
            seed,
            told,
            folder,
        })
    }

    /// The play begins at a moment.
    fn begin(&mut self, at: Instant) {
        self.recorder.begin(at);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.epoch = (unix + at.saturating_duration_since(Instant::now())).as_secs_f64() * 1000.0;
    }

    /// Starts a node, or starts it again with the list as it now is.
    async fn start(&self, number: usize) -> io::Result<()> {
        let mut node = self.nodes[number].lock().await;
        let (listed, known) = (lock(&self.lists[number]).address, self.agents[number].known());
        let seed = self.seed_of(number);
        let config = |address| match self.scenario.form {
            Form::EdgeNode => self.config(number, address, listed, &known, seed),
            Form::Sidecar => self.statements(number, address),
        };
        node.start(self.guard.as_ref(), config).await
    }

    /// Moves discovery for a node: opens the new address, tells the node, and closes the old one.
    async fn move_list(&self, number: usize) -> io::Result<()> {
        let agent = &self.agents[number];
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
        let ceiling = match ceiling > 0.0 {
            true => format!(
                "ceiling {ceiling}/s; ceiling-burst {burst}; ceiling-slack {slack}; excess-worth 0.3; excess-cost 0;"
            ),
            false => String::new(),
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
        let scope = if self.plants(Plant::KeyedEverywhere) { "all" } else { "zone" };
        for (number, class) in rules.classes.iter().enumerate() {
            let effect = match self.told(number).effect {
                Effect::Safe => "safe;".to_owned(),
                Effect::Keyed => format!("keyed; scope {scope}; window {KEY_WINDOW}ms;"),
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
        if scenario.sign_in {
            let (address, count) = (self.sign_ins[number].address, self.width());
            text += &format!(
                "pool accounts {{ sidecars {count}; connect 250ms; server a {address}; }}\n\
                 sign-in door {{ pool accounts; path /check; }}\n"
            );
        }
        let (from, warm) = (rules.cold_from, rules.warm_after);
        let (fall, window) = (rules.fall_multiple, rules.fall_window);
        text += &format!(
            "pool app {{\n    zone {}; sidecars {}; cross-zone 0.02; connect 250ms; errors 500 502 503 504;\n    \
             declined Srv-Declined 1; cold {{ from {from}; warm {warm}ms; fall {fall}; for {window}ms; }}\n",
            ZONES[number % ZONES.len()],
            self.width()
        );
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
    async fn reload(&self, number: usize, left: &[usize]) -> io::Result<()> {
        let said = {
            let node = self.nodes[number].lock().await;
            node.reload(&self.statements(number, node.address))?;
            node.said()
        };
        let read = || lock(&said).iter().filter(|(_, line)| line.ends_with("read anew")).count();
        let (before, begun) = (read(), Instant::now());
        while read() == before {
            // One that is killed or stands still meanwhile is told at its next start, or whenever it reads.
            if begun.elapsed() > RELOAD {
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
    async fn list(self: &Arc<Self>, servers: &[usize], state: &'static str, boot_ms: u64) -> io::Result<()> {
        if self.scenario.form == Form::EdgeNode {
            for (server, (agent, links)) in servers
                .iter()
                .flat_map(|server| self.agents.iter().zip(&self.links).map(move |each| (*server, each)))
            {
                agent.set(&uid(server), Listed { server, address: links[server].address, state, boot_ms });
            }
            return Ok(());
        }
        lock(&self.told).extend(servers.iter().map(|server| (*server, state)));
        let left = if state == "SERVING" { Vec::new() } else { servers.to_vec() };
        let now = self.recorder.now();
        let deaf = |number: usize| {
            let holds = |step: &&Step| step.at <= now && now < step.at + step.lasts;
            let mut holding = self.scenario.steps.iter().filter(holds);
            holding.any(|step| matches!(&step.fault, Fault::Unlisted(nodes) if nodes.has(number)))
        };
        let mut each = JoinSet::new();
        for number in (0..self.scenario.nodes).filter(|number| !deaf(*number)) {
            let (world, left) = (self.clone(), left.clone());
            each.spawn(async move { world.reload(number, &left).await });
        }
        while let Some(told) = each.join_next().await {
            told.map_err(io::Error::other)??;
        }
        Ok(())
    }

    fn config(&self, number: usize, listen: SocketAddr, agent: SocketAddr, known: &str, seed: u64) -> String {
        let (rules, scenario) = (&self.rules, &self.scenario);
        let scope = if self.plants(Plant::KeyedEverywhere) { "all" } else { "zone" };
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
                       "effect": effect, "keyScope": scope, "windowMs": KEY_WINDOW})
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
                "rules": {"coldFrom": rules.cold_from, "warmAfterMs": rules.warm_after,
                          "fallMultiple": rules.fall_multiple, "overloadForMs": rules.fall_window}}
        });
        config.to_string()
    }

    /// Puts on links and servers what holds now.
    fn apply(&self, holding: &[&Fault]) {
        let none = usize::MAX;
        for (number, links) in self.links.iter().enumerate() {
            for (server, link) in links.iter().enumerate() {
                put(link, holding, Kind::Servers, number, server);
            }
            put(&self.sign_ins[number], holding, Kind::SignIn, number, none);
            put(&lock(&self.lists[number]), holding, Kind::Lists, number, none);
            self.agents[number]
                .silence(holding.iter().any(|f| matches!(f, Fault::Unlisted(n) if n.has(number))));
            if let Some(door) = self.doors().get(number) {
                let faulty = holding.iter().any(|fault| at_clients(fault, number));
                // Before the first break and after the last one.
                if faulty {
                    door.at_fault(true, self.recorder.now());
                }
                put(&door.link, holding, Kind::Clients, number, none);
                door.at_fault(faulty, self.recorder.now());
            }
        }
        for server in &self.servers {
            let number = server.number;
            let (mut slow, mut wrong, mut swallows, mut up) = (Vec::new(), Vec::new(), Vec::new(), true);
            for fault in holding {
                match fault {
                    Fault::Slow(servers, whom, times) if servers.has(number) => {
                        slow.push((whom.clone(), *times))
                    }
                    Fault::Wrong(servers, whom, part) if servers.has(number) => {
                        wrong.push((whom.clone(), *part))
                    }
                    Fault::Swallow(servers, whom) if servers.has(number) => swallows.push(whom.clone()),
                    Fault::Crash(servers) => up &= !servers.has(number),
                    _ => {}
                }
            }
            server.change(|c| (c.slow, c.wrong, c.swallows, c.up) = (slow, wrong, swallows, up));
        }
    }

    fn plants(&self, plant: Plant) -> bool {
        self.scenario.plants.contains(&plant)
    }

    /// A class as nodes and clients are told of it; a node refuses a request that does not fit what it was told.
    fn told(&self, class: usize) -> Class {
        let mut class = self.rules.classes[class].clone();
        if class.effect == Effect::Unsafe && self.plants(Plant::UnsafeAsSafe) {
            class.effect = Effect::Safe;
        }
        class
    }

    /// Nodes of a customer's set, as nodes and clients are told; one that takes itself for the only one takes the
    /// whole of what is shared.
    fn width(&self) -> usize {
        if self.plants(Plant::Alone) {
            1
        } else {
            self.scenario.nodes
        }
    }

    fn doors(&self) -> &[Door] {
        self.doors.get().map_or(&[], Vec::as_slice)
    }

    fn mark_killed(&self, node: usize, killed: bool) {
        if let Some(door) = self.doors().get(node) {
            door.killed.store(killed, Ordering::SeqCst);
        }
    }

    fn excuse(&self, node: usize, from: f64, to: f64) {
        self.recorder.note(|trace| trace.excuses.push(Excuse { node, span: Span { from, to } }));
    }

    /// What a step does to processes, from its beginning to its end; links and servers are set by `apply`.
    async fn processes(self: Arc<Self>, step: Step) -> io::Result<()> {
        let end = step.at + step.lasts;
        let ends = self.recorder.instant(end);
        match &step.fault {
            Fault::Kill(nodes) | Fault::Term(nodes) => {
                let killed = matches!(step.fault, Fault::Kill(_));
                let mut each = JoinSet::new();
                for number in nodes.of(self.scenario.nodes) {
                    let world = self.clone();
                    each.spawn(async move {
                        let begun = world.recorder.now();
                        let longest = world.rules.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
                        let patience = if killed { 0.0 } else { longest + LEAVE };
                        {
                            world.mark_killed(number, killed);
                            let mut node = world.nodes[number].lock().await;
                            node.signal(if killed { Signal::KILL } else { Signal::TERM });
                            let patience = Duration::from_secs_f64(patience / 1000.0) + LEAVE_PATIENCE;
                            let took =
                                node.ended(world.guard.as_ref(), patience).await.as_secs_f64() * 1000.0;
                            if !killed {
                                world.recorder.note(|trace| trace.leaves.push(Leave { node: number, took }));
                            }
                        }
                        sleep_until(ends).await;
                        world.start(number).await?;
                        world.mark_killed(number, false);
                        if killed {
                            world.excuse(number, begun, world.recorder.now());
                        }
                        Ok::<(), io::Error>(())
                    });
                }
                while let Some(started) = each.join_next().await {
                    started.map_err(io::Error::other)??;
                }
            }
            Fault::Pause(nodes) => {
                let paused = nodes.of(self.scenario.nodes);
                for number in &paused {
                    self.nodes[*number].lock().await.signal(Signal::STOP);
                }
                sleep_until(ends).await;
                for number in &paused {
                    self.nodes[*number].lock().await.signal(Signal::CONT);
                    self.excuse(*number, step.at, self.recorder.now());
                }
            }
            Fault::Duty(nodes, part, period) => {
                let slowed = nodes.of(self.scenario.nodes);
                let still = Duration::from_secs_f64(part * period / 1000.0);
                let runs = Duration::from_secs_f64((1.0 - part) * period / 1000.0);
                while Instant::now() < ends {
                    for (signal, holds) in [(Signal::STOP, still), (Signal::CONT, runs)] {
                        for number in &slowed {
                            self.nodes[*number].lock().await.signal(signal);
                        }
                        tokio::time::sleep(holds).await;
                    }
                }
                let now = self.recorder.now();
                slowed.iter().for_each(|number| self.excuse(*number, step.at, now));
            }
            Fault::Descriptors(nodes, count) => {
                let chosen = nodes.of(self.scenario.nodes);
                for number in &chosen {
                    self.nodes[*number].lock().await.limit(Resource::Nofile, Some(*count));
                }
                sleep_until(ends).await;
                for number in &chosen {
                    self.nodes[*number].lock().await.limit(Resource::Nofile, None);
                    // What waits in the system's queue has been taken by nobody, and no client can tell.
                    self.excuse(*number, step.at, end);
                }
            }
            Fault::FullDisk(nodes) => {
                for (holds, limit) in [(true, Some(0)), (false, None)] {
                    for number in nodes.of(self.scenario.nodes) {
                        self.nodes[number].lock().await.limit(Resource::Fsize, limit);
                    }
                    if holds {
                        sleep_until(ends).await;
                    }
                }
            }
            Fault::Move(nodes) => {
                for number in nodes.of(self.scenario.nodes) {
                    self.move_list(number).await?;
                }
                // What was written to the old address may not have come.
                self.recorder.note(|trace| {
                    let late = trace
                        .drains
                        .iter_mut()
                        .filter(|d| nodes.has(d.node) && d.at >= step.at - HEARD_AGAIN);
                    late.for_each(|drain| drain.at = drain.at.max(step.at + HEARD_AGAIN));
                });
            }
            Fault::Unlisted(nodes) if self.scenario.form == Form::Sidecar => {
                sleep_until(ends).await;
                let left: Vec<usize> = {
                    let told = lock(&self.told);
                    told.iter().filter(|(_, state)| **state != "SERVING").map(|(server, _)| *server).collect()
                };
                for number in nodes.of(self.scenario.nodes) {
                    self.reload(number, &left).await?;
                }
            }
            Fault::Link(place, _) if place.kind == Kind::Clients => {
                let over = end + BREAKS_SEEN;
                place.nodes.of(self.scenario.nodes).iter().for_each(|node| self.excuse(*node, step.at, over));
            }
            Fault::Link(place, _) if place.kind == Kind::Lists => {
                sleep_until(ends).await;
                // What was written meanwhile has come only now, or on the next connection.
                self.recorder.note(|trace| {
                    let late = trace.drains.iter_mut().filter(|d| place.nodes.has(d.node) && d.at >= step.at);
                    late.for_each(|drain| drain.at = drain.at.max(end + HEARD_AGAIN));
                });
            }
            Fault::Link(_, Trouble::Change(_)) => {
                self.recorder.note(|trace| trace.garbled.push(Span { from: step.at, to: end }));
            }
            Fault::Drain(servers) => {
                let drained = servers.of(self.scenario.servers);
                self.list(&drained, "DRAINING", 0).await?;
                sleep_until(ends).await;
                self.list(&drained, "DELETED", 0).await?;
            }
            Fault::Crash(servers) => {
                let lost = servers.of(self.scenario.servers);
                sleep_until(self.recorder.instant(step.at + NOTICE)).await;
                if NOTICE < step.lasts {
                    self.list(&lost, "DELETED", 0).await?;
                }
                sleep_until(ends).await;
                let now = self.recorder.now();
                for server in &lost {
                    self.servers[*server].change(|condition| condition.started = Some(now));
                }
                self.recorder.note(|trace| {
                    trace.cold.extend(lost.iter().map(|server| (*server, now)));
                    let back = trace.drains.iter_mut().filter(|d| lost.contains(&d.server));
                    back.for_each(|drain| drain.until = drain.until.min(now));
                });
                self.list(&lost, "SERVING", (self.epoch + now) as u64).await?;
            }
            _ => {}
        }
        Ok(())
    }

    /// Makes the faults, one moment after the other.
    async fn faults(self: Arc<Self>) -> io::Result<()> {
        let steps = &self.scenario.steps;
        let mut moments: Vec<f64> = steps.iter().flat_map(|s| [s.at, s.at + s.lasts]).collect();
        moments.sort_by(f64::total_cmp);
        moments.dedup();
        let mut processes = JoinSet::new();
        for moment in moments {
            sleep_until(self.recorder.instant(moment)).await;
            for step in steps.iter().filter(|step| step.at == moment) {
                processes.spawn(self.clone().processes(step.clone()));
                let span = Span { from: step.at, to: step.at + step.lasts };
                self.recorder.note(|trace| trace.faults.push((step.fault.to_string(), span)));
            }
            let holds = |step: &&Step| step.at <= moment && moment < step.at + step.lasts;
            self.apply(&steps.iter().filter(holds).map(|step| &step.fault).collect::<Vec<_>>());
        }
        while let Some(done) = processes.join_next().await {
            done.map_err(io::Error::other)??;
        }
        Ok(())
    }

    /// Sends the load, each request at its own moment whatever became of the others.
    async fn load(self: Arc<Self>) {
        let mut draw = fastrand::Rng::with_seed(self.seed);
        let mut asked = JoinSet::new();
        let (mut meant, mut id) = (0.0, 0);
        loop {
            meant -= (1.0 - draw.f64()).ln() * 1000.0 / self.scenario.rate;
            if meant >= self.scenario.length {
                break;
            }
            id += 1;
            let lot = draw.u32(0..MIX.iter().sum());
            let class = MIX
                .iter()
                .scan(0, |sum, part| {
                    *sum += part;
                    Some(*sum)
                })
                .take_while(|s| *s <= lot)
                .count();
            let planned = Planned { id, class, customer: draw.u32(0..self.scenario.customers), meant };
            let first = draw.usize(0..self.scenario.nodes);
            sleep_until(self.recorder.instant(meant)).await;
            let world = self.clone();
            self.recorder.note(|trace| trace.planned += 1);
            asked.spawn(async move {
                let doors = world.doors();
                let order: Vec<_> = (0..doors.len()).map(|n| &doors[(first + n) % doors.len()]).collect();
                let class = world.told(planned.class);
                ask(&order, planned, &class, world.width(), &world.recorder).await;
            });
            while asked.try_join_next().is_some() {}
        }
        while asked.join_next().await.is_some() {}
        self.doors().iter().for_each(|door| door.close(&self.recorder));
    }
}

/// Whether a fault is on a node's link to its clients.
fn at_clients(fault: &Fault, node: usize) -> bool {
    matches!(fault, Fault::Link(place, _) if place.kind == Kind::Clients && place.nodes.has(node))
}

/// Puts on a link what holds now.
fn put(link: &Link, holding: &[&Fault], kind: Kind, node: usize, server: usize) {
    let (mut there, mut back, mut reset) = (Way::default(), Way::default(), false);
    for fault in holding {
        let Fault::Link(place, trouble) = fault else { continue };
        if place.kind != kind || !place.nodes.has(node) || !place.servers.has(server) {
            continue;
        }
        let mut each = |ways: crate::scenario::Ways, change: &dyn Fn(&mut Way)| {
            if ways.there() {
                change(&mut there);
            }
            if ways.back() {
                change(&mut back);
            }
        };
        match *trouble {
            Trouble::Cut(ways) => each(ways, &|way| way.cut = true),
            Trouble::Delay(ways, by, jitter) => each(ways, &|way| {
                way.delay += Duration::from_secs_f64(by / 1000.0);
                way.jitter += Duration::from_secs_f64(jitter / 1000.0);
            }),
            Trouble::Rate(ways, rate) => {
                each(ways, &|way| way.rate = Some(way.rate.map_or(rate, |now| now.min(rate))));
            }
            Trouble::Change(part) => back.changed = back.changed.max(part),
            Trouble::After(ways, bytes, then) => each(ways, &|way| way.after = Some((bytes, then))),
            Trouble::Reset => reset = true,
        }
    }
    link.set(there, back);
    link.reset(reset);
}

/// Sends the load from threads of its own: starting a dozen processes must not make the generator late.
async fn load_apart(world: Arc<World>) -> io::Result<()> {
    let (done, loaded) = tokio::sync::oneshot::channel();
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(GENERATORS).enable_all().build()?;
    std::thread::Builder::new().spawn(move || {
        runtime.block_on(world.load());
        // Nobody listens where the play has been given up.
        let _ = done.send(());
        runtime.shutdown_background();
    })?;
    loaded.await.map_err(io::Error::other)
}

fn uid(server: usize) -> String {
    format!("s-{server}")
}

/// Plays a scenario. What the processes write goes into a folder, which must exist.
///
/// # Errors
/// If the rig itself fails: a process that does not start, or no port.
pub async fn play(
    scenario: &Scenario,
    program: &Program,
    folder: &Path,
    seed: u64,
) -> Result<Played, RigError> {
    let mut world = World::new(scenario, program, folder, seed).await.map_err(because("the rig"))?;
    for number in 0..scenario.nodes {
        world.start(number).await.map_err(because("a node"))?;
    }
    let mut doors = Vec::new();
    for (number, node) in world.nodes.iter().enumerate() {
        let link = Link::open(node.lock().await.address, |_| {}).await.map_err(because("a link"))?;
        doors.push(Door::new(number, link));
    }
    // Set here alone, so it is not set yet.
    let _ = world.doors.set(doors);
    // The clock of the play begins when all stand.
    world.begin(Instant::now() + LEAD);
    let world = Arc::new(world);
    let faults = tokio::spawn(world.clone().faults());
    let loaded = load_apart(world.clone()).await;
    loaded.map_err(because("the generator"))?;
    faults.await.map_err(io::Error::other).and_then(|made| made).map_err(because("a fault"))?;
    let mut trace = world.recorder.take();
    trace.runs.sort_by(|a, b| a.at.total_cmp(&b.at));
    let (mut verdict, mut figures, mut findings) = judge(&world.rules, &trace);
    for (number, node) in world.nodes.iter().enumerate() {
        if node.lock().await.crashed() {
            findings.push(Finding { rule: "no crash", what: format!("node {number} ended by itself") });
            verdict = Verdict::Broken;
        }
    }
    let (mut said, mut processor) = (Vec::new(), 0.0);
    for node in &world.nodes {
        let mut node = node.lock().await;
        processor += node.processor();
        said.push(lock(&node.said()).clone());
        node.signal(Signal::KILL);
        node.ended(world.guard.as_ref(), LEAVE_PATIENCE).await;
    }
    if !scenario.steps.iter().any(|step| matches!(step.fault, Fault::Kill(_) | Fault::Term(_))) {
        figures.cpu = Some(processor * 1e6 / figures.requests.max(1) as f64);
    }
    Ok(Played { verdict, figures, findings, trace, said })
}
