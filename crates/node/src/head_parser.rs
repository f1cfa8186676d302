//! Strict parsing of request heads: an invalid request is rejected here, before it causes work for an app
//! server or takes units of a customer.

use hyper::header::{self, HeaderMap};
use hyper::http::request::Parts;
use hyper::Method;
use ivygate_gateway::{Effect, RequestLimits, Settings};
use ivygate_runtime::{single_value, Head};
use ivygate_time::Millis;
use std::sync::Arc;

/// Maximum length of a request id, in bytes.
const MAX_ID_BYTES: usize = 64;
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;
/// Upper bound of customer numbers, exclusive.
const CUSTOMER_LIMIT: u64 = 1 << 33;

/// Parses request heads and checks them against the settings.
pub struct HeadParser {
    classes: Vec<(Arc<str>, Effect)>,
    plans: Vec<Arc<str>>,
    limits: RequestLimits,
}

impl HeadParser {
    /// Creates a parser for these settings.
    pub fn new(settings: &Settings, limits: RequestLimits) -> Self {
        Self {
            classes: settings.classes.iter().map(|c| (c.name.as_str().into(), c.effect)).collect(),
            plans: settings.plans.iter().map(|p| p.name.as_str().into()).collect(),
            limits,
        }
    }

    /// Parses a request head.
    ///
    /// # Errors
    /// The reason for which the head is invalid.
    pub fn parse(&self, head: &Parts) -> Result<Head, &'static str> {
        let headers = &head.headers;
        let id = single_value(headers, "req-id")?.filter(|id| is_name(id, MAX_ID_BYTES));
        let id = id.ok_or("Req-Id is missing or malformed")?;
        let kind = single_value(headers, "req-kind")?.ok_or("Req-Kind is missing")?;
        let (class, effect) =
            self.classes.iter().find(|(name, _)| **name == *kind).ok_or("Req-Kind is unknown")?;
        let plan = single_value(headers, "api-plan")?.ok_or("Api-Plan is missing")?;
        let plan = self.plans.iter().find(|name| ***name == *plan).ok_or("Api-Plan is unknown")?;
        let customer = customer(headers).ok_or("the cookie 'customer' is missing or malformed")?;
        let timeout = single_value(headers, "req-deadline")?.and_then(duration);
        // Limits how long timers and the state of a request are kept for a client.
        let timeout = timeout.filter(|timeout| *timeout <= self.limits.max_wait);
        let timeout = timeout.ok_or("Req-Deadline is missing, malformed or too long")?;
        let terms = single_value(headers, "api-terms")?.and_then(|text| self.terms(text));
        let (units, gateways) = terms.ok_or("Api-Terms is missing, malformed or out of range")?;
        let method = if *effect == Effect::Safe { Method::GET } else { Method::POST };
        if head.method != method {
            return Err("the method does not fit the class");
        }
        // App servers recognize repeats of a keyed request by its key.
        match (single_value(headers, "idempotency-key")?, matches!(effect, Effect::Keyed(_))) {
            (Some(key), true) if is_name(key, MAX_KEY_BYTES) => {}
            (None, false) => {}
            _ => return Err("Idempotency-Key does not fit the class"),
        }
        let (class, plan) = (class.clone(), plan.clone());
        let at_most_once = *effect == Effect::Unsafe;
        Ok(Head {
            id: id.into(),
            class,
            plan,
            customer,
            units,
            gateways,
            timeout,
            at_most_once,
            zones: None,
            max_attempts: None,
        })
    }

    /// Parses the units of a request and the number of nodes through which the customer's requests may come.
    fn terms(&self, text: &str) -> Option<(f64, u32)> {
        let (mut units, mut spread, mut first) = (None, None, None);
        for pair in text.split(',') {
            let (name, value) = pair.split_once('=')?;
            let slot = match name.trim() {
                "units" => &mut units,
                "spread" => &mut spread,
                "first" => &mut first,
                _ => continue,
            };
            // A repeated term could contradict the first one.
            if slot.replace(number(value.trim())?).is_some() {
                return None;
            }
        }
        let (units, nodes) = (units?, f64::from(self.limits.nodes));
        let spread = spread.filter(|n| n.fract() == 0.0 && (1.0..=nodes).contains(n))?;
        let first = first.filter(|n| n.fract() == 0.0 && *n < nodes);
        (units > 0.0 && units <= self.limits.max_units && first.is_some()).then_some((units, spread as u32))
    }
}

fn is_name(text: &str, max_bytes: usize) -> bool {
    let is_name_byte = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':' | b'~');
    !text.is_empty() && text.len() <= max_bytes && text.bytes().all(is_name_byte)
}

/// Returns the customer's number as 16 lower-case hexadecimal digits: quotas compare it as text, so it must
/// have one spelling.
fn customer(headers: &HeaderMap) -> Option<Arc<str>> {
    let cookies = headers.get_all(header::COOKIE).iter().filter_map(|v| v.to_str().ok());
    let mut values = cookies.flat_map(|v| v.split(';')).filter_map(|c| c.trim().strip_prefix("customer="));
    let value = values.next()?;
    if values.any(|other| other != value) {
        return None;
    }
    if value.len() != 16 || !value.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let number = u64::from_str_radix(value, 16).ok().filter(|number| *number < CUSTOMER_LIMIT)?;
    Some(format!("{number:016x}").into())
}

/// Parses a decimal number without sign or exponent; `inf` and `nan` are rejected.
fn number(text: &str) -> Option<f64> {
    let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse().ok().filter(|_| is_decimal && !text.is_empty())
}

/// Parses a duration: a number and a unit, `m` for milliseconds or `u` for microseconds.
fn duration(text: &str) -> Option<Millis> {
    let (value, factor) = match text.strip_suffix('m') {
        Some(value) => (value, 1.0),
        None => (text.strip_suffix('u')?, 0.001),
    };
    number(value).filter(|n| *n > 0.0).map(|n| n * factor)
}
