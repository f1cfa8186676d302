//! Plays a scenario: makes its faults one moment after the other, sends the load, has the trace judged.

use crate::client::{ask, Door, Planned};
use crate::node::Program;
use crate::oracle::{judge, Figures, Finding, Verdict};
use crate::relay::Link;
use crate::scenario::{Fault, Form, Kind, Scenario, Step, Trouble};
use crate::trace::{lock, Leave, Span, Trace};
use crate::world::{World, LEAD, LEAVE, MIX};
use rustix::process::{Resource, Signal};
use std::fmt;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// The list tells this much later that a process runs or runs no more, in milliseconds.
const NOTICE: f64 = 800.0;
/// After a fault of its link to discovery a node has heard what it missed within this, in milliseconds: it asks anew a
/// second after a connection broke.
const HEARD_AGAIN: f64 = 1200.0;
/// Threads that send the load.
const GENERATORS: usize = 2;
/// What a fault of a link broke is seen this much later, in milliseconds.
const BREAKS_SEEN: f64 = 100.0;
/// How long a node that does not end by itself is waited for beyond that.
const LEAVE_PATIENCE: Duration = Duration::from_secs(5);

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

impl World {
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
