//! What proxies and the allocator say to each other. The spelling on the wire is that of the first release: tenants' entries are
//! lists, and incarnations are called `life`.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a proxy reports of one tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64, f64)", into = "(f64, f64, f64)")]
pub struct TenantUsage {
    /// Requests asked for, a second.
    pub demand_per_s: f64,
    /// Requests that passed, a second.
    pub passed_per_s: f64,
    /// The share in use.
    pub share: f64,
}

impl From<(f64, f64, f64)> for TenantUsage {
    fn from((demand_per_s, passed_per_s, share): (f64, f64, f64)) -> Self {
        Self { demand_per_s, passed_per_s, share }
    }
}

impl From<TenantUsage> for (f64, f64, f64) {
    fn from(usage: TenantUsage) -> Self {
        (usage.demand_per_s, usage.passed_per_s, usage.share)
    }
}

/// A proxy's report, which also asks for a grant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Differs between runs of the proxy.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The epoch of the last grant that it uses; 0 for none.
    #[serde(default)]
    pub epoch: u64,
    /// The number of that grant in its epoch; 0 for none.
    pub number: u64,
    /// The share in use of every tenant that is not listed.
    #[serde(rename = "other")]
    pub default_share: f64,
    /// By tenant.
    pub tenants: BTreeMap<String, TenantUsage>,
}

impl UsageReport {
    /// The share in use of a tenant.
    pub fn share(&self, tenant: &str) -> f64 {
        self.tenants.get(tenant).map_or(self.default_share, |usage| usage.share)
    }
}

/// What a proxy may use of one tenant's quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct TenantGrant {
    /// The share.
    pub share: f64,
    /// What all proxies are asked for, in percent of the tenant's rate.
    pub demand_percent: f64,
}

impl From<(f64, f64)> for TenantGrant {
    fn from((share, demand_percent): (f64, f64)) -> Self {
        Self { share, demand_percent }
    }
}

impl From<TenantGrant> for (f64, f64) {
    fn from(grant: TenantGrant) -> Self {
        (grant.share, grant.demand_percent)
    }
}

/// What a proxy may use until its lease expires.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// The allocator's epoch, its fencing token: a grant below any epoch that the proxy has heard of counts for nothing.
    pub epoch: u64,
    /// Counts up within an epoch.
    pub number: u64,
    /// How many proxies there may be.
    pub proxies: u32,
    /// The share of every tenant that is not listed.
    #[serde(rename = "other")]
    pub default_share: f64,
    /// By tenant.
    pub tenants: BTreeMap<String, TenantGrant>,
}
