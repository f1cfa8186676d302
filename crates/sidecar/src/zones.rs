//! A pool whose zones are judged as a whole: what its configuration says of that, its events, and what operators are
//! told of it.

use ivygate_config as config;
use ivygate_failure_domains::{Belief, DomainEvent, DomainState, GuardedGateway, Kind, Policy, Tally};
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
    guarded: Rc<RefCell<GuardedGateway>>,
}

impl Zones {
    /// The domains of a pool whose configuration has them judged.
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

    /// Takes over what a reload says of it.
    pub fn handle_settings(&self, now: Timestamp, pool: &config::Pool) {
        if let Some(domains) = &pool.domains {
            self.guarded.borrow_mut().handle_policy(now, policy(pool, domains));
        }
    }

    /// Another process tells something of the pool's zones.
    pub fn handle_report(&self, now: Timestamp, author: u64, tallies: &[Tally]) {
        self.guarded.borrow_mut().handle_report(now, author, tallies);
    }

    /// What is to be told to the other processes now, if anything.
    pub fn poll_report(&self) -> Option<Vec<Tally>> {
        self.guarded.borrow_mut().poll_report()
    }

    /// What is believed of each zone, one JSON document each; ages in milliseconds.
    pub fn told(&self, now: Timestamp) -> Vec<Value> {
        let (beliefs, distrusted) = self.guarded.borrow().beliefs();
        let one = |belief: &Belief| {
            json!({
                "pool": &*self.pool, "zone": &*belief.zone, "degree": belief.state.word(),
                "since_ms": now.millis_since(belief.since).max(0.0).round(), "servers": belief.servers,
                "safe": belief.shares.0, "other": belief.shares.1,
                "because": because(belief), "others_good": belief.votes.good, "others_bad": belief.votes.bad,
                "failed_again": belief.failed_again, "distrusted": distrusted,
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

fn policy(pool: &config::Pool, domains: &config::Domains) -> Policy {
    let usual = Policy::default();
    Policy {
        automatic: domains.leave,
        works: domains.works.iter().cloned().collect(),
        distrust: domains.distrust,
        processes: pool.sidecars,
        cold_from: pool.cold.map_or(usual.cold_from, |cold| cold.from),
        warm: pool.cold.map_or(usual.warm, |cold| cold.warm),
    }
}

/// What a belief rests on, in words.
fn because(belief: &Belief) -> String {
    let found = &belief.because;
    let own = match found.kind {
        Some(kind) => format!("{} of {} signs bad, most of them {}", found.bad, found.signs, kind.word()),
        None => "nothing against it".to_owned(),
    };
    let voices = belief.votes;
    if voices.good + voices.bad == 0 {
        return own;
    }
    format!("{own}; {} others say it fails, {} that it serves", voices.bad, voices.good)
}

/// One event for each happening, and none for a request.
fn tell(pool: &str, happening: &DomainEvent) {
    match happening {
        // Two late answers make a suspicion, and it changes little.
        DomainEvent::StateChanged { from, to }
            if *from == DomainState::Suspect || to.state == DomainState::Suspect =>
        {
            if to.state.judged_bad() {
                tell_turn(pool, *from, to);
            }
        }
        DomainEvent::StateChanged { from, to } => tell_turn(pool, *from, to),
        DomainEvent::Distrusted(part) => {
            tracing::warn!(pool, part, "too much is judged bad to be believed: requests go to all zones");
        }
        DomainEvent::Trusted => tracing::warn!(pool, "judgements are believed again"),
        DomainEvent::ProcessPaused(time) => {
            tracing::warn!(pool, for_ms = time.round(), "stood still: what was seen before says nothing now");
        }
    }
}

fn tell_turn(pool: &str, from: DomainState, to: &Belief) {
    tracing::warn!(
        pool,
        zone = &*to.zone,
        from = from.word(),
        to = to.state.word(),
        because = because(to),
        failed_again = to.failed_again,
        "zone judged anew"
    );
}
