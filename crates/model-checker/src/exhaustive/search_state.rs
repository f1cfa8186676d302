//! A state of the search: stores, disks, messages in transit and remaining faults.

use super::ConfigurationBounds;
use crate::adapter;
use crate::checker::{Invariant, InvariantChecker, Violation};
use crate::defects::Defect;
use ivygate_config_store::{CommandId, CommandOutcome, DurableState, Effect, PeerReply, PeerRequest, Store};
use ivygate_rpc::RpcError;
use ivygate_time::Timestamp;
use std::collections::{BTreeSet, VecDeque};
use std::fmt::{self, Write};
use std::sync::Arc;

/// Duration of a step in which each store ticks once and no message is delivered.
const SECOND_MS: f64 = 1_000.0;
/// Duration of a calm period.
const CALM_MS: f64 = 4_000.0;
/// Duration of the calm period in which the cluster is founded.
const FOUNDING_MS: f64 = 6_000.0;
/// Interval between ticks in a calm period.
const TICK_INTERVAL_MS: f64 = 50.0;
/// Maximum number of steps of a linearizability search.
const MAX_SEARCH_STEPS: usize = 10_000;

#[derive(Clone, Debug)]
struct Message {
    from: usize,
    to: usize,
    run: u64,
    number: u64,
    sent_at: f64,
    body: Body,
    /// The fingerprint of the message.
    fingerprint: u64,
}

#[derive(Clone, Debug)]
enum Body {
    PeerRequest(PeerRequest),
    PeerReply(PeerReply, Option<u64>),
}

#[derive(Clone, Debug)]
pub(super) struct Machine {
    pub store: Store,
    disk: DurableState,
    run: u64,
    /// The fingerprint of the machine, updated after each step.
    fingerprint: u64,
}

/// The moment of a power loss within a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PowerLoss {
    Never,
    BeforeSave,
    AfterSave,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Action {
    Call(usize),
    Deliver(usize, PowerLoss),
    Duplicate(usize),
    Restart(usize),
    LoseDisk(usize),
    Second,
    Calm(Option<usize>),
}

/// The path to a state, most recent action first.
#[derive(Debug)]
struct Path {
    description: String,
    before: Option<Arc<Path>>,
    length: usize,
}

/// The faults that may still occur.
#[derive(Clone, Copy, Debug)]
struct FaultBudget {
    crashes: u8,
    disk_losses: u8,
    seconds: u8,
    calms: u8,
    duplicates: u8,
}

#[derive(Clone, Debug)]
pub(super) struct SearchState {
    pub machines: Vec<Machine>,
    messages: Vec<Message>,
    now: f64,
    /// Flags of the calls that have been made.
    called: Vec<bool>,
    remaining_faults: FaultBudget,
    pub checker: InvariantChecker,
    defect: Option<Defect>,
    pub steps: u64,
    path: Option<Arc<Path>>,
}

/// Hashes text as it is written.
struct Hashed(u64);

impl Write for Hashed {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        for part in text.as_bytes().chunks(8) {
            let mut word = [0; 8];
            word[..part.len()].copy_from_slice(part);
            self.0 = (self.0.rotate_left(23) ^ u64::from_le_bytes(word)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        }
        Ok(())
    }
}

fn hash(value: &impl fmt::Debug) -> u64 {
    let mut hashed = Hashed(0xcbf2_9ce4_8422_2325);
    // Writing to a hash does not fail.
    let _ = write!(hashed, "{value:?}");
    let mixed = (hashed.0 ^ hashed.0 >> 32).wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^ mixed >> 32
}

impl SearchState {
    /// Creates the initial state: a founded cluster without messages in transit.
    pub fn founded(
        bounds: &ConfigurationBounds,
        defect: Option<Defect>,
        ignored: &BTreeSet<Invariant>,
    ) -> Self {
        let machine = |n: usize| {
            let disk = DurableState::new(n as u64 + 1);
            let store =
                adapter::start_store(n, adapter::seeds(bounds.stores, false), true, disk.clone(), n as u64);
            Machine { store, disk, run: 1, fingerprint: 0 }
        };
        let mut state = Self {
            machines: (0..bounds.stores).map(machine).collect(),
            messages: Vec::new(),
            now: 0.0,
            called: vec![false; bounds.calls.len()],
            remaining_faults: FaultBudget {
                crashes: bounds.crashes,
                disk_losses: bounds.disk_losses,
                seconds: bounds.seconds,
                calms: bounds.calms,
                duplicates: bounds.duplicates,
            },
            checker: InvariantChecker::ignored(ignored),
            defect,
            steps: 0,
            path: None,
        };
        state.calm(None, FOUNDING_MS);
        state.messages.clear();
        state
    }

    /// Returns a hash that distinguishes states.
    pub fn fingerprint(&self) -> u64 {
        let messages = self.messages.iter().map(|message| message.fingerprint).fold(0_u64, u64::wrapping_add);
        let machines: Vec<_> = self.machines.iter().map(|machine| machine.fingerprint).collect();
        let checker = hash(&self.checker.distinguishing_state());
        hash(&(machines, messages, self.now.to_bits(), &self.called, self.remaining_faults, checker))
    }

    /// Returns the first violation and the path to it.
    pub fn violation(&self) -> Option<(Violation, Vec<String>)> {
        let violation = self.checker.violation.clone()?;
        Some((violation, describe_path(self.path.as_ref())))
    }

    /// Returns all actions that may happen next.
    pub fn actions(&self, bounds: &ConfigurationBounds) -> Vec<Action> {
        let FaultBudget { crashes, disk_losses, seconds, calms, duplicates } = self.remaining_faults;
        let mut actions = Vec::new();
        actions.extend((0..self.called.len()).filter(|n| !self.called[*n]).map(Action::Call));
        for n in 0..self.messages.len() {
            actions.push(Action::Deliver(n, PowerLoss::Never));
            if crashes > 0 {
                actions.push(Action::Deliver(n, PowerLoss::BeforeSave));
                actions.push(Action::Deliver(n, PowerLoss::AfterSave));
            }
            if duplicates > 0 {
                actions.push(Action::Duplicate(n));
            }
        }
        for n in 0..bounds.stores {
            if crashes > 0 {
                actions.push(Action::Restart(n));
            }
            if disk_losses > 0 {
                actions.push(Action::LoseDisk(n));
            }
            if calms > 0 {
                actions.push(Action::Calm(Some(n)));
            }
        }
        if seconds > 0 {
            actions.push(Action::Second);
        }
        if calms > 0 {
            actions.push(Action::Calm(None));
        }
        actions
    }

    /// Returns the state after an action, or `None` if the action is not applicable.
    pub fn after(&self, bounds: &ConfigurationBounds, action: Action) -> Option<Self> {
        let mut next = self.clone();
        let description = match action {
            Action::Call(n) => next.call(bounds, n),
            Action::Deliver(n, power_loss) => next.deliver(n, power_loss)?,
            Action::Duplicate(n) => next.deliver_duplicate(n),
            Action::Restart(n) => {
                next.remaining_faults.crashes -= 1;
                next.restart(n);
                format!("store {n} loses power and restarts")
            }
            Action::LoseDisk(n) => next.lose_disk(n),
            Action::Second => next.pass_second(),
            Action::Calm(isolated) => {
                next.remaining_faults.calms -= 1;
                next.calm(isolated, CALM_MS);
                let isolated = isolated
                    .map_or(String::new(), |n| format!(", except from and to store {n}, which is isolated"));
                format!("a calm period passes in which all new messages are delivered{isolated}")
            }
        };
        let before = self.path.clone();
        let length = before.as_ref().map_or(0, |path| path.length) + 1;
        next.path = Some(Arc::new(Path { description, before, length }));
        Some(next)
    }

    fn call(&mut self, bounds: &ConfigurationBounds, n: usize) -> String {
        let (store, call) = &bounds.calls[n];
        self.called[n] = true;
        let id = n as CommandId + 1;
        self.checker.record_call(self.now, id, *store, call.clone());
        self.machines[*store].store.submit(Timestamp::from_millis(self.now), id, call.to_command());
        self.execute_effects(*store, PowerLoss::Never, None);
        format!("store {store} is called: {call:?}")
    }

    fn deliver(&mut self, n: usize, power_loss: PowerLoss) -> Option<String> {
        let message = self.messages.swap_remove(n);
        let description = describe(&message);
        let to = message.to;
        if !self.process(message, power_loss, None) {
            return None;
        }
        Some(match power_loss {
            PowerLoss::Never => description,
            PowerLoss::BeforeSave => format!("{description}; store {to} loses power before the save"),
            PowerLoss::AfterSave => {
                format!("{description}; store {to} loses power after the save, before sending anything")
            }
        })
    }

    fn deliver_duplicate(&mut self, n: usize) -> String {
        self.remaining_faults.duplicates -= 1;
        let message = self.messages[n].clone();
        let description = describe(&message);
        self.process(message, PowerLoss::Never, None);
        format!("{description}, and will be delivered again")
    }

    fn lose_disk(&mut self, n: usize) -> String {
        self.remaining_faults.disk_losses -= 1;
        let machine = &mut self.machines[n];
        let incarnation = 100 * (n as u64 + 1) + machine.run;
        machine.disk = adapter::replacement_disk(&machine.disk, incarnation, self.defect);
        self.restart(n);
        format!("store {n} loses its disk and restarts")
    }

    fn pass_second(&mut self) -> String {
        self.remaining_faults.seconds -= 1;
        self.now += SECOND_MS;
        for n in 0..self.machines.len() {
            self.tick(n, None);
        }
        // Periodically repeated messages are lost.
        self.messages.retain(|message| !is_routine(message));
        "a second passes in which no message is delivered".to_owned()
    }

    fn restart(&mut self, n: usize) {
        let stores = self.machines.len();
        let machine = &mut self.machines[n];
        machine.run += 1;
        let state = adapter::restored_state(machine.disk.clone(), false, self.defect);
        machine.store = adapter::start_store(
            n,
            adapter::seeds(stores, false),
            false,
            state,
            1_000 * machine.run + n as u64,
        );
        self.checker.record_start(n);
        self.checker.abandon_calls(n);
        // The connections of the previous run are closed.
        let run = self.machines[n].run;
        self.messages.retain(|m| !(m.to == n && matches!(m.body, Body::PeerReply(..)) && m.run != run));
        self.update_fingerprint(n);
    }

    fn tick(&mut self, n: usize, calm: Option<&mut VecDeque<Message>>) {
        let now = self.now;
        self.machines[n].store.tick(Timestamp::from_millis(now));
        self.execute_effects(n, PowerLoss::Never, calm);
        let store = &self.machines[n].store;
        let members: Vec<usize> = store.members().into_iter().map(adapter::machine_of).collect();
        let age = adapter::contact_age_ms(store, now);
        self.checker.check_contact(now, n, &members, age);
    }

    /// Executes the effects of a store. Returns whether the store still runs. Its messages are put in transit, or into
    /// the queue of a calm period.
    fn execute_effects(
        &mut self,
        n: usize,
        power_loss: PowerLoss,
        mut calm: Option<&mut VecDeque<Message>>,
    ) -> bool {
        self.steps += 1;
        for effect in self.machines[n].store.take_effects() {
            match effect {
                Effect::Save => {
                    if !self.save(n, power_loss) {
                        return false;
                    }
                }
                Effect::Send { to, number, request } => {
                    self.send(n, adapter::machine_of(to), number, request, calm.as_deref_mut());
                }
                Effect::Complete { command, result } => self.complete(n, command, &result),
            }
        }
        self.checker.check_step(self.now, n, &self.machines[n].store);
        if calm.is_none() {
            self.update_fingerprint(n);
        }
        true
    }

    /// Saves the state of a store. Returns whether the store still runs.
    fn save(&mut self, n: usize, power_loss: PowerLoss) -> bool {
        let now = self.now;
        if let Some((ballot, items)) = adapter::own_proposal(n, self.machines[n].store.state()) {
            self.checker.record_proposal(now, n, ballot, items);
        }
        if power_loss == PowerLoss::BeforeSave {
            self.restart(n);
            return false;
        }
        let machine = &mut self.machines[n];
        machine.disk = machine.store.state().clone();
        if power_loss == PowerLoss::AfterSave {
            self.restart(n);
            return false;
        }
        true
    }

    fn send(
        &mut self,
        from: usize,
        to: usize,
        number: u64,
        request: PeerRequest,
        calm: Option<&mut VecDeque<Message>>,
    ) {
        let now = self.now;
        self.checker.check_chosen(now, "a message", adapter::chosen_in_request(&request));
        if let Some(ballot) = adapter::announced_round(&request) {
            let items = self.machines[from].store.state().items.clone();
            self.checker.record_chosen(ballot, &items);
        }
        if let Some((ballot, items)) = adapter::proposal(&request) {
            self.checker.record_proposal(now, from, ballot, items);
        }
        let run = self.machines[from].run;
        let body = Body::PeerRequest(request);
        self.enqueue(Message { from, to, run, number, sent_at: now, body, fingerprint: 0 }, calm);
    }

    fn complete(&mut self, n: usize, command: CommandId, result: &Result<CommandOutcome, RpcError>) {
        let now = self.now;
        let confirmation = result.as_ref().map(drop).map_err(Clone::clone);
        let read = result.as_ref().ok().and_then(adapter::read_items);
        let items = &self.machines[n].store.state().items;
        self.checker.record_result(now, command, &confirmation, read, items);
        if let Some(epoch) = result.as_ref().ok().and_then(adapter::acquired_epoch) {
            self.checker.check_epoch(now, command, epoch);
        }
        self.checker.check_histories(now, MAX_SEARCH_STEPS);
    }

    fn update_fingerprint(&mut self, n: usize) {
        let machine = &mut self.machines[n];
        machine.fingerprint = hash(&(&machine.store, &machine.disk, machine.run));
    }

    fn enqueue(&mut self, mut message: Message, calm: Option<&mut VecDeque<Message>>) {
        match calm {
            Some(calm) => calm.push_back(message),
            // Losing these messages only causes a delay, so they are delivered only in calm periods.
            None if is_routine(&message) => {}
            None => {
                message.fingerprint = hash(&message);
                self.messages.push(message);
            }
        }
    }

    /// Delivers a message. Returns whether a power loss requested for this step occurred, or `true` if none was
    /// requested.
    fn process(
        &mut self,
        message: Message,
        power_loss: PowerLoss,
        mut calm: Option<&mut VecDeque<Message>>,
    ) -> bool {
        let now = self.now;
        let Message { from, to, run, number, sent_at, body, .. } = message;
        let is_running = match body {
            Body::PeerRequest(request) => {
                let request = adapter::tampered_request(request, self.defect);
                let store = &mut self.machines[to].store;
                let reply =
                    store.handle_request(Timestamp::from_millis(now), adapter::address_of(from), request);
                let contact_version = adapter::contact_version(store, &reply);
                let is_running = self.execute_effects(to, power_loss, calm.as_deref_mut());
                if is_running {
                    self.checker.check_chosen(now, "a message", adapter::chosen_in_reply(&reply));
                    let body = Body::PeerReply(reply, contact_version);
                    let reply = Message { from: to, to: from, run, number, sent_at, body, fingerprint: 0 };
                    if self.machines[from].run == run {
                        self.enqueue(reply, calm);
                    }
                }
                is_running
            }
            Body::PeerReply(reply, contact_version) => {
                let store = &mut self.machines[to].store;
                if adapter::is_contact(store, contact_version) {
                    self.checker.record_contact(to, from, sent_at);
                }
                let reply = adapter::tampered_reply(store, reply, self.defect);
                store.handle_response(Timestamp::from_millis(now), number, Some(reply));
                self.execute_effects(to, power_loss, calm)
            }
        };
        if !is_running {
            self.remaining_faults.crashes -= 1;
        }
        power_loss == PowerLoss::Never || !is_running
    }

    fn calm(&mut self, isolated: Option<usize>, duration: f64) {
        let mut calm = VecDeque::new();
        let until = self.now + duration;
        while self.now < until && self.checker.violation.is_none() {
            self.now += TICK_INTERVAL_MS;
            for n in 0..self.machines.len() {
                self.tick(n, Some(&mut calm));
                while let Some(message) = calm.pop_front() {
                    let ends = [message.from, message.to];
                    let is_current = !matches!(message.body, Body::PeerReply(..))
                        || self.machines[message.to].run == message.run;
                    if is_current && !isolated.is_some_and(|isolated| ends.contains(&isolated)) {
                        self.process(message, PowerLoss::Never, Some(&mut calm));
                    }
                }
            }
        }
        (0..self.machines.len()).for_each(|n| self.update_fingerprint(n));
    }
}

fn is_routine(message: &Message) -> bool {
    match &message.body {
        Body::PeerRequest(request) => adapter::is_routine(request),
        Body::PeerReply(reply, _) => adapter::only_proves_contact(reply),
    }
}

fn describe(message: &Message) -> String {
    let (from, to) = (message.from, message.to);
    match &message.body {
        Body::PeerRequest(request) => format!("{from} to {to}: {request:?}"),
        Body::PeerReply(reply, _) => format!("{from} answers {to}: {reply:?}"),
    }
}

fn describe_path(last: Option<&Arc<Path>>) -> Vec<String> {
    let mut lines = Vec::new();
    let mut current = last;
    while let Some(path) = current {
        lines.push(path.description.clone());
        current = path.before.as_ref();
    }
    lines.reverse();
    lines
}
