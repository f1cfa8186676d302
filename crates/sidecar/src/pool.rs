//! A pool at work: its decision module on sockets, and what its requests may take of the process.

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

/// What is added to a class's name for its requests that must not run twice all the same: those of a keyed class
/// that come without a key, since nobody drops their repeats, and those of a route that says so.
const ONCE: &str = " (once)";
/// Longest advice to stay away.
const RETRY_AFTER_MOST: Millis = 60_000.0;

/// Most that hyper holds of an answer at once: enough for bodies to go on in few pieces.
const BUFFER: usize = 128 << 10;

/// A pool at work.
pub struct Pool {
    /// Its part of the configuration.
    pub settings: config::Pool,
    /// All that its decisions rest on, for telling whether it has changed.
    basis: Basis,
    /// Its decision module on sockets.
    pub driver: Rc<Driver>,
    /// How its zones are judged, if they are.
    pub zones: Option<Zones>,
    counts: Rc<Counts>,
}

#[derive(Clone, PartialEq)]
struct Basis {
    classes: Vec<(config::Class, bool)>,
    plans: Vec<config::Plan>,
    /// Without its servers, and without how its zones are judged, but whether they are.
    pool: config::Pool,
}

#[derive(Default)]
struct Counts {
    open: Cell<usize>,
    bytes: Cell<usize>,
}

/// A class's name for those of its requests that must not run twice.
pub fn once(class: &str) -> String {
    format!("{class}{ONCE}")
}

/// A class as a pool serves it.
#[derive(Clone, Copy)]
pub struct Served<'a> {
    /// The class.
    pub class: &'a config::Class,
    /// Whether some of its requests must not run twice.
    pub once: bool,
}

impl Pool {
    /// Starts a pool.
    ///
    /// # Errors
    /// If the decision module cannot act on its settings.
    pub fn start(
        pool: &config::Pool,
        classes: &[Served],
        plans: &[config::Plan],
        clock: Clock,
    ) -> Result<Rc<Self>, String> {
        let settings = settings(pool, classes, plans);
        let gateway = Gateway::new(settings.clone(), fastrand::u64(..)).map_err(|error| error.to_string())?;
        let limits = UpstreamLimits {
            max_connections: pool.connections,
            connect_timeout: duration_from_millis(pool.connect),
            idle_timeout: duration_from_millis(pool.keep),
            max_idle_per_server: usize::MAX,
            // What is there to be read is seen without a rest.
            min_idle_time: Duration::ZERO,
            max_buffer_bytes: BUFFER,
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
        let started = Self {
            settings: pool.clone(),
            basis: Basis::new(pool, classes, plans),
            driver,
            zones,
            counts: Rc::default(),
        };
        started.list(None);
        Ok(Rc::new(started))
    }

    /// The same pool under a configuration in which at most its servers, and how its zones are judged, have changed: counts, health and
    /// connections stay. `None` if more has changed. Nothing happens before [`Self::list`].
    pub fn carried_on(
        &self,
        pool: &config::Pool,
        classes: &[Served],
        plans: &[config::Plan],
    ) -> Option<Rc<Self>> {
        let basis = Basis::new(pool, classes, plans);
        (basis == self.basis).then(|| {
            let (driver, zones, counts) = (self.driver.clone(), self.zones.clone(), self.counts.clone());
            Rc::new(Self { settings: pool.clone(), basis, driver, zones, counts })
        })
    }

    /// Tells the decision module of the servers. Those that `before` did not have count as just started where
    /// cold servers are to be spared.
    pub fn list(&self, before: Option<&config::Pool>) {
        let now = self.driver.now();
        if let Some(zones) = &self.zones {
            zones.handle_settings(now, &self.settings);
        }
        let is_new = |s: &config::Server| {
            before.is_some_and(|b| !b.servers.iter().any(|o| o.name == s.name && o.address == s.address))
        };
        let target = |server: &config::Server| ListedServer {
            // A server that has moved is another one.
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

    /// A place for one more open request; `None` if the pool has as many as it may.
    pub fn place(&self) -> Option<Place> {
        let open = self.counts.open.get();
        (open < self.settings.requests).then(|| {
            self.counts.open.set(open + 1);
            Place(self.counts.clone())
        })
    }

    /// Room for a request's body, of no size yet.
    pub fn hold(&self) -> Bytewise {
        Bytewise { counts: self.counts.clone(), most: self.settings.buffered, bytes: 0 }
    }
}

impl Basis {
    fn new(pool: &config::Pool, classes: &[Served], plans: &[config::Plan]) -> Self {
        Self {
            classes: classes.iter().map(|c| (c.class.clone(), c.once)).collect(),
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

/// One open request's place in its pool.
pub struct Place(Rc<Counts>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Bytes of a body that a pool holds.
pub struct Bytewise {
    counts: Rc<Counts>,
    most: usize,
    bytes: usize,
}

impl Bytewise {
    /// Takes room for more, unless the pool holds as much as it may.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let all = self.counts.bytes.get() + bytes;
        if all > self.most {
            return false;
        }
        self.counts.bytes.set(all);
        self.bytes += bytes;
        true
    }
}

impl Drop for Bytewise {
    fn drop(&mut self) {
        self.counts.bytes.set(self.counts.bytes.get() - self.bytes);
    }
}

fn settings(pool: &config::Pool, classes: &[Served], plans: &[config::Plan]) -> Settings {
    let mut all = Vec::new();
    for Served { class, once: some_once } in classes {
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
        let made = RequestClass {
            name: class.name.clone(),
            latency_target: class.aim,
            deadline: class.deadline,
            value: class.worth,
            late_value: class.late_worth,
            effect,
            initial_work: Some(class.work),
            key_window,
        };
        if *some_once {
            all.push(RequestClass {
                name: once(&class.name),
                effect: Effect::Unsafe,
                key_window: 0.0,
                ..made.clone()
            });
        }
        all.push(made);
    }
    let cold = pool.cold.unwrap_or(config::ColdStart { from: 1.0, warm: 0.0, fall: 2.0, window: 1000.0 });
    Settings {
        gateways: pool.sidecars,
        rank: 0,
        zone: pool.zone.clone(),
        classes: all,
        plans: plans.iter().map(plan).collect(),
        max_attempts: pool.attempts,
        allow_hedging: pool.second_copies,
        // A pool of unsafe requests only would else never learn that an ejected server is back.
        allow_health_checks: true,
        allow_trial_requests: true,
        retry_budget: RetryBudget::DEFAULT,
        allow_cancellation: true,
        subscribe_to_list: false,
        max_retry_after: Some(RETRY_AFTER_MOST),
        meter_period: None,
        cross_zone_cost: pool.cross_zone,
        slow_start_capacity: cold.from,
        slow_start_duration: cold.warm,
        overload_factor: cold.fall,
        overload_window: cold.window,
    }
}

fn plan(plan: &config::Plan) -> Plan {
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
