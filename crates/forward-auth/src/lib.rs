//! One request behind a sign-in check: what may happen to it, and what never; and what is kept of questions: answers
//! that are remembered, failures that are counted, ids that were admitted.
//!
//! Called by the sidecar's front, which asks the service, sends the request on, and answers. It does no I/O and
//! reads no clock: events come through [`AuthCheck::handle`], with the time. It must not know HTTP beyond statuses,
//! nor which server is asked; that is the decision module's.

mod admissions;
mod cache;
mod limits;

pub use admissions::{AdmissionStatus, Admissions};
pub use cache::{cache_lifetime, Cache, Lookup};
pub use limits::RateLimiter;

/// What happens where the service gives no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailurePolicy {
    /// The request is answered 503.
    Closed,
    /// It goes on unchecked.
    Open,
}

/// What an answer of the service means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may go on.
    Allowed,
    /// It may not: the service's answer is the client's.
    Denied,
    /// It is no answer to the question.
    Unusable,
}

impl Verdict {
    /// By the convention that proxies share: 2xx is a yes, 401, 403 and redirections are a no.
    pub fn from_status(status: u16) -> Self {
        match status {
            200..=299 => Verdict::Allowed,
            401 | 403 | 300..=399 => Verdict::Denied,
            _ => Verdict::Unusable,
        }
    }
}

/// What happens to the check or to the one who waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckEvent {
    /// The service has answered, whole.
    Answered(Verdict),
    /// The service's pool has refused the check: nothing was asked.
    Rejected,
    /// Too many checks failed for this address or credential: nothing was asked.
    RateLimited,
    /// No answer came in its time, or it broke.
    NoAnswer,
    /// The client has left.
    ClientGone,
    /// The request's own time is up.
    DeadlineExpired,
}

/// What is to be done. All but [`CheckAction::Ignore`] comes once in a request's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckAction {
    /// Send the request on; `checked` tells whether a yes stands behind it.
    Forward {
        /// Whether the service said yes.
        checked: bool,
    },
    /// Give the client the service's answer.
    Relay,
    /// Answer 503 with `Retry-After`: the service has no room.
    Overloaded,
    /// Answer 429 with `Retry-After`: too many checks failed for whoever asks.
    RateLimited,
    /// Answer 503: the service gives no usable answer.
    Unavailable,
    /// Answer 504.
    TimedOut,
    /// Nothing more happens to this request here.
    Ignore,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Asking,
    /// It has gone on, been answered, or nobody waits.
    Over,
}

/// A request that waits for its check.
#[derive(Clone, Debug)]
pub struct AuthCheck {
    phase: Phase,
    failure_policy: FailurePolicy,
    deadline: f64,
}

impl AuthCheck {
    /// A request whose check is about to be asked for, with a deadline in milliseconds.
    pub fn new(failure_policy: FailurePolicy, deadline: f64) -> Self {
        Self { phase: Phase::Asking, failure_policy, deadline }
    }

    /// Takes in what has happened, at a time in milliseconds.
    pub fn handle(&mut self, now: f64, event: CheckEvent) -> CheckAction {
        if self.phase == Phase::Over {
            // Also a yes that comes now: its request has its answer, or nobody to answer.
            return CheckAction::Ignore;
        }
        self.phase = Phase::Over;
        if event == CheckEvent::ClientGone {
            return CheckAction::Ignore;
        }
        // A yes in the same moment as the deadline comes too late to do anything with.
        if now >= self.deadline {
            return CheckAction::TimedOut;
        }
        match (event, self.failure_policy) {
            (CheckEvent::Answered(Verdict::Allowed), _) => CheckAction::Forward { checked: true },
            (CheckEvent::Answered(Verdict::Denied), _) => CheckAction::Relay,
            // Not a failure of the service: letting all pass as soon as it is busy would invite floods.
            (CheckEvent::Rejected, _) => CheckAction::Overloaded,
            (CheckEvent::RateLimited, _) => CheckAction::RateLimited,
            (CheckEvent::DeadlineExpired, _) => CheckAction::TimedOut,
            (CheckEvent::Answered(Verdict::Unusable) | CheckEvent::NoAnswer, FailurePolicy::Open) => {
                CheckAction::Forward { checked: false }
            }
            (CheckEvent::Answered(Verdict::Unusable) | CheckEvent::NoAnswer, FailurePolicy::Closed) => {
                CheckAction::Unavailable
            }
            (CheckEvent::ClientGone, _) => CheckAction::Ignore,
        }
    }
}

/// Time for a check, in milliseconds: at most `within`, and so that the application keeps its usual time of
/// what the client will wait, or half of that where it is less.
pub fn check_time_limit(within: f64, wait: f64, usual: f64) -> f64 {
    within.min(wait - usual.min(wait / 2.0)).max(0.0)
}

/// A header's name as servers may spell it: some take `_` for `-`, and case never counts.
pub fn fold_header_name(name: &str) -> String {
    name.bytes().map(|b| if b == b'_' { '-' } else { char::from(b.to_ascii_lowercase()) }).collect()
}

#[cfg(test)]
mod tests;
