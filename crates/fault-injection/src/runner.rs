//! Plays a scenario: makes its faults one moment after the other, sends the load, has the trace judged.

use crate::client::{ask, NodeEndpoint, PlannedRequest};
use crate::node::Program;
use crate::oracle::{judge, Figures, Finding, Verdict};
use crate::relay::Link;
use crate::scenario::{Fault, LinkFault, LinkKind, NodeKind, Scenario, Selection, Step};
use crate::testbed::{longest, Testbed, CLASS_PERCENTAGES, LEAD_TIME, SHUTDOWN_TIME_MS};
use crate::trace::{lock, Recorder, Shutdown, Span, Trace};
use rustix::process::{Resource, Signal};
use std::fmt;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// The list tells this much later that a process runs or runs no more, in milliseconds.
const DISCOVERY_DELAY_MS: f64 = 800.0;
/// After a fault of its link to discovery a node has heard what it missed within this, in milliseconds: it asks anew a
/// second after a connection broke.
const DISCOVERY_RECOVERY_MS: f64 = 1200.0;
/// How often the rig looks whether it stands still.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(5);
/// Threads that send the load.
const GENERATOR_THREADS: usize = 2;
/// What a fault of a link broke is seen this much later, in milliseconds.
const CLIENT_FAULT_DELAY_MS: f64 = 100.0;
/// How long a node that does not end by itself is waited for beyond that.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// What came of a play.
#[derive(Debug)]
pub struct RunResult {
    /// What it says.
    pub verdict: Verdict,
    /// How it went.
    pub figures: Figures,
    /// What is not as it must be.
    pub findings: Vec<Finding>,
    /// All that happened.
    pub trace: Trace,
    /// What each node wrote to its standard error, and when.
    pub logs: Vec<Vec<(f64, String)>>,
}

/// Why there was no play.
#[derive(Debug)]
pub struct HarnessError {
    context: &'static str,
    error: io::Error,
}

impl fmt::Display for HarnessError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.context, self.error)
    }
}

impl std::error::Error for HarnessError {}

fn because(context: &'static str) -> impl FnOnce(io::Error) -> HarnessError {
    move |error| HarnessError { context, error }
}

impl Testbed {
    async fn signal(&self, nodes: &Selection, signal: Signal) {
        for number in nodes.of(self.scenario.nodes) {
            self.nodes[number].lock().await.signal(signal);
        }
    }

    async fn limit(&self, nodes: &Selection, what: Resource, count: Option<u64>) {
        for number in nodes.of(self.scenario.nodes) {
            self.nodes[number].lock().await.limit(what, count);
        }
    }

    fn exempt_all(&self, nodes: &Selection, from: f64, to: f64) {
        nodes.of(self.scenario.nodes).iter().for_each(|number| self.exempt(*number, from, to));
    }

    /// What a step does to processes, from its beginning to its end; links and servers are set by `apply`.
    async fn processes(self: Arc<Self>, step: Step) -> io::Result<()> {
        let end = step.end();
        let ends = self.recorder.instant(end);
        match &step.fault {
            Fault::Kill(nodes) | Fault::Term(nodes) => {
                let killed = matches!(step.fault, Fault::Kill(_));
                let mut each = JoinSet::new();
                for number in nodes.of(self.scenario.nodes) {
                    let testbed = self.clone();
                    each.spawn(async move {
                        let begun = testbed.recorder.now();
                        let patience =
                            if killed { 0.0 } else { longest(&testbed.rules.classes) + SHUTDOWN_TIME_MS };
                        {
                            testbed.mark_killed(number, killed);
                            let mut node = testbed.nodes[number].lock().await;
                            node.signal(if killed { Signal::KILL } else { Signal::TERM });
                            let patience = Duration::from_secs_f64(patience / 1000.0) + SHUTDOWN_TIMEOUT;
                            let took =
                                node.ended(testbed.guard.as_ref(), patience).await.as_secs_f64() * 1000.0;
                            if !killed {
                                testbed
                                    .recorder
                                    .note(|trace| trace.shutdowns.push(Shutdown { node: number, took }));
                            }
                        }
                        sleep_until(ends).await;
                        testbed.start(number).await?;
                        testbed.mark_killed(number, false);
                        if killed {
                            testbed.exempt(number, begun, testbed.recorder.now());
                        }
                        Ok::<(), io::Error>(())
                    });
                }
                while let Some(started) = each.join_next().await {
                    started.map_err(io::Error::other)??;
                }
            }
            Fault::Pause(nodes) => {
                self.signal(nodes, Signal::STOP).await;
                sleep_until(ends).await;
                self.signal(nodes, Signal::CONT).await;
                self.exempt_all(nodes, step.at, self.recorder.now());
            }
            Fault::Duty(nodes, part, period) => {
                let still = Duration::from_secs_f64(part * period / 1000.0);
                let runs = Duration::from_secs_f64((1.0 - part) * period / 1000.0);
                while Instant::now() < ends {
                    for (signal, holds) in [(Signal::STOP, still), (Signal::CONT, runs)] {
                        self.signal(nodes, signal).await;
                        tokio::time::sleep(holds).await;
                    }
                }
                self.exempt_all(nodes, step.at, self.recorder.now());
            }
            Fault::Descriptors(nodes, count) => {
                self.limit(nodes, Resource::Nofile, Some(*count)).await;
                sleep_until(ends).await;
                self.limit(nodes, Resource::Nofile, None).await;
                // What waits in the system's queue has been taken by nobody, and no client can tell.
                self.exempt_all(nodes, step.at, end);
            }
            Fault::FullDisk(nodes) => {
                self.limit(nodes, Resource::Fsize, Some(0)).await;
                sleep_until(ends).await;
                self.limit(nodes, Resource::Fsize, None).await;
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
                        .filter(|d| nodes.has(d.node) && d.at >= step.at - DISCOVERY_RECOVERY_MS);
                    late.for_each(|drain| drain.at = drain.at.max(step.at + DISCOVERY_RECOVERY_MS));
                });
            }
            Fault::Unlisted(nodes) if self.scenario.form == NodeKind::Sidecar => {
                sleep_until(ends).await;
                let left: Vec<usize> = {
                    let told = lock(&self.told);
                    told.iter().filter(|(_, state)| **state != "SERVING").map(|(server, _)| *server).collect()
                };
                for number in nodes.of(self.scenario.nodes) {
                    self.reload(number, &left).await?;
                }
            }
            Fault::Link(place, _) if place.kind == LinkKind::Clients => {
                self.exempt_all(&place.nodes, step.at, end + CLIENT_FAULT_DELAY_MS);
            }
            Fault::Link(place, _) if place.kind == LinkKind::Lists => {
                sleep_until(ends).await;
                // What was written meanwhile has come only now, or on the next connection.
                self.recorder.note(|trace| {
                    let late = trace.drains.iter_mut().filter(|d| place.nodes.has(d.node) && d.at >= step.at);
                    late.for_each(|drain| drain.at = drain.at.max(end + DISCOVERY_RECOVERY_MS));
                });
            }
            Fault::Link(_, LinkFault::Change(_)) => {
                self.recorder.note(|trace| trace.corruption_spans.push(Span { from: step.at, to: end }));
            }
            Fault::Drain(servers) => {
                let drained = servers.of(self.scenario.servers);
                self.list(&drained, "DRAINING", 0).await?;
                sleep_until(ends).await;
                self.list(&drained, "DELETED", 0).await?;
            }
            Fault::Crash(servers) => {
                let lost = servers.of(self.scenario.servers);
                sleep_until(self.recorder.instant(step.at + DISCOVERY_DELAY_MS)).await;
                if DISCOVERY_DELAY_MS < step.lasts {
                    self.list(&lost, "DELETED", 0).await?;
                }
                sleep_until(ends).await;
                let now = self.recorder.now();
                for server in &lost {
                    self.servers[*server].change(|condition| condition.started = Some(now));
                }
                self.recorder.note(|trace| {
                    trace.cold_starts.extend(lost.iter().map(|server| (*server, now)));
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
        let mut moments: Vec<f64> = steps.iter().flat_map(|s| [s.at, s.end()]).collect();
        moments.sort_by(f64::total_cmp);
        moments.dedup();
        let mut processes = JoinSet::new();
        for moment in moments {
            sleep_until(self.recorder.instant(moment)).await;
            for step in steps.iter().filter(|step| step.at == moment) {
                processes.spawn(self.clone().processes(step.clone()));
                let span = Span { from: step.at, to: step.end() };
                self.recorder.note(|trace| trace.faults.push((step.fault.to_string(), span)));
            }
            self.apply(
                &steps.iter().filter(|step| step.holds(moment)).map(|step| &step.fault).collect::<Vec<_>>(),
            );
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
        let (mut scheduled, mut id) = (0.0, 0);
        loop {
            scheduled -= (1.0 - draw.f64()).ln() * 1000.0 / self.scenario.rate;
            if scheduled >= self.scenario.length {
                break;
            }
            id += 1;
            let lot = draw.u32(0..CLASS_PERCENTAGES.iter().sum());
            let class = CLASS_PERCENTAGES
                .iter()
                .scan(0, |sum, part| {
                    *sum += part;
                    Some(*sum)
                })
                .take_while(|s| *s <= lot)
                .count();
            let planned =
                PlannedRequest { id, class, customer: draw.u32(0..self.scenario.customers), scheduled };
            let first = draw.usize(0..self.scenario.nodes);
            sleep_until(self.recorder.instant(scheduled)).await;
            let testbed = self.clone();
            self.recorder.note(|trace| trace.planned += 1);
            asked.spawn(async move {
                let endpoints = testbed.endpoints();
                let order: Vec<_> =
                    (0..endpoints.len()).map(|n| &endpoints[(first + n) % endpoints.len()]).collect();
                let class = testbed.told(planned.class);
                ask(&order, planned, &class, testbed.width(), &testbed.recorder).await;
            });
            while asked.try_join_next().is_some() {}
        }
        while asked.join_next().await.is_some() {}
        self.endpoints().iter().for_each(|endpoint| endpoint.close(&self.recorder));
    }
}

/// Notes the longest time for which the threads that carry links and stand-ins did nothing.
async fn watch_itself(recorder: Recorder) {
    loop {
        let due = Instant::now() + HEARTBEAT_INTERVAL;
        sleep_until(due).await;
        let late = due.elapsed().as_secs_f64() * 1000.0;
        recorder.note(|trace| trace.longest_stall = trace.longest_stall.max(late));
    }
}

/// Sends the load from threads of its own: starting a dozen processes must not make the generator late.
async fn load_apart(testbed: Arc<Testbed>) -> io::Result<()> {
    let (done, loaded) = tokio::sync::oneshot::channel();
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(GENERATOR_THREADS).enable_all().build()?;
    std::thread::Builder::new().spawn(move || {
        runtime.block_on(testbed.load());
        // Nobody listens where the play has been given up.
        let _ = done.send(());
        runtime.shutdown_background();
    })?;
    loaded.await.map_err(io::Error::other)
}

/// Plays a scenario in a runtime of its own. What the processes write goes into a folder, or into one that ends with the
/// play.
///
/// # Errors
/// As for [`play`], and if there is no folder.
pub fn run_once(
    scenario: &Scenario,
    program: &Program,
    seed: u64,
    keep: Option<&Path>,
) -> Result<RunResult, HarnessError> {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let own = std::env::temp_dir().join(format!("ivygate-fleet-{}-{number}", std::process::id()));
    let folder = keep.unwrap_or(&own);
    let named = |error: io::Error| io::Error::new(error.kind(), format!("{}: {error}", folder.display()));
    std::fs::create_dir_all(folder).map_err(named).map_err(because("a folder"))?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(because("the rig"))?;
    let played = runtime.block_on(run_scenario(scenario, program, folder, seed));
    runtime.shutdown_background();
    if keep.is_none() {
        // What can't be removed stays in the system's folder for such things.
        let _ = std::fs::remove_dir_all(&own);
    }
    played
}

/// Plays a scenario on its own seed until the machine has had enough to spare for a verdict, five times at most; the
/// last play is void if it never had.
///
/// # Errors
/// As for [`run_once`].
pub fn run_until_conclusive(scenario: &Scenario, program: &Program) -> Result<RunResult, HarnessError> {
    const TRIES: usize = 5;
    let mut played = run_once(scenario, program, scenario.seed, None)?;
    for _ in 1..TRIES {
        if played.verdict != Verdict::Void {
            break;
        }
        played = run_once(scenario, program, scenario.seed, None)?;
    }
    Ok(played)
}

/// Plays a scenario. What the processes write goes into a folder, which must exist.
///
/// # Errors
/// If the rig itself fails: a process that does not start, or no port.
pub async fn run_scenario(
    scenario: &Scenario,
    program: &Program,
    folder: &Path,
    seed: u64,
) -> Result<RunResult, HarnessError> {
    let mut testbed = Testbed::new(scenario, program, folder, seed).await.map_err(because("the rig"))?;
    for number in 0..scenario.nodes {
        testbed.start(number).await.map_err(because("a node"))?;
    }
    let mut endpoints = Vec::new();
    for (number, node) in testbed.nodes.iter().enumerate() {
        let link = Link::open(node.lock().await.address, |_| {}).await.map_err(because("a link"))?;
        endpoints.push(NodeEndpoint::new(number, link));
    }
    // Set here alone, so it is not set yet.
    let _ = testbed.endpoints.set(endpoints);
    // The clock of the play begins when all stand.
    testbed.begin(Instant::now() + LEAD_TIME);
    let testbed = Arc::new(testbed);
    let faults = tokio::spawn(testbed.clone().faults());
    let watch = tokio::spawn(watch_itself(testbed.recorder.clone()));
    let loaded = load_apart(testbed.clone()).await;
    loaded.map_err(because("the generator"))?;
    faults.await.map_err(io::Error::other).and_then(|made| made).map_err(because("a fault"))?;
    watch.abort();
    let mut trace = testbed.recorder.take();
    trace.executions.sort_by(|a, b| a.at.total_cmp(&b.at));
    let (mut verdict, mut figures, mut findings) = judge(&testbed.rules, &trace);
    for (number, node) in testbed.nodes.iter().enumerate() {
        if node.lock().await.crashed() {
            findings
                .push(Finding { rule: "no crash", description: format!("node {number} ended by itself") });
            verdict = Verdict::Broken;
        }
    }
    let (mut logs, mut cpu_seconds) = (Vec::new(), 0.0);
    for node in &testbed.nodes {
        let mut node = node.lock().await;
        cpu_seconds += node.cpu_seconds();
        logs.push(lock(&node.logs()).clone());
        node.signal(Signal::KILL);
        node.ended(testbed.guard.as_ref(), SHUTDOWN_TIMEOUT).await;
    }
    if !scenario.steps.iter().any(|step| matches!(step.fault, Fault::Kill(_) | Fault::Term(_))) {
        figures.cpu_us = Some(cpu_seconds * 1e6 / figures.requests.max(1) as f64);
    }
    Ok(RunResult { verdict, figures, findings, trace, logs })
}
