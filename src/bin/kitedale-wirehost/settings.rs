//! The settings object of the wire.

use kitedale::{Class, Effect, KeyScope, Plan, Settings};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Setup {
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

/// Reads the settings; the error names the key that is missing or malformed.
pub fn parse(text: &str) -> Result<Settings, String> {
    let setup: Setup = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let classes = setup.classes.into_iter().map(class).collect::<Result<_, _>>()?;
    Ok(Settings {
        gateways: setup.balancers,
        rank: setup.rank,
        zone: setup.az,
        classes,
        plans: setup.contracts.into_iter().map(plan).collect(),
        max_attempts: setup.allowed.most_tries,
        hedging: setup.allowed.second_copies,
        probing: setup.allowed.may_probe,
        cancelling: setup.allowed.cancel,
        list_on_request: match setup.discovery.as_str() {
            "automatic" => false,
            "subscribe" => true,
            other => return Err(format!("unknown discovery '{other}'")),
        },
        max_retry_after: setup.allowed.retry_after.then_some(setup.allowed.max_retry_after_ms),
        meter_period: (setup.domain.use_period_ms > 0.0).then_some(setup.domain.use_period_ms),
        cross_zone_price: setup.prices.cross_zone,
        cold_from: setup.rules.cold_from,
        warm_after: setup.rules.warm_after_ms,
        fall_multiple: setup.rules.fall_multiple,
        fall_window: setup.rules.overload_for_ms,
    })
}

fn class(c: WireClass) -> Result<Class, String> {
    let effect = match (c.effect.as_str(), c.key_scope.as_str()) {
        ("safe", _) => Effect::Safe,
        ("unsafe", _) => Effect::Unsafe,
        ("keyed", "all") => Effect::Keyed(KeyScope::All),
        ("keyed", "zone") => Effect::Keyed(KeyScope::Zone),
        ("keyed", "cell") => Effect::Keyed(KeyScope::Cell),
        (effect, scope) => return Err(format!("classes: unknown effect '{effect}' with keyScope '{scope}'")),
    };
    Ok(Class {
        name: c.name,
        aim: c.aim_ms,
        deadline: c.deadline_ms,
        worth: c.worth,
        late_worth: c.late_worth,
        effect,
        key_window: c.window_ms,
    })
}

fn plan(c: Contract) -> Plan {
    Plan {
        name: c.name,
        rate: c.refill,
        burst: c.most_at_once,
        open: c.parallel,
        price: c.worth_factor,
        extra_worth: c.extra_worth,
        excess_cost: c.excess_cost,
        ceiling_rate: c.cap_rate,
        ceiling_burst: c.cap_depth,
        ceiling_slack: c.tolerance,
    }
}
