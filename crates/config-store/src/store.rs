//! One store's part in the group, as a state machine. Time is passed in; what it wants done comes out.
//!
//! The group holds one replicated register, whose value is the whole map of items. A call is carried out in a round under
//! a ballot: more than half of the group promise to take part in no lower one and tell what they know to be chosen and what
//! they have accepted beyond that; the call is judged against all that; its items are accepted by more than half; then they
//! are chosen, and the call is acknowledged. Two rounds share a store, so the later one sees what the earlier may have
//! achieved, and builds on it. The group is an item too: a round that changes it needs more than half of both groups.

use crate::gathering::{Gathered, Gathering, Wanted, PART};
use crate::group::{Group, GROUP_MOST};
use crate::messages::{Accepted, Answer, Ask, Ballot, Candidate, Change, Kept, Outcome, Reply};
use ivygate_control_state::{amend, Item, Items, Key, Table};
use ivygate_rpc::{Fault, Kind};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// A point on the caller's steady clock, or a length of time, in milliseconds.
type Millis = f64;
/// Names a call to its caller.
pub type CallId = u64;

/// A step of a round that has not come to an end by then has failed: several ways there and back.
const STEP: Millis = 900.0;
/// A call that has waited this long is answered: operators go elsewhere after a second.
const CALL: Millis = 2_600.0;
/// A call is refused after the first of these times if more than half of the group has answered nothing that was asked
/// since it came; where they have lately taken longer to answer, as on slow disks, after twice that, up to the second.
const REFUSE: (Millis, Millis) = (300.0, 900.0);
/// Least time between two questions that only ask who answers.
const PROBE: Millis = 100.0;
/// Pause before another round after one was outbid, drawn between these and doubled with each that was outbid since: two
/// ways there and back over the farthest regions have to fit between the rounds of two stores.
const PAUSE: (Millis, Millis) = (40.0, 300.0);
/// Most times that it is doubled.
const DOUBLED: u32 = 3;
/// Items that were accepted and not heard to be chosen are carried on by whoever has them, after a time drawn between
/// these: all that have them begin to wait at once.
const ORPHANED: (Millis, Millis) = (350.0, 1_800.0);
/// Period in which each other store is asked for the highest round that it knows to be chosen, which also tells who is in
/// contact.
const PING: Millis = 1_000.0;
/// Period of questions by one that lacks its group or its items.
const QUESTION: Millis = 150.0;
/// The group is founded when no new machine has come forward for this long.
const FOUNDING: Millis = 1_200.0;
/// Contact that is older than this is none.
const CONTACT: Millis = 2_500.0;
/// A machine of the group that has answered nothing for this long is gone, if another waits for its place.
const GONE: Millis = 3_000.0;
/// One that waits for a place says so again and again; after this time without it has given up.
const CANDIDATE: Millis = 1_500.0;
/// Pause between two changes of the group that one store begins.
const REGROUP: Millis = 600.0;
/// A round that gives a machine a place waits this long for it to hold all before it does without.
const NEWCOMER: Millis = 400.0;
/// A tick that comes this late tells that the process stood still: whom it did not hear is not gone for that.
const STILL: Millis = 600.0;
/// An order that comes so soon after that may have waited there all the while, given up by its caller.
const THAWED: Millis = 150.0;
/// What was learnt is saved within this time also where nothing rests on it, so that a restart does not begin from afar.
const LAZILY: Millis = 1_000.0;
/// One that lags asks one other at a time for what it lacks, and another after this time.
const LAG: Millis = 1_500.0;
/// For the first part it waits less, and still less where it has heard nothing of that one yet.
const LAG_FIRST: Millis = 800.0;
const LAG_UNHEARD: Millis = 400.0;
/// A step takes so much longer for each item that it brings: far links have small windows.
const ITEM: Millis = 0.5;
/// Most items that a promise brings to one that lags: who lags by more catches up first.
const PROMISE_MOST: usize = 256;
/// Most calls that wait.
const CALLS_MOST: usize = 256;
/// Most questions whose answers are waited for.
const ASKED_MOST: usize = 1_024;

/// What a store wants done, in order.
#[derive(Clone, Debug)]
pub enum Output {
    /// Save what is kept, safe against a loss of power, before anything that follows.
    Save,
    /// Ask another store; its answer, if any, comes back with the number.
    Send {
        /// The store.
        to: Ipv4Addr,
        /// The number.
        number: u64,
        /// The question.
        ask: Ask,
    },
    /// Answer a call.
    Answer {
        /// The call.
        call: CallId,
        /// What came of it.
        result: Result<Outcome, Fault>,
    },
}

#[derive(Clone, Debug)]
struct Waiting {
    id: CallId,
    change: Change,
    since: Millis,
    /// The version that an order without a number had when it was first judged: nothing else tells whether it came into
    /// force.
    first: Option<u64>,
}

#[derive(Clone, Debug)]
struct Promise {
    accepted: Option<Accepted>,
    /// The highest round that it knows to be chosen.
    chosen: Ballot,
}

/// Items that are to be accepted, and what is answered once they are chosen.
#[derive(Clone, Debug)]
struct Proposal {
    ballot: Ballot,
    since: Millis,
    items: Vec<Arc<Item>>,
    /// The group before the round, and after it.
    groups: (Group, Group),
    accepted: BTreeSet<(Ipv4Addr, u64)>,
    calls: Vec<(Waiting, Result<Outcome, Fault>)>,
}

/// Where the store's own round stands.
#[derive(Clone, Debug)]
enum Round {
    /// There is none.
    Idle,
    /// Promises are gathered of a group, and also of the one that an earlier round may have put in its place.
    Preparing {
        ballot: Ballot,
        since: Millis,
        group: Group,
        next: Option<Group>,
        promises: BTreeMap<(Ipv4Addr, u64), Promise>,
    },
    /// Items are being accepted.
    Accepting(Box<Proposal>),
}

/// A question that is out.
#[derive(Clone, Copy, Debug)]
struct Asked {
    to: Ipv4Addr,
    /// Of which round.
    ballot: Ballot,
    /// When it went out: its answer tells of contact then, whenever that is read.
    at: Millis,
}

/// How a store's own state stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The whole system starts for the first time: it waits for its group.
    Founding,
    /// It has no place in the group: its disk is new or was lost, or its place was given away. It learns what was
    /// chosen, and waits for a place.
    Learner,
    /// It takes part.
    Member,
}

/// One store.
#[derive(Clone, Debug)]
pub struct Store {
    me: Ipv4Addr,
    seeds: Vec<Ipv4Addr>,
    bootstrap: bool,
    rng: fastrand::Rng,
    kept: Kept,
    /// The group in what is kept.
    group: Option<Group>,
    round: Round,
    calls: VecDeque<Waiting>,
    /// The highest counter of a round seen.
    counter: u64,
    /// No round before.
    paused_until: Millis,
    /// Rounds outbid since the last that came to an end.
    outbid: u32,
    /// When what is accepted and not known to be chosen is to be carried on.
    orphaned_at: Option<Millis>,
    number: u64,
    asked: BTreeMap<u64, Asked>,
    /// When the last question was asked that each member has answered.
    heard: BTreeMap<(Ipv4Addr, u64), Millis>,
    /// Machines that came forward, at the founder.
    hellos: BTreeMap<Ipv4Addr, u64>,
    hello_at: Millis,
    /// Machines that wait for a place in the group, and when they last said so.
    candidates: BTreeMap<Ipv4Addr, (Millis, Candidate)>,
    regroup_at: Millis,
    /// It is about to end, and gives its place to one that waits.
    leaving: bool,
    /// The group that took its place from it, and which of that are known to have learnt it.
    relief: Option<(Group, BTreeSet<(Ipv4Addr, u64)>)>,
    /// Since when it has run without standing still.
    awake: Millis,
    /// When it last went on after it had stood still.
    thawed: Millis,
    ticked: Option<Millis>,
    ping_at: Millis,
    /// What it gathers that it lacks, and when it gives up on the one that it asks.
    gathering: Option<(Gathering, Millis)>,
    /// The question for that which is out: no answer to an earlier one is taken for its answer.
    part: u64,
    /// How long others have lately taken to answer.
    latency: BTreeMap<Ipv4Addr, Millis>,
    /// Who has asked this one while it had no place: they may know the group.
    askers: BTreeSet<Ipv4Addr>,
    /// What was chosen, as far as that was saved, and when it was saved.
    saved: (Ballot, Millis),
    /// What was chosen when others were last asked, twice: one that waits for a place must not lag behind the first.
    chosen_before: [Ballot; 2],
    probed_at: Millis,
    question_at: Millis,
    /// Which source is asked next.
    source: usize,
    outputs: Vec<Output>,
}

impl Store {
    /// A store with what its disk held. `seed` must differ between lives of the process, since it draws the numbers of
    /// questions: no answer to one that an earlier life asked is taken for one to a later.
    pub fn new(me: Ipv4Addr, seeds: Vec<Ipv4Addr>, bootstrap: bool, kept: Kept, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut kept = kept;
        if kept.marks.is_empty() && kept.chosen > Ballot::NONE {
            kept.marks.push((kept.chosen, kept.items.changes()));
        }
        Self {
            me,
            seeds,
            bootstrap,
            group: kept.group(),
            counter: kept.floor().counter,
            number: rng.u64(..) >> 8,
            rng,
            outbid: 0,
            orphaned_at: None,
            kept,
            round: Round::Idle,
            calls: VecDeque::new(),
            paused_until: f64::NEG_INFINITY,
            asked: BTreeMap::new(),
            heard: BTreeMap::new(),
            hellos: BTreeMap::new(),
            hello_at: f64::INFINITY,
            candidates: BTreeMap::new(),
            regroup_at: f64::NEG_INFINITY,
            leaving: false,
            relief: None,
            awake: f64::INFINITY,
            thawed: f64::NEG_INFINITY,
            ticked: None,
            ping_at: f64::NEG_INFINITY,
            gathering: None,
            part: 0,
            latency: BTreeMap::new(),
            askers: BTreeSet::new(),
            saved: (Ballot::NONE, f64::NEG_INFINITY),
            chosen_before: [Ballot::NONE; 2],
            probed_at: f64::NEG_INFINITY,
            question_at: f64::NEG_INFINITY,
            source: 0,
            outputs: Vec::new(),
        }
    }

    /// What it keeps.
    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    /// How its own state stands.
    pub fn standing(&self) -> Standing {
        match &self.group {
            Some(group) if group.has(self.me, self.kept.incarnation) => Standing::Member,
            None if self.bootstrap => Standing::Founding,
            _ => Standing::Learner,
        }
    }

    /// The machines of the group.
    pub fn members(&self) -> Vec<Ipv4Addr> {
        self.group.iter().flat_map(|group| group.members.keys().copied()).collect()
    }

    /// The last moment at which more than half of the group was surely there: each of them has answered a question that
    /// was asked then or later.
    fn contact_at(&self, now: Millis) -> Millis {
        let Some(group) = &self.group else { return f64::NEG_INFINITY };
        let heard =
            |(machine, incarnation): (&Ipv4Addr, &u64)| match self.heard.get(&(*machine, *incarnation)) {
                _ if *machine == self.me => now,
                Some(at) => *at,
                None => f64::NEG_INFINITY,
            };
        let mut times: Vec<Millis> = group.members.iter().map(heard).collect();
        times.sort_unstable_by(|a, b| b.total_cmp(a));
        times.get(group.members.len() / 2).copied().unwrap_or(f64::NEG_INFINITY)
    }

    /// How long ago more than half of the group was surely in contact with it; nothing if not of late, or if it is no
    /// member.
    pub fn contact(&self, now: Millis) -> Option<Millis> {
        let age = now - self.contact_at(now);
        (self.standing() == Standing::Member && age < CONTACT).then_some(age)
    }

    /// Takes what is to be done.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// A call has come in.
    pub fn call(&mut self, now: Millis, id: CallId, change: Change) {
        if self.standing() != Standing::Member {
            return self.answer(
                id,
                Err(Fault::new(Kind::Unready, "the store has no place in its group yet, or no more")),
            );
        }
        let bare = matches!(change, Change::Drain { .. } | Change::Duty { .. });
        if bare && (self.stood_still(now) || now < self.thawed + THAWED) {
            // No number tells what it is older than; `unready` would send it on to another store.
            return self.answer(id, Err(Fault::new(Kind::NoMajority, "the store stood still a moment ago")));
        }
        if self.calls.len() >= CALLS_MOST {
            return self.answer(id, Err(Fault::new(Kind::Late, "too many calls wait")));
        }
        self.calls.push_back(Waiting { id, change, since: now, first: None });
        self.begin(now);
        let waits = !matches!(&self.round, Round::Preparing { since, .. } if *since == now);
        if waits && now >= self.probed_at + PROBE {
            self.ping(now);
        }
    }

    /// The process is about to end: its place goes to a machine that waits for one, if any does. Tells whether it is
    /// worth waiting for that.
    pub fn leave(&mut self, now: Millis) -> bool {
        self.leaving = true;
        self.regroup(now);
        self.begin(now);
        match self.standing() {
            Standing::Founding => false,
            Standing::Learner => !self.is_relieved(),
            Standing::Member => self.fit(now).is_some(),
        }
    }

    /// Whether nothing rests on it any more: another has its place, and more than half of the group know.
    pub fn is_relieved(&self) -> bool {
        // One that has accepted a group in which it has a place may be a member by now.
        let accepted = self.kept.accepted.iter().flat_map(|accepted| &accepted.items);
        let mut groups = accepted.filter(|item| item.key.table == Table::Group);
        let admitted =
            groups.any(|item| Group::of(item).is_some_and(|group| group.has(self.me, self.kept.incarnation)));
        self.standing() == Standing::Learner
            && !admitted
            && self.relief.as_ref().is_none_or(|(group, learnt)| group.is_quorum(learnt))
    }

    fn answer(&mut self, call: CallId, result: Result<Outcome, Fault>) {
        self.outputs.push(Output::Answer { call, result });
    }

    // As one that is asked.

    /// Another store asks. What must be saved before the answer goes out is among the outputs.
    pub fn asked(&mut self, now: Millis, from: Ipv4Addr, ask: Ask) -> Reply {
        if self.standing() == Standing::Learner && self.askers.len() < GROUP_MOST {
            self.askers.insert(from);
        }
        if matches!(ask, Ask::Ping { chosen } if chosen > self.kept.chosen) {
            // Whom it asks itself may all be gone.
            self.catch_up(now, from);
        }
        let answer = match ask {
            // Whoever is asked as this incarnation has a place by some group, known here or not.
            Ask::Prepare { incarnation, .. } | Ask::Accept { incarnation, .. }
                if incarnation != self.kept.incarnation =>
            {
                Answer::Blank
            }
            Ask::Prepare { ballot, chosen, .. } => self.prepared(ballot, chosen),
            Ask::Accept { ballot, base, missing, items, .. } => {
                self.accept(now, ballot, base, missing, items)
            }
            Ask::Learn { ballot, base, items } => self.learn(now, from, ballot, base, items),
            Ask::Hello { incarnation } => self.hello(now, from, incarnation),
            // Of those who took its place, some may know of that from nobody else.
            Ask::CatchUp { chosen, after } if self.relief.is_some() => self.snapshot(chosen, after),
            _ if self.standing() != Standing::Member => Answer::Blank,
            Ask::Join(candidate) => {
                if self.candidates.len() < GROUP_MOST || self.candidates.contains_key(&from) {
                    self.candidates.insert(from, (now, candidate));
                }
                Answer::Learned
            }
            Ask::Ping { .. } => Answer::Pong { chosen: self.kept.chosen },
            Ask::CatchUp { chosen, after } => self.snapshot(chosen, after),
        };
        let placed = self.standing() == Standing::Member;
        let group = self.group.as_ref().filter(|_| placed).map(|group| group.version);
        Reply { incarnation: self.kept.incarnation, group, answer }
    }

    fn prepared(&mut self, ballot: Ballot, chosen: Ballot) -> Answer {
        if ballot <= self.kept.floor() {
            return Answer::Nack { promised: self.kept.floor() };
        }
        self.promise(ballot);
        self.outputs.push(Output::Save);
        let items = self.kept.since(chosen);
        Answer::Promised {
            accepted: self.kept.accepted.clone(),
            chosen: self.kept.chosen,
            items: (items.len() <= PROMISE_MOST).then_some(items),
        }
    }

    fn accept(
        &mut self,
        now: Millis,
        ballot: Ballot,
        base: Ballot,
        missing: Vec<Arc<Item>>,
        items: Vec<Arc<Item>>,
    ) -> Answer {
        if ballot < self.kept.promised || ballot <= self.kept.chosen {
            return Answer::Nack { promised: self.kept.floor() };
        }
        self.promise(ballot);
        self.adopt(base, missing);
        self.kept.accepted = Some(Accepted { ballot, items });
        self.orphaned_at = Some(self.orphaned(now));
        self.outputs.push(Output::Save);
        Answer::Accepted
    }

    fn learn(
        &mut self,
        now: Millis,
        from: Ipv4Addr,
        ballot: Ballot,
        base: Ballot,
        items: Vec<Arc<Item>>,
    ) -> Answer {
        let accepted = self.kept.accepted.as_ref().is_some_and(|accepted| accepted.ballot == ballot);
        if accepted || self.kept.chosen >= base {
            self.adopt(ballot, items);
        } else {
            // With these items alone, what it holds would be no state that ever was.
            self.catch_up(now, from);
        }
        Answer::Learned
    }

    fn snapshot(&self, chosen: Ballot, after: Option<Key>) -> Answer {
        let mut items = self.kept.since(chosen);
        items.retain(|item| after.as_ref().is_none_or(|after| item.key > *after));
        items.sort_unstable_by(|a, b| a.key.cmp(&b.key));
        let more = items.len() > PART;
        items.truncate(PART);
        Answer::Snapshot { chosen: self.kept.chosen, items, more }
    }

    fn promise(&mut self, ballot: Ballot) {
        self.kept.promised = self.kept.promised.max(ballot);
        self.counter = self.counter.max(ballot.counter);
    }

    /// Takes in a round that is chosen.
    fn adopt(&mut self, chosen: Ballot, items: Vec<Arc<Item>>) {
        self.counter = self.counter.max(chosen.counter);
        let regroups = items.iter().any(|item| item.key.table == Table::Group);
        self.kept.adopt(chosen, items);
        if self.kept.accepted.is_none() {
            self.orphaned_at = None;
        }
        if regroups {
            let placed = self.standing() == Standing::Member || self.relief.is_some();
            // Until more than half of the new group have it on disk, more than half of the old one are needed.
            self.outputs.push(Output::Save);
            self.group = self.kept.group();
            let group = self.group.as_ref();
            self.heard
                .retain(|(machine, incarnation), _| group.is_some_and(|g| g.has(*machine, *incarnation)));
            self.relief = match self.standing() {
                Standing::Learner if placed => self.group.clone().map(|group| (group, BTreeSet::new())),
                _ => None,
            };
        }
    }

    /// At the first start of the whole system: the founder gathers machines; whoever has the group tells it.
    fn hello(&mut self, now: Millis, from: Ipv4Addr, incarnation: u64) -> Answer {
        if self.standing() == Standing::Member {
            return Answer::Pong { chosen: self.kept.chosen };
        }
        if self.is_founder()
            && (self.hellos.len() < GROUP_MOST || self.hellos.contains_key(&from))
            && self.hellos.insert(from, incarnation) != Some(incarnation)
        {
            self.hello_at = now;
        }
        Answer::Blank
    }

    fn is_founder(&self) -> bool {
        self.standing() == Standing::Founding && self.seeds.iter().min() == Some(&self.me)
    }

    // As one that asks.

    /// Begins a round if there is something to do and none is under way.
    fn begin(&mut self, now: Millis) {
        let orphaned = self.kept.accepted.is_some() && self.orphaned_at.is_some_and(|at| now > at);
        let idle = matches!(self.round, Round::Idle);
        let Some(group) = self.group.clone().filter(|_| self.standing() == Standing::Member) else { return };
        if !idle || now < self.paused_until || (self.calls.is_empty() && !orphaned) {
            return;
        }
        self.counter = self.counter.saturating_add(1);
        let ballot = Ballot { counter: self.counter, by: self.me, incarnation: self.kept.incarnation };
        let members = group.members.clone().into_iter().collect();
        self.round = Round::Preparing { ballot, since: now, group, next: None, promises: BTreeMap::new() };
        self.prepare(now, ballot, members);
    }

    fn prepare(&mut self, now: Millis, ballot: Ballot, acceptors: Vec<(Ipv4Addr, u64)>) {
        for (machine, incarnation) in acceptors {
            let chosen = self.kept.chosen;
            self.ask(now, machine, ballot, Ask::Prepare { ballot, incarnation, chosen });
        }
    }

    /// Asks a store, also itself.
    fn ask(&mut self, now: Millis, to: Ipv4Addr, ballot: Ballot, ask: Ask) {
        if to == self.me {
            let reply = self.asked(now, to, ask);
            return self.told(now, to, ballot, 0, reply);
        }
        self.number += 1;
        self.asked.insert(self.number, Asked { to, ballot, at: now });
        self.outputs.push(Output::Send { to, number: self.number, ask });
    }

    /// An answer to a question has come, or surely none will.
    pub fn replied(&mut self, now: Millis, number: u64, reply: Option<Reply>) {
        let Some(Asked { to, ballot, at }) = self.asked.remove(&number) else { return };
        let Some(reply) = reply else {
            // It can't be reached: another is asked for what is lacking.
            self.gathering.take_if(|(gathering, _)| gathering.wanted().from == to);
            self.latency.remove(&to);
            return;
        };
        if self.latency.len() < 4 * GROUP_MOST || self.latency.contains_key(&to) {
            let latency = self.latency.entry(to).or_default();
            *latency = (now - at).min(REFUSE.1).max(0.9 * *latency + 0.1 * (now - at).min(REFUSE.1));
        }
        if let Some((group, learnt)) = &mut self.relief {
            // Whoever says so has it on disk.
            if reply.group.is_some_and(|version| version >= group.version) {
                learnt.insert((to, reply.incarnation));
            }
        }
        // One that has lost its place, or knows a newer group, is no contact with this one.
        let member = self.group.as_ref().is_some_and(|group| {
            group.has(to, reply.incarnation) && reply.group.is_some_and(|version| version <= group.version)
        });
        if member && !matches!(reply.answer, Answer::Blank) {
            let heard = self.heard.entry((to, reply.incarnation)).or_insert(at);
            *heard = heard.max(at);
        }
        self.told(now, to, ballot, number, reply);
    }

    fn told(&mut self, now: Millis, from: Ipv4Addr, of: Ballot, number: u64, reply: Reply) {
        let who = (from, reply.incarnation);
        match reply.answer {
            Answer::Promised { .. } if self.ballot() != Some(of) => {}
            Answer::Promised { accepted, chosen, items: Some(items) } => {
                // Complete for whoever held all up to what was told in the question.
                self.adopt(chosen, items);
                self.promised(now, who, of, Promise { accepted, chosen });
            }
            Answer::Promised { chosen, items: None, .. } => {
                // One that lags so far may not judge.
                if chosen > self.kept.chosen {
                    self.catch_up(now, from);
                    self.pause(now);
                }
            }
            Answer::Nack { promised } => {
                self.counter = self.counter.max(promised.counter);
                if self.ballot() == Some(of) && promised > of {
                    self.pause(now);
                }
            }
            Answer::Accepted => self.accepted(now, who, of),
            Answer::Snapshot { chosen, items, more } if number == self.part => {
                self.gathered(now, chosen, items, more);
            }
            Answer::Pong { chosen } => {
                if chosen > self.kept.chosen {
                    self.catch_up(now, from);
                }
            }
            Answer::Snapshot { .. } | Answer::Learned | Answer::Blank => {}
        }
    }

    /// Asks one that knows more for what was chosen; none else while that goes on.
    fn catch_up(&mut self, now: Millis, from: Ipv4Addr) {
        if let Some((gathering, until)) = &self.gathering {
            if now < *until {
                return;
            }
            // It did not answer: it is among the last to be asked again.
            self.latency.remove(&gathering.wanted().from);
        }
        let gathering = Gathering::new(from, self.kept.chosen);
        let wanted = gathering.wanted().clone();
        let patience = if self.latency.contains_key(&from) { LAG_FIRST } else { LAG_UNHEARD };
        self.gathering = Some((gathering, now + patience));
        self.want(now, wanted);
    }

    fn want(&mut self, now: Millis, wanted: Wanted) {
        let Wanted { from, chosen, after } = wanted;
        self.ask(now, from, Ballot::NONE, Ask::CatchUp { chosen, after });
        self.part = self.number;
    }

    /// A part of what it lacks has come.
    fn gathered(&mut self, now: Millis, chosen: Ballot, items: Vec<Arc<Item>>, more: bool) {
        let Some((gathering, _)) = self.gathering.take() else { return };
        match gathering.came(chosen, items, more) {
            (gathering, Gathered::Wants(wanted)) => {
                self.gathering = gathering.map(|gathering| (gathering, now + LAG));
                self.want(now, wanted);
            }
            (_, Gathered::Whole(chosen, items)) => {
                if chosen > self.kept.chosen {
                    self.adopt(chosen, items);
                }
            }
            (_, Gathered::Lost) => {}
        }
    }

    /// Has what was learnt saved now and then.
    fn save_lazily(&mut self, now: Millis) {
        if self.kept.chosen > self.saved.0 && now > self.saved.1 + LAZILY {
            self.saved = (self.kept.chosen, now);
            self.outputs.push(Output::Save);
        }
    }

    /// The round that is under way.
    fn ballot(&self) -> Option<Ballot> {
        match &self.round {
            Round::Idle => None,
            Round::Preparing { ballot, .. } => Some(*ballot),
            Round::Accepting(proposal) => Some(proposal.ballot),
        }
    }

    /// Gives a round up; its calls wait for the next.
    fn pause(&mut self, now: Millis) {
        if let Round::Accepting(proposal) = std::mem::replace(&mut self.round, Round::Idle) {
            for (waiting, _) in proposal.calls.into_iter().rev() {
                self.calls.push_front(waiting);
            }
        }
        let pause = PAUSE.0 + self.rng.f64() * (PAUSE.1 - PAUSE.0);
        self.paused_until = now + pause * f64::from(1 << self.outbid.min(DOUBLED));
        self.outbid += 1;
    }

    fn orphaned(&mut self, now: Millis) -> Millis {
        now + ORPHANED.0 + self.rng.f64() * (ORPHANED.1 - ORPHANED.0)
    }

    fn promised(&mut self, now: Millis, from: (Ipv4Addr, u64), of: Ballot, promise: Promise) {
        match &mut self.round {
            Round::Preparing { ballot, group, next, promises, .. } if *ballot == of => {
                promises.insert(from, promise);
                let who = promises.keys().copied().collect();
                if group.is_quorum(&who) && next.as_ref().is_none_or(|next| next.is_quorum(&who)) {
                    self.judge(now);
                }
            }
            Round::Accepting(proposal) if proposal.ballot == of && !proposal.accepted.contains(&from) => {
                let items = proposal.items.clone();
                self.propose(now, from, of, promise.chosen, items);
            }
            _ => {}
        }
    }

    /// Asks one that has promised a round, and holds all that was chosen up to another, to accept.
    fn propose(
        &mut self,
        now: Millis,
        to: (Ipv4Addr, u64),
        ballot: Ballot,
        chosen: Ballot,
        items: Vec<Arc<Item>>,
    ) {
        let (base, missing) = (self.kept.chosen, self.kept.since(chosen));
        if missing.len() > PART {
            // One that lags so far finds out when it is asked who is there, and gathers that first.
            return;
        }
        self.ask(now, to.0, ballot, Ask::Accept { ballot, incarnation: to.1, base, missing, items });
    }

    /// More than half take part: judges the calls against all that is chosen or may be.
    fn judge(&mut self, now: Millis) {
        let Round::Preparing { ballot, since, group, promises, .. } =
            std::mem::replace(&mut self.round, Round::Idle)
        else {
            return;
        };
        if self.group.as_ref() != Some(&group) {
            // More than half of another group has to promise.
            return self.begin(now);
        }
        // What the highest of earlier rounds has had accepted may have been chosen, unless a higher one is known to be:
        // it is built upon. What lower ones have had accepted is contained in that, or never came to be chosen.
        let last = promises
            .values()
            .filter_map(|promise| promise.accepted.as_ref())
            .filter(|accepted| accepted.ballot > self.kept.chosen)
            .max_by_key(|accepted| accepted.ballot);
        let carries = last.is_some();
        let mut copy = self.kept.items.clone();
        let mut items: Vec<Arc<Item>> = Vec::new();
        for item in last.iter().flat_map(|accepted| &accepted.items) {
            // Also what is held already: those that accept this in its place may not hold it.
            if item.version >= copy.version(item.key.table, &item.key.name) {
                copy.merge_shared(item.clone());
                items.push(item.clone());
            }
        }
        let promised = promises.keys().copied().collect();
        let carried = Group::read(&copy).unwrap_or_else(|| group.clone());
        let own = || self.first_change(now, &copy).filter(|_| items.is_empty() && !carries);
        let other = if carried == group { own() } else { Some(carried) };
        if let Some(other) = other.filter(|other| !other.is_quorum(&promised)) {
            // The other group may have gone on by itself: more than half of it has to promise too. Also before an own
            // change is accepted by anybody: once it is, no round can do without it, nor without both groups.
            let newcomers = other.not_in(&group);
            self.round = Round::Preparing { ballot, since, group, next: Some(other), promises };
            return self.prepare(now, ballot, newcomers);
        }
        let calls = self.verdicts(now, since, &promised, &mut copy, &mut items);
        if items.is_empty() && !carries {
            // A round that ends on promises alone says what stood when they were given: a call that came after it began
            // may have come after that, and waits for the next.
            let (calls, later): (Vec<_>, Vec<_>) =
                calls.into_iter().partition(|(waiting, _)| waiting.since <= since);
            for (waiting, _) in later.into_iter().rev() {
                self.calls.push_front(waiting);
            }
            return self.conclude(now, calls);
        }
        // Of two items of one name the newer is enough.
        items.retain(|item| copy.version(item.key.table, &item.key.name) == item.version);
        let next = Group::read(&copy).unwrap_or_else(|| group.clone());
        let mut newcomers = next.not_in(&group);
        newcomers.retain(|who| !promises.contains_key(who));
        let proposal = Proposal {
            ballot,
            since: now,
            items: items.clone(),
            groups: (group, next),
            accepted: BTreeSet::new(),
            calls,
        };
        self.round = Round::Accepting(Box::new(proposal));
        let promised: Vec<_> = promises.into_iter().map(|(who, promise)| (who, promise.chosen)).collect();
        for (who, chosen) in promised {
            self.propose(now, who, ballot, chosen, items.clone());
        }
        // They tell what they hold, and then accept with the rest.
        self.prepare(now, ballot, newcomers);
    }

    /// The group that the first of the calls that wait asks for.
    fn first_change(&self, now: Millis, copy: &Items) -> Option<Group> {
        let waiting = self.calls.front().filter(|waiting| now <= waiting.since + CALL)?;
        let Change::Regroup { goes, comes } = waiting.change else { return None };
        Group::read(copy)?.changed(goes, comes)
    }

    /// Judges the calls that wait, in order, against a copy that they change; their items come on top of others.
    fn verdicts(
        &mut self,
        now: Millis,
        begun: Millis,
        promised: &BTreeSet<(Ipv4Addr, u64)>,
        copy: &mut Items,
        items: &mut Vec<Arc<Item>>,
    ) -> Vec<(Waiting, Result<Outcome, Fault>)> {
        let (mut calls, mut later) = (Vec::new(), Vec::new());
        // A change of the group is chosen alone: what comes after it is accepted by the new one.
        let regroups = |items: &[Arc<Item>]| items.iter().any(|item| item.key.table == Table::Group);
        while let Some(mut waiting) = self.calls.pop_front() {
            if now > waiting.since + CALL {
                // Its caller has gone elsewhere, and may have taken it back there.
                self.refused(waiting);
                continue;
            }
            let regroup = matches!(waiting.change, Change::Regroup { .. });
            if (regroup && !(items.is_empty() && calls.is_empty())) || regroups(items) {
                self.calls.push_front(waiting);
                break;
            }
            if matches!(waiting.change, Change::Drain { .. }) && waiting.since > begun {
                // The promises may be older than it: what came into force in between would be taken for its own.
                later.push(waiting);
                continue;
            }
            let mut put = |copy: &mut Items, item: Item| {
                let item = Arc::new(item);
                copy.merge_shared(item.clone());
                items.push(item);
            };
            let verdict = match &waiting.change {
                Change::Read => Ok(Outcome::Read(Items::default())),
                Change::Amend(call) => amend(copy, call).map(|(next, newer)| {
                    *copy = next;
                    items.extend(newer.into_iter().map(Arc::new));
                    Outcome::Applied
                }),
                Change::Drain { zone, on } => {
                    let held = copy.version(Table::Drains, zone);
                    // Guards against an order that others carried on, and that was taken back since: only a change has a
                    // version, so they alternate, and under its first the zone stood as wanted after the call came.
                    let was = waiting.first.is_some_and(|first| held >= first);
                    if !was && copy.body(Table::Drains, zone).is_some() != *on {
                        let version = held + 1;
                        waiting.first = Some(version);
                        put(copy, Item::new(Table::Drains, zone, version, on.then(|| json!({}))));
                    }
                    Ok(Outcome::Applied)
                }
                Change::Regroup { goes, comes } => {
                    let next = Group::read(copy).and_then(|group| group.changed(*goes, *comes));
                    if let Some(next) = next.filter(|next| next.is_quorum(promised)) {
                        put(copy, next.item());
                    }
                    Ok(Outcome::Applied)
                }
                Change::Duty { name, holder } => {
                    let epoch = copy.version(Table::Duties, name) + 1;
                    put(copy, Item::new(Table::Duties, name, epoch, Some(json!({ "holder": holder }))));
                    Ok(Outcome::Epoch(epoch))
                }
            };
            calls.push((waiting, verdict));
        }
        for waiting in later.into_iter().rev() {
            self.calls.push_front(waiting);
        }
        calls
    }

    fn accepted(&mut self, now: Millis, from: (Ipv4Addr, u64), of: Ballot) {
        match &mut self.round {
            Round::Accepting(proposal) if proposal.ballot == of => {
                proposal.accepted.insert(from);
            }
            _ => return,
        }
        self.count(now);
    }

    /// Ends the round if its items are chosen: accepted by more than half of the group before it and of the one after.
    fn count(&mut self, now: Millis) {
        let Round::Accepting(proposal) = &self.round else { return };
        let Proposal { groups: (old, new), accepted, since, .. } = &**proposal;
        let chosen = old.is_quorum(accepted) && new.is_quorum(accepted);
        let newcomer = |(m, i): (&Ipv4Addr, &u64)| !old.has(*m, *i) && !accepted.contains(&(*m, *i));
        if !chosen || (new.members.iter().any(newcomer) && now < since + NEWCOMER) {
            return;
        }
        let Round::Accepting(proposal) = std::mem::replace(&mut self.round, Round::Idle) else { return };
        let Proposal { ballot, items, groups: (old, new), calls, .. } = *proposal;
        let base = self.kept.chosen;
        self.adopt(ballot, items.clone());
        let mut members: BTreeSet<Ipv4Addr> =
            old.members.into_keys().chain(new.members.into_keys()).collect();
        members.remove(&self.me);
        for member in members {
            self.ask(now, member, ballot, Ask::Learn { ballot, base, items: items.clone() });
        }
        self.conclude(now, calls);
    }

    fn conclude(&mut self, now: Millis, calls: Vec<(Waiting, Result<Outcome, Fault>)>) {
        self.outbid = 0;
        for (waiting, verdict) in calls {
            let verdict = match verdict {
                Ok(Outcome::Read(_)) => Ok(Outcome::Read(self.kept.items.clone())),
                other => other,
            };
            self.answer(waiting.id, verdict);
        }
        self.begin(now);
    }

    // Time.

    /// Whether the clock has not been told for so long that the process stood still.
    fn stood_still(&self, now: Millis) -> bool {
        self.ticked.is_some_and(|ticked| now > ticked + STILL)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Millis) {
        if self.stood_still(now) {
            (self.awake, self.thawed) = (now, now);
        }
        if self.ticked.replace(now).is_none() {
            self.awake = now;
        }
        let until = match &self.round {
            Round::Idle => None,
            Round::Preparing { since, .. } => Some(since + STEP),
            Round::Accepting(proposal) => Some(proposal.since + STEP + ITEM * proposal.items.len() as f64),
        };
        self.count(now);
        if until.is_some_and(|until| now > until) && !matches!(self.round, Round::Idle) {
            self.pause(now);
            // A change that its own new group does not answer to holds others up no longer; it is begun again if need be.
            self.calls.retain(|waiting| !matches!(waiting.change, Change::Regroup { .. }));
        }
        if matches!(&self.round, Round::Preparing { group, .. } if self.group.as_ref() != Some(group)) {
            // More than half of another group has to promise.
            self.round = Round::Idle;
            self.begin(now);
        }
        self.refuse(now);
        if self.kept.accepted.is_some() && self.orphaned_at.is_none() {
            self.orphaned_at = Some(self.orphaned(now));
        }
        self.save_lazily(now);
        self.regroup(now);
        self.begin(now);
        // Questions that nothing came of.
        while self.asked.len() > ASKED_MOST {
            self.asked.pop_first();
        }
        match self.standing() {
            Standing::Member if now >= self.ping_at => {
                self.ping_at = now + PING * (0.8 + 0.4 * self.rng.f64());
                self.chosen_before = [self.chosen_before[1], self.kept.chosen];
                self.ping(now);
            }
            Standing::Founding if now >= self.question_at => {
                self.question_at = now + QUESTION;
                self.found(now);
            }
            Standing::Learner if now >= self.question_at && !self.leaving => {
                self.question_at = now + QUESTION;
                self.wait(now);
            }
            Standing::Learner if now >= self.question_at && !self.is_relieved() => {
                self.question_at = now + QUESTION;
                self.ping(now);
            }
            _ => {}
        }
    }

    /// Answers calls that have waited too long, or that no majority can be reached for.
    fn refuse(&mut self, now: Millis) {
        let contact = self.contact_at(now);
        let patience = (2.0 * self.quorum_latency() + 50.0).clamp(REFUSE.0, REFUSE.1);
        let member = self.standing() == Standing::Member;
        let over = |waiting: &Waiting| {
            !member
                || now > waiting.since + CALL
                || (now > waiting.since + patience && contact < waiting.since - PROBE)
        };
        let (over, calls): (Vec<_>, Vec<_>) = self.calls.drain(..).partition(over);
        self.calls = calls.into();
        for waiting in over {
            self.refused(waiting);
        }
    }

    /// How long it has lately taken until more than half of the group had answered.
    fn quorum_latency(&self) -> Millis {
        let members = self.members();
        let latency =
            |m: &Ipv4Addr| if *m == self.me { 0.0 } else { self.latency.get(m).copied().unwrap_or(0.0) };
        let mut all: Vec<Millis> = members.iter().map(latency).collect();
        all.sort_unstable_by(f64::total_cmp);
        all.get(members.len() / 2).copied().unwrap_or(0.0)
    }

    fn refused(&mut self, waiting: Waiting) {
        let fault = Fault::new(Kind::NoMajority, "more than half of the core can't be reached");
        self.answer(waiting.id, Err(fault));
    }

    /// Asks all others who is there, and how much each knows.
    fn ping(&mut self, now: Millis) {
        self.probed_at = now;
        let mut members = self.members();
        members.retain(|member| *member != self.me);
        let chosen = self.kept.chosen;
        for member in members {
            self.ask(now, member, Ballot::NONE, Ask::Ping { chosen });
        }
    }

    /// One that has no place learns what was chosen from one source after the other, and asks all for a place.
    fn wait(&mut self, now: Millis) {
        let mut sources = self.members();
        sources.extend(&self.seeds);
        sources.extend(&self.askers);
        sources.sort_unstable();
        sources.dedup();
        sources.retain(|source| *source != self.me);
        if sources.is_empty() {
            return;
        }
        let chosen = self.kept.chosen;
        if self.gathering.as_ref().is_none_or(|(_, until)| now >= *until) {
            if let Some((gathering, _)) = &self.gathering {
                self.latency.remove(&gathering.wanted().from);
            }
            // The nearest of those that answer; where none does, one after the other.
            let near = sources.iter().filter_map(|source| Some((self.latency.get(source)?, source)));
            let near = near.min_by(|a, b| a.0.total_cmp(b.0)).map(|(_, source)| *source);
            self.source = (self.source + 1) % sources.len();
            self.catch_up(now, near.unwrap_or(sources[self.source]));
        }
        if let Some(group) = &self.group {
            let candidate = Candidate { incarnation: self.kept.incarnation, group: group.version, chosen };
            for source in sources {
                self.ask(now, source, Ballot::NONE, Ask::Join(candidate));
            }
        }
    }

    /// A machine that waits for a place and holds all but the newest.
    fn fit(&self, now: Millis) -> Option<(Ipv4Addr, u64)> {
        let group = self.group.as_ref()?;
        let fits = |(machine, (said, candidate)): (&Ipv4Addr, &(Millis, Candidate))| {
            let fresh = now < said + CANDIDATE && candidate.group == group.version;
            let holds = candidate.chosen >= self.chosen_before[0].min(self.kept.chosen);
            let placed = group.has(*machine, candidate.incarnation);
            (fresh && holds && !placed).then_some((*machine, candidate.incarnation))
        };
        // One that lost its disk takes its own place before others come.
        let all = || self.candidates.iter().filter_map(fits);
        let returns = all().find(|(machine, _)| group.members.contains_key(machine));
        returns.or_else(|| all().next())
    }

    /// Gives a place to one that waits: its own of an earlier incarnation, one that is free, that of a machine that is
    /// gone, or this store's own when that leaves. The first of those that answer does it.
    fn regroup(&mut self, now: Millis) {
        self.candidates.retain(|_, (said, _)| now < *said + CANDIDATE);
        if self.candidates.is_empty() || now < self.regroup_at || self.contact(now).is_none() {
            return;
        }
        let (Some(group), Some(comes)) = (&self.group, self.fit(now)) else { return };
        let heard = |member: &(Ipv4Addr, u64)| match self.heard.get(member) {
            _ if member.0 == self.me => now,
            Some(at) => at.max(self.awake),
            None => self.awake,
        };
        let members = || group.members.iter().map(|(machine, incarnation)| (*machine, *incarnation));
        let first = members().find(|member| now < heard(member) + CONTACT).map(|member| member.0);
        let silent = members().filter(|member| now > heard(member) + GONE);
        let gone = silent.min_by(|a, b| heard(a).total_cmp(&heard(b)));
        let own = |machine: Ipv4Addr| members().find(|member| member.0 == machine);
        let goes = match (own(comes.0), gone) {
            (Some(earlier), _) if first == Some(self.me) => Some(earlier),
            (None, _) if self.leaving => own(self.me),
            (None, _) if group.members.len() < group.size && first == Some(self.me) => None,
            (None, Some(gone)) if first == Some(self.me) => Some(gone),
            _ => return,
        };
        self.regroup_at = now + REGROUP;
        self.calls.push_back(Waiting {
            id: 0,
            change: Change::Regroup { goes, comes },
            since: now,
            first: None,
        });
    }

    /// At the first start of the whole system.
    fn found(&mut self, now: Millis) {
        let incarnation = self.kept.incarnation;
        if !self.is_founder() {
            for seed in self.seeds.clone() {
                if seed != self.me {
                    self.ask(now, seed, Ballot::NONE, Ask::Hello { incarnation });
                }
            }
            return;
        }
        if self.hellos.insert(self.me, incarnation).is_none() {
            self.hello_at = now;
        }
        let seeds = self.seeds.iter().filter(|seed| self.hellos.contains_key(seed)).count();
        if seeds > self.seeds.len() / 2 && now > self.hello_at + FOUNDING {
            let group = Group::founded(std::mem::take(&mut self.hellos));
            let ballot = Ballot { counter: 1, by: self.me, incarnation };
            self.promise(ballot);
            self.adopt(ballot, vec![Arc::new(group.item())]);
            self.outputs.push(Output::Save);
        }
    }
}
