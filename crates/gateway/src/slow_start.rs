//! Slow start: what servers that warm up may be sent.
//!
//! Where the deployment tells how capacity grows, each gateway has a budget of work for each such server, its even part of what
//! the server takes. Where a rate of requests is told instead, the server's bound holds, see
//! [`SlowStartBound`](crate::SlowStartBound).

use crate::api::ServerId;
use crate::gateway::Gateway;
use crate::server_record::ServerRecord;
use ivygate_time::Millis;
use std::collections::BTreeSet;

/// Part of the work that a server may be sent before it fails which is used: work varies.
const BUDGET_SAFETY: f64 = 0.75;
/// Part of a window's budget that may be sent at once; the window itself adds one more.
const BUDGET_BURST: f64 = 0.33;

impl Gateway {
    /// Present part of a server's capacity, at the least.
    pub(crate) fn capacity_ratio(&self, server: &ServerRecord) -> f64 {
        let age =
            server.started_at.map_or(f64::INFINITY, |started_at| self.now.millis_since(started_at).max(0.0));
        if age >= self.settings.slow_start_duration {
            return 1.0;
        }
        let initial = self.settings.slow_start_capacity;
        initial + (1.0 - initial) * age / self.settings.slow_start_duration
    }

    /// Whether a server warms up and may not be sent this much work now.
    pub(crate) fn exceeds_slow_start_budget(&self, server: &ServerRecord, work: Millis) -> bool {
        self.capacity_ratio(server) < 1.0 && server.slow_start_budget.is_some_and(|budget| budget < work)
    }

    /// Fills the budgets of all servers; each is taken to serve one request at a time, as every server can at least.
    pub(crate) fn fill_slow_start_budgets(&mut self, work: Millis) {
        for id in self.servers.keys().copied().collect::<Vec<_>>() {
            let rate = self.slow_start_rate(&self.servers[&id]);
            let burst = BUDGET_BURST * rate * self.settings.overload_window;
            // A budget starts anywhere: gateways that are told of a server together must not all send their first request at once.
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

    /// Work that this gateway may send to a server, per millisecond.
    fn slow_start_rate(&self, server: &ServerRecord) -> f64 {
        BUDGET_SAFETY * self.settings.overload_factor * self.capacity_ratio(server)
            / f64::from(self.settings.gateways)
    }

    /// The servers whose bound lets no request through now.
    pub(crate) fn servers_at_slow_start_bound(&mut self) -> BTreeSet<ServerId> {
        let now = self.now;
        let at_bound = |server: &mut ServerRecord| !server.passes_slow_start_bound(now);
        self.servers.iter_mut().filter_map(|(id, server)| at_bound(server).then_some(*id)).collect()
    }
}

/// A budget that fills to less than a request in a window lapses unless it is used within one: the full budgets of many gateways
/// would else add up, and be spent at once when traffic gathers.
fn bounded_budget(budget: Millis, burst: Millis, work: Millis) -> Millis {
    if burst < work {
        budget % (burst + work)
    } else {
        budget.min(burst)
    }
}
