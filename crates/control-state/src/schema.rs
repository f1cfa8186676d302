//! The operator's items as typed, validated values. The names on the wire are those documented for operators.

use crate::error::ConfigError;
use crate::table::Table;
use serde::Deserialize;
use serde_json::Value;
use validator::{Validate, ValidationError};

/// The permitted number of executions of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RequestKind {
    /// The request may be executed any number of times.
    Idempotent,
    /// The request must be executed at most once.
    Mutating,
    /// The request must be executed at most once, and has a large body.
    Upload,
}

/// A backend with its weight in a route's split.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
pub struct WeightedBackend {
    /// The backend.
    pub backend: String,
    /// Its weight relative to the other backends.
    #[validate(range(min = 0.0, max = 1e9))]
    pub weight: f64,
}

/// A route. Times are seconds.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct Route {
    /// The host that the route applies to.
    #[validate(length(min = 1, max = 255))]
    pub vhost: String,
    /// The prefix of the paths that the route applies to; begins and ends with a slash.
    #[validate(custom(function = "begins_and_ends_with_slash"))]
    pub path_prefix: String,
    /// The kind of its requests, which limits their executions.
    pub kind: RequestKind,
    /// Time within which a request receives its final response, in seconds.
    #[serde(default = "ten_seconds")]
    #[validate(range(min = 0.001, max = 86_400.0))]
    pub timeout_s: f64,
    /// The latency target in seconds; a response within this time earns the full value.
    #[serde(default = "one_second")]
    #[validate(range(min = 0.001, max = 86_400.0))]
    pub target_s: f64,
    /// Its priority; 0 is the highest.
    #[serde(default)]
    pub prio: u32,
    /// The backend that handles the requests, unless they are split.
    pub backend: Option<String>,
    /// The backends that the requests are split between, with their weights. Takes precedence over `backend`.
    #[validate(nested)]
    pub split: Option<Vec<WeightedBackend>>,
    /// The maximum number of servers that one request may be sent to.
    #[serde(default = "default_tries")]
    #[validate(range(min = 1, max = 100))]
    pub tries: u32,
    /// Set if requests need no API key.
    #[serde(default)]
    pub public: bool,
    /// The only regions in which its requests may be served; empty for all regions.
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
    /// The priority of its requests, which overrides the route's.
    pub prio: Option<u32>,
    /// The rate limit in requests per second; 0 for no limit.
    #[serde(default)]
    #[validate(range(min = 0.0, max = 1e9))]
    pub rate_per_s: f64,
    /// The number of requests that may exceed the rate limit in a burst.
    #[serde(default)]
    #[validate(range(min = 0.0, max = 1e9))]
    pub burst: f64,
    /// The only regions in which the tenant's requests may be served; empty for all regions.
    #[serde(default)]
    pub home_regions: Vec<String>,
}

/// A backend service and the limits of its servers.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct Backend {
    /// The path of health checks at its servers.
    #[serde(default = "default_health_path")]
    pub health_path: String,
    /// The maximum number of connections to one server.
    #[serde(default = "default_max_conns")]
    pub max_conns: u32,
    /// The length of slow start in seconds.
    #[serde(default)]
    #[validate(range(min = 0.0, max = 86_400.0))]
    pub warmup_s: f64,
    /// The maximum requests per second to a server during slow start; 0 for no limit.
    #[serde(default)]
    #[validate(range(min = 0.0, max = 1e9))]
    pub warmup_per_s: f64,
}

/// Limits on clients. Times are seconds.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct ClientLimits {
    /// The maximum size of a request head in bytes.
    #[serde(default = "default_header_bytes")]
    #[validate(range(min = 256, max = 1_048_576))]
    pub hdr_bytes: usize,
    /// The maximum size of a request body in bytes.
    #[serde(default = "default_body_bytes")]
    pub body_max_bytes: u64,
    /// The time limit for receiving a request head, in seconds.
    #[serde(default = "ten_seconds")]
    #[validate(range(min = 0.001, max = 3600.0))]
    pub hdr_timeout_s: f64,
    /// The time after which an idle connection is closed, in seconds.
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
    /// Returns the backends that the route names, with their weights.
    pub fn weighted_backends(&self) -> Vec<WeightedBackend> {
        match (&self.split, &self.backend) {
            (Some(split), _) => split.clone(),
            (None, Some(backend)) => vec![WeightedBackend { backend: backend.clone(), weight: 1.0 }],
            (None, None) => Vec::new(),
        }
    }
}

/// Parses and validates one item regardless of other items.
///
/// # Errors
/// Returns an error that names the violated rule.
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
