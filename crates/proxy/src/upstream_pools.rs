//! Server pools, one for each service, with the decision module that selects the server of each request.

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
    Clock, Driver, EchoPolicy, ListedServer, ListedServerState, MemoryAccount, ResponsePolicy, SendGuard,
    ServerListUpdate, Upstream, UpstreamLimits,
};
use ivygate_time::{Millis, Timestamp};
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Name of the only plan of a pool. Quotas are enforced per tenant over all services, not per plan.
pub(crate) const PLAN: &str = "all";
/// Maximum size of a response that is received completely before it is forwarded, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 << 10;
/// Memory for the part of a longer response that is under way, in bytes: the read buffer of its server's connection, and as
/// much again and a little more that waits to be written to the client.
const STREAM_WINDOW_BYTES: usize = 160 << 10;
/// Maximum pause of a server in the middle of a longer response.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Cost of the distance to another zone of the region, in milliseconds.
const OTHER_ZONE_COST_MS: Millis = 15.0;
/// Cost of the distance to another region, in milliseconds.
const OTHER_REGION_COST_MS: Millis = 220.0;
/// Fraction of the retry budget that is used.
const RETRY_BUDGET_RATIO: f64 = 0.7;
/// Retries per request if the operating rules set no bound.
const DEFAULT_RETRY_RATIO: f64 = 0.1;
/// Retries in addition to that ratio if the operating rules set no bound.
const DEFAULT_RETRY_EXTRA: f64 = 10.0;
/// Timeout for establishing a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for which an idle connection to a server is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Minimum idle time before a connection is reused.
const MIN_IDLE_TIME: Duration = Duration::from_millis(1);
/// Maximum number of idle connections to one server. Many proxies share the connection limit of a server.
const MAX_IDLE_PER_SERVER: usize = 4;
/// Size of the read buffer of a connection, in bytes.
const BUFFER_BYTES: usize = 64 << 10;
/// Maximum number of attempts for a request. Its route may set a lower one.
const MAX_ATTEMPTS: u32 = 5;
/// Maximum retry-after time sent to clients, in milliseconds.
const MAX_RETRY_AFTER_MS: Millis = 5_000.0;
/// Value of a request with priority number 0, the highest priority. It is divided by the priority number plus one.
const HIGHEST_VALUE: f64 = 4.0;
/// Fraction of the value that remains if the response comes after the latency target.
const LATE_VALUE_RATIO: f64 = 0.2;

/// Retry bounds of the operating rules, which apply to all proxies together.
#[derive(Clone, Copy)]
struct RetryRules {
    /// Retries per request.
    ratio: f64,
    /// Retries in addition to the ratio.
    extra: f64,
}

/// Pool of the servers of one service.
struct Pool {
    driver: Rc<Driver>,
    classes: HashMap<String, RequestClass>,
    retries: RetryBudget,
}

/// Server pools of all services.
pub(crate) struct UpstreamPools {
    zone: String,
    own_ip: Ipv4Addr,
    regions: BTreeMap<String, String>,
    retry_rules: RetryRules,
    clock: Clock,
    max_connections: usize,
    send_guard: Rc<dyn SendGuard>,
    memory: Arc<MemoryAccount>,
    pools: HashMap<String, Pool>,
    slow_starts: SlowStarts,
}

/// Creates the request class of a route for the decision module.
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

/// Returns the request classes of each service.
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
    /// Creates an empty set of pools. Each pool may open up to `max_connections` connections to servers, and sends only what
    /// `send_guard` permits. Responses are charged to `memory`.
    pub fn new(
        settings: &BootstrapSettings,
        clock: Clock,
        max_connections: usize,
        send_guard: Rc<dyn SendGuard>,
        memory: Arc<MemoryAccount>,
    ) -> Self {
        Self {
            zone: settings.az.clone(),
            own_ip: settings.ip,
            regions: settings.zones.clone(),
            retry_rules: RetryRules {
                ratio: settings.bound("retryRatio", DEFAULT_RETRY_RATIO),
                extra: settings.bound("retryExtra", DEFAULT_RETRY_EXTRA),
            },
            clock,
            max_connections,
            send_guard,
            memory,
            pools: HashMap::new(),
            slow_starts: SlowStarts::default(),
        }
    }

    /// Returns the driver of a service's decision module.
    pub fn driver(&self, backend: &str) -> Option<&Rc<Driver>> {
        self.pools.get(backend).map(|pool| &pool.driver)
    }

    /// Returns whether any service has a server.
    pub fn has_servers(&self) -> bool {
        self.pools.values().any(|pool| pool.driver.is_ready())
    }

    /// Returns this proxy's share of the retry budget, which applies to all proxies together.
    fn retry_budget(&self, proxies: usize) -> RetryBudget {
        let RetryRules { ratio, extra } = self.retry_rules;
        let burst = (RETRY_BUDGET_RATIO * extra / proxies.max(1) as f64).max(1.0);
        RetryBudget { ratio: RETRY_BUDGET_RATIO * ratio, burst, counts_never_run: true }
    }

    /// Applies a change of the configuration or of the number of proxies: creates pools for new services, and updates the
    /// request classes and the retry budget of existing ones.
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
        // The pool of a removed service is dropped once it has no open requests.
        self.pools.retain(|name, pool| {
            snapshot.config.backends.contains_key(name) || pool.driver.open_requests() > 0
        });
    }

    /// Creates and starts the decision module of a new pool.
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
            max_buffered_bytes: MAX_BUFFERED_RESPONSE_BYTES,
            window_bytes: STREAM_WINDOW_BYTES,
            stall_timeout: RESPONSE_STALL_TIMEOUT,
            memory: self.memory.clone(),
            classify: server_protocol::outcome_of,
        };
        let driver = Driver::new(gateway, self.clock, Upstream::new(limits, ResponsePolicy::Echo(seal)));
        driver.set_send_guard(self.send_guard.clone());
        tokio::task::spawn_local(driver.clone().run_timers());
        Ok(driver)
    }

    /// Applies a change of servers, nodes, draining zones or services by updating the server list of each pool.
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

    /// Creates the entry of a server for its pool. A server in slow start accepts `slow_start_rate` requests per second; 0 for
    /// no bound.
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
            requests_per_s: slow_start_share(self.own_ip, id, server, self.region(&server.zone), proxies)
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

    /// Returns the region of a zone, or the name of the zone itself if its region is not configured.
    fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        self.regions.get(zone).map_or(zone, String::as_str)
    }

    /// Returns the cost of the distance to a zone, in milliseconds.
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
    /// Adds new request classes and updates the retry budget.
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

/// Creates the settings of a pool's decision module.
fn decision_settings(zone: &str, classes: Vec<RequestClass>, retries: RetryBudget) -> Settings {
    Settings {
        gateways: 1,
        rank: 0,
        zone: zone.to_owned(),
        classes,
        plans: vec![Plan::unlimited(PLAN)],
        max_attempts: MAX_ATTEMPTS,
        // A server that does not respond may still be processing the request, so another one is tried in addition.
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
