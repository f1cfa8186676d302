//! What a gateway knows of a request that it has taken.

use crate::api::{RequestId, ServerId, Zones};
use ivygate_time::Timestamp;
use std::sync::Arc;

/// What is known of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// No outcome yet.
    InFlight,
    /// Proven never to have run.
    NeverRan,
    /// It ran, or may have.
    MayHaveRun,
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub server: ServerId,
    pub sent_at: Timestamp,
    pub state: AttemptState,
    /// Requests thought to be on the server when it was sent.
    pub concurrency: f64,
}

/// A request that this gateway has taken.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    /// Index of its class.
    pub class: usize,
    /// Index of its customer's plan.
    pub plan: usize,
    pub customer: Arc<str>,
    /// Gateways through which the customer's requests may come.
    pub gateways: f64,
    pub deadline: Timestamp,
    /// When an answer stops earning the full value.
    pub target_at: Timestamp,
    pub units: f64,
    /// The only zones whose servers may have it.
    pub zones: Option<Zones>,
    pub max_attempts: u32,
    pub attempts: Vec<Attempt>,
    /// Has its final answer; only kept for the attempts still in flight.
    pub is_closed: bool,
    /// A streamed answer has begun.
    pub is_streaming: bool,
}

impl RequestRecord {
    /// Attempts without an outcome.
    pub fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.state == AttemptState::InFlight).count()
    }

    /// Whether every attempt is proven never to have run.
    pub fn never_ran(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.state == AttemptState::NeverRan)
    }

    /// The first attempt that ran or may have, or may yet.
    pub fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.state != AttemptState::NeverRan)
    }

    /// Whether another attempt is allowed by their number.
    pub fn has_attempts_left(&self) -> bool {
        (self.attempts.len() as u32) < self.max_attempts
    }

    /// Whether a server has had an attempt of this request.
    pub fn was_sent_to(&self, server: ServerId) -> bool {
        self.attempts.iter().any(|attempt| attempt.server == server)
    }
}

/// An attempt in flight, as its server's record holds it.
#[derive(Clone, Debug)]
pub(crate) struct InFlightAttempt {
    pub request: RequestId,
    pub attempt: u32,
    pub sent_at: Timestamp,
}
