//! What is learned from answers: work of requests, slowness of servers, requests of other gateways.

use crate::api::{AttemptResult, Load, Outcome, ServerId};
use crate::gateway::{Gateway, ZoneFailures};
use crate::request_record::Attempt;
use crate::server_record::ServerRecord;
use ivygate_time::{Millis, Timestamp};

/// Part of a latency target that an unmeasured request is taken to need on an idle server.
const INITIAL_WORK_RATIO: f64 = 0.1;
/// How many answers that guess is worth, and the one that a server is as quick as others: one unusually long request must not
/// close a gateway.
const INITIAL_ANSWERS: f64 = 4.0;
/// Weight of one answer in a class's learned work; some seconds of traffic.
const WORK_WEIGHT: f64 = 0.04;
/// Weight of one answer in a server's learned slowness; a slow server shows within some twenty answers.
const SLOWNESS_WEIGHT: f64 = 0.05;
/// Bounds on a server's slowness.
const MIN_SLOWNESS: f64 = 0.3;
const MAX_SLOWNESS: f64 = 10.0;
/// Time in which what time-outs taught of a server's slowness loses most of its weight, in shortest latency targets. Time-outs
/// come with faults, and a server that is not asked for them shows nothing better: it would be left for ever.
const TIMEOUT_SLOWNESS_MEMORY: f64 = 4.0;
/// Weight of one report in what other gateways keep on a server; reports are noisy.
const REPORT_WEIGHT: f64 = 0.5;
/// Time in which a report loses most of its weight, in shortest latency targets. A gateway that rejects hears no more reports:
/// without this, one bad report would keep it rejecting.
const REPORT_MEMORY: f64 = 0.8;
/// Weight of one answer in the queueing seen at a server: some answers.
const QUEUEING_WEIGHT: f64 = 0.2;
/// Part of a mean request's work by which queueing is cut: requests differ in work, and a long one is no queue.
const QUEUEING_NOISE: f64 = 2.0;
/// Time in which queueing seen loses most of its weight, in shortest latency targets: as queues drain.
const QUEUEING_MEMORY: f64 = 1.5;
/// Slowing of a request by each other one on its server, as a part of its own work.
pub(crate) const CONTENTION: f64 = 0.45;
/// Weight of one attempt in the part of those to a zone that fail: a lost or cut zone shows long before each of its servers has
/// failed here.
const ZONE_FAILURE_WEIGHT: f64 = 0.3;

impl Gateway {
    /// Expected work of a request on an idle server of the fleet.
    pub(crate) fn expected_work(&self, class: usize, units: f64) -> Millis {
        let (estimate, class) = (&self.classes[class], &self.settings.classes[class]);
        let initial = class.initial_work.unwrap_or(INITIAL_WORK_RATIO * class.latency_target);
        (INITIAL_ANSWERS * initial + estimate.answers * estimate.unit_work * units)
            / (INITIAL_ANSWERS + estimate.answers)
    }

    /// Requests that other gateways are taken to keep on a server which reports none: as many as this one.
    pub(crate) fn unreported_requests(&self) -> f64 {
        self.typical_in_flight / self.ready_servers * f64::from(self.settings.gateways - 1)
    }

    /// Requests thought to be on a server.
    pub(crate) fn concurrency(&self, server: &ServerRecord, unreported: f64) -> f64 {
        let report_weight =
            (-self.now.millis_since(server.reported_at) / (REPORT_MEMORY * self.shortest_target)).exp();
        let others = unreported + report_weight * (server.others_in_flight - unreported);
        server.in_flight.len() as f64 + others
    }

    /// A server's service time against the fleet's, by answers and time-outs.
    pub(crate) fn slowness(&self, server: &ServerRecord) -> f64 {
        server.slowness_at(self.now, TIMEOUT_SLOWNESS_MEMORY * self.shortest_target)
    }

    /// Queueing that answers of a server have shown, as far as it is no noise.
    pub(crate) fn queueing_seen(&self, server: &ServerRecord) -> Millis {
        let age = self.now.millis_since(server.last_answer_at);
        let seen = server.queueing * (-age / (QUEUEING_MEMORY * self.shortest_target)).exp();
        (seen - QUEUEING_NOISE * self.mean_work).max(0.0)
    }

    /// Learns from an attempt's end.
    pub(crate) fn learn(
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
        server.learn_queueing(result, work * expected);
        // The more a server held, the more of the time was waiting, and the less it tells: without this a busy server, its waiting
        // explained away, would look quick and draw more. Time-outs show slow ones.
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
        server.learn_slowness(now, result.outcome, observed, expected, weight);
        self.learn_zone_failure(id, result.outcome);
        self.note_outcome(id, result.outcome, attempt.sent_at);
        self.note_load(id, result.load);
    }

    fn learn_zone_failure(&mut self, id: ServerId, outcome: Outcome) {
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

    /// Takes in a server's report of the requests that it holds.
    ///
    /// Only a count of them is believed: busy processors are told as a mean over a time that has passed when the report arrives, and
    /// say nothing of the queue of now. All gateways read the same and leave a server together: by then one told to be busy is idle.
    /// Reports may also be wrong, or late for any cause. So what is rejected for want of capacity rests on own attempts, as many of
    /// each other gateway, and the queueing seen in answers. That may do harm where others send far more than this gateway: until
    /// answers show the queueing, it takes theirs to be as few.
    pub(crate) fn note_load(&mut self, id: ServerId, load: Load) {
        let Some(held) = load.in_flight.or(load.queue) else { return };
        let now = self.now;
        let Some(server) = self.servers.get_mut(&id) else { return };
        let others = (held - server.in_flight.len() as f64).max(0.0);
        server.others_in_flight += REPORT_WEIGHT * (others - server.others_in_flight);
        server.reported_at = now;
    }
}

impl ServerRecord {
    /// Learns the queueing that neither own attempts nor reports show: work of others, and work that a server goes on with after
    /// its attempt was given up. It holds also when all servers slow down at once, and may do harm after a run of unusually long
    /// requests, for as long as it fades.
    fn learn_queueing(&mut self, result: &AttemptResult, expected: Millis) {
        if matches!(result.outcome, Outcome::Ok | Outcome::Timeout) {
            let queueing = result.elapsed - expected;
            self.queueing = (self.queueing + QUEUEING_WEIGHT * (queueing - self.queueing)).max(0.0);
        }
    }

    fn learn_slowness(
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
