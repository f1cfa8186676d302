//! Points on a process's monotonic clock.
//!
//! State machines of this workspace read no clock: each event is handed to them with the [`Timestamp`] at which it
//! happened. Lengths of time that are fixed are [`Duration`]s; lengths that are computed are [`Millis`].
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

use std::cmp::Ordering;
use std::ops::{Add, Sub};
use std::time::{Duration, Instant};

const NANOS_PER_MILLI: f64 = 1e6;
const MICROS_PER_MILLI: f64 = 1e3;

/// A computed length of time in milliseconds. A point in time is a [`Timestamp`].
pub type Millis = f64;

/// A length of time in milliseconds; exact where it is a whole number of them.
pub fn millis(length: Duration) -> Millis {
    length.as_nanos() as f64 / NANOS_PER_MILLI
}

/// A point on a monotonic clock that may have started at any time.
///
/// Never compare points of two machines, nor of two runs of a process.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Timestamp {
    millis: f64,
}

impl Timestamp {
    /// Before every other point: "never yet".
    pub const DISTANT_PAST: Self = Self { millis: f64::NEG_INFINITY };
    /// After every other point: "not for now".
    pub const DISTANT_FUTURE: Self = Self { millis: f64::INFINITY };

    /// The point that is so many milliseconds after the clock's start.
    pub const fn from_millis(millis: f64) -> Self {
        Self { millis }
    }

    /// Milliseconds since the clock's start.
    pub const fn as_millis(self) -> f64 {
        self.millis
    }

    /// The point that is so many microseconds after the clock's start.
    pub fn from_micros(micros: u64) -> Self {
        Self { millis: micros as f64 / MICROS_PER_MILLI }
    }

    /// Whole microseconds since the clock's start, as keys of timers have them; 0 for a point before it.
    pub fn whole_micros(self) -> u64 {
        (self.millis.max(0.0) * MICROS_PER_MILLI) as u64
    }

    /// Milliseconds since another point; negative if that is later, infinite for a distant one.
    pub fn millis_since(self, earlier: Self) -> f64 {
        self.millis - earlier.millis
    }

    /// The point so many milliseconds later.
    pub fn plus_millis(self, millis: f64) -> Self {
        Self { millis: self.millis + millis }
    }

    /// The point so many milliseconds earlier.
    pub fn minus_millis(self, millis: f64) -> Self {
        Self { millis: self.millis - millis }
    }

    /// The later of two points.
    pub fn max(self, other: Self) -> Self {
        Self { millis: self.millis.max(other.millis) }
    }

    /// The earlier of two points.
    pub fn min(self, other: Self) -> Self {
        Self { millis: self.millis.min(other.millis) }
    }

    /// Orders points totally, for sorting.
    pub fn total_cmp(&self, other: &Self) -> Ordering {
        self.millis.total_cmp(&other.millis)
    }

    /// Whether this is a point on a clock, and not a distant one.
    pub fn is_finite(self) -> bool {
        self.millis.is_finite()
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, length: Duration) -> Self {
        self.plus_millis(millis(length))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, length: Duration) -> Self {
        self.minus_millis(millis(length))
    }
}

/// The clock of a process.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// The point that it is now.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.start.elapsed().as_secs_f64() * 1000.0)
    }
}
