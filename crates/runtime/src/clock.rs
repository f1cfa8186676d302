//! The node's one clock: monotonic, and anchored once to Unix time.

use ivygate_time::{Millis, Timestamp};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Gives Unix time. It never steps: the system's clock is read at the start only.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_at: Timestamp,
}

impl Clock {
    /// A clock anchored now.
    #[allow(clippy::new_without_default, reason = "a default that reads the time would hide that it does")]
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), start_at: Timestamp::from_millis(unix.as_secs_f64() * 1000.0) }
    }

    /// The time now.
    pub fn now(&self) -> Timestamp {
        self.start_at.plus_millis(self.start.elapsed().as_secs_f64() * 1000.0)
    }

    /// The instant of a time; one that has passed before the start is the start.
    pub fn instant(&self, at: Timestamp) -> Instant {
        self.start + duration_from_millis(at.millis_since(self.start_at))
    }
}

/// A length of time; nothing if it is negative or no number, and a day at the most.
pub fn duration_from_millis(ms: Millis) -> Duration {
    const DAY: Millis = 86_400_000.0;
    Duration::from_secs_f64(ms.clamp(0.0, DAY).max(0.0) / 1000.0)
}
