//! Runs a scenario: injects its faults, sends the load, and has the oracle check the trace.

use crate::client::{send_request, NodeEndpoint, PlannedRequest};
use crate::node::Program;
use crate::oracle::{check_trace, Figures, Finding, Verdict};
use crate::relay::Link;
use crate::scenario::{Fault, LinkFault, LinkKind, NodeKind, Scenario, Selection, Step};
use crate::testbed::{longest_deadline, Testbed, CLASS_PERCENTAGES, LEAD_TIME, SHUTDOWN_TIME_MS};
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

/// Delay with which discovery reports that a server has stopped, in milliseconds.
const DISCOVERY_DELAY_MS: f64 = 800.0;
/// Time after a fault of a discovery link within which a node receives missed updates, in milliseconds: it reconnects
/// one second after a connection failed.
const DISCOVERY_RECOVERY_MS: f64 = 1200.0;
/// Interval at which the harness checks itself for stalls.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(5);
/// Number of threads that send the load.
const GENERATOR_THREADS: usize = 2;
/// Time after a fault of a client link in which its effects may still be seen, in milliseconds.
const CLIENT_FAULT_DELAY_MS: f64 = 100.0;
/// Time beyond the longest shutdown after which a node is killed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of a run.
#[derive(Debug)]
pub struct RunResult {
    /// Verdict.
    pub verdict: Verdict,
    /// Figures.
    pub figures: Figures,
    /// Violations of rules.
    pub findings: Vec<Finding>,
    /// The recorded trace.
    pub trace: Trace,
    /// Lines that each node wrote to its standard error, with their times.
    pub logs: Vec<Vec<(f64, String)>>,
}

/// A failure of the harness itself.
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

fn harness_error(context: &'static str) -> impl FnOnce(io::Error) -> HarnessError {
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

    /// Applies a step to processes, from its start to its end; links and servers are set by `apply`.
    async fn apply_to_processes(self: Arc<Self>, step: Step) -> io::Result<()> {
        let end = step.end();
        let ends = self.recorder.instant(end);
        match &step.fault {
            Fault::Kill(nodes) | Fault::Term(nodes) => {
                let killed = matches!(step.fault, Fault::Kill(_));
                let mut each = JoinSet::new();
                for number in nodes.of(self.scenario.nodes) {
                    let testbed = self.clone();
                    each.spawn(async move {
                        let started_at = testbed.recorder.now();
                        let patience = if killed {
                            0.0
                        } else {
                            longest_deadline(&testbed.rules.classes) + SHUTDOWN_TIME_MS
                        };
                        {
                            testbed.mark_killed(number, killed);
                            let mut node = testbed.nodes[number].lock().await;
                            node.signal(if killed { Signal::KILL } else { Signal::TERM });
                            let patience = Duration::from_secs_f64(patience / 1000.0) + SHUTDOWN_TIMEOUT;
                            let took =
                                node.wait_for_end(testbed.guard.as_ref(), patience).await.as_secs_f64()
                                    * 1000.0;
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
                            testbed.exempt(number, started_at, testbed.recorder.now());
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
                // Connections in the accept queue were not accepted by the node, which clients cannot detect.
                self.exempt_all(nodes, step.at, end);
            }
            Fault::FullDisk(nodes) => {
                self.limit(nodes, Resource::Fsize, Some(0)).await;
                sleep_until(ends).await;
                self.limit(nodes, Resource::Fsize, None).await;
            }
            Fault::Move(nodes) => {
                for number in nodes.of(self.scenario.nodes) {
                    self.move_discovery(number).await?;
                }
                // Updates written to the old address may not have arrived.
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
                let drained: Vec<usize> = {
                    let told = lock(&self.server_states);
                    told.iter().filter(|(_, state)| **state != "SERVING").map(|(server, _)| *server).collect()
                };
                for number in nodes.of(self.scenario.nodes) {
                    self.reload(number, &drained).await?;
                }
            }
            Fault::Link(place, _) if place.kind == LinkKind::Clients => {
                self.exempt_all(&place.nodes, step.at, end + CLIENT_FAULT_DELAY_MS);
            }
            Fault::Link(place, _) if place.kind == LinkKind::Lists => {
                sleep_until(ends).await;
                // Updates written during the fault arrive only now, or on the next connection.
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
                self.announce_state(&drained, "DRAINING", 0).await?;
                sleep_until(ends).await;
                self.announce_state(&drained, "DELETED", 0).await?;
            }
            Fault::Crash(servers) => {
                let lost = servers.of(self.scenario.servers);
                sleep_until(self.recorder.instant(step.at + DISCOVERY_DELAY_MS)).await;
                if DISCOVERY_DELAY_MS < step.duration {
                    self.announce_state(&lost, "DELETED", 0).await?;
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
                self.announce_state(&lost, "SERVING", (self.epoch + now) as u64).await?;
            }
            _ => {}
        }
        Ok(())
    }

    /// Injects the faults in order of time.
    async fn inject_faults(self: Arc<Self>) -> io::Result<()> {
        let steps = &self.scenario.steps;
        let mut moments: Vec<f64> = steps.iter().flat_map(|s| [s.at, s.end()]).collect();
        moments.sort_by(f64::total_cmp);
        moments.dedup();
        let mut processes = JoinSet::new();
        for moment in moments {
            sleep_until(self.recorder.instant(moment)).await;
            for step in steps.iter().filter(|step| step.at == moment) {
                processes.spawn(self.clone().apply_to_processes(step.clone()));
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

    /// Sends the load; each request starts at its scheduled time, independently of the others.
    async fn send_load(self: Arc<Self>) {
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
                let class = testbed.configured_class(planned.class);
                send_request(&order, planned, &class, testbed.configured_node_count(), &testbed.recorder)
                    .await;
            });
            while asked.try_join_next().is_some() {}
        }
        while asked.join_next().await.is_some() {}
        self.endpoints().iter().for_each(|endpoint| endpoint.close(&self.recorder));
    }
}

/// Records the longest stall of the threads that serve links and test servers.
async fn watch_for_stalls(recorder: Recorder) {
    loop {
        let due = Instant::now() + HEARTBEAT_INTERVAL;
        sleep_until(due).await;
        let late = due.elapsed().as_secs_f64() * 1000.0;
        recorder.note(|trace| trace.longest_stall = trace.longest_stall.max(late));
    }
}

/// Sends the load from separate threads, since starting a dozen processes must not delay the generator.
async fn send_load_from_threads(testbed: Arc<Testbed>) -> io::Result<()> {
    let (done, loaded) = tokio::sync::oneshot::channel();
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(GENERATOR_THREADS).enable_all().build()?;
    std::thread::Builder::new().spawn(move || {
        runtime.block_on(testbed.send_load());
        // The receiver is gone if the run was abandoned.
        let _ = done.send(());
        runtime.shutdown_background();
    })?;
    loaded.await.map_err(io::Error::other)
}

/// Runs a scenario in a runtime of its own. Files of the processes are written to `keep`, or to a temporary folder that
/// is removed after the run.
///
/// # Errors
/// As for [`run_scenario`], and if the folder cannot be created.
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
    std::fs::create_dir_all(folder).map_err(named).map_err(harness_error("cannot create the folder"))?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(harness_error("cannot set up the test bed"))?;
    let played = runtime.block_on(run_scenario(scenario, program, folder, seed));
    runtime.shutdown_background();
    if keep.is_none() {
        // A folder that cannot be removed stays in the system's temporary folder.
        let _ = std::fs::remove_dir_all(&own);
    }
    played
}

/// Runs a scenario with its own seed until the run is conclusive, at most five times; if none is, returns the
/// last, void run.
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

/// Runs a scenario. Files of the processes are written to `folder`, which must exist.
///
/// # Errors
/// If the harness itself fails, for example if a process does not start or no port can be bound.
pub async fn run_scenario(
    scenario: &Scenario,
    program: &Program,
    folder: &Path,
    seed: u64,
) -> Result<RunResult, HarnessError> {
    let mut testbed = Testbed::new(scenario, program, folder, seed)
        .await
        .map_err(harness_error("cannot set up the test bed"))?;
    for number in 0..scenario.nodes {
        testbed.start(number).await.map_err(harness_error("cannot start a node"))?;
    }
    let mut endpoints = Vec::new();
    for (number, node) in testbed.nodes.iter().enumerate() {
        let link = Link::open(node.lock().await.address, |_| {})
            .await
            .map_err(harness_error("cannot open a link"))?;
        endpoints.push(NodeEndpoint::new(number, link));
    }
    // Cannot fail: this is the only place that sets it.
    let _ = testbed.endpoints.set(endpoints);
    // The run starts once all nodes are up.
    testbed.begin(Instant::now() + LEAD_TIME);
    let testbed = Arc::new(testbed);
    let faults = tokio::spawn(testbed.clone().inject_faults());
    let watch = tokio::spawn(watch_for_stalls(testbed.recorder.clone()));
    let loaded = send_load_from_threads(testbed.clone()).await;
    loaded.map_err(harness_error("the load generator failed"))?;
    faults
        .await
        .map_err(io::Error::other)
        .and_then(|made| made)
        .map_err(harness_error("cannot inject a fault"))?;
    watch.abort();
    let mut trace = testbed.recorder.take();
    trace.executions.sort_by(|a, b| a.at.total_cmp(&b.at));
    let (mut verdict, mut figures, mut findings) = check_trace(&testbed.rules, &trace);
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
        node.wait_for_end(testbed.guard.as_ref(), SHUTDOWN_TIMEOUT).await;
    }
    if !scenario.steps.iter().any(|step| matches!(step.fault, Fault::Kill(_) | Fault::Term(_))) {
        figures.cpu_us = Some(cpu_seconds * 1e6 / figures.requests.max(1) as f64);
    }
    Ok(RunResult { verdict, figures, findings, trace, logs })
}
