//! Outlier ejection: takes failing servers out of load balancing and readmits them.
//!
//! An ejected server is on probation until it answers successfully: after its ejection time it gets one request at a time, and
//! health checks where those are allowed. Ejection never empties the fleet: see the last resort in
//! [`load_balancing`](crate::load_balancing).
//!
//! Attempts in flight at an ejected server continue: each ends with its own response or timeout, may be hedged once it is
//! overdue, and is retried elsewhere as [`retry`](crate::retry) allows.

use crate::api::{Action, Load, Outcome, ServerId};
use crate::gateway::Gateway;
use crate::server_record::ServerRecord;
use ivygate_time::{Millis, Timestamp};

/// Consecutive failures that eject a server that is not on probation.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// Ejection time after the first failure, in shortest latency targets; it doubles with each further failure up to the maximum.
const MIN_EJECTION_TIME: f64 = 0.4;
pub(crate) const MAX_EJECTION_TIME: f64 = 3.0;
/// Maximum number of doublings.
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Ejection time after a server rejected a request, in shortest latency targets; a few service times.
const REJECTION_EJECTION_TIME: f64 = 0.12;

impl Gateway {
    /// Ejects a server for the time that an outcome calls for, and updates the time of its last response.
    pub(crate) fn record_outcome(&mut self, id: ServerId, outcome: Outcome, sent_at: Timestamp) {
        let (now, target) = (self.now, self.shortest_target);
        let Some(server) = self.servers.get_mut(&id) else { return };
        let ejection_time = server.ejection_time(outcome, sent_at, target);
        if ejection_time > 0.0 {
            server.ejected_until = server.ejected_until.max(now.plus_millis(ejection_time));
        }
        if matches!(outcome, Outcome::Ok | Outcome::Rejected | Outcome::Error | Outcome::Unusable) {
            server.last_answer_at = now;
        }
    }

    /// Handles the end of a health check.
    pub(crate) fn handle_health_checked(&mut self, id: ServerId, outcome: Outcome, load: Load) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.is_being_checked = false;
        self.record_outcome(id, outcome, now);
        self.record_load(id, load);
    }

    /// Sends health checks to servers on probation whose ejection is over.
    pub(crate) fn check_ejected_servers(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        for (id, server) in &mut self.servers {
            let is_due = server.is_on_probation && !server.is_being_checked && now >= server.ejected_until;
            if server.is_ready() && is_due {
                server.is_being_checked = true;
                actions.push(Action::CheckHealth { server: *id });
            }
        }
    }
}

impl ServerRecord {
    /// Returns the time for which an outcome ejects this server; 0 for none.
    fn ejection_time(&mut self, outcome: Outcome, sent_at: Timestamp, target: Millis) -> Millis {
        match outcome {
            Outcome::Ok => {
                self.consecutive_failures = 0;
                self.is_on_probation = false;
                0.0
            }
            Outcome::Rejected => REJECTION_EJECTION_TIME * target,
            // An attempt sent before the server's last response is no evidence of its current state.
            Outcome::Timeout | Outcome::Error if sent_at < self.last_answer_at => 0.0,
            Outcome::Timeout | Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => {
                self.ejection_after_failure(outcome, target)
            }
            // Unusable responses depend on the request, not on the server.
            Outcome::Unusable | Outcome::Cancelled | Outcome::NeverSent => 0.0,
        }
    }

    fn ejection_after_failure(&mut self, outcome: Outcome, target: Millis) -> Millis {
        self.consecutive_failures += 1;
        // A single reset does not show that the server is down: a dead server resets all connections and refuses new ones.
        let is_certain = outcome == Outcome::ConnectFailed || self.is_on_probation;
        if !is_certain && self.consecutive_failures < MAX_CONSECUTIVE_FAILURES {
            return 0.0;
        }
        self.is_on_probation = true;
        let doublings = self.consecutive_failures.saturating_sub(1).min(MAX_EJECTION_DOUBLINGS);
        (MIN_EJECTION_TIME * f64::from(1u32 << doublings)).min(MAX_EJECTION_TIME) * target
    }
}
