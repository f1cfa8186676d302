//! Outlier ejection: which servers are left alone after failures, and how they come back.
//!
//! An ejected server is on probation until it gives a good answer: it gets one request at a time, or health checks where those are
//! allowed. Ejection never empties the fleet: see the last resort in [`load_balancing`](crate::load_balancing).
//!
//! Attempts in flight at a server that is ejected go on: each ends by its own answer or time-out, may be hedged once it is overdue,
//! and is retried elsewhere as [`retry`](crate::retry) allows.

use crate::api::{Action, Load, Outcome, ServerId};
use crate::gateway::Gateway;
use crate::server_record::ServerRecord;
use ivygate_time::{Millis, Timestamp};

/// Failures in a row that eject a server which was answering until now.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// First time of an ejection, in shortest latency targets; it doubles with each failure up to the last.
const MIN_EJECTION_TIME: f64 = 0.4;
pub(crate) const MAX_EJECTION_TIME: f64 = 3.0;
/// Most times that it is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// How long a server that rejected a request is left alone, in shortest latency targets: some services.
const REJECTION_PAUSE: f64 = 0.12;

impl Gateway {
    /// Judges a server by an outcome: each kind of symptom ejects it for its own time.
    pub(crate) fn note_outcome(&mut self, id: ServerId, outcome: Outcome, sent_at: Timestamp) {
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

    /// A health check ended.
    pub(crate) fn handle_health_checked(&mut self, id: ServerId, outcome: Outcome, load: Load) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.is_being_checked = false;
        self.note_outcome(id, outcome, now);
        self.note_load(id, load);
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
    /// How long an outcome ejects this server; 0 for not at all.
    fn ejection_time(&mut self, outcome: Outcome, sent_at: Timestamp, target: Millis) -> Millis {
        match outcome {
            Outcome::Ok => {
                self.consecutive_failures = 0;
                self.is_on_probation = false;
                0.0
            }
            Outcome::Rejected => REJECTION_PAUSE * target,
            // An attempt sent before the last good answer says nothing new.
            Outcome::Timeout | Outcome::Error if sent_at < self.last_answer_at => 0.0,
            Outcome::Timeout | Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => {
                self.ejection_after_failure(outcome, target)
            }
            // All servers alike send answers that can't be read, and reject what a client got wrong.
            Outcome::Unusable | Outcome::Cancelled | Outcome::NeverSent => 0.0,
        }
    }

    fn ejection_after_failure(&mut self, outcome: Outcome, target: Millis) -> Millis {
        self.consecutive_failures += 1;
        // One connection that breaks is no sign of an end, which breaks all and takes no new one.
        let is_certain = outcome == Outcome::ConnectFailed || self.is_on_probation;
        if !is_certain && self.consecutive_failures < MAX_CONSECUTIVE_FAILURES {
            return 0.0;
        }
        self.is_on_probation = true;
        let doublings = self.consecutive_failures.saturating_sub(1).min(MAX_EJECTION_DOUBLINGS);
        (MIN_EJECTION_TIME * f64::from(1u32 << doublings)).min(MAX_EJECTION_TIME) * target
    }
}
