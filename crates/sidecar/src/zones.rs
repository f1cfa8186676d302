//! Zone failure detection of a pool: its policy, its events, and its status for operators.

use ivygate_config as config;
use ivygate_failure_domains::{
    ClassProfile, DomainEvent, DomainState, DomainStatus, EjectionPolicy, ZoneAwareGateway, ZoneReport,
};
use ivygate_gateway::{Action, Event, Gateway, Settings};
use ivygate_runtime::DecisionEngine;
use ivygate_time::Timestamp;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::rc::Rc;

/// Gateway with zone failure detection.
#[derive(Clone)]
pub struct Zones {
    pool: Rc<str>,
    gateway: Rc<RefCell<ZoneAwareGateway>>,
}

impl Zones {
    /// Creates the failure detection for a pool with `domains` settings.
    pub fn new(
        pool: &config::Pool,
        domains: &config::Domains,
        settings: &Settings,
        gateway: Gateway,
    ) -> Self {
        let profile =
            |class: &ivygate_gateway::RequestClass| ClassProfile::from((class.effect, class.latency_target));
        let profiles = settings.classes.iter().map(|class| (class.name.as_str().into(), profile(class)));
        let gateway = ZoneAwareGateway::new(gateway, policy(pool, domains), profiles, fastrand::u64(..));
        Self { pool: pool.name.as_str().into(), gateway: Rc::new(RefCell::new(gateway)) }
    }

    /// Applies reloaded settings.
    pub fn handle_settings(&self, now: Timestamp, pool: &config::Pool) {
        if let Some(domains) = &pool.domains {
            self.gateway.borrow_mut().handle_policy(now, policy(pool, domains));
        }
    }

    /// Handles a report that another process sent about the zones of this pool.
    pub fn handle_report(&self, now: Timestamp, author: u64, reports: &[ZoneReport]) {
        self.gateway.borrow_mut().handle_report(now, author, reports);
    }

    /// Returns the report that is due for the other processes, if any.
    pub fn poll_report(&self) -> Option<Vec<ZoneReport>> {
        self.gateway.borrow_mut().poll_report()
    }

    /// Returns the state of each zone as a JSON document, with ages in milliseconds.
    pub fn status(&self, now: Timestamp) -> Vec<Value> {
        let (statuses, distrusted) = self.gateway.borrow().statuses();
        let document = |status: &DomainStatus| {
            json!({
                "pool": &*self.pool, "zone": &*status.zone, "degree": status.state.as_str(),
                "since_ms": now.millis_since(status.since).max(0.0).round(), "servers": status.servers,
                "safe": status.shares.0, "other": status.shares.1,
                "because": reason(status), "others_good": status.votes.healthy, "others_bad": status.votes.failing,
                "failed_again": status.failed_recoveries, "distrusted": distrusted,
            })
        };
        statuses.iter().map(document).collect()
    }
}

impl DecisionEngine for Zones {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        let mut gateway = self.gateway.borrow_mut();
        gateway.handle(now, event, actions);
        while let Some(event) = gateway.poll_event() {
            log_event(&self.pool, &event);
        }
    }
}

fn policy(pool: &config::Pool, domains: &config::Domains) -> EjectionPolicy {
    let defaults = EjectionPolicy::default();
    EjectionPolicy {
        automatic_ejection: domains.leave,
        maintenance_zones: domains.maintenance_zones.iter().cloned().collect(),
        panic_threshold: domains.distrust,
        processes: pool.sidecars,
        slow_start_capacity: pool.cold.map_or(defaults.slow_start_capacity, |cold| cold.from),
        slow_start_duration: pool.cold.map_or(defaults.slow_start_duration, |cold| cold.warm),
    }
}

/// Describes the evidence for the state of a zone.
fn reason(status: &DomainStatus) -> String {
    let evidence = &status.cause;
    let local = match evidence.main_failure {
        Some(kind) => {
            format!(
                "{} of {} signs bad, most of them {}",
                evidence.failures,
                evidence.observations,
                kind.as_str()
            )
        }
        None => "nothing against it".to_owned(),
    };
    let votes = status.votes;
    if votes.healthy + votes.failing == 0 {
        return local;
    }
    format!("{local}; {} others say it fails, {} that it serves", votes.failing, votes.healthy)
}

/// Logs a state change of a zone; never called per request.
fn log_event(pool: &str, event: &DomainEvent) {
    match event {
        // Two late answers suffice for the suspect state, which has little effect, so transitions to and from it are
        // logged only if the zone is then judged bad.
        DomainEvent::StateChanged { from, to }
            if *from == DomainState::Suspect || to.state == DomainState::Suspect =>
        {
            if to.state.is_judged_failing() {
                log_state_change(pool, *from, to);
            }
        }
        DomainEvent::StateChanged { from, to } => log_state_change(pool, *from, to),
        DomainEvent::PanicModeEntered(part) => {
            tracing::warn!(pool, part, "too large a part of the servers is judged bad for the judgement to be trusted: requests go to all zones");
        }
        DomainEvent::PanicModeLeft => tracing::warn!(pool, "zone judgements are trusted again"),
        DomainEvent::ProcessPaused(time) => {
            tracing::warn!(
                pool,
                for_ms = time.round(),
                "the process stood still: earlier observations are discarded"
            );
        }
    }
}

fn log_state_change(pool: &str, from: DomainState, to: &DomainStatus) {
    tracing::warn!(
        pool,
        zone = &*to.zone,
        from = from.as_str(),
        to = to.state.as_str(),
        because = reason(to),
        failed_again = to.failed_recoveries,
        "zone judged anew"
    );
}
