//! What a gateway is told of its deployment when it starts.

use ivygate_time::Millis;

/// The settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of gateways before the servers.
    pub gateways: u32,
    /// Number of this gateway, from 0.
    pub rank: u32,
    /// Zone of this gateway.
    pub zone: String,
    /// Classes of requests.
    pub classes: Vec<RequestClass>,
    /// Plans that customers may be on.
    pub plans: Vec<Plan>,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Whether two attempts of a request may be in flight at once.
    pub allow_hedging: bool,
    /// Whether servers may be sent health checks.
    pub allow_health_checks: bool,
    /// Whether a gateway that has nothing in flight sends one request however slow servers are thought to be. Where nobody else
    /// asks them, what was learned in a bad time would else be believed for good.
    pub allow_trial_requests: bool,
    /// Whether an attempt may be cancelled.
    pub allow_cancellation: bool,
    /// Whether changes of the server list come only when asked for.
    pub subscribe_to_list: bool,
    /// Longest retry-after that clients heed; `None` where they are not told.
    pub max_retry_after: Option<Millis>,
    /// How much may be retried.
    pub retry_budget: RetryBudget,
    /// Period over which the meter adds up use; `None` without a meter.
    pub meter_period: Option<Millis>,
    /// Cost of each attempt that crosses zones, as a share of a request's value.
    pub cross_zone_cost: f64,
    /// A server that has just started has at least this share of its capacity.
    pub slow_start_capacity: f64,
    /// And all of it after this time at the latest.
    pub slow_start_duration: Millis,
    /// A server that warms up fails when sent this many times its present capacity ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_window: Millis,
}

/// How much a gateway may retry, for each pool of servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries earned by each request.
    pub ratio: f64,
    /// Most retries saved up.
    pub burst: f64,
    /// Whether a retry counts also where the attempts before it are proven never to have run.
    pub counts_never_run: bool,
}

impl RetryBudget {
    /// What suits a deployment that sets no budget: failing servers do not double the load.
    pub const DEFAULT: Self = Self { ratio: 0.15, burst: 15.0, counts_never_run: false };
}

/// Whether a request may be run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Safe,
    /// Repeats are dropped by the servers of one group, for a time.
    Keyed(KeyScope),
    /// Must never run twice.
    Unsafe,
}

/// The servers that drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All servers.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// An answer within this time earns the full value.
    pub latency_target: Millis,
    /// Time after which a client gives up, over all its tries.
    pub deadline: Millis,
    /// Value of one request.
    pub value: f64,
    /// Share of the value that an answer after the latency target still earns.
    pub late_value: f64,
    /// Whether it may run again.
    pub effect: Effect,
    /// Work of a request on an idle server, as far as it is told; a part of the latency target where it is not.
    pub initial_work: Option<Millis>,
    /// How long repeats of a keyed request are dropped, from the first attempt that may have run.
    pub key_window: Millis,
}

/// A plan, whose quotas hold for each of its customers over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Units a second; 0 for no such quota.
    pub rate: f64,
    /// Most units that the quota's bucket holds.
    pub burst: f64,
    /// Most attempts in flight at once; 0 for no such quota.
    pub max_in_flight: u32,
    /// Factor on the value of its requests.
    pub price: f64,
    /// Share of its value that a request beyond the quota earns.
    pub excess_value: f64,
    /// Share of its value that sending one beyond the quota costs.
    pub excess_cost: f64,
    /// Hard rate limit in units a second; 0 for none.
    pub limit_rate: f64,
    /// Most units that the rate limit's bucket holds.
    pub limit_burst: f64,
    /// Units by which the rate limit's bucket may fall below nothing.
    pub limit_slack: f64,
}

impl Plan {
    /// A plan without quotas and rate limit.
    pub fn unlimited(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            rate: 0.0,
            burst: 0.0,
            max_in_flight: 0,
            price: 1.0,
            excess_value: 0.0,
            excess_cost: 1.0,
            limit_rate: 0.0,
            limit_burst: 0.0,
            limit_slack: 0.0,
        }
    }
}

/// Why settings can't be acted on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// There are no classes of requests.
    #[error("classes: none given")]
    NoClasses,
    /// There are no plans.
    #[error("plans: none given")]
    NoPlans,
    /// The gateway's number is outside the number of gateways.
    #[error("rank: {rank} is outside the {gateways} gateways")]
    RankOutOfRange {
        /// The gateway's number.
        rank: u32,
        /// The number of gateways.
        gateways: u32,
    },
    /// No attempt is allowed.
    #[error("max_attempts: 0")]
    NoAttempts,
    /// A figure of a class is negative or missing.
    #[error("class {class}: a negative or missing figure")]
    InvalidClass {
        /// The class.
        class: String,
    },
    /// A figure of a plan is negative or missing.
    #[error("plan {plan}: a negative or missing figure")]
    InvalidPlan {
        /// The plan.
        plan: String,
    },
    /// Another figure is negative or missing.
    #[error("{setting}: {value} cannot be acted on")]
    InvalidFigure {
        /// The setting.
        setting: &'static str,
        /// Its value, as text.
        value: String,
    },
}

fn is_invalid(figure: f64) -> bool {
    !figure.is_finite() || figure < 0.0
}

impl RequestClass {
    fn is_valid(&self) -> bool {
        let figures = [self.latency_target, self.deadline, self.value, self.late_value, self.key_window];
        self.latency_target != 0.0 && !figures.into_iter().any(is_invalid)
    }
}

impl Plan {
    fn is_valid(&self) -> bool {
        let figures = [
            self.rate,
            self.burst,
            self.price,
            self.excess_value,
            self.excess_cost,
            self.limit_rate,
            self.limit_burst,
            self.limit_slack,
        ];
        let has_empty_bucket = self.rate > 0.0 && self.burst == 0.0;
        !has_empty_bucket && !figures.into_iter().any(is_invalid)
    }
}

impl Settings {
    /// Checks that the settings can be acted on.
    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.plans.is_empty() {
            return Err(SettingsError::NoPlans);
        }
        if self.gateways == 0 || self.rank >= self.gateways {
            return Err(SettingsError::RankOutOfRange { rank: self.rank, gateways: self.gateways });
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        if let Some(class) = self.classes.iter().find(|class| !class.is_valid()) {
            return Err(SettingsError::InvalidClass { class: class.name.clone() });
        }
        if let Some(plan) = self.plans.iter().find(|plan| !plan.is_valid()) {
            return Err(SettingsError::InvalidPlan { plan: plan.name.clone() });
        }
        self.check_figures()
    }

    fn check_figures(&self) -> Result<(), SettingsError> {
        let figures = [
            ("slow_start_capacity", self.slow_start_capacity),
            ("slow_start_duration", self.slow_start_duration),
            ("overload_factor", self.overload_factor),
            ("overload_window", self.overload_window),
            ("cross_zone_cost", self.cross_zone_cost),
            ("meter_period", self.meter_period.unwrap_or(0.0)),
            ("max_retry_after", self.max_retry_after.unwrap_or(0.0)),
        ];
        match figures.into_iter().find(|(_, value)| is_invalid(*value)) {
            Some((setting, value)) => Err(SettingsError::InvalidFigure { setting, value: value.to_string() }),
            None => Ok(()),
        }
    }
}
