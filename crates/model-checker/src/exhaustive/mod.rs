//! Exhaustive exploration of small configurations: a few stores, a few calls and a bounded number of faults, in any
//! order.
//!
//! A message may be delivered at any later step or never, so losses, delays and reorderings do not count as faults.
//! Time is coarse: it does not advance while messages are delivered, and advances either by one second in which nothing is
//! delivered, or by a calm period of several seconds. In a calm period all newly sent messages are delivered
//! immediately, except those from and to one machine that may be isolated; messages sent earlier remain delayed. States
//! are distinguished by a hash of their entire contents.

mod configurations;
mod search_state;

use crate::checker::{Invariant, Violation};
use crate::defects::Defect;
use ivygate_config_store::MembershipStatus;
use search_state::SearchState;
use std::collections::{BTreeSet, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub use configurations::{small_configurations, ConfigurationBounds};

/// Number of shards of the set of visited states.
const SHARDS: usize = 64;

/// The result of an exploration.
#[derive(Clone, Debug)]
pub struct Explored {
    /// The number of distinct states.
    pub states: u64,
    /// The number of steps executed.
    pub steps: u64,
    /// The length of the longest path in actions.
    pub depth: usize,
    /// Set if every reachable state was visited.
    pub is_complete: bool,
    /// The first violation and the shortest path to it.
    pub violation: Option<(Violation, Vec<String>)>,
}

/// The fingerprints of the visited states.
struct VisitedStates {
    shards: Vec<Mutex<HashSet<u64>>>,
}

impl VisitedStates {
    fn new() -> Self {
        Self { shards: (0..SHARDS).map(|_| Mutex::default()).collect() }
    }

    /// Inserts a fingerprint. Returns whether it is new.
    fn insert(&self, fingerprint: u64) -> bool {
        let shard = &self.shards[fingerprint as usize % SHARDS];
        shard.lock().is_ok_and(|mut shard| shard.insert(fingerprint))
    }
}

/// The result of expanding a part of the states of one depth.
#[derive(Default)]
struct Expansion {
    next: Vec<SearchState>,
    steps: u64,
    violation: Option<SearchState>,
}

/// A breadth-first search on several threads.
struct Search<'a> {
    bounds: &'a ConfigurationBounds,
    end: Instant,
    threads: usize,
    is_finished: AtomicBool,
    visited: VisitedStates,
}

impl Search<'_> {
    /// Returns all states that are one step further.
    fn expand_all(&self, frontier: &[SearchState]) -> Vec<Expansion> {
        let part_size = frontier.len().div_ceil(self.threads.max(1));
        std::thread::scope(|scope| {
            let handles: Vec<_> =
                frontier.chunks(part_size).map(|states| scope.spawn(move || self.expand(states))).collect();
            handles.into_iter().filter_map(|handle| handle.join().ok()).collect()
        })
    }

    fn expand(&self, states: &[SearchState]) -> Expansion {
        let mut expansion = Expansion::default();
        for state in states {
            if self.is_finished.load(Ordering::Relaxed) || Instant::now() > self.end {
                self.is_finished.store(true, Ordering::Relaxed);
                break;
            }
            for action in state.actions(self.bounds) {
                let Some(next) = state.after(self.bounds, action) else { continue };
                expansion.steps += next.steps - state.steps;
                if next.checker.violation.is_some() {
                    expansion.violation.get_or_insert(next);
                } else if self.visited.insert(next.fingerprint()) {
                    expansion.next.push(next);
                }
            }
        }
        expansion
    }
}

/// Explores a configuration by breadth-first search until every state was visited, an invariant is violated,
/// `max_states` states were visited or the time is over. The limit on states makes the result reproducible.
pub fn explore(
    bounds: &ConfigurationBounds,
    defect: Option<Defect>,
    ignored: &BTreeSet<Invariant>,
    max_states: u64,
    max_duration: Duration,
    threads: usize,
) -> Explored {
    let end = Instant::now() + max_duration;
    let start = SearchState::founded(bounds, defect, ignored);
    let mut explored = Explored { states: 1, steps: 0, depth: 0, is_complete: true, violation: None };
    if let Some(violation) = &start.checker.violation {
        explored.violation = Some((violation.clone(), Vec::new()));
        return explored;
    }
    let search =
        Search { bounds, end, threads, is_finished: AtomicBool::new(false), visited: VisitedStates::new() };
    search.visited.insert(start.fingerprint());
    let mut frontier = vec![start];
    while !frontier.is_empty() && explored.violation.is_none() {
        if search.is_finished.load(Ordering::Relaxed) || explored.states >= max_states {
            explored.is_complete = false;
            break;
        }
        let expansions = search.expand_all(&frontier);
        frontier = Vec::new();
        for expansion in expansions {
            explored.states += expansion.next.len() as u64;
            explored.steps += expansion.steps;
            frontier.extend(expansion.next);
            if explored.violation.is_none() {
                explored.violation = expansion.violation.and_then(|state| state.violation());
            }
        }
        if search.is_finished.load(Ordering::Relaxed) {
            explored.is_complete = false;
        }
        explored.depth += 1;
    }
    explored
}

/// Returns whether all stores of a newly founded configuration are members, as a check of the initial state.
pub fn is_founded(bounds: &ConfigurationBounds) -> bool {
    let state = SearchState::founded(bounds, None, &BTreeSet::new());
    state.machines.iter().all(|machine| machine.store.status() == MembershipStatus::Member)
}
