//! What a proxy sees of the configuration: which route a request is on, and whose key it shows. Made anew when the
//! configuration changes; requests keep the one that they began with.

use ivygate_control_state::{Config, Effect, Route, Tenant};
use ivygate_gateway::Zones;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;

/// A route, ready for use.
pub struct Way {
    /// The operator's item.
    pub route: Route,
    /// The services with the sums of their weights up to each.
    shares: Vec<(Arc<str>, f64)>,
    /// The name of its class.
    pub class: Arc<str>,
    /// The only zones that may serve it.
    pub zones: Option<Zones>,
}

/// A tenant, ready for use.
pub struct Holder {
    /// Its name.
    pub name: Arc<str>,
    /// The operator's item.
    pub tenant: Tenant,
    /// The only zones that may serve it.
    pub zones: Option<Zones>,
}

/// What is seen of one version of the configuration.
#[derive(Default)]
pub struct Sight {
    /// By host, the longest prefix first.
    hosts: HashMap<String, Vec<Rc<Way>>>,
    keys: HashMap<String, Rc<Holder>>,
    /// Whether there are tenants at all.
    pub has_tenants: bool,
    /// The operator's items.
    pub config: Config,
}

/// The name of a route's class: routes that are alike in all that a decision looks at share one.
pub fn class_name(route: &Route) -> String {
    let kind = match route.kind {
        Effect::Idempotent => "idempotent",
        Effect::Mutating => "mutating",
        Effect::Upload => "upload",
    };
    format!("{kind} {} {} {}", route.target_s, route.timeout_s, route.prio)
}

fn zones_of(homes: &[String], zones: &BTreeMap<String, String>) -> Option<Zones> {
    if homes.is_empty() {
        return None;
    }
    let at_home = zones.iter().filter(|(_, region)| homes.contains(region));
    Some(at_home.map(|(zone, _)| Arc::from(zone.as_str())).collect())
}

impl Sight {
    /// Looks at a configuration; `regions` names the region of each zone.
    pub fn new(config: Config, regions: &BTreeMap<String, String>) -> Self {
        let mut hosts: HashMap<String, Vec<Rc<Way>>> = HashMap::new();
        for route in config.routes.values() {
            let mut sum = 0.0;
            let shares = route.shares().into_iter().map(|share| {
                sum += share.weight;
                (Arc::from(share.backend), sum)
            });
            let way = Way {
                shares: shares.collect(),
                class: class_name(route).into(),
                zones: zones_of(&route.home_regions, regions),
                route: route.clone(),
            };
            hosts.entry(route.vhost.to_ascii_lowercase()).or_default().push(Rc::new(way));
        }
        for ways in hosts.values_mut() {
            ways.sort_by_key(|way| std::cmp::Reverse(way.route.path_prefix.len()));
        }
        let mut keys = HashMap::new();
        for (name, tenant) in &config.tenants {
            let zones = zones_of(&tenant.home_regions, regions);
            let holder = Rc::new(Holder { name: name.as_str().into(), tenant: tenant.clone(), zones });
            for key in &tenant.api_keys {
                keys.insert(key.clone(), holder.clone());
            }
        }
        Self { hosts, keys, has_tenants: !config.tenants.is_empty(), config }
    }

    /// The route of a request.
    pub fn way(&self, host: &str, path: &str) -> Option<&Rc<Way>> {
        let host = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|b| b.is_ascii_digit()) {
                name
            } else {
                host
            }
        });
        let ways = self.hosts.get(&host.to_ascii_lowercase())?;
        ways.iter().find(|way| path.starts_with(&way.route.path_prefix))
    }

    /// The tenant that holds a key.
    pub fn holder(&self, key: &str) -> Option<&Rc<Holder>> {
        self.keys.get(key)
    }
}

impl Way {
    /// A service for one request, by its weight; `lot` is drawn from 0 to 1.
    pub fn service(&self, lot: f64) -> Option<&Arc<str>> {
        let all = self.shares.last()?.1;
        let at = lot * all;
        let chosen = self.shares.iter().find(|(_, sum)| at < *sum);
        // Where no weight is above nothing, nothing may be sent anywhere.
        chosen.map(|(name, _)| name)
    }
}

/// The zones that both allow.
pub fn both(a: &Option<Zones>, b: &Option<Zones>) -> Option<Zones> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.iter().filter(|zone| b.contains(zone)).cloned().collect()),
        (Some(zones), None) | (None, Some(zones)) => Some(zones.clone()),
        (None, None) => None,
    }
}
