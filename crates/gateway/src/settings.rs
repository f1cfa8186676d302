//! Settings of a gateway and their validation.

use ivygate_time::Millis;

/// The settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of gateways that share the servers.
    pub gateways: u32,
    /// Index of this gateway, from 0.
    pub rank: u32,
    /// Zone of this gateway.
    pub zone: String,
    /// Classes of requests.
    pub classes: Vec<RequestClass>,
    /// Plans of the customers.
    pub plans: Vec<Plan>,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Allows two attempts of a request in flight at once.
    pub allow_hedging: bool,
    /// Allows health checks of servers.
    pub allow_health_checks: bool,
    /// Allows a gateway with nothing in flight to send one request even if it estimates all servers to be too slow. Without such
    /// trials, a gateway whose servers get no other traffic would never correct an estimate made while they were slow.
    pub allow_trial_requests: bool,
    /// Allows attempts to be cancelled.
    pub allow_cancellation: bool,
    /// Set if changes of the server list are delivered only after a subscription.
    pub subscribe_to_list: bool,
    /// Longest retry-after that clients honour; `None` to send none.
    pub max_retry_after: Option<Millis>,
    /// Budget of retries.
    pub retry_budget: RetryBudget,
    /// Period over which the meter sums up usage; `None` without a meter.
    pub meter_period: Option<Millis>,
    /// Cost of an attempt that crosses zones, as a share of the request's value.
    pub cross_zone_cost: f64,
    /// Share of its capacity that a server has at least when it has just started.
    pub slow_start_capacity: f64,
    /// Time after its start at which a server has its full capacity.
    pub slow_start_duration: Millis,
    /// A server that is warming up fails when it gets this many times its current capacity ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_window: Millis,
}

/// Budget of retries of a gateway, for each pool of servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries earned by each request.
    pub ratio: f64,
    /// Maximum number of retries that accumulate.
    pub burst: f64,
    /// Charges a retry to the budget even if all earlier attempts are known not to have run.
    pub counts_never_run: bool,
}

impl RetryBudget {
    /// Default budget: limits the extra load to 15 %, so that failing servers do not double it.
    pub const DEFAULT: Self = Self { ratio: 0.15, burst: 15.0, counts_never_run: false };
}

/// Effect of a request, which determines whether it may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The request may run any number of times.
    Safe,
    /// The request has an idempotency key: servers within the scope drop repeats for a limited time.
    Keyed(KeyScope),
    /// The request must never run twice.
    Unsafe,
}

/// Scope of an idempotency key: the servers that drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// Time within which a response has the full value.
    pub latency_target: Millis,
    /// Time after which a client gives up, including its own retries.
    pub deadline: Millis,
    /// Value of one request.
    pub value: f64,
    /// Share of the value of a response after the latency target.
    pub late_value: f64,
    /// Effect of its requests.
    pub effect: Effect,
    /// Initial estimate of the work of a request on an idle server; a share of the latency target if `None`.
    pub initial_work: Option<Millis>,
    /// Time during which repeats of a keyed request are dropped, from the first attempt that may have run.
    pub key_window: Millis,
}

/// A plan. Its quotas apply to each customer over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Quota in units per second; 0 for none.
    pub rate: f64,
    /// Capacity of the quota's token bucket in units.
    pub burst: f64,
    /// Maximum number of attempts in flight; 0 for no limit.
    pub max_in_flight: u32,
    /// Factor of the value of its requests.
    pub price: f64,
    /// Share of its value that a request beyond the quota earns.
    pub excess_value: f64,
    /// Share of its value that sending a request beyond the quota costs.
    pub excess_cost: f64,
    /// Hard rate limit in units per second; 0 for none.
    pub limit_rate: f64,
    /// Capacity of the rate limit's token bucket in units.
    pub limit_burst: f64,
    /// Units by which the rate limit's token bucket may become negative.
    pub limit_slack: f64,
}

impl Plan {
    /// Creates a plan without quotas and rate limits.
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

/// Error in the settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// There are no classes of requests.
    #[error("classes: at least one class is required")]
    NoClasses,
    /// There are no plans.
    #[error("plans: at least one plan is required")]
    NoPlans,
    /// The gateway's index is not below the number of gateways.
    #[error("rank: {rank} must be below the number of gateways, {gateways}")]
    RankOutOfRange {
        /// The gateway's index.
        rank: u32,
        /// The number of gateways.
        gateways: u32,
    },
    /// The maximum number of attempts is 0.
    #[error("max_attempts: 0 must be at least 1")]
    NoAttempts,
    /// A number of a class is negative, not finite or missing.
    #[error("class {class}: a number is negative, not finite or missing")]
    InvalidClass {
        /// The class.
        class: String,
    },
    /// A number of a plan is negative or not finite, or its quota has an empty bucket.
    #[error("plan {plan}: a number is negative, not finite or missing")]
    InvalidPlan {
        /// The plan.
        plan: String,
    },
    /// Another number is negative or not finite.
    #[error("{setting}: {value} must be a finite number of at least 0")]
    InvalidNumber {
        /// The setting.
        setting: &'static str,
        /// Its value.
        value: String,
    },
}

fn is_invalid(number: f64) -> bool {
    !number.is_finite() || number < 0.0
}

impl RequestClass {
    fn is_valid(&self) -> bool {
        let numbers = [self.latency_target, self.deadline, self.value, self.late_value, self.key_window];
        self.latency_target != 0.0 && !numbers.into_iter().any(is_invalid)
    }
}

impl Plan {
    fn is_valid(&self) -> bool {
        let numbers = [
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
        !has_empty_bucket && !numbers.into_iter().any(is_invalid)
    }
}

impl Settings {
    /// Validates the settings.
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
        self.check_numbers()
    }

    fn check_numbers(&self) -> Result<(), SettingsError> {
        let numbers = [
            ("slow_start_capacity", self.slow_start_capacity),
            ("slow_start_duration", self.slow_start_duration),
            ("overload_factor", self.overload_factor),
            ("overload_window", self.overload_window),
            ("cross_zone_cost", self.cross_zone_cost),
            ("meter_period", self.meter_period.unwrap_or(0.0)),
            ("max_retry_after", self.max_retry_after.unwrap_or(0.0)),
        ];
        match numbers.into_iter().find(|(_, value)| is_invalid(*value)) {
            Some((setting, value)) => Err(SettingsError::InvalidNumber { setting, value: value.to_string() }),
            None => Ok(()),
        }
    }
}
