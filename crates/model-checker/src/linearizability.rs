//! Linearizability check of the history of one item. A history is linearizable if some order of its calls, each taking
//! effect at one instant between its start and its result, explains every result. A call with an unclear outcome may
//! have taken effect at any instant after its start, or never.
//!
//! The search is the algorithm of Wing and Gong. Visited states are identified by the set of calls placed so far and
//! the resulting register.

use std::collections::{BTreeMap, HashSet};

/// The operation of a call on one item, as reported to its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Writes a content (0 for a removal) at a version. It was confirmed, rejected because of different content, or
    /// unclear.
    Put(u64, u64, Confirmation),
    /// Sets a switch. It was confirmed or unclear.
    Switch(bool, Confirmation),
    /// Reads a version and a content; version 0 if there is none.
    Read(u64, u64),
    /// Reads a switch.
    ReadSwitch(bool),
}

/// The outcome of a call as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// The call took effect.
    Confirmed,
    /// The call was rejected because its version has different content.
    Rejected,
    /// The outcome is unknown.
    Unclear,
}

/// A call on one item.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The time at which the call started.
    pub started_at: f64,
    /// The time at which the call ended, or infinity if it was not answered.
    pub ended_at: f64,
    /// The operation.
    pub operation: Operation,
}

/// The result of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchResult {
    /// An order exists.
    Order,
    /// No order exists.
    None,
    /// The search exceeded its limit.
    Undecided,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Register {
    version: u64,
    switch: bool,
    /// The content that each version was confirmed or written with.
    contents: BTreeMap<u64, u64>,
}

impl Register {
    /// Returns the register after an operation, or `None` if the operation could not have had its outcome.
    fn after(&self, operation: &Operation) -> Option<Self> {
        let mut next = self.clone();
        match *operation {
            Operation::Read(version, content) => {
                return (self.version == version
                    && (version == 0 || self.contents.get(&version) == Some(&content)))
                .then_some(next)
            }
            Operation::ReadSwitch(switch) => return (self.switch == switch).then_some(next),
            Operation::Switch(switch, _) => next.switch = switch,
            Operation::Put(version, content, confirmation) => {
                let recorded = self.contents.get(&version).copied();
                match confirmation {
                    Confirmation::Rejected => {
                        // The content of an earlier version that was skipped may be unknown.
                        let is_consistent =
                            recorded.map_or(version < self.version, |recorded| recorded != content);
                        return is_consistent.then_some(next);
                    }
                    Confirmation::Confirmed | Confirmation::Unclear => {
                        let is_consistent = recorded.is_none_or(|recorded| recorded == content);
                        if !is_consistent {
                            return None;
                        }
                        if confirmation == Confirmation::Confirmed || version > self.version {
                            next.contents.insert(version, content);
                        }
                        next.version = next.version.max(version);
                    }
                }
            }
        }
        Some(next)
    }
}

fn is_unclear(operation: &Operation) -> bool {
    matches!(
        operation,
        Operation::Put(_, _, Confirmation::Unclear) | Operation::Switch(_, Confirmation::Unclear)
    )
}

/// Searches for an order that explains a history of at most 128 calls, within `max_steps` steps.
pub fn search(history: &[Entry], max_steps: usize) -> SearchResult {
    if history.len() > 128 {
        return SearchResult::Undecided;
    }
    let mut entries = history.to_vec();
    for entry in entries.iter_mut().filter(|entry| is_unclear(&entry.operation)) {
        entry.ended_at = f64::INFINITY;
    }
    entries.sort_by(|a, b| a.started_at.total_cmp(&b.started_at));
    let required: u128 = entries
        .iter()
        .enumerate()
        .filter(|(_, e)| !is_unclear(&e.operation))
        .fold(0, |set, (n, _)| set | 1 << n);
    let mut visited: HashSet<(u128, Register)> = HashSet::new();
    let mut open = vec![(0_u128, Register::default())];
    while let Some((placed, register)) = open.pop() {
        if placed & required == required {
            return SearchResult::Order;
        }
        if visited.len() > max_steps {
            return SearchResult::Undecided;
        }
        // A call may be next if no remaining call ended before it started.
        let remaining = || entries.iter().enumerate().filter(|(n, _)| placed & (1 << n) == 0);
        let first_end = remaining().map(|(_, entry)| entry.ended_at).fold(f64::INFINITY, f64::min);
        for (n, entry) in remaining().filter(|(_, entry)| entry.started_at <= first_end) {
            if let Some(next) = register.after(&entry.operation) {
                let state = (placed | 1 << n, next);
                if visited.insert(state.clone()) {
                    open.push(state);
                }
            }
        }
    }
    SearchResult::None
}
