//! The keeper's side: gives parts out so that they never add up to more than the whole, whoever is out of touch.

use crate::{Grant, Millis, Report, EVEN, LAPSED, LEASE, UNASKED, WHOLE};
use std::collections::BTreeMap;

/// What clocks of two machines may differ by over a lease, and the way of a message.
const MARGIN: Millis = 500.0;
/// A tenant that was not asked for anywhere for this long is given out evenly again.
const QUIET: Millis = 10_000.0;
/// Sums are made anew in this period: only then do leases that have run out show in them.
const SUM: Millis = 300.0;
/// A proxy that was not heard of for this long, and is not known any more, is forgotten.
const FORGET: Millis = 120_000.0;

#[derive(Clone, Debug, Default)]
struct Part {
    granted: f64,
    /// What the proxy may still use until it says that it uses a later grant.
    before: f64,
    asked: f64,
    sent: f64,
    /// What of it the sums hold; `None` for nothing that is known apart.
    counted: Option<(f64, f64)>,
}

impl Part {
    fn most(&self) -> f64 {
        self.granted.max(self.before)
    }
}

#[derive(Clone, Debug, Default)]
struct Proxy {
    life: u64,
    heard: Millis,
    number: u64,
    other: Part,
    tenants: BTreeMap<String, Part>,
}

impl Proxy {
    fn part(&self, tenant: &str) -> &Part {
        self.tenants.get(tenant).unwrap_or(&self.other)
    }

    /// What it may be using of a tenant now.
    fn using(&self, now: Millis, tenant: &str) -> f64 {
        let most = self.part(tenant).most();
        if now > self.heard + LEASE + MARGIN {
            most * LAPSED
        } else {
            most
        }
    }
}

/// What all proxies are asked of a tenant, and may be using.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    asked: f64,
    using: f64,
}

/// Gives parts of tenants' quotas to proxies.
#[derive(Clone, Debug)]
pub struct Keeper {
    epoch: u64,
    since: Millis,
    number: u64,
    proxies: BTreeMap<String, Proxy>,
    /// When each tenant was last asked for anywhere.
    asked: BTreeMap<String, Millis>,
    /// Kept between reports: a report costs its own parts, not those of all proxies.
    sums: BTreeMap<String, Sum>,
    /// When all sums were last made anew.
    summed: Millis,
}

impl Keeper {
    /// A keeper that takes the duty now, under this epoch, and knows nothing of what was given out before.
    pub fn new(now: Millis, epoch: u64) -> Self {
        Self {
            epoch,
            since: now,
            number: 0,
            proxies: BTreeMap::new(),
            asked: BTreeMap::new(),
            sums: BTreeMap::new(),
            summed: f64::NEG_INFINITY,
        }
    }

    /// Its epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// A proxy reports; `known` are the names of all proxies that there may be, and whether each is thought to be up.
    /// `rate` tells a tenant's rate.
    pub fn report(
        &mut self,
        now: Millis,
        from: &str,
        report: &Report,
        known: &BTreeMap<String, bool>,
        rate: impl Fn(&str) -> f64,
    ) -> Grant {
        let before = self.proxies.len();
        self.proxies.retain(|name, proxy| known.contains_key(name) || now < proxy.heard + FORGET);
        let same = self.proxies.get(from).is_some_and(|proxy| proxy.life == report.life);
        if !same || self.proxies.len() != before {
            self.summed = f64::NEG_INFINITY;
        }
        self.hear(now, from, report);
        let count = known.len().max(self.proxies.len()).max(1) as f64;
        // What proxies use of which nothing is known here: they were given it by a keeper before this one.
        let unheard = || known.iter().filter(|(name, _)| !self.proxies.contains_key(*name));
        let early = now < self.since + LEASE + MARGIN;
        let unknown = unheard().count() as f64 * WHOLE / count * if early { 2.0 } else { LAPSED };
        // While one that is up has not reported yet, nobody gets more than it has.
        let early = early && unheard().any(|(_, up)| *up);
        for (name, (asked, ..)) in &report.tenants {
            if *asked > 0.0 {
                self.asked.insert(name.clone(), now);
            }
        }
        self.asked.retain(|_, at| now < *at + QUIET);
        // What proxies do with one that is not asked for is not counted in its sum.
        self.sums.retain(|name, _| self.asked.contains_key(name));
        let other = WHOLE * UNASKED / count;
        if now > self.summed + SUM {
            self.sums.clear();
            self.summed = now;
        }
        let names: Vec<String> = self.asked.keys().cloned().collect();
        let mut tenants = BTreeMap::new();
        for tenant in names {
            let sum = self.sum(now, from, &tenant);
            let own = self.proxies.get(from).map(|proxy| proxy.part(&tenant).clone()).unwrap_or_default();
            let weighed = if sum.asked > 0.0 { own.asked / sum.asked } else { 1.0 / count };
            let wanted = WHOLE * (EVEN / count + (1.0 - EVEN) * weighed);
            let others = (sum.using - own.most()).max(0.0);
            let mut part = wanted.min((WHOLE - others - unknown).max(0.0));
            if early {
                part = part.min(own.granted);
            }
            let percent = 100.0 * sum.asked / rate(&tenant).max(1e-9);
            let round = |v: f64| (v * 1e4).floor() / 1e4;
            tenants.insert(tenant, (round(part), percent.round()));
        }
        self.number += 1;
        if let Some(proxy) = self.proxies.get_mut(from) {
            let other = if early { other.min(proxy.other.granted) } else { other };
            proxy.number = self.number;
            let mut parts = BTreeMap::new();
            for (name, (part, _)) in &tenants {
                let had = proxy.part(name).clone();
                let mut next = Part { granted: *part, before: had.most(), ..had };
                if let (Some(sum), Some((asked, using))) = (self.sums.get_mut(name), next.counted) {
                    sum.using += next.most() - using;
                    next.counted = Some((asked, next.most()));
                }
                parts.insert(name.clone(), next);
            }
            // One that is not named any more falls back to what all others have.
            let before = proxy.tenants.values().map(Part::most).fold(proxy.other.most(), f64::max);
            let dropped = proxy.tenants.keys().any(|name| !parts.contains_key(name));
            let before = if dropped { before } else { proxy.other.most() };
            proxy.other = Part { granted: other, before, ..Part::default() };
            proxy.tenants = parts;
            return Grant { epoch: self.epoch, number: self.number, proxies: count as u32, other, tenants };
        }
        Grant { epoch: self.epoch, number: self.number, proxies: count as u32, other: 0.0, tenants }
    }

    /// What all proxies are asked of a tenant and may be using, with what the one that reports now says and had.
    fn sum(&mut self, now: Millis, from: &str, tenant: &str) -> Sum {
        let kept = self.sums.get(tenant).copied();
        let counted =
            self.proxies.get(from).and_then(|proxy| proxy.tenants.get(tenant)).and_then(|p| p.counted);
        let sum = match (kept, counted) {
            (Some(sum), Some((asked, using))) => {
                let own = self.proxies.get(from).map(|proxy| proxy.part(tenant).clone()).unwrap_or_default();
                Sum { asked: sum.asked + own.asked - asked, using: sum.using + own.most() - using }
            }
            _ => {
                let mut sum = Sum::default();
                for proxy in self.proxies.values_mut() {
                    let (asked, using) = (proxy.part(tenant).asked, proxy.using(now, tenant));
                    let asked = if now <= proxy.heard + LEASE { asked } else { 0.0 };
                    sum = Sum { asked: sum.asked + asked, using: sum.using + using };
                    if let Some(part) = proxy.tenants.get_mut(tenant) {
                        part.counted = Some((asked, using));
                    }
                }
                sum
            }
        };
        if let Some(proxy) = self.proxies.get_mut(from) {
            let other = Part { counted: None, ..proxy.other.clone() };
            let part = proxy.tenants.entry(tenant.to_owned()).or_insert(other);
            part.counted = Some((part.asked, part.most()));
        }
        self.sums.insert(tenant.to_owned(), sum);
        sum
    }

    /// Takes in what a proxy says.
    fn hear(&mut self, now: Millis, from: &str, report: &Report) {
        let known = self.proxies.get(from).is_some_and(|proxy| proxy.life == report.life);
        if !known {
            // Another life of it has ended, and with it what that used; or an earlier keeper gave this.
            let told = |part: f64| Part { granted: part, before: part, ..Part::default() };
            let tenants =
                report.tenants.iter().map(|(name, (.., part))| (name.clone(), told(*part))).collect();
            let proxy = Proxy {
                life: report.life,
                heard: now,
                number: report.number,
                other: told(report.other),
                tenants,
            };
            self.proxies.insert(from.to_owned(), proxy);
        }
        let Some(proxy) = self.proxies.get_mut(from) else { return };
        proxy.heard = now;
        // It uses the last grant: what it had before is free.
        if proxy.number == report.number {
            proxy.other.before = proxy.other.granted;
            proxy.tenants.values_mut().for_each(|part| part.before = part.granted);
        }
        for (name, (asked, sent, _)) in &report.tenants {
            let other = &proxy.other;
            let part = proxy.tenants.entry(name.clone()).or_insert_with(|| Part {
                asked: 0.0,
                sent: 0.0,
                ..other.clone()
            });
            (part.asked, part.sent) = (asked.max(0.0), sent.max(0.0));
        }
    }
}
