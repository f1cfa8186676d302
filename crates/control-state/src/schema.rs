//! The operator's items as typed and checked values. Names on the wire are those of the operators' pages.

use crate::error::ConfigError;
use crate::table::Table;
use serde::Deserialize;
use serde_json::Value;
use validator::{Validate, ValidationError};

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RequestKind {
    /// Any number of times.
    Idempotent,
    /// Once at most.
    Mutating,
    /// The same, with a large body.
    Upload,
}

/// A service with its weight in a route's split.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
pub struct WeightedBackend {
    /// The service.
    pub backend: String,
    /// Its weight against the others'.
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
    #[validate(custom(function = "begins_and_ends_with_slash"))]
    pub path_prefix: String,
    /// Whether its requests may run again.
    pub kind: RequestKind,
    /// Time after which a request has its final answer, in seconds.
    #[serde(default = "ten_seconds")]
    #[validate(range(min = 0.001, max = 86_400.0))]
    pub timeout_s: f64,
    /// The latency target, in seconds: an answer within this time earns the full value.
    #[serde(default = "one_second")]
    #[validate(range(min = 0.001, max = 86_400.0))]
    pub target_s: f64,
    /// Its priority; 0 is the highest.
    #[serde(default)]
    pub prio: u32,
    /// The service, where there is one.
    pub backend: Option<String>,
    /// Or several with weights.
    #[validate(nested)]
    pub split: Option<Vec<WeightedBackend>>,
    /// Most servers that one request may be sent to.
    #[serde(default = "default_tries")]
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
    /// The API keys of its clients.
    #[serde(default)]
    pub api_keys: Vec<String>,
    /// Its priority, in place of the route's.
    pub prio: Option<u32>,
    /// Rate limit in requests a second; 0 for none.
    #[serde(default)]
    #[validate(range(min = 0.0, max = 1e9))]
    pub rate_per_s: f64,
    /// Requests beyond the rate that may pass at once.
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
    /// The path of its servers' health checks.
    #[serde(default = "default_health_path")]
    pub health_path: String,
    /// Connections that one server takes.
    #[serde(default = "default_max_conns")]
    pub max_conns: u32,
    /// Length of slow start, in seconds.
    #[serde(default)]
    #[validate(range(min = 0.0, max = 86_400.0))]
    pub warmup_s: f64,
    /// Requests a second that a server takes while it warms up; 0 for no bound.
    #[serde(default)]
    #[validate(range(min = 0.0, max = 1e9))]
    pub warmup_per_s: f64,
}

/// Limits on clients. Times are seconds.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct ClientLimits {
    /// Largest head, in bytes.
    #[serde(default = "default_header_bytes")]
    #[validate(range(min = 256, max = 1_048_576))]
    pub hdr_bytes: usize,
    /// Largest body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub body_max_bytes: u64,
    /// Time for a head to come in.
    #[serde(default = "ten_seconds")]
    #[validate(range(min = 0.001, max = 3600.0))]
    pub hdr_timeout_s: f64,
    /// Time that a connection may stay idle.
    #[serde(default = "ten_seconds")]
    #[validate(range(min = 0.001, max = 86_400.0))]
    pub idle_timeout_s: f64,
}

fn one_second() -> f64 {
    1.0
}
fn default_tries() -> u32 {
    2
}
fn ten_seconds() -> f64 {
    10.0
}
fn default_max_conns() -> u32 {
    100
}
fn default_header_bytes() -> usize {
    16 << 10
}
fn default_body_bytes() -> u64 {
    64 << 20
}
fn default_health_path() -> String {
    "/healthz".to_owned()
}

fn begins_and_ends_with_slash(prefix: &str) -> Result<(), ValidationError> {
    if prefix.starts_with('/') && prefix.ends_with('/') {
        Ok(())
    } else {
        Err(ValidationError::new("does not begin and end with a slash"))
    }
}

impl Route {
    /// The services it names, with their weights.
    pub fn weighted_backends(&self) -> Vec<WeightedBackend> {
        match (&self.split, &self.backend) {
            (Some(split), _) => split.clone(),
            (None, Some(backend)) => vec![WeightedBackend { backend: backend.clone(), weight: 1.0 }],
            (None, None) => Vec::new(),
        }
    }
}

/// Parses and checks one item by itself.
///
/// # Errors
/// Names the rule that it breaks.
pub(crate) fn parse_body<T: serde::de::DeserializeOwned + Validate>(
    table: Table,
    name: &str,
    body: &Value,
) -> Result<T, ConfigError> {
    let invalid = |cause: String| ConfigError::InvalidItem {
        table,
        name: name.to_owned(),
        cause: cause.replace('\n', "; "),
    };
    let item = T::deserialize(body).map_err(|error| invalid(error.to_string()))?;
    item.validate().map_err(|error| invalid(error.to_string()))?;
    Ok(item)
}
