//! The exact record of a customer that is heavy or has a rate limit.

use crate::settings::Plan;
use ivygate_time::{Millis, Timestamp};
use std::collections::VecDeque;

/// A reading of the meter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MeterReading {
    pub at: Timestamp,
    /// Use over all gateways in the last period, in percent of the rate.
    pub percent: f64,
}

/// A ratio of requests that pass, and since when it was in force.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PassRatio {
    pub since: Timestamp,
    pub ratio: f64,
}

/// What is known of a customer.
#[derive(Clone, Debug)]
pub(crate) struct CustomerRecord {
    /// Index of its plan.
    pub plan: usize,
    /// Gateways through which its requests may come.
    pub gateways: f64,
    /// Heavy by a reading rather than by the sketch, until then.
    pub heavy_until: Timestamp,
    /// Part of its requests that passes.
    pub pass_ratio: f64,
    /// Fraction of a request still to pass.
    pub pass_credit: f64,
    /// Pass ratios, in order.
    pub pass_ratios: VecDeque<PassRatio>,
    /// Estimate of the quota's bucket, drained by metered use.
    pub metered_bucket: f64,
    /// Part of the customer's use that this gateway is taken to send.
    pub own_ratio: f64,
    /// Bucket drained by what this gateway sent, scaled up by that part.
    pub own_bucket: f64,
    pub own_filled_at: Timestamp,
    /// Units sent since the last reading.
    pub unmetered: f64,
    /// Units sent here in the last periods, and metered of all gateways.
    pub own_use: f64,
    pub metered_use: f64,
    pub reading: Option<MeterReading>,
    pub created_at: Timestamp,
    /// This gateway's part of the rate limit's bucket.
    pub limit_bucket: f64,
    pub limit_filled_at: Timestamp,
    pub last_seen_at: Timestamp,
}

impl CustomerRecord {
    /// Fills the buckets up to now.
    pub fn fill(&mut self, now: Timestamp, plan: &Plan) {
        self.own_bucket =
            (self.own_bucket + now.millis_since(self.own_filled_at) / 1000.0 * plan.rate).min(plan.burst);
        self.own_filled_at = now;
        let gain = now.millis_since(self.limit_filled_at) / 1000.0 * plan.limit_rate / self.gateways;
        self.limit_bucket = (self.limit_bucket + gain).min(plan.limit_burst / self.gateways);
        self.limit_filled_at = now;
    }

    /// Sets the pass ratio; ratios that ended more than `memory` ago are forgotten.
    pub fn set_pass_ratio(&mut self, now: Timestamp, ratio: f64, memory: Millis) {
        self.pass_ratio = ratio;
        self.pass_ratios.push_back(PassRatio { since: now, ratio });
        while self.pass_ratios.get(1).is_some_and(|next| next.since < now.minus_millis(memory)) {
            self.pass_ratios.pop_front();
        }
    }

    /// The pass ratio that was in force at a time; 1 where that is not known.
    pub fn pass_ratio_at(&self, at: Timestamp) -> f64 {
        let in_force = self.pass_ratios.iter().rev().find(|ratio| ratio.since <= at);
        in_force.or(self.pass_ratios.front()).map_or(1.0, |ratio| ratio.ratio)
    }
}
