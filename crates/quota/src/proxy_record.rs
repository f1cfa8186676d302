//! What the allocator knows of one proxy: the shares that it may be using.

use crate::messages::UsageReport;
use crate::{EXPIRED_LEASE_RATIO, LEASE_DURATION};
use ivygate_time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// What clocks of two machines may differ by over a lease, and the way of a message.
pub(crate) const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// What a tenant's sums hold of one proxy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CountedUsage {
    pub demand: f64,
    pub in_use: f64,
}

/// A share of one tenant's quota, at one proxy.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShareRecord {
    /// The share of the last grant.
    pub granted: f64,
    /// What the proxy may still use until it says that it uses a later grant.
    pub previous: f64,
    /// Requests asked for, a second.
    pub demand: f64,
    /// What the tenant's sums hold of this; `None` if they hold nothing of it by itself.
    pub counted: Option<CountedUsage>,
}

impl ShareRecord {
    /// A share that the proxy had before it was first heard.
    pub fn reported(share: f64) -> Self {
        Self { granted: share, previous: share, ..Self::default() }
    }

    /// The most that the proxy may be using.
    pub fn max_in_use(&self) -> f64 {
        self.granted.max(self.previous)
    }
}

/// What a proxy used when it was first heard: an earlier allocator granted it that.
#[derive(Clone, Debug)]
pub(crate) struct InheritedShares {
    tenants: BTreeMap<String, f64>,
    default_share: f64,
}

impl InheritedShares {
    /// What a report says to be in use.
    pub fn from_report(report: &UsageReport) -> Self {
        let tenants = report.tenants.iter().map(|(name, usage)| (name.clone(), usage.share)).collect();
        Self { tenants, default_share: report.default_share }
    }

    fn share(&self, tenant: &str) -> f64 {
        self.tenants.get(tenant).copied().unwrap_or(self.default_share)
    }

    /// Takes the lesser of what is known and what a report says: of two reports, the one read first may be the older.
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

/// Another incarnation of a proxy that has reported, and the grant that it was answered with. It is the one that lives now only
/// if it says that it uses that grant: else its report had been under way since before the incarnation known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UnconfirmedIncarnation {
    pub incarnation: u64,
    pub grant_number: u64,
}

/// What is known of one proxy.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProxyRecord {
    pub incarnation: u64,
    pub unconfirmed: Option<UnconfirmedIncarnation>,
    pub last_report_at: Option<Timestamp>,
    /// The number of its last grant.
    pub grant_number: u64,
    pub inherited: Option<InheritedShares>,
    /// Whether it has said that it uses a grant of this allocator. Before that, its report may have been one of an incarnation
    /// that ended long ago.
    pub is_confirmed: bool,
    /// Its share of every tenant that has no record.
    pub default: ShareRecord,
    pub tenants: BTreeMap<String, ShareRecord>,
}

impl ProxyRecord {
    /// A proxy's share of a tenant.
    pub fn share(&self, tenant: &str) -> &ShareRecord {
        self.tenants.get(tenant).unwrap_or(&self.default)
    }

    /// What it had of a tenant from an earlier allocator, once it is confirmed to live.
    pub fn inherited_share(&self, tenant: &str) -> f64 {
        let inherited = self.inherited.as_ref().filter(|_| self.is_confirmed);
        inherited.map_or(0.0, |inherited| inherited.share(tenant))
    }

    /// Takes in what it reports of its demand, and which grant it uses.
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

    /// It uses the last grant: what it had before is free.
    fn confirm_grant(&mut self) {
        self.is_confirmed = true;
        self.default.previous = self.default.granted;
        for record in self.tenants.values_mut() {
            record.previous = record.granted;
        }
    }

    /// Whether its lease has expired, by what was known at `sure`.
    pub fn is_expired(&self, sure: Timestamp) -> bool {
        self.last_report_at.is_some_and(|last| sure > last + LEASE_DURATION + LEASE_MARGIN)
    }

    /// Whether its report is so young that its demand counts.
    pub fn has_current_demand(&self, now: Timestamp) -> bool {
        self.last_report_at.is_some_and(|last| now <= last + LEASE_DURATION)
    }

    /// What it may be using of a tenant now. `sure` is when it was last known that no other allocator grants anything: a proxy
    /// whose lease expired after that may have had it renewed by another.
    pub fn in_use(&self, sure: Timestamp, tenant: &str) -> f64 {
        let most = self.share(tenant).max_in_use();
        if self.is_expired(sure) {
            most * EXPIRED_LEASE_RATIO
        } else {
            most
        }
    }
}
