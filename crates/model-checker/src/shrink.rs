//! Shrinks a schedule that violates an invariant to a shorter one that still does.

use crate::checker::Invariant;
use crate::defects::Defect;
use crate::schedule::{Event, Schedule};
use crate::simulation::{simulate, RunResult};
use std::collections::BTreeSet;

/// Maximum number of runs used to shrink one schedule.
const MAX_RUNS: usize = 3_000;

struct Shrinker<'a> {
    defect: Option<Defect>,
    ignored: &'a BTreeSet<Invariant>,
    invariant: Invariant,
    runs: usize,
}

impl Shrinker<'_> {
    fn run_if_violating(&mut self, schedule: &Schedule) -> Option<RunResult> {
        self.runs += 1;
        if self.runs > MAX_RUNS {
            return None;
        }
        let result = simulate(schedule, self.defect, self.ignored, false);
        let is_same =
            result.violation.as_ref().is_some_and(|violation| violation.invariant == self.invariant);
        is_same.then_some(result)
    }

    /// Removes parts of a list, larger ones first, as long as the schedule still violates the invariant.
    fn remove_parts(
        &mut self,
        schedule: &mut Schedule,
        count: fn(&Schedule) -> usize,
        remove: fn(&mut Schedule, usize, usize),
    ) -> bool {
        let mut has_changed = false;
        let mut size = count(schedule).next_power_of_two();
        while size > 0 {
            let mut from = 0;
            while from < count(schedule) {
                let mut shorter = schedule.clone();
                remove(&mut shorter, from, size);
                if self.run_if_violating(&shorter).is_some() {
                    *schedule = shorter;
                    has_changed = true;
                } else {
                    from += size;
                }
            }
            size /= 2;
        }
        has_changed
    }
}

/// Returns the shortest schedule found that violates the same invariant, the result of its run, and the number of runs
/// used. Returns `None` if the schedule violates no invariant.
pub fn shrink(
    schedule: &Schedule,
    defect: Option<Defect>,
    ignored: &BTreeSet<Invariant>,
) -> Option<(Schedule, RunResult, usize)> {
    let original = simulate(schedule, defect, ignored, false);
    let invariant = original.violation.as_ref()?.invariant;
    let mut shrinker = Shrinker { defect, ignored, invariant, runs: 0 };
    let mut best = schedule.clone();
    // Records the faults of individual messages, so that the network conditions can be removed.
    let mut recorded = schedule.clone();
    recorded.message_faults = Some(original.message_faults.clone());
    recorded.events.retain(|(_, event)| !matches!(event, Event::NetworkConditions { .. }));
    if shrinker.run_if_violating(&recorded).is_some() {
        best = recorded;
    }
    loop {
        let events = shrinker.remove_parts(
            &mut best,
            |schedule| schedule.events.len(),
            |schedule, from, size| {
                let to = (from + size).min(schedule.events.len());
                schedule.events.drain(from..to);
            },
        );
        let message_faults = shrinker.remove_parts(
            &mut best,
            |schedule| schedule.message_faults.as_ref().map_or(0, std::collections::BTreeMap::len),
            |schedule, from, size| {
                if let Some(message_faults) = &mut schedule.message_faults {
                    let keys: Vec<_> = message_faults.keys().skip(from).take(size).copied().collect();
                    message_faults.retain(|key, _| !keys.contains(key));
                }
            },
        );
        if !events && !message_faults {
            break;
        }
    }
    let last_event_end = best.events.last().map_or(best.end, |(at, _)| at + 1_000.0);
    let mut shorter = best.clone();
    shorter.end = shorter.end.min(last_event_end);
    if shrinker.run_if_violating(&shorter).is_some() {
        best = shorter;
    }
    let result = simulate(&best, defect, ignored, true);
    Some((best, result, shrinker.runs))
}
