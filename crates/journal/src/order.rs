//! What is known of one request, from what was recorded of it. No I/O, no clock.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What came of one attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// Nothing is known: it may have run.
    #[default]
    Unknown,
    /// Proof that it never ran.
    NotRun,
    /// The server's answer, with its status.
    Answer(u16),
}

/// One attempt. It is recorded before its first byte goes out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// Its number, in order of the sends, from 0.
    pub number: u32,
    /// The server.
    pub server: SocketAddr,
    /// When it was about to be sent, in Unix milliseconds.
    pub sent_at: f64,
    /// What came of it.
    #[serde(rename = "came")]
    pub outcome: AttemptOutcome,
}

/// How it ended for its client, where that was not with the answer of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndReason {
    /// The client left before there was an answer.
    ClientGone,
    /// Its time was up.
    #[serde(rename = "given-up")]
    TimedOut,
}

/// A request that must not run twice, or a keyed one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The id that its client gave it.
    pub client_id: Option<String>,
    /// Whether its key lets servers drop its repeats: then it may be sent again, and its id holds nothing.
    #[serde(default, skip_serializing_if = "is_false")]
    pub keyed: bool,
    /// Its customer, or the customer's pseudonym.
    pub customer: String,
    /// Its route.
    pub route: String,
    /// Its target.
    pub target: String,
    /// When it was taken, in Unix milliseconds.
    #[serde(rename = "taken_at")]
    pub accepted_at: f64,
    /// Its attempts, in order.
    pub attempts: Vec<Attempt>,
    /// How it ended, where no attempt tells.
    #[serde(rename = "ended", default, skip_serializing_if = "Option::is_none")]
    pub end_reason: Option<EndReason>,
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "asked for by serde")]
fn is_false(value: &bool) -> bool {
    !value
}

/// What can be said of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No byte of it went to a server, or every attempt is proved not to have run.
    NeverSent,
    /// A server answered, with this status.
    Answered(u16),
    /// It was sent, and nothing is known of what it did: somebody must ask.
    Unknown,
}

impl State {
    /// The words for states.
    pub const NAMES: [&'static str; 3] = ["never-sent", "answered", "unknown"];

    /// The word for it, without the status.
    pub fn as_str(self) -> &'static str {
        match self {
            State::NeverSent => Self::NAMES[0],
            State::Answered(_) => Self::NAMES[1],
            State::Unknown => Self::NAMES[2],
        }
    }
}

/// What is recorded.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// It was taken, and its first attempt, which it holds, is about to be sent.
    Accepted(Order),
    /// A further attempt is about to be sent.
    AttemptStarted(Attempt),
    /// What came of an attempt, by its number.
    AttemptEnded(u32, AttemptOutcome),
    /// It ended for its client without an answer of an attempt.
    Closed(EndReason),
}

impl Order {
    /// Takes in what was recorded. What is known is never made less: an answer or a proof stands.
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

    /// What can be said of it.
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
