//! The settings object, as the simulator's wire and a node's configuration both give it.

use crate::settings::{Effect, KeyScope, Plan, RequestClass, RetryBudget, Settings};
use ivygate_time::Millis;
use serde::Deserialize;

/// The settings object as it is written; [`WireSettings::into_settings`] gives what a gateway acts on.
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

/// What the settings tell of connections to app servers; a decision needs none of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionSettings {
    /// A connection not established by then has failed; `None` where the settings do not tell.
    pub connect_timeout: Option<Millis>,
    /// App servers close a connection that has stood idle for this long; `None` if they do not tell.
    pub keepalive: Option<Millis>,
}

/// Bounds on what a request may say of itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// Number of nodes.
    pub nodes: u32,
    /// Most units that one request counts; infinite where the settings do not tell.
    pub max_units: f64,
    /// Longest time that a client may say it waits: twice the longest deadline of all classes.
    pub max_wait: Millis,
}

/// Why a settings object can't be acted on.
#[derive(Debug, thiserror::Error)]
pub enum WireSettingsError {
    /// It is no JSON, or a key is missing or malformed.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// It names a way of discovery that does not exist.
    #[error("unknown discovery '{0}'")]
    UnknownDiscovery(String),
    /// A class has an effect that does not exist, or a key without a scope that does.
    #[error("classes: unknown effect '{effect}' with keyScope '{scope}'")]
    UnknownEffect {
        /// The effect.
        effect: String,
        /// The scope of its key.
        scope: String,
    },
}

impl WireSettings {
    /// Reads a settings object.
    ///
    /// # Errors
    /// Names the key that is missing or malformed.
    pub fn parse(text: &str) -> Result<Self, WireSettingsError> {
        Ok(serde_json::from_str(text)?)
    }

    /// The part about connections.
    pub fn connection_settings(&self) -> ConnectionSettings {
        let given = |ms: f64| Some(ms).filter(|ms| ms.is_finite() && *ms > 0.0);
        ConnectionSettings {
            connect_timeout: given(self.allowed.connect_timeout_ms),
            keepalive: given(self.allowed.keepalive_ms),
        }
    }

    /// What a request may say of itself.
    pub fn request_limits(&self) -> RequestLimits {
        let deadlines = self.classes.iter().map(|c| c.deadline_ms);
        RequestLimits {
            nodes: self.balancers,
            max_units: if self.domain.units_top > 0.0 { self.domain.units_top } else { f64::INFINITY },
            max_wait: 2.0 * deadlines.fold(0.0, f64::max),
        }
    }

    /// What a gateway acts on.
    ///
    /// # Errors
    /// Names the key whose value is unknown.
    pub fn into_settings(self) -> Result<Settings, WireSettingsError> {
        Ok(Settings {
            gateways: self.balancers,
            rank: self.rank,
            zone: self.az,
            classes: self.classes.into_iter().map(class).collect::<Result<_, _>>()?,
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

fn class(c: WireClass) -> Result<RequestClass, WireSettingsError> {
    let effect = match (c.effect.as_str(), c.key_scope.as_str()) {
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
        name: c.name,
        latency_target: c.aim_ms,
        deadline: c.deadline_ms,
        value: c.worth,
        late_value: c.late_worth,
        effect,
        initial_work: None,
        key_window: c.window_ms,
    })
}

fn plan(c: Contract) -> Plan {
    Plan {
        name: c.name,
        rate: c.refill,
        burst: c.most_at_once,
        max_in_flight: c.parallel,
        price: c.worth_factor,
        excess_value: c.extra_worth,
        excess_cost: c.excess_cost,
        limit_rate: c.cap_rate,
        limit_burst: c.cap_depth,
        limit_slack: c.tolerance,
    }
}
