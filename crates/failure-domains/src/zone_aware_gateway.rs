//! A decision module with its pool's domains in front: reads signs off what comes of its attempts, and gives it advice.

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

/// Shortest time between two looks at what is open.
const SCAN_INTERVAL: Millis = 10.0;
/// Most answers a server may owe to requests that have ended, for as long as they are noted.
const MAX_OPEN_REQUESTS: usize = 65_536;

/// What is known of a class.
#[derive(Clone, Copy, Debug)]
pub struct ClassProfile {
    /// Whether its requests may run any number of times.
    pub is_safe: bool,
    /// An answer within this time is in time.
    pub latency_target: Millis,
}

struct Attempt {
    server: ServerId,
    sent_at: Timestamp,
    /// The number of the sign that it is silent, once it has been given.
    silent: Option<u64>,
    out: bool,
}

struct Open {
    class: Arc<str>,
    customer: u64,
    closed: bool,
    attempts: Vec<Attempt>,
}

/// A [`Gateway`] that is advised on failure domains.
pub struct ZoneAwareGateway {
    gateway: Gateway,
    domains: FailureDomains,
    kinds: HashMap<Arc<str>, (ClassProfile, LatencyBaseline)>,
    /// In order, so that one seed gives one course of things.
    open: BTreeMap<RequestId, Open>,
    hasher: RandomState,
    looked_at: Timestamp,
}

impl ZoneAwareGateway {
    /// A gateway with the domains of its pool. `kinds` are its classes, by name.
    pub fn new(
        gateway: Gateway,
        policy: EjectionPolicy,
        kinds: impl IntoIterator<Item = (Arc<str>, ClassProfile)>,
        seed: u64,
    ) -> Self {
        Self {
            gateway,
            domains: FailureDomains::new(policy, seed),
            kinds: kinds.into_iter().map(|(name, kind)| (name, (kind, LatencyBaseline::default()))).collect(),
            open: BTreeMap::new(),
            hasher: RandomState::new(),
            looked_at: Timestamp::DISTANT_PAST,
        }
    }

    /// Takes in one event and adds what is to be done to `actions`, in order.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.look(now);
        let from = actions.len();
        match &event {
            Event::List { kind, servers: members } if *kind != ListKind::Failed => {
                self.domains.handle_server_list(*kind == ListKind::Full, members);
            }
            Event::Arrival(arrival) => self.arrive(arrival),
            Event::AttemptEnded(done) => self.done(done),
            Event::ClientGone { request } => self.close(request),
            _ => {}
        }
        self.advise(now, actions);
        self.gateway.handle(now, event, actions);
        // Probes that were held back never were sent; the gateway asks for them again when they are due.
        for server in self.take_in(now, from, actions).into_iter().rev() {
            let held_back =
                Event::HealthChecked { server, outcome: Outcome::NeverSent, load: Load::default() };
            self.gateway.handle(now, held_back, actions);
        }
    }

    /// Another policy, as after a reload.
    pub fn handle_policy(&mut self, now: Timestamp, policy: EjectionPolicy) {
        self.domains.handle_policy(now, policy);
    }

    /// Another process tells something of the pool's zones.
    pub fn handle_report(&mut self, now: Timestamp, author: u64, reports: &[ZoneReport]) {
        self.domains.handle_time(now);
        self.domains.handle_report(author, reports);
    }

    /// What is to be told to the other processes now, if anything.
    pub fn poll_report(&mut self) -> Option<Vec<ZoneReport>> {
        self.domains.poll_report()
    }

    /// What is believed of each domain, and whether that is believed itself.
    pub fn statuses(&self) -> (Vec<DomainStatus>, bool) {
        (self.domains.statuses(), self.domains.is_in_panic_mode())
    }

    /// The next happening that nobody has been told of.
    pub fn poll_event(&mut self) -> Option<DomainEvent> {
        self.domains.poll_event()
    }

    /// Looks for attempts that are overdue, and takes the steps that are due.
    fn look(&mut self, now: Timestamp) {
        if now < self.looked_at.plus_millis(SCAN_INTERVAL) {
            return;
        }
        self.looked_at = now;
        let still = self.domains.handle_time(now);
        for open in self.open.values_mut() {
            if still {
                // Their time passed while nobody looked.
                open.attempts.iter_mut().for_each(|attempt| attempt.out = false);
                continue;
            }
            let Some((kind, usual)) = self.kinds.get(&open.class) else { continue };
            let overdue = usual.overdue(kind.latency_target);
            let due = |a: &&mut Attempt| a.out && a.silent.is_none() && now > a.sent_at.plus_millis(overdue);
            for attempt in open.attempts.iter_mut().filter(due) {
                attempt.silent = Some(self.domains.handle_observation(
                    attempt.server,
                    open.customer,
                    Observation::NoResponse,
                ));
            }
        }
        self.domains.evaluate();
    }

    fn advise(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if let Some(zones) = self.domains.poll_zone_shares() {
            self.gateway.handle(now, Event::ZoneShares { zones: zones.into() }, actions);
        }
    }

    fn arrive(&mut self, arrival: &Arrival) {
        let Some((kind, _)) = self.kinds.get(&arrival.class) else { return };
        if kind.is_safe {
            self.domains.handle_safe_request();
        }
        if self.open.len() < MAX_OPEN_REQUESTS {
            let customer = self.hasher.hash_one(&*arrival.customer);
            let open = Open { class: arrival.class.clone(), customer, closed: false, attempts: Vec::new() };
            self.open.entry(arrival.request.clone()).or_insert(open);
        }
    }

    fn done(&mut self, done: &AttemptResult) {
        let Some(open) = self.open.get_mut(&done.request) else { return };
        open.closed |= done.is_final;
        if let Some(attempt) = open.attempts.get_mut(done.attempt as usize).filter(|attempt| attempt.out) {
            attempt.out = false;
            let (server, customer, silent) = (attempt.server, open.customer, attempt.silent);
            let observation = match done.outcome {
                Outcome::Ok => Some(Observation::Success),
                Outcome::Error => Some(Observation::Error),
                Outcome::Timeout => Some(Observation::NoResponse),
                Outcome::ConnectFailed => Some(Observation::ConnectFailed),
                Outcome::Reset => Some(Observation::Reset),
                // Turned away or cut short for reasons that are none of the domain's.
                Outcome::Rejected | Outcome::Unusable | Outcome::Cancelled | Outcome::NeverSent => None,
            };
            match (observation, silent) {
                (Some(Observation::Success), Some(number)) => {
                    self.domains.handle_late_response(server, number)
                }
                // It has been counted.
                (Some(Observation::NoResponse), Some(_)) | (None, _) => {}
                (Some(observation), _) => {
                    self.domains.handle_observation(server, customer, observation);
                }
            }
            let well = observation == Some(Observation::Success) && self.domains.are_all_healthy();
            if let Some((_, usual)) = self.kinds.get_mut(&open.class).filter(|_| well) {
                usual.learn(done.elapsed);
            }
        }
        self.drop_if_over(&done.request);
    }

    fn close(&mut self, request: &RequestId) {
        if let Some(open) = self.open.get_mut(request) {
            open.closed = true;
        }
        self.drop_if_over(request);
    }

    fn drop_if_over(&mut self, request: &RequestId) {
        let over = |open: &Open| open.closed && open.attempts.iter().all(|attempt| !attempt.out);
        if self.open.get(request).is_some_and(over) {
            self.open.remove(request);
        }
    }

    /// Takes in what the gateway wants done; servers whose probes are held back are returned.
    fn take_in(&mut self, now: Timestamp, from: usize, actions: &mut Vec<Action>) -> Vec<ServerId> {
        let (mut at, mut held_back) = (from, Vec::new());
        while at < actions.len() {
            match &actions[at] {
                Action::Send { request, server, .. } => {
                    if let Some(open) = self.open.get_mut(request) {
                        open.attempts.push(Attempt {
                            server: *server,
                            sent_at: now,
                            silent: None,
                            out: true,
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
                    held_back.push(*server);
                    actions.remove(at);
                    continue;
                }
                _ => {}
            }
            at += 1;
        }
        held_back
    }
}

/// Whether requests of an effect may run any number of times.
impl From<(Effect, Millis)> for ClassProfile {
    fn from((effect, latency_target): (Effect, Millis)) -> Self {
        Self { is_safe: effect == Effect::Safe, latency_target }
    }
}
