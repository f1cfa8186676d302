//! Messages between proxies and the quota allocator.
//!
//! The wire format is that of the first release: entries of tenants are arrays, and the incarnation is named `life`.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Usage of one tenant's quota as reported by a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64, f64)", into = "(f64, f64, f64)")]
pub struct TenantUsage {
    /// Requests received per second.
    pub demand_per_s: f64,
    /// Requests admitted per second.
    pub passed_per_s: f64,
    /// Share in use.
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

/// Usage report of a proxy, which also requests a grant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Incarnation of the proxy, which differs between its runs.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Epoch of the grant in use; 0 for none.
    #[serde(default)]
    pub epoch: u64,
    /// Number of that grant within its epoch; 0 for none.
    pub number: u64,
    /// Share in use for every tenant that is not listed.
    #[serde(rename = "other")]
    pub default_share: f64,
    /// Usage by tenant name.
    pub tenants: BTreeMap<String, TenantUsage>,
}

impl UsageReport {
    /// Returns the share in use for a tenant.
    pub fn share(&self, tenant: &str) -> f64 {
        self.tenants.get(tenant).map_or(self.default_share, |usage| usage.share)
    }
}

/// Grant of one tenant's quota to a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct TenantGrant {
    /// Granted share.
    pub share: f64,
    /// Demand at all proxies, in percent of the tenant's rate.
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

/// Shares that a proxy may use until its lease expires.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Epoch of the allocator, used as a fencing token: a proxy ignores grants with an epoch below the highest it has seen.
    pub epoch: u64,
    /// Number of the grant, which increases within an epoch.
    pub number: u64,
    /// Upper bound on the number of proxies.
    pub proxies: u32,
    /// Share of every tenant that is not listed.
    #[serde(rename = "other")]
    pub default_share: f64,
    /// Grants by tenant name.
    pub tenants: BTreeMap<String, TenantGrant>,
}
