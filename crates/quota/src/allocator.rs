//! The quota allocator, which grants shares whose sum never exceeds the total, even while proxies are out of contact.
//!
//! A granted share counts as in use until the proxy reports a later grant or its lease expires. A new allocator does not know
//! the grants of its predecessor. Until every proxy that may hold such a grant has confirmed one from the new allocator, the
//! part of the quota that the reporting proxies did not hold before counts as in use by the other proxies.

use crate::messages::{QuotaGrant, TenantGrant, UsageReport};
use crate::proxy_record::{CountedUsage, InheritedShares, ProxyRecord, ShareRecord, UnconfirmedIncarnation};
use crate::{EVEN_SPLIT_RATIO, EXPIRED_LEASE_RATIO, IDLE_TENANT_RATIO, MAX_TOTAL_SHARE};
use ivygate_time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time without requests after which a tenant is idle.
const IDLE_TENANT_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Interval at which sums are recomputed. Expired leases are taken into account only then.
const RECOUNT_INTERVAL: Duration = Duration::from_millis(300);
/// Time after the allocator's start at which an unconfirmed proxy that is not known to be up is considered dead, so that shares
/// from an earlier allocator no longer count for it.
const DEAD_PROXY_TIMEOUT: Duration = Duration::from_millis(30_000);
/// Time since its last report after which the record of a proxy that has left the cluster is dropped.
const FORGET_PROXY_TIMEOUT: Duration = Duration::from_millis(120_000);
/// Number of steps in the whole quota; shares are rounded down to a multiple of one step.
const SHARE_STEPS: f64 = 1e4;
/// Proxy count announced in a grant while the number of proxies is unknown.
const UNKNOWN_PROXIES: u32 = u32::MAX;

/// Demand and usage of one tenant, summed over all proxies.
#[derive(Clone, Copy, Debug, Default)]
struct TenantSum {
    demand: f64,
    in_use: f64,
    /// Shares that the confirmed proxies held from an earlier allocator.
    inherited: f64,
}

/// Inputs for the grant that answers one usage report.
struct Allocation<'a> {
    now: Timestamp,
    /// Last time at which the absence of a later allocator was confirmed by contact with the store.
    contact_at: Timestamp,
    from: &'a str,
    report: &'a UsageReport,
    /// Upper bound on the number of proxies.
    proxies: f64,
    /// `true` if an unconfirmed proxy may still use shares from an earlier allocator.
    has_inherited_shares: bool,
    /// `true` if the reporting proxy's lease had expired.
    had_expired: bool,
    /// Share that known proxies without a report may be using together.
    unreported_share: f64,
}

/// Grants shares of tenants' quotas to proxies.
#[derive(Clone, Debug)]
pub struct QuotaAllocator {
    epoch: u64,
    started_at: Timestamp,
    last_grant: u64,
    proxies: BTreeMap<String, ProxyRecord>,
    /// Proxies that may hold shares from an earlier allocator and have not confirmed a grant from this one; `None` before the
    /// first report.
    unconfirmed: Option<BTreeSet<String>>,
    /// `true` while there may be proxies that this allocator does not know yet.
    is_discovering: bool,
    /// Time of the last reported demand for each tenant at any proxy.
    last_demand: BTreeMap<String, Timestamp>,
    /// Sums by tenant, cached so that the cost of a report does not grow with the number of proxies.
    sums: BTreeMap<String, TenantSum>,
    /// Time at which all sums were last recomputed.
    recounted_at: Timestamp,
}

impl QuotaAllocator {
    /// Creates an allocator that takes over at `now` under `epoch`, without knowledge of earlier grants.
    pub fn new(now: Timestamp, epoch: u64) -> Self {
        Self {
            epoch,
            started_at: now,
            last_grant: 0,
            proxies: BTreeMap::new(),
            unconfirmed: None,
            is_discovering: false,
            last_demand: BTreeMap::new(),
            sums: BTreeMap::new(),
            recounted_at: Timestamp::DISTANT_PAST,
        }
    }

    /// Returns the epoch under which this allocator grants shares.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Sets whether there may be proxies that this allocator does not know yet.
    ///
    /// During discovery no proxy's share is raised above what it held before; reporting proxies confirm their current shares.
    pub fn set_discovering(&mut self, is_discovering: bool) {
        self.is_discovering = is_discovering;
    }

    /// Handles a proxy's usage report and returns its grant, or `None` if the proxy has a grant from a later allocator.
    ///
    /// `known_proxies` maps the name of every possible proxy to whether it is considered up. `contact_age_ms` is the time since
    /// the absence of a later allocator was last confirmed, in milliseconds. `rate` returns a tenant's rate limit in requests
    /// per second.
    pub fn handle_report(
        &mut self,
        now: Timestamp,
        contact_age_ms: f64,
        from: &str,
        report: &UsageReport,
        known_proxies: &BTreeMap<String, bool>,
        rate: impl Fn(&str) -> f64,
    ) -> Option<QuotaGrant> {
        let contact_at = now.minus_millis(contact_age_ms.max(0.0));
        if report.epoch > self.epoch {
            return None;
        }
        self.forget_old_proxies(now, from, report, known_proxies);
        let mut unconfirmed = self.unconfirmed_proxies(known_proxies);
        let may_inherit = unconfirmed.contains(from);
        let started_at = self.started_at;
        unconfirmed.retain(|name| {
            known_proxies.get(name).is_some_and(|is_up| *is_up || now < started_at + DEAD_PROXY_TIMEOUT)
        });
        let proxies = known_proxies.len().max(self.proxies.len()).max(1) as f64;
        let had_expired = self.proxies.get(from).is_some_and(|proxy| proxy.is_expired(contact_at));
        if self.is_other_incarnation(from, report) {
            self.unconfirmed = Some(unconfirmed);
            return Some(self.grant_reported_shares(from, report, proxies));
        }
        if self.record_report(now, from, report, may_inherit) {
            unconfirmed.remove(from);
        }
        let has_inherited_shares = !unconfirmed.is_empty() || self.is_discovering;
        self.unconfirmed = Some(unconfirmed);
        let unreported_share =
            known_proxies.keys().filter(|name| !self.proxies.contains_key(*name)).count() as f64;
        let unreported_share = unreported_share * MAX_TOTAL_SHARE / proxies * EXPIRED_LEASE_RATIO;
        let allocation = Allocation {
            now,
            contact_at,
            from,
            report,
            proxies,
            has_inherited_shares,
            had_expired,
            unreported_share,
        };
        Some(self.allocate(&allocation, rate))
    }

    /// Drops the records of proxies that left the cluster long ago, and has all sums recomputed if the set of records changes.
    fn forget_old_proxies(
        &mut self,
        now: Timestamp,
        from: &str,
        report: &UsageReport,
        known_proxies: &BTreeMap<String, bool>,
    ) {
        let count = self.proxies.len();
        self.proxies.retain(|name, proxy| {
            let is_recent = proxy.last_report_at.is_some_and(|last| now < last + FORGET_PROXY_TIMEOUT);
            known_proxies.contains_key(name) || is_recent
        });
        let is_same = self.proxies.get(from).is_some_and(|proxy| proxy.incarnation == report.incarnation);
        if !is_same || self.proxies.len() != count {
            self.recounted_at = Timestamp::DISTANT_PAST;
        }
    }

    /// Returns the proxies that may hold shares from an earlier allocator. There is none before the first epoch.
    fn unconfirmed_proxies(&self, known_proxies: &BTreeMap<String, bool>) -> BTreeSet<String> {
        let all = || if self.epoch > 1 { known_proxies.keys().cloned().collect() } else { BTreeSet::new() };
        let mut unconfirmed = self.unconfirmed.clone().unwrap_or_else(all);
        if self.is_discovering {
            let is_confirmed = |name: &String| self.proxies.get(name).is_some_and(|proxy| proxy.is_confirmed);
            unconfirmed.extend(all().into_iter().filter(|name| !is_confirmed(name)));
        }
        unconfirmed
    }

    /// Returns whether a report comes from an incarnation that is neither the recorded one nor confirmed by its use of the
    /// grant sent to it.
    fn is_other_incarnation(&self, from: &str, report: &UsageReport) -> bool {
        let Some(proxy) = self.proxies.get(from) else { return false };
        let reported =
            UnconfirmedIncarnation { incarnation: report.incarnation, grant_number: report.number };
        let is_confirmed = self.epoch == report.epoch && proxy.unconfirmed == Some(reported);
        proxy.incarnation != report.incarnation && !is_confirmed
    }

    /// Grants an unconfirmed incarnation the shares that it reports. They count in addition to those of the recorded
    /// incarnation until it is known which of the two is running.
    fn grant_reported_shares(&mut self, from: &str, report: &UsageReport, proxies: f64) -> QuotaGrant {
        self.last_grant += 1;
        if let Some(proxy) = self.proxies.get_mut(from) {
            proxy.unconfirmed = Some(UnconfirmedIncarnation {
                incarnation: report.incarnation,
                grant_number: self.last_grant,
            });
            for (name, usage) in &report.tenants {
                let default = ShareRecord { counted: None, ..proxy.default.clone() };
                let record = proxy.tenants.entry(name.clone()).or_insert(default);
                record.previous = record.previous.max(usage.share);
            }
            for (name, record) in &mut proxy.tenants {
                if !report.tenants.contains_key(name) {
                    record.previous = record.previous.max(report.default_share);
                }
            }
            proxy.default.previous = proxy.default.previous.max(report.default_share);
        }
        self.recounted_at = Timestamp::DISTANT_PAST;
        let unchanged = |usage: &crate::TenantUsage| TenantGrant { share: usage.share, demand_percent: 0.0 };
        QuotaGrant {
            epoch: self.epoch,
            number: self.last_grant,
            proxies: self.announced_proxies(proxies),
            default_share: report.default_share,
            tenants: report.tenants.iter().map(|(name, usage)| (name.clone(), unchanged(usage))).collect(),
        }
    }

    /// Returns the proxy count announced in a grant. Proxies divide the burst slack by it.
    fn announced_proxies(&self, proxies: f64) -> u32 {
        if self.is_discovering {
            UNKNOWN_PROXIES
        } else {
            proxies as u32
        }
    }

    /// Records a report and returns whether the proxy's current incarnation is confirmed. `may_inherit` tells that the reported
    /// shares may come from an earlier allocator.
    fn record_report(&mut self, now: Timestamp, from: &str, report: &UsageReport, may_inherit: bool) -> bool {
        let known_record = self.proxies.get(from);
        if known_record.is_none_or(|proxy| proxy.incarnation != report.incarnation) {
            // The previous incarnation has ended and its shares are free, or the reported shares come from an earlier
            // allocator.
            let inherited =
                known_record.filter(|proxy| proxy.is_confirmed).and_then(|proxy| proxy.inherited.clone());
            let inherited = inherited.or_else(|| may_inherit.then(|| InheritedShares::from_report(report)));
            let reported = |usage: &crate::TenantUsage| ShareRecord::reported(usage.share);
            let record = ProxyRecord {
                incarnation: report.incarnation,
                inherited,
                is_confirmed: known_record.is_some(),
                default: ShareRecord::reported(report.default_share),
                tenants: report.tenants.iter().map(|(name, usage)| (name.clone(), reported(usage))).collect(),
                ..ProxyRecord::default()
            };
            self.proxies.insert(from.to_owned(), record);
        }
        let Some(proxy) = self.proxies.get_mut(from) else { return false };
        proxy.record_report(now, self.epoch, report);
        proxy.is_confirmed
    }

    /// Computes and records the grant for a report.
    fn allocate(&mut self, allocation: &Allocation, rate: impl Fn(&str) -> f64) -> QuotaGrant {
        let default_share = self.default_share(allocation);
        self.record_demand(allocation);
        let tenants: Vec<String> = self.last_demand.keys().cloned().collect();
        let mut grants = BTreeMap::new();
        for tenant in tenants {
            let grant = self.tenant_grant(allocation, &tenant, rate(&tenant));
            grants.insert(tenant, grant);
        }
        self.last_grant += 1;
        let default_share = self.record_grant(allocation, default_share, &grants);
        QuotaGrant {
            epoch: self.epoch,
            number: self.last_grant,
            proxies: self.announced_proxies(allocation.proxies),
            default_share,
            tenants: grants,
        }
    }

    /// Returns the share of idle tenants. The default shares of all proxies may not exceed the total either.
    fn default_share(&self, allocation: &Allocation) -> f64 {
        let others = self.proxies.iter().filter(|(name, _)| *name != allocation.from);
        let other_shares: f64 = others.map(|(_, proxy)| proxy.default.max_in_use()).sum();
        (MAX_TOTAL_SHARE * IDLE_TENANT_RATIO / allocation.proxies)
            .min((MAX_TOTAL_SHARE - other_shares).max(0.0))
    }

    /// Records which tenants have demand, and drops the sums of tenants that became idle or are due for recomputation.
    fn record_demand(&mut self, allocation: &Allocation) {
        let now = allocation.now;
        for (name, usage) in &allocation.report.tenants {
            // Until the first timeout after the start, tenants without demand are kept too: other proxies may hold large
            // shares of them from an earlier allocator.
            if usage.demand_per_s > 0.0 || now < self.started_at + IDLE_TENANT_TIMEOUT {
                self.last_demand.insert(name.clone(), now);
            }
        }
        self.last_demand.retain(|_, last| now < *last + IDLE_TENANT_TIMEOUT);
        // Usage of idle tenants is not tracked in the sums.
        self.sums.retain(|name, _| self.last_demand.contains_key(name));
        if now > self.recounted_at + RECOUNT_INTERVAL {
            self.sums.clear();
            self.recounted_at = now;
        }
    }

    /// Computes the reporting proxy's share of a tenant from its part of the demand, limited to what is certainly free.
    fn tenant_grant(&mut self, allocation: &Allocation, tenant: &str, rate: f64) -> TenantGrant {
        let sum = self.sum(allocation, tenant);
        let own = self.own_record(allocation.from, tenant);
        let demand_ratio = if sum.demand > 0.0 { own.demand / sum.demand } else { 1.0 / allocation.proxies };
        let even = EVEN_SPLIT_RATIO / allocation.proxies;
        let target_share = MAX_TOTAL_SHARE * (even + (1.0 - EVEN_SPLIT_RATIO) * demand_ratio);
        let other_shares = (sum.in_use - own.max_in_use()).max(0.0);
        let unknown_share = if allocation.has_inherited_shares {
            (MAX_TOTAL_SHARE - sum.inherited).max(0.0)
        } else {
            allocation.unreported_share
        };
        // No other proxy uses the shares that this one holds from an earlier allocator.
        let retained_share = if allocation.has_inherited_shares && !allocation.had_expired {
            own.granted.min(allocation.report.share(tenant)).min(MAX_TOTAL_SHARE - other_shares)
        } else {
            0.0
        };
        let share =
            target_share.min((MAX_TOTAL_SHARE - other_shares - unknown_share).max(retained_share).max(0.0));
        let demand_percent = 100.0 * sum.demand / rate.max(1e-9);
        TenantGrant {
            share: (share * SHARE_STEPS).floor() / SHARE_STEPS,
            demand_percent: demand_percent.round(),
        }
    }

    fn own_record(&self, from: &str, tenant: &str) -> ShareRecord {
        self.proxies.get(from).map(|proxy| proxy.share(tenant).clone()).unwrap_or_default()
    }

    /// Returns a tenant's sum over all proxies, updated with the current report.
    fn sum(&mut self, allocation: &Allocation, tenant: &str) -> TenantSum {
        let from = allocation.from;
        let record = self.proxies.get(from).and_then(|proxy| proxy.tenants.get(tenant));
        let counted = record.and_then(|record| record.counted);
        let sum = match (self.sums.get(tenant).copied(), counted) {
            (Some(sum), Some(counted)) => {
                let own = self.own_record(from, tenant);
                TenantSum {
                    demand: sum.demand + own.demand - counted.demand,
                    in_use: sum.in_use + own.max_in_use() - counted.in_use,
                    ..sum
                }
            }
            _ => self.recount(allocation, tenant),
        };
        if let Some(proxy) = self.proxies.get_mut(from) {
            let default = ShareRecord { counted: None, ..proxy.default.clone() };
            let record = proxy.tenants.entry(tenant.to_owned()).or_insert(default);
            record.counted = Some(CountedUsage { demand: record.demand, in_use: record.max_in_use() });
        }
        self.sums.insert(tenant.to_owned(), sum);
        sum
    }

    /// Recomputes a tenant's sum from the records of all proxies.
    fn recount(&mut self, allocation: &Allocation, tenant: &str) -> TenantSum {
        let mut sum = TenantSum::default();
        for proxy in self.proxies.values_mut() {
            let in_use = proxy.in_use(allocation.contact_at, tenant);
            let demand =
                if proxy.has_current_demand(allocation.now) { proxy.share(tenant).demand } else { 0.0 };
            sum.demand += demand;
            sum.in_use += in_use;
            sum.inherited += proxy.inherited_share(tenant);
            if let Some(record) = proxy.tenants.get_mut(tenant) {
                record.counted = Some(CountedUsage { demand, in_use });
            }
        }
        sum
    }

    /// Records a grant for its proxy and in the sums, and returns the grant's default share.
    fn record_grant(
        &mut self,
        allocation: &Allocation,
        default_share: f64,
        grants: &BTreeMap<String, TenantGrant>,
    ) -> f64 {
        let Some(proxy) = self.proxies.get_mut(allocation.from) else { return default_share };
        let default_share = if allocation.has_inherited_shares {
            default_share.min(proxy.default.granted)
        } else {
            default_share
        };
        proxy.grant_number = self.last_grant;
        let mut tenants = BTreeMap::new();
        for (name, grant) in grants {
            let current = proxy.share(name).clone();
            let mut record = ShareRecord { granted: grant.share, previous: current.max_in_use(), ..current };
            if let (Some(sum), Some(counted)) = (self.sums.get_mut(name), record.counted) {
                sum.in_use += record.max_in_use() - counted.in_use;
                record.counted = Some(CountedUsage { in_use: record.max_in_use(), ..counted });
            }
            tenants.insert(name.clone(), record);
        }
        // A tenant that is no longer listed falls back to the default share.
        let is_any_dropped = proxy.tenants.keys().any(|name| !tenants.contains_key(name));
        let previous = if is_any_dropped {
            let max_shares = proxy.tenants.values().map(ShareRecord::max_in_use);
            max_shares.fold(proxy.default.max_in_use(), f64::max)
        } else {
            proxy.default.max_in_use()
        };
        proxy.default = ShareRecord { granted: default_share, previous, ..ShareRecord::default() };
        proxy.tenants = tenants;
        default_share
    }
}
