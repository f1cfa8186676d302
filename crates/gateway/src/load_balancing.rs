//! Load balancing: selects the server with the lowest expected cost.
//!
//! The cost consists of the expected wait, estimated from own attempts, load reports and responses, the cost of the network
//! distance, and the recent failures in the server's zone. Random jitter keeps gateways with the same estimates from choosing the
//! same server.

use crate::api::{ServerId, ZoneShares};
use crate::estimators::CONTENTION;
use crate::gateway::{Gateway, ZoneFailures};
use crate::outlier_ejection::MAX_EJECTION_TIME;
use crate::request_record::RequestRecord;
use crate::server_record::ServerRecord;
use crate::settings::Effect;
use ivygate_time::{Millis, Timestamp};
use std::collections::BTreeSet;

/// Maximum random increase of a server's cost, so that gateways with the same estimates do not all choose the same server.
const COST_JITTER: f64 = 0.15;
/// Cost of crossing zones at a cross-zone cost of 1, in latency targets.
const CROSS_ZONE_TARGETS: f64 = 2.0;
/// Weight of one sample in the moving average of own attempts in flight, from which those of other gateways are estimated. With
/// many gateways each has less than one attempt in flight on average, so the current number says little about the others.
const IN_FLIGHT_WEIGHT: f64 = 0.05;
/// Lower bound of a server's slowness in the expected wait.
const MIN_ASSUMED_SLOWNESS: f64 = 0.7;
/// Maximum number of attempts in flight at a server that is used as a last resort.
const MAX_LAST_RESORT_IN_FLIGHT: usize = 2;

/// The server selected for an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    pub server: ServerId,
    /// Expected time until the response.
    pub wait: Millis,
    /// Expected queueing time, included in `wait`.
    pub queue: Millis,
}

/// Inputs of a server selection that are the same for all servers.
struct Selection<'a> {
    request: &'a RequestRecord,
    effect: Effect,
    latency_target: Millis,
    work: Millis,
    unreported: f64,
    cross_zone_cost: Millis,
    /// Random number that decides which zones the request avoids; drawn once per request, so that a zone's share applies to
    /// requests and not to each of its servers separately.
    zone_draw: f64,
    at_slow_start_bound: BTreeSet<ServerId>,
}

impl Selection<'_> {
    /// Returns whether the request should avoid a zone according to its shares.
    fn avoids(&self, shares: &ZoneShares) -> bool {
        let ratio = if self.effect == Effect::Safe { shares.safe } else { shares.other };
        self.zone_draw >= ratio
    }
}

/// The server that is used if no other one is available.
#[derive(Clone, Copy)]
struct LastResort {
    /// End of its ejection plus a penalty; the server with the earliest time is preferred.
    rank: Timestamp,
    choice: Choice,
    /// Set if it is ejected or the request avoids its zone.
    is_avoided: bool,
}

impl Gateway {
    /// Returns the server with the lowest expected cost, or `None` if no server may be used.
    pub(crate) fn choose_server(&mut self, request: &RequestRecord) -> Option<Choice> {
        let work = self.expected_work(request.class, request.units);
        self.fill_slow_start_budgets(work);
        self.update_typical_in_flight();
        let class = &self.settings.classes[request.class];
        let (effect, latency_target) = (class.effect, class.latency_target);
        let selection = Selection {
            request,
            work,
            unreported: self.unreported_requests(),
            cross_zone_cost: CROSS_ZONE_TARGETS * self.settings.cross_zone_cost * latency_target,
            zone_draw: if self.zone_shares.is_empty() { 0.0 } else { self.rng.f64() },
            at_slow_start_bound: self.servers_at_slow_start_bound(),
            effect,
            latency_target,
        };
        self.least_cost(&selection)
    }

    fn update_typical_in_flight(&mut self) {
        let servers = self.servers.values().filter(|server| !self.is_zone_drained(server));
        let in_flight: usize = servers.map(|server| server.in_flight.len()).sum();
        self.typical_in_flight += IN_FLIGHT_WEIGHT * (in_flight as f64 - self.typical_in_flight);
    }

    fn least_cost(&mut self, selection: &Selection) -> Option<Choice> {
        let mut best: Option<(f64, Choice)> = None;
        let mut last_resort: Option<LastResort> = None;
        let mut has_healthy_server = false;
        for (id, server) in &self.servers {
            if !self.is_allowed(selection, *id, server) {
                continue;
            }
            let is_ejected = self.now < server.ejected_until;
            let is_zone_avoided = self.is_zone_avoided(selection, server);
            has_healthy_server |= !is_ejected && !server.is_on_probation && !is_zone_avoided;
            if self.exceeds_slow_start_budget(server, selection.work) {
                continue;
            }
            let choice = self.expected_wait(selection, *id, server);
            let was_tried = selection.request.was_sent_to(*id);
            let is_busy = server.is_on_probation && !server.in_flight.is_empty();
            if is_ejected || is_zone_avoided || is_busy || was_tried {
                let is_penalized = was_tried || is_zone_avoided;
                let rank = self.last_resort_rank(server, is_penalized);
                let is_better = last_resort.is_none_or(|known| rank < known.rank);
                if server.in_flight.len() < MAX_LAST_RESORT_IN_FLIGHT && is_better {
                    let is_avoided = is_ejected || is_zone_avoided;
                    last_resort = Some(LastResort { rank, choice, is_avoided });
                }
                continue;
            }
            if server.is_on_probation && selection.effect == Effect::Unsafe {
                continue;
            }
            let distance = self.distance(selection, server);
            let cost = (choice.wait + distance) * (1.0 + COST_JITTER * self.rng.f64());
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, choice));
            }
        }
        // Ejection never empties the fleet. But if healthy servers exist and are only warming up or busy, the request is rejected
        // rather than sent to an ejected server, where it would most likely time out and use up its attempts.
        let last_resort = last_resort.filter(|last_resort| !last_resort.is_avoided || !has_healthy_server);
        best.map(|(_, choice)| choice).or(last_resort.map(|last_resort| last_resort.choice))
    }

    /// Returns whether a server may get the request at all.
    fn is_allowed(&self, selection: &Selection, id: ServerId, server: &ServerRecord) -> bool {
        let zones = selection.request.zones.as_ref();
        let is_outside = zones.is_some_and(|zones| !zones.contains(&server.zone));
        !is_outside
            && !selection.at_slow_start_bound.contains(&id)
            && server.is_ready()
            && self.may_send_to(selection.request, server)
    }

    fn is_zone_avoided(&self, selection: &Selection, server: &ServerRecord) -> bool {
        self.zone_shares.iter().any(|shares| shares.zone == server.zone && selection.avoids(shares))
    }

    /// Returns the expected time until a server's response and the queueing time in it.
    fn expected_wait(&self, selection: &Selection, id: ServerId, server: &ServerRecord) -> Choice {
        let concurrency = self.concurrency(server, selection.unreported);
        let slowness = self.slowness(server).max(MIN_ASSUMED_SLOWNESS / self.capacity_ratio(server));
        // A server that has not answered for some time needs at least that long.
        let oldest = server.in_flight.front();
        let silence =
            oldest.map_or(0.0, |oldest| self.now.millis_since(oldest.sent_at.max(server.last_answer_at)));
        let service = selection.work * slowness;
        let queueing = self.observed_queueing(server);
        let queue = (self.mean_work * slowness * CONTENTION * concurrency).max(queueing);
        let wait = (service * (1.0 + CONTENTION * concurrency)).max(service + queueing).max(silence);
        Choice { server: id, wait, queue }
    }

    fn last_resort_rank(&self, server: &ServerRecord, is_penalized: bool) -> Timestamp {
        let penalty = if is_penalized { MAX_EJECTION_TIME * self.shortest_target } else { 0.0 };
        server.ejected_until.plus_millis(penalty)
    }

    /// Returns the cost of a server's network distance and of the recent failures in its zone.
    fn distance(&self, selection: &Selection, server: &ServerRecord) -> Millis {
        let crossing = if server.zone == self.zone { 0.0 } else { selection.cross_zone_cost };
        let none = ZoneFailures { ratio: 0.0, updated_at: self.now };
        let failures = self.zone_failures.get(&server.zone).copied().unwrap_or(none);
        let age = self.now.millis_since(failures.updated_at);
        let decay = (-age / (MAX_EJECTION_TIME * self.shortest_target)).exp();
        server.distance_cost + crossing + selection.latency_target * failures.ratio * decay
    }
}
