//! Stories: what happens to a fleet and what is asked of it, each at its time; drawn from a seed, and told in lines.

use crate::adapter::{ip, ClientCall};
use fastrand::Rng;
use std::collections::BTreeMap;
use std::fmt;

/// Which ways of a machine's links are meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDirection {
    /// To it and from it.
    Both,
    /// To it.
    In,
    /// From it.
    Out,
}

/// What happens to a machine at the moment it is waited for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MachineFault {
    /// It is cut off for a time.
    CutOff(LinkDirection, f64),
    /// It loses power for a time.
    Crash(f64),
    /// It is paused for a time.
    Pause(f64),
    /// It loses its disk and starts again after a time.
    Wipe(f64),
}

/// What a machine fault waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// Nothing.
    Now,
    /// The machine is about to save; it has not happened.
    BeforeSave,
    /// The machine is in the midst of a save: it has happened, or its items are saved and not the rest.
    WithinSave,
    /// The machine has saved; nothing that follows goes out.
    AfterSave,
    /// The machine has sent a request that writes items down.
    Writes,
    /// The machine has sent the answer that items are written down.
    Written,
    /// The machine has sent the first answer to a call.
    Answers,
}

/// One thing that happens. Machines are versions; times are milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Somebody calls a store.
    Call(usize, ClientCall),
    /// A machine is struck when the trigger comes.
    MachineFault(usize, Trigger, MachineFault),
    /// Nothing passes in one direction for a time.
    Cut(usize, usize, f64),
    /// What passes in one direction within a time comes so much later.
    Slow(usize, usize, f64, f64),
    /// The machines in a set are cut off from all others for a time.
    Split(u32, f64),
    /// All lose power for a time; disks are kept.
    Power(f64),
    /// All lose power and some machines their disks; all start again after a time.
    PowerAndDisks(u32, f64),
    /// A new empty machine comes at an address that nobody knows.
    MachineJoins,
    /// A machine is gone with its disk, for good.
    MachineVanishes(usize),
    /// A machine leaves by plan.
    MachineLeaves(usize),
    /// All requests of a machine that are out are known to be lost.
    Reset(usize),
    /// Messages are lost, doubled, late and reset: parts in a thousand, the longest delay, and for how long.
    NetworkConditions {
        /// Lost.
        lost: u32,
        /// Doubled.
        doubled: u32,
        /// Late.
        late: u32,
        /// The longest delay.
        longest: f64,
        /// Known to be lost, though they may arrive.
        reset: u32,
        /// For how long.
        time: f64,
    },
}

/// What happens to one message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MessageFault {
    /// It is lost.
    Lost,
    /// It comes twice, the second so much later.
    Doubled(f64),
    /// It comes so much later.
    Late(f64),
    /// It comes so much later, and its sender is told at once that no answer will come.
    Reset(f64),
}

/// A message, by its direction and its number in that.
pub type MessageId = (usize, usize, u64);

/// A run of a fleet, the same at each run.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// What all else is drawn from.
    pub seed: u64,
    /// How many machines found the membership.
    pub stores: usize,
    /// How far they are from each other: 0 near, 1 in regions of two, 2 up to 60 ms, 3 up to 200 ms.
    pub links: u8,
    /// Whether a request that is not answered within a second counts as lost, as in the program.
    pub impatient: bool,
    /// Whether all founders are known from the start, or a few.
    pub all_known: bool,
    /// What happens, by time.
    pub events: Vec<(f64, Event)>,
    /// What happens to single messages; `None` while it is drawn from the network conditions.
    pub message_faults: Option<BTreeMap<MessageId, MessageFault>>,
    /// When the faults are over.
    pub end: f64,
}

/// When the membership is founded and trouble begins.
pub const FOUNDING_TIME_MS: f64 = 4_000.0;

impl Schedule {
    /// The schedule of a seed.
    pub fn drawn(seed: u64, stores: usize) -> Self {
        let mut rng = Rng::with_seed(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ stores as u64);
        let length = [4_000.0, 8_000.0, 14_000.0, 25_000.0][rng.usize(..4)];
        let mut schedule = Self {
            seed,
            stores,
            links: rng.u8(..4),
            impatient: rng.bool(),
            all_known: seed % 2 == 0,
            events: Vec::new(),
            message_faults: None,
            end: FOUNDING_TIME_MS + length + 1_000.0,
        };
        let mut draw =
            ScheduleGenerator { rng, stores, length, next: 1, done: Vec::new(), events: Vec::new() };
        draw.all();
        schedule.events = draw.events;
        schedule.events.sort_by(|a, b| a.0.total_cmp(&b.0));
        schedule
    }
}

struct ScheduleGenerator {
    rng: Rng,
    stores: usize,
    length: f64,
    next: u64,
    done: Vec<ClientCall>,
    events: Vec<(f64, Event)>,
}

impl ScheduleGenerator {
    fn at(&mut self) -> f64 {
        (FOUNDING_TIME_MS + self.rng.f64() * self.length).round()
    }

    fn time(&mut self, least: f64, most: f64) -> f64 {
        (least * (most / least).powf(self.rng.f64())).round()
    }

    fn machine(&mut self) -> usize {
        // Now and then one that has come.
        let more = usize::from(self.rng.u8(..8) == 0);
        self.rng.usize(..self.stores + more)
    }

    fn op(&mut self) -> ClientCall {
        let rng = &mut self.rng;
        if !self.done.is_empty() && rng.u8(..5) == 0 {
            return self.done[rng.usize(..self.done.len())].clone();
        }
        let name = ["a", "b", "c"][rng.usize(..3)].to_owned();
        let place = if rng.u8(..4) == 0 { "/same/".to_owned() } else { format!("/{name}/") };
        self.next += 1;
        let number = match rng.u8(..4) {
            0 => rng.u64(1..self.next + 2),
            _ => self.next,
        };
        let op = match rng.u8(..20) {
            0..=8 => ClientCall::Put { name, place, number, content: self.next },
            9..=10 => ClientCall::Remove { name, number },
            11..=13 => ClientCall::Drain { zone: "z".to_owned(), on: rng.bool() },
            14..=15 => {
                ClientCall::Duty { name: "d".to_owned(), holder: ip(100 + (self.next % 100) as usize) }
            }
            _ => return ClientCall::Read,
        };
        self.done.push(op.clone());
        op
    }

    fn direction(&mut self) -> LinkDirection {
        [LinkDirection::Both, LinkDirection::Both, LinkDirection::In, LinkDirection::Out][self.rng.usize(..4)]
    }

    fn machine_fault(&mut self) -> MachineFault {
        match self.rng.u8(..8) {
            0..=2 => MachineFault::CutOff(self.direction(), self.time(300.0, 12_000.0)),
            3..=4 => MachineFault::Crash(self.time(20.0, 12_000.0)),
            5 => MachineFault::Pause(self.time(200.0, 20_000.0)),
            _ => MachineFault::Wipe(self.time(10.0, 6_000.0)),
        }
    }

    fn some(&mut self) -> u32 {
        self.rng.u32(1..(1 << self.stores) - 1)
    }

    fn all(&mut self) {
        for _ in 0..self.rng.usize(2..16) {
            let (at, store, op) = (self.at(), self.machine(), self.op());
            self.events.push((at, Event::Call(store, op)));
        }
        for _ in 0..self.rng.usize(1..7) {
            self.trouble();
        }
    }

    /// One that took part in a write loses its disk and gathers what it can, while the rest of the write is on its way;
    /// then those that have it are cut off, and the others are asked.
    fn rebuilt(&mut self, at: f64) {
        let mut order: Vec<usize> = (0..self.stores).collect();
        self.rng.shuffle(&mut order);
        let (proposer, lost) = (order[0], order[1]);
        let (late, later) = (self.time(150.0, 700.0), self.time(3_000.0, 20_000.0));
        let more = (self.stores / 2 + 1).saturating_sub(2);
        for (place, other) in order.iter().enumerate().skip(2) {
            let late = if place < 2 + more { late } else { later };
            self.events.push((at, Event::Slow(proposer, *other, late, 1_500.0)));
        }
        let wipe = MachineFault::Wipe(self.time(1.0, 60.0));
        self.events.push((at, Event::MachineFault(lost, Trigger::Written, wipe)));
        let op = self.op();
        self.events.push((at + 5.0, Event::Call(proposer, op)));
        let side = order[2..2 + more].iter().fold(1 << proposer, |side, n| side | 1 << n);
        let cut = at + late + self.time(20.0, 700.0);
        let time = self.time(1_500.0, 9_000.0);
        self.events.push((cut, Event::Split(side, time)));
        for _ in 0..2 {
            let asks = if self.rng.bool() { lost } else { order[self.stores - 1] };
            let then = cut + self.time(50.0, 3_000.0);
            self.events.push((then, Event::Call(asks, ClientCall::Read)));
        }
    }

    fn trouble(&mut self) {
        let at = self.at();
        let n = self.machine();
        let trigger = self.trigger();
        let event = match self.rng.u8(..24) {
            0..=7 => self.fault_of_called_machine(at, n, trigger),
            8..=9 => Event::Cut(n, self.machine(), self.time(200.0, 15_000.0)),
            10 => Event::Slow(n, self.machine(), self.time(50.0, 20_000.0), self.time(100.0, 8_000.0)),
            11..=12 => Event::Split(self.some(), self.time(300.0, 15_000.0)),
            13 => Event::Power(self.time(10.0, 3_000.0)),
            14 => Event::PowerAndDisks(self.some(), self.time(10.0, 3_000.0)),
            15 => Event::MachineJoins,
            16 => {
                let comes = at + self.time(10.0, 8_000.0);
                self.events.push((comes, Event::MachineJoins));
                Event::MachineVanishes(n)
            }
            17 => {
                let comes = at + self.time(10.0, 2_000.0) - 1_000.0;
                self.events.push((comes.max(FOUNDING_TIME_MS), Event::MachineJoins));
                Event::MachineLeaves(n)
            }
            18 => Event::Reset(n),
            19 => self.fault_within_conflict(at, trigger),
            20 => return self.rebuilt(at),
            _ => self.network_conditions(),
        };
        self.events.push((at, event));
    }

    fn trigger(&mut self) -> Trigger {
        match self.rng.u8(..8) {
            0..=1 => Trigger::Now,
            2 if self.rng.bool() => Trigger::WithinSave,
            2 => Trigger::BeforeSave,
            3 => Trigger::AfterSave,
            4..=5 => Trigger::Writes,
            6 => Trigger::Written,
            _ => Trigger::Answers,
        }
    }

    /// A fault of a machine, and a call that it can meet.
    fn fault_of_called_machine(&mut self, at: f64, n: usize, trigger: Trigger) -> Event {
        let op = self.op();
        let other = self.machine();
        let called = if self.rng.bool() { n } else { other };
        self.events.push((at + 5.0, Event::Call(called, op)));
        if trigger == Trigger::Written && self.rng.bool() {
            for _ in 0..self.rng.usize(1..4) {
                let (from, to) = (self.machine(), self.machine());
                let (late, time) = (self.time(100.0, 2_000.0), self.time(200.0, 2_000.0));
                self.events.push((at, Event::Slow(from, to, late, time)));
            }
        }
        Event::MachineFault(n, trigger, self.machine_fault())
    }

    /// A fault of a machine while two contents are put under one version, or at one place.
    fn fault_within_conflict(&mut self, at: f64, trigger: Trigger) -> Event {
        let (first, second) = (self.machine(), self.machine());
        let name = if self.rng.bool() { "a" } else { "b" }.to_owned();
        self.next += 3;
        let (number, content) = (self.next, self.next - 1);
        let place = "/same/".to_owned();
        let one = ClientCall::Put { name: "a".to_owned(), place: place.clone(), number, content };
        let two = ClientCall::Put { name, place, number, content: content + 1 };
        self.done.extend([one.clone(), two.clone()]);
        let apart = self.time(1.0, 1_000.0);
        self.events.push((at + 1.0, Event::Call(first, one)));
        self.events.push((at + apart, Event::Call(second, two)));
        Event::MachineFault(first, trigger, self.machine_fault())
    }

    fn network_conditions(&mut self) -> Event {
        Event::NetworkConditions {
            lost: [0, 20, 100, 300][self.rng.usize(..4)],
            doubled: [0, 20, 100][self.rng.usize(..3)],
            late: [0, 20, 100, 300][self.rng.usize(..4)],
            longest: self.time(100.0, 25_000.0),
            reset: [0, 0, 20, 100][self.rng.usize(..4)],
            time: self.time(500.0, 20_000.0),
        }
    }
}

fn set(set: u32) -> Vec<usize> {
    (0..32).filter(|n| set & (1 << n) != 0).collect()
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(store, op) => write!(f, "store {store} is called: {op:?}"),
            Self::MachineFault(n, trigger, machine_fault) => {
                let when = match trigger {
                    Trigger::Now => "at once",
                    Trigger::BeforeSave => "before its next save",
                    Trigger::WithinSave => "in the middle of its next save",
                    Trigger::AfterSave => "right after its next save, with nothing said",
                    Trigger::Writes => "when it next asks another to write items down",
                    Trigger::Written => "when it has next answered that items are written down",
                    Trigger::Answers => "when it has next answered a call",
                };
                match machine_fault {
                    MachineFault::CutOff(direction, time) => {
                        write!(f, "store {n} is cut off ({direction:?}) for {time} ms, {when}")
                    }
                    MachineFault::Crash(time) => write!(f, "store {n} loses power for {time} ms, {when}"),
                    MachineFault::Pause(time) => write!(f, "store {n} stands still for {time} ms, {when}"),
                    MachineFault::Wipe(time) => {
                        write!(f, "store {n} loses its disk and starts {time} ms later, {when}")
                    }
                }
            }
            Self::Cut(from, to, time) => write!(f, "nothing passes from {from} to {to} for {time} ms"),
            Self::Slow(from, to, late, time) => {
                write!(f, "for {time} ms all that is sent from {from} to {to} comes {late} ms later")
            }
            Self::Split(side, time) => {
                write!(f, "stores {:?} are cut off from all others for {time} ms", set(*side))
            }
            Self::Power(time) => write!(f, "all lose power for {time} ms"),
            Self::PowerAndDisks(lost, time) => {
                write!(f, "all lose power for {time} ms, and stores {:?} their disks", set(*lost))
            }
            Self::MachineJoins => write!(f, "a new empty machine comes"),
            Self::MachineVanishes(n) => write!(f, "store {n} is gone with its disk for good"),
            Self::MachineLeaves(n) => write!(f, "store {n} leaves by plan"),
            Self::Reset(n) => write!(f, "all questions of store {n} that are out are known to be lost"),
            Self::NetworkConditions { lost, doubled, late, longest, reset, time } => write!(
                f,
                "for {time} ms of 1,000 messages {lost} are lost, {doubled} doubled, {late} late by up to {longest} ms, \
                 {reset} reset"
            ),
        }
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let links = ["near", "regions of two, 55 ms apart", "up to 60 ms", "up to 200 ms"];
        let known = if self.all_known { "all founders are" } else { "a few founders are" };
        let patience = if self.impatient { "after a second counts as lost" } else { "is waited for" };
        writeln!(
            f,
            "seed {}, {} stores, links: {}; an answer {patience}; {known} known",
            self.seed,
            self.stores,
            links[usize::from(self.links & 3)]
        )?;
        for (at, event) in &self.events {
            writeln!(f, "  at {at:>6} ms: {event}")?;
        }
        for ((from, to, number), message_fault) in self.message_faults.iter().flatten() {
            writeln!(f, "  message {number} from {from} to {to}: {message_fault:?}")?;
        }
        write!(f, "  at {:>6} ms: the faults are over", self.end)
    }
}
