//! One domain: what is believed of it, how much may go there, and when that changes.
//!
//! Called by [`crate::FailureDomains`] alone.

use crate::evidence::{Assessment, Evidence, Observation, ALARM_SCORE, SUSPECT_SCORE};
use crate::peer_reports::{PeerReports, PeerVotes};
use ivygate_gateway::ServerId;
use ivygate_time::{Millis, Timestamp};
use std::sync::Arc;

/// Part of the safe requests that still goes to a suspect domain: without any nothing more would be learned.
const SUSPECT_SAFE_SHARE: f64 = 0.3;
/// A suspicion that nothing new speaks for ends after this.
const SUSPICION_LIFETIME: Millis = 2_000.0;
/// A domain that was left is tried again after this, at first; it doubles each time it fails again ...
const MIN_EJECTION_TIME: Millis = 1_000.0;
/// ... up to this.
const MAX_EJECTION_TIME: Millis = 60_000.0;
/// Random part of such times, up and down: processes must not come back in step.
const BACKOFF_JITTER: f64 = 0.25;
/// Requests a second that all processes together send to try a domain.
const PROBES_PER_S: f64 = 20.0;
/// Good answers to such tries before the way back begins.
const GOOD_PROBES: u32 = 3;
/// A domain that this process has nothing to send to comes back after this without a try.
const MAX_PROBING_TIME: Millis = 5_000.0;
/// Part of a cold server's curve that the way back keeps to: work varies, and other processes may stand higher.
const SLOW_START_RATIO: f64 = 0.75;
/// What is left of the way back after a bad sign on it, and how long it then stands still.
const RECOVERY_STEP_BACK: f64 = 0.5;
const RECOVERY_PAUSE: Millis = 500.0;
/// A domain that is slow is left by this factor in each period, as far as the others bear it.
const DRAIN_FACTOR: f64 = 0.5;
const DRAIN_INTERVAL: Millis = 500.0;
/// What stays with a slow domain all the same.
const MIN_DRAINING_SHARE: f64 = 0.05;
/// A domain that is slow is left at this many times the score at which one that is lost is.
const SLOW_ALARM_FACTOR: f64 = 1.5;
/// What bears another domain's load is believed to be lost only after this many bad signs and no good one, for a time.
const MIN_OVERLOAD_FAILURES: u32 = 5;
const OVERLOAD_WINDOW: Millis = 1_000.0;
/// Other processes that say so make a zone suspect; more than twice as many as say the contrary.
pub(crate) const MIN_SUSPECTING_PEERS: u32 = 2;
const CONTRADICTION_FACTOR: u32 = 2;
/// Part of the processes heard of late that make it left, with no own observation; with one two thirds as many do.
const EJECTION_QUORUM_RATIO: f64 = 0.3;
const MIN_EJECTION_QUORUM: u32 = 3;
/// A zone that others have tried in vain just now is not tried for this long.
const FAILED_PROBE_PAUSE: Millis = 300.0;
/// One that they find well again is tried within this, but not before it has been away for as long.
const PEER_RECOVERY_TIME: Millis = 400.0;
/// After this time without a fault earlier ones count no more.
const FAILURE_MEMORY: Millis = 60_000.0;

/// What is believed of a domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DomainState {
    /// As ever.
    Healthy,
    /// A first observation: what may not run twice goes elsewhere.
    Suspect,
    /// Lost: nothing goes there.
    Ejected,
    /// Slow: what the others bear goes elsewhere.
    Draining,
    /// A few safe requests go there to see whether it is back.
    Probing,
    /// On the way back: a growing part goes there.
    Recovering,
    /// Taken out by hand.
    Maintenance,
}

impl DomainState {
    /// Its name in beliefs and logs.
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

    /// Whether it is judged bad, by signs and not by hand.
    pub fn is_judged_failing(self) -> bool {
        matches!(self, DomainState::Ejected | DomainState::Draining | DomainState::Probing)
    }
}

/// What is believed of a domain, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainStatus {
    /// Its zone.
    pub zone: Arc<str>,
    /// Its state.
    pub state: DomainState,
    /// Since when, on the caller's clock.
    pub since: Timestamp,
    /// Part of the safe requests, and of the others, that may go there.
    pub shares: (f64, f64),
    /// What the last change rested on.
    pub cause: Assessment,
    /// What other processes said of it then.
    pub votes: PeerVotes,
    /// How often it failed again on its way back, of late.
    pub failed_recoveries: u32,
    /// Servers that take requests.
    pub servers: usize,
}

/// What all domains of a pool have in common.
#[derive(Clone, Debug)]
pub(crate) struct PoolProfile {
    /// Processes that share the servers.
    pub processes: u32,
    /// Capacity of a server at its start, as a part.
    pub slow_start_capacity: f64,
    /// It has all of it after this.
    pub slow_start_duration: Millis,
}

/// What else a domain's next step depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepContext {
    pub now: Timestamp,
    /// Whether domains are left by signs at all.
    pub automatic: bool,
    /// All signs of all domains are of one customer.
    pub lone: bool,
    /// Good and bad signs of the other domains, of late.
    pub others: (u32, u32),
    /// Processes that were heard of late.
    pub heard: usize,
    /// The other domains are under pressure: requests were refused for want of room.
    pub pressed: bool,
    /// Another domain is away, so that this one bears its load and may be slow for that.
    pub other_away: bool,
    /// Too much is judged bad for the judgement to be believed.
    pub in_panic_mode: bool,
}

/// What own signs and other processes come to.
struct Verdict {
    found: Assessment,
    /// Own signs are enough to leave the domain.
    is_alarm: bool,
    /// Other processes say that it fails.
    is_told: bool,
    /// Enough of them to leave it.
    has_quorum: bool,
}

pub(crate) struct Domain {
    pub zone: Arc<str>,
    pub state: DomainState,
    pub evidence: Evidence,
    pub peer_reports: PeerReports,
    /// Servers that take requests, and their weights together.
    pub servers: usize,
    pub weight: f64,
    since: Timestamp,
    /// Earliest next step.
    until: Timestamp,
    /// Part of the requests that may go there, on the way out of a slow domain and on the way back.
    level: f64,
    level_at: Timestamp,
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
            until: now,
            level: 1.0,
            level_at: now,
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
        (self.until, self.level_at) = (now, now);
        if state != DomainState::Suspect {
            self.evidence.clear();
        }
    }

    fn eject(&mut self, now: Timestamp, cause: Assessment, again: bool) {
        self.failed_recoveries =
            if again { (self.failed_recoveries + 1).min(16) } else { self.failed_recoveries };
        self.set_state(now, DomainState::Ejected, cause);
        let away = (MIN_EJECTION_TIME * f64::from(1u32 << self.failed_recoveries)).min(MAX_EJECTION_TIME);
        self.until = now.plus_millis(self.jittered(away));
    }

    /// Takes it out by hand, or begins the way back.
    pub fn set_maintenance(&mut self, now: Timestamp, works: bool) {
        match (works, self.state == DomainState::Maintenance) {
            (true, false) => self.set_state(now, DomainState::Maintenance, Assessment::default()),
            (false, true) => self.set_state(now, DomainState::Probing, Assessment::default()),
            _ => {}
        }
    }

    /// Takes in a observation.
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

    /// What was called silent has been answered after all.
    pub fn handle_late_response(&mut self, number: u64) {
        self.evidence.handle_late_response(number);
        self.peer_reports.retract(number);
    }

    /// Whether other processes say that it fails, and enough of them to leave it. Own eyes weigh more.
    fn peer_verdict(&self, around: &StepContext, found: &Assessment) -> (bool, bool) {
        let votes = self.peer_reports.votes(around.now);
        let (good, bad) = self.peer_reports.own(around.now);
        let contradicted = good > 0 && bad == 0;
        let fails = around.automatic
            && !contradicted
            && votes.failing >= MIN_SUSPECTING_PEERS
            && votes.failing > CONTRADICTION_FACTOR * votes.healthy;
        let quorum = ((EJECTION_QUORUM_RATIO * around.heard as f64).ceil() as u32).max(MIN_EJECTION_QUORUM);
        let quorum = if found.score >= SUSPECT_SCORE / 2.0 {
            (2 * quorum).div_ceil(3).max(MIN_EJECTION_QUORUM)
        } else {
            quorum
        };
        (fails, fails && votes.failing >= quorum && !around.other_away)
    }

    /// The next step, if one is due.
    pub fn step(&mut self, common: &PoolProfile, around: &StepContext) {
        let now = around.now;
        let found = self.evidence.assess(now, self.servers, around.lone, around.others);
        let verdict = self.verdict(around, found);
        if around.in_panic_mode && self.state != DomainState::Maintenance {
            self.drop_judgement(now, found);
            return;
        }
        match self.state {
            DomainState::Maintenance => {}
            DomainState::Healthy | DomainState::Suspect if verdict.is_alarm || verdict.has_quorum => {
                self.eject_or_drain(now, &verdict);
            }
            DomainState::Healthy => self.step_healthy(around, &verdict),
            DomainState::Suspect => self.step_suspect(now, &verdict),
            DomainState::Draining => self.step_draining(around, &verdict),
            DomainState::Ejected => self.step_ejected(now),
            DomainState::Probing => self.step_probing(common, around, &verdict),
            DomainState::Recovering => self.step_recovering(common, now, &verdict),
        }
    }

    /// What own signs and other processes come to.
    fn verdict(&self, around: &StepContext, found: Assessment) -> Verdict {
        // What bears another's load may well be slow.
        let is_overloaded_only = || {
            let (good, bad) = self.evidence.since(around.now.minus_millis(OVERLOAD_WINDOW));
            good > 0 || bad < MIN_OVERLOAD_FAILURES
        };
        let is_sure = !found.is_slow || found.score >= SLOW_ALARM_FACTOR * ALARM_SCORE;
        let is_alarm = found.is_failed
            && is_sure
            && around.automatic
            && !around.in_panic_mode
            && (!around.other_away || !is_overloaded_only());
        let (is_told, has_quorum) = self.peer_verdict(around, &found);
        Verdict { found, is_alarm, is_told, has_quorum }
    }

    /// What was judged is not believed, and what it rested on neither.
    fn drop_judgement(&mut self, now: Timestamp, found: Assessment) {
        if self.state != DomainState::Healthy {
            self.set_state(now, DomainState::Healthy, found);
        }
        self.evidence.clear();
    }

    /// A slow domain is left by and by, a lost one at once.
    fn eject_or_drain(&mut self, now: Timestamp, verdict: &Verdict) {
        if verdict.found.is_slow && !verdict.has_quorum {
            self.set_state(now, DomainState::Draining, verdict.found);
            self.level = DRAIN_FACTOR;
        } else {
            self.eject(now, verdict.found, false);
        }
    }

    fn step_healthy(&mut self, around: &StepContext, verdict: &Verdict) {
        let found = verdict.found;
        if verdict.is_told || found.is_suspect && around.automatic && !found.is_slow {
            self.set_state(around.now, DomainState::Suspect, found);
        } else if around.now > self.since.plus_millis(FAILURE_MEMORY) {
            self.failed_recoveries = 0;
        }
    }

    fn step_suspect(&mut self, now: Timestamp, verdict: &Verdict) {
        let found = verdict.found;
        let has_nothing_new = now > self.since.plus_millis(SUSPICION_LIFETIME) && !found.is_suspect;
        if !verdict.is_told && (found.score < 1.0 || has_nothing_new) {
            self.set_state(now, DomainState::Healthy, found);
        }
    }

    fn step_draining(&mut self, around: &StepContext, verdict: &Verdict) {
        let (now, found) = (around.now, verdict.found);
        let from = self.since.max(now.minus_millis(4.0 * DRAIN_INTERVAL));
        let (good, bad) = self.evidence.since(from);
        if verdict.is_alarm && !found.is_slow {
            self.eject(now, found, false);
            return;
        }
        if now < self.level_at.plus_millis(DRAIN_INTERVAL) {
            return;
        }
        let is_well = good + bad >= 4 && bad * 8 <= good || good + bad == 0;
        if is_well && now > self.since.plus_millis(MIN_EJECTION_TIME) {
            // Slow servers are not cold: the way back begins where it stands.
            let level = self.level;
            self.set_state(now, DomainState::Recovering, found);
            self.level = level;
        } else {
            let factor = if around.pressed { 1.0 / DRAIN_FACTOR } else { DRAIN_FACTOR };
            self.level = (self.level * factor).clamp(MIN_DRAINING_SHARE, 1.0);
            self.level_at = now;
        }
    }

    fn step_ejected(&mut self, now: Timestamp) {
        let votes = self.peer_reports.votes(now);
        let is_found_well = votes.healthy >= MIN_SUSPECTING_PEERS && votes.failing == 0;
        if is_found_well && now > self.since.plus_millis(PEER_RECOVERY_TIME) {
            self.until = self.until.min(now.plus_millis(self.jitter.f64() * PEER_RECOVERY_TIME));
        }
        if now < self.until {
            return;
        }
        if votes.failing > 0 && votes.healthy == 0 {
            self.until = now.plus_millis(self.jittered(FAILED_PROBE_PAUSE));
        } else {
            self.set_state(now, DomainState::Probing, self.cause);
        }
    }

    fn step_probing(&mut self, common: &PoolProfile, around: &StepContext, verdict: &Verdict) {
        let now = around.now;
        let (good, bad) = self.evidence.since(self.since);
        let is_failing = bad >= 2 || bad == 1 && good == 0;
        let votes = self.peer_reports.votes(now);
        let good = if votes.failing == 0 { good + votes.healthy } else { good };
        let enough = GOOD_PROBES.min(1 + self.servers as u32);
        if is_failing && around.automatic {
            self.eject(now, verdict.found, true);
        } else if good >= enough || now > self.since.plus_millis(MAX_PROBING_TIME) {
            self.set_state(now, DomainState::Recovering, verdict.found);
            self.level = SLOW_START_RATIO * common.slow_start_capacity;
        }
    }

    fn step_recovering(&mut self, common: &PoolProfile, now: Timestamp, verdict: &Verdict) {
        let found = verdict.found;
        if verdict.is_alarm {
            self.eject(now, found, true);
        } else if (found.is_suspect || verdict.is_told) && now >= self.until {
            self.level = (self.level * RECOVERY_STEP_BACK)
                .max(SLOW_START_RATIO * common.slow_start_capacity * RECOVERY_STEP_BACK);
            self.cause = found;
            self.evidence.clear();
            self.until = now.plus_millis(self.jittered(RECOVERY_PAUSE));
        } else if now >= self.until {
            let pace =
                SLOW_START_RATIO * (1.0 - common.slow_start_capacity) / common.slow_start_duration.max(1.0);
            self.level += pace * now.millis_since(self.level_at.max(self.until)).max(0.0);
            if self.level >= SLOW_START_RATIO {
                self.level = 1.0;
                self.set_state(now, DomainState::Healthy, found);
            }
        }
        self.level_at = now;
    }

    /// Part of the safe requests, of which so many a second come to this process, and of the others that may go there.
    pub fn shares(&self, common: &PoolProfile, safe_rate: f64) -> (f64, f64) {
        match self.state {
            DomainState::Maintenance => (0.0, 0.0),
            DomainState::Healthy => (1.0, 1.0),
            DomainState::Suspect => (SUSPECT_SAFE_SHARE, 0.0),
            DomainState::Ejected => (0.0, 0.0),
            DomainState::Probing => {
                let own = PROBES_PER_S / f64::from(common.processes.max(1));
                ((own / safe_rate.max(own)).min(1.0), 0.0)
            }
            DomainState::Draining | DomainState::Recovering => (self.level, self.level),
        }
    }

    pub fn status(&self, common: &PoolProfile, safe_rate: f64) -> DomainStatus {
        DomainStatus {
            zone: self.zone.clone(),
            state: self.state,
            since: self.since,
            shares: self.shares(common, safe_rate),
            cause: self.cause,
            votes: self.votes,
            failed_recoveries: self.failed_recoveries,
            servers: self.servers,
        }
    }
}
