//! The JSON form of the settings, used by the simulator's protocol and by a node's configuration file.

use crate::settings::{Effect, KeyScope, Plan, RequestClass, RetryBudget, Settings};
use ivygate_time::Millis;
use serde::Deserialize;

/// The settings of a gateway in their JSON form; [`WireSettings::into_settings`] converts them.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WireSettings {
    allowed: WirePermissions,
    #[serde(rename = "az")]
    zone: String,
    #[serde(rename = "balancers")]
    gateways: u32,
    classes: Vec<WireClass>,
    #[serde(rename = "contracts")]
    plans: Vec<WirePlan>,
    discovery: String,
    #[serde(default, rename = "domain")]
    metering: WireMetering,
    prices: WirePrices,
    rank: u32,
    #[serde(rename = "rules")]
    slow_start: WireSlowStart,
}

/// Actions that a gateway may take.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WirePermissions {
    cancel: bool,
    #[serde(default)]
    connect_timeout_ms: f64,
    #[serde(default)]
    keepalive_ms: f64,
    #[serde(default)]
    max_retry_after_ms: f64,
    #[serde(rename = "mayProbe")]
    health_checks: bool,
    #[serde(rename = "mostTries")]
    max_attempts: u32,
    retry_after: bool,
    #[serde(rename = "secondCopies")]
    hedging: bool,
}

/// A class of requests.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireClass {
    name: String,
    #[serde(rename = "aimMs")]
    latency_target_ms: f64,
    deadline_ms: f64,
    #[serde(rename = "worth")]
    value: f64,
    #[serde(default, rename = "lateWorth")]
    late_value: f64,
    effect: String,
    #[serde(default)]
    key_scope: String,
    #[serde(default, rename = "windowMs")]
    key_window_ms: f64,
}

/// A plan of customers.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WirePlan {
    name: String,
    #[serde(default, rename = "refill")]
    rate: f64,
    #[serde(default, rename = "mostAtOnce")]
    burst: f64,
    #[serde(default, rename = "parallel")]
    max_in_flight: u32,
    #[serde(rename = "worthFactor")]
    price: f64,
    #[serde(default, rename = "extraWorth")]
    excess_value: f64,
    #[serde(default)]
    excess_cost: f64,
    #[serde(default, rename = "capRate")]
    limit_rate: f64,
    #[serde(default, rename = "capDepth")]
    limit_burst: f64,
    #[serde(default, rename = "tolerance")]
    limit_slack: f64,
}

/// The usage meter and the units of requests.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct WireMetering {
    #[serde(rename = "usePeriodMs")]
    meter_period_ms: f64,
    #[serde(rename = "unitsTop")]
    max_units: f64,
}

/// Costs of attempts.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct WirePrices {
    cross_zone: f64,
}

/// Capacity of servers that are warming up.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireSlowStart {
    #[serde(rename = "coldFrom")]
    initial_capacity: f64,
    #[serde(rename = "warmAfterMs")]
    duration_ms: f64,
    #[serde(rename = "fallMultiple")]
    overload_factor: f64,
    #[serde(rename = "overloadForMs")]
    overload_window_ms: f64,
}

/// Settings of connections to app servers, for the I/O layer; no decision depends on them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionSettings {
    /// Time after which establishing a connection has failed; `None` if not set.
    pub connect_timeout: Option<Millis>,
    /// Idle time after which app servers close a connection; `None` if not set.
    pub keepalive: Option<Millis>,
}

/// Limits on the values that a client may declare in a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// Number of nodes.
    pub nodes: u32,
    /// Maximum number of units of one request; infinite if not set.
    pub max_units: f64,
    /// Maximum time that a client may declare to wait: twice the longest deadline of all classes.
    pub max_wait: Millis,
}

/// Error in the JSON form of the settings.
#[derive(Debug, thiserror::Error)]
pub enum WireSettingsError {
    /// The text is not JSON, or a key is missing or malformed.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The value of `discovery` is unknown.
    #[error("unknown discovery '{0}'")]
    UnknownDiscovery(String),
    /// A class has an unknown effect, or a keyed one has an unknown key scope.
    #[error("classes: unknown effect '{effect}' with keyScope '{scope}'")]
    UnknownEffect {
        /// The effect.
        effect: String,
        /// The scope of its key.
        scope: String,
    },
}

impl WireSettings {
    /// Parses the JSON form.
    ///
    /// # Errors
    /// Returns an error that names the missing or malformed key.
    pub fn parse(text: &str) -> Result<Self, WireSettingsError> {
        Ok(serde_json::from_str(text)?)
    }

    /// Returns the settings of connections to app servers.
    pub fn connection_settings(&self) -> ConnectionSettings {
        let positive = |ms: f64| Some(ms).filter(|ms| ms.is_finite() && *ms > 0.0);
        ConnectionSettings {
            connect_timeout: positive(self.allowed.connect_timeout_ms),
            keepalive: positive(self.allowed.keepalive_ms),
        }
    }

    /// Returns the limits on values that a client may declare.
    pub fn request_limits(&self) -> RequestLimits {
        let deadlines = self.classes.iter().map(|class| class.deadline_ms);
        RequestLimits {
            nodes: self.gateways,
            max_units: if self.metering.max_units > 0.0 { self.metering.max_units } else { f64::INFINITY },
            max_wait: 2.0 * deadlines.fold(0.0, f64::max),
        }
    }

    /// Converts the JSON form to [`Settings`].
    ///
    /// # Errors
    /// Returns an error that names the key whose value is unknown.
    pub fn into_settings(self) -> Result<Settings, WireSettingsError> {
        Ok(Settings {
            gateways: self.gateways,
            rank: self.rank,
            zone: self.zone,
            classes: self.classes.into_iter().map(request_class).collect::<Result<_, _>>()?,
            plans: self.plans.into_iter().map(plan).collect(),
            max_attempts: self.allowed.max_attempts,
            allow_hedging: self.allowed.hedging,
            allow_health_checks: self.allowed.health_checks,
            allow_trial_requests: false,
            retry_budget: RetryBudget::DEFAULT,
            allow_cancellation: self.allowed.cancel,
            subscribe_to_list: match self.discovery.as_str() {
                "automatic" => false,
                "subscribe" => true,
                other => return Err(WireSettingsError::UnknownDiscovery(other.to_owned())),
            },
            max_retry_after: self.allowed.retry_after.then_some(self.allowed.max_retry_after_ms),
            meter_period: (self.metering.meter_period_ms > 0.0).then_some(self.metering.meter_period_ms),
            cross_zone_cost: self.prices.cross_zone,
            slow_start_capacity: self.slow_start.initial_capacity,
            slow_start_duration: self.slow_start.duration_ms,
            overload_factor: self.slow_start.overload_factor,
            overload_window: self.slow_start.overload_window_ms,
        })
    }
}

fn request_class(class: WireClass) -> Result<RequestClass, WireSettingsError> {
    let effect = match (class.effect.as_str(), class.key_scope.as_str()) {
        ("safe", _) => Effect::Safe,
        ("unsafe", _) => Effect::Unsafe,
        ("keyed", "all") => Effect::Keyed(KeyScope::All),
        ("keyed", "zone") => Effect::Keyed(KeyScope::Zone),
        ("keyed", "cell") => Effect::Keyed(KeyScope::Cell),
        (effect, scope) => {
            return Err(WireSettingsError::UnknownEffect {
                effect: effect.to_owned(),
                scope: scope.to_owned(),
            });
        }
    };
    Ok(RequestClass {
        name: class.name,
        latency_target: class.latency_target_ms,
        deadline: class.deadline_ms,
        value: class.value,
        late_value: class.late_value,
        effect,
        initial_work: None,
        key_window: class.key_window_ms,
    })
}

fn plan(plan: WirePlan) -> Plan {
    Plan {
        name: plan.name,
        rate: plan.rate,
        burst: plan.burst,
        max_in_flight: plan.max_in_flight,
        price: plan.price,
        excess_value: plan.excess_value,
        excess_cost: plan.excess_cost,
        limit_rate: plan.limit_rate,
        limit_burst: plan.limit_burst,
        limit_slack: plan.limit_slack,
    }
}
