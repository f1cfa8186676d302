//! All domains of a pool together: what is judged of each, and when the judgement itself is not to be believed.

use crate::domain::{Domain, DomainState, DomainStatus, PoolProfile, StepContext, MIN_SUSPECTING_PEERS};
use crate::evidence::Observation;
use crate::peer_reports::ZoneReport;
use ivygate_gateway::{ServerEntry, ServerId, ServerState, ZoneShares};
use ivygate_time::{Millis, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A process that was told of nothing for so long has stood still, and what it saw before says nothing of now.
const PAUSE_THRESHOLD: Millis = 300.0;
/// A refusal for want of room presses for this long.
const OVERLOAD_MEMORY: Millis = 500.0;
/// A judgement that is not believed is given up, and nothing is left for this long; it doubles each time ...
const MIN_DISTRUST_TIME: Millis = 2_000.0;
/// ... up to this, and counts anew after as long again without it.
const MAX_DISTRUST_TIME: Millis = 60_000.0;
/// A process that was heard within this is there.
const PEER_LIFETIME: Millis = 3_000.0;
/// Most processes that are heard.
const MAX_PEERS: usize = 512;
/// Each process says something this often, and news at once, but not more often than this and this for each other one:
/// what each has to hear is bounded so.
const REPORT_INTERVAL: Millis = 1_000.0;
const MIN_REPORT_INTERVAL: Millis = 20.0;
const REPORT_INTERVAL_PER_PEER: Millis = 0.5;
/// Weight of one time between two safe requests.
const RATE_LEARNING_WEIGHT: f64 = 0.1;
/// Most events kept for whoever asks; the oldest go first.
const MAX_EVENTS: usize = 256;

/// How domains are judged.
#[derive(Clone, Debug, PartialEq)]
pub struct EjectionPolicy {
    /// Whether domains are left by signs; else only by hand, and signs are only told of.
    pub automatic_ejection: bool,
    /// Zones taken out by hand.
    pub maintenance_zones: BTreeSet<String>,
    /// From this part of the servers on, by weight, that is judged bad, the judgement is not believed.
    pub panic_threshold: f64,
    /// Processes that share the servers.
    pub processes: u32,
    /// Capacity of a server at its start, as a part.
    pub slow_start_capacity: f64,
    /// It has all of it after this.
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

/// A domain: all servers of a pool in one zone.
pub type ZoneName = Arc<str>;

/// Something that operators want to know.
#[derive(Clone, Debug, PartialEq)]
pub enum DomainEvent {
    /// A domain's state has changed.
    StateChanged {
        /// What was believed before.
        from: DomainState,
        /// What is believed now.
        to: DomainStatus,
    },
    /// More is judged bad than is believed; the part, by weight.
    PanicModeEntered(f64),
    /// The judgement is believed again.
    PanicModeLeft,
    /// The process has stood still for this long.
    ProcessPaused(Millis),
}

/// The domains of one pool.
pub struct FailureDomains {
    policy: EjectionPolicy,
    common: PoolProfile,
    domains: BTreeMap<ZoneName, Domain>,
    servers: BTreeMap<ServerId, (ZoneName, f64, bool)>,
    now: Timestamp,
    observations: u64,
    pressed_until: Timestamp,
    in_panic_mode: bool,
    panic_until: Timestamp,
    panic_count: u32,
    /// Mean time between safe requests, and the last one.
    gap: Millis,
    safe_at: Timestamp,
    given: Vec<ZoneShares>,
    /// Processes that were heard, and when.
    authors: BTreeMap<u64, Timestamp>,
    /// Something is to be told; when something was told last.
    news: bool,
    told_at: Timestamp,
    events: VecDeque<DomainEvent>,
    rng: fastrand::Rng,
}

impl FailureDomains {
    /// FailureDomains of which nothing is known.
    pub fn new(policy: EjectionPolicy, seed: u64) -> Self {
        Self {
            common: common(&policy),
            policy,
            domains: BTreeMap::new(),
            servers: BTreeMap::new(),
            now: Timestamp::DISTANT_PAST,
            observations: 0,
            pressed_until: Timestamp::DISTANT_PAST,
            in_panic_mode: false,
            panic_until: Timestamp::DISTANT_PAST,
            panic_count: 0,
            gap: 1_000.0,
            safe_at: Timestamp::DISTANT_PAST,
            given: Vec::new(),
            authors: BTreeMap::new(),
            news: false,
            told_at: Timestamp::DISTANT_PAST,
            events: VecDeque::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Another policy, as after a reload.
    pub fn handle_policy(&mut self, now: Timestamp, policy: EjectionPolicy) {
        self.common = common(&policy);
        self.policy = policy;
        self.handle_time(now);
        self.evaluate();
    }

    /// Time has passed: to be told some times a second. True if the process has stood still, so that what is open says
    /// nothing any more.
    pub fn handle_time(&mut self, now: Timestamp) -> bool {
        let before = self.now;
        self.now = now.max(before);
        let still = before.is_finite() && self.now > before.plus_millis(PAUSE_THRESHOLD);
        if still {
            for domain in self.domains.values_mut() {
                domain.evidence.clear();
                domain.peer_reports.clear_own();
            }
            self.emit(DomainEvent::ProcessPaused(self.now.millis_since(before)));
        }
        still
    }

    /// News of the servers.
    pub fn handle_server_list(&mut self, all: bool, members: &[ServerEntry]) {
        if all {
            self.servers.clear();
        }
        for member in members {
            if member.state == ServerState::Gone {
                self.servers.remove(&member.server);
                continue;
            }
            let ready = member.state == ServerState::Ready;
            let zone = self.servers.get(&member.server).map(|(zone, ..)| zone.clone());
            let zone =
                zone.filter(|zone| **zone == *member.zone).unwrap_or_else(|| member.zone.as_str().into());
            self.servers.insert(member.server, (zone, member.weight, ready));
        }
        for domain in self.domains.values_mut() {
            (domain.servers, domain.weight) = (0, 0.0);
        }
        for (zone, weight, ready) in self.servers.values() {
            let (now, seed) = (self.now, self.rng.u64(..));
            let new = || Domain::new(zone.clone(), now, seed);
            let domain = self.domains.entry(zone.clone()).or_insert_with(new);
            if *ready {
                (domain.servers, domain.weight) = (domain.servers + 1, domain.weight + weight);
            }
        }
        let named: BTreeSet<&ZoneName> = self.servers.values().map(|(zone, ..)| zone).collect();
        self.domains.retain(|zone, _| named.contains(zone));
        self.evaluate();
    }

    /// A safe request has come.
    pub fn handle_safe_request(&mut self) {
        let gap = self.now.millis_since(self.safe_at).clamp(0.0, 10_000.0);
        self.gap += RATE_LEARNING_WEIGHT * (gap - self.gap);
        self.safe_at = self.now;
    }

    /// A request was refused for want of room.
    pub fn handle_overload(&mut self) {
        self.pressed_until = self.now.plus_millis(OVERLOAD_MEMORY);
    }

    /// An attempt has shown something; the sign's number is returned.
    pub fn handle_observation(&mut self, server: ServerId, customer: u64, observation: Observation) -> u64 {
        self.observations += 1;
        let number = self.observations;
        let domain = self.servers.get(&server).and_then(|(zone, ..)| self.domains.get_mut(zone));
        if let Some(domain) = domain {
            domain.handle_observation(self.now, number, server, customer, observation);
            self.news |= match observation {
                // Who is told that a zone fails, by enough to be heeded, and sees it serve, says so;
                // and who has said so itself takes it back.
                Observation::Success => {
                    domain.state != DomainState::Healthy
                        || domain.peer_reports.reported_failing
                        || domain.peer_reports.is_told_of(self.now, MIN_SUSPECTING_PEERS)
                }
                Observation::Slow => false,
                Observation::NoResponse
                | Observation::ConnectFailed
                | Observation::Reset
                | Observation::Error => true,
            };
            // Good news changes nothing at once, and most news is good.
            if observation != Observation::Success {
                self.evaluate();
            }
        }
        number
    }

    /// What was called silent has been answered after all.
    pub fn handle_late_response(&mut self, server: ServerId, number: u64) {
        let domain = self.servers.get(&server).and_then(|(zone, ..)| self.domains.get_mut(zone));
        if let Some(domain) = domain {
            domain.handle_late_response(number);
        }
    }

    /// Another process tells something of zones; `author` is its name.
    pub fn handle_report(&mut self, author: u64, reports: &[ZoneReport]) {
        if self.authors.len() >= MAX_PEERS && !self.authors.contains_key(&author) {
            self.authors.retain(|_, at| *at > self.now.minus_millis(PEER_LIFETIME));
            if self.authors.len() >= MAX_PEERS {
                return;
            }
        }
        self.authors.insert(author, self.now);
        for report in reports {
            if let Some(domain) = self.domains.get_mut(&report.zone) {
                domain.peer_reports.handle_report(self.now, author, report.successes, report.failures);
            }
        }
        self.evaluate();
    }

    /// What is to be told to the other processes now, if anything: also nothing at all, to be heard.
    pub fn poll_report(&mut self) -> Option<Vec<ZoneReport>> {
        let pause = MIN_REPORT_INTERVAL.max(REPORT_INTERVAL_PER_PEER * self.live_peers() as f64);
        if self.now < self.told_at.plus_millis(if self.news { pause } else { REPORT_INTERVAL }) {
            return None;
        }
        (self.news, self.told_at) = (false, self.now);
        let now = self.now;
        let report = |domain: &mut Domain| {
            let (good, bad) = domain.peer_reports.own(now);
            domain.peer_reports.reported_failing = bad > 0;
            ZoneReport { zone: domain.zone.clone(), successes: good, failures: bad }
        };
        Some(
            self.domains
                .values_mut()
                .map(report)
                .filter(|report| report.successes + report.failures > 0)
                .collect(),
        )
    }

    /// Other processes that were heard of late.
    pub fn live_peers(&self) -> usize {
        self.authors.values().filter(|at| **at > self.now.minus_millis(PEER_LIFETIME)).count()
    }

    /// Whether nothing is wrong anywhere, so that usual times may be learned.
    pub fn are_all_healthy(&self) -> bool {
        self.domains.values().all(|domain| domain.state == DomainState::Healthy)
    }

    /// Whether a server may be probed: nothing that is left or in works, or in trouble for all to see.
    pub fn allows_health_check(&self, server: ServerId) -> bool {
        let domain = self.servers.get(&server).and_then(|(zone, ..)| self.domains.get(zone));
        domain.is_none_or(|domain| !matches!(domain.state, DomainState::Ejected | DomainState::Maintenance))
    }

    fn around(&self) -> StepContext {
        StepContext {
            now: self.now,
            automatic: self.policy.automatic_ejection,
            lone: self.lone(),
            others: (0, 0),
            heard: self.live_peers(),
            pressed: self.now < self.pressed_until,
            other_away: false,
            in_panic_mode: self.in_panic_mode,
        }
    }

    /// Safe requests a second at this process.
    fn safe_rate(&self) -> f64 {
        1_000.0 / self.gap.max(self.now.millis_since(self.safe_at)).max(0.1)
    }

    fn lone(&self) -> bool {
        let mut seen: Vec<u64> =
            self.domains.values().flat_map(|domain| domain.evidence.customers()).collect();
        seen.sort_unstable();
        seen.dedup();
        seen.len() < 2
    }

    /// Takes all steps that are due.
    pub fn evaluate(&mut self) {
        let before: Vec<DomainState> = self.domains.values().map(|domain| domain.state).collect();
        let around = self.around();
        let away: Vec<ZoneName> = self
            .domains
            .values()
            .filter(|d| {
                matches!(
                    d.state,
                    DomainState::Ejected
                        | DomainState::Probing
                        | DomainState::Maintenance
                        | DomainState::Recovering
                )
            })
            .map(|d| d.zone.clone())
            .collect();
        let signs = |of: &Domain| of.evidence.recent(around.now);
        let all = self.domains.values().map(signs).fold((0, 0), |(g, b), (good, bad)| (g + good, b + bad));
        for domain in self.domains.values_mut() {
            domain.set_maintenance(around.now, self.policy.maintenance_zones.contains(&*domain.zone));
            let other_away = away.iter().any(|zone| *zone != domain.zone);
            let (good, bad) = signs(domain);
            let others = (all.0 - good, all.1 - bad);
            domain.step(&self.common, &StepContext { other_away, others, ..around });
        }
        let (all, bad) = self
            .domains
            .values()
            .filter(|d| d.state != DomainState::Maintenance)
            .fold((0.0, 0.0), |(all, bad), d| {
                (all + d.weight, bad + if d.state.is_judged_failing() { d.weight } else { 0.0 })
            });
        let part = if all > 0.0 { bad / all } else { 0.0 };
        if part > self.policy.panic_threshold && !self.in_panic_mode {
            if self.now > self.panic_until.plus_millis(MAX_DISTRUST_TIME) {
                self.panic_count = 0;
            }
            let holds = MIN_DISTRUST_TIME * f64::from(1u32 << self.panic_count.min(8));
            (self.in_panic_mode, self.panic_until) =
                (true, self.now.plus_millis(holds.min(MAX_DISTRUST_TIME)));
            self.panic_count += 1;
            self.emit(DomainEvent::PanicModeEntered(part));
        } else if self.in_panic_mode && self.now >= self.panic_until {
            self.in_panic_mode = false;
            self.emit(DomainEvent::PanicModeLeft);
        }
        let safe_rate = self.safe_rate();
        let turned: Vec<DomainEvent> = self
            .domains
            .values()
            .zip(before)
            .filter(|(domain, from)| domain.state != *from)
            .map(|(domain, from)| DomainEvent::StateChanged {
                from,
                to: domain.status(&self.common, safe_rate),
            })
            .collect();
        turned.into_iter().for_each(|turned| self.emit(turned));
    }

    fn emit(&mut self, event: DomainEvent) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// The next event that nobody has been told of.
    pub fn poll_event(&mut self) -> Option<DomainEvent> {
        self.events.pop_front()
    }

    /// Advice, if it differs from what was last given; zones that it does not name are as ever.
    pub fn poll_zone_shares(&mut self) -> Option<Vec<ZoneShares>> {
        let safe_rate = self.safe_rate();
        let shares = |domain: &Domain| domain.shares(&self.common, safe_rate);
        let advice: Vec<ZoneShares> = self
            .domains
            .values()
            .map(|domain| (domain, shares(domain)))
            .filter(|(_, shares)| *shares != (1.0, 1.0))
            .map(|(domain, (safe, other))| ZoneShares { zone: domain.zone.clone(), safe, other })
            .collect();
        if advice == self.given {
            return None;
        }
        self.given.clone_from(&advice);
        Some(advice)
    }

    /// What is believed of each domain.
    pub fn statuses(&self) -> Vec<DomainStatus> {
        let safe_rate = self.safe_rate();
        self.domains.values().map(|domain| domain.status(&self.common, safe_rate)).collect()
    }

    /// Whether too much is judged bad for the judgement to be believed.
    pub fn is_in_panic_mode(&self) -> bool {
        self.in_panic_mode
    }
}

fn common(policy: &EjectionPolicy) -> PoolProfile {
    PoolProfile {
        processes: policy.processes,
        slow_start_capacity: policy.slow_start_capacity,
        slow_start_duration: policy.slow_start_duration,
    }
}
