//! The servers of each service, with the decision module that chooses among them.

use crate::routing_snapshot::{class_name, RoutingSnapshot};
use crate::server_protocol;
use crate::slow_start::{slow_start_share, SlowStarts};
use ivygate_cluster::{Node, Role};
use ivygate_control_state::{Items, RequestKind, Route, Table};
use ivygate_gateway::{
    Effect, Event, Gateway, Plan, RequestClass, RetryBudget, Settings, SettingsError, SlowStartBound,
};
use ivygate_registry::ServerRecord;
use ivygate_rpc::BootstrapSettings;
use ivygate_runtime::{
    Clock, Driver, EchoPolicy, ListedServer, ListedServerState, ResponsePolicy, ServerListUpdate, Upstream,
    UpstreamLimits,
};
use ivygate_time::{Millis, Timestamp};
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

/// The one plan of a pool: quotas are the tenants', over all services.
pub(crate) const PLAN: &str = "all";
/// Largest answer of a server, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// What the way to another zone of the region is taken to cost, in milliseconds.
const OTHER_ZONE_COST_MS: Millis = 15.0;
/// And to another region.
const OTHER_REGION_COST_MS: Millis = 220.0;
/// Part of the retry budget that is used.
const RETRY_BUDGET_RATIO: f64 = 0.7;
/// The retry budget where the rules give none: retries for each request, and on top.
const DEFAULT_RETRY_RATIO: f64 = 0.1;
const DEFAULT_RETRY_EXTRA: f64 = 10.0;
/// A connection to a server must come up within this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// An idle connection to a server is kept this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// An idle connection is not used again before this time.
const MIN_IDLE_TIME: Duration = Duration::from_millis(1);
/// Idle connections kept to one server: it is asked by many proxies, and takes only so many connections of all.
const MAX_IDLE_PER_SERVER: usize = 4;
/// Read buffer of a connection, in bytes.
const BUFFER_BYTES: usize = 64 << 10;
/// Most servers that any request is sent to; its route may say fewer.
const MAX_ATTEMPTS: u32 = 5;
/// Longest advice to stay away that is told to clients, in milliseconds.
const MAX_RETRY_AFTER_MS: Millis = 5_000.0;
/// The value of a request of the highest priority; it is divided by the priority's number and one.
const HIGHEST_VALUE: f64 = 4.0;
/// The part of its value that an answer after the latency target still has.
const LATE_VALUE_RATIO: f64 = 0.2;

/// How much may be retried over all proxies, as the rules say.
#[derive(Clone, Copy)]
struct RetryRules {
    ratio: f64,
    extra: f64,
}

struct Pool {
    driver: Rc<Driver>,
    classes: HashMap<String, RequestClass>,
    retries: RetryBudget,
}

/// The pools of all services.
pub(crate) struct UpstreamPools {
    zone: String,
    own: Ipv4Addr,
    regions: BTreeMap<String, String>,
    retry_rules: RetryRules,
    clock: Clock,
    max_connections: usize,
    pools: HashMap<String, Pool>,
    slow_starts: SlowStarts,
}

/// What the decision modules are told of a route's requests.
fn request_class(route: &Route) -> RequestClass {
    RequestClass {
        name: class_name(route),
        latency_target: route.target_s * 1000.0,
        deadline: route.timeout_s * 1000.0,
        value: HIGHEST_VALUE / (1.0 + f64::from(route.prio)),
        late_value: LATE_VALUE_RATIO,
        effect: match route.kind {
            RequestKind::Idempotent => Effect::Safe,
            RequestKind::Mutating | RequestKind::Upload => Effect::Unsafe,
        },
        initial_work: None,
        key_window: 0.0,
    }
}

/// The classes of requests of each service.
fn classes_by_backend(snapshot: &RoutingSnapshot) -> HashMap<String, HashMap<String, RequestClass>> {
    let mut classes: HashMap<String, HashMap<String, RequestClass>> = HashMap::new();
    for route in snapshot.config.routes.values() {
        for share in route.weighted_backends() {
            let class = request_class(route);
            classes.entry(share.backend).or_default().insert(class.name.clone(), class);
        }
    }
    classes
}

impl UpstreamPools {
    /// No pool yet. All pools together may have `max_connections` to servers.
    pub fn new(settings: &BootstrapSettings, clock: Clock, max_connections: usize) -> Self {
        Self {
            zone: settings.az.clone(),
            own: settings.ip,
            regions: settings.zones.clone(),
            retry_rules: RetryRules {
                ratio: settings.bound("retryRatio", DEFAULT_RETRY_RATIO),
                extra: settings.bound("retryExtra", DEFAULT_RETRY_EXTRA),
            },
            clock,
            max_connections,
            pools: HashMap::new(),
            slow_starts: SlowStarts::default(),
        }
    }

    /// The decision module of a service.
    pub fn driver(&self, backend: &str) -> Option<&Rc<Driver>> {
        self.pools.get(backend).map(|pool| &pool.driver)
    }

    /// Whether some service has a server.
    pub fn has_servers(&self) -> bool {
        self.pools.values().any(|pool| pool.driver.is_ready())
    }

    /// This proxy's part of the retry budget, which holds over all proxies together.
    fn retry_budget(&self, proxies: usize) -> RetryBudget {
        let RetryRules { ratio, extra } = self.retry_rules;
        let store = (RETRY_BUDGET_RATIO * extra / proxies.max(1) as f64).max(1.0);
        RetryBudget { ratio: RETRY_BUDGET_RATIO * ratio, burst: store, counts_never_run: true }
    }

    /// The configuration or the number of proxies has changed: makes pools for new services, and tells the others of new
    /// classes and of the retry budget.
    pub fn configure(&mut self, snapshot: &RoutingSnapshot, proxies: usize) {
        let retries = self.retry_budget(proxies);
        for (backend, classes) in classes_by_backend(snapshot) {
            match self.pools.get_mut(&backend) {
                Some(pool) => pool.update(classes, retries),
                None => match self.start(&classes, retries) {
                    Ok(driver) => {
                        self.pools.insert(backend, Pool { driver, classes, retries });
                    }
                    Err(error) => tracing::warn!(backend, %error, "no pool for a service"),
                },
            }
        }
        // A service that no longer exists is dropped once no request to it is open.
        self.pools.retain(|name, pool| {
            snapshot.config.backends.contains_key(name) || pool.driver.open_requests() > 0
        });
    }

    fn start(
        &self,
        classes: &HashMap<String, RequestClass>,
        retries: RetryBudget,
    ) -> Result<Rc<Driver>, SettingsError> {
        let settings = decision_settings(&self.zone, classes.values().cloned().collect(), retries);
        let gateway = Gateway::new(settings, fastrand::u64(..))?;
        let limits = UpstreamLimits {
            max_connections: self.max_connections,
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            max_idle_per_server: MAX_IDLE_PER_SERVER,
            min_idle_time: MIN_IDLE_TIME,
            max_buffer_bytes: BUFFER_BYTES,
        };
        let seal = EchoPolicy {
            echo_header: server_protocol::ATTEMPT_ID,
            max_body_bytes: MAX_ANSWER_BYTES,
            classify: server_protocol::outcome_of,
        };
        let driver = Driver::new(gateway, self.clock, Upstream::new(limits, ResponsePolicy::Echo(seal)));
        tokio::task::spawn_local(driver.clone().run_timers());
        Ok(driver)
    }

    /// Servers, nodes, draining zones or services have changed: tells each pool of its servers.
    pub fn update_servers(&mut self, items: &Items, snapshot: &RoutingSnapshot) {
        let now = self.clock.now();
        let proxies = Node::all(items, Role::Proxy);
        let draining = items.live(Table::Drains).map(|(zone, _)| zone.to_owned()).collect();
        self.slow_starts.update_zones(now, draining);
        let mut targets: HashMap<String, Vec<ListedServer>> = HashMap::new();
        for (id, body) in items.live(Table::Servers) {
            let Ok(server) = ServerRecord::deserialize(body) else { continue };
            let backend = snapshot.config.backends.get(&server.backend);
            let slow_start_rate = backend.map_or(0.0, |backend| backend.warmup_per_s);
            let target = self.target(now, id, &server, slow_start_rate, &proxies);
            targets.entry(server.backend).or_default().push(target);
        }
        self.slow_starts.finish_list();
        for (backend, pool) in &self.pools {
            let targets = targets.remove(backend).unwrap_or_default();
            pool.driver.update_servers(ServerListUpdate { rev: 0, all: true, targets });
        }
    }

    /// What a pool is told of a server. A server that warms up takes `slow_start_rate` requests a second; 0 for no bound.
    fn target(
        &mut self,
        now: Timestamp,
        id: &str,
        server: &ServerRecord,
        slow_start_rate: f64,
        proxies: &[Node],
    ) -> ListedServer {
        let ends_at = self.slow_starts.end_of(now, id, server);
        let is_bounded = slow_start_rate > 0.0 && now < ends_at;
        let bound = || SlowStartBound {
            requests_per_s: slow_start_share(self.own, id, server, self.region(&server.zone), proxies)
                * slow_start_rate,
            until: ends_at,
        };
        let is_draining = server.draining || self.slow_starts.is_draining(&server.zone);
        ListedServer {
            uid: id.to_owned(),
            endpoint: Some(server.address),
            distance_cost: self.distance_cost(&server.zone),
            az: server.zone.clone(),
            pod_group: 0,
            state: if is_draining { ListedServerState::Draining } else { ListedServerState::Serving },
            capacity_hint: server.capacity,
            boot_ms: 0.0,
            slow_start: is_bounded.then(bound),
        }
    }

    fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        self.regions.get(zone).map_or(zone, String::as_str)
    }

    fn distance_cost(&self, zone: &str) -> Millis {
        if zone == self.zone {
            0.0
        } else if self.region(zone) == self.region(&self.zone) {
            OTHER_ZONE_COST_MS
        } else {
            OTHER_REGION_COST_MS
        }
    }
}

impl Pool {
    fn update(&mut self, classes: HashMap<String, RequestClass>, retries: RetryBudget) {
        for (name, class) in classes {
            if !self.classes.contains_key(&name) {
                self.driver.notify(Event::Class(class.clone()));
                self.classes.insert(name, class);
            }
        }
        if self.retries != retries {
            self.retries = retries;
            self.driver.notify(Event::RetryBudget(retries));
        }
    }
}

/// The settings of a pool's decision module.
fn decision_settings(zone: &str, classes: Vec<RequestClass>, retries: RetryBudget) -> Settings {
    Settings {
        gateways: 1,
        rank: 0,
        zone: zone.to_owned(),
        classes,
        plans: vec![Plan::unlimited(PLAN)],
        max_attempts: MAX_ATTEMPTS,
        // A server that is silent may be at work: another is asked beside it, and it is not given up.
        allow_hedging: true,
        allow_health_checks: true,
        allow_trial_requests: true,
        retry_budget: retries,
        allow_cancellation: true,
        subscribe_to_list: false,
        max_retry_after: Some(MAX_RETRY_AFTER_MS),
        meter_period: None,
        cross_zone_cost: 0.0,
        slow_start_capacity: 1.0,
        slow_start_duration: 0.0,
        overload_factor: 2.0,
        overload_window: 1_000.0,
    }
}
