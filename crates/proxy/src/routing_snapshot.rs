//! Immutable snapshot of the configuration, indexed for finding the route of a request and the tenant of a key. A new snapshot
//! is created when the configuration changes; a request keeps the snapshot with which it started.

use ivygate_control_state::{Config, RequestKind, Route, Tenant};
use ivygate_gateway::Zones;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;

/// Service with the sum of the weights up to and including its own.
struct CumulativeWeight {
    backend: Arc<str>,
    sum: f64,
}

/// Route prepared for request processing.
pub(crate) struct ResolvedRoute {
    /// Configured route.
    pub route: Route,
    weights: Vec<CumulativeWeight>,
    /// Name of its request class.
    pub class: Arc<str>,
    /// Zones that may serve it; `None` for all.
    pub zones: Option<Zones>,
}

/// Tenant prepared for request processing.
pub(crate) struct ResolvedTenant {
    /// Name of the tenant.
    pub name: Arc<str>,
    /// Configured tenant.
    pub tenant: Tenant,
    /// Zones that may serve it; `None` for all.
    pub zones: Option<Zones>,
}

/// Snapshot of one version of the configuration.
#[derive(Default)]
pub(crate) struct RoutingSnapshot {
    /// Routes by host, the longest prefix first.
    routes: HashMap<String, Vec<Rc<ResolvedRoute>>>,
    tenants_by_key: HashMap<String, Rc<ResolvedTenant>>,
    /// `true` if requests on routes that are not public need the key of a tenant.
    pub requires_keys: bool,
    /// Configuration of this version.
    pub config: Config,
}

/// Returns the name of a route's request class. Routes that are equal in everything that the decision module uses share one.
pub(crate) fn class_name(route: &Route) -> String {
    let kind = match route.kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::Mutating => "mutating",
        RequestKind::Upload => "upload",
    };
    format!("{kind} {} {} {}", route.target_s, route.timeout_s, route.prio)
}

/// Returns the zones of the given home regions; `None`, which means all zones, without home regions.
fn home_zones(home_regions: &[String], regions: &BTreeMap<String, String>) -> Option<Zones> {
    if home_regions.is_empty() {
        return None;
    }
    let zones = regions.iter().filter(|(_, region)| home_regions.contains(region));
    Some(zones.map(|(zone, _)| Arc::from(zone.as_str())).collect())
}

/// Returns the intersection of two sets of zones, where `None` stands for all zones.
pub(crate) fn common_zones(a: Option<&Zones>, b: Option<&Zones>) -> Option<Zones> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.iter().filter(|zone| b.contains(zone)).cloned().collect()),
        (Some(zones), None) | (None, Some(zones)) => Some(zones.clone()),
        (None, None) => None,
    }
}

/// Removes the port from a host.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

impl RoutingSnapshot {
    /// Creates the snapshot of a configuration. `regions` contains the region of each zone.
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
        Self { routes, tenants_by_key, requires_keys: config.has_had_tenants, config }
    }

    /// Finds the route of a request, which is the one of its host with the longest matching path prefix.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Rc<ResolvedRoute>> {
        let routes = self.routes.get(&without_port(host).to_ascii_lowercase())?;
        routes.iter().find(|resolved| path.starts_with(&resolved.route.path_prefix))
    }

    /// Finds the tenant of an API key.
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

    /// Chooses a service for one request by weight, for a random number from 0 to 1. Returns `None` if no weight is above zero,
    /// in which case no request may be sent.
    pub fn choose_backend(&self, random: f64) -> Option<&Arc<str>> {
        let total = self.weights.last()?.sum;
        let chosen = self.weights.iter().find(|weight| random * total < weight.sum);
        chosen.map(|weight| &weight.backend)
    }
}
