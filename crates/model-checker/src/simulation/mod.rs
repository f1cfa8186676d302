//! A fleet in memory: clock, links, disks, and what happens to them. Nothing sleeps; a schedule runs the same at each run.

mod events;
mod lifecycle;
mod network;
mod recovery;
mod steps;

use crate::adapter::{self, machine, ClientCall};
use crate::checker::{Invariant, InvariantChecker, Violation};
use crate::defects::Defect;
use crate::schedule::{
    Event, LinkDirection, MachineFault, MessageFault, MessageId, Schedule, Trigger, FOUNDING_TIME_MS,
};
use fnv::FnvHasher;
use ivygate_config_store::{
    CommandId, DurableState, Effect, MembershipStatus, PeerReply, PeerRequest, Store,
};
use ivygate_rpc::{ErrorKind, RpcError};
use ivygate_time::Timestamp;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::Hasher;
use std::net::Ipv4Addr;

/// Period of each store's clock.
const TICK_INTERVAL_MS: f64 = 50.0;
/// When the program gives an answer up.
const REPLY_TIMEOUT_MS: f64 = 1_000.0;
/// A machine that lost its disk counts as lost until it has held all for this long.
const CAUGHT_UP_TIME_MS: f64 = 3_000.0;
/// Within this time after the last fault all take part.
const RECOVERY_TIMEOUT_MS: f64 = 30_000.0;
/// Within this time a call is then carried out.
const CALL_TIMEOUT_MS: f64 = 8_000.0;
/// How long one that leaves waits for another to take its place.
const LEAVE_TIMEOUT_MS: f64 = 2_500.0;
/// After this time one that left without that starts again.
const RETURN_TIME_MS: f64 = 4_000.0;
/// Times are kept to a thousandth in the queue.
const QUEUE_RESOLUTION_MS: f64 = 0.002;
/// Most machines in a run.
const MAX_MACHINES: usize = 12;
/// Disks that are remembered for a stale one.
const MAX_SNAPSHOTS: usize = 12;
/// Steps of one search for an order.
const MAX_SEARCH_STEPS: usize = 20_000;

enum ScheduledStep {
    Event(usize),
    Tick(usize, u64),
    Start(usize),
    Resume(usize),
    Message(Message),
    /// A registry's epoch is read.
    Epoch(usize, u64, CommandId),
    /// A deferred save happens.
    Save(usize, u64, Box<DurableState>),
}

struct Message {
    from: usize,
    to: usize,
    /// The asker's run of the program, and the number of its request.
    run: u64,
    number: u64,
    /// When the request went out.
    asked: f64,
    body: Body,
}

enum Body {
    PeerRequest(PeerRequest),
    /// The answer, and what membership it is contact with.
    PeerReply(PeerReply, Option<u64>),
    /// It is known that no answer will come.
    Nothing,
}

struct Machine {
    store: Option<Store>,
    disk: DurableState,
    snapshots: VecDeque<DurableState>,
    run: u64,
    is_paused: bool,
    waiting: Vec<Message>,
    /// Nothing passes before these times.
    cut_in: f64,
    cut_out: f64,
    armed_faults: Vec<(Trigger, MachineFault)>,
    out: BTreeMap<u64, usize>,
    /// Since when it counts as lost, and since when it holds all again.
    lost: bool,
    caught_up: Option<f64>,
    gone: bool,
    starts_at: f64,
    /// Whom it asks first, if it came later.
    seeds: Vec<Ipv4Addr>,
    /// It is to end by then, or before if its place is another's.
    leaves: Option<f64>,
}

#[derive(Default)]
struct Link {
    sent: u64,
    cut: f64,
    slow: f64,
    slower: f64,
}

/// How a run ended.
#[derive(Clone, Debug, Default)]
pub struct RunResult {
    /// The first invariant that did not hold.
    pub violation: Option<Violation>,
    /// Steps of stores.
    pub steps: u64,
    /// What happened to single messages.
    pub message_faults: BTreeMap<MessageId, MessageFault>,
    /// Histories that the search could not decide.
    pub undecided: u64,
    /// Calls, and how many of them were confirmed.
    pub calls: (u64, u64),
    /// What happened, for a reader, if it was asked for.
    pub log: Vec<String>,
    /// What happened to machines: power, disks, cuts.
    pub machine_faults: u64,
}

/// Plays a schedule; a defect may be put in, and some invariants looked past.
pub fn simulate(
    schedule: &Schedule,
    defect: Option<Defect>,
    ignored: &BTreeSet<Invariant>,
    log: bool,
) -> RunResult {
    let mut simulation = Simulation::new(schedule, defect, ignored, log);
    simulation.run();
    let calls = &simulation.checker.calls;
    let confirmed = calls.values().filter(|call| matches!(call.confirmation, Some(Ok(())))).count() as u64;
    RunResult {
        calls: (calls.len() as u64, confirmed),
        violation: simulation.checker.violation,
        steps: simulation.steps,
        message_faults: simulation.message_faults,
        undecided: simulation.checker.undecided,
        log: simulation.log,
        machine_faults: simulation.machine_faults,
    }
}

/// A digest of all that the stores of a run send, save and answer, in the spelling of the wire and the disk.
pub fn digest(schedule: &Schedule) -> u64 {
    let mut simulation = Simulation::new(schedule, None, &BTreeSet::new(), false);
    simulation.record = Some(FnvHasher::default());
    simulation.run();
    simulation.record.map_or(0, |record| record.finish())
}

struct Simulation<'a> {
    schedule: &'a Schedule,
    /// What is digested of the outputs, where that was asked for.
    record: Option<FnvHasher>,
    defect: Option<Defect>,
    now: f64,
    machines: Vec<Machine>,
    queue: BTreeMap<(u64, u64), ScheduledStep>,
    order: u64,
    links: HashMap<(usize, usize), Link>,
    network_conditions: Vec<(f64, Event)>,
    message_faults: BTreeMap<MessageId, MessageFault>,
    checker: InvariantChecker,
    next_call: CommandId,
    last_incarnation: u64,
    steps: u64,
    machine_faults: u64,
    /// When answers were read, for contact by reading.
    read: HashMap<(usize, usize), f64>,
    log: Vec<String>,
    logs: bool,
}

fn drawn(seed: u64, message_id: MessageId, salt: u64) -> fastrand::Rng {
    let (from, to, number) = message_id;
    let mix = |hash: u64, part: u64| (hash ^ part).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
    let hash = [from as u64 + 1, to as u64 + 1, number, salt].into_iter().fold(seed, mix);
    fastrand::Rng::with_seed(hash)
}

impl<'a> Simulation<'a> {
    fn new(
        schedule: &'a Schedule,
        defect: Option<Defect>,
        ignored: &BTreeSet<Invariant>,
        logs: bool,
    ) -> Self {
        let mut simulation = Self {
            schedule,
            record: None,
            defect,
            now: 0.0,
            machines: Vec::new(),
            queue: BTreeMap::new(),
            order: 0,
            links: HashMap::new(),
            network_conditions: Vec::new(),
            message_faults: BTreeMap::new(),
            checker: InvariantChecker::ignored(ignored),
            next_call: 1,
            last_incarnation: 1,
            steps: 0,
            machine_faults: 0,
            read: HashMap::new(),
            log: Vec::new(),
            logs,
        };
        for n in 0..schedule.stores {
            simulation.add();
            simulation.start(n, true);
        }
        for (n, (at, _)) in schedule.events.iter().enumerate().filter(|(_, (at, _))| *at < schedule.end) {
            simulation.at(*at, ScheduledStep::Event(n));
        }
        simulation
    }

    fn tell(&mut self, what: impl FnOnce() -> String) {
        if self.logs {
            let line = format!("{:>9.1} {}", self.now, what());
            self.log.push(line);
        }
    }

    fn at(&mut self, at: f64, step: ScheduledStep) {
        self.order += 1;
        self.queue.insert(((at.max(self.now) * 1000.0) as u64, self.order), step);
    }
}

impl Message {
    fn duplicate(&self) -> Option<Self> {
        let body = match &self.body {
            Body::PeerRequest(ask) => Body::PeerRequest(ask.clone()),
            Body::PeerReply(reply, contact) => Body::PeerReply(reply.clone(), *contact),
            Body::Nothing => return None,
        };
        Some(Self { body, ..*self })
    }
}

fn place_name(n: usize) -> String {
    format!("what store {n} says")
}
