//! Strict reading of a client's request head: what cannot be used is turned away here, before it costs an
//! app server work or a customer units.

use hyper::header::{self, HeaderMap};
use hyper::http::request::Parts;
use hyper::Method;
use ivygate_gateway::{Bounds, Effect, Settings};
use ivygate_runtime::{single_value, Head};
use ivygate_time::Millis;
use std::sync::Arc;

/// Longest id; far more than any client's.
const ID_MOST: usize = 64;
/// Longest key of a keyed request.
const KEY_MOST: usize = 128;
/// Customers are numbers below this.
const CUSTOMERS: u64 = 1 << 33;

/// Reads heads by what the settings allow.
pub struct Reader {
    classes: Vec<(Arc<str>, Effect)>,
    plans: Vec<Arc<str>>,
    bounds: Bounds,
}

impl Reader {
    /// A reader for these settings.
    pub fn new(settings: &Settings, bounds: Bounds) -> Self {
        Self {
            classes: settings.classes.iter().map(|c| (c.name.as_str().into(), c.effect)).collect(),
            plans: settings.plans.iter().map(|p| p.name.as_str().into()).collect(),
            bounds,
        }
    }

    /// Reads a head.
    ///
    /// # Errors
    /// Says what is wrong with it.
    pub fn read(&self, head: &Parts) -> Result<Head, &'static str> {
        let headers = &head.headers;
        let id = single_value(headers, "req-id")?.filter(|id| is_name(id, ID_MOST));
        let id = id.ok_or("Req-Id is missing or malformed")?;
        let kind = single_value(headers, "req-kind")?.ok_or("Req-Kind is missing")?;
        let (class, effect) =
            self.classes.iter().find(|(name, _)| **name == *kind).ok_or("Req-Kind is unknown")?;
        let plan = single_value(headers, "api-plan")?.ok_or("Api-Plan is missing")?;
        let plan = self.plans.iter().find(|name| ***name == *plan).ok_or("Api-Plan is unknown")?;
        let customer = customer(headers).ok_or("the cookie 'customer' is missing or malformed")?;
        let wait = single_value(headers, "req-deadline")?.and_then(duration);
        // Guards the timers and what is kept for a request against a client that would wait for ever.
        let wait = wait.filter(|wait| *wait <= self.bounds.longest_wait);
        let wait = wait.ok_or("Req-Deadline is missing, malformed or too long")?;
        let terms = single_value(headers, "api-terms")?.and_then(|text| self.terms(text));
        let (units, width) = terms.ok_or("Api-Terms is missing, malformed or out of range")?;
        let method = if *effect == Effect::Safe { Method::GET } else { Method::POST };
        if head.method != method {
            return Err("the method does not fit the class");
        }
        // Guards the app servers' memory of keys: without one they could not drop a repeat.
        match (single_value(headers, "idempotency-key")?, matches!(effect, Effect::Keyed(_))) {
            (Some(key), true) if is_name(key, KEY_MOST) => {}
            (None, false) => {}
            _ => return Err("Idempotency-Key does not fit the class"),
        }
        let (class, plan) = (class.clone(), plan.clone());
        let once = *effect == Effect::Unsafe;
        Ok(Head {
            id: id.into(),
            class,
            plan,
            customer,
            units,
            gateways: width,
            timeout: wait,
            at_most_once: once,
            zones: None,
            max_attempts: None,
        })
    }

    /// Units and the number of nodes through which the customer may come.
    fn terms(&self, text: &str) -> Option<(f64, u32)> {
        let (mut units, mut spread, mut first) = (None, None, None);
        for pair in text.split(',') {
            let (name, value) = pair.split_once('=')?;
            let place = match name.trim() {
                "units" => &mut units,
                "spread" => &mut spread,
                "first" => &mut first,
                _ => continue,
            };
            // Guards against terms that contradict themselves.
            if place.replace(number(value.trim())?).is_some() {
                return None;
            }
        }
        let (units, nodes) = (units?, f64::from(self.bounds.nodes));
        let spread = spread.filter(|n| n.fract() == 0.0 && (1.0..=nodes).contains(n))?;
        let first = first.filter(|n| n.fract() == 0.0 && *n < nodes);
        (units > 0.0 && units <= self.bounds.most_units && first.is_some()).then_some((units, spread as u32))
    }
}

fn is_name(text: &str, most: usize) -> bool {
    let fits = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':' | b'~');
    !text.is_empty() && text.len() <= most && text.bytes().all(fits)
}

/// The customer's number, 16 hexadecimal digits, always written alike: another spelling would be another
/// customer to the quotas.
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
    let number = u64::from_str_radix(value, 16).ok().filter(|number| *number < CUSTOMERS)?;
    Some(format!("{number:016x}").into())
}

/// A plain decimal number, with no sign, exponent or word in it.
fn number(text: &str) -> Option<f64> {
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse().ok().filter(|_| plain && !text.is_empty())
}

/// A number and a unit, `m` for milliseconds or `u` for microseconds.
fn duration(text: &str) -> Option<Millis> {
    let (value, factor) = match text.strip_suffix('m') {
        Some(value) => (value, 1.0),
        None => (text.strip_suffix('u')?, 0.001),
    };
    number(value).filter(|n| *n > 0.0).map(|n| n * factor)
}
