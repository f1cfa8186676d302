//! Admission: whether a request is sent at all.
//!
//! Under pressure within quotas the least value for work is rejected first, before it is sent. A plan's price has no part in it:
//! what customers of a cheap plan ask for within their quotas is owed to them too.

use crate::api::{Action, Arrival, RejectReason};
use crate::gateway::Gateway;
use crate::load_balancing::Choice;
use crate::quota::QuotaStatus;
use crate::request_record::RequestRecord;
use ivygate_time::{Millis, Timestamp};

/// Part of what is left of its own latency target that a request's expected wait may take.
const MAX_WAIT_RATIO: f64 = 0.7;
/// Part of the shortest latency target of all classes that the queue may take before a request of mean value for work: a class with
/// a long target would else fill queues that starve the others.
const MAX_QUEUE_RATIO: f64 = 0.25;
/// Bounds on the factor that value for work puts on that part: cheap requests are rejected first, and with them those beyond a
/// quota that still pay.
const MIN_QUEUE_FACTOR: f64 = 0.4;
const MAX_QUEUE_FACTOR: f64 = 2.0;
/// One over the own attempts in flight for each server from which on that factor has its full weight: with fewer, a gateway mostly
/// knows nothing of the queue at the server that it chooses.
const QUEUE_KNOWLEDGE: f64 = 4.0;
/// Queue that every request may join, in works of a mean request. Where work is long against the shortest latency target, the part
/// above comes to less than one request's: one that is only guessed to be at each server would then reject all cheap work, on an
/// idle fleet too.
const MIN_QUEUE_WORKS: f64 = 1.0;
/// Part of what is left of the latency target after which a rejected request may come back.
const RETRY_AFTER_RATIO: f64 = 0.25;
/// Weight of one request in the mean value for work.
const MEAN_VALUE_WEIGHT: f64 = 0.01;

impl Gateway {
    /// Takes in a request: sends its first attempt, or rejects it.
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

    /// When a rejected client may come back. Its retry counts from its first attempt: one after the latency target would spend quota
    /// for nothing.
    fn retry_after(&self, time_left: Millis) -> Millis {
        (time_left * RETRY_AFTER_RATIO).min(self.settings.max_retry_after.unwrap_or(0.0))
    }

    /// Why a request is rejected by its quota, if it is. What is beyond a quota may still pay.
    fn quota_rejection(&mut self, plan: usize, status: QuotaStatus) -> Option<RejectReason> {
        let limits = &self.settings.plans[plan];
        let excess_pays = limits.excess_value > limits.excess_cost;
        match status {
            QuotaStatus::RateLimited => {
                self.rejected.rate_limit += 1;
                Some(RejectReason::RateLimit)
            }
            QuotaStatus::Exceeded if !excess_pays => {
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

    /// The longest queue that a request may join, by its value for work.
    fn max_queue(&mut self, request: &RequestRecord, status: QuotaStatus) -> Millis {
        let work = self.expected_work(request.class, request.units);
        let value = self.settings.classes[request.class].value * request.units / work;
        self.update_means(value, work);
        // Many gateways that see little guess the same queue at all servers, and would reject all cheap work on it, also where there
        // is capacity: the factor's weight rests on what this gateway knows itself.
        let knowledge = (QUEUE_KNOWLEDGE * self.typical_in_flight / self.ready_servers).min(1.0);
        let factor = (value / self.mean_value).clamp(MIN_QUEUE_FACTOR, MAX_QUEUE_FACTOR).powf(knowledge);
        let factor = if status == QuotaStatus::Exceeded { MIN_QUEUE_FACTOR } else { factor };
        (MAX_QUEUE_RATIO * self.shortest_target * factor).max(MIN_QUEUE_WORKS * self.mean_work)
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
