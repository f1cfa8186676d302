//! The process's clock: monotonic, and anchored once to Unix time.

use ivygate_time::{Millis, Timestamp};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Gives Unix time that never steps: the system clock is read only at the start.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_at: Timestamp,
}

impl Clock {
    /// Creates a clock that is anchored to the current system time.
    #[allow(clippy::new_without_default, reason = "a default that reads the time would hide that it does")]
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), start_at: Timestamp::from_millis(unix.as_secs_f64() * 1000.0) }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.start_at.plus_millis(self.start.elapsed().as_secs_f64() * 1000.0)
    }

    /// Converts a time to an instant; times before the start of the clock give the start.
    pub fn instant(&self, at: Timestamp) -> Instant {
        self.start + duration_from_millis(at.millis_since(self.start_at))
    }
}

/// Converts milliseconds to a duration, limited to the range from 0 to one day. NaN gives 0.
pub fn duration_from_millis(ms: Millis) -> Duration {
    const DAY: Millis = 86_400_000.0;
    Duration::from_secs_f64(ms.clamp(0.0, DAY).max(0.0) / 1000.0)
}
