//! Attempts, retries, hedged requests and the final answer to the client.
//!
//! An unsafe request is never sent again once it may have run. A keyed request is then sent only to servers that drop its
//! repeats, and only within its key window.

use crate::api::{Action, AttemptResult, RejectReason, RequestId};
use crate::gateway::{Gateway, PendingHedge, DEADLINE_MARGIN};
use crate::load_balancing::Choice;
use crate::request_record::{Attempt, AttemptState, InFlightAttempt, RequestRecord};
use crate::server_record::ServerRecord;
use crate::settings::{Effect, KeyScope, RetryBudget};
use ivygate_time::{Millis, Timestamp};

/// An attempt is overdue after this multiple of its expected wait ...
const OVERDUE_FACTOR: f64 = 5.0;
/// ... but not before this share of the time left until the latency target.
const MIN_OVERDUE_RATIO: f64 = 0.6;

/// Times at which an attempt is abandoned and at which a hedged one is sent.
struct AttemptPlan {
    give_up_at: Timestamp,
    hedge_at: Option<Timestamp>,
}

impl Gateway {
    /// Adds the share of an accepted request to the retry budget.
    pub(crate) fn earn_retries(&mut self) {
        let RetryBudget { ratio, burst, .. } = self.settings.retry_budget;
        self.retry_tokens = (self.retry_tokens + ratio).min(burst);
    }

    /// Returns whether another attempt of a request may go to a server.
    pub(crate) fn may_send_to(&self, request: &RequestRecord, server: &ServerRecord) -> bool {
        let Some(first) = request.first_possibly_run() else { return true };
        let class = &self.settings.classes[request.class];
        let Effect::Keyed(scope) = class.effect else { return class.effect == Effect::Safe };
        let Some(first_server) = self.servers.get(&first.server) else { return false };
        let drops_repeats = match scope {
            KeyScope::All => true,
            KeyScope::Zone => first_server.zone == server.zone,
            KeyScope::Cell => first_server.cell == server.cell,
        };
        drops_repeats && self.now < first.sent_at.plus_millis(class.key_window).minus_millis(DEADLINE_MARGIN)
    }

    /// Returns whether the client may be told that a retry is safe.
    fn may_reject(&self, request: &RequestRecord) -> bool {
        let effect = self.settings.classes[request.class].effect;
        request.never_ran() || matches!(effect, Effect::Safe | Effect::Keyed(KeyScope::All))
    }

    /// Returns the time from which a response has no value.
    fn useful_until(&self, request: &RequestRecord) -> Timestamp {
        let earns_late = self.settings.classes[request.class].late_value > 0.0;
        let target = if earns_late {
            Timestamp::DISTANT_FUTURE
        } else {
            request.target_at.minus_millis(DEADLINE_MARGIN)
        };
        request.deadline.min(target)
    }

    /// Sends an attempt to the selected server.
    pub(crate) fn send_attempt(&mut self, id: &RequestId, choice: Choice, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(request) = self.requests.get(id) else { return };
        let AttemptPlan { give_up_at, hedge_at } = self.plan_attempt(request, choice.wait);
        let work = self.expected_work(request.class, request.units);
        let (plan, customer) = (request.plan, request.customer.clone());
        let attempt = request.attempts.len() as u32;
        let unreported = self.unreported_requests();
        let server = self.servers.get(&choice.server);
        let concurrency = server.map_or(0.0, |server| self.concurrency(server, unreported));
        let Some(server) = self.servers.get_mut(&choice.server) else { return };
        server.in_flight.push_back(InFlightAttempt { request: id.clone(), attempt, sent_at: now });
        server.slow_start_budget = server.slow_start_budget.map(|budget| budget - work);
        server.slow_start_tokens -= 1.0;
        self.plans[plan].in_flight.add(&customer, 1.0);
        if let Some(request) = self.requests.get_mut(id) {
            let state = AttemptState::InFlight;
            request.attempts.push(Attempt { server: choice.server, sent_at: now, state, concurrency });
        }
        if let Some(hedge_at) = hedge_at {
            self.hedges.insert(PendingHedge::new(hedge_at, id.clone()));
        }
        actions.push(Action::Send { request: id.clone(), server: choice.server, give_up_at });
    }

    /// Plans an attempt. When it is overdue, a hedged attempt is sent if hedging is allowed; otherwise it is abandoned in time
    /// for a retry.
    fn plan_attempt(&self, request: &RequestRecord, wait: Millis) -> AttemptPlan {
        let class = &self.settings.classes[request.class];
        let end = self.useful_until(request);
        let time_left = request.target_at.millis_since(self.now);
        let overdue_after = (OVERDUE_FACTOR * wait).max(MIN_OVERDUE_RATIO * time_left);
        let has_another = (request.attempts.len() as u32 + 1) < request.max_attempts;
        let may_repeat = class.effect != Effect::Unsafe && has_another && overdue_after + wait < time_left;
        let is_hedged = may_repeat && self.settings.allow_hedging;
        let overdue_at = self.now.plus_millis(overdue_after);
        AttemptPlan {
            give_up_at: if may_repeat && !is_hedged { end.min(overdue_at) } else { end },
            hedge_at: is_hedged.then_some(overdue_at),
        }
    }

    /// Handles the end of an attempt: updates the estimates and continues the request.
    pub(crate) fn handle_attempt_ended(&mut self, result: &AttemptResult, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&result.request) else { return };
        let Some(attempt) = request.attempts.get_mut(result.attempt as usize) else { return };
        if attempt.state != AttemptState::InFlight {
            return;
        }
        attempt.state =
            if result.outcome.never_ran() { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
        let attempt = attempt.clone();
        request.is_closed |= result.is_final;
        let RequestRecord { class, plan, units, gateways, .. } = *request;
        let customer = request.customer.clone();
        self.plans[plan].in_flight.add(&customer, -1.0);
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            server.remove_in_flight(&result.request, result.attempt);
        }
        self.update_estimates(attempt.server, class, units, &attempt, result);
        if let Some(percent) = result.metered_percent {
            self.handle_meter_reading(plan, &customer, gateways, percent);
        }
        self.continue_request(&result.request, actions);
    }

    /// Closes, retries or fails a request after one of its attempts has ended.
    fn continue_request(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        if request.is_closed {
            return self.close(id, actions);
        }
        if request.in_flight() > 0 {
            return;
        }
        let request = request.clone();
        if self.retry(id, &request, actions) {
            return;
        }
        let answer = if self.may_reject(&request) {
            Action::Reject { request: id.clone(), retry_after: 0.0, reason: RejectReason::Overload }
        } else {
            Action::Fail { request: id.clone() }
        };
        actions.push(answer);
        self.requests.remove(id);
    }

    /// Retries a request if its number of attempts, its remaining time and the retry budget allow it; returns whether it did.
    fn retry(&mut self, id: &RequestId, request: &RequestRecord, actions: &mut Vec<Action>) -> bool {
        let end = self.useful_until(request);
        let is_uncharged = request.never_ran() && !self.settings.retry_budget.counts_never_run;
        let has_budget = is_uncharged || self.retry_tokens >= 1.0;
        let has_time = self.now.plus_millis(DEADLINE_MARGIN) < end;
        if !request.has_attempts_left() || request.is_streaming || !has_time || !has_budget {
            return false;
        }
        let choice = self.choose_server(request).filter(|choice| self.now.plus_millis(choice.wait) < end);
        let Some(choice) = choice else { return false };
        if !is_uncharged {
            self.retry_tokens -= 1.0;
        }
        self.send_attempt(id, choice, actions);
        true
    }

    /// Sends a hedged attempt for a request whose attempt is overdue.
    pub(crate) fn hedge(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        let is_waiting = !request.is_closed && !request.is_streaming && request.in_flight() == 1;
        if !is_waiting || self.retry_tokens < 1.0 || !request.has_attempts_left() {
            return;
        }
        let request = request.clone();
        let time_left = request.target_at.millis_since(self.now);
        let choice = self.choose_server(&request).filter(|choice| choice.wait < time_left);
        if let Some(choice) = choice.filter(|choice| !request.was_sent_to(choice.server)) {
            self.retry_tokens -= 1.0;
            self.send_attempt(id, choice, actions);
        }
    }

    /// Closes a request that has its final answer, and cancels its attempts in flight if cancellation is allowed.
    pub(crate) fn close(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.is_closed = true;
        let may_cancel = self.settings.allow_cancellation && !request.is_streaming;
        for (number, attempt) in request.attempts.iter().enumerate() {
            if may_cancel && attempt.state == AttemptState::InFlight {
                actions.push(Action::Cancel { request: id.clone(), attempt: number as u32 });
            }
        }
        if request.in_flight() == 0 {
            self.requests.remove(id);
        }
    }
}

impl ServerRecord {
    fn remove_in_flight(&mut self, request: &RequestId, attempt: u32) {
        let is_same = |known: &InFlightAttempt| known.attempt == attempt && known.request == *request;
        if let Some(position) = self.in_flight.iter().position(is_same) {
            self.in_flight.remove(position);
        }
    }
}
