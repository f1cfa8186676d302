//! The world of a play: who sends what to whom, when it arrives, and what came of it.

use crate::node::{Attempt, Node, Open};
use crate::scenario::{Fault, FaultKind, PeerNetwork, Scenario, MIX, ZONES};
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

/// One way between a node and a server.
const WAY: Millis = 0.3;
/// A connection that never comes up is given up after this.
const CONNECT: Millis = 250.0;
/// Window over which load on a cold server is added up.
const WINDOW: Millis = 2_000.0;

/// What came of a play.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SimulationResults {
    /// Requests.
    pub requests: u64,
    /// Served within the aim.
    pub served: u64,
    /// Served later.
    pub served_late: u64,
    /// Refused.
    pub rejected: u64,
    /// Failed or never answered.
    pub failed: u64,
    /// Effects that happened twice.
    pub repeated_effects: u64,
    /// Lost or late, and refused, of those that came from the first fault on.
    pub affected: (u64, u64),
    /// When nodes first left the faulty zone, after the first fault began, in order; a node that never did is missing.
    pub ejected_after: Vec<Millis>,
    /// Zones left while nothing was wrong with them.
    pub false_ejections: u64,
    /// Nodes for which some zone was not as ever at the end.
    pub ejected_at_end: u64,
    /// Most work that a cold server was sent in a window, against what it can do in it.
    pub peak_cold_load: f64,
    /// Most work that a server that lives was sent in a second, against what it can do in it.
    pub peak_load: f64,
    /// Packets that a process heard from others, a second.
    pub reports_per_s: f64,
    /// Probes that the servers of a zone got a second, at most.
    pub peak_probes_per_s: f64,
}

impl SimulationResults {
    /// When this part of the nodes that left had left, in milliseconds after the first fault.
    pub fn ejected_by(&self, part: f64) -> Option<Millis> {
        let last = (part * self.ejected_after.len() as f64).ceil() as usize;
        self.ejected_after.get(last.max(1) - 1).copied()
    }
}

enum What {
    Arrive,
    Timer(usize, u64),
    GiveUp(usize, u64, u32),
    Deadline(usize, u64),
    /// An attempt has come to a server.
    AtServer(usize, Job),
    /// A server has done a request; its life then.
    Served(usize, u32, Job),
    /// Something has come back to a node.
    Back(usize, u64, u32, Outcome),
    Probed(usize, usize, Outcome),
    /// Another process's word comes to a node.
    Word(usize, usize, Rc<[ZoneReport]>),
    Lie(usize),
    Die(usize),
    Rise(usize),
}

/// An event, the earliest first and those of one moment in the order in which they were asked for.
struct Due {
    at: Millis,
    number: u64,
    what: What,
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.number.cmp(&self.number))
    }
}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Due {}

struct World<'a> {
    scenario: &'a Scenario,
    now: Millis,
    events: BinaryHeap<Due>,
    number: u64,
    classes: Vec<RequestClass>,
    rng: fastrand::Rng,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    /// Work sent to each server: when it came, and how much.
    sent: Vec<Vec<(Millis, f64)>>,
    probed: BTreeMap<(usize, u64), u64>,
    /// Effects by request, and the zones in which a key is known.
    effects: HashMap<u64, Vec<usize>>,
    next: u64,
    words: u64,
    figures: SimulationResults,
}

/// Plays a scenario.
///
/// # Errors
/// If a decision module cannot act on its settings.
pub fn simulate(scenario: &Scenario) -> Result<SimulationResults, SettingsError> {
    let mut rng = fastrand::Rng::with_seed(scenario.seed);
    let mut nodes = Vec::new();
    for number in 0..scenario.nodes {
        nodes.push(Node::new(scenario, number, rng.u64(..))?);
    }
    let count = scenario.zones * scenario.servers_per_zone;
    let servers =
        (0..count).map(|n| Server::new(n % scenario.zones, n / scenario.zones, scenario.workers)).collect();
    let mut world = World {
        scenario,
        now: 0.0,
        events: BinaryHeap::new(),
        number: 0,
        classes: scenario.classes(),
        rng,
        nodes,
        servers,
        sent: vec![Vec::new(); count],
        probed: BTreeMap::new(),
        effects: HashMap::new(),
        next: 0,
        words: 0,
        figures: SimulationResults::default(),
    };
    world.run();
    Ok(world.results())
}

impl World<'_> {
    fn at(&mut self, at: Millis, what: What) {
        self.number += 1;
        self.events.push(Due { at: at.max(self.now), number: self.number, what });
    }

    fn run(&mut self) {
        let members: Vec<ServerEntry> = self
            .servers
            .iter()
            .enumerate()
            .map(|(number, server)| ServerEntry {
                server: number as u32,
                zone: ZONES[server.zone].into(),
                cell: server.zone as u32,
                state: ServerState::Ready,
                weight: 1.0,
                started_at: None,
                distance_cost: 0.0,
                slow_start: None,
            })
            .collect();
        for node in 0..self.nodes.len() {
            self.tell(node, Event::List { kind: ListKind::Full, servers: members.clone().into() });
        }
        for fault in self.scenario.faults.clone() {
            if fault.kind == FaultKind::Crash {
                let hit = |s: &usize| hits(self.scenario, &fault, &self.servers[*s]);
                for server in (0..self.servers.len()).filter(hit).collect::<Vec<_>>() {
                    self.at(fault.at, What::Die(server));
                    self.at(fault.until, What::Rise(server));
                }
            }
        }
        for liar in 0..self.scenario.peer_network.map_or(0, |talk| talk.byzantine_nodes) {
            self.at(0.0, What::Lie(liar));
        }
        self.at(0.0, What::Arrive);
        // What is open at the end is answered within the longest deadline.
        let end = self.scenario.duration + 3_000.0;
        while let Some(Due { at, what, .. }) = self.events.pop() {
            self.now = at;
            if self.now > end {
                break;
            }
            self.happen(what);
        }
    }

    /// The fault of a kind that holds now between a node and a server.
    fn holds(&self, node: usize, server: usize, kind: impl Fn(&FaultKind) -> bool) -> Option<FaultKind> {
        let zones = (self.nodes[node].zone, self.servers[server].zone);
        let held = self.scenario.faults.iter().find(|fault| {
            (fault.at..fault.until).contains(&self.now)
                && kind(&fault.kind)
                && node % fault.nodes.1 < fault.nodes.0
                && (hits(self.scenario, fault, &self.servers[server])
                    || fault.kind == FaultKind::ZonePartition
                        && fault.zone == Some(zones.0)
                        && zones.0 != zones.1)
                && (fault.kind != FaultKind::ZonePartition || zones.0 != zones.1)
        });
        held.map(|fault| fault.kind)
    }

    fn is_cut(&self, node: usize, server: usize, back: bool) -> bool {
        let cuts = |kind: &FaultKind| match kind {
            FaultKind::NetworkPartition | FaultKind::ZonePartition => true,
            FaultKind::ResponseLoss => back,
            _ => false,
        };
        self.holds(node, server, cuts).is_some()
    }

    fn is_dead(&self, node: usize, server: usize) -> bool {
        self.holds(node, server, |kind| *kind == FaultKind::Crash).is_some()
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Arrive => self.arrive(),
            What::Timer(node, token) => self.tell(node, Event::Timer { token }),
            What::GiveUp(node, request, attempt) => self.ended(node, request, attempt, Outcome::Timeout),
            What::Back(node, request, attempt, outcome) => self.ended(node, request, attempt, outcome),
            What::Deadline(node, request) => {
                if let Some(open) = self.nodes[node].open.get_mut(&request).filter(|open| !open.answered) {
                    let id = open.id.clone();
                    self.answered(node, request, None);
                    self.tell(node, Event::ClientGone { request: id });
                }
                self.drop_if_over(node, request);
            }
            What::AtServer(server, job) => self.at_server(server, job),
            What::Served(server, life, job) => {
                if self.servers[server].life == life {
                    self.served(server, job);
                }
            }
            What::Probed(node, server, outcome) => {
                self.tell(
                    node,
                    Event::HealthChecked { server: server as u32, outcome, load: Load::default() },
                );
            }
            What::Word(node, author, reports) => {
                self.words += 1;
                self.nodes[node].hear(self.now, author, &reports);
            }
            What::Lie(liar) => {
                let all = |zone: &&str| ZoneReport { zone: (*zone).into(), successes: 0, failures: 99 };
                let lies: Vec<ZoneReport> = ZONES[..self.scenario.zones].iter().map(all).collect();
                self.spread(liar, lies);
                self.at(self.now + 100.0, What::Lie(liar));
            }
            What::Die(server) => {
                for job in self.servers[server].die() {
                    self.at(self.now + WAY, What::Back(job.node, job.request, job.attempt, Outcome::Reset));
                }
            }
            What::Rise(server) => self.servers[server].started = Some(self.now),
        }
    }

    fn arrive(&mut self) {
        let gap = -(1.0 - self.rng.f64()).ln() * 1000.0 / self.scenario.requests_per_s;
        if self.now + gap < self.scenario.duration {
            self.at(self.now + gap, What::Arrive);
        }
        let node = self.rng.usize(0..self.nodes.len());
        let lot = self.rng.f64();
        let class = usize::from(lot >= MIX[0].1) + usize::from(lot >= MIX[0].1 + MIX[1].1);
        let deadline = self.now + self.classes[class].deadline;
        let request = self.next;
        self.next += 1;
        self.figures.requests += 1;
        let id: std::sync::Arc<str> = request.to_string().into();
        let open = Open { id: id.clone(), class, arrived: self.now, answered: false, attempts: Vec::new() };
        self.nodes[node].open.insert(request, open);
        self.at(deadline, What::Deadline(node, request));
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
        self.tell(node, Event::Arrival(arrival));
    }

    /// Passes a node's word on to all others.
    fn spread(&mut self, author: usize, reports: Vec<ZoneReport>) {
        let Some(PeerNetwork { delay, loss, partition, outage, .. }) = self.scenario.peer_network else {
            return;
        };
        let holds = |(from, until): (Millis, Millis)| (from..until).contains(&self.now);
        let (is_partitioned, is_out) = (holds(partition), holds(outage));
        let reports: Rc<[ZoneReport]> = reports.into();
        for node in (0..self.nodes.len()).filter(|node| *node != author) {
            if is_out || is_partitioned && node % 2 != author % 2 || loss > 0.0 && self.rng.f64() < loss {
                continue;
            }
            let at = self.now + delay * (1.0 + self.rng.f64());
            self.at(at, What::Word(node, author, reports.clone()));
        }
    }

    /// Tells a node something, and carries out what it wants.
    fn tell(&mut self, node: usize, event: Event) {
        let number = |id: &std::sync::Arc<str>| id.parse::<u64>().unwrap_or(u64::MAX);
        for action in self.nodes[node].handle(self.now, event) {
            match action {
                Action::Send { request, server, give_up_at } => {
                    self.send(node, number(&request), server as usize, give_up_at.as_millis());
                }
                Action::Reject { request, .. } => {
                    self.answered(node, number(&request), Some(Outcome::Rejected));
                }
                Action::Fail { request } => self.answered(node, number(&request), None),
                Action::Cancel { request, attempt } => {
                    self.at(self.now, What::Back(node, number(&request), attempt, Outcome::Cancelled));
                }
                Action::CheckHealth { server } => self.probe(node, server as usize),
                Action::Timer { token, at } => self.at(at.as_millis(), What::Timer(node, token)),
                Action::Subscribe | Action::Log { .. } => {}
            }
        }
        let lies = self.scenario.peer_network.is_some_and(|talk| node < talk.byzantine_nodes);
        if let Some(word) = self.nodes[node].word().filter(|_| !lies) {
            self.spread(node, word);
        }
    }

    fn send(&mut self, node: usize, request: u64, server: usize, give_up_at: Millis) {
        let Some(open) = self.nodes[node].open.get_mut(&request) else { return };
        let attempt = open.attempts.len() as u32;
        let (mean, _) = MIX[open.class];
        open.attempts.push(Attempt { server, sent_at: self.now, out: true });
        self.at(give_up_at, What::GiveUp(node, request, attempt));
        if self.is_cut(node, server, false) {
            return;
        }
        // The same work wherever it runs, as a request's is.
        let mut draw = fastrand::Rng::with_seed(self.scenario.seed ^ (request << 16));
        draw.f64();
        let work = mean * (0.3 - 0.7 * (1.0 - draw.f64()).ln());
        self.at(self.now + WAY, What::AtServer(server, Job { node, request, attempt, work }));
    }

    fn probe(&mut self, node: usize, server: usize) {
        *self.probed.entry((self.servers[server].zone, (self.now / 1000.0) as u64)).or_default() += 1;
        let (after, outcome) = match (self.is_cut(node, server, false), self.is_dead(node, server)) {
            (true, _) => (CONNECT, Outcome::ConnectFailed),
            (false, true) => (2.0 * WAY, Outcome::ConnectFailed),
            (false, false) => (2.0 * WAY, Outcome::Ok),
        };
        self.at(self.now + after, What::Probed(node, server, outcome));
    }

    fn at_server(&mut self, server: usize, job: Job) {
        let (node, request, attempt) = (job.node, job.request, job.attempt);
        if self.is_dead(node, server) {
            self.at(self.now + WAY, What::Back(node, request, attempt, Outcome::ConnectFailed));
            return;
        }
        self.sent[server].push((self.now, job.work));
        if let Some(FaultKind::Errors(part)) = self.holds(node, server, |k| matches!(k, FaultKind::Errors(_)))
        {
            if self.rng.f64() < part {
                self.take_effect(request, server, node);
                self.at(self.now + WAY, What::Back(node, request, attempt, Outcome::Error));
                return;
            }
        }
        match self.servers[server].take(job) {
            Ok(Some(job)) => self.begin(server, job),
            Ok(None) => {}
            Err(_) => self.at(self.now + WAY, What::Back(node, request, attempt, Outcome::Rejected)),
        }
    }

    fn begin(&mut self, server: usize, job: Job) {
        self.take_effect(job.request, server, job.node);
        let slow = match self.holds(job.node, server, |k| matches!(k, FaultKind::Slowdown(_))) {
            Some(FaultKind::Slowdown(times)) => times,
            _ => 1.0,
        };
        let (warmth, life) = (self.servers[server].warmth(self.now), self.servers[server].life);
        self.at(self.now + job.work * slow / warmth, What::Served(server, life, job));
    }

    /// A server begins a request, and so it takes effect, unless its zone knows the key.
    fn take_effect(&mut self, request: u64, server: usize, node: usize) {
        let class = self.nodes[node].open.get(&request).map(|open| open.class);
        let zone = self.servers[server].zone;
        let effect = class.map(|class| self.classes[class].effect);
        let known = self.effects.entry(request).or_default();
        match effect {
            Some(Effect::Keyed(_)) if known.contains(&zone) => {}
            Some(Effect::Safe) | None => {}
            Some(_) => known.push(zone),
        }
        if known.len() == 2 {
            self.figures.repeated_effects += 1;
        }
    }

    fn served(&mut self, server: usize, job: Job) {
        if let Some(next) = self.servers[server].next() {
            self.begin(server, next);
        }
        let (node, request, attempt) = (job.node, job.request, job.attempt);
        if self.is_cut(node, server, true) {
            return;
        }
        let mut outcome = Outcome::Ok;
        if let Some(FaultKind::Resets(part)) = self.holds(node, server, |k| matches!(k, FaultKind::Resets(_)))
        {
            if self.rng.f64() < part {
                outcome = Outcome::Reset;
            }
        }
        self.at(self.now + WAY, What::Back(node, request, attempt, outcome));
    }

    fn ended(&mut self, node: usize, request: u64, attempt: u32, outcome: Outcome) {
        let Some(open) = self.nodes[node].open.get_mut(&request) else { return };
        let Some(sent) = open.attempts.get_mut(attempt as usize).filter(|sent| sent.out) else { return };
        sent.out = false;
        let (server, elapsed, id) = (sent.server as u32, self.now - sent.sent_at, open.id.clone());
        if outcome == Outcome::Ok {
            self.answered(node, request, Some(Outcome::Ok));
        }
        let closed = self.nodes[node].open.get(&request).is_none_or(|open| open.answered);
        let load = Load::default();
        let done = AttemptResult {
            request: id,
            attempt,
            server,
            outcome,
            elapsed,
            is_final: closed,
            metered_percent: None,
            load,
        };
        self.tell(node, Event::AttemptEnded(done));
        self.drop_if_over(node, request);
    }

    /// The client has its answer: served, refused (`Full`) or failed.
    fn answered(&mut self, node: usize, request: u64, answer: Option<Outcome>) {
        let first = self.scenario.faults.iter().map(|fault| fault.at).fold(f64::INFINITY, f64::min);
        let Some(open) = self.nodes[node].open.get_mut(&request).filter(|open| !open.answered) else {
            return;
        };
        open.answered = true;
        let (class, arrived) = (open.class, open.arrived);
        let in_time = self.now <= arrived + self.classes[class].latency_target;
        let (count, lost, refused) = match answer {
            Some(Outcome::Ok) if in_time => (&mut self.figures.served, 0, 0),
            Some(Outcome::Ok) => (&mut self.figures.served_late, 1, 0),
            Some(_) => (&mut self.figures.rejected, 0, 1),
            None => (&mut self.figures.failed, 1, 0),
        };
        *count += 1;
        if arrived >= first {
            self.figures.affected.0 += lost;
            self.figures.affected.1 += refused;
        }
        self.drop_if_over(node, request);
    }

    fn drop_if_over(&mut self, node: usize, request: u64) {
        let over = |open: &Open| open.answered && open.attempts.iter().all(|sent| !sent.out);
        if self.nodes[node].open.get(&request).is_some_and(over) {
            self.nodes[node].open.remove(&request);
        }
    }

    fn results(mut self) -> SimulationResults {
        let first = self.scenario.faults.iter().map(|fault| fault.at).fold(f64::INFINITY, f64::min);
        let faulty = |zone: &str, at: Millis| {
            self.scenario.faults.iter().any(|fault| {
                // What was seen during a fault may be acted on shortly after it.
                (fault.at..fault.until + 3_000.0).contains(&at)
                    && fault.zone.is_none_or(|number| ZONES[number] == zone)
            })
        };
        for node in &self.nodes {
            let mut left: Vec<Millis> = Vec::new();
            for (at, zone, away) in &node.turns {
                match (away, faulty(zone, *at)) {
                    (true, true) => left.push(at - first),
                    (true, false) => self.figures.false_ejections += 1,
                    (false, _) => {}
                }
            }
            self.figures.ejected_after.extend(left.first());
            let mut last: BTreeMap<&str, bool> = BTreeMap::new();
            for (_, zone, away) in &node.turns {
                last.insert(zone, *away);
            }
            self.figures.ejected_at_end += u64::from(last.values().any(|away| *away));
        }
        self.figures.ejected_after.sort_by(f64::total_cmp);
        for (server, sent) in self.servers.iter().zip(&self.sent) {
            let able = |from: Millis, to: Millis| {
                server.warmth(to.max(from)) * self.scenario.workers as f64 * (to - from)
            };
            let (mut begin, mut sum) = (0, 0.0);
            let (mut second, mut in_second) = (0_u64, 0.0);
            for (at, work) in sent {
                sum += work;
                while sent[begin].0 <= at - WINDOW {
                    sum -= sent[begin].1;
                    begin += 1;
                }
                let cold = server.started.is_some_and(|s| (0.0..crate::scenario::WARM).contains(&(at - s)));
                if cold {
                    self.figures.peak_cold_load =
                        self.figures.peak_cold_load.max(sum / able(at - WINDOW, *at));
                }
                if (at / 1000.0) as u64 != second {
                    (second, in_second) = ((at / 1000.0) as u64, 0.0);
                }
                in_second += work;
                if !cold {
                    let load = in_second / (1000.0 * self.scenario.workers as f64);
                    self.figures.peak_load = self.figures.peak_load.max(load);
                }
            }
        }
        self.figures.reports_per_s =
            self.words as f64 / self.nodes.len() as f64 / (self.scenario.duration / 1000.0);
        self.figures.peak_probes_per_s = self.probed.values().copied().max().unwrap_or(0) as f64;
        self.figures
    }
}

/// Whether a fault is about a server.
fn hits(scenario: &Scenario, fault: &Fault, server: &Server) -> bool {
    let some = (server.place as f64) < fault.server_ratio * scenario.servers_per_zone as f64;
    fault.zone.is_none_or(|zone| zone == server.zone) && some
}
