//! The servers of each service with the decision module that chooses among them.

use crate::answers;
use crate::sight::{class_name, Sight};
use ivygate_cluster::{place, Node, Role};
use ivygate_control_state::{Items, Table};
use ivygate_gateway::{Class, Effect, Event, Fence, Gateway, Millis, Plan, Retries, Settings};
use ivygate_registry::Server;
use ivygate_rpc::Boot;
use ivygate_runtime::{Clock, Driver, Listing, Reading, Seal, Target, TargetState, Upstream, UpstreamLimits};
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

/// The one plan of a pool: quotas are held by the tenant, over all services.
pub const PLAN: &str = "all";
/// Longest answer of a server.
const ANSWER_MOST: usize = 16 << 20;
/// What another zone of the region is taken to cost, as time.
const ZONE_DETOUR: Millis = 15.0;
/// And another region.
const REGION_DETOUR: Millis = 220.0;
/// Proxies that may send to a cold server.
const FENCED: usize = 2;
/// Part of what a cold server bears that is used: two views of who may send must not add up to too much.
const FENCE_PART: f64 = 0.8;
/// The servers of a zone that is taken back may have turned cold shortly before: that long the list may not tell yet.
const RETURN: Millis = 2_500.0;
/// Part of the budget for further tries that is used.
const RETRY_PART: f64 = 0.7;
/// A connection to a server must come up within this time.
const CONNECT: Duration = Duration::from_millis(700);
/// An idle connection to a server is kept this long.
const KEEP: Duration = Duration::from_secs(8);
/// Most servers that any request is sent to; its route may say fewer.
const ATTEMPTS_MOST: u32 = 5;
/// Idle connections kept to one server: each is asked by many proxies, and takes only so many connections of all.
const IDLE_MOST: usize = 4;
/// What a worth beyond the first is divided by, a rank.
const WORTH: f64 = 4.0;

/// All pools.
pub struct Pools {
    zone: String,
    me: Ipv4Addr,
    regions: BTreeMap<String, String>,
    retry: (f64, f64),
    clock: Clock,
    connections: usize,
    pools: HashMap<String, Pool>,
    /// Of each server that was told to be cold: what was told, and until when that is.
    cold: HashMap<String, (f64, Millis)>,
    /// Zones that are emptied, and until when those that were taken back are come back to slowly.
    emptied: HashSet<String>,
    returned: HashMap<String, Millis>,
}

struct Pool {
    driver: Rc<Driver>,
    classes: HashMap<String, Class>,
    retries: Retries,
}

fn class(route: &ivygate_control_state::Route) -> Class {
    let (aim, deadline) = (route.target_s * 1000.0, route.timeout_s * 1000.0);
    Class {
        name: class_name(route),
        aim,
        deadline,
        worth: WORTH / (1.0 + f64::from(route.prio)),
        late_worth: 0.2,
        effect: match route.kind {
            ivygate_control_state::Effect::Idempotent => Effect::Safe,
            ivygate_control_state::Effect::Mutating | ivygate_control_state::Effect::Upload => Effect::Unsafe,
        },
        first_work: None,
        key_window: 0.0,
    }
}

impl Pools {
    /// No pool yet.
    pub fn new(boot: &Boot, clock: Clock, connections: usize) -> Self {
        Self {
            zone: boot.az.clone(),
            me: boot.ip,
            regions: boot.zones.clone(),
            retry: (boot.bound("retryRatio", 0.1), boot.bound("retryExtra", 10.0)),
            clock,
            connections,
            pools: HashMap::new(),
            cold: HashMap::new(),
            emptied: HashSet::new(),
            returned: HashMap::new(),
        }
    }

    /// The decision module of a service.
    pub fn driver(&self, service: &str) -> Option<&Rc<Driver>> {
        self.pools.get(service).map(|pool| &pool.driver)
    }

    /// Whether some service has a server.
    pub fn has_servers(&self) -> bool {
        self.pools.values().any(|pool| pool.driver.ready())
    }

    fn retries(&self, proxies: usize) -> Retries {
        let (ratio, extra) = self.retry;
        let store = (RETRY_PART * extra / proxies.max(1) as f64).max(1.0);
        Retries { part: RETRY_PART * ratio, store, all: true }
    }

    /// The configuration has changed: pools for new services, classes for new routes.
    pub fn configure(&mut self, sight: &Sight, proxies: usize) {
        let mut classes: HashMap<&str, HashMap<String, Class>> = HashMap::new();
        let shares: Vec<_> = sight.config.routes.values().map(|route| (route, route.shares())).collect();
        for (route, shares) in &shares {
            for share in shares {
                let class = class(route);
                classes.entry(&share.backend).or_default().insert(class.name.clone(), class);
            }
        }
        let retries = self.retries(proxies);
        for (service, classes) in classes {
            match self.pools.get_mut(service) {
                Some(pool) => {
                    for (name, class) in classes {
                        if !pool.classes.contains_key(&name) {
                            pool.driver.tell(Event::Class(class.clone()));
                            pool.classes.insert(name, class);
                        }
                    }
                    if pool.retries != retries {
                        pool.retries = retries;
                        pool.driver.tell(Event::Retries(retries));
                    }
                }
                None => match self.start(classes.values().cloned().collect(), retries) {
                    Ok(driver) => {
                        self.pools.insert(service.to_owned(), Pool { driver, classes, retries });
                    }
                    Err(error) => tracing::warn!("service '{service}' can't be served: {error}"),
                },
            }
        }
        // A service that no route names any more is dropped once nothing is open there.
        self.pools.retain(|name, pool| sight.config.backends.contains_key(name) || pool.driver.open() > 0);
    }

    fn start(&self, classes: Vec<Class>, retries: Retries) -> Result<Rc<Driver>, String> {
        let plan = Plan {
            name: PLAN.to_owned(),
            rate: 0.0,
            burst: 0.0,
            open: 0,
            price: 1.0,
            extra_worth: 0.0,
            excess_cost: 1.0,
            ceiling_rate: 0.0,
            ceiling_burst: 0.0,
            ceiling_slack: 0.0,
        };
        let settings = Settings {
            gateways: 1,
            rank: 0,
            zone: self.zone.clone(),
            classes,
            plans: vec![plan],
            max_attempts: ATTEMPTS_MOST,
            // A server that is silent may be at work: it is asked beside another, not given up.
            hedging: true,
            probing: true,
            trial: true,
            retries,
            cancelling: true,
            list_on_request: false,
            max_retry_after: Some(5_000.0),
            meter_period: None,
            cross_zone_price: 0.0,
            cold_from: 1.0,
            warm_after: 0.0,
            fall_multiple: 2.0,
            fall_window: 1_000.0,
        };
        let gateway = Gateway::new(settings, fastrand::u64(..)).map_err(|error| error.to_string())?;
        let limits = UpstreamLimits {
            connections: self.connections,
            connect: CONNECT,
            keep: KEEP,
            idle: IDLE_MOST,
            rest: Duration::from_millis(1),
            buffer: 64 << 10,
        };
        let seal = Seal { echo: answers::ATTEMPT, most: ANSWER_MOST, judge: answers::judge };
        let driver = Driver::new(gateway, self.clock, Upstream::new(limits, Reading::Sealed(seal)));
        tokio::task::spawn_local(driver.clone().run_timers());
        Ok(driver)
    }

    /// Servers, nodes, emptied zones or services have changed: tells each pool of its servers.
    pub fn list(&mut self, items: &Items, sight: &Sight) {
        let now = self.clock.now();
        let proxies = Node::all(items, Role::Proxy);
        let mut targets: HashMap<String, Vec<Target>> = HashMap::new();
        let mut cold = HashMap::new();
        let emptied: HashSet<String> =
            items.standing(Table::Drains).map(|(zone, _)| zone.to_owned()).collect();
        self.returned.retain(|zone, until| now < *until && !emptied.contains(zone));
        for zone in self.emptied.difference(&emptied) {
            self.returned.insert(zone.clone(), now + RETURN);
        }
        self.emptied = emptied;
        for (id, body) in items.standing(Table::Servers) {
            let Ok(server) = Server::deserialize(body) else { continue };
            let until = match self.cold.get(id) {
                Some((told, until)) if *told == server.cold_s => *until,
                _ => now + 1000.0 * server.cold_s,
            };
            if server.cold_s > 0.0 {
                cold.insert(id.to_owned(), (server.cold_s, until));
            }
            let leaving = server.draining || self.emptied.contains(&server.zone);
            let rate = sight.config.backends.get(&server.backend).map_or(0.0, |b| b.warmup_per_s);
            let until = if server.cold_s > 0.0 { until } else { now };
            let until = self.returned.get(&server.zone).map_or(until, |back| back.max(until));
            let fenced = rate > 0.0 && now < until;
            let fence = fenced.then(|| Fence { per_s: self.part(id, &server, &proxies) * rate, until });
            targets.entry(server.backend).or_default().push(Target {
                uid: id.to_owned(),
                endpoint: Some(server.address),
                detour: self.detour(&server.zone),
                az: server.zone,
                pod_group: 0,
                state: if leaving { TargetState::Draining } else { TargetState::Serving },
                capacity_hint: server.capacity,
                boot_ms: 0.0,
                fence,
            });
        }
        self.cold = cold;
        for (service, pool) in &self.pools {
            let targets = targets.remove(service).unwrap_or_default();
            pool.driver.list(Listing { rev: 0, all: true, targets });
        }
    }

    fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        self.regions.get(zone).map_or(zone, String::as_str)
    }

    fn detour(&self, zone: &str) -> Millis {
        if zone == self.zone {
            0.0
        } else if self.region(zone) == self.region(&self.zone) {
            ZONE_DETOUR
        } else {
            REGION_DETOUR
        }
    }

    /// The part of what a cold server bears that this proxy may send: few proxies, chosen by place, send any.
    fn part(&self, id: &str, server: &Server, proxies: &[Node]) -> f64 {
        let region = self.region(&server.zone);
        let up = |node: &&Node| node.is_up() && node.ready;
        let mut near: Vec<(u8, u64, Ipv4Addr)> = proxies
            .iter()
            .filter(up)
            .map(|node| {
                let rank = match (node.zone == server.zone, node.region == region) {
                    (true, _) => 0,
                    (false, true) => 1,
                    (false, false) => 2,
                };
                (rank, place(&format!("{id} {}", node.ip)), node.ip)
            })
            .collect();
        near.sort_unstable();
        let chosen = near.iter().take(FENCED).any(|(.., ip)| *ip == self.me);
        if chosen {
            FENCE_PART / FENCED.min(near.len()).max(1) as f64
        } else {
            0.0
        }
    }
}
