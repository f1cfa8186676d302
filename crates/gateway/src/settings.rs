//! Tells settings that can be acted on from those that cannot.

use crate::interface::Settings;
use std::fmt;

/// Why settings cannot be acted on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingsError {}

/// Settings that cannot be acted on are named.
pub(crate) fn check(settings: &Settings) -> Result<(), SettingsError> {
    let fail = |what: String| Err(SettingsError(what));
    let bad = |v: f64| !v.is_finite() || v < 0.0;
    if settings.classes.is_empty() {
        return fail("classes: none given".into());
    }
    if settings.plans.is_empty() {
        return fail("plans: none given".into());
    }
    if settings.gateways == 0 || settings.rank >= settings.gateways {
        return fail(format!("rank: {} is outside the {} gateways", settings.rank, settings.gateways));
    }
    if settings.max_attempts == 0 {
        return fail("max_attempts: 0".into());
    }
    for c in &settings.classes {
        if bad(c.aim)
            || bad(c.deadline)
            || c.aim == 0.0
            || bad(c.worth)
            || bad(c.late_worth)
            || bad(c.key_window)
        {
            return fail(format!("class {}: a negative or missing figure", c.name));
        }
    }
    for p in &settings.plans {
        let figures = [
            p.rate,
            p.burst,
            p.price,
            p.extra_worth,
            p.excess_cost,
            p.ceiling_rate,
            p.ceiling_burst,
            p.ceiling_slack,
        ];
        if figures.into_iter().any(bad) || (p.rate > 0.0 && p.burst == 0.0) {
            return fail(format!("plan {}: a negative or missing figure", p.name));
        }
    }
    let figures = [
        ("cold_from", settings.cold_from),
        ("warm_after", settings.warm_after),
        ("fall_multiple", settings.fall_multiple),
        ("fall_window", settings.fall_window),
        ("cross_zone_price", settings.cross_zone_price),
        ("meter_period", settings.meter_period.unwrap_or(0.0)),
        ("max_retry_after", settings.max_retry_after.unwrap_or(0.0)),
    ];
    match figures.into_iter().find(|(_, v)| bad(*v)) {
        Some((name, value)) => fail(format!("{name}: {value} cannot be acted on")),
        None => Ok(()),
    }
}
