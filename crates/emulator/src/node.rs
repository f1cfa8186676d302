//! A node of the fleet: its gateway, with or without failure domains, and its open requests.

use crate::scenario::Scenario;
use ivygate_failure_domains::{ClassProfile, DomainEvent, DomainState, ZoneAwareGateway, ZoneReport};
use ivygate_gateway::{Action, Event, Gateway, RequestId, SettingsError};
use ivygate_time::{Millis, Timestamp};
use std::collections::HashMap;

/// The gateway of a node.
pub enum NodeGateway {
    Plain(Box<Gateway>),
    ZoneAware(Box<ZoneAwareGateway>),
}

/// An attempt of an open request.
pub struct Attempt {
    pub server: usize,
    pub sent_at: Millis,
    pub in_flight: bool,
}

/// A request that has no final answer or has attempts in flight.
pub struct OpenRequest {
    pub id: RequestId,
    pub class: usize,
    pub arrived_at: Millis,
    pub is_answered: bool,
    pub attempts: Vec<Attempt>,
}

/// A node of the fleet.
pub struct Node {
    pub zone: usize,
    gateway: NodeGateway,
    pub open_requests: HashMap<u64, OpenRequest>,
    /// Ejections and recoveries of zones: time, zone, and whether it was ejected.
    pub zone_changes: Vec<(Millis, String, bool)>,
}

impl Node {
    /// Creates the node with index `number`.
    pub fn new(scenario: &Scenario, number: usize, seed: u64) -> Result<Self, SettingsError> {
        let gateway = Gateway::new(scenario.settings(number), seed)?;
        let gateway = match &scenario.policy {
            None => NodeGateway::Plain(Box::new(gateway)),
            Some(policy) => {
                let classes = scenario.classes();
                let profiles = classes.iter().map(|class| {
                    (class.name.as_str().into(), ClassProfile::from((class.effect, class.latency_target)))
                });
                NodeGateway::ZoneAware(Box::new(ZoneAwareGateway::new(
                    gateway,
                    policy.clone(),
                    profiles,
                    seed,
                )))
            }
        };
        Ok(Self {
            zone: number % scenario.zones,
            gateway,
            open_requests: HashMap::new(),
            zone_changes: Vec::new(),
        })
    }

    /// Returns the reports that are due for the other nodes.
    pub fn poll_report(&mut self) -> Option<Vec<ZoneReport>> {
        match &mut self.gateway {
            NodeGateway::Plain(_) => None,
            NodeGateway::ZoneAware(gateway) => gateway.poll_report(),
        }
    }

    /// Handles the reports of another node.
    pub fn handle_report(&mut self, now: Millis, sender: usize, reports: &[ZoneReport]) {
        if let NodeGateway::ZoneAware(gateway) = &mut self.gateway {
            gateway.handle_report(Timestamp::from_millis(now), sender as u64, reports);
        }
    }

    /// Passes an event to the gateway and returns its actions.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        let at = Timestamp::from_millis(now);
        match &mut self.gateway {
            NodeGateway::Plain(gateway) => gateway.handle(at, event, &mut actions),
            NodeGateway::ZoneAware(gateway) => {
                gateway.handle(at, event, &mut actions);
                while let Some(event) = gateway.poll_event() {
                    if let DomainEvent::StateChanged { to, .. } = event {
                        match to.state {
                            DomainState::Ejected | DomainState::Draining => {
                                self.zone_changes.push((now, to.zone.to_string(), true));
                            }
                            DomainState::Healthy => self.zone_changes.push((now, to.zone.to_string(), false)),
                            _ => {}
                        }
                    }
                }
            }
        }
        actions
    }
}
