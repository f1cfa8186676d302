//! Timestamps on a process's monotonic clock.
//!
//! The state machines of this workspace read no clock: each event is passed to them with the [`Timestamp`] at which it
//! happened. Fixed durations are [`Duration`]s, computed ones are [`Millis`].
//!
//! ```
//! use ivygate_time::Timestamp;
//! use std::time::Duration;
//!
//! let started = Timestamp::from_millis(1_000.0);
//! let deadline = started + Duration::from_millis(250);
//! assert!(deadline > started);
//! assert_eq!(deadline.millis_since(started), 250.0);
//! ```

mod arrival;

pub use arrival::ArrivalClock;

use std::cmp::Ordering;
use std::ops::{Add, Sub};
use std::time::{Duration, Instant};

const NANOS_PER_MILLI: f64 = 1e6;
const MICROS_PER_MILLI: f64 = 1e3;

/// A computed duration in milliseconds. A point in time is a [`Timestamp`].
pub type Millis = f64;

/// Converts a duration to milliseconds; exact for whole numbers of milliseconds.
pub fn millis(duration: Duration) -> Millis {
    duration.as_nanos() as f64 / NANOS_PER_MILLI
}

/// A point in time on a monotonic clock with an arbitrary origin.
///
/// Timestamps of two machines or of two runs of a process must not be compared.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Timestamp {
    millis: f64,
}

impl Timestamp {
    /// A point before all others, for events that have not happened yet.
    pub const DISTANT_PAST: Self = Self { millis: f64::NEG_INFINITY };
    /// A point after all others, for events that are not scheduled.
    pub const DISTANT_FUTURE: Self = Self { millis: f64::INFINITY };

    /// Creates the point `millis` milliseconds after the clock's origin.
    pub const fn from_millis(millis: f64) -> Self {
        Self { millis }
    }

    /// Returns the milliseconds since the clock's origin.
    pub const fn as_millis(self) -> f64 {
        self.millis
    }

    /// Creates the point `micros` microseconds after the clock's origin.
    pub fn from_micros(micros: u64) -> Self {
        Self { millis: micros as f64 / MICROS_PER_MILLI }
    }

    /// Returns the whole microseconds since the clock's origin, as used in timer keys; 0 for a point before it.
    pub fn whole_micros(self) -> u64 {
        (self.millis.max(0.0) * MICROS_PER_MILLI) as u64
    }

    /// Returns the milliseconds since `earlier`; negative if that is later, infinite if one point is distant.
    pub fn millis_since(self, earlier: Self) -> f64 {
        self.millis - earlier.millis
    }

    /// Returns the point `millis` milliseconds later.
    pub fn plus_millis(self, millis: f64) -> Self {
        Self { millis: self.millis + millis }
    }

    /// Returns the point `millis` milliseconds earlier.
    pub fn minus_millis(self, millis: f64) -> Self {
        Self { millis: self.millis - millis }
    }

    /// Returns the later of two points.
    pub fn max(self, other: Self) -> Self {
        Self { millis: self.millis.max(other.millis) }
    }

    /// Returns the earlier of two points.
    pub fn min(self, other: Self) -> Self {
        Self { millis: self.millis.min(other.millis) }
    }

    /// Compares two points in a total order, for sorting.
    pub fn total_cmp(&self, other: &Self) -> Ordering {
        self.millis.total_cmp(&other.millis)
    }

    /// Returns whether this is neither the distant past nor the distant future.
    pub fn is_finite(self) -> bool {
        self.millis.is_finite()
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        self.plus_millis(millis(duration))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        self.minus_millis(millis(duration))
    }
}

/// A monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Creates a clock whose origin is the current time.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.start.elapsed().as_secs_f64() * 1000.0)
    }
}
