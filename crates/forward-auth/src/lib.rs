//! State machine for a request that waits for a forward-auth (sign-in) check, and the state shared between checks:
//! cached answers, rate limits for failed checks, and admitted request ids.
//!
//! Called by the sidecar, which queries the sign-in service, forwards the request and answers the client. This crate
//! does no I/O and reads no clock: events and their time are passed to [`AuthCheck::handle`]. It knows nothing of HTTP
//! beyond status codes, and does not choose the server to query; the gateway's decision module does.

mod admissions;
mod cache;
mod limits;

pub use admissions::{AdmissionStatus, Admissions};
pub use cache::{cache_lifetime, Cache, Lookup};
pub use limits::RateLimiter;

/// Policy for a sign-in service that gives no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailurePolicy {
    /// The request is answered 503.
    Closed,
    /// The request is forwarded unchecked.
    Open,
}

/// Meaning of the sign-in service's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be forwarded.
    Allowed,
    /// The request is refused; the client gets the service's answer.
    Denied,
    /// The status code neither allows nor denies the request.
    Unusable,
}

impl Verdict {
    /// Classifies a status by the convention of forward-auth proxies: 2xx allows; 401, 403 and 3xx deny.
    pub fn from_status(status: u16) -> Self {
        match status {
            200..=299 => Verdict::Allowed,
            401 | 403 | 300..=399 => Verdict::Denied,
            _ => Verdict::Unusable,
        }
    }
}

/// Event of a pending check or of the client that waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckEvent {
    /// The service has answered completely.
    Answered(Verdict),
    /// The service's pool rejected the check before sending it.
    Rejected,
    /// Too many checks have failed for this address or credential; the check was not sent.
    RateLimited,
    /// The check timed out, or its answer broke off.
    NoAnswer,
    /// The client has disconnected.
    ClientGone,
    /// The request's own deadline has passed.
    DeadlineExpired,
}

/// Action for the caller. Each request gets at most one action other than [`CheckAction::Ignore`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckAction {
    /// Forward the request to the application.
    Forward {
        /// True if the service has allowed the request, false if it is forwarded by [`FailurePolicy::Open`].
        checked: bool,
    },
    /// Relay the service's answer to the client.
    Relay,
    /// Answer 503 with `Retry-After`: the service has no capacity.
    Overloaded,
    /// Answer 429 with `Retry-After`: too many checks have failed for this client.
    RateLimited,
    /// Answer 503: the service gave no usable answer.
    Unavailable,
    /// Answer 504: the deadline has passed.
    TimedOut,
    /// Do nothing: the check is already decided, or the client is gone.
    Ignore,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Pending,
    /// The request was forwarded or answered, or its client has disconnected.
    Decided,
}

/// State of a request that waits for its check.
#[derive(Clone, Debug)]
pub struct AuthCheck {
    phase: Phase,
    failure_policy: FailurePolicy,
    deadline: f64,
}

impl AuthCheck {
    /// Creates the state of a request whose check is about to be sent; `deadline` is in milliseconds.
    pub fn new(failure_policy: FailurePolicy, deadline: f64) -> Self {
        Self { phase: Phase::Pending, failure_policy, deadline }
    }

    /// Handles an event at the time `now`, in milliseconds.
    pub fn handle(&mut self, now: f64, event: CheckEvent) -> CheckAction {
        if self.phase == Phase::Decided {
            // This includes a late allow: the request has been answered, or its client is gone.
            return CheckAction::Ignore;
        }
        self.phase = Phase::Decided;
        if event == CheckEvent::ClientGone {
            return CheckAction::Ignore;
        }
        // An answer that arrives exactly at the deadline leaves no time to forward the request.
        if now >= self.deadline {
            return CheckAction::TimedOut;
        }
        match (event, self.failure_policy) {
            (CheckEvent::Answered(Verdict::Allowed), _) => CheckAction::Forward { checked: true },
            (CheckEvent::Answered(Verdict::Denied), _) => CheckAction::Relay,
            // A rejection is no failure of the service: failing open under overload would let a flood bypass it.
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

/// Returns the time limit of a check: at most `max_check`, and short enough to leave the application `app_latency` of
/// the request's time limit `total`, or half of `total` if that is less. All times are in milliseconds.
pub fn check_time_limit(max_check: f64, total: f64, app_latency: f64) -> f64 {
    max_check.min(total - app_latency.min(total / 2.0)).max(0.0)
}

/// Normalizes a header name to lower case with `-` for `_`, since some servers treat the two as equal.
pub fn fold_header_name(name: &str) -> String {
    name.bytes().map(|b| if b == b'_' { '-' } else { char::from(b.to_ascii_lowercase()) }).collect()
}

#[cfg(test)]
mod tests;
