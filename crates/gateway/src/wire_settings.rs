//! The JSON form of the settings, used by the simulator's protocol and by a node's configuration file.

use crate::settings::{Effect, KeyScope, Plan, RequestClass, RetryBudget, Settings};
use ivygate_time::Millis;
use serde::Deserialize;

/// The settings of a gateway in their JSON form; [`WireSettings::into_settings`] converts them.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WireSettings {
    allowed: Allowed,
    az: String,
    balancers: u32,
    classes: Vec<WireClass>,
    contracts: Vec<Contract>,
    discovery: String,
    #[serde(default)]
    domain: Domain,
    prices: Prices,
    rank: u32,
    rules: Rules,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Allowed {
    cancel: bool,
    #[serde(default)]
    connect_timeout_ms: f64,
    #[serde(default)]
    keepalive_ms: f64,
    #[serde(default)]
    max_retry_after_ms: f64,
    may_probe: bool,
    most_tries: u32,
    retry_after: bool,
    second_copies: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireClass {
    name: String,
    aim_ms: f64,
    deadline_ms: f64,
    worth: f64,
    #[serde(default)]
    late_worth: f64,
    effect: String,
    #[serde(default)]
    key_scope: String,
    #[serde(default)]
    window_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Contract {
    name: String,
    #[serde(default)]
    refill: f64,
    #[serde(default)]
    most_at_once: f64,
    #[serde(default)]
    parallel: u32,
    worth_factor: f64,
    #[serde(default)]
    extra_worth: f64,
    #[serde(default)]
    excess_cost: f64,
    #[serde(default)]
    cap_rate: f64,
    #[serde(default)]
    cap_depth: f64,
    #[serde(default)]
    tolerance: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Domain {
    use_period_ms: f64,
    units_top: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Prices {
    cross_zone: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Rules {
    cold_from: f64,
    warm_after_ms: f64,
    fall_multiple: f64,
    overload_for_ms: f64,
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
            nodes: self.balancers,
            max_units: if self.domain.units_top > 0.0 { self.domain.units_top } else { f64::INFINITY },
            max_wait: 2.0 * deadlines.fold(0.0, f64::max),
        }
    }

    /// Converts the JSON form to [`Settings`].
    ///
    /// # Errors
    /// Returns an error that names the key whose value is unknown.
    pub fn into_settings(self) -> Result<Settings, WireSettingsError> {
        Ok(Settings {
            gateways: self.balancers,
            rank: self.rank,
            zone: self.az,
            classes: self.classes.into_iter().map(request_class).collect::<Result<_, _>>()?,
            plans: self.contracts.into_iter().map(plan).collect(),
            max_attempts: self.allowed.most_tries,
            allow_hedging: self.allowed.second_copies,
            allow_health_checks: self.allowed.may_probe,
            allow_trial_requests: false,
            retry_budget: RetryBudget::DEFAULT,
            allow_cancellation: self.allowed.cancel,
            subscribe_to_list: match self.discovery.as_str() {
                "automatic" => false,
                "subscribe" => true,
                other => return Err(WireSettingsError::UnknownDiscovery(other.to_owned())),
            },
            max_retry_after: self.allowed.retry_after.then_some(self.allowed.max_retry_after_ms),
            meter_period: (self.domain.use_period_ms > 0.0).then_some(self.domain.use_period_ms),
            cross_zone_cost: self.prices.cross_zone,
            slow_start_capacity: self.rules.cold_from,
            slow_start_duration: self.rules.warm_after_ms,
            overload_factor: self.rules.fall_multiple,
            overload_window: self.rules.overload_for_ms,
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
        latency_target: class.aim_ms,
        deadline: class.deadline_ms,
        value: class.worth,
        late_value: class.late_worth,
        effect,
        initial_work: None,
        key_window: class.window_ms,
    })
}

fn plan(contract: Contract) -> Plan {
    Plan {
        name: contract.name,
        rate: contract.refill,
        burst: contract.most_at_once,
        max_in_flight: contract.parallel,
        price: contract.worth_factor,
        excess_value: contract.extra_worth,
        excess_cost: contract.excess_cost,
        limit_rate: contract.cap_rate,
        limit_burst: contract.cap_depth,
        limit_slack: contract.tolerance,
    }
}
