//! The keeper's side: gives parts out so that they never add up to more than the whole, whoever is out of touch.

use crate::{Grant, Millis, Report, EVEN, LAPSED, LEASE, UNASKED, WHOLE};
use std::collections::BTreeMap;

/// What clocks of two machines may differ by over a lease, and the way of a message.
const MARGIN: Millis = 500.0;
/// A tenant that was not asked for anywhere for this long is given out evenly again.
const QUIET: Millis = 10_000.0;
/// A proxy that was not heard of for this long, and is not known any more, is forgotten.
const FORGET: Millis = 120_000.0;

#[derive(Clone, Debug, Default)]
struct Part {
    granted: f64,
    /// What the proxy may still use until it says that it uses a later grant.
    before: f64,
    asked: f64,
    sent: f64,
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

/// Gives parts of tenants' quotas to proxies.
#[derive(Clone, Debug)]
pub struct Keeper {
    epoch: u64,
    since: Millis,
    number: u64,
    proxies: BTreeMap<String, Proxy>,
    /// When each tenant was last asked for anywhere.
    asked: BTreeMap<String, Millis>,
}

impl Keeper {
    /// A keeper that takes the duty now, under this epoch, and knows nothing of what was given out before.
    pub fn new(now: Millis, epoch: u64) -> Self {
        Self { epoch, since: now, number: 0, proxies: BTreeMap::new(), asked: BTreeMap::new() }
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
        self.proxies.retain(|name, proxy| known.contains_key(name) || now < proxy.heard + FORGET);
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
        let other = WHOLE * UNASKED / count;
        let mut tenants = BTreeMap::new();
        for tenant in self.asked.keys() {
            let heard = self.proxies.values().filter(|p| now <= p.heard + LEASE);
            let all: f64 = heard.map(|p| p.part(tenant).asked).sum();
            let own = self.proxies.get(from).map_or(0.0, |p| p.part(tenant).asked);
            let weighed = if all > 0.0 { own / all } else { 1.0 / count };
            let wanted = WHOLE * (EVEN / count + (1.0 - EVEN) * weighed);
            let others: f64 = self
                .proxies
                .iter()
                .filter(|(name, _)| *name != from)
                .map(|(_, p)| p.using(now, tenant))
                .sum();
            let mut part = wanted.min((WHOLE - others - unknown).max(0.0));
            if early {
                part = part.min(self.proxies.get(from).map_or(0.0, |p| p.part(tenant).granted));
            }
            let percent = 100.0 * all / rate(tenant).max(1e-9);
            let round = |v: f64| (v * 1e4).floor() / 1e4;
            tenants.insert(tenant.clone(), (round(part), percent.round()));
        }
        self.number += 1;
        if let Some(proxy) = self.proxies.get_mut(from) {
            let other = if early { other.min(proxy.other.granted) } else { other };
            proxy.number = self.number;
            let mut parts = BTreeMap::new();
            for (name, (part, _)) in &tenants {
                let had = proxy.part(name).clone();
                let had = if proxy.tenants.contains_key(name) {
                    had
                } else {
                    Part { asked: 0.0, sent: 0.0, ..had }
                };
                parts.insert(name.clone(), Part { granted: *part, before: had.most(), ..had });
            }
            // One that is not named any more falls back to what all others have.
            let before = proxy.tenants.values().map(Part::most).fold(proxy.other.most(), f64::max);
            let dropped = proxy.tenants.keys().any(|name| !parts.contains_key(name));
            let before = if dropped { before } else { proxy.other.most() };
            proxy.other = Part { granted: other, before, asked: 0.0, sent: 0.0 };
            proxy.tenants = parts;
            return Grant { epoch: self.epoch, number: self.number, proxies: count as u32, other, tenants };
        }
        Grant { epoch: self.epoch, number: self.number, proxies: count as u32, other: 0.0, tenants }
    }

    /// Takes in what a proxy says.
    fn hear(&mut self, now: Millis, from: &str, report: &Report) {
        let known = self.proxies.get(from).is_some_and(|proxy| proxy.life == report.life);
        if !known {
            // Another life of it has ended, and with it what that used; or an earlier keeper gave this.
            let told = |part: f64| Part { granted: part, before: part, asked: 0.0, sent: 0.0 };
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
