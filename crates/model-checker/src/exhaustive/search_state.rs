//! One state of a search: stores, disks, messages on their way, and what faults are left.

use super::WorldBounds;
use crate::adapter;
use crate::checker::{Invariant, InvariantChecker, Violation};
use crate::defects::Defect;
use ivygate_config_store::{CommandId, CommandOutcome, DurableState, Effect, PeerReply, PeerRequest, Store};
use ivygate_rpc::RpcError;
use ivygate_time::Timestamp;
use std::collections::{BTreeSet, VecDeque};
use std::fmt::{self, Write};
use std::sync::Arc;

/// A second, in which each store looks at its clock once.
const SECOND_MS: f64 = 1_000.0;
/// Length of a calm.
const CALM_MS: f64 = 4_000.0;
/// Length of the calm in which a membership is founded.
const FOUNDING_MS: f64 = 6_000.0;
/// Period of the clocks in a calm.
const TICK_INTERVAL_MS: f64 = 50.0;
/// Steps of one search for an order.
const MAX_SEARCH_STEPS: usize = 10_000;

#[derive(Clone, Debug)]
struct Message {
    from: usize,
    to: usize,
    run: u64,
    number: u64,
    asked: f64,
    body: Body,
    /// Of all that it is.
    print: u64,
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
    /// Of all that it is, once it has taken a step.
    print: u64,
}

/// When a store loses power in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Crash {
    Never,
    BeforeSave,
    AfterSave,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Action {
    Call(usize),
    Deliver(usize, Crash),
    Double(usize),
    Restart(usize),
    Wipe(usize),
    Second,
    Calm(Option<usize>),
}

/// The way to a state, newest step first.
#[derive(Debug)]
struct Path {
    description: String,
    before: Option<Arc<Path>>,
    length: usize,
}

/// The faults that may still happen.
#[derive(Clone, Copy, Debug)]
struct FaultBudget {
    crashes: u8,
    wipes: u8,
    seconds: u8,
    calms: u8,
    doubled: u8,
}

#[derive(Clone, Debug)]
pub(super) struct SearchState {
    pub machines: Vec<Machine>,
    messages: Vec<Message>,
    now: f64,
    /// Which of the calls have been made.
    called: Vec<bool>,
    left: FaultBudget,
    pub checker: InvariantChecker,
    defect: Option<Defect>,
    pub steps: u64,
    path: Option<Arc<Path>>,
}

/// Feeds text to a hash as it is written.
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
    // Writing into a hash does not fail.
    let _ = write!(hashed, "{value:?}");
    let mixed = (hashed.0 ^ hashed.0 >> 32).wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^ mixed >> 32
}

impl SearchState {
    /// A world whose membership is founded, and in which nothing is on its way.
    pub fn founded(bounds: &WorldBounds, defect: Option<Defect>, ignored: &BTreeSet<Invariant>) -> Self {
        let machine = |n: usize| {
            let disk = DurableState::new(n as u64 + 1);
            let store = adapter::start(n, adapter::seeds(bounds.stores, false), true, disk.clone(), n as u64);
            Machine { store, disk, run: 1, print: 0 }
        };
        let mut state = Self {
            machines: (0..bounds.stores).map(machine).collect(),
            messages: Vec::new(),
            now: 0.0,
            called: vec![false; bounds.calls.len()],
            left: FaultBudget {
                crashes: bounds.crashes,
                wipes: bounds.wipes,
                seconds: bounds.seconds,
                calms: bounds.calms,
                doubled: bounds.doubled,
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

    /// Tells states apart.
    pub fn fingerprint(&self) -> u64 {
        let messages = self.messages.iter().map(|message| message.print).fold(0_u64, u64::wrapping_add);
        let machines: Vec<_> = self.machines.iter().map(|machine| machine.print).collect();
        let judged = hash(&self.checker.facts());
        hash(&(machines, messages, self.now.to_bits(), &self.called, self.left, judged))
    }

    /// The first invariant that did not hold, and the way there.
    pub fn violation(&self) -> Option<(Violation, Vec<String>)> {
        let violation = self.checker.violation.clone()?;
        Some((violation, describe_path(self.path.as_ref())))
    }

    /// All that may happen next.
    pub fn actions(&self, bounds: &WorldBounds) -> Vec<Action> {
        let FaultBudget { crashes, wipes, seconds, calms, doubled } = self.left;
        let mut actions = Vec::new();
        actions.extend((0..self.called.len()).filter(|n| !self.called[*n]).map(Action::Call));
        for n in 0..self.messages.len() {
            actions.push(Action::Deliver(n, Crash::Never));
            if crashes > 0 {
                actions.push(Action::Deliver(n, Crash::BeforeSave));
                actions.push(Action::Deliver(n, Crash::AfterSave));
            }
            if doubled > 0 {
                actions.push(Action::Double(n));
            }
        }
        for n in 0..bounds.stores {
            if crashes > 0 {
                actions.push(Action::Restart(n));
            }
            if wipes > 0 {
                actions.push(Action::Wipe(n));
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

    /// The world after an action; `None` if that is none here.
    pub fn after(&self, bounds: &WorldBounds, action: Action) -> Option<Self> {
        let mut next = self.clone();
        let description = match action {
            Action::Call(n) => next.call(bounds, n),
            Action::Deliver(n, crash) => next.deliver(n, crash)?,
            Action::Double(n) => next.deliver_first_of_two(n),
            Action::Restart(n) => {
                next.left.crashes -= 1;
                next.restart(n);
                format!("store {n} loses power and starts")
            }
            Action::Wipe(n) => next.wipe(n),
            Action::Second => next.pass_second(),
            Action::Calm(cut) => {
                next.left.calms -= 1;
                next.calm(cut, CALM_MS);
                let cut = cut.map_or(String::new(), |n| format!(", but for store {n}, which is cut off"));
                format!("a calm passes in which all new messages come{cut}")
            }
        };
        let before = self.path.clone();
        let length = before.as_ref().map_or(0, |path| path.length) + 1;
        next.path = Some(Arc::new(Path { description, before, length }));
        Some(next)
    }

    fn call(&mut self, bounds: &WorldBounds, n: usize) -> String {
        let (store, op) = &bounds.calls[n];
        self.called[n] = true;
        let id = n as CommandId + 1;
        self.checker.record_call(self.now, id, *store, op.clone());
        self.machines[*store].store.submit(Timestamp::from_millis(self.now), id, op.change());
        self.carry_out(*store, Crash::Never, None);
        format!("store {store} is called: {op:?}")
    }

    fn deliver(&mut self, n: usize, crash: Crash) -> Option<String> {
        let message = self.messages.swap_remove(n);
        let description = describe(&message);
        let to = message.to;
        if !self.process(message, crash, None) {
            return None;
        }
        Some(match crash {
            Crash::Never => description,
            Crash::BeforeSave => format!("{description}; store {to} loses power before the save"),
            Crash::AfterSave => {
                format!("{description}; store {to} loses power after the save, with nothing said")
            }
        })
    }

    fn deliver_first_of_two(&mut self, n: usize) -> String {
        self.left.doubled -= 1;
        let message = self.messages[n].clone();
        let description = describe(&message);
        self.process(message, Crash::Never, None);
        format!("{description}, and will come again")
    }

    fn wipe(&mut self, n: usize) -> String {
        self.left.wipes -= 1;
        let machine = &mut self.machines[n];
        let incarnation = 100 * (n as u64 + 1) + machine.run;
        machine.disk = adapter::lost(&machine.disk, incarnation, self.defect);
        self.restart(n);
        format!("store {n} loses its disk and starts")
    }

    fn pass_second(&mut self) -> String {
        self.left.seconds -= 1;
        self.now += SECOND_MS;
        for n in 0..self.machines.len() {
            self.tick(n, None);
        }
        // What comes again and again is lost here.
        self.messages.retain(|message| !is_routine(message));
        "a second passes in which nothing comes".to_owned()
    }

    fn restart(&mut self, n: usize) {
        let stores = self.machines.len();
        let machine = &mut self.machines[n];
        machine.run += 1;
        let kept = adapter::loaded(machine.disk.clone(), false, self.defect);
        machine.store =
            adapter::start(n, adapter::seeds(stores, false), false, kept, 1_000 * machine.run + n as u64);
        self.checker.started(n);
        self.checker.drop_calls(n);
        // The connections of the life before are gone.
        let run = self.machines[n].run;
        self.messages.retain(|m| !(m.to == n && matches!(m.body, Body::PeerReply(..)) && m.run != run));
        self.print(n);
    }

    fn tick(&mut self, n: usize, calm: Option<&mut VecDeque<Message>>) {
        let now = self.now;
        self.machines[n].store.tick(Timestamp::from_millis(now));
        self.carry_out(n, Crash::Never, calm);
        let store = &self.machines[n].store;
        let members: Vec<usize> = store.members().into_iter().map(adapter::machine).collect();
        let age = adapter::contact(store, now);
        self.checker.check_contact(now, n, &members, age);
    }

    /// Carries out what a store wants; tells whether it still runs. What it sends is late, or comes in a calm.
    fn carry_out(&mut self, n: usize, crash: Crash, mut calm: Option<&mut VecDeque<Message>>) -> bool {
        self.steps += 1;
        for effect in self.machines[n].store.take_effects() {
            match effect {
                Effect::Save => {
                    if !self.save(n, crash) {
                        return false;
                    }
                }
                Effect::Send { to, number, request } => {
                    self.send(n, adapter::machine(to), number, request, calm.as_deref_mut());
                }
                Effect::Complete { command, result } => self.complete(n, command, &result),
            }
        }
        self.checker.check_step(self.now, n, &self.machines[n].store);
        if calm.is_none() {
            self.print(n);
        }
        true
    }

    /// Saves what a store holds; tells whether it still runs.
    fn save(&mut self, n: usize, crash: Crash) -> bool {
        let now = self.now;
        if let Some((ballot, items)) = adapter::own_proposal(n, self.machines[n].store.state()) {
            self.checker.note_proposal(now, n, ballot, items);
        }
        if crash == Crash::BeforeSave {
            self.restart(n);
            return false;
        }
        let machine = &mut self.machines[n];
        machine.disk = machine.store.state().clone();
        if crash == Crash::AfterSave {
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
        self.checker.check_chosen(now, "what is said", adapter::chosen_in_request(&request));
        if let Some(ballot) = adapter::chosen_round(&request) {
            let items = self.machines[from].store.state().items.clone();
            self.checker.note_chosen(ballot, &items);
        }
        if let Some((ballot, items)) = adapter::proposal(&request) {
            self.checker.note_proposal(now, from, ballot, items);
        }
        let run = self.machines[from].run;
        let body = Body::PeerRequest(request);
        self.put(Message { from, to, run, number, asked: now, body, print: 0 }, calm);
    }

    fn complete(&mut self, n: usize, command: CommandId, result: &Result<CommandOutcome, RpcError>) {
        let now = self.now;
        let confirmation = result.as_ref().map(drop).map_err(Clone::clone);
        let read = result.as_ref().ok().and_then(adapter::read);
        let items = &self.machines[n].store.state().items;
        self.checker.answered(now, command, &confirmation, read, items);
        if let Some(epoch) = result.as_ref().ok().and_then(adapter::epoch) {
            self.checker.check_epoch(now, command, epoch);
        }
        self.checker.ended(now, MAX_SEARCH_STEPS);
    }

    fn print(&mut self, n: usize) {
        let machine = &mut self.machines[n];
        machine.print = hash(&(&machine.store, &machine.disk, machine.run));
    }

    fn put(&mut self, mut message: Message, calm: Option<&mut VecDeque<Message>>) {
        match calm {
            Some(calm) => calm.push_back(message),
            // Without these nothing is wrong but late: they are lost, but for calms.
            None if is_routine(&message) => {}
            None => {
                message.print = hash(&message);
                self.messages.push(message);
            }
        }
    }

    /// Hands a message over; tells whether a power loss that was to be in this step was.
    fn process(&mut self, message: Message, crash: Crash, mut calm: Option<&mut VecDeque<Message>>) -> bool {
        let now = self.now;
        let Message { from, to, run, number, asked, body, .. } = message;
        let runs = match body {
            Body::PeerRequest(ask) => {
                let ask = adapter::tampered_request(ask, self.defect);
                let store = &mut self.machines[to].store;
                let reply = store.handle_request(Timestamp::from_millis(now), adapter::ip(from), ask);
                let contact = adapter::contact_of(store, &reply);
                let runs = self.carry_out(to, crash, calm.as_deref_mut());
                if runs {
                    self.checker.check_chosen(now, "what is said", adapter::chosen_in_reply(&reply));
                    let body = Body::PeerReply(reply, contact);
                    let reply = Message { from: to, to: from, run, number, asked, body, print: 0 };
                    if self.machines[from].run == run {
                        self.put(reply, calm);
                    }
                }
                runs
            }
            Body::PeerReply(reply, contact) => {
                let store = &mut self.machines[to].store;
                if adapter::is_contact(store, contact) {
                    self.checker.contact(to, from, asked);
                }
                let reply = adapter::tampered_reply(store, reply, self.defect);
                store.handle_response(Timestamp::from_millis(now), number, Some(reply));
                self.carry_out(to, crash, calm)
            }
        };
        if !runs {
            self.left.crashes -= 1;
        }
        crash == Crash::Never || !runs
    }

    fn calm(&mut self, cut: Option<usize>, time: f64) {
        let mut calm = VecDeque::new();
        let until = self.now + time;
        while self.now < until && self.checker.violation.is_none() {
            self.now += TICK_INTERVAL_MS;
            for n in 0..self.machines.len() {
                self.tick(n, Some(&mut calm));
                while let Some(message) = calm.pop_front() {
                    let ends = [message.from, message.to];
                    let fresh = !matches!(message.body, Body::PeerReply(..))
                        || self.machines[message.to].run == message.run;
                    if fresh && !cut.is_some_and(|cut| ends.contains(&cut)) {
                        self.process(message, Crash::Never, Some(&mut calm));
                    }
                }
            }
        }
        (0..self.machines.len()).for_each(|n| self.print(n));
    }
}

fn is_routine(message: &Message) -> bool {
    match &message.body {
        Body::PeerRequest(ask) => adapter::is_routine(ask),
        Body::PeerReply(reply, _) => adapter::is_idle(reply),
    }
}

fn describe(message: &Message) -> String {
    let (from, to) = (message.from, message.to);
    match &message.body {
        Body::PeerRequest(ask) => format!("{from} to {to}: {ask:?}"),
        Body::PeerReply(reply, _) => format!("{from} answers {to}: {reply:?}"),
    }
}

fn describe_path(last: Option<&Arc<Path>>) -> Vec<String> {
    let mut lines = Vec::new();
    let mut at = last;
    while let Some(path) = at {
        lines.push(path.description.clone());
        at = path.before.as_ref();
    }
    lines.reverse();
    lines
}
