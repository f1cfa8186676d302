//! Every way that a small world can take: some stores, some calls, and a bounded number of faults, in any order.
//!
//! A message may be delivered at any later step or never, so that it is lost, late or passed by others without a fault
//! that counts. Time is coarse: it is paused while messages are delivered, and passes by a second at a time (in which
//! nothing is delivered) or by a calm of some seconds (in which all that is newly sent comes at once, but for one machine
//! that may be cut off, and what was on its way before stays late). States are told apart by a hash of all that they hold.

mod search_state;
mod worlds;

use crate::checker::{Invariant, Violation};
use crate::defects::Defect;
use ivygate_config_store::MembershipStatus;
use search_state::SearchState;
use std::collections::{BTreeSet, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub use worlds::{small_worlds, WorldBounds};

/// Parts of the set of states that were seen.
const SHARDS: usize = 64;

/// How a world was explored.
#[derive(Clone, Debug)]
pub struct Explored {
    /// States that differ.
    pub states: u64,
    /// Steps that were taken.
    pub steps: u64,
    /// The longest way, in steps.
    pub depth: usize,
    /// Whether all of it was seen.
    pub whole: bool,
    /// The first invariant that did not hold, and the shortest way there.
    pub violation: Option<(Violation, Vec<String>)>,
}

/// Fingerprints of the states that were seen.
struct SeenStates {
    shards: Vec<Mutex<HashSet<u64>>>,
}

impl SeenStates {
    fn new() -> Self {
        Self { shards: (0..SHARDS).map(|_| Mutex::default()).collect() }
    }

    /// Whether a fingerprint is seen for the first time.
    fn insert(&self, fingerprint: u64) -> bool {
        let shard = &self.shards[fingerprint as usize % SHARDS];
        shard.lock().is_ok_and(|mut shard| shard.insert(fingerprint))
    }
}

/// What became of a part of the states of one depth.
#[derive(Default)]
struct Expansion {
    next: Vec<SearchState>,
    steps: u64,
    violation: Option<SearchState>,
}

/// A search by breadth, on several threads.
struct Search<'a> {
    bounds: &'a WorldBounds,
    end: Instant,
    threads: usize,
    is_over: AtomicBool,
    seen: SeenStates,
}

impl Search<'_> {
    /// All states one step further.
    fn expand_all(&self, layer: &[SearchState]) -> Vec<Expansion> {
        let part = layer.len().div_ceil(self.threads.max(1));
        std::thread::scope(|scope| {
            let handles: Vec<_> =
                layer.chunks(part).map(|states| scope.spawn(move || self.expand(states))).collect();
            handles.into_iter().filter_map(|handle| handle.join().ok()).collect()
        })
    }

    fn expand(&self, states: &[SearchState]) -> Expansion {
        let mut expansion = Expansion::default();
        for state in states {
            if self.is_over.load(Ordering::Relaxed) || Instant::now() > self.end {
                self.is_over.store(true, Ordering::Relaxed);
                break;
            }
            for action in state.actions(self.bounds) {
                let Some(after) = state.after(self.bounds, action) else { continue };
                expansion.steps += after.steps - state.steps;
                if after.checker.violation.is_some() {
                    expansion.violation.get_or_insert(after);
                } else if self.seen.insert(after.fingerprint()) {
                    expansion.next.push(after);
                }
            }
        }
        expansion
    }
}

/// Explores a world, shorter ways first, until all is seen, an invariant does not hold, so many states were seen (so that
/// the verdict is the same each time) or the time is over.
pub fn explore(
    bounds: &WorldBounds,
    defect: Option<Defect>,
    ignored: &BTreeSet<Invariant>,
    states: u64,
    time: Duration,
    threads: usize,
) -> Explored {
    let end = Instant::now() + time;
    let start = SearchState::founded(bounds, defect, ignored);
    let mut explored = Explored { states: 1, steps: 0, depth: 0, whole: true, violation: None };
    if let Some(violation) = &start.checker.violation {
        explored.violation = Some((violation.clone(), Vec::new()));
        return explored;
    }
    let search = Search { bounds, end, threads, is_over: AtomicBool::new(false), seen: SeenStates::new() };
    search.seen.insert(start.fingerprint());
    let mut layer = vec![start];
    while !layer.is_empty() && explored.violation.is_none() {
        if search.is_over.load(Ordering::Relaxed) || explored.states >= states {
            explored.whole = false;
            break;
        }
        let expansions = search.expand_all(&layer);
        layer = Vec::new();
        for expansion in expansions {
            explored.states += expansion.next.len() as u64;
            explored.steps += expansion.steps;
            layer.extend(expansion.next);
            if explored.violation.is_none() {
                explored.violation = expansion.violation.and_then(|state| state.violation());
            }
        }
        if search.is_over.load(Ordering::Relaxed) {
            explored.whole = false;
        }
        explored.depth += 1;
    }
    explored
}

/// Whether all stores of a founded world are members, as a check of the start.
pub fn is_founded(bounds: &WorldBounds) -> bool {
    let state = SearchState::founded(bounds, None, &BTreeSet::new());
    state.machines.iter().all(|machine| machine.store.status() == MembershipStatus::Member)
}
