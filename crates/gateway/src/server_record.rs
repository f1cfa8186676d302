//! What a gateway knows of a server that the list has named.

use crate::api::{ServerEntry, ServerState, SlowStartBound};
use crate::request_record::InFlightAttempt;
use ivygate_time::{Millis, Timestamp};
use std::collections::VecDeque;
use std::sync::Arc;

/// What is known of a server.
#[derive(Clone, Debug)]
pub(crate) struct ServerRecord {
    pub zone: Arc<str>,
    pub cell: u32,
    pub state: ServerState,
    pub started_at: Option<Timestamp>,
    /// Own attempts in flight, in order of their sending.
    pub in_flight: VecDeque<InFlightAttempt>,
    /// Requests of other gateways, by the last reports.
    pub others_in_flight: f64,
    pub reported_at: Timestamp,
    /// Its service time against the fleet's, learned from answers.
    pub slowness: f64,
    /// What time-outs have added to that, and when that was last changed.
    pub timeout_slowness: f64,
    pub slowness_changed_at: Timestamp,
    /// How many answers that rests on.
    pub answers: f64,
    /// Queueing seen in its answers.
    pub queueing: Millis,
    /// When it last gave an answer of any kind.
    pub last_answer_at: Timestamp,
    pub consecutive_failures: u32,
    /// Not to be used before, but for want of others.
    pub ejected_until: Timestamp,
    /// Whether it was ejected and has given no good answer since.
    pub is_on_probation: bool,
    /// Whether a health check is under way.
    pub is_being_checked: bool,
    /// Work that may still be sent to it while it warms up; `None` before the first look.
    pub slow_start_budget: Option<Millis>,
    pub budget_filled_at: Timestamp,
    /// What the way there is taken to cost.
    pub distance_cost: Millis,
    /// Bound on requests while it warms up, those that may go now, and since when.
    pub slow_start: Option<SlowStartBound>,
    pub slow_start_tokens: f64,
    pub tokens_filled_at: Timestamp,
}

impl ServerRecord {
    /// A server of which only the list has told.
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

    /// Whether it takes requests.
    pub fn is_ready(&self) -> bool {
        self.state == ServerState::Ready
    }

    /// Whether its slow-start bound lets one more request through; it stores one at most.
    pub fn passes_slow_start_bound(&mut self, now: Timestamp) -> bool {
        let Some(bound) = self.slow_start.filter(|bound| now < bound.until) else { return true };
        let gain = bound.requests_per_s * now.millis_since(self.tokens_filled_at) / 1000.0;
        self.slow_start_tokens = (self.slow_start_tokens + gain).min(1.0);
        self.tokens_filled_at = now;
        self.slow_start_tokens >= 1.0
    }

    /// Its service time against the fleet's; what time-outs have added fades within `memory`.
    pub fn slowness_at(&self, now: Timestamp, memory: Millis) -> f64 {
        self.slowness + self.timeout_slowness * (-now.millis_since(self.slowness_changed_at) / memory).exp()
    }
}
