//! Turns of a process's event loop, which bound the age of connections that waited while the process stood still.

use ivygate_time::ArrivalClock;
use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::{interval, Instant, MissedTickBehavior};

/// Interval at which turns are recorded.
const TURN_INTERVAL: Duration = Duration::from_millis(50);
/// Number of turns kept. A connection accepted before them bounds the age of its first request too loosely anyway.
const MAX_TURNS: usize = 64;

/// Records turns of the event loop until its last clone is dropped.
#[derive(Clone)]
pub struct TurnRecorder {
    turns: Rc<RefCell<ArrivalClock<Instant>>>,
}

impl TurnRecorder {
    /// Starts to record. Must be called within a `LocalSet`.
    pub fn start() -> Self {
        let turns = Rc::new(RefCell::new(ArrivalClock::new(Instant::now(), MAX_TURNS)));
        tokio::task::spawn_local(record(Rc::downgrade(&turns)));
        Self { turns }
    }

    /// Returns a time after which a connection accepted at `accepted_at` was established.
    pub(crate) fn earliest_arrival(&self, accepted_at: Instant) -> Instant {
        self.turns.borrow().earliest_arrival(accepted_at).unwrap_or(accepted_at)
    }
}

async fn record(turns: Weak<RefCell<ArrivalClock<Instant>>>) {
    let mut interval = interval(TURN_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while let Some(turns) = turns.upgrade() {
        turns.borrow_mut().record_turn(Instant::now());
        drop(turns);
        interval.tick().await;
    }
}
