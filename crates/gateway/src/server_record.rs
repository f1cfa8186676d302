//! Record of a server from the server list.

use crate::api::{ServerEntry, ServerState, SlowStartBound};
use crate::request_record::InFlightAttempt;
use ivygate_time::{Millis, Timestamp};
use std::collections::VecDeque;
use std::sync::Arc;

/// State and estimates of a server.
#[derive(Clone, Debug)]
pub(crate) struct ServerRecord {
    pub zone: Arc<str>,
    pub cell: u32,
    pub state: ServerState,
    pub started_at: Option<Timestamp>,
    /// This gateway's attempts in flight, in the order of sending.
    pub in_flight: VecDeque<InFlightAttempt>,
    /// Requests of other gateways, estimated from load reports.
    pub others_in_flight: f64,
    pub reported_at: Timestamp,
    /// Its service time relative to the fleet's, learned from responses.
    pub slowness: f64,
    /// Decaying addition to `slowness` learned from timeouts, as of `slowness_changed_at`.
    pub timeout_slowness: f64,
    pub slowness_changed_at: Timestamp,
    /// Weight of the responses and timeouts that the slowness is based on.
    pub answers: f64,
    /// Queueing time observed in its responses.
    pub queueing: Millis,
    /// Time of its last response of any kind.
    pub last_answer_at: Timestamp,
    pub consecutive_failures: u32,
    /// End of its ejection; until then it is used only as a last resort.
    pub ejected_until: Timestamp,
    /// Set from an ejection until the next successful response.
    pub is_on_probation: bool,
    /// Set while a health check is in flight.
    pub is_being_checked: bool,
    /// Work that may currently be sent to it while it warms up; `None` before the first fill.
    pub slow_start_budget: Option<Millis>,
    pub budget_filled_at: Timestamp,
    /// Cost of the network distance to it.
    pub distance_cost: Millis,
    /// Limit on its request rate while it warms up, with the state of its token bucket.
    pub slow_start: Option<SlowStartBound>,
    pub slow_start_tokens: f64,
    pub tokens_filled_at: Timestamp,
}

impl ServerRecord {
    /// Creates the record of a server without any observations.
    pub fn new(entry: &ServerEntry, now: Timestamp) -> Self {
        Self {
            zone: entry.zone.as_str().into(),
            cell: entry.cell,
            state: entry.state,
            started_at: entry.started_at,
            in_flight: VecDeque::new(),
            others_in_flight: 0.0,
            reported_at: Timestamp::DISTANT_PAST,
            slowness: 1.0,
            timeout_slowness: 0.0,
            slowness_changed_at: now,
            answers: 0.0,
            queueing: 0.0,
            last_answer_at: now,
            consecutive_failures: 0,
            ejected_until: Timestamp::DISTANT_PAST,
            is_on_probation: false,
            is_being_checked: false,
            slow_start_budget: None,
            budget_filled_at: now,
            distance_cost: entry.distance_cost,
            slow_start: entry.slow_start,
            slow_start_tokens: 0.0,
            tokens_filled_at: now,
        }
    }

    /// Returns whether it accepts requests.
    pub fn is_ready(&self) -> bool {
        self.state == ServerState::Ready
    }

    /// Refills the token bucket of the slow-start bound, which holds one request at most, and returns whether it allows one.
    pub fn passes_slow_start_bound(&mut self, now: Timestamp) -> bool {
        let Some(bound) = self.slow_start.filter(|bound| now < bound.until) else { return true };
        let gain = bound.requests_per_s * now.millis_since(self.tokens_filled_at) / 1000.0;
        self.slow_start_tokens = (self.slow_start_tokens + gain).min(1.0);
        self.tokens_filled_at = now;
        self.slow_start_tokens >= 1.0
    }

    /// Returns its service time relative to the fleet's. The part learned from timeouts decays with time constant `memory`.
    pub fn slowness_at(&self, now: Timestamp, memory: Millis) -> f64 {
        self.slowness + self.timeout_slowness * (-now.millis_since(self.slowness_changed_at) / memory).exp()
    }
}
