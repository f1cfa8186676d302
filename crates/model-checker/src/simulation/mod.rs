//! Simulation of a cluster in memory: clock, links, disks and their faults. Nothing sleeps; a schedule produces the
//! same run each time.

mod events;
mod lifecycle;
mod network;
mod recovery;
mod steps;

use crate::adapter::{self, machine_of, ClientCall};
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

/// Interval between ticks of each store.
const TICK_INTERVAL_MS: f64 = 50.0;
/// Time after which the real program gives up waiting for a reply.
const REPLY_TIMEOUT_MS: f64 = 1_000.0;
/// A machine that lost its disk counts as lost until it has had everything acknowledged for this long.
const CAUGHT_UP_TIME_MS: f64 = 3_000.0;
/// Time after the last fault within which all machines must take part again.
const RECOVERY_TIMEOUT_MS: f64 = 30_000.0;
/// Time within which a call must be executed after that.
const CALL_TIMEOUT_MS: f64 = 8_000.0;
/// Time that a leaving machine waits for another to take its slot.
const LEAVE_TIMEOUT_MS: f64 = 2_500.0;
/// Time after which a machine restarts that left without being replaced.
const RETURN_TIME_MS: f64 = 4_000.0;
/// Tolerance for times in the queue, which are rounded to a thousandth of a millisecond.
const QUEUE_RESOLUTION_MS: f64 = 0.002;
/// Maximum number of machines in a run.
const MAX_MACHINES: usize = 12;
/// Number of earlier disk states kept for the stale snapshot defect.
const MAX_SNAPSHOTS: usize = 12;
/// Maximum number of steps of a linearizability search.
const MAX_SEARCH_STEPS: usize = 20_000;

enum ScheduledStep {
    Event(usize),
    Tick(usize, u64),
    Start(usize),
    Resume(usize),
    Message(Message),
    /// A registry reads the epoch of its role.
    Epoch(usize, u64, CommandId),
    /// A deferred save takes place.
    Save(usize, u64, Box<DurableState>),
}

struct Message {
    from: usize,
    to: usize,
    /// The number of the requester's run; `number` is that of its request.
    run: u64,
    number: u64,
    /// The time at which the request was sent.
    sent_at: f64,
    body: Body,
}

enum Body {
    PeerRequest(PeerRequest),
    /// A reply, and the lowest membership version with which it proves contact.
    PeerReply(PeerReply, Option<u64>),
    /// The requester learns that no reply will arrive.
    NoReply,
}

struct Machine {
    store: Option<Store>,
    disk: DurableState,
    snapshots: VecDeque<DurableState>,
    run: u64,
    is_paused: bool,
    waiting: Vec<Message>,
    /// Incoming messages are lost until this time; `blocked_out_until` applies to outgoing messages.
    blocked_in_until: f64,
    blocked_out_until: f64,
    armed_faults: Vec<(Trigger, MachineFault)>,
    outstanding: BTreeMap<u64, usize>,
    /// Set while the machine counts as lost; `caught_up_since` is the time since which it has everything again.
    counts_as_lost: bool,
    caught_up_since: Option<f64>,
    has_failed: bool,
    starts_at: f64,
    /// The seed machines, for a machine that joined later.
    seeds: Vec<Ipv4Addr>,
    /// The time by which a leaving machine stops; it stops earlier once it has been replaced.
    stop_deadline: Option<f64>,
}

#[derive(Default)]
struct Link {
    sent: u64,
    blocked_until: f64,
    delayed_until: f64,
    extra_delay: f64,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct RunResult {
    /// The first violation.
    pub violation: Option<Violation>,
    /// The number of steps of all stores.
    pub steps: u64,
    /// The faults of individual messages.
    pub message_faults: BTreeMap<MessageId, MessageFault>,
    /// The number of histories whose linearizability was not decided.
    pub undecided: u64,
    /// The number of calls, and the number of confirmed ones.
    pub calls: (u64, u64),
    /// A readable log of the run, if requested.
    pub log: Vec<String>,
    /// The number of machine faults: power losses, disk losses and partitions.
    pub machine_faults: u64,
}

/// Runs a schedule, optionally with a seeded defect, and ignores some invariants.
pub fn simulate(
    schedule: &Schedule,
    defect: Option<Defect>,
    ignored: &BTreeSet<Invariant>,
    log: bool,
) -> RunResult {
    let mut simulation = Simulation::new(schedule, defect, ignored, log);
    simulation.run();
    let calls = &simulation.checker.calls;
    let confirmed = calls.values().filter(|call| matches!(call.result, Some(Ok(())))).count() as u64;
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

/// Returns a digest of everything that the stores of a run send, save and return, in the formats of the wire and the
/// disk.
pub fn digest(schedule: &Schedule) -> u64 {
    let mut simulation = Simulation::new(schedule, None, &BTreeSet::new(), false);
    simulation.effect_hasher = Some(FnvHasher::default());
    simulation.run();
    simulation.effect_hasher.map_or(0, |hasher| hasher.finish())
}

struct Simulation<'a> {
    schedule: &'a Schedule,
    /// The hasher of the stores' effects, if a digest was requested.
    effect_hasher: Option<FnvHasher>,
    defect: Option<Defect>,
    now: f64,
    machines: Vec<Machine>,
    queue: BTreeMap<(u64, u64), ScheduledStep>,
    sequence: u64,
    links: HashMap<(usize, usize), Link>,
    network_conditions: Vec<(f64, Event)>,
    message_faults: BTreeMap<MessageId, MessageFault>,
    checker: InvariantChecker,
    next_call: CommandId,
    last_incarnation: u64,
    steps: u64,
    machine_faults: u64,
    /// The times at which replies were read, for the defect that measures contact by them.
    reply_read_at: HashMap<(usize, usize), f64>,
    log: Vec<String>,
    log_enabled: bool,
}

fn seeded_rng(seed: u64, message_id: MessageId, salt: u64) -> fastrand::Rng {
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
        log_enabled: bool,
    ) -> Self {
        let mut simulation = Self {
            schedule,
            effect_hasher: None,
            defect,
            now: 0.0,
            machines: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            links: HashMap::new(),
            network_conditions: Vec::new(),
            message_faults: BTreeMap::new(),
            checker: InvariantChecker::ignored(ignored),
            next_call: 1,
            last_incarnation: 1,
            steps: 0,
            machine_faults: 0,
            reply_read_at: HashMap::new(),
            log: Vec::new(),
            log_enabled,
        };
        for n in 0..schedule.stores {
            simulation.add_machine();
            simulation.start(n, true);
        }
        for (n, (at, _)) in schedule.events.iter().enumerate().filter(|(_, (at, _))| *at < schedule.end) {
            simulation.schedule_step(*at, ScheduledStep::Event(n));
        }
        simulation
    }

    fn log_line(&mut self, description: impl FnOnce() -> String) {
        if self.log_enabled {
            let line = format!("{:>9.1} {}", self.now, description());
            self.log.push(line);
        }
    }

    fn schedule_step(&mut self, at: f64, step: ScheduledStep) {
        self.sequence += 1;
        self.queue.insert(((at.max(self.now) * 1000.0) as u64, self.sequence), step);
    }
}

impl Message {
    fn duplicate(&self) -> Option<Self> {
        let body = match &self.body {
            Body::PeerRequest(request) => Body::PeerRequest(request.clone()),
            Body::PeerReply(reply, contact) => Body::PeerReply(reply.clone(), *contact),
            Body::NoReply => return None,
        };
        Some(Self { body, ..*self })
    }
}

fn message_origin(n: usize) -> String {
    format!("messages of store {n}")
}
