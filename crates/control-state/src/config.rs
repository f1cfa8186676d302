//! The operator's items as checked types, and what makes them sound together.

use crate::item::{Items, Table};
use ivygate_rpc::{Fault, Kind};
use serde::Deserialize;
use serde_json::Value;
use std::collections::HashMap;
use validator::{Validate, ValidationError};

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Any number of times.
    Idempotent,
    /// Once at most.
    Mutating,
    /// The same, with a large body.
    Upload,
}

/// A part of a route's requests for a service.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
pub struct Share {
    /// The service.
    pub backend: String,
    /// Its part, against the others'.
    #[validate(range(min = 0.0, max = 1e9))]
    pub weight: f64,
}

/// A route. Times are seconds.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct Route {
    /// The host it is for.
    #[validate(length(min = 1, max = 255))]
    pub vhost: String,
    /// What the paths begin with; it begins and ends with a slash.
    #[validate(custom(function = "between_slashes"))]
    pub path_prefix: String,
    /// Whether its requests may run again.
    pub kind: Effect,
    /// How long a request may be held.
    #[serde(default = "ten")]
    #[validate(range(min = 0.001, max = 86_400.0))]
    pub timeout_s: f64,
    /// An answer within this time earns all.
    #[serde(default = "one")]
    #[validate(range(min = 0.001, max = 86_400.0))]
    pub target_s: f64,
    /// Its rank; 0 is highest.
    #[serde(default)]
    pub prio: u32,
    /// The service, where there is one.
    pub backend: Option<String>,
    /// Or several with weights.
    #[validate(nested)]
    pub split: Option<Vec<Share>>,
    /// Most servers that one try may be sent to.
    #[serde(default = "two")]
    #[validate(range(min = 1, max = 100))]
    pub tries: u32,
    /// Whether no key is needed.
    #[serde(default)]
    pub public: bool,
    /// The only regions in which it may be served; none for all.
    #[serde(default)]
    pub home_regions: Vec<String>,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct Tenant {
    /// What its clients show.
    #[serde(default)]
    pub api_keys: Vec<String>,
    /// Its rank, before that of the route.
    pub prio: Option<u32>,
    /// Requests a second; 0 for no limit.
    #[serde(default)]
    #[validate(range(min = 0.0, max = 1e9))]
    pub rate_per_s: f64,
    /// Requests on top.
    #[serde(default)]
    #[validate(range(min = 0.0, max = 1e9))]
    pub burst: f64,
    /// The only regions in which it may be served; none for all.
    #[serde(default)]
    pub home_regions: Vec<String>,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct Backend {
    /// Where its servers tell of their health.
    #[serde(default = "healthz")]
    pub health_path: String,
    /// Connections that one server takes.
    #[serde(default = "hundred")]
    pub max_conns: u32,
    /// How long a server stays cold, in seconds.
    #[serde(default)]
    #[validate(range(min = 0.0, max = 86_400.0))]
    pub warmup_s: f64,
    /// Requests a second that a cold one bears; 0 for no bound.
    #[serde(default)]
    #[validate(range(min = 0.0, max = 1e9))]
    pub warmup_per_s: f64,
}

/// What bounds clients. Times are seconds.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct Limits {
    /// Longest head.
    #[serde(default = "head_most")]
    #[validate(range(min = 256, max = 1_048_576))]
    pub hdr_bytes: usize,
    /// Longest body.
    #[serde(default = "body_most")]
    pub body_max_bytes: u64,
    /// Time for a head.
    #[serde(default = "ten")]
    #[validate(range(min = 0.001, max = 3600.0))]
    pub hdr_timeout_s: f64,
    /// Time that a connection may stay idle.
    #[serde(default = "ten")]
    #[validate(range(min = 0.001, max = 86_400.0))]
    pub idle_timeout_s: f64,
}

fn one() -> f64 {
    1.0
}
fn two() -> u32 {
    2
}
fn ten() -> f64 {
    10.0
}
fn hundred() -> u32 {
    100
}
fn head_most() -> usize {
    16 << 10
}
fn body_most() -> u64 {
    64 << 20
}
fn healthz() -> String {
    "/healthz".to_owned()
}

fn between_slashes(prefix: &str) -> Result<(), ValidationError> {
    if prefix.starts_with('/') && prefix.ends_with('/') {
        Ok(())
    } else {
        Err(ValidationError::new("does not begin and end with a slash"))
    }
}

impl Route {
    /// The services it names, with their weights.
    pub fn shares(&self) -> Vec<Share> {
        match (&self.split, &self.backend) {
            (Some(split), _) => split.clone(),
            (None, Some(backend)) => vec![Share { backend: backend.clone(), weight: 1.0 }],
            (None, None) => Vec::new(),
        }
    }
}

/// The operator's items that stand, as checked types.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Routes by name.
    pub routes: HashMap<String, Route>,
    /// Tenants by name.
    pub tenants: HashMap<String, Tenant>,
    /// Services by name.
    pub backends: HashMap<String, Backend>,
    /// Limits, once set.
    pub limits: Option<Limits>,
}

fn invalid(what: String) -> Fault {
    Fault::new(Kind::Invalid, what)
}

fn table<T: serde::de::DeserializeOwned + Validate>(
    items: &Items,
    table: Table,
) -> Result<HashMap<String, T>, Fault> {
    items.standing(table).map(|(name, body)| Ok((name.to_owned(), typed(table, name, body)?))).collect()
}

/// Reads and checks one item by itself.
pub(crate) fn typed<T: serde::de::DeserializeOwned + Validate>(
    table: Table,
    name: &str,
    body: &Value,
) -> Result<T, Fault> {
    let what = |e: String| invalid(format!("{table:?} '{name}': {}", e.replace('\n', "; ")));
    let item = T::deserialize(body).map_err(|e| what(e.to_string()))?;
    item.validate().map_err(|e| what(e.to_string()))?;
    Ok(item)
}

impl Config {
    /// Reads what stands in a copy.
    ///
    /// # Errors
    /// Names the item that can't be read.
    pub fn read(items: &Items) -> Result<Self, Fault> {
        Ok(Self {
            routes: table(items, Table::Routes)?,
            tenants: table(items, Table::Tenants)?,
            backends: table(items, Table::Backends)?,
            limits: table(items, Table::Limits)?.into_values().next(),
        })
    }
}

/// Checks that what stands in a copy is sound as a whole.
///
/// # Errors
/// Names the first items that are not.
pub fn check(items: &Items) -> Result<Config, Fault> {
    let config = Config::read(items)?;
    let mut places: HashMap<(String, &str), &str> = HashMap::new();
    for (name, route) in &config.routes {
        let shares = route.shares();
        if shares.is_empty() {
            return Err(invalid(format!("route '{name}' names no service")));
        }
        if let Some(share) = shares.iter().find(|share| !config.backends.contains_key(&share.backend)) {
            return Err(invalid(format!("route '{name}' names the unknown service '{}'", share.backend)));
        }
        let place = (route.vhost.to_ascii_lowercase(), route.path_prefix.as_str());
        if let Some(other) = places.insert(place, name) {
            return Err(invalid(format!("routes '{other}' and '{name}' share host and prefix")));
        }
    }
    let mut keys: HashMap<&str, &str> = HashMap::new();
    for (name, tenant) in &config.tenants {
        for key in &tenant.api_keys {
            if keys.insert(key, name).is_some_and(|other| other != name) {
                return Err(invalid(format!("tenant '{name}' shares a key with another")));
            }
        }
    }
    Ok(config)
}
