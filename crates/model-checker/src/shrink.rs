//! Shrinks a story that breaks an invariant to a short one that still does.

use crate::defects::Defect;
use crate::judge::Invariant;
use crate::story::{Event, Story};
use crate::world::{play, Played};
use std::collections::BTreeSet;

/// Most plays that one story is shrunk by.
const PLAYS: usize = 3_000;

struct Shrinking<'a> {
    defect: Option<Defect>,
    but: &'a BTreeSet<Invariant>,
    invariant: Invariant,
    plays: usize,
}

impl Shrinking<'_> {
    fn breaks(&mut self, story: &Story) -> Option<Played> {
        self.plays += 1;
        if self.plays > PLAYS {
            return None;
        }
        let played = play(story, self.defect, self.but, false);
        let same = played.broken.as_ref().is_some_and(|broken| broken.invariant == self.invariant);
        same.then_some(played)
    }

    /// Drops parts of a list, larger ones first, as long as the story still breaks.
    fn drop_parts(
        &mut self,
        story: &mut Story,
        count: fn(&Story) -> usize,
        drop: fn(&mut Story, usize, usize),
    ) -> bool {
        let mut any = false;
        let mut size = count(story).next_power_of_two();
        while size > 0 {
            let mut from = 0;
            while from < count(story) {
                let mut shorter = story.clone();
                drop(&mut shorter, from, size);
                if self.breaks(&shorter).is_some() {
                    *story = shorter;
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

/// The shortest story found that breaks the same invariant, how it plays, and in how many plays it was found.
pub fn shrink(
    story: &Story,
    defect: Option<Defect>,
    but: &BTreeSet<Invariant>,
) -> Option<(Story, Played, usize)> {
    let first = play(story, defect, but, false);
    let invariant = first.broken.as_ref()?.invariant;
    let mut shrinking = Shrinking { defect, but, invariant, plays: 0 };
    let mut best = story.clone();
    // What befell single messages is named, so that the weather can go.
    let mut named = story.clone();
    named.mishaps = Some(first.mishaps.clone());
    named.events.retain(|(_, event)| !matches!(event, Event::Weather { .. }));
    if shrinking.breaks(&named).is_some() {
        best = named;
    }
    loop {
        let events = shrinking.drop_parts(
            &mut best,
            |story| story.events.len(),
            |story, from, size| {
                let to = (from + size).min(story.events.len());
                story.events.drain(from..to);
            },
        );
        let mishaps = shrinking.drop_parts(
            &mut best,
            |story| story.mishaps.as_ref().map_or(0, std::collections::BTreeMap::len),
            |story, from, size| {
                if let Some(mishaps) = &mut story.mishaps {
                    let keys: Vec<_> = mishaps.keys().skip(from).take(size).copied().collect();
                    mishaps.retain(|key, _| !keys.contains(key));
                }
            },
        );
        if !events && !mishaps {
            break;
        }
    }
    let last = best.events.last().map_or(best.end, |(at, _)| at + 1_000.0);
    let mut shorter = best.clone();
    shorter.end = shorter.end.min(last);
    if shrinking.breaks(&shorter).is_some() {
        best = shorter;
    }
    let played = play(&best, defect, but, true);
    Some((best, played, shrinking.plays))
}
