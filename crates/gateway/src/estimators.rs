//! Estimates learned from responses: work of requests, slowness of servers, requests of other gateways.

use crate::api::{AttemptResult, Load, Outcome, ServerId};
use crate::gateway::{Gateway, ZoneFailures};
use crate::request_record::Attempt;
use crate::server_record::ServerRecord;
use ivygate_time::{Millis, Timestamp};

/// Initial estimate of a request's work on an idle server, as a share of its latency target.
const INITIAL_WORK_RATIO: f64 = 0.1;
/// Weight, in responses, of the initial estimates of work and of a server's slowness. Without it one unusually long request could
/// make a gateway reject everything.
const INITIAL_ANSWERS: f64 = 4.0;
/// Weight of one response in the estimated work of a class; averages over some seconds of traffic.
const WORK_WEIGHT: f64 = 0.04;
/// Weight of one response in the estimated slowness of a server; a slow server is detected within about 20 responses.
const SLOWNESS_WEIGHT: f64 = 0.05;
/// Bounds on a server's slowness.
const MIN_SLOWNESS: f64 = 0.3;
const MAX_SLOWNESS: f64 = 10.0;
/// Time constant with which slowness learned from timeouts decays, in shortest latency targets. Timeouts come with faults, and a
/// server that gets no requests because of them cannot show that it has recovered.
const TIMEOUT_SLOWNESS_MEMORY: f64 = 4.0;
/// Weight of one load report in the estimated requests of other gateways; reports are noisy.
const REPORT_WEIGHT: f64 = 0.5;
/// Time constant with which load reports decay, in shortest latency targets. A gateway that rejects requests gets no further
/// reports; without the decay one high report would keep it rejecting.
const REPORT_MEMORY: f64 = 0.8;
/// Weight of one response in the queueing time observed at a server.
const QUEUEING_WEIGHT: f64 = 0.2;
/// Queueing time that is ignored, in mean works of a request: requests differ in work, and a long one does not mean a queue.
const QUEUEING_NOISE: f64 = 2.0;
/// Time constant with which observed queueing decays, in shortest latency targets; matches how queues drain.
const QUEUEING_MEMORY: f64 = 1.5;
/// Delay of a request by each other request on its server, as a share of its own work.
pub(crate) const CONTENTION: f64 = 0.45;
/// Weight of one attempt in a zone's failure ratio. The ratio shows the loss of a zone long before each of its servers has
/// failed.
const ZONE_FAILURE_WEIGHT: f64 = 0.3;

impl Gateway {
    /// Returns the expected work of a request on an idle server of average speed.
    pub(crate) fn expected_work(&self, class: usize, units: f64) -> Millis {
        let (estimate, class) = (&self.classes[class], &self.settings.classes[class]);
        let initial = class.initial_work.unwrap_or(INITIAL_WORK_RATIO * class.latency_target);
        (INITIAL_ANSWERS * initial + estimate.answers * estimate.unit_work * units)
            / (INITIAL_ANSWERS + estimate.answers)
    }

    /// Returns the assumed number of requests of other gateways on a server without load reports: each is assumed to have as many
    /// as this gateway.
    pub(crate) fn unreported_requests(&self) -> f64 {
        self.typical_in_flight / self.ready_servers * f64::from(self.settings.gateways - 1)
    }

    /// Returns the estimated number of requests on a server.
    pub(crate) fn concurrency(&self, server: &ServerRecord, unreported: f64) -> f64 {
        let report_weight =
            (-self.now.millis_since(server.reported_at) / (REPORT_MEMORY * self.shortest_target)).exp();
        let others = unreported + report_weight * (server.others_in_flight - unreported);
        server.in_flight.len() as f64 + others
    }

    /// Returns a server's service time relative to the fleet's, from responses and timeouts.
    pub(crate) fn slowness(&self, server: &ServerRecord) -> f64 {
        server.slowness_at(self.now, TIMEOUT_SLOWNESS_MEMORY * self.shortest_target)
    }

    /// Returns the queueing time observed in a server's responses, above the noise threshold.
    pub(crate) fn observed_queueing(&self, server: &ServerRecord) -> Millis {
        let age = self.now.millis_since(server.last_answer_at);
        let seen = server.queueing * (-age / (QUEUEING_MEMORY * self.shortest_target)).exp();
        (seen - QUEUEING_NOISE * self.mean_work).max(0.0)
    }

    /// Updates all estimates with the result of an attempt.
    pub(crate) fn update_estimates(
        &mut self,
        id: ServerId,
        class: usize,
        units: f64,
        attempt: &Attempt,
        result: &AttemptResult,
    ) {
        let now = self.now;
        let work = self.expected_work(class, units);
        let memory = TIMEOUT_SLOWNESS_MEMORY * self.shortest_target;
        let Some(server) = self.servers.get_mut(&id) else { return };
        let alone = result.elapsed / (1.0 + CONTENTION * attempt.concurrency);
        let observed = alone / work;
        let expected = server.slowness_at(now, memory);
        server.update_queueing(result, work * expected);
        // The more requests a server held, the more of the elapsed time was queueing, and the less it says about the service
        // time. With full weight, a busy server would look fast once its queueing is deducted, and attract more load. Timeouts
        // have full weight, as they show slow servers.
        let weight = match result.outcome {
            Outcome::Ok => 1.0 / (1.0 + attempt.concurrency),
            Outcome::Timeout if observed > expected => 1.0,
            _ => 0.0,
        };
        if result.outcome == Outcome::Ok {
            let estimate = &mut self.classes[class];
            estimate.answers += weight;
            let step = (weight / estimate.answers).max(WORK_WEIGHT * weight);
            estimate.unit_work += step * (alone / units - estimate.unit_work);
        }
        server.update_slowness(now, result.outcome, observed, expected, weight);
        self.update_zone_failures(id, result.outcome);
        self.record_outcome(id, result.outcome, attempt.sent_at);
        self.record_load(id, result.load);
    }

    fn update_zone_failures(&mut self, id: ServerId, outcome: Outcome) {
        if !matches!(outcome, Outcome::Ok | Outcome::ConnectFailed | Outcome::Reset) {
            return;
        }
        let Some(server) = self.servers.get(&id) else { return };
        let failed = f64::from(u8::from(outcome != Outcome::Ok));
        let initial = ZoneFailures { ratio: 0.0, updated_at: self.now };
        let failures = self.zone_failures.entry(server.zone.clone()).or_insert(initial);
        failures.ratio += ZONE_FAILURE_WEIGHT * (failed - failures.ratio);
        failures.updated_at = self.now;
    }

    /// Updates the estimated requests of other gateways on a server with its load report.
    ///
    /// Only the reported number of requests is used. CPU utilization is an average over a past period and says nothing about the
    /// current queue; since all gateways see the same value, they would all avoid a server that is idle by then. Reports may also
    /// be wrong or late. Overload rejections therefore rest on this gateway's own attempts, on the assumption that each other
    /// gateway has as many, and on the queueing observed in responses. Where other gateways send far more, this underestimates
    /// their load until responses show the queueing.
    pub(crate) fn record_load(&mut self, id: ServerId, load: Load) {
        let Some(held) = load.in_flight.or(load.queue) else { return };
        let now = self.now;
        let Some(server) = self.servers.get_mut(&id) else { return };
        let others = (held - server.in_flight.len() as f64).max(0.0);
        server.others_in_flight += REPORT_WEIGHT * (others - server.others_in_flight);
        server.reported_at = now;
    }
}

impl ServerRecord {
    /// Updates the queueing time that neither own attempts nor load reports show: requests of other gateways, and work that a
    /// server continues after its attempt was abandoned. It also detects that all servers slow down at once. After a run of
    /// unusually long requests it is too high until it decays.
    fn update_queueing(&mut self, result: &AttemptResult, expected: Millis) {
        if matches!(result.outcome, Outcome::Ok | Outcome::Timeout) {
            let queueing = result.elapsed - expected;
            self.queueing = (self.queueing + QUEUEING_WEIGHT * (queueing - self.queueing)).max(0.0);
        }
    }

    fn update_slowness(
        &mut self,
        now: Timestamp,
        outcome: Outcome,
        observed: f64,
        expected: f64,
        weight: f64,
    ) {
        self.answers += weight;
        let step = (weight / (INITIAL_ANSWERS + self.answers)).max(SLOWNESS_WEIGHT * weight);
        let timeout_slowness = expected - self.slowness;
        if outcome == Outcome::Ok {
            let slowness = self.slowness + step * (observed - self.slowness);
            self.slowness = slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS);
            self.timeout_slowness = timeout_slowness * (1.0 - step);
        } else {
            self.timeout_slowness =
                (expected + step * (observed - expected)).min(MAX_SLOWNESS) - self.slowness;
        }
        self.slowness_changed_at = now;
    }
}
