//! Plays a scenario: puts the parts of the world together, starts the processes, sends the load, makes the faults.

use crate::client::{ask, Door, Planned};
use crate::discovery::{Discovery, Listed};
use crate::node::{Guard, Node, Program};
use crate::oracle::{judge, Figures, Finding, Rules, Verdict};
use crate::relay::{Link, Way};
use crate::scenario::{Fault, Plant, Scenario, Step, Ways, ZONES};
use crate::server::{Backend, Make, Server};
use crate::trace::{Class, Effect, Excuse, Recorder, Span, Trace};
use rustix::process::Signal;
use serde_json::json;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
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
    links: Vec<Vec<Link>>,
    nodes: Vec<Mutex<Node>>,
    /// Set once all nodes have started; they keep their addresses.
    doors: OnceLock<Vec<Door>>,
    guard: Option<Guard>,
    seed: u64,
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
        let mut servers = Vec::new();
        for number in 0..scenario.servers {
            servers.push(Server::start(number, backend.clone()).await?);
        }
        let (mut agents, mut links, mut nodes) = (Vec::new(), Vec::new(), Vec::new());
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
            agents.push(agent);
            links.push(own);
            nodes.push(Mutex::new(Node::new(&program.program, folder, number)));
        }
        let guard = program.guard.as_deref().map(Guard::start).transpose()?;
        let (epoch, scenario) = (0.0, scenario.clone());
        let doors = OnceLock::new();
        Ok(Self { scenario, rules, recorder, epoch, servers, agents, links, nodes, doors, guard, seed })
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
        let agent = &self.agents[number];
        let (listed, known) = (agent.address, agent.known());
        let seed = self.seed ^ (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        node.start(self.guard.as_ref(), |address| self.config(number, address, listed, &known, seed)).await
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
        for (number, links) in self.links.iter().enumerate() {
            for (server, link) in links.iter().enumerate() {
                let (mut there, mut back, mut reset) = (Way::default(), Way::default(), false);
                for fault in holding {
                    match fault {
                        Fault::Cut(nodes, servers, ways) if nodes.has(number) && servers.has(server) => {
                            there.cut |= *ways != Ways::Back;
                            back.cut |= *ways != Ways::There;
                        }
                        Fault::Delay(nodes, servers, by, jitter)
                            if nodes.has(number) && servers.has(server) =>
                        {
                            for way in [&mut there, &mut back] {
                                way.delay += Duration::from_secs_f64(by / 1000.0);
                                way.jitter += Duration::from_secs_f64(jitter / 1000.0);
                            }
                        }
                        Fault::Reset(nodes, servers) => reset |= nodes.has(number) && servers.has(server),
                        _ => {}
                    }
                }
                link.set(there, back);
                link.reset(reset);
            }
            self.agents[number]
                .silence(holding.iter().any(|f| matches!(f, Fault::Unlisted(n) if n.has(number))));
        }
        for server in &self.servers {
            let number = server.number;
            let (mut slow, mut wrong, mut swallows, mut up) = (1.0, 0.0_f64, false, true);
            for fault in holding {
                match fault {
                    Fault::Slow(servers, times) if servers.has(number) => slow *= times,
                    Fault::Wrong(servers, part) if servers.has(number) => wrong = wrong.max(*part),
                    Fault::Swallow(servers) => swallows |= servers.has(number),
                    Fault::Crash(servers) => up &= !servers.has(number),
                    _ => {}
                }
            }
            server.change(|c| (c.slow, c.wrong, c.swallows, c.up) = (slow, wrong, swallows, up));
        }
    }

    /// Tells all nodes' agents of a server's state.
    fn list(&self, server: usize, state: &'static str, boot_ms: u64) {
        for (agent, links) in self.agents.iter().zip(&self.links) {
            agent.set(&uid(server), Listed { server, address: links[server].address, state, boot_ms });
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
                            let patience = Duration::from_secs_f64(patience / 1000.0 + 5.0);
                            node.ended(world.guard.as_ref(), patience).await;
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
            Fault::Drain(servers) => {
                let drained = servers.of(self.scenario.servers);
                drained.iter().for_each(|server| self.list(*server, "DRAINING", 0));
                sleep_until(ends).await;
                drained.iter().for_each(|server| self.list(*server, "DELETED", 0));
            }
            Fault::Crash(servers) => {
                let lost = servers.of(self.scenario.servers);
                sleep_until(self.recorder.instant(step.at + NOTICE)).await;
                if NOTICE < step.lasts {
                    lost.iter().for_each(|server| self.list(*server, "DELETED", 0));
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
                lost.iter().for_each(|server| self.list(*server, "SERVING", (self.epoch + now) as u64));
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
                self.recorder.note(|trace| trace.faults.push((format!("{:?}", step.fault), span)));
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
            asked.spawn(async move {
                let doors = world.doors();
                let turned = |n: usize| (first + n) % doors.len();
                let order: Vec<_> = (0..doors.len()).map(|n| (turned(n), &doors[turned(n)])).collect();
                let class = world.told(planned.class);
                ask(&order, planned, &class, world.width(), &world.recorder).await;
            });
            while asked.try_join_next().is_some() {}
        }
        while asked.join_next().await.is_some() {}
    }
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
    for node in &world.nodes {
        doors.push(Door::new(node.lock().await.address));
    }
    // Set here alone, so it is not set yet.
    let _ = world.doors.set(doors);
    // The clock of the play begins when all stand.
    world.begin(Instant::now() + LEAD);
    let world = Arc::new(world);
    let faults = tokio::spawn(world.clone().faults());
    world.clone().load().await;
    faults.await.map_err(io::Error::other).and_then(|made| made).map_err(because("a fault"))?;
    let mut trace = world.recorder.take();
    trace.runs.sort_by(|a, b| a.at.total_cmp(&b.at));
    let (mut verdict, figures, mut findings) = judge(&world.rules, &trace);
    for (number, node) in world.nodes.iter().enumerate() {
        if node.lock().await.crashed() {
            findings.push(Finding { rule: "no crash", what: format!("node {number} ended by itself") });
            verdict = Verdict::Broken;
        }
    }
    for node in &world.nodes {
        let mut node = node.lock().await;
        node.signal(Signal::KILL);
        node.ended(world.guard.as_ref(), Duration::from_secs(5)).await;
    }
    Ok(Played { verdict, figures, findings, trace })
}
