//! Zone failure detection of a pool: its policy, its events, and its status for operators.

use ivygate_config as config;
use ivygate_failure_domains::{Belief, DomainEvent, DomainState, GuardedGateway, Kind, Policy, Tally};
use ivygate_gateway::{Action, Event, Gateway, Settings};
use ivygate_runtime::Decisions;
use ivygate_time::Timestamp;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::rc::Rc;

/// Gateway with zone failure detection.
#[derive(Clone)]
pub struct Zones {
    pool: Rc<str>,
    guarded: Rc<RefCell<GuardedGateway>>,
}

impl Zones {
    /// Creates the failure detection for a pool with `domains` settings.
    pub fn new(
        pool: &config::Pool,
        domains: &config::Domains,
        settings: &Settings,
        gateway: Gateway,
    ) -> Self {
        let kind = |class: &ivygate_gateway::RequestClass| Kind::from((class.effect, class.latency_target));
        let kinds = settings.classes.iter().map(|class| (class.name.as_str().into(), kind(class)));
        let guarded = GuardedGateway::new(gateway, policy(pool, domains), kinds, fastrand::u64(..));
        Self { pool: pool.name.as_str().into(), guarded: Rc::new(RefCell::new(guarded)) }
    }

    /// Applies reloaded settings.
    pub fn handle_settings(&self, now: Timestamp, pool: &config::Pool) {
        if let Some(domains) = &pool.domains {
            self.guarded.borrow_mut().handle_policy(now, policy(pool, domains));
        }
    }

    /// Handles a report of another process about the zones of this pool.
    pub fn handle_report(&self, now: Timestamp, author: u64, tallies: &[Tally]) {
        self.guarded.borrow_mut().handle_report(now, author, tallies);
    }

    /// Returns the report that is due for the other processes, if any.
    pub fn poll_report(&self) -> Option<Vec<Tally>> {
        self.guarded.borrow_mut().poll_report()
    }

    /// Returns the state of each zone as a JSON document, with ages in milliseconds.
    pub fn status(&self, now: Timestamp) -> Vec<Value> {
        let (beliefs, distrusted) = self.guarded.borrow().beliefs();
        let document = |belief: &Belief| {
            json!({
                "pool": &*self.pool, "zone": &*belief.zone, "degree": belief.state.word(),
                "since_ms": now.millis_since(belief.since).max(0.0).round(), "servers": belief.servers,
                "safe": belief.shares.0, "other": belief.shares.1,
                "because": reason(belief), "others_good": belief.votes.good, "others_bad": belief.votes.bad,
                "failed_again": belief.failed_again, "distrusted": distrusted,
            })
        };
        beliefs.iter().map(document).collect()
    }
}

impl Decisions for Zones {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        let mut guarded = self.guarded.borrow_mut();
        guarded.handle(now, event, actions);
        while let Some(event) = guarded.poll_event() {
            log_event(&self.pool, &event);
        }
    }
}

fn policy(pool: &config::Pool, domains: &config::Domains) -> Policy {
    let defaults = Policy::default();
    Policy {
        automatic: domains.leave,
        works: domains.works.iter().cloned().collect(),
        distrust: domains.distrust,
        processes: pool.sidecars,
        cold_from: pool.cold.map_or(defaults.cold_from, |cold| cold.from),
        warm: pool.cold.map_or(defaults.warm, |cold| cold.warm),
    }
}

/// Describes the evidence for the state of a zone.
fn reason(belief: &Belief) -> String {
    let evidence = &belief.because;
    let local = match evidence.kind {
        Some(kind) => {
            format!("{} of {} signs bad, most of them {}", evidence.bad, evidence.signs, kind.word())
        }
        None => "nothing against it".to_owned(),
    };
    let votes = belief.votes;
    if votes.good + votes.bad == 0 {
        return local;
    }
    format!("{local}; {} others say it fails, {} that it serves", votes.bad, votes.good)
}

/// Logs a state change of a zone; never called per request.
fn log_event(pool: &str, event: &DomainEvent) {
    match event {
        // Two late answers suffice for the suspect state, which has little effect, so
        // transitions to and from it are logged only if the zone is then judged bad.
        DomainEvent::StateChanged { from, to }
            if *from == DomainState::Suspect || to.state == DomainState::Suspect =>
        {
            if to.state.judged_bad() {
                log_state_change(pool, *from, to);
            }
        }
        DomainEvent::StateChanged { from, to } => log_state_change(pool, *from, to),
        DomainEvent::Distrusted(part) => {
            tracing::warn!(
                pool,
                part,
                "too large a part of the servers is judged bad for the judgement to be trusted: requests go to all zones"
            );
        }
        DomainEvent::Trusted => tracing::warn!(pool, "zone judgements are trusted again"),
        DomainEvent::ProcessPaused(time) => {
            tracing::warn!(
                pool,
                for_ms = time.round(),
                "the process stood still: earlier observations are discarded"
            );
        }
    }
}

fn log_state_change(pool: &str, from: DomainState, to: &Belief) {
    tracing::warn!(
        pool,
        zone = &*to.zone,
        from = from.word(),
        to = to.state.word(),
        because = reason(to),
        failed_again = to.failed_again,
        "zone judged anew"
    );
}
