//! The allocator's record of one proxy, with the shares that the proxy may be using.

use crate::messages::UsageReport;
use crate::{EXPIRED_LEASE_RATIO, LEASE_DURATION};
use ivygate_time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Allowance for clock drift between two machines over one lease, and for message delay.
pub(crate) const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// Contribution of one proxy to the cached sum of a tenant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CountedUsage {
    pub demand: f64,
    pub in_use: f64,
}

/// Share of one tenant's quota at one proxy.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShareRecord {
    /// Share in the last grant.
    pub granted: f64,
    /// Share that the proxy may keep using until it confirms the last grant.
    pub previous: f64,
    /// Requests received per second.
    pub demand: f64,
    /// Contribution of this record to the tenant's sum; `None` if the record is not counted in it.
    pub counted: Option<CountedUsage>,
}

impl ShareRecord {
    /// Creates the record of a share that the proxy held before its first report here.
    pub fn reported(share: f64) -> Self {
        Self { granted: share, previous: share, ..Self::default() }
    }

    /// Returns the largest share that the proxy may be using.
    pub fn max_in_use(&self) -> f64 {
        self.granted.max(self.previous)
    }
}

/// Shares that a proxy held from an earlier allocator at its first report.
#[derive(Clone, Debug)]
pub(crate) struct InheritedShares {
    tenants: BTreeMap<String, f64>,
    default_share: f64,
}

impl InheritedShares {
    /// Takes the shares that a report states as in use.
    pub fn from_report(report: &UsageReport) -> Self {
        let tenants = report.tenants.iter().map(|(name, usage)| (name.clone(), usage.share)).collect();
        Self { tenants, default_share: report.default_share }
    }

    fn share(&self, tenant: &str) -> f64 {
        self.tenants.get(tenant).copied().unwrap_or(self.default_share)
    }

    /// Lowers each share to the one in a report if that is smaller. Reports may arrive out of order, so neither is known to be
    /// the newer one.
    fn lower_to(&mut self, report: &UsageReport) {
        for name in report.tenants.keys() {
            self.tenants.entry(name.clone()).or_insert(self.default_share);
        }
        for (name, share) in &mut self.tenants {
            *share = share.min(report.share(name));
        }
        self.default_share = self.default_share.min(report.default_share);
    }
}

/// Incarnation of a proxy that differs from the recorded one, with the grant sent to it.
///
/// It replaces the recorded incarnation only when it reports that grant as in use. Otherwise its report may be a delayed one
/// from before the recorded incarnation started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UnconfirmedIncarnation {
    pub incarnation: u64,
    pub grant_number: u64,
}

/// Record of one proxy.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProxyRecord {
    pub incarnation: u64,
    pub unconfirmed: Option<UnconfirmedIncarnation>,
    pub last_report_at: Option<Timestamp>,
    /// Number of the last grant sent to it.
    pub grant_number: u64,
    /// Shares from an earlier allocator, if it may hold any.
    pub inherited: Option<InheritedShares>,
    /// `true` once it has confirmed a grant from this allocator. Before that, its reports may be delayed ones from an
    /// incarnation that has ended.
    pub is_confirmed: bool,
    /// Share of every tenant without its own record.
    pub default: ShareRecord,
    pub tenants: BTreeMap<String, ShareRecord>,
}

impl ProxyRecord {
    /// Returns the record of the proxy's share of a tenant.
    pub fn share(&self, tenant: &str) -> &ShareRecord {
        self.tenants.get(tenant).unwrap_or(&self.default)
    }

    /// Returns the share of a tenant from an earlier allocator; 0 until the proxy's incarnation is confirmed.
    pub fn inherited_share(&self, tenant: &str) -> f64 {
        let inherited = self.inherited.as_ref().filter(|_| self.is_confirmed);
        inherited.map_or(0.0, |inherited| inherited.share(tenant))
    }

    /// Records the demand in a report, and confirms the last grant if the report states it as in use.
    pub fn record_report(&mut self, now: Timestamp, epoch: u64, report: &UsageReport) {
        self.last_report_at = Some(now);
        if !self.is_confirmed {
            if let Some(inherited) = &mut self.inherited {
                inherited.lower_to(report);
            }
        }
        if (epoch, self.grant_number) == (report.epoch, report.number) {
            self.confirm_grant();
        }
        for (name, usage) in &report.tenants {
            let default = &self.default;
            let record = self.tenants.entry(name.clone());
            let record = record.or_insert_with(|| ShareRecord { demand: 0.0, ..default.clone() });
            record.demand = usage.demand_per_s.max(0.0);
        }
    }

    /// Marks the last grant as in use, which frees the earlier shares.
    fn confirm_grant(&mut self) {
        self.is_confirmed = true;
        self.default.previous = self.default.granted;
        for record in self.tenants.values_mut() {
            record.previous = record.granted;
        }
    }

    /// Returns whether the lease had expired by `contact_at`, the time of the last contact with the store.
    pub fn is_expired(&self, contact_at: Timestamp) -> bool {
        self.last_report_at.is_some_and(|last| contact_at > last + LEASE_DURATION + LEASE_MARGIN)
    }

    /// Returns whether the last report is recent enough for its demand to count.
    pub fn has_current_demand(&self, now: Timestamp) -> bool {
        self.last_report_at.is_some_and(|last| now <= last + LEASE_DURATION)
    }

    /// Returns the share of a tenant that the proxy may be using.
    ///
    /// `contact_at` is the last time at which the absence of a later allocator was confirmed. A lease that expired after that
    /// may have been renewed by a later allocator, so it counts as valid.
    pub fn in_use(&self, contact_at: Timestamp, tenant: &str) -> f64 {
        let max_share = self.share(tenant).max_in_use();
        if self.is_expired(contact_at) {
            max_share * EXPIRED_LEASE_RATIO
        } else {
            max_share
        }
    }
}
