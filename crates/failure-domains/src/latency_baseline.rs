//! How long requests of a class usually take: what is far beyond it is a observation.
//!
//! Called by [`crate::ZoneAwareGateway`] alone.

use ivygate_time::Millis;

/// Weight of one answer.
const LEARNING_WEIGHT: f64 = 0.02;
/// Answers before what was learned counts.
const MIN_SAMPLES: u32 = 8;
/// Before that a request is overdue after this part of its aim.
const UNKNOWN_OVERDUE_RATIO: f64 = 0.5;
/// A request is overdue this many mean deviations after the mean: with exponential times one in a hundred is.
const OVERDUE_DEVIATIONS: f64 = 5.0;
/// And this many times the mean at the least: times that hardly vary must not make each hiccup a observation.
const OVERDUE_MEAN_FACTOR: f64 = 3.0;
/// And this long, for what the processes and the network add.
const MIN_OVERDUE_TIME: Millis = 20.0;

/// Times of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyBaseline {
    mean: Millis,
    deviation: Millis,
    answers: u32,
}

impl LatencyBaseline {
    /// Takes in the time of a good answer.
    pub fn learn(&mut self, elapsed: Millis) {
        self.answers = self.answers.saturating_add(1);
        let weight = LEARNING_WEIGHT.max(1.0 / f64::from(self.answers));
        self.mean += weight * (elapsed - self.mean);
        self.deviation += weight * ((elapsed - self.mean).abs() - self.deviation);
    }

    /// After how long a request is overdue.
    pub fn overdue(&self, aim: Millis) -> Millis {
        if self.answers < MIN_SAMPLES {
            return MIN_OVERDUE_TIME.max(UNKNOWN_OVERDUE_RATIO * aim);
        }
        (self.mean + OVERDUE_DEVIATIONS * self.deviation)
            .max(OVERDUE_MEAN_FACTOR * self.mean)
            .max(MIN_OVERDUE_TIME)
    }
}
