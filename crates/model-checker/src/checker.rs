//! The invariants and the checker that verifies them during a run.

use crate::adapter::{self, ClientCall};
use crate::linearizability::{search, Confirmation, Entry, Operation, SearchResult};
use ivygate_config_store::{Ballot, CommandId, Store};
use ivygate_control_state::{check_config, Item, Items, Key, Table, Tables};
use ivygate_rpc::{ErrorKind, RpcError};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

/// Maximum number of history entries included in the description of a violation.
const MAX_DESCRIBED_ENTRIES: usize = 40;

/// An invariant of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// No two contents are ever chosen for one version of an item, on any replica at any time.
    Agreement,
    /// Acknowledged items are included in every read that begins afterwards.
    Durability,
    /// The configuration in a replica is valid as a whole.
    Validity,
    /// No two calls for a role receive the same epoch or an epoch held by another registry, and later calls receive
    /// higher epochs.
    UniqueEpochs,
    /// A store reports contact of a certain age only if a quorum could have answered requests sent since then.
    ContactAge,
    /// A machine occurs at most once in a membership.
    UniqueMembers,
    /// After tolerated faults, all members take part again and execute calls.
    Recovery,
    /// A proposal excluded by a chosen round is never chosen unless it is requested again.
    NoResurrection,
    /// No two contents are confirmed under one version of an item.
    OneContentPerVersion,
    /// Each item's history is linearizable.
    Linearizable,
}

impl Invariant {
    /// All invariants with their names.
    pub const ALL: [(&'static str, Self); 10] = [
        ("agreement", Self::Agreement),
        ("acknowledged-stays", Self::Durability),
        ("soundness", Self::Validity),
        ("epochs-never-shared", Self::UniqueEpochs),
        ("no-serving-without-contact", Self::ContactAge),
        ("one-place-each", Self::UniqueMembers),
        ("loss-is-borne", Self::Recovery),
        ("nothing-returns", Self::NoResurrection),
        ("one-content-a-number", Self::OneContentPerVersion),
        ("linearizable", Self::Linearizable),
    ];

    /// Returns the invariant's name.
    pub fn name(self) -> &'static str {
        Self::ALL.iter().find(|(_, existing)| *existing == self).map_or("", |(name, _)| name)
    }
}

/// A violation of an invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// A description of the violation.
    pub description: String,
    /// The time of the violation in the run, in milliseconds.
    pub at: f64,
}

/// The record of an operator's or a registry's call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The called store.
    pub store: usize,
    /// The call.
    pub request: ClientCall,
    /// The time at which the call began.
    pub started_at: f64,
    /// The time at which the call was answered.
    pub ended_at: f64,
    /// The result of the call; `None` if it was not answered.
    pub result: Option<Result<(), ErrorKind>>,
    /// The items returned by a read.
    read: Option<Items>,
    /// The versions that were acknowledged when the call began.
    acknowledged_at_start: BTreeMap<Key, u64>,
    /// The highest epochs that had been returned when the call began.
    highest_epochs_at_start: BTreeMap<String, u64>,
}

/// An item at a version that was proposed in a round.
#[derive(Clone, Debug)]
struct Proposed {
    item: Arc<Item>,
    last: Ballot,
    /// The chosen round that excludes it.
    excluded_by: Option<Ballot>,
}

/// Checks the invariants at each step of a run.
#[derive(Clone, Debug, Default)]
pub struct InvariantChecker {
    /// The first violation.
    pub violation: Option<Violation>,
    /// Invariants that are not checked.
    pub ignored: BTreeSet<Invariant>,
    /// The number of histories whose linearizability was not decided.
    pub undecided: u64,
    chosen: BTreeMap<(Key, u64), Arc<Item>>,
    last_checked_change: BTreeMap<usize, u64>,
    valid_digests: BTreeSet<u64>,
    /// The records of all calls.
    pub calls: BTreeMap<CommandId, CallRecord>,
    acknowledged: BTreeMap<Key, u64>,
    confirmed: BTreeMap<(Key, u64), u64>,
    epochs: BTreeMap<(String, u64), CommandId>,
    highest_epochs: BTreeMap<String, u64>,
    proposed: BTreeMap<(Key, u64), Vec<Proposed>>,
    /// The time at which the last answered request was sent, by requester and replier.
    last_contact: BTreeMap<(usize, usize), f64>,
}

impl InvariantChecker {
    /// Creates a checker that ignores some invariants.
    pub fn ignored(ignored: &BTreeSet<Invariant>) -> Self {
        Self { ignored: ignored.clone(), ..Self::default() }
    }

    fn report(&mut self, now: f64, invariant: Invariant, description: String) {
        if self.violation.is_none() && !self.ignored.contains(&invariant) {
            self.violation = Some(Violation { invariant, description, at: now });
        }
    }

    /// Checks items that are chosen according to a source, which is a store or a message.
    pub fn check_chosen(&mut self, now: f64, source: &str, items: &[Arc<Item>]) {
        for item in items {
            let existing =
                self.chosen.entry((item.key.clone(), item.version)).or_insert_with(|| item.clone());
            if existing.body != item.body {
                let description = format!(
                    "{:?} '{}' at {}: {:?} is chosen according to {source}, but {:?} was chosen before",
                    item.key.table, item.key.name, item.version, item.body, existing.body
                );
                self.report(now, Invariant::Agreement, description);
            }
            if item.key.table == Table::Membership {
                let members = adapter::members_of(item);
                if members.iter().collect::<BTreeSet<_>>().len() < members.len() {
                    self.report(now, Invariant::UniqueMembers, format!("{members:?} according to {source}"));
                }
            }
            if let Some(proposed) = self.proposed.get(&(item.key.clone(), item.version)) {
                if proposed.iter().any(|p| p.excluded_by.is_some() && p.item.body == item.body) {
                    let description = format!(
                        "{:?} '{}' at {} is chosen according to {source} although a chosen round excludes it and it was not requested again",
                        item.key.table, item.key.name, item.version
                    );
                    self.report(now, Invariant::NoResurrection, description);
                }
            }
        }
    }

    /// Records that a store has started, which discards what was known about it.
    pub fn record_start(&mut self, n: usize) {
        self.last_checked_change.remove(&n);
        self.last_contact.retain(|(requester, _), _| *requester != n);
    }

    /// Checks a store's items after a step.
    pub fn check_step(&mut self, now: f64, n: usize, store: &Store) {
        let items = &store.state().items;
        let last_checked = self.last_checked_change.entry(n).or_insert(0);
        if *last_checked == items.last_change() {
            return;
        }
        let since = if *last_checked > items.last_change() { 0 } else { *last_checked };
        *last_checked = items.last_change();
        let newer = items.changes_since(since, Tables::DURABLE);
        self.check_chosen(now, &format!("store {n}"), &newer);
        if newer.iter().any(|item| Tables::CONFIG.contains(item.key.table.set()))
            && self.valid_digests.insert(items.digest(Tables::CONFIG))
        {
            if let Err(error) = check_config(items) {
                self.report(now, Invariant::Validity, format!("store {n} is invalid: {error}"));
            }
        }
    }

    /// Records the items of a proposal by the store that evaluated them.
    pub fn record_proposal(&mut self, now: f64, n: usize, ballot: Ballot, items: &[Arc<Item>]) {
        // Version histories are left out, since they accompany the items they describe.
        for item in items.iter().filter(|item| item.key.table != Table::VersionHistory) {
            let is_pending = self.calls.values().any(|call| {
                call.store == n && call.result.is_none() && call.request.key().as_ref() == Some(&item.key)
            }) || matches!(item.key.table, Table::Membership | Table::Backends);
            let proposals = self.proposed.entry((item.key.clone(), item.version)).or_default();
            match proposals.iter_mut().find(|existing| existing.item.body == item.body) {
                None => proposals.push(Proposed { item: item.clone(), last: ballot, excluded_by: None }),
                // A proposal in a lower round than the excluding one can't be chosen, since a quorum has promised the
                // latter.
                Some(existing)
                    if existing.last >= ballot || existing.excluded_by.is_some_and(|by| ballot < by) => {}
                Some(existing) if existing.excluded_by.is_none() || is_pending => {
                    (existing.last, existing.excluded_by) = (ballot, None);
                }
                Some(_) => {
                    let description = format!(
                        "store {n} proposes {:?} '{}' at {} in {ballot:?} although a chosen round excludes it \
                         and it was not requested again",
                        item.key.table, item.key.name, item.version
                    );
                    self.report(now, Invariant::NoResurrection, description);
                }
            }
        }
    }

    /// Records a chosen round with all items of the store that announces it.
    pub fn record_chosen(&mut self, ballot: Ballot, items: &Items) {
        for ((key, version), proposals) in &mut self.proposed {
            for existing in proposals.iter_mut().filter(|existing| existing.last < ballot) {
                if items.version(key.table, &key.name) < *version {
                    existing.excluded_by = Some(ballot);
                }
            }
        }
    }

    /// Records that a store received the reply of a member to a request sent at `sent_at`.
    pub fn record_contact(&mut self, requester: usize, replier: usize, sent_at: f64) {
        let last = self.last_contact.entry((requester, replier)).or_insert(sent_at);
        *last = last.max(sent_at);
    }

    /// Checks the age of contact that a store reports.
    pub fn check_contact(&mut self, now: f64, n: usize, members: &[usize], age: Option<f64>) {
        let Some(age) = age else { return };
        let mut ages: Vec<f64> = members
            .iter()
            .map(|m| {
                if *m == n {
                    0.0
                } else {
                    self.last_contact.get(&(n, *m)).map_or(f64::INFINITY, |at| now - at)
                }
            })
            .collect();
        ages.sort_unstable_by(f64::total_cmp);
        let actual_age = ages.get(members.len() / 2).copied().unwrap_or(f64::INFINITY);
        if actual_age > age + 1.0 {
            let description = format!(
                "store {n} reports contact {age:.0} ms ago, but a majority can only have answered requests sent \
                 {actual_age:.0} ms ago or earlier"
            );
            self.report(now, Invariant::ContactAge, description);
        }
    }

    /// Records the start of a call.
    pub fn record_call(&mut self, now: f64, id: CommandId, store: usize, request: ClientCall) {
        let record = CallRecord {
            store,
            request,
            started_at: now,
            ended_at: f64::INFINITY,
            result: None,
            read: None,
            acknowledged_at_start: self.acknowledged.clone(),
            highest_epochs_at_start: self.highest_epochs.clone(),
        };
        self.calls.insert(id, record);
    }

    /// Marks the unanswered calls at a store as unreachable, since they can't be answered any more.
    pub fn abandon_calls(&mut self, store: usize) {
        for call in self.calls.values_mut().filter(|call| call.store == store && call.result.is_none()) {
            call.result = Some(Err(ErrorKind::Unreachable));
        }
    }

    /// Records the result of a call, with the items that it read and the current items of its store.
    pub fn record_result(
        &mut self,
        now: f64,
        id: CommandId,
        result: &Result<(), RpcError>,
        read: Option<&Items>,
        items: &Items,
    ) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.result.is_some() {
            return;
        }
        call.ended_at = now;
        call.result = Some(result.clone().map_err(|error| error.kind));
        if result.is_err() {
            return;
        }
        if call.request == ClientCall::Read {
            call.read = read.cloned();
        }
        let call = call.clone();
        let items = read.unwrap_or(items);
        self.check_acknowledged(now, id, &call, items);
        self.record_acknowledged(now, &call, items);
    }

    /// Checks that a confirmed call includes everything that was acknowledged before it began.
    fn check_acknowledged(&mut self, now: f64, id: CommandId, call: &CallRecord, items: &Items) {
        for (key, version) in &call.acknowledged_at_start {
            if items.version(key.table, &key.name) < *version {
                let description = format!(
                    "call {id} at store {} began at {:.0} ms and was confirmed without {:?} '{}' at {version}, which had been \
                     acknowledged before; the store has version {}",
                    call.store, call.started_at, key.table, key.name, items.version(key.table, &key.name)
                );
                self.report(now, Invariant::Durability, description);
            }
        }
    }

    /// Records what a confirmed call wrote. Later calls must see it, and nothing else under its version.
    fn record_acknowledged(&mut self, now: f64, call: &CallRecord, items: &Items) {
        let written = match &call.request {
            ClientCall::Put { version, content, .. } => Some((*version, *content)),
            ClientCall::Remove { version, .. } => Some((*version, 0)),
            _ => None,
        };
        if let (Some((version, content)), Some(key)) = (written, call.request.key()) {
            let before = *self.confirmed.entry((key.clone(), version)).or_insert(content);
            if before != content {
                let description =
                    format!("'{}' at {version} was confirmed with {before} and with {content}", key.name);
                self.report(now, Invariant::OneContentPerVersion, description);
            }
            let acknowledged = self.acknowledged.entry(key).or_insert(0);
            *acknowledged = (*acknowledged).max(version);
        } else if let (ClientCall::Drain { .. }, Some(key)) = (&call.request, call.request.key()) {
            // The call does not state its version, but at least the current one was acknowledged.
            let version = items.version(key.table, &key.name);
            let acknowledged = self.acknowledged.entry(key).or_insert(0);
            *acknowledged = (*acknowledged).max(version);
        }
    }

    /// Checks the epoch that a registry receives for a role.
    pub fn check_epoch(&mut self, now: f64, id: CommandId, epoch: u64) {
        let Some(call) = self.calls.get(&id).cloned() else { return };
        let ClientCall::AcquireRole { role, holder } = &call.request else { return };
        if let Some(other) = self.epochs.insert((role.clone(), epoch), id) {
            if other != id {
                let description = format!("calls {other} and {id} both received epoch {epoch} of '{role}'");
                self.report(now, Invariant::UniqueEpochs, description);
            }
        }
        if call.highest_epochs_at_start.get(role).is_some_and(|before| *before >= epoch) {
            let description = format!(
                "call {id} received epoch {epoch} of '{role}' after a higher or equal one had been returned"
            );
            self.report(now, Invariant::UniqueEpochs, description);
        }
        let key = Key { table: Table::SingletonRoles, name: role.clone() };
        if let Some(item) = self.chosen.get(&(key.clone(), epoch)) {
            if adapter::holder(item) != Some(*holder) {
                let description = format!(
                    "call {id} of {holder} received epoch {epoch} of '{role}', whose item is {:?}",
                    item.body
                );
                self.report(now, Invariant::UniqueEpochs, description);
            }
        }
        let highest = self.highest_epochs.entry(role.clone()).or_insert(0);
        *highest = (*highest).max(epoch);
        let acknowledged = self.acknowledged.entry(key).or_insert(0);
        *acknowledged = (*acknowledged).max(epoch);
    }

    /// Returns the checker's state that affects its future results, used to distinguish states of a search.
    pub fn distinguishing_state(&self) -> impl fmt::Debug + '_ {
        let digest = |items: &Items| items.digest(Tables::DURABLE);
        let calls: Vec<_> = self
            .calls
            .values()
            .map(|call| {
                (
                    &call.result,
                    call.read.as_ref().map(digest),
                    &call.acknowledged_at_start,
                    &call.highest_epochs_at_start,
                )
            })
            .collect();
        let proposed: Vec<_> = self
            .proposed
            .iter()
            .flat_map(|(key, proposals)| {
                proposals
                    .iter()
                    .map(move |existing| (key, &existing.item.body, existing.last, existing.excluded_by))
            })
            .collect();
        let chosen: Vec<_> = self.chosen.iter().map(|(key, item)| (key, &item.body)).collect();
        (calls, proposed, chosen, &self.epochs, &self.last_contact)
    }

    /// Returns whether a replica has everything that was acknowledged.
    pub fn has_all_acknowledged(&self, items: &Items) -> bool {
        self.acknowledged.iter().all(|(key, version)| items.version(key.table, &key.name) >= *version)
    }

    /// Describes the acknowledged items that are missing from a replica.
    pub fn describe_missing(&self, items: &Items) -> Vec<String> {
        self.acknowledged
            .iter()
            .filter(|(key, version)| items.version(key.table, &key.name) < **version)
            .map(|(key, version)| format!("{:?} '{}' at {version}", key.table, key.name))
            .collect()
    }

    /// Reports that the store did not recover from tolerated faults.
    pub fn report_unavailable(&mut self, now: f64, description: String) {
        self.report(now, Invariant::Recovery, description);
    }

    /// Reports that acknowledged items were lost.
    pub fn report_lost_items(&mut self, now: f64, description: String) {
        self.report(now, Invariant::Durability, description);
    }

    /// Checks at the end of a run that each item's history is linearizable.
    pub fn check_histories(&mut self, now: f64, max_steps: usize) {
        for (key, history) in self.histories() {
            match search(&history, max_steps) {
                SearchResult::Order => {}
                SearchResult::Undecided => self.undecided += 1,
                SearchResult::None => {
                    let description = format!(
                        "the history of {:?} '{}' is not linearizable: {}",
                        key.table,
                        key.name,
                        describe_history(&history)
                    );
                    self.report(now, Invariant::Linearizable, description);
                }
            }
        }
    }

    /// Returns the history of each item that a call concerned.
    fn histories(&self) -> BTreeMap<Key, Vec<Entry>> {
        let mut histories: BTreeMap<Key, Vec<Entry>> = BTreeMap::new();
        for call in self.calls.values() {
            if let Some(key) = call.request.key().filter(|key| key.table != Table::SingletonRoles) {
                histories.entry(key).or_default();
            }
        }
        for call in self.calls.values() {
            if let Some(read) = &call.read {
                for (key, history) in &mut histories {
                    let operation = read_operation(key, read);
                    history.push(Entry { started_at: call.started_at, ended_at: call.ended_at, operation });
                }
                continue;
            }
            let Some(key) = call.request.key() else { continue };
            let Some(operation) = write_operation(call) else { continue };
            if let Some(history) = histories.get_mut(&key) {
                history.push(Entry { started_at: call.started_at, ended_at: call.ended_at, operation });
            }
        }
        histories
    }
}

/// Returns the operation that a read represents for one item.
fn read_operation(key: &Key, read: &Items) -> Operation {
    let item = read.get(key.table, &key.name);
    match key.table {
        Table::Drains => Operation::ReadSwitch(item.is_some_and(|item| item.body.is_some())),
        _ => Operation::Read(
            item.map_or(0, |item| item.version),
            item.map_or(0, |item| adapter::route_content(item)),
        ),
    }
}

/// Returns the operation that a call wrote or may have written, or `None` if it can't have affected a searched history.
fn write_operation(call: &CallRecord) -> Option<Operation> {
    let result = match &call.result {
        Some(Ok(())) => Confirmation::Confirmed,
        Some(Err(ErrorKind::Conflict | ErrorKind::VersionForgotten)) => Confirmation::Rejected,
        // Rejected as invalid, so it took effect nowhere.
        Some(Err(ErrorKind::Invalid | ErrorKind::Malformed)) => return None,
        _ => Confirmation::Unclear,
    };
    match &call.request {
        ClientCall::Put { version, content, .. } => Some(Operation::Put(*version, *content, result)),
        ClientCall::Remove { version, .. } => Some(Operation::Put(*version, 0, result)),
        ClientCall::Drain { drained, .. } => Some(Operation::Switch(*drained, result)),
        ClientCall::AcquireRole { .. } | ClientCall::Read => None,
    }
}

fn describe_history(history: &[Entry]) -> String {
    let entry = |e: &Entry| format!("[{:.0}, {:.0}] {:?}", e.started_at, e.ended_at, e.operation);
    let lines: Vec<String> = history.iter().take(MAX_DESCRIBED_ENTRIES).map(entry).collect();
    lines.join("; ")
}
