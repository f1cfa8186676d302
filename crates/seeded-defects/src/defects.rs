//! Defects of decisions: a gateway that receives distorted events, or whose actions are changed.

use ivygate_gateway::{
    Action, Effect, Event, Gateway, KeyScope, Outcome, RequestId, ServerId, ServerState, Settings,
    SettingsError,
};
use ivygate_runtime::DecisionEngine;
use ivygate_time::{Millis, Timestamp};
use std::collections::{BTreeMap, HashSet};
use std::time::{SystemTime, UNIX_EPOCH};

/// Time for which a newly started server receives all requests.
const FLOOD_DURATION_MS: Millis = 2000.0;
/// Time after which the herd switches to the other zone.
const HERD_INTERVAL_MS: Millis = 1000.0;
/// Delay between the times at which successive nodes leave a failed zone.
const LEAVE_INTERVAL_MS: Millis = 2000.0;
/// Failures after which a zone counts as failed.
const ZONE_FAILURE_THRESHOLD: u32 = 3;
/// Maximum number of requests tracked as unsent. A rejected request remains tracked until the limit is reached.
const MAX_UNSENT_REQUESTS: usize = 100_000;

/// A seeded defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Requests that must not run twice are sent again.
    UnsafeRepeat,
    /// Keyed requests are sent again to servers that do not deduplicate them.
    KeyedElsewhere,
    /// Drains and removals of servers are ignored.
    DrainIgnored,
    /// A newly started server receives all requests.
    ColdFlood,
    /// Each node uses an entire ceiling instead of its share.
    CeilingWhole,
    /// Some responses are written twice.
    AnswerTwice,
    /// Some responses are not written.
    AnswerLost,
    /// After a fault, all nodes switch between zones simultaneously.
    Herd,
    /// Nodes leave a failed zone one after the other.
    OneByOne,
    /// Nodes never return to a zone that failed.
    AwayForEver,
}

impl Defect {
    /// All defects with their names.
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

    /// Returns the defect with this name, or `Some(None)` for an empty name, which stands for no defect. Returns `None`
    /// if the name is unknown.
    pub fn named(name: &str) -> Option<Option<Defect>> {
        if name.is_empty() {
            return Some(None);
        }
        Self::all().find(|(known, _)| *known == name).map(|(_, defect)| Some(defect))
    }
}

/// A gateway with an optional defect.
pub struct DefectiveGateway {
    defect: Option<Defect>,
    gateway: Gateway,
    rank: u32,
    zone_of: BTreeMap<ServerId, (String, ServerState)>,
    /// The last server that started, and the time until which it receives all requests.
    flooded: Option<(ServerId, Timestamp)>,
    failures: BTreeMap<String, u32>,
    /// The first zone that counted as failed, and the time since then.
    failed_zone: Option<(String, Timestamp)>,
    /// Requests that have not been sent yet. Keyed requests are left out, since their repeats depend on the first
    /// destination.
    unsent: HashSet<RequestId>,
    unkeyed_classes: HashSet<String>,
    selections: usize,
    /// The offset from the node's clock to the wall clock, which all nodes share.
    wall_clock_offset: Option<Millis>,
}

impl DefectiveGateway {
    /// Creates a gateway with an optional defect.
    ///
    /// # Errors
    /// Returns the errors of [`Gateway::new`].
    pub fn new(defect: Option<Defect>, mut settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        for class in &mut settings.classes {
            class.effect = match (defect, class.effect) {
                (Some(Defect::UnsafeRepeat), Effect::Unsafe) => Effect::Safe,
                (Some(Defect::KeyedElsewhere), Effect::Keyed(_)) => Effect::Keyed(KeyScope::All),
                (_, effect) => effect,
            };
        }
        let rank = settings.rank;
        let unkeyed_classes = settings.classes.iter().filter(|c| !matches!(c.effect, Effect::Keyed(_)));
        let unkeyed_classes = unkeyed_classes.map(|c| c.name.clone()).collect();
        let gateway = Gateway::new(settings, seed)?;
        Ok(Self {
            defect,
            gateway,
            rank,
            zone_of: BTreeMap::new(),
            flooded: None,
            failures: BTreeMap::new(),
            failed_zone: None,
            unsent: HashSet::new(),
            unkeyed_classes,
            selections: 0,
            wall_clock_offset: None,
        })
    }

    /// Tracks servers, requests and failures, and distorts an event according to the defect.
    fn distort_event(&mut self, now: Timestamp, event: Event) -> Event {
        match event {
            Event::List { kind, servers: members } => {
                for member in members.iter() {
                    let previous = self.zone_of.insert(member.server, (member.zone.clone(), member.state));
                    if member.state == ServerState::Gone && self.failed_zone.is_none() {
                        self.failed_zone = Some((member.zone.clone(), now));
                    }
                    let is_new = previous.is_none_or(|(_, state)| state != ServerState::Ready);
                    if is_new && member.started_at.is_some() && member.state == ServerState::Ready {
                        self.flooded = Some((member.server, now.plus_millis(FLOOD_DURATION_MS)));
                    }
                }
                Event::List { kind, servers: members }
            }
            Event::Arrival(mut arrival) => {
                if self.defect == Some(Defect::CeilingWhole) {
                    arrival.gateways = 1;
                }
                if self.unsent.len() >= MAX_UNSENT_REQUESTS {
                    self.unsent.clear();
                }
                if self.unkeyed_classes.contains(&*arrival.class) {
                    self.unsent.insert(arrival.request.clone());
                }
                Event::Arrival(arrival)
            }
            Event::AttemptEnded(done) => {
                let failed = !matches!(done.outcome, Outcome::Ok | Outcome::Cancelled | Outcome::NeverSent);
                if let Some((zone, _)) = self.zone_of.get(&done.server).filter(|_| failed) {
                    let failures = self.failures.entry(zone.clone()).or_default();
                    *failures += 1;
                    if *failures >= ZONE_FAILURE_THRESHOLD && self.failed_zone.is_none() {
                        self.failed_zone = Some((zone.clone(), now));
                    }
                }
                Event::AttemptEnded(done)
            }
            other => other,
        }
    }

    fn flooded_server(&self, now: Timestamp) -> Option<ServerId> {
        let (server, until) = self.flooded.filter(|_| self.defect == Some(Defect::ColdFlood))?;
        (now < until).then_some(server)
    }

    /// Returns the server that replaces the gateway's choice for a request's first attempt, if the defect requires it.
    fn replacement_server(&mut self, now: Timestamp) -> Option<ServerId> {
        let (failed_zone, since) = match self.defect? {
            Defect::ColdFlood => return self.flooded_server(now),
            Defect::Herd | Defect::OneByOne | Defect::AwayForEver => self.failed_zone.clone()?,
            _ => return None,
        };
        let to_failed_zone = match self.defect? {
            Defect::Herd => ((now.as_millis() + self.wall_clock_offset?) / HERD_INTERVAL_MS) as u64 % 2 == 0,
            Defect::OneByOne => now.millis_since(since) < f64::from(self.rank) * LEAVE_INTERVAL_MS,
            _ => false,
        };
        let is_eligible = |(zone, state): &(String, ServerState)| {
            (*zone == failed_zone) == to_failed_zone && *state == ServerState::Ready
        };
        let servers: Vec<_> =
            self.zone_of.iter().filter(|(_, s)| is_eligible(s)).map(|(id, _)| *id).collect();
        self.selections += 1;
        servers.get(self.selections % servers.len().max(1)).copied()
    }
}

impl DecisionEngine for DefectiveGateway {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        if self.wall_clock_offset.is_none() {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            self.wall_clock_offset = Some(unix.as_secs_f64() * 1000.0 - now.as_millis());
        }
        let event = self.distort_event(now, event);
        let first_new = actions.len();
        self.gateway.handle(now, event, actions);
        for action in &mut actions[first_new..] {
            match action {
                Action::Send { request, server, .. } if self.unsent.remove(request) => {
                    *server = self.replacement_server(now).unwrap_or(*server);
                }
                // A flooded server receives rejected requests too.
                Action::Reject { request, .. } if self.unsent.remove(request) => {
                    if let Some(server) = self.flooded_server(now) {
                        *action = Action::Send {
                            request: request.clone(),
                            server,
                            give_up_at: now.plus_millis(FLOOD_DURATION_MS),
                        };
                    }
                }
                _ => {}
            }
        }
    }
}
