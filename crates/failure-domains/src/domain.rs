//! State machine of one failure domain: its state, the shares of the requests that may go there, and the state changes.
//!
//! Used only by [`crate::FailureDomains`].

use crate::evidence::{Assessment, Evidence, Observation, FAILURE_SCORE, SUSPECT_SCORE};
use crate::peer_reports::{PeerReports, PeerVotes};
use ivygate_gateway::ServerId;
use ivygate_time::{Millis, Timestamp};
use std::sync::Arc;

/// Share of the safe requests that still go to a suspect domain; without any there would be no further observations.
const SUSPECT_SAFE_SHARE: f64 = 0.3;
/// Time after which a suspicion without further evidence ends.
const SUSPICION_LIFETIME: Millis = 2_000.0;
/// Time until an ejected domain is probed for the first time; it doubles with each failed recovery ...
const MIN_EJECTION_TIME: Millis = 1_000.0;
/// ... up to this maximum.
const MAX_EJECTION_TIME: Millis = 60_000.0;
/// Random deviation of such times in both directions, so that processes do not return to a domain at the same time.
const BACKOFF_JITTER: f64 = 0.25;
/// Requests per second with which all processes together probe a domain.
const PROBES_PER_S: f64 = 20.0;
/// Successful probes before recovery begins.
const REQUIRED_PROBE_SUCCESSES: u32 = 3;
/// Time after which recovery begins without successful probes, for processes that have no requests to probe with.
const MAX_PROBING_TIME: Millis = 5_000.0;
/// Share of a starting server's capacity that recovery uses: work varies, and other processes may be further in recovery.
const SLOW_START_RATIO: f64 = 0.75;
/// Factor by which the traffic share falls when failures occur during recovery.
const RECOVERY_SETBACK_FACTOR: f64 = 0.5;
/// Time for which the traffic share then does not grow.
const RECOVERY_PAUSE: Millis = 500.0;
/// Factor by which a slow domain's traffic share falls in each interval, as long as the other domains have capacity.
const DRAIN_FACTOR: f64 = 0.5;
/// Interval at which a slow domain's traffic share changes.
const DRAIN_INTERVAL: Millis = 500.0;
/// Minimum traffic share of a slow domain.
const MIN_DRAINING_SHARE: f64 = 0.05;
/// Factor of the failure score from which a slow domain is drained, relative to one that fails.
const SLOW_SCORE_FACTOR: f64 = 1.5;
/// Failures without any success that are required to eject a domain while it carries the load of another one ...
const MIN_FAILURES_UNDER_EXTRA_LOAD: u32 = 5;
/// ... within this time.
const EXTRA_LOAD_WINDOW: Millis = 1_000.0;
/// Number of peers that must report a zone as failing to make it suspect ...
pub(crate) const MIN_SUSPECTING_PEERS: u32 = 2;
/// ... and more than this many times as many as report it as healthy.
const CONTRADICTION_FACTOR: u32 = 2;
/// Share of the live peers that must report a zone as failing to eject it; with own failures, two thirds of them suffice.
const EJECTION_QUORUM_RATIO: f64 = 0.3;
/// Minimum number of such peers.
const MIN_EJECTION_QUORUM: u32 = 3;
/// Delay of a probe after peers have just reported the zone as failing.
const FAILED_PROBE_PAUSE: Millis = 300.0;
/// Time within which a zone is probed that peers report as healthy again; also the minimum ejection time before that.
const PEER_RECOVERY_TIME: Millis = 400.0;
/// Healthy time after which the count of failed recoveries is reset.
const FAILURE_MEMORY: Millis = 60_000.0;

/// State of a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DomainState {
    /// All requests may go there.
    Healthy,
    /// First signs of a failure: only a share of the safe requests goes there.
    Suspect,
    /// Failed: no requests go there.
    Ejected,
    /// Slow: its requests move to other domains as far as those have capacity.
    Draining,
    /// A few safe requests go there as probes.
    Probing,
    /// Back in service: a growing share of the requests goes there.
    Recovering,
    /// Taken out of service by the operator.
    Maintenance,
}

impl DomainState {
    /// Returns its name in status documents and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            DomainState::Healthy => "well",
            DomainState::Suspect => "suspect",
            DomainState::Ejected => "left",
            DomainState::Draining => "leaving",
            DomainState::Probing => "tried",
            DomainState::Recovering => "returning",
            DomainState::Maintenance => "works",
        }
    }

    /// Returns whether the domain is out of service because of observations, not by the operator.
    pub fn is_judged_failing(self) -> bool {
        matches!(self, DomainState::Ejected | DomainState::Draining | DomainState::Probing)
    }
}

/// Status of a failure domain, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainStatus {
    /// Its zone.
    pub zone: Arc<str>,
    /// Its state.
    pub state: DomainState,
    /// Time of the last state change.
    pub since: Timestamp,
    /// Shares of the safe requests and of all others that may go there.
    pub shares: (f64, f64),
    /// Assessment that led to the last change.
    pub cause: Assessment,
    /// Reports of peers at the last change.
    pub votes: PeerVotes,
    /// Number of recent failures during probing or recovery.
    pub failed_recoveries: u32,
    /// Number of servers that accept requests.
    pub servers: usize,
}

/// Settings that all domains of a pool share.
#[derive(Clone, Debug)]
pub(crate) struct PoolProfile {
    /// Number of processes that share the servers.
    pub processes: u32,
    /// Share of its capacity that a server has when it has just started.
    pub slow_start_capacity: f64,
    /// Time after its start at which a server has its full capacity.
    pub slow_start_duration: Millis,
}

/// Inputs of a domain's next step that come from outside the domain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepContext {
    pub now: Timestamp,
    /// Set if domains may be ejected because of observations.
    pub automatic_ejection: bool,
    /// All observations of all domains are of one customer.
    pub is_single_customer: bool,
    /// Recent successes and failures of the other domains.
    pub other_observations: (u32, u32),
    /// Number of peers with recent reports.
    pub live_peers: usize,
    /// The other domains are overloaded: requests were recently rejected for lack of capacity.
    pub is_overloaded: bool,
    /// Another domain is out of service or recovering; this one carries its load and may be slow because of it.
    pub is_other_domain_unavailable: bool,
    /// Too many servers are judged failing, so judgements are ignored.
    pub is_panic_mode: bool,
}

/// Combined result of own observations and the reports of peers.
struct Verdict {
    assessment: Assessment,
    /// Own observations are sufficient to eject or drain the domain.
    is_failed: bool,
    /// Peers report that it fails.
    is_reported_failing: bool,
    /// Enough peers report it to eject it without own observations.
    has_quorum: bool,
}

/// A failure domain.
pub(crate) struct Domain {
    pub zone: Arc<str>,
    pub state: DomainState,
    pub evidence: Evidence,
    pub peer_reports: PeerReports,
    /// Number of servers that accept requests.
    pub servers: usize,
    /// Sum of their weights.
    pub weight: f64,
    since: Timestamp,
    /// Earliest time of the next step.
    next_step_at: Timestamp,
    /// Share of the requests that may go there while draining or recovering.
    traffic_share: f64,
    traffic_share_at: Timestamp,
    failed_recoveries: u32,
    cause: Assessment,
    votes: PeerVotes,
    jitter: fastrand::Rng,
}

impl Domain {
    pub fn new(zone: Arc<str>, now: Timestamp, seed: u64) -> Self {
        Self {
            zone,
            state: DomainState::Healthy,
            evidence: Evidence::default(),
            peer_reports: PeerReports::default(),
            servers: 0,
            weight: 0.0,
            since: now,
            next_step_at: now,
            traffic_share: 1.0,
            traffic_share_at: now,
            failed_recoveries: 0,
            cause: Assessment::default(),
            votes: PeerVotes::default(),
            jitter: fastrand::Rng::with_seed(seed),
        }
    }

    fn jittered(&mut self, time: Millis) -> Millis {
        time * (1.0 + BACKOFF_JITTER * (2.0 * self.jitter.f64() - 1.0))
    }

    fn set_state(&mut self, now: Timestamp, state: DomainState, cause: Assessment) {
        (self.state, self.since, self.cause) = (state, now, cause);
        self.votes = self.peer_reports.votes(now);
        (self.next_step_at, self.traffic_share_at) = (now, now);
        if state != DomainState::Suspect {
            self.evidence.clear();
        }
    }

    fn eject(&mut self, now: Timestamp, cause: Assessment, is_relapse: bool) {
        self.failed_recoveries =
            if is_relapse { (self.failed_recoveries + 1).min(16) } else { self.failed_recoveries };
        self.set_state(now, DomainState::Ejected, cause);
        let ejection_time =
            (MIN_EJECTION_TIME * f64::from(1u32 << self.failed_recoveries)).min(MAX_EJECTION_TIME);
        self.next_step_at = now.plus_millis(self.jittered(ejection_time));
    }

    /// Takes the domain out of service for maintenance, or starts probing it afterwards.
    pub fn set_maintenance(&mut self, now: Timestamp, in_maintenance: bool) {
        match (in_maintenance, self.state == DomainState::Maintenance) {
            (true, false) => self.set_state(now, DomainState::Maintenance, Assessment::default()),
            (false, true) => self.set_state(now, DomainState::Probing, Assessment::default()),
            _ => {}
        }
    }

    /// Records an observation.
    pub fn handle_observation(
        &mut self,
        now: Timestamp,
        number: u64,
        server: ServerId,
        customer: u64,
        observation: Observation,
    ) {
        if self.state == DomainState::Healthy {
            self.evidence.learn(observation);
        }
        self.evidence.handle_observation(now, number, server, customer, observation);
        if observation != Observation::Slow {
            self.peer_reports.handle_observation(now, number, observation == Observation::Success);
        }
    }

    /// Corrects an observation of no response: the response has arrived late.
    pub fn handle_late_response(&mut self, number: u64) {
        self.evidence.handle_late_response(number);
        self.peer_reports.retract(number);
    }

    /// Returns whether peers report that the domain fails, and whether enough of them do to eject it. Own observations have
    /// precedence.
    fn peer_verdict(&self, context: &StepContext, assessment: &Assessment) -> (bool, bool) {
        let votes = self.peer_reports.votes(context.now);
        let (successes, failures) = self.peer_reports.own_observations(context.now);
        let is_contradicted = successes > 0 && failures == 0;
        let is_reported_failing = context.automatic_ejection
            && !is_contradicted
            && votes.failing >= MIN_SUSPECTING_PEERS
            && votes.failing > CONTRADICTION_FACTOR * votes.healthy;
        let quorum =
            ((EJECTION_QUORUM_RATIO * context.live_peers as f64).ceil() as u32).max(MIN_EJECTION_QUORUM);
        let quorum = if assessment.score >= SUSPECT_SCORE / 2.0 {
            (2 * quorum).div_ceil(3).max(MIN_EJECTION_QUORUM)
        } else {
            quorum
        };
        (
            is_reported_failing,
            is_reported_failing && votes.failing >= quorum && !context.is_other_domain_unavailable,
        )
    }

    /// Takes the next step if one is due.
    pub fn step(&mut self, profile: &PoolProfile, context: &StepContext) {
        let now = context.now;
        let assessment =
            self.evidence.assess(now, self.servers, context.is_single_customer, context.other_observations);
        let verdict = self.verdict(context, assessment);
        if context.is_panic_mode && self.state != DomainState::Maintenance {
            self.reset_judgement(now, assessment);
            return;
        }
        match self.state {
            DomainState::Maintenance => {}
            DomainState::Healthy | DomainState::Suspect if verdict.is_failed || verdict.has_quorum => {
                self.eject_or_drain(now, &verdict);
            }
            DomainState::Healthy => self.step_healthy(context, &verdict),
            DomainState::Suspect => self.step_suspect(now, &verdict),
            DomainState::Draining => self.step_draining(context, &verdict),
            DomainState::Ejected => self.step_ejected(now),
            DomainState::Probing => self.step_probing(profile, context, &verdict),
            DomainState::Recovering => self.step_recovering(profile, now, &verdict),
        }
    }

    /// Combines own observations and the reports of peers.
    fn verdict(&self, context: &StepContext, assessment: Assessment) -> Verdict {
        // A domain that carries the load of another one may be slow because of it.
        let may_be_overloaded = || {
            let (successes, failures) = self.evidence.since(context.now.minus_millis(EXTRA_LOAD_WINDOW));
            successes > 0 || failures < MIN_FAILURES_UNDER_EXTRA_LOAD
        };
        let is_conclusive = !assessment.is_slow || assessment.score >= SLOW_SCORE_FACTOR * FAILURE_SCORE;
        let is_failed = assessment.is_failed
            && is_conclusive
            && context.automatic_ejection
            && !context.is_panic_mode
            && (!context.is_other_domain_unavailable || !may_be_overloaded());
        let (is_reported_failing, has_quorum) = self.peer_verdict(context, &assessment);
        Verdict { assessment, is_failed, is_reported_failing, has_quorum }
    }

    /// Discards the judgement and the observations that it is based on.
    fn reset_judgement(&mut self, now: Timestamp, assessment: Assessment) {
        if self.state != DomainState::Healthy {
            self.set_state(now, DomainState::Healthy, assessment);
        }
        self.evidence.clear();
    }

    /// Drains a slow domain gradually; ejects a failed one at once.
    fn eject_or_drain(&mut self, now: Timestamp, verdict: &Verdict) {
        if verdict.assessment.is_slow && !verdict.has_quorum {
            self.set_state(now, DomainState::Draining, verdict.assessment);
            self.traffic_share = DRAIN_FACTOR;
        } else {
            self.eject(now, verdict.assessment, false);
        }
    }

    fn step_healthy(&mut self, context: &StepContext, verdict: &Verdict) {
        let assessment = verdict.assessment;
        if verdict.is_reported_failing
            || assessment.is_suspect && context.automatic_ejection && !assessment.is_slow
        {
            self.set_state(context.now, DomainState::Suspect, assessment);
        } else if context.now > self.since.plus_millis(FAILURE_MEMORY) {
            self.failed_recoveries = 0;
        }
    }

    fn step_suspect(&mut self, now: Timestamp, verdict: &Verdict) {
        let assessment = verdict.assessment;
        let is_stale = now > self.since.plus_millis(SUSPICION_LIFETIME) && !assessment.is_suspect;
        if !verdict.is_reported_failing && (assessment.score < 1.0 || is_stale) {
            self.set_state(now, DomainState::Healthy, assessment);
        }
    }

    fn step_draining(&mut self, context: &StepContext, verdict: &Verdict) {
        let (now, assessment) = (context.now, verdict.assessment);
        let from = self.since.max(now.minus_millis(4.0 * DRAIN_INTERVAL));
        let (successes, failures) = self.evidence.since(from);
        if verdict.is_failed && !assessment.is_slow {
            self.eject(now, assessment, false);
            return;
        }
        if now < self.traffic_share_at.plus_millis(DRAIN_INTERVAL) {
            return;
        }
        let has_recovered =
            successes + failures >= 4 && failures * 8 <= successes || successes + failures == 0;
        if has_recovered && now > self.since.plus_millis(MIN_EJECTION_TIME) {
            // Slow servers have not restarted, so recovery continues from the current share.
            let traffic_share = self.traffic_share;
            self.set_state(now, DomainState::Recovering, assessment);
            self.traffic_share = traffic_share;
        } else {
            let factor = if context.is_overloaded { 1.0 / DRAIN_FACTOR } else { DRAIN_FACTOR };
            self.traffic_share = (self.traffic_share * factor).clamp(MIN_DRAINING_SHARE, 1.0);
            self.traffic_share_at = now;
        }
    }

    fn step_ejected(&mut self, now: Timestamp) {
        let votes = self.peer_reports.votes(now);
        let is_reported_healthy = votes.healthy >= MIN_SUSPECTING_PEERS && votes.failing == 0;
        if is_reported_healthy && now > self.since.plus_millis(PEER_RECOVERY_TIME) {
            self.next_step_at =
                self.next_step_at.min(now.plus_millis(self.jitter.f64() * PEER_RECOVERY_TIME));
        }
        if now < self.next_step_at {
            return;
        }
        if votes.failing > 0 && votes.healthy == 0 {
            self.next_step_at = now.plus_millis(self.jittered(FAILED_PROBE_PAUSE));
        } else {
            self.set_state(now, DomainState::Probing, self.cause);
        }
    }

    fn step_probing(&mut self, profile: &PoolProfile, context: &StepContext, verdict: &Verdict) {
        let now = context.now;
        let (successes, failures) = self.evidence.since(self.since);
        let is_failing = failures >= 2 || failures == 1 && successes == 0;
        let votes = self.peer_reports.votes(now);
        let successes = if votes.failing == 0 { successes + votes.healthy } else { successes };
        let required = REQUIRED_PROBE_SUCCESSES.min(1 + self.servers as u32);
        if is_failing && context.automatic_ejection {
            self.eject(now, verdict.assessment, true);
        } else if successes >= required || now > self.since.plus_millis(MAX_PROBING_TIME) {
            self.set_state(now, DomainState::Recovering, verdict.assessment);
            self.traffic_share = SLOW_START_RATIO * profile.slow_start_capacity;
        }
    }

    fn step_recovering(&mut self, profile: &PoolProfile, now: Timestamp, verdict: &Verdict) {
        let assessment = verdict.assessment;
        if verdict.is_failed {
            self.eject(now, assessment, true);
        } else if (assessment.is_suspect || verdict.is_reported_failing) && now >= self.next_step_at {
            self.traffic_share = (self.traffic_share * RECOVERY_SETBACK_FACTOR)
                .max(SLOW_START_RATIO * profile.slow_start_capacity * RECOVERY_SETBACK_FACTOR);
            self.cause = assessment;
            self.evidence.clear();
            self.next_step_at = now.plus_millis(self.jittered(RECOVERY_PAUSE));
        } else if now >= self.next_step_at {
            let growth_per_ms =
                SLOW_START_RATIO * (1.0 - profile.slow_start_capacity) / profile.slow_start_duration.max(1.0);
            self.traffic_share +=
                growth_per_ms * now.millis_since(self.traffic_share_at.max(self.next_step_at)).max(0.0);
            if self.traffic_share >= SLOW_START_RATIO {
                self.traffic_share = 1.0;
                self.set_state(now, DomainState::Healthy, assessment);
            }
        }
        self.traffic_share_at = now;
    }

    /// Returns the shares of the safe requests and of all others that may go there. `safe_rate` is the number of safe requests
    /// per second at this process.
    pub fn shares(&self, profile: &PoolProfile, safe_rate: f64) -> (f64, f64) {
        match self.state {
            DomainState::Maintenance => (0.0, 0.0),
            DomainState::Healthy => (1.0, 1.0),
            DomainState::Suspect => (SUSPECT_SAFE_SHARE, 0.0),
            DomainState::Ejected => (0.0, 0.0),
            DomainState::Probing => {
                let own_rate = PROBES_PER_S / f64::from(profile.processes.max(1));
                ((own_rate / safe_rate.max(own_rate)).min(1.0), 0.0)
            }
            DomainState::Draining | DomainState::Recovering => (self.traffic_share, self.traffic_share),
        }
    }

    /// Returns the status for operators.
    pub fn status(&self, profile: &PoolProfile, safe_rate: f64) -> DomainStatus {
        DomainStatus {
            zone: self.zone.clone(),
            state: self.state,
            since: self.since,
            shares: self.shares(profile, safe_rate),
            cause: self.cause,
            votes: self.votes,
            failed_recoveries: self.failed_recoveries,
            servers: self.servers,
        }
    }
}
