//! One proxy's side: what it may pass of each tenant's quota on its own.
//!
//! The ordinary path keeps no record of a tenant: a count-min sketch adds up what passed of each within about a window, and
//! whoever stays within its even slice passes freely. A tenant whose estimate passes its slice is heavy: it gets an exact
//! record with a token bucket that fills at the proxy's share, and its demand is reported to the allocator.

use crate::messages::{QuotaGrant, TenantGrant, TenantUsage, UsageReport};
use crate::{BURST_SLACK_REQUESTS, EXPIRED_LEASE_RATIO, LEASE_DURATION};
use ivygate_gateway::CountMinSketch;
use ivygate_time::{millis, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// The share of each tenant before the first grant.
const INITIAL_SHARE: f64 = 0.01;
/// Rows of the sketch: four independent hashes make a full collision of two tenants negligible.
const SKETCH_ROWS: usize = 4;
/// Counters in a row: many times the tenants that ask one proxy within a window.
const SKETCH_COLUMNS: usize = 2048;
/// Two sketches take turns every half window; together they hold between a half and a whole one.
const HALF_WINDOW: Duration = Duration::from_millis(500);
/// The even slice, as a part of what a tenant may have passed here in a window: the sketch may hold only half of what passed
/// in a whole one.
const SLICE_RATIO: f64 = 0.5;
/// A bucket of fewer requests than this is thin.
const THIN_BUCKET: f64 = 3.0;
/// Time in which earlier demand loses most of its weight in the demand that is reported, in seconds: reports come at uneven
/// times, and few requests fall between two.
const DEMAND_MEMORY_S: f64 = 2.0;
/// So many requests between two reports are a rise, which is reported at once.
const RISE_REQUESTS: f64 = 8.0;
/// Time that a report covers if it is the first, in milliseconds.
const FIRST_REPORT_PERIOD_MS: f64 = 500.0;
/// A heavy tenant without a share of its own that has not asked in this time is forgotten.
const FORGET_TENANT_TIMEOUT: Duration = Duration::from_millis(30_000);
/// Most heavy tenants that are kept; beyond that the half that has not asked for longest is forgotten.
const MAX_HEAVY_TENANTS: usize = 60_000;
/// Longest advice to stay away.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(6_000);
/// How long a tenant's clients are told to stay away for each time over that all proxies are asked for what may pass.
const RETRY_AFTER_PER_EXCESS: Duration = Duration::from_millis(2_000);

/// The exact record of a heavy tenant.
#[derive(Clone, Debug)]
struct HeavyTenant {
    /// The share granted; `None` for the default share.
    share: Option<f64>,
    /// Requests that may pass now.
    tokens: f64,
    refilled_at: Timestamp,
    /// Requests since the last report.
    demand: f64,
    passed: f64,
    /// The same a second, smoothed over reports.
    demand_per_s: f64,
    passed_per_s: f64,
    /// Demand at all proxies in percent of the rate, by the last grant.
    demand_percent: f64,
    reports: f64,
    last_asked_at: Timestamp,
}

impl HeavyTenant {
    fn new(now: Timestamp, tokens: f64, passed: f64) -> Self {
        Self {
            share: None,
            tokens,
            refilled_at: now,
            demand: passed,
            passed,
            demand_per_s: 0.0,
            passed_per_s: 0.0,
            demand_percent: 0.0,
            reports: 0.0,
            last_asked_at: now,
        }
    }

    /// Smooths demand over reports. The first reports of a tenant are all that is known of it, and a rise that is no chance is
    /// reported at once; one request in a short time is no rise.
    fn update_rates(&mut self, period_s: f64, weight: f64) {
        let demand = std::mem::take(&mut self.demand);
        let demand_per_s = demand / period_s;
        let passed_per_s = std::mem::take(&mut self.passed).max(0.0) / period_s;
        self.reports += 1.0;
        let weight = weight.max(1.0 / self.reports);
        self.demand_per_s += weight * (demand_per_s - self.demand_per_s);
        if demand >= RISE_REQUESTS {
            self.demand_per_s = self.demand_per_s.max(demand_per_s);
        }
        self.passed_per_s += weight * (passed_per_s - self.passed_per_s);
    }
}

/// The shares of one proxy, and what passes by them.
#[derive(Clone, Debug)]
pub struct LeasedQuota {
    incarnation: u64,
    epoch: u64,
    grant_number: u64,
    default_share: f64,
    proxies: f64,
    /// When the grant in use was asked for.
    granted_at: Option<Timestamp>,
    reported_at: Option<Timestamp>,
    /// What has passed of late, by tenant.
    passed: [CountMinSketch; 2],
    rotate_at: Timestamp,
    heavy: BTreeMap<String, HeavyTenant>,
}

impl LeasedQuota {
    /// Nothing was granted yet. `incarnation` must differ between runs of the proxy.
    pub fn new(incarnation: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(incarnation);
        let mut sketch =
            || CountMinSketch::new((0..SKETCH_ROWS).map(|_| rng.u64(..)).collect(), SKETCH_COLUMNS);
        Self {
            incarnation,
            epoch: 0,
            grant_number: 0,
            default_share: INITIAL_SHARE,
            proxies: f64::INFINITY,
            granted_at: None,
            reported_at: None,
            passed: [sketch(), sketch()],
            rotate_at: Timestamp::DISTANT_PAST,
            heavy: BTreeMap::new(),
        }
    }

    /// The share of a tenant's quota in force now.
    pub fn share(&self, now: Timestamp, tenant: &str) -> f64 {
        let share = self.heavy.get(tenant).and_then(|tenant| tenant.share).unwrap_or(self.default_share);
        share * self.lease_ratio(now)
    }

    /// How much of what was granted may be used now: less once the lease has expired.
    fn lease_ratio(&self, now: Timestamp) -> f64 {
        match self.granted_at {
            Some(granted_at) if now > granted_at + LEASE_DURATION => EXPIRED_LEASE_RATIO,
            _ => 1.0,
        }
    }

    /// The most that a tenant's bucket holds here.
    fn bucket_size(&self, share: f64, burst: f64) -> f64 {
        share * burst + BURST_SLACK_REQUESTS / self.proxies
    }

    /// Whether a tenant's bucket here holds so few requests that chance alone would reject many.
    pub fn has_small_bucket(&self, now: Timestamp, tenant: &str, burst: f64) -> bool {
        self.bucket_size(self.share(now, tenant), burst) < THIN_BUCKET
    }

    /// Lets a request pass, if it may.
    ///
    /// # Errors
    /// The time after which one more may pass, in milliseconds.
    pub fn acquire(&mut self, now: Timestamp, tenant: &str, rate: f64, burst: f64) -> Result<(), f64> {
        let share = self.share(now, tenant);
        // A bucket that holds no whole request would never let one pass.
        let bucket_size = self.bucket_size(share, burst).max(1.0);
        if !self.heavy.contains_key(tenant) {
            let passed = self.passed_lately(now, tenant);
            if passed + 1.0 <= SLICE_RATIO * share * burst.min(rate) {
                self.passed[0].add(tenant, 1.0);
                return Ok(());
            }
            self.make_room();
            // An earlier run of this proxy may have used everything up.
            let tokens = if self.granted_at.is_some() { (bucket_size - passed).max(0.0) } else { 0.0 };
            self.heavy.insert(tenant.to_owned(), HeavyTenant::new(now, tokens, passed));
        }
        let Some(heavy) = self.heavy.get_mut(tenant) else { return Err(millis(MAX_RETRY_AFTER)) };
        heavy.last_asked_at = now;
        heavy.demand += 1.0;
        let gain = share * rate * now.millis_since(heavy.refilled_at).max(0.0) / 1000.0;
        heavy.tokens = (heavy.tokens + gain).min(bucket_size);
        heavy.refilled_at = now;
        if heavy.tokens < 1.0 {
            let refill_ms = 1000.0 * (1.0 - heavy.tokens) / (share * rate).max(1e-9);
            // Where much more is asked for than may pass, a client that comes back at once is rejected once more.
            let excess_ms = millis(RETRY_AFTER_PER_EXCESS) * (heavy.demand_percent / 100.0 - 1.0);
            return Err(refill_ms.max(excess_ms).clamp(1.0, millis(MAX_RETRY_AFTER)));
        }
        heavy.tokens -= 1.0;
        heavy.passed += 1.0;
        Ok(())
    }

    /// What has passed of a tenant within about a window, and perhaps some of others.
    fn passed_lately(&mut self, now: Timestamp, tenant: &str) -> f64 {
        if now >= self.rotate_at {
            if now >= self.rotate_at + HALF_WINDOW {
                self.passed[0].clear();
            }
            self.passed.swap(0, 1);
            self.passed[0].clear();
            self.rotate_at = now + HALF_WINDOW;
        }
        self.passed[0].estimate(tenant) + self.passed[1].estimate(tenant)
    }

    /// A request that had passed was sent to no server.
    pub fn release(&mut self, tenant: &str) {
        if let Some(heavy) = self.heavy.get_mut(tenant) {
            heavy.tokens += 1.0;
            heavy.passed -= 1.0;
        }
    }

    fn make_room(&mut self) {
        if self.heavy.len() >= MAX_HEAVY_TENANTS {
            let mut last_asked: Vec<Timestamp> =
                self.heavy.values().map(|heavy| heavy.last_asked_at).collect();
            let middle = last_asked.len() / 2;
            let (_, median, _) = last_asked.select_nth_unstable_by(middle, Timestamp::total_cmp);
            let median = *median;
            self.heavy.retain(|_, heavy| heavy.last_asked_at > median);
        }
    }

    /// Demand for a tenant at all proxies in percent of its rate, by the last grant.
    pub fn demand_percent(&self, tenant: &str) -> f64 {
        self.heavy.get(tenant).map_or(0.0, |heavy| heavy.demand_percent)
    }

    /// The report to the allocator now.
    pub fn report(&mut self, now: Timestamp) -> UsageReport {
        let lease_ratio = self.lease_ratio(now);
        let period_ms = self
            .reported_at
            .replace(now)
            .map_or(FIRST_REPORT_PERIOD_MS, |last| now.millis_since(last).max(1.0));
        let period_s = period_ms / 1000.0;
        let weight = 1.0 - (-period_s / DEMAND_MEMORY_S).exp();
        // A tenant with a share of its own would fall back to the default share: only a grant may drop it.
        self.heavy
            .retain(|_, heavy| heavy.share.is_some() || now < heavy.last_asked_at + FORGET_TENANT_TIMEOUT);
        let mut tenants = BTreeMap::new();
        for (name, heavy) in &mut self.heavy {
            heavy.update_rates(period_s, weight);
            let usage = TenantUsage {
                demand_per_s: round_to_hundredths(heavy.demand_per_s),
                passed_per_s: round_to_hundredths(heavy.passed_per_s),
                // An allocator that knows nothing of it yet must not renew what another may have given to others meanwhile.
                share: heavy.share.unwrap_or(self.default_share) * lease_ratio,
            };
            tenants.insert(name.clone(), usage);
        }
        UsageReport {
            incarnation: self.incarnation,
            epoch: self.epoch,
            number: self.grant_number,
            default_share: self.default_share * lease_ratio,
            tenants,
        }
    }

    /// A grant has come, for the report that was made at `asked`. Only the answer to the last report counts: what was reported
    /// since, perhaps to another allocator, rests on what was in use then.
    ///
    /// Tells whether it is the first grant of its allocator, which is to hear at once that it is in use: until all proxies have
    /// said so, it can't tell what an earlier allocator granted, and gives nobody more.
    pub fn handle_grant(&mut self, asked: Timestamp, grant: QuotaGrant) -> bool {
        if self.reported_at != Some(asked) {
            return false;
        }
        if (grant.epoch, grant.number) <= (self.epoch, self.grant_number) {
            return false;
        }
        let is_first = grant.epoch > self.epoch;
        self.epoch = grant.epoch;
        self.grant_number = grant.number;
        self.default_share = grant.default_share;
        self.proxies = f64::from(grant.proxies.max(1));
        self.granted_at = Some(self.granted_at.map_or(asked, |granted_at| granted_at.max(asked)));
        self.apply_tenant_grants(asked, grant.tenants);
        is_first
    }

    fn apply_tenant_grants(&mut self, asked: Timestamp, grants: BTreeMap<String, TenantGrant>) {
        for (name, heavy) in &mut self.heavy {
            let grant = grants.get(name);
            heavy.share = grant.map(|grant| grant.share);
            heavy.demand_percent = grant.map_or(0.0, |grant| grant.demand_percent);
        }
        for (name, grant) in grants {
            self.heavy.entry(name).or_insert_with(|| HeavyTenant {
                share: Some(grant.share),
                demand_percent: grant.demand_percent,
                ..HeavyTenant::new(asked, 1.0, 0.0)
            });
        }
    }
}

fn round_to_hundredths(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
