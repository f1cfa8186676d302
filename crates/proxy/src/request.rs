//! Parsing of a client's request: its route, its tenant, its attempt ID and the client's timeout.

use crate::response::{Rejection, RETRY_LATE_MS, RETRY_SOON_MS};
use crate::routing_snapshot::{common_zones, ResolvedRoute, ResolvedTenant, RoutingSnapshot};
use crate::server_protocol::{API_KEY, ATTEMPT_ID, DEADLINE, TENANT, WANTED_INSTANCE};
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{HeaderMap, StatusCode};
use ivygate_gateway::Zones;
use ivygate_runtime::{end_to_end, single_value};
use ivygate_time::Millis;
use std::rc::Rc;

/// Maximum length of an attempt ID, in bytes.
const MAX_ATTEMPT_ID_BYTES: usize = 128;
/// Maximum timeout that a client may state, in milliseconds.
const MAX_WAIT_MS: Millis = 3_600_000.0;

/// Client request resolved against one version of the configuration.
pub(crate) struct ParsedRequest {
    pub route: Rc<ResolvedRoute>,
    /// Tenant of the request; `None` on a public route without a key, and if there was never a tenant.
    pub tenant: Option<Rc<ResolvedTenant>>,
    pub attempt_id: String,
    /// Time for which the client waits for the response, in milliseconds.
    pub wait_ms: Millis,
    /// Zones that may serve the request; `None` for all.
    pub zones: Option<Zones>,
}

fn bad_request(reason: &'static str) -> Rejection {
    Rejection::new(StatusCode::BAD_REQUEST, reason)
}

impl ParsedRequest {
    /// Parses the head of a request.
    pub fn parse(snapshot: &RoutingSnapshot, parts: &Parts) -> Result<Self, Rejection> {
        if snapshot.config.routes.is_empty() {
            return Err(Rejection::unavailable("no configuration yet", RETRY_SOON_MS));
        }
        let route = find_route(snapshot, parts)?;
        let tenant = authenticate(snapshot, &route, &parts.headers)?;
        let attempt_id = parse_attempt_id(&parts.headers)?;
        let wait_ms = parse_wait_ms(&parts.headers)?.min(1000.0 * route.route.timeout_s);
        let zones = allowed_zones(&route, tenant.as_deref())?;
        Ok(Self { route, tenant, attempt_id, wait_ms, zones })
    }
}

fn find_route(snapshot: &RoutingSnapshot, parts: &Parts) -> Result<Rc<ResolvedRoute>, Rejection> {
    let host = match parts.uri.host() {
        Some(host) => host,
        None => {
            let host = single_value(&parts.headers, "host").ok().flatten();
            host.ok_or_else(|| bad_request("Host is missing or repeated"))?
        }
    };
    let route = snapshot.find_route(host, parts.uri.path());
    route.cloned().ok_or_else(|| Rejection::new(StatusCode::NOT_FOUND, "no route is for this"))
}

/// Returns the tenant of a request by its API key. No key is needed on public routes, or if there was never a tenant: once the
/// last one is removed, routes that are not public take no requests.
fn authenticate(
    snapshot: &RoutingSnapshot,
    route: &ResolvedRoute,
    headers: &HeaderMap,
) -> Result<Option<Rc<ResolvedTenant>>, Rejection> {
    let unknown_key = || Rejection::new(StatusCode::UNAUTHORIZED, "the key is not known");
    if !snapshot.requires_keys {
        return Ok(None);
    }
    let key = single_value(headers, API_KEY.as_str()).map_err(|_| unknown_key())?;
    match key.and_then(|key| snapshot.find_tenant(key)) {
        Some(tenant) => Ok(Some(tenant.clone())),
        None if route.route.public => Ok(None),
        None => Err(unknown_key()),
    }
}

fn parse_attempt_id(headers: &HeaderMap) -> Result<String, Rejection> {
    let id = single_value(headers, ATTEMPT_ID.as_str()).map_err(bad_request)?;
    let id = id.filter(|id| !id.is_empty() && id.len() <= MAX_ATTEMPT_ID_BYTES);
    let id = id.ok_or_else(|| bad_request("Ivygate-Attempt-Id is missing or malformed"))?;
    Ok(id.to_owned())
}

/// Returns the timeout stated by the client in milliseconds; infinite if it is absent or malformed.
fn parse_wait_ms(headers: &HeaderMap) -> Result<Millis, Rejection> {
    let wait_ms = single_value(headers, DEADLINE.as_str()).map_err(bad_request)?;
    let wait_ms = wait_ms.and_then(|text| text.parse::<f64>().ok());
    let wait_ms = wait_ms.filter(|ms| ms.is_finite() && *ms >= 0.0);
    Ok(wait_ms.map_or(f64::INFINITY, |ms| ms.min(MAX_WAIT_MS)))
}

/// Returns the zones that may serve a request; `None` for all.
fn allowed_zones(route: &ResolvedRoute, tenant: Option<&ResolvedTenant>) -> Result<Option<Zones>, Rejection> {
    let zones = common_zones(route.zones.as_ref(), tenant.and_then(|tenant| tenant.zones.as_ref()));
    if zones.as_ref().is_some_and(|zones| zones.is_empty()) {
        // No server may handle the request until the configuration of the route or the tenant changes.
        let reason = "the route's and the tenant's home regions have none in common";
        return Err(Rejection::unavailable(reason, RETRY_LATE_MS));
    }
    Ok(zones)
}

/// Returns the headers to send to a server: the client's headers without its key, and with the name of the authenticated tenant
/// in place of any tenant stated by the client.
pub(crate) fn forwarded_headers(headers: &HeaderMap, tenant: Option<&ResolvedTenant>) -> HeaderMap {
    let protocol_headers = [&ATTEMPT_ID, &DEADLINE, &WANTED_INSTANCE, &TENANT, &API_KEY];
    let mut forwarded = end_to_end(headers.clone(), |name| protocol_headers.contains(&name));
    forwarded.remove(API_KEY);
    forwarded.remove(TENANT);
    forwarded.remove(WANTED_INSTANCE);
    if let Some(tenant) = tenant {
        if let Ok(name) = HeaderValue::from_str(&tenant.name) {
            forwarded.insert(TENANT, name);
        }
    }
    forwarded
}
