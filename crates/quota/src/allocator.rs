//! The allocator: grants shares so that they never add up to more than the total, whoever is out of contact.
//!
//! A share that was granted counts until the proxy says that it uses a later grant, or its lease has expired. An allocator that
//! takes over knows nothing of what the one before granted: until every proxy that may have had a grant has confirmed one of
//! its own, it takes everything that the proxies heard of did not have before for being in use by the others.

use crate::messages::{QuotaGrant, TenantGrant, UsageReport};
use crate::proxy_record::{CountedUsage, InheritedShares, ProxyRecord, ShareRecord, UnconfirmedIncarnation};
use crate::{EVEN_SPLIT_RATIO, EXPIRED_LEASE_RATIO, IDLE_TENANT_RATIO, MAX_TOTAL_SHARE};
use ivygate_time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A tenant that nobody has asked for in this time is an idle one again.
const IDLE_TENANT_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Interval in which sums are made anew: only then do expired leases show in them.
const RECOUNT_INTERVAL: Duration = Duration::from_millis(300);
/// A proxy that an earlier allocator may have granted shares to, that is not known to be up and has not reported here in this
/// time, is taken for dead.
const DEAD_PROXY_TIMEOUT: Duration = Duration::from_millis(30_000);
/// A proxy that is not known any more and has not reported in this time is forgotten.
const FORGET_PROXY_TIMEOUT: Duration = Duration::from_millis(120_000);
/// Shares are rounded down to so many parts of the quota.
const SHARE_STEPS: f64 = 1e4;
/// Stands for a number of proxies that is not known.
const UNKNOWN_PROXIES: u32 = u32::MAX;

/// What all proxies together are asked for of a tenant, and may be using.
#[derive(Clone, Copy, Debug, Default)]
struct TenantSum {
    demand: f64,
    in_use: f64,
    /// What the proxies that were heard had from an earlier allocator.
    inherited: f64,
}

/// What one report is answered by.
struct Allocation<'a> {
    now: Timestamp,
    /// When it was last known that no later allocator grants anything.
    sure: Timestamp,
    from: &'a str,
    report: &'a UsageReport,
    /// How many proxies there may be.
    proxies: f64,
    /// Whether a proxy that has not confirmed a grant may be using anything that the others did not have.
    is_inherited: bool,
    /// Whether the reporting proxy's lease had expired.
    had_expired: bool,
    /// What proxies that are known and have not reported may be using.
    strangers: f64,
}

/// Grants shares of tenants' quotas to proxies.
#[derive(Clone, Debug)]
pub struct QuotaAllocator {
    epoch: u64,
    since: Timestamp,
    last_grant: u64,
    proxies: BTreeMap<String, ProxyRecord>,
    /// Proxies that an earlier allocator may have granted shares to and that have not confirmed a grant here; `None` before the
    /// first report.
    unconfirmed: Option<BTreeSet<String>>,
    /// Whether there may be proxies that it does not know of yet.
    is_discovering: bool,
    /// When each tenant was last asked for anywhere.
    last_demand: BTreeMap<String, Timestamp>,
    /// Kept between reports: a report costs its own shares, not those of all proxies.
    sums: BTreeMap<String, TenantSum>,
    /// When all sums were last made anew.
    recounted_at: Timestamp,
}

impl QuotaAllocator {
    /// An allocator that takes over now, under this epoch, and knows nothing of what was granted before.
    pub fn new(now: Timestamp, epoch: u64) -> Self {
        Self {
            epoch,
            since: now,
            last_grant: 0,
            proxies: BTreeMap::new(),
            unconfirmed: None,
            is_discovering: false,
            last_demand: BTreeMap::new(),
            sums: BTreeMap::new(),
            recounted_at: Timestamp::DISTANT_PAST,
        }
    }

    /// Its epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether there may be proxies that it does not know of yet. Nobody then gets more than it had, and those that report
    /// confirm meanwhile what they have.
    pub fn set_discovering(&mut self, is_discovering: bool) {
        self.is_discovering = is_discovering;
    }

    /// Handles a proxy's report. `known` names all proxies that there may be, and whether each is thought to be up;
    /// `contact_age_ms` tells how long ago it was sure that no later allocator grants anything; `rate` tells a tenant's rate.
    /// There is no grant for a proxy that has heard of a later allocator.
    pub fn handle_report(
        &mut self,
        now: Timestamp,
        contact_age_ms: f64,
        from: &str,
        report: &UsageReport,
        known: &BTreeMap<String, bool>,
        rate: impl Fn(&str) -> f64,
    ) -> Option<QuotaGrant> {
        let sure = now.minus_millis(contact_age_ms.max(0.0));
        if report.epoch > self.epoch {
            return None;
        }
        self.forget_old_proxies(now, from, report, known);
        let mut unconfirmed = self.unconfirmed_proxies(known);
        let may_inherit = unconfirmed.contains(from);
        let since = self.since;
        unconfirmed
            .retain(|name| known.get(name).is_some_and(|is_up| *is_up || now < since + DEAD_PROXY_TIMEOUT));
        let proxies = known.len().max(self.proxies.len()).max(1) as f64;
        let had_expired = self.proxies.get(from).is_some_and(|proxy| proxy.is_expired(sure));
        if self.is_other_incarnation(from, report) {
            self.unconfirmed = Some(unconfirmed);
            return Some(self.probe(from, report, proxies));
        }
        if self.record_report(now, from, report, may_inherit) {
            unconfirmed.remove(from);
        }
        let is_inherited = !unconfirmed.is_empty() || self.is_discovering;
        self.unconfirmed = Some(unconfirmed);
        let strangers = known.keys().filter(|name| !self.proxies.contains_key(*name)).count() as f64;
        let strangers = strangers * MAX_TOTAL_SHARE / proxies * EXPIRED_LEASE_RATIO;
        let allocation =
            Allocation { now, sure, from, report, proxies, is_inherited, had_expired, strangers };
        Some(self.allocate(&allocation, rate))
    }

    fn forget_old_proxies(
        &mut self,
        now: Timestamp,
        from: &str,
        report: &UsageReport,
        known: &BTreeMap<String, bool>,
    ) {
        let count = self.proxies.len();
        self.proxies.retain(|name, proxy| {
            let is_recent = proxy.last_report_at.is_some_and(|last| now < last + FORGET_PROXY_TIMEOUT);
            known.contains_key(name) || is_recent
        });
        let is_same = self.proxies.get(from).is_some_and(|proxy| proxy.incarnation == report.incarnation);
        if !is_same || self.proxies.len() != count {
            self.recounted_at = Timestamp::DISTANT_PAST;
        }
    }

    /// The proxies that an earlier allocator may have granted shares to. Before the first epoch there was none.
    fn unconfirmed_proxies(&self, known: &BTreeMap<String, bool>) -> BTreeSet<String> {
        let all = || if self.epoch > 1 { known.keys().cloned().collect() } else { BTreeSet::new() };
        let mut unconfirmed = self.unconfirmed.clone().unwrap_or_else(all);
        if self.is_discovering {
            let is_confirmed = |name: &String| self.proxies.get(name).is_some_and(|proxy| proxy.is_confirmed);
            unconfirmed.extend(all().into_iter().filter(|name| !is_confirmed(name)));
        }
        unconfirmed
    }

    /// Whether a report is of another incarnation than the one known, and does not say that it uses what that was answered.
    fn is_other_incarnation(&self, from: &str, report: &UsageReport) -> bool {
        let Some(proxy) = self.proxies.get(from) else { return false };
        let reported =
            UnconfirmedIncarnation { incarnation: report.incarnation, grant_number: report.number };
        let is_confirmed = self.epoch == report.epoch && proxy.unconfirmed == Some(reported);
        proxy.incarnation != report.incarnation && !is_confirmed
    }

    /// Answers another incarnation with what it has, which is counted beside what the incarnation known has.
    fn probe(&mut self, from: &str, report: &UsageReport, proxies: f64) -> QuotaGrant {
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
            proxies: self.told_proxies(proxies),
            default_share: report.default_share,
            tenants: report.tenants.iter().map(|(name, usage)| (name.clone(), unchanged(usage))).collect(),
        }
    }

    /// How many proxies a grant tells that there are. What all may store besides their shares is split over all of them.
    fn told_proxies(&self, proxies: f64) -> u32 {
        if self.is_discovering {
            UNKNOWN_PROXIES
        } else {
            proxies as u32
        }
    }

    /// Takes in a report; `may_inherit` where an earlier allocator may have granted what the proxy uses. Tells whether it is
    /// confirmed that the proxy lives.
    fn record_report(&mut self, now: Timestamp, from: &str, report: &UsageReport, may_inherit: bool) -> bool {
        let known = self.proxies.get(from);
        if known.is_none_or(|proxy| proxy.incarnation != report.incarnation) {
            // Another incarnation of it has ended, and with it what that used; or an earlier allocator granted this.
            let inherited =
                known.filter(|proxy| proxy.is_confirmed).and_then(|proxy| proxy.inherited.clone());
            let inherited = inherited.or_else(|| may_inherit.then(|| InheritedShares::from_report(report)));
            let reported = |usage: &crate::TenantUsage| ShareRecord::reported(usage.share);
            let record = ProxyRecord {
                incarnation: report.incarnation,
                inherited,
                is_confirmed: known.is_some(),
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

    fn allocate(&mut self, allocation: &Allocation, rate: impl Fn(&str) -> f64) -> QuotaGrant {
        let default_share = self.default_share(allocation);
        self.note_demand(allocation);
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
            proxies: self.told_proxies(allocation.proxies),
            default_share,
            tenants: grants,
        }
    }

    /// The share of idle tenants. What all proxies pass of those may not add up to more than the total either.
    fn default_share(&self, allocation: &Allocation) -> f64 {
        let others = self.proxies.iter().filter(|(name, _)| *name != allocation.from);
        let others: f64 = others.map(|(_, proxy)| proxy.default.max_in_use()).sum();
        (MAX_TOTAL_SHARE * IDLE_TENANT_RATIO / allocation.proxies).min((MAX_TOTAL_SHARE - others).max(0.0))
    }

    /// Notes which tenants are asked for, and drops the sums of those that are idle again or due to be made anew.
    fn note_demand(&mut self, allocation: &Allocation) {
        let now = allocation.now;
        for (name, usage) in &allocation.report.tenants {
            // An earlier allocator may have granted much of a tenant to others: that must not be forgotten with it.
            if usage.demand_per_s > 0.0 || now < self.since + IDLE_TENANT_TIMEOUT {
                self.last_demand.insert(name.clone(), now);
            }
        }
        self.last_demand.retain(|_, last| now < *last + IDLE_TENANT_TIMEOUT);
        // What proxies do with an idle tenant is not counted in its sum.
        self.sums.retain(|name, _| self.last_demand.contains_key(name));
        if now > self.recounted_at + RECOUNT_INTERVAL {
            self.sums.clear();
            self.recounted_at = now;
        }
    }

    /// The reporting proxy's share of a tenant: by its part of the demand, as far as it is surely free.
    fn tenant_grant(&mut self, allocation: &Allocation, tenant: &str, rate: f64) -> TenantGrant {
        let sum = self.sum(allocation, tenant);
        let own = self.own_record(allocation.from, tenant);
        let demand_ratio = if sum.demand > 0.0 { own.demand / sum.demand } else { 1.0 / allocation.proxies };
        let even = EVEN_SPLIT_RATIO / allocation.proxies;
        let wanted = MAX_TOTAL_SHARE * (even + (1.0 - EVEN_SPLIT_RATIO) * demand_ratio);
        let others = (sum.in_use - own.max_in_use()).max(0.0);
        let unknown = if allocation.is_inherited {
            (MAX_TOTAL_SHARE - sum.inherited).max(0.0)
        } else {
            allocation.strangers
        };
        // What it had from an earlier allocator is in use by nobody else.
        let kept = if allocation.is_inherited && !allocation.had_expired {
            own.granted.min(allocation.report.share(tenant)).min(MAX_TOTAL_SHARE - others)
        } else {
            0.0
        };
        let share = wanted.min((MAX_TOTAL_SHARE - others - unknown).max(kept).max(0.0));
        let demand_percent = 100.0 * sum.demand / rate.max(1e-9);
        TenantGrant {
            share: (share * SHARE_STEPS).floor() / SHARE_STEPS,
            demand_percent: demand_percent.round(),
        }
    }

    fn own_record(&self, from: &str, tenant: &str) -> ShareRecord {
        self.proxies.get(from).map(|proxy| proxy.share(tenant).clone()).unwrap_or_default()
    }

    /// What all proxies are asked for of a tenant and may be using, with what the reporting one says now.
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

    /// Adds up a tenant's usage over all proxies.
    fn recount(&mut self, allocation: &Allocation, tenant: &str) -> TenantSum {
        let mut sum = TenantSum::default();
        for proxy in self.proxies.values_mut() {
            let in_use = proxy.in_use(allocation.sure, tenant);
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

    /// Records a grant at its proxy, and in the sums; gives the default share of the grant.
    fn record_grant(
        &mut self,
        allocation: &Allocation,
        default_share: f64,
        grants: &BTreeMap<String, TenantGrant>,
    ) -> f64 {
        let Some(proxy) = self.proxies.get_mut(allocation.from) else { return default_share };
        let default_share =
            if allocation.is_inherited { default_share.min(proxy.default.granted) } else { default_share };
        proxy.grant_number = self.last_grant;
        let mut tenants = BTreeMap::new();
        for (name, grant) in grants {
            let known = proxy.share(name).clone();
            let mut record = ShareRecord { granted: grant.share, previous: known.max_in_use(), ..known };
            if let (Some(sum), Some(counted)) = (self.sums.get_mut(name), record.counted) {
                sum.in_use += record.max_in_use() - counted.in_use;
                record.counted = Some(CountedUsage { in_use: record.max_in_use(), ..counted });
            }
            tenants.insert(name.clone(), record);
        }
        // A tenant that is not listed any more falls back to the default share.
        let is_any_dropped = proxy.tenants.keys().any(|name| !tenants.contains_key(name));
        let previous = if is_any_dropped {
            let most = proxy.tenants.values().map(ShareRecord::max_in_use);
            most.fold(proxy.default.max_in_use(), f64::max)
        } else {
            proxy.default.max_in_use()
        };
        proxy.default = ShareRecord { granted: default_share, previous, ..ShareRecord::default() };
        proxy.tenants = tenants;
        default_share
    }
}
