//! One store's part in the group, as a state machine. Time is passed in; what it wants done comes out.
//!
//! A call is carried out in a round: more than half of the group promise to take part in no lower one and tell what
//! stands with them and what they have written down; the call is judged against all that; its items are written down by
//! more than half; then they stand and the call is acknowledged. Two rounds share a store, so the later one sees what the
//! earlier may have achieved, and carries it on.

use crate::messages::{Ask, Ballot, Change, Copied, Kept, Pending, Reply};
use footbridge::{Fault, Kind};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;
use trailmap::{amend, Item, Table, Tables};

/// A point on the caller's steady clock, or a length of time, in milliseconds.
type Millis = f64;
/// Names a call to its caller.
pub type CallId = u64;

/// The name of the group's item.
const CORE: &str = "core";
/// A step of a round that has not come to an end by then has failed: several ways there and back.
const STEP: Millis = 900.0;
/// A call that has waited this long is answered: operators go elsewhere after a second.
const CALL: Millis = 2_600.0;
/// Pause before another round after one was outbid, drawn between these and doubled with each that was outbid since: two
/// ways there and back over the farthest regions have to fit between the rounds of two stores.
const PAUSE: (Millis, Millis) = (40.0, 300.0);
/// Most times that it is doubled.
const DOUBLED: u32 = 3;
/// Items that were written down and not heard to stand are carried on by whoever has them, after a time drawn between
/// these: all that have them begin to wait at once.
const ORPHANED: (Millis, Millis) = (350.0, 1_800.0);
/// Period in which the own items are compared with those of each other store, which also tells who is in touch.
const COMPARE: Millis = 1_000.0;
/// Period of questions by one that lacks its group or its items.
const QUESTION: Millis = 150.0;
/// The group is founded when no new machine has come forward for this long.
const FOUNDING: Millis = 1_200.0;
/// A store that has answered within this time is in touch.
const TOUCH: Millis = 2_500.0;
/// A machine of the group that has answered nothing for this long is gone, if another waits for its place.
const GONE: Millis = 7_000.0;
/// One that waits for a place says so again and again; after this time without it has given up.
const CANDIDATE: Millis = 1_500.0;
/// Pause between two changes of the group: each must stand at all before the next.
const REGROUP: Millis = 1_000.0;
/// Most calls that wait.
const CALLS_MOST: usize = 256;
/// Most machines of a group.
const GROUP_MOST: usize = 31;

/// What a store wants done, in order.
#[derive(Debug)]
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
        result: Result<(), Fault>,
    },
}

struct Waiting {
    id: CallId,
    change: Change,
    since: Millis,
}

struct Promise {
    life: u64,
    pending: Option<Pending>,
    /// What stands there, where it differed from here when that was asked.
    items: Option<Vec<Arc<Item>>>,
}

/// Where the store's own round stands.
enum Round {
    /// There is none.
    Idle,
    /// Promises are gathered; `from` is the last change here when they were asked for.
    Reserving { ballot: Ballot, since: Millis, from: u64, promises: BTreeMap<Ipv4Addr, Promise> },
    /// Items are being written down.
    Writing {
        ballot: Ballot,
        since: Millis,
        from: u64,
        items: Vec<Arc<Item>>,
        written: BTreeSet<Ipv4Addr>,
        calls: Vec<(Waiting, Result<(), Fault>)>,
    },
}

/// How a store's own state stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The whole system starts for the first time: it waits for its group.
    Founding,
    /// Its disk was lost: it gathers what the others keep.
    Rebuilding,
    /// It takes part.
    Member,
    /// Its place in the group was given to another while it was away.
    Outside,
}

/// One store.
pub struct Store {
    me: Ipv4Addr,
    seeds: Vec<Ipv4Addr>,
    bootstrap: bool,
    rng: fastrand::Rng,
    kept: Kept,
    round: Round,
    calls: VecDeque<Waiting>,
    /// The highest counter of a round seen.
    counter: u64,
    /// No round before.
    paused_until: Millis,
    /// Rounds outbid since the last that came to an end.
    outbid: u32,
    /// When what is written down and not known to stand is to be carried on.
    orphaned_at: Option<Millis>,
    number: u64,
    /// Questions that are out: to whom, and of which round.
    asked: BTreeMap<u64, (Ipv4Addr, Ballot)>,
    /// Last answers of others.
    heard: BTreeMap<Ipv4Addr, Millis>,
    /// Machines that came forward, at the founder.
    hellos: BTreeSet<Ipv4Addr>,
    hello_at: Millis,
    copies: BTreeMap<Ipv4Addr, Copied>,
    /// Machines that wait for a place in the group, and when they last said so.
    candidates: BTreeMap<Ipv4Addr, Millis>,
    regroup_at: Millis,
    started: Option<Millis>,
    compare_at: Millis,
    question_at: Millis,
    outputs: Vec<Output>,
}

impl Store {
    /// A store with what its disk held.
    pub fn new(me: Ipv4Addr, seeds: Vec<Ipv4Addr>, bootstrap: bool, kept: Kept, seed: u64) -> Self {
        let counter = kept.promised.counter;
        Self {
            me,
            seeds,
            bootstrap,
            rng: fastrand::Rng::with_seed(seed),
            outbid: 0,
            orphaned_at: None,
            kept,
            round: Round::Idle,
            calls: VecDeque::new(),
            counter,
            paused_until: f64::NEG_INFINITY,
            number: 0,
            asked: BTreeMap::new(),
            heard: BTreeMap::new(),
            hellos: BTreeSet::new(),
            hello_at: f64::INFINITY,
            copies: BTreeMap::new(),
            candidates: BTreeMap::new(),
            regroup_at: f64::NEG_INFINITY,
            started: None,
            compare_at: f64::NEG_INFINITY,
            question_at: f64::NEG_INFINITY,
            outputs: Vec::new(),
        }
    }

    /// What it keeps.
    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    /// How its own state stands.
    pub fn standing(&self) -> Standing {
        if self.kept.whole && self.members().contains(&self.me) {
            Standing::Member
        } else if self.kept.whole {
            Standing::Outside
        } else if self.bootstrap {
            Standing::Founding
        } else {
            Standing::Rebuilding
        }
    }

    /// The machines of the group.
    pub fn members(&self) -> Vec<Ipv4Addr> {
        members(&self.kept.items)
    }

    /// How long ago more than half of the group was surely in touch with it; nothing if not of late.
    pub fn touch(&self, now: Millis) -> Option<Millis> {
        let members = self.members();
        if self.standing() != Standing::Member {
            return None;
        }
        let age = |m: &Ipv4Addr| {
            if *m == self.me {
                0.0
            } else {
                self.heard.get(m).map_or(f64::INFINITY, |at| now - at)
            }
        };
        let mut ages: Vec<Millis> = members.iter().map(age).collect();
        ages.sort_unstable_by(f64::total_cmp);
        Some(ages[members.len() / 2]).filter(|age| *age < TOUCH)
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
                Err(Fault::new(Kind::Unready, "the store rebuilds its state or waits for its group")),
            );
        }
        if self.calls.len() >= CALLS_MOST {
            return self.answer(id, Err(Fault::new(Kind::Late, "too many calls wait")));
        }
        self.calls.push_back(Waiting { id, change, since: now });
        self.begin(now);
    }

    fn answer(&mut self, call: CallId, result: Result<(), Fault>) {
        self.outputs.push(Output::Answer { call, result });
    }

    // As one that is asked.

    /// Another store asks. What must be saved before the answer goes out is among the outputs.
    pub fn asked(&mut self, now: Millis, from: Ipv4Addr, ask: Ask) -> Reply {
        match ask {
            Ask::Hello => self.hello(now, from),
            _ if self.standing() != Standing::Member => Reply::Blank,
            Ask::Join => {
                if self.candidates.len() < GROUP_MOST || self.candidates.contains_key(&from) {
                    self.candidates.insert(from, now);
                }
                Reply::Settled
            }
            Ask::Reserve { ballot, digest } => {
                if ballot <= self.kept.promised {
                    return Reply::Outbid { promised: self.kept.promised };
                }
                self.promise(ballot);
                self.outputs.push(Output::Save);
                let items = self.differs(digest).then(|| self.all());
                Reply::Reserved { life: self.kept.life, pending: self.kept.pending.clone(), items }
            }
            Ask::Write { ballot, life, missing, items } => {
                if ballot < self.kept.promised || life != self.kept.life {
                    return Reply::Outbid { promised: self.kept.promised };
                }
                self.promise(ballot);
                self.stand(missing);
                self.kept.pending = Some(Pending { ballot, items });
                self.orphaned_at = Some(self.orphaned(now));
                self.outputs.push(Output::Save);
                Reply::Written
            }
            Ask::Settle { ballot, items } => {
                self.stand(items);
                if self.kept.pending.as_ref().is_some_and(|pending| pending.ballot <= ballot) {
                    self.kept.pending = None;
                    self.orphaned_at = None;
                }
                Reply::Settled
            }
            Ask::Compare { digest } => {
                Reply::Stands { items: if self.differs(digest) { self.all() } else { Vec::new() } }
            }
            Ask::Copy => Reply::Copied(Box::new(Copied {
                promised: self.kept.promised,
                pending: self.kept.pending.clone(),
                items: self.all(),
            })),
        }
    }

    fn promise(&mut self, ballot: Ballot) {
        self.kept.promised = ballot;
        self.counter = self.counter.max(ballot.counter);
    }

    fn differs(&self, digest: u64) -> bool {
        self.kept.items.digest(Tables::KEPT) != digest
    }

    fn all(&self) -> Vec<Arc<Item>> {
        self.kept.items.all(Tables::KEPT).cloned().collect()
    }

    /// Takes in items that stand.
    fn stand(&mut self, items: Vec<Arc<Item>>) {
        for item in items {
            if Tables::KEPT.contains(item.key.table.set()) {
                self.kept.items.merge_shared(item);
            }
        }
        let Some(pending) = &self.kept.pending else { return };
        let items = &self.kept.items;
        if pending.items.iter().all(|item| items.version(item.key.table, &item.key.name) >= item.version) {
            self.kept.pending = None;
            self.orphaned_at = None;
        }
    }

    /// At the first start of the whole system: the founder gathers machines; whoever has the group tells it.
    fn hello(&mut self, now: Millis, from: Ipv4Addr) -> Reply {
        if let Some(group) = self.kept.items.get(Table::Group, CORE) {
            return if self.members().contains(&from) {
                Reply::Found { group: group.clone() }
            } else {
                Reply::Blank
            };
        }
        if self.is_founder() && self.hellos.len() < GROUP_MOST && self.hellos.insert(from) {
            self.hello_at = now;
        }
        Reply::Blank
    }

    fn is_founder(&self) -> bool {
        self.bootstrap && !self.kept.whole && self.seeds.iter().min() == Some(&self.me)
    }

    // As one that asks.

    /// Begins a round if there is something to do and none is under way.
    fn begin(&mut self, now: Millis) {
        let orphaned = self.kept.pending.is_some() && self.orphaned_at.is_some_and(|at| now > at);
        let idle = matches!(self.round, Round::Idle);
        if !idle
            || now < self.paused_until
            || self.standing() != Standing::Member
            || (self.calls.is_empty() && !orphaned)
        {
            return;
        }
        self.counter += 1;
        let ballot = Ballot { counter: self.counter, by: self.me };
        self.round = Round::Reserving {
            ballot,
            since: now,
            from: self.kept.items.changes(),
            promises: BTreeMap::new(),
        };
        let digest = self.kept.items.digest(Tables::KEPT);
        for member in self.members() {
            self.ask(now, member, ballot, Ask::Reserve { ballot, digest });
        }
    }

    /// Asks a store, also itself.
    fn ask(&mut self, now: Millis, to: Ipv4Addr, ballot: Ballot, ask: Ask) {
        if to == self.me {
            let reply = self.asked(now, to, ask);
            return self.told(now, to, ballot, reply);
        }
        self.number += 1;
        self.asked.insert(self.number, (to, ballot));
        self.outputs.push(Output::Send { to, number: self.number, ask });
    }

    /// An answer to a question has come, or surely none will.
    pub fn replied(&mut self, now: Millis, number: u64, reply: Option<Reply>) {
        let Some((from, ballot)) = self.asked.remove(&number) else { return };
        let Some(reply) = reply else { return };
        self.heard.insert(from, now);
        self.bound_heard();
        self.told(now, from, ballot, reply);
    }

    fn bound_heard(&mut self) {
        // Guards the memory against callers from ever new addresses.
        if self.heard.len() > 4 * GROUP_MOST {
            let members = self.members();
            self.heard.retain(|ip, _| members.contains(ip));
        }
    }

    fn told(&mut self, now: Millis, from: Ipv4Addr, of: Ballot, reply: Reply) {
        match reply {
            Reply::Reserved { life, pending, items } => {
                self.reserved(now, from, of, Promise { life, pending, items })
            }
            Reply::Outbid { promised } => {
                self.counter = self.counter.max(promised.counter);
                if self.ballot() == Some(of) {
                    self.pause(now);
                }
            }
            Reply::Written => self.written(now, from, of),
            Reply::Stands { items } if self.kept.whole => self.stand(items),
            Reply::Copied(copied) if !self.kept.whole => {
                self.copies.insert(from, *copied);
                self.rebuild();
            }
            Reply::Found { group } if self.standing() == Standing::Founding => {
                self.kept.items.merge_shared(group);
                self.kept.whole = true;
                self.outputs.push(Output::Save);
            }
            Reply::Settled | Reply::Stands { .. } | Reply::Copied(_) | Reply::Found { .. } | Reply::Blank => {
            }
        }
    }

    /// The round that is under way.
    fn ballot(&self) -> Option<Ballot> {
        match &self.round {
            Round::Idle => None,
            Round::Reserving { ballot, .. } | Round::Writing { ballot, .. } => Some(*ballot),
        }
    }

    /// Gives a round up; its calls wait for the next.
    fn pause(&mut self, now: Millis) {
        if let Round::Writing { calls, .. } = std::mem::replace(&mut self.round, Round::Idle) {
            for (waiting, _) in calls.into_iter().rev() {
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

    fn reserved(&mut self, now: Millis, from: Ipv4Addr, of: Ballot, promise: Promise) {
        let members = self.members();
        match &mut self.round {
            Round::Reserving { ballot, promises, .. } if *ballot == of => {
                promises.insert(from, promise);
                if promises.len() > members.len() / 2 {
                    self.judge(now);
                }
            }
            Round::Writing { ballot, items, written, from: change, .. }
                if *ballot == of && !written.contains(&from) =>
            {
                let (life, items) = (promise.life, items.clone());
                let missing = missing(&self.kept.items, promise.items.as_deref(), *change);
                self.ask(now, from, of, Ask::Write { ballot: of, life, missing, items });
            }
            _ => {}
        }
    }

    /// More than half take part: judges the calls against all that stands or may.
    fn judge(&mut self, now: Millis) {
        let Round::Reserving { ballot, promises, from, .. } = std::mem::replace(&mut self.round, Round::Idle)
        else {
            return;
        };
        let group = self.members();
        let all: Vec<_> = promises.values().flat_map(|p| p.items.iter().flatten().cloned()).collect();
        self.stand(all);
        if self.members() != group {
            // More than half of another group has to promise.
            return self.begin(now);
        }
        // What the highest of earlier rounds has written down may have been acknowledged: it is carried on. What lower
        // ones have written down was seen by that one, or never came to stand.
        let last = promises.values().filter_map(|p| p.pending.as_ref()).max_by_key(|pending| pending.ballot);
        let mut copy = self.kept.items.clone();
        let mut items: Vec<Arc<Item>> = Vec::new();
        for item in last.iter().flat_map(|pending| &pending.items) {
            if copy.merge_shared(item.clone()) {
                items.push(item.clone());
            }
        }
        let mut calls = Vec::new();
        // A change of the group that may stand is carried on alone: what comes after it is written down by the new one.
        let regroups = |items: &[Arc<Item>]| items.iter().any(|item| item.key.table == Table::Group);
        while let Some(waiting) = self.calls.pop_front() {
            if regroups(&items) {
                self.calls.push_front(waiting);
                break;
            }
            let verdict = match &waiting.change {
                Change::Read => Ok(()),
                Change::Amend(call) => amend(&copy, call).map(|(next, newer)| {
                    copy = next;
                    items.extend(newer.into_iter().map(Arc::new));
                }),
                Change::Drain { zone, on } => {
                    if copy.body(Table::Drains, zone).is_some() != *on {
                        let version = copy.version(Table::Drains, zone) + 1;
                        let item = Arc::new(Item::new(Table::Drains, zone, version, on.then(|| json!({}))));
                        copy.merge_shared(item.clone());
                        items.push(item);
                    }
                    Ok(())
                }
                Change::Regroup { gone, comes } => {
                    if !items.is_empty() {
                        self.calls.push_front(waiting);
                        break;
                    }
                    if let Some(item) = regrouped(&copy, *gone, *comes).map(Arc::new) {
                        copy.merge_shared(item.clone());
                        items.push(item);
                    }
                    Ok(())
                }
                Change::Duty { name, holder } => {
                    let epoch = copy.version(Table::Duties, name) + 1;
                    let item =
                        Arc::new(Item::new(Table::Duties, name, epoch, Some(json!({ "holder": holder }))));
                    copy.merge_shared(item.clone());
                    items.push(item);
                    Ok(())
                }
            };
            calls.push((waiting, verdict));
        }
        if items.is_empty() {
            // An empty round of an earlier one may be left; nothing in it is owed.
            if self.kept.pending.as_ref().is_some_and(|pending| pending.ballot < ballot) {
                self.kept.pending = None;
                self.orphaned_at = None;
            }
            return self.conclude(now, calls);
        }
        // Of two items of one name the newer is enough.
        items.retain(|item| copy.version(item.key.table, &item.key.name) == item.version);
        let reserved: Vec<(Ipv4Addr, u64, Vec<Arc<Item>>)> = promises
            .iter()
            .map(|(to, p)| (*to, p.life, missing(&self.kept.items, p.items.as_deref(), from)))
            .collect();
        let written = BTreeSet::new();
        self.round = Round::Writing { ballot, since: now, from, items: items.clone(), written, calls };
        for (to, life, missing) in reserved {
            self.ask(now, to, ballot, Ask::Write { ballot, life, missing, items: items.clone() });
        }
    }

    fn written(&mut self, now: Millis, from: Ipv4Addr, of: Ballot) {
        let half = self.members().len() / 2;
        match &mut self.round {
            Round::Writing { ballot, written, .. } if *ballot == of => {
                written.insert(from);
                if written.len() <= half {
                    return;
                }
            }
            _ => return,
        }
        let Round::Writing { ballot, items, calls, .. } = std::mem::replace(&mut self.round, Round::Idle)
        else {
            return;
        };
        for member in self.members() {
            self.ask(now, member, ballot, Ask::Settle { ballot, items: items.clone() });
        }
        self.conclude(now, calls);
    }

    fn conclude(&mut self, now: Millis, calls: Vec<(Waiting, Result<(), Fault>)>) {
        self.outbid = 0;
        for (waiting, verdict) in calls {
            self.answer(waiting.id, verdict);
        }
        self.begin(now);
    }

    // Time.

    /// Time has passed.
    pub fn tick(&mut self, now: Millis) {
        if let Round::Reserving { since, .. } | Round::Writing { since, .. } = &self.round {
            if now > since + STEP {
                self.pause(now);
            }
        }
        while self.calls.front().is_some_and(|waiting| now > waiting.since + CALL) {
            if let Some(waiting) = self.calls.pop_front() {
                self.answer(
                    waiting.id,
                    Err(Fault::new(Kind::NoMajority, "more than half of the core can't be reached")),
                );
            }
        }
        if self.kept.pending.is_some() && self.orphaned_at.is_none() {
            self.orphaned_at = Some(self.orphaned(now));
        }
        self.started.get_or_insert(now);
        self.regroup(now);
        self.begin(now);
        // Questions that nothing came of.
        while self.asked.len() > 1024 {
            self.asked.pop_first();
        }
        match self.standing() {
            Standing::Member if now >= self.compare_at => {
                self.compare_at = now + COMPARE * (0.8 + 0.4 * self.rng.f64());
                let others: Vec<_> = self.members().into_iter().filter(|m| *m != self.me).collect();
                for other in others {
                    let digest = self.kept.items.digest(Tables::KEPT);
                    self.ask(now, other, Ballot::NONE, Ask::Compare { digest });
                }
            }
            Standing::Founding if now >= self.question_at => {
                self.question_at = now + QUESTION;
                self.found(now);
            }
            Standing::Outside => {
                // What it promised was to a group that it is no part of: it waits for a place as a new machine does.
                let items = std::mem::take(&mut self.kept.items);
                self.kept = Kept::new(self.rng.u64(1..));
                if let Some(group) = items.get(Table::Group, CORE) {
                    self.kept.items.merge_shared(group.clone());
                }
                self.round = Round::Idle;
                self.bootstrap = false;
                self.outputs.push(Output::Save);
            }
            Standing::Rebuilding if now >= self.question_at => {
                self.question_at = now + 2.0 * QUESTION;
                let known = self.copies.values().flat_map(|copied| &copied.items);
                let group = known.filter(|i| i.key.table == Table::Group).max_by_key(|i| i.version);
                let mut sources = group.map(|group| named(group)).unwrap_or_default();
                sources.extend(&self.seeds);
                sources.sort_unstable();
                sources.dedup();
                sources.retain(|source| *source != self.me);
                let known = self.copies.values().flat_map(|copied| &copied.items);
                let group = known.filter(|i| i.key.table == Table::Group).max_by_key(|i| i.version);
                let placed = group.is_none_or(|group| named(group).contains(&self.me));
                for source in sources {
                    self.ask(now, source, Ballot::NONE, Ask::Copy);
                    if !placed {
                        self.ask(now, source, Ballot::NONE, Ask::Join);
                    }
                }
            }
            _ => {}
        }
    }

    /// Gives the place of a machine that is gone to one that waits, in two rounds: with one machine more or less, any two
    /// majorities before and after still share one. The first of those that answer does it.
    fn regroup(&mut self, now: Millis) {
        self.candidates.retain(|_, said| now < *said + CANDIDATE);
        if self.candidates.is_empty() || now < self.regroup_at || self.touch(now).is_none() {
            return;
        }
        let members = self.members();
        let heard = |m: &Ipv4Addr| {
            let at = self.heard.get(m).copied().unwrap_or(f64::NEG_INFINITY);
            if *m == self.me {
                now
            } else {
                at.max(self.started.unwrap_or(now))
            }
        };
        if members.iter().filter(|m| now < heard(m) + TOUCH).min() != Some(&self.me) {
            return;
        }
        let free = members.len() < size(&self.kept.items);
        let gone =
            members.iter().filter(|m| now > heard(m) + GONE).min_by(|a, b| heard(a).total_cmp(&heard(b)));
        let comes = self.candidates.keys().find(|c| !members.contains(c));
        let change = match (free, gone, comes) {
            (true, _, Some(comes)) => Change::Regroup { gone: None, comes: Some(*comes) },
            (false, Some(gone), Some(_)) => Change::Regroup { gone: Some(*gone), comes: None },
            _ => return,
        };
        self.regroup_at = now + REGROUP;
        self.calls.push_back(Waiting { id: 0, change, since: now });
    }

    /// At the first start of the whole system.
    fn found(&mut self, now: Millis) {
        if self.is_founder() {
            if self.hellos.insert(self.me) {
                self.hello_at = now;
            }
            let seeds = self.seeds.iter().filter(|s| self.hellos.contains(s)).count();
            if seeds > self.seeds.len() / 2 && now > self.hello_at + FOUNDING {
                let body = json!({ "members": self.hellos, "size": self.hellos.len() });
                self.kept.items.merge(Item::new(Table::Group, CORE, 1, Some(body)));
                self.kept.whole = true;
                self.outputs.push(Output::Save);
            }
            return;
        }
        for seed in self.seeds.clone() {
            if seed != self.me {
                self.ask(now, seed, Ballot::NONE, Ask::Hello);
            }
        }
    }

    /// With a disk that was lost: takes part again when it has copies of so many others that each majority that ever
    /// wrote anything down, less all whose disks were lost, is among them.
    fn rebuild(&mut self) {
        let all = || self.copies.values().flat_map(|copied| &copied.items);
        let Some(group) = all().filter(|i| i.key.table == Table::Group).max_by_key(|i| i.version) else {
            return;
        };
        let members = named(group);
        let needed = members.len() - members.len() / 2;
        let copies: Vec<_> =
            self.copies.iter().filter(|(ip, _)| members.contains(ip)).map(|(_, c)| c).collect();
        if !members.contains(&self.me) || copies.len() < needed {
            return;
        }
        let promised = copies.iter().map(|c| c.promised).max().unwrap_or(Ballot::NONE);
        let pending = copies.iter().filter_map(|c| c.pending.clone()).max_by_key(|p| p.ballot);
        let items: Vec<_> = copies.iter().flat_map(|c| c.items.iter().cloned()).collect();
        self.promise(promised);
        self.kept.pending = pending;
        self.orphaned_at = None;
        self.stand(items);
        self.kept.whole = true;
        self.copies.clear();
        self.outputs.push(Output::Save);
    }
}

/// The items of a copy that another lacks: by what the other told where it differed, else what has come since.
fn missing(own: &trailmap::Items, told: Option<&[Arc<Item>]>, since: u64) -> Vec<Arc<Item>> {
    let Some(told) = told else { return own.since(since, Tables::KEPT) };
    let mut other = trailmap::Items::default();
    for item in told {
        other.merge_shared(item.clone());
    }
    own.lacking_in(&other, Tables::KEPT)
}

/// The group with one machine less or more, if that is one step from what stands.
fn regrouped(copy: &trailmap::Items, gone: Option<Ipv4Addr>, comes: Option<Ipv4Addr>) -> Option<Item> {
    let (mut members, size) = (members(copy), size(copy));
    match (gone, comes) {
        (Some(gone), None) if members.len() == size && members.contains(&gone) => {
            members.retain(|m| *m != gone)
        }
        (None, Some(comes)) if members.len() < size && !members.contains(&comes) => members.push(comes),
        _ => return None,
    }
    members.sort_unstable();
    let version = copy.version(Table::Group, CORE) + 1;
    Some(Item::new(Table::Group, CORE, version, Some(json!({ "members": members, "size": size }))))
}

/// How many machines the group was founded with.
fn size(items: &trailmap::Items) -> usize {
    let size =
        items.body(Table::Group, CORE).and_then(|body| body.get("size")).and_then(serde_json::Value::as_u64);
    size.map_or_else(|| members(items).len(), |size| size as usize)
}

fn named(group: &Item) -> Vec<Ipv4Addr> {
    let members = group.body.as_ref().and_then(|body| body.get("members")).cloned().unwrap_or_default();
    serde_json::from_value(members).unwrap_or_default()
}

fn members(items: &trailmap::Items) -> Vec<Ipv4Addr> {
    items.get(Table::Group, CORE).map(|group| named(group)).unwrap_or_default()
}
