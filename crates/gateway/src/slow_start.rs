//! Slow start: limits the load on servers that are warming up.
//!
//! Where the settings tell how capacity grows, each gateway has a budget of work for each such server: an equal share of the work
//! that the server can take. Where the server list sets a request rate instead, that rate applies, see
//! [`SlowStartBound`](crate::SlowStartBound).

use crate::api::ServerId;
use crate::gateway::Gateway;
use crate::server_record::ServerRecord;
use ivygate_time::Millis;
use std::collections::BTreeSet;

/// Share of the work at which a server fails that the budgets use; the rest allows for requests with more work than estimated.
const BUDGET_SAFETY: f64 = 0.75;
/// Share of a window's budget that may be sent at once; the budget earned within the window comes on top.
const BUDGET_BURST: f64 = 0.33;

impl Gateway {
    /// Returns the share of its capacity that a server has at least.
    pub(crate) fn capacity_ratio(&self, server: &ServerRecord) -> f64 {
        let age =
            server.started_at.map_or(f64::INFINITY, |started_at| self.now.millis_since(started_at).max(0.0));
        if age >= self.settings.slow_start_duration {
            return 1.0;
        }
        let initial = self.settings.slow_start_capacity;
        initial + (1.0 - initial) * age / self.settings.slow_start_duration
    }

    /// Returns whether a server is warming up and its budget does not cover this work.
    pub(crate) fn exceeds_slow_start_budget(&self, server: &ServerRecord, work: Millis) -> bool {
        self.capacity_ratio(server) < 1.0 && server.slow_start_budget.is_some_and(|budget| budget < work)
    }

    /// Refills the budgets of all servers. Each is assumed to serve one request at a time, which every server can.
    pub(crate) fn fill_slow_start_budgets(&mut self, work: Millis) {
        for id in self.servers.keys().copied().collect::<Vec<_>>() {
            let rate = self.slow_start_rate(&self.servers[&id]);
            let burst = BUDGET_BURST * rate * self.settings.overload_window;
            // Budgets start at a random level, so that gateways that learn of a server together do not all send to it at once.
            let is_new = self.servers[&id].slow_start_budget.is_none();
            let start = if is_new { self.rng.f64() * (burst + work) } else { 0.0 };
            let now = self.now;
            if let Some(server) = self.servers.get_mut(&id) {
                let gain = rate * now.millis_since(server.budget_filled_at).max(0.0);
                let budget = server.slow_start_budget.unwrap_or(start) + gain;
                server.slow_start_budget = Some(bounded_budget(budget, burst, work));
                server.budget_filled_at = now;
            }
        }
    }

    /// Returns the work per millisecond that this gateway may send to a server.
    fn slow_start_rate(&self, server: &ServerRecord) -> f64 {
        BUDGET_SAFETY * self.settings.overload_factor * self.capacity_ratio(server)
            / f64::from(self.settings.gateways)
    }

    /// Returns the servers whose slow-start bound allows no request now.
    pub(crate) fn servers_at_slow_start_bound(&mut self) -> BTreeSet<ServerId> {
        let now = self.now;
        let at_bound = |server: &mut ServerRecord| !server.passes_slow_start_bound(now);
        self.servers.iter_mut().filter_map(|(id, server)| at_bound(server).then_some(*id)).collect()
    }
}

/// Caps a budget at `burst`, or, where `burst` is less than one request's work, lets it wrap around once it reaches their sum. A
/// capped budget could never pay for a request then, and with many gateways, full budgets would add up and be spent at once when
/// traffic rises.
fn bounded_budget(budget: Millis, burst: Millis, work: Millis) -> Millis {
    if burst < work {
        budget % (burst + work)
    } else {
        budget.min(burst)
    }
}
