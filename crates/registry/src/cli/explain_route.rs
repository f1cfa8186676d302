//! Explanation of the route that a request would take.

use crate::server_list::ServerRecord;
use ivygate_control_state::{Config, Items, Route, Table, Tenant};
use ivygate_rpc::RpcError;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Number of servers in a zone by state.
#[derive(Default)]
struct ZoneServers {
    serving: u32,
    draining: u32,
}

/// Describes the route of a request, its tenant, and its services with their servers by zone.
pub(super) fn describe(items: &Items, host: &str, path: &str, key: Option<&str>) -> Result<String, RpcError> {
    let config = Config::from_items(items)?;
    let Some((name, route)) = find_route(&config, host, path) else {
        return Ok(format!("404: no route of {host} begins {path}"));
    };
    let mut lines = vec![format!(
        "route {name}: the longest prefix of {host} that begins {path} is {}",
        route.path_prefix
    )];
    let tenant = key.and_then(|key| find_tenant(&config, key));
    let needs_tenant = !config.tenants.is_empty() && !route.public;
    if tenant.is_none() && needs_tenant {
        lines.push("401: no tenant has this key".to_owned());
        return Ok(lines.join("\n"));
    }
    let mut home_regions: Vec<&String> = route.home_regions.iter().collect();
    if let Some((name, tenant)) = tenant {
        lines.push(format!("tenant {name}: {} a second and a burst of {}", tenant.rate_per_s, tenant.burst));
        home_regions.extend(&tenant.home_regions);
    }
    if !home_regions.is_empty() {
        lines.push(format!("bound to home regions {home_regions:?}, each of route and tenant"));
    }
    lines.extend(backend_lines(items, route));
    Ok(lines.join("\n"))
}

fn find_route<'a>(config: &'a Config, host: &str, path: &str) -> Option<(&'a String, &'a Route)> {
    let matches =
        |route: &Route| route.vhost.eq_ignore_ascii_case(host) && path.starts_with(&route.path_prefix);
    let matching = config.routes.iter().filter(|(_, route)| matches(route));
    matching.max_by_key(|(_, route)| route.path_prefix.len())
}

fn find_tenant<'a>(config: &'a Config, key: &str) -> Option<(&'a String, &'a Tenant)> {
    config.tenants.iter().find(|(_, tenant)| tenant.api_keys.iter().any(|known| known == key))
}

fn backend_lines(items: &Items, route: &Route) -> Vec<String> {
    let shares = route.weighted_backends();
    let total: f64 = shares.iter().map(|share| share.weight).sum();
    let mut lines = Vec::new();
    for share in shares {
        let percent = 100.0 * share.weight / total.max(1e-9);
        lines.push(format!("service {}: {percent:.0} in 100", share.backend));
        for (zone, ZoneServers { serving, draining }) in servers_by_zone(items, &share.backend) {
            lines.push(format!("  {zone}: {serving} servers take requests, {draining} are draining"));
        }
    }
    lines
}

fn servers_by_zone(items: &Items, backend: &str) -> BTreeMap<String, ZoneServers> {
    let mut zones: BTreeMap<String, ZoneServers> = BTreeMap::new();
    for (_, body) in items.live(Table::Servers) {
        let Ok(server) = ServerRecord::deserialize(body) else { continue };
        if server.backend != backend {
            continue;
        }
        let is_draining = server.draining || items.body(Table::Drains, &server.zone).is_some();
        let zone = zones.entry(server.zone).or_default();
        if is_draining {
            zone.draining += 1;
        } else {
            zone.serving += 1;
        }
    }
    zones
}
