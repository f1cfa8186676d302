//! A pool whose zones are judged as a whole: what its configuration says of that, its events, and what operators are
//! told of it.

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

/// A decision module with the domains of its pool.
#[derive(Clone)]
pub struct Zones {
    pool: Rc<str>,
    guarded: Rc<RefCell<ZoneAwareGateway>>,
}

impl Zones {
    /// The domains of a pool whose configuration has them judged.
    pub fn new(
        pool: &config::Pool,
        domains: &config::Domains,
        settings: &Settings,
        gateway: Gateway,
    ) -> Self {
        let kind =
            |class: &ivygate_gateway::RequestClass| ClassProfile::from((class.effect, class.latency_target));
        let kinds = settings.classes.iter().map(|class| (class.name.as_str().into(), kind(class)));
        let guarded = ZoneAwareGateway::new(gateway, policy(pool, domains), kinds, fastrand::u64(..));
        Self { pool: pool.name.as_str().into(), guarded: Rc::new(RefCell::new(guarded)) }
    }

    /// Takes over what a reload says of it.
    pub fn handle_settings(&self, now: Timestamp, pool: &config::Pool) {
        if let Some(domains) = &pool.domains {
            self.guarded.borrow_mut().handle_policy(now, policy(pool, domains));
        }
    }

    /// Another process tells something of the pool's zones.
    pub fn handle_report(&self, now: Timestamp, author: u64, tallies: &[ZoneReport]) {
        self.guarded.borrow_mut().handle_report(now, author, tallies);
    }

    /// What is to be told to the other processes now, if anything.
    pub fn poll_report(&self) -> Option<Vec<ZoneReport>> {
        self.guarded.borrow_mut().poll_report()
    }

    /// What is believed of each zone, one JSON document each; ages in milliseconds.
    pub fn told(&self, now: Timestamp) -> Vec<Value> {
        let (beliefs, distrusted) = self.guarded.borrow().statuses();
        let one = |belief: &DomainStatus| {
            json!({
                "pool": &*self.pool, "zone": &*belief.zone, "degree": belief.state.as_str(),
                "since_ms": now.millis_since(belief.since).max(0.0).round(), "servers": belief.servers,
                "safe": belief.shares.0, "other": belief.shares.1,
                "because": because(belief), "others_good": belief.votes.healthy, "others_bad": belief.votes.failing,
                "failed_again": belief.failed_recoveries, "distrusted": distrusted,
            })
        };
        beliefs.iter().map(one).collect()
    }
}

impl DecisionEngine for Zones {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        let mut guarded = self.guarded.borrow_mut();
        guarded.handle(now, event, actions);
        while let Some(happening) = guarded.poll_event() {
            tell(&self.pool, &happening);
        }
    }
}

fn policy(pool: &config::Pool, domains: &config::Domains) -> EjectionPolicy {
    let usual = EjectionPolicy::default();
    EjectionPolicy {
        automatic_ejection: domains.leave,
        maintenance_zones: domains.maintenance_zones.iter().cloned().collect(),
        panic_threshold: domains.distrust,
        processes: pool.sidecars,
        slow_start_capacity: pool.cold.map_or(usual.slow_start_capacity, |cold| cold.from),
        slow_start_duration: pool.cold.map_or(usual.slow_start_duration, |cold| cold.warm),
    }
}

/// What a belief rests on, in words.
fn because(belief: &DomainStatus) -> String {
    let found = &belief.cause;
    let own = match found.main_failure {
        Some(kind) => {
            format!("{} of {} signs bad, most of them {}", found.failures, found.observations, kind.as_str())
        }
        None => "nothing against it".to_owned(),
    };
    let voices = belief.votes;
    if voices.healthy + voices.failing == 0 {
        return own;
    }
    format!("{own}; {} others say it fails, {} that it serves", voices.failing, voices.healthy)
}

/// One event for each happening, and none for a request.
fn tell(pool: &str, happening: &DomainEvent) {
    match happening {
        // Two late answers make a suspicion, and it changes little.
        DomainEvent::StateChanged { from, to }
            if *from == DomainState::Suspect || to.state == DomainState::Suspect =>
        {
            if to.state.is_judged_failing() {
                tell_turn(pool, *from, to);
            }
        }
        DomainEvent::StateChanged { from, to } => tell_turn(pool, *from, to),
        DomainEvent::PanicModeEntered(part) => {
            tracing::warn!(pool, part, "too much is judged bad to be believed: requests go to all zones");
        }
        DomainEvent::PanicModeLeft => tracing::warn!(pool, "judgements are believed again"),
        DomainEvent::ProcessPaused(time) => {
            tracing::warn!(pool, for_ms = time.round(), "stood still: what was seen before says nothing now");
        }
    }
}

fn tell_turn(pool: &str, from: DomainState, to: &DomainStatus) {
    tracing::warn!(
        pool,
        zone = &*to.zone,
        from = from.as_str(),
        to = to.state.as_str(),
        because = because(to),
        failed_again = to.failed_recoveries,
        "zone judged anew"
    );
}
