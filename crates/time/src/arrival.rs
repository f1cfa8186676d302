//! Lower bound of the time at which input reached a process.
//!
//! A process that stands still (stopped, starved of processor time, or blocked on its disk) reads its input late, and then
//! takes it for new. The event loop therefore records its turns. Each turn reads all input that has arrived, so input read
//! after a turn arrived after the turn before that one. Time during which the process stood still counts towards the age
//! of its input.

use std::collections::VecDeque;

/// Recent turns of an event loop. `T` is a point in time.
#[derive(Clone, Debug)]
pub struct ArrivalClock<T> {
    /// The last turns, the oldest first.
    turns: VecDeque<T>,
    max_turns: usize,
}

impl<T: Copy + PartialOrd> ArrivalClock<T> {
    /// Creates a clock whose first turn is `now`; no input can have arrived earlier. It keeps the last `max_turns` turns, for
    /// events that are looked up some time after they were observed; at least two.
    pub fn new(now: T, max_turns: usize) -> Self {
        Self { turns: VecDeque::from([now]), max_turns: max_turns.max(2) }
    }

    /// Records a turn of the event loop.
    pub fn record_turn(&mut self, now: T) {
        if self.turns.len() >= self.max_turns {
            self.turns.pop_front();
        }
        self.turns.push_back(now);
    }

    /// Returns a time after which input observed at `observed_at` arrived: the second-last turn before the observation.
    /// Returns the oldest known turn for an observation before all others.
    pub fn earliest_arrival(&self, observed_at: T) -> Option<T> {
        let turns_before = self.turns.partition_point(|turn| *turn <= observed_at);
        self.turns.get(turns_before.saturating_sub(2)).copied()
    }
}
