//! A gateway with failure domains: derives observations from the results of its attempts, and tells it the zone shares.

use crate::domain::DomainStatus;
use crate::domains::{DomainEvent, EjectionPolicy, FailureDomains};
use crate::evidence::Observation;
use crate::latency_baseline::LatencyBaseline;
use crate::peer_reports::ZoneReport;
use ivygate_gateway::{
    Action, Arrival, AttemptResult, Effect, Event, Gateway, ListKind, Load, Outcome, RejectReason, RequestId,
    ServerId,
};
use ivygate_time::{Millis, Timestamp};
use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;

/// Minimum interval between two scans of open requests.
const SCAN_INTERVAL: Millis = 10.0;
/// Maximum number of requests that are tracked at the same time; attempts of further ones give no observations.
const MAX_OPEN_REQUESTS: usize = 65_536;

/// Properties of a request class.
#[derive(Clone, Copy, Debug)]
pub struct ClassProfile {
    /// Set if its requests may run any number of times.
    pub is_safe: bool,
    /// Time within which a response is expected.
    pub latency_target: Millis,
}

struct Attempt {
    server: ServerId,
    sent_at: Timestamp,
    /// Number of the observation of no response, once it is recorded.
    no_response: Option<u64>,
    in_flight: bool,
}

/// A request that has no final answer or has attempts in flight.
struct OpenRequest {
    class: Arc<str>,
    customer: u64,
    is_closed: bool,
    attempts: Vec<Attempt>,
}

/// A [`Gateway`] that avoids failing zones.
pub struct ZoneAwareGateway {
    gateway: Gateway,
    domains: FailureDomains,
    classes: HashMap<Arc<str>, (ClassProfile, LatencyBaseline)>,
    /// Ordered, so that a seed determines the sequence of events.
    open_requests: BTreeMap<RequestId, OpenRequest>,
    hasher: RandomState,
    scanned_at: Timestamp,
}

impl ZoneAwareGateway {
    /// Wraps a gateway. `classes` are its request classes by name; `seed` determines all random choices.
    pub fn new(
        gateway: Gateway,
        policy: EjectionPolicy,
        classes: impl IntoIterator<Item = (Arc<str>, ClassProfile)>,
        seed: u64,
    ) -> Self {
        Self {
            gateway,
            domains: FailureDomains::new(policy, seed),
            classes: classes
                .into_iter()
                .map(|(name, profile)| (name, (profile, LatencyBaseline::default())))
                .collect(),
            open_requests: BTreeMap::new(),
            hasher: RandomState::new(),
            scanned_at: Timestamp::DISTANT_PAST,
        }
    }

    /// Handles one event and appends the resulting actions to `actions`, in order.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.scan(now);
        let from = actions.len();
        match &event {
            Event::List { kind, servers: entries } if *kind != ListKind::Failed => {
                self.domains.handle_server_list(*kind == ListKind::Full, entries);
            }
            Event::Arrival(arrival) => self.handle_arrival(arrival),
            Event::AttemptEnded(result) => self.handle_attempt_ended(result),
            Event::ClientGone { request } => self.close(request),
            _ => {}
        }
        self.update_zone_shares(now, actions);
        self.gateway.handle(now, event, actions);
        // Withheld health checks are reported as never sent, so that the gateway requests them again when they are due.
        for server in self.process_actions(now, from, actions).into_iter().rev() {
            let withheld =
                Event::HealthChecked { server, outcome: Outcome::NeverSent, load: Load::default() };
            self.gateway.handle(now, withheld, actions);
        }
    }

    /// Replaces the policy, for example after a reload of the configuration.
    pub fn handle_policy(&mut self, now: Timestamp, policy: EjectionPolicy) {
        self.domains.handle_policy(now, policy);
    }

    /// Handles the reports of a peer on the pool's zones.
    pub fn handle_report(&mut self, now: Timestamp, peer: u64, reports: &[ZoneReport]) {
        self.domains.handle_time(now);
        self.domains.handle_report(peer, reports);
    }

    /// Returns the reports that are due for the peers.
    pub fn poll_report(&mut self) -> Option<Vec<ZoneReport>> {
        self.domains.poll_report()
    }

    /// Returns the status of each domain, and whether panic mode is active.
    pub fn statuses(&self) -> (Vec<DomainStatus>, bool) {
        (self.domains.statuses(), self.domains.is_in_panic_mode())
    }

    /// Returns the next event for operators.
    pub fn poll_event(&mut self) -> Option<DomainEvent> {
        self.domains.poll_event()
    }

    /// Records overdue attempts as observations and evaluates the domains.
    fn scan(&mut self, now: Timestamp) {
        if now < self.scanned_at.plus_millis(SCAN_INTERVAL) {
            return;
        }
        self.scanned_at = now;
        let was_paused = self.domains.handle_time(now);
        for open in self.open_requests.values_mut() {
            if was_paused {
                // Attempts in flight through a pause of the process are no evidence.
                open.attempts.iter_mut().for_each(|attempt| attempt.in_flight = false);
                continue;
            }
            let Some((profile, baseline)) = self.classes.get(&open.class) else { continue };
            let overdue = baseline.overdue(profile.latency_target);
            let is_overdue = |a: &&mut Attempt| {
                a.in_flight && a.no_response.is_none() && now > a.sent_at.plus_millis(overdue)
            };
            for attempt in open.attempts.iter_mut().filter(is_overdue) {
                attempt.no_response = Some(self.domains.handle_observation(
                    attempt.server,
                    open.customer,
                    Observation::NoResponse,
                ));
            }
        }
        self.domains.evaluate();
    }

    fn update_zone_shares(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if let Some(zones) = self.domains.poll_zone_shares() {
            self.gateway.handle(now, Event::ZoneShares { zones: zones.into() }, actions);
        }
    }

    fn handle_arrival(&mut self, arrival: &Arrival) {
        let Some((profile, _)) = self.classes.get(&arrival.class) else { return };
        if profile.is_safe {
            self.domains.handle_safe_request();
        }
        if self.open_requests.len() < MAX_OPEN_REQUESTS {
            let customer = self.hasher.hash_one(&*arrival.customer);
            let open = OpenRequest {
                class: arrival.class.clone(),
                customer,
                is_closed: false,
                attempts: Vec::new(),
            };
            self.open_requests.entry(arrival.request.clone()).or_insert(open);
        }
    }

    fn handle_attempt_ended(&mut self, result: &AttemptResult) {
        let Some(open) = self.open_requests.get_mut(&result.request) else { return };
        open.is_closed |= result.is_final;
        if let Some(attempt) =
            open.attempts.get_mut(result.attempt as usize).filter(|attempt| attempt.in_flight)
        {
            attempt.in_flight = false;
            let (server, customer, no_response) = (attempt.server, open.customer, attempt.no_response);
            let observation = match result.outcome {
                Outcome::Ok => Some(Observation::Success),
                Outcome::Error => Some(Observation::Error),
                Outcome::Timeout => Some(Observation::NoResponse),
                Outcome::ConnectFailed => Some(Observation::ConnectFailed),
                Outcome::Reset => Some(Observation::Reset),
                // Rejected or cancelled for reasons unrelated to the domain.
                Outcome::Rejected | Outcome::Unusable | Outcome::Cancelled | Outcome::NeverSent => None,
            };
            match (observation, no_response) {
                (Some(Observation::Success), Some(number)) => {
                    self.domains.handle_late_response(server, number);
                }
                // Already recorded as no response.
                (Some(Observation::NoResponse), Some(_)) | (None, _) => {}
                (Some(observation), _) => {
                    self.domains.handle_observation(server, customer, observation);
                }
            }
            let may_learn = observation == Some(Observation::Success) && self.domains.are_all_healthy();
            if let Some((_, baseline)) = self.classes.get_mut(&open.class).filter(|_| may_learn) {
                baseline.learn(result.elapsed);
            }
        }
        self.remove_if_finished(&result.request);
    }

    fn close(&mut self, request: &RequestId) {
        if let Some(open) = self.open_requests.get_mut(request) {
            open.is_closed = true;
        }
        self.remove_if_finished(request);
    }

    fn remove_if_finished(&mut self, request: &RequestId) {
        let is_finished =
            |open: &OpenRequest| open.is_closed && open.attempts.iter().all(|attempt| !attempt.in_flight);
        if self.open_requests.get(request).is_some_and(is_finished) {
            self.open_requests.remove(request);
        }
    }

    /// Tracks the gateway's new actions, removes health checks that are not allowed, and returns the servers of those.
    fn process_actions(&mut self, now: Timestamp, from: usize, actions: &mut Vec<Action>) -> Vec<ServerId> {
        let (mut at, mut withheld) = (from, Vec::new());
        while at < actions.len() {
            match &actions[at] {
                Action::Send { request, server, .. } => {
                    if let Some(open) = self.open_requests.get_mut(request) {
                        open.attempts.push(Attempt {
                            server: *server,
                            sent_at: now,
                            no_response: None,
                            in_flight: true,
                        });
                    }
                }
                Action::Reject { request, reason, .. } => {
                    if *reason == RejectReason::Overload {
                        self.domains.handle_overload();
                    }
                    let request = request.clone();
                    self.close(&request);
                }
                Action::Fail { request } => {
                    let request = request.clone();
                    self.close(&request);
                }
                Action::CheckHealth { server } if !self.domains.allows_health_check(*server) => {
                    withheld.push(*server);
                    actions.remove(at);
                    continue;
                }
                _ => {}
            }
            at += 1;
        }
        withheld
    }
}

/// Creates a profile from the effect and the latency target of a class.
impl From<(Effect, Millis)> for ClassProfile {
    fn from((effect, latency_target): (Effect, Millis)) -> Self {
        Self { is_safe: effect == Effect::Safe, latency_target }
    }
}
