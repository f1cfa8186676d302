//! The keeper's side: gives parts out so that they never add up to more than the whole, whoever is out of touch.

use crate::{Grant, Millis, Report, EVEN, LAPSED, LEASE, UNASKED, WHOLE};
use std::collections::{BTreeMap, BTreeSet};

/// What clocks of two machines may differ by over a lease, and the way of a message.
const MARGIN: Millis = 500.0;
/// A tenant that was not asked for anywhere for this long is given out evenly again.
const QUIET: Millis = 10_000.0;
/// Sums are made anew in this period: only then do leases that have run out show in them.
const SUM: Millis = 300.0;
/// A proxy that an earlier keeper may have given parts to, that is not known to be up and was not heard of here for this
/// long, is taken for dead.
const DEAD: Millis = 30_000.0;
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
    /// Another life that has reported, and the number of the grant that it was answered with. Only when it says that it
    /// uses that one does it live now: else its report had been under way since before this life.
    other_life: Option<(u64, u64)>,
    heard: Millis,
    number: u64,
    /// What it used when it was first heard here, of tenants that it named and of others: an earlier keeper gave it that.
    first: Option<(BTreeMap<String, f64>, f64)>,
    /// Whether it has said that it uses a grant of this keeper: before that the report may have been of a life long ended.
    proven: bool,
    other: Part,
    tenants: BTreeMap<String, Part>,
}

impl Proxy {
    fn part(&self, tenant: &str) -> &Part {
        self.tenants.get(tenant).unwrap_or(&self.other)
    }

    /// What it used of a tenant when it was first heard, once it is proven that it lives.
    fn first(&self, tenant: &str) -> f64 {
        let first = self.first.as_ref().filter(|_| self.proven);
        first.map_or(0.0, |(tenants, other)| tenants.get(tenant).copied().unwrap_or(*other))
    }

    /// Until it is proven to live, the least that it told counts: of two reports the one that is read first may be the older.
    fn lower_first(&mut self, report: &Report) {
        let Some((tenants, other)) = &mut self.first else { return };
        for name in report.tenants.keys() {
            tenants.entry(name.clone()).or_insert(*other);
        }
        for (name, part) in tenants.iter_mut() {
            *part = part.min(report.tenants.get(name).map_or(report.other, |(.., part)| *part));
        }
        *other = other.min(report.other);
    }

    /// What it may be using of a tenant now. `sure` is when it was last known that no other keeper gives parts out: one
    /// whose lease ran out after that may have had it renewed by another.
    fn using(&self, sure: Millis, tenant: &str) -> f64 {
        let most = self.part(tenant).most();
        if sure > self.heard + LEASE + MARGIN {
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
    /// What those that were heard had from an earlier keeper.
    first: f64,
}

/// Gives parts of tenants' quotas to proxies.
#[derive(Clone, Debug)]
pub struct Keeper {
    epoch: u64,
    since: Millis,
    number: u64,
    proxies: BTreeMap<String, Proxy>,
    /// Proxies that an earlier keeper may have given parts to, and that are not proven to live here; not known before the
    /// first report.
    unproven: Option<BTreeSet<String>>,
    /// It may not know yet of all proxies that there are.
    listens: bool,
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
            unproven: None,
            listens: false,
            asked: BTreeMap::new(),
            sums: BTreeMap::new(),
            summed: f64::NEG_INFINITY,
        }
    }

    /// Its epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether it may not know yet of all proxies that there are: nobody then gets more than it had, and those that are
    /// heard prove meanwhile what they have.
    pub fn listen(&mut self, on: bool) {
        self.listens = on;
    }

    /// A proxy reports; `known` are the names of all proxies that there may be, and whether each is thought to be up; `age`
    /// tells how long ago it was sure that no later keeper gives parts out. `rate` tells a tenant's rate. There is no
    /// grant for a proxy that has heard of a later keeper.
    pub fn report(
        &mut self,
        now: Millis,
        age: Millis,
        from: &str,
        report: &Report,
        known: &BTreeMap<String, bool>,
        rate: impl Fn(&str) -> f64,
    ) -> Option<Grant> {
        let sure = now - age.max(0.0);
        if report.epoch > self.epoch {
            return None;
        }
        let before = self.proxies.len();
        self.proxies.retain(|name, proxy| known.contains_key(name) || now < proxy.heard + FORGET);
        let same = self.proxies.get(from).is_some_and(|proxy| proxy.life == report.life);
        if !same || self.proxies.len() != before {
            self.summed = f64::NEG_INFINITY;
        }
        let since = self.since;
        // Before the first epoch nobody gave anything out.
        let all = || if self.epoch > 1 { known.keys().cloned().collect() } else { BTreeSet::new() };
        let mut unproven = self.unproven.clone().unwrap_or_else(all);
        if self.listens {
            let proven = |name: &String| self.proxies.get(name).is_some_and(|proxy| proxy.proven);
            unproven.extend(all().into_iter().filter(|name| !proven(name)));
        }
        let inherits = unproven.contains(from);
        unproven.retain(|name| known.get(name).is_some_and(|up| *up || now < since + DEAD));
        let count = known.len().max(self.proxies.len()).max(1) as f64;
        let lapsed = self.proxies.get(from).is_some_and(|proxy| sure > proxy.heard + LEASE + MARGIN);
        if self.is_doubtful(from, report) {
            self.unproven = Some(unproven);
            let proxies = if self.listens { u32::MAX } else { count as u32 };
            return Some(self.probe(from, report, proxies));
        }
        if self.hear(now, from, report, inherits) {
            unproven.remove(from);
        }
        // While one of them is not proven, all that the others did not have before may be in use by it.
        let inherited = !unproven.is_empty() || self.listens;
        self.unproven = Some(unproven);
        // Those that came after this keeper, or seem dead.
        let strangers = known.keys().filter(|name| !self.proxies.contains_key(*name)).count() as f64;
        let strangers = strangers * WHOLE / count * LAPSED;
        // What proxies pass of tenants that are not named may not add up to more either.
        let others: f64 =
            self.proxies.iter().filter(|(name, _)| *name != from).map(|(_, p)| p.other.most()).sum();
        for (name, (asked, ..)) in &report.tenants {
            // An earlier keeper may have given much of it to others: it must not be forgotten with that one.
            if *asked > 0.0 || now < self.since + QUIET {
                self.asked.insert(name.clone(), now);
            }
        }
        self.asked.retain(|_, at| now < *at + QUIET);
        // What proxies do with one that is not asked for is not counted in its sum.
        self.sums.retain(|name, _| self.asked.contains_key(name));
        let other = (WHOLE * UNASKED / count).min((WHOLE - others).max(0.0));
        if now > self.summed + SUM {
            self.sums.clear();
            self.summed = now;
        }
        let names: Vec<String> = self.asked.keys().cloned().collect();
        let mut tenants = BTreeMap::new();
        for tenant in names {
            let sum = self.sum(now, sure, from, &tenant);
            let own = self.proxies.get(from).map(|proxy| proxy.part(&tenant).clone()).unwrap_or_default();
            let weighed = if sum.asked > 0.0 { own.asked / sum.asked } else { 1.0 / count };
            let wanted = WHOLE * (EVEN / count + (1.0 - EVEN) * weighed);
            let others = (sum.using - own.most()).max(0.0);
            let unknown = if inherited { (WHOLE - sum.first).max(0.0) } else { strangers };
            // What it had from an earlier keeper is in use by nobody else.
            let told = report.tenants.get(&tenant).map_or(report.other, |(.., part)| *part);
            let had = if inherited && !lapsed { own.granted.min(told).min(WHOLE - others) } else { 0.0 };
            let part = wanted.min((WHOLE - others - unknown).max(had).max(0.0));
            let percent = 100.0 * sum.asked / rate(&tenant).max(1e-9);
            let round = |v: f64| (v * 1e4).floor() / 1e4;
            tenants.insert(tenant, (round(part), percent.round()));
        }
        self.number += 1;
        if let Some(proxy) = self.proxies.get_mut(from) {
            let other = if inherited { other.min(proxy.other.granted) } else { other };
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
            // What all may store besides their parts is split over all: over how many is not known while it listens.
            let proxies = if self.listens { u32::MAX } else { count as u32 };
            return Some(Grant { epoch: self.epoch, number: self.number, proxies, other, tenants });
        }
        None
    }

    /// Whether a report is of another life than the one known, and does not say that it uses what that was answered.
    fn is_doubtful(&self, from: &str, report: &Report) -> bool {
        let Some(proxy) = self.proxies.get(from) else { return false };
        let proven = self.epoch == report.epoch && proxy.other_life == Some((report.life, report.number));
        proxy.life != report.life && !proven
    }

    /// Answers another life with what it has, which is counted beside what the life known has.
    fn probe(&mut self, from: &str, report: &Report, proxies: u32) -> Grant {
        self.number += 1;
        if let Some(proxy) = self.proxies.get_mut(from) {
            proxy.other_life = Some((report.life, self.number));
            for (name, (.., part)) in &report.tenants {
                let other = Part { counted: None, ..proxy.other.clone() };
                let had = proxy.tenants.entry(name.clone()).or_insert(other);
                had.before = had.before.max(*part);
            }
            for had in proxy.tenants.iter_mut().filter(|(name, _)| !report.tenants.contains_key(*name)) {
                had.1.before = had.1.before.max(report.other);
            }
            proxy.other.before = proxy.other.before.max(report.other);
        }
        self.summed = f64::NEG_INFINITY;
        let tenants = report.tenants.iter().map(|(name, (.., part))| (name.clone(), (*part, 0.0))).collect();
        Grant { epoch: self.epoch, number: self.number, proxies, other: report.other, tenants }
    }

    /// What all proxies are asked of a tenant and may be using, with what the one that reports now says and had.
    fn sum(&mut self, now: Millis, sure: Millis, from: &str, tenant: &str) -> Sum {
        let kept = self.sums.get(tenant).copied();
        let counted =
            self.proxies.get(from).and_then(|proxy| proxy.tenants.get(tenant)).and_then(|p| p.counted);
        let sum = match (kept, counted) {
            (Some(sum), Some((asked, using))) => {
                let own = self.proxies.get(from).map(|proxy| proxy.part(tenant).clone()).unwrap_or_default();
                Sum { asked: sum.asked + own.asked - asked, using: sum.using + own.most() - using, ..sum }
            }
            _ => {
                let mut sum = Sum::default();
                for proxy in self.proxies.values_mut() {
                    let (asked, using) = (proxy.part(tenant).asked, proxy.using(sure, tenant));
                    let asked = if now <= proxy.heard + LEASE { asked } else { 0.0 };
                    let first = sum.first + proxy.first(tenant);
                    sum = Sum { asked: sum.asked + asked, using: sum.using + using, first };
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

    /// Takes in what a proxy says; `inherits` where an earlier keeper may have given it what it uses.
    /// Tells whether it is proven that it lives.
    fn hear(&mut self, now: Millis, from: &str, report: &Report, inherits: bool) -> bool {
        let before = self.proxies.get(from);
        if before.is_none_or(|proxy| proxy.life != report.life) {
            // Another life of it has ended, and with it what that used; or an earlier keeper gave this.
            let told = |part: f64| Part { granted: part, before: part, ..Part::default() };
            let tenants =
                report.tenants.iter().map(|(name, (.., part))| (name.clone(), told(*part))).collect();
            let named = || report.tenants.iter().map(|(name, (.., part))| (name.clone(), *part)).collect();
            let proven = before.is_some_and(|proxy| proxy.proven);
            let first = before.filter(|_| proven).and_then(|proxy| proxy.first.clone());
            let first = first.or_else(|| inherits.then(|| (named(), report.other)));
            let proxy = Proxy {
                life: report.life,
                other_life: None,
                heard: now,
                number: 0,
                first,
                proven: before.is_some(),
                other: told(report.other),
                tenants,
            };
            self.proxies.insert(from.to_owned(), proxy);
        }
        let Some(proxy) = self.proxies.get_mut(from) else { return false };
        proxy.heard = now;
        if !proxy.proven {
            proxy.lower_first(report);
        }
        // It uses the last grant: what it had before is free.
        if (self.epoch, proxy.number) == (report.epoch, report.number) {
            proxy.proven = true;
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
        proxy.proven
    }
}
