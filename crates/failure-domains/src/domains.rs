//! The failure domains of a pool: their evaluation, and the panic mode in which judgements are ignored.

use crate::domain::{Domain, DomainState, DomainStatus, PoolProfile, StepContext, MIN_SUSPECTING_PEERS};
use crate::evidence::Observation;
use crate::peer_reports::ZoneReport;
use ivygate_gateway::{ServerEntry, ServerId, ServerState, ZoneShares};
use ivygate_time::{Millis, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Time without events after which the process is considered to have been paused; earlier observations are then dropped.
const PAUSE_THRESHOLD: Millis = 300.0;
/// Time for which a rejection for lack of capacity counts as overload.
const OVERLOAD_MEMORY: Millis = 500.0;
/// First duration of panic mode, in which no domain is ejected; it doubles each time ...
const MIN_PANIC_TIME: Millis = 2_000.0;
/// ... up to this maximum, and is reset after the same time without panic mode.
const MAX_PANIC_TIME: Millis = 60_000.0;
/// Time for which a peer counts as live after a report.
const PEER_LIFETIME: Millis = 3_000.0;
/// Maximum number of peers whose reports are accepted.
const MAX_PEERS: usize = 512;
/// Interval of reports while nothing changes. Changes are reported at once, subject to the following minimum intervals.
const REPORT_INTERVAL: Millis = 1_000.0;
/// Minimum interval of reports.
const MIN_REPORT_INTERVAL: Millis = 20.0;
/// Minimum interval of reports per live peer; bounds the rate of reports that each process receives.
const REPORT_INTERVAL_PER_PEER: Millis = 0.5;
/// Weight of one interval between safe requests in their mean interval.
const RATE_LEARNING_WEIGHT: f64 = 0.1;
/// Maximum number of events kept until they are polled; the oldest are dropped first.
const MAX_EVENTS: usize = 256;

/// Settings of the ejection of failure domains.
#[derive(Clone, Debug, PartialEq)]
pub struct EjectionPolicy {
    /// Allows domains to be ejected because of observations; otherwise only the operator takes them out of service.
    pub automatic_ejection: bool,
    /// Zones that the operator has taken out of service.
    pub maintenance_zones: BTreeSet<String>,
    /// Share of the servers' weight above which failing domains trigger panic mode.
    pub panic_threshold: f64,
    /// Number of processes that share the servers.
    pub processes: u32,
    /// Share of its capacity that a server has when it has just started.
    pub slow_start_capacity: f64,
    /// Time after its start at which a server has its full capacity.
    pub slow_start_duration: Millis,
}

impl Default for EjectionPolicy {
    fn default() -> Self {
        Self {
            automatic_ejection: true,
            maintenance_zones: BTreeSet::new(),
            panic_threshold: 0.5,
            processes: 1,
            slow_start_capacity: 0.2,
            slow_start_duration: 10_000.0,
        }
    }
}

/// Name of a zone; its servers in a pool form a failure domain.
pub type ZoneName = Arc<str>;

/// Event for operators.
#[derive(Clone, Debug, PartialEq)]
pub enum DomainEvent {
    /// A domain's state has changed.
    StateChanged {
        /// The previous state.
        from: DomainState,
        /// The new status.
        to: DomainStatus,
    },
    /// Panic mode has started; the share of the servers' weight that is judged failing.
    PanicModeEntered(f64),
    /// Panic mode has ended.
    PanicModeLeft,
    /// The process was paused for this time.
    ProcessPaused(Millis),
}

/// The failure domains of one pool.
pub struct FailureDomains {
    policy: EjectionPolicy,
    profile: PoolProfile,
    domains: BTreeMap<ZoneName, Domain>,
    servers: BTreeMap<ServerId, (ZoneName, f64, bool)>,
    now: Timestamp,
    observations: u64,
    overloaded_until: Timestamp,
    in_panic_mode: bool,
    panic_until: Timestamp,
    panic_count: u32,
    /// Mean interval between safe requests.
    safe_interval: Millis,
    last_safe_at: Timestamp,
    /// Zone shares that were last returned.
    last_shares: Vec<ZoneShares>,
    /// Peers by identifier, with the time of their last report.
    peers: BTreeMap<u64, Timestamp>,
    /// Set if there is something to report before the next regular report.
    has_news: bool,
    reported_at: Timestamp,
    events: VecDeque<DomainEvent>,
    rng: fastrand::Rng,
}

impl FailureDomains {
    /// Creates a state without domains; servers add them. `seed` determines all random choices.
    pub fn new(policy: EjectionPolicy, seed: u64) -> Self {
        Self {
            profile: profile(&policy),
            policy,
            domains: BTreeMap::new(),
            servers: BTreeMap::new(),
            now: Timestamp::DISTANT_PAST,
            observations: 0,
            overloaded_until: Timestamp::DISTANT_PAST,
            in_panic_mode: false,
            panic_until: Timestamp::DISTANT_PAST,
            panic_count: 0,
            safe_interval: 1_000.0,
            last_safe_at: Timestamp::DISTANT_PAST,
            last_shares: Vec::new(),
            peers: BTreeMap::new(),
            has_news: false,
            reported_at: Timestamp::DISTANT_PAST,
            events: VecDeque::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Replaces the policy, for example after a reload of the configuration.
    pub fn handle_policy(&mut self, now: Timestamp, policy: EjectionPolicy) {
        self.profile = profile(&policy);
        self.policy = policy;
        self.handle_time(now);
        self.evaluate();
    }

    /// Advances the time; to be called several times per second. Returns whether the process was paused, in which case open
    /// attempts are no evidence.
    pub fn handle_time(&mut self, now: Timestamp) -> bool {
        let previous = self.now;
        self.now = now.max(previous);
        let was_paused = previous.is_finite() && self.now > previous.plus_millis(PAUSE_THRESHOLD);
        if was_paused {
            for domain in self.domains.values_mut() {
                domain.evidence.clear();
                domain.peer_reports.clear_own();
            }
            self.emit(DomainEvent::ProcessPaused(self.now.millis_since(previous)));
        }
        was_paused
    }

    /// Applies an update of the server list; `is_full` tells that missing servers are gone.
    pub fn handle_server_list(&mut self, is_full: bool, entries: &[ServerEntry]) {
        if is_full {
            self.servers.clear();
        }
        for entry in entries {
            if entry.state == ServerState::Gone {
                self.servers.remove(&entry.server);
                continue;
            }
            let is_ready = entry.state == ServerState::Ready;
            let zone = self.servers.get(&entry.server).map(|(zone, ..)| zone.clone());
            let zone =
                zone.filter(|zone| **zone == *entry.zone).unwrap_or_else(|| entry.zone.as_str().into());
            self.servers.insert(entry.server, (zone, entry.weight, is_ready));
        }
        for domain in self.domains.values_mut() {
            (domain.servers, domain.weight) = (0, 0.0);
        }
        for (zone, weight, is_ready) in self.servers.values() {
            let (now, seed) = (self.now, self.rng.u64(..));
            let new = || Domain::new(zone.clone(), now, seed);
            let domain = self.domains.entry(zone.clone()).or_insert_with(new);
            if *is_ready {
                (domain.servers, domain.weight) = (domain.servers + 1, domain.weight + weight);
            }
        }
        let listed: BTreeSet<&ZoneName> = self.servers.values().map(|(zone, ..)| zone).collect();
        self.domains.retain(|zone, _| listed.contains(zone));
        self.evaluate();
    }

    /// Counts a safe request.
    pub fn handle_safe_request(&mut self) {
        let interval = self.now.millis_since(self.last_safe_at).clamp(0.0, 10_000.0);
        self.safe_interval += RATE_LEARNING_WEIGHT * (interval - self.safe_interval);
        self.last_safe_at = self.now;
    }

    /// Records that a request was rejected for lack of capacity.
    pub fn handle_overload(&mut self) {
        self.overloaded_until = self.now.plus_millis(OVERLOAD_MEMORY);
    }

    /// Records an observation and returns its number.
    pub fn handle_observation(&mut self, server: ServerId, customer: u64, observation: Observation) -> u64 {
        self.observations += 1;
        let number = self.observations;
        let domain = self.servers.get(&server).and_then(|(zone, ..)| self.domains.get_mut(zone));
        if let Some(domain) = domain {
            domain.handle_observation(self.now, number, server, customer, observation);
            self.has_news |= match observation {
                // A success is reported at once if the domain is not healthy, if this process has reported failures, or if
                // enough peers report failures to make the domain suspect.
                Observation::Success => {
                    domain.state != DomainState::Healthy
                        || domain.peer_reports.reported_failing
                        || domain.peer_reports.has_failing_votes(self.now, MIN_SUSPECTING_PEERS)
                }
                Observation::Slow => false,
                Observation::NoResponse
                | Observation::ConnectFailed
                | Observation::Reset
                | Observation::Error => true,
            };
            // Successes are frequent and cause no immediate state change.
            if observation != Observation::Success {
                self.evaluate();
            }
        }
        number
    }

    /// Corrects an observation of no response: the response has arrived late.
    pub fn handle_late_response(&mut self, server: ServerId, number: u64) {
        let domain = self.servers.get(&server).and_then(|(zone, ..)| self.domains.get_mut(zone));
        if let Some(domain) = domain {
            domain.handle_late_response(number);
        }
    }

    /// Handles the reports of a peer.
    pub fn handle_report(&mut self, peer: u64, reports: &[ZoneReport]) {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&peer) {
            self.peers.retain(|_, at| *at > self.now.minus_millis(PEER_LIFETIME));
            if self.peers.len() >= MAX_PEERS {
                return;
            }
        }
        self.peers.insert(peer, self.now);
        for report in reports {
            if let Some(domain) = self.domains.get_mut(&report.zone) {
                domain.peer_reports.handle_report(self.now, peer, report.successes, report.failures);
            }
        }
        self.evaluate();
    }

    /// Returns the reports that are due for the peers. Empty reports are sent as well, so that peers count this process as live.
    pub fn poll_report(&mut self) -> Option<Vec<ZoneReport>> {
        let min_interval = MIN_REPORT_INTERVAL.max(REPORT_INTERVAL_PER_PEER * self.live_peers() as f64);
        if self.now < self.reported_at.plus_millis(if self.has_news { min_interval } else { REPORT_INTERVAL })
        {
            return None;
        }
        (self.has_news, self.reported_at) = (false, self.now);
        let now = self.now;
        let report = |domain: &mut Domain| {
            let (successes, failures) = domain.peer_reports.own_observations(now);
            domain.peer_reports.reported_failing = failures > 0;
            ZoneReport { zone: domain.zone.clone(), successes, failures }
        };
        Some(
            self.domains
                .values_mut()
                .map(report)
                .filter(|report| report.successes + report.failures > 0)
                .collect(),
        )
    }

    /// Returns the number of peers with recent reports.
    pub fn live_peers(&self) -> usize {
        self.peers.values().filter(|at| **at > self.now.minus_millis(PEER_LIFETIME)).count()
    }

    /// Returns whether all domains are healthy, so that usual response times may be learned.
    pub fn are_all_healthy(&self) -> bool {
        self.domains.values().all(|domain| domain.state == DomainState::Healthy)
    }

    /// Returns whether health checks may be sent to a server: not if its domain is ejected or in maintenance.
    pub fn allows_health_check(&self, server: ServerId) -> bool {
        let domain = self.servers.get(&server).and_then(|(zone, ..)| self.domains.get(zone));
        domain.is_none_or(|domain| !matches!(domain.state, DomainState::Ejected | DomainState::Maintenance))
    }

    fn step_context(&self) -> StepContext {
        StepContext {
            now: self.now,
            automatic_ejection: self.policy.automatic_ejection,
            is_single_customer: self.is_single_customer(),
            other_observations: (0, 0),
            live_peers: self.live_peers(),
            is_overloaded: self.now < self.overloaded_until,
            is_other_domain_unavailable: false,
            is_panic_mode: self.in_panic_mode,
        }
    }

    /// Returns the number of safe requests per second at this process.
    fn safe_rate(&self) -> f64 {
        1_000.0 / self.safe_interval.max(self.now.millis_since(self.last_safe_at)).max(0.1)
    }

    fn is_single_customer(&self) -> bool {
        let mut customers: Vec<u64> =
            self.domains.values().flat_map(|domain| domain.evidence.customers()).collect();
        customers.sort_unstable();
        customers.dedup();
        customers.len() < 2
    }

    /// Evaluates all domains and takes the steps that are due.
    pub fn evaluate(&mut self) {
        let previous: Vec<DomainState> = self.domains.values().map(|domain| domain.state).collect();
        let step_context = self.step_context();
        let unavailable_zones: Vec<ZoneName> = self
            .domains
            .values()
            .filter(|domain| {
                matches!(
                    domain.state,
                    DomainState::Ejected
                        | DomainState::Probing
                        | DomainState::Maintenance
                        | DomainState::Recovering
                )
            })
            .map(|domain| domain.zone.clone())
            .collect();
        let recent = |of: &Domain| of.evidence.recent(step_context.now);
        let all = self.domains.values().map(recent).fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1));
        for domain in self.domains.values_mut() {
            domain.set_maintenance(step_context.now, self.policy.maintenance_zones.contains(&*domain.zone));
            let is_other_domain_unavailable = unavailable_zones.iter().any(|zone| *zone != domain.zone);
            let (successes, failures) = recent(domain);
            let other_observations = (all.0 - successes, all.1 - failures);
            domain.step(
                &self.profile,
                &StepContext { is_other_domain_unavailable, other_observations, ..step_context },
            );
        }
        let (all, failing) = self
            .domains
            .values()
            .filter(|domain| domain.state != DomainState::Maintenance)
            .fold((0.0, 0.0), |(all, failing), domain| {
                (
                    all + domain.weight,
                    failing + if domain.state.is_judged_failing() { domain.weight } else { 0.0 },
                )
            });
        let failing_share = if all > 0.0 { failing / all } else { 0.0 };
        if failing_share > self.policy.panic_threshold && !self.in_panic_mode {
            if self.now > self.panic_until.plus_millis(MAX_PANIC_TIME) {
                self.panic_count = 0;
            }
            let panic_time = MIN_PANIC_TIME * f64::from(1u32 << self.panic_count.min(8));
            (self.in_panic_mode, self.panic_until) =
                (true, self.now.plus_millis(panic_time.min(MAX_PANIC_TIME)));
            self.panic_count += 1;
            self.emit(DomainEvent::PanicModeEntered(failing_share));
        } else if self.in_panic_mode && self.now >= self.panic_until {
            self.in_panic_mode = false;
            self.emit(DomainEvent::PanicModeLeft);
        }
        let safe_rate = self.safe_rate();
        let state_changes: Vec<DomainEvent> = self
            .domains
            .values()
            .zip(previous)
            .filter(|(domain, from)| domain.state != *from)
            .map(|(domain, from)| DomainEvent::StateChanged {
                from,
                to: domain.status(&self.profile, safe_rate),
            })
            .collect();
        state_changes.into_iter().for_each(|event| self.emit(event));
    }

    fn emit(&mut self, event: DomainEvent) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// Returns the next event.
    pub fn poll_event(&mut self) -> Option<DomainEvent> {
        self.events.pop_front()
    }

    /// Returns the zone shares if they differ from those last returned; zones that are missing are unrestricted.
    pub fn poll_zone_shares(&mut self) -> Option<Vec<ZoneShares>> {
        let safe_rate = self.safe_rate();
        let shares = |domain: &Domain| domain.shares(&self.profile, safe_rate);
        let zone_shares: Vec<ZoneShares> = self
            .domains
            .values()
            .map(|domain| (domain, shares(domain)))
            .filter(|(_, shares)| *shares != (1.0, 1.0))
            .map(|(domain, (safe, other))| ZoneShares { zone: domain.zone.clone(), safe, other })
            .collect();
        if zone_shares == self.last_shares {
            return None;
        }
        self.last_shares.clone_from(&zone_shares);
        Some(zone_shares)
    }

    /// Returns the status of each domain.
    pub fn statuses(&self) -> Vec<DomainStatus> {
        let safe_rate = self.safe_rate();
        self.domains.values().map(|domain| domain.status(&self.profile, safe_rate)).collect()
    }

    /// Returns whether too many servers are judged failing, so that judgements are ignored.
    pub fn is_in_panic_mode(&self) -> bool {
        self.in_panic_mode
    }
}

fn profile(policy: &EjectionPolicy) -> PoolProfile {
    PoolProfile {
        processes: policy.processes,
        slow_start_capacity: policy.slow_start_capacity,
        slow_start_duration: policy.slow_start_duration,
    }
}
