//! Scenarios: a fleet, its load and its faults.

use ivygate_failure_domains::EjectionPolicy;
use ivygate_gateway::{Effect, KeyScope, Plan, RequestClass, RetryBudget, Settings};
use ivygate_time::Millis;

/// Kind of a fault of a zone's servers or of the network to them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Drops all packets without notice.
    NetworkPartition,
    /// Drops all packets between the zone and nodes of other zones.
    ZonePartition,
    /// Drops all responses.
    ResponseLoss,
    /// Servers crash, refuse connections, and restart cold; the server list does not change.
    Crash,
    /// Replaces this share of the responses by connection resets.
    Resets(f64),
    /// Answers this share of the requests immediately with an error.
    Errors(f64),
    /// Multiplies service times by this factor.
    Slowdown(f64),
}

/// A fault of one zone or of all zones.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Start time.
    pub at: Millis,
    /// End time.
    pub until: Millis,
    /// Index of the zone; `None` for all zones.
    pub zone: Option<usize>,
    /// Share of each zone's servers that it affects, counted from the first.
    pub server_ratio: f64,
    /// Affects the nodes whose index modulo the second number is less than the first.
    pub nodes: (usize, usize),
    /// Kind of the fault.
    pub kind: FaultKind,
}

impl Fault {
    /// Creates a fault that affects all servers of a zone and all nodes.
    pub fn in_zone(zone: usize, kind: FaultKind, at: Millis, until: Millis) -> Self {
        Self { at, until, zone: Some(zone), server_ratio: 1.0, nodes: (1, 1), kind }
    }
}

/// Network over which nodes exchange zone reports.
#[derive(Clone, Copy, Debug)]
pub struct PeerNetwork {
    /// Minimum delay of a packet; the maximum is twice as long.
    pub delay: Millis,
    /// Share of lost packets.
    pub loss: f64,
    /// Number of nodes, counted from the first, that report all zones as failing ten times per second.
    pub byzantine_nodes: usize,
    /// Start and end of a partition between nodes with even and with odd indexes.
    pub partition: (Millis, Millis),
    /// Start and end of an outage in which all packets are lost.
    pub outage: (Millis, Millis),
}

impl Default for PeerNetwork {
    fn default() -> Self {
        Self { delay: 1.0, loss: 0.0, byzantine_nodes: 0, partition: (0.0, 0.0), outage: (0.0, 0.0) }
    }
}

/// A fleet, its load and its faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of zones; nodes and servers are assigned to them round-robin.
    pub zones: usize,
    /// Number of servers in each zone.
    pub servers_per_zone: usize,
    /// Requests that a server processes concurrently.
    pub workers: usize,
    /// Requests per second over all nodes.
    pub requests_per_s: f64,
    /// Time during which requests arrive.
    pub duration: Millis,
    /// Number of customers.
    pub customers: u32,
    /// Faults during the simulation.
    pub faults: Vec<Fault>,
    /// Policy of failure-domain ejection; `None` for gateways without it.
    pub policy: Option<EjectionPolicy>,
    /// Network for zone reports; `None` if nodes exchange none. Requires `policy`.
    pub peer_network: Option<PeerNetwork>,
}

/// Names of the zones.
pub(crate) const ZONE_NAMES: [&str; 4] = ["north", "south", "west", "east"];

/// Share of its capacity that a server has when it has just started.
pub(crate) const SLOW_START_CAPACITY: f64 = 0.25;
/// Time after its start at which a server has its full capacity.
pub(crate) const SLOW_START_DURATION: Millis = 6_000.0;

/// Mean work in milliseconds of each class and its share of the requests.
pub(crate) const CLASS_MIX: [(f64, f64); 3] = [(20.0, 0.6), (30.0, 0.2), (40.0, 0.2)];

impl Scenario {
    /// Creates nodes in two zones and servers with twice the required capacity.
    pub fn new(seed: u64, nodes: usize, requests_per_s: f64) -> Self {
        let (zones, servers_per_zone) = (2, (nodes / 3).clamp(3, 50));
        let work: f64 = CLASS_MIX.iter().map(|(work, share)| work * share).sum();
        let workers = (2.0 * requests_per_s * work / 1000.0 / (zones * servers_per_zone) as f64)
            .ceil()
            .max(1.0) as usize;
        Self {
            seed,
            nodes,
            zones,
            servers_per_zone,
            workers,
            requests_per_s,
            duration: 20_000.0,
            customers: 500,
            faults: Vec::new(),
            policy: None,
            peer_network: None,
        }
    }

    /// Enables failure-domain ejection, as in a sidecar's pool.
    #[must_use]
    pub fn with_failure_domains(mut self) -> Self {
        let processes = self.nodes as u32;
        self.policy = Some(EjectionPolicy {
            processes,
            slow_start_capacity: SLOW_START_CAPACITY,
            slow_start_duration: SLOW_START_DURATION,
            ..EjectionPolicy::default()
        });
        self
    }

    /// Enables failure-domain ejection and the exchange of zone reports.
    #[must_use]
    pub fn with_peer_network(mut self, network: PeerNetwork) -> Self {
        self.peer_network = Some(network);
        self.with_failure_domains()
    }

    pub(crate) fn classes(&self) -> Vec<RequestClass> {
        let class = |name: &str, latency_target, deadline, effect, value, work| RequestClass {
            name: name.into(),
            latency_target,
            deadline,
            value,
            late_value: 0.2,
            effect,
            initial_work: Some(work),
            key_window: 15_000.0,
        };
        vec![
            class("read", 400.0, 1500.0, Effect::Safe, 1.0, CLASS_MIX[0].0),
            class("edit", 600.0, 2000.0, Effect::Keyed(KeyScope::Zone), 2.0, CLASS_MIX[1].0),
            class("order", 800.0, 2500.0, Effect::Unsafe, 3.0, CLASS_MIX[2].0),
        ]
    }

    pub(crate) fn settings(&self, node: usize) -> Settings {
        Settings {
            gateways: self.nodes as u32,
            rank: node as u32,
            zone: ZONE_NAMES[node % self.zones].into(),
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
            slow_start_capacity: SLOW_START_CAPACITY,
            slow_start_duration: SLOW_START_DURATION,
            overload_factor: 2.5,
            overload_window: 2_000.0,
        }
    }
}
