//! Defects of decisions: a gateway that is told something else than what is, or is not heeded.

use ivygate_gateway::{
    Action, Effect, Event, Gateway, KeyScope, Outcome, RequestId, ServerId, ServerState, Settings,
    SettingsError,
};
use ivygate_runtime::DecisionEngine;
use ivygate_time::{Millis, Timestamp};
use std::collections::{BTreeMap, HashSet};
use std::time::{SystemTime, UNIX_EPOCH};

/// How long a server that has just started is flooded.
const FLOOD: Millis = 2000.0;
/// Period in which a herd runs to the one zone, and then to the other.
const HERD: Millis = 1000.0;
/// Time between one node's leaving of a zone and the next one's.
const ONE_BY_ONE: Millis = 2000.0;
/// Failures after which a zone is thought to be at fault.
const AT_FAULT: u32 = 3;
/// Most requests that are kept until they are sent; a refused one stays until this many have come.
const KEPT: usize = 100_000;

/// What is wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// What must not run twice is sent again.
    UnsafeRepeat,
    /// What is keyed is sent again to servers that don't drop its repeats.
    KeyedElsewhere,
    /// Drains and removals are not heard.
    DrainIgnored,
    /// A server that has just started gets everything.
    ColdFlood,
    /// Each node takes the whole of a ceiling.
    CeilingWhole,
    /// Some answers are written twice.
    AnswerTwice,
    /// Some answers are not written.
    AnswerLost,
    /// After a fault all nodes run from zone to zone, in step.
    Herd,
    /// Nodes leave a zone that fails one after the other.
    OneByOne,
    /// Nodes never come back to a zone that failed.
    AwayForEver,
}

impl Defect {
    /// All, with their names.
    pub fn all() -> impl Iterator<Item = (&'static str, Defect)> {
        [
            ("unsafe-repeat", Defect::UnsafeRepeat),
            ("keyed-elsewhere", Defect::KeyedElsewhere),
            ("drain-ignored", Defect::DrainIgnored),
            ("cold-flood", Defect::ColdFlood),
            ("ceiling-whole", Defect::CeilingWhole),
            ("answer-twice", Defect::AnswerTwice),
            ("answer-lost", Defect::AnswerLost),
            ("herd", Defect::Herd),
            ("one-by-one", Defect::OneByOne),
            ("away-for-ever", Defect::AwayForEver),
        ]
        .into_iter()
    }

    /// The one of a name; no defect has none. `None` if there is no such name.
    pub fn named(name: &str) -> Option<Option<Defect>> {
        if name.is_empty() {
            return Some(None);
        }
        Self::all().find(|(known, _)| *known == name).map(|(_, defect)| Some(defect))
    }
}

/// A gateway with a defect.
pub struct Planted {
    defect: Option<Defect>,
    gateway: Gateway,
    rank: u32,
    zone_of: BTreeMap<ServerId, (String, ServerState)>,
    /// The last server that started, and until when it is flooded.
    flooded: Option<(ServerId, Timestamp)>,
    failures: BTreeMap<String, u32>,
    /// The zone that was first thought to be at fault, and since when.
    at_fault: Option<(String, Timestamp)>,
    /// Requests not sent yet, but for keyed ones, whose repeats rest on where the first went.
    movable: HashSet<RequestId>,
    unkeyed: HashSet<String>,
    turn: usize,
    /// What is added to the node's clock for the one that all nodes share.
    shared: Option<Millis>,
}

impl Planted {
    /// A gateway with a defect.
    ///
    /// # Errors
    /// As for a gateway without.
    pub fn new(defect: Option<Defect>, mut settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        for class in &mut settings.classes {
            class.effect = match (defect, class.effect) {
                (Some(Defect::UnsafeRepeat), Effect::Unsafe) => Effect::Safe,
                (Some(Defect::KeyedElsewhere), Effect::Keyed(_)) => Effect::Keyed(KeyScope::All),
                (_, effect) => effect,
            };
        }
        let rank = settings.rank;
        let unkeyed = settings.classes.iter().filter(|c| !matches!(c.effect, Effect::Keyed(_)));
        let unkeyed = unkeyed.map(|c| c.name.clone()).collect();
        let gateway = Gateway::new(settings, seed)?;
        Ok(Self {
            defect,
            gateway,
            rank,
            zone_of: BTreeMap::new(),
            flooded: None,
            failures: BTreeMap::new(),
            at_fault: None,
            movable: HashSet::new(),
            unkeyed,
            turn: 0,
            shared: None,
        })
    }

    /// What the gateway is told in place of what is.
    fn told(&mut self, now: Timestamp, event: Event) -> Event {
        match event {
            Event::List { kind, servers: members } => {
                for member in members.iter() {
                    let known = self.zone_of.insert(member.server, (member.zone.clone(), member.state));
                    if member.state == ServerState::Gone && self.at_fault.is_none() {
                        self.at_fault = Some((member.zone.clone(), now));
                    }
                    let fresh = known.is_none_or(|(_, state)| state != ServerState::Ready);
                    if fresh && member.started_at.is_some() && member.state == ServerState::Ready {
                        self.flooded = Some((member.server, now.plus_millis(FLOOD)));
                    }
                }
                Event::List { kind, servers: members }
            }
            Event::Arrival(mut arrival) => {
                if self.defect == Some(Defect::CeilingWhole) {
                    arrival.gateways = 1;
                }
                if self.movable.len() >= KEPT {
                    self.movable.clear();
                }
                if self.unkeyed.contains(&*arrival.class) {
                    self.movable.insert(arrival.request.clone());
                }
                Event::Arrival(arrival)
            }
            Event::AttemptEnded(done) => {
                let failed = !matches!(done.outcome, Outcome::Ok | Outcome::Cancelled | Outcome::NeverSent);
                if let Some((zone, _)) = self.zone_of.get(&done.server).filter(|_| failed) {
                    let failures = self.failures.entry(zone.clone()).or_default();
                    *failures += 1;
                    if *failures >= AT_FAULT && self.at_fault.is_none() {
                        self.at_fault = Some((zone.clone(), now));
                    }
                }
                Event::AttemptEnded(done)
            }
            other => other,
        }
    }

    fn flooding(&self, now: Timestamp) -> Option<ServerId> {
        let (server, until) = self.flooded.filter(|_| self.defect == Some(Defect::ColdFlood))?;
        (now < until).then_some(server)
    }

    /// Where a request goes first in place of where the gateway sends it.
    fn instead(&mut self, now: Timestamp) -> Option<ServerId> {
        let (at_fault, since) = match self.defect? {
            Defect::ColdFlood => return self.flooding(now),
            Defect::Herd | Defect::OneByOne | Defect::AwayForEver => self.at_fault.clone()?,
            _ => return None,
        };
        let to_fault = match self.defect? {
            Defect::Herd => ((now.as_millis() + self.shared?) / HERD) as u64 % 2 == 0,
            Defect::OneByOne => now.millis_since(since) < f64::from(self.rank) * ONE_BY_ONE,
            _ => false,
        };
        let fits = |(zone, state): &(String, ServerState)| {
            (*zone == at_fault) == to_fault && *state == ServerState::Ready
        };
        let servers: Vec<_> = self.zone_of.iter().filter(|(_, s)| fits(s)).map(|(id, _)| *id).collect();
        self.turn += 1;
        servers.get(self.turn % servers.len().max(1)).copied()
    }
}

impl DecisionEngine for Planted {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        if self.shared.is_none() {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            self.shared = Some(unix.as_secs_f64() * 1000.0 - now.as_millis());
        }
        let event = self.told(now, event);
        let known = actions.len();
        self.gateway.handle(now, event, actions);
        for action in &mut actions[known..] {
            match action {
                Action::Send { request, server, .. } if self.movable.remove(request) => {
                    *server = self.instead(now).unwrap_or(*server);
                }
                // A flood heeds no queue.
                Action::Reject { request, .. } if self.movable.remove(request) => {
                    if let Some(server) = self.flooding(now) {
                        *action = Action::Send {
                            request: request.clone(),
                            server,
                            give_up_at: now.plus_millis(FLOOD),
                        };
                    }
                }
                _ => {}
            }
        }
    }
}
