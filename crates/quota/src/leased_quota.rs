//! The quota shares of one proxy, from which it admits requests without asking the allocator.
//!
//! The common path keeps no record per tenant: a count-min sketch estimates the requests admitted for each tenant within about
//! one window, and a tenant whose estimate stays below its threshold is admitted. A tenant above the threshold is heavy: it
//! gets an exact record with a token bucket that fills at the proxy's share, and its demand is reported to the allocator.

use crate::messages::{QuotaGrant, TenantGrant, TenantUsage, UsageReport};
use crate::{BURST_SLACK_REQUESTS, EXPIRED_LEASE_RATIO, LEASE_DURATION};
use ivygate_gateway::CountMinSketch;
use ivygate_time::{millis, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Share of each tenant before the first grant.
const INITIAL_SHARE: f64 = 0.01;
/// Rows of the sketch. With four independent hashes, a collision of two tenants in every row is negligible.
const SKETCH_ROWS: usize = 4;
/// Counters per row, many times the number of tenants with requests at one proxy within a window.
const SKETCH_COLUMNS: usize = 2048;
/// Interval at which the two sketches rotate. Together they cover between half a window and a whole one.
const HALF_WINDOW: Duration = Duration::from_millis(500);
/// Threshold for a heavy tenant, as a fraction of what may be admitted here in a window. The sketches may cover only half of
/// the window.
const HEAVY_TENANT_RATIO: f64 = 0.5;
/// Bucket size below which a bucket counts as small, in requests.
const SMALL_BUCKET_REQUESTS: f64 = 3.0;
/// Time constant of the exponential smoothing of reported demand, in seconds. Reports come at irregular intervals with few
/// requests between two of them.
const DEMAND_MEMORY_S: f64 = 2.0;
/// Number of requests between two reports from which a rise in demand is reported without smoothing.
const RISE_REQUESTS: f64 = 8.0;
/// Period assumed for the first report, in milliseconds.
const FIRST_REPORT_PERIOD_MS: f64 = 500.0;
/// Time without requests after which the record of a heavy tenant without its own share is dropped.
const FORGET_TENANT_TIMEOUT: Duration = Duration::from_millis(30_000);
/// Maximum number of heavy tenants. When it is reached, the least recently used half is dropped.
const MAX_HEAVY_TENANTS: usize = 60_000;
/// Maximum retry-after time.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(6_000);
/// Retry-after time added for each multiple of the tenant's rate by which the demand at all proxies exceeds it.
const RETRY_AFTER_PER_EXCESS: Duration = Duration::from_millis(2_000);

/// Exact record of a heavy tenant.
#[derive(Clone, Debug)]
struct HeavyTenant {
    /// Granted share; `None` for the default share.
    share: Option<f64>,
    /// Requests that can be admitted now.
    tokens: f64,
    refilled_at: Timestamp,
    /// Requests received since the last report.
    demand: f64,
    /// Requests admitted since the last report.
    admitted: f64,
    /// Requests received per second, smoothed over reports.
    demand_per_s: f64,
    /// Requests admitted per second, smoothed over reports.
    passed_per_s: f64,
    /// Demand at all proxies in percent of the rate, as of the last grant.
    demand_percent: f64,
    /// Number of reports that included this tenant.
    reports: f64,
    last_request_at: Timestamp,
}

impl HeavyTenant {
    fn new(now: Timestamp, tokens: f64, admitted: f64) -> Self {
        Self {
            share: None,
            tokens,
            refilled_at: now,
            demand: admitted,
            admitted,
            demand_per_s: 0.0,
            passed_per_s: 0.0,
            demand_percent: 0.0,
            reports: 0.0,
            last_request_at: now,
        }
    }

    /// Updates the smoothed rates at a report. The first reports of a tenant carry full weight, since there is no history yet.
    /// A significant rise takes effect at once; a single request within a short period does not count as one.
    fn update_rates(&mut self, period_s: f64, weight: f64) {
        let demand = std::mem::take(&mut self.demand);
        let demand_per_s = demand / period_s;
        let passed_per_s = std::mem::take(&mut self.admitted).max(0.0) / period_s;
        self.reports += 1.0;
        let weight = weight.max(1.0 / self.reports);
        self.demand_per_s += weight * (demand_per_s - self.demand_per_s);
        if demand >= RISE_REQUESTS {
            self.demand_per_s = self.demand_per_s.max(demand_per_s);
        }
        self.passed_per_s += weight * (passed_per_s - self.passed_per_s);
    }
}

/// Quota shares leased to one proxy, with the state needed to admit requests from them.
#[derive(Clone, Debug)]
pub struct LeasedQuota {
    incarnation: u64,
    epoch: u64,
    grant_number: u64,
    default_share: f64,
    proxies: f64,
    /// Time at which the grant in use was requested.
    granted_at: Option<Timestamp>,
    reported_at: Option<Timestamp>,
    /// Recently admitted requests by tenant: the current sketch and the previous one.
    admitted: [CountMinSketch; 2],
    rotate_at: Timestamp,
    heavy: BTreeMap<String, HeavyTenant>,
}

impl LeasedQuota {
    /// Creates the state of a proxy without a grant. `incarnation` must differ between runs of the proxy.
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
            admitted: [sketch(), sketch()],
            rotate_at: Timestamp::DISTANT_PAST,
            heavy: BTreeMap::new(),
        }
    }

    /// Returns the share of a tenant's quota that is in force at `now`.
    pub fn share(&self, now: Timestamp, tenant: &str) -> f64 {
        let share = self.heavy.get(tenant).and_then(|tenant| tenant.share).unwrap_or(self.default_share);
        share * self.lease_ratio(now)
    }

    /// Returns the fraction of the granted shares that is usable at `now`, which is lower once the lease has expired.
    fn lease_ratio(&self, now: Timestamp) -> f64 {
        match self.granted_at {
            Some(granted_at) if now > granted_at + LEASE_DURATION => EXPIRED_LEASE_RATIO,
            _ => 1.0,
        }
    }

    /// Returns the capacity of a tenant's bucket at this proxy, in requests.
    fn bucket_size(&self, share: f64, burst: f64) -> f64 {
        share * burst + BURST_SLACK_REQUESTS / self.proxies
    }

    /// Returns whether a tenant's bucket is so small that random variation alone would cause many rejections.
    pub fn has_small_bucket(&self, now: Timestamp, tenant: &str, burst: f64) -> bool {
        self.bucket_size(self.share(now, tenant), burst) < SMALL_BUCKET_REQUESTS
    }

    /// Admits one request if the quota allows it.
    ///
    /// # Errors
    /// Returns the time until another request may be admitted, in milliseconds.
    pub fn acquire(&mut self, now: Timestamp, tenant: &str, rate: f64, burst: f64) -> Result<(), f64> {
        let share = self.share(now, tenant);
        // A bucket with a capacity below one request would never admit any.
        let bucket_size = self.bucket_size(share, burst).max(1.0);
        if !self.heavy.contains_key(tenant) {
            let admitted = self.recently_admitted(now, tenant);
            if admitted + 1.0 <= HEAVY_TENANT_RATIO * share * burst.min(rate) {
                self.admitted[0].add(tenant, 1.0);
                return Ok(());
            }
            self.evict_if_full();
            // Without a grant the bucket starts empty: an earlier run of this proxy may have used up the whole burst.
            let tokens = if self.granted_at.is_some() { (bucket_size - admitted).max(0.0) } else { 0.0 };
            self.heavy.insert(tenant.to_owned(), HeavyTenant::new(now, tokens, admitted));
        }
        let Some(heavy) = self.heavy.get_mut(tenant) else { return Err(millis(MAX_RETRY_AFTER)) };
        heavy.last_request_at = now;
        heavy.demand += 1.0;
        let gain = share * rate * now.millis_since(heavy.refilled_at).max(0.0) / 1000.0;
        heavy.tokens = (heavy.tokens + gain).min(bucket_size);
        heavy.refilled_at = now;
        if heavy.tokens < 1.0 {
            let refill_ms = 1000.0 * (1.0 - heavy.tokens) / (share * rate).max(1e-9);
            // With demand far above the rate, a client that retries at once would be rejected again.
            let excess_ms = millis(RETRY_AFTER_PER_EXCESS) * (heavy.demand_percent / 100.0 - 1.0);
            return Err(refill_ms.max(excess_ms).clamp(1.0, millis(MAX_RETRY_AFTER)));
        }
        heavy.tokens -= 1.0;
        heavy.admitted += 1.0;
        Ok(())
    }

    /// Estimates the requests admitted for a tenant within about one window. Hash collisions may only raise the estimate.
    fn recently_admitted(&mut self, now: Timestamp, tenant: &str) -> f64 {
        if now >= self.rotate_at {
            if now >= self.rotate_at + HALF_WINDOW {
                self.admitted[0].clear();
            }
            self.admitted.swap(0, 1);
            self.admitted[0].clear();
            self.rotate_at = now + HALF_WINDOW;
        }
        self.admitted[0].estimate(tenant) + self.admitted[1].estimate(tenant)
    }

    /// Returns an admitted request to the quota because it was not sent to any server.
    pub fn release(&mut self, tenant: &str) {
        if let Some(heavy) = self.heavy.get_mut(tenant) {
            heavy.tokens += 1.0;
            heavy.admitted -= 1.0;
        }
    }

    /// Drops the least recently used half of the heavy tenants when their number reaches the maximum.
    fn evict_if_full(&mut self) {
        if self.heavy.len() >= MAX_HEAVY_TENANTS {
            let mut last_requests: Vec<Timestamp> =
                self.heavy.values().map(|heavy| heavy.last_request_at).collect();
            let middle = last_requests.len() / 2;
            let (_, median, _) = last_requests.select_nth_unstable_by(middle, Timestamp::total_cmp);
            let median = *median;
            self.heavy.retain(|_, heavy| heavy.last_request_at > median);
        }
    }

    /// Returns the demand for a tenant at all proxies in percent of its rate, as of the last grant.
    pub fn demand_percent(&self, tenant: &str) -> f64 {
        self.heavy.get(tenant).map_or(0.0, |heavy| heavy.demand_percent)
    }

    /// Creates the usage report to the allocator and starts the next reporting period.
    pub fn report(&mut self, now: Timestamp) -> UsageReport {
        let lease_ratio = self.lease_ratio(now);
        let period_ms = self
            .reported_at
            .replace(now)
            .map_or(FIRST_REPORT_PERIOD_MS, |last| now.millis_since(last).max(1.0));
        let period_s = period_ms / 1000.0;
        let weight = 1.0 - (-period_s / DEMAND_MEMORY_S).exp();
        // Dropping a tenant with its own share would make it fall back to the default share, which only a grant may do.
        self.heavy
            .retain(|_, heavy| heavy.share.is_some() || now < heavy.last_request_at + FORGET_TENANT_TIMEOUT);
        let mut tenants = BTreeMap::new();
        for (name, heavy) in &mut self.heavy {
            heavy.update_rates(period_s, weight);
            let usage = TenantUsage {
                demand_per_s: round_to_hundredths(heavy.demand_per_s),
                passed_per_s: round_to_hundredths(heavy.passed_per_s),
                // After lease expiry only the reduced share is reported: an earlier allocator may have granted the rest to
                // other proxies, and a new one must not renew it.
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

    /// Applies the grant that answers the report made at `reported_at`. Only the grant for the latest report is applied, since
    /// later reports, possibly to another allocator, state the shares in use at their time.
    ///
    /// Returns whether this is the first grant from its allocator. It must be confirmed at once: until all proxies have
    /// confirmed a grant, the allocator does not know the shares granted by its predecessor and raises none.
    pub fn handle_grant(&mut self, reported_at: Timestamp, grant: QuotaGrant) -> bool {
        if self.reported_at != Some(reported_at) {
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
        self.granted_at = Some(self.granted_at.map_or(reported_at, |granted_at| granted_at.max(reported_at)));
        self.apply_tenant_grants(reported_at, grant.tenants);
        is_first
    }

    fn apply_tenant_grants(&mut self, reported_at: Timestamp, grants: BTreeMap<String, TenantGrant>) {
        for (name, heavy) in &mut self.heavy {
            let grant = grants.get(name);
            heavy.share = grant.map(|grant| grant.share);
            heavy.demand_percent = grant.map_or(0.0, |grant| grant.demand_percent);
        }
        for (name, grant) in grants {
            self.heavy.entry(name).or_insert_with(|| HeavyTenant {
                share: Some(grant.share),
                demand_percent: grant.demand_percent,
                ..HeavyTenant::new(reported_at, 1.0, 0.0)
            });
        }
    }
}

fn round_to_hundredths(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
