//! Admission: accepts or rejects a request before its first attempt.
//!
//! Under overload, requests with the lowest value per work are rejected first. A plan's price does not count: customers of a
//! cheap plan are entitled to their quota as well.

use crate::api::{Action, Arrival, RejectReason};
use crate::gateway::Gateway;
use crate::load_balancing::Choice;
use crate::quota::QuotaStatus;
use crate::request_record::RequestRecord;
use ivygate_time::{Millis, Timestamp};

/// Maximum expected wait, as a share of the time left until the request's latency target.
const MAX_WAIT_RATIO: f64 = 0.7;
/// Maximum queueing time of a request of mean value per work, as a share of the shortest latency target of all classes: a class
/// with a long target would otherwise fill queues that starve the others.
const MAX_QUEUE_RATIO: f64 = 0.25;
/// Bounds of the factor by which value per work scales that share. Requests of low value are rejected first; paid requests beyond
/// a quota get the minimum.
const MIN_QUEUE_FACTOR: f64 = 0.4;
const MAX_QUEUE_FACTOR: f64 = 2.0;
/// Reciprocal of the number of own attempts in flight per server from which that factor has its full weight. With fewer, a
/// gateway mostly has no observation of the queue at the server that it selects.
const QUEUE_FACTOR_WEIGHT_PER_ATTEMPT: f64 = 4.0;
/// Queueing time that is allowed for every request, in mean works of a request. Where work is long compared with the shortest
/// latency target, the share above is less than one request's work: a single request merely assumed to be at each server would
/// then cause all low-value requests to be rejected, even on an idle fleet.
const MIN_QUEUE_WORK: f64 = 1.0;
/// Retry-after time of a rejected request, as a share of the time left until its latency target.
const RETRY_AFTER_RATIO: f64 = 0.25;
/// Weight of one request in the mean value per work and in the mean work.
const MEAN_VALUE_WEIGHT: f64 = 0.01;

impl Gateway {
    /// Handles a new request: sends its first attempt or rejects it.
    pub(crate) fn handle_arrival(&mut self, mut arrival: Arrival, actions: &mut Vec<Action>) {
        arrival.gateways = arrival.gateways.clamp(1, self.settings.gateways);
        if self.requests.contains_key(&arrival.request) {
            return;
        }
        let class = self.settings.classes.iter().position(|class| *class.name == *arrival.class);
        let plan = self.settings.plans.iter().position(|plan| *plan.name == *arrival.plan);
        let (Some(class), Some(plan)) = (class, plan) else {
            return actions.push(rejection(&arrival, 0.0, RejectReason::Overload));
        };
        let target_at = self.now.plus_millis(self.settings.classes[class].latency_target);
        let time_left = (target_at.millis_since(self.now)).min(arrival.deadline.millis_since(self.now));
        let retry_after = self.retry_after(time_left);
        let status = self.quota_status(plan, &arrival);
        if let Some(reason) = self.quota_rejection(plan, status) {
            return actions.push(rejection(&arrival, retry_after, reason));
        }
        let request = self.request_record(&arrival, class, plan, target_at);
        let max_queue = self.max_queue(&request, status);
        let is_trial = self.settings.allow_trial_requests
            && self.servers.values().all(|server| server.in_flight.is_empty());
        let has_capacity =
            |choice: &Choice| choice.wait <= MAX_WAIT_RATIO * time_left && choice.queue <= max_queue;
        match self.choose_server(&request).filter(|choice| is_trial || has_capacity(choice)) {
            Some(choice) => {
                let is_within = status == QuotaStatus::Within;
                self.count_units(plan, &arrival.customer, arrival.units, is_within);
                self.earn_retries();
                self.requests.insert(arrival.request.clone(), request);
                self.send_attempt(&arrival.request, choice, actions);
            }
            None => {
                self.rejected.overload += 1;
                actions.push(rejection(&arrival, retry_after, RejectReason::Overload));
            }
        }
    }

    /// Returns the time after which a rejected client may retry. The client's latency target counts from its first attempt, so a
    /// retry after that target would use up quota without any value.
    fn retry_after(&self, time_left: Millis) -> Millis {
        (time_left * RETRY_AFTER_RATIO).min(self.settings.max_retry_after.unwrap_or(0.0))
    }

    /// Returns the reason for which quota or rate limit reject a request, if they do. A request beyond the quota is accepted if
    /// its excess value is greater than its excess cost.
    fn quota_rejection(&mut self, plan: usize, status: QuotaStatus) -> Option<RejectReason> {
        let limits = &self.settings.plans[plan];
        let is_excess_profitable = limits.excess_value > limits.excess_cost;
        match status {
            QuotaStatus::RateLimited => {
                self.rejected.rate_limit += 1;
                Some(RejectReason::RateLimit)
            }
            QuotaStatus::Exceeded if !is_excess_profitable => {
                self.rejected.quota += 1;
                Some(RejectReason::Quota)
            }
            QuotaStatus::Exceeded | QuotaStatus::Within => None,
        }
    }

    fn request_record(
        &self,
        arrival: &Arrival,
        class: usize,
        plan: usize,
        target_at: Timestamp,
    ) -> RequestRecord {
        RequestRecord {
            class,
            plan,
            customer: arrival.customer.clone(),
            gateways: f64::from(arrival.gateways),
            deadline: arrival.deadline,
            target_at,
            units: arrival.units,
            zones: arrival.zones.clone(),
            max_attempts: arrival.max_attempts.unwrap_or(u32::MAX).min(self.settings.max_attempts),
            attempts: Vec::new(),
            is_closed: false,
            is_streaming: false,
        }
    }

    /// Returns the maximum queueing time of a request, by its value per work.
    fn max_queue(&mut self, request: &RequestRecord, status: QuotaStatus) -> Millis {
        let work = self.expected_work(request.class, request.units);
        let value = self.settings.classes[request.class].value * request.units / work;
        self.update_means(value, work);
        // With many gateways, each has few observations and assumes the same queue at all servers; with the full factor it would
        // reject all low-value requests although there is capacity. The factor's weight therefore grows with the own attempts.
        let factor_weight =
            (QUEUE_FACTOR_WEIGHT_PER_ATTEMPT * self.typical_in_flight / self.ready_servers).min(1.0);
        let factor = (value / self.mean_value).clamp(MIN_QUEUE_FACTOR, MAX_QUEUE_FACTOR).powf(factor_weight);
        let factor = if status == QuotaStatus::Exceeded { MIN_QUEUE_FACTOR } else { factor };
        (MAX_QUEUE_RATIO * self.shortest_target * factor).max(MIN_QUEUE_WORK * self.mean_work)
    }

    fn update_means(&mut self, value: f64, work: Millis) {
        if self.mean_value == 0.0 {
            self.mean_value = value;
            self.mean_work = work;
        }
        self.mean_work += MEAN_VALUE_WEIGHT * (work - self.mean_work);
        self.mean_value += MEAN_VALUE_WEIGHT * (value - self.mean_value);
    }
}

fn rejection(arrival: &Arrival, retry_after: Millis, reason: RejectReason) -> Action {
    Action::Reject { request: arrival.request.clone(), retry_after, reason }
}
