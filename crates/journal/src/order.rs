//! State of one request, derived from its recorded updates. No I/O, no clock.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// Not known; the attempt may have run.
    #[default]
    Unknown,
    /// Proven not to have run.
    NotRun,
    /// Answered by the server with this status.
    Answer(u16),
}

/// Attempt to send a request to a server, recorded before its first byte is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// Sequence number within the request, from 0.
    pub number: u32,
    /// Address of the server.
    pub server: SocketAddr,
    /// Time just before it was sent, in Unix milliseconds.
    pub sent_at: f64,
    /// Its outcome.
    #[serde(rename = "came")]
    pub outcome: AttemptOutcome,
}

/// Reason why a request ended without the answer of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndReason {
    /// The client disconnected before the answer.
    ClientGone,
    /// The deadline passed.
    #[serde(rename = "given-up")]
    TimedOut,
}

/// Request that must not run twice, or one with an idempotency key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Id assigned by the client.
    pub client_id: Option<String>,
    /// Set if an idempotency key lets servers drop repeats of it; it may then be retried, and does not reserve its
    /// client id.
    #[serde(default, skip_serializing_if = "is_false")]
    pub keyed: bool,
    /// Name or pseudonym of the customer.
    pub customer: String,
    /// Name of the route.
    pub route: String,
    /// Request target.
    pub target: String,
    /// Time at which it was accepted, in Unix milliseconds.
    #[serde(rename = "taken_at")]
    pub accepted_at: f64,
    /// Attempts, in the order of sending.
    pub attempts: Vec<Attempt>,
    /// Reason for its end, if it ended without an answer.
    #[serde(rename = "ended", default, skip_serializing_if = "Option::is_none")]
    pub end_reason: Option<EndReason>,
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "required by serde")]
fn is_false(value: &bool) -> bool {
    !value
}

/// State of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No attempt was sent, or every attempt is proven not to have run.
    NeverSent,
    /// A server answered with this status.
    Answered(u16),
    /// It was sent and its outcome is not known; it must be clarified with the customer.
    Unknown,
}

impl State {
    /// Names of the states.
    pub const NAMES: [&'static str; 3] = ["never-sent", "answered", "unknown"];

    /// Returns the name of the state, without the status.
    pub fn as_str(self) -> &'static str {
        match self {
            State::NeverSent => Self::NAMES[0],
            State::Answered(_) => Self::NAMES[1],
            State::Unknown => Self::NAMES[2],
        }
    }
}

/// Update of an order, the unit of recording.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// The order was accepted; its first attempt, which it contains, is about to be sent.
    Accepted(Order),
    /// A further attempt is about to be sent.
    AttemptStarted(Attempt),
    /// The attempt of this number has an outcome.
    AttemptEnded(u32, AttemptOutcome),
    /// The order ended without the answer of an attempt.
    Closed(EndReason),
}

impl Order {
    /// Applies an update. A known outcome is never overwritten.
    pub fn apply(&mut self, update: Update) {
        match update {
            Update::Accepted(order) => {
                let mut attempts = std::mem::take(&mut self.attempts);
                attempts.extend(order.attempts);
                *self = Order { attempts, ..order };
            }
            Update::AttemptStarted(attempt) => self.attempts.push(attempt),
            Update::AttemptEnded(number, outcome) => {
                let found = self.attempts.iter_mut().find(|attempt| attempt.number == number);
                let Some(attempt) = found else { return };
                if attempt.outcome == AttemptOutcome::Unknown {
                    attempt.outcome = outcome;
                }
            }
            Update::Closed(reason) => self.end_reason = Some(self.end_reason.unwrap_or(reason)),
        }
    }

    /// Returns the state derived from the attempts.
    pub fn state(&self) -> State {
        let answer = self.attempts.iter().find_map(|attempt| match attempt.outcome {
            AttemptOutcome::Answer(status) => Some(status),
            _ => None,
        });
        match answer {
            Some(status) => State::Answered(status),
            None if self.attempts.iter().all(|attempt| attempt.outcome == AttemptOutcome::NotRun) => {
                State::NeverSent
            }
            None => State::Unknown,
        }
    }
}

#[cfg(test)]
mod tests;
