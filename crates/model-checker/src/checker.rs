//! The invariants, by name, and the checker that judges a run by them.

use crate::adapter::{self, ClientCall};
use crate::linearizability::{search, Confirmation, Entry, Operation, SearchResult};
use ivygate_config_store::{Ballot, CommandId, Store};
use ivygate_control_state::{check_config, Item, Items, Key, Table, Tables};
use ivygate_rpc::{ErrorKind, RpcError};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

/// Most entries of a history that are told of a violation.
const MAX_DESCRIBED_ENTRIES: usize = 40;

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Two contents of one item and number never both stand, anywhere, over all time.
    Agreement,
    /// What was acknowledged is in each read that begins after.
    AcknowledgedStays,
    /// What stands in a replica is sound as a whole.
    Soundness,
    /// Two calls for a role are never told one epoch, nor one of another's holder, nor a lower one later.
    EpochsNeverShared,
    /// A store is in contact only as long as a quorum could have answered what it asked within that time.
    NoServingWithoutContact,
    /// One machine has one place in a membership.
    OnePlaceEach,
    /// After a loss within what the membership bears all take part again and calls are carried out.
    LossIsBorne,
    /// What nobody owes any more never comes to stand.
    NothingReturns,
    /// No two contents are confirmed under one version.
    OneContentANumber,
    /// Each item's history is linearizable.
    Linearizable,
}

impl Invariant {
    /// All, with their names.
    pub const ALL: [(&'static str, Self); 10] = [
        ("agreement", Self::Agreement),
        ("acknowledged-stays", Self::AcknowledgedStays),
        ("soundness", Self::Soundness),
        ("epochs-never-shared", Self::EpochsNeverShared),
        ("no-serving-without-contact", Self::NoServingWithoutContact),
        ("one-place-each", Self::OnePlaceEach),
        ("loss-is-borne", Self::LossIsBorne),
        ("nothing-returns", Self::NothingReturns),
        ("one-content-a-number", Self::OneContentANumber),
        ("linearizable", Self::Linearizable),
    ];

    /// Its name.
    pub fn name(self) -> &'static str {
        Self::ALL.iter().find(|(_, known)| *known == self).map_or("", |(name, _)| name)
    }
}

/// An invariant that did not hold.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Which.
    pub invariant: Invariant,
    /// What was seen.
    pub what: String,
    /// When, in milliseconds of the run.
    pub at: f64,
}

/// A call of an operator or a registry.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The store that was called.
    pub store: usize,
    /// What for.
    pub op: ClientCall,
    /// When it began.
    pub begin: f64,
    /// When it was answered.
    pub end: f64,
    /// What it was told; `None` if nothing was.
    pub confirmation: Option<Result<(), ErrorKind>>,
    /// What a read gave.
    read: Option<Items>,
    /// What was acknowledged when it began.
    floor: BTreeMap<Key, u64>,
    /// The highest epochs that were told when it began.
    epochs: BTreeMap<String, u64>,
}

/// What is known of an item at a version that a round was to write down.
#[derive(Clone, Debug)]
struct Proposed {
    body: Arc<Item>,
    last: Ballot,
    /// The round that stood and excludes it.
    dead: Option<Ballot>,
}

/// Judges a run, step by step.
#[derive(Clone, Debug, Default)]
pub struct InvariantChecker {
    /// The first invariant that did not hold.
    pub violation: Option<Violation>,
    /// Invariants that are looked past.
    pub ignored: BTreeSet<Invariant>,
    /// Histories that the search could not decide.
    pub undecided: u64,
    stood: BTreeMap<(Key, u64), Arc<Item>>,
    seen: BTreeMap<usize, u64>,
    sound: BTreeSet<u64>,
    /// The calls.
    pub calls: BTreeMap<CommandId, CallRecord>,
    acknowledged: BTreeMap<Key, u64>,
    confirmed: BTreeMap<(Key, u64), u64>,
    epochs: BTreeMap<(String, u64), CommandId>,
    highest: BTreeMap<String, u64>,
    proposed: BTreeMap<(Key, u64), Vec<Proposed>>,
    /// When the last request went out that a member answered: of asker and answerer.
    contact: BTreeMap<(usize, usize), f64>,
}

impl InvariantChecker {
    /// One that looks past some invariants.
    pub fn ignored(ignored: &BTreeSet<Invariant>) -> Self {
        Self { ignored: ignored.clone(), ..Self::default() }
    }

    fn breaks(&mut self, now: f64, invariant: Invariant, what: String) {
        if self.violation.is_none() && !self.ignored.contains(&invariant) {
            self.violation = Some(Violation { invariant, what, at: now });
        }
    }

    /// Items stand somewhere, or are said to.
    pub fn check_chosen(&mut self, now: f64, place: &str, items: &[Arc<Item>]) {
        for item in items {
            let known = self.stood.entry((item.key.clone(), item.version)).or_insert_with(|| item.clone());
            if known.body != item.body {
                let what = format!(
                    "{:?} '{}' at {}: {:?} at {place}, and {:?} stood before",
                    item.key.table, item.key.name, item.version, item.body, known.body
                );
                self.breaks(now, Invariant::Agreement, what);
            }
            if item.key.table == Table::Membership {
                let members = adapter::members_of(item);
                if members.iter().collect::<BTreeSet<_>>().len() < members.len() {
                    self.breaks(now, Invariant::OnePlaceEach, format!("{members:?} at {place}"));
                }
            }
            if let Some(proposed) = self.proposed.get(&(item.key.clone(), item.version)) {
                if proposed.iter().any(|p| p.dead.is_some() && p.body.body == item.body) {
                    let what = format!(
                        "{:?} '{}' at {} stands at {place}, though a round stood that excludes it and nobody asked again",
                        item.key.table, item.key.name, item.version
                    );
                    self.breaks(now, Invariant::NothingReturns, what);
                }
            }
        }
    }

    /// A store has started: nothing of it is known.
    pub fn started(&mut self, n: usize) {
        self.seen.remove(&n);
        self.contact.retain(|(asker, _), _| *asker != n);
    }

    /// A store has taken a step.
    pub fn check_step(&mut self, now: f64, n: usize, store: &Store) {
        let items = &store.state().items;
        let seen = self.seen.entry(n).or_insert(0);
        if *seen == items.last_change() {
            return;
        }
        let since = if *seen > items.last_change() { 0 } else { *seen };
        *seen = items.last_change();
        let newer = items.changes_since(since, Tables::DURABLE);
        self.check_chosen(now, &format!("store {n}"), &newer);
        if newer.iter().any(|item| Tables::CONFIG.contains(item.key.table.set()))
            && self.sound.insert(items.digest(Tables::CONFIG))
        {
            if let Err(fault) = check_config(items) {
                self.breaks(now, Invariant::Soundness, format!("store {n} holds: {fault}"));
            }
        }
    }

    /// A round's items are to be written down, by a store that judged them.
    pub fn note_proposal(&mut self, now: f64, n: usize, ballot: Ballot, items: &[Arc<Item>]) {
        // What is remembered of versions goes with the item that it is about.
        for item in items.iter().filter(|item| item.key.table != Table::VersionHistory) {
            let owed = self.calls.values().any(|call| {
                call.store == n && call.confirmation.is_none() && call.op.key().as_ref() == Some(&item.key)
            }) || matches!(item.key.table, Table::Membership | Table::Backends);
            let all = self.proposed.entry((item.key.clone(), item.version)).or_default();
            match all.iter_mut().find(|known| known.body.body == item.body) {
                None => all.push(Proposed { body: item.clone(), last: ballot, dead: None }),
                // In a lower round than the one that excludes it, it can't come to stand: a quorum promised.
                Some(known) if known.last >= ballot || known.dead.is_some_and(|by| ballot < by) => {}
                Some(known) if known.dead.is_none() || owed => (known.last, known.dead) = (ballot, None),
                Some(_) => {
                    let what = format!(
                        "store {n} writes {:?} '{}' at {} down in {ballot:?}, though a round stood that excludes it \
                         and nobody asked again",
                        item.key.table, item.key.name, item.version
                    );
                    self.breaks(now, Invariant::NothingReturns, what);
                }
            }
        }
    }

    /// A round has come to stand, with all that its store holds.
    pub fn note_chosen(&mut self, ballot: Ballot, items: &Items) {
        for ((key, version), all) in &mut self.proposed {
            for known in all.iter_mut().filter(|known| known.last < ballot) {
                if items.version(key.table, &key.name) < *version {
                    known.dead = Some(ballot);
                }
            }
        }
    }

    /// A request of a store was answered by a member, and the answer has come.
    pub fn contact(&mut self, asker: usize, answerer: usize, asked: f64) {
        let last = self.contact.entry((asker, answerer)).or_insert(asked);
        *last = last.max(asked);
    }

    /// A store says how long ago it was in contact.
    pub fn check_contact(&mut self, now: f64, n: usize, members: &[usize], age: Option<f64>) {
        let Some(age) = age else { return };
        let mut ages: Vec<f64> =
            members
                .iter()
                .map(|m| {
                    if *m == n {
                        0.0
                    } else {
                        self.contact.get(&(n, *m)).map_or(f64::INFINITY, |at| now - at)
                    }
                })
                .collect();
        ages.sort_unstable_by(f64::total_cmp);
        let truth = ages.get(members.len() / 2).copied().unwrap_or(f64::INFINITY);
        if truth > age + 1.0 {
            let what = format!(
                "store {n} says it was in touch {age:.0} ms ago; more than half can have answered what it asked \
                 {truth:.0} ms ago at best"
            );
            self.breaks(now, Invariant::NoServingWithoutContact, what);
        }
    }

    /// A call begins.
    pub fn record_call(&mut self, now: f64, id: CommandId, store: usize, op: ClientCall) {
        let record = CallRecord {
            store,
            op,
            begin: now,
            end: f64::INFINITY,
            confirmation: None,
            read: None,
            floor: self.acknowledged.clone(),
            epochs: self.highest.clone(),
        };
        self.calls.insert(id, record);
    }

    /// A call that no answer can come to any more.
    pub fn drop_calls(&mut self, store: usize) {
        for call in self.calls.values_mut().filter(|call| call.store == store && call.confirmation.is_none())
        {
            call.confirmation = Some(Err(ErrorKind::Unreachable));
        }
    }

    /// A call is answered, with what was read, while its store holds these items.
    pub fn answered(
        &mut self,
        now: f64,
        id: CommandId,
        result: &Result<(), RpcError>,
        read: Option<&Items>,
        items: &Items,
    ) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.confirmation.is_some() {
            return;
        }
        call.end = now;
        call.confirmation = Some(result.clone().map_err(|fault| fault.kind));
        if result.is_err() {
            return;
        }
        if call.op == ClientCall::Read {
            call.read = read.cloned();
        }
        let call = call.clone();
        let items = read.unwrap_or(items);
        self.check_acknowledged(now, id, &call, items);
        self.note_acknowledged(now, &call, items);
    }

    /// A confirmed call must be judged with everything that was acknowledged before it began.
    fn check_acknowledged(&mut self, now: f64, id: CommandId, call: &CallRecord, items: &Items) {
        for (key, version) in &call.floor {
            if items.version(key.table, &key.name) < *version {
                let what = format!(
                    "call {id} at store {} began at {:.0} ms and is confirmed without {:?} '{}' at {version}, which was \
                     acknowledged before; it holds {}",
                    call.store, call.begin, key.table, key.name, items.version(key.table, &key.name)
                );
                self.breaks(now, Invariant::AcknowledgedStays, what);
            }
        }
    }

    /// Later calls must see what this confirmed call wrote, and nothing else under its version.
    fn note_acknowledged(&mut self, now: f64, call: &CallRecord, items: &Items) {
        let number = match &call.op {
            ClientCall::Put { number, content, .. } => Some((*number, *content)),
            ClientCall::Remove { number, .. } => Some((*number, 0)),
            _ => None,
        };
        if let (Some((number, content)), Some(key)) = (number, call.op.key()) {
            let before = *self.confirmed.entry((key.clone(), number)).or_insert(content);
            if before != content {
                let what =
                    format!("'{}' at {number} is confirmed with {before} and with {content}", key.name);
                self.breaks(now, Invariant::OneContentANumber, what);
            }
            let floor = self.acknowledged.entry(key).or_insert(0);
            *floor = (*floor).max(number);
        } else if let (ClientCall::Drain { .. }, Some(key)) = (&call.op, call.op.key()) {
            // Its version is what stands: at least that was acknowledged.
            let version = items.version(key.table, &key.name);
            let floor = self.acknowledged.entry(key).or_insert(0);
            *floor = (*floor).max(version);
        }
    }

    /// A registry is told the epoch of a role.
    pub fn check_epoch(&mut self, now: f64, id: CommandId, epoch: u64) {
        let Some(call) = self.calls.get(&id).cloned() else { return };
        let ClientCall::Duty { name, holder } = &call.op else { return };
        if let Some(other) = self.epochs.insert((name.clone(), epoch), id) {
            if other != id {
                let what = format!("calls {other} and {id} are both told epoch {epoch} of '{name}'");
                self.breaks(now, Invariant::EpochsNeverShared, what);
            }
        }
        if call.epochs.get(name).is_some_and(|before| *before >= epoch) {
            let what = format!("call {id} is told epoch {epoch} of '{name}', after a higher one was told");
            self.breaks(now, Invariant::EpochsNeverShared, what);
        }
        let key = Key { table: Table::SingletonRoles, name: name.clone() };
        if let Some(item) = self.stood.get(&(key.clone(), epoch)) {
            if adapter::holder(item) != Some(*holder) {
                let what = format!(
                    "call {id} of {holder} is told epoch {epoch} of '{name}', which is {:?}",
                    item.body
                );
                self.breaks(now, Invariant::EpochsNeverShared, what);
            }
        }
        let highest = self.highest.entry(name.clone()).or_insert(0);
        *highest = (*highest).max(epoch);
        let floor = self.acknowledged.entry(key).or_insert(0);
        *floor = (*floor).max(epoch);
    }

    /// What tells two runs apart to which the same may still happen.
    pub fn facts(&self) -> impl fmt::Debug + '_ {
        let digest = |items: &Items| items.digest(Tables::DURABLE);
        let calls: Vec<_> = self
            .calls
            .values()
            .map(|call| (&call.confirmation, call.read.as_ref().map(digest), &call.floor, &call.epochs))
            .collect();
        let proposed: Vec<_> = self
            .proposed
            .iter()
            .flat_map(|(key, all)| {
                all.iter().map(move |known| (key, &known.body.body, known.last, known.dead))
            })
            .collect();
        let stood: Vec<_> = self.stood.iter().map(|(key, item)| (key, &item.body)).collect();
        (calls, proposed, stood, &self.epochs, &self.contact)
    }

    /// Whether a replica holds all that was acknowledged.
    pub fn holds_all(&self, items: &Items) -> bool {
        self.acknowledged.iter().all(|(key, version)| items.version(key.table, &key.name) >= *version)
    }

    /// What was acknowledged and a replica lacks.
    pub fn lacks(&self, items: &Items) -> Vec<String> {
        self.acknowledged
            .iter()
            .filter(|(key, version)| items.version(key.table, &key.name) < **version)
            .map(|(key, version)| format!("{:?} '{}' at {version}", key.table, key.name))
            .collect()
    }

    /// A loss was not borne.
    pub fn report_unavailable(&mut self, now: f64, what: String) {
        self.breaks(now, Invariant::LossIsBorne, what);
    }

    /// An end at which all must hold what was acknowledged.
    pub fn lost(&mut self, now: f64, what: String) {
        self.breaks(now, Invariant::AcknowledgedStays, what);
    }

    /// The run is over: each item's history is searched for an order that explains it.
    pub fn ended(&mut self, now: f64, steps: usize) {
        for (key, history) in self.histories() {
            match search(&history, steps) {
                SearchResult::Order => {}
                SearchResult::Undecided => self.undecided += 1,
                SearchResult::None => {
                    let what = format!(
                        "no order explains {:?} '{}': {}",
                        key.table,
                        key.name,
                        describe_history(&history)
                    );
                    self.breaks(now, Invariant::Linearizable, what);
                }
            }
        }
    }

    /// The history of each item that a call was about.
    fn histories(&self) -> BTreeMap<Key, Vec<Entry>> {
        let mut histories: BTreeMap<Key, Vec<Entry>> = BTreeMap::new();
        for call in self.calls.values() {
            if let Some(key) = call.op.key().filter(|key| key.table != Table::SingletonRoles) {
                histories.entry(key).or_default();
            }
        }
        for call in self.calls.values() {
            if let Some(read) = &call.read {
                for (key, history) in &mut histories {
                    let operation = read_operation(key, read);
                    history.push(Entry { begin: call.begin, end: call.end, operation });
                }
                continue;
            }
            let Some(key) = call.op.key() else { continue };
            let Some(operation) = write_operation(call) else { continue };
            if let Some(history) = histories.get_mut(&key) {
                history.push(Entry { begin: call.begin, end: call.end, operation });
            }
        }
        histories
    }
}

/// What a read found of one item.
fn read_operation(key: &Key, read: &Items) -> Operation {
    let item = read.get(key.table, &key.name);
    match key.table {
        Table::Drains => Operation::ReadSwitch(item.is_some_and(|item| item.body.is_some())),
        _ => Operation::Read(
            item.map_or(0, |item| item.version),
            item.map_or(0, |item| adapter::content(item)),
        ),
    }
}

/// What a call wrote or may have written; `None` for one that can have written nothing that is searched.
fn write_operation(call: &CallRecord) -> Option<Operation> {
    let confirmation = match &call.confirmation {
        Some(Ok(())) => Confirmation::Confirmed,
        Some(Err(ErrorKind::Conflict | ErrorKind::VersionForgotten)) => Confirmation::Refused,
        // Refused as unsound: it took effect nowhere.
        Some(Err(ErrorKind::Invalid | ErrorKind::Malformed)) => return None,
        _ => Confirmation::Unclear,
    };
    match &call.op {
        ClientCall::Put { number, content, .. } => Some(Operation::Put(*number, *content, confirmation)),
        ClientCall::Remove { number, .. } => Some(Operation::Put(*number, 0, confirmation)),
        ClientCall::Drain { on, .. } => Some(Operation::Switch(*on, confirmation)),
        ClientCall::Duty { .. } | ClientCall::Read => None,
    }
}

fn describe_history(history: &[Entry]) -> String {
    let entry = |e: &Entry| format!("[{:.0}, {:.0}] {:?}", e.begin, e.end, e.operation);
    let lines: Vec<String> = history.iter().take(MAX_DESCRIBED_ENTRIES).map(entry).collect();
    lines.join("; ")
}
