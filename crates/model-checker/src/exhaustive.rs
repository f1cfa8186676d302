//! Every way that a small world can take: some stores, some calls, and a bounded number of faults, in any order.
//!
//! A message may be delivered at any later step or never, so that it is lost, late or passed by others without a fault
//! that counts. Time is coarse: it is paused while messages are delivered, and passes by a second at a time (in which
//! nothing is delivered) or by a calm of some seconds (in which all that is newly sent comes at once, but for one machine
//! that may be cut off, and what was on its way before stays late). States are told apart by a hash of all that they hold.

use crate::adapter::{self, ClientCall};
use crate::checker::{Invariant, InvariantChecker, Violation};
use crate::defects::Defect;
use ivygate_config_store::{
    CommandId, DurableState, Effect, MembershipStatus, PeerReply, PeerRequest, Store,
};
use ivygate_time::Timestamp;
use std::collections::{BTreeSet, HashSet, VecDeque};
use std::fmt::{self, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A second, in which each store looks at its clock once.
const SECOND_MS: f64 = 1_000.0;
/// Length of a calm.
const CALM_MS: f64 = 4_000.0;
/// Period of the clocks in a calm.
const TICK_INTERVAL_MS: f64 = 50.0;
/// Parts of the set of states that were seen.
const SHARDS: usize = 64;
/// Steps of one search for an order.
const MAX_SEARCH_STEPS: usize = 10_000;

/// What bounds a small world.
#[derive(Clone, Debug)]
pub struct WorldBounds {
    /// Its name.
    pub name: &'static str,
    /// How many stores.
    pub stores: usize,
    /// The calls: at which store, and what for. Each may come at any step.
    pub calls: Vec<(usize, ClientCall)>,
    /// How often a store may lose power: before a save, after it, or between steps.
    pub crashes: u8,
    /// How many disks may be lost.
    pub wipes: u8,
    /// Seconds that may pass.
    pub seconds: u8,
    /// Calms that may pass.
    pub calms: u8,
    /// Messages that may come twice.
    pub doubled: u8,
}

/// How a world was explored.
#[derive(Clone, Debug)]
pub struct Explored {
    /// States that differ.
    pub states: u64,
    /// Steps that were taken.
    pub steps: u64,
    /// The longest way, in steps.
    pub depth: usize,
    /// Whether all of it was seen.
    pub whole: bool,
    /// The first invariant that did not hold, and the shortest way there.
    pub violation: Option<(Violation, Vec<String>)>,
}

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
struct Machine {
    store: Store,
    disk: DurableState,
    run: u64,
    /// Of all that it is, once it has taken a step.
    print: u64,
}

/// When a store loses power in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Crash {
    Never,
    BeforeSave,
    AfterSave,
}

#[derive(Clone, Copy, Debug)]
enum Action {
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
    confirmation: String,
    before: Option<Arc<Path>>,
    length: usize,
}

#[derive(Clone, Debug)]
struct SearchState {
    machines: Vec<Machine>,
    messages: Vec<Message>,
    now: f64,
    record_call: Vec<bool>,
    left: [u8; 5],
    checker: InvariantChecker,
    defect: Option<Defect>,
    steps: u64,
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
    fn founded(bounds: &WorldBounds, defect: Option<Defect>, ignored: &BTreeSet<Invariant>) -> Self {
        let machine = |n: usize| {
            let disk = DurableState::new(n as u64 + 1);
            let store = adapter::start(n, adapter::seeds(bounds.stores, false), true, disk.clone(), n as u64);
            Machine { store, disk, run: 1, print: 0 }
        };
        let mut state = Self {
            machines: (0..bounds.stores).map(machine).collect(),
            messages: Vec::new(),
            now: 0.0,
            record_call: vec![false; bounds.calls.len()],
            left: [bounds.crashes, bounds.wipes, bounds.seconds, bounds.calms, bounds.doubled],
            checker: InvariantChecker::ignored(ignored),
            defect,
            steps: 0,
            path: None,
        };
        state.calm(None, 6_000.0);
        state.messages.clear();
        state
    }

    fn fingerprint(&self) -> u64 {
        let messages = self.messages.iter().map(|message| message.print).fold(0_u64, u64::wrapping_add);
        let machines: Vec<_> = self.machines.iter().map(|machine| machine.print).collect();
        let judged = hash(&self.checker.facts());
        hash(&(machines, messages, self.now.to_bits(), &self.record_call, self.left, judged))
    }

    fn actions(&self, bounds: &WorldBounds) -> Vec<Action> {
        let [crashes, wipes, seconds, calms, doubled] = self.left;
        let mut actions = Vec::new();
        actions.extend((0..self.record_call.len()).filter(|n| !self.record_call[*n]).map(Action::Call));
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

    /// The world after an action; nothing if that is none here.
    fn after(&self, bounds: &WorldBounds, action: Action) -> Option<Self> {
        let mut next = self.clone();
        let confirmation = match action {
            Action::Call(n) => {
                let (store, op) = &bounds.calls[n];
                next.record_call[n] = true;
                let id = n as CommandId + 1;
                next.checker.record_call(next.now, id, *store, op.clone());
                next.machines[*store].store.submit(Timestamp::from_millis(next.now), id, op.change());
                next.carry_out(*store, Crash::Never, None);
                format!("store {store} is called: {op:?}")
            }
            Action::Deliver(n, crash) => {
                let message = next.messages.swap_remove(n);
                let confirmation = confirmation(&message);
                let to = message.to;
                if !next.process(message, crash, None) {
                    return None;
                }
                match crash {
                    Crash::Never => confirmation,
                    Crash::BeforeSave => format!("{confirmation}; store {to} loses power before the save"),
                    Crash::AfterSave => {
                        format!("{confirmation}; store {to} loses power after the save, with nothing said")
                    }
                }
            }
            Action::Double(n) => {
                next.left[4] -= 1;
                let message = next.messages[n].clone();
                let confirmation = confirmation(&message);
                next.process(message, Crash::Never, None);
                format!("{confirmation}, and will come again")
            }
            Action::Restart(n) => {
                next.left[0] -= 1;
                next.restart(n);
                format!("store {n} loses power and starts")
            }
            Action::Wipe(n) => {
                next.left[1] -= 1;
                let machine = &mut next.machines[n];
                let incarnation = 100 * (n as u64 + 1) + machine.run;
                machine.disk = adapter::lost(&machine.disk, incarnation, self.defect);
                next.restart(n);
                format!("store {n} loses its disk and starts")
            }
            Action::Second => {
                next.left[2] -= 1;
                next.now += SECOND_MS;
                for n in 0..next.machines.len() {
                    next.tick(n, None);
                }
                // What comes again and again is lost here.
                next.messages.retain(|message| !is_routine(message));
                "a second passes in which nothing comes".to_owned()
            }
            Action::Calm(cut) => {
                next.left[3] -= 1;
                next.calm(cut, CALM_MS);
                let cut = cut.map_or(String::new(), |n| format!(", but for store {n}, which is cut off"));
                format!("a calm passes in which all new messages come{cut}")
            }
        };
        let before = self.path.clone();
        let length = before.as_ref().map_or(0, |path| path.length) + 1;
        next.path = Some(Arc::new(Path { confirmation, before, length }));
        Some(next)
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
        let now = self.now;
        for output in self.machines[n].store.take_effects() {
            match output {
                Effect::Save => {
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
                }
                Effect::Send { to, number, request: ask } => {
                    self.checker.check_chosen(now, "what is said", adapter::chosen_in_request(&ask));
                    if let Some(ballot) = adapter::chosen_round(&ask) {
                        let items = self.machines[n].store.state().items.clone();
                        self.checker.note_chosen(ballot, &items);
                    }
                    if let Some((ballot, items)) = adapter::proposal(&ask) {
                        self.checker.note_proposal(now, n, ballot, items);
                    }
                    let (to, run) = (adapter::machine(to), self.machines[n].run);
                    let message = Message {
                        from: n,
                        to,
                        run,
                        number,
                        asked: now,
                        body: Body::PeerRequest(ask),
                        print: 0,
                    };
                    self.put(message, calm.as_deref_mut());
                }
                Effect::Complete { command: call, result } => {
                    let confirmation = result.as_ref().map(drop).map_err(Clone::clone);
                    let read = result.as_ref().ok().and_then(adapter::read);
                    self.checker.answered(
                        now,
                        call,
                        &confirmation,
                        read,
                        &self.machines[n].store.state().items,
                    );
                    if let Some(epoch) = result.ok().as_ref().and_then(adapter::epoch) {
                        self.checker.check_epoch(now, call, epoch);
                    }
                    self.checker.ended(now, MAX_SEARCH_STEPS);
                }
            }
        }
        self.checker.check_step(now, n, &self.machines[n].store);
        if calm.is_none() {
            self.print(n);
        }
        true
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
            self.left[0] -= 1;
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

fn confirmation(message: &Message) -> String {
    let (from, to) = (message.from, message.to);
    match &message.body {
        Body::PeerRequest(ask) => format!("{from} to {to}: {ask:?}"),
        Body::PeerReply(reply, _) => format!("{from} answers {to}: {reply:?}"),
    }
}

fn path(last: Option<&Arc<Path>>) -> Vec<String> {
    let mut lines = Vec::new();
    let mut at = last;
    while let Some(path) = at {
        lines.push(path.confirmation.clone());
        at = path.before.as_ref();
    }
    lines.reverse();
    lines
}

/// Explores a world, shorter ways first, until all is seen, an invariant does not hold, so many states were seen (so that
/// the verdict is the same each time) or the time is over.
pub fn explore(
    bounds: &WorldBounds,
    defect: Option<Defect>,
    ignored: &BTreeSet<Invariant>,
    states: u64,
    time: Duration,
    threads: usize,
) -> Explored {
    let end = Instant::now() + time;
    let start = SearchState::founded(bounds, defect, ignored);
    let mut explored = Explored { states: 1, steps: 0, depth: 0, whole: true, violation: None };
    if let Some(violation) = &start.checker.violation {
        explored.violation = Some((violation.clone(), Vec::new()));
        return explored;
    }
    let seen: Vec<Mutex<HashSet<u64>>> = (0..SHARDS).map(|_| Mutex::default()).collect();
    let is_new = |fingerprint: u64| {
        let shard = &seen[fingerprint as usize % SHARDS];
        shard.lock().is_ok_and(|mut shard| shard.insert(fingerprint))
    };
    is_new(start.fingerprint());
    let mut layer = vec![start];
    let over = AtomicBool::new(false);
    while !layer.is_empty() && explored.violation.is_none() {
        if over.load(Ordering::Relaxed) || explored.states >= states {
            explored.whole = false;
            break;
        }
        let part = layer.len().div_ceil(threads.max(1));
        let layers: Vec<(Vec<SearchState>, u64, Option<SearchState>)> = std::thread::scope(|scope| {
            let work = |small_worlds: &[SearchState]| {
                let (mut next, mut steps, mut violation) = (Vec::new(), 0, None);
                for state in small_worlds {
                    if over.load(Ordering::Relaxed) || Instant::now() > end {
                        over.store(true, Ordering::Relaxed);
                        break;
                    }
                    for action in state.actions(bounds) {
                        let Some(after) = state.after(bounds, action) else { continue };
                        steps += after.steps - state.steps;
                        if after.checker.violation.is_some() {
                            violation.get_or_insert(after);
                        } else if is_new(after.fingerprint()) {
                            next.push(after);
                        }
                    }
                }
                (next, steps, violation)
            };
            let handles: Vec<_> =
                layer.chunks(part).map(|small_worlds| scope.spawn(move || work(small_worlds))).collect();
            handles.into_iter().filter_map(|handle| handle.join().ok()).collect()
        });
        layer = Vec::new();
        for (next, steps, violation) in layers {
            explored.states += next.len() as u64;
            explored.steps += steps;
            layer.extend(next);
            if let (None, Some(state)) = (&explored.violation, violation) {
                explored.violation =
                    state.checker.violation.clone().map(|violation| (violation, path(state.path.as_ref())));
            }
        }
        if over.load(Ordering::Relaxed) {
            explored.whole = false;
        }
        explored.depth += 1;
    }
    explored
}

fn put(name: &str, place: &str, number: u64, content: u64) -> ClientCall {
    ClientCall::Put { name: name.to_owned(), place: place.to_owned(), number, content }
}

fn duty(holder: usize) -> ClientCall {
    ClientCall::Duty { name: "d".to_owned(), holder: adapter::ip(holder) }
}

/// The small worlds that are explored, from the smallest on.
pub fn small_worlds() -> Vec<WorldBounds> {
    let none = WorldBounds {
        name: "",
        stores: 3,
        calls: Vec::new(),
        crashes: 0,
        wipes: 0,
        seconds: 0,
        calms: 0,
        doubled: 0,
    };
    let one_number = vec![(0, put("a", "/a/", 2, 1)), (1, put("a", "/a/", 2, 2))];
    let one_place = vec![(0, put("a", "/same/", 2, 1)), (1, put("c", "/same/", 3, 2))];
    let duties = vec![(0, duty(100)), (1, duty(101))];
    let one = |calls: &[(usize, ClientCall)]| calls[..1].to_vec();
    let drain = vec![(0, ClientCall::Drain { zone: "z".to_owned(), on: true }), (1, ClientCall::Read)];
    vec![
        WorldBounds { name: "3-one-number", calls: one_number.clone(), ..none.clone() },
        WorldBounds { name: "3-duties", calls: duties.clone(), ..none.clone() },
        WorldBounds { name: "3-one-crash", calls: one(&one_number), crashes: 1, seconds: 1, ..none.clone() },
        WorldBounds { name: "3-one-loss", calls: one(&one_number), wipes: 1, calms: 1, ..none.clone() },
        WorldBounds { name: "3-late-orphan", calls: one_place.clone(), calms: 2, ..none.clone() },
        WorldBounds { name: "3-drain-and-read", calls: drain, calms: 1, ..none.clone() },
        WorldBounds { name: "3-two-calls-one-crash", calls: one_number.clone(), crashes: 1, ..none.clone() },
        WorldBounds {
            name: "3-two-calls-one-loss",
            calls: one_number.clone(),
            wipes: 1,
            calms: 2,
            ..none.clone()
        },
        WorldBounds { name: "3-duties-one-loss", calls: duties.clone(), wipes: 1, calms: 2, ..none.clone() },
        WorldBounds {
            name: "4-two-calls-one-loss",
            stores: 4,
            calls: one_number.clone(),
            wipes: 1,
            calms: 2,
            ..none.clone()
        },
        WorldBounds {
            name: "5-one-call-two-losses",
            stores: 5,
            calls: one(&one_number),
            wipes: 2,
            calms: 2,
            ..none.clone()
        },
        WorldBounds {
            name: "5-two-calls-one-loss",
            stores: 5,
            calls: one_number,
            wipes: 1,
            calms: 2,
            ..none
        },
    ]
}

/// Whether all stores of a founded world are members, as a check of the start.
pub fn is_founded(bounds: &WorldBounds) -> bool {
    let state = SearchState::founded(bounds, None, &BTreeSet::new());
    state.machines.iter().all(|machine| machine.store.status() == MembershipStatus::Member)
}
