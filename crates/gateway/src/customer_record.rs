//! Exact usage record of a customer that is heavy or has a rate limit.

use crate::settings::Plan;
use ivygate_time::{Millis, Timestamp};
use std::collections::VecDeque;

/// A reading of the usage meter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MeterReading {
    pub at: Timestamp,
    /// Usage over all gateways in the last period, in percent of the rate.
    pub percent: f64,
}

/// A pass ratio and the time from which it applied.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PassRatio {
    pub since: Timestamp,
    pub ratio: f64,
}

/// Usage and quota state of a customer.
#[derive(Clone, Debug)]
pub(crate) struct CustomerRecord {
    /// Index of its plan.
    pub plan: usize,
    /// Number of gateways over which its requests are spread.
    pub gateways: f64,
    /// Time until which it counts as heavy because of a meter reading, whatever the sketch says.
    pub heavy_until: Timestamp,
    /// Share of its requests that passes.
    pub pass_ratio: f64,
    /// Accumulated credit; a request passes for each whole unit.
    pub pass_credit: f64,
    /// Recent pass ratios in order of time.
    pub pass_ratios: VecDeque<PassRatio>,
    /// Estimated level of the quota's bucket, drained by metered usage.
    pub metered_bucket: f64,
    /// Estimated share of the customer's usage that passes through this gateway.
    pub own_ratio: f64,
    /// Bucket drained by the units that this gateway sent, divided by `own_ratio`.
    pub own_bucket: f64,
    pub own_filled_at: Timestamp,
    /// Units sent since the last meter reading.
    pub unmetered: f64,
    /// Decaying sum of the units sent by this gateway.
    pub own_use: f64,
    /// Decaying sum of the units metered over all gateways.
    pub metered_use: f64,
    pub reading: Option<MeterReading>,
    pub created_at: Timestamp,
    /// Level of this gateway's share of the rate limit's bucket.
    pub limit_bucket: f64,
    pub limit_filled_at: Timestamp,
    pub last_seen_at: Timestamp,
}

impl CustomerRecord {
    /// Refills the buckets up to `now`.
    pub fn fill(&mut self, now: Timestamp, plan: &Plan) {
        self.own_bucket =
            (self.own_bucket + now.millis_since(self.own_filled_at) / 1000.0 * plan.rate).min(plan.burst);
        self.own_filled_at = now;
        let gain = now.millis_since(self.limit_filled_at) / 1000.0 * plan.limit_rate / self.gateways;
        self.limit_bucket = (self.limit_bucket + gain).min(plan.limit_burst / self.gateways);
        self.limit_filled_at = now;
    }

    /// Sets the pass ratio and drops ratios that were replaced more than `memory` ago.
    pub fn set_pass_ratio(&mut self, now: Timestamp, ratio: f64, memory: Millis) {
        self.pass_ratio = ratio;
        self.pass_ratios.push_back(PassRatio { since: now, ratio });
        while self.pass_ratios.get(1).is_some_and(|next| next.since < now.minus_millis(memory)) {
            self.pass_ratios.pop_front();
        }
    }

    /// Returns the pass ratio that applied at a time: the oldest known one if the time is earlier, 1 if there is none.
    pub fn pass_ratio_at(&self, at: Timestamp) -> f64 {
        let in_force = self.pass_ratios.iter().rev().find(|ratio| ratio.since <= at);
        in_force.or(self.pass_ratios.front()).map_or(1.0, |ratio| ratio.ratio)
    }
}
