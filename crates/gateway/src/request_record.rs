//! Record of an accepted request.

use crate::api::{RequestId, ServerId, Zones};
use ivygate_time::Timestamp;
use std::sync::Arc;

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// No outcome yet.
    InFlight,
    /// The request is known not to have run.
    NeverRan,
    /// The request ran or may have run.
    MayHaveRun,
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub server: ServerId,
    pub sent_at: Timestamp,
    pub state: AttemptState,
    /// Estimated number of other requests on the server when it was sent.
    pub concurrency: f64,
}

/// A request that this gateway has accepted.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    /// Index of its class.
    pub class: usize,
    /// Index of its customer's plan.
    pub plan: usize,
    pub customer: Arc<str>,
    /// Number of gateways over which the customer's requests are spread.
    pub gateways: f64,
    pub deadline: Timestamp,
    /// Time from which a response no longer has the full value.
    pub target_at: Timestamp,
    pub units: f64,
    /// Zones whose servers may get it; `None` for all.
    pub zones: Option<Zones>,
    pub max_attempts: u32,
    pub attempts: Vec<Attempt>,
    /// The client has its final answer; the record is kept only for the attempts still in flight.
    pub is_closed: bool,
    /// A streamed response has begun.
    pub is_streaming: bool,
}

impl RequestRecord {
    /// Returns the number of attempts without an outcome.
    pub fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.state == AttemptState::InFlight).count()
    }

    /// Returns whether the request is known not to have run in any attempt.
    pub fn never_ran(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.state == AttemptState::NeverRan)
    }

    /// Returns the first attempt in which the request ran, may have run or may still run.
    pub fn first_possibly_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.state != AttemptState::NeverRan)
    }

    /// Returns whether the maximum number of attempts allows another one.
    pub fn has_attempts_left(&self) -> bool {
        (self.attempts.len() as u32) < self.max_attempts
    }

    /// Returns whether an attempt was sent to a server.
    pub fn was_sent_to(&self, server: ServerId) -> bool {
        self.attempts.iter().any(|attempt| attempt.server == server)
    }
}

/// An attempt in flight, as kept in its server's record.
#[derive(Clone, Debug)]
pub(crate) struct InFlightAttempt {
    pub request: RequestId,
    pub attempt: u32,
    pub sent_at: Timestamp,
}
