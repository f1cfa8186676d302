//! Server pool: its gateway connected to sockets, and the limits on open requests and buffered bytes.

use crate::zones::Zones;
use hyper::header::{HeaderName, HeaderValue};
use hyper::StatusCode;
use ivygate_config as config;
use ivygate_gateway::{Effect, Gateway, KeyScope, Plan, RequestClass, RetryBudget, Settings};
use ivygate_runtime::{
    duration_from_millis, ApplicationPolicy, Clock, Driver, ListedServer, ListedServerState, ResponsePolicy,
    ServerListUpdate, Upstream, UpstreamLimits,
};
use ivygate_time::Millis;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Suffix of the class name for requests that must not run twice although their class allows it: requests of a keyed
/// class without a key, since no server can deduplicate them, and requests of a route that forbids retries.
const ONCE_SUFFIX: &str = " (once)";
/// Maximum value of `Retry-After`.
const MAX_RETRY_AFTER_MS: Millis = 60_000.0;

/// Size of hyper's buffer per server connection; large enough to relay bodies in few chunks.
const READ_BUFFER_BYTES: usize = 128 << 10;

/// Running pool of servers.
pub struct Pool {
    /// Configured settings.
    pub settings: config::Pool,
    /// Everything that its decisions depend on, to detect whether it can be reused on reload.
    reuse_key: ReuseKey,
    /// Gateway connected to sockets.
    pub driver: Rc<Driver>,
    /// Zone failure detection, if configured.
    pub zones: Option<Zones>,
    usage: Rc<PoolUsage>,
}

/// Settings that must be equal for a pool to be reused on reload.
#[derive(Clone, PartialEq)]
struct ReuseKey {
    classes: Vec<(config::Class, bool)>,
    plans: Vec<config::Plan>,
    /// Settings without the servers and without the details of zone failure detection.
    pool: config::Pool,
}

/// Resources used by the open requests of a pool.
#[derive(Default)]
struct PoolUsage {
    open_requests: Cell<usize>,
    buffered_bytes: Cell<usize>,
}

/// Returns the name of the class variant for requests that must not run twice.
pub fn once_class_name(class: &str) -> String {
    format!("{class}{ONCE_SUFFIX}")
}

/// Class served by a pool.
#[derive(Clone, Copy)]
pub struct ServedClass<'a> {
    /// Configured class.
    pub class: &'a config::Class,
    /// Set if some of its requests must not run twice, so that the class variant for them is needed.
    pub has_non_repeatable: bool,
}

impl Pool {
    /// Starts a pool.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid.
    pub fn start(
        pool: &config::Pool,
        classes: &[ServedClass],
        plans: &[config::Plan],
        clock: Clock,
    ) -> Result<Rc<Self>, String> {
        let settings = gateway_settings(pool, classes, plans);
        let gateway = Gateway::new(settings.clone(), fastrand::u64(..)).map_err(|error| error.to_string())?;
        let limits = UpstreamLimits {
            max_connections: pool.connections,
            connect_timeout: duration_from_millis(pool.connect),
            idle_timeout: duration_from_millis(pool.keep),
            max_idle_per_server: usize::MAX,
            // Unexpected input on an idle connection is detected without a rest period.
            min_idle_time: Duration::ZERO,
            max_buffer_bytes: READ_BUFFER_BYTES,
        };
        let declined = pool.declined.as_ref().and_then(|(name, value)| {
            Some((HeaderName::try_from(name).ok()?, HeaderValue::try_from(value).ok()?))
        });
        let judge = ApplicationPolicy {
            error_statuses: pool
                .errors
                .iter()
                .filter_map(|status| StatusCode::from_u16(*status).ok())
                .collect(),
            not_run_header: declined,
            stall_timeout: duration_from_millis(pool.answer_stall),
        };
        let upstream = Upstream::new(limits, ResponsePolicy::Application(judge));
        let (driver, zones) = match &pool.domains {
            Some(domains) => {
                let zones = Zones::new(pool, domains, &settings, gateway);
                (Driver::new(zones.clone(), clock, upstream), Some(zones))
            }
            None => (Driver::new(gateway, clock, upstream), None),
        };
        tokio::task::spawn_local(driver.clone().run_timers());
        let pool = Self {
            settings: pool.clone(),
            reuse_key: ReuseKey::new(pool, classes, plans),
            driver,
            zones,
            usage: Rc::default(),
        };
        pool.update_servers(None);
        Ok(Rc::new(pool))
    }

    /// Returns the same pool with new settings if they differ only in the servers and the details of zone failure
    /// detection, so that usage, health and connections are kept; otherwise `None`. The gateway is not updated before
    /// [`Self::update_servers`].
    pub fn reuse_with(
        &self,
        pool: &config::Pool,
        classes: &[ServedClass],
        plans: &[config::Plan],
    ) -> Option<Rc<Self>> {
        let reuse_key = ReuseKey::new(pool, classes, plans);
        (reuse_key == self.reuse_key).then(|| {
            let (driver, zones, usage) = (self.driver.clone(), self.zones.clone(), self.usage.clone());
            Rc::new(Self { settings: pool.clone(), reuse_key, driver, zones, usage })
        })
    }

    /// Passes the servers to the gateway. Servers missing in `before` count as just started if slow start is
    /// configured.
    pub fn update_servers(&self, before: Option<&config::Pool>) {
        let now = self.driver.now();
        if let Some(zones) = &self.zones {
            zones.handle_settings(now, &self.settings);
        }
        let is_new = |s: &config::Server| {
            before.is_some_and(|b| !b.servers.iter().any(|o| o.name == s.name && o.address == s.address))
        };
        let target = |server: &config::Server| ListedServer {
            // A server with another address is a different server.
            uid: format!("{}@{}", server.name, server.address),
            endpoint: Some(server.address),
            az: server.zone.clone(),
            pod_group: server.cell,
            state: if server.draining { ListedServerState::Draining } else { ListedServerState::Serving },
            capacity_hint: server.weight,
            boot_ms: if self.settings.cold.is_some() && is_new(server) { now.as_millis() } else { 0.0 },
            distance_cost: 0.0,
            slow_start: None,
        };
        let targets = self.settings.servers.iter().map(target).collect();
        self.driver.update_servers(ServerListUpdate { rev: 0, all: true, targets });
    }

    /// Reserves a slot for an open request; `None` if the pool has reached its limit.
    pub fn acquire_slot(&self) -> Option<RequestSlot> {
        let open = self.usage.open_requests.get();
        (open < self.settings.requests).then(|| {
            self.usage.open_requests.set(open + 1);
            RequestSlot(self.usage.clone())
        })
    }

    /// Starts to account for the buffered body of a request, initially empty.
    pub fn start_buffering(&self) -> BufferedBytes {
        BufferedBytes { usage: self.usage.clone(), limit: self.settings.buffered, bytes: 0 }
    }
}

impl ReuseKey {
    fn new(pool: &config::Pool, classes: &[ServedClass], plans: &[config::Plan]) -> Self {
        Self {
            classes: classes.iter().map(|c| (c.class.clone(), c.has_non_repeatable)).collect(),
            plans: plans.to_vec(),
            pool: config::Pool {
                servers: Vec::new(),
                domains: pool.domains.as_ref().map(|_| config::Domains {
                    leave: true,
                    maintenance_zones: Vec::new(),
                    distrust: 0.0,
                }),
                ..pool.clone()
            },
        }
    }
}

/// Slot of an open request in its pool, released on drop.
pub struct RequestSlot(Rc<PoolUsage>);

impl Drop for RequestSlot {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

/// Buffered bytes of a body, released on drop.
pub struct BufferedBytes {
    usage: Rc<PoolUsage>,
    limit: usize,
    bytes: usize,
}

impl BufferedBytes {
    /// Reserves more bytes; returns false if the pool has reached its limit.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let total = self.usage.buffered_bytes.get() + bytes;
        if total > self.limit {
            return false;
        }
        self.usage.buffered_bytes.set(total);
        self.bytes += bytes;
        true
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.usage.buffered_bytes.set(self.usage.buffered_bytes.get() - self.bytes);
    }
}

fn gateway_settings(pool: &config::Pool, classes: &[ServedClass], plans: &[config::Plan]) -> Settings {
    let mut request_classes = Vec::new();
    for ServedClass { class, has_non_repeatable } in classes {
        let (effect, key_window) = match class.effect {
            _ if class.repeat == config::RepeatPolicy::Unsent => (Effect::Unsafe, 0.0),
            config::Effect::Safe => (Effect::Safe, 0.0),
            config::Effect::Unsafe => (Effect::Unsafe, 0.0),
            config::Effect::Keyed(scope, window) => {
                let scope = match scope {
                    config::Scope::All => KeyScope::All,
                    config::Scope::Zone => KeyScope::Zone,
                    config::Scope::Cell => KeyScope::Cell,
                };
                (Effect::Keyed(scope), window)
            }
        };
        let request_class = RequestClass {
            name: class.name.clone(),
            latency_target: class.aim,
            deadline: class.deadline,
            value: class.worth,
            late_value: class.late_worth,
            effect,
            initial_work: Some(class.work),
            key_window,
        };
        if *has_non_repeatable {
            request_classes.push(RequestClass {
                name: once_class_name(&class.name),
                effect: Effect::Unsafe,
                key_window: 0.0,
                ..request_class.clone()
            });
        }
        request_classes.push(request_class);
    }
    let cold = pool.cold.unwrap_or(config::ColdStart { from: 1.0, warm: 0.0, fall: 2.0, window: 1000.0 });
    Settings {
        gateways: pool.sidecars,
        rank: 0,
        zone: pool.zone.clone(),
        classes: request_classes,
        plans: plans.iter().map(gateway_plan).collect(),
        max_attempts: pool.attempts,
        allow_hedging: pool.second_copies,
        // Without health checks, a pool of unsafe requests only would never notice that an ejected server has
        // recovered.
        allow_health_checks: true,
        allow_trial_requests: true,
        retry_budget: RetryBudget::DEFAULT,
        allow_cancellation: true,
        subscribe_to_list: false,
        max_retry_after: Some(MAX_RETRY_AFTER_MS),
        meter_period: None,
        cross_zone_cost: pool.cross_zone,
        slow_start_capacity: cold.from,
        slow_start_duration: cold.warm,
        overload_factor: cold.fall,
        overload_window: cold.window,
    }
}

fn gateway_plan(plan: &config::Plan) -> Plan {
    Plan {
        rate: plan.quota,
        burst: plan.burst,
        max_in_flight: plan.open,
        price: plan.price,
        excess_value: plan.excess_worth,
        excess_cost: plan.excess_cost,
        limit_rate: plan.ceiling,
        limit_burst: plan.ceiling_burst,
        limit_slack: plan.ceiling_slack,
        ..Plan::unlimited(plan.name.clone())
    }
}
