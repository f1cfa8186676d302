//! A process of the fleet: its decision module, with or without domains in front, and its open requests.

use crate::scenario::Scenario;
use ivygate_failure_domains::{ClassProfile, DomainEvent, DomainState, ZoneAwareGateway, ZoneReport};
use ivygate_gateway::{Action, Event, Gateway, RequestId, SettingsError};
use ivygate_time::{Millis, Timestamp};
use std::collections::HashMap;

pub enum Decisions {
    Alone(Box<Gateway>),
    Guarded(Box<ZoneAwareGateway>),
}

/// An attempt that has not ended.
pub struct Attempt {
    pub server: usize,
    pub sent_at: Millis,
    pub out: bool,
}

/// A request that has no final answer, or attempts out.
pub struct Open {
    pub id: RequestId,
    pub class: usize,
    pub arrived: Millis,
    pub answered: bool,
    pub attempts: Vec<Attempt>,
}

pub struct Node {
    pub zone: usize,
    decisions: Decisions,
    pub open: HashMap<u64, Open>,
    /// Zones left and come back to: when, which, and whether it was left.
    pub turns: Vec<(Millis, String, bool)>,
}

impl Node {
    pub fn new(scenario: &Scenario, number: usize, seed: u64) -> Result<Self, SettingsError> {
        let gateway = Gateway::new(scenario.settings(number), seed)?;
        let decisions = match &scenario.policy {
            None => Decisions::Alone(Box::new(gateway)),
            Some(policy) => {
                let classes = scenario.classes();
                let kinds = classes
                    .iter()
                    .map(|c| (c.name.as_str().into(), ClassProfile::from((c.effect, c.latency_target))));
                Decisions::Guarded(Box::new(ZoneAwareGateway::new(gateway, policy.clone(), kinds, seed)))
            }
        };
        Ok(Self { zone: number % scenario.zones, decisions, open: HashMap::new(), turns: Vec::new() })
    }

    /// What it tells the other processes now, if anything.
    pub fn word(&mut self) -> Option<Vec<ZoneReport>> {
        match &mut self.decisions {
            Decisions::Alone(_) => None,
            Decisions::Guarded(guarded) => guarded.poll_report(),
        }
    }

    /// Another process tells something.
    pub fn hear(&mut self, now: Millis, author: usize, reports: &[ZoneReport]) {
        if let Decisions::Guarded(guarded) = &mut self.decisions {
            guarded.handle_report(Timestamp::from_millis(now), author as u64, reports);
        }
    }

    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        let at = Timestamp::from_millis(now);
        match &mut self.decisions {
            Decisions::Alone(gateway) => gateway.handle(at, event, &mut actions),
            Decisions::Guarded(guarded) => {
                guarded.handle(at, event, &mut actions);
                while let Some(happening) = guarded.poll_event() {
                    if let DomainEvent::StateChanged { to, .. } = happening {
                        match to.state {
                            DomainState::Ejected | DomainState::Draining => {
                                self.turns.push((now, to.zone.to_string(), true));
                            }
                            DomainState::Healthy => self.turns.push((now, to.zone.to_string(), false)),
                            _ => {}
                        }
                    }
                }
            }
        }
        actions
    }
}
