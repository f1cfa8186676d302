//! Quotas of customers, by this gateway alone: no other needs to be asked.
//!
//! The ordinary path keeps no record: a count-min sketch adds up what this gateway has sent for each customer, and whoever stays
//! within the gateway's even slice is within the quota. Exceptions get an exact record: a customer that passes its slice (a sudden
//! burst), and one whose metered use over all gateways is too high (an excess spread under every slice). Of theirs, only a part
//! passes, which follows the meter.

use crate::api::Arrival;
use crate::customer_record::{CustomerRecord, MeterReading};
use crate::gateway::Gateway;
use crate::settings::Plan;
use ivygate_time::{Millis, Timestamp};
use std::collections::VecDeque;
use std::sync::Arc;

/// Bounds on the even parts of its requests that a gateway is first taken to get: one over the cost of an excess, since rejecting
/// within the quota costs one. The dearer the error, the less is let through unknown.
const MIN_OWN_PARTS: f64 = 0.8;
const MAX_OWN_PARTS: f64 = 1.6;
/// The pass ratio with which a customer starts where even slices are smaller than a request: what passes before the first reading
/// is beyond every slice, at each gateway anew. Rejected clients ask others, and get through.
const INITIAL_PASS_RATIO: f64 = 0.38;
/// Least pass ratio: with none passing no reading would come back, and an excess that other gateways send would cut this one's
/// part to nothing.
const MIN_PASS_RATIO: f64 = 0.05;
/// Most of a request's fraction that is saved up.
const MAX_PASS_CREDIT: f64 = 1.5;
/// Weight of one reading in the part of a customer's use that is this gateway's: some periods.
const OWN_RATIO_WEIGHT: f64 = 0.25;
/// How long a meter reading is believed: some periods and a late report.
const READING_LIFETIME: Millis = 6_000.0;
/// And at the least for as many of this gateway's even units at the full rate.
const READING_REQUESTS: f64 = 3.0;
/// Age of a metered period's end when its reading arrives: a usual reporting delay.
const READING_DELAY: Millis = 800.0;
/// A changed reading is a new period's only after this part of a period; answers may overtake each other.
const MIN_READING_SPACING: f64 = 0.5;
/// A customer's own part is never taken for less than this part of an even one.
const MIN_OWN_RATIO: f64 = 0.5;
/// Two sketches that take turns every half window hold between a half and a whole one: half a window in milliseconds, for a
/// bucket of one second's units.
const HALF_WINDOW: Millis = 500.0;

/// How a request stands to its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum QuotaStatus {
    /// Within the quota.
    Within,
    /// Beyond the quota.
    Exceeded,
    /// Would pass the hard rate limit.
    RateLimited,
}

impl Gateway {
    /// Units of a customer that this gateway has sent within about a window, and perhaps some of others.
    fn sent_lately(&mut self, plan: usize, customer: &str) -> f64 {
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

    /// How a request stands to its customer's quota and rate limit.
    pub(crate) fn quota_status(&mut self, plan: usize, arrival: &Arrival) -> QuotaStatus {
        let limits = self.settings.plans[plan].clone();
        let gateways = f64::from(arrival.gateways);
        let key = &arrival.customer;
        let mut status = QuotaStatus::Within;
        if limits.max_in_flight > 0
            && self.plans[plan].in_flight.estimate(key) >= in_flight_slice(&limits, gateways)
        {
            status = QuotaStatus::Exceeded;
        }
        let sent = if limits.rate > 0.0 { self.sent_lately(plan, key) } else { 0.0 };
        let is_heavy = limits.rate > 0.0 && sent + arrival.units > limits.burst / gateways;
        // Only heavy customers and those under a rate limit have an exact record: scans must not fill memory.
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

    /// The exact record of a customer, made if there is none.
    fn customer_record(&mut self, plan: usize, key: &Arc<str>, gateways: f64, sent: f64) {
        let (now, started_at) = (self.now, self.started_at.unwrap_or(self.now));
        let limits = &self.settings.plans[plan];
        let is_slice_small = limits.burst < gateways;
        let (pass_ratio, pass_credit) =
            if is_slice_small { (INITIAL_PASS_RATIO, self.rng.f64()) } else { (1.0, 0.0) };
        let own_parts = (1.0 / limits.excess_cost).clamp(MIN_OWN_PARTS, MAX_OWN_PARTS);
        let own_ratio = (own_parts / gateways).min(1.0);
        // An earlier run of this gateway may have emptied its part just before this one began.
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

    /// Counts a request when its first attempt is sent.
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

    /// A reading of the meter: use over all gateways in the last period, in percent of the rate.
    pub(crate) fn handle_meter_reading(&mut self, plan: usize, key: &Arc<str>, gateways: f64, percent: f64) {
        let Some(period) = self.settings.meter_period else { return };
        let limits = self.settings.plans[plan].clone();
        if limits.rate <= 0.0 {
            return;
        }
        // An excess that is spread under every slice is seen by the meter only.
        if percent > 100.0 && !self.customers.contains_key(key) {
            let sent = self.sent_lately(plan, key);
            self.customer_record(plan, key, gateways, sent);
        }
        let now = self.now;
        if let Some(customer) = self.customers.get_mut(key) {
            customer.handle_reading(now, &limits, period, percent);
        }
    }
}

impl CustomerRecord {
    /// How a request of a heavy customer stands to the quota; `status` is how it stands to the attempts in flight.
    fn heavy_status(
        &mut self,
        now: Timestamp,
        plan: &Plan,
        gateways: f64,
        units: f64,
        status: QuotaStatus,
    ) -> QuotaStatus {
        let told_at = self.reading.map_or(self.created_at, |reading| reading.at);
        let is_known = self.reading.is_some() || self.pass_ratio < 1.0;
        if is_known && now > told_at.plus_millis(reading_lifetime(plan, gateways)) {
            self.reading = None;
            self.set_pass_ratio(now, 1.0, READING_LIFETIME);
        }
        // A sudden burst: what this gateway alone sent beyond rate and burst is beyond the quota whatever the others sent. This
        // acts before the meter says so.
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

    /// The time that a reading covers; `None` if it is of the same period as the last.
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
        // A reading is late: it tells of the ratio then in force, and must not cut the next one again.
        let ratio = self.pass_ratio_at(now.minus_millis(READING_DELAY).minus_millis(period / 2.0));
        let cut = 100.0 / percent.max(1.0);
        // Gateways that have heard nothing yet pass what this one is told of: it makes up for one more.
        let is_slice_small = plan.burst < self.gateways;
        let cut = if is_first && is_slice_small { cut.min(cut * cut) } else { cut };
        self.set_pass_ratio(now, (ratio * cut).clamp(MIN_PASS_RATIO, 1.0), READING_LIFETIME);
    }
}

/// How long a reading is believed: at the least for the time in which some requests come here of a customer that uses its quota,
/// since only their answers bring the next one.
pub(crate) fn reading_lifetime(plan: &Plan, gateways: f64) -> Millis {
    let needed = if plan.rate > 0.0 { READING_REQUESTS * 1000.0 * gateways / plan.rate } else { 0.0 };
    READING_LIFETIME.max(needed)
}

/// This gateway's part of the attempts that a customer may have in flight, one at the least.
fn in_flight_slice(plan: &Plan, gateways: f64) -> f64 {
    (f64::from(plan.max_in_flight) / gateways).ceil()
}
