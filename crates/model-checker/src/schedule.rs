//! Schedules: timed calls and faults of a cluster, generated from a seed and printed line by line.

use crate::adapter::{address_of, ClientCall};
use fastrand::Rng;
use std::collections::BTreeMap;
use std::fmt;

/// The direction of a machine's links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDirection {
    /// Both directions.
    Both,
    /// Towards the machine.
    Inbound,
    /// From the machine.
    Outbound,
}

/// A fault of a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MachineFault {
    /// The machine is isolated for a duration.
    Isolate(LinkDirection, f64),
    /// The machine loses power for a duration.
    Crash(f64),
    /// The machine is paused for a duration.
    Pause(f64),
    /// The machine loses its disk and restarts after a duration.
    LoseDisk(f64),
}

/// The event that triggers a machine fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// No event; the fault occurs immediately.
    Now,
    /// The machine is about to save, and the save has not happened.
    BeforeSave,
    /// The machine is in the middle of a save: either the save has happened, or only its items are saved.
    WithinSave,
    /// The machine has saved, and no subsequent message is sent.
    AfterSave,
    /// The machine has sent a request to accept items.
    SendsAccept,
    /// The machine has sent the reply that items are accepted.
    SendsAccepted,
    /// The machine has answered a call.
    AnswersCall,
}

/// An event of a schedule. Machines are identified by index; times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A call to a store.
    Call(usize, ClientCall),
    /// A fault of a machine when the trigger occurs.
    MachineFault(usize, Trigger, MachineFault),
    /// All messages in one direction of a link are lost for a duration.
    BlockLink(usize, usize, f64),
    /// Messages in one direction of a link are delayed by the first time, for the duration of the second.
    DelayLink(usize, usize, f64, f64),
    /// The machines in a set are isolated from all others for a duration.
    Partition(u32, f64),
    /// All machines lose power for a duration, without losing disks.
    PowerLoss(f64),
    /// All machines lose power and some lose their disks; all restart after a duration.
    PowerAndDiskLoss(u32, f64),
    /// A new machine with an empty disk and an unknown address joins.
    MachineJoins,
    /// A machine fails permanently together with its disk.
    MachineFails(usize),
    /// A planned leave of a machine.
    MachineLeaves(usize),
    /// All outstanding requests of a machine are reported to it as lost.
    Reset(usize),
    /// Random message faults, with rates per thousand messages.
    NetworkConditions {
        /// Rate of lost messages.
        lost: u32,
        /// Rate of duplicated messages.
        duplicated: u32,
        /// Rate of delayed messages.
        delayed: u32,
        /// The maximum delay.
        max_delay: f64,
        /// Rate of messages reported to the requester as lost, although they may still arrive.
        reset: u32,
        /// The duration.
        duration: f64,
    },
}

/// A fault of one message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MessageFault {
    /// The message is lost.
    Lost,
    /// The message arrives twice, the second time after an additional delay.
    Duplicated(f64),
    /// The message is delayed.
    Delayed(f64),
    /// The message is delayed, and the requester is immediately told that no reply will arrive.
    Reset(f64),
}

/// Identifies a message by its sender, its receiver and its number on that link.
pub type MessageId = (usize, usize, u64);

/// A reproducible run of a cluster.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// The seed of all random choices.
    pub seed: u64,
    /// The number of machines that found the cluster.
    pub stores: usize,
    /// The link latencies: 0 for nearby machines, 1 for regions of two machines, 2 for up to 60 ms, 3 for up to 200 ms.
    pub links: u8,
    /// Set if a request that is not answered within a second counts as lost, as in the real program.
    pub has_request_timeout: bool,
    /// Set if all founders are seed machines instead of only some.
    pub all_are_seeds: bool,
    /// The events in order of time.
    pub events: Vec<(f64, Event)>,
    /// Faults of individual messages; `None` to draw them from the network conditions.
    pub message_faults: Option<BTreeMap<MessageId, MessageFault>>,
    /// The time at which all faults end.
    pub end: f64,
}

/// The time by which the cluster is founded and faults begin.
pub const FOUNDING_TIME_MS: f64 = 4_000.0;

impl Schedule {
    /// Generates the schedule of a seed.
    pub fn generate(seed: u64, stores: usize) -> Self {
        let mut rng = Rng::with_seed(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ stores as u64);
        let length = [4_000.0, 8_000.0, 14_000.0, 25_000.0][rng.usize(..4)];
        let mut schedule = Self {
            seed,
            stores,
            links: rng.u8(..4),
            has_request_timeout: rng.bool(),
            all_are_seeds: seed % 2 == 0,
            events: Vec::new(),
            message_faults: None,
            end: FOUNDING_TIME_MS + length + 1_000.0,
        };
        let mut generator = ScheduleGenerator {
            rng,
            stores,
            length,
            next_content: 1,
            previous_calls: Vec::new(),
            events: Vec::new(),
        };
        generator.generate_all();
        schedule.events = generator.events;
        schedule.events.sort_by(|a, b| a.0.total_cmp(&b.0));
        schedule
    }
}

struct ScheduleGenerator {
    rng: Rng,
    stores: usize,
    length: f64,
    next_content: u64,
    previous_calls: Vec<ClientCall>,
    events: Vec<(f64, Event)>,
}

impl ScheduleGenerator {
    fn random_time(&mut self) -> f64 {
        (FOUNDING_TIME_MS + self.rng.f64() * self.length).round()
    }

    fn random_duration(&mut self, min: f64, max: f64) -> f64 {
        (min * (max / min).powf(self.rng.f64())).round()
    }

    fn random_machine(&mut self) -> usize {
        // Occasionally picks a machine that joined later.
        let joined = usize::from(self.rng.u8(..8) == 0);
        self.rng.usize(..self.stores + joined)
    }

    fn random_call(&mut self) -> ClientCall {
        let rng = &mut self.rng;
        if !self.previous_calls.is_empty() && rng.u8(..5) == 0 {
            return self.previous_calls[rng.usize(..self.previous_calls.len())].clone();
        }
        let name = ["a", "b", "c"][rng.usize(..3)].to_owned();
        let path_prefix = if rng.u8(..4) == 0 { "/same/".to_owned() } else { format!("/{name}/") };
        self.next_content += 1;
        let version = match rng.u8(..4) {
            0 => rng.u64(1..self.next_content + 2),
            _ => self.next_content,
        };
        let call = match rng.u8(..20) {
            0..=8 => ClientCall::Put { name, path_prefix, version, content: self.next_content },
            9..=10 => ClientCall::Remove { name, version },
            11..=13 => ClientCall::Drain { zone: "z".to_owned(), drained: rng.bool() },
            14..=15 => ClientCall::AcquireRole {
                role: "d".to_owned(),
                holder: address_of(100 + (self.next_content % 100) as usize),
            },
            _ => return ClientCall::Read,
        };
        self.previous_calls.push(call.clone());
        call
    }

    fn random_direction(&mut self) -> LinkDirection {
        [LinkDirection::Both, LinkDirection::Both, LinkDirection::Inbound, LinkDirection::Outbound]
            [self.rng.usize(..4)]
    }

    fn random_machine_fault(&mut self) -> MachineFault {
        match self.rng.u8(..8) {
            0..=2 => MachineFault::Isolate(self.random_direction(), self.random_duration(300.0, 12_000.0)),
            3..=4 => MachineFault::Crash(self.random_duration(20.0, 12_000.0)),
            5 => MachineFault::Pause(self.random_duration(200.0, 20_000.0)),
            _ => MachineFault::LoseDisk(self.random_duration(10.0, 6_000.0)),
        }
    }

    fn random_subset(&mut self) -> u32 {
        self.rng.u32(1..(1 << self.stores) - 1)
    }

    fn generate_all(&mut self) {
        for _ in 0..self.rng.usize(2..16) {
            let (at, store, call) = (self.random_time(), self.random_machine(), self.random_call());
            self.events.push((at, Event::Call(store, call)));
        }
        for _ in 0..self.rng.usize(1..7) {
            self.add_fault();
        }
    }

    /// Adds a scenario in which a machine that accepted a write loses its disk and catches up while the remaining
    /// messages of the write are delayed. Then the machines that have the write are isolated and the others are read
    /// from.
    fn add_disk_loss_during_write(&mut self, at: f64) {
        let mut order: Vec<usize> = (0..self.stores).collect();
        self.rng.shuffle(&mut order);
        let (proposer, lost) = (order[0], order[1]);
        let (delay, long_delay) =
            (self.random_duration(150.0, 700.0), self.random_duration(3_000.0, 20_000.0));
        let acceptors = (self.stores / 2 + 1).saturating_sub(2);
        for (position, other) in order.iter().enumerate().skip(2) {
            let delay = if position < 2 + acceptors { delay } else { long_delay };
            self.events.push((at, Event::DelayLink(proposer, *other, delay, 1_500.0)));
        }
        let fault = MachineFault::LoseDisk(self.random_duration(1.0, 60.0));
        self.events.push((at, Event::MachineFault(lost, Trigger::SendsAccepted, fault)));
        let call = self.random_call();
        self.events.push((at + 5.0, Event::Call(proposer, call)));
        let isolated = order[2..2 + acceptors].iter().fold(1 << proposer, |set, n| set | 1 << n);
        let partition_at = at + delay + self.random_duration(20.0, 700.0);
        let duration = self.random_duration(1_500.0, 9_000.0);
        self.events.push((partition_at, Event::Partition(isolated, duration)));
        for _ in 0..2 {
            let reader = if self.rng.bool() { lost } else { order[self.stores - 1] };
            let read_at = partition_at + self.random_duration(50.0, 3_000.0);
            self.events.push((read_at, Event::Call(reader, ClientCall::Read)));
        }
    }

    fn add_fault(&mut self) {
        let at = self.random_time();
        let n = self.random_machine();
        let trigger = self.random_trigger();
        let event = match self.rng.u8(..24) {
            0..=7 => self.fault_with_call(at, n, trigger),
            8..=9 => Event::BlockLink(n, self.random_machine(), self.random_duration(200.0, 15_000.0)),
            10 => Event::DelayLink(
                n,
                self.random_machine(),
                self.random_duration(50.0, 20_000.0),
                self.random_duration(100.0, 8_000.0),
            ),
            11..=12 => Event::Partition(self.random_subset(), self.random_duration(300.0, 15_000.0)),
            13 => Event::PowerLoss(self.random_duration(10.0, 3_000.0)),
            14 => Event::PowerAndDiskLoss(self.random_subset(), self.random_duration(10.0, 3_000.0)),
            15 => Event::MachineJoins,
            16 => {
                let joins_at = at + self.random_duration(10.0, 8_000.0);
                self.events.push((joins_at, Event::MachineJoins));
                Event::MachineFails(n)
            }
            17 => {
                let joins_at = at + self.random_duration(10.0, 2_000.0) - 1_000.0;
                self.events.push((joins_at.max(FOUNDING_TIME_MS), Event::MachineJoins));
                Event::MachineLeaves(n)
            }
            18 => Event::Reset(n),
            19 => self.fault_with_conflict(at, trigger),
            20 => return self.add_disk_loss_during_write(at),
            _ => self.random_network_conditions(),
        };
        self.events.push((at, event));
    }

    fn random_trigger(&mut self) -> Trigger {
        match self.rng.u8(..8) {
            0..=1 => Trigger::Now,
            2 if self.rng.bool() => Trigger::WithinSave,
            2 => Trigger::BeforeSave,
            3 => Trigger::AfterSave,
            4..=5 => Trigger::SendsAccept,
            6 => Trigger::SendsAccepted,
            _ => Trigger::AnswersCall,
        }
    }

    /// Returns a fault of a machine, and adds a call that may coincide with it.
    fn fault_with_call(&mut self, at: f64, n: usize, trigger: Trigger) -> Event {
        let call = self.random_call();
        let other = self.random_machine();
        let called = if self.rng.bool() { n } else { other };
        self.events.push((at + 5.0, Event::Call(called, call)));
        if trigger == Trigger::SendsAccepted && self.rng.bool() {
            for _ in 0..self.rng.usize(1..4) {
                let (from, to) = (self.random_machine(), self.random_machine());
                let (delay, duration) =
                    (self.random_duration(100.0, 2_000.0), self.random_duration(200.0, 2_000.0));
                self.events.push((at, Event::DelayLink(from, to, delay, duration)));
            }
        }
        Event::MachineFault(n, trigger, self.random_machine_fault())
    }

    /// Returns a fault of a machine, and adds two calls that write different contents under one version or at one path
    /// prefix.
    fn fault_with_conflict(&mut self, at: f64, trigger: Trigger) -> Event {
        let (first, second) = (self.random_machine(), self.random_machine());
        let name = if self.rng.bool() { "a" } else { "b" }.to_owned();
        self.next_content += 3;
        let (version, content) = (self.next_content, self.next_content - 1);
        let path_prefix = "/same/".to_owned();
        let one =
            ClientCall::Put { name: "a".to_owned(), path_prefix: path_prefix.clone(), version, content };
        let two = ClientCall::Put { name, path_prefix, version, content: content + 1 };
        self.previous_calls.extend([one.clone(), two.clone()]);
        let interval = self.random_duration(1.0, 1_000.0);
        self.events.push((at + 1.0, Event::Call(first, one)));
        self.events.push((at + interval, Event::Call(second, two)));
        Event::MachineFault(first, trigger, self.random_machine_fault())
    }

    fn random_network_conditions(&mut self) -> Event {
        Event::NetworkConditions {
            lost: [0, 20, 100, 300][self.rng.usize(..4)],
            duplicated: [0, 20, 100][self.rng.usize(..3)],
            delayed: [0, 20, 100, 300][self.rng.usize(..4)],
            max_delay: self.random_duration(100.0, 25_000.0),
            reset: [0, 0, 20, 100][self.rng.usize(..4)],
            duration: self.random_duration(500.0, 20_000.0),
        }
    }
}

fn set_members(set: u32) -> Vec<usize> {
    (0..32).filter(|n| set & (1 << n) != 0).collect()
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(store, call) => write!(f, "store {store} is called: {call:?}"),
            Self::MachineFault(n, trigger, fault) => {
                let when = match trigger {
                    Trigger::Now => "immediately",
                    Trigger::BeforeSave => "before its next save",
                    Trigger::WithinSave => "in the middle of its next save",
                    Trigger::AfterSave => "right after its next save, before sending anything",
                    Trigger::SendsAccept => "when it next asks another store to accept items",
                    Trigger::SendsAccepted => "when it has next replied that items are accepted",
                    Trigger::AnswersCall => "when it has next answered a call",
                };
                match fault {
                    MachineFault::Isolate(direction, duration) => {
                        write!(f, "store {n} is isolated ({direction:?}) for {duration} ms, {when}")
                    }
                    MachineFault::Crash(duration) => write!(f, "store {n} loses power for {duration} ms, {when}"),
                    MachineFault::Pause(duration) => write!(f, "store {n} is paused for {duration} ms, {when}"),
                    MachineFault::LoseDisk(duration) => {
                        write!(f, "store {n} loses its disk and restarts {duration} ms later, {when}")
                    }
                }
            }
            Self::BlockLink(from, to, duration) => write!(f, "messages from {from} to {to} are lost for {duration} ms"),
            Self::DelayLink(from, to, delay, duration) => {
                write!(f, "for {duration} ms messages from {from} to {to} are delayed by {delay} ms")
            }
            Self::Partition(isolated, duration) => {
                write!(f, "stores {:?} are isolated from all others for {duration} ms", set_members(*isolated))
            }
            Self::PowerLoss(duration) => write!(f, "all stores lose power for {duration} ms"),
            Self::PowerAndDiskLoss(lost, duration) => {
                write!(f, "all stores lose power for {duration} ms, and stores {:?} lose their disks", set_members(*lost))
            }
            Self::MachineJoins => write!(f, "a new empty machine joins"),
            Self::MachineFails(n) => write!(f, "store {n} fails permanently with its disk"),
            Self::MachineLeaves(n) => write!(f, "store {n} begins a planned leave"),
            Self::Reset(n) => write!(f, "all outstanding requests of store {n} are reported as lost"),
            Self::NetworkConditions { lost, duplicated, delayed, max_delay, reset, duration } => write!(
                f,
                "for {duration} ms, of 1,000 messages {lost} are lost, {duplicated} duplicated, {delayed} delayed by up to {max_delay} ms, \
                 {reset} reset"
            ),
        }
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let links = ["nearby", "regions of two, 55 ms apart", "up to 60 ms", "up to 200 ms"];
        let seeds = if self.all_are_seeds { "all founders are seeds" } else { "some founders are seeds" };
        let timeout = if self.has_request_timeout { "times out after a second" } else { "never times out" };
        writeln!(
            f,
            "seed {}, {} stores, links: {}; a request {timeout}; {seeds}",
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
        write!(f, "  at {:>6} ms: all faults end", self.end)
    }
}
