//! A fleet in memory: clock, links, disks, and what befalls them. Nothing sleeps; a story plays the same at each run.

use crate::adapter::{self, machine, Op};
use crate::defects::Defect;
use crate::judge::{Break, Invariant, Judge};
use crate::story::{Blow, Event, Mishap, Story, Trigger, Way, Which, BEGIN};
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
const TICK: f64 = 50.0;
/// When the program gives an answer up.
const PATIENCE: f64 = 1_000.0;
/// A machine that lost its disk counts as lost until it has held all for this long.
const CAUGHT_UP: f64 = 3_000.0;
/// Within this time after the last fault all take part.
const BORNE: f64 = 30_000.0;
/// Within this time a call is then carried out.
const CARRIED_OUT: f64 = 8_000.0;
/// How long one that leaves waits for another to take its place.
const LEAVE: f64 = 2_500.0;
/// After this time one that left without that starts again.
const RETURNS: f64 = 4_000.0;
/// Times are kept to a thousandth in the queue.
const ROUNDED: f64 = 0.002;
/// Most machines in a play.
const MACHINES: usize = 12;
/// Disks that are remembered for a stale one.
const SNAPSHOTS: usize = 12;
/// Steps of one search for an order.
const SEARCH: usize = 20_000;

enum Due {
    Event(usize),
    Tick(usize, u64),
    Start(usize),
    Thaw(usize),
    Message(Message),
    /// A registry's epoch is read.
    Epoch(usize, u64, CommandId),
    /// A save that was owed happens.
    Save(usize, u64, Box<DurableState>),
}

struct Message {
    from: usize,
    to: usize,
    /// The asker's run of the program, and the number of its question.
    run: u64,
    number: u64,
    /// When the question went out.
    asked: f64,
    body: Body,
}

enum Body {
    PeerRequest(PeerRequest),
    /// The answer, and what group it is contact with.
    PeerReply(PeerReply, Option<u64>),
    /// It is known that no answer will come.
    Nothing,
}

struct Machine {
    store: Option<Store>,
    disk: DurableState,
    snapshots: VecDeque<DurableState>,
    run: u64,
    frozen: bool,
    waiting: Vec<Message>,
    /// Nothing passes before these times.
    cut_in: f64,
    cut_out: f64,
    armed: Vec<(Trigger, Blow)>,
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

/// How a play ended.
#[derive(Clone, Debug, Default)]
pub struct Played {
    /// The first invariant that did not hold.
    pub broken: Option<Break>,
    /// Steps of stores.
    pub steps: u64,
    /// What befell single messages.
    pub mishaps: BTreeMap<Which, Mishap>,
    /// Histories that the search could not decide.
    pub undecided: u64,
    /// RpcClient, and how many of them were confirmed.
    pub calls: (u64, u64),
    /// What happened, for a reader, if it was asked for.
    pub log: Vec<String>,
    /// What befell machines: power, disks, cuts.
    pub blows: u64,
}

/// Plays a story; a defect may be put in, and some invariants looked past.
pub fn play(story: &Story, defect: Option<Defect>, but: &BTreeSet<Invariant>, log: bool) -> Played {
    let mut world = World::new(story, defect, but, log);
    world.run();
    let calls = &world.judge.calls;
    let confirmed = calls.values().filter(|call| matches!(call.told, Some(Ok(())))).count() as u64;
    Played {
        calls: (calls.len() as u64, confirmed),
        broken: world.judge.broken,
        steps: world.steps,
        mishaps: world.mishaps,
        undecided: world.judge.undecided,
        log: world.log,
        blows: world.blows,
    }
}

/// A digest of all that the stores of a play send, save and answer, in the spelling of the wire and the disk.
pub fn digest(story: &Story) -> u64 {
    let mut world = World::new(story, None, &BTreeSet::new(), false);
    world.record = Some(FnvHasher::default());
    world.run();
    world.record.map_or(0, |record| record.finish())
}

struct World<'a> {
    story: &'a Story,
    /// What is digested of the outputs, where that was asked for.
    record: Option<FnvHasher>,
    defect: Option<Defect>,
    now: f64,
    machines: Vec<Machine>,
    queue: BTreeMap<(u64, u64), Due>,
    order: u64,
    links: HashMap<(usize, usize), Link>,
    weather: Vec<(f64, Event)>,
    mishaps: BTreeMap<Which, Mishap>,
    judge: Judge,
    next_call: CommandId,
    lives: u64,
    steps: u64,
    blows: u64,
    /// When answers were read, for contact by reading.
    read: HashMap<(usize, usize), f64>,
    log: Vec<String>,
    logs: bool,
}

fn drawn(seed: u64, which: Which, salt: u64) -> fastrand::Rng {
    let (from, to, number) = which;
    let mix = |hash: u64, part: u64| (hash ^ part).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
    let hash = [from as u64 + 1, to as u64 + 1, number, salt].into_iter().fold(seed, mix);
    fastrand::Rng::with_seed(hash)
}

impl<'a> World<'a> {
    fn new(story: &'a Story, defect: Option<Defect>, but: &BTreeSet<Invariant>, logs: bool) -> Self {
        let mut world = Self {
            story,
            record: None,
            defect,
            now: 0.0,
            machines: Vec::new(),
            queue: BTreeMap::new(),
            order: 0,
            links: HashMap::new(),
            weather: Vec::new(),
            mishaps: BTreeMap::new(),
            judge: Judge::but(but),
            next_call: 1,
            lives: 1,
            steps: 0,
            blows: 0,
            read: HashMap::new(),
            log: Vec::new(),
            logs,
        };
        for n in 0..story.stores {
            world.add();
            world.start(n, true);
        }
        for (n, (at, _)) in story.events.iter().enumerate().filter(|(_, (at, _))| *at < story.end) {
            world.at(*at, Due::Event(n));
        }
        world
    }

    fn tell(&mut self, what: impl FnOnce() -> String) {
        if self.logs {
            let line = format!("{:>9.1} {}", self.now, what());
            self.log.push(line);
        }
    }

    fn at(&mut self, at: f64, due: Due) {
        self.order += 1;
        self.queue.insert(((at.max(self.now) * 1000.0) as u64, self.order), due);
    }

    fn add(&mut self) {
        self.lives += 1;
        self.machines.push(Machine {
            store: None,
            disk: DurableState::new(self.lives),
            snapshots: VecDeque::new(),
            run: 0,
            frozen: false,
            waiting: Vec::new(),
            cut_in: 0.0,
            cut_out: 0.0,
            armed: Vec::new(),
            out: BTreeMap::new(),
            lost: false,
            caught_up: None,
            gone: false,
            starts_at: 0.0,
            seeds: Vec::new(),
            leaves: None,
        });
    }

    // Machines.

    /// Whom a machine asks first: as set at the first start; who comes later is told who is there then.
    fn seeds(&mut self, n: usize) -> Vec<Ipv4Addr> {
        if n < self.story.stores {
            return adapter::seeds(self.story.stores, self.story.all_known);
        }
        if self.machines[n].seeds.is_empty() {
            let there = (0..n).filter(|n| !self.machines[*n].gone && !self.machines[*n].lost);
            self.machines[n].seeds = there.map(adapter::ip).collect();
        }
        self.machines[n].seeds.clone()
    }

    fn start(&mut self, n: usize, first: bool) {
        let seeds = self.seeds(n);
        let machine = &mut self.machines[n];
        if machine.store.is_some() || machine.gone || self.now + ROUNDED < machine.starts_at {
            return;
        }
        if self.defect == Some(Defect::StaleSnapshot) {
            if let Some(old) = machine.snapshots.front() {
                if adapter::incarnation(old) == adapter::incarnation(&machine.disk) {
                    machine.disk = old.clone();
                }
            }
        }
        machine.run += 1;
        // Which rounds are marked may be read back or not.
        let marks = machine.run % 2 == 0;
        let kept = adapter::loaded(machine.disk.clone(), marks, self.defect);
        let seed = drawn(self.story.seed, (n, 0, machine.run), 1).u64(..);
        machine.store = Some(adapter::start(n, seeds, first, kept, seed));
        let run = machine.run;
        self.judge.started(n);
        self.read.retain(|(asker, _), _| *asker != n);
        let phase = TICK * drawn(self.story.seed, (n, 0, run), 2).f64();
        self.at(self.now + phase, Due::Tick(n, run));
        self.tell(|| format!("store {n} starts"));
        self.look(n);
    }

    fn stop(&mut self, n: usize) {
        let machine = &mut self.machines[n];
        if machine.store.take().is_none() {
            return;
        }
        machine.frozen = false;
        machine.waiting.clear();
        machine.out.clear();
        machine.leaves = None;
        self.judge.dropped(n);
        self.tell(|| format!("store {n} stops"));
    }

    fn stop_for(&mut self, n: usize, time: f64) {
        self.stop(n);
        self.machines[n].starts_at = self.now + time;
        self.at(self.now + time, Due::Start(n));
    }

    /// Whether the group bears the loss of these disks now, whatever it may be just now.
    fn bears(&self, lost: &[usize]) -> bool {
        // A change of the group has ended when more than half of the new one have it on disk. Until then the one before
        // it counts too, and each that is written down anywhere.
        let mut groups = Vec::new();
        let mut highest = 0;
        for machine in &self.machines {
            let now = machine.store.as_ref().map(Store::state);
            for kept in now.into_iter().chain([&machine.disk]) {
                groups.extend(adapter::group(&kept.items));
                groups.extend(adapter::pending_group(kept));
            }
        }
        for group in &groups {
            let members = adapter::named(group);
            let on_disk = |member: &&Ipv4Addr| {
                let disk = self.machines.get(machine(**member)).filter(|m| !m.gone).map(|m| &m.disk);
                disk.and_then(|disk| adapter::group(&disk.items))
                    .is_some_and(|held| held.version >= group.version)
            };
            if 2 * members.iter().filter(on_disk).count() > members.len() {
                highest = highest.max(group.version);
            }
        }
        groups.iter().filter(|group| group.version >= highest).all(|group| {
            let members = adapter::named(group);
            let is_lost = |member: &&Ipv4Addr| {
                let n = machine(**member);
                lost.contains(&n) || self.machines.get(n).is_none_or(|m| m.lost || m.gone)
            };
            members.iter().filter(is_lost).count() <= (members.len() - 1) / 2
        })
    }

    fn lose(&mut self, n: usize) -> bool {
        if self.machines[n].gone || !self.bears(&[n]) {
            return false;
        }
        self.stop(n);
        self.lives += 1;
        let life = self.lives;
        let defect = self.defect;
        let machine = &mut self.machines[n];
        machine.disk = adapter::lost(&machine.disk, life, defect);
        machine.snapshots.clear();
        machine.lost = true;
        machine.caught_up = None;
        self.blows += 1;
        self.tell(|| format!("store {n} loses its disk"));
        true
    }

    fn blow(&mut self, n: usize, blow: Blow) {
        if self.machines[n].gone {
            return;
        }
        self.tell(|| format!("store {n}: {blow:?}"));
        match blow {
            Blow::CutOff(way, time) => {
                let until = self.now + time;
                let machine = &mut self.machines[n];
                if way != Way::Out {
                    machine.cut_in = machine.cut_in.max(until);
                }
                if way != Way::In {
                    machine.cut_out = machine.cut_out.max(until);
                }
                self.blows += 1;
            }
            Blow::Crash(time) => {
                self.stop_for(n, time);
                self.blows += 1;
            }
            Blow::Freeze(time) => {
                if self.machines[n].store.is_some() && !self.machines[n].frozen {
                    self.machines[n].frozen = true;
                    self.at(self.now + time, Due::Thaw(n));
                    self.blows += 1;
                }
            }
            Blow::Wipe(time) => {
                if self.lose(n) {
                    self.stop_for(n, time);
                }
            }
        }
    }

    /// Ends one that leaves when it is relieved or has waited long enough. One that is relieved is gone with its disk, and
    /// so is one whose loss the group bears; another is kept.
    fn left(&mut self, n: usize) {
        let machine = &self.machines[n];
        let (Some(store), Some(until)) = (&machine.store, machine.leaves) else { return };
        if !adapter::is_relieved(store) && self.now < until {
            return;
        }
        let relieved = adapter::is_relieved(store);
        self.machines[n].leaves = None;
        if relieved {
            self.stop(n);
            self.machines[n].gone = true;
        } else if self.lose(n) {
            self.machines[n].gone = true;
        } else {
            // Its disk may still be needed: who replaces it starts it again.
            self.stop_for(n, RETURNS);
        }
        self.blows += 1;
    }

    fn strikes(&mut self, n: usize, trigger: Trigger) -> bool {
        let Some(place) = self.machines[n].armed.iter().position(|(armed, _)| *armed == trigger) else {
            return false;
        };
        let (_, blow) = self.machines[n].armed.remove(place);
        self.blow(n, blow);
        self.machines[n].store.is_none()
    }

    // Steps.

    /// Adds an output of a store to the digest.
    fn recorded(&mut self, n: usize, output: &Effect) {
        let Some(record) = &mut self.record else { return };
        let text = match output {
            Effect::Save => {
                let kept = self.machines[n].store.as_ref().map(Store::state);
                let kept =
                    kept.map(|k| (k.incarnation, k.promised, k.chosen, &k.accepted, k.items.last_change()));
                serde_json::to_string(&kept).unwrap_or_default()
            }
            Effect::Send { to, request: ask, .. } => {
                format!("{to} {}", serde_json::to_string(ask).unwrap_or_default())
            }
            Effect::Complete { command: call, result } => format!("{call} {}", adapter::spelled(result)),
        };
        record.write(format!("{n} {:.3} {text}\n", self.now).as_bytes());
    }

    /// Carries out what a store wants; tells whether it still runs.
    fn carry_out(&mut self, n: usize) -> bool {
        self.steps += 1;
        let Some(store) = &mut self.machines[n].store else { return false };
        let outputs = store.take_effects();
        for output in outputs {
            self.recorded(n, &output);
            match output {
                Effect::Save => {
                    let (now, store) = (self.now, self.machines[n].store.as_ref());
                    if let Some((ballot, items)) =
                        store.and_then(|store| adapter::own_proposal(n, store.state()))
                    {
                        self.judge.proposes(now, n, ballot, items);
                    }
                    if self.strikes(n, Trigger::BeforeSave) {
                        return false;
                    }
                    let torn = self.torn(n);
                    if self.strikes(n, Trigger::WithinSave) {
                        self.tear(n, torn);
                        return false;
                    }
                    self.save(n);
                    if self.strikes(n, Trigger::AfterSave) {
                        return false;
                    }
                }
                Effect::Send { to, number, request: ask } => {
                    let writes = self.before_send(n, &ask);
                    let machine_to = machine(to);
                    let run = self.machines[n].run;
                    self.machines[n].out.insert(number, machine_to);
                    let body = Body::PeerRequest(ask);
                    self.send(Message { from: n, to: machine_to, run, number, asked: self.now, body });
                    if writes && self.strikes(n, Trigger::Writes) {
                        return false;
                    }
                }
                Effect::Complete { command: call, result } => {
                    self.answer(n, call, &result);
                    if self.strikes(n, Trigger::Answers) {
                        return false;
                    }
                }
            }
        }
        self.look(n);
        true
    }

    fn save(&mut self, n: usize) {
        let Some(store) = &self.machines[n].store else { return };
        let kept = store.state().clone();
        if self.defect == Some(Defect::AnswerBeforeSave) {
            let run = self.machines[n].run;
            return self.at(self.now + 300.0, Due::Save(n, run, Box::new(kept)));
        }
        self.put(n, kept);
    }

    /// What a save leaves that is cut short: the new disk, or the old one with the new items, which is more than the
    /// program's disk allows.
    fn torn(&self, n: usize) -> Option<DurableState> {
        let machine = &self.machines[n];
        machine.armed.iter().any(|(trigger, _)| *trigger == Trigger::WithinSave).then_some(())?;
        let now = machine.store.as_ref()?.state();
        let torn = drawn(self.story.seed, (n, 2, machine.run), 7).bool();
        Some(if torn { adapter::torn(&machine.disk, now) } else { now.clone() })
    }

    fn tear(&mut self, n: usize, torn: Option<DurableState>) {
        let Some(torn) = torn else { return };
        if adapter::incarnation(&torn) == adapter::incarnation(&self.machines[n].disk) {
            self.machines[n].disk = torn;
        }
    }

    fn put(&mut self, n: usize, kept: DurableState) {
        let machine = &mut self.machines[n];
        if self.defect == Some(Defect::StaleSnapshot) {
            machine.snapshots.push_back(machine.disk.clone());
            if machine.snapshots.len() > SNAPSHOTS {
                machine.snapshots.pop_front();
            }
        }
        machine.disk = kept;
    }

    fn before_send(&mut self, n: usize, ask: &PeerRequest) -> bool {
        let now = self.now;
        self.judge.stands(now, &format_of(n), adapter::standing_in_ask(ask));
        if let (Some(ballot), Some(store)) = (adapter::settled(ask), &self.machines[n].store) {
            self.judge.settles(ballot, &store.state().items);
        }
        let Some((ballot, items)) = adapter::proposal(ask) else { return false };
        self.judge.proposes(now, n, ballot, items);
        true
    }

    fn answer(&mut self, n: usize, id: CommandId, result: &adapter::Result) {
        // Of a fault only its kind: which of several items its text names is left to chance.
        let brief = result.as_ref().map_err(|fault| fault.kind);
        self.tell(|| format!("store {n} answers call {id}: {brief:?}"));
        let Some(store) = &self.machines[n].store else { return };
        let now = self.now;
        let mut told = result.as_ref().map(drop).map_err(Clone::clone);
        let called = self.judge.calls.get(&id).map(|call| call.op.clone());
        if let (Some(Defect::ResendRefused), true, Some(op)) = (self.defect, told.is_ok(), &called) {
            let taken = |call: &&crate::judge::Called| call.op == *op && matches!(call.told, Some(Ok(())));
            let numbered = matches!(op, Op::Put { .. } | Op::Remove { .. });
            if numbered && self.judge.calls.values().any(|call| taken(&call)) {
                told = Err(RpcError::new(ErrorKind::Conflict, "it is older than what stands"));
            }
        }
        let read = result.as_ref().ok().and_then(adapter::read);
        self.judge.answered(now, id, &told, read, &store.state().items);
        if let (Ok(done), Some(Op::Duty { .. })) = (result, &called) {
            match adapter::epoch(done).filter(|_| self.defect != Some(Defect::EpochReadLate)) {
                Some(epoch) => self.judge.told_epoch(now, id, epoch),
                None => {
                    let run = self.machines[n].run;
                    let later = 2.0 * drawn(self.story.seed, (n, 0, id), 3).f64();
                    self.at(now + later, Due::Epoch(n, run, id));
                }
            }
        }
    }

    /// After each step.
    fn look(&mut self, n: usize) {
        let now = self.now;
        let Some(store) = &self.machines[n].store else { return };
        self.judge.stepped(now, n, store);
        if self.machines[n].lost {
            let is_member = store.status() == MembershipStatus::Member;
            let whole = is_member && self.judge.holds_all(&store.state().items);
            let machine = &mut self.machines[n];
            match (whole, machine.caught_up) {
                (true, None) => machine.caught_up = Some(now),
                (true, Some(since)) if now > since + CAUGHT_UP => machine.lost = false,
                (true, Some(_)) => {}
                // A new call may have been acknowledged that is still on its way to it.
                (false, _) if !is_member => machine.caught_up = None,
                (false, _) => {}
            }
        }
    }

    fn tick(&mut self, n: usize) {
        let now = self.now;
        let Some(store) = &mut self.machines[n].store else { return };
        store.tick(Timestamp::from_millis(now));
        if !self.carry_out(n) {
            return;
        }
        let Some(store) = &self.machines[n].store else { return };
        let members: Vec<usize> = store.members().into_iter().map(machine).collect();
        let mut age = adapter::contact(store, now);
        if self.defect == Some(Defect::ContactByReading) && self.is_member(n) {
            let heard = |m: &usize| {
                if *m == n {
                    0.0
                } else {
                    self.read.get(&(n, *m)).map_or(f64::INFINITY, |at| now - at)
                }
            };
            let mut ages: Vec<f64> = members.iter().map(heard).collect();
            ages.sort_unstable_by(f64::total_cmp);
            age = ages.get(members.len() / 2).copied().filter(|age| *age < 2_500.0);
        }
        self.judge.in_touch(now, n, &members, age);
        self.left(n);
    }

    // Messages.

    fn delay(&self, which: Which) -> f64 {
        let mut rng = drawn(self.story.seed, which, 4);
        let (from, to, _) = which;
        match self.story.links {
            0 => 0.5 + 2.0 * rng.f64(),
            1 if from / 2 == to / 2 => 0.9 + 0.2 * rng.f64(),
            1 => 55.0 + 2.0 * rng.f64(),
            2 => 1.0 + 59.0 * rng.f64(),
            _ => 1.0 + 199.0 * rng.f64(),
        }
    }

    fn mishap(&mut self, which: Which) -> Option<Mishap> {
        if let Some(known) = &self.story.mishaps {
            return known.get(&which).copied();
        }
        let now = self.now;
        self.weather.retain(|(until, _)| now < *until);
        let mut rng = drawn(self.story.seed, which, 5);
        for (_, weather) in &self.weather {
            let Event::Weather { lost, doubled, late, longest, reset, .. } = weather else { continue };
            let later = (longest * rng.f64() * rng.f64()).round();
            let draw = rng.u32(..1_000);
            let bounds = [*lost, lost + doubled, lost + doubled + late, lost + doubled + late + reset];
            let mishap = match bounds.iter().position(|bound| draw < *bound) {
                Some(0) => Mishap::Lost,
                Some(1) => Mishap::Doubled(later),
                Some(2) => Mishap::Late(later),
                Some(3) => Mishap::Reset(later),
                _ => continue,
            };
            return Some(mishap);
        }
        None
    }

    fn send(&mut self, message: Message) {
        let (from, to) = (message.from, message.to);
        let link = self.links.entry((from, to)).or_default();
        link.sent += 1;
        let which = (from, to, link.sent);
        let slower = if self.now < link.slow { link.slower } else { 0.0 };
        let mut at = self.now + self.delay(which) + slower;
        let mishap = self.mishap(which);
        if let Some(mishap) = mishap {
            self.mishaps.insert(which, mishap);
        }
        let is_ask = matches!(message.body, Body::PeerRequest(_));
        if is_ask && self.story.impatient {
            self.nothing(self.now + PATIENCE, &message);
        }
        match mishap {
            Some(Mishap::Lost) => return,
            Some(Mishap::Doubled(later)) => {
                if let Some(twin) = message.twin() {
                    self.at(at + later, Due::Message(twin));
                }
            }
            Some(Mishap::Late(later)) => at += later,
            Some(Mishap::Reset(later)) => {
                if is_ask {
                    self.nothing(at, &message);
                    at += later;
                } else {
                    // The answer is lost, and that is known to who asked.
                    let Message { from, to, run, number, asked, .. } = message;
                    let nothing = Message { from, to, run, number, asked, body: Body::Nothing };
                    return self.at(at, Due::Message(nothing));
                }
            }
            None => {}
        }
        self.at(at, Due::Message(message));
    }

    fn nothing(&mut self, at: f64, of: &Message) {
        let Message { from, to, run, number, asked, .. } = *of;
        self.at(at, Due::Message(Message { from: to, to: from, run, number, asked, body: Body::Nothing }));
    }

    fn passes(&self, from: usize, to: usize) -> bool {
        let cut = self.links.get(&(from, to)).is_some_and(|link| self.now < link.cut);
        !cut && self.now >= self.machines[from].cut_out && self.now >= self.machines[to].cut_in
    }

    fn deliver(&mut self, message: Message) {
        let (from, to) = (message.from, message.to);
        let passes = matches!(message.body, Body::Nothing) || self.passes(from, to);
        let Some(target) = self.machines.get_mut(to) else { return };
        if !passes || target.store.is_none() {
            return;
        }
        if target.frozen {
            target.waiting.push(message);
            return;
        }
        self.hand(message);
    }

    fn hand(&mut self, message: Message) {
        if self.logs && self.now > BEGIN {
            let what = match &message.body {
                Body::PeerRequest(ask) => format!("{ask:?}"),
                Body::PeerReply(reply, _) => format!("{reply:?}"),
                Body::Nothing => "no answer".to_owned(),
            };
            let (from, to, number, asked) =
                (message.from, message.to, message.number % 10_000, message.asked);
            self.tell(|| format!("  {from} to {to}, {number} asked at {asked:.0}: {what}"));
        }
        let now = self.now;
        let Message { from, to, run, number, asked, body } = message;
        let target = &mut self.machines[to];
        let Some(store) = &mut target.store else { return };
        match body {
            Body::PeerRequest(ask) => {
                let ask = adapter::tampered_ask(ask, self.defect);
                let reply = store.handle_request(Timestamp::from_millis(now), adapter::ip(from), ask);
                let contact = adapter::contact_of(store, &reply);
                if let Some(record) = &mut self.record {
                    record.write(serde_json::to_string(&reply).unwrap_or_default().as_bytes());
                }
                if !self.carry_out(to) {
                    return;
                }
                self.judge.stands(now, &format_of(to), adapter::standing_in_reply(&reply));
                let written = adapter::is_written(&reply);
                let body = Body::PeerReply(reply, contact);
                self.send(Message { from: to, to: from, run, number, asked, body });
                if written {
                    self.strikes(to, Trigger::Written);
                }
            }
            // The connection of one that has started again is gone.
            Body::PeerReply(..) | Body::Nothing if target.run != run => {}
            Body::PeerReply(reply, contact) => {
                let first = target.out.remove(&number).is_some();
                if first && adapter::is_contact(store, contact) {
                    self.judge.contact(to, from, asked);
                    self.read.insert((to, from), now);
                }
                let reply = adapter::tampered_reply(store, reply, self.defect);
                store.handle_response(Timestamp::from_millis(now), number, Some(reply));
                self.carry_out(to);
            }
            Body::Nothing => {
                target.out.remove(&number);
                store.handle_response(Timestamp::from_millis(now), number, None);
                self.carry_out(to);
            }
        }
    }

    // What happens.

    fn event(&mut self, event: &Event) {
        let now = self.now;
        let here = |n: &usize| *n < self.machines.len();
        match event {
            Event::Call(store, op) if here(store) => {
                self.call(*store, op);
            }
            Event::Blow(n, Trigger::Now, blow) if here(n) => self.blow(*n, *blow),
            Event::Blow(n, trigger, blow) if here(n) => self.machines[*n].armed.push((*trigger, *blow)),
            Event::Cut(from, to, time) if from != to => {
                let link = self.links.entry((*from, *to)).or_default();
                link.cut = link.cut.max(now + time);
                self.blows += 1;
            }
            Event::Slow(from, to, later, time) if from != to => {
                let link = self.links.entry((*from, *to)).or_default();
                link.slow = now + time;
                link.slower = *later;
            }
            Event::Split(side, time) => {
                let inside = |n: usize| side & (1 << n) != 0;
                for a in 0..self.machines.len() {
                    for b in 0..self.machines.len() {
                        if inside(a) != inside(b) {
                            let link = self.links.entry((a, b)).or_default();
                            link.cut = link.cut.max(now + time);
                        }
                    }
                }
                self.blows += 1;
            }
            Event::Power(time) => self.power(0, *time),
            Event::PowerAndDisks(lost, time) => self.power(*lost, *time),
            Event::Comes if self.machines.len() < MACHINES => {
                self.add();
                let n = self.machines.len() - 1;
                self.machines[n].lost = true;
                self.start(n, false);
            }
            Event::Vanishes(n) if here(n) => {
                let gone = self.lose(*n);
                self.machines[*n].gone |= gone;
            }
            Event::Leaves(n) if here(n) => {
                let Some(store) = &mut self.machines[*n].store else { return };
                let waits = adapter::leave(store, now);
                if self.carry_out(*n) {
                    self.machines[*n].leaves = Some(now + if waits { LEAVE } else { 0.0 });
                    self.left(*n);
                }
            }
            Event::Reset(n) if here(n) => {
                let out = self.machines[*n].out.clone();
                let run = self.machines[*n].run;
                for (number, from) in out {
                    let body = Body::Nothing;
                    self.at(now, Due::Message(Message { from, to: *n, run, number, asked: now, body }));
                }
            }
            Event::Weather { time, .. } => self.weather.push((now + time, event.clone())),
            _ => {}
        }
    }

    fn power(&mut self, lost: u32, time: f64) {
        for n in 0..self.machines.len() {
            self.stop_for(n, time + n as f64);
        }
        for n in 0..self.machines.len() {
            if lost & (1 << n) != 0 {
                self.lose(n);
            }
        }
        self.blows += 1;
    }

    fn call(&mut self, n: usize, op: &Op) -> Option<CommandId> {
        let now = self.now;
        let machine = &mut self.machines[n];
        // Who calls one that stands still or is down is told nothing, and nothing is begun.
        let store = machine.store.as_mut().filter(|_| !machine.frozen)?;
        let id = self.next_call;
        self.next_call += 1;
        self.judge.called(now, id, n, op.clone());
        store.submit(Timestamp::from_millis(now), id, op.change());
        self.tell(|| format!("store {n} takes call {id}: {op:?}"));
        self.carry_out(n);
        Some(id)
    }

    fn thaw(&mut self, n: usize) {
        if !std::mem::take(&mut self.machines[n].frozen) {
            return;
        }
        let waiting = std::mem::take(&mut self.machines[n].waiting);
        let run = self.machines[n].run;
        // The clock may be looked at before what has come is read, or after.
        if drawn(self.story.seed, (n, 1, run), 6).bool() {
            self.tick(n);
        }
        for message in waiting {
            self.hand(message);
        }
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Event(number) => {
                let story = self.story;
                let event = &story.events[number].1;
                self.tell(|| format!("* {event}"));
                self.event(event);
            }
            Due::Tick(n, run) => {
                if self.machines[n].run == run && self.machines[n].store.is_some() {
                    if !self.machines[n].frozen {
                        self.tick(n);
                    }
                    self.at(self.now + TICK, Due::Tick(n, run));
                }
            }
            Due::Start(n) => self.start(n, false),
            Due::Thaw(n) => self.thaw(n),
            Due::Message(message) => self.deliver(message),
            Due::Epoch(n, run, id) => {
                let machine = &self.machines[n];
                let (Some(store), true) = (&machine.store, machine.run == run) else { return };
                let Some(key) = self.judge.calls.get(&id).and_then(|call| call.op.key()) else { return };
                let epoch = store.state().items.version(key.table, &key.name);
                self.judge.told_epoch(self.now, id, epoch);
            }
            Due::Save(n, run, kept) => {
                // What was owed when the power went never happened.
                if self.machines[n].run == run && self.machines[n].store.is_some() {
                    self.put(n, *kept);
                }
            }
        }
    }

    fn pass(&mut self, until: f64) {
        while self.judge.broken.is_none() {
            match self.queue.first_key_value() {
                Some(((at, _), _)) if *at as f64 / 1000.0 <= until => {}
                _ => break,
            }
            let Some(((at, _), due)) = self.queue.pop_first() else { break };
            self.now = self.now.max(at as f64 / 1000.0);
            self.due(due);
        }
        self.now = self.now.max(until);
    }

    fn run(&mut self) {
        self.pass(self.story.end.max(BEGIN));
        self.heal();
        if let Some(missing) = self.settle() {
            let now = self.now;
            self.tell_all();
            self.judge.not_borne(now, missing);
        }
        self.read_everywhere();
        let now = self.now;
        if self.judge.broken.is_none() {
            self.judge.ended(now, SEARCH);
        }
    }

    /// Waits until the group is whole; tells why it is not, in the end.
    fn settle(&mut self) -> Option<String> {
        let until = self.now + BORNE;
        while self.judge.broken.is_none() && self.missing().is_some() && self.now < until {
            self.pass(self.now + 250.0);
        }
        self.missing()
    }

    /// Tells how each store stands.
    fn tell_all(&mut self) {
        for n in 0..self.machines.len() {
            let machine = &self.machines[n];
            let place = if machine.gone { "gone" } else { "there" };
            let line = match &machine.store {
                Some(store) => format!("store {n}: {}", adapter::brief(store)),
                None => format!("store {n} is {place}; it does not run"),
            };
            self.tell(|| line);
        }
    }

    fn is_member(&self, n: usize) -> bool {
        self.machines[n].store.as_ref().is_some_and(|store| store.status() == MembershipStatus::Member)
    }

    /// The faults are over: all that is left runs, and everything passes.
    fn heal(&mut self) {
        self.weather.clear();
        self.links.values_mut().for_each(|link| (link.cut, link.slow) = (0.0, 0.0));
        for n in 0..self.machines.len() {
            let machine = &mut self.machines[n];
            (machine.cut_in, machine.cut_out, machine.starts_at) = (0.0, 0.0, 0.0);
            machine.armed.clear();
            self.thaw(n);
            self.start(n, false);
        }
    }

    /// Why the group is not whole: each machine that is not gone is a member, or waits while all places are taken by such.
    fn missing(&self) -> Option<String> {
        let stores = || self.machines.iter().enumerate().filter_map(|(n, m)| Some((n, m.store.as_ref()?)));
        let group =
            stores().filter_map(|(_, s)| adapter::group(&s.state().items)).max_by_key(|g| g.version)?;
        let members: Vec<usize> = adapter::named(group).into_iter().map(machine).collect();
        let is_member = |n: usize| members.contains(&n);
        for (n, store) in stores() {
            let held = adapter::group(&store.state().items).map_or(0, |group| group.version);
            if is_member(n) && (store.status() != MembershipStatus::Member || held < group.version) {
                return Some(format!(
                    "store {n} is {:?}, with group {held} of {}",
                    store.status(),
                    group.version
                ));
            }
            if is_member(n) && !self.judge.holds_all(&store.state().items) {
                return Some(format!("store {n} lacks {:?}", self.judge.lacks(&store.state().items)));
            }
        }
        let waiting = stores().filter(|(n, store)| !is_member(*n) && adapter::waits(store)).count();
        let gone = members.iter().filter(|m| self.machines[**m].store.is_none()).count();
        let free = self.story.stores.saturating_sub(members.len());
        if waiting > 0 && gone + free > 0 {
            return Some(format!("{waiting} wait while of the group {members:?} {gone} are gone"));
        }
        None
    }

    /// Each member reads all.
    fn read_everywhere(&mut self) {
        if self.judge.broken.is_some() {
            return;
        }
        let members: Vec<usize> = (0..self.machines.len()).filter(|n| self.is_member(*n)).collect();
        for n in members {
            let until = self.now + CARRIED_OUT;
            let mut told = None;
            // Who is not answered asks again, as operators do.
            while self.judge.broken.is_none() && told != Some(Ok(())) && self.now < until {
                let Some(id) = self.call(n, &Op::Read) else { break };
                let open = |world: &Self| world.judge.calls.get(&id).is_some_and(|call| call.told.is_none());
                while self.judge.broken.is_none() && open(self) && self.now < until {
                    self.pass(self.now + 50.0);
                }
                told = self.judge.calls.get(&id).and_then(|call| call.told);
                if told != Some(Ok(())) {
                    self.pass(self.now + 200.0);
                }
            }
            // One that was silent may have lost its place to another meanwhile, which takes part in its stead.
            let placed = self.is_member(n) || self.settle().is_some();
            if self.judge.broken.is_none() && told != Some(Ok(())) && placed {
                let now = self.now;
                self.judge.not_borne(now, format!("store {n} is asked for reads after all faults: {told:?}"));
            }
        }
    }
}

impl Message {
    fn twin(&self) -> Option<Self> {
        let body = match &self.body {
            Body::PeerRequest(ask) => Body::PeerRequest(ask.clone()),
            Body::PeerReply(reply, contact) => Body::PeerReply(reply.clone(), *contact),
            Body::Nothing => return None,
        };
        Some(Self { body, ..*self })
    }
}

fn format_of(n: usize) -> String {
    format!("what store {n} says")
}
