//! Usual response times of a request class; a response far beyond them counts as a failure.
//!
//! Used only by [`crate::ZoneAwareGateway`].

use ivygate_time::Millis;

/// Weight of one response.
const LEARNING_WEIGHT: f64 = 0.02;
/// Number of responses before the learned times are used.
const MIN_RESPONSES: u32 = 8;
/// Share of the latency target after which a request is overdue before that.
const INITIAL_OVERDUE_RATIO: f64 = 0.5;
/// Mean deviations above the mean after which a request is overdue; with exponential response times, one in a hundred is.
const OVERDUE_DEVIATIONS: f64 = 5.0;
/// Minimum multiple of the mean after which a request is overdue, so that short delays do not count where times hardly vary.
const OVERDUE_MEAN_FACTOR: f64 = 3.0;
/// Minimum time after which a request is overdue; allows for delays of processes and the network.
const MIN_OVERDUE_TIME: Millis = 20.0;

/// Response times of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyBaseline {
    mean: Millis,
    deviation: Millis,
    responses: u32,
}

impl LatencyBaseline {
    /// Updates the baseline with the time of a successful response.
    pub fn learn(&mut self, elapsed: Millis) {
        self.responses = self.responses.saturating_add(1);
        let weight = LEARNING_WEIGHT.max(1.0 / f64::from(self.responses));
        self.mean += weight * (elapsed - self.mean);
        self.deviation += weight * ((elapsed - self.mean).abs() - self.deviation);
    }

    /// Returns the time after which a request is overdue.
    pub fn overdue(&self, latency_target: Millis) -> Millis {
        if self.responses < MIN_RESPONSES {
            return MIN_OVERDUE_TIME.max(INITIAL_OVERDUE_RATIO * latency_target);
        }
        (self.mean + OVERDUE_DEVIATIONS * self.deviation)
            .max(OVERDUE_MEAN_FACTOR * self.mean)
            .max(MIN_OVERDUE_TIME)
    }
}
