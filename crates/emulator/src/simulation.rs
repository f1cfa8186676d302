//! The simulation: event queue, network, clients and results.

use crate::node::{Attempt, Node, OpenRequest};
use crate::scenario::{Fault, FaultKind, PeerNetwork, Scenario, CLASS_MIX, ZONE_NAMES};
use crate::server::{Job, Server};
use ivygate_failure_domains::ZoneReport;
use ivygate_gateway::{
    Action, Arrival, AttemptResult, Effect, Event, ListKind, Load, Outcome, RequestClass, ServerEntry,
    ServerState, SettingsError,
};
use ivygate_time::{Millis, Timestamp};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::rc::Rc;

/// One-way network delay between a node and a server.
const NETWORK_DELAY: Millis = 0.3;
/// Time after which a connection attempt without an answer fails.
const CONNECT_TIMEOUT: Millis = 250.0;
/// Window over which the load of a starting server is measured.
const COLD_LOAD_WINDOW: Millis = 2_000.0;

/// Results of a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SimulationResults {
    /// Number of requests.
    pub requests: u64,
    /// Requests served within the latency target.
    pub served: u64,
    /// Requests served later.
    pub served_late: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests that failed or were never answered.
    pub failed: u64,
    /// Requests whose effect happened twice.
    pub repeated_effects: u64,
    /// Requests from the first fault on that failed or were served late, and that were rejected.
    pub affected: (u64, u64),
    /// Times from the first fault until each node ejected a faulty zone, in ascending order; nodes that did not are missing.
    pub ejected_after: Vec<Millis>,
    /// Ejections of zones without a fault.
    pub false_ejections: u64,
    /// Nodes with an ejected zone at the end.
    pub ejected_at_end: u64,
    /// Maximum work sent to a starting server in a window, relative to its capacity in that window.
    pub peak_cold_load: f64,
    /// Maximum work sent to any other server in one second, relative to its capacity.
    pub peak_load: f64,
    /// Zone reports that a node received per second.
    pub reports_per_s: f64,
    /// Maximum number of health checks that the servers of a zone got in one second.
    pub peak_probes_per_s: f64,
}

impl SimulationResults {
    /// Returns the time from the first fault until this share of the nodes that ejected a zone had done so.
    pub fn ejected_by(&self, share: f64) -> Option<Millis> {
        let last = (share * self.ejected_after.len() as f64).ceil() as usize;
        self.ejected_after.get(last.max(1) - 1).copied()
    }
}

/// Kind of an event.
enum EventKind {
    Arrival,
    Timer(usize, u64),
    AttemptTimeout(usize, u64, u32),
    Deadline(usize, u64),
    /// An attempt arrives at a server.
    AttemptArrived(usize, Job),
    /// A server of the given incarnation has finished a request.
    RequestFinished(usize, u32, Job),
    /// The outcome of an attempt reaches a node.
    OutcomeReceived(usize, u64, u32, Outcome),
    HealthChecked(usize, usize, Outcome),
    /// Zone reports of another node reach a node.
    ReportsReceived(usize, usize, Rc<[ZoneReport]>),
    ByzantineReport(usize),
    ServerCrash(usize),
    ServerRestart(usize),
}

/// A scheduled event. Events are ordered by time, those of the same time in the order of scheduling.
struct ScheduledEvent {
    at: Millis,
    sequence: u64,
    kind: EventKind,
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

/// State of a running simulation.
struct Simulation<'a> {
    scenario: &'a Scenario,
    now: Millis,
    events: BinaryHeap<ScheduledEvent>,
    sequence: u64,
    classes: Vec<RequestClass>,
    rng: fastrand::Rng,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    /// Work sent to each server, with its time of arrival.
    sent: Vec<Vec<(Millis, f64)>>,
    health_checks: BTreeMap<(usize, u64), u64>,
    /// Zones in which the effect of a request has happened, by request.
    effects: HashMap<u64, Vec<usize>>,
    next_request: u64,
    received_reports: u64,
    results: SimulationResults,
}

/// Runs a scenario and returns its results.
///
/// # Errors
/// Returns an error if a gateway rejects its settings.
pub fn simulate(scenario: &Scenario) -> Result<SimulationResults, SettingsError> {
    let mut rng = fastrand::Rng::with_seed(scenario.seed);
    let mut nodes = Vec::new();
    for number in 0..scenario.nodes {
        nodes.push(Node::new(scenario, number, rng.u64(..))?);
    }
    let count = scenario.zones * scenario.servers_per_zone;
    let servers =
        (0..count).map(|n| Server::new(n % scenario.zones, n / scenario.zones, scenario.workers)).collect();
    let mut simulation = Simulation {
        scenario,
        now: 0.0,
        events: BinaryHeap::new(),
        sequence: 0,
        classes: scenario.classes(),
        rng,
        nodes,
        servers,
        sent: vec![Vec::new(); count],
        health_checks: BTreeMap::new(),
        effects: HashMap::new(),
        next_request: 0,
        received_reports: 0,
        results: SimulationResults::default(),
    };
    simulation.run();
    Ok(simulation.results())
}

impl Simulation<'_> {
    fn schedule(&mut self, at: Millis, kind: EventKind) {
        self.sequence += 1;
        self.events.push(ScheduledEvent { at: at.max(self.now), sequence: self.sequence, kind });
    }

    fn run(&mut self) {
        let entries: Vec<ServerEntry> = self
            .servers
            .iter()
            .enumerate()
            .map(|(number, server)| ServerEntry {
                server: number as u32,
                zone: ZONE_NAMES[server.zone].into(),
                cell: server.zone as u32,
                state: ServerState::Ready,
                weight: 1.0,
                started_at: None,
                distance_cost: 0.0,
                slow_start: None,
            })
            .collect();
        for node in 0..self.nodes.len() {
            self.deliver(node, Event::List { kind: ListKind::Full, servers: entries.clone().into() });
        }
        for fault in self.scenario.faults.clone() {
            if fault.kind == FaultKind::Crash {
                let is_affected = |s: &usize| affects(self.scenario, &fault, &self.servers[*s]);
                for server in (0..self.servers.len()).filter(is_affected).collect::<Vec<_>>() {
                    self.schedule(fault.at, EventKind::ServerCrash(server));
                    self.schedule(fault.until, EventKind::ServerRestart(server));
                }
            }
        }
        for node in 0..self.scenario.peer_network.map_or(0, |network| network.byzantine_nodes) {
            self.schedule(0.0, EventKind::ByzantineReport(node));
        }
        self.schedule(0.0, EventKind::Arrival);
        // Requests that are open at the end are answered within the longest deadline.
        let end = self.scenario.duration + 3_000.0;
        while let Some(ScheduledEvent { at, kind, .. }) = self.events.pop() {
            self.now = at;
            if self.now > end {
                break;
            }
            self.handle_event(kind);
        }
    }

    /// Returns the current fault between a node and a server for which `matches_kind` holds.
    fn active_fault(
        &self,
        node: usize,
        server: usize,
        matches_kind: impl Fn(&FaultKind) -> bool,
    ) -> Option<FaultKind> {
        let zones = (self.nodes[node].zone, self.servers[server].zone);
        let fault = self.scenario.faults.iter().find(|fault| {
            (fault.at..fault.until).contains(&self.now)
                && matches_kind(&fault.kind)
                && node % fault.nodes.1 < fault.nodes.0
                && (affects(self.scenario, fault, &self.servers[server])
                    || fault.kind == FaultKind::ZonePartition
                        && fault.zone == Some(zones.0)
                        && zones.0 != zones.1)
                && (fault.kind != FaultKind::ZonePartition || zones.0 != zones.1)
        });
        fault.map(|fault| fault.kind)
    }

    fn is_dropped(&self, node: usize, server: usize, is_response: bool) -> bool {
        let drops = |kind: &FaultKind| match kind {
            FaultKind::NetworkPartition | FaultKind::ZonePartition => true,
            FaultKind::ResponseLoss => is_response,
            _ => false,
        };
        self.active_fault(node, server, drops).is_some()
    }

    fn is_crashed(&self, node: usize, server: usize) -> bool {
        self.active_fault(node, server, |kind| *kind == FaultKind::Crash).is_some()
    }

    fn handle_event(&mut self, kind: EventKind) {
        match kind {
            EventKind::Arrival => self.handle_arrival(),
            EventKind::Timer(node, token) => self.deliver(node, Event::Timer { token }),
            EventKind::AttemptTimeout(node, request, attempt) => {
                self.end_attempt(node, request, attempt, Outcome::Timeout);
            }
            EventKind::OutcomeReceived(node, request, attempt, outcome) => {
                self.end_attempt(node, request, attempt, outcome);
            }
            EventKind::Deadline(node, request) => {
                if let Some(open) =
                    self.nodes[node].open_requests.get_mut(&request).filter(|open| !open.is_answered)
                {
                    let id = open.id.clone();
                    self.record_answer(node, request, None);
                    self.deliver(node, Event::ClientGone { request: id });
                }
                self.remove_if_finished(node, request);
            }
            EventKind::AttemptArrived(server, job) => self.handle_attempt_arrived(server, job),
            EventKind::RequestFinished(server, incarnation, job) => {
                if self.servers[server].incarnation == incarnation {
                    self.finish_request(server, job);
                }
            }
            EventKind::HealthChecked(node, server, outcome) => {
                self.deliver(
                    node,
                    Event::HealthChecked { server: server as u32, outcome, load: Load::default() },
                );
            }
            EventKind::ReportsReceived(node, sender, reports) => {
                self.received_reports += 1;
                self.nodes[node].handle_report(self.now, sender, &reports);
            }
            EventKind::ByzantineReport(node) => {
                let failing = |zone: &&str| ZoneReport { zone: (*zone).into(), successes: 0, failures: 99 };
                let reports: Vec<ZoneReport> =
                    ZONE_NAMES[..self.scenario.zones].iter().map(failing).collect();
                self.broadcast_reports(node, reports);
                self.schedule(self.now + 100.0, EventKind::ByzantineReport(node));
            }
            EventKind::ServerCrash(server) => {
                for job in self.servers[server].crash() {
                    self.schedule(
                        self.now + NETWORK_DELAY,
                        EventKind::OutcomeReceived(job.node, job.request, job.attempt, Outcome::Reset),
                    );
                }
            }
            EventKind::ServerRestart(server) => self.servers[server].started_at = Some(self.now),
        }
    }

    fn handle_arrival(&mut self) {
        let interval = -(1.0 - self.rng.f64()).ln() * 1000.0 / self.scenario.requests_per_s;
        if self.now + interval < self.scenario.duration {
            self.schedule(self.now + interval, EventKind::Arrival);
        }
        let node = self.rng.usize(0..self.nodes.len());
        let draw = self.rng.f64();
        let class =
            usize::from(draw >= CLASS_MIX[0].1) + usize::from(draw >= CLASS_MIX[0].1 + CLASS_MIX[1].1);
        let deadline = self.now + self.classes[class].deadline;
        let request = self.next_request;
        self.next_request += 1;
        self.results.requests += 1;
        let id: std::sync::Arc<str> = request.to_string().into();
        let open = OpenRequest {
            id: id.clone(),
            class,
            arrived_at: self.now,
            is_answered: false,
            attempts: Vec::new(),
        };
        self.nodes[node].open_requests.insert(request, open);
        self.schedule(deadline, EventKind::Deadline(node, request));
        let customer = self.rng.u32(0..self.scenario.customers);
        let arrival = Arrival {
            request: id,
            class: self.classes[class].name.as_str().into(),
            plan: "plain".into(),
            customer: customer.to_string().into(),
            deadline: Timestamp::from_millis(deadline - 12.0),
            units: 1.0,
            gateways: self.scenario.nodes as u32,
            zones: None,
            max_attempts: None,
        };
        self.deliver(node, Event::Arrival(arrival));
    }

    /// Sends a node's zone reports to all others.
    fn broadcast_reports(&mut self, sender: usize, reports: Vec<ZoneReport>) {
        let Some(PeerNetwork { delay, loss, partition, outage, .. }) = self.scenario.peer_network else {
            return;
        };
        let is_active = |(from, until): (Millis, Millis)| (from..until).contains(&self.now);
        let (is_partitioned, is_in_outage) = (is_active(partition), is_active(outage));
        let reports: Rc<[ZoneReport]> = reports.into();
        for node in (0..self.nodes.len()).filter(|node| *node != sender) {
            if is_in_outage || is_partitioned && node % 2 != sender % 2 || loss > 0.0 && self.rng.f64() < loss
            {
                continue;
            }
            let at = self.now + delay * (1.0 + self.rng.f64());
            self.schedule(at, EventKind::ReportsReceived(node, sender, reports.clone()));
        }
    }

    /// Passes an event to a node and carries out its actions.
    fn deliver(&mut self, node: usize, event: Event) {
        let request_number = |id: &std::sync::Arc<str>| id.parse::<u64>().unwrap_or(u64::MAX);
        for action in self.nodes[node].handle(self.now, event) {
            match action {
                Action::Send { request, server, give_up_at } => {
                    self.send_attempt(
                        node,
                        request_number(&request),
                        server as usize,
                        give_up_at.as_millis(),
                    );
                }
                Action::Reject { request, .. } => {
                    self.record_answer(node, request_number(&request), Some(Outcome::Rejected));
                }
                Action::Fail { request } => self.record_answer(node, request_number(&request), None),
                Action::Cancel { request, attempt } => {
                    self.schedule(
                        self.now,
                        EventKind::OutcomeReceived(
                            node,
                            request_number(&request),
                            attempt,
                            Outcome::Cancelled,
                        ),
                    );
                }
                Action::CheckHealth { server } => self.check_health(node, server as usize),
                Action::Timer { token, at } => self.schedule(at.as_millis(), EventKind::Timer(node, token)),
                Action::Subscribe | Action::Log { .. } => {}
            }
        }
        let is_byzantine = self.scenario.peer_network.is_some_and(|network| node < network.byzantine_nodes);
        if let Some(reports) = self.nodes[node].poll_report().filter(|_| !is_byzantine) {
            self.broadcast_reports(node, reports);
        }
    }

    fn send_attempt(&mut self, node: usize, request: u64, server: usize, give_up_at: Millis) {
        let Some(open) = self.nodes[node].open_requests.get_mut(&request) else { return };
        let attempt = open.attempts.len() as u32;
        let (mean, _) = CLASS_MIX[open.class];
        open.attempts.push(Attempt { server, sent_at: self.now, in_flight: true });
        self.schedule(give_up_at, EventKind::AttemptTimeout(node, request, attempt));
        if self.is_dropped(node, server, false) {
            return;
        }
        // The work depends on the request only, so that it is the same on each server.
        let mut work_rng = fastrand::Rng::with_seed(self.scenario.seed ^ (request << 16));
        work_rng.f64();
        let work = mean * (0.3 - 0.7 * (1.0 - work_rng.f64()).ln());
        self.schedule(
            self.now + NETWORK_DELAY,
            EventKind::AttemptArrived(server, Job { node, request, attempt, work }),
        );
    }

    fn check_health(&mut self, node: usize, server: usize) {
        *self.health_checks.entry((self.servers[server].zone, (self.now / 1000.0) as u64)).or_default() += 1;
        let (delay, outcome) = match (self.is_dropped(node, server, false), self.is_crashed(node, server)) {
            (true, _) => (CONNECT_TIMEOUT, Outcome::ConnectFailed),
            (false, true) => (2.0 * NETWORK_DELAY, Outcome::ConnectFailed),
            (false, false) => (2.0 * NETWORK_DELAY, Outcome::Ok),
        };
        self.schedule(self.now + delay, EventKind::HealthChecked(node, server, outcome));
    }

    fn handle_attempt_arrived(&mut self, server: usize, job: Job) {
        let (node, request, attempt) = (job.node, job.request, job.attempt);
        if self.is_crashed(node, server) {
            self.schedule(
                self.now + NETWORK_DELAY,
                EventKind::OutcomeReceived(node, request, attempt, Outcome::ConnectFailed),
            );
            return;
        }
        self.sent[server].push((self.now, job.work));
        if let Some(FaultKind::Errors(ratio)) =
            self.active_fault(node, server, |k| matches!(k, FaultKind::Errors(_)))
        {
            if self.rng.f64() < ratio {
                self.record_effect(request, server, node);
                self.schedule(
                    self.now + NETWORK_DELAY,
                    EventKind::OutcomeReceived(node, request, attempt, Outcome::Error),
                );
                return;
            }
        }
        match self.servers[server].accept(job) {
            Ok(Some(job)) => self.start_request(server, job),
            Ok(None) => {}
            Err(_) => self.schedule(
                self.now + NETWORK_DELAY,
                EventKind::OutcomeReceived(node, request, attempt, Outcome::Rejected),
            ),
        }
    }

    fn start_request(&mut self, server: usize, job: Job) {
        self.record_effect(job.request, server, job.node);
        let slowdown = match self.active_fault(job.node, server, |k| matches!(k, FaultKind::Slowdown(_))) {
            Some(FaultKind::Slowdown(factor)) => factor,
            _ => 1.0,
        };
        let (capacity, incarnation) =
            (self.servers[server].capacity(self.now), self.servers[server].incarnation);
        self.schedule(
            self.now + job.work * slowdown / capacity,
            EventKind::RequestFinished(server, incarnation, job),
        );
    }

    /// Records the effect of a request that a server starts, unless the request is safe, or keyed and known in the zone.
    fn record_effect(&mut self, request: u64, server: usize, node: usize) {
        let class = self.nodes[node].open_requests.get(&request).map(|open| open.class);
        let zone = self.servers[server].zone;
        let effect = class.map(|class| self.classes[class].effect);
        let zones = self.effects.entry(request).or_default();
        match effect {
            Some(Effect::Keyed(_)) if zones.contains(&zone) => {}
            Some(Effect::Safe) | None => {}
            Some(_) => zones.push(zone),
        }
        if zones.len() == 2 {
            self.results.repeated_effects += 1;
        }
    }

    fn finish_request(&mut self, server: usize, job: Job) {
        if let Some(next_job) = self.servers[server].finish_one() {
            self.start_request(server, next_job);
        }
        let (node, request, attempt) = (job.node, job.request, job.attempt);
        if self.is_dropped(node, server, true) {
            return;
        }
        let mut outcome = Outcome::Ok;
        if let Some(FaultKind::Resets(ratio)) =
            self.active_fault(node, server, |k| matches!(k, FaultKind::Resets(_)))
        {
            if self.rng.f64() < ratio {
                outcome = Outcome::Reset;
            }
        }
        self.schedule(self.now + NETWORK_DELAY, EventKind::OutcomeReceived(node, request, attempt, outcome));
    }

    fn end_attempt(&mut self, node: usize, request: u64, attempt: u32, outcome: Outcome) {
        let Some(open) = self.nodes[node].open_requests.get_mut(&request) else { return };
        let Some(sent) = open.attempts.get_mut(attempt as usize).filter(|sent| sent.in_flight) else {
            return;
        };
        sent.in_flight = false;
        let (server, elapsed, id) = (sent.server as u32, self.now - sent.sent_at, open.id.clone());
        if outcome == Outcome::Ok {
            self.record_answer(node, request, Some(Outcome::Ok));
        }
        let is_final = self.nodes[node].open_requests.get(&request).is_none_or(|open| open.is_answered);
        let load = Load::default();
        let result = AttemptResult {
            request: id,
            attempt,
            server,
            outcome,
            elapsed,
            is_final,
            metered_percent: None,
            load,
        };
        self.deliver(node, Event::AttemptEnded(result));
        self.remove_if_finished(node, request);
    }

    /// Records the final answer to a client: the outcome of a response or rejection, or `None` for a failure.
    fn record_answer(&mut self, node: usize, request: u64, answer: Option<Outcome>) {
        let first_fault_at = self.scenario.faults.iter().map(|fault| fault.at).fold(f64::INFINITY, f64::min);
        let Some(open) = self.nodes[node].open_requests.get_mut(&request).filter(|open| !open.is_answered)
        else {
            return;
        };
        open.is_answered = true;
        let (class, arrived_at) = (open.class, open.arrived_at);
        let is_in_time = self.now <= arrived_at + self.classes[class].latency_target;
        let (count, failed, rejected) = match answer {
            Some(Outcome::Ok) if is_in_time => (&mut self.results.served, 0, 0),
            Some(Outcome::Ok) => (&mut self.results.served_late, 1, 0),
            Some(_) => (&mut self.results.rejected, 0, 1),
            None => (&mut self.results.failed, 1, 0),
        };
        *count += 1;
        if arrived_at >= first_fault_at {
            self.results.affected.0 += failed;
            self.results.affected.1 += rejected;
        }
        self.remove_if_finished(node, request);
    }

    fn remove_if_finished(&mut self, node: usize, request: u64) {
        let is_finished =
            |open: &OpenRequest| open.is_answered && open.attempts.iter().all(|sent| !sent.in_flight);
        if self.nodes[node].open_requests.get(&request).is_some_and(is_finished) {
            self.nodes[node].open_requests.remove(&request);
        }
    }

    fn results(mut self) -> SimulationResults {
        let first_fault_at = self.scenario.faults.iter().map(|fault| fault.at).fold(f64::INFINITY, f64::min);
        let is_faulty = |zone: &str, at: Millis| {
            self.scenario.faults.iter().any(|fault| {
                // Observations during a fault may lead to an ejection shortly after it.
                (fault.at..fault.until + 3_000.0).contains(&at)
                    && fault.zone.is_none_or(|number| ZONE_NAMES[number] == zone)
            })
        };
        for node in &self.nodes {
            let mut ejections: Vec<Millis> = Vec::new();
            for (at, zone, is_ejected) in &node.zone_changes {
                match (is_ejected, is_faulty(zone, *at)) {
                    (true, true) => ejections.push(at - first_fault_at),
                    (true, false) => self.results.false_ejections += 1,
                    (false, _) => {}
                }
            }
            self.results.ejected_after.extend(ejections.first());
            let mut last: BTreeMap<&str, bool> = BTreeMap::new();
            for (_, zone, is_ejected) in &node.zone_changes {
                last.insert(zone, *is_ejected);
            }
            self.results.ejected_at_end += u64::from(last.values().any(|is_ejected| *is_ejected));
        }
        self.results.ejected_after.sort_by(f64::total_cmp);
        for (server, sent) in self.servers.iter().zip(&self.sent) {
            let capacity = |from: Millis, to: Millis| {
                server.capacity(to.max(from)) * self.scenario.workers as f64 * (to - from)
            };
            let (mut window_begin, mut sum) = (0, 0.0);
            let (mut second, mut in_second) = (0_u64, 0.0);
            for (at, work) in sent {
                sum += work;
                while sent[window_begin].0 <= at - COLD_LOAD_WINDOW {
                    sum -= sent[window_begin].1;
                    window_begin += 1;
                }
                let is_starting = server
                    .started_at
                    .is_some_and(|s| (0.0..crate::scenario::SLOW_START_DURATION).contains(&(at - s)));
                if is_starting {
                    self.results.peak_cold_load =
                        self.results.peak_cold_load.max(sum / capacity(at - COLD_LOAD_WINDOW, *at));
                }
                if (at / 1000.0) as u64 != second {
                    (second, in_second) = ((at / 1000.0) as u64, 0.0);
                }
                in_second += work;
                if !is_starting {
                    let load = in_second / (1000.0 * self.scenario.workers as f64);
                    self.results.peak_load = self.results.peak_load.max(load);
                }
            }
        }
        self.results.reports_per_s =
            self.received_reports as f64 / self.nodes.len() as f64 / (self.scenario.duration / 1000.0);
        self.results.peak_probes_per_s = self.health_checks.values().copied().max().unwrap_or(0) as f64;
        self.results
    }
}

/// Returns whether a fault affects a server.
fn affects(scenario: &Scenario, fault: &Fault, server: &Server) -> bool {
    let is_in_affected_share = (server.index as f64) < fault.server_ratio * scenario.servers_per_zone as f64;
    fault.zone.is_none_or(|zone| zone == server.zone) && is_in_affected_share
}
