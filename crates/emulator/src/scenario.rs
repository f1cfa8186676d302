//! What is played.

use ivygate_failure_domains::EjectionPolicy;
use ivygate_gateway::{Effect, KeyScope, Plan, RequestClass, RetryBudget, Settings};
use ivygate_time::Millis;

/// What a zone's servers, or the way to them, do wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Nothing passes, and nobody is told.
    NetworkPartition,
    /// Nothing passes between that zone and nodes of other zones.
    ZonePartition,
    /// Answers don't come back.
    ResponseLoss,
    /// They are dead, refuse connections, and come back cold; nobody is told.
    Crash,
    /// This part of the answers is lost in a reset.
    Resets(f64),
    /// This part of the requests is answered at once, with an error.
    Errors(f64),
    /// They take this many times as long.
    Slowdown(f64),
}

/// A fault of one zone, or of some servers of each zone.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// When it begins.
    pub at: Millis,
    /// When it ends.
    pub until: Millis,
    /// The zone, by number; `None` for all.
    pub zone: Option<usize>,
    /// Only for this part of its servers, counted from the first.
    pub server_ratio: f64,
    /// Only for nodes whose number, modulo the second figure, is below the first.
    pub nodes: (usize, usize),
    /// What.
    pub kind: FaultKind,
}

impl Fault {
    /// A fault of a whole zone, for all nodes.
    pub fn in_zone(zone: usize, kind: FaultKind, at: Millis, until: Millis) -> Self {
        Self { at, until, zone: Some(zone), server_ratio: 1.0, nodes: (1, 1), kind }
    }
}

/// How processes hear each other.
#[derive(Clone, Copy, Debug)]
pub struct PeerNetwork {
    /// How long a packet takes, and up to as long again.
    pub delay: Millis,
    /// Part of the packets that is lost.
    pub loss: f64,
    /// The first so many processes say ten times a second that all zones fail.
    pub byzantine_nodes: usize,
    /// From and until when the processes with even numbers and those with odd ones don't hear each other.
    pub partition: (Millis, Millis),
    /// From and until when nobody hears anything.
    pub outage: (Millis, Millis),
}

impl Default for PeerNetwork {
    fn default() -> Self {
        Self { delay: 1.0, loss: 0.0, byzantine_nodes: 0, partition: (0.0, 0.0), outage: (0.0, 0.0) }
    }
}

/// A fleet, its load, and what goes wrong.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Decides all.
    pub seed: u64,
    /// Processes.
    pub nodes: usize,
    /// Zones; processes and servers are dealt to them in turn.
    pub zones: usize,
    /// Servers in each.
    pub servers_per_zone: usize,
    /// Requests that a server works on at once.
    pub workers: usize,
    /// Requests a second over all processes.
    pub requests_per_s: f64,
    /// How long requests come.
    pub duration: Millis,
    /// Customers.
    pub customers: u32,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// How zones are judged; `None` for decision modules alone.
    pub policy: Option<EjectionPolicy>,
    /// How processes hear each other, if they do; only where zones are judged.
    pub peer_network: Option<PeerNetwork>,
}

/// Names of the zones.
pub(crate) const ZONES: [&str; 4] = ["north", "south", "west", "east"];

/// A server that has just started does this part of its work.
pub(crate) const COLD_FROM: f64 = 0.25;
/// And all of it after this.
pub(crate) const WARM: Millis = 6_000.0;

/// Mean work of the classes, and their parts of the load.
pub(crate) const MIX: [(f64, f64); 3] = [(20.0, 0.6), (30.0, 0.2), (40.0, 0.2)];

impl Scenario {
    /// Processes of two zones before servers that have twice the capacity that is needed.
    pub fn new(seed: u64, nodes: usize, rate: f64) -> Self {
        let (zones, servers) = (2, (nodes / 3).clamp(3, 50));
        let work: f64 = MIX.iter().map(|(work, part)| work * part).sum();
        let workers = (2.0 * rate * work / 1000.0 / (zones * servers) as f64).ceil().max(1.0) as usize;
        Self {
            seed,
            nodes,
            zones,
            servers_per_zone: servers,
            workers,
            requests_per_s: rate,
            duration: 20_000.0,
            customers: 500,
            faults: Vec::new(),
            policy: None,
            peer_network: None,
        }
    }

    /// With zones judged as a whole, as a sidecar's pool has it.
    #[must_use]
    pub fn with_failure_domains(mut self) -> Self {
        let processes = self.nodes as u32;
        self.policy = Some(EjectionPolicy {
            processes,
            slow_start_capacity: COLD_FROM,
            slow_start_duration: WARM,
            ..EjectionPolicy::default()
        });
        self
    }

    /// With processes that tell each other what they see.
    #[must_use]
    pub fn with_peer_network(mut self, talk: PeerNetwork) -> Self {
        self.peer_network = Some(talk);
        self.with_failure_domains()
    }

    pub(crate) fn classes(&self) -> Vec<RequestClass> {
        let class = |name: &str, aim, deadline, effect, worth, work| RequestClass {
            name: name.into(),
            latency_target: aim,
            deadline,
            value: worth,
            late_value: 0.2,
            effect,
            initial_work: Some(work),
            key_window: 15_000.0,
        };
        vec![
            class("read", 400.0, 1500.0, Effect::Safe, 1.0, MIX[0].0),
            class("edit", 600.0, 2000.0, Effect::Keyed(KeyScope::Zone), 2.0, MIX[1].0),
            class("order", 800.0, 2500.0, Effect::Unsafe, 3.0, MIX[2].0),
        ]
    }

    pub(crate) fn settings(&self, node: usize) -> Settings {
        Settings {
            gateways: self.nodes as u32,
            rank: node as u32,
            zone: ZONES[node % self.zones].into(),
            classes: self.classes(),
            plans: vec![Plan::unlimited("plain")],
            max_attempts: 3,
            allow_hedging: false,
            allow_health_checks: true,
            allow_trial_requests: true,
            retry_budget: RetryBudget::DEFAULT,
            allow_cancellation: true,
            subscribe_to_list: false,
            max_retry_after: Some(2_000.0),
            meter_period: None,
            cross_zone_cost: 0.02,
            slow_start_capacity: COLD_FROM,
            slow_start_duration: WARM,
            overload_factor: 2.5,
            overload_window: 2_000.0,
        }
    }
}
