//! Periodic work: due hedged requests, removal of stale records, log lines.

use crate::api::{Action, RequestId, ServerState};
use crate::gateway::{Gateway, PendingHedge, RejectionCounts};
use crate::quota::reading_lifetime;
use crate::server_record::ServerRecord;
use ivygate_time::{Millis, Timestamp};

/// Interval of ticks.
const TICK_INTERVAL: Millis = 20.0;
/// Minimum time between two log lines.
const LOG_INTERVAL: Millis = 5_000.0;
/// Interval at which stale records are removed.
pub(crate) const SWEEP_INTERVAL: Millis = 1_000.0;

impl Gateway {
    /// Schedules the first tick at which there is work; ticks are aligned to multiples of the tick interval.
    pub(crate) fn schedule_tick(&mut self, token: u64, actions: &mut Vec<Action>) {
        let hedge_at = self.hedges.first().map_or(Timestamp::DISTANT_FUTURE, PendingHedge::due_at);
        let wanted =
            if self.settings.allow_health_checks { self.now } else { hedge_at.min(self.next_sweep_at) };
        let started_at = self.started_at.unwrap_or(self.now);
        let intervals = |at: Timestamp| at.millis_since(started_at) / TICK_INTERVAL;
        let next = intervals(wanted).ceil().max((intervals(self.now) + 0.5).floor() + 1.0);
        let at = started_at.plus_millis(TICK_INTERVAL * next);
        if at < self.next_tick_at {
            self.next_tick_at = at;
            actions.push(Action::Timer { token, at });
        }
    }

    pub(crate) fn handle_tick(&mut self, actions: &mut Vec<Action>) {
        // A tick that was rescheduled to an earlier time may have done the work already. Callers round timestamps, so a tick that
        // is at most half an interval early is the scheduled one.
        if self.now.plus_millis(0.5 * TICK_INTERVAL) < self.next_tick_at {
            return;
        }
        self.next_tick_at = Timestamp::DISTANT_FUTURE;
        self.send_due_hedges(actions);
        if self.now >= self.next_sweep_at {
            self.next_sweep_at = self.now.plus_millis(SWEEP_INTERVAL);
            self.remove_stale_records();
            self.log_rejections(actions);
        }
        if self.settings.allow_health_checks {
            self.check_ejected_servers(actions);
        }
    }

    fn send_due_hedges(&mut self, actions: &mut Vec<Action>) {
        while let Some(due) = self.hedges.first().filter(|hedge| hedge.is_due(self.now)).cloned() {
            self.hedges.remove(&due);
            self.hedge(&due.request, actions);
        }
        // Finished requests must not cause a tick.
        let is_over = |id: &RequestId| self.requests.get(id).is_none_or(|request| request.is_closed);
        while self.hedges.first().is_some_and(|hedge| is_over(&hedge.request)) {
            self.hedges.pop_first();
        }
    }

    fn remove_stale_records(&mut self) {
        let (now, plans) = (self.now, &self.settings.plans);
        self.customers.retain(|_, customer| {
            let plan = &plans[customer.plan];
            let refill_time = |burst: f64, rate: f64| if rate > 0.0 { 1000.0 * burst / rate } else { 0.0 };
            let refill_time =
                refill_time(plan.burst, plan.rate).max(refill_time(plan.limit_burst, plan.limit_rate));
            now < customer
                .last_seen_at
                .plus_millis(refill_time.max(reading_lifetime(plan, customer.gateways)))
        });
        self.servers.retain(|_, server| server.state != ServerState::Gone || !server.in_flight.is_empty());
    }

    fn log_rejections(&mut self, actions: &mut Vec<Action>) {
        let ready = || self.servers.values().filter(|server| server.is_ready());
        let ejected = ready().filter(|server: &&ServerRecord| server.is_on_probation).count();
        let usable = ready().count() - ejected;
        let has_rejected = self.rejected != RejectionCounts::default();
        if self.now < self.next_log_at || (!has_rejected && ejected == 0) {
            return;
        }
        self.next_log_at = self.now.plus_millis(LOG_INTERVAL);
        let RejectionCounts { quota, rate_limit, overload } = std::mem::take(&mut self.rejected);
        let text = format!(
            "rejected {quota} over quota, {rate_limit} over a rate limit, {overload} for lack of capacity; \
             {} customers on record; {usable} servers in use, {ejected} ejected",
            self.customers.len()
        );
        actions.push(Action::Log { text });
    }
}
