//! Whether a history of one item is linearizable: some order of its calls, each at one instant between its begin and its
//! answer, explains every answer. A call with an unclear answer may have taken at any instant after its begin, or never.
//!
//! The search is that of Wing and Gong, with the states seen kept by the set of calls that are placed.

use std::collections::{BTreeMap, HashSet};

/// What a call on one item did, as its caller was told.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// A content (0: dropped) at a version; whether it was confirmed, refused as another content, or unclear.
    Put(u64, u64, Confirmation),
    /// A switch; confirmed or unclear.
    Switch(bool, Confirmation),
    /// A number and content that were read; number 0 for nothing.
    Read(u64, u64),
    /// A switch that was read.
    ReadSwitch(bool),
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// It is done.
    Confirmed,
    /// Another content stands under its number.
    Refused,
    /// Nothing that is sure.
    Unclear,
}

/// A call on one item.
#[derive(Clone, Debug)]
pub struct Entry {
    /// When it began.
    pub begin: f64,
    /// When it was answered; infinite if it was not.
    pub end: f64,
    /// What it did.
    pub operation: Operation,
}

/// What came of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchResult {
    /// There is such an order.
    Order,
    /// There is none.
    None,
    /// Not within the steps allowed.
    Undecided,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Register {
    number: u64,
    on: bool,
    /// What each number was confirmed or set with.
    past: BTreeMap<u64, u64>,
}

impl Register {
    /// The register after a call, if the call can be told what it was told.
    fn after(&self, operation: &Operation) -> Option<Self> {
        let mut next = self.clone();
        match *operation {
            Operation::Read(number, content) => {
                return (self.number == number && (number == 0 || self.past.get(&number) == Some(&content)))
                    .then_some(next)
            }
            Operation::ReadSwitch(on) => return (self.on == on).then_some(next),
            Operation::Switch(on, _) => next.on = on,
            Operation::Put(number, content, confirmation) => {
                let known = self.past.get(&number).copied();
                match confirmation {
                    Confirmation::Refused => {
                        // Of a version that was passed over nobody may know what it held.
                        let fits = known.map_or(number < self.number, |known| known != content);
                        return fits.then_some(next);
                    }
                    Confirmation::Confirmed | Confirmation::Unclear => {
                        let fits = known.is_none_or(|known| known == content);
                        if !fits {
                            return None;
                        }
                        if confirmation == Confirmation::Confirmed || number > self.number {
                            next.past.insert(number, content);
                        }
                        next.number = next.number.max(number);
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

/// Searches for an order of at most 128 calls, within so many steps.
pub fn search(history: &[Entry], steps: usize) -> SearchResult {
    if history.len() > 128 {
        return SearchResult::Undecided;
    }
    let mut entries = history.to_vec();
    for entry in entries.iter_mut().filter(|entry| is_unclear(&entry.operation)) {
        entry.end = f64::INFINITY;
    }
    entries.sort_by(|a, b| a.begin.total_cmp(&b.begin));
    let owed: u128 = entries
        .iter()
        .enumerate()
        .filter(|(_, e)| !is_unclear(&e.operation))
        .fold(0, |set, (n, _)| set | 1 << n);
    let mut seen: HashSet<(u128, Register)> = HashSet::new();
    let mut open = vec![(0_u128, Register::default())];
    while let Some((placed, register)) = open.pop() {
        if placed & owed == owed {
            return SearchResult::Order;
        }
        if seen.len() > steps {
            return SearchResult::Undecided;
        }
        // One may come next if none that is left ended before it began.
        let left = || entries.iter().enumerate().filter(|(n, _)| placed & (1 << n) == 0);
        let first_end = left().map(|(_, entry)| entry.end).fold(f64::INFINITY, f64::min);
        for (n, entry) in left().filter(|(_, entry)| entry.begin <= first_end) {
            if let Some(next) = register.after(&entry.operation) {
                let state = (placed | 1 << n, next);
                if seen.insert(state.clone()) {
                    open.push(state);
                }
            }
        }
    }
    SearchResult::None
}
