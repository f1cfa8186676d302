//! Quotas of customers, enforced by each gateway without communication with the others.
//!
//! Most customers need no record: a count-min sketch sums up the units that this gateway has sent for each customer, and a
//! customer that stays within the gateway's equal share of the quota is within the quota. Two kinds of customers get an exact
//! record: those that exceed this share (a sudden burst), and those whose metered usage over all gateways is too high although
//! they stay within the share at each one. Of their requests only a ratio passes, which follows the meter readings.

use crate::api::Arrival;
use crate::customer_record::{CustomerRecord, MeterReading};
use crate::gateway::Gateway;
use crate::settings::Plan;
use ivygate_time::{Millis, Timestamp};
use std::collections::VecDeque;
use std::sync::Arc;

/// Bounds of the share of a customer's requests that a gateway is first assumed to get, in equal shares. The share is the
/// reciprocal of the cost of an excess, relative to the cost 1 of a wrong rejection: the more an excess costs, the less passes
/// unmetered.
const MIN_INITIAL_OWN_SHARES: f64 = 0.8;
const MAX_INITIAL_OWN_SHARES: f64 = 1.6;
/// Initial pass ratio of a customer whose equal share is less than one request. Requests that pass before the first meter reading
/// exceed the share at each gateway; rejected clients retry at other gateways and pass there.
const INITIAL_PASS_RATIO: f64 = 0.38;
/// Minimum pass ratio: without passing requests no meter reading would return, and an excess sent by other gateways would stop
/// this gateway's requests altogether.
const MIN_PASS_RATIO: f64 = 0.05;
/// Maximum pass credit that accumulates, in requests.
const MAX_PASS_CREDIT: f64 = 1.5;
/// Weight of one reading in the estimated share of this gateway in a customer's usage; averages over some periods.
const OWN_RATIO_WEIGHT: f64 = 0.25;
/// Lifetime of a meter reading: some periods and the reporting delay.
const READING_LIFETIME: Millis = 6_000.0;
/// Minimum lifetime of a meter reading: the time in which this gateway's equal share of the rate allows this many units.
const MIN_READING_LIFETIME_UNITS: f64 = 3.0;
/// Typical delay between the end of a metered period and the arrival of its reading.
const READING_DELAY: Millis = 800.0;
/// Share of a period after which a changed reading counts as one of a new period; earlier changes come from reordered responses.
const MIN_READING_SPACING: f64 = 0.5;
/// Minimum of the estimated share of this gateway in a customer's usage, in equal shares.
const MIN_OWN_RATIO: f64 = 0.5;
/// Half of the quota window for a bucket that holds the units of one second. Two sketches that rotate each half window cover
/// between half a window and a whole one.
const HALF_WINDOW: Millis = 500.0;

/// Result of the quota check of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum QuotaStatus {
    /// Within the quota.
    Within,
    /// Beyond the quota.
    Exceeded,
    /// Beyond the hard rate limit.
    RateLimited,
}

impl Gateway {
    /// Returns the units that this gateway has sent for a customer within about a window; collisions in the sketch may add units
    /// of other customers.
    fn recent_units(&mut self, plan: usize, customer: &str) -> f64 {
        let (limits, usage) = (&self.settings.plans[plan], &mut self.plans[plan]);
        let half_window = HALF_WINDOW * limits.burst / limits.rate;
        if self.now >= usage.rotate_at {
            if self.now >= usage.rotate_at.plus_millis(half_window) {
                usage.sent[0].clear();
            }
            usage.sent.swap(0, 1);
            usage.sent[0].clear();
            usage.rotate_at = self.now.plus_millis(half_window);
        }
        usage.sent[0].estimate(customer) + usage.sent[1].estimate(customer)
    }

    /// Checks a request against its customer's quota and rate limit.
    pub(crate) fn quota_status(&mut self, plan: usize, arrival: &Arrival) -> QuotaStatus {
        let limits = self.settings.plans[plan].clone();
        let gateways = f64::from(arrival.gateways);
        let key = &arrival.customer;
        let mut status = QuotaStatus::Within;
        if limits.max_in_flight > 0
            && self.plans[plan].in_flight.estimate(key) >= in_flight_share(&limits, gateways)
        {
            status = QuotaStatus::Exceeded;
        }
        let sent = if limits.rate > 0.0 { self.recent_units(plan, key) } else { 0.0 };
        let is_heavy = limits.rate > 0.0 && sent + arrival.units > limits.burst / gateways;
        // Only heavy customers and those with a rate limit get an exact record, so that requests with many different customer
        // names do not fill the memory.
        if is_heavy || limits.limit_rate > 0.0 {
            self.customer_record(plan, key, gateways, sent);
        }
        let now = self.now;
        let Some(customer) = self.customers.get_mut(key) else { return status };
        customer.last_seen_at = now;
        customer.fill(now, &limits);
        if limits.rate > 0.0 && (is_heavy || now < customer.heavy_until) {
            status = customer.heavy_status(now, &limits, gateways, arrival.units, status);
        }
        if limits.limit_rate > 0.0 && customer.limit_bucket < arrival.units {
            status = QuotaStatus::RateLimited;
        }
        status
    }

    /// Creates the exact record of a customer if there is none.
    fn customer_record(&mut self, plan: usize, key: &Arc<str>, gateways: f64, sent: f64) {
        let (now, started_at) = (self.now, self.started_at.unwrap_or(self.now));
        let limits = &self.settings.plans[plan];
        let is_share_below_request = limits.burst < gateways;
        let (pass_ratio, pass_credit) =
            if is_share_below_request { (INITIAL_PASS_RATIO, self.rng.f64()) } else { (1.0, 0.0) };
        let own_shares = (1.0 / limits.excess_cost).clamp(MIN_INITIAL_OWN_SHARES, MAX_INITIAL_OWN_SHARES);
        let own_ratio = (own_shares / gateways).min(1.0);
        // Before a restart this gateway may have used up its share of the limit, so the bucket starts empty at the gateway's
        // start.
        let limit_gain = now.millis_since(started_at) / 1000.0 * limits.limit_rate / gateways;
        self.customers.entry(key.clone()).or_insert_with(|| CustomerRecord {
            plan,
            gateways,
            heavy_until: Timestamp::DISTANT_PAST,
            pass_ratio,
            pass_credit,
            pass_ratios: VecDeque::new(),
            metered_bucket: (limits.burst - sent).max(0.0),
            own_ratio,
            own_bucket: (limits.burst - sent / own_ratio).max(0.0),
            own_filled_at: now,
            unmetered: 0.0,
            own_use: own_ratio * limits.rate,
            metered_use: limits.rate,
            reading: None,
            created_at: now,
            limit_bucket: (limits.limit_burst / gateways).min(limit_gain),
            limit_filled_at: now,
            last_seen_at: now,
        });
    }

    /// Counts the units of a request when its first attempt is sent.
    pub(crate) fn count_units(&mut self, plan: usize, key: &Arc<str>, units: f64, is_within: bool) {
        self.plans[plan].sent[0].add(key, units);
        if let Some(customer) = self.customers.get_mut(key) {
            customer.limit_bucket -= units;
            if is_within {
                customer.own_bucket -= units / customer.own_ratio;
                customer.unmetered += units;
                customer.pass_credit = (customer.pass_credit - 1.0).max(0.0);
            }
        }
    }

    /// Handles a meter reading: the usage over all gateways in the last period, in percent of the rate.
    pub(crate) fn handle_meter_reading(&mut self, plan: usize, key: &Arc<str>, gateways: f64, percent: f64) {
        let Some(period) = self.settings.meter_period else { return };
        let limits = self.settings.plans[plan].clone();
        if limits.rate <= 0.0 {
            return;
        }
        // Only the meter shows an excess that stays within the equal share at each gateway.
        if percent > 100.0 && !self.customers.contains_key(key) {
            let sent = self.recent_units(plan, key);
            self.customer_record(plan, key, gateways, sent);
        }
        let now = self.now;
        if let Some(customer) = self.customers.get_mut(key) {
            customer.handle_reading(now, &limits, period, percent);
        }
    }
}

impl CustomerRecord {
    /// Checks a request of a heavy customer against the quota; `status` is the result of the check of attempts in flight.
    fn heavy_status(
        &mut self,
        now: Timestamp,
        plan: &Plan,
        gateways: f64,
        units: f64,
        status: QuotaStatus,
    ) -> QuotaStatus {
        let last_reading_at = self.reading.map_or(self.created_at, |reading| reading.at);
        let is_known = self.reading.is_some() || self.pass_ratio < 1.0;
        if is_known && now > last_reading_at.plus_millis(reading_lifetime(plan, gateways)) {
            self.reading = None;
            self.set_pass_ratio(now, 1.0, READING_LIFETIME);
        }
        // Detects a sudden burst before the meter does: units that this gateway alone sent beyond rate and burst exceed the
        // quota, whatever the other gateways sent.
        if self.own_bucket < units.min(plan.burst) {
            return QuotaStatus::Exceeded;
        }
        if status == QuotaStatus::Within {
            self.pass_credit = (self.pass_credit + self.pass_ratio).min(MAX_PASS_CREDIT);
            if self.pass_credit < 1.0 {
                return QuotaStatus::Exceeded;
            }
        }
        status
    }

    fn handle_reading(&mut self, now: Timestamp, plan: &Plan, period: Millis, percent: f64) {
        let Some(elapsed) = self.new_period(now, period, percent) else { return };
        let is_first = self.reading.is_none();
        self.reading = Some(MeterReading { at: now, percent });
        self.update_own_ratio(plan, elapsed, percent);
        let gain = plan.rate * elapsed / 1000.0 * (1.0 - percent / 100.0);
        self.metered_bucket = (self.metered_bucket + gain).clamp(0.0, plan.burst);
        let is_empty = self.metered_bucket < 1.0;
        if percent > 100.0 && is_empty {
            self.heavy_until = now.plus_millis(reading_lifetime(plan, self.gateways));
        }
        if percent <= 100.0 || is_empty {
            self.cut_pass_ratio(now, plan, period, percent, is_first);
        }
    }

    /// Returns the time that a reading covers, or `None` if it is of the same period as the last one.
    fn new_period(&self, now: Timestamp, period: Millis, percent: f64) -> Option<Millis> {
        let Some(last) = self.reading else { return Some(period) };
        let age = now.millis_since(last.at);
        let is_new = age >= period || (last.percent != percent && age >= MIN_READING_SPACING * period);
        is_new.then_some(age.min(READING_LIFETIME))
    }

    fn update_own_ratio(&mut self, plan: &Plan, elapsed: Millis, percent: f64) {
        let metered = percent / 100.0 * plan.rate * elapsed / 1000.0;
        let keep = 1.0 - OWN_RATIO_WEIGHT;
        self.own_use = keep * self.own_use + self.unmetered;
        self.metered_use = keep * self.metered_use + metered;
        self.own_ratio = (self.own_use / self.metered_use.max(f64::MIN_POSITIVE))
            .clamp(MIN_OWN_RATIO / self.gateways, 1.0);
        self.unmetered = 0.0;
    }

    fn cut_pass_ratio(&mut self, now: Timestamp, plan: &Plan, period: Millis, percent: f64, is_first: bool) {
        // A reading is delayed: it reflects the pass ratio of its own period, so the new ratio is computed from that one.
        let ratio = self.pass_ratio_at(now.minus_millis(READING_DELAY).minus_millis(period / 2.0));
        let cut = 100.0 / percent.max(1.0);
        // Gateways without a reading let the same excess pass, so the first reading is applied twice to make up for one of them.
        let is_share_below_request = plan.burst < self.gateways;
        let cut = if is_first && is_share_below_request { cut.min(cut * cut) } else { cut };
        self.set_pass_ratio(now, (ratio * cut).clamp(MIN_PASS_RATIO, 1.0), READING_LIFETIME);
    }
}

/// Returns the lifetime of a reading: at least the time in which a customer that uses its whole quota sends some requests through
/// this gateway, since only their responses bring the next reading.
pub(crate) fn reading_lifetime(plan: &Plan, gateways: f64) -> Millis {
    let needed =
        if plan.rate > 0.0 { MIN_READING_LIFETIME_UNITS * 1000.0 * gateways / plan.rate } else { 0.0 };
    READING_LIFETIME.max(needed)
}

/// Returns this gateway's equal share of the attempts that a customer may have in flight, at least one.
fn in_flight_share(plan: &Plan, gateways: f64) -> f64 {
    (f64::from(plan.max_in_flight) / gateways).ceil()
}
