//! One version of the configuration, ready for use: which route a request is on, and which tenant its key belongs to. Made anew
//! when the configuration changes; a request keeps the snapshot that it began with.

use ivygate_control_state::{Config, RequestKind, Route, Tenant};
use ivygate_gateway::Zones;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;

/// A service with the sum of the weights up to it.
struct CumulativeWeight {
    backend: Arc<str>,
    sum: f64,
}

/// A route, ready for use.
pub(crate) struct ResolvedRoute {
    /// The operator's item.
    pub route: Route,
    weights: Vec<CumulativeWeight>,
    /// The name of its class of requests.
    pub class: Arc<str>,
    /// The only zones that may serve it; `None` for all.
    pub zones: Option<Zones>,
}

/// A tenant, ready for use.
pub(crate) struct ResolvedTenant {
    /// Its name.
    pub name: Arc<str>,
    /// The operator's item.
    pub tenant: Tenant,
    /// The only zones that may serve it; `None` for all.
    pub zones: Option<Zones>,
}

/// One version of the configuration.
#[derive(Default)]
pub(crate) struct RoutingSnapshot {
    /// By host, the longest prefix first.
    routes: HashMap<String, Vec<Rc<ResolvedRoute>>>,
    tenants_by_key: HashMap<String, Rc<ResolvedTenant>>,
    /// Whether there are tenants at all.
    pub has_tenants: bool,
    /// The operator's items.
    pub config: Config,
}

/// The name of a route's class: routes that are alike in all that a decision looks at share one.
pub(crate) fn class_name(route: &Route) -> String {
    let kind = match route.kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::Mutating => "mutating",
        RequestKind::Upload => "upload",
    };
    format!("{kind} {} {} {}", route.target_s, route.timeout_s, route.prio)
}

/// The zones of some home regions; `None` for all.
fn home_zones(home_regions: &[String], regions: &BTreeMap<String, String>) -> Option<Zones> {
    if home_regions.is_empty() {
        return None;
    }
    let zones = regions.iter().filter(|(_, region)| home_regions.contains(region));
    Some(zones.map(|(zone, _)| Arc::from(zone.as_str())).collect())
}

/// The zones that both allow.
pub(crate) fn common_zones(a: Option<&Zones>, b: Option<&Zones>) -> Option<Zones> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.iter().filter(|zone| b.contains(zone)).cloned().collect()),
        (Some(zones), None) | (None, Some(zones)) => Some(zones.clone()),
        (None, None) => None,
    }
}

/// A host without its port.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

impl RoutingSnapshot {
    /// Resolves a configuration; `regions` names the region of each zone.
    pub fn new(config: Config, regions: &BTreeMap<String, String>) -> Self {
        let mut routes: HashMap<String, Vec<Rc<ResolvedRoute>>> = HashMap::new();
        for route in config.routes.values() {
            let resolved = Rc::new(ResolvedRoute::new(route, regions));
            routes.entry(route.vhost.to_ascii_lowercase()).or_default().push(resolved);
        }
        for routes in routes.values_mut() {
            routes.sort_by_key(|resolved| Reverse(resolved.route.path_prefix.len()));
        }
        let mut tenants_by_key = HashMap::new();
        for (name, tenant) in &config.tenants {
            let resolved = Rc::new(ResolvedTenant {
                name: name.as_str().into(),
                tenant: tenant.clone(),
                zones: home_zones(&tenant.home_regions, regions),
            });
            for key in &tenant.api_keys {
                tenants_by_key.insert(key.clone(), resolved.clone());
            }
        }
        Self { routes, tenants_by_key, has_tenants: !config.tenants.is_empty(), config }
    }

    /// The route of a request: that of its host with the longest prefix of its path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Rc<ResolvedRoute>> {
        let routes = self.routes.get(&without_port(host).to_ascii_lowercase())?;
        routes.iter().find(|resolved| path.starts_with(&resolved.route.path_prefix))
    }

    /// The tenant that a key belongs to.
    pub fn find_tenant(&self, key: &str) -> Option<&Rc<ResolvedTenant>> {
        self.tenants_by_key.get(key)
    }
}

impl ResolvedRoute {
    fn new(route: &Route, regions: &BTreeMap<String, String>) -> Self {
        let mut sum = 0.0;
        let weights = route.weighted_backends().into_iter().map(|share| {
            sum += share.weight;
            CumulativeWeight { backend: Arc::from(share.backend), sum }
        });
        Self {
            weights: weights.collect(),
            class: class_name(route).into(),
            zones: home_zones(&route.home_regions, regions),
            route: route.clone(),
        }
    }

    /// A service for one request, by its weight; `random` is drawn from 0 to 1. `None` where no weight is above zero: then
    /// nothing may be sent anywhere.
    pub fn choose_backend(&self, random: f64) -> Option<&Arc<str>> {
        let total = self.weights.last()?.sum;
        let chosen = self.weights.iter().find(|weight| random * total < weight.sum);
        chosen.map(|weight| &weight.backend)
    }
}
