//! Shrinks a schedule that breaks an invariant to a short one that still does.

use crate::checker::Invariant;
use crate::defects::Defect;
use crate::schedule::{Event, Schedule};
use crate::simulation::{simulate, RunResult};
use std::collections::BTreeSet;

/// Most runs that one schedule is shrunk by.
const MAX_RUNS: usize = 3_000;

struct Shrinker<'a> {
    defect: Option<Defect>,
    ignored: &'a BTreeSet<Invariant>,
    invariant: Invariant,
    plays: usize,
}

impl Shrinker<'_> {
    fn breaks(&mut self, schedule: &Schedule) -> Option<RunResult> {
        self.plays += 1;
        if self.plays > MAX_RUNS {
            return None;
        }
        let result = simulate(schedule, self.defect, self.ignored, false);
        let same = result.violation.as_ref().is_some_and(|violation| violation.invariant == self.invariant);
        same.then_some(result)
    }

    /// Drops parts of a list, larger ones first, as long as the schedule still breaks.
    fn drop_parts(
        &mut self,
        schedule: &mut Schedule,
        count: fn(&Schedule) -> usize,
        drop: fn(&mut Schedule, usize, usize),
    ) -> bool {
        let mut any = false;
        let mut size = count(schedule).next_power_of_two();
        while size > 0 {
            let mut from = 0;
            while from < count(schedule) {
                let mut shorter = schedule.clone();
                drop(&mut shorter, from, size);
                if self.breaks(&shorter).is_some() {
                    *schedule = shorter;
                    any = true;
                } else {
                    from += size;
                }
            }
            size /= 2;
        }
        any
    }
}

/// The shortest schedule found that breaks the same invariant, how it runs, and in how many runs it was found.
pub fn shrink(
    schedule: &Schedule,
    defect: Option<Defect>,
    ignored: &BTreeSet<Invariant>,
) -> Option<(Schedule, RunResult, usize)> {
    let first = simulate(schedule, defect, ignored, false);
    let invariant = first.violation.as_ref()?.invariant;
    let mut shrinking = Shrinker { defect, ignored, invariant, plays: 0 };
    let mut best = schedule.clone();
    // What happened to single messages is named, so that the network conditions can go.
    let mut recorded = schedule.clone();
    recorded.message_faults = Some(first.message_faults.clone());
    recorded.events.retain(|(_, event)| !matches!(event, Event::NetworkConditions { .. }));
    if shrinking.breaks(&recorded).is_some() {
        best = recorded;
    }
    loop {
        let events = shrinking.drop_parts(
            &mut best,
            |schedule| schedule.events.len(),
            |schedule, from, size| {
                let to = (from + size).min(schedule.events.len());
                schedule.events.drain(from..to);
            },
        );
        let message_faults = shrinking.drop_parts(
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
    let last = best.events.last().map_or(best.end, |(at, _)| at + 1_000.0);
    let mut shorter = best.clone();
    shorter.end = shorter.end.min(last);
    if shrinking.breaks(&shorter).is_some() {
        best = shorter;
    }
    let result = simulate(&best, defect, ignored, true);
    Some((best, result, shrinking.plays))
}
